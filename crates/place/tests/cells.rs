//! Several cells, and the limits of the weight store.

mod common;

use common::{Simulation, adapter, engine, row};
use mulberryrack_core::{
    Name, Time,
    upstream::{Action, Residency},
};
use mulberryrack_place::Settings;
use std::{collections::BTreeSet, time::Duration};

fn rows() -> Vec<mulberryrack_table::Row> {
    let models = (0..12).map(|i| row(&format!("m{i:02}"), 30, 2, 3));
    let adapters = (0..12).map(|i| adapter(&format!("m{i:02}-x"), &format!("m{i:02}"), 5, 1, 2));
    models.chain(adapters).collect()
}

fn sim(settings: Settings) -> Simulation {
    let engines = (0..12).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(8, settings, engines, rows());
    for name in ["host-a", "host-b", "host-c", "host-d"] {
        sim.start(name);
    }
    sim
}

#[test]
fn cells_have_few_enough_engines_and_are_taken_over_after_crashes() {
    let mut sim = sim(Settings {
        cell_engines: 4,
        loads_per_second: 6.0,
        ..Settings::default()
    });
    sim.converge(Duration::from_secs(60)).expect("placed");
    let mut cells = BTreeSet::new();
    for host in &sim.hosts {
        let status = host.planner.as_ref().expect("running").status(sim.now);
        assert!(status.engines.len() <= 4 * status.cells.len());
        cells.extend(status.cells);
    }
    assert_eq!(cells.len(), 3);
    sim.crash(0);
    sim.crash(1);
    let mut rows = sim.table.rows.to_vec();
    for row in &mut rows {
        row.version = "v2".into();
    }
    sim.release_table(rows);
    assert!(sim.converge(Duration::from_secs(120)).is_some());
}

#[test]
fn a_changed_number_of_cells_moves_rows_without_losing_them() {
    let mut sim = sim(Settings {
        cell_engines: 6,
        loads_per_second: 6.0,
        ..Settings::default()
    });
    sim.converge(Duration::from_secs(60))
        .expect("placed in two cells");
    let more = engine(12, 100, false);
    let memory = mulberryrack_standin::memory::Memory::new(
        mulberryrack_core::Incarnation(1),
        more.memory_mb,
        more.fencing,
    );
    sim.engines.insert(more.name.clone(), memory);
    sim.listing.push(more);
    sim.send_listing();
    sim.run(Duration::from_secs(60));
    assert!(sim.complete(), "placed in three cells");
}

#[test]
fn no_cell_has_more_engines_than_the_maximum() {
    let settings = Settings {
        cell_engines: 3,
        ..Settings::default()
    };
    let engines = (0..40).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(9, settings, engines, vec![row("a", 10, 1, 1)]);
    for host in 0..20 {
        sim.start(&format!("host-{host:02}"));
    }
    sim.run(Duration::from_secs(5));
    let statuses = sim.hosts.iter().map(|host| {
        let planner = host.planner.as_ref().expect("running");
        planner.status(sim.now)
    });
    let mut cells = 0;
    for status in statuses {
        assert!(status.engines.len() <= 3 * status.cells.len());
        cells += status.cells.len();
    }
    assert_eq!(cells, 14);
}

/// When each load was sent for the first time.
fn first_load_times(sim: &Simulation) -> Vec<Time> {
    let mut seen = BTreeSet::new();
    let loads = sim.orders.iter().filter(|(_, _, order)| {
        matches!(order.action, Action::Load { .. }) && seen.insert(order.id)
    });
    loads.map(|(at, _, _)| *at).collect()
}

/// Maximum number of concurrent loads while the first table is placed, with a weight store
/// that allows 1.4 loads a second and three concurrent loads.
fn max_concurrent_loads(sim: &mut Simulation, load_time: Duration) -> usize {
    for memory in sim.engines.values_mut() {
        memory.load_time = Some(load_time);
    }
    let mut max = 0;
    for _ in 0..600 {
        sim.run(Duration::from_millis(100));
        let loading = sim.engines.values().map(|memory| {
            let names = sim.table.rows.iter().map(|row| &row.name);
            let state = |name: &Name| memory.state(name, "v1") == Some(Residency::Loading);
            names.filter(|name| state(name)).count()
        });
        max = max.max(loading.sum());
    }
    assert!(sim.complete());
    max
}

fn weight_store() -> Settings {
    Settings {
        loads_per_second: 1.4,
        parallel_loads: 3,
        ..Settings::default()
    }
}

#[test]
fn slow_loads_stay_within_the_concurrency_of_the_weight_store() {
    let mut sim = sim(weight_store());
    assert_eq!(max_concurrent_loads(&mut sim, Duration::from_secs(4)), 3);
}

#[test]
fn fast_loads_stay_within_the_rate_of_the_weight_store() {
    let mut sim = sim(weight_store());
    max_concurrent_loads(&mut sim, Duration::from_millis(100));
    let times = first_load_times(&sim);
    assert_eq!(times.len(), 36);
    for window in times.windows(8) {
        // Between eight loads there are seven gaps, less one load that the allowance may
        // have saved up.
        let span = (window[7] - window[0]).as_secs_f64();
        assert!(span >= 6.0 / 1.4, "8 loads in {span} s");
    }
}
