//! Requests that crash upstreams: what counts as a crash, and what happens to the requests in
//! flight on it.

#[allow(dead_code)]
mod common;

use common::{generation, ms, request_head, target, upstream};
use mulberryrack_core::{
    Name, Time,
    outcome::{Reason, Retry},
};
use mulberryrack_gate::{CrashSign, Decision, Ending, Gate, RequestState, Target};
use mulberryrack_site::{Upstream, upstream::State};
use mulberryrack_suspect::{Crash, Subject};
use std::collections::BTreeSet;

const NOW: Time = Time::from_millis(1_000);
const CULPRIT: u128 = 77;
const OTHER: u128 = 78;
const HOSTS: usize = 9;
/// Largest number of dispatches of a request long after its third crash; the users' bound.
const MAX_LATE_DISPATCHES: usize = 3;

fn engine(number: u16) -> Upstream {
    let mut engine = upstream(&format!("e{number}"), "llm", &["m0"]);
    engine.address.set_port(1_000 + number);
    engine
}

fn gate() -> Gate {
    let mut gate = common::gate();
    for number in 0..6 {
        gate.register(NOW, engine(number));
    }
    gate
}

fn admit(gate: &mut Gate, fingerprint: u128) -> RequestState {
    let head = request_head("/stream/x", Some(generation("m0", 1, 100)));
    gate.admit(NOW, head, fingerprint).expect("a route matches")
}

fn dispatch(gate: &mut Gate, request: &mut RequestState) -> Target {
    target(gate.decide(NOW, request, None))
}

/// Dispatches requests of these fingerprints to the same upstream, which ends under them.
fn crash(gate: &mut Gate, fingerprints: &[u128]) -> Vec<RequestState> {
    let mut requests: Vec<RequestState> = Vec::new();
    let mut ended = None;
    for fingerprint in fingerprints {
        let mut request = admit(gate, *fingerprint);
        let first = dispatch(gate, &mut request);
        ended.get_or_insert(first.id);
        requests.push(request);
    }
    let ended = ended.expect("a request was dispatched");
    for request in &mut requests {
        gate.record_ending(NOW, request, ended, Ending::Broken);
    }
    gate.record_refused_connection(NOW, ended);
    requests
}

#[test]
fn a_broken_connection_alone_is_no_crash() {
    let mut gate = gate();
    for _ in 0..4 {
        let mut request = admit(&mut gate, CULPRIT);
        let to = dispatch(&mut gate, &mut request);
        gate.record_ending(NOW, &mut request, to.id, Ending::Broken);
        assert!(gate.may_have_crashed(NOW, to.id));
        gate.record_identity(NOW, to.id, &to.name, NOW);
        assert!(!gate.may_have_crashed(NOW, to.id));
        gate.record_refused_connection(NOW, to.id);
    }
    assert!(gate.suspects().is_empty());
}

#[test]
fn a_request_that_crashed_two_upstreams_alone_is_refused_at_once_as_not_run() {
    let mut gate = gate();
    crash(&mut gate, &[CULPRIT]);
    crash(&mut gate, &[CULPRIT]);
    let mut again = admit(&mut gate, CULPRIT);
    match gate.decide(NOW, &mut again, None) {
        Decision::Refuse(refusal) => {
            assert_eq!(refusal.reason, Reason::Suspect);
            assert!(refusal.retry_after.is_some());
        }
        other => panic!("not refused: {other:?}"),
    }
    let mut other = admit(&mut gate, OTHER);
    dispatch(&mut gate, &mut other);
}

#[test]
fn an_attempt_that_crashed_an_upstream_is_given_up_once_its_request_is_refused() {
    let mut gate = gate();
    crash(&mut gate, &[CULPRIT]);
    let mut attempt = crash(&mut gate, &[CULPRIT]).remove(0);
    let decision = gate.decide(NOW, &mut attempt, Some(Retry::Broken));
    assert_eq!(decision, Decision::Fail);
}

