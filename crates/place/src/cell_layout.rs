//! Computes the layout that a cell plans for, from the engines' reports and records and the
//! table.

use crate::{
    cell::{Cell, Shared},
    engine::Engine,
    layout::{self, Copy, CopyState, Layout, Row},
    plan::mark_current,
};
use mulberryrack_core::{Name, Time, request::Priority, upstream::Residency};
use std::collections::{BTreeMap, BTreeSet};

impl Cell {
    /// The layout as it is now, including pending orders.
    pub fn layout(&self, now: Time, term: u64, shared: &Shared) -> Layout {
        let isolated = self.isolated(now, shared.settings.lost_timeout);
        let mut rows = shared.rows.clone();
        for (row, cell) in rows.iter_mut().zip(&shared.row_cells) {
            row.listed = *cell == self.id;
            row.demand = shared.demand.pending(&row.name) * priority_weight(row.priority);
        }
        let mut engines = Vec::with_capacity(self.engines.len());
        let mut row_index = shared.row_index.clone();
        for engine in self.engines.values() {
            let answers = engine.answers(now, shared.settings.lost_timeout);
            let copies = self.copies(engine, now, shared, &mut rows, &mut row_index);
            let refused_rows = (0..shared.rows.len())
                .filter(|&row| engine.recently_refused(now, &shared.rows[row].name))
                .collect();
            let data_centre = shared
                .data_centres
                .binary_search(&engine.listing.data_centre);
            engines.push(layout::Engine {
                name: engine.listing.name.clone(),
                data_centre: data_centre.unwrap_or(0),
                capacity_mb: engine.capacity_mb(),
                used_mb: engine.used_mb(),
                restart_mb: engine.restart_mb(),
                accepts_orders: engine.accepts_orders(now, term) && answers && !engine.leaving(),
                available: !engine.leaving() && (answers || isolated),
                copies,
                refused_rows,
            });
        }
        for row in rows.iter_mut().skip(shared.rows.len()) {
            let base = shared.former_bases.get(&row.name);
            row.base = base.and_then(|base| row_index.get(base)).copied();
        }
        let mut layout = Layout::new(rows, engines);
        let by_index = |names: &BTreeSet<Name>| {
            let engines = layout.engines.iter().enumerate();
            let chosen = engines.filter(|(_, engine)| names.contains(&engine.name));
            chosen.map(|(e, _)| e).collect()
        };
        layout.targets = shared.target_engines.iter().map(by_index).collect();
        mark_current(&mut layout);
        layout
    }

    /// The copies on an engine, reported or pending. Adds rows that are not in the table to
    /// `rows` and `row_index`.
    fn copies(
        &self,
        engine: &Engine,
        now: Time,
        shared: &Shared,
        rows: &mut Vec<Row>,
        row_index: &mut BTreeMap<Name, usize>,
    ) -> Vec<Copy> {
        let mut copies: Vec<Copy> = Vec::new();
        let mut add = |row: &Name, version: &Name, memory_mb: u64, state: CopyState| {
            let row_key = *row_index.entry(row.clone()).or_insert_with(|| {
                rows.push(unlisted(row, version));
                rows.len() - 1
            });
            let known = copies
                .iter()
                .any(|copy| copy.row == row_key && copy.version == *version);
            if !known {
                copies.push(Copy {
                    row: row_key,
                    version: version.clone(),
                    current: false,
                    memory_mb,
                    state,
                });
            }
        };
        for resident in engine.report.iter().flat_map(|report| &report.residents) {
            let (row, version) = (&resident.row, &resident.version);
            let state = self.copy_state(engine, row, version, resident.state, now, shared);
            add(row, version, resident.memory_mb, state);
        }
        for intent in engine.pending() {
            if let Some(((row, version), memory_mb)) = intent.load() {
                add(&row, &version, memory_mb, CopyState::Incoming);
            } else if let Some((row, version)) = intent.unload() {
                add(&row, &version, 0, CopyState::Outgoing);
            }
        }
        copies
    }

    /// State of a reported copy. A copy that is routable nowhere but in this cell, although
    /// its row belongs to another cell, counts as incoming, so that it is not unloaded.
    fn copy_state(
        &self,
        engine: &Engine,
        row: &Name,
        version: &Name,
        residency: Residency,
        now: Time,
        shared: &Shared,
    ) -> CopyState {
        if residency == Residency::Unloading || engine.unloads(row, version) {
            return CopyState::Outgoing;
        }
        let base = shared.base(row);
        let routable = engine.known_routable(now, row, version, shared.settings.unroute_delay)
            && engine.routable(row, version, base.as_deref());
        if routable && !shared.routable_only_in(self.id, row) {
            CopyState::Ready
        } else {
            CopyState::Incoming
        }
    }
}

/// Weight of a pending request, by the priority of its row.
const fn priority_weight(priority: Priority) -> f64 {
    match priority {
        Priority::Urgent => 4.0,
        Priority::Normal => 1.0,
        Priority::Bulk => 0.5,
    }
}

/// A row that is in an engine's memory but not in the table.
fn unlisted(row: &Name, version: &Name) -> Row {
    Row {
        name: row.clone(),
        version: version.clone(),
        memory_mb: 0,
        base: None,
        priority: Priority::Bulk,
        min: 0,
        max: 0,
        demand: 0.0,
        listed: false,
    }
}
