//! Upstreams that ask for a rest.

#[allow(dead_code)]
mod common;

use common::{ms, request_head, target, upstream};
use mulberryrack_core::{
    Time,
    outcome::{Reason, Retry},
};
use mulberryrack_gate::{Decision, Ending, Gate, RequestState, Target, Tuning, UpstreamId};
use std::{sync::Arc, time::Duration};

const NOW: Time = Time::from_millis(1_000);

/// A gate with these replicas of the plain service.
fn gate(names: &[&str]) -> Gate {
    let mut gate = Gate::new(Tuning::default(), 7);
    gate.configure(Arc::new(common::config(1)));
    for name in names {
        gate.register(NOW, upstream(name, "desk", &[]));
    }
    gate
}

fn admit(gate: &mut Gate, now: Time) -> RequestState {
    let head = request_head("/book/x", None);
    gate.admit(now, head, 1).expect("a route matches")
}

/// Dispatches a request, which is turned away with a wish for a rest.
fn turn_away(gate: &mut Gate, now: Time, period: Duration) -> (RequestState, Target) {
    let mut request = admit(gate, now);
    let to = target(gate.decide(now, &mut request, None));
    gate.record_rest(now, to.id, request.incarnation(), period);
    gate.record_ending(now, &mut request, to.id, Ending::NotRun);
    (request, to)
}

fn is_dispatched(decision: &Decision) -> bool {
    matches!(decision, Decision::Dispatch(_))
}

#[test]
fn a_request_goes_to_an_upstream_that_does_not_rest() {
    let mut gate = gate(&["d0", "d1"]);
    let (mut request, first) = turn_away(&mut gate, NOW, ms(800));
    let second = target(gate.decide(NOW, &mut request, Some(Retry::Turned)));
    assert_ne!(second.id, first.id);
    for at in [1, 400, 799] {
        let mut other = admit(&mut gate, NOW + ms(at));
        let to = target(gate.decide(NOW + ms(at), &mut other, None));
        assert_ne!(to.id, first.id, "{at}");
    }
}

#[test]
fn a_request_waits_for_the_first_rest_to_end_and_may_return_to_who_turned_it_away() {
    let mut gate = gate(&["d0", "d1"]);
    let (mut request, first) = turn_away(&mut gate, NOW, ms(900));
    let second = target(gate.decide(NOW, &mut request, Some(Retry::Turned)));
    gate.record_rest(NOW, second.id, request.incarnation(), ms(600));
    gate.record_ending(NOW, &mut request, second.id, Ending::NotRun);
    let until = NOW + ms(600);
    assert_eq!(
        gate.decide(NOW, &mut request, Some(Retry::Turned)),
        Decision::Hold(until)
    );
    let to = target(gate.decide(until, &mut request, Some(Retry::Turned)));
    assert_eq!(to.id, second.id);
    assert!(gate.is_resting(until, first.id));
}

