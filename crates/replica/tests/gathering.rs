//! For how long changes gather, at hosts that are late for one reason or another.

use mulberryrack_replica::{Lateness, gathering};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const BOUND: Duration = ms(2_000);

#[test]
fn changes_gather_for_a_part_of_the_bound() {
    assert_eq!(gathering(BOUND, Lateness::default()), ms(700));
}

#[test]
fn changes_gather_for_less_while_the_hosts_link_is_full() {
    let way = ms(100);
    let late = Lateness {
        way,
        ..Lateness::default()
    };
    assert_eq!(gathering(BOUND, late), ms(500));
}

#[test]
fn changes_gather_for_less_while_the_bytes_of_answers_take_long() {
    let transfer = ms(100);
    let late = Lateness {
        transfer,
        ..Lateness::default()
    };
    assert_eq!(gathering(BOUND, late), ms(600));
}

#[test]
fn changes_gather_for_less_while_the_thread_is_late() {
    let turn = ms(100);
    let late = Lateness {
        turn,
        ..Lateness::default()
    };
    assert_eq!(gathering(BOUND, late), ms(500));
}

#[test]
fn changes_still_gather_at_a_host_that_is_late_for_all_reasons() {
    let late = Lateness {
        turn: ms(300),
        transfer: ms(300),
        way: ms(300),
    };
    assert_eq!(gathering(BOUND, late), ms(300));
}
