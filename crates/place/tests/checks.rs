//! The check whether a table can be placed, and chains of moves where free memory is
//! scattered.

mod common;

use common::{Simulation, adapter, engine, row, table};
use mulberryrack_place::{Settings, check};
use std::time::Duration;

#[test]
fn a_table_that_fits_passes() {
    let rows = vec![
        row("a", 60, 1, 1),
        row("b", 60, 1, 1),
        adapter("b-x", "b", 40, 1, 1),
    ];
    let engines = [engine(0, 100, false), engine(1, 100, false)];
    assert_eq!(check(&table(1, rows), &engines), Ok(()));
}

#[test]
fn a_shortfall_has_the_row_the_missing_memory_and_the_engine() {
    let rows = vec![row("a", 60, 2, 2), row("b", 55, 1, 1)];
    let engines = [engine(0, 100, false), engine(1, 110, false)];
    let short = check(&table(1, rows), &engines).expect_err("no second copy of a");
    // Each row gets a first copy before any gets a second one.
    assert_eq!(short.len(), 1);
    let short = &short[0];
    assert_eq!((&*short.row, short.copies, short.missing_mb), ("a", 1, 15));
    assert_eq!(
        (&*short.engine, &*short.data_centre),
        ("engine-0000", "hall-0")
    );
}

#[test]
fn an_adapter_that_does_not_fit_beside_its_base_is_reported() {
    let rows = vec![row("a", 80, 1, 1), adapter("a-x", "a", 30, 1, 1)];
    let short = check(&table(1, rows), &[engine(0, 100, false)]).expect_err("too large");
    assert_eq!((&*short[0].row, short[0].missing_mb), ("a-x", 10));
}

#[test]
fn more_copies_than_engines_are_reported_with_no_memory_missing() {
    let short = check(&table(1, vec![row("a", 1, 3, 3)]), &[engine(0, 100, false)]);
    let short = short.expect_err("one engine");
    assert_eq!((short[0].copies, short[0].missing_mb), (2, 0));
}

#[test]
fn nothing_is_placed_on_a_leaving_engine() {
    let mut machine = engine(0, 100, false);
    machine.leaving = true;
    assert!(check(&table(1, vec![row("a", 1, 1, 1)]), &[machine]).is_err());
}

/// Three engines with 40 MB free each: two rows of 30 MB have to share an engine before a
/// row of 70 MB fits.
#[test]
fn a_chain_of_moves_joins_scattered_free_memory() {
    let rows = vec![row("a", 30, 1, 1), row("b", 30, 1, 1), row("c", 30, 1, 1)];
    let engines = (0..3).map(|i| engine(i, 70, false)).collect();
    let mut sim = Simulation::new(6, Settings::default(), engines, rows.clone());
    sim.start("host-a");
    sim.converge(Duration::from_secs(30)).expect("one on each");
    let mut rows = rows;
    rows.push(row("large", 70, 1, 1));
    assert_eq!(check(&table(2, rows.clone()), &sim.listing), Ok(()));
    sim.release_table(rows);
    assert!(sim.converge(Duration::from_secs(60)).is_some());
}

/// Moves that depend on another move: "x" fits only where "y" is, so "y" has to move
/// elsewhere first.
#[test]
fn a_chain_of_two_moves_is_found() {
    let rows = vec![row("x", 50, 1, 1), row("y", 40, 1, 1), row("z", 45, 1, 1)];
    let engines = vec![
        engine(0, 100, false),
        engine(1, 55, false),
        engine(2, 50, false),
    ];
    let mut sim = Simulation::new(7, Settings::default(), engines, rows.clone());
    sim.start("host-a");
    sim.converge(Duration::from_secs(60)).expect("placed");
    let mut rows = rows;
    rows[2] = row("z", 45, 1, 1);
    rows.push(row("w", 55, 1, 1));
    assert_eq!(check(&table(2, rows.clone()), &sim.listing), Ok(()));
    sim.release_table(rows);
    assert!(sim.converge(Duration::from_secs(120)).is_some());
}