#[test]
fn requests_beside_the_culprit_are_retried_apart_from_each_other_and_cleared() {
    let mut gate = gate();
    let mut requests = crash(&mut gate, &[CULPRIT, OTHER]);
    let mut targets = Vec::new();
    for request in &mut requests {
        targets.push(target(gate.decide(NOW, request, Some(Retry::Broken))));
    }
    assert_ne!(targets[0].id, targets[1].id, "not in flight together again");
    gate.record_ending(NOW, &mut requests[1], targets[1].id, Ending::Done);
    assert!(!gate.suspects().is_suspect(OTHER));
    assert!(gate.suspects().is_suspect(CULPRIT));
}

#[test]
fn suspects_of_two_hosts_do_not_meet_at_an_upstream() {
    let hosts: Vec<Name> = vec!["h0".into(), "h1".into()];
    let mut gates: Vec<Gate> = hosts.iter().map(|_| gate()).collect();
    for (gate, host) in gates.iter_mut().zip(&hosts) {
        gate.set_hosts(NOW, host, hosts.clone());
    }
    let chosen: Vec<_> = gates.iter_mut().map(|gate| chosen_for(gate, 0)).collect();
    assert!(chosen.iter().all(|names| !names.is_empty()));
    assert!(chosen[0].is_disjoint(&chosen[1]), "{chosen:?}");
}

#[test]
fn suspects_are_sent_to_the_upstreams_of_a_host_that_is_gone() {
    let mut gate = gate();
    let own = Name::from("h0");
    gate.set_hosts(NOW, &own, vec![own.clone(), "h1".into()]);
    assert!(chosen_for(&mut gate, 0).len() < 6);
    gate.set_hosts(NOW, &own, vec![own.clone()]);
    assert_eq!(chosen_for(&mut gate, 100).len(), 6);
}

/// The upstreams that 40 suspects are sent to, one after the other.
fn chosen_for(gate: &mut Gate, first_fingerprint: u128) -> BTreeSet<Name> {
    let crash = Crash {
        upstream: "ended".into(),
        incarnation: 1,
    };
    let mut chosen = BTreeSet::new();
    for fingerprint in first_fingerprint..first_fingerprint + 40 {
        gate.suspects_mut().record_crash(NOW, &crash, [fingerprint]);
        let mut suspect = admit(gate, fingerprint);
        let to = dispatch(gate, &mut suspect);
        gate.record_ending(NOW, &mut suspect, to.id, Ending::Abandoned);
        chosen.insert(to.name);
    }
    chosen
}

#[test]
fn a_new_incarnation_at_the_address_confirms_a_crash() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    gate.record_ending(NOW, &mut request, first.id, Ending::Silent);
    let mut reborn = engine(9);
    reborn.address = first.address;
    gate.register(NOW + ms(3_000), reborn);
    assert!(gate.suspects().is_suspect(CULPRIT));
    let reports = gate.take_crash_reports();
    assert_eq!(reports[0].sign, Some(CrashSign::Replaced));
    assert_eq!(reports[0].crash.upstream, first.name);
    assert_eq!(gate.take_suspect_changes(), [Subject::Request(CULPRIT)]);
}

#[test]
fn a_dispatch_that_is_still_silent_when_the_upstream_is_replaced_counts_too() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    let mut reborn = engine(9);
    reborn.address = first.address;
    gate.register(NOW + ms(2_000), reborn);
    gate.record_ending(NOW + ms(3_000), &mut request, first.id, Ending::Silent);
    assert!(gate.suspects().is_suspect(CULPRIT));
}

/// Registers the next incarnation of an upstream under the same name.
fn restart(gate: &mut Gate, target: &Target) {
    let number = target.address.port() - 1_000;
    let restarted = Upstream {
        started_ms: 2,
        ..engine(number)
    };
    gate.register(NOW + ms(2_000), restarted);
}

