//! Owners that pause, restart, leave or are replaced while claims come in.

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
fn superseded_owner_does_not_report_a_granted_body_as_key_reused() {
    let mut world = world(4);
    let (owner, _, others) = world.roles();
    let first = world.claim(&others[0], 5, 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(100));
    let late = others[1].clone();
    assert_eq!(claim(&mut world, &late, 6), Some(Verdict::Granted));
    world.pause(&owner);
    world.set_standing(&owner, Standing::Dead);
    let names = world.names();
    for name in names.iter().filter(|name| **name != late) {
        world.publish_view_to(name);
    }
    world.run(Duration::from_secs(3));
    world.done(&others[0], first, End::NotSent);
    world.run(Duration::from_secs(1));
    let second = world.claim(&others[0], 5, 2, CLAIM_TIMEOUT);
    world.run(Duration::from_secs(1));
    assert_eq!(world.verdict(second), Some(&Verdict::Granted));
    world.resume(&owner);
    // This host still asks the former owner, whose intent has the other body.
    let again = world.claim(&late, 5, 2, CLAIM_TIMEOUT);
    world.run(Duration::from_secs(1));
    let verdict = world.verdict(again);
    assert!(matches!(verdict, Some(Verdict::Join { .. })), "{verdict:?}");
}

#[test]
fn answer_after_the_deadline_of_the_claim_is_not_used() {
    let mut world = world(4);
    let (_, _, others) = world.roles();
    assert_eq!(claim(&mut world, &others[0], 5), Some(Verdict::Granted));
    let other = world.claim(&others[1], 5, 2, Duration::from_millis(500));
    world.pause(&others[1]);
    world.run(Duration::from_secs(2));
    world.resume(&others[1]);
    let expected = Verdict::Unknown(Doubt::RecordUnread);
    assert_eq!(world.verdict(other), Some(&expected));
}

#[test]
fn write_with_a_lost_answer_is_confirmed_by_the_stored_entry() {
    let mut world = world(4);
    let (_, _, others) = world.roles();
    world.faults.lost_answers = 1.0;
    let request = world.claim(&others[0], 5, 1, CLAIM_TIMEOUT);
    world.run(Duration::from_millis(150));
    assert_eq!(world.verdict(request), None);
    world.faults.lost_answers = 0.0;
    world.run(CLAIM_TIMEOUT);
    assert_eq!(world.verdict(request), Some(&Verdict::Granted));
    assert_eq!(world.count(Counter::IntentRecorded), 1);
}

#[test]
fn restart_of_the_owner_needs_no_quarantine() {
    let mut world = world(4);
    let (owner, _, others) = world.roles();
    let first = world.claim(&others[0], 5, 1, CLAIM_TIMEOUT);
    world.run(Duration::from_secs(1));
    world.crash(&owner, Standing::Dead);
    world.start(&owner);
    world.publish_view();
    assert_eq!(claim(&mut world, &others[1], 6), Some(Verdict::Granted));
    let again = claim(&mut world, &others[1], 5);
    let joined = matches!(again, Some(Verdict::Join { request, .. }) if request == first);
    assert!(joined, "{again:?}");
    world.run(Duration::from_secs(15));
    assert_eq!(
        world.owner(),
        owner,
        "the restarted host is the preferred owner again"
    );
    assert_eq!(claim(&mut world, &others[1], 7), Some(Verdict::Granted));
}

#[test]
fn all_hosts_replaced_at_once_recover_from_the_service() {
    let mut world = world(4);
    let names = world.names();
    assert_eq!(claim(&mut world, &names[0], 5), Some(Verdict::Granted));
    for name in &names {
        world.crash(name, Standing::Dead);
        world.start(name);
    }
    world.publish_view();
    world.run(Duration::from_secs(3));
    let lost = Some(Verdict::Unknown(Doubt::HostLost));
    assert_eq!(claim(&mut world, &names[1], 5), lost);
    world.run(QUARANTINE_PERIOD);
    assert_eq!(claim(&mut world, &names[1], 6), Some(Verdict::Granted));
    assert_eq!(claim(&mut world, &names[2], 5), lost);
}

#[test]
fn hosts_that_all_left_cleanly_need_no_quarantine() {
    let mut world = world(4);
    let names = world.names();
    assert_eq!(claim(&mut world, &names[0], 5), Some(Verdict::Granted));
    for name in &names {
        world.leave(name);
        world.run(Duration::from_secs(3));
        assert!(world.hosts[name].left, "{name}");
        world.crash(name, Standing::Gone);
        world.publish_view();
    }
    world.start("host-8");
    world.start("host-9");
    world.publish_view();
    world.run(Duration::from_secs(3));
    let host = Name::from("host-8");
    assert_eq!(claim(&mut world, &host, 6), Some(Verdict::Granted));
    let lost = Some(Verdict::Unknown(Doubt::HostLost));
    assert_eq!(claim(&mut world, &host, 5), lost);
}

#[test]
fn owner_that_leaves_hands_over_without_refusing_claims() {
    let mut world = world(4);
    let (owner, _, others) = world.roles();
    world.leave(&owner);
    let requests: Vec<_> = (0..50)
        .map(|id| {
            world.run(Duration::from_millis(5));
            world.claim(&others[0], id, 1, CLAIM_TIMEOUT)
        })
        .collect();
    world.run(Duration::from_secs(2));
    assert!(world.hosts[&owner].left);
    for request in requests {
        assert_eq!(world.verdict(request), Some(&Verdict::Granted));
    }
}

#[test]
fn replacing_every_host_in_turn_refuses_no_claim() {
    let mut world = World::new(5, 3, Settings::default(), Faults::default());
    world.run(Duration::from_secs(8));
    let mut id = 0u128;
    let mut requests = Vec::new();
    for name in world.names() {
        world.leave(&name);
        for _ in 0..25 {
            for host in world.names().iter().filter(|host| **host != name) {
                id += 1;
                requests.push(world.claim(host, (id << 64) | id, 1, CLAIM_TIMEOUT));
            }
            world.run(Duration::from_millis(20));
        }
        assert!(world.hosts[&name].left, "{name}");
        world.crash(&name, Standing::Gone);
        world.publish_view();
        world.run(Duration::from_secs(1));
        world.start(&name);
        world.publish_view();
        world.run(Duration::from_secs(10));
    }
    let mut refused = world
        .verdicts
        .iter()
        .filter(|given| requests.contains(&given.request) && given.verdict != Verdict::Granted);
    assert_eq!(refused.next().map(|given| &given.verdict), None);
    assert_eq!(world.count(Counter::IntentRecorded), requests.len() as u64);
}
