//! Random schedules of faults against the engines' own accounts of their memory.
//!
//! The rig checks after every event that no engine holds more than its capacity, that
//! whatever is published as routable is ready, and that no row loses its last routable
//! copy except with an engine.

mod common;

use common::{Faults, Rig, adapter, engine, row};
use mulberryrack_core::Name;
use mulberryrack_place::Settings;
use mulberryrack_table::Row;
use rand::RngExt;
use std::time::Duration;

/// Schedules of each kind.
const SCHEDULES: u64 = 1_000;
/// Virtual seconds of faults in a schedule.
const FAULTY_SECONDS: u32 = 60;

fn settings() -> Settings {
    Settings {
        loads_per_second: 4.0,
        unroute_delay: Duration::from_millis(200),
        lease_ttl: Duration::from_secs(3),
        // Late orders take up to a minute, pauses up to twenty seconds.
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

fn rig(seed: u64, fencing: bool) -> Rig {
    let engines = (0..4).map(|i| engine(i, 100, fencing)).collect();
    let mut rig = Rig::new(seed, settings(), engines, rows());
    rig.faults = Faults {
        order_lost: 0.1,
        order_late: 0.1,
        order_doubled: 0.2,
        poll_lost: 0.02,
        answer_lost: 0.1,
        write_late: 0.5,
    };
    for name in ["host-a", "host-b", "host-c"] {
        rig.start(name);
    }
    rig
}

/// One fault or change, drawn by the schedule's generator.
fn disturb(rig: &mut Rig) {
    let host = rig.random.random_range(0..rig.hosts.len());
    match rig.random.random_range(0..24) {
        0 | 1 => {
            let millis = rig.random.random_range(100..20_000);
            rig.pause(host, Duration::from_millis(millis));
        }
        2 => rig.crash(host),
        3..=5 => revive(rig),
        6 => rig.outage = true,
        7..=9 => rig.outage = false,
        10 => {
            let index = rig.random.random_range(0..rig.engines.len());
            let name: Name = rig.listing[index].name.clone();
            rig.restart_engine(&name);
        }
        11 | 12 => release(rig),
        _ => {}
    }
}

fn revive(rig: &mut Rig) {
    let dead = rig.hosts.iter().find(|host| host.planner.is_none());
    if let Some(name) = dead.map(|host| host.name.clone()) {
        rig.start(&name);
    }
}

/// A table with a new version of about half of the rows.
fn release(rig: &mut Rig) {
    let version: Name = format!("v{}", rig.table.version + 1).into();
    let mut rows = rig.table.rows.to_vec();
    for row in &mut rows {
        if rig.random.random_bool(0.5) {
            row.version = version.clone();
        }
    }
    rig.accept(rows);
}

fn schedule(seed: u64, fencing: bool) -> Rig {
    let mut rig = rig(seed, fencing);
    for _ in 0..FAULTY_SECONDS {
        disturb(&mut rig);
        let millis = rig.random.random_range(100..1_900);
        rig.run(Duration::from_millis(millis));
    }
    rig
}

/// Ends all faults and asks for every row in the version in force.
fn recover(rig: &mut Rig, seed: u64) {
    rig.faults = Faults::default();
    rig.outage = false;
    for _ in 0..3 {
        revive(rig);
    }
    let took = rig.converge(Duration::from_secs(300));
    assert!(took.is_some(), "seed {seed} does not recover");
}

fn many(fencing: bool) {
    for seed in 0..SCHEDULES {
        let caught = std::panic::catch_unwind(|| {
            let mut rig = schedule(seed, fencing);
            recover(&mut rig, seed);
        });
        assert!(caught.is_ok(), "seed {seed} fencing {fencing}");
    }
}

#[test]
fn memory_and_reachability_hold_on_engines_without_fencing() {
    many(false);
}

#[test]
fn memory_and_reachability_hold_on_engines_with_fencing() {
    many(true);
}

#[test]
fn a_schedule_gives_the_same_orders_each_time() {
    let one = schedule(7, false);
    let other = schedule(7, false);
    assert!(!one.orders.is_empty());
    assert_eq!(one.orders, other.orders);
}
