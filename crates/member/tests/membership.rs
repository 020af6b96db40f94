//! Detection of failed hosts, partitions, leaving and replacement of hosts.

mod common;

use common::{DATA_CENTRES, Fleet, host, listing, rows};
use mulberryrack_core::{Name, view::Standing};
use mulberryrack_member::Input;
use mulberryrack_wire::member as wire;
use std::time::Duration;

/// Time by which every other host counts a host as dead that has ended without notice.
const DETECTION_MS: u64 = 8_000;

fn started(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run_ms(5_000);
    assert!(fleet.all_alive(), "seed {seed}");
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
        // While the platform's list contains the host, it stays dead and never becomes
        // gone.
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
fn packet_loss_makes_no_host_dead() {
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
fn indirect_probes_prevent_suspicion_across_one_cut_link() {
    let mut fleet = started(5, 3);
    fleet.partition(&[host(0)], &[host(1)]);
    fleet.run_ms(120_000);
    assert!(fleet.all_alive());
    let suspected = fleet
        .nodes
        .values()
        .flat_map(|node| &node.standings)
        .any(|(_, _, standing)| *standing == Standing::Suspect);
    assert!(!suspected, "an indirect probe answers in time");
}

#[test]
fn host_that_receives_nothing_is_dead_and_spreads_no_rumours() {
    let mut fleet = started(7, 4);
    let cut_at = fleet.now;
    for name in fleet.names() {
        if &*name != "host-0000" {
            fleet.cut_links.insert((name, host(0)));
        }
    }
    fleet.run_ms(DETECTION_MS);
    assert!(fleet.all_see("host-0000", Standing::Dead));
    fleet.run_ms(30_000);
    // The host that receives nothing counts all others as dead, but spreads no rumours of
    // them.
    let rumoured: Vec<_> = fleet
        .nodes
        .iter()
        .filter(|(name, _)| &***name != "host-0000")
        .flat_map(|(_, node)| &node.standings)
        .filter(|(at, name, _)| *at >= cut_at && &**name != "host-0000")
        .collect();
    assert!(rumoured.is_empty(), "{rumoured:?}");
    fleet.cut_links.clear();
    fleet.run_ms(15_000);
    assert!(fleet.all_alive(), "the host rejoins in the same life");
}

#[test]
fn host_that_cannot_send_is_dead() {
    let mut fleet = started(7, 5);
    for name in fleet.names() {
        if &*name != "host-0000" {
            fleet.cut_links.insert((host(0), name));
        }
    }
    fleet.run_ms(DETECTION_MS);
    assert!(fleet.all_see("host-0000", Standing::Dead));
    fleet.cut_links.clear();
    fleet.run_ms(15_000);
    assert!(fleet.all_alive());
}

#[test]
fn data_centres_partitioned_for_an_hour_rejoin() {
    let mut fleet = Fleet::new(9, 6);
    fleet.accept_first_table(rows(40, 1));
    let (left, right): (Vec<Name>, Vec<Name>) = fleet
        .names()
        .into_iter()
        .partition(|name| &*fleet.node(name).data_centre == DATA_CENTRES[0]);
    fleet.partition(&left, &right);
    // Only the larger side reaches the key-value service.
    fleet.hosts_without_service.extend(left.iter().cloned());
    fleet.run_ms(10_000);
    let proposer = right[0].clone();
    fleet.propose(&proposer, 2, 1, "second", common::edited(40, 3, 9));
    fleet.run(Duration::from_secs(3_600));
    assert_eq!(fleet.standing(&left[0], &right[0]), Some(Standing::Dead));
    assert_eq!(fleet.standing(&left[0], &left[1]), Some(Standing::Alive));
    assert_eq!(fleet.standing(&right[0], &right[1]), Some(Standing::Alive));
    assert!(!fleet.node(&left[0]).member.is_current(fleet.now));
    assert!(fleet.node(&right[0]).member.is_current(fleet.now));
    fleet.cut_links.clear();
    fleet.hosts_without_service.clear();
    fleet.run_ms(4_000);
    assert!(fleet.all_have_version(2), "{:?}", fleet.versions());
    fleet.run_ms(16_000);
    assert!(fleet.all_alive());
    fleet.assert_monotonic();
}

#[test]
fn newer_life_replaces_the_older_one() {
    let mut fleet = started(5, 7);
    let old = fleet.node("host-0002").life;
    fleet.kill("host-0002");
    fleet.run_ms(300);
    fleet.start("host-0002", DATA_CENTRES[2]);
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
    fleet.start("host-0100", DATA_CENTRES[0]);
    fleet.run_ms(3_000);
    assert!(fleet.all_alive());
    fleet.run_ms(120_000);
    assert!(fleet.all_alive());
}

#[test]
fn listed_host_that_never_answered_is_dead_and_not_gone() {
    let mut fleet = Fleet::new(4, 9);
    fleet.list.push(listing("host-0100", DATA_CENTRES[0]));
    fleet.run_ms(120_000);
    for name in fleet.names() {
        assert_eq!(fleet.standing(&name, "host-0100"), Some(Standing::Dead));
    }
}

#[test]
fn empty_list_makes_no_host_gone() {
    let mut fleet = started(5, 10);
    fleet.kill("host-0004");
    fleet.list.clear();
    fleet.run_ms(120_000);
    assert!(fleet.all_see("host-0004", Standing::Dead));
}

#[test]
fn leaving_is_known_everywhere_before_the_host_ends() {
    let mut fleet = Fleet::new(9, 11);
    fleet.accept_first_table(rows(40, 1));
    let settings = fleet.settings.clone();
    let announced = fleet.now;
    fleet.input("host-0003", Input::Leave);
    fleet.run_ms(2_000);
    assert!(fleet.all_see("host-0003", Standing::Leaving));
    let until = fleet
        .node("host-0003")
        .member
        .leave_until()
        .expect("leaving");
    assert_eq!(
        until - announced,
        settings.leave_delay + settings.address_lifetime
    );
    for name in fleet.names() {
        let now = fleet.now;
        let node = fleet.nodes.get_mut(&name).expect("runs");
        for index in 0..40 {
            let answer = node.member.addresses(now, &format!("row-{index:04}"), 0);
            let addresses = answer.expect("answers").addresses;
            assert!(!addresses.iter().any(|it| &**it == "host-0003:80"));
        }
    }
}

#[test]
fn rolling_replacement_of_all_hosts_keeps_view_and_table() {
    let mut fleet = Fleet::new(6, 12);
    fleet.accept_first_table(rows(40, 1));
    for index in 0..6 {
        let (old, new) = (host(index), host(100 + index));
        let data_centre = DATA_CENTRES[index % 3];
        fleet.start(&new, data_centre);
        fleet.run_ms(3_000);
        assert!(
            fleet.all_have_version(1),
            "a new host has the table within seconds"
        );
        fleet.input(&old, Input::Leave);
        fleet.run_ms(2_000);
        fleet.kill(&old);
        fleet.unlist(&old);
        fleet.list.push(listing(&new, data_centre));
        fleet.run_ms(5_000);
    }
    fleet.run_ms(60_000);
    assert!(fleet.all_alive());
    assert!(fleet.all_have_version(1));
    assert!(fleet.all_see("host-0000", Standing::Gone));
}

#[test]
fn unreachable_host_is_dead_and_rejoins() {
    let mut fleet = started(5, 13);
    let all = fleet.names();
    fleet.partition(&[host(2)], &all);
    fleet.run_ms(20_000);
    assert!(fleet.all_see("host-0002", Standing::Dead));
    fleet.cut_links.clear();
    fleet.run_ms(10_000);
    assert!(fleet.all_alive());
}

#[test]
fn forgotten_hosts_and_their_values_do_not_come_back() {
    let settings = mulberryrack_member::Settings {
        forget_delay: Duration::from_secs(60),
        ..Default::default()
    };
    let mut fleet = Fleet::with(5, 14, settings);
    fleet.run_ms(5_000);
    let key = "suspect/host-0004";
    fleet.input(
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
    // A host that was partitioned for long still has the value and sends it.
    let late = wire::Value {
        key: key.into(),
        version: 2,
        bytes: vec![2].into(),
        ..wire::Value::default()
    };
    let values = wire::Values { values: vec![late] };
    let frame = Input::Frame {
        from: host(1),
        incarnation: fleet.node(&host(1)).life,
        frame: wire::Frame {
            body: Some(wire::frame::Body::Values(values)),
        },
    };
    fleet.input("host-0000", frame);
    fleet.run_ms(10_000);
    fleet.start("host-0100", DATA_CENTRES[0]);
    fleet.run_ms(10_000);
    assert_eq!(fleet.standing("host-0100", "host-0004"), None);
    assert!(!fleet.node("host-0100").values.contains_key(key));
    // A new life of the forgotten host is accepted.
    fleet.start("host-0004", DATA_CENTRES[1]);
    fleet.run_ms(5_000);
    assert!(fleet.all_alive());
}

#[test]
fn only_host_of_a_data_centre_is_isolated_without_the_other_hosts() {
    let mut fleet = Fleet::new(7, 15);
    fleet.accept_first_table(rows(8, 1));
    fleet.start("host-0100", "tanger-hall");
    fleet.run_ms(5_000);
    let all = fleet.names();
    fleet.partition(&["host-0100".into()], &all);
    fleet.hosts_without_service.insert("host-0100".into());
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
        fleet.propose(&host(0), 1, 0, "first", rows(40, 1));
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
fn short_silences_of_one_host_make_no_host_dead() {
    let mut fleet = Fleet::new(60, 17);
    fleet.run_ms(10_000);
    let all = fleet.names();
    fleet.loss = 0.1;
    for index in 0..30 {
        fleet.partition(&[host(index)], &all);
        fleet.run_ms(1_800);
        fleet.cut_links.clear();
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

#[test]
fn leaving_mark_of_the_list_applies_only_to_the_life_it_was_set_in() {
    let mut fleet = started(5, 18);
    let at = fleet.list.iter().position(|it| &*it.name == "host-0002");
    fleet.list[at.expect("listed")].leaving = true;
    fleet.run_ms(6_000);
    assert!(fleet.all_see("host-0002", Standing::Leaving));
    // The list lags behind and still has the mark when the next life runs.
    fleet.kill("host-0002");
    fleet.start("host-0002", DATA_CENTRES[2]);
    fleet.run_ms(12_000);
    assert!(fleet.all_see("host-0002", Standing::Alive));
}

#[test]
fn refuted_rumours_are_no_longer_passed_on() {
    let mut fleet = Fleet::new(60, 19);
    fleet.run_ms(20_000);
    assert!(fleet.all_alive());
    let sent = |fleet: &Fleet| fleet.bytes_by_kind.get("probe").copied().unwrap_or(0);
    let quiet = sent(&fleet);
    fleet.run_ms(10_000);
    let usual = sent(&fleet) - quiet;
    fleet.loss = 0.3;
    fleet.run_ms(60_000);
    fleet.loss = 0.0;
    fleet.run_ms(10_000);
    let before = sent(&fleet);
    fleet.run_ms(10_000);
    let after = sent(&fleet) - before;
    assert!(after * 4 <= usual * 5, "{after} bytes, {usual} before");
}
