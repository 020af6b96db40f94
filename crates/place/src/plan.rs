//! Chooses the next steps from the layout as it is: what is missing, in order of urgency.
//!
//! A plan is never stored. Each call starts from what is in memory and what is pending, so
//! that a new planner continues a release wherever the former planner left it.

use crate::layout::{CopyState, Layout, Reason, Step};
use mulberryrack_core::request::Priority;
use std::cmp::Reverse;

/// Maximum number of rows for which a call tries in vain to find room.
const MAX_FAILURES: u32 = 32;

/// Maximum number of trial layouts in the search for chains of moves in one call.
const MAX_TRIAL_LAYOUTS: u32 = 64;

/// Limits of one call of planning.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Number of loads that may begin.
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
    /// Weighted pending requests that the copy relieves.
    pub gain: f64,
}

/// Result of the search for room for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Search {
    /// Steps were taken, or pending steps are awaited.
    InProgress,
    /// No room was found.
    Failed,
}

/// State of one call of planning.
pub(crate) struct Plan<'a> {
    pub layout: &'a mut Layout,
    pub limits: Limits,
    pub steps: Vec<Step>,
    /// Number of trial layouts that may still be made in the search for chains of moves.
    pub trials_left: u32,
}

/// Chooses the next steps and applies them to `layout` as pending steps.
pub(crate) fn next_steps(layout: &mut Layout, limits: Limits) -> Vec<Step> {
    let mut plan = Plan {
        layout,
        limits,
        steps: Vec::new(),
        trials_left: MAX_TRIAL_LAYOUTS,
    };
    plan.unload_obsolete();
    plan.load_missing();
    plan.unload_surplus();
    plan.steps
}

/// Plans round after round until no step is left or about `limit` steps are taken. Each
/// round assumes that all steps of the previous one are completed.
pub(crate) fn plan_to_end(layout: &mut Layout, limits: Limits, limit: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    while steps.len() < limit {
        let round = next_steps(layout, limits);
        if round.is_empty() && !layout.has_pending_steps() {
            break;
        }
        steps.extend(round);
        layout.complete_steps();
        mark_current(layout);
    }
    steps
}

/// Recomputes which copies are of the version in force. For an adapter's copy, the engine
/// must also hold the base in its version in force.
pub(crate) fn mark_current(layout: &mut Layout) {
    for e in 0..layout.engines.len() {
        for c in 0..layout.engines[e].copies.len() {
            let copy = &layout.engines[e].copies[c];
            let row = &layout.rows[copy.row];
            let in_force = row.listed && copy.version == row.version;
            let based = row.base.is_none_or(|base| {
                let version = &layout.rows[base].version;
                layout.engines[e]
                    .copies
                    .iter()
                    .any(|copy| copy.row == base && copy.version == *version)
            });
            layout.engines[e].copies[c].current = in_force && based;
        }
    }
}

