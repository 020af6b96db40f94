//! The hosts as one host sees them, and values that spread over all hosts.

use crate::{Incarnation, Name};
use bytes::Bytes;

/// How a host stands, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats are missing; it may be dead, paused or cut off.
    Suspect,
    /// It has announced that it is going away and takes no new duties.
    Leaving,
    /// No heartbeat from it by any way for long.
    Dead,
    /// Dead, and the platform's list no longer has it: this life cannot act again.
    Gone,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// The newest life known.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Name,
    /// `IP:port` for callers.
    pub address: Name,
    /// `IP:port` for peers.
    pub peer_address: Name,
    /// How it stands.
    pub standing: Standing,
}

/// All known hosts, this one among them, in order of name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The name of the host that holds the view.
    pub me: Name,
    /// Sorted by name, one entry a name.
    pub peers: Vec<Peer>,
}

impl View {
    /// The host with this name.
    #[must_use]
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers
            .binary_search_by(|peer| (*peer.name).cmp(name))
            .ok()
            .map(|index| &self.peers[index])
    }

    /// Hosts that take duties: alive, and suspects until they are known dead.
    pub fn able(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(|peer| matches!(peer.standing, Standing::Alive | Standing::Suspect))
    }
}

/// A value that spreads over all hosts; per key the highest version wins everywhere.
///
/// Keys in use: `engine/NAME` (state of an engine, published by its cell's planner),
/// `suspect/HOST` (fingerprints suspected of crashing upstreams).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The key.
    pub key: Name,
    /// Rises with each change, also over changes of the publisher.
    pub version: u64,
    /// Meaning by key; messages of `mulberryrack-wire`.
    pub bytes: Bytes,
}
