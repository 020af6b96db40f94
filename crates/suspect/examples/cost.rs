//! Measures what the evidence costs a host: processor time of each operation, and memory, with
//! few suspects and at the limit.
//!
//! `cargo run --release -p mulberryrack-suspect --example cost`

use mulberryrack_core::Time;
use mulberryrack_suspect::{Crash, Limits, Subject, Suspects};
use std::{
    fs,
    hint::black_box,
    ops::Range,
    time::{Duration, Instant},
};

const LIMITS: Limits = Limits {
    crashes_until_refused: 3,
    max_suspects: 1_024,
    suspicion_period: Duration::from_secs(600),
};
const NOW: Time = Time::from_millis(1_000);
/// Requests in flight on a crash: all slots of an engine.
const IN_FLIGHT: u128 = 64;

fn crash(number: u64) -> Crash {
    Crash {
        upstream: format!("i-{number:010x}").into(),
        incarnation: 1_700_000_000_000 + number,
    }
}

/// Evidence on `count` fingerprints, and as many parts that come once, each in flight on `crashes`
/// crashes, in groups of [`IN_FLIGHT`] that cannot be told apart.
fn filled(count: u128, crashes: u64) -> Suspects {
    let mut suspects = Suspects::new(LIMITS);
    for group in 0..count.div_ceil(IN_FLIGHT) {
        for number in 0..crashes {
            let first = group * IN_FLIGHT;
            let group = u64::try_from(group).expect("a small number");
            let last = (first + IN_FLIGHT).min(count);
            let crash = crash(group * crashes + number);
            suspects.record_crash(NOW, &crash, subjects(first..last));
        }
    }
    suspects
}

/// Requests with these fingerprints, each with a part of its own.
fn subjects(requests: Range<u128>) -> impl Iterator<Item = Subject> {
    requests.flat_map(|number| [Subject::Request(number), Subject::Part(number)])
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
    kb.unwrap_or(0)
}

/// Mean time of an operation, in microseconds.
fn micros(rounds: u32, mut operation: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..rounds).for_each(|_| operation());
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn measure(count: u128, crashes: u64) {
    let before = resident_kb();
    let mut suspects = filled(count, crashes);
    let memory = resident_kb().saturating_sub(before);
    let told = suspects.own(NOW).suspicions;
    let lookup = micros(100_000, || {
        black_box(suspects.is_refused(black_box(Subject::Part(7))));
    });
    let digest = micros(100, || {
        black_box(suspects.digest());
    });
    let learn = micros(20, || {
        let mut other = Suspects::new(LIMITS);
        black_box(other.learn(NOW, told.clone()));
    });
    let expire = micros(100, || suspects.expire(NOW));
    let mut number = 1_000_000;
    let record = micros(20, || {
        number += 1;
        suspects.record_crash(NOW, &crash(number), subjects(0..IN_FLIGHT.min(count)));
    });
    println!(
        "suspects={count} crashes={crashes} memory_kb={memory} lookup_us={lookup:.3} \
         digest_us={digest:.1} learn_all_us={learn:.0} expire_us={expire:.1} record_crash_us={record:.0}"
    );
}

fn main() {
    // The largest first: memory that it has used is used again by the others.
    for (count, crashes) in [(1_024, 8), (1_024, 2), (1_024, 1), (64, 2), (64, 1)] {
        measure(count, crashes);
    }
}
