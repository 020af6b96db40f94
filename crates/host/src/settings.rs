//! Settings of a host, one section for each area.

use serde::{Deserialize, Serialize};

/// Settings of every area. The defaults suit a deployment of a dozen hosts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Membership, replication of the table, and selection of hosts for callers.
    pub member: mulberryrack_member::Settings,
    /// Record of the intents to run non-repeatable requests.
    pub ledger: mulberryrack_ledger::Settings,
    /// Limits on requests, choice of upstream, retries.
    pub route: mulberryrack_route::Settings,
    /// Placement of rows on engines: cells, load and unload orders.
    pub place: mulberryrack_place::Settings,
}
