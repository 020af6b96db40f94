//! Measures the ledger in virtual time and prints one line of key=value pairs per case:
//! the share of claims granted during a ten-minute outage of the key-value service, the
//! number of claims per write, memory per kept id, and time per claim.
//!
//! `cargo run --release -p mulberryrack-ledger --example outage -- CASE`, where the case is
//! `outage`, `commit`, `owner-memory` or `holder-memory`. The last two read the resident
//! memory of the process (Linux only), so each needs a process of its own.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Faults, World};
use mulberryrack_core::{
    Incarnation, Name, Time,
    claim::{End, Verdict},
    kv,
    note::Counter,
    request,
    view::{Peer, Standing, View},
};
use mulberryrack_ledger::{Input, Ledger, Output, Settings};
use mulberryrack_wire::ledger::{self as wire, answer, frame::Body};
use rand::RngExt;
use std::{
    collections::BTreeMap,
    env, fs,
    sync::Arc,
    time::{Duration, Instant},
};

const HOSTS: usize = 9;
const OUTAGE: Duration = Duration::from_secs(600);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after the loss of a host the other hosts presume it dead.
const DEAD_AFTER: Duration = Duration::from_secs(3);
/// How long after its loss a host stays on the platform's list.
const GONE_AFTER: Duration = Duration::from_secs(30);
/// Lifetime in seconds of a grant that a caller would get with the answer to an address
/// query.
const GRANT_LIFETIME_S: f64 = 30.0;

fn main() {
    match env::args().nth(1).as_deref() {
        Some("outage") => run_outages(),
        Some("commit") => run_commits(),
        Some("owner-memory") => owner_memory(),
        Some("holder-memory") => holder_memory(),
        _ => println!("usage: outage outage|commit|owner-memory|holder-memory"),
    }
}

fn run_outages() {
    for lost in 0..3 {
        outage("refuse", lost, false);
        outage("witness", lost, true);
        print_bound_grants(lost);
    }
}

fn run_commits() {
    for rate in [1, 10, 100, 1_000, 5_000] {
        commit(rate);
    }
}

/// Sends claims to random live hosts during an outage in which `lost` hosts crash.
fn outage(way: &str, lost: usize, witness: bool) {
    let settings = Settings {
        witness,
        ..Settings::default()
    };
    let mut world = World::new(HOSTS, 11, settings, Faults::default());
    world.run(Duration::from_secs(15));
    world.verdicts.clear();
    world.service_down = true;
    let start = world.now;
    let mut losses: Vec<(Duration, String, Option<Standing>)> = Vec::new();
    for (index, minute) in (0..lost).zip([2u64, 5]) {
        let at = Duration::from_secs(minute * 60);
        let name = format!("host-{index}");
        losses.push((at, name.clone(), None));
        losses.push((at + DEAD_AFTER, name.clone(), Some(Standing::Dead)));
        losses.push((at + GONE_AFTER, name, Some(Standing::Gone)));
    }
    losses.sort_by_key(|(at, ..)| *at);
    let mut asked = 0u32;
    let mut id = 0u128;
    while world.now.since(start) < OUTAGE {
        while losses
            .first()
            .is_some_and(|(at, ..)| *at <= world.now.since(start))
        {
            let (_, name, standing) = losses.remove(0);
            match standing {
                None => world.crash(&name, Standing::Suspect),
                Some(standing) => {
                    world.set_standing(&name, standing);
                    world.publish_view();
                }
            }
        }
        let names = world.names();
        let host = names[world.rng.random_range(0..names.len())].clone();
        id += 1;
        world.claim(&host, (id << 64) | id, 1, CLAIM_TIMEOUT);
        asked += 1;
        world.run(Duration::from_millis(50));
    }
    world.run(CLAIM_TIMEOUT);
    let served = granted(&world).len();
    println!(
        "event=outage way={way} hosts_lost={lost} asked={asked} served={served} share={:.4} {}",
        share(served, asked as usize),
        latencies(&world)
    );
}

