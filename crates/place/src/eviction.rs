//! Makes room for a row where there is none: evicts copies, and moves copies in chains.

use crate::{
    layout::{CopyState, Layout, Reason},
    plan::{Need, Plan, Search},
};

/// Maximum number of further moves that make room for a move.
const CHAIN_DEPTH: u32 = 2;

/// Copies that can be unloaded from an engine together.
#[derive(Clone, Debug)]
struct Group {
    /// Positions on the engine; an adapter comes before its base.
    copies: Vec<usize>,
    memory_mb: u64,
    /// Weighted pending requests that are no longer relieved without the copies.
    loss: f64,
}

/// A step of a chain of moves.
#[derive(Clone, Copy, Debug)]
enum ChainStep {
    /// Load a copy on the engine to which it moves.
    Load { engine: usize, row: usize },
    /// Unload copies to free memory for a copy that moves to the engine later.
    Evict { engine: usize, needed_mb: u64 },
}

impl Plan<'_> {
    /// Unloads copies of less worth on the engine where the loss is smallest, and reserves
    /// the memory for the row.
    pub fn make_room(&mut self, need: Need, needed_mb: u64) -> Search {
        if self.reserve_outgoing(need, needed_mb) {
            return Search::InProgress;
        }
        let best = (0..self.layout.engines.len())
            .filter(|&e| self.can_load(e, need))
            .filter_map(|e| Some((e, self.victims(e, need, needed_mb)?)))
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
            self.evict(e, &group, need.reason);
        }
        self.layout.engines[e].used_mb += needed_mb;
        Search::InProgress
    }

    /// Whether pending unloads will free enough memory on an engine; if so, reserves it.
    fn reserve_outgoing(&mut self, need: Need, needed_mb: u64) -> bool {
        let found = (0..self.layout.engines.len()).find(|&e| {
            let outgoing = outgoing_mb(self.layout, e);
            outgoing > 0 && self.can_load(e, need) && self.layout.free_mb(e) + outgoing >= needed_mb
        });
        if let Some(e) = found {
            self.layout.engines[e].used_mb += needed_mb;
        }
        found.is_some()
    }

    /// The groups to unload to free `needed_mb` megabytes, those with the smallest loss
    /// first; `None` if all groups together don't suffice.
    fn victims(&self, e: usize, need: Need, needed_mb: u64) -> Option<Vec<Group>> {
        let free = self.layout.free_mb(e) + outgoing_mb(self.layout, e);
        let mut missing_mb = needed_mb.saturating_sub(free);
        if self.layout.engines[e].restart_mb + needed_mb > self.layout.engines[e].capacity_mb {
            return None;
        }
        let base = self.layout.rows[need.row].base;
        let mut groups: Vec<Group> = (0..self.layout.engines[e].copies.len())
            .filter(|&c| Some(self.layout.engines[e].copies[c].row) != base)
            .filter_map(|c| self.group(e, c, need.reason))
            .collect();
        groups.sort_by(|a, b| {
            a.loss
                .total_cmp(&b.loss)
                .then(b.memory_mb.cmp(&a.memory_mb))
        });
        let mut chosen: Vec<Group> = Vec::new();
        for group in groups {
            if missing_mb == 0 {
                break;
            }
            if chosen
                .iter()
                .any(|other| other.copies.iter().any(|c| group.copies.contains(c)))
            {
                continue;
            }
            missing_mb = missing_mb.saturating_sub(group.memory_mb);
            chosen.push(group);
        }
        (missing_mb == 0).then_some(chosen)
    }

    /// The copy with the adapters that depend on it, if all of them can be unloaded.
    fn group(&self, e: usize, c: usize, reason: Reason) -> Option<Group> {
        let copies = &self.layout.engines[e].copies;
        let mut group = Group {
            copies: Vec::new(),
            memory_mb: 0,
            loss: 0.0,
        };
        if self.is_sole_base(e, c) {
            for (a, copy) in copies.iter().enumerate() {
                let depends = self.layout.rows[copy.row].base == Some(copies[c].row);
                if depends && copy.state != CopyState::Outgoing {
                    group.add(self, e, a, reason)?;
                }
            }
        }
        group.add(self, e, c, reason)?;
        Some(group)
    }

    /// Whether the copy can be unloaded because enough other copies of the row are ready.
    /// To restore a row without a routable copy, one ready copy is enough.
    fn can_unload(&self, e: usize, c: usize, reason: Reason) -> bool {
        let copy = &self.layout.engines[e].copies[c];
        let row = &self.layout.rows[copy.row];
        if copy.state != CopyState::Ready {
            return false;
        }
        let min_ready = match reason {
            Reason::Restore => 1,
            _ => row.min.max(1),
        };
        let ready = self.layout.ready_copies(copy.row, true);
        if copy.current {
            ready > min_ready
        } else {
            !row.listed || ready >= 1 || self.layout.ready_copies(copy.row, false) > min_ready
        }
    }

    /// Weighted pending requests that are no longer relieved if the copy is unloaded.
    fn loss(&self, e: usize, c: usize) -> f64 {
        let copy = &self.layout.engines[e].copies[c];
        if !copy.current {
            return 0.0;
        }
        let others = self.layout.current_copies(copy.row).saturating_sub(1);
        self.relief(copy.row, others)
    }

    /// Unloads the adapters of a group, or the base once the adapters are gone. Each copy
    /// is checked again, since two versions of a row may each count on the other to stay.
    fn evict(&mut self, e: usize, group: &Group, reason: Reason) {
        for &c in &group.copies {
            if !self.is_sole_base(e, c) && self.can_unload(e, c, reason) {
                self.unload(e, c, Reason::Room);
            }
        }
    }

    /// Moves copies to other engines to make room for the row.
    pub fn move_in_chain(&mut self, need: Need, needed_mb: u64) -> Search {
        let mut engines: Vec<usize> = (0..self.layout.engines.len())
            .filter(|&e| self.can_load(e, need))
            .collect();
        engines.sort_by_key(|&e| (needed_mb.saturating_sub(self.layout.free_mb(e)), e));
        for e in engines {
            if self.trials_left == 0 {
                break;
            }
            self.trials_left -= 1;
            let mut trial = self.layout.clone();
            let missing_mb = needed_mb.saturating_sub(self.layout.free_mb(e));
            if let Some(chain_steps) = self.plan_moves(&mut trial, e, missing_mb, CHAIN_DEPTH, need)
            {
                self.apply_chain(&chain_steps, need);
                self.layout.engines[e].used_mb += needed_mb;
                return Search::InProgress;
            }
        }
        Search::Failed
    }

    /// Takes the steps of a chain that can be taken now.
    fn apply_chain(&mut self, chain_steps: &[ChainStep], need: Need) {
        for chain_step in chain_steps {
            match *chain_step {
                ChainStep::Load { engine, row } if self.limits.loads > 0 => {
                    self.load(engine, row, Reason::Chain);
                }
                ChainStep::Load { .. } => {}
                ChainStep::Evict { engine, needed_mb } => {
                    if let Some(groups) = self.victims(engine, need, needed_mb) {
                        for group in groups {
                            self.evict(engine, &group, need.reason);
                        }
                        self.layout.engines[engine].used_mb += needed_mb;
                    }
                }
            }
        }
    }

    /// Finds moves after which `missing_mb` megabytes of the engine can be freed, and
    /// applies them to the trial layout.
    fn plan_moves(
        &mut self,
        trial: &mut Layout,
        e: usize,
        missing_mb: u64,
        depth: u32,
        need: Need,
    ) -> Option<Vec<ChainStep>> {
        let mut missing_mb = missing_mb.saturating_sub(removable_soon_mb(trial, e));
        let mut chain_steps = Vec::new();
        for (row, memory_mb) in movable(trial, e, missing_mb, self.layout.rows[need.row].base) {
            if missing_mb == 0 {
                break;
            }
            if let Some(target) = move_target(trial, e, row) {
                trial.load(target, row);
                chain_steps.push(ChainStep::Load {
                    engine: target,
                    row,
                });
            } else if let Some(inner) = self.plan_moves_elsewhere(trial, e, row, depth, need) {
                chain_steps.extend(inner);
            } else {
                continue;
            }
            missing_mb = missing_mb.saturating_sub(memory_mb);
        }
        (missing_mb == 0).then_some(chain_steps)
    }

    /// Makes room on another engine for a row that is to move there later.
    fn plan_moves_elsewhere(
        &mut self,
        trial: &mut Layout,
        from: usize,
        row: usize,
        depth: u32,
        need: Need,
    ) -> Option<Vec<ChainStep>> {
        if depth == 0 {
            return None;
        }
        let needed_mb = trial.rows[row].memory_mb;
        let engines = (0..trial.engines.len())
            .filter(|&other| other != from && can_move_to(trial, other, row));
        for other in engines.collect::<Vec<_>>() {
            if self.trials_left == 0 {
                return None;
            }
            self.trials_left -= 1;
            let mut deeper = trial.clone();
            let missing_mb = needed_mb.saturating_sub(deeper.free_mb(other));
            let Some(mut chain_steps) =
                self.plan_moves(&mut deeper, other, missing_mb, depth - 1, need)
            else {
                continue;
            };
            if chain_steps.is_empty() {
                chain_steps.push(ChainStep::Evict {
                    engine: other,
                    needed_mb,
                });
            }
            deeper.engines[other].used_mb += needed_mb;
            *trial = deeper;
            return Some(chain_steps);
        }
        None
    }
}

