//! Tests of the simulated weight store, list of machines and plain services in virtual
//! time.

use mulberryrack_core::{
    Incarnation, Name, Time,
    node::{Listing, Role},
    request::Call,
    upstream::Fault,
};
use mulberryrack_standin::{
    list::List,
    run::{POISON, repeated_keys},
    service::{self, Output, Service},
    weights::{self, Fetch, Store},
};
use std::time::Duration;

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn fetch(engine: &str, memory_mb: u64) -> Fetch {
    Fetch {
        engine: engine.into(),
        incarnation: Incarnation(1),
        row: "m".into(),
        memory_mb,
    }
}

/// When each of `count` fetches ends that all arrive at time zero.
fn ends(settings: weights::Settings, count: usize, memory_mb: u64) -> Vec<Time> {
    let mut store = Store::new(settings);
    let mut out = Vec::new();
    for _ in 0..count {
        store.handle(Time::ZERO, Some(fetch("e", memory_mb)), &mut out);
    }
    let mut ends = Vec::new();
    while let Some(at) = store.next_wake() {
        store.handle(at, None, &mut out);
        ends.extend(out.drain(..).map(|_| at));
    }
    ends
}

#[test]
fn the_weight_store_limits_the_rate_of_loads() {
    let settings = weights::Settings {
        rate: 2.0,
        parallel: 100,
        bandwidth_mb: 1_000,
    };
    let expected: Vec<Time> = (0..8).map(|n| millis(1_000 + n * 500)).collect();
    assert_eq!(ends(settings, 8, 1_000), expected);
}

#[test]
fn the_weight_store_limits_parallel_loads() {
    let settings = weights::Settings {
        rate: 1_000.0,
        parallel: 3,
        bandwidth_mb: 1_000,
    };
    let ends = ends(settings, 6, 10_000);
    assert!(ends[2] < millis(10_003), "{ends:?}");
    assert!(ends[3] >= millis(20_000), "{ends:?}");
}

fn listing(name: &str) -> Listing {
    Listing {
        name: name.into(),
        role: Role::Engine,
        group: "refill-llm".into(),
        data_centre: "fukuoka-hall".into(),
        address: "127.0.0.1:1".into(),
        peer_address: Name::default(),
        memory_mb: 1,
        accelerators: 1,
        fencing: false,
        leaving: false,
    }
}

#[test]
fn list_changes_become_visible_after_the_lag() {
    let mut list = List::new(Duration::from_secs(3));
    list.set(millis(0), listing("a"));
    assert!(list.read(millis(2_999)).is_empty());
    assert_eq!(list.read(millis(3_000)), [listing("a")]);
    assert!(list.set_leaving(millis(4_000), "a", true));
    list.set(millis(4_500), listing("b"));
    assert!(list.set_leaving(millis(4_600), "b", true));
    assert!(!list.set_leaving(millis(4_600), "c", true));
    assert!(!list.read(millis(6_999))[0].leaving);
    assert!(list.read(millis(7_000))[0].leaving);
    list.remove(millis(8_000), "a");
    assert_eq!(list.read(millis(10_999)).len(), 2);
    assert_eq!(list.read(millis(11_000)).len(), 1);
    assert_eq!(list.reads, 6);
}

fn call(key: &str, body: &'static str) -> Call {
    Call {
        method: "POST".into(),
        path: "/bookings?day=2".into(),
        headers: [("idempotency-key".into(), key.into())].into(),
        body: body.into(),
    }
}

fn replica(settings: service::Settings) -> Service {
    Service::new("desk-1".into(), "desk".into(), settings, Incarnation(1))
}

#[test]
fn a_service_echoes_and_counts_the_runs_of_a_key() {
    let mut service = replica(service::Settings::default());
    let mut out = Vec::new();
    service.call(millis(0), 1, &call("k", "Fès"), &mut out);
    service.call(millis(0), 2, &call("k", "Fès"), &mut out);
    service.call(millis(0), 3, &call("l", "other"), &mut out);
    assert!(out.is_empty());
    service.wake(millis(1_000), &mut out);
    let bodies: Vec<serde_json::Value> = out
        .iter()
        .map(|output| match output {
            Output::Answer {
                status: 200, body, ..
            } => serde_json::from_str(body).unwrap(),
            other => panic!("{other:?}"),
        })
        .collect();
    let runs: Vec<u64> = bodies.iter().map(|b| b["run"].as_u64().unwrap()).collect();
    assert_eq!(runs, [1, 2, 1]);
    assert_eq!(bodies[0]["body"], "Fès");
    assert_eq!(bodies[0]["path"], "/bookings?day=2");
    let repeated_keys = repeated_keys(&service.runs);
    assert_eq!(
        repeated_keys.into_iter().collect::<Vec<_>>(),
        [("k".into(), 2)]
    );
}

#[test]
fn a_service_slows_under_load_and_refuses_calls_beyond_its_slots() {
    let mut service = replica(service::Settings {
        slots: 2,
        ..service::Settings::default()
    });
    let mut out = Vec::new();
    for ticket in 1..=3 {
        service.call(millis(0), ticket, &call("k", ""), &mut out);
    }
    let refused = |output: &Output| matches!(output, Output::Answer { status: 503, .. });
    assert!(out.len() == 1 && refused(&out[0]));
    assert_eq!(service.report().unwrap().running, 2);
    service.wake(millis(8), &mut out);
    assert_eq!(out.len(), 2);
    service.wake(millis(9), &mut out);
    assert_eq!(out.len(), 3);
    assert_eq!(service.runs.len(), 2);
}

#[test]
fn a_poison_call_crashes_a_service() {
    let mut service = replica(service::Settings::default());
    let mut out = Vec::new();
    service.call(millis(0), 1, &call("k", ""), &mut out);
    service.call(millis(0), 2, &call("l", POISON), &mut out);
    service.call(millis(1), 3, &call("m", ""), &mut out);
    let mut faults: Vec<(u64, Fault)> = out
        .iter()
        .map(|output| match output {
            Output::Fault { ticket, fault } => (*ticket, *fault),
            Output::Answer { .. } => panic!("{output:?}"),
        })
        .collect();
    faults.sort_unstable_by_key(|(ticket, _)| *ticket);
    let (broken, refused) = (Fault::Broken, Fault::NotSent);
    assert_eq!(faults, [(1, broken), (2, broken), (3, refused)]);
    assert_eq!(service.report(), None);
    service.wake(millis(2_000), &mut out);
    assert_eq!(service.report().unwrap().incarnation, Incarnation(2));
    assert_eq!(service.runs.len(), 2);
}
