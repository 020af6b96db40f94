//! To which hosts the callers of a large deployment are sent.

use mulberryrack_edge::directory::{Candidate, MAX_ADDRESSES, choose};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

const ZONES: [&str; 5] = ["north", "south", "east", "west", "centre"];
/// Hosts of each zone, of which three have four times the processor of the others.
const HOSTS_PER_ZONE: u32 = 59;
const LARGE_PER_ZONE: u32 = 3;

fn octet(number: impl TryInto<u8>) -> u8 {
    number.try_into().ok().expect("a small number")
}

fn candidate(zone: usize, number: u32) -> Candidate {
    Candidate {
        host: format!("{}-{number}", ZONES[zone]).into(),
        data_centre: ZONES[zone].into(),
        millicores: if number < LARGE_PER_ZONE { 500 } else { 120 },
        callers: ([127, 0, octet(zone), octet(number)], 80).into(),
    }
}

fn fleet() -> Vec<Candidate> {
    let zones = 0..ZONES.len();
    zones
        .flat_map(|zone| (0..HOSTS_PER_ZONE).map(move |number| candidate(zone, number)))
        .collect()
}

/// For each host, the number of zones whose callers are sent to it.
fn zones_of_hosts() -> BTreeMap<SocketAddr, usize> {
    let mut zones = BTreeMap::new();
    for zone in ZONES {
        let chosen = choose(fleet(), Some(zone));
        assert_eq!(chosen.len(), MAX_ADDRESSES);
        for address in &chosen {
            *zones.entry(*address).or_default() += 1;
        }
    }
    zones
}

#[test]
fn callers_of_all_zones_are_spread_over_most_hosts_of_a_large_deployment() {
    let (fleet, zones) = (fleet(), zones_of_hosts());
    assert!(
        zones.len() * 10 >= fleet.len() * 7,
        "{} of {} hosts serve",
        zones.len(),
        fleet.len()
    );
    for candidate in fleet.iter().filter(|it| it.millicores < 500) {
        let named = zones.get(&candidate.callers).copied().unwrap_or_default();
        assert!(named <= 3, "{}: {named}", candidate.host);
    }
}

#[test]
fn every_large_host_serves_callers() {
    let zones = zones_of_hosts();
    let large = fleet().into_iter().filter(|it| it.millicores >= 500);
    for candidate in large {
        assert!(zones.contains_key(&candidate.callers), "{}", candidate.host);
    }
}

#[test]
fn most_addresses_are_in_the_callers_data_centre() {
    let local: BTreeSet<SocketAddr> = fleet()
        .into_iter()
        .filter(|it| &*it.data_centre == "west")
        .map(|it| it.callers)
        .collect();
    let chosen = choose(fleet(), Some("west"));
    let near = chosen.iter().filter(|it| local.contains(it)).count();
    assert!(near * 2 > chosen.len(), "{near}");
}

#[test]
fn an_answer_changes_by_the_hosts_that_left_only() {
    let before: BTreeSet<SocketAddr> = choose(fleet(), Some("west")).into_iter().collect();
    let left = *before.first().expect("an address");
    let rest = fleet().into_iter().filter(|it| it.callers != left);
    let after: BTreeSet<SocketAddr> = choose(rest.collect(), Some("west")).into_iter().collect();
    assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&left]);
    assert_eq!(after.difference(&before).count(), 1);
}

#[test]
fn all_hosts_of_a_small_deployment_are_named() {
    let few: Vec<Candidate> = fleet().into_iter().step_by(30).collect();
    let addresses: BTreeSet<SocketAddr> = few.iter().map(|it| it.callers).collect();
    for data_centre in [None, Some("west"), Some("elsewhere")] {
        let chosen: BTreeSet<SocketAddr> = choose(few.clone(), data_centre).into_iter().collect();
        assert_eq!(chosen, addresses);
    }
}
