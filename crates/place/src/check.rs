//! Whether a table can be placed on the engines there are.

use crate::{
    plan::{Limits, finish},
    world::{Engine, Row, World},
};
use mulberryrack_core::{
    Name,
    node::{Listing, Role},
};
use mulberryrack_table::{Kind, Table};
use std::collections::{BTreeMap, BTreeSet};

/// Most steps that a trial takes for each row.
const STEPS_PER_ROW: usize = 20;

/// A row that gets fewer copies than its lowest number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Name of the row.
    pub row: Name,
    /// Copies that cannot be placed.
    pub copies: u32,
    /// Megabytes that are missing for the next copy on the engine with most room; zero
    /// when there is room, but no engine is left that may take another copy.
    pub missing_mb: u64,
    /// The engine with most room for it; empty when there is no engine.
    pub engine: Name,
    /// That engine's data centre.
    pub data_centre: Name,
}

/// Tells whether every row's lowest number of copies can be in memory at once, adapters
/// beside their bases.
///
/// # Errors
///
/// Every row that cannot be placed once the others are.
pub fn check(table: &Table, engines: &[Listing]) -> Result<(), Vec<Shortfall>> {
    let centres = centres(engines);
    let world = filled(table, engines, &centres, false);
    if complete(&world) || complete(&filled(table, engines, &centres, true)) {
        return Ok(());
    }
    let short = (0..world.rows.len())
        .filter(|&row| world.have(row) < world.rows[row].min)
        .map(|row| shortfall(&world, row, &centres));
    Err(short.collect())
}

/// A placement that gives every row its lowest number of copies: the engines of each row,
/// by the row's index. Empty when none is found.
pub(crate) fn placement(table: &Table, engines: &[Listing]) -> Vec<BTreeSet<Name>> {
    let centres = centres(engines);
    let world = [false, true]
        .into_iter()
        .map(|tight| filled(table, engines, &centres, tight))
        .find(complete);
    let Some(world) = world else {
        return Vec::new();
    };
    let places = |row| {
        let copies = world.copies(row);
        copies.map(|(e, _)| world.engines[e].name.clone()).collect()
    };
    (0..world.rows.len()).map(places).collect()
}

fn complete(world: &World) -> bool {
    (0..world.rows.len()).all(|row| world.have(row) >= world.rows[row].min)
}

/// Empty engines with the table placed on them as far as there is room.
fn filled(table: &Table, engines: &[Listing], centres: &[Name], tight: bool) -> World {
    let mut world = empty(table, engines, centres);
    world.tight = tight;
    let most = world.rows.len() * STEPS_PER_ROW;
    finish(&mut world, minimum(), most);
    world
}

/// Limits under which only lowest numbers of copies are met.
const fn minimum() -> Limits {
    Limits {
        loads: u32::MAX,
        move_price: f64::MAX,
        copy_load: 1.0,
    }
}

/// The table's models and adapters as rows, with their indices by name.
pub(crate) fn rows(table: &Table) -> (Vec<Row>, BTreeMap<Name, usize>) {
    let wanted = || table.rows.iter().filter(|row| row.kind != Kind::Service);
    let index: BTreeMap<Name, usize> = wanted()
        .enumerate()
        .map(|(index, row)| (row.name.clone(), index))
        .collect();
    let rows = wanted().map(|row| Row {
        name: row.name.clone(),
        version: row.version.clone(),
        memory_mb: row.memory_mb,
        base: row.base.as_ref().and_then(|base| index.get(base).copied()),
        priority: row.priority,
        min: row.min_copies,
        max: row.max_copies,
        load: 0.0,
        listed: true,
    });
    (rows.collect(), index)
}

/// Data centres in order of name.
pub(crate) fn centres(engines: &[Listing]) -> Vec<Name> {
    let mut centres: Vec<Name> = engines
        .iter()
        .map(|engine| engine.data_centre.clone())
        .collect();
    centres.sort();
    centres.dedup();
    centres
}

fn empty(table: &Table, engines: &[Listing], centres: &[Name]) -> World {
    let engines = engines
        .iter()
        .filter(|engine| engine.role == Role::Engine && !engine.leaving)
        .map(|engine| Engine {
            name: engine.name.clone(),
            data_centre: centres.binary_search(&engine.data_centre).unwrap_or(0),
            capacity_mb: engine.memory_mb,
            used_mb: 0,
            restart_mb: 0,
            open: true,
            counts: true,
            copies: Vec::new(),
            refused: Vec::new(),
        });
    World::new(rows(table).0, engines.collect())
}

fn shortfall(world: &World, row: usize, centres: &[Name]) -> Shortfall {
    let wanted = &world.rows[row];
    let best = (0..world.engines.len())
        .filter(|&e| !world.occupied(e, row))
        .max_by_key(|&e| {
            let based = wanted.base.is_none_or(|base| world.occupied(e, base));
            (based, world.free_mb(e))
        });
    let place = best.map(|e| &world.engines[e]);
    let missing_mb = best.map_or(0, |e| {
        let base = wanted.base.filter(|&base| !world.occupied(e, base));
        let base_mb = base.map_or(0, |base| world.rows[base].memory_mb);
        (wanted.memory_mb + base_mb).saturating_sub(world.free_mb(e))
    });
    Shortfall {
        row: wanted.name.clone(),
        copies: wanted.min - world.have(row),
        missing_mb,
        engine: place.map_or_else(|| Name::from(""), |engine| engine.name.clone()),
        data_centre: place.map_or_else(
            || Name::from(""),
            |engine| centres[engine.data_centre].clone(),
        ),
    }
}
