//! Settings of a host's decisions, one part for each area.

use serde::{Deserialize, Serialize};

/// Settings of every area. The default suits a deployment of a dozen hosts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Membership, the table's spread and address answers.
    pub member: mulberryrack_member::Settings,
    /// Intents of non-repeatable requests.
    pub ledger: mulberryrack_ledger::Settings,
    /// Limits, choice of upstream, retries.
    pub route: mulberryrack_route::Settings,
    /// Orders to engines.
    pub place: mulberryrack_place::Settings,
}
