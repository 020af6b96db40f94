//! Settings of the ledger, with their defaults.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, PickFirst, serde_as};
use std::time::Duration;

/// Settings of the ledger. Values are numbers, or strings of numbers as an INI file has
/// them; `witness` is a boolean. All hosts of a deployment need the same `shards` and
/// `positions`. The last sentence on each field is the default.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Number of shards that request ids are divided into; each has an owner and a log. 32.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub shards: u32,
    /// Number of entries in the ring of each shard's log. 64.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub positions: u32,
    /// Largest size in bytes of the records in a log entry or in a batch to the successor.
    /// 65,536.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub entry_bytes: u32,
    /// Most writes per second to the key-value service, of all hosts together. 200.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub writes_per_second: u32,
    /// How long the first claim of a log entry waits for further claims. 2 ms.
    #[serde(rename = "batch_delay_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub batch_delay: Duration,
    /// How long the record of a request's end may wait for an entry that is written anyway.
    /// 5 s.
    #[serde(rename = "end_delay_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub end_delay: Duration,
    /// First interval between transmissions of a frame; it doubles each time, up to
    /// eightfold. 50 ms.
    #[serde(rename = "retransmit_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub retransmit_interval: Duration,
    /// How long a call to the key-value service may take. 1 s.
    #[serde(rename = "call_timeout_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub call_timeout: Duration,
    /// How long after a failed call the call is made again. 250 ms.
    #[serde(rename = "call_retry_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub call_retry_delay: Duration,
    /// Whether an owner may grant claims while the key-value service is slow or down, once
    /// its successor has a copy of their records. true.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub witness: bool,
    /// How long a record waits for the key-value service before it is copied to the
    /// successor. 200 ms.
    #[serde(rename = "witness_after_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub witness_delay: Duration,
    /// How long both the service and the successor may fail to confirm records before
    /// waiting claims are refused. 2 s.
    #[serde(rename = "refuse_after_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub refuse_timeout: Duration,
    /// How long another host must be the preferred owner before a shard is handed to it. 5 s.
    #[serde(rename = "settle_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub handover_delay: Duration,
    /// How long a host must be missing from the view to count as gone for good. 30 s.
    #[serde(rename = "absent_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub absent_timeout: Duration,
    /// How long after the loss of both owner and successor claims for unrecorded ids are
    /// answered as possibly run. Callers must not resend a request later than this after its
    /// first attempt, or it may run again. 120 s.
    #[serde(rename = "resend_horizon_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub quarantine_period: Duration,
    /// How long an intent is kept; a claim for its id is granted again afterwards. 30 min.
    #[serde(rename = "retention_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub retention: Duration,
    /// Most records of a shard that may wait for the log before new claims are refused.
    /// 100,000.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub backlog: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shards: 32,
            positions: 64,
            entry_bytes: 65_536,
            writes_per_second: 200,
            batch_delay: Duration::from_millis(2),
            end_delay: Duration::from_secs(5),
            retransmit_interval: Duration::from_millis(50),
            call_timeout: Duration::from_secs(1),
            call_retry_delay: Duration::from_millis(250),
            witness: true,
            witness_delay: Duration::from_millis(200),
            refuse_timeout: Duration::from_secs(2),
            handover_delay: Duration::from_secs(5),
            absent_timeout: Duration::from_secs(30),
            quarantine_period: Duration::from_secs(120),
            retention: Duration::from_secs(1_800),
            backlog: 100_000,
        }
    }
}
