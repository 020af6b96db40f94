//! Settings of the membership area: section `[member]` of the configuration file.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, PickFirst, serde_as};
use std::time::Duration;

/// Settings of the membership area. Keys that end in `_ms` take milliseconds.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Interval at which this host probes the next of the other hosts, in random order, and
    /// a few suspects.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat_interval: Duration,
    /// Time without an answer to a probe after which other hosts are asked to probe the
    /// same host.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "ack_ms")]
    pub ack_timeout: Duration,
    /// Number of hosts that are asked to probe on behalf of this host.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub detours: usize,
    /// Time after which a suspect counts as dead unless it refutes the suspicion.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "suspicion_ms")]
    pub suspicion_timeout: Duration,
    /// Time between two probes of a random dead host that is not gone, by which the host
    /// can rejoin.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "rejoin_ms")]
    pub rejoin_interval: Duration,
    /// How long a dead host must be missing from the platform's list, over at least two
    /// readings of the list, before the host counts as gone.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "gone_ms")]
    pub gone_delay: Duration,
    /// Time since its death after which a gone host is dropped from the view. Records of
    /// a dropped host are refused for twice this time, unless they are newer.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "forget_ms")]
    pub forget_delay: Duration,
    /// Number of random hosts to which each host sends or announces a new value or table
    /// version.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub fanout: usize,
    /// Time over which adopted values are collected for one announcement.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "announce_ms")]
    pub announce_delay: Duration,
    /// Time between two comparisons of all values with a random host.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "repair_ms")]
    pub repair_interval: Duration,
    /// Number of hosts of each data centre that watch the newest table version in the
    /// key-value service.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub watchers: usize,
    /// How long the key-value service keeps a watch open when nothing changes.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "watch_ms")]
    pub watch_timeout: Duration,
    /// Timeout of a call to the key-value service, not counting the time for which a watch
    /// is kept open.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "call_ms")]
    pub call_timeout: Duration,
    /// Timeout of a proposal or of a read of stored versions.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "accept_ms")]
    pub accept_timeout: Duration,
    /// Calls a second that this host may make to the key-value service for polls, watches
    /// and deletes. Calls for proposals and for reads of the table also use up this
    /// budget but never wait for it.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub calls_per_second: u32,
    /// Calls a second to the key-value service that all hosts together aim for while they
    /// recover, such as after an outage.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub fleet_calls_per_second: u32,
    /// Maximum delay between two polls of a key-value service that fails.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "backoff_ms")]
    pub max_backoff: Duration,
    /// Age of the newest evidence up to which the table counts as confirmed.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "current_ms")]
    pub max_evidence_age: Duration,
    /// Minimum number of hosts of the own data centre that an address answer selects.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub subset: usize,
    /// Number of concurrent requests of a row for which one host is selected: an answer
    /// selects at least as many hosts as the row's ceiling divided by this number,
    /// rounded up.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub subset_ceiling: u32,
    /// How long a caller may keep using an address answer.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "address_ms")]
    pub address_lifetime: Duration,
    /// Time after [`Input::Leave`](crate::Input::Leave) by which every host has heard
    /// that this host is leaving, or counts it as dead.
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    #[serde(rename = "leave_ms")]
    pub leave_delay: Duration,
    /// Relative capacity of this host in address answers; 100 is an ordinary host.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub weight: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(250),
            detours: 3,
            suspicion_timeout: Duration::from_secs(3),
            rejoin_interval: Duration::from_secs(2),
            gone_delay: Duration::from_secs(30),
            forget_delay: Duration::from_secs(3_600),
            fanout: 4,
            announce_delay: Duration::from_millis(200),
            repair_interval: Duration::from_secs(5),
            watchers: 2,
            watch_timeout: Duration::from_secs(2),
            call_timeout: Duration::from_millis(1_500),
            accept_timeout: Duration::from_secs(5),
            calls_per_second: 4,
            fleet_calls_per_second: 200,
            max_backoff: Duration::from_secs(5),
            max_evidence_age: Duration::from_secs(15),
            subset: 2,
            subset_ceiling: 256,
            address_lifetime: Duration::from_secs(30),
            leave_delay: Duration::from_secs(10),
            weight: 100,
        }
    }
}
