//! Room for a row where there is none: copies that can go, and chains of moves.

use crate::{
    plan::{Need, Plan, Search},
    world::{Reason, State, World},
};

/// Most moves that make room for each other.
const CHAIN_DEPTH: u32 = 2;

/// Copies that can go from an engine together.
#[derive(Clone, Debug)]
struct Group {
    /// Positions on the engine; an adapter comes before its base.
    copies: Vec<usize>,
    memory_mb: u64,
    /// Pending requests that are no longer relieved.
    loss: f64,
}

/// A part of a chain.
#[derive(Clone, Copy, Debug)]
enum Link {
    Load { engine: usize, row: usize },
    Evict { engine: usize, extra: u64 },
}

impl Plan<'_> {
    /// Lets copies of less worth go from the engine where that costs least, and keeps
    /// the room for the row.
    pub fn make_room(&mut self, need: Need, extra: u64) -> Search {
        if self.await_room(need, extra) {
            return Search::Under;
        }
        let best = (0..self.world.engines.len())
            .filter(|&e| self.takes(e, need))
            .filter_map(|e| Some((e, self.victims(e, need, extra)?)))
            .map(|(e, groups)| {
                (
                    e,
                    groups.iter().map(|group| group.loss).sum::<f64>(),
                    groups,
                )
            })
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.len().cmp(&b.2.len())));
        let Some((e, loss, groups)) = best else {
            return Search::Failed;
        };
        #[allow(clippy::cast_precision_loss)]
        let moves = 1.0 + groups.len() as f64;
        if need.reason == Reason::Demand && need.gain - loss < self.limits.move_price * moves {
            return Search::Failed;
        }
        for group in groups {
            self.evict_group(e, &group, need.reason);
        }
        self.world.engines[e].used_mb += extra;
        Search::Under
    }

    /// Whether an engine gets enough room by unloads that are on their way; it is kept.
    fn await_room(&mut self, need: Need, extra: u64) -> bool {
        let found = (0..self.world.engines.len()).find(|&e| {
            let going = going_mb(self.world, e);
            going > 0 && self.takes(e, need) && self.world.free_mb(e) + going >= extra
        });
        if let Some(e) = found {
            self.world.engines[e].used_mb += extra;
        }
        found.is_some()
    }

    /// The groups to let go for `extra` megabytes, least worth first; `None` when all of
    /// them do not suffice.
    fn victims(&self, e: usize, need: Need, extra: u64) -> Option<Vec<Group>> {
        let free = self.world.free_mb(e) + going_mb(self.world, e);
        let mut short = extra.saturating_sub(free);
        if self.world.engines[e].restart_mb + extra > self.world.engines[e].capacity_mb {
            return None;
        }
        let base = self.world.rows[need.row].base;
        let mut groups: Vec<Group> = (0..self.world.engines[e].copies.len())
            .filter(|&c| Some(self.world.engines[e].copies[c].row) != base)
            .filter_map(|c| self.group(e, c, need.reason))
            .collect();
        groups.sort_by(|a, b| {
            a.loss
                .total_cmp(&b.loss)
                .then(b.memory_mb.cmp(&a.memory_mb))
        });
        let mut chosen: Vec<Group> = Vec::new();
        for group in groups {
            if short == 0 {
                break;
            }
            if chosen
                .iter()
                .any(|other| other.copies.iter().any(|c| group.copies.contains(c)))
            {
                continue;
            }
            short = short.saturating_sub(group.memory_mb);
            chosen.push(group);
        }
        (short == 0).then_some(chosen)
    }

    /// The copy with the adapters that stand on it, if all of them can go.
    fn group(&self, e: usize, c: usize, reason: Reason) -> Option<Group> {
        let copies = &self.world.engines[e].copies;
        let mut group = Group {
            copies: Vec::new(),
            memory_mb: 0,
            loss: 0.0,
        };
        if self.carries(e, c) {
            for (a, copy) in copies.iter().enumerate() {
                let stands = self.world.rows[copy.row].base == Some(copies[c].row);
                if stands && copy.state != State::Going {
                    group.add(self, e, a, reason)?;
                }
            }
        }
        group.add(self, e, c, reason)?;
        Some(group)
    }

    /// Whether the copy can go with enough others ready; to restore an unreachable row
    /// one ready copy is enough.
    fn removable(&self, e: usize, c: usize, reason: Reason) -> bool {
        let copy = &self.world.engines[e].copies[c];
        let row = &self.world.rows[copy.row];
        if copy.state != State::Ready {
            return false;
        }
        let floor = match reason {
            Reason::Restore => 1,
            _ => row.min.max(1),
        };
        let ready = self.world.ready(copy.row, true);
        if copy.current {
            ready > floor
        } else {
            !row.listed || ready >= 1 || self.world.ready(copy.row, false) > floor
        }
    }

    fn loss(&self, e: usize, c: usize) -> f64 {
        let copy = &self.world.engines[e].copies[c];
        if !copy.current {
            return 0.0;
        }
        let others = self.world.have(copy.row).saturating_sub(1);
        self.relief(copy.row, others)
    }

    /// Orders the adapters of a group away, or its base once they are gone. Each copy is
    /// looked at again, since two versions of a row may stand for each other.
    fn evict_group(&mut self, e: usize, group: &Group, reason: Reason) {
        for &c in &group.copies {
            if !self.carries(e, c) && self.removable(e, c, reason) {
                self.unload(e, c, Reason::Room);
            }
        }
    }

    /// Moves copies to other engines, so that the row gets room.
    pub fn chain(&mut self, need: Need, extra: u64) -> Search {
        let mut engines: Vec<usize> = (0..self.world.engines.len())
            .filter(|&e| self.takes(e, need))
            .collect();
        engines.sort_by_key(|&e| (extra.saturating_sub(self.world.free_mb(e)), e));
        for e in engines {
            if self.trials == 0 {
                break;
            }
            self.trials -= 1;
            let mut trial = self.world.clone();
            let short = extra.saturating_sub(self.world.free_mb(e));
            if let Some(links) = self.clear(&mut trial, e, short, CHAIN_DEPTH, need) {
                self.commit(&links, need);
                self.world.engines[e].used_mb += extra;
                return Search::Under;
            }
        }
        Search::Failed
    }

    fn commit(&mut self, links: &[Link], need: Need) {
        for link in links {
            match *link {
                Link::Load { engine, row } if self.limits.loads > 0 => {
                    self.load(engine, row, Reason::Chain);
                }
                Link::Load { .. } => {}
                Link::Evict { engine, extra } => {
                    if let Some(groups) = self.victims(engine, need, extra) {
                        for group in groups {
                            self.evict_group(engine, &group, need.reason);
                        }
                        self.world.engines[engine].used_mb += extra;
                    }
                }
            }
        }
    }

    /// Finds moves after which `short` megabytes of the engine can be freed.
    fn clear(
        &mut self,
        trial: &mut World,
        e: usize,
        short: u64,
        depth: u32,
        need: Need,
    ) -> Option<Vec<Link>> {
        let mut short = short.saturating_sub(soon_mb(trial, e));
        let mut links = Vec::new();
        for (row, memory_mb) in movable(trial, e, short, self.world.rows[need.row].base) {
            if short == 0 {
                break;
            }
            if let Some(target) = target(trial, e, row) {
                trial.load(target, row);
                links.push(Link::Load {
                    engine: target,
                    row,
                });
            } else if let Some(inner) = self.clear_target(trial, e, row, depth, need) {
                links.extend(inner);
            } else {
                continue;
            }
            short = short.saturating_sub(memory_mb);
        }
        (short == 0).then_some(links)
    }

    /// Makes room on another engine for a row that is to move there later.
    fn clear_target(
        &mut self,
        trial: &mut World,
        from: usize,
        row: usize,
        depth: u32,
        need: Need,
    ) -> Option<Vec<Link>> {
        if depth == 0 {
            return None;
        }
        let extra = trial.rows[row].memory_mb;
        let engines = (0..trial.engines.len()).filter(|&f| f != from && may_take(trial, f, row));
        for f in engines.collect::<Vec<_>>() {
            if self.trials == 0 {
                return None;
            }
            self.trials -= 1;
            let mut deeper = trial.clone();
            let short = extra.saturating_sub(deeper.free_mb(f));
            let Some(mut links) = self.clear(&mut deeper, f, short, depth - 1, need) else {
                continue;
            };
            if links.is_empty() {
                links.push(Link::Evict { engine: f, extra });
            }
            deeper.engines[f].used_mb += extra;
            *trial = deeper;
            return Some(links);
        }
        None
    }
}