#[test]
fn a_request_whose_deadline_is_before_the_end_of_all_rests_is_refused_at_once() {
    let mut gate = gate(&["d0"]);
    turn_away(&mut gate, NOW, ms(9_000));
    let mut late = admit(&mut gate, NOW + ms(1_000));
    match gate.decide(NOW + ms(1_000), &mut late, None) {
        Decision::Refuse(refusal) => {
            assert_eq!(refusal.reason, Reason::UpstreamResting);
            assert_eq!(refusal.retry_after, Some(ms(8_000)));
        }
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn a_new_incarnation_does_not_rest() {
    let mut gate = gate(&["d0"]);
    let (request, first) = turn_away(&mut gate, NOW, ms(2_000));
    let mut restarted = upstream("d0", "desk", &[]);
    restarted.started_ms = 2;
    gate.register(NOW + ms(100), restarted);
    assert!(!gate.is_resting(NOW + ms(100), first.id));
    // An answer of the former incarnation may arrive late.
    assert!(!gate.record_rest(NOW + ms(120), first.id, request.incarnation(), ms(2_000)));
    let mut next = admit(&mut gate, NOW + ms(130));
    assert!(is_dispatched(&gate.decide(NOW + ms(130), &mut next, None)));
}

#[test]
fn a_rest_is_prolonged_but_not_shortened_and_is_bounded() {
    let mut gate = gate(&["d0"]);
    let (request, to) = turn_away(&mut gate, NOW, ms(2_000));
    let incarnation = request.incarnation();
    let cases = [
        (ms(300), ms(2_000)),
        (Duration::ZERO, ms(2_000)),
        (ms(2_500), ms(2_500)),
        (Duration::MAX, ms(600_000)),
    ];
    for (period, until) in cases {
        assert!(
            !gate.record_rest(NOW, to.id, incarnation, period),
            "it rests already"
        );
        assert_eq!(gate.rest_until(NOW, to.id), Some(NOW + until), "{period:?}");
    }
    let later = NOW + ms(600_000);
    assert_eq!(gate.rest_until(later, to.id), None);
    assert!(
        gate.record_rest(later, to.id, incarnation, ms(1)),
        "the next rest"
    );
}

/// Starts requests that wait for a rest until `until`, with these ranks, and returns them.
fn wait(gate: &mut Gate, until: Time, ranks: &[u8]) -> Vec<RequestState> {
    let admitted = ranks.iter().enumerate().map(|(index, rank)| {
        let at = NOW + ms(10 + u64::try_from(index).expect("few"));
        let mut request = admit(gate, at);
        Arc::make_mut(&mut request.route).priority = *rank;
        assert_eq!(gate.decide(at, &mut request, None), Decision::Hold(until));
        request
    });
    admitted.collect()
}

#[test]
fn requests_that_waited_return_by_rank_and_arrival_and_not_all_at_once() {
    let mut gate = gate(&["d0"]);
    turn_away(&mut gate, NOW, ms(500));
    let until = NOW + ms(500);
    let ranks = [2, 1, 2, 0, 1, 2, 0, 2];
    let mut waiting: Vec<(usize, RequestState)> = wait(&mut gate, until, &ranks)
        .into_iter()
        .enumerate()
        .collect();
    let mut order = Vec::new();
    let mut batches = Vec::new();
    for step in 0..40 {
        let now = until + ms(step * 10);
        let mut sent = 0;
        // Those that woke are decided on until all of them hold.
        loop {
            let before = waiting.len();
            waiting.retain_mut(|(index, request)| {
                let goes = is_dispatched(&gate.decide(now, request, None));
                if goes {
                    order.push(*index);
                }
                !goes
            });
            sent += before - waiting.len();
            if before == waiting.len() {
                break;
            }
        }
        batches.push(sent);
    }
    assert_eq!(order, [3, 6, 1, 4, 0, 2, 5, 7]);
    assert_eq!(batches[0], 1, "{batches:?}");
    assert!(batches.iter().all(|sent| *sent <= 4), "{batches:?}");
}

#[test]
fn a_request_that_arrives_at_the_end_of_a_rest_does_not_overtake_those_that_waited() {
    let mut gate = gate(&["d0"]);
    turn_away(&mut gate, NOW, ms(500));
    let until = NOW + ms(500);
    let mut waiting = wait(&mut gate, until, &[1, 1]);
    let mut new = admit(&mut gate, until);
    assert!(matches!(
        gate.decide(until, &mut new, None),
        Decision::Hold(_)
    ));
    assert!(is_dispatched(&gate.decide(until, &mut waiting[0], None)));
    // One whose caller has left makes way.
    gate.end_hold(&mut waiting[1]);
    let next = until + ms(50);
    assert!(is_dispatched(&gate.decide(next, &mut new, None)));
}

#[test]
fn pacing_ends_once_the_upstream_may_be_full_again() {
    let mut gate = gate(&["d0"]);
    turn_away(&mut gate, NOW, ms(500));
    let later = NOW + ms(500) + ms(400);
    for _ in 0..100 {
        let mut request = admit(&mut gate, later);
        assert!(is_dispatched(&gate.decide(later, &mut request, None)));
    }
}

/// The most requests that reach a resting upstream while many hosts with many callers use it.
#[test]
fn no_host_sends_anything_while_an_upstream_rests() {
    let period = ms(1_500);
    let mut hosts: Vec<Gate> = (0..9).map(|_| gate(&["d0", "d1", "d2"])).collect();
    for gate in &mut hosts {
        let mut rests: Vec<(UpstreamId, Time)> = Vec::new();
        for at in (0..6_000).step_by(7) {
            let now = NOW + ms(at);
            let mut request = admit(gate, now);
            let mut retry = None;
            while let Decision::Dispatch(to) = gate.decide(now, &mut request, retry) {
                let rests_still = |(id, until): &(UpstreamId, Time)| *id == to.id && now < *until;
                assert!(!rests.iter().any(rests_still), "{at}");
                // Each tenth request or so is turned away.
                if at % 11 == 0 {
                    gate.record_rest(now, to.id, request.incarnation(), period);
                    rests.push((to.id, now + period));
                    gate.record_ending(now, &mut request, to.id, Ending::NotRun);
                    retry = Some(Retry::Turned);
                } else {
                    gate.record_ending(now, &mut request, to.id, Ending::Done);
                    break;
                }
            }
            gate.end_hold(&mut request);
        }
        assert!(rests.len() > 6, "{}", rests.len());
    }
}