impl Group {
    /// Adds a copy to the group; `None` if the copy can't be unloaded.
    fn add(&mut self, plan: &Plan<'_>, e: usize, c: usize, reason: Reason) -> Option<()> {
        if !plan.can_unload(e, c, reason) {
            return None;
        }
        self.copies.push(c);
        self.memory_mb += plan.layout.engines[e].copies[c].memory_mb;
        self.loss += plan.loss(e, c);
        Some(())
    }
}

/// Megabytes that pending unloads will free on the engine.
fn outgoing_mb(layout: &Layout, e: usize) -> u64 {
    let copies = layout.engines[e].copies.iter();
    copies
        .filter(|copy| copy.state == CopyState::Outgoing)
        .map(|copy| copy.memory_mb)
        .sum()
}

/// Whether the copy can be unloaded once all incoming copies are ready.
fn removable_soon(layout: &Layout, e: usize, c: usize) -> bool {
    let copy = &layout.engines[e].copies[c];
    let row = &layout.rows[copy.row];
    match copy.state {
        CopyState::Outgoing => true,
        CopyState::Incoming => false,
        CopyState::Ready if has_adapters_of(layout, e, copy.row) => false,
        CopyState::Ready if copy.current => layout.current_copies(copy.row) > row.min.max(1),
        CopyState::Ready => {
            let spare = layout.ready_copies(copy.row, false) > row.min.max(1);
            !row.listed || layout.current_copies(copy.row) >= 1 || spare
        }
    }
}

