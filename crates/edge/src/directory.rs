//! The answer to address queries: where callers may send their requests.

use crate::shared::Shared;
use std::{net::SocketAddr, time::Duration};

/// Maximum number of addresses in an answer, set by the users.
const MAX_ADDRESSES: usize = 64;
/// Longest time for which callers may keep an answer. It is short, so that callers soon stop
/// using a host that leaves.
const MAX_TTL: Duration = Duration::from_secs(1);

/// Callers' addresses of the hosts that serve, and how long callers may keep the answer.
/// This host is left out unless it is ready.
pub fn addresses<D>(shared: &Shared<D>) -> (Vec<SocketAddr>, Duration) {
    let other_hosts = shared.other_hosts();
    let mut addresses: Vec<SocketAddr> = other_hosts.iter().map(|host| host.callers).collect();
    if shared.is_ready() {
        addresses.push(shared.settings.caller_address);
    }
    addresses.truncate(MAX_ADDRESSES);
    (addresses, MAX_TTL.min(shared.settings.bounds.address_ttl))
}
