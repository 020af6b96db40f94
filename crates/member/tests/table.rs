//! Table versions: each is accepted at most once, comes into force on every host, and is
//! never followed by a lower one.

mod common;

use common::{Fleet, ServiceMode, edited, host, rows};
use mulberryrack_member::{Input, ProposalOutcome, record};
use mulberryrack_wire::member::{self as wire, frame::Body};
use std::time::Duration;

const ACCEPTED: Option<&ProposalOutcome> = Some(&ProposalOutcome::Accepted { version: 2 });

#[test]
fn first_table_reaches_every_host() {
    let mut fleet = Fleet::new(9, 1);
    fleet.accept_first_table(rows(40, 1));
    assert!(fleet.all_alive());
    fleet.assert_monotonic();
}

#[test]
fn accepted_table_is_in_force_within_four_seconds_despite_loss_and_dead_watchers() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        fleet.accept_first_table(rows(40, 1));
        fleet.run_ms(2_000);
        let acceptor = host(0);
        let watchers: Vec<_> = fleet
            .names()
            .into_iter()
            .filter(|name| *name != acceptor)
            .filter(|name| {
                let recent = fleet.now.as_micros() - 2_500_000;
                let calls = &fleet.node(name).calls;
                calls.last().is_some_and(|at| at.as_micros() > recent)
            })
            .take(3)
            .collect();
        assert!(!watchers.is_empty());
        for name in &watchers {
            fleet.kill(name);
        }
        fleet.loss = 0.2;
        fleet.propose(&acceptor, 2, 1, "second", edited(40, 7, 5));
        fleet.run_ms(4_000);
        assert_eq!(fleet.outcome(&acceptor, 2), ACCEPTED, "seed {seed}");
        assert!(
            fleet.all_have_version(2),
            "seed {seed}: {:?}",
            fleet.versions()
        );
    }
}

#[test]
fn concurrent_proposals_get_one_acceptance_and_one_conflict() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(4, seed);
        fleet.accept_first_table(rows(40, 1));
        let (a, b) = (host(1), host(2));
        fleet.propose(&a, 2, 1, "left", edited(40, 3, 5));
        fleet.propose(&b, 2, 1, "right", edited(40, 4, 6));
        fleet.run_ms(4_000);
        let outcomes = [fleet.outcome(&a, 2), fleet.outcome(&b, 2)];
        let won = outcomes
            .iter()
            .filter(|outcome| **outcome == ACCEPTED)
            .count();
        let lost = outcomes
            .iter()
            .filter(
                |outcome| matches!(outcome, Some(ProposalOutcome::Conflict { winner }) if winner.version == 2),
            )
            .count();
        assert_eq!((won, lost), (1, 1), "seed {seed}: {outcomes:?}");
        assert!(fleet.all_have_version(2));
    }
}

