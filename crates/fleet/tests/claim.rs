//! Who may give orders, and when.

use mulberryrack_core::{Time, kv::Revision};
use mulberryrack_fleet::{Claim, Stand};
use std::time::Duration;

const TTL: Duration = Duration::from_millis(2_400);
const APART: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A claim gained at 1 s, renewed every half second until `until`.
fn held(until: u64) -> Claim {
    let mut claim = Claim::new(TTL, APART);
    claim.gained(at(990), at(1_000), Revision(7));
    (1_000..=until)
        .step_by(500)
        .for_each(|sent| claim.renewed(at(sent)));
    claim
}

/// When the next holder may order that gains the claim at a moment and renews it.
fn first_order_after(gained: u64) -> Option<u64> {
    let mut next = Claim::new(TTL, APART);
    next.gained(at(gained), at(gained), Revision(8));
    (gained..gained + 6_000)
        .step_by(500)
        .for_each(|sent| next.renewed(at(sent)));
    (gained..gained + 6_000).find(|now| next.stand(at(*now)) == Stand::Holds)
}

#[test]
fn a_new_holder_waits_until_the_one_before_is_far_enough_back() {
    let claim = held(5_000);
    assert!(matches!(claim.stand(at(4_700)), Stand::Waits(_)));
    assert_eq!(claim.stand(at(4_900)), Stand::Holds);
    assert_eq!(claim.fence(), Some(7));
}

#[test]
fn a_holder_whose_renewals_are_not_acknowledged_stops_before_the_lease_ends() {
    let claim = held(5_000);
    assert_eq!(claim.stand(at(7_000)), Stand::Holds);
    // The lease runs from the renewal's arrival, after it was sent.
    assert_eq!(claim.stand(at(7_150)), Stand::None);
}

#[test]
fn orders_of_two_holders_are_never_within_the_bound() {
    for renewed in (1_000..6_000).step_by(500) {
        let last_order = (0..20_000)
            .step_by(10)
            .filter(|now| held(renewed).stand(at(*now)) == Stand::Holds)
            .max();
        // The store lets the lease lapse at the earliest when it was sent plus its time.
        let lapse = renewed + 2_400;
        let first = first_order_after(lapse);
        if let (Some(last), Some(first)) = (last_order, first) {
            assert!(first - last >= 3_000, "{last} and {first}");
        }
    }
}

#[test]
fn a_holder_goes_on_through_an_outage_while_the_others_vouch_for_it() {
    let mut claim = held(5_000);
    for asked in (7_000..12_000).step_by(200) {
        claim.vouched(at(asked));
        assert_eq!(claim.stand(at(asked + 200)), Stand::Holds, "{asked}");
    }
    assert_eq!(claim.stand(at(12_500)), Stand::None);
}

#[test]
fn after_an_outage_orders_of_two_holders_are_never_within_the_bound() {
    // The last question before the service is back for another host, and orders that are
    // on their way for as long as the margin of the lease.
    let (back, way) = (9_000, 300);
    let mut claim = held(5_000);
    claim.vouched(at(back - 1));
    let holds = |now: &u64| claim.stand(at(*now)) == Stand::Holds;
    let last = (back..20_000).filter(holds).max().expect("it goes on");
    let first = first_order_after(back);
    assert!(first.expect("it takes over") - (last + way) >= 3_000);
}

#[test]
fn a_lost_claim_gives_no_orders() {
    let mut claim = held(5_000);
    claim.lost();
    assert_eq!(claim.stand(at(5_100)), Stand::None);
    assert_eq!(claim.fence(), None);
}
