//! The key-value service is down: what is granted with the successor's word, and what
//! becomes of it.

mod common;

use common::{Faults, World};
use mulberryrack_core::{
    Name,
    claim::{End, Verdict},
    note::Counter,
    outcome::Doubt,
    view::Standing,
};
use mulberryrack_ledger::Settings;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(5);
const HORIZON: Duration = Duration::from_secs(20);

fn world(hosts: usize) -> World {
    let settings = Settings {
        shards: 1,
        resend_horizon: HORIZON,
        ..Settings::default()
    };
    let mut world = World::new(hosts, 3, settings, Faults::default());
    world.run(Duration::from_secs(8));
    world
}

fn fresh(world: &mut World, host: &Name, id: u128) -> Option<Verdict> {
    let request = world.claim(host, id, 1, PATIENCE);
    world.run(PATIENCE + Duration::from_millis(100));
    world.verdict(request).cloned()
}

#[test]
fn claims_are_granted_through_an_outage_and_recorded_after_it() {
    let mut world = world(4);
    let (_, _, others) = world.parts();
    world.down = true;
    for id in 0..20 {
        assert_eq!(fresh(&mut world, &others[0], id), Some(Verdict::Granted));
    }
    assert_eq!(world.count(Counter::IntentWitnessed), 20);
    world.down = false;
    world.run(Duration::from_secs(5));
    assert_eq!(world.count(Counter::IntentRecorded), 20);
}

#[test]
fn intent_kept_by_the_successor_survives_the_owner() {
    let mut world = world(4);
    let (owner, successor, others) = world.parts();
    world.down = true;
    assert_eq!(fresh(&mut world, &others[0], 5), Some(Verdict::Granted));
    world.crash(&owner, Standing::Dead);
    world.spread();
    world.down = false;
    world.run(Duration::from_secs(5));
    let again = fresh(&mut world, &successor, 5);
    assert!(matches!(again, Some(Verdict::Join { .. })), "{again:?}");
}

#[test]
fn successor_that_takes_over_no_longer_keeps_records() {
    let mut world = world(4);
    let (owner, successor, others) = world.parts();
    world.stand(&owner, Standing::Dead);
    world.spread_to(&successor);
    // The successor has read the log; its takeover entry is not answered.
    world.blocked = Some("log");
    world.run(Duration::from_secs(3));
    world.down = true;
    world.stand(&owner, Standing::Alive);
    world.spread_to(&successor);
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(fresh(&mut world, &others[0], 5), unread);
}

#[test]
fn nothing_is_granted_while_service_and_successor_fail() {
    let mut world = world(4);
    let (owner, successor, others) = world.parts();
    world.down = true;
    world.cut.insert((owner, successor));
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(fresh(&mut world, &others[0], 5), unread);
    let second = world.claim(&others[0], 6, 1, PATIENCE);
    world.run(Duration::from_millis(50));
    assert_eq!(world.verdict(second), unread.as_ref(), "at once by now");
    world.down = false;
    world.run(Duration::from_secs(3));
    assert_eq!(fresh(&mut world, &others[0], 5), Some(Verdict::Granted));
}

#[test]
fn another_host_keeps_records_when_the_successor_is_gone() {
    let mut world = world(4);
    let (owner, successor, others) = world.parts();
    world.down = true;
    world.crash(&successor, Standing::Gone);
    world.spread();
    assert_eq!(fresh(&mut world, &others[0], 5), Some(Verdict::Granted));
    world.crash(&owner, Standing::Gone);
    world.spread();
    world.down = false;
    world.run(HORIZON + Duration::from_secs(10));
    let again = fresh(&mut world, &others[1], 5);
    assert!(matches!(again, Some(Verdict::Join { .. })), "{again:?}");
    assert_eq!(fresh(&mut world, &others[1], 6), Some(Verdict::Granted));
}

#[test]
fn nobody_takes_over_before_owner_and_successor_are_gone() {
    let mut world = world(4);
    let (owner, successor, others) = world.parts();
    for name in [&owner, &successor] {
        world.pause(name);
        world.stand(name, Standing::Dead);
    }
    world.spread();
    world.run(Duration::from_secs(60));
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(fresh(&mut world, &others[0], 5), unread);
    for name in [&owner, &successor] {
        world.crash(name, Standing::Gone);
    }
    world.spread();
    world.run(Duration::from_secs(3));
    let gap = Some(Verdict::Unknown(Doubt::RecordGap));
    assert_eq!(fresh(&mut world, &others[0], 6), gap);
    world.run(HORIZON);
    assert_eq!(fresh(&mut world, &others[0], 6), gap, "never granted later");
    assert_eq!(fresh(&mut world, &others[0], 7), Some(Verdict::Granted));
}

#[test]
fn word_of_a_successor_that_is_being_replaced_does_not_count() {
    let mut world = world(4);
    let (owner, successor, others) = world.parts();
    world.down = true;
    world.stand(&successor, Standing::Dead);
    world.spread_to(&owner);
    world.run(Duration::from_millis(500));
    world.stand(&successor, Standing::Alive);
    world.spread_to(&owner);
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(fresh(&mut world, &others[0], 5), unread);
}

#[test]
fn release_in_an_outage_lets_a_resend_run() {
    let mut world = world(4);
    let (_, _, others) = world.parts();
    world.down = true;
    let first = world.claim(&others[0], 5, 1, PATIENCE);
    world.run(Duration::from_secs(1));
    assert_eq!(world.verdict(first), Some(&Verdict::Granted));
    world.done(&others[0], first, End::NotSent);
    assert_eq!(fresh(&mut world, &others[1], 5), Some(Verdict::Granted));
}
