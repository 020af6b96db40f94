//! The next steps from the world as it is: what is missing, in order of urgency.
//!
//! A plan is never stored. Every call looks at what is there and what is pending, so that
//! a release goes on wherever a former planner left it.

use crate::world::{Reason, State, Step, World};
use mulberryrack_core::request::Priority;
use std::cmp::Reverse;

/// Most rows that are tried in vain in one call.
const MAX_FAILURES: u32 = 32;

/// What a call may do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Loads that may begin.
    pub loads: u32,
    /// Pending requests that a move must relieve.
    pub move_price: f64,
    /// Pending requests that a copy serves well.
    pub copy_load: f64,
}

/// A row that lacks a copy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    pub row: usize,
    pub reason: Reason,
    /// Pending requests that the copy relieves.
    pub gain: f64,
}

/// How a search for room ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Search {
    /// Steps were taken, or earlier ones are awaited.
    Under,
    /// There is no room.
    Failed,
}

/// One call of planning.
pub(crate) struct Plan<'a> {
    pub world: &'a mut World,
    pub limits: Limits,
    pub steps: Vec<Step>,
}

/// Takes the next steps in `world`, which is left as if they were pending.
pub(crate) fn next(world: &mut World, limits: Limits) -> Vec<Step> {
    let mut plan = Plan {
        world,
        limits,
        steps: Vec::new(),
    };
    plan.retire();
    plan.supply();
    plan.steps
}

/// Takes steps until none is left, each round ended before the next begins.
pub(crate) fn finish(world: &mut World, limits: Limits, most: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    while steps.len() < most {
        let round = next(world, limits);
        if round.is_empty() && !world.pending() {
            break;
        }
        steps.extend(round);
        world.settle();
        refresh(world);
    }
    steps
}

/// Sets again which copies are of the version in force: an adapter's copy is when its
/// version is and the engine holds the base in the version in force.
pub(crate) fn refresh(world: &mut World) {
    for e in 0..world.engines.len() {
        for c in 0..world.engines[e].copies.len() {
            let copy = &world.engines[e].copies[c];
            let row = &world.rows[copy.row];
            let own = row.listed && copy.version == row.version;
            let based = row.base.is_none_or(|base| {
                let version = &world.rows[base].version;
                world.engines[e]
                    .copies
                    .iter()
                    .any(|copy| copy.row == base && copy.version == *version)
            });
            world.engines[e].copies[c].current = own && based;
        }
    }
}

