//! What a process is told at its start.

use mulberryrack_core::Name;
use std::{net::SocketAddr, time::Duration};

/// Settings of one host on a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Unique name of the host.
    pub host: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where the platform asks whether the host is ready.
    pub readiness: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Where the other hosts call.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The key-value service.
    pub store: SocketAddr,
    /// Shortest time to live of a lease.
    pub lease_min: Duration,
    /// Bounds that the deployment is held to.
    pub bounds: Bounds,
    /// Descriptors that the process may use for sockets.
    pub sockets: usize,
}

/// Bounds that the deployment is held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the stop signal to the kill.
    pub grace: Duration,
    /// Time after which an accepted change is in force, and after which an upstream that
    /// leaves gets no requests; the shorter of the two.
    pub follow: Duration,
    /// Repeats that may be sent, as a share of requests.
    pub retry_share: f64,
    /// Repeats that may be sent beyond the share, over all hosts.
    pub retry_extra: f64,
    /// Length of the window in which repeats are counted.
    pub retry_window: Duration,
    /// Shortest time between orders of two hosts to one engine.
    pub order_lease: Duration,
    /// Window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Longest time that callers may keep an address answer.
    pub address_ttl: Duration,
}
