//! Releases that change most rows at once, also through faults.

mod common;

use common::{Simulation, adapter, engine, row};
use mulberryrack_core::Name;
use mulberryrack_place::{Settings, Status};
use mulberryrack_table::Row;
use std::time::Duration;

/// Twelve engines whose memory is nine tenths full of models with adapters.
fn sim(seed: u64) -> Simulation {
    let mut rows = Vec::new();
    for model in 0..26_u64 {
        let name = format!("model-{model:02}");
        rows.push(row(&name, 12 + model % 5 * 4, 2, 3));
        for tuned in 0..2 {
            rows.push(adapter(&format!("{name}-{tuned}"), &name, 1, 1, 2));
        }
    }
    let engines = (0..12).map(|i| engine(i, 105, i % 2 == 0)).collect();
    let settings = Settings {
        loads_per_second: 1.4,
        parallel_loads: 6,
        ..Settings::default()
    };
    let mut sim = Simulation::new(seed, settings, engines, rows);
    for name in ["host-a", "host-b", "host-c"] {
        sim.start(name);
    }
    sim.converge(Duration::from_secs(300)).expect("first table");
    sim.run(Duration::from_secs(30));
    sim
}

fn released(sim: &Simulation, version: &str) -> Vec<Row> {
    let mut rows = sim.table.rows.to_vec();
    for row in rows.iter_mut().filter(|row| *row.name != *"model-00") {
        row.version = version.into();
    }
    rows
}

fn holder(sim: &Simulation) -> (usize, Status) {
    let mut statuses = sim.hosts.iter().enumerate().filter_map(|(index, host)| {
        let status = host.planner.as_ref()?.status(sim.now);
        (!status.cells.is_empty()).then_some((index, status))
    });
    statuses.next_back().expect("a host holds the cell")
}

#[test]
fn the_remaining_steps_of_a_release_only_get_fewer() {
    let mut sim = sim(1);
    assert_eq!(holder(&sim).1.plan, []);
    let moves = sim.moves;
    sim.release_table(released(&sim, "v2"));
    sim.run(Duration::from_secs(1));
    let first = holder(&sim).1.plan.len() as u64;
    let mut left = first;
    while left > 0 {
        sim.run(Duration::from_secs(20));
        let now = holder(&sim).1.plan.len() as u64;
        assert!(now <= left + 2, "{now} steps after {left}");
        left = now;
        assert!(sim.now.as_micros() < 900_000_000, "{left} steps left");
    }
    assert!(sim.converge(Duration::from_secs(10)).is_some());
    // 101 copies of changed rows are loaded in the new version, and as many are unloaded.
    let taken = sim.moves - moves;
    println!(
        "event=release steps={first} moves={taken} peak={}",
        sim.peak()
    );
    assert!((202..=260).contains(&taken), "{taken} moves");
}

#[test]
fn a_second_release_continues_from_the_copies_in_memory() {
    let mut sim = sim(2);
    sim.release_table(released(&sim, "v2"));
    sim.run(Duration::from_secs(40));
    sim.release_table(released(&sim, "v3"));
    sim.converge(Duration::from_secs(400)).expect("lands");
    sim.run(Duration::from_secs(60));
    let old: Name = "v2".into();
    let stays = sim.engines.values_mut().any(|engine| {
        let report = engine.report(sim.now);
        report
            .residents
            .iter()
            .any(|resident| resident.version == old)
    });
    assert!(!stays);
}

#[test]
fn a_release_continues_after_a_planner_crash_and_an_outage() {
    let mut sim = sim(3);
    sim.release_table(released(&sim, "v2"));
    sim.run(Duration::from_secs(20));
    let (index, _) = holder(&sim);
    sim.crash(index);
    sim.run(Duration::from_secs(40));
    assert_ne!(holder(&sim).0, index);
    sim.outage = true;
    sim.run(Duration::from_secs(120));
    let during = sim.orders.len();
    sim.run(Duration::from_secs(120));
    assert_eq!(sim.orders.len(), during, "nothing new without a record");
    sim.outage = false;
    assert!(sim.converge(Duration::from_secs(400)).is_some());
}

#[test]
fn copies_are_replaced_before_a_leaving_engine_goes_away() {
    let rows = (0..4).map(|i| row(&format!("m{i}"), 30, 1, 2)).collect();
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(4, Settings::default(), engines, rows);
    sim.start("host-a");
    sim.converge(Duration::from_secs(30)).expect("placed");
    let leaving = sim.routable("m0")[0].0.clone();
    sim.engines.get_mut(&leaving).expect("known").leaving = true;
    sim.run(Duration::from_secs(20));
    for i in 0..4 {
        let copies = sim.routable(&format!("m{i}"));
        assert!(copies.iter().any(|(engine, _)| *engine != leaving), "m{i}");
    }
    sim.down.insert(leaving.clone());
    sim.listing.retain(|machine| machine.name != leaving);
    sim.send_listing();
    sim.run(Duration::from_secs(20));
    for i in 0..4 {
        let copies = sim.routable(&format!("m{i}"));
        assert!(copies.iter().all(|(engine, _)| *engine != leaving), "m{i}");
    }
}

#[test]
fn copies_on_an_engine_that_refuses_connections_are_not_routable_within_seconds() {
    let rows = (0..4).map(|i| row(&format!("m{i}"), 30, 1, 2)).collect();
    let engines = (0..4).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(4, Settings::default(), engines, rows);
    sim.start("host-a");
    sim.converge(Duration::from_secs(30)).expect("placed");
    let down = sim.routable("m0")[0].0.clone();
    sim.checks = false;
    sim.down.insert(down.clone());
    sim.run(Duration::from_secs(3));
    assert!(sim.routable("m0").iter().all(|(engine, _)| *engine != down));
    assert!(
        sim.converge(Duration::from_secs(30)).is_some(),
        "restored elsewhere"
    );
}
