//! Entries of upstreams that have ended stay for a while beside those of their successors.

#[allow(dead_code)]
mod common;

use common::{request_head, target, upstream};
use mulberryrack_core::Time;
use mulberryrack_gate::{Ending, Gate};
use std::net::SocketAddr;

const NOW: Time = Time::from_millis(1_000);
const FIRST_PORT: u16 = 1_000;

fn register(gate: &mut Gate, name: &str, port: u16) {
    let mut replica = upstream(name, "desk", &[]);
    replica.address = SocketAddr::from(([127, 0, 0, 1], port));
    gate.register(NOW, replica);
}

/// A gate without replicas of the plain service.
fn empty_gate() -> Gate {
    let mut gate = common::gate();
    gate.deregister("d0");
    gate.deregister("d1");
    gate
}

/// A host that has just started and finds the entries of four upstreams that ended, beside those
/// of their successors at the same addresses, and a sound one.
fn gate() -> Gate {
    let mut gate = empty_gate();
    for number in 0..4 {
        register(&mut gate, &format!("ended{number}"), FIRST_PORT + number);
        register(&mut gate, &format!("next{number}"), FIRST_PORT + number);
    }
    register(&mut gate, "sound", FIRST_PORT + 9);
    gate
}

/// Name of the upstream that a request is sent to first.
fn first_target(gate: &mut Gate) -> String {
    let mut request = gate
        .admit(NOW, request_head("/look/x", None), 1)
        .expect("a route matches");
    let to = target(gate.decide(NOW, &mut request, None));
    gate.record_ending(NOW, &mut request, to.id, Ending::Abandoned);
    to.name.to_string()
}

#[test]
fn an_upstream_that_shares_its_address_with_no_other_is_preferred() {
    let mut gate = gate();
    for _ in 0..40 {
        assert_eq!(first_target(&mut gate), "sound");
    }
}

#[test]
fn all_are_used_again_once_the_old_entries_are_gone() {
    let mut gate = gate();
    for number in 0..4 {
        gate.deregister(&format!("ended{number}"));
    }
    let mut seen: Vec<String> = (0..200).map(|_| first_target(&mut gate)).collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen, ["next0", "next1", "next2", "next3", "sound"]);
}

#[test]
fn an_entry_that_answered_for_another_upstream_is_avoided_by_later_requests() {
    let mut gate = empty_gate();
    register(&mut gate, "ended", FIRST_PORT);
    register(&mut gate, "sound", FIRST_PORT + 1);
    loop {
        let mut request = gate
            .admit(NOW, request_head("/look/x", None), 1)
            .expect("a route matches");
        let to = target(gate.decide(NOW, &mut request, None));
        let ending = if *to.name == *"ended" {
            Ending::Misplaced
        } else {
            Ending::Done
        };
        gate.record_ending(NOW, &mut request, to.id, ending);
        if ending == Ending::Misplaced {
            break;
        }
    }
    for _ in 0..40 {
        assert_eq!(first_target(&mut gate), "sound");
    }
}
