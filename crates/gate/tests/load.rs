//! Which engine gets a prompt, and what callers get when there are too many: the load of
//! a busy second on engines that read prompts one after the other.

mod common;

use common::{ask, gate, generation, ms, start, target};
use mulberryrack_core::{Time, outcome::Reason};
use mulberryrack_gate::{Ending, Gate, Notice, Step};
use mulberryrack_site::ask::{Generation, Part};
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);

/// A prompt with a shared part of its own kind and a part of its own.
fn prompt(shared: u64, own: u64) -> Generation {
    let mut generation = generation("m0", own, 9_190);
    generation.parts = vec![
        Part {
            id: shared,
            tokens: 6_300,
        },
        Part {
            id: own,
            tokens: 2_890,
        },
    ];
    generation
}

#[test]
fn prompts_with_a_shared_beginning_go_where_it_was_read() {
    let mut gate = gate();
    for shared in 0..20 {
        let now = NOW + ms(shared * 2_000);
        let (_, step) = start(&mut gate, now, ask("/stream/x", Some(prompt(shared, 1))));
        let first = target(step);
        let later = now + ms(1_000);
        let (_, step) = start(&mut gate, later, ask("/stream/x", Some(prompt(shared, 2))));
        let second = target(step);
        assert_eq!(first.name, second.name);
        assert!(second.read_ms < first.read_ms / 2.0);
    }
}

#[test]
fn what_other_hosts_send_counts() {
    let mut gate = gate();
    let (_, step) = start(&mut gate, NOW, ask("/stream/x", Some(prompt(1, 1))));
    let first = target(step);
    let now = NOW + ms(2_000);
    gate.notice(
        now,
        &Notice {
            upstream: first.name.clone(),
            read_ms: 900.0,
            links: Vec::new(),
        },
    );
    let (_, step) = start(&mut gate, now, ask("/stream/x", Some(prompt(1, 2))));
    assert_ne!(target(step).name, first.name);
}

/// Sends prompts at a rate and returns the waits to their first events, of those that
/// were sent, and how many were refused, each with its wait until then.
fn play(gate: &mut Gate, every: Duration, count: u32) -> (Vec<Duration>, Vec<Duration>) {
    let (mut served, mut refused) = (Vec::new(), Vec::new());
    for index in 0..count {
        let arrived = NOW + every * index;
        let (mut pass, mut step) = start(
            gate,
            arrived,
            ask("/stream/x", Some(prompt(u64::from(index), 1))),
        );
        let mut now = arrived;
        while let Step::Hold(until) = step {
            now = until;
            step = gate.step(now, &mut pass, None);
        }
        match step {
            Step::Send(target) => {
                let read = Duration::from_secs_f64((target.backlog_ms + target.read_ms) / 1_000.0);
                served.push(now.since(arrived) + read);
                gate.ended(now, &mut pass, target.id, Ending::Done);
            }
            Step::Refuse(refusal) => {
                assert_eq!(refusal.reason, Reason::Overload);
                assert!(refusal.retry_after.is_some());
                refused.push(now.since(arrived));
            }
            other => panic!("{other:?}"),
        }
    }
    (served, refused)
}

#[test]
fn at_half_load_nothing_is_kept_back_or_refused() {
    // A prompt takes 276 ms to read; two engines take seven a second.
    let (served, refused) = play(&mut gate(), ms(290), 60);
    assert!(refused.is_empty());
    assert!(served.iter().all(|wait| *wait < ms(600)), "{served:?}");
}

#[test]
fn at_twice_the_load_half_is_in_time_and_the_rest_is_refused_at_once() {
    let (served, refused) = play(&mut gate(), ms(69), 200);
    assert!(served.len() >= 90, "served {}", served.len());
    assert!(
        served.iter().all(|wait| *wait <= ms(1_000)),
        "all are in time"
    );
    assert!(
        refused.iter().all(|wait| *wait <= ms(125)),
        "refused within an eighth"
    );
}
