//! Planners without faults: minimum numbers of copies, bases, release of cells.

mod common;

use common::{Simulation, adapter, engine, row};
use mulberryrack_core::upstream::Action;
use mulberryrack_place::{Input, Settings};
use mulberryrack_standin::memory::Memory;
use std::time::Duration;

fn rows() -> Vec<mulberryrack_table::Row> {
    vec![
        row("big", 40, 2, 3),
        row("small", 20, 1, 2),
        adapter("tuned", "big", 5, 2, 3),
    ]
}

#[test]
fn minimum_numbers_of_copies_are_loaded_and_published() {
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(1, Settings::default(), engines, rows());
    sim.start("host-a");
    let took = sim.converge(Duration::from_secs(30)).expect("converges");
    // Five loads at 1.4 a second.
    assert!(took < Duration::from_secs(8), "{took:?}");
    assert_eq!(sim.orders.len(), 5);
    assert_eq!(sim.moves, 5);
    let copies: std::collections::BTreeSet<_> = sim.routable("big").into_iter().collect();
    assert_eq!(copies.len(), 2);
    let writes = sim.store.writes;
    sim.run(Duration::from_secs(60));
    assert_eq!(sim.orders.len(), 5, "nothing moves without a cause");
    // The lease is renewed every third of its ten seconds; settled orders are removed from
    // each record once.
    assert!(
        sim.store.writes - writes < 25,
        "{}",
        sim.store.writes - writes
    );
}

#[test]
fn orders_are_recorded_before_they_are_sent() {
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(1, Settings::default(), engines, rows());
    sim.start("host-a");
    sim.run(Duration::from_secs(2));
    sim.outage = true;
    let sent = sim.orders.len();
    sim.run(Duration::from_secs(20));
    assert!(
        sim.orders.len() <= sent + 1,
        "one write may have been answered"
    );
    sim.outage = false;
    assert!(sim.converge(Duration::from_secs(30)).is_some());
}

#[test]
fn a_leaving_host_releases_its_cell() {
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(1, Settings::default(), engines, rows());
    for name in ["host-a", "host-b", "host-c"] {
        sim.start(name);
    }
    sim.run(Duration::from_secs(3));
    for index in 0..3 {
        sim.send_input(index, Input::Leave);
    }
    sim.run(Duration::from_secs(1));
    assert_eq!(sim.left.len(), 3);
    sim.start("host-d");
    assert!(sim.converge(Duration::from_secs(30)).is_some());
}

#[test]
fn rows_that_leave_the_table_are_unloaded() {
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(1, Settings::default(), engines, rows());
    sim.start("host-a");
    sim.converge(Duration::from_secs(30)).expect("converges");
    sim.release_table(vec![row("small", 20, 1, 2)]);
    sim.run(Duration::from_secs(30));
    assert_eq!(sim.engines.values().map(Memory::used_mb).sum::<u64>(), 20);
    let unloads = sim
        .orders
        .iter()
        .filter(|(_, _, o)| matches!(o.action, Action::Unload { .. }));
    assert_eq!(unloads.count(), 4);
}
