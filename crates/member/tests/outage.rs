//! Each function of the area against each fault of the key-value service; the matrix is
//! in `docs/table.md`.

mod common;

use common::{CENTRES, Fleet, Mode, edited, host, rows};
use mulberryrack_core::{
    outcome::Reason,
    view::{Standing, Value},
};
use mulberryrack_member::{Currency, Input, Settings, Verdict};
use std::time::Duration;

/// Every fault; the first slowness is within the bound on a call, the second beyond.
fn modes() -> [Mode; 6] {
    [
        Mode::Down,
        Mode::Silent,
        Mode::Slow(Duration::from_millis(900)),
        Mode::Slow(Duration::from_secs(8)),
        Mode::Stale,
        Mode::LosesAnswers,
    ]
}

fn settled(seed: u64, mode: &Mode) -> Fleet {
    let mut fleet = Fleet::new(6, seed);
    fleet.settle(rows(40, 1));
    fleet.set_mode(mode.clone());
    fleet
}

fn is_unreachable(mode: &Mode) -> bool {
    matches!(mode, Mode::Down | Mode::Silent) || *mode == Mode::Slow(Duration::from_secs(8))
}

#[test]
fn addresses_are_given_through_ten_minutes_of_each_fault() {
    for mode in modes() {
        let mut fleet = settled(1, &mode);
        for _ in 0..60 {
            fleet.run_ms(10_000);
            for name in fleet.names() {
                assert!(fleet.address(&name, "row-0001").is_ok(), "{mode:?}");
                assert!(fleet.node(&name).member.ready(fleet.now), "{mode:?}");
            }
        }
        let wanted = if is_unreachable(&mode) {
            Currency::Unconfirmed
        } else {
            Currency::Confirmed
        };
        for node in fleet.nodes.values() {
            assert_eq!(node.member.currency(fleet.now), wanted, "{mode:?}");
        }
    }
}

#[test]
fn accept_says_the_truth_in_each_fault() {
    for mode in modes() {
        let mut fleet = settled(2, &mode);
        fleet.accept(&host(1), 2, 1, "second", edited(40, 3, 5));
        fleet.run_ms(6_000);
        let verdict = fleet.verdict(&host(1), 2).expect("an end in time").clone();
        let wanted = match &mode {
            Mode::Down | Mode::Silent => Verdict::NotWritten,
            mode if is_unreachable(mode) => Verdict::NotWritten,
            _ => Verdict::Won { version: 2 },
        };
        assert_eq!(verdict, wanted, "{mode:?}");
        fleet.set_mode(Mode::Up);
        fleet.run_ms(30_000);
        let version = if wanted == Verdict::NotWritten { 1 } else { 2 };
        assert!(fleet.all_at(version), "{mode:?}: {:?}", fleet.versions());
    }
}

#[test]
fn accept_whose_write_is_never_answered_is_unknown_until_asked_again() {
    let mut fleet = settled(3, &Mode::Up);
    fleet.accept(&host(1), 2, 1, "second", edited(40, 3, 5));
    // The service goes silent between the write and its answer.
    while fleet.service.writes < 3 {
        fleet.run(Duration::from_micros(50));
    }
    fleet.set_mode(Mode::Silent);
    fleet.lose_answers_under_way();
    fleet.run_ms(6_000);
    assert_eq!(fleet.verdict(&host(1), 2), Some(&Verdict::Unknown));
    fleet.set_mode(Mode::Up);
    fleet.accept(&host(4), 3, 1, "second", edited(40, 3, 5));
    fleet.run_ms(10_000);
    assert_eq!(
        fleet.verdict(&host(4), 3),
        Some(&Verdict::Won { version: 2 })
    );
    assert!(fleet.all_at(2), "{:?}", fleet.versions());
}

#[test]
fn history_is_read_or_refused_in_each_fault() {
    for mode in modes() {
        let mut fleet = settled(4, &mode);
        let read = Input::Read {
            ticket: 9,
            version: None,
        };
        fleet.tell(&host(2), read);
        fleet.run_ms(6_000);
        let found = fleet.node(&host(2)).reads.get(&9).expect("an end in time");
        assert_eq!(found.is_none(), is_unreachable(&mode), "{mode:?}");
    }
}

#[test]
fn host_that_starts_in_each_fault_gets_the_table_from_peers() {
    for mode in modes() {
        let mut fleet = settled(5, &mode);
        fleet.run_ms(30_000);
        assert_eq!(fleet.address(&host(0), "none"), Err(Reason::UnknownTarget));
        fleet.start("host-0100", CENTRES[0]);
        assert_eq!(
            fleet.address("host-0100", "row-0001"),
            Err(Reason::NoTable),
            "{mode:?}"
        );
        fleet.run_ms(4_000);
        assert!(fleet.all_at(1), "{mode:?}");
        assert!(fleet.address("host-0100", "row-0001").is_ok(), "{mode:?}");
    }
}

