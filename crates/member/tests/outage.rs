//! Each function of the membership area under each fault of the key-value service. The
//! matrix of functions and faults is in `docs/table.md`.

mod common;

use common::{DATA_CENTRES, Fleet, ServiceMode, edited, host, rows};
use mulberryrack_core::{
    outcome::Reason,
    view::{Standing, Value},
};
use mulberryrack_member::{Freshness, Input, ProposalOutcome, Settings};
use std::time::Duration;

/// All faults. The first slow mode is within the timeout of a call, the second beyond it.
fn fault_modes() -> [ServiceMode; 6] {
    [
        ServiceMode::Down,
        ServiceMode::Silent,
        ServiceMode::Slow(Duration::from_millis(900)),
        ServiceMode::Slow(Duration::from_secs(8)),
        ServiceMode::Stale,
        ServiceMode::LosesAnswers,
    ]
}

fn settled(seed: u64, mode: &ServiceMode) -> Fleet {
    let mut fleet = Fleet::new(6, seed);
    fleet.accept_first_table(rows(40, 1));
    fleet.set_mode(mode.clone());
    fleet
}

fn is_unreachable(mode: &ServiceMode) -> bool {
    matches!(mode, ServiceMode::Down | ServiceMode::Silent)
        || *mode == ServiceMode::Slow(Duration::from_secs(8))
}

#[test]
fn addresses_are_given_through_ten_minutes_of_each_fault() {
    for mode in fault_modes() {
        let mut fleet = settled(1, &mode);
        for _ in 0..60 {
            fleet.run_ms(10_000);
            for name in fleet.names() {
                assert!(fleet.address(&name, "row-0001").is_ok(), "{mode:?}");
                assert!(fleet.node(&name).member.ready(fleet.now), "{mode:?}");
            }
        }
        let wanted = if is_unreachable(&mode) {
            Freshness::Unconfirmed
        } else {
            Freshness::Confirmed
        };
        for node in fleet.nodes.values() {
            assert_eq!(node.member.freshness(fleet.now), wanted, "{mode:?}");
        }
    }
}

#[test]
fn proposal_outcome_is_correct_in_each_fault() {
    for mode in fault_modes() {
        let mut fleet = settled(2, &mode);
        fleet.propose(&host(1), 2, 1, "second", edited(40, 3, 5));
        fleet.run_ms(6_000);
        let outcome = fleet
            .outcome(&host(1), 2)
            .expect("the proposal ends in time")
            .clone();
        let wanted = match &mode {
            ServiceMode::Down | ServiceMode::Silent => ProposalOutcome::NotWritten,
            mode if is_unreachable(mode) => ProposalOutcome::NotWritten,
            _ => ProposalOutcome::Accepted { version: 2 },
        };
        assert_eq!(outcome, wanted, "{mode:?}");
        fleet.set_mode(ServiceMode::Up);
        fleet.run_ms(30_000);
        let version = if wanted == ProposalOutcome::NotWritten {
            1
        } else {
            2
        };
        assert!(
            fleet.all_have_version(version),
            "{mode:?}: {:?}",
            fleet.versions()
        );
    }
}

#[test]
fn unanswered_write_is_unknown_until_the_proposal_is_repeated() {
    let mut fleet = settled(3, &ServiceMode::Up);
    fleet.propose(&host(1), 2, 1, "second", edited(40, 3, 5));
    // The service stops answering between the write and its answer.
    while fleet.service.writes < 3 {
        fleet.run(Duration::from_micros(50));
    }
    fleet.set_mode(ServiceMode::Silent);
    fleet.drop_pending_replies();
    fleet.run_ms(6_000);
    assert_eq!(fleet.outcome(&host(1), 2), Some(&ProposalOutcome::Unknown));
    fleet.set_mode(ServiceMode::Up);
    fleet.propose(&host(4), 3, 1, "second", edited(40, 3, 5));
    fleet.run_ms(10_000);
    assert_eq!(
        fleet.outcome(&host(4), 3),
        Some(&ProposalOutcome::Accepted { version: 2 })
    );
    assert!(fleet.all_have_version(2), "{:?}", fleet.versions());
}

#[test]
fn history_is_read_or_refused_in_each_fault() {
    for mode in fault_modes() {
        let mut fleet = settled(4, &mode);
        let read = Input::Read {
            ticket: 9,
            version: None,
        };
        fleet.input(&host(2), read);
        fleet.run_ms(6_000);
        let found = fleet
            .node(&host(2))
            .reads
            .get(&9)
            .expect("the read ends in time");
        assert_eq!(found.is_none(), is_unreachable(&mode), "{mode:?}");
    }
}

