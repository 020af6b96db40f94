//! Membership: suspicion, death, partitions, replacement.

mod common;

use common::{CENTRES, Fleet, host, listing, rows};
use mulberryrack_core::{Name, view::Standing};
use mulberryrack_member::Input;
use std::time::Duration;

/// Time by which every host holds a host dead that ended without notice.
const DETECTION_MS: u64 = 8_000;

fn started(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run_ms(5_000);
    assert!(fleet.whole(), "seed {seed}");
    fleet
}

#[test]
fn dead_host_is_suspected_then_dead_then_gone() {
    for seed in 0..20 {
        let mut fleet = started(9, seed);
        fleet.kill("host-0004");
        fleet.run_ms(DETECTION_MS);
        assert!(fleet.all_see("host-0004", Standing::Dead), "seed {seed}");
        for node in fleet.nodes.values() {
            let path: Vec<Standing> = node
                .standings
                .iter()
                .filter(|(_, name, _)| &**name == "host-0004")
                .map(|(_, _, standing)| *standing)
                .collect();
            assert!(
                path.ends_with(&[Standing::Suspect, Standing::Dead]),
                "{path:?}"
            );
        }
        // On the list it stays dead, however long.
        fleet.run_ms(60_000);
        assert!(fleet.all_see("host-0004", Standing::Dead));
        fleet.unlist("host-0004");
        fleet.run_ms(20_000);
        assert!(fleet.all_see("host-0004", Standing::Dead));
        fleet.run_ms(25_000);
        assert!(fleet.all_see("host-0004", Standing::Gone));
    }
}

#[test]
fn lossy_network_kills_nobody() {
    for seed in 0..10 {
        let mut fleet = started(9, seed);
        fleet.loss = 0.2;
        fleet.duplicate = 0.1;
        fleet.run_ms(120_000);
        let dead: Vec<_> = fleet
            .nodes
            .values()
            .flat_map(|node| &node.standings)
            .filter(|(_, _, standing)| *standing == Standing::Dead)
            .collect();
        assert!(dead.is_empty(), "seed {seed}: {dead:?}");
    }
}

#[test]
fn host_that_cannot_reach_one_peer_is_kept_by_detours() {
    let mut fleet = started(5, 3);
    fleet.part(&[host(0)], &[host(1)]);
    fleet.run_ms(120_000);
    assert!(fleet.whole());
    let suspected = fleet
        .nodes
        .values()
        .flat_map(|node| &node.standings)
        .any(|(_, _, standing)| *standing == Standing::Suspect);
    assert!(!suspected, "an indirect probe answers in time");
}

#[test]
fn host_that_only_sends_is_dead_and_disturbs_nobody_else() {
    let mut fleet = started(7, 4);
    let cut = fleet.now;
    for name in fleet.names() {
        if &*name != "host-0000" {
            fleet.cut.insert((name, host(0)));
        }
    }
    fleet.run_ms(DETECTION_MS);
    assert!(fleet.all_see("host-0000", Standing::Dead));
    fleet.run_ms(30_000);
    // It finds no host alive, and spreads no rumour on any.
    let rumoured: Vec<_> = fleet
        .nodes
        .iter()
        .filter(|(name, _)| &***name != "host-0000")
        .flat_map(|(_, node)| &node.standings)
        .filter(|(at, name, _)| *at >= cut && &**name != "host-0000")
        .collect();
    assert!(rumoured.is_empty(), "{rumoured:?}");
    fleet.cut.clear();
    fleet.run_ms(15_000);
    assert!(fleet.whole(), "it comes back in the same life");
}

#[test]
fn host_that_only_receives_is_dead() {
    let mut fleet = started(7, 5);
    for name in fleet.names() {
        if &*name != "host-0000" {
            fleet.cut.insert((host(0), name));
        }
    }
    fleet.run_ms(DETECTION_MS);
    assert!(fleet.all_see("host-0000", Standing::Dead));
    fleet.cut.clear();
    fleet.run_ms(15_000);
    assert!(fleet.whole());
}

