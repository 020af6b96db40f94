//! Checks whether a table can be placed on the engines that there are.

use crate::{
    layout::{Engine, Layout, Row},
    plan::{Limits, plan_to_end},
};
use mulberryrack_core::{
    Name,
    node::{Listing, Role},
};
use mulberryrack_table::{Kind, Table};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of steps for each row in a trial placement.
const MAX_STEPS_PER_ROW: usize = 20;

/// A row that gets fewer copies than its minimum.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Name of the row.
    pub row: Name,
    /// Number of copies that cannot be placed.
    pub copies: u32,
    /// Megabytes that are missing for the next copy on `engine`; zero if the memory
    /// suffices, but no engine is left that may take another copy.
    pub missing_mb: u64,
    /// The engine with most free memory for the row, where an engine that has the row's
    /// base comes first. Empty if no engine is left for the row.
    pub engine: Name,
    /// Data centre of `engine`; empty if there is none.
    pub data_centre: Name,
}

/// Checks whether every row's minimum number of copies can be in memory at once, adapters
/// on the same engine as their bases. The search is a heuristic: it may refuse a table for
/// which a placement exists, but a table that passes can be placed.
///
/// # Errors
///
/// Returns every row that lacks copies once as much as possible is placed.
pub fn check(table: &Table, engines: &[Listing]) -> Result<(), Vec<Shortfall>> {
    let data_centres = data_centres(engines);
    let layout = place_all(table, engines, &data_centres, false);
    if has_minimums(&layout) || has_minimums(&place_all(table, engines, &data_centres, true)) {
        return Ok(());
    }
    let short = (0..layout.rows.len())
        .filter(|&row| layout.current_copies(row) < layout.rows[row].min)
        .map(|row| shortfall(&layout, row, &data_centres));
    Err(short.collect())
}

/// A placement that gives every row its minimum number of copies: the engines of each row,
/// by the row's index. Empty if none is found.
pub(crate) fn minimum_placement(table: &Table, engines: &[Listing]) -> Vec<BTreeSet<Name>> {
    let data_centres = data_centres(engines);
    let layout = [false, true]
        .into_iter()
        .map(|best_fit| place_all(table, engines, &data_centres, best_fit))
        .find(has_minimums);
    let Some(layout) = layout else {
        return Vec::new();
    };
    let places = |row| {
        let copies = layout.copies(row);
        copies
            .map(|(e, _)| layout.engines[e].name.clone())
            .collect()
    };
    (0..layout.rows.len()).map(places).collect()
}

/// Whether every row has its minimum number of copies.
fn has_minimums(layout: &Layout) -> bool {
    (0..layout.rows.len()).all(|row| layout.current_copies(row) >= layout.rows[row].min)
}

/// Layout of empty engines on which the table has been placed as far as there is room.
/// `best_fit` as in [`Layout::best_fit`].
fn place_all(table: &Table, engines: &[Listing], data_centres: &[Name], best_fit: bool) -> Layout {
    let mut layout = empty_layout(table, engines, data_centres);
    layout.best_fit = best_fit;
    let limit = layout.rows.len() * MAX_STEPS_PER_ROW;
    plan_to_end(&mut layout, minimum_limits(), limit);
    layout
}

/// Limits under which only the minimum numbers of copies are placed.
const fn minimum_limits() -> Limits {
    Limits {
        loads: u32::MAX,
        move_price: f64::MAX,
        copy_load: 1.0,
    }
}

/// The table's models and adapters as rows, and their indices by name.
pub(crate) fn rows(table: &Table) -> (Vec<Row>, BTreeMap<Name, usize>) {
    let loadable = || table.rows.iter().filter(|row| row.kind != Kind::Service);
    let index: BTreeMap<Name, usize> = loadable()
        .enumerate()
        .map(|(index, row)| (row.name.clone(), index))
        .collect();
    let rows = loadable().map(|row| Row {
        name: row.name.clone(),
        version: row.version.clone(),
        memory_mb: row.memory_mb,
        base: row.base.as_ref().and_then(|base| index.get(base).copied()),
        priority: row.priority,
        min: row.min_copies,
        max: row.max_copies,
        demand: 0.0,
        listed: true,
    });
    (rows.collect(), index)
}

/// The engines' data centres, sorted by name, without duplicates.
pub(crate) fn data_centres(engines: &[Listing]) -> Vec<Name> {
    let mut data_centres: Vec<Name> = engines
        .iter()
        .map(|engine| engine.data_centre.clone())
        .collect();
    data_centres.sort();
    data_centres.dedup();
    data_centres
}

/// Layout of the engines that are not leaving, with nothing in memory.
fn empty_layout(table: &Table, engines: &[Listing], data_centres: &[Name]) -> Layout {
    let engines = engines
        .iter()
        .filter(|engine| engine.role == Role::Engine && !engine.leaving)
        .map(|engine| Engine {
            name: engine.name.clone(),
            data_centre: data_centres.binary_search(&engine.data_centre).unwrap_or(0),
            capacity_mb: engine.memory_mb,
            used_mb: 0,
            restart_mb: 0,
            accepts_orders: true,
            available: true,
            copies: Vec::new(),
            refused_rows: Vec::new(),
        });
    Layout::new(rows(table).0, engines.collect())
}

/// Describes what a row lacks.
fn shortfall(layout: &Layout, row: usize, data_centres: &[Name]) -> Shortfall {
    let required = &layout.rows[row];
    let roomiest = (0..layout.engines.len())
        .filter(|&e| !layout.occupied(e, row))
        .max_by_key(|&e| {
            let based = required.base.is_none_or(|base| layout.occupied(e, base));
            (based, layout.free_mb(e))
        });
    let engine = roomiest.map(|e| &layout.engines[e]);
    let missing_mb = roomiest.map_or(0, |e| {
        let base = required.base.filter(|&base| !layout.occupied(e, base));
        let base_mb = base.map_or(0, |base| layout.rows[base].memory_mb);
        (required.memory_mb + base_mb).saturating_sub(layout.free_mb(e))
    });
    Shortfall {
        row: required.name.clone(),
        copies: required.min - layout.current_copies(row),
        missing_mb,
        engine: engine.map_or_else(|| Name::from(""), |engine| engine.name.clone()),
        data_centre: engine.map_or_else(
            || Name::from(""),
            |engine| data_centres[engine.data_centre].clone(),
        ),
    }
}
