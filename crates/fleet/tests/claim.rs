//! Which host may give orders, and from when.

use mulberryrack_core::{Time, kv::Revision};
use mulberryrack_fleet::{Claim, ClaimState};
use std::time::Duration;

const TTL: Duration = Duration::from_millis(2_400);
const HANDOVER_DELAY: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A claim gained at 1 s whose lease is renewed every half second until `until`.
fn claim_renewed_until(until: u64) -> Claim {
    let mut claim = Claim::new(TTL, HANDOVER_DELAY);
    claim.gained(at(990), at(1_000), Revision(7));
    (1_000..=until)
        .step_by(500)
        .for_each(|sent| claim.renewed(at(sent)));
    claim
}

/// Time in milliseconds of the first order of a host that gains the claim at `gained` and
/// renews the lease from then on; `None` if the host gives no order within six seconds.
fn first_order_after(gained: u64) -> Option<u64> {
    let mut claim = Claim::new(TTL, HANDOVER_DELAY);
    claim.gained(at(gained), at(gained), Revision(8));
    (gained..gained + 6_000)
        .step_by(500)
        .for_each(|sent| claim.renewed(at(sent)));
    (gained..gained + 6_000).find(|now| claim.state(at(*now)) == ClaimState::Active)
}

#[test]
fn a_new_holder_waits_for_the_handover_delay() {
    let claim = claim_renewed_until(5_000);
    assert!(matches!(claim.state(at(4_700)), ClaimState::Waiting(_)));
    assert_eq!(claim.state(at(4_900)), ClaimState::Active);
    assert_eq!(claim.fence(), Some(7));
}

#[test]
fn a_holder_without_acknowledged_renewals_stops_before_its_lease_ends() {
    let claim = claim_renewed_until(5_000);
    assert_eq!(claim.state(at(7_000)), ClaimState::Active);
    // The lease counts from the time at which the renewal is sent, before it arrives.
    assert_eq!(claim.state(at(7_150)), ClaimState::NotHeld);
}

#[test]
fn orders_of_two_holders_are_at_least_the_handover_delay_apart() {
    for last_renewal in (1_000..6_000).step_by(500) {
        let last_order = (0..20_000)
            .step_by(10)
            .filter(|now| claim_renewed_until(last_renewal).state(at(*now)) == ClaimState::Active)
            .max();
        // At the earliest, the lease ends its time to live after the renewal was sent.
        let lease_end = last_renewal + 2_400;
        let first = first_order_after(lease_end);
        if let (Some(last), Some(first)) = (last_order, first) {
            assert!(first - last >= 3_000, "{last} and {first}");
        }
    }
}

#[test]
fn a_holder_stays_active_in_an_outage_while_its_peers_extend_the_claim() {
    let mut claim = claim_renewed_until(5_000);
    for asked_at in (7_000..12_000).step_by(200) {
        claim.extended_by_peers(at(asked_at));
        assert_eq!(
            claim.state(at(asked_at + 200)),
            ClaimState::Active,
            "{asked_at}"
        );
    }
    assert_eq!(claim.state(at(12_500)), ClaimState::NotHeld);
}

#[test]
fn orders_of_two_holders_are_at_least_the_handover_delay_apart_after_an_outage() {
    // The other hosts extend the claim just before one of them reaches the key-value service
    // again, and orders take 300 ms to arrive, as long as the margin before the lease's end.
    let (kv_recovered, order_delay) = (9_000, 300);
    let mut claim = claim_renewed_until(5_000);
    claim.extended_by_peers(at(kv_recovered - 1));
    let is_active = |now: &u64| claim.state(at(*now)) == ClaimState::Active;
    let last = (kv_recovered..20_000)
        .filter(is_active)
        .max()
        .expect("the holder stays active");
    let first = first_order_after(kv_recovered);
    assert!(first.expect("the next holder becomes active") - (last + order_delay) >= 3_000);
}

#[test]
fn a_lost_claim_gives_no_orders() {
    let mut claim = claim_renewed_until(5_000);
    claim.lost();
    assert_eq!(claim.state(at(5_100)), ClaimState::NotHeld);
    assert_eq!(claim.fence(), None);
}
