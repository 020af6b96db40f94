//! Settings of the planner.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, PickFirst, serde_as};
use std::time::Duration;

/// Settings of the planner; every one has a default.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Most engines in a cell.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub cell_engines: u32,
    /// Loads a second that the weight store allows over the whole fleet.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub loads_per_second: f64,
    /// Loads that the weight store serves at once at full speed, over the whole fleet.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub parallel_loads: u32,
    /// Pending requests that one further copy must relieve to be worth one move; each
    /// copy that makes room for it is one move more.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub move_price: f64,
    /// Pending requests that one copy serves well.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub copy_load: f64,
    /// Time over which a rise of demand is smoothed.
    #[serde(rename = "rise_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub rise: Duration,
    /// Time over which a fall of demand is smoothed.
    #[serde(rename = "fall_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub fall: Duration,
    /// Age at which demand reported by a host no longer counts.
    #[serde(rename = "demand_lifetime_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub demand_lifetime: Duration,
    /// Time between two polls of an engine, spread by a quarter either way.
    #[serde(rename = "poll_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub poll: Duration,
    /// Time between two plans.
    #[serde(rename = "plan_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub plan: Duration,
    /// Time without a report after which an engine's copies no longer count.
    #[serde(rename = "lost_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub lost: Duration,
    /// Time between publishing that a copy takes no new requests and ordering its
    /// unload; the time that a value needs to reach every host.
    #[serde(rename = "unroute_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub unroute: Duration,
    /// Time after which an order that is not settled is sent again.
    #[serde(rename = "resend_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub resend: Duration,
    /// Time for which an order that an engine has not answered can be on its way to a
    /// later life of the engine.
    #[serde(rename = "order_lifetime_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub order_lifetime: Duration,
    /// Time for which a former planner that is not known to be gone can still send what
    /// it has recorded.
    #[serde(rename = "planner_lifetime_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub planner_lifetime: Duration,
    /// Time to live of a cell's lease.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub lease: Duration,
    /// Time after which a call to the key-value service counts as unanswered.
    #[serde(rename = "call_timeout_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub call_timeout: Duration,
    /// Time after which a cell is handed to the host that should hold it.
    #[serde(rename = "handover_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub handover: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cell_engines: 64,
            loads_per_second: 1.4,
            parallel_loads: 6,
            move_price: 2.0,
            copy_load: 8.0,
            rise: Duration::from_secs(20),
            fall: Duration::from_secs(600),
            demand_lifetime: Duration::from_secs(10),
            poll: Duration::from_millis(500),
            plan: Duration::from_millis(200),
            lost: Duration::from_secs(5),
            unroute: Duration::from_millis(1_500),
            resend: Duration::from_secs(3),
            order_lifetime: Duration::from_secs(600),
            planner_lifetime: Duration::from_secs(7_200),
            lease: Duration::from_secs(10),
            call_timeout: Duration::from_secs(2),
            handover: Duration::from_secs(10),
        }
    }
}