/// Megabytes that can be freed on the engine once all incoming copies are ready.
fn removable_soon_mb(layout: &Layout, e: usize) -> u64 {
    (0..layout.engines[e].copies.len())
        .filter(|&c| removable_soon(layout, e, c))
        .map(|c| layout.engines[e].copies[c].memory_mb)
        .sum()
}

/// Whether the engine has adapters of the base `row`.
fn has_adapters_of(layout: &Layout, e: usize, row: usize) -> bool {
    let mut copies = layout.engines[e].copies.iter();
    copies.any(|copy| layout.rows[copy.row].base == Some(row))
}

/// Rows that can be moved off the engine, with their memory: rows that free enough alone
/// come first, the smallest first, then the others, the largest first.
fn movable(layout: &Layout, e: usize, missing_mb: u64, base: Option<usize>) -> Vec<(usize, u64)> {
    let copies = layout.engines[e].copies.iter().enumerate();
    let mut rows: Vec<(usize, u64)> = copies
        .filter(|(c, copy)| {
            copy.state == CopyState::Ready
                && copy.current
                && Some(copy.row) != base
                && !removable_soon(layout, e, *c)
                && !has_adapters_of(layout, e, copy.row)
        })
        .map(|(_, copy)| (copy.row, copy.memory_mb))
        .collect();
    rows.sort_by_key(|&(row, memory_mb)| {
        let alone = memory_mb >= missing_mb;
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

/// Whether a copy of the row can be moved to the engine, apart from memory.
fn can_move_to(layout: &Layout, e: usize, row: usize) -> bool {
    let engine = &layout.engines[e];
    let based = layout.rows[row].base.is_none_or(|base| {
        let mut copies = engine.copies.iter();
        copies.any(|copy| copy.row == base && copy.state == CopyState::Ready && copy.current)
    });
    engine.accepts_orders
        && engine.available
        && based
        && !layout.occupied(e, row)
        && !engine.refused_rows.contains(&row)
}

/// The engine with the least free memory that suffices for a copy moved from `from`.
fn move_target(layout: &Layout, from: usize, row: usize) -> Option<usize> {
    (0..layout.engines.len())
        .filter(|&e| e != from && can_move_to(layout, e, row))
        .filter(|&e| layout.free_mb(e) >= layout.rows[row].memory_mb)
        .min_by_key(|&e| (layout.free_mb(e), e))
}
