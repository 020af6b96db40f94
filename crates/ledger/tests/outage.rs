//! The key-value service is down: claims are granted on records that only the owner and
//! its successor have, and these records must not get lost afterwards.

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

const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
const QUARANTINE_PERIOD: Duration = Duration::from_secs(20);

fn world(hosts: usize) -> World {
    let settings = Settings {
        shards: 1,
        quarantine_period: QUARANTINE_PERIOD,
        ..Settings::default()
    };
    let mut world = World::new(hosts, 3, settings, Faults::default());
    world.run(Duration::from_secs(8));
    world
}

fn claim(world: &mut World, host: &Name, id: u128) -> Option<Verdict> {
    let request = world.claim(host, id, 1, CLAIM_TIMEOUT);
    world.run(CLAIM_TIMEOUT + Duration::from_millis(100));
    world.verdict(request).cloned()
}

#[test]
fn claims_are_granted_through_an_outage_and_recorded_after_it() {
    let mut world = world(4);
    let (_, _, others) = world.roles();
    world.service_down = true;
    for id in 0..20 {
        assert_eq!(claim(&mut world, &others[0], id), Some(Verdict::Granted));
    }
    assert_eq!(world.count(Counter::IntentWitnessed), 20);
    world.service_down = false;
    world.run(Duration::from_secs(5));
    assert_eq!(world.count(Counter::IntentRecorded), 20);
}

#[test]
fn intent_copied_to_the_successor_survives_the_owner() {
    let mut world = world(4);
    let (owner, successor, others) = world.roles();
    world.service_down = true;
    assert_eq!(claim(&mut world, &others[0], 5), Some(Verdict::Granted));
    world.crash(&owner, Standing::Dead);
    world.publish_view();
    world.service_down = false;
    world.run(Duration::from_secs(5));
    let again = claim(&mut world, &successor, 5);
    assert!(matches!(again, Some(Verdict::Join { .. })), "{again:?}");
}

#[test]
fn successor_that_takes_over_refuses_copies_of_records() {
    let mut world = world(4);
    let (owner, successor, others) = world.roles();
    world.set_standing(&owner, Standing::Dead);
    world.publish_view_to(&successor);
    // The successor reads the log and starts a takeover, but its entry is refused.
    world.refused_keys = Some("log");
    world.run(Duration::from_secs(3));
    world.service_down = true;
    world.set_standing(&owner, Standing::Alive);
    world.publish_view_to(&successor);
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(claim(&mut world, &others[0], 5), unread);
}

#[test]
fn nothing_is_granted_while_service_and_successor_fail() {
    let mut world = world(4);
    let (owner, successor, others) = world.roles();
    world.service_down = true;
    world.cut_links.insert((owner, successor));
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(claim(&mut world, &others[0], 5), unread);
    let second = world.claim(&others[0], 6, 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(50));
    assert_eq!(
        world.verdict(second),
        unread.as_ref(),
        "refused at once by now"
    );
    world.service_down = false;
    world.run(Duration::from_secs(3));
    assert_eq!(claim(&mut world, &others[0], 5), Some(Verdict::Granted));
}

#[test]
fn nothing_is_granted_with_the_successor_gone_until_the_service_is_back() {
    let mut world = world(4);
    let (_, successor, others) = world.roles();
    world.service_down = true;
    assert_eq!(claim(&mut world, &others[0], 4), Some(Verdict::Granted));
    world.crash(&successor, Standing::Gone);
    world.publish_view();
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(claim(&mut world, &others[0], 5), unread);
    world.service_down = false;
    world.run(Duration::from_secs(3));
    assert_eq!(claim(&mut world, &others[0], 5), Some(Verdict::Granted));
    let again = claim(&mut world, &others[1], 4);
    assert!(matches!(again, Some(Verdict::Join { .. })), "{again:?}");
}

#[test]
fn owner_does_not_grant_after_a_takeover_by_a_successor_that_is_gone() {
    for hosts in 4..12 {
        let mut world = world(hosts);
        let (owner, successor, others) = world.roles();
        world.unreachable.insert(owner.clone());
        world.set_standing(&owner, Standing::Dead);
        for name in world.names().iter().filter(|name| **name != owner) {
            world.publish_view_to(name);
        }
        world.run(Duration::from_secs(3));
        assert_eq!(
            world.newest_entry().epoch,
            2,
            "the successor has taken over"
        );
        world.set_standing(&owner, Standing::Alive);
        world.crash(&successor, Standing::Gone);
        world.publish_view();
        // The owner has not read the log and does not know of the takeover. With the service
        // down, only the owner and the hosts that ask it can act.
        world.service_down = true;
        let one = world.claim(&others[0], 5, 1, CLAIM_TIMEOUT);
        world.run(CLAIM_TIMEOUT);
        let granted = world.verdict(one) == Some(&Verdict::Granted);
        world.service_down = false;
        world.unreachable.clear();
        world.run(QUARANTINE_PERIOD * 2);
        let two = claim(&mut world, &others[1], 5);
        let again = two == Some(Verdict::Granted);
        assert!(!(granted && again), "{hosts} hosts: granted twice");
    }
}

