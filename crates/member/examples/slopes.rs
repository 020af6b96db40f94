//! Prints one line for each number of hosts with the time until all adopt a version,
//! frames, bytes and calls per host, memory, processor time, and the time until a dead
//! host is detected.
//!
//! `cargo run --release -p mulberryrack-member --example slopes -- 9 30 90`

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Fleet, edited, host, rows};
use mulberryrack_core::{
    Name, Time,
    view::{Standing, Value},
};
use mulberryrack_member::Input;
use std::{collections::BTreeSet, env, fs};

/// Number of rows of the table: 860 models with their adapters.
const ROWS: usize = 3_000;
/// Number of replicated keys, and of changes a second, with [`FULL_SIZE`] hosts.
const KEYS: usize = 10_000;
const CHANGES: usize = 30;
/// Number of hosts for which [`KEYS`] and [`CHANGES`] hold.
const FULL_SIZE: usize = 1_400;
/// Duration of a rate measurement, in seconds.
const SPAN: u64 = 30;

#[derive(Clone, Copy, Default)]
struct Totals {
    frames: u64,
    bytes: u64,
    calls: usize,
}

fn totals(fleet: &Fleet) -> Totals {
    fleet
        .nodes
        .values()
        .fold(Totals::default(), |sum, node| Totals {
            frames: sum.frames + node.frames,
            bytes: sum.bytes + node.bytes,
            calls: sum.calls + node.calls.len(),
        })
}

struct Rate {
    frames: f64,
    bytes: f64,
    calls: f64,
    cpu: f64,
}

/// Runs for `span` seconds and returns frames and bytes a second per host, calls a second
/// of all hosts, and the processor share per host, which includes the simulation itself.
#[allow(clippy::cast_precision_loss)]
fn rate(fleet: &mut Fleet, span: u64, mut each_second: impl FnMut(&mut Fleet, u64)) -> Rate {
    let before = totals(fleet);
    let clock = processor_time();
    for second in 0..span {
        each_second(fleet, second);
        fleet.run_ms(1_000);
    }
    let after = totals(fleet);
    let hosts = fleet.nodes.len() as f64;
    let span = span as f64;
    Rate {
        frames: (after.frames - before.frames) as f64 / hosts / span,
        bytes: (after.bytes - before.bytes) as f64 / hosts / span,
        calls: (after.calls - before.calls) as f64 / span,
        cpu: (processor_time() - clock) / hosts / span,
    }
}

fn value(index: usize, version: u64) -> Value {
    let mut bytes = vec![b'x'; 150];
    bytes[70..78].copy_from_slice(&version.to_le_bytes());
    Value {
        key: format!("engine/engine-{index:05}").into(),
        version,
        bytes: bytes.into(),
    }
}

