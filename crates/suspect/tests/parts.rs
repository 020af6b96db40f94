//! Parts of prompts that crash upstreams: what they are told from, and when they are refused.

use mulberryrack_core::Time;
use mulberryrack_suspect::{Change, Crash, Limits, Subject, Suspects, Verdict};
use std::time::Duration;

const LIMITS: Limits = Limits {
    crashes_until_refused: 3,
    max_suspects: 64,
    suspicion_period: Duration::from_secs(600),
};
const NOW: Time = Time::from_millis(100_000);
const CULPRIT: Subject = Subject::Part(50);
const SHARED: Subject = Subject::Part(1);
const OTHER: Subject = Subject::Part(2);

fn crash(number: u64) -> Crash {
    Crash {
        upstream: format!("e{number}").into(),
        incarnation: number,
    }
}

/// A host that saw as many crashes, each with another request and these parts.
fn after(crashes: u64, parts: &[Subject]) -> Suspects {
    let mut suspects = Suspects::new(LIMITS);
    for number in 0..crashes {
        crash_with(&mut suspects, number, parts);
    }
    suspects
}

fn crash_with(suspects: &mut Suspects, number: u64, parts: &[Subject]) {
    let request = Subject::Request(1_000 + u128::from(number));
    let subjects = parts.iter().copied().chain([request]);
    suspects.record_crash(NOW, &crash(number), subjects);
}

fn tried(suspects: &mut Suspects, numbers: &[u64], parts: &[Subject]) {
    for number in numbers {
        suspects.record_trial(NOW, &crash(*number), parts);
    }
}

#[test]
fn a_part_of_requests_of_which_no_two_are_alike_is_refused_after_two_trials() {
    let mut suspects = after(4, &[CULPRIT]);
    assert_eq!(suspects.verdict(CULPRIT), Some(Verdict::Contested));
    tried(&mut suspects, &[2], &[CULPRIT]);
    assert!(!suspects.is_refused(CULPRIT));
    tried(&mut suspects, &[3], &[CULPRIT]);
    assert!(suspects.is_refused(CULPRIT));
    for number in 0..4 {
        assert_eq!(suspects.verdict(1_000 + number), None, "explained");
    }
}

#[test]
fn a_part_with_more_crashes_than_are_kept_is_refused_after_its_trials() {
    let mut suspects = after(12, &[CULPRIT]);
    assert_eq!(suspects.verdict(CULPRIT), Some(Verdict::Contested));
    for number in [98, 99] {
        crash_with(&mut suspects, number, &[CULPRIT]);
        tried(&mut suspects, &[number], &[CULPRIT]);
    }
    assert!(suspects.is_refused(CULPRIT));
}

#[test]
fn a_part_is_on_trial_from_the_second_crash_on() {
    let verdicts: Vec<_> = (0..4)
        .map(|crashes| after(crashes, &[CULPRIT]).verdict(CULPRIT))
        .collect();
    let expected = [
        None,
        Some(Verdict::Suspect),
        Some(Verdict::Trial),
        Some(Verdict::Trial),
    ];
    assert_eq!(verdicts, expected);
}

#[test]
fn a_part_with_which_requests_run_to_their_end_is_neither_refused_nor_tried() {
    let mut suspects = after(4, &[SHARED, CULPRIT]);
    suspects.record_completions([(SHARED, NOW)]);
    tried(&mut suspects, &[2, 3], &[SHARED, CULPRIT]);
    assert!(suspects.is_refused(CULPRIT));
    assert_eq!(suspects.verdict(SHARED), None);
}

#[test]
fn a_part_that_begins_to_crash_upstreams_is_refused_although_it_was_sound() {
    let mut suspects = after(5, &[CULPRIT]);
    suspects.record_completions([(CULPRIT, NOW)]);
    tried(&mut suspects, &[3, 4], &[CULPRIT]);
    assert!(suspects.is_refused(CULPRIT));
}

#[test]
fn a_complete_run_clears_a_part_of_the_crashes_before() {
    let mut suspects = after(4, &[CULPRIT]);
    suspects.clear(NOW, CULPRIT);
    assert_eq!(suspects.verdict(CULPRIT), None);
    (10..14).for_each(|number| crash_with(&mut suspects, number, &[CULPRIT]));
    assert_eq!(
        suspects.verdict(CULPRIT),
        Some(Verdict::Trial),
        "lately sound"
    );
}

#[test]
fn a_request_with_all_parts_that_cannot_be_told_apart_is_refused_and_one_with_some_is_tried() {
    let all = [SHARED, OTHER, CULPRIT];
    let mut suspects = after(6, &all);
    assert!(!suspects.is_hopeless(&all), "no trial yet");
    tried(&mut suspects, &[4, 5], &all);
    assert!(suspects.is_hopeless(&all));
    assert!(!suspects.is_hopeless(&[SHARED, OTHER]));
    assert!(!suspects.is_hopeless(&[SHARED, Subject::Part(77)]));
    for part in [SHARED, OTHER] {
        suspects.clear(NOW, part);
    }
    assert!(suspects.is_refused(CULPRIT));
}

#[test]
fn a_sound_part_that_begins_to_crash_upstreams_is_found_however_often_it_was_cleared() {
    let mut suspects = after(0, &[]);
    for number in 0..12 {
        crash_with(&mut suspects, number, &[CULPRIT]);
        suspects.clear(NOW, CULPRIT);
    }
    for number in 50..55 {
        crash_with(&mut suspects, number, &[CULPRIT]);
    }
    tried(&mut suspects, &[53, 54], &[CULPRIT]);
    assert!(suspects.is_refused(CULPRIT));
}

