//! Time to choose upstreams for the requests that were in flight on a crash, beside that for
//! as many requests under no suspicion.
//!
//!     cargo run --release -p mulberryrack-gate --example suspects

#[allow(dead_code)]
#[path = "../tests/common/mod.rs"]
mod common;

use common::{generation, request_head, target, upstream};
use mulberryrack_core::{Name, Time};
use mulberryrack_gate::Gate;
use mulberryrack_suspect::Crash;
use std::time::{Duration, Instant};

const NOW: Time = Time::from_millis(1_000);
/// Requests in flight at an engine whose slots are all taken.
const REQUESTS: u128 = 64;

fn main() {
    for (hosts, upstreams) in [(86, 300), (1_400, 300), (1_400, 1_000)] {
        let mut gate = gate(hosts, upstreams);
        let plain = time_decisions(&mut gate);
        let crash = Crash {
            upstream: "ended".into(),
            incarnation: 1,
        };
        gate.suspects_mut().record_crash(NOW, &crash, 0..REQUESTS);
        let suspected = time_decisions(&mut gate);
        println!("hosts={hosts} upstreams={upstreams} plain={plain:.1?} suspected={suspected:.1?}");
    }
}

fn gate(hosts: usize, upstreams: u16) -> Gate {
    let mut gate = common::gate();
    for number in 0..upstreams {
        let mut engine = upstream(&format!("engine-{number}"), "llm", &["m0"]);
        engine.address.set_port(1_000 + number);
        gate.register(NOW, engine);
    }
    let hosts: Vec<Name> = (0..hosts)
        .map(|number| format!("host-{number}").into())
        .collect();
    gate.set_hosts(Time::ZERO, &hosts[0].clone(), hosts);
    gate
}

fn time_decisions(gate: &mut Gate) -> Duration {
    let started_at = Instant::now();
    for fingerprint in 0..REQUESTS {
        let head = request_head("/stream/x", Some(generation("m0", 1, 100)));
        let mut request = gate.admit(NOW, head, fingerprint).expect("a route matches");
        let _ = target(gate.decide(NOW, &mut request, None));
    }
    started_at.elapsed()
}