#[test]
fn regions_apart_for_an_hour_rejoin() {
    let mut fleet = Fleet::new(9, 6);
    fleet.settle(rows(40, 1));
    let (left, right): (Vec<Name>, Vec<Name>) = fleet
        .names()
        .into_iter()
        .partition(|name| &*fleet.node(name).centre == CENTRES[0]);
    fleet.part(&left, &right);
    // The service stays with the larger side.
    fleet.cut_service.extend(left.iter().cloned());
    fleet.run_ms(10_000);
    let there = right[0].clone();
    fleet.accept(&there, 2, 1, "second", common::edited(40, 3, 9));
    fleet.run(Duration::from_secs(3_600));
    assert_eq!(fleet.standing(&left[0], &right[0]), Some(Standing::Dead));
    assert_eq!(fleet.standing(&left[0], &left[1]), Some(Standing::Alive));
    assert_eq!(fleet.standing(&right[0], &right[1]), Some(Standing::Alive));
    assert!(!fleet.node(&left[0]).member.current(fleet.now));
    assert!(fleet.node(&right[0]).member.current(fleet.now));
    fleet.cut.clear();
    fleet.cut_service.clear();
    fleet.run_ms(4_000);
    assert!(fleet.all_at(2), "{:?}", fleet.versions());
    fleet.run_ms(16_000);
    assert!(fleet.whole());
    fleet.assert_monotonic();
}

#[test]
fn newer_life_replaces_the_older_one() {
    let mut fleet = started(5, 7);
    let old = fleet.node("host-0002").life;
    fleet.kill("host-0002");
    fleet.run_ms(300);
    fleet.start("host-0002", CENTRES[2]);
    let new = fleet.node("host-0002").life;
    fleet.run_ms(3_000);
    assert!(old < new);
    for name in fleet.names() {
        let view = fleet.node(&name).member.view();
        let peer = view.peer("host-0002").expect("known");
        assert_eq!((peer.incarnation, peer.standing), (new, Standing::Alive));
    }
}

#[test]
fn host_missing_from_the_lagging_list_is_alive() {
    let mut fleet = started(4, 8);
    fleet.start("host-0100", CENTRES[0]);
    fleet.run_ms(3_000);
    assert!(fleet.whole());
    fleet.run_ms(120_000);
    assert!(fleet.whole());
}

#[test]
fn listed_host_that_never_answered_is_dead_and_not_gone() {
    let mut fleet = Fleet::new(4, 9);
    fleet.list.push(listing("host-0100", CENTRES[0]));
    fleet.run_ms(120_000);
    for name in fleet.names() {
        assert_eq!(fleet.standing(&name, "host-0100"), Some(Standing::Dead));
    }
}

#[test]
fn an_empty_list_makes_nobody_gone() {
    let mut fleet = started(5, 10);
    fleet.kill("host-0004");
    fleet.list.clear();
    fleet.run_ms(120_000);
    assert!(fleet.all_see("host-0004", Standing::Dead));
}

#[test]
fn leaving_is_known_everywhere_before_the_host_ends() {
    let mut fleet = Fleet::new(9, 11);
    fleet.settle(rows(40, 1));
    let settings = fleet.settings.clone();
    let announced = fleet.now;
    fleet.tell("host-0003", Input::Leave);
    fleet.run_ms(2_000);
    assert!(fleet.all_see("host-0003", Standing::Leaving));
    let until = fleet
        .node("host-0003")
        .member
        .leave_until()
        .expect("leaving");
    assert_eq!(until - announced, settings.leave + settings.address);
    for name in fleet.names() {
        let now = fleet.now;
        let node = fleet.nodes.get_mut(&name).expect("runs");
        for index in 0..40 {
            let answer = node.member.address(now, &format!("row-{index:04}"), 0);
            let addresses = answer.expect("answers").addresses;
            assert!(!addresses.iter().any(|it| &**it == "host-0003:80"));
        }
    }
}

