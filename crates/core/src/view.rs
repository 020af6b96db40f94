//! One host's view of all hosts, and values that are replicated to all hosts.

use crate::{Incarnation, Name};
use bytes::Bytes;

/// State of a host, as far as this host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Heartbeats of the host arrive.
    Alive,
    /// Heartbeats are missing; the host may be dead, paused or cut off from this one.
    Suspect,
    /// The host has announced that it is shutting down; it is given no new duties.
    Leaving,
    /// For a long time no heartbeat has arrived, neither directly nor through other hosts.
    Dead,
    /// The host is dead and no longer on the platform's list: this
    /// incarnation cannot act again.
    Gone,
}

/// What is known of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the host.
    pub name: Name,
    /// The newest known incarnation of the host.
    pub incarnation: Incarnation,
    /// Data centre of the host.
    pub data_centre: Name,
    /// `IP:port` on which the host accepts callers' requests.
    pub address: Name,
    /// `IP:port` on which the host accepts connections of other hosts.
    pub peer_address: Name,
    /// State of the host.
    pub standing: Standing,
}

/// All hosts that one host knows, including itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The name of the host whose view this is.
    pub me: Name,
    /// Invariant: sorted by name, no name twice.
    pub peers: Vec<Peer>,
}

impl View {
    /// The host with the given name, if it is known.
    #[must_use]
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers
            .binary_search_by(|peer| (*peer.name).cmp(name))
            .ok()
            .map(|index| &self.peers[index])
    }

    /// Hosts that may be given duties, such as lending a row's permits: those alive, and those
    /// suspected until they are known to be dead.
    pub fn eligible(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(|peer| matches!(peer.standing, Standing::Alive | Standing::Suspect))
    }
}

/// A value that is replicated to all hosts. Of two values with the same key, every host
/// keeps the one with the higher version.
///
/// Keys in use: `engine/NAME` (state of an engine, published by the planner of the cell that
/// the engine belongs to), `suspect/HOST` (fingerprints of requests that are suspected of
/// crashing upstreams).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Key of the value.
    pub key: Name,
    /// Rises with each change, also when another host becomes the publisher.
    pub version: u64,
    /// An encoded message of `mulberryrack-wire`, whose type depends on the key.
    pub bytes: Bytes,
}
