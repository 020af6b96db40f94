//! The world that a cell plans for, from reports, records and the table.

use crate::{
    cell::{Cell, Shared},
    engine::Engine,
    plan::refresh,
    world::{self, Copy, Row, State, World},
};
use mulberryrack_core::{Name, Time, request::Priority, upstream::Residency};
use std::collections::{BTreeMap, BTreeSet};

impl Cell {
    /// The world as it is now, for planning.
    pub fn survey(&self, now: Time, term: u64, shared: &Shared) -> World {
        let isolated = self.isolated(now, shared.settings.lost);
        let mut rows = shared.rows.clone();
        for (row, home) in rows.iter_mut().zip(&shared.homes) {
            row.listed = *home == self.id;
            row.load = shared.demand.load(&row.name) * weight(row.priority);
        }
        let mut engines = Vec::with_capacity(self.engines.len());
        let mut index = shared.index.clone();
        for engine in self.engines.values() {
            let answers = engine.answers(now, shared.settings.lost);
            let copies = self.copies(engine, now, shared, &mut rows, &mut index);
            let refused = (0..shared.rows.len())
                .filter(|&row| engine.refuses(now, &shared.rows[row].name))
                .collect();
            let centre = shared.centres.binary_search(&engine.listing.data_centre);
            engines.push(world::Engine {
                name: engine.listing.name.clone(),
                data_centre: centre.unwrap_or(0),
                capacity_mb: engine.capacity_mb(),
                used_mb: engine.used_mb(),
                restart_mb: engine.restart_mb(),
                open: engine.open(now, term) && answers && !engine.leaving(),
                counts: !engine.leaving() && (answers || isolated),
                copies,
                refused,
            });
        }
        for row in rows.iter_mut().skip(shared.rows.len()) {
            let base = shared.former.get(&row.name);
            row.base = base.and_then(|base| index.get(base)).copied();
        }
        let mut world = World::new(rows, engines);
        let target = |names: &BTreeSet<Name>| {
            let engines = world.engines.iter().enumerate();
            let chosen = engines.filter(|(_, engine)| names.contains(&engine.name));
            chosen.map(|(e, _)| e).collect()
        };
        world.targets = shared.targets.iter().map(target).collect();
        refresh(&mut world);
        world
    }

    fn copies(
        &self,
        engine: &Engine,
        now: Time,
        shared: &Shared,
        rows: &mut Vec<Row>,
        index: &mut BTreeMap<Name, usize>,
    ) -> Vec<Copy> {
        let mut copies: Vec<Copy> = Vec::new();
        let mut add = |row: &Name, version: &Name, memory_mb: u64, state: State| {
            let key = *index.entry(row.clone()).or_insert_with(|| {
                rows.push(stranger(row, version));
                rows.len() - 1
            });
            let known = copies
                .iter()
                .any(|copy| copy.row == key && copy.version == *version);
            if !known {
                copies.push(Copy {
                    row: key,
                    version: version.clone(),
                    current: false,
                    memory_mb,
                    state,
                });
            }
        };
        for resident in engine.report.iter().flat_map(|report| &report.residents) {
            let (row, version) = (&resident.row, &resident.version);
            let state = self.state(engine, row, version, resident.state, now, shared);
            add(row, version, resident.memory_mb, state);
        }
        for intent in engine.pending() {
            if let Some(((row, version), memory_mb)) = intent.load() {
                add(&row, &version, memory_mb, State::Coming);
            } else if let Some((row, version)) = intent.unload() {
                add(&row, &version, 0, State::Going);
            }
        }
        copies
    }

    fn state(
        &self,
        engine: &Engine,
        row: &Name,
        version: &Name,
        residency: Residency,
        now: Time,
        shared: &Shared,
    ) -> State {
        if residency == Residency::Unloading || engine.unloads(row, version) {
            return State::Going;
        }
        let base = shared.base(row);
        let routable = engine.known_routable(now, row, version, shared.settings.unroute)
            && engine.routable(row, version, base.as_deref());
        if routable && !shared.only_here(self.id, row) {
            State::Ready
        } else {
            State::Coming
        }
    }
}

/// How much one pending request weighs against those of other rows.
const fn weight(priority: Priority) -> f64 {
    match priority {
        Priority::Urgent => 4.0,
        Priority::Normal => 1.0,
        Priority::Bulk => 0.5,
    }
}

fn stranger(row: &Name, version: &Name) -> Row {
    Row {
        name: row.clone(),
        version: version.clone(),
        memory_mb: 0,
        base: None,
        priority: Priority::Bulk,
        min: 0,
        max: 0,
        load: 0.0,
        listed: false,
    }
}
