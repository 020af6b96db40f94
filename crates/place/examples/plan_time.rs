//! Prints the processor time that planners use during a release, one line for each size of
//! the fleet.
//!
//! `cargo run --release -p mulberryrack-place --example plan_time`

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Simulation, adapter, engine, row};
use mulberryrack_place::Settings;
use std::time::Duration;

/// Numbers of engines, models and hosts.
const SIZES: [(u32, u32, u32); 3] = [(12, 26, 9), (100, 200, 9), (1_000, 860, 30)];
/// Virtual time for placing the first table.
const PLACING: Duration = Duration::from_secs(60);
/// Virtual time of the release that is measured.
const RELEASE: Duration = Duration::from_secs(30);

fn sim(engines: u32, models: u32, hosts: u32) -> Simulation {
    let mut rows = Vec::new();
    for model in 0..models {
        let name = format!("model-{model:04}");
        rows.push(row(&name, 12 + u64::from(model) % 5 * 4, 2, 4));
        for tuned in 0..2 {
            rows.push(adapter(&format!("{name}-{tuned}"), &name, 1, 1, 2));
        }
    }
    let settings = Settings {
        loads_per_second: f64::from(engines),
        parallel_loads: 10 * engines,
        ..Settings::default()
    };
    let machines = (0..engines)
        .map(|i| engine(i as usize, 110, false))
        .collect();
    let mut sim = Simulation::new(1, settings, machines, rows);
    sim.checks = false;
    for host in 0..hosts {
        sim.start(&format!("host-{host:03}"));
    }
    sim
}

fn main() {
    for (engines, models, hosts) in SIZES {
        let mut sim = sim(engines, models, hosts);
        sim.run(PLACING);
        let placed = sim.complete();
        let mut rows = sim.table.rows.to_vec();
        for row in &mut rows {
            row.version = "v2".into();
        }
        sim.release_table(rows);
        (sim.planner_time, sim.planner_calls, sim.longest_call) =
            (Duration::ZERO, 0, Duration::ZERO);
        let moves = sim.moves;
        sim.run(RELEASE);
        let cells = sim.hosts.iter().filter_map(|host| {
            let status = host.planner.as_ref()?.status(sim.now);
            u32::try_from(status.cells.len())
                .ok()
                .filter(|count| *count > 0)
        });
        let cells: Vec<u32> = cells.collect();
        let total: u32 = cells.iter().sum();
        let core = sim.planner_time.as_secs_f64() / RELEASE.as_secs_f64() / f64::from(total);
        println!(
            "engines={engines} rows={} cells={total} holders={} placed={} moves={} \
             core_per_cell={:.2}% longest_us={} calls={}",
            models * 3,
            cells.len(),
            placed,
            sim.moves - moves,
            core * 100.0,
            sim.longest_call.as_micros(),
            sim.planner_calls,
        );
    }
}