/// Proposes a version and returns the times in milliseconds until each host has it in
/// force, sorted.
fn adoption_times(fleet: &mut Fleet, version: u64) -> Vec<f64> {
    let start = fleet.now;
    let share = u32::try_from(version).expect("fits 32 bits");
    let at = host(usize::try_from(version).expect("fits usize") % fleet.nodes.len());
    let change = format!("change-{version}");
    fleet.propose(&at, version, version - 1, &change, edited(ROWS, 7, share));
    fleet.run_ms(4_000);
    let mut times: Vec<f64> = fleet
        .nodes
        .values()
        .map(|node| {
            let at = node.adopted.iter().find(|(it, _)| *it == version);
            at.map_or(f64::INFINITY, |(_, at)| {
                at.since(start).as_secs_f64() * 1_000.0
            })
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Ends a host and returns the times in seconds until half of the other hosts, and until
/// all of them, count it as dead.
fn detection(fleet: &mut Fleet, index: usize) -> (f64, f64) {
    let name = host(index);
    let start: Time = fleet.now;
    fleet.kill(&name);
    fleet.run_ms(20_000);
    let mut times: Vec<f64> = fleet
        .nodes
        .values()
        .map(|node| {
            let seen = node.standings.iter().find(|(at, of, standing)| {
                *at >= start && *of == name && *standing == Standing::Dead
            });
            seen.map_or(f64::INFINITY, |(at, ..)| at.since(start).as_secs_f64())
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}

/// The first two hosts that an answer names for each row, asked from a host of the data
/// centre of the host that is to end.
fn near_hosts(fleet: &mut Fleet) -> Vec<BTreeSet<Name>> {
    let size = fleet.list.len();
    let at = host(size / 2 % 3);
    (0..ROWS)
        .map(|row| {
            let names = fleet.address(&at, &format!("row-{row:04}"));
            names.unwrap_or_default().into_iter().take(2).collect()
        })
        .collect()
}

/// Share of the rows whose near hosts have changed.
#[allow(clippy::cast_precision_loss)]
fn moved_share(before: &[BTreeSet<Name>], after: &[BTreeSet<Name>]) -> f64 {
    let changed = before.iter().zip(after).filter(|(a, b)| a != b).count();
    changed as f64 / before.len() as f64
}

/// Processor time of this process, in seconds.
#[allow(clippy::cast_precision_loss)]
fn processor_time() -> f64 {
    let stat = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = stat.split(' ').next().and_then(|it| it.parse::<u64>().ok());
    nanos.unwrap_or(0) as f64 / 1e9
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

#[allow(clippy::cast_precision_loss)]
fn measure(size: usize) {
    let before_kb = resident_kb();
    let mut fleet = Fleet::new(size, 1);
    fleet.run_ms(10_000);
    fleet.propose(&host(0), 1, 0, "first", rows(ROWS, 1));
    fleet.run_ms(15_000);
    let first = fleet.all_have_version(1);
    let idle = rate(&mut fleet, SPAN, |_, _| {});
    let mut fresh = 0;
    let mut samples = 0;
    rate(&mut fleet, SPAN, |fleet, _| {
        samples += fleet.nodes.len();
        let now = fleet.now;
        let current = |node: &&common::Node| node.member.is_current(now);
        fresh += fleet.nodes.values().filter(current).count();
    });
    let plain: Vec<f64> = (2..12)
        .flat_map(|it| adoption_times(&mut fleet, it))
        .collect();
    fleet.loss = 0.2;
    let lossy: Vec<f64> = (12..22)
        .flat_map(|it| adoption_times(&mut fleet, it))
        .collect();
    fleet.loss = 0.0;
    let keys = KEYS * size / FULL_SIZE;
    for index in 0..keys {
        fleet.input(&host(index % size), Input::Publish(value(index, 1)));
        if index % 300 == 299 {
            fleet.run_ms(1_000);
        }
    }
    fleet.run_ms(20_000);
    let mut turn = 0;
    fleet.bytes_by_kind.clear();
    // The rate of changes is that of full size, so that the load on one host is that of
    // full size. The table changes once a second.
    let changes = rate(&mut fleet, SPAN, |fleet, second| {
        for _ in 0..CHANGES {
            turn += 1;
            let index = turn % keys.max(1);
            fleet.input(
                &host(index % size),
                Input::Publish(value(index, 10 + turn as u64)),
            );
        }
        let version = 22 + second;
        let share = u32::try_from(version).expect("fits 32 bits");
        let change = format!("change-{version}");
        let at = host(turn % size);
        fleet.propose(&at, version, version - 1, &change, edited(ROWS, 7, share));
    });
    let kinds: Vec<String> = fleet
        .bytes_by_kind
        .iter()
        .map(|(kind, bytes)| format!("{kind}={}", bytes / SPAN / size as u64))
        .collect();
    let kb = resident_kb().saturating_sub(before_kb) / size as u64;
    let before = near_hosts(&mut fleet);
    let (half, all) = detection(&mut fleet, size / 2);
    let moved = moved_share(&before, &near_hosts(&mut fleet));
    println!(
        "hosts={size} first_table={first} adopt_ms median={:.0} worst={:.0} lossy_median={:.0} \
         lossy_worst={:.0} idle frames={:.1}/s bytes={:.0}/s calls={:.1}/s cpu={:.3}% \
         current={:.4} changing frames={:.1}/s bytes={:.0}/s calls={:.1}/s cpu={:.3}% \
         ({}) kb_a_host={kb} dead_s median={half:.1} worst={all:.1} moved={moved:.4} \
         ideal={:.4}",
        median(&plain),
        worst(&plain),
        median(&lossy),
        worst(&lossy),
        idle.frames,
        idle.bytes,
        idle.calls,
        idle.cpu * 100.0,
        f64::from(u32::try_from(fresh).expect("fits 32 bits"))
            / f64::from(u32::try_from(samples).expect("fits 32 bits")),
        changes.frames,
        changes.bytes,
        changes.calls,
        changes.cpu * 100.0,
        kinds.join(" "),
        2.0 / (size as f64 / 3.0),
    );
}

fn median(times: &[f64]) -> f64 {
    let mut times = times.to_vec();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn worst(times: &[f64]) -> f64 {
    times.iter().copied().fold(0.0, f64::max)
}

fn main() {
    let sizes: Vec<usize> = env::args()
        .skip(1)
        .filter_map(|size| size.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![9, 30, 90]
    } else {
        sizes
    };
    for size in sizes {
        measure(size);
    }
}