#[test]
fn a_new_incarnation_under_the_same_name_confirms_a_crash() {
    for ends_first in [true, false] {
        let mut gate = gate();
        let mut request = admit(&mut gate, CULPRIT);
        let first = dispatch(&mut gate, &mut request);
        if ends_first {
            gate.record_ending(NOW, &mut request, first.id, Ending::Silent);
            restart(&mut gate, &first);
        } else {
            restart(&mut gate, &first);
            gate.record_ending(NOW + ms(3_000), &mut request, first.id, Ending::Silent);
        }
        let crashes: Vec<_> = gate.suspects().crashes(CULPRIT).collect();
        assert_eq!(crashes.len(), 1, "{ends_first}");
        assert_eq!(crashes[0].incarnation, 1, "the one that ended");
    }
}

#[test]
fn a_late_registration_of_an_earlier_incarnation_is_no_sign_of_a_crash() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    gate.record_ending(NOW, &mut request, first.id, Ending::Broken);
    let earlier = Upstream {
        started_ms: 0,
        ..engine(first.address.port() - 1_000)
    };
    gate.register(NOW, earlier);
    assert!(gate.suspects().is_empty());
}

#[test]
fn each_incarnation_that_a_request_crashes_counts_once() {
    let mut gate = Gate::new(mulberryrack_gate::Tuning::default(), 7);
    gate.configure(std::sync::Arc::new(common::config(1)));
    for started_ms in 1..=2 {
        let only = Upstream {
            started_ms,
            ..engine(0)
        };
        gate.register(NOW, only);
        crash(&mut gate, &[CULPRIT]);
    }
    assert!(gate.suspects().is_refused(CULPRIT));
}

#[test]
fn an_upstream_of_another_service_at_the_address_is_no_sign_of_a_crash() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    gate.record_ending(NOW, &mut request, first.id, Ending::Broken);
    let mut other = upstream("d9", "desk", &[]);
    other.address = first.address;
    gate.register(NOW, other);
    assert!(gate.suspects().is_empty());
}

#[test]
fn a_request_that_many_callers_send_is_not_suspected_while_it_completes_elsewhere() {
    let mut gate = gate();
    let mut complete = admit(&mut gate, OTHER);
    let to = dispatch(&mut gate, &mut complete);
    gate.record_ending(NOW, &mut complete, to.id, Ending::Done);
    for _ in 0..2 {
        crash(&mut gate, &[OTHER, CULPRIT]);
    }
    assert!(!gate.suspects().is_suspect(OTHER));
    assert!(gate.suspects().is_refused(CULPRIT));
}

#[test]
fn a_request_that_completed_here_is_cleared_of_what_another_host_tells() {
    let (mut here, mut there) = (gate(), gate());
    let mut complete = admit(&mut here, OTHER);
    let to = dispatch(&mut here, &mut complete);
    here.record_ending(NOW, &mut complete, to.id, Ending::Done);
    for _ in 0..2 {
        crash(&mut there, &[OTHER]);
    }
    let told = there.suspects().own(NOW).suspicions;
    let news = here.suspects_mut().learn(NOW, told);
    assert!(here.suspects().is_refused(OTHER));
    here.clear_completed(NOW, &news);
    assert!(!here.suspects().is_suspect(OTHER));
    assert_eq!(
        here.take_suspect_changes(),
        [Subject::Request(OTHER)],
        "to be told to the others"
    );
}

#[test]
fn an_upstream_that_drains_ends_without_a_crash() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    let number = first.address.port() - 1_000;
    let draining = Upstream {
        state: State::Draining,
        sequence: 2,
        ..engine(number)
    };
    gate.register(NOW, draining);
    gate.record_ending(NOW, &mut request, first.id, Ending::Broken);
    gate.record_refused_connection(NOW, first.id);
    assert!(gate.suspects().is_empty());
}

