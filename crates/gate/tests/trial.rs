//! Requests with subjects on trial: which of them wait, and what ends a trial.

#[allow(dead_code)]
mod common;

use common::{generation, ms, request_head, target, upstream};
use mulberryrack_core::{Name, Time, outcome::Reason};
use mulberryrack_gate::{Decision, Ending, Gate, RequestState, Target};
use mulberryrack_site::request::PromptPart;
use mulberryrack_suspect::{Answer, Crash, Subject, Verdict};
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);
const PART: u64 = 50;
/// Number of the next request: each has a fingerprint of its own.
const FIRST: u128 = 100;

fn gate() -> Gate {
    let mut gate = common::gate();
    for number in 0..6 {
        let mut engine = upstream(&format!("e{number}"), "llm", &["m0"]);
        engine.address.set_port(1_000 + number);
        gate.register(NOW, engine);
    }
    gate
}

/// A gate that knows of two crashes of different requests with the part.
fn gate_with_trial() -> Gate {
    let mut gate = gate();
    for number in 0..2_u128 {
        let crash = Crash {
            upstream: format!("ended{number}").into(),
            incarnation: 1,
        };
        let subjects = [Subject::Part(u128::from(PART)), Subject::Request(number)];
        gate.suspects_mut().record_crash(NOW, &crash, subjects);
    }
    assert_eq!(verdict(&gate), Some(Verdict::Trial));
    gate
}

fn verdict(gate: &Gate) -> Option<Verdict> {
    gate.suspects().verdict(Subject::Part(u128::from(PART)))
}

fn admit(gate: &mut Gate, fingerprint: u128) -> RequestState {
    let mut generation = generation("m0", 1, 100);
    let part = PromptPart {
        id: PART,
        tokens: 10,
    };
    generation.prompt_parts.insert(0, part);
    let head = request_head("/stream/x", Some(generation));
    gate.admit(NOW, head, fingerprint).expect("a route matches")
}

/// Asks for the permit of a request at the gate itself. Returns whether it was given.
fn ask(gate: &mut Gate, now: Time, request: &mut RequestState) -> bool {
    let Some(ask) = gate.ask_for_permit(now, request) else {
        return false;
    };
    let is_granted = gate.give_permit(now, &ask) == Answer::Granted;
    if is_granted {
        Gate::record_permit(request);
    }
    is_granted
}

fn run_on_trial(gate: &mut Gate, fingerprint: u128) -> (RequestState, Target) {
    let mut request = admit(gate, fingerprint);
    assert!(ask(gate, NOW, &mut request));
    let to = target(gate.decide(NOW, &mut request, None));
    (request, to)
}

#[test]
fn a_request_with_a_part_on_trial_waits_for_a_permit() {
    let mut gate = gate_with_trial();
    let mut request = admit(&mut gate, FIRST);
    let decision = gate.decide(NOW, &mut request, None);
    assert!(matches!(decision, Decision::AwaitPermit(_)), "{decision:?}");
    assert!(ask(&mut gate, NOW, &mut request));
    target(gate.decide(NOW, &mut request, None));
}

