//! Status of the planner for operators: its engines, the copies on them, and the steps that
//! are left.

use crate::{
    layout::Step,
    plan::{self, Limits},
    planner::Planner,
    record::Intent,
};
use mulberryrack_core::{Name, Time, upstream::Residency};
use serde::{Deserialize, Serialize};

/// Maximum number of steps listed for each cell.
const MAX_STEPS: usize = 10_000;

/// A version of a row on an engine, reported or pending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Name of the engine.
    pub engine: Name,
    /// Name of the row.
    pub row: Name,
    /// Version of the weights.
    pub version: Name,
    /// State that the engine reported; `None` while a load is pending and the engine has
    /// not reported the copy.
    pub state: Option<Residency>,
    /// Whether new requests may go to the copy.
    pub routable: bool,
    /// Whether a load of the copy may still take effect.
    pub load_pending: bool,
    /// Whether an unload of the copy may still take effect.
    pub unload_pending: bool,
}

/// Memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// Name of the engine.
    pub engine: Name,
    /// Name of its data centre.
    pub data_centre: Name,
    /// Whether the engine has answered recently.
    pub answers: bool,
    /// Whether the engine is about to go away.
    pub leaving: bool,
    /// Memory in megabytes; 0 if not known.
    pub capacity_mb: u64,
    /// Megabytes that may be in use, pending loads included.
    pub possible_mb: u64,
}

/// State of the cells that this host holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Version of the table in force; 0 before the first one.
    pub table: u64,
    /// Ids of the cells that this host holds.
    pub cells: Vec<u32>,
    /// The engines of these cells.
    pub engines: Vec<Memory>,
    /// The copies on these engines, reported or pending.
    pub placements: Vec<Placement>,
    /// Steps that are left until the table is in memory, in order, without the pending
    /// ones. About 10,000 at most for each cell.
    pub plan: Vec<Step>,
}

impl Planner {
    /// The status of the cells that this host holds, as of `now`.
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
            let mut layout = cell.layout(now, term, &self.shared);
            for engine in &mut layout.engines {
                engine.accepts_orders |= engine.available;
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
                .extend(plan::plan_to_end(&mut layout, limits, MAX_STEPS));
        }
        status
    }

    fn add_engine(&self, now: Time, engine: &crate::engine::Engine, status: &mut Status) {
        let name = &engine.listing.name;
        let answers = engine.answers(now, self.shared.settings.lost_timeout);
        status.engines.push(Memory {
            engine: name.clone(),
            data_centre: engine.listing.data_centre.clone(),
            answers,
            leaving: engine.leaving(),
            capacity_mb: engine.capacity_mb(),
            possible_mb: engine.used_mb(),
        });
        let load_pending = |row: &Name, version: &Name| {
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
                load_pending: load_pending(&row, &version),
                unload_pending: engine.unloads(&row, &version),
                row,
                version,
                state,
            });
        }
    }
}
