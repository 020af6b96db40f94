//! Settings of the router; see the guide page on route settings.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, PickFirst, Same, serde_as};
use std::time::Duration;

type Millis = PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>;
type Plain = PickFirst<(Same, DisplayFromStr)>;

/// Settings of the router. Numbers may be given as strings, durations in milliseconds.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Mean time between two polls of an upstream; each is drawn from half to one and a
    /// half of it.
    #[serde_as(as = "Millis")]
    #[serde(rename = "poll_ms")]
    pub poll: Duration,
    /// Time after its last request during which a row's upstreams are polled.
    #[serde_as(as = "Millis")]
    #[serde(rename = "watch_ms")]
    pub watch: Duration,
    /// Oldest age of a report's figures that counts as a sign of health.
    #[serde_as(as = "Millis")]
    #[serde(rename = "fresh_ms")]
    pub fresh: Duration,
    /// Consecutive failures after which an upstream is down.
    #[serde_as(as = "Plain")]
    pub failures_to_leave: u32,
    /// Consecutive fresh reports after which an upstream that was down is taken back.
    #[serde_as(as = "Plain")]
    pub successes_to_return: u32,
    /// Time over which a returned upstream grows to its full part of the load.
    #[serde_as(as = "Millis")]
    #[serde(rename = "slow_start_ms")]
    pub slow_start: Duration,
    /// Longest wait for the first report of a row's upstreams.
    #[serde_as(as = "Millis")]
    #[serde(rename = "probe_wait_ms")]
    pub probe_wait: Duration,
    /// Most requests at this host at once.
    #[serde_as(as = "Plain")]
    pub requests: usize,
    /// Most bytes of request bodies at this host at once.
    #[serde_as(as = "Plain")]
    pub request_bytes: usize,
    /// Most requests that wait for one row at this host.
    #[serde_as(as = "Plain")]
    pub queue: usize,
    /// Longest life of a request; later deadlines are brought forward to it.
    #[serde_as(as = "Millis")]
    #[serde(rename = "request_ms")]
    pub request: Duration,
    /// Share of an upstream's slots that only urgent requests use, 0 to 1.
    #[serde_as(as = "Plain")]
    pub urgent_reserve: f64,
    /// Bound on the first byte as a multiple of the row's target for the first token.
    #[serde_as(as = "Plain")]
    pub first_byte_factor: f64,
    /// Least bound on the first byte.
    #[serde_as(as = "Millis")]
    #[serde(rename = "first_byte_min_ms")]
    pub first_byte_min: Duration,
    /// Bound between two chunks as a multiple of the row's target between tokens.
    #[serde_as(as = "Plain")]
    pub gap_factor: f64,
    /// Least bound between two chunks.
    #[serde_as(as = "Millis")]
    #[serde(rename = "gap_min_ms")]
    pub gap_min: Duration,
    /// Retries allowed as a share of first attempts.
    #[serde_as(as = "Plain")]
    pub retry_share: f64,
    /// Retries that may be saved up.
    #[serde_as(as = "Plain")]
    pub retry_burst: f64,
    /// Mean pause before the first retry; it doubles with each further one.
    #[serde_as(as = "Millis")]
    #[serde(rename = "backoff_ms")]
    pub backoff: Duration,
    /// Most attempts of one request, resumes included.
    #[serde_as(as = "Plain")]
    pub attempts: u32,
    /// Wait for a head, as a multiple of the row's target for the first token, after
    /// which an urgent repeatable request is hedged; zero turns hedges off.
    #[serde_as(as = "Plain")]
    pub hedge_factor: f64,
    /// Time for which answers of non-repeatable requests are kept for resends.
    #[serde_as(as = "Millis")]
    #[serde(rename = "keep_ms")]
    pub keep: Duration,
    /// Most bytes of kept answers at this host.
    #[serde_as(as = "Plain")]
    pub keep_bytes: usize,
    /// Most bytes kept of a single answer.
    #[serde_as(as = "Plain")]
    pub keep_answer_bytes: usize,
    /// Time for which a fingerprint stays suspected after its last crash.
    #[serde_as(as = "Millis")]
    #[serde(rename = "suspect_ms")]
    pub suspect: Duration,
    /// Wait before a suspect is tried again, for the suspicion to reach every host.
    #[serde_as(as = "Millis")]
    #[serde(rename = "suspect_hold_ms")]
    pub suspect_hold: Duration,
    /// Crashes after which a fingerprint is refused.
    #[serde_as(as = "Plain")]
    pub suspect_crashes: u32,
    /// Most fingerprints suspected at once by one host.
    #[serde_as(as = "Plain")]
    pub suspects: usize,
    /// Time before a crash is seen during which a broken request counts as a cause.
    #[serde_as(as = "Millis")]
    #[serde(rename = "crash_window_ms")]
    pub crash_window: Duration,
    /// Wait of a starting host before it lends permits, for its view to become whole.
    #[serde_as(as = "Millis")]
    #[serde(rename = "permit_settle_ms")]
    pub permit_settle: Duration,
    /// Time after which unanswered questions about permits are asked again.
    #[serde_as(as = "Millis")]
    #[serde(rename = "permit_ask_ms")]
    pub permit_ask: Duration,
    /// Time after which idle permits are given back.
    #[serde_as(as = "Millis")]
    #[serde(rename = "permit_idle_ms")]
    pub permit_idle: Duration,
    /// Time for which permits of a host that is gone stay reserved, for its requests to
    /// end at the upstreams.
    #[serde_as(as = "Millis")]
    #[serde(rename = "permit_reclaim_ms")]
    pub permit_reclaim: Duration,
    /// Time after which a host that follows another host's answer asks again.
    #[serde_as(as = "Millis")]
    #[serde(rename = "join_ask_ms")]
    pub join_ask: Duration,
    /// Most bytes of an answer sent to a following host ahead of what it has confirmed.
    #[serde_as(as = "Plain")]
    pub join_window: usize,
    /// Prefix blocks remembered for each upstream.
    #[serde_as(as = "Plain")]
    pub prefix_blocks: usize,
    /// Load, as a share of an upstream's slots, that a wholly cached prompt is worth.
    #[serde_as(as = "Plain")]
    pub prefix_credit: f64,
    /// Age at which a cached block counts half.
    #[serde_as(as = "Millis")]
    #[serde(rename = "prefix_half_life_ms")]
    pub prefix_half_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll: Duration::from_millis(500),
            watch: Duration::from_secs(60),
            fresh: Duration::from_secs(3),
            failures_to_leave: 3,
            successes_to_return: 3,
            slow_start: Duration::from_secs(10),
            probe_wait: Duration::from_secs(2),
            requests: 4_096,
            request_bytes: 32 << 20,
            queue: 256,
            request: Duration::from_secs(600),
            urgent_reserve: 0.1,
            first_byte_factor: 8.0,
            first_byte_min: Duration::from_secs(1),
            gap_factor: 20.0,
            gap_min: Duration::from_secs(1),
            retry_share: 0.2,
            retry_burst: 128.0,
            backoff: Duration::from_millis(20),
            attempts: 6,
            hedge_factor: 0.5,
            keep: Duration::from_secs(600),
            keep_bytes: 8 << 20,
            keep_answer_bytes: 1 << 20,
            suspect: Duration::from_secs(600),
            suspect_hold: Duration::from_secs(1),
            suspect_crashes: 2,
            suspects: 1_024,
            crash_window: Duration::from_secs(5),
            permit_settle: Duration::from_secs(1),
            permit_ask: Duration::from_millis(200),
            permit_idle: Duration::from_secs(5),
            permit_reclaim: Duration::from_secs(10),
            join_ask: Duration::from_millis(200),
            join_window: 64 << 10,
            prefix_blocks: 4_096,
            prefix_credit: 0.25,
            prefix_half_life: Duration::from_secs(60),
        }
    }
}