#[test]
fn host_that_starts_in_each_fault_gets_the_table_from_peers() {
    for mode in fault_modes() {
        let mut fleet = settled(5, &mode);
        fleet.run_ms(30_000);
        assert_eq!(fleet.address(&host(0), "none"), Err(Reason::UnknownTarget));
        fleet.start("host-0100", DATA_CENTRES[0]);
        assert_eq!(
            fleet.address("host-0100", "row-0001"),
            Err(Reason::NoTable),
            "{mode:?}"
        );
        fleet.run_ms(4_000);
        assert!(fleet.all_have_version(1), "{mode:?}");
        assert!(fleet.address("host-0100", "row-0001").is_ok(), "{mode:?}");
    }
}

#[test]
fn hosts_that_all_restart_in_an_outage_recover_when_it_ends() {
    for mode in fault_modes().into_iter().filter(is_unreachable) {
        let mut fleet = settled(6, &mode);
        for name in fleet.names() {
            fleet.kill(&name);
        }
        for index in 0..6 {
            fleet.start(&host(index), DATA_CENTRES[index % 3]);
        }
        fleet.run_ms(60_000);
        assert!(fleet.all_alive(), "{mode:?}");
        assert_eq!(fleet.address(&host(0), "row-0001"), Err(Reason::NoTable));
        fleet.set_mode(ServiceMode::Up);
        fleet.run_ms(12_000);
        assert!(
            fleet.all_have_version(1),
            "{mode:?}: {:?}",
            fleet.versions()
        );
    }
}

#[test]
fn membership_and_values_do_not_need_the_service() {
    for mode in fault_modes() {
        let mut fleet = settled(7, &mode);
        fleet.run_ms(30_000);
        fleet.kill("host-0005");
        let value = Value {
            key: "engine/a".into(),
            version: 1,
            bytes: vec![1; 150].into(),
        };
        fleet.input(&host(1), Input::Publish(value.clone()));
        fleet.run_ms(8_000);
        assert!(fleet.all_see("host-0005", Standing::Dead), "{mode:?}");
        for node in fleet.nodes.values() {
            assert_eq!(node.values.get("engine/a"), Some(&value), "{mode:?}");
        }
    }
}

#[test]
fn call_rate_stays_bounded_during_an_outage_and_after_it() {
    // 60 hosts, 6 of which watch. The others share a rate of 5 calls a second.
    let settings = Settings {
        fleet_calls_per_second: 5,
        ..Settings::default()
    };
    for mode in [ServiceMode::Down, ServiceMode::Silent] {
        let mut fleet = Fleet::with(60, 8, settings.clone());
        fleet.run_ms(20_000);
        fleet.propose(&host(0), 1, 0, "first", rows(40, 1));
        fleet.run_ms(10_000);
        assert!(fleet.all_have_version(1));
        let start = fleet.now;
        fleet.set_mode(mode.clone());
        fleet.run_ms(600_000);
        fleet.set_mode(ServiceMode::Up);
        fleet.run_ms(60_000);
        for node in fleet.nodes.values() {
            assert!(node.member.is_current(fleet.now), "{mode:?}");
        }
        // The 6 watchers make up to 4 calls each at once when the mode changes; the other
        // hosts stay below twice their mean rate.
        let peak = fleet.peak_calls(start);
        assert!(peak <= 6 * 4 + 2 * 5, "{mode:?}: {peak} calls in a second");
    }
}

#[test]
fn service_that_answers_watches_at_once_is_called_within_the_budget() {
    let mut fleet = settled(9, &ServiceMode::Eager);
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
fn another_host_watches_after_a_watcher_ends() {
    let mut fleet = settled(10, &ServiceMode::Up);
    fleet.kill(&host(0));
    fleet.run_ms(30_000);
    fleet.write_version_elsewhere();
    fleet.run_ms(4_000);
    assert!(fleet.all_have_version(2), "{:?}", fleet.versions());
}

#[test]
fn version_accepted_just_before_each_fault_spreads_by_peers() {
    for mode in fault_modes() {
        let mut fleet = settled(11, &ServiceMode::Up);
        fleet.propose(&host(1), 2, 1, "second", edited(40, 3, 5));
        while fleet.outcome(&host(1), 2).is_none() {
            fleet.run(Duration::from_micros(100));
        }
        fleet.drop_pending_replies();
        fleet.set_mode(mode.clone());
        fleet.run_ms(4_000);
        assert!(
            fleet.all_have_version(2),
            "{mode:?}: {:?}",
            fleet.versions()
        );
    }
}

#[test]
fn hosts_that_all_restart_while_the_service_is_slow_or_stale_recover() {
    for mode in fault_modes()
        .into_iter()
        .filter(|mode| !is_unreachable(mode))
    {
        let mut fleet = settled(12, &mode);
        for name in fleet.names() {
            fleet.kill(&name);
        }
        for index in 0..6 {
            fleet.start(&host(index), DATA_CENTRES[index % 3]);
        }
        fleet.run_ms(12_000);
        assert!(
            fleet.all_have_version(1),
            "{mode:?}: {:?}",
            fleet.versions()
        );
    }
}
