//! Address answers name few hosts per row, are the same from every host of a data centre,
//! and list hosts of the own data centre first.

mod common;

use common::{DATA_CENTRES, Fleet, host, rows};
use mulberryrack_core::{Name, outcome::Reason};
use mulberryrack_member::{Freshness, Input};
use std::collections::{BTreeMap, BTreeSet};

const ROWS: usize = 1_000;

fn settled(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.accept_first_table(rows(ROWS, 1));
    fleet
}

/// The first `width` hosts in the answers of the host `at` for each row.
fn near(fleet: &mut Fleet, at: &str, width: usize) -> BTreeMap<usize, BTreeSet<Name>> {
    (0..ROWS)
        .map(|row| {
            let names = fleet
                .address(at, &format!("row-{row:04}"))
                .expect("answers");
            (row, names.into_iter().take(width).collect())
        })
        .collect()
}

#[test]
fn hosts_of_a_data_centre_name_the_same_near_hosts() {
    let mut fleet = settled(9, 1);
    let first = near(&mut fleet, &host(0), 2);
    assert_eq!(first, near(&mut fleet, &host(3), 2));
    assert_eq!(first, near(&mut fleet, &host(6), 2));
    for names in first.values() {
        assert_eq!(names.len(), 2);
        assert!(
            names.iter().all(|name| {
                ["host-0000:80", "host-0003:80", "host-0006:80"].contains(&&**name)
            })
        );
    }
}

#[test]
fn every_answer_ends_with_a_host_of_another_data_centre() {
    let mut fleet = settled(9, 2);
    let names = fleet.address(&host(0), "row-0001").expect("answers");
    assert_eq!(names.len(), 3);
    let last = names
        .last()
        .expect("three")
        .strip_suffix(":80")
        .expect("port");
    assert_ne!(&*fleet.node(last).data_centre, DATA_CENTRES[0]);
}

#[test]
fn answers_rotate_over_the_near_hosts() {
    let mut fleet = settled(9, 3);
    let firsts: BTreeSet<Name> = (0..10)
        .map(|_| fleet.address(&host(0), "row-0001").expect("answers")[0].clone())
        .collect();
    assert_eq!(firsts.len(), 2);
}

#[test]
fn loss_of_a_host_moves_only_the_rows_that_named_it() {
    // All hosts are in one data centre: the ideal share of rows that move is 2 in 12,
    // since each row names 2 of 12 hosts.
    let mut fleet = Fleet::new(0, 4);
    for index in 0..12 {
        fleet
            .list
            .push(common::listing(&host(index), DATA_CENTRES[0]));
    }
    for index in 0..12 {
        fleet.start(&host(index), DATA_CENTRES[0]);
    }
    fleet.accept_first_table(rows(ROWS, 1));
    let before = near(&mut fleet, &host(0), 2);
    fleet.kill(&host(5));
    fleet.run_ms(8_000);
    let after = near(&mut fleet, &host(0), 2);
    let lost: Name = "host-0005:80".into();
    let mut moved = 0;
    for (row, names) in &before {
        if names.contains(&lost) {
            moved += 1;
            assert_eq!(names.intersection(&after[row]).count(), 1);
        } else {
            assert_eq!(names, &after[row]);
        }
    }
    // Each row names 2 of 12 hosts. The limit is one and a half times the ideal share.
    assert!(moved * 12 <= ROWS * 3, "{moved} of {ROWS} rows moved");
    assert!(moved > 0);
}

#[test]
fn rows_with_a_high_ceiling_and_with_demand_get_more_hosts() {
    let mut fleet = Fleet::new(9, 5);
    let mut rows = rows(8, 1);
    rows[3].ceiling = 700;
    fleet.accept_first_table(rows);
    let wide = fleet.address(&host(0), "row-0003").expect("answers");
    let narrow = fleet.address(&host(0), "row-0004").expect("answers");
    assert_eq!((narrow.len(), wide.len()), (3, 4));
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&host(0)).expect("runs");
    let more = node.member.addresses(now, "row-0004", 6).expect("answers");
    assert_eq!(more.addresses.len(), 6);
}

#[test]
fn host_without_a_table_gives_no_addresses() {
    let mut fleet = Fleet::new(3, 6);
    fleet.run_ms(5_000);
    assert_eq!(fleet.address(&host(0), "row-0001"), Err(Reason::NoTable));
    fleet.accept_first_table(rows(8, 1));
    assert_eq!(fleet.address(&host(0), "none"), Err(Reason::UnknownTarget));
}

#[test]
fn isolated_host_gives_no_addresses_once_its_evidence_is_too_old() {
    let mut fleet = settled(9, 7);
    let all = fleet.names();
    fleet.partition(&[host(0)], &all);
    fleet.hosts_without_service.insert(host(0));
    fleet.run_ms(5_000);
    assert!(fleet.address(&host(0), "row-0001").is_ok());
    assert!(fleet.node(&host(0)).member.ready(fleet.now));
    fleet.run_ms(25_000);
    assert_eq!(fleet.address(&host(0), "row-0001"), Err(Reason::NoTable));
    let member = &fleet.node(&host(0)).member;
    assert!(!member.ready(fleet.now));
    assert_eq!(member.freshness(fleet.now), Freshness::Isolated);
    assert!(member.table().is_some(), "the table stays in force");
    // The other hosts keep answering, and no longer name the isolated host.
    for index in 1..9 {
        let names = fleet.address(&host(index), "row-0001").expect("answers");
        assert!(!names.contains(&"host-0000:80".into()));
        assert!(fleet.node(&host(index)).member.is_current(fleet.now));
    }
}

#[test]
fn host_that_reaches_peers_but_not_the_service_stays_current() {
    let mut fleet = settled(9, 8);
    fleet.hosts_without_service.insert(host(0));
    for _ in 0..120 {
        fleet.run_ms(1_000);
        assert!(fleet.node(&host(0)).member.is_current(fleet.now));
    }
}

#[test]
fn last_host_gives_no_addresses_after_it_starts_to_leave() {
    let mut fleet = settled(1, 9);
    fleet.input(&host(0), Input::Leave);
    assert_eq!(fleet.address(&host(0), "row-0001"), Err(Reason::Draining));
}
