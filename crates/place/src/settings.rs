//! Settings of the planner.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, PickFirst, serde_as};
use std::time::Duration;

/// Settings of the planner. A setting that is left out has its default. Keys that end in
/// `_ms` take milliseconds.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of engines in a cell.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub cell_engines: u32,
    /// Loads a second that the weight store allows over all engines of all cells.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub loads_per_second: f64,
    /// Number of concurrent loads that the weight store serves at full speed, over all
    /// engines of all cells.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub parallel_loads: u32,
    /// Pending requests that a further copy must relieve for each move that placing the
    /// copy takes. Placing the copy is one move; each group of copies that is unloaded to
    /// make room for it is one move more.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub move_price: f64,
    /// Number of pending requests that one copy serves well.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub copy_load: f64,
    /// Time constant of the exponential smoothing while demand rises.
    #[serde(rename = "rise_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub rise_period: Duration,
    /// Time constant of the exponential smoothing while demand falls.
    #[serde(rename = "fall_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub fall_period: Duration,
    /// Age beyond which the demand that a host reported no longer counts.
    #[serde(rename = "demand_lifetime_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub demand_lifetime: Duration,
    /// Average time between two polls of an engine; each interval is between 0.75 and 1.25
    /// times as long, at random.
    #[serde(rename = "poll_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub poll_interval: Duration,
    /// Time between two plans of a cell.
    #[serde(rename = "plan_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub plan_interval: Duration,
    /// Time without an answer after which an engine counts as lost: its copies are no
    /// longer published as routable and no longer count for plans, unless more than half of
    /// the cell's engines are silent. Also the maximum time for which a new planner waits
    /// for the reports of all engines of its cell.
    #[serde(rename = "lost_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub lost_timeout: Duration,
    /// Time between publishing that a copy takes no new requests and ordering its unload:
    /// the time that a published value takes to reach every host.
    #[serde(rename = "unroute_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub unroute_delay: Duration,
    /// Time after which an order is sent again if the engine has not settled it.
    #[serde(rename = "resend_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub resend_interval: Duration,
    /// Time for which an order that an engine has not answered can still arrive, also at a
    /// later incarnation of the engine.
    #[serde(rename = "order_lifetime_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub order_lifetime: Duration,
    /// Time for which a former planner can still send the orders that it has recorded, if
    /// its host is not known to be gone.
    #[serde(rename = "planner_lifetime_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub planner_lifetime: Duration,
    /// Time to live of the lease on a cell.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub lease_ttl: Duration,
    /// Timeout of a call to the key-value service; after it the outcome of the call counts
    /// as unknown.
    #[serde(rename = "call_timeout_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub call_timeout: Duration,
    /// Time for which a host keeps planning for a cell after another host has become the
    /// preferred one. Then the host releases the cell.
    #[serde(rename = "handover_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub handover_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cell_engines: 64,
            loads_per_second: 1.4,
            parallel_loads: 6,
            move_price: 2.0,
            copy_load: 8.0,
            rise_period: Duration::from_secs(20),
            fall_period: Duration::from_secs(600),
            demand_lifetime: Duration::from_secs(10),
            poll_interval: Duration::from_millis(500),
            plan_interval: Duration::from_millis(200),
            lost_timeout: Duration::from_secs(5),
            unroute_delay: Duration::from_millis(1_500),
            resend_interval: Duration::from_secs(3),
            order_lifetime: Duration::from_secs(600),
            planner_lifetime: Duration::from_secs(7_200),
            lease_ttl: Duration::from_secs(10),
            call_timeout: Duration::from_secs(2),
            handover_delay: Duration::from_secs(10),
        }
    }
}