impl Group {
    fn add(&mut self, plan: &Plan<'_>, e: usize, c: usize, reason: Reason) -> Option<()> {
        if !plan.removable(e, c, reason) {
            return None;
        }
        self.copies.push(c);
        self.memory_mb += plan.world.engines[e].copies[c].memory_mb;
        self.loss += plan.loss(e, c);
        Some(())
    }
}

fn going_mb(world: &World, e: usize) -> u64 {
    let copies = world.engines[e].copies.iter();
    copies
        .filter(|copy| copy.state == State::Going)
        .map(|copy| copy.memory_mb)
        .sum()
}

/// Whether the copy can go once everything that is coming is ready.
fn goes_soon(world: &World, e: usize, c: usize) -> bool {
    let copy = &world.engines[e].copies[c];
    let row = &world.rows[copy.row];
    match copy.state {
        State::Going => true,
        State::Coming => false,
        State::Ready if holds_adapters(world, e, copy.row) => false,
        State::Ready if copy.current => world.have(copy.row) > row.min.max(1),
        State::Ready => {
            let spare = world.ready(copy.row, false) > row.min.max(1);
            !row.listed || world.have(copy.row) >= 1 || spare
        }
    }
}

fn soon_mb(world: &World, e: usize) -> u64 {
    (0..world.engines[e].copies.len())
        .filter(|&c| goes_soon(world, e, c))
        .map(|c| world.engines[e].copies[c].memory_mb)
        .sum()
}