impl Plan<'_> {
    /// Unloads what no longer belongs, where enough of what does is ready.
    fn retire(&mut self) {
        for e in 0..self.world.engines.len() {
            if !self.world.engines[e].open {
                continue;
            }
            for c in 0..self.world.engines[e].copies.len() {
                if let Some(reason) = self.obsolete(e, c) {
                    self.unload(e, c, reason);
                }
            }
        }
    }

    fn obsolete(&self, e: usize, c: usize) -> Option<Reason> {
        let copy = &self.world.engines[e].copies[c];
        let row = &self.world.rows[copy.row];
        if copy.state != State::Ready || self.carries(e, c) {
            return None;
        }
        if !row.listed {
            return Some(Reason::Removed);
        }
        let ready = self.world.ready(copy.row, true);
        if !copy.current {
            return (ready >= row.min.max(1)).then_some(Reason::OldVersion);
        }
        (ready > row.max.max(row.min).max(1)).then_some(Reason::Surplus)
    }

    /// Whether adapters on the engine stand on this copy alone.
    pub fn carries(&self, e: usize, c: usize) -> bool {
        let copies = &self.world.engines[e].copies;
        let row = copies[c].row;
        let other = copies
            .iter()
            .enumerate()
            .any(|(i, copy)| i != c && copy.row == row && copy.state == State::Ready);
        !other
            && copies
                .iter()
                .any(|copy| self.world.rows[copy.row].base == Some(row))
    }

    /// Loads what is missing, most urgent first, while loads are left.
    fn supply(&mut self) {
        let mut failures = 0;
        for need in self.needs() {
            if self.limits.loads == 0 || failures == MAX_FAILURES {
                break;
            }
            if self.meet(need) == Search::Failed {
                failures += 1;
            }
        }
    }

    fn needs(&self) -> Vec<Need> {
        let mut needs: Vec<Need> = (0..self.world.rows.len())
            .filter_map(|row| self.need(row))
            .collect();
        needs.sort_by(|a, b| {
            let key = |need: &Need| {
                let row = &self.world.rows[need.row];
                (need.reason, row.base.is_some(), Reverse(row.memory_mb))
            };
            let gain = b.gain.total_cmp(&a.gain);
            match a.reason.cmp(&b.reason) {
                std::cmp::Ordering::Equal if a.reason == Reason::Demand => gain,
                _ => key(a).cmp(&key(b)),
            }
            .then(a.row.cmp(&b.row))
        });
        needs
    }

    fn need(&self, index: usize) -> Option<Need> {
        let row = &self.world.rows[index];
        if !row.listed {
            return None;
        }
        let have = self.world.have(index);
        let reason = if row.min > 0 && !self.world.stands(index) {
            Reason::Restore
        } else if have < row.min && row.priority == Priority::Urgent {
            Reason::Urgent
        } else if have < row.min {
            Reason::Minimum
        } else {
            Reason::Demand
        };
        let gain = self.relief(index, have);
        let due = reason != Reason::Demand || (have < row.max && gain >= self.limits.move_price);
        due.then_some(Need {
            row: index,
            reason,
            gain,
        })
    }

    /// Pending requests that a further copy beside `copies` relieves.
    pub fn relief(&self, row: usize, copies: u32) -> f64 {
        let rest = self.world.rows[row].load - f64::from(copies) * self.limits.copy_load;
        rest.clamp(0.0, self.limits.copy_load)
    }

    fn meet(&mut self, need: Need) -> Search {
        let extra = self.world.rows[need.row].memory_mb;
        if let Some(engine) = self.find(need, extra) {
            self.load(engine, need.row, need.reason);
            return Search::Under;
        }
        if self.base_is_coming(need.row) {
            return Search::Under;
        }
        if self.make_room(need, extra) == Search::Under {
            return Search::Under;
        }
        match self.world.rows[need.row].base {
            Some(base) => self.meet_base(need, base),
            None if need.reason == Reason::Demand => Search::Failed,
            None => self.chain(need, extra),
        }
    }

    /// Gets another copy of an adapter's base, where the adapter fits beside it.
    fn meet_base(&mut self, need: Need, base: usize) -> Search {
        let row = &self.world.rows[base];
        if !row.listed || self.world.have(base) >= row.max.max(row.min) {
            return self.chain(need, self.world.rows[need.row].memory_mb);
        }
        let extra = row.memory_mb + self.world.rows[need.row].memory_mb;
        let both = Need { row: base, ..need };
        if let Some(engine) = self.find(both, extra) {
            self.load(engine, base, Reason::Base);
            return Search::Under;
        }
        if self.make_room(both, extra) == Search::Under {
            return Search::Under;
        }
        match need.reason {
            Reason::Demand => Search::Failed,
            _ => self.chain(both, extra),
        }
    }

    fn base_is_coming(&self, row: usize) -> bool {
        let Some(base) = self.world.rows[row].base else {
            return false;
        };
        let free = self.world.rows[row].memory_mb;
        self.world.copies(base).any(|(e, copy)| {
            copy.state == State::Coming
                && self.world.engines[e].counts
                && !self.world.occupied(e, row)
                && self.world.free_mb(e) >= free
        })
    }

    /// The best engine with `extra` megabytes of room for the row.
    pub fn find(&self, need: Need, extra: u64) -> Option<usize> {
        let spread = self.world.spread(need.row);
        (0..self.world.engines.len())
            .filter(|&e| self.world.free_mb(e) >= extra && self.takes(e, need))
            .min_by(|&a, &b| {
                let near = |e: usize| {
                    let centre = self.world.engines[e].data_centre;
                    (
                        !self.replaces_base(e, need.row),
                        spread.get(&centre).copied().unwrap_or(0),
                    )
                };
                let load = self
                    .world
                    .engine_load(a)
                    .total_cmp(&self.world.engine_load(b));
                let free = self.world.free_mb(b).cmp(&self.world.free_mb(a));
                near(a).cmp(&near(b)).then(load).then(free)
            })
    }

    /// Whether the engine may get the row, apart from room.
    pub fn takes(&self, e: usize, need: Need) -> bool {
        let engine = &self.world.engines[e];
        let based = self.world.rows[need.row].base.is_none_or(|base| {
            engine.copies.iter().any(|copy| {
                copy.row == base
                    && copy.state == State::Ready
                    && (copy.current || need.reason == Reason::Restore)
            })
        });
        engine.open
            && engine.counts
            && based
            && !self.world.occupied(e, need.row)
            && !engine.refused.contains(&need.row)
    }

    /// Whether adapters on the engine wait for this version of their base.
    fn replaces_base(&self, e: usize, row: usize) -> bool {
        let copies = &self.world.engines[e].copies;
        copies.iter().any(|copy| copy.row == row)
            && copies
                .iter()
                .any(|copy| self.world.rows[copy.row].base == Some(row))
    }

    /// Orders a load and takes it from the limit.
    pub fn load(&mut self, engine: usize, row: usize, reason: Reason) {
        let (name, version) = self.world.load(engine, row);
        self.limits.loads = self.limits.loads.saturating_sub(1);
        self.steps.push(Step {
            engine: self.world.engines[engine].name.clone(),
            row: name,
            version,
            load: true,
            reason,
        });
    }

    /// Orders an unload.
    pub fn unload(&mut self, e: usize, c: usize, reason: Reason) {
        let engine = &mut self.world.engines[e];
        let copy = &mut engine.copies[c];
        copy.state = State::Going;
        self.steps.push(Step {
            engine: engine.name.clone(),
            row: self.world.rows[copy.row].name.clone(),
            version: copy.version.clone(),
            load: false,
            reason,
        });
    }
}
