//! Which fingerprints are refused, and how evidence is merged, cleared and dropped.

use mulberryrack_core::Time;
use mulberryrack_suspect::{Crash, Limits, Subject, Suspects};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const LIMITS: Limits = Limits {
    crashes_until_refused: 3,
    max_suspects: 64,
    suspicion_period: Duration::from_secs(600),
};
const NOW: Time = Time::from_millis(1_000);
const CULPRIT: u128 = 1;

fn crash(number: u64) -> Crash {
    Crash {
        upstream: format!("e{number}").into(),
        incarnation: number,
    }
}

fn suspects() -> Suspects {
    Suspects::new(LIMITS)
}

/// Records crashes, each with the fingerprints that were in flight.
fn after(crashes: &[&[u128]]) -> Suspects {
    let mut suspects = suspects();
    for (number, fingerprints) in (0..).zip(crashes) {
        suspects.record_crash(NOW, &crash(number), fingerprints.iter().copied());
    }
    suspects
}

fn refused(suspects: &Suspects) -> Vec<u128> {
    suspects.refused().map(Subject::id).collect()
}

#[test]
fn one_crash_refuses_nothing() {
    assert_eq!(refused(&after(&[&[CULPRIT]])), []);
}

#[test]
fn the_only_request_in_flight_on_two_crashes_is_refused() {
    assert_eq!(refused(&after(&[&[CULPRIT, 2], &[CULPRIT, 3]])), [CULPRIT]);
}

#[test]
fn of_several_requests_in_flight_on_two_crashes_none_is_refused() {
    assert_eq!(refused(&after(&[&[CULPRIT, 2], &[CULPRIT, 2]])), []);
}

#[test]
fn the_third_crash_clears_the_requests_that_were_beside_the_culprit_twice() {
    let beside: &[u128] = &[CULPRIT, 2, 3];
    assert_eq!(refused(&after(&[beside, beside, &[CULPRIT]])), [CULPRIT]);
    assert_eq!(
        refused(&after(&[beside, beside, &[CULPRIT, 2], &[CULPRIT]])),
        [CULPRIT]
    );
}

#[test]
fn two_culprits_are_both_refused() {
    assert_eq!(
        refused(&after(&[&[1, 3], &[1], &[1], &[2, 3], &[2]])),
        [1, 2]
    );
}

#[test]
fn a_crash_seen_by_several_hosts_counts_once() {
    let (mut one, mut two) = (suspects(), suspects());
    one.record_crash(NOW, &crash(1), [CULPRIT]);
    two.record_crash(NOW, &crash(1), [CULPRIT]);
    let news = one.learn(NOW, two.own(NOW).suspicions);
    assert_eq!((news, refused(&one)), (vec![], vec![]));
}

#[test]
fn a_complete_run_clears_a_request_until_it_crashes_others() {
    let mut suspects = after(&[&[CULPRIT], &[CULPRIT]]);
    suspects.clear(NOW, CULPRIT);
    assert!(!suspects.is_suspect(CULPRIT) && !suspects.is_refused(CULPRIT));
    suspects.record_crash(NOW, &crash(7), [CULPRIT]);
    assert!(suspects.is_suspect(CULPRIT) && !suspects.is_refused(CULPRIT));
    suspects.record_crash(NOW, &crash(8), [CULPRIT]);
    assert!(suspects.is_refused(CULPRIT));
}

#[test]
fn a_withdrawn_crash_counts_against_nobody() {
    let mut suspects = after(&[&[CULPRIT, 2], &[CULPRIT]]);
    assert_eq!(
        suspects.withdraw(NOW, &crash(0)),
        [CULPRIT, 2].map(Subject::Request)
    );
    assert_eq!(refused(&suspects), []);
    assert!(suspects.is_suspect(CULPRIT) && !suspects.is_suspect(2));
}

#[test]
fn evidence_expires_also_while_hosts_repeat_it_to_each_other() {
    let (mut one, mut two) = (after(&[&[CULPRIT], &[CULPRIT]]), suspects());
    let mut now = NOW;
    while now < NOW + LIMITS.suspicion_period {
        assert!(one.is_refused(CULPRIT));
        now = now + Duration::from_secs(10);
        two.learn(now, one.export(now, CULPRIT).into_iter().collect());
        one.learn(now, two.export(now, CULPRIT).into_iter().collect());
        one.expire(now);
    }
    let late = now + Duration::from_secs(10);
    for suspects in [&mut one, &mut two] {
        suspects.expire(late);
        assert!(suspects.is_empty());
    }
}

