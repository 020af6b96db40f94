//! One planner without faults: lowest numbers of copies, bases, handing over.

mod common;

use common::{Rig, adapter, engine, row};
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
fn lowest_numbers_of_copies_are_loaded_and_published() {
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(1, Settings::default(), engines, rows());
    rig.start("host-a");
    let took = rig.converge(Duration::from_secs(30)).expect("converges");
    // Five loads at 1.4 a second.
    assert!(took < Duration::from_secs(8), "{took:?}");
    assert_eq!(rig.orders.len(), 5);
    assert_eq!(rig.moves, 5);
    let halls: std::collections::BTreeSet<_> = rig.routable("big").into_iter().collect();
    assert_eq!(halls.len(), 2);
    let writes = rig.store.writes;
    rig.run(Duration::from_secs(60));
    assert_eq!(rig.orders.len(), 5, "nothing moves without a cause");
    // The lease is renewed every third of its ten seconds; records are struck out once.
    assert!(
        rig.store.writes - writes < 25,
        "{}",
        rig.store.writes - writes
    );
}

#[test]
fn orders_are_written_before_they_are_sent() {
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(1, Settings::default(), engines, rows());
    rig.start("host-a");
    rig.run(Duration::from_secs(2));
    rig.outage = true;
    let sent = rig.orders.len();
    rig.run(Duration::from_secs(20));
    assert!(
        rig.orders.len() <= sent + 1,
        "one write may have been answered"
    );
    rig.outage = false;
    assert!(rig.converge(Duration::from_secs(30)).is_some());
}

#[test]
fn a_leaving_host_hands_its_cell_over() {
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(1, Settings::default(), engines, rows());
    for name in ["host-a", "host-b", "host-c"] {
        rig.start(name);
    }
    rig.run(Duration::from_secs(3));
    for index in 0..3 {
        rig.tell(index, Input::Leave);
    }
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.left.len(), 3);
    rig.start("host-d");
    assert!(rig.converge(Duration::from_secs(30)).is_some());
}

#[test]
fn rows_that_leave_the_table_are_unloaded() {
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(1, Settings::default(), engines, rows());
    rig.start("host-a");
    rig.converge(Duration::from_secs(30)).expect("converges");
    rig.accept(vec![row("small", 20, 1, 2)]);
    rig.run(Duration::from_secs(30));
    assert_eq!(rig.engines.values().map(Memory::used_mb).sum::<u64>(), 20);
    let unloads = rig
        .orders
        .iter()
        .filter(|(_, _, o)| matches!(o.action, Action::Unload { .. }));
    assert_eq!(unloads.count(), 4);
}
