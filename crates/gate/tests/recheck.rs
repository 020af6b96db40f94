//! What was decided on a request and has changed before a byte of it is sent.

#[allow(dead_code)]
mod common;

use common::{generation, ms, request_head, target, upstream};
use mulberryrack_core::{Time, outcome::Retry};
use mulberryrack_gate::{Ending, Gate, RequestState, Target};
use mulberryrack_site::upstream::State;
use mulberryrack_suspect::{Crash, Subject};
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);
const FINGERPRINT: u128 = 7;

type Change = fn(&mut Gate, &RequestState, &Target);

/// A request for which an upstream was selected.
fn selected(gate: &mut Gate, path: &str) -> (RequestState, Target) {
    let generation = (path == "/stream/x").then(|| generation("m0", 1, 100));
    let head = request_head(path, generation);
    let mut request = gate.admit(NOW, head, FINGERPRINT).expect("a route matches");
    let to = target(gate.decide(NOW, &mut request, None));
    assert!(gate.may_still_send(NOW, &request, &to));
    (request, to)
}

/// Whether a request may be sent after `change`.
fn may_send_after(change: impl FnOnce(&mut Gate, &RequestState, &Target)) -> bool {
    let mut gate = common::gate();
    let (request, to) = selected(&mut gate, "/book/x");
    change(&mut gate, &request, &to);
    gate.may_still_send(NOW + ms(10), &request, &to)
}

#[test]
fn request_is_not_sent_to_an_upstream_that_has_changed_since_it_was_selected() {
    let changes: [(&str, Change); 6] = [
        ("draining", |gate, _, to| {
            let mut leaving = upstream(&to.name, "desk", &[]);
            (leaving.state, leaving.sequence) = (State::Draining, 2);
            gate.register(NOW, leaving);
        }),
        ("gone", |gate, _, to| gate.deregister(&to.name)),
        ("says that it leaves", |gate, request, to| {
            assert!(gate.record_leaving(to.id, request.incarnation()));
        }),
        ("restarted", |gate, _, to| {
            let mut next = upstream(&to.name, "desk", &[]);
            next.started_ms += 1;
            gate.register(NOW, next);
        }),
        ("moved", |gate, _, to| {
            let mut next = upstream(&to.name, "desk", &[]);
            next.sequence = 2;
            next.address.set_port(to.address.port() + 1);
            gate.register(NOW, next);
        }),
        ("rests", |gate, request, to| {
            gate.record_rest(NOW, to.id, request.incarnation(), Duration::from_secs(1));
        }),
    ];
    for (name, change) in changes {
        assert!(!may_send_after(change), "{name}");
    }
    assert!(may_send_after(|_, _, _| {}), "nothing has changed");
}

#[test]
fn request_is_not_sent_once_it_is_known_to_crash_upstreams() {
    let is_sent = may_send_after(|gate, _, _| {
        for number in 0..3 {
            let crash = Crash {
                upstream: format!("ended{number}").into(),
                incarnation: 1,
            };
            let subjects = [Subject::Request(FINGERPRINT)];
            gate.suspects_mut().record_crash(NOW, &crash, subjects);
        }
    });
    assert!(!is_sent);
}

#[test]
fn request_is_not_sent_when_its_deadline_has_passed() {
    let mut gate = common::gate();
    let (request, to) = selected(&mut gate, "/book/x");
    assert!(!gate.may_still_send(request.deadline, &request, &to));
}

#[test]
fn withdrawn_request_goes_to_another_upstream() {
    let mut gate = common::gate();
    let (mut request, to) = selected(&mut gate, "/book/x");
    gate.deregister(&to.name);
    gate.record_ending(NOW, &mut request, to.id, Ending::Withdrawn);
    assert!(request.certainly_not_run());
    let next = target(gate.decide(NOW, &mut request, Some(Retry::Refused)));
    assert_ne!(next.id, to.id);
}

#[test]
fn each_further_send_of_a_request_is_checked_like_the_first() {
    let ways: [(&str, &str, Ending, Retry); 4] = [
        ("turned away", "/book/x", Ending::NotRun, Retry::Turned),
        ("not sent", "/book/x", Ending::NotSent, Retry::Refused),
        ("broken", "/look/x", Ending::Broken, Retry::Broken),
        ("silent", "/look/x", Ending::Silent, Retry::Silent),
    ];
    for (name, path, ending, retry) in ways {
        let mut gate = common::gate();
        let (mut request, first) = selected(&mut gate, path);
        gate.record_ending(NOW, &mut request, first.id, ending);
        let next = target(gate.decide(NOW, &mut request, Some(retry)));
        assert!(gate.may_still_send(NOW, &request, &next), "{name}");
        gate.deregister(&next.name);
        assert!(!gate.may_still_send(NOW, &request, &next), "{name}");
    }
}

#[test]
fn resumed_stream_is_not_sent_to_an_upstream_that_has_left() {
    let mut gate = common::gate();
    let (mut stream, first) = selected(&mut gate, "/stream/x");
    gate.record_first_event(&mut stream, &first, ms(20));
    gate.record_ending(NOW, &mut stream, first.id, Ending::Broken);
    let next = target(gate.decide(NOW, &mut stream, Some(Retry::Broken)));
    assert!(gate.may_still_send(NOW, &stream, &next));
    assert!(gate.record_leaving(next.id, stream.incarnation()));
    assert!(!gate.may_still_send(NOW, &stream, &next));
}

#[test]
fn request_that_was_read_late_is_refused_for_its_deadline_only() {
    let mut gate = common::gate();
    let head = request_head("/stream/x", Some(generation("m0", 1, 100)));
    let mut request = gate.admit(NOW, head, FINGERPRINT).expect("a route matches");
    let deadline = request.deadline;
    // Longer than its latency target.
    request.record_wait(ms(2_000));
    assert_eq!(deadline.since(request.deadline), ms(2_000));
    let to = target(gate.decide(NOW, &mut request, None));
    assert!(gate.may_still_send(NOW, &request, &to));
    assert!(!gate.may_still_send(request.deadline, &request, &to));
}
