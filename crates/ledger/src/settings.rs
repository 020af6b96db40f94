//! Settings of the ledger.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, PickFirst, serde_as};
use std::time::Duration;

/// Settings of the ledger. All hosts of a deployment need the same `shards` and
/// `positions`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Parts that ids are cut into; each has its own owner and log. 32.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub shards: u32,
    /// Positions of each shard's log, which is a ring of entries. 64.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub positions: u32,
    /// Largest entry or segment content in bytes. 65,536.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub entry_bytes: u32,
    /// Writes a second of all hosts together to the key-value service. 200.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub writes_per_second: u32,
    /// How long the first claim of a batch waits for others. 2 ms.
    #[serde(rename = "batch_delay_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub batch_delay: Duration,
    /// How long the end of a request may wait for an entry to go with. 5 s.
    #[serde(rename = "end_delay_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub end_delay: Duration,
    /// First interval between retransmissions of a frame; it doubles up to eightfold. 50 ms.
    #[serde(rename = "retransmit_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub retransmit: Duration,
    /// How long a call of the key-value service may take. 1 s.
    #[serde(rename = "call_timeout_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub call_timeout: Duration,
    /// Pause after a failed call before it is made again. 250 ms.
    #[serde(rename = "call_retry_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub call_retry: Duration,
    /// Whether an owner may grant with its successor's word while the service fails. true.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub witness: bool,
    /// How long a claim waits for the service before the successor is asked. 200 ms.
    #[serde(rename = "witness_after_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub witness_after: Duration,
    /// How long a claim waits for the service and the successor before it is refused. 2 s.
    #[serde(rename = "refuse_after_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub refuse_after: Duration,
    /// How long another host must be first choice before it is handed a shard. 5 s.
    #[serde(rename = "settle_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub settle: Duration,
    /// How long a host must be missing from the view to count as gone. 30 s.
    #[serde(rename = "absent_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub absent: Duration,
    /// How long after a double loss claims are answered with a doubt. 120 s.
    #[serde(rename = "resend_horizon_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub resend_horizon: Duration,
    /// How long an intent is kept. 30 min.
    #[serde(rename = "retention_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub retention: Duration,
    /// Most records of a shard that wait for the log. 100,000.
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
            retransmit: Duration::from_millis(50),
            call_timeout: Duration::from_secs(1),
            call_retry: Duration::from_millis(250),
            witness: true,
            witness_after: Duration::from_millis(200),
            refuse_after: Duration::from_secs(2),
            settle: Duration::from_secs(5),
            absent: Duration::from_secs(30),
            resend_horizon: Duration::from_secs(120),
            retention: Duration::from_secs(1_800),
            backlog: 100_000,
        }
    }
}