#[test]
fn no_host_takes_over_before_owner_and_successor_are_gone() {
    let mut world = world(4);
    let (owner, successor, others) = world.roles();
    for name in [&owner, &successor] {
        world.pause(name);
        world.set_standing(name, Standing::Dead);
    }
    world.publish_view();
    world.run(Duration::from_secs(60));
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(claim(&mut world, &others[0], 5), unread);
    for name in [&owner, &successor] {
        world.crash(name, Standing::Gone);
    }
    world.publish_view();
    world.run(Duration::from_secs(3));
    let gap = Some(Verdict::Unknown(Doubt::RecordGap));
    assert_eq!(claim(&mut world, &others[0], 6), gap);
    world.run(QUARANTINE_PERIOD);
    assert_eq!(claim(&mut world, &others[0], 6), gap, "never granted later");
    assert_eq!(claim(&mut world, &others[0], 7), Some(Verdict::Granted));
}

#[test]
fn copies_on_a_successor_that_is_being_replaced_do_not_count() {
    let mut world = world(4);
    let (owner, successor, others) = world.roles();
    world.service_down = true;
    world.set_standing(&successor, Standing::Dead);
    world.publish_view_to(&owner);
    world.run(Duration::from_millis(500));
    world.set_standing(&successor, Standing::Alive);
    world.publish_view_to(&owner);
    let unread = Some(Verdict::Unknown(Doubt::RecordUnread));
    assert_eq!(claim(&mut world, &others[0], 5), unread);
}

#[test]
fn release_in_an_outage_lets_another_claim_be_granted() {
    let mut world = world(4);
    let (_, _, others) = world.roles();
    world.service_down = true;
    let first = world.claim(&others[0], 5, 1, CLAIM_TIMEOUT);
    world.run(Duration::from_secs(1));
    assert_eq!(world.verdict(first), Some(&Verdict::Granted));
    world.done(&others[0], first, End::NotSent);
    assert_eq!(claim(&mut world, &others[1], 5), Some(Verdict::Granted));
}

#[test]
fn owner_superseded_under_a_wrong_view_submits_its_witnessed_records() {
    let mut world = world(5);
    let (owner, successor, others) = world.roles();
    world.unreachable.extend([owner.clone(), successor.clone()]);
    assert_eq!(claim(&mut world, &others[0], 5), Some(Verdict::Granted));
    // The other hosts wrongly believe that both are gone.
    for name in [&owner, &successor] {
        world.set_standing(name, Standing::Gone);
    }
    for name in &others {
        world.publish_view_to(name);
    }
    world.run(Duration::from_secs(3));
    let gap = Some(Verdict::Unknown(Doubt::RecordGap));
    assert_eq!(claim(&mut world, &others[1], 6), gap);
    world.unreachable.clear();
    world.run(QUARANTINE_PERIOD + Duration::from_secs(5));
    let again = claim(&mut world, &others[1], 5);
    assert!(matches!(again, Some(Verdict::Join { .. })), "{again:?}");
}

#[test]
fn writes_stay_in_the_budget_through_an_outage() {
    let settings = Settings {
        writes_per_second: 16,
        ..Settings::default()
    };
    let mut world = World::new(3, 3, settings, Faults::default());
    world.run(Duration::from_secs(20));
    world.service_down = true;
    let before = world.writes;
    for id in 0..600u128 {
        world.claim("host-0", (id << 64) | id, 1, CLAIM_TIMEOUT);
        world.run(Duration::from_millis(100));
    }
    let writes = world.writes - before;
    // The budget may have saved up the writes of one second, but at least two per host.
    assert!(writes <= 16 * 60 + 16 + 6, "{writes}");
    world.service_down = false;
    let request = world.claim("host-0", 1 << 100, 1, CLAIM_TIMEOUT);
    world.run(CLAIM_TIMEOUT);
    assert_eq!(world.verdict(request), Some(&Verdict::Granted));
}
