//! Hosts, upstreams and the platform's list of them.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The name of a host, upstream, data centre, model or service.
pub type Name = Arc<str>;

/// Tells one life of a process from the next one under the same name.
///
/// A host draws it at start from the wall clock in milliseconds; a later life has a
/// higher value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// What a listed machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry host that runs `mulberryrackd`.
    Host,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One line of the platform's lagging list of live and leaving machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Unique name. All replicas of a plain service share `group`.
    pub name: Name,
    /// What the machine is for.
    pub role: Role,
    /// The deployment's group: `refill-llm`, `order-desk`; empty for entry hosts.
    #[serde(default)]
    pub group: Name,
    /// Data centre that the machine stands in.
    pub data_centre: Name,
    /// `IP:port` for callers' requests (hosts) or for our requests (upstreams).
    pub address: Name,
    /// `IP:port` for peers; hosts only.
    #[serde(default)]
    pub peer_address: Name,
    /// Accelerator memory in megabytes; engines only.
    #[serde(default)]
    pub memory_mb: u64,
    /// Accelerators; engines only.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Whether the machine is about to go away.
    #[serde(default)]
    pub leaving: bool,
}
