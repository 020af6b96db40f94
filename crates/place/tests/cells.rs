//! Several cells, and the weight store's limits.

mod common;

use common::{Rig, adapter, engine, row};
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

fn rig(settings: Settings) -> Rig {
    let engines = (0..12).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(8, settings, engines, rows());
    for name in ["host-a", "host-b", "host-c", "host-d"] {
        rig.start(name);
    }
    rig
}

#[test]
fn cells_stay_within_their_bound_and_outlive_their_planners() {
    let mut rig = rig(Settings {
        cell_engines: 4,
        loads_per_second: 6.0,
        ..Settings::default()
    });
    rig.converge(Duration::from_secs(60)).expect("placed");
    let mut cells = BTreeSet::new();
    for host in &rig.hosts {
        let status = host.planner.as_ref().expect("running").status(rig.now);
        assert!(status.engines.len() <= 4 * status.cells.len());
        cells.extend(status.cells);
    }
    assert_eq!(cells.len(), 3);
    rig.crash(0);
    rig.crash(1);
    let mut rows = rig.table.rows.to_vec();
    for row in &mut rows {
        row.version = "v2".into();
    }
    rig.accept(rows);
    assert!(rig.converge(Duration::from_secs(120)).is_some());
}

#[test]
fn a_changed_number_of_cells_moves_rows_without_losing_them() {
    let mut rig = rig(Settings {
        cell_engines: 6,
        loads_per_second: 6.0,
        ..Settings::default()
    });
    rig.converge(Duration::from_secs(60))
        .expect("placed in two cells");
    let more = engine(12, 100, false);
    let memory = mulberryrack_standin::memory::Memory::new(
        mulberryrack_core::Incarnation(1),
        more.memory_mb,
        more.fencing,
    );
    rig.engines.insert(more.name.clone(), memory);
    rig.listing.push(more);
    rig.relist();
    rig.run(Duration::from_secs(60));
    assert!(rig.complete(), "placed in three cells");
}

#[test]
fn no_cell_has_more_engines_than_the_bound() {
    let settings = Settings {
        cell_engines: 3,
        ..Settings::default()
    };
    let engines = (0..40).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(9, settings, engines, vec![row("a", 10, 1, 1)]);
    for host in 0..20 {
        rig.start(&format!("host-{host:02}"));
    }
    rig.run(Duration::from_secs(5));
    let statuses = rig.hosts.iter().map(|host| {
        let planner = host.planner.as_ref().expect("running");
        planner.status(rig.now)
    });
    let mut cells = 0;
    for status in statuses {
        assert!(status.engines.len() <= 3 * status.cells.len());
        cells += status.cells.len();
    }
    assert_eq!(cells, 14);
}

/// When each load was sent for the first time.
fn load_times(rig: &Rig) -> Vec<Time> {
    let mut seen = BTreeSet::new();
    let loads = rig.orders.iter().filter(|(_, _, order)| {
        matches!(order.action, Action::Load { .. }) && seen.insert(order.id)
    });
    loads.map(|(at, _, _)| *at).collect()
}

/// Most loads at once while the first table is placed by a store of 1.4 loads a second
/// and three slots.
fn most_loads(rig: &mut Rig, load_time: Duration) -> usize {
    for memory in rig.engines.values_mut() {
        memory.load_time = Some(load_time);
    }
    let mut most = 0;
    for _ in 0..600 {
        rig.run(Duration::from_millis(100));
        let loading = rig.engines.values().map(|memory| {
            let names = rig.table.rows.iter().map(|row| &row.name);
            let state = |name: &Name| memory.state(name, "v1") == Some(Residency::Loading);
            names.filter(|name| state(name)).count()
        });
        most = most.max(loading.sum());
    }
    assert!(rig.complete());
    most
}

fn store() -> Settings {
    Settings {
        loads_per_second: 1.4,
        parallel_loads: 3,
        ..Settings::default()
    }
}

#[test]
fn slow_loads_keep_to_the_slots_of_the_weight_store() {
    let mut rig = rig(store());
    assert_eq!(most_loads(&mut rig, Duration::from_secs(4)), 3);
}

#[test]
fn fast_loads_keep_to_the_rate_of_the_weight_store() {
    let mut rig = rig(store());
    most_loads(&mut rig, Duration::from_millis(100));
    let times = load_times(&rig);
    assert_eq!(times.len(), 36);
    for window in times.windows(8) {
        // Eight loads take seven gaps; one may have been saved up.
        let span = (window[7] - window[0]).as_secs_f64();
        assert!(span >= 6.0 / 1.4, "8 loads in {span} s");
    }
}
