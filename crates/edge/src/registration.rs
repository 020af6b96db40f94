//! What a host says of itself in the key-value service.

use mulberryrack_core::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Keys of hosts start with this.
pub const SEATS: &str = "mulberryrack/hosts/";
/// Key of the claim to give orders.
pub const CLAIM: &str = "mulberryrack/planner";

/// A host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Its name.
    pub host: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where the other hosts call.
    pub peers: SocketAddr,
}
