//! A host's registration: its entry in the key-value service.

use mulberryrack_core::Name;
use mulberryrack_fleet::succession::Process;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of the keys of hosts' registrations; the host's name follows.
pub const HOST_KEY_PREFIX: &str = "mulberryrack/hosts/";
/// Key of the claim to give orders. Its value is the registration of the holder.
pub const CLAIM_KEY: &str = "mulberryrack/planner";

/// What a host says about itself in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Seat")]
pub struct Registration {
    /// Unique name of the host.
    pub host: Name,
    /// Data centre in which the host runs.
    pub data_centre: Name,
    /// Address on which the host accepts callers' requests.
    pub callers: SocketAddr,
    /// Address on which the host accepts calls and datagrams of the other hosts.
    pub peers: SocketAddr,
    /// Thousandths of a processor core that the host may use. Hosts of earlier versions do not tell.
    #[serde(default = "one_core")]
    pub millicores: u32,
    /// Number of the host's process, drawn at random. Hosts of earlier versions do not tell.
    #[serde(default)]
    pub incarnation: u64,
}

impl Registration {
    /// The process that has written the registration.
    pub fn process(&self) -> Process {
        Process {
            host: self.host.clone(),
            peers: self.peers,
            incarnation: self.incarnation,
        }
    }
}

const fn one_core() -> u32 {
    1_000
}
