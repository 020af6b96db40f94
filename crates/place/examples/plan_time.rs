//! Prints the planners' processor time in a release at several sizes, one line a size.
//!
//! `cargo run --release -p mulberryrack-place --example plan_time`

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Rig, adapter, engine, row};
use mulberryrack_place::Settings;
use std::time::Duration;

/// Engines with the models and the hosts beside them.
const SIZES: [(u32, u32, u32); 3] = [(12, 26, 9), (100, 200, 9), (1_000, 860, 30)];
/// Virtual time for the first table.
const PLACING: Duration = Duration::from_secs(60);
/// Virtual time of the release that is measured.
const RELEASE: Duration = Duration::from_secs(30);

fn rig(engines: u32, models: u32, hosts: u32) -> Rig {
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
    let lines = (0..engines)
        .map(|i| engine(i as usize, 110, false))
        .collect();
    let mut rig = Rig::new(1, settings, lines, rows);
    rig.checks = false;
    for host in 0..hosts {
        rig.start(&format!("host-{host:03}"));
    }
    rig
}

fn main() {
    for (engines, models, hosts) in SIZES {
        let mut rig = rig(engines, models, hosts);
        rig.run(PLACING);
        let placed = rig.complete();
        let mut rows = rig.table.rows.to_vec();
        for row in &mut rows {
            row.version = "v2".into();
        }
        rig.accept(rows);
        (rig.spent, rig.calls, rig.longest) = (Duration::ZERO, 0, Duration::ZERO);
        let moves = rig.moves;
        rig.run(RELEASE);
        let cells = rig.hosts.iter().filter_map(|host| {
            let status = host.planner.as_ref()?.status(rig.now);
            u32::try_from(status.cells.len())
                .ok()
                .filter(|count| *count > 0)
        });
        let cells: Vec<u32> = cells.collect();
        let total: u32 = cells.iter().sum();
        let core = rig.spent.as_secs_f64() / RELEASE.as_secs_f64() / f64::from(total);
        println!(
            "engines={engines} rows={} cells={total} holders={} placed={} moves={} \
             core_per_cell={:.2}% longest_us={} calls={}",
            models * 3,
            cells.len(),
            placed,
            rig.moves - moves,
            core * 100.0,
            rig.longest.as_micros(),
            rig.calls,
        );
    }
}
