//! Names and incarnations of machines, and the platform's list of hosts and upstreams.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The name of a host, upstream, data centre, model or service; cheap to clone. Also used
/// for other short shared strings, such as addresses and header values.
pub type Name = Arc<str>;

/// Number of one incarnation of a process: one execution from its start to its exit. The next
/// execution under the same name is another incarnation.
///
/// A host takes the number from the wall clock at its start, in milliseconds, so that a
/// later incarnation has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// What a machine on the platform's list runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A host that runs `mulberryrackd`.
    Host,
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// One entry of the platform's list of machines. The list lags: it may still have machines
/// that are gone and not yet have new ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Unique name of the machine.
    pub name: Name,
    /// What the machine runs.
    pub role: Role,
    /// Group of the deployment, shared by all replicas of a plain service: `refill-llm`,
    /// `order-desk`. Empty for hosts.
    #[serde(default)]
    pub group: Name,
    /// Data centre of the machine.
    pub data_centre: Name,
    /// `IP:port` on which a host accepts callers' requests, or an upstream the hosts' requests.
    pub address: Name,
    /// `IP:port` on which a host accepts connections of other hosts; empty for upstreams.
    #[serde(default)]
    pub peer_address: Name,
    /// Accelerator memory in megabytes; zero for machines that are not engines.
    #[serde(default)]
    pub memory_mb: u64,
    /// Number of accelerators; zero for machines that are not engines.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether the engine refuses orders with an old fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Whether the machine is about to leave the platform.
    #[serde(default)]
    pub leaving: bool,
}
