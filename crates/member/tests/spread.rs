//! Replication of values: every host adopts the highest version of each key.

mod common;

use common::{DATA_CENTRES, Fleet, host};
use mulberryrack_core::{hash, view::Value};
use mulberryrack_member::Input;
use mulberryrack_wire::member as wire;

fn value(index: usize, version: u64) -> Value {
    Value {
        key: format!("engine/engine-{index:05}").into(),
        version,
        bytes: vec![u8::try_from(version % 251).unwrap(); 150].into(),
    }
}

fn missing(fleet: &Fleet, wanted: &Value) -> usize {
    fleet
        .nodes
        .values()
        .filter(|node| node.values.get(&wanted.key) != Some(wanted))
        .count()
}

#[test]
fn value_reaches_every_host_within_two_seconds() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(9, seed);
        fleet.run_ms(5_000);
        fleet.input(&host(1), Input::Publish(value(1, 1)));
        fleet.run_ms(2_000);
        assert_eq!(missing(&fleet, &value(1, 1)), 0, "seed {seed}");
    }
}

#[test]
fn lost_values_are_repaired() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(9, seed);
        fleet.run_ms(5_000);
        fleet.loss = 0.4;
        for index in 0..200 {
            fleet.input(&host(index % 9), Input::Publish(value(index, 1)));
            fleet.run_ms(20);
        }
        fleet.loss = 0.2;
        fleet.run_ms(60_000);
        let left: usize = (0..200).map(|it| missing(&fleet, &value(it, 1))).sum();
        assert_eq!(left, 0, "seed {seed}");
    }
}

#[test]
fn highest_version_wins_whoever_publishes_it() {
    let mut fleet = Fleet::new(5, 3);
    fleet.run_ms(5_000);
    fleet.input(&host(0), Input::Publish(value(7, 5)));
    fleet.input(&host(1), Input::Publish(value(7, 4)));
    fleet.run_ms(3_000);
    assert_eq!(missing(&fleet, &value(7, 5)), 0);
    fleet.input(&host(2), Input::Publish(value(7, 3)));
    fleet.run_ms(3_000);
    assert_eq!(missing(&fleet, &value(7, 5)), 0);
}

#[test]
fn values_published_on_both_sides_of_a_partition_converge() {
    let mut fleet = Fleet::new(6, 4);
    fleet.run_ms(5_000);
    let names = fleet.names();
    fleet.partition(&names[..3], &names[3..]);
    fleet.run_ms(20_000);
    for index in 0..50 {
        fleet.input(&names[0], Input::Publish(value(index, 1)));
        fleet.input(&names[3], Input::Publish(value(100 + index, 1)));
    }
    fleet.run_ms(60_000);
    fleet.cut_links.clear();
    fleet.run_ms(40_000);
    let left: usize = (0..50)
        .chain(100..150)
        .map(|it| missing(&fleet, &value(it, 1)))
        .sum();
    assert_eq!(left, 0);
}

#[test]
fn new_host_gets_ten_thousand_values_in_bounded_frames() {
    let mut fleet = Fleet::new(3, 5);
    fleet.run_ms(5_000);
    for index in 0..10_000 {
        fleet.input(&host(0), Input::Publish(value(index, 1)));
        if index % 500 == 0 {
            fleet.run_ms(100);
        }
    }
    fleet.run_ms(30_000);
    assert_eq!(missing(&fleet, &value(9_999, 1)), 0);
    fleet.start("host-0100", DATA_CENTRES[0]);
    fleet.run_ms(5_000);
    let newcomer = fleet.node("host-0100");
    assert_eq!(newcomer.values.len(), 10_000);
    assert!(fleet.largest_frame < 64 * 1_024, "{}", fleet.largest_frame);
}

#[test]
fn changed_value_is_sent_as_a_patch() {
    let mut fleet = Fleet::new(9, 6);
    fleet.run_ms(5_000);
    let mut changing = value(1, 1);
    changing.bytes = vec![0; 4_000].into();
    fleet.input(&host(1), Input::Publish(changing.clone()));
    fleet.run_ms(3_000);
    let sent = |fleet: &Fleet| fleet.nodes.values().map(|node| node.bytes).sum::<u64>();
    let before = sent(&fleet);
    for version in 2..12 {
        let mut bytes = changing.bytes.to_vec();
        bytes[2_000] = u8::try_from(version).unwrap();
        changing.bytes = bytes.into();
        changing.version = version;
        fleet.input(&host(1), Input::Publish(changing.clone()));
        fleet.run_ms(2_000);
    }
    assert_eq!(missing(&fleet, &changing), 0);
    // Ten full values sent to eight hosts would exceed 320,000 bytes.
    let used = sent(&fleet) - before;
    assert!(used < 80_000, "{used} bytes");
}

#[test]
fn value_with_a_missing_patch_base_is_requested() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(5, seed);
        fleet.run_ms(5_000);
        fleet.loss = 0.5;
        for version in 1..20_u8 {
            let mut changing = value(1, version.into());
            changing.bytes = vec![version; 40 + 3 * usize::from(version)].into();
            fleet.input(&host(1), Input::Publish(changing));
            fleet.run_ms(150);
        }
        fleet.loss = 0.0;
        fleet.run_ms(20_000);
        let first = fleet
            .node(&host(1))
            .values
            .get("engine/engine-00001")
            .cloned();
        for node in fleet.nodes.values() {
            assert_eq!(
                node.values.get("engine/engine-00001"),
                first.as_ref(),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn patch_with_a_wrong_checksum_is_rejected() {
    let mut fleet = Fleet::new(2, 7);
    fleet.run_ms(5_000);
    fleet.input(&host(0), Input::Publish(value(1, 1)));
    fleet.run_ms(2_000);
    let patch = wire::Value {
        version: 2,
        bytes: vec![9].into(),
        id: hash::stable(value(1, 1).key.as_bytes(), 0),
        base: 1,
        prefix: 70,
        suffix: 70,
        check: 12_345,
        ..wire::Value::default()
    };
    let values = wire::Values {
        values: vec![patch],
    };
    let frame = Input::Frame {
        from: host(0),
        incarnation: fleet.node(&host(0)).life,
        frame: wire::Frame {
            body: Some(wire::frame::Body::Values(values)),
        },
    };
    fleet.input(&host(1), frame);
    fleet.run_ms(2_000);
    assert_eq!(missing(&fleet, &value(1, 1)), 0);
}

#[test]
fn value_in_a_constantly_changing_bucket_is_repaired() {
    let mut fleet = Fleet::new(5, 8);
    fleet.run_ms(5_000);
    for index in 0..100 {
        fleet.input(&host(0), Input::Publish(value(index, 1)));
    }
    fleet.run_ms(10_000);
    let all = fleet.names();
    fleet.partition(&[host(4)], &all);
    fleet.input(&host(1), Input::Publish(value(500, 1)));
    fleet.run_ms(2_500);
    fleet.cut_links.clear();
    // Fewer than 128 keys make a digest of 16 buckets, each of which changes within 2 s.
    for turn in 0..1_200 {
        fleet.input(
            &host(turn % 4),
            Input::Publish(value(turn % 100, 2 + turn as u64)),
        );
        fleet.run_ms(50);
    }
    assert_eq!(missing(&fleet, &value(500, 1)), 0);
}