#[test]
fn an_upstream_whose_entry_was_removed_may_end_without_a_crash() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    gate.deregister(&first.name);
    gate.record_ending(NOW, &mut request, first.id, Ending::Broken);
    assert!(!gate.may_have_crashed(NOW, first.id));
    gate.record_refused_connection(NOW, first.id);
    assert!(gate.suspects().is_empty());
}

#[test]
fn a_crash_is_withdrawn_if_the_upstream_answers_with_its_name_later() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    gate.record_ending(NOW, &mut request, first.id, Ending::Broken);
    gate.record_refused_connection(NOW, first.id);
    assert!(gate.suspects().is_suspect(CULPRIT));
    // Bytes that were on their way when it ended say nothing.
    gate.record_answer(first.id, NOW);
    assert!(!gate.needs_probe(NOW, first.id));
    gate.record_identity(NOW, first.id, &first.name, Time::from_millis(999));
    assert!(gate.suspects().is_suspect(CULPRIT));
    // An answer without a name may be that of the next incarnation.
    gate.record_answer(first.id, NOW + ms(800));
    assert!(gate.suspects().is_suspect(CULPRIT));
    assert!(gate.needs_probe(NOW + ms(900), first.id));
    gate.record_identity(NOW + ms(900), first.id, &first.name, NOW + ms(850));
    assert!(!gate.suspects().is_suspect(CULPRIT));
    assert!(!gate.needs_probe(NOW + ms(900), first.id));
}

#[test]
fn a_dispatch_that_breaks_after_the_crash_was_noticed_counts_too() {
    let mut gate = gate();
    let mut slow = admit(&mut gate, OTHER);
    let mut culprit = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut culprit);
    dispatch(&mut gate, &mut slow);
    gate.record_ending(NOW, &mut culprit, first.id, Ending::Broken);
    gate.record_refused_connection(NOW, first.id);
    gate.record_ending(NOW + ms(200), &mut slow, first.id, Ending::Silent);
    assert!(gate.suspects().is_suspect(OTHER));
}

/// Dispatches the culprit to an upstream, where it breaks.
fn break_dispatch(gate: &mut Gate, ending: Ending) -> Target {
    let mut request = admit(gate, CULPRIT);
    let first = dispatch(gate, &mut request);
    gate.record_ending(NOW, &mut request, first.id, ending);
    first
}

/// Registers the next incarnation at the address under a new name.
fn replace(gate: &mut Gate, now: Time, target: &Target) {
    let mut next = engine(9);
    next.address = target.address;
    gate.register(now, next);
}

#[test]
fn a_crash_counts_although_something_answers_at_the_address_without_a_name() {
    let mut gate = gate();
    let first = break_dispatch(&mut gate, Ending::Broken);
    gate.record_answer(first.id, NOW + ms(1));
    gate.record_unidentified(first.id);
    replace(&mut gate, NOW + ms(1_500), &first);
    assert!(gate.suspects().is_suspect(CULPRIT));
}

#[test]
fn an_answer_with_another_name_says_nothing_until_that_is_registered_for_the_service() {
    let mut gate = gate();
    let first = break_dispatch(&mut gate, Ending::Broken);
    gate.record_identity(NOW, first.id, "e9", NOW);
    assert!(gate.suspects().is_empty(), "not registered yet");
    assert!(gate.may_have_crashed(NOW, first.id));
    let mut other = upstream("d9", "desk", &[]);
    other.address = first.address;
    gate.register(NOW, other);
    gate.record_identity(NOW, first.id, "d9", NOW);
    assert!(gate.suspects().is_empty(), "another service");
    replace(&mut gate, NOW, &first);
    assert!(gate.suspects().is_suspect(CULPRIT));
}

