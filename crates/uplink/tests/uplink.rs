//! When a host takes its link for the cause of a delay, and how long a delay it takes off.

use mulberryrack_core::Time;
use mulberryrack_uplink::{Totals, Uplink};
use std::time::Duration;

const RATE: u32 = 1_000_000;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A link on which a part of its rate was received, in percent, until 1 s; a round trip usually takes 5 ms.
fn loaded(percent: u64) -> Uplink {
    let mut link = Uplink::new(Some(RATE));
    link.begin_round_trip(at(0));
    link.end_round_trip(at(5), at(0), true);
    for tenth in 0..=10 {
        let received = tenth * u64::from(RATE) / 10 * percent / 100;
        link.record_totals(at(tenth * 100), Totals { sent: 0, received });
    }
    link
}

fn after_round_trip(mut link: Uplink, took: u64) -> Duration {
    let begun = at(1_000 - took);
    link.begin_round_trip(begun);
    link.end_round_trip(at(1_000), begun, true);
    link.delay(at(1_000))
}

#[test]
fn slow_calls_over_a_full_link_have_waited_for_it() {
    assert_eq!(after_round_trip(loaded(90), 405), ms(400));
}

#[test]
fn slow_calls_over_a_link_that_is_not_full_say_that_the_service_is_slow() {
    assert_eq!(after_round_trip(loaded(20), 405), Duration::ZERO);
}

#[test]
fn fast_calls_over_a_full_link_have_not_waited() {
    assert_eq!(after_round_trip(loaded(100), 5), Duration::ZERO);
}

#[test]
fn call_without_an_answer_so_far_counts() {
    let mut link = loaded(90);
    link.begin_round_trip(at(700));
    assert_eq!(link.delay(at(1_000)), ms(295));
    link.end_round_trip(at(1_000), at(700), false);
    assert_eq!(link.delay(at(1_000)), Duration::ZERO);
}

#[test]
fn old_round_trip_tells_nothing() {
    let mut link = loaded(90);
    link.begin_round_trip(at(600));
    link.end_round_trip(at(1_000), at(600), true);
    assert_eq!(link.delay(at(2_600)), Duration::ZERO);
}

#[test]
fn load_is_that_of_the_busier_direction_lately() {
    let mut link = loaded(90);
    let received = u64::from(RATE) * 9 / 10;
    for tenth in 1..=10 {
        let sent = tenth * u64::from(RATE) / 20;
        link.record_totals(at(1_000 + tenth * 100), Totals { sent, received });
    }
    let load = link.load().expect("a rate");
    assert!((load - 0.5).abs() < 0.01, "{load}");
}

#[test]
fn delay_is_bounded_and_unknown_without_a_rate() {
    assert_eq!(after_round_trip(loaded(90), 900), ms(895));
    let mut link = loaded(90);
    link.begin_round_trip(at(0));
    assert_eq!(link.delay(at(5_000)), ms(1_000));
    let mut link = Uplink::new(None);
    link.record_totals(at(0), Totals::default());
    link.record_totals(
        at(100),
        Totals {
            sent: 1 << 30,
            received: 0,
        },
    );
    link.begin_round_trip(at(0));
    assert_eq!(link.delay(at(400)), Duration::ZERO);
}

#[test]
fn of_several_calls_that_are_open_the_earliest_counts() {
    let mut link = loaded(90);
    for begun in [600, 800] {
        link.begin_round_trip(at(begun));
    }
    assert_eq!(link.delay(at(1_000)), ms(395));
    link.end_round_trip(at(1_000), at(600), false);
    assert_eq!(link.delay(at(1_000)), ms(195));
}