/// Computes, without a run, the share served by another design: the answer to an address
/// query carries a grant that is bound to one host's life, and a request is served if
/// that host is still up.
fn print_bound_grants(lost: usize) {
    let window = GRANT_LIFETIME_S / 2.0 / OUTAGE.as_secs_f64();
    let mut refused = 0.0;
    let mut hosts = f64::from(u32::try_from(HOSTS).expect("small"));
    for _ in 0..lost {
        refused += window / hosts;
        hosts -= 1.0;
    }
    println!(
        "event=outage way=bound-grants hosts_lost={lost} share={:.4} computed=true",
        1.0 - refused
    );
}

/// Counts writes and claims per write while the service works.
fn commit(rate: u32) {
    let mut world = World::new(HOSTS, 11, Settings::default(), Faults::default());
    world.run(Duration::from_secs(15));
    world.verdicts.clear();
    let (writes, recorded) = (world.store.writes, world.count(Counter::IntentRecorded));
    let span = Duration::from_secs(10);
    let start = world.now;
    let gap = Duration::from_secs(1) / rate;
    let mut id = 0u128;
    while world.now.since(start) < span {
        let names = world.names();
        let host = names[world.rng.random_range(0..names.len())].clone();
        id += 1;
        let spread: u64 = world.rng.random();
        world.claim(&host, (u128::from(spread) << 64) | id, 1, CLAIM_TIMEOUT);
        world.run(gap);
    }
    world.run(CLAIM_TIMEOUT);
    let seconds = span.as_secs_f64();
    let recorded = world.count(Counter::IntentRecorded) - recorded;
    let writes = world.store.writes - writes;
    println!(
        "event=commit claims_per_second={rate} writes_per_second={:.1} claims_per_write={:.1} {}",
        float(writes) / seconds,
        float(recorded) / float(writes.max(1)),
        latencies(&world)
    );
}

/// Measures the resident memory per id on an owner, as the increase over each step, and
/// the time per claim.
fn owner_memory() {
    let me = Name::from("host-0");
    let other = Name::from("host-1");
    let mut ledger = single_ledger(&me);
    let mut out = Vec::new();
    let mut revision = 0;
    let mut now = Time::from_millis(1);
    ledger.handle(now, view(&me, &[&me, &other]), &mut out);
    let steps = 4;
    let keys = 200_000u64;
    let mut before = 0.0;
    for step in 0..=steps {
        let resident = resident_bytes();
        if step > 1 {
            println!(
                "event=owner-memory keys={} resident_mb={:.1} bytes_per_key={:.0}",
                step * keys,
                resident / 1e6,
                (resident - before) / float(keys)
            );
        }
        before = resident;
        let began = Instant::now();
        for key in 0..keys {
            let id = step * keys + key;
            let claim = wire::Claim {
                id_high: id.wrapping_mul(0x9E37_79B9_7F4A_7C15),
                id_low: id,
                body: 1,
                request: id,
                nonce: id + 1,
                remaining_ms: 5_000,
            };
            now = now + Duration::from_micros(200);
            let input = frame(&other, Body::Claim(claim));
            ledger.handle(now, input, &mut out);
            answer_calls(&mut ledger, now, &mut out, &mut revision);
        }
        if step == steps {
            let micros = began.elapsed().as_secs_f64() * 1e6 / float(keys);
            println!("event=owner-time micros_per_claim={micros:.2}");
        }
    }
}