#[test]
fn a_request_that_gets_no_permit_is_refused_as_not_run_in_time_to_return() {
    let mut gate = gate_with_trial();
    let mut request = admit(&mut gate, FIRST);
    let Decision::AwaitPermit(until) = gate.decide(NOW, &mut request, None) else {
        panic!("does not wait");
    };
    assert!(until < NOW + request.route.latency_target);
    match gate.decide(until, &mut request, None) {
        Decision::Refuse(refusal) => {
            assert_eq!(refusal.reason, Reason::Suspect);
            assert_eq!(refusal.retry_after, Some(Duration::from_secs(1)));
        }
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn a_request_whose_model_no_upstream_has_waits_for_the_model_first() {
    let mut gate = gate_with_trial();
    for number in 0..6 {
        gate.deregister(&format!("e{number}"));
    }
    let mut request = admit(&mut gate, FIRST);
    let decision = gate.decide(NOW, &mut request, None);
    assert!(
        matches!(decision, Decision::AwaitPlacement(_)),
        "{decision:?}"
    );
}

#[test]
fn two_requests_with_a_part_run_at_once_and_the_others_wait() {
    let mut gate = gate_with_trial();
    let mut requests: Vec<RequestState> = (0..4)
        .map(|number| admit(&mut gate, FIRST + number))
        .collect();
    let granted: Vec<bool> = requests
        .iter_mut()
        .map(|request| ask(&mut gate, NOW, request))
        .collect();
    assert_eq!(granted, [true, true, false, false]);
}

#[test]
fn a_complete_run_ends_the_trial() {
    let mut gate = gate_with_trial();
    let (mut request, to) = run_on_trial(&mut gate, FIRST);
    gate.record_ending(NOW, &mut request, to.id, Ending::Done);
    assert_eq!(verdict(&gate), None);
    let mut next = admit(&mut gate, FIRST + 1);
    target(gate.decide(NOW, &mut next, None));
}

#[test]
fn an_answer_that_is_no_success_or_has_no_event_clears_nothing() {
    for ending in [Ending::Inconclusive, Ending::Failed] {
        let mut gate = gate_with_trial();
        let (mut request, to) = run_on_trial(&mut gate, FIRST);
        gate.record_ending(NOW, &mut request, to.id, ending);
        assert_eq!(verdict(&gate), Some(Verdict::Trial), "{ending:?}");
        assert_eq!(gate.take_released_permits().len(), 1, "{ending:?}");
    }
}

#[test]
fn two_crashes_on_trial_refuse_the_part() {
    let mut gate = gate_with_trial();
    for number in 0..2 {
        assert_ne!(verdict(&gate), Some(Verdict::Refused));
        let (mut request, to) = run_on_trial(&mut gate, FIRST + number);
        gate.record_ending(NOW, &mut request, to.id, Ending::Broken);
        gate.record_refused_connection(NOW, to.id);
    }
    assert_eq!(verdict(&gate), Some(Verdict::Refused));
    let mut next = admit(&mut gate, FIRST + 9);
    let decision = gate.decide(NOW, &mut next, None);
    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}

#[test]
fn a_run_on_trial_that_broke_holds_its_permit_until_the_crash_is_known() {
    let mut gate = gate_with_trial();
    for number in 0..2 {
        let (mut request, to) = run_on_trial(&mut gate, FIRST + number);
        gate.record_ending(NOW, &mut request, to.id, Ending::Broken);
        gate.end_trial(&mut request);
    }
    let mut next = admit(&mut gate, FIRST + 9);
    assert!(!ask(&mut gate, NOW, &mut next));
    assert!(gate.take_released_permits().is_empty());
    assert!(ask(&mut gate, NOW + ms(5_001), &mut next), "with its time");
}

#[test]
fn a_request_that_is_suspected_itself_leaves_the_trial_to_others_at_first() {
    let mut gate = gate_with_trial();
    let (mut request, to) = run_on_trial(&mut gate, FIRST);
    gate.record_ending(NOW, &mut request, to.id, Ending::Broken);
    gate.record_refused_connection(NOW, to.id);
    assert!(!ask(&mut gate, NOW + ms(900), &mut request));
    let mut other = admit(&mut gate, FIRST + 1);
    assert!(ask(&mut gate, NOW + ms(900), &mut other));
    assert!(ask(&mut gate, NOW + ms(1_000), &mut request));
}

#[test]
fn another_host_gives_the_permits_while_the_first_one_is_silent() {
    let mut gate = gate();
    let hosts: Vec<Name> = ["h0", "h1", "h2"].map(Into::into).to_vec();
    let mut first = None;
    for own in &hosts {
        gate.set_hosts(NOW, own, hosts.clone());
        first = first.or(gate.permit_giver(NOW).cloned());
    }
    let first = first.expect("one of the hosts");
    let own = hosts.iter().find(|host| **host != first).expect("another");
    gate.set_hosts(NOW, own, hosts.clone());
    gate.record_silent_giver(NOW, &first);
    assert_ne!(gate.permit_giver(NOW), Some(&first));
    assert_eq!(gate.permit_giver(NOW + ms(3_000)), Some(&first));
}