#[test]
fn rolling_replacement_of_all_hosts_keeps_view_and_table() {
    let mut fleet = Fleet::new(6, 12);
    fleet.settle(rows(40, 1));
    for index in 0..6 {
        let (old, new) = (host(index), host(100 + index));
        let centre = CENTRES[index % 3];
        fleet.start(&new, centre);
        fleet.run_ms(3_000);
        assert!(fleet.all_at(1), "a new host has the table within seconds");
        fleet.tell(&old, Input::Leave);
        fleet.run_ms(2_000);
        fleet.kill(&old);
        fleet.unlist(&old);
        fleet.list.push(listing(&new, centre));
        fleet.run_ms(5_000);
    }
    fleet.run_ms(60_000);
    assert!(fleet.whole());
    assert!(fleet.all_at(1));
    assert!(fleet.all_see("host-0000", Standing::Gone));
}

#[test]
fn paused_host_is_dead_and_comes_back() {
    let mut fleet = started(5, 13);
    let all = fleet.names();
    fleet.part(&[host(2)], &all);
    fleet.run_ms(20_000);
    assert!(fleet.all_see("host-0002", Standing::Dead));
    fleet.cut.clear();
    fleet.run_ms(10_000);
    assert!(fleet.whole());
}

#[test]
fn forgotten_hosts_and_their_values_do_not_come_back() {
    let settings = mulberryrack_member::Settings {
        forget: Duration::from_secs(60),
        ..Default::default()
    };
    let mut fleet = Fleet::with(5, 14, settings);
    fleet.run_ms(5_000);
    let key = "suspect/host-0004";
    fleet.tell(
        "host-0004",
        Input::Publish(mulberryrack_core::view::Value {
            key: key.into(),
            version: 1,
            bytes: vec![1].into(),
        }),
    );
    fleet.run_ms(3_000);
    fleet.kill("host-0004");
    fleet.unlist("host-0004");
    fleet.run_ms(120_000);
    for name in fleet.names() {
        assert_eq!(fleet.standing(&name, "host-0004"), None);
    }
    fleet.start("host-0100", CENTRES[0]);
    fleet.run_ms(10_000);
    assert_eq!(fleet.standing("host-0100", "host-0004"), None);
    assert!(!fleet.node("host-0100").values.contains_key(key));
    // A new life under the name is taken in.
    fleet.start("host-0004", CENTRES[1]);
    fleet.run_ms(5_000);
    assert!(fleet.whole());
}

#[test]
fn lone_host_of_a_data_centre_is_cut_off_without_the_others() {
    let mut fleet = Fleet::new(7, 15);
    fleet.settle(rows(8, 1));
    fleet.start("host-0100", "tanger-hall");
    fleet.run_ms(5_000);
    let all = fleet.names();
    fleet.part(&["host-0100".into()], &all);
    fleet.cut_service.insert("host-0100".into());
    fleet.run_ms(40_000);
    assert!(!fleet.node("host-0100").member.ready(fleet.now));
    assert!(fleet.address("host-0100", "row-0001").is_err());
}

#[test]
fn same_inputs_give_the_same_outputs() {
    let run = || {
        let mut fleet = Fleet::new(6, 16);
        fleet.loss = 0.1;
        fleet.run_ms(5_000);
        fleet.accept(&host(0), 1, 0, "first", rows(40, 1));
        fleet.run_ms(20_000);
        fleet
            .nodes
            .values()
            .map(|node| {
                (
                    node.frames,
                    node.bytes,
                    node.adopted.clone(),
                    node.standings.clone(),
                )
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn short_silences_of_one_host_kill_nobody_in_a_larger_fleet() {
    let mut fleet = Fleet::new(60, 17);
    fleet.run_ms(10_000);
    let all = fleet.names();
    fleet.loss = 0.1;
    for index in 0..30 {
        fleet.part(&[host(index)], &all);
        fleet.run_ms(1_800);
        fleet.cut.clear();
        fleet.run_ms(4_000);
    }
    let standings: Vec<_> = fleet
        .nodes
        .values()
        .flat_map(|node| &node.standings)
        .collect();
    let suspected = standings.iter().filter(|(.., it)| *it == Standing::Suspect);
    let dead: Vec<_> = standings
        .iter()
        .filter(|(.., standing)| *standing == Standing::Dead)
        .collect();
    assert!(suspected.count() > 1_000);
    assert!(dead.is_empty(), "{} deaths: {dead:?}", dead.len());
}
