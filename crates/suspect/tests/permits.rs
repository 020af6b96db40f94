//! Which requests with subjects on trial may run.

use mulberryrack_core::Time;
use mulberryrack_suspect::{Answer, Crash, Holder, Limits, Permits, Subject, Suspects};
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);
const REQUEST: [Subject; 1] = [Subject::Request(7)];
const PART: [Subject; 1] = [Subject::Part(7)];

fn suspects() -> Suspects {
    Suspects::new(Limits {
        crashes_until_refused: 3,
        max_suspects: 64,
        suspicion_period: Duration::from_secs(600),
    })
}

fn holder(number: u64) -> Holder {
    Holder {
        host: "h".into(),
        number,
    }
}

/// Numbers of those of five holders that get a permit one after the other.
fn granted(
    permits: &mut Permits,
    now: Time,
    suspects: &Suspects,
    subjects: &[Subject],
) -> Vec<u64> {
    let mut acquire = |number: &u64| {
        permits.acquire(now, suspects, &holder(*number), subjects) == Answer::Granted
    };
    (0..5).filter(|number| acquire(number)).collect()
}

#[test]
fn a_request_runs_at_one_place_and_a_part_at_two() {
    let suspects = suspects();
    let mut permits = Permits::default();
    assert_eq!(granted(&mut permits, NOW, &suspects, &REQUEST), [0]);
    assert_eq!(granted(&mut permits, NOW, &suspects, &PART), [0, 1]);
}

#[test]
fn a_holder_that_asks_again_keeps_its_permit() {
    let suspects = suspects();
    let mut permits = Permits::default();
    for _ in 0..3 {
        assert_eq!(granted(&mut permits, NOW, &suspects, &REQUEST), [0]);
    }
}

#[test]
fn a_permit_ends_with_its_release_and_with_its_time() {
    let suspects = suspects();
    let mut permits = Permits::default();
    assert_eq!(granted(&mut permits, NOW, &suspects, &REQUEST), [0]);
    assert!(!permits.release(&holder(1)), "holds none");
    assert!(permits.release(&holder(0)));
    let next = holder(1);
    assert_eq!(
        permits.acquire(NOW, &suspects, &next, &REQUEST),
        Answer::Granted
    );
    let late = NOW + Duration::from_secs(6);
    assert_eq!(granted(&mut permits, late, &suspects, &REQUEST), [0]);
}

#[test]
fn a_permit_ends_with_news_of_a_crash_of_its_subject() {
    let mut suspects = suspects();
    let mut permits = Permits::default();
    assert_eq!(granted(&mut permits, NOW, &suspects, &PART), [0, 1]);
    let crash = Crash {
        upstream: "e".into(),
        incarnation: 1,
    };
    suspects.record_crash(NOW, &crash, PART);
    let next = holder(9);
    assert_eq!(
        permits.acquire(NOW, &suspects, &next, &PART),
        Answer::Granted
    );
}

#[test]
fn a_request_gets_the_permits_on_all_of_its_subjects_or_on_none() {
    let suspects = suspects();
    let mut permits = Permits::default();
    let first = holder(0);
    permits.acquire(NOW, &suspects, &first, &REQUEST);
    let both = [REQUEST[0], PART[0]];
    let second = holder(1);
    assert_eq!(
        permits.acquire(NOW, &suspects, &second, &both),
        Answer::Held
    );
    assert_eq!(granted(&mut permits, NOW, &suspects, &PART), [0, 1]);
}

#[test]
fn no_permit_is_given_on_what_is_refused() {
    let mut suspects = suspects();
    for number in 0..2 {
        let crash = Crash {
            upstream: format!("e{number}").into(),
            incarnation: number,
        };
        suspects.record_crash(NOW, &crash, REQUEST);
    }
    let answer = Permits::default().acquire(NOW, &suspects, &holder(0), &REQUEST);
    assert_eq!(answer, Answer::Refused);
}