#[test]
fn a_complete_run_clears_a_part_of_all_crashes_under_trial() {
    let mut suspects = after(20, &[CULPRIT]);
    tried(&mut suspects, &[18, 19], &[CULPRIT]);
    assert!(suspects.is_refused(CULPRIT));
    suspects.clear(NOW, CULPRIT);
    assert_eq!(suspects.verdict(CULPRIT), None);
    (30..36).for_each(|number| crash_with(&mut suspects, number, &[CULPRIT]));
    assert!(!suspects.is_refused(CULPRIT), "not tried since");
}

#[test]
fn of_two_parts_that_cannot_be_told_apart_none_is_refused() {
    let mut suspects = after(6, &[SHARED, CULPRIT]);
    tried(&mut suspects, &[4, 5], &[SHARED, CULPRIT]);
    for part in [SHARED, CULPRIT] {
        assert_eq!(suspects.verdict(part), Some(Verdict::Contested));
    }
    suspects.clear(NOW, SHARED);
    assert!(suspects.is_refused(CULPRIT));
    assert_eq!(suspects.verdict(SHARED), None);
}

#[test]
fn a_crash_of_another_cause_does_not_make_the_shared_part_the_cause() {
    let mut suspects = after(4, &[SHARED, CULPRIT]);
    crash_with(&mut suspects, 9, &[SHARED]);
    tried(&mut suspects, &[2, 3], &[SHARED, CULPRIT]);
    assert!(!suspects.is_refused(SHARED));
}

#[test]
fn a_single_request_is_the_narrower_explanation() {
    let mut suspects = Suspects::new(LIMITS);
    for number in 0..2 {
        suspects.record_crash(NOW, &crash(number), [Subject::Request(7), OTHER]);
    }
    assert!(suspects.is_refused(7));
    assert_eq!(suspects.verdict(OTHER), Some(Verdict::Suspect));
}

#[test]
fn crashes_of_requests_that_are_refused_for_others_do_not_count_against_a_part() {
    let mut suspects = after(4, &[OTHER]);
    tried(&mut suspects, &[2, 3], &[OTHER]);
    assert!(suspects.is_refused(OTHER));
    for number in [2, 3, 20, 21] {
        suspects.record_crash(NOW, &crash(number), [Subject::Request(7)]);
    }
    assert!(suspects.is_refused(7));
    assert!(!suspects.is_refused(OTHER));
}

#[test]
fn a_part_and_a_request_with_the_same_number_are_not_mixed_up() {
    let mut there = Suspects::new(LIMITS);
    there.record_crash(NOW, &crash(0), [Subject::Part(7)]);
    let mut here = Suspects::new(LIMITS);
    let news = here.learn(NOW, there.own(NOW).suspicions);
    assert_eq!(news, [Subject::Part(7)]);
    assert!(here.is_suspect(Subject::Part(7)));
    assert!(!here.is_suspect(Subject::Request(7)));
}

#[test]
fn what_is_told_of_a_part_includes_trials_and_complete_runs() {
    let mut there = after(4, &[SHARED, CULPRIT]);
    there.record_completions([(SHARED, NOW)]);
    tried(&mut there, &[2, 3], &[CULPRIT]);
    let mut here = Suspects::new(LIMITS);
    here.learn(NOW, there.own(NOW).suspicions);
    here.learn(NOW, there.export(NOW, SHARED).into_iter().collect());
    assert!(here.is_refused(CULPRIT));
    assert_eq!(here.verdict(SHARED), None);
    assert_eq!(here.digest(), there.digest());
}

#[test]
fn a_refused_part_stays_refused_through_hours_also_at_hosts_that_start_later() {
    let mut suspects = after(4, &[CULPRIT]);
    tried(&mut suspects, &[2, 3], &[CULPRIT]);
    let mut now = NOW;
    while now < NOW + Duration::from_secs(6 * 3_600) {
        now = now + Duration::from_secs(50 * 60);
        suspects.expire(now);
        assert!(suspects.is_refused(CULPRIT), "{now:?}");
        let mut later = Suspects::new(LIMITS);
        later.learn(now, suspects.export(now, CULPRIT).into_iter().collect());
        later.expire(now);
        assert!(later.is_refused(CULPRIT), "{now:?}");
    }
}

#[test]
fn a_refusal_does_not_end_while_the_subject_is_asked_for() {
    for (subject, period) in [
        (Subject::Request(7), LIMITS.suspicion_period),
        (CULPRIT, Duration::from_secs(24 * 3_600)),
    ] {
        let mut suspects = Suspects::new(LIMITS);
        for number in 0..4 {
            suspects.record_crash(NOW, &crash(number), [subject]);
        }
        if subject.is_part() {
            tried(&mut suspects, &[2, 3], &[subject]);
        }
        let mut now = NOW;
        while now < NOW + period * 3 {
            now = now + period / 10;
            suspects.expire(now);
            assert!(suspects.is_refused(subject), "{subject:?} {now:?}");
            suspects.renew(now, subject);
        }
        assert!(suspects.is_witness(subject), "writes the key again");
        suspects.expire(now + period);
        assert!(suspects.is_empty(), "{subject:?}");
    }
}

#[test]
fn each_change_of_a_verdict_is_told_once() {
    let mut suspects = after(2, &[CULPRIT]);
    let change = |from, to| Change {
        subject: CULPRIT,
        from,
        to,
    };
    let to_trial = change(Some(Verdict::Suspect), Some(Verdict::Trial));
    assert_eq!(suspects.take_changes(), [to_trial]);
    suspects.clear(NOW, CULPRIT);
    assert_eq!(
        suspects.take_changes(),
        [change(Some(Verdict::Trial), None)]
    );
    assert_eq!(suspects.take_changes(), []);
}
