//! The retry budget that all hosts share, while hosts restart, registrations are missing and
//! upstreams refuse connections.

#[allow(dead_code)]
mod common;

use common::{FINGERPRINT, generation, ms, request_head, start, target, upstream};
use mulberryrack_core::{Time, outcome::Retry};
use mulberryrack_gate::{Decision, Ending, Gate, ModelChange, RetryBudget, Tuning};
use std::{sync::Arc, time::Duration};

const HOST_COUNT: u32 = 8;
/// Interval between two requests at one host.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of requests of each host.
const REQUESTS: u32 = 60;

/// A host, whose clock starts with its process.
struct Host {
    gate: Gate,
    started: Time,
}

impl Host {
    fn start(started: Time) -> Self {
        Self::start_among(started, HOST_COUNT)
    }

    fn start_among(started: Time, host_count: u32) -> Self {
        let mut gate = Gate::new(Tuning::default(), 7);
        gate.configure(Arc::new(common::config(1)));
        for name in ["d0", "d1"] {
            gate.register(Time::ZERO, upstream(name, "desk", &[]));
        }
        gate.set_host_count(Time::ZERO, host_count);
        Self { gate, started }
    }

    /// Serves a request whose first dispatch fails; returns whether it is retried.
    fn serve(&mut self, now: Time) -> bool {
        let now = Time::ZERO + now.since(self.started);
        let head = request_head("/look/x", None);
        let admitted = self.gate.admit(now, head, FINGERPRINT);
        let mut request = admitted.expect("a route matches");
        let first = target(self.gate.decide(now, &mut request, None));
        self.gate
            .record_ending(now, &mut request, first.id, Ending::Failed);
        match self.gate.decide(now, &mut request, Some(Retry::Broken)) {
            Decision::Dispatch(second) => {
                self.gate
                    .record_ending(now, &mut request, second.id, Ending::Done);
                true
            }
            decision => {
                assert_eq!(decision, Decision::Fail);
                false
            }
        }
    }
}

/// Plays requests that all fail once and checks the retries in each window. `disturb` is called
/// before each round of requests.
fn check_retries(disturb: impl Fn(u32, Time, &mut Vec<Host>)) {
    let mut hosts: Vec<Host> = (0..HOST_COUNT).map(|_| Host::start(Time::ZERO)).collect();
    let mut retries: Vec<Time> = Vec::new();
    let tuning = Tuning::default();
    for round in 0..REQUESTS {
        let now = Time::from_millis(20_000) + ARRIVAL_INTERVAL * round;
        disturb(round, now, &mut hosts);
        let served = hosts.iter_mut().map(|host| host.serve(now));
        retries.extend(served.filter(|is_retried| *is_retried).map(|_| now));
        let in_window = |time: &&Time| now.since(**time) < tuning.retry_window;
        let in_window = u32::try_from(retries.iter().filter(in_window).count());
        // The users' bound over all hosts, with the requests of a whole window.
        let requests = tuning.retry_window.as_secs_f64() / ARRIVAL_INTERVAL.as_secs_f64()
            * f64::from(HOST_COUNT);
        let allowed = tuning.retry_share * requests + tuning.retry_extra;
        let in_window = f64::from(in_window.expect("a few hundred"));
        assert!(
            in_window <= allowed,
            "{in_window} of {allowed}, round {round}"
        );
    }
    assert!(retries.len() > 40, "the budget is used: {}", retries.len());
}

#[test]
fn retries_of_all_hosts_stay_within_the_budget() {
    check_retries(|_, _, _| ());
}

#[test]
fn retries_stay_within_the_budget_while_registrations_are_missing() {
    check_retries(|round, now, hosts| {
        // Two seconds without registrations in every eight.
        let registered = if round % 16 < 4 { 1 } else { HOST_COUNT };
        for host in hosts {
            let now = Time::ZERO + now.since(host.started);
            host.gate.set_host_count(now, registered);
        }
    });
}

#[test]
fn retries_stay_within_the_budget_while_all_hosts_restart() {
    check_retries(|round, now, hosts| {
        if round % 8 == 7 {
            hosts.fill_with(|| Host::start(now));
        }
    });
}

