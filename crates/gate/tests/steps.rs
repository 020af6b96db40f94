//! What is done with a request that an upstream did not answer.

mod common;

use common::{ask, config, gate, generation, ms, start, target, upstream};
use mulberryrack_core::{
    Name, Time,
    outcome::{Reason, Refusal, Retry},
};
use mulberryrack_gate::{Change, Ending, Gate, Pass, Step, Tuning};
use mulberryrack_site::upstream::State;
use std::sync::Arc;

const NOW: Time = Time::from_millis(1_000);

/// Sends a request and ends the send.
fn sent_and_ended(gate: &mut Gate, path: &str, ending: Ending) -> (Pass, Name) {
    let streams = path.starts_with("/stream");
    let generation = streams.then(|| generation("m0", 1, 100));
    let (mut pass, step) = start(gate, NOW, ask(path, generation));
    let target = target(step);
    gate.ended(NOW, &mut pass, target.id, ending);
    (pass, target.name)
}

fn refusal(step: Step) -> Refusal {
    match step {
        Step::Refuse(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn the_longest_prefix_and_the_newest_configuration_decide() {
    let mut gate = Gate::new(Tuning::default(), 7);
    let unknown = gate
        .admit(NOW, ask("/book/x", None))
        .expect_err("no configuration");
    assert_eq!(unknown.reason, Reason::NoTable);
    assert!(gate.configure(Arc::new(config(5))));
    assert!(!gate.configure(Arc::new(config(4))), "an older version");
    let deep = gate.admit(NOW, ask("/look/deep/x", None)).expect("a route");
    assert_eq!((&*deep.service, deep.version), ("llm", 5));
    let none = gate
        .admit(NOW, ask("/nowhere/", None))
        .expect_err("no route");
    assert_eq!(none.reason, Reason::UnknownTarget);
}

#[test]
fn what_may_run_once_is_sent_again_only_if_it_has_not_run() {
    for (ending, again) in [
        (Ending::NotSent, true),
        (Ending::NotRun, true),
        (Ending::Broken, false),
        (Ending::Silent, false),
    ] {
        let mut gate = gate();
        let (mut pass, first) = sent_and_ended(&mut gate, "/book/x", ending);
        match gate.step(NOW, &mut pass, Some(Retry::Broken)) {
            Step::Send(target) => assert!(again && target.name != first, "{ending:?}"),
            Step::Fail => assert!(!again, "{ending:?}"),
            other => panic!("{ending:?}: {other:?}"),
        }
    }
}

#[test]
fn what_may_run_twice_goes_to_another_upstream() {
    for path in ["/look/x", "/stream/x"] {
        let mut gate = gate();
        let (mut pass, first) = sent_and_ended(&mut gate, path, Ending::Broken);
        let second = target(gate.step(NOW, &mut pass, Some(Retry::Broken)));
        assert_ne!(second.name, first);
    }
}

#[test]
fn a_request_goes_to_no_more_upstreams_than_its_route_allows() {
    let mut gate = gate();
    gate.list(upstream("d2", "desk", &[]));
    let (mut pass, _) = sent_and_ended(&mut gate, "/look/x", Ending::Broken);
    let second = target(gate.step(NOW, &mut pass, Some(Retry::Broken)));
    gate.ended(NOW, &mut pass, second.id, Ending::Broken);
    assert_eq!(gate.step(NOW, &mut pass, Some(Retry::Broken)), Step::Fail);
}

#[test]
fn a_refusal_says_not_run_only_where_that_is_certain() {
    let mut gate = gate();
    gate.unlist("d1");
    let (mut pass, _) = sent_and_ended(&mut gate, "/book/x", Ending::NotRun);
    assert!(
        refusal(gate.step(NOW, &mut pass, None))
            .retry_after
            .is_some()
    );
    let (mut pass, _) = sent_and_ended(&mut gate, "/look/x", Ending::Broken);
    assert_eq!(gate.step(NOW, &mut pass, None), Step::Fail);
}

#[test]
fn a_stream_that_has_begun_is_not_given_up_while_there_is_time() {
    let mut gate = gate();
    let (mut pass, step) = start(
        &mut gate,
        NOW,
        ask("/stream/x", Some(generation("m0", 1, 100))),
    );
    let first = target(step);
    gate.first_event(&mut pass, &first, ms(20));
    gate.ended(NOW, &mut pass, first.id, Ending::Silent);
    let second = target(gate.step(NOW, &mut pass, Some(Retry::Silent)));
    gate.ended(NOW, &mut pass, second.id, Ending::NotRun);
    let mut now = NOW;
    let third = loop {
        match gate.step(now, &mut pass, Some(Retry::Turned)) {
            Step::Hold(until) => now = until,
            step => break target(step),
        }
        assert!(now < NOW + ms(1_000), "kept back for too long");
    };
    assert!([first.name, second.name].contains(&third.name));
}

#[test]
fn upstreams_that_leave_or_are_gone_get_nothing() {
    let mut gate = gate();
    let mut leaving = upstream("d0", "desk", &[]);
    leaving.state = State::Leaving;
    leaving.writes = 2;
    gate.list(leaving);
    gate.unlist("d1");
    let (_, step) = start(&mut gate, NOW, ask("/book/x", None));
    assert_eq!(refusal(step).reason, Reason::NoUpstream);
    // An entry from before comes late.
    gate.list(upstream("d0", "desk", &[]));
    let (_, step) = start(&mut gate, NOW, ask("/book/x", None));
    assert_eq!(refusal(step).reason, Reason::NoUpstream);
}

#[test]
fn a_model_that_is_nowhere_is_waited_for_only_while_somebody_gives_orders() {
    let mut gate = gate();
    let wanted = || ask("/stream/x", Some(generation("m2", 1, 100)));
    let (mut pass, step) = start(&mut gate, NOW, wanted());
    assert!(matches!(step, Step::Place(_)));
    gate.change(
        NOW,
        &Change {
            upstream: "e2".into(),
            model: "m2".into(),
            adapter: None,
            present: true,
        },
    );
    assert_eq!(&*target(gate.step(NOW, &mut pass, None)).name, "e2");
    let elsewhere = || ask("/stream/x", Some(generation("m1", 1, 100)));
    gate.unlist("e2");
    gate.set_unplanned(NOW);
    let (_, step) = start(&mut gate, NOW, elsewhere());
    assert_eq!(refusal(step).reason, Reason::NoCopy);
    let (_, step) = start(&mut gate, NOW + ms(500), elsewhere());
    assert!(matches!(step, Step::Place(_)));
    gate.set_planned(false);
    let mut unknown = wanted();
    unknown.generation = Some(generation("m9", 1, 100));
    let (_, step) = start(&mut gate, NOW, unknown);
    assert_eq!(refusal(step).reason, Reason::NoUpstream);
}

#[test]
fn an_engine_that_does_not_have_the_model_is_not_asked_again_at_once() {
    let mut gate = gate();
    let (mut pass, first) = sent_and_ended(&mut gate, "/stream/x", Ending::Misplaced);
    let second = target(gate.step(NOW, &mut pass, Some(Retry::Turned)));
    assert_ne!(second.name, first);
    let (_, step) = start(
        &mut gate,
        NOW,
        ask("/stream/x", Some(generation("m0", 2, 100))),
    );
    assert_eq!(target(step).name, second.name);
}

#[test]
fn repeats_stay_within_the_hosts_part_of_the_budget() {
    let mut gate = gate();
    gate.set_hosts(8);
    let mut repeats = 0;
    for index in 0..400 {
        let now = NOW + ms(index * 10);
        let (mut pass, step) = start(&mut gate, now, ask("/look/x", None));
        let first = target(step);
        gate.ended(now, &mut pass, first.id, Ending::Broken);
        match gate.step(now, &mut pass, Some(Retry::Broken)) {
            Step::Send(second) => {
                repeats += 1;
                gate.ended(now, &mut pass, second.id, Ending::Done);
            }
            step => assert_eq!(step, Step::Fail),
        }
    }
    // A fifth of 400 and an eighth of 50 are allowed.
    assert!((40..=86).contains(&repeats), "{repeats}");
}