fn holds_adapters(world: &World, e: usize, row: usize) -> bool {
    let mut copies = world.engines[e].copies.iter();
    copies.any(|copy| world.rows[copy.row].base == Some(row))
}

/// Rows that can move off the engine: one that suffices alone first, then by size.
fn movable(world: &World, e: usize, short: u64, base: Option<usize>) -> Vec<(usize, u64)> {
    let copies = world.engines[e].copies.iter().enumerate();
    let mut rows: Vec<(usize, u64)> = copies
        .filter(|(c, copy)| {
            copy.state == State::Ready
                && copy.current
                && Some(copy.row) != base
                && !goes_soon(world, e, *c)
                && !holds_adapters(world, e, copy.row)
        })
        .map(|(_, copy)| (copy.row, copy.memory_mb))
        .collect();
    rows.sort_by_key(|&(row, memory_mb)| {
        let alone = memory_mb >= short;
        (
            !alone,
            if alone {
                memory_mb
            } else {
                u64::MAX - memory_mb
            },
            row,
        )
    });
    rows
}

fn may_take(world: &World, e: usize, row: usize) -> bool {
    let engine = &world.engines[e];
    let based = world.rows[row].base.is_none_or(|base| {
        let mut copies = engine.copies.iter();
        copies.any(|copy| copy.row == base && copy.state == State::Ready && copy.current)
    });
    engine.open
        && engine.counts
        && based
        && !world.occupied(e, row)
        && !engine.refused.contains(&row)
}

fn target(world: &World, from: usize, row: usize) -> Option<usize> {
    (0..world.engines.len())
        .filter(|&e| e != from && may_take(world, e, row))
        .filter(|&e| world.free_mb(e) >= world.rows[row].memory_mb)
        .min_by_key(|&e| (world.free_mb(e), e))
}
