//! The table: accepted once, in force everywhere, never back.

mod common;

use common::{Fleet, Mode, edited, host, rows};
use mulberryrack_member::Verdict;
use std::time::Duration;

const WON: Option<&Verdict> = Some(&Verdict::Won { version: 2 });

#[test]
fn first_table_reaches_every_host() {
    let mut fleet = Fleet::new(9, 1);
    fleet.settle(rows(40, 1));
    assert!(fleet.whole());
    fleet.assert_monotonic();
}

#[test]
fn accepted_table_is_in_force_within_four_seconds_despite_loss_and_dead_watchers() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        fleet.settle(rows(40, 1));
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
        fleet.accept(&acceptor, 2, 1, "second", edited(40, 7, 5));
        fleet.run_ms(4_000);
        assert_eq!(fleet.verdict(&acceptor, 2), WON, "seed {seed}");
        assert!(fleet.all_at(2), "seed {seed}: {:?}", fleet.versions());
    }
}

#[test]
fn racing_operators_get_one_winner_and_one_refusal() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(4, seed);
        fleet.settle(rows(40, 1));
        let (a, b) = (host(1), host(2));
        fleet.accept(&a, 2, 1, "left", edited(40, 3, 5));
        fleet.accept(&b, 2, 1, "right", edited(40, 4, 6));
        fleet.run_ms(4_000);
        let verdicts = [fleet.verdict(&a, 2), fleet.verdict(&b, 2)];
        let won = verdicts.iter().filter(|verdict| **verdict == WON).count();
        let lost = verdicts
            .iter()
            .filter(
                |verdict| matches!(verdict, Some(Verdict::Lost { winner }) if winner.version == 2),
            )
            .count();
        assert_eq!((won, lost), (1, 1), "seed {seed}: {verdicts:?}");
        assert!(fleet.all_at(2));
    }
}

