//! Orders that can reach a later life of an engine.

mod common;

use common::{Rig, engine, row};
use mulberryrack_core::upstream::Action;
use mulberryrack_place::Settings;
use std::time::Duration;

/// One engine on which "x" was loaded by the second copy of its order, while the first
/// is still on its way; then "y", which does not fit beside "x", takes its place in the
/// table.
fn replaced() -> Rig {
    let rows = vec![row("x", 60, 1, 1)];
    let mut rig = Rig::new(3, Settings::default(), vec![engine(0, 100, false)], rows);
    rig.start("host-a");
    rig.faults.order_late = 1.0;
    while rig.orders.is_empty() {
        rig.run(Duration::from_millis(10));
    }
    rig.faults.order_late = 0.0;
    rig.converge(Duration::from_secs(20)).expect("second copy");
    rig.faults.order_late = 1.0;
    rig.accept(vec![row("y", 60, 1, 1)]);
    rig
}

fn loads(rig: &Rig, name: &str) -> usize {
    let loads = rig.orders.iter().filter(
        |(_, _, order)| matches!(&order.action, Action::Load { row, .. } if **row == *name),
    );
    loads.count()
}

#[test]
fn a_load_waits_while_an_unanswered_copy_can_reach_the_next_life() {
    let mut rig = replaced();
    rig.run(Duration::from_secs(120));
    rig.crash(0);
    rig.restart_engine("engine-0000");
    rig.run(Duration::from_secs(120));
    assert_eq!((loads(&rig, "x"), loads(&rig, "y")), (2, 0));
    assert!(rig.peak() <= 1.0);
}

#[test]
fn the_load_goes_out_once_that_copy_is_dead() {
    let mut rig = replaced();
    rig.faults.order_late = 0.0;
    let lifetime = Settings::default().order_lifetime;
    assert!(rig.converge(lifetime - Duration::from_secs(10)).is_none());
    assert!(rig.converge(Duration::from_secs(60)).is_some());
}