#[test]
fn hosts_all_replaced_in_an_outage_recover_when_it_ends() {
    for mode in modes().into_iter().filter(is_unreachable) {
        let mut fleet = settled(6, &mode);
        for name in fleet.names() {
            fleet.kill(&name);
        }
        for index in 0..6 {
            fleet.start(&host(index), CENTRES[index % 3]);
        }
        fleet.run_ms(60_000);
        assert!(fleet.whole(), "{mode:?}");
        assert_eq!(fleet.address(&host(0), "row-0001"), Err(Reason::NoTable));
        fleet.set_mode(Mode::Up);
        fleet.run_ms(12_000);
        assert!(fleet.all_at(1), "{mode:?}: {:?}", fleet.versions());
    }
}

#[test]
fn membership_and_values_do_not_need_the_service() {
    for mode in modes() {
        let mut fleet = settled(7, &mode);
        fleet.run_ms(30_000);
        fleet.kill("host-0005");
        let value = Value {
            key: "engine/a".into(),
            version: 1,
            bytes: vec![1; 150].into(),
        };
        fleet.tell(&host(1), Input::Publish(value.clone()));
        fleet.run_ms(8_000);
        assert!(fleet.all_see("host-0005", Standing::Dead), "{mode:?}");
        for node in fleet.nodes.values() {
            assert_eq!(node.values.get("engine/a"), Some(&value), "{mode:?}");
        }
    }
}

#[test]
fn no_rush_of_calls_while_the_service_is_away_or_when_it_returns() {
    // 60 hosts, 6 of which watch. The others share 5 calls a second.
    let settings = Settings {
        fleet_calls_per_second: 5,
        ..Settings::default()
    };
    for mode in [Mode::Down, Mode::Silent] {
        let mut fleet = Fleet::with(60, 8, settings.clone());
        fleet.run_ms(20_000);
        fleet.accept(&host(0), 1, 0, "first", rows(40, 1));
        fleet.run_ms(10_000);
        assert!(fleet.all_at(1));
        let start = fleet.now;
        fleet.set_mode(mode.clone());
        fleet.run_ms(600_000);
        fleet.set_mode(Mode::Up);
        fleet.run_ms(60_000);
        for node in fleet.nodes.values() {
            assert!(node.member.current(fleet.now), "{mode:?}");
        }
        // Watchers: 6 hosts with a burst of 4 calls each at the change; the others
        // twice their mean.
        let peak = fleet.peak_calls(start);
        assert!(peak <= 6 * 4 + 2 * 5, "{mode:?}: {peak} calls in a second");
    }
}

#[test]
fn service_that_answers_watches_at_once_is_called_within_the_budget() {
    let mut fleet = settled(9, &Mode::Eager);
    let start = fleet.now;
    let settings = fleet.settings.clone();
    fleet.run_ms(60_000);
    for node in fleet.nodes.values() {
        let calls = node.calls.iter().filter(|at| **at >= start).count();
        let budget = settings.calls_per_second as usize * (60 + 4);
        assert!(calls <= budget, "{calls} calls");
    }
}

#[test]
fn other_hosts_watch_when_the_watchers_end() {
    let mut fleet = settled(10, &Mode::Up);
    fleet.kill(&host(0));
    fleet.run_ms(30_000);
    fleet.service_accept_elsewhere();
    fleet.run_ms(4_000);
    assert!(fleet.all_at(2), "{:?}", fleet.versions());
}

#[test]
fn version_accepted_just_before_each_fault_spreads_by_peers() {
    for mode in modes() {
        let mut fleet = settled(11, &Mode::Up);
        fleet.accept(&host(1), 2, 1, "second", edited(40, 3, 5));
        while fleet.verdict(&host(1), 2).is_none() {
            fleet.run(Duration::from_micros(100));
        }
        fleet.lose_answers_under_way();
        fleet.set_mode(mode.clone());
        fleet.run_ms(4_000);
        assert!(fleet.all_at(2), "{mode:?}: {:?}", fleet.versions());
    }
}

#[test]
fn hosts_all_replaced_while_the_service_answers_badly_recover_by_it() {
    for mode in modes().into_iter().filter(|mode| !is_unreachable(mode)) {
        let mut fleet = settled(12, &mode);
        for name in fleet.names() {
            fleet.kill(&name);
        }
        for index in 0..6 {
            fleet.start(&host(index), CENTRES[index % 3]);
        }
        fleet.run_ms(12_000);
        assert!(fleet.all_at(1), "{mode:?}: {:?}", fleet.versions());
    }
}
