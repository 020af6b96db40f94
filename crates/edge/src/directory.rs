//! Which addresses callers are told.

use crate::shared::Shared;
use std::{net::SocketAddr, time::Duration};

/// Most addresses in an answer, by the users' bound.
const MOST_ADDRESSES: usize = 64;
/// Time that callers keep an answer: a host that leaves is out of use soon after it.
const TTL: Duration = Duration::from_secs(1);

/// Addresses for callers, and how long they hold.
pub fn addresses<D>(shared: &Shared<D>) -> (Vec<SocketAddr>, Duration) {
    let others = shared.others();
    let mut addresses: Vec<SocketAddr> = others.iter().map(|seat| seat.callers).collect();
    if shared.ready() {
        addresses.push(shared.settings.caller_address);
    }
    addresses.truncate(MOST_ADDRESSES);
    (addresses, TTL.min(shared.settings.bounds.address_ttl))
}
