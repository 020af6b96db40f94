//! Claims while service and network work: the first claim of an id is granted, later ones
//! join its request or get its outcome.

mod common;

use common::{Faults, World};
use mulberryrack_core::{
    claim::{End, Verdict},
    outcome::{Doubt, Reason},
    view::Standing,
};
use mulberryrack_ledger::Settings;
use std::time::Duration;

const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

fn id(number: u128) -> u128 {
    (number << 64) | number
}

fn world(hosts: usize) -> World {
    let mut world = World::new(hosts, 7, Settings::default(), Faults::default());
    world.run(Duration::from_secs(2));
    world
}

#[test]
fn first_claim_of_an_id_is_granted_on_every_host() {
    let mut world = world(3);
    for number in 0..96 {
        let host = format!("host-{}", number % 3);
        let request = world.claim(&host, id(number), 1, CLAIM_TIMEOUT);
        world.run(Duration::from_millis(100));
        assert_eq!(world.verdict(request), Some(&Verdict::Granted), "{number}");
    }
}

#[test]
fn second_claim_joins_the_running_request() {
    let mut world = world(3);
    let first = world.claim("host-0", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    let second = world.claim("host-1", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    let Some(Verdict::Join {
        holder, request, ..
    }) = world.verdict(second)
    else {
        panic!("{:?}", world.verdict(second));
    };
    assert_eq!((&**holder, *request), ("host-0", first));
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut world = world(3);
    world.claim("host-0", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    let other = world.claim("host-1", id(5), 2, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    let Some(Verdict::NotRun(refusal)) = world.verdict(other) else {
        panic!("{:?}", world.verdict(other));
    };
    assert_eq!(refusal.reason, Reason::KeyReused);
}

#[test]
fn second_claim_is_granted_after_the_first_request_was_not_sent() {
    let mut world = world(3);
    let first = world.claim("host-0", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    world.done("host-0", first, End::NotSent);
    let second = world.claim("host-1", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    assert_eq!(world.verdict(second), Some(&Verdict::Granted));
}

#[test]
fn claim_after_the_answer_is_no_longer_kept_is_not_granted() {
    let mut world = world(3);
    let first = world.claim("host-0", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    world.done("host-0", first, End::Ran);
    world.done("host-0", first, End::Forgotten);
    let second = world.claim("host-1", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    let expected = Verdict::Unknown(Doubt::AnswerGone);
    assert_eq!(world.verdict(second), Some(&expected));
}

#[test]
fn claim_after_the_holder_died_has_an_unknown_outcome() {
    let mut world = world(4);
    world.claim("host-0", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    world.crash("host-0", Standing::Dead);
    world.publish_view();
    world.run(Duration::from_secs(3));
    let second = world.claim("host-1", id(5), 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(500));
    let expected = Verdict::Unknown(Doubt::HostLost);
    assert_eq!(world.verdict(second), Some(&expected));
}