#[test]
fn retries_stay_within_the_budget_while_all_hosts_restart_again_and_again() {
    const HOSTS: u32 = 2;
    let tuning = Tuning::default();
    let interval = ms(100);
    let start_all =
        |now| -> Vec<Host> { (0..HOSTS).map(|_| Host::start_among(now, HOSTS)).collect() };
    let mut hosts = start_all(Time::ZERO);
    let mut retries: Vec<Time> = Vec::new();
    for round in 0..400 {
        let now = Time::from_millis(20_000) + interval * round;
        // A restart each second, after a window in which the whole budget was spent.
        if (150..230).contains(&round) && round % 10 == 0 {
            hosts = start_all(now);
        }
        let served = hosts.iter_mut().map(|host| host.serve(now));
        retries.extend(served.filter(|is_retried| *is_retried).map(|_| now));
        let requests =
            tuning.retry_window.as_secs_f64() / interval.as_secs_f64() * f64::from(HOSTS);
        let allowed = tuning.retry_share * requests + tuning.retry_extra;
        let in_window = |time: &&Time| now.since(**time) < tuning.retry_window;
        let in_window = u32::try_from(retries.iter().filter(in_window).count());
        let in_window = f64::from(in_window.expect("a few hundred"));
        assert!(
            in_window <= allowed,
            "{in_window} of {allowed}, round {round}"
        );
    }
}

/// A request of one host that arrives at no upstream at first: `refused` connections are refused,
/// and the first upstream that it reaches fails it. Returns whether it is dispatched again.
fn serve_after_refused_connections(gate: &mut Gate, now: Time, refused: u32) -> bool {
    let admitted = gate.admit(now, request_head("/look/x", None), FINGERPRINT);
    let mut request = admitted.expect("a route matches");
    let mut retry = None;
    for _ in 0..refused {
        let Decision::Dispatch(to) = gate.decide(now, &mut request, retry) else {
            return false;
        };
        gate.record_ending(now, &mut request, to.id, Ending::NotSent);
        retry = Some(Retry::Refused);
    }
    let Decision::Dispatch(to) = gate.decide(now, &mut request, retry) else {
        return false;
    };
    gate.record_ending(now, &mut request, to.id, Ending::Failed);
    let again = gate.decide(now, &mut request, Some(Retry::Broken));
    let Decision::Dispatch(to) = again else {
        return false;
    };
    gate.record_ending(now, &mut request, to.id, Ending::Done);
    true
}

#[test]
fn refused_connections_add_nothing_to_the_budget() {
    let tuning = Tuning::default();
    let interval = ms(50);
    for refused in 0..=3 {
        let mut gates: Vec<Gate> = (0..HOST_COUNT)
            .map(|_| Host::start(Time::ZERO).gate)
            .collect();
        for gate in &mut gates {
            for name in ["d2", "d3", "d4", "d5"] {
                gate.register(Time::ZERO, upstream(name, "desk", &[]));
            }
        }
        let mut retries: Vec<Time> = Vec::new();
        for round in 0..600 {
            let now = Time::from_millis(20_000) + interval * round;
            for gate in &mut gates {
                if serve_after_refused_connections(gate, now, refused) {
                    retries.push(now);
                }
            }
        }
        let requests =
            tuning.retry_window.as_secs_f64() / interval.as_secs_f64() * f64::from(HOST_COUNT);
        let allowed = tuning.retry_share * requests + tuning.retry_extra;
        let in_window = |end: &Time| {
            let within = |time: &&Time| **time <= *end && end.since(**time) < tuning.retry_window;
            retries.iter().filter(within).count()
        };
        let most = retries.iter().map(in_window).max().unwrap_or_default();
        let most = f64::from(u32::try_from(most).expect("a few thousand"));
        assert!(
            most <= allowed,
            "{most} of {allowed}, {refused} refused connections"
        );
        assert!(most >= allowed / 2.0, "the budget is used: {most}");
    }
}

#[test]
fn an_arrival_is_not_forgotten_if_a_later_dispatch_is_not_sent() {
    let mut gate = common::gate();
    gate.deregister("e1");
    let now = Time::from_millis(20_000);
    let head = request_head("/stream/x", Some(generation("m0", 1, 100)));
    let (mut request, decision) = start(&mut gate, now, head);
    let first = target(decision);
    gate.record_ending(now, &mut request, first.id, Ending::Misplaced);
    let change = ModelChange {
        upstream: "e0".into(),
        model: "m0".into(),
        adapter: None,
        present: true,
    };
    gate.record_change(now, &change);
    let second = target(gate.decide(now, &mut request, Some(Retry::Turned)));
    assert_eq!(second.id, first.id);
    gate.record_ending(now, &mut request, second.id, Ending::NotSent);
    assert_eq!(request.tried_count(), 1, "it was there once");
}

#[test]
fn the_memory_of_a_budget_without_retries_is_bounded() {
    let mut budget = RetryBudget::default();
    let window = Duration::from_secs(10);
    for second in 0..1_000 {
        budget.record_first(Time::from_millis(second * 1_000), window);
    }
    let shown = format!("{budget:?}");
    // The times of one window, and the field names.
    assert!(shown.matches("Time").count() <= 12, "{shown}");
}
