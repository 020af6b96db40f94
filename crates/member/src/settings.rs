//! Settings of the membership area: section `[member]`.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, PickFirst, serde_as};
use std::time::Duration;

/// Settings of the membership area.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time between two probes that this host starts.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat: Duration,
    /// Time without an answer after which other hosts are asked to probe.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "ack_ms")]
    pub ack: Duration,
    /// Hosts that are asked to probe on behalf of this one.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub detours: usize,
    /// Time from suspicion to death, in which a host can refute.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "suspicion_ms")]
    pub suspicion: Duration,
    /// Time between two probes of a host held dead.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "rejoin_ms")]
    pub rejoin: Duration,
    /// How long a dead host must be missing from the platform's list, over at least two
    /// readings, before it counts as gone.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "gone_ms")]
    pub gone: Duration,
    /// How long a gone host stays in the view.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "forget_ms")]
    pub forget: Duration,
    /// Hosts that a new value or version is sent or announced to by each host.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub fanout: usize,
    /// Time over which announcements of values are gathered.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "announce_ms")]
    pub announce: Duration,
    /// Time between two comparisons of all values with another host.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "repair_ms")]
    pub repair: Duration,
    /// Hosts of each data centre that watch the key-value service.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub watchers: usize,
    /// How long the service holds a watch.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "watch_ms")]
    pub watch: Duration,
    /// Bound on one call to the service, beyond the time that a watch is held.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "call_ms")]
    pub call: Duration,
    /// Bound on the answer to a proposal or a read by an operator.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "accept_ms")]
    pub accept: Duration,
    /// Calls a second that this host makes to the service on its own account.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub calls_per_second: u32,
    /// Calls a second that all hosts together make while they recover.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub fleet_calls_per_second: u32,
    /// Longest time between two tries to reach a service that fails.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "backoff_ms")]
    pub backoff: Duration,
    /// Age of the newest evidence up to which the table counts as current.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "current_ms")]
    pub current: Duration,
    /// Fewest hosts that an address answer names.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub subset: usize,
    /// Concurrent requests of one row that each further host in its subset stands for.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub subset_ceiling: u32,
    /// How long a caller may keep an address answer.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "address_ms")]
    pub address: Duration,
    /// Time by which every host has heard that this one is leaving, or holds it dead.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "leave_ms")]
    pub leave: Duration,
    /// Relative capacity of this host in address answers.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub weight: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            ack: Duration::from_millis(250),
            detours: 3,
            suspicion: Duration::from_secs(3),
            rejoin: Duration::from_secs(2),
            gone: Duration::from_secs(30),
            forget: Duration::from_secs(3_600),
            fanout: 4,
            announce: Duration::from_millis(200),
            repair: Duration::from_secs(5),
            watchers: 2,
            watch: Duration::from_secs(2),
            call: Duration::from_millis(1_500),
            accept: Duration::from_secs(5),
            calls_per_second: 4,
            fleet_calls_per_second: 200,
            backoff: Duration::from_secs(5),
            current: Duration::from_secs(15),
            subset: 2,
            subset_ceiling: 256,
            address: Duration::from_secs(30),
            leave: Duration::from_secs(10),
            weight: 100,
        }
    }
}