/// Measures the resident memory per claim on a holder.
fn holder_memory() {
    let me = Name::from("host-0");
    let other = Name::from("host-1");
    let mut ledger = single_ledger(&me);
    let mut out = Vec::new();
    let mut now = Time::from_millis(1);
    // The other host is the only one in the view, so it owns all shards.
    ledger.handle(now, view(&me, &[&other]), &mut out);
    let keys = 100_000u64;
    let mut before = 0.0;
    for step in 0..4u64 {
        let resident = resident_bytes();
        if step > 1 {
            println!(
                "event=holder-memory claims={} bytes_per_claim={:.0}",
                step * keys,
                (resident - before) / float(keys)
            );
        }
        before = resident;
        for key in 0..keys {
            let nonce = step * keys + key + 1;
            now = now + Duration::from_micros(200);
            let request = request::Key(nonce);
            let input = Input::Claim {
                request,
                id: u128::from(nonce),
                body: 1,
                deadline: now + CLAIM_TIMEOUT,
            };
            ledger.handle(now, input, &mut out);
            let answer = wire::Answer {
                nonce,
                id_high: 0,
                id_low: nonce,
                verdict: Some(answer::Verdict::Granted(wire::Granted {})),
            };
            ledger.handle(now, frame(&other, Body::Answer(answer)), &mut out);
            let end = End::Ran;
            ledger.handle(now, Input::Done { request, end }, &mut out);
            out.clear();
        }
    }
}

fn single_ledger(me: &Name) -> Ledger {
    let settings = Settings {
        shards: 1,
        retention: Duration::from_secs(36_000),
        ..Settings::default()
    };
    Ledger::new(
        settings,
        me.clone(),
        Incarnation(1_700_000_000_000),
        1,
        Time::ZERO,
    )
}

/// Answers calls like a service that accepts every write and stores nothing.
fn answer_calls(ledger: &mut Ledger, now: Time, out: &mut Vec<Output>, revision: &mut u64) {
    while !out.is_empty() {
        for output in std::mem::take(out) {
            let Output::Kv { token, op } = output else {
                continue;
            };
            *revision += 1;
            let outcome = match op {
                kv::Op::List { .. } => Ok(kv::Reply::Entries {
                    entries: Vec::new(),
                    more: false,
                    revision: kv::Revision(*revision),
                }),
                _ => Ok(kv::Reply::Written(kv::Revision(*revision))),
            };
            ledger.handle(now, Input::Kv { token, outcome }, out);
        }
    }
}

fn frame(from: &Name, body: Body) -> Input {
    Input::Frame {
        from: from.clone(),
        incarnation: Incarnation(1_700_000_000_000),
        frame: wire::Frame { body: Some(body) },
    }
}

fn view(me: &Name, hosts: &[&Name]) -> Input {
    let peers = hosts
        .iter()
        .map(|name| Peer {
            name: (*name).clone(),
            incarnation: Incarnation(1_700_000_000_000),
            data_centre: "fukuoka-hall".into(),
            address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            standing: Standing::Alive,
        })
        .collect();
    Input::View(Arc::new(View {
        me: me.clone(),
        peers,
    }))
}

/// Time from claim to grant of each granted request.
fn granted(world: &World) -> BTreeMap<request::Key, Duration> {
    world
        .verdicts
        .iter()
        .filter(|given| given.verdict == Verdict::Granted)
        .map(|given| {
            let key = (given.host.clone(), given.incarnation, given.request);
            (given.request, given.at.since(world.attempts[&key].at))
        })
        .collect()
}

fn latencies(world: &World) -> String {
    let mut spans: Vec<Duration> = granted(world).into_values().collect();
    spans.sort();
    let at = |share: usize| {
        spans
            .get((spans.len() * share / 100).min(spans.len().saturating_sub(1)))
            .map_or(0.0, |span| span.as_secs_f64() * 1e3)
    };
    format!("grant_ms_p50={:.1} grant_ms_p99={:.1}", at(50), at(99))
}

fn share(part: usize, whole: usize) -> f64 {
    float(part as u64) / float(whole.max(1) as u64)
}

#[allow(clippy::cast_precision_loss)]
const fn float(count: u64) -> f64 {
    count as f64
}

/// Resident memory of this process in bytes; 0 on systems other than Linux.
fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0);
    kilobytes * 1024.0
}
