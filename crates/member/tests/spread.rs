//! Values: the highest version of each key reaches every host.

mod common;

use common::{CENTRES, Fleet, host};
use mulberryrack_core::view::Value;
use mulberryrack_member::Input;

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
        fleet.tell(&host(1), Input::Publish(value(1, 1)));
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
            fleet.tell(&host(index % 9), Input::Publish(value(index, 1)));
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
    fleet.tell(&host(0), Input::Publish(value(7, 5)));
    fleet.tell(&host(1), Input::Publish(value(7, 4)));
    fleet.run_ms(3_000);
    assert_eq!(missing(&fleet, &value(7, 5)), 0);
    fleet.tell(&host(2), Input::Publish(value(7, 3)));
    fleet.run_ms(3_000);
    assert_eq!(missing(&fleet, &value(7, 5)), 0);
}

#[test]
fn values_changed_on_both_sides_of_a_partition_meet() {
    let mut fleet = Fleet::new(6, 4);
    fleet.run_ms(5_000);
    let names = fleet.names();
    fleet.part(&names[..3], &names[3..]);
    fleet.run_ms(20_000);
    for index in 0..50 {
        fleet.tell(&names[0], Input::Publish(value(index, 1)));
        fleet.tell(&names[3], Input::Publish(value(100 + index, 1)));
    }
    fleet.run_ms(60_000);
    fleet.cut.clear();
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
        fleet.tell(&host(0), Input::Publish(value(index, 1)));
        if index % 500 == 0 {
            fleet.run_ms(100);
        }
    }
    fleet.run_ms(30_000);
    assert_eq!(missing(&fleet, &value(9_999, 1)), 0);
    fleet.start("host-0100", CENTRES[0]);
    fleet.run_ms(5_000);
    let newcomer = fleet.node("host-0100");
    assert_eq!(newcomer.values.len(), 10_000);
    assert!(fleet.largest_frame < 64 * 1_024, "{}", fleet.largest_frame);
}
