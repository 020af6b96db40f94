//! Random schedules of faults, checked against the memory use that the engines themselves
//! account for.
//!
//! The simulation checks after every event that no engine uses more than its capacity, that
//! whatever is published as routable is ready, and that no row loses its last routable copy
//! except with an engine.

mod common;

use common::{Faults, Simulation, adapter, engine, row};
use mulberryrack_core::Name;
use mulberryrack_place::Settings;
use mulberryrack_table::Row;
use rand::RngExt;
use std::time::Duration;

/// Number of schedules, with and without fencing each.
const SCHEDULES: u64 = 1_000;
/// Number of faults or changes in a schedule, one about every second of virtual time.
const FAULTY_SECONDS: u32 = 60;

fn settings() -> Settings {
    Settings {
        loads_per_second: 4.0,
        unroute_delay: Duration::from_millis(200),
        lease_ttl: Duration::from_secs(3),
        // Late orders arrive after up to a minute; pauses last up to twenty seconds.
        order_lifetime: Duration::from_secs(62),
        planner_lifetime: Duration::from_secs(85),
        ..Settings::default()
    }
}

fn rows() -> Vec<Row> {
    vec![
        row("a", 30, 2, 3),
        row("b", 25, 1, 2),
        row("c", 20, 1, 4),
        row("d", 20, 2, 2),
        adapter("a-x", "a", 5, 1, 2),
        adapter("a-y", "a", 5, 2, 2),
    ]
}

fn sim(seed: u64, fencing: bool) -> Simulation {
    let engines = (0..4).map(|i| engine(i, 100, fencing)).collect();
    let mut sim = Simulation::new(seed, settings(), engines, rows());
    sim.faults = Faults {
        order_lost: 0.1,
        order_late: 0.1,
        order_doubled: 0.2,
        poll_lost: 0.02,
        answer_lost: 0.1,
        write_late: 0.5,
    };
    for name in ["host-a", "host-b", "host-c"] {
        sim.start(name);
    }
    sim
}

/// Makes one fault or change, drawn by the schedule's generator; often none.
fn inject_fault(sim: &mut Simulation) {
    let host = sim.random.random_range(0..sim.hosts.len());
    match sim.random.random_range(0..24) {
        0 | 1 => {
            let millis = sim.random.random_range(100..20_000);
            sim.pause(host, Duration::from_millis(millis));
        }
        2 => sim.crash(host),
        3..=5 => start_dead_host(sim),
        6 => sim.outage = true,
        7..=9 => sim.outage = false,
        10 => {
            let index = sim.random.random_range(0..sim.engines.len());
            let name: Name = sim.listing[index].name.clone();
            sim.restart_engine(&name);
        }
        11 | 12 => release(sim),
        _ => {}
    }
}

fn start_dead_host(sim: &mut Simulation) {
    let dead = sim.hosts.iter().find(|host| host.planner.is_none());
    if let Some(name) = dead.map(|host| host.name.clone()) {
        sim.start(&name);
    }
}

/// A table with a new version of about half of the rows.
fn release(sim: &mut Simulation) {
    let version: Name = format!("v{}", sim.table.version + 1).into();
    let mut rows = sim.table.rows.to_vec();
    for row in &mut rows {
        if sim.random.random_bool(0.5) {
            row.version = version.clone();
        }
    }
    sim.release_table(rows);
}

fn schedule(seed: u64, fencing: bool) -> Simulation {
    let mut sim = sim(seed, fencing);
    for _ in 0..FAULTY_SECONDS {
        inject_fault(&mut sim);
        let millis = sim.random.random_range(100..1_900);
        sim.run(Duration::from_millis(millis));
    }
    sim
}

/// Ends all faults and asserts that every row gets its copies in the version in force.
fn recover(sim: &mut Simulation, seed: u64) {
    sim.faults = Faults::default();
    sim.outage = false;
    for _ in 0..3 {
        start_dead_host(sim);
    }
    let took = sim.converge(Duration::from_secs(300));
    assert!(took.is_some(), "seed {seed} does not recover");
}

fn run_schedules(fencing: bool) {
    for seed in 0..SCHEDULES {
        let caught = std::panic::catch_unwind(|| {
            let mut sim = schedule(seed, fencing);
            recover(&mut sim, seed);
        });
        assert!(caught.is_ok(), "seed {seed} fencing {fencing}");
    }
}

#[test]
fn invariants_hold_on_engines_without_fencing() {
    run_schedules(false);
}

#[test]
fn invariants_hold_on_engines_with_fencing() {
    run_schedules(true);
}

#[test]
fn a_schedule_gives_the_same_orders_each_time() {
    let one = schedule(7, false);
    let other = schedule(7, false);
    assert!(!one.orders.is_empty());
    assert_eq!(one.orders, other.orders);
}
