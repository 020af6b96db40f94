//! Which addresses callers are told.

use crate::{seat::Seat, shared::Shared};
use mulberryrack_core::Name;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Most addresses in an answer, by the users' bound.
const MOST_ADDRESSES: usize = 64;
/// Time that callers keep an answer: a host that leaves is out of use soon after it.
const TTL: Duration = Duration::from_secs(1);

/// Addresses for callers, and how long they hold.
pub fn addresses<D>(shared: &Shared<D>) -> (Vec<SocketAddr>, Duration) {
    let hosts = shared.hosts.borrow();
    let seats: BTreeMap<&Name, &Seat> =
        hosts.iter().map(|(name, (seat, _))| (name, seat)).collect();
    let me = &shared.settings.host;
    let others = seats.iter().filter(|(name, _)| **name != me);
    let mut addresses: Vec<SocketAddr> = others.map(|(_, seat)| seat.callers).collect();
    if shared.ready() {
        addresses.push(shared.settings.callers);
    }
    addresses.truncate(MOST_ADDRESSES);
    (addresses, TTL.min(shared.settings.bounds.address_ttl))
}