#[test]
fn an_answer_with_another_name_confirms_a_crash_if_its_entry_came_before_the_break() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    gate.record_ending(NOW, &mut request, first.id, Ending::NotRun);
    replace(&mut gate, NOW, &first);
    assert!(gate.suspects().is_empty());
    // Upstreams that share no address would be preferred.
    for number in 0..6 {
        let name = format!("e{number}");
        if *first.name != *name {
            gate.deregister(&name);
        }
    }
    let mut late = admit(&mut gate, CULPRIT);
    while dispatch(&mut gate, &mut late).id != first.id {
        late = admit(&mut gate, CULPRIT);
    }
    gate.record_ending(NOW, &mut late, first.id, Ending::Broken);
    gate.record_identity(NOW, first.id, "e9", NOW);
    assert!(gate.suspects().is_suspect(CULPRIT));
}

#[test]
fn a_dispatch_that_breaks_after_the_next_incarnation_was_registered_counts() {
    let mut gate = gate();
    let mut request = admit(&mut gate, CULPRIT);
    let first = dispatch(&mut gate, &mut request);
    replace(&mut gate, NOW, &first);
    gate.record_ending(NOW + ms(20), &mut request, first.id, Ending::Broken);
    assert!(gate.suspects().is_suspect(CULPRIT));
}

#[test]
fn a_crash_counts_although_the_entry_lapses_before_the_next_incarnation_registers() {
    let mut gate = gate();
    let first = break_dispatch(&mut gate, Ending::Broken);
    gate.deregister(&first.name);
    replace(&mut gate, NOW + ms(4_000), &first);
    assert!(gate.suspects().is_suspect(CULPRIT));
}

#[test]
fn a_broken_dispatch_counts_for_ten_seconds_only() {
    for (after_ms, counts) in [(9_900, true), (10_100, false)] {
        let mut gate = gate();
        let first = break_dispatch(&mut gate, Ending::Broken);
        assert_eq!(gate.may_have_crashed(NOW + ms(after_ms), first.id), counts);
        replace(&mut gate, NOW + ms(after_ms), &first);
        assert_eq!(gate.suspects().is_suspect(CULPRIT), counts, "{after_ms}");
    }
}

#[test]
fn a_crash_counts_if_the_next_incarnation_answers_under_the_same_name() {
    let mut gate = gate();
    let first = break_dispatch(&mut gate, Ending::Broken);
    gate.record_identity(NOW, first.id, &first.name, NOW);
    assert!(!gate.may_have_crashed(NOW, first.id));
    restart(&mut gate, &first);
    assert!(gate.suspects().is_suspect(CULPRIT));
    let reports = gate.take_crash_reports();
    assert_eq!(reports[0].sign, Some(CrashSign::Restarted));
}

#[test]
fn a_dispatch_whose_caller_left_a_silent_upstream_counts() {
    for answers_others in [false, true] {
        let mut gate = gate();
        let mut request = admit(&mut gate, CULPRIT);
        let first = dispatch(&mut gate, &mut request);
        if answers_others {
            gate.record_activity(NOW + ms(1), first.id);
        }
        gate.record_ending(NOW + ms(2), &mut request, first.id, Ending::Abandoned);
        replace(&mut gate, NOW + ms(1_500), &first);
        assert_eq!(gate.suspects().is_suspect(CULPRIT), !answers_others);
    }
}

#[test]
fn a_request_that_cannot_be_told_from_another_is_at_few_upstreams_at_once() {
    let mut first = gate();
    crash(&mut first, &[CULPRIT, OTHER]);
    crash(&mut first, &[CULPRIT, OTHER]);
    assert!(
        !first.suspects().is_refused(CULPRIT),
        "either may be the cause"
    );
    let evidence = first.suspects().own(NOW).suspicions;
    let mut hosts: Vec<Gate> = (0..HOSTS).map(|_| gate()).collect();
    let mut dispatches = 0;
    for host in &mut hosts {
        host.suspects_mut().learn(NOW, evidence.clone());
        let mut request = admit(host, CULPRIT);
        let decision = host.decide(NOW, &mut request, None);
        dispatches += usize::from(matches!(decision, Decision::Dispatch(_)));
    }
    assert!(dispatches <= MAX_LATE_DISPATCHES, "{dispatches} dispatches");
}