impl Plan<'_> {
    /// Unloads obsolete copies, where enough copies that replace them are ready.
    fn unload_obsolete(&mut self) {
        for e in 0..self.layout.engines.len() {
            if !self.layout.engines[e].accepts_orders {
                continue;
            }
            for c in 0..self.layout.engines[e].copies.len() {
                if let Some(reason) = self.obsolete_reason(e, c) {
                    self.unload(e, c, reason);
                }
            }
        }
    }

    /// Why a copy can be unloaded as obsolete; `None` if the copy is still needed.
    fn obsolete_reason(&self, e: usize, c: usize) -> Option<Reason> {
        let copy = &self.layout.engines[e].copies[c];
        let row = &self.layout.rows[copy.row];
        if copy.state != CopyState::Ready || self.is_sole_base(e, c) {
            return None;
        }
        if !row.listed {
            return Some(Reason::Removed);
        }
        let enough = self.layout.ready_copies(copy.row, true) >= row.min.max(1);
        let spare = self.layout.ready_copies(copy.row, false) > self.wanted_copies(copy.row);
        (!copy.current && (enough || spare)).then_some(Reason::OldVersion)
    }

    /// Unloads copies beyond a row's maximum. Not while a row lacks copies, since during a
    /// chain of moves a row has a copy at both ends for a time.
    fn unload_surplus(&mut self) {
        let lacking = |need: &Need| need.reason != Reason::Demand;
        if (0..self.layout.rows.len()).any(|row| self.need_of(row).as_ref().is_some_and(lacking)) {
            return;
        }
        for e in 0..self.layout.engines.len() {
            for c in 0..self.layout.engines[e].copies.len() {
                let copy = &self.layout.engines[e].copies[c];
                let row = &self.layout.rows[copy.row];
                let limit = row.max.max(row.min).max(1);
                let spare = self.layout.ready_copies(copy.row, true) > limit;
                let unloadable =
                    self.layout.engines[e].accepts_orders && copy.state == CopyState::Ready;
                if unloadable && copy.current && spare && !self.is_sole_base(e, c) {
                    self.unload(e, c, Reason::Surplus);
                }
            }
        }
    }

    /// Number of copies that the row should have by its minimum and its demand.
    fn wanted_copies(&self, row: usize) -> u32 {
        let row = &self.layout.rows[row];
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wanted = (row.demand / self.limits.copy_load).ceil() as u32;
        wanted.min(row.max).max(row.min).max(1)
    }

    /// Whether adapters on the engine depend on this copy as their only ready base.
    pub fn is_sole_base(&self, e: usize, c: usize) -> bool {
        let copies = &self.layout.engines[e].copies;
        let row = copies[c].row;
        let other = copies
            .iter()
            .enumerate()
            .any(|(i, copy)| i != c && copy.row == row && copy.state == CopyState::Ready);
        !other
            && copies
                .iter()
                .any(|copy| self.layout.rows[copy.row].base == Some(row))
    }

    /// Loads missing copies, most urgent first, until the limit of loads is reached.
    fn load_missing(&mut self) {
        let mut failures = 0;
        for need in self.needs() {
            if self.limits.loads == 0 || failures == MAX_FAILURES {
                break;
            }
            if self.meet_need(need) == Search::Failed {
                failures += 1;
            }
        }
    }

    /// The rows that lack a copy, most urgent first. Among equally urgent rows models come
    /// before adapters, and large rows before small ones; rows that lack a copy for their
    /// demand are in order of gain.
    fn needs(&self) -> Vec<Need> {
        let mut needs: Vec<Need> = (0..self.layout.rows.len())
            .filter_map(|row| self.need_of(row))
            .collect();
        needs.sort_by(|a, b| {
            let key = |need: &Need| {
                let row = &self.layout.rows[need.row];
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

    /// What the row lacks; `None` if the row has enough copies or relieving its demand is
    /// not worth a move.
    fn need_of(&self, index: usize) -> Option<Need> {
        let row = &self.layout.rows[index];
        if !row.listed {
            return None;
        }
        let have = self.layout.current_copies(index);
        let reason = if row.min > 0 && !self.layout.has_copy(index) {
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

    /// Weighted pending requests that a further copy beside `copies` relieves.
    pub fn relief(&self, row: usize, copies: u32) -> f64 {
        let rest = self.layout.rows[row].demand - f64::from(copies) * self.limits.copy_load;
        rest.clamp(0.0, self.limits.copy_load)
    }

    /// Makes room for a copy of the row and loads it, or starts with the steps that lead
    /// there.
    fn meet_need(&mut self, need: Need) -> Search {
        let needed_mb = self.layout.rows[need.row].memory_mb;
        if let Some(engine) = self.best_engine(need, needed_mb) {
            self.load(engine, need.row, need.reason);
            return Search::InProgress;
        }
        if self.base_is_incoming(need.row) {
            return Search::InProgress;
        }
        if self.make_room(need, needed_mb) == Search::InProgress {
            return Search::InProgress;
        }
        match self.layout.rows[need.row].base {
            Some(base) => self.meet_need_of_base(need, base),
            None if need.reason == Reason::Demand => Search::Failed,
            None => self.move_in_chain(need, needed_mb),
        }
    }

    /// Places another copy of an adapter's base where the adapter fits beside it.
    fn meet_need_of_base(&mut self, need: Need, base: usize) -> Search {
        let row = &self.layout.rows[base];
        if !row.listed || self.layout.current_copies(base) >= row.max.max(row.min) {
            return self.move_in_chain(need, self.layout.rows[need.row].memory_mb);
        }
        let needed_mb = row.memory_mb + self.layout.rows[need.row].memory_mb;
        let both = Need { row: base, ..need };
        if let Some(engine) = self.best_engine(both, needed_mb) {
            self.load(engine, base, Reason::Base);
            return Search::InProgress;
        }
        if self.make_room(both, needed_mb) == Search::InProgress {
            return Search::InProgress;
        }
        match need.reason {
            Reason::Demand => Search::Failed,
            _ => self.move_in_chain(both, needed_mb),
        }
    }

    /// Whether the row is an adapter whose base is being loaded on an engine where the
    /// adapter fits.
    fn base_is_incoming(&self, row: usize) -> bool {
        let Some(base) = self.layout.rows[row].base else {
            return false;
        };
        let free = self.layout.rows[row].memory_mb;
        self.layout.copies(base).any(|(e, copy)| {
            copy.state == CopyState::Incoming
                && self.layout.engines[e].available
                && !self.layout.occupied(e, row)
                && self.layout.free_mb(e) >= free
        })
    }

    /// The best engine that has `needed_mb` megabytes free and can load the row.
    pub fn best_engine(&self, need: Need, needed_mb: u64) -> Option<usize> {
        let existing = self.layout.copies_by_data_centre(need.row);
        (0..self.layout.engines.len())
            .filter(|&e| self.layout.free_mb(e) >= needed_mb && self.can_load(e, need))
            .min_by(|&a, &b| {
                let rank = |e: usize| {
                    let centre = self.layout.engines[e].data_centre;
                    (
                        !self.has_waiting_adapters(e, need.row),
                        need.reason != Reason::Demand && !self.layout.is_target(e, need.row),
                        existing.get(&centre).copied().unwrap_or(0),
                    )
                };
                let load = self
                    .layout
                    .engine_demand(a)
                    .total_cmp(&self.layout.engine_demand(b));
                let free = self.layout.free_mb(b).cmp(&self.layout.free_mb(a));
                if self.layout.best_fit {
                    return free.reverse().then(a.cmp(&b));
                }
                rank(a).cmp(&rank(b)).then(load).then(free)
            })
    }

    /// Whether the engine can load the row, apart from memory.
    pub fn can_load(&self, e: usize, need: Need) -> bool {
        let engine = &self.layout.engines[e];
        let based = self.layout.rows[need.row].base.is_none_or(|base| {
            engine.copies.iter().any(|copy| {
                copy.row == base
                    && copy.state == CopyState::Ready
                    && (copy.current || need.reason == Reason::Restore)
            })
        });
        engine.accepts_orders
            && engine.available
            && based
            && !self.layout.occupied(e, need.row)
            && !engine.refused_rows.contains(&need.row)
    }

    /// Whether the engine has another version of this base, with adapters that need the
    /// version in force.
    fn has_waiting_adapters(&self, e: usize, row: usize) -> bool {
        let copies = &self.layout.engines[e].copies;
        copies.iter().any(|copy| copy.row == row)
            && copies
                .iter()
                .any(|copy| self.layout.rows[copy.row].base == Some(row))
    }

    /// Adds the load of a row, which counts against the limit of loads.
    pub fn load(&mut self, engine: usize, row: usize, reason: Reason) {
        let (name, version) = self.layout.load(engine, row);
        self.limits.loads = self.limits.loads.saturating_sub(1);
        self.steps.push(Step {
            engine: self.layout.engines[engine].name.clone(),
            row: name,
            version,
            load: true,
            reason,
        });
    }

    /// Adds the unload of a copy.
    pub fn unload(&mut self, e: usize, c: usize, reason: Reason) {
        let engine = &mut self.layout.engines[e];
        let copy = &mut engine.copies[c];
        copy.state = CopyState::Outgoing;
        self.steps.push(Step {
            engine: engine.name.clone(),
            row: self.layout.rows[copy.row].name.clone(),
            version: copy.version.clone(),
            load: false,
            reason,
        });
    }
}