#[test]
fn lost_answer_of_the_winning_write_is_still_won() {
    let mut fleet = Fleet::new(3, 5);
    fleet.settle(rows(40, 1));
    fleet.set_mode(Mode::LosesAnswers);
    fleet.accept(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(5_500);
    assert_eq!(fleet.verdict(&host(0), 2), WON);
    assert!(fleet.all_at(2));
}

#[test]
fn same_change_asked_again_gets_the_same_result() {
    let mut fleet = Fleet::new(3, 6);
    fleet.settle(rows(40, 1));
    fleet.accept(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(1_000);
    fleet.accept(&host(1), 3, 2, "third", edited(40, 3, 6));
    fleet.run_ms(1_000);
    // Through another host, after a later change.
    fleet.accept(&host(2), 4, 1, "second", edited(40, 3, 5));
    fleet.accept(&host(2), 5, 1, "other", edited(40, 3, 9));
    fleet.run_ms(3_000);
    assert_eq!(fleet.verdict(&host(2), 4), WON);
    let lost = fleet.verdict(&host(2), 5);
    assert!(matches!(lost, Some(Verdict::Lost { winner }) if winner.version == 3));
    assert!(fleet.all_at(3));
}

#[test]
fn refusal_during_an_outage_is_true() {
    let mut fleet = Fleet::new(3, 7);
    fleet.settle(rows(40, 1));
    fleet.set_mode(Mode::Down);
    fleet.accept(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(6_000);
    assert_eq!(fleet.verdict(&host(0), 2), Some(&Verdict::NotWritten));
    fleet.set_mode(Mode::Up);
    fleet.run_ms(30_000);
    assert!(fleet.all_at(1));
}

#[test]
fn silent_service_leaves_a_proposal_unwritten_or_unknown() {
    let mut fleet = Fleet::new(3, 8);
    fleet.settle(rows(40, 1));
    fleet.set_mode(Mode::Silent);
    fleet.accept(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(6_000);
    // No write was sent: the head could not be read.
    assert_eq!(fleet.verdict(&host(0), 2), Some(&Verdict::NotWritten));
}

#[test]
fn version_spreads_by_peers_when_the_service_fails_right_after_the_write() {
    let mut fleet = Fleet::new(9, 9);
    fleet.settle(rows(40, 1));
    fleet.accept(&host(4), 2, 1, "second", edited(40, 3, 5));
    while fleet.verdict(&host(4), 2).is_none() {
        fleet.run(Duration::from_micros(100));
    }
    fleet.set_mode(Mode::Down);
    fleet.run_ms(4_000);
    assert!(fleet.all_at(2), "{:?}", fleet.versions());
}

#[test]
fn no_host_goes_back_through_restarts_and_a_stale_service() {
    let mut fleet = Fleet::new(5, 10);
    fleet.settle(rows(40, 1));
    fleet.set_mode(Mode::Stale);
    fleet.accept(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(4_000);
    assert_eq!(fleet.verdict(&host(0), 2), WON);
    assert!(fleet.all_at(2));
    for index in 0..5 {
        let name = host(index);
        let centre = fleet.node(&name).centre.clone();
        fleet.kill(&name);
        fleet.start(&name, &centre);
        fleet.run_ms(3_000);
        assert!(fleet.all_at(2), "{:?}", fleet.versions());
    }
    fleet.assert_monotonic();
}

#[test]
fn all_hosts_replaced_at_once_recover_from_the_service() {
    let mut fleet = Fleet::new(9, 11);
    fleet.settle(rows(900, 1));
    for version in 2..=70 {
        let share = u32::try_from(version).unwrap();
        fleet.accept(
            &host(0),
            version,
            version - 1,
            &format!("c{version}"),
            edited(900, 3, share),
        );
        fleet.run_ms(1_500);
    }
    assert!(fleet.all_at(70), "{:?}", fleet.versions());
    let table = fleet.node(&host(0)).member.table();
    for name in fleet.names() {
        fleet.kill(&name);
    }
    fleet.run_ms(1_000);
    for index in 0..9 {
        fleet.start(&host(index), common::CENTRES[index % 3]);
    }
    fleet.run_ms(4_000);
    for name in fleet.names() {
        assert_eq!(fleet.node(&name).member.table(), table);
    }
}

#[test]
fn history_is_kept_and_trimmed() {
    let mut fleet = Fleet::new(2, 12);
    fleet.settle(rows(8, 1));
    for version in 2..=260 {
        let share = u32::try_from(version).unwrap();
        fleet.accept(
            &host(0),
            version,
            version - 1,
            &format!("c{version}"),
            edited(8, 3, share),
        );
        fleet.run_ms(1_000);
    }
    assert!(fleet.all_at(260));
    let read = |ticket, version| mulberryrack_member::Input::Read { ticket, version };
    fleet.tell(&host(1), read(900, None));
    fleet.tell(&host(1), read(901, Some(170)));
    fleet.tell(&host(1), read(902, Some(3)));
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
    fleet.settle(rows(40, 1));
    let all = fleet.names();
    fleet.part(&[host(8)], &all);
    fleet.cut_service.insert(host(8));
    fleet.accept(&host(0), 2, 1, "second", edited(40, 3, 5));
    fleet.run_ms(2_000);
    let progress = fleet.node(&host(0)).member.progress();
    let behind: Vec<_> = progress
        .hosts
        .iter()
        .filter(|(_, version)| *version < 2)
        .collect();
    assert_eq!(progress.hosts.len(), 9);
    assert_eq!(behind, [&(host(8), 1)]);
    fleet.cut.clear();
    fleet.run_ms(4_000);
    let progress = fleet.node(&host(0)).member.progress();
    assert!(progress.hosts.iter().all(|(_, version)| *version == 2));
}

#[test]
fn large_release_reaches_every_host_in_bounded_frames() {
    for loss in [0.0, 0.2] {
        let mut fleet = Fleet::new(9, 14);
        fleet.settle(rows(3_000, 1));
        fleet.loss = loss;
        fleet.accept(&host(0), 2, 1, "release", rows(3_000, 2));
        fleet.run_ms(4_000);
        assert!(fleet.all_at(2), "{loss}: {:?}", fleet.versions());
        assert!(fleet.largest_frame < 64 * 1_024);
    }
}

#[test]
fn rows_out_of_order_are_not_written() {
    let mut fleet = Fleet::new(2, 15);
    fleet.settle(rows(8, 1));
    let mut wrong = rows(8, 2);
    wrong.swap(0, 1);
    fleet.accept(&host(0), 2, 1, "wrong", wrong);
    fleet.run_ms(100);
    assert_eq!(fleet.verdict(&host(0), 2), Some(&Verdict::NotWritten));
}

#[test]
fn hundred_thousand_changes_a_day_arrive_within_four_seconds_each() {
    // A change every 864 ms, through changing hosts.
    let mut fleet = Fleet::new(9, 16);
    fleet.settle(rows(40, 1));
    fleet.loss = 0.05;
    for version in 2..60 {
        let share = u32::try_from(version).unwrap();
        let at = host(usize::try_from(version).unwrap() % 9);
        fleet.accept(
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
    assert!(fleet.all_at(59), "{:?}", fleet.versions());
    fleet.assert_monotonic();
}
