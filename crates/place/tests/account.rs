//! Orders that can arrive at a later incarnation of an engine.

mod common;

use common::{Simulation, engine, row};
use mulberryrack_core::upstream::Action;
use mulberryrack_place::Settings;
use std::time::Duration;

/// One engine that has loaded "x" by the second sending of the order, while the first
/// sending is still on its way. Then "y" replaces "x" in the table; the engine has no
/// memory for both.
fn with_replaced_row() -> Simulation {
    let rows = vec![row("x", 60, 1, 1)];
    let mut sim = Simulation::new(3, Settings::default(), vec![engine(0, 100, false)], rows);
    sim.start("host-a");
    sim.faults.order_late = 1.0;
    while sim.orders.is_empty() {
        sim.run(Duration::from_millis(10));
    }
    sim.faults.order_late = 0.0;
    sim.converge(Duration::from_secs(20)).expect("second copy");
    sim.faults.order_late = 1.0;
    sim.release_table(vec![row("y", 60, 1, 1)]);
    sim
}

fn loads(sim: &Simulation, name: &str) -> usize {
    let loads = sim.orders.iter().filter(
        |(_, _, order)| matches!(&order.action, Action::Load { row, .. } if **row == *name),
    );
    loads.count()
}

#[test]
fn a_load_waits_while_an_unanswered_order_can_reach_the_next_incarnation() {
    let mut sim = with_replaced_row();
    sim.run(Duration::from_secs(120));
    sim.crash(0);
    sim.restart_engine("engine-0000");
    sim.run(Duration::from_secs(120));
    assert_eq!((loads(&sim, "x"), loads(&sim, "y")), (2, 0));
    assert!(sim.peak() <= 1.0);
}

#[test]
fn the_load_is_sent_once_the_unanswered_order_has_expired() {
    let mut sim = with_replaced_row();
    sim.faults.order_late = 0.0;
    let lifetime = Settings::default().order_lifetime;
    assert!(sim.converge(lifetime.mul_f64(0.9)).is_none());
    assert!(sim.converge(Duration::from_secs(120)).is_some());
}
