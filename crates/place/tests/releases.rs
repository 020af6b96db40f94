//! Releases of most rows at once, in steps, through faults.

mod common;

use common::{Rig, adapter, engine, row};
use mulberryrack_core::Name;
use mulberryrack_place::{Settings, Status};
use mulberryrack_table::Row;
use std::time::Duration;

/// Twelve engines that are nine tenths full of models with adapters.
fn rig(seed: u64) -> Rig {
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
    let mut rig = Rig::new(seed, settings, engines, rows);
    for name in ["host-a", "host-b", "host-c"] {
        rig.start(name);
    }
    rig.converge(Duration::from_secs(300)).expect("first table");
    rig.run(Duration::from_secs(30));
    rig
}

fn released(rig: &Rig, version: &str) -> Vec<Row> {
    let mut rows = rig.table.rows.to_vec();
    for row in rows.iter_mut().filter(|row| *row.name != *"model-00") {
        row.version = version.into();
    }
    rows
}

fn holder(rig: &Rig) -> (usize, Status) {
    let mut statuses = rig.hosts.iter().enumerate().filter_map(|(index, host)| {
        let status = host.planner.as_ref()?.status(rig.now);
        (!status.cells.is_empty()).then_some((index, status))
    });
    statuses.next_back().expect("a host holds the cell")
}

#[test]
fn a_release_is_one_plan_whose_steps_only_get_fewer() {
    let mut rig = rig(1);
    assert_eq!(holder(&rig).1.plan, []);
    let moves = rig.moves;
    rig.accept(released(&rig, "v2"));
    rig.run(Duration::from_secs(1));
    let first = holder(&rig).1.plan.len() as u64;
    let mut left = first;
    while left > 0 {
        rig.run(Duration::from_secs(20));
        let now = holder(&rig).1.plan.len() as u64;
        assert!(now <= left + 2, "{now} steps after {left}");
        left = now;
        assert!(rig.now.as_micros() < 900_000_000, "{left} steps left");
    }
    assert!(rig.converge(Duration::from_secs(10)).is_some());
    // 101 copies of changed rows are loaded anew and as many are unloaded.
    let taken = rig.moves - moves;
    println!(
        "event=release steps={first} moves={taken} peak={}",
        rig.peak()
    );
    assert!((202..=260).contains(&taken), "{taken} moves");
}

#[test]
fn a_second_release_goes_on_from_what_is_there() {
    let mut rig = rig(2);
    rig.accept(released(&rig, "v2"));
    rig.run(Duration::from_secs(40));
    rig.accept(released(&rig, "v3"));
    rig.converge(Duration::from_secs(400)).expect("lands");
    rig.run(Duration::from_secs(60));
    let old: Name = "v2".into();
    let stays = rig.engines.values_mut().any(|engine| {
        let report = engine.report(rig.now);
        report
            .residents
            .iter()
            .any(|resident| resident.version == old)
    });
    assert!(!stays);
}

#[test]
fn a_release_outlives_its_planner_and_an_outage() {
    let mut rig = rig(3);
    rig.accept(released(&rig, "v2"));
    rig.run(Duration::from_secs(20));
    let (index, _) = holder(&rig);
    rig.crash(index);
    rig.run(Duration::from_secs(40));
    assert_ne!(holder(&rig).0, index);
    rig.outage = true;
    rig.run(Duration::from_secs(120));
    let during = rig.orders.len();
    rig.run(Duration::from_secs(120));
    assert_eq!(rig.orders.len(), during, "nothing new without a record");
    rig.outage = false;
    assert!(rig.converge(Duration::from_secs(400)).is_some());
}

#[test]
fn an_engine_that_leaves_is_replaced_before_it_goes() {
    let rows = (0..4).map(|i| row(&format!("m{i}"), 30, 1, 2)).collect();
    let engines = (0..3).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(4, Settings::default(), engines, rows);
    rig.start("host-a");
    rig.converge(Duration::from_secs(30)).expect("placed");
    let leaving = rig.routable("m0")[0].0.clone();
    rig.engines.get_mut(&leaving).expect("known").leaving = true;
    rig.run(Duration::from_secs(20));
    for i in 0..4 {
        let copies = rig.routable(&format!("m{i}"));
        assert!(copies.iter().any(|(engine, _)| *engine != leaving), "m{i}");
    }
    rig.down.insert(leaving.clone());
    rig.listing.retain(|line| line.name != leaving);
    rig.relist();
    rig.run(Duration::from_secs(20));
    for i in 0..4 {
        let copies = rig.routable(&format!("m{i}"));
        assert!(copies.iter().all(|(engine, _)| *engine != leaving), "m{i}");
    }
}

#[test]
fn an_engine_that_refuses_connections_is_out_of_the_routes_within_seconds() {
    let rows = (0..4).map(|i| row(&format!("m{i}"), 30, 1, 2)).collect();
    let engines = (0..4).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(4, Settings::default(), engines, rows);
    rig.start("host-a");
    rig.converge(Duration::from_secs(30)).expect("placed");
    let down = rig.routable("m0")[0].0.clone();
    rig.checks = false;
    rig.down.insert(down.clone());
    rig.run(Duration::from_secs(3));
    assert!(rig.routable("m0").iter().all(|(engine, _)| *engine != down));
    assert!(
        rig.converge(Duration::from_secs(30)).is_some(),
        "restored elsewhere"
    );
}