#[test]
fn proposal_is_accepted_when_the_answer_to_its_write_is_lost() {
    let mut fleet = Fleet::new(3, 5);
    fleet.accept_first_table(rows(40, 1));
    fleet.set_mode(ServiceMode::LosesAnswers);
    fleet.propose(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(5_500);
    assert_eq!(fleet.outcome(&host(0), 2), ACCEPTED);
    assert!(fleet.all_have_version(2));
}

#[test]
fn repeated_change_gets_the_same_outcome() {
    let mut fleet = Fleet::new(3, 6);
    fleet.accept_first_table(rows(40, 1));
    fleet.propose(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(1_000);
    fleet.propose(&host(1), 3, 2, "third", edited(40, 3, 6));
    fleet.run_ms(1_000);
    // Repeat the change through another host, after a later change.
    fleet.propose(&host(2), 4, 1, "second", edited(40, 3, 5));
    fleet.propose(&host(2), 5, 1, "other", edited(40, 3, 9));
    fleet.run_ms(3_000);
    assert_eq!(fleet.outcome(&host(2), 4), ACCEPTED);
    let lost = fleet.outcome(&host(2), 5);
    assert!(matches!(lost, Some(ProposalOutcome::Conflict { winner }) if winner.version == 3));
    assert!(fleet.all_have_version(3));
}

#[test]
fn proposal_refused_in_an_outage_is_never_written() {
    let mut fleet = Fleet::new(3, 7);
    fleet.accept_first_table(rows(40, 1));
    fleet.set_mode(ServiceMode::Down);
    fleet.propose(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(6_000);
    assert_eq!(
        fleet.outcome(&host(0), 2),
        Some(&ProposalOutcome::NotWritten)
    );
    fleet.set_mode(ServiceMode::Up);
    fleet.run_ms(30_000);
    assert!(fleet.all_have_version(1));
}

#[test]
fn proposal_is_not_written_when_the_service_never_answers() {
    let mut fleet = Fleet::new(3, 8);
    fleet.accept_first_table(rows(40, 1));
    fleet.set_mode(ServiceMode::Silent);
    fleet.propose(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(6_000);
    // The newest version could not be read, so no write was sent.
    assert_eq!(
        fleet.outcome(&host(0), 2),
        Some(&ProposalOutcome::NotWritten)
    );
}

#[test]
fn version_spreads_by_peers_when_the_service_fails_right_after_the_write() {
    let mut fleet = Fleet::new(9, 9);
    fleet.accept_first_table(rows(40, 1));
    fleet.propose(&host(4), 2, 1, "second", edited(40, 3, 5));
    while fleet.outcome(&host(4), 2).is_none() {
        fleet.run(Duration::from_micros(100));
    }
    fleet.set_mode(ServiceMode::Down);
    fleet.run_ms(4_000);
    assert!(fleet.all_have_version(2), "{:?}", fleet.versions());
}

#[test]
fn no_host_reverts_through_restarts_and_a_stale_service() {
    let mut fleet = Fleet::new(5, 10);
    fleet.accept_first_table(rows(40, 1));
    fleet.set_mode(ServiceMode::Stale);
    fleet.propose(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(4_000);
    assert_eq!(fleet.outcome(&host(0), 2), ACCEPTED);
    assert!(fleet.all_have_version(2));
    for index in 0..5 {
        let name = host(index);
        let data_centre = fleet.node(&name).data_centre.clone();
        fleet.kill(&name);
        fleet.start(&name, &data_centre);
        fleet.run_ms(3_000);
        assert!(fleet.all_have_version(2), "{:?}", fleet.versions());
    }
    fleet.assert_monotonic();
}

#[test]
fn hosts_that_all_restart_at_once_recover_from_the_service() {
    let mut fleet = Fleet::new(9, 11);
    fleet.accept_first_table(rows(900, 1));
    for version in 2..=70 {
        let share = u32::try_from(version).unwrap();
        fleet.propose(
            &host(0),
            version,
            version - 1,
            &format!("c{version}"),
            edited(900, 3, share),
        );
        fleet.run_ms(1_500);
    }
    assert!(fleet.all_have_version(70), "{:?}", fleet.versions());
    let table = fleet.node(&host(0)).member.table();
    for name in fleet.names() {
        fleet.kill(&name);
    }
    fleet.run_ms(1_000);
    for index in 0..9 {
        fleet.start(&host(index), common::DATA_CENTRES[index % 3]);
    }
    fleet.run_ms(4_000);
    for name in fleet.names() {
        assert_eq!(fleet.node(&name).member.table(), table);
    }
}

#[test]
fn history_is_kept_and_trimmed() {
    let mut fleet = Fleet::new(2, 12);
    fleet.accept_first_table(rows(8, 1));
    for version in 2..=260 {
        let share = u32::try_from(version).unwrap();
        fleet.propose(
            &host(0),
            version,
            version - 1,
            &format!("c{version}"),
            edited(8, 3, share),
        );
        fleet.run_ms(1_000);
    }
    assert!(fleet.all_have_version(260));
    let read = |ticket, version| Input::Read { ticket, version };
    fleet.input(&host(1), read(900, None));
    fleet.input(&host(1), read(901, Some(170)));
    fleet.input(&host(1), read(902, Some(3)));
    fleet.run_ms(3_000);
    let reads = &fleet.node(&host(1)).reads;
    let history = reads[&900].as_ref().expect("history");
    assert_eq!(history.len(), 100);
    assert_eq!((history[0].version, history[99].version), (260, 161));
    let found = reads[&901].as_ref().expect("one version");
    assert_eq!(found[0].rows[3].share, 170);
    assert_eq!(reads[&902], Some(Vec::new()), "version 3 was dropped");
}

#[test]
fn progress_names_the_host_that_is_behind() {
    let mut fleet = Fleet::new(9, 13);
    fleet.accept_first_table(rows(40, 1));
    let all = fleet.names();
    fleet.partition(&[host(8)], &all);
    fleet.hosts_without_service.insert(host(8));
    fleet.propose(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(2_000);
    let progress = fleet.node(&host(0)).member.progress();
    let behind: Vec<_> = progress
        .hosts
        .iter()
        .filter(|(_, version)| *version < 2)
        .collect();
    assert_eq!(progress.hosts.len(), 9);
    assert_eq!(behind, [&(host(8), 1)]);
    fleet.cut_links.clear();
    fleet.run_ms(4_000);
    let progress = fleet.node(&host(0)).member.progress();
    assert!(progress.hosts.iter().all(|(_, version)| *version == 2));
}

#[test]
fn large_release_reaches_every_host_in_bounded_frames() {
    for loss in [0.0, 0.2] {
        let mut fleet = Fleet::new(9, 14);
        fleet.accept_first_table(rows(3_000, 1));
        fleet.loss = loss;
        fleet.propose(&host(0), 2, 1, "release", rows(3_000, 2));
        fleet.run_ms(4_000);
        assert!(fleet.all_have_version(2), "{loss}: {:?}", fleet.versions());
        assert!(fleet.largest_frame < 64 * 1_024);
    }
}

#[test]
fn rows_out_of_order_are_not_written() {
    let mut fleet = Fleet::new(2, 15);
    fleet.accept_first_table(rows(8, 1));
    let mut wrong = rows(8, 2);
    wrong.swap(0, 1);
    fleet.propose(&host(0), 2, 1, "wrong", wrong);
    fleet.run_ms(100);
    assert_eq!(
        fleet.outcome(&host(0), 2),
        Some(&ProposalOutcome::NotWritten)
    );
}

#[test]
fn hundred_thousand_changes_a_day_arrive_within_four_seconds_each() {
    // One change every 864 ms, proposed at different hosts.
    let mut fleet = Fleet::new(9, 16);
    fleet.accept_first_table(rows(40, 1));
    fleet.loss = 0.05;
    for version in 2..60 {
        let share = u32::try_from(version).unwrap();
        let at = host(usize::try_from(version).unwrap() % 9);
        fleet.propose(
            &at,
            version,
            version - 1,
            &format!("c{version}"),
            edited(40, 3, share),
        );
        fleet.run_ms(864);
        assert!(fleet.versions().iter().all(|it| it + 4 > version));
    }
    fleet.run_ms(3_000);
    assert!(fleet.all_have_version(59), "{:?}", fleet.versions());
    fleet.assert_monotonic();
}

#[test]
fn stale_peer_does_not_bring_an_old_version_back() {
    let mut fleet = Fleet::new(3, 17);
    fleet.accept_first_table(rows(40, 1));
    let old = fleet.node(&host(0)).member.table().expect("in force");
    fleet.propose(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(2_000);
    assert!(fleet.all_have_version(2));
    let record = record::full(&old);
    let push = wire::TablePush {
        record: Some(record.clone()),
    };
    let page = wire::TablePage {
        head: Some(wire::Record {
            rows: Vec::new(),
            ..record.clone()
        }),
        total: 40,
        rows: record.rows.clone(),
        ..wire::TablePage::default()
    };
    for body in [Body::TablePush(push), Body::TablePage(page)] {
        let frame = wire::Frame { body: Some(body) };
        let input = Input::Frame {
            from: host(1),
            incarnation: fleet.node(&host(1)).life,
            frame,
        };
        fleet.input(&host(0), input);
    }
    fleet.run_ms(2_000);
    assert!(fleet.all_have_version(2));
    fleet.assert_monotonic();
}

#[test]
fn stale_service_does_not_confirm_the_table() {
    let mut fleet = Fleet::new(12, 18);
    fleet.accept_first_table(rows(40, 1));
    fleet.set_mode(ServiceMode::Stale);
    fleet.propose(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(2_000);
    assert!(fleet.all_have_version(2));
    // Every host now polls a service that shows version 1.
    fleet.run_ms(60_000);
    for node in fleet.nodes.values() {
        assert!(!node.member.is_current(fleet.now));
    }
    fleet.set_mode(ServiceMode::Up);
    fleet.run_ms(30_000);
    for node in fleet.nodes.values() {
        assert!(node.member.is_current(fleet.now));
    }
}

fn confirmed(fleet: &Fleet, at: &str, version: u64) -> bool {
    let progress = fleet.node(at).member.progress();
    let all = progress.hosts.len() == fleet.nodes.len();
    all && progress.hosts.iter().all(|(_, it)| *it == version)
}

#[test]
fn every_host_confirms_to_the_accepting_host_within_a_second() {
    let mut fleet = Fleet::new(60, 19);
    fleet.run_ms(10_000);
    fleet.accept_first_table(rows(8, 1));
    fleet.propose(&host(0), 2, 1, "second", edited(8, 3, 5));
    fleet.run_ms(1_000);
    assert!(confirmed(&fleet, &host(0), 2));
}

#[test]
fn accepting_host_probes_hosts_whose_confirmation_was_lost() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(60, seed);
        fleet.run_ms(10_000);
        fleet.accept_first_table(rows(8, 1));
        fleet.loss = 0.2;
        fleet.propose(&host(0), 2, 1, "second", edited(8, 3, 5));
        fleet.run_ms(4_000);
        assert!(confirmed(&fleet, &host(0), 2), "seed {seed}");
    }
}
