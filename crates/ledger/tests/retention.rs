//! Old entries are compacted into segments, which are deleted after the retention.

mod common;

use common::{Faults, World};
use mulberryrack_core::{
    claim::{End, Verdict},
    kv::{Op, Reply},
    view::Standing,
};
use mulberryrack_ledger::Settings;
use mulberryrack_wire::ledger as wire;
use prost::Message;
use std::{collections::BTreeSet, time::Duration};

const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
const RETENTION: Duration = Duration::from_secs(120);

fn world() -> World {
    let settings = Settings {
        shards: 1,
        positions: 8,
        retention: RETENTION,
        ..Settings::default()
    };
    let mut world = World::new(3, 3, settings, Faults::default());
    world.run(Duration::from_secs(8));
    world
}

fn key_count(world: &mut World, prefix: &str) -> usize {
    let op = Op::List {
        prefix: prefix.into(),
        after: None,
        limit: 1_000,
    };
    match world.store.call(world.now, &op) {
        Some(Reply::Entries { entries, .. }) => entries.len(),
        other => panic!("{other:?}"),
    }
}

/// Claims `ids` one after the other, so that each intent has its own entry. Returns how
/// many were granted.
fn claim_all(world: &mut World, ids: std::ops::Range<u128>) -> usize {
    let host = world.names()[0].clone();
    ids.filter(|id| {
        let request = world.claim(&host, *id, 1, CLAIM_TIMEOUT);
        world.run(CLAIM_TIMEOUT + Duration::from_millis(10));
        if world.verdict(request) == Some(&Verdict::Granted) {
            world.done(&host, request, End::Ran);
            return true;
        }
        false
    })
    .count()
}

/// Ids of the intents in the ring.
fn ring_ids(world: &mut World) -> BTreeSet<u64> {
    let op = Op::List {
        prefix: "ledger/001/000/log/".into(),
        after: None,
        limit: 1_000,
    };
    let Some(Reply::Entries { entries, .. }) = world.store.call(world.now, &op) else {
        panic!("no list");
    };
    entries
        .iter()
        .map(|entry| wire::Entry::decode(entry.value.clone()).expect("an entry"))
        .flat_map(|entry| entry.records.unwrap_or_default().records)
        .filter(|record| record.kind() == wire::Kind::Intent)
        .map(|record| record.id_low)
        .collect()
}

#[test]
fn ring_is_not_overwritten_before_its_segment_is_written() {
    let mut world = world();
    world.refused_keys = Some("segment");
    let granted = claim_all(&mut world, 0..7);
    assert_eq!(granted, 7);
    claim_all(&mut world, 7..12);
    assert_eq!(ring_ids(&mut world).range(0..7).count(), 7);
    world.refused_keys = None;
    world.run(Duration::from_secs(5));
    assert_eq!(claim_all(&mut world, 20..24), 4);
    assert!(key_count(&mut world, "ledger/001/000/segment/") > 0);
}

#[test]
fn takeover_knows_ids_that_only_segments_hold() {
    let mut world = world();
    assert_eq!(claim_all(&mut world, 0..20), 20);
    let (owner, successor, _) = world.roles();
    world.crash(&owner, Standing::Dead);
    world.publish_view();
    world.run(Duration::from_secs(3));
    for id in 0..20 {
        let request = world.claim(&successor, id, 1, CLAIM_TIMEOUT);
        world.run(CLAIM_TIMEOUT + Duration::from_millis(10));
        assert_ne!(world.verdict(request), Some(&Verdict::Granted), "{id}");
    }
}

#[test]
fn records_and_segments_are_dropped_after_the_retention() {
    let mut world = world();
    assert_eq!(claim_all(&mut world, 0..20), 20);
    assert!(key_count(&mut world, "ledger/001/000/segment/") > 1);
    world.run(RETENTION * 2);
    assert_eq!(key_count(&mut world, "ledger/001/000/segment/"), 0);
    assert_eq!(key_count(&mut world, "ledger/001/000/log/"), 8);
    let kept: usize = world
        .hosts
        .values()
        .map(|host| host.ledger.kept_ids())
        .sum();
    assert_eq!(kept, 0);
    assert_eq!(
        claim_all(&mut world, 0..1),
        1,
        "a resend this late runs again"
    );
}
