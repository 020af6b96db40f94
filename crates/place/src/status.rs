//! What operators see of a planner: engines, copies, what is pending and why.

use crate::{
    plan::{self, Limits},
    planner::Planner,
    record::Intent,
    world::Step,
};
use mulberryrack_core::{Name, Time, upstream::Residency};
use serde::{Deserialize, Serialize};

/// Most steps that are listed.
const MAX_STEPS: usize = 10_000;

/// A version of a row on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Name of the engine.
    pub engine: Name,
    /// Name of the row.
    pub row: Name,
    /// Version of the weights.
    pub version: Name,
    /// Its state as observed; `None` while an order is pending and nothing is observed.
    pub state: Option<Residency>,
    /// Whether new requests may go to it.
    pub routable: bool,
    /// Whether a load may still take effect.
    pub load_pending: bool,
    /// Whether an unload may still take effect.
    pub unload_pending: bool,
}

/// Memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// Name of the engine.
    pub engine: Name,
    /// Name of its data centre.
    pub data_centre: Name,
    /// Whether it answers.
    pub answers: bool,
    /// Whether it is about to go away.
    pub leaving: bool,
    /// Megabytes that there are.
    pub capacity_mb: u64,
    /// Megabytes that may be taken, pending loads included.
    pub possible_mb: u64,
}

/// What this host's planner knows of the cells that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Version of the table that is planned for; 0 before the first.
    pub table: u64,
    /// Cells held by this host.
    pub cells: Vec<u32>,
    /// Their engines.
    pub engines: Vec<Memory>,
    /// Copies, observed and pending.
    pub placements: Vec<Placement>,
    /// Steps that are left until the table is in memory everywhere, in order; pending
    /// ones are not among them.
    pub plan: Vec<Step>,
}

impl Planner {
    /// The cells that this host holds, as they are now.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let mut status = Status {
            table: self.shared.table.as_ref().map_or(0, |table| table.version),
            ..Status::default()
        };
        for cell in self.cells.values() {
            let Some(term) = cell.term else {
                continue;
            };
            status.cells.push(cell.id);
            let mut world = cell.survey(now, term, &self.shared);
            for engine in &mut world.engines {
                engine.open |= engine.counts;
            }
            for engine in cell.engines.values() {
                self.add_engine(now, engine, &mut status);
            }
            let limits = Limits {
                loads: u32::MAX,
                move_price: self.shared.settings.move_price,
                copy_load: self.shared.settings.copy_load,
            };
            status
                .plan
                .extend(plan::finish(&mut world, limits, MAX_STEPS));
        }
        status
    }

    fn add_engine(&self, now: Time, engine: &crate::engine::Engine, status: &mut Status) {
        let name = &engine.listing.name;
        let answers = engine.answers(now, self.shared.settings.lost);
        status.engines.push(Memory {
            engine: name.clone(),
            data_centre: engine.listing.data_centre.clone(),
            answers,
            leaving: engine.leaving(),
            capacity_mb: engine.capacity_mb(),
            possible_mb: engine.used_mb(),
        });
        let loads = |row: &Name, version: &Name| {
            let mut loads = engine.pending().filter_map(Intent::load);
            loads.any(|(id, _)| id.0 == *row && id.1 == *version)
        };
        let observed = engine.report.iter().flat_map(|report| &report.residents);
        let mut rows: Vec<(Name, Name, Option<Residency>)> = observed
            .map(|r| (r.row.clone(), r.version.clone(), Some(r.state)))
            .collect();
        for (id, _) in engine.pending().filter_map(Intent::load) {
            if !rows
                .iter()
                .any(|(row, version, _)| (row, version) == (&id.0, &id.1))
            {
                rows.push((id.0, id.1, None));
            }
        }
        for (row, version, state) in rows {
            let base = self.shared.base(&row);
            status.placements.push(Placement {
                engine: name.clone(),
                routable: answers && engine.routable(&row, &version, base.as_deref()),
                load_pending: loads(&row, &version),
                unload_pending: engine.unloads(&row, &version),
                row,
                version,
                state,
            });
        }
    }
}
