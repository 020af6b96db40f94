//! Upstreams that say in an answer that they are leaving.

#[allow(dead_code)]
mod common;

use common::{generation, ms, request_head, target, upstream};
use mulberryrack_core::{
    Time,
    outcome::{Reason, Retry},
};
use mulberryrack_gate::{Decision, Ending, Gate, RequestState, Target};

const NOW: Time = Time::from_millis(1_000);

fn admit(gate: &mut Gate, path: &str) -> RequestState {
    let generation = (path == "/stream/x").then(|| generation("m0", 1, 100));
    let head = request_head(path, generation);
    gate.admit(NOW, head, 1).expect("a route matches")
}

/// Dispatches a request, and has its upstream say that it leaves.
fn leave(gate: &mut Gate, path: &str) -> (RequestState, Target) {
    let mut request = admit(gate, path);
    let to = target(gate.decide(NOW, &mut request, None));
    assert!(gate.record_leaving(to.id, request.incarnation()));
    (request, to)
}

#[test]
fn an_upstream_that_leaves_gets_nothing_new_whatever_its_entry_says() {
    let mut gate = common::gate();
    let (mut running, first) = leave(&mut gate, "/look/x");
    assert!(
        !gate.record_leaving(first.id, running.incarnation()),
        "no news"
    );
    let mut heartbeat = upstream(&first.name, "desk", &[]);
    heartbeat.sequence = 2;
    gate.register(NOW + ms(200), heartbeat);
    for _ in 0..20 {
        let mut other = admit(&mut gate, "/look/x");
        let to = target(gate.decide(NOW + ms(300), &mut other, None));
        assert_ne!(to.id, first.id);
    }
    gate.record_ending(NOW + ms(300), &mut running, first.id, Ending::Done);
}

#[test]
fn an_upstream_that_lapsed_and_is_registered_again_is_still_leaving() {
    let mut gate = common::gate();
    let (_, first) = leave(&mut gate, "/look/x");
    gate.deregister(&first.name);
    gate.register(NOW + ms(200), upstream(&first.name, "desk", &[]));
    let mut other = admit(&mut gate, "/look/x");
    let to = target(gate.decide(NOW + ms(300), &mut other, None));
    assert_ne!(to.id, first.id);
}

#[test]
fn the_next_incarnation_takes_requests_and_a_late_answer_of_the_former_changes_nothing() {
    let mut gate = common::gate();
    gate.deregister("d1");
    let (request, first) = leave(&mut gate, "/look/x");
    let mut next = upstream(&first.name, "desk", &[]);
    next.started_ms = 2;
    gate.register(NOW + ms(200), next);
    assert!(!gate.record_leaving(first.id, request.incarnation()));
    let mut other = admit(&mut gate, "/look/x");
    let to = target(gate.decide(NOW + ms(300), &mut other, None));
    assert_eq!(to.id, first.id);
}

#[test]
fn a_stream_that_breaks_at_an_upstream_that_leaves_resumes_elsewhere() {
    let mut gate = common::gate();
    let (mut stream, first) = leave(&mut gate, "/stream/x");
    gate.record_first_event(&mut stream, &first, ms(20));
    gate.record_ending(NOW + ms(900), &mut stream, first.id, Ending::Broken);
    let to = target(gate.decide(NOW + ms(900), &mut stream, Some(Retry::Broken)));
    assert_ne!(to.id, first.id);
    assert!(gate.suspects().is_empty(), "it ended as planned");
}

#[test]
fn a_request_is_refused_at_once_if_all_upstreams_leave() {
    let mut gate = common::gate();
    leave(&mut gate, "/look/x");
    leave(&mut gate, "/look/x");
    let mut other = admit(&mut gate, "/look/x");
    match gate.decide(NOW, &mut other, None) {
        Decision::Refuse(refusal) => assert_eq!(refusal.reason, Reason::NoUpstream),
        decision => panic!("not refused: {decision:?}"),
    }
}