#[test]
fn the_number_of_suspects_is_bounded_and_the_refused_ones_are_kept() {
    let mut suspects = after(&[&[CULPRIT], &[CULPRIT], &[CULPRIT]]);
    suspects.record_crash(NOW, &crash(9), 1_000_u128..2_000);
    assert_eq!(suspects.subjects().count(), LIMITS.max_suspects);
    assert!(suspects.is_refused(CULPRIT));
}

#[test]
fn requests_in_flight_on_a_crash_do_not_displace_parts_nor_parts_requests() {
    let mut suspects = after(&[&[CULPRIT]]);
    suspects.record_crash(NOW, &crash(0), [Subject::Part(CULPRIT)]);
    let later = NOW + Duration::from_secs(1);
    suspects.record_crash(later, &crash(9), 1_000_u128..2_000);
    assert!(suspects.is_suspect(Subject::Part(CULPRIT)));
    assert!(!suspects.is_suspect(CULPRIT), "displaced by later ones");
    suspects.record_crash(later, &crash(9), (1_000..2_000).map(Subject::Part));
    let requests = suspects.subjects().filter(|subject| !subject.is_part());
    assert_eq!(requests.count(), LIMITS.max_suspects);
    assert_eq!(suspects.subjects().count(), LIMITS.max_suspects * 2);
}

/// Four hosts with evidence of their own on up to `crashes` crashes, and the time after them.
fn hosts_with_evidence(rng: &mut ChaCha8Rng, crashes: u64) -> (Vec<Suspects>, Time) {
    let mut hosts: Vec<Suspects> = (0..4).map(|_| suspects()).collect();
    let mut now = NOW;
    for number in 0..rng.random_range(1..crashes) {
        now = now + Duration::from_millis(1);
        let fingerprints = (0..rng.random_range(1..4)).map(|_| rng.random_range(0..6));
        let fingerprints: Vec<u128> = fingerprints.collect();
        let host = rng.random_range(0..hosts.len());
        hosts[host].record_crash(now, &crash(number), fingerprints);
        if rng.random_bool(0.2) {
            let fingerprint = rng.random_range(0..6);
            hosts[host].clear(now + Duration::from_micros(500), fingerprint);
        }
    }
    (hosts, now + Duration::from_millis(1))
}

fn assert_agreed(hosts: &[Suspects], seed: u64) {
    for host in hosts {
        assert_eq!(host.digest(), hosts[0].digest(), "seed {seed}");
        assert_eq!(refused(host), refused(&hosts[0]), "seed {seed}");
    }
}

#[test]
fn the_order_in_which_evidence_arrives_does_not_matter() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut hosts, now) = hosts_with_evidence(&mut rng, 12);
        let mut told: Vec<_> = hosts.iter().map(|host| host.own(now).suspicions).collect();
        for host in &mut hosts {
            told.shuffle(&mut rng);
            for suspicions in &told {
                host.learn(now, suspicions.clone());
            }
        }
        assert_agreed(&hosts, seed);
    }
}

#[test]
fn hosts_that_repeat_evidence_on_more_crashes_than_are_kept_have_no_news_in_the_end() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut hosts, mut now) = hosts_with_evidence(&mut rng, 60);
        let withdrawn = rng.random_range(0..60);
        for host in &mut hosts {
            host.withdraw(now, &crash(withdrawn));
        }
        let mut news = 0;
        for _ in 0..4 {
            news = 0;
            now = now + Duration::from_millis(1);
            for from in 0..hosts.len() {
                let subjects: Vec<Subject> = hosts[from].subjects().collect();
                let told = |subject| hosts[from].export(now, subject);
                let told: Vec<_> = subjects.into_iter().filter_map(told).collect();
                for host in &mut hosts {
                    news += host.learn(now, told.clone()).len();
                }
            }
        }
        assert_eq!(news, 0, "seed {seed}");
        assert_agreed(&hosts, seed);
    }
}

#[test]
fn unreadable_evidence_is_ignored() {
    let mut suspects = suspects();
    let mut suspicion = after(&[&[CULPRIT]])
        .export(NOW, CULPRIT)
        .expect("just recorded");
    suspicion.fingerprint = vec![1, 2, 3].into();
    assert_eq!(suspects.learn(NOW, vec![suspicion]), []);
    let empty = mulberryrack_wire::route::Suspicion {
        fingerprint: CULPRIT.to_le_bytes().to_vec().into(),
        ..Default::default()
    };
    assert_eq!(suspects.learn(NOW, vec![empty]), []);
    assert!(suspects.is_empty());
}
