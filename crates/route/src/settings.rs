//! Settings of the router. The guide lists them on its page on route settings.

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
    /// Mean interval between two polls of an upstream. Each interval is drawn at random
    /// from half to one and a half times this value.
    #[serde_as(as = "Millis")]
    #[serde(rename = "poll_ms")]
    pub poll_interval: Duration,
    /// Time for which a row's upstreams are polled after the row's last request.
    #[serde_as(as = "Millis")]
    #[serde(rename = "watch_ms")]
    pub watch_period: Duration,
    /// Greatest age of the figures in a report that still counts as a sign of health.
    #[serde_as(as = "Millis")]
    #[serde(rename = "fresh_ms")]
    pub max_report_age: Duration,
    /// Consecutive failures after which an upstream is down.
    #[serde_as(as = "Plain")]
    #[serde(rename = "failures_to_leave")]
    pub failures_until_down: u32,
    /// Consecutive fresh reports after which an upstream that was down gets work again.
    #[serde_as(as = "Plain")]
    pub successes_to_return: u32,
    /// Time over which the load of an upstream that was down grows to its full share.
    #[serde_as(as = "Millis")]
    #[serde(rename = "slow_start_ms")]
    pub slow_start_period: Duration,
    /// Time for which requests wait for the first report of a row's upstreams before they
    /// are refused.
    #[serde_as(as = "Millis")]
    #[serde(rename = "probe_wait_ms")]
    pub probe_timeout: Duration,
    /// Maximum number of requests in progress at this host.
    #[serde_as(as = "Plain")]
    #[serde(rename = "requests")]
    pub max_requests: usize,
    /// Maximum total size of the bodies of the requests in progress at this host, in bytes.
    #[serde_as(as = "Plain")]
    #[serde(rename = "request_bytes")]
    pub max_request_bytes: usize,
    /// Maximum number of queued requests of one row at this host.
    #[serde_as(as = "Plain")]
    #[serde(rename = "queue")]
    pub max_queue_len: usize,
    /// Maximum time that a request may take; later deadlines are brought forward.
    #[serde_as(as = "Millis")]
    #[serde(rename = "request_ms")]
    pub max_request_lifetime: Duration,
    /// Share of an upstream's slots that is reserved for urgent requests, 0 to 1. Urgent
    /// requests may exceed the slots by the same share.
    #[serde_as(as = "Plain")]
    pub urgent_reserve: f64,
    /// Timeout for the first byte, as a multiple of the row's target for the first token.
    #[serde_as(as = "Plain")]
    #[serde(rename = "first_byte_factor")]
    pub first_byte_timeout_factor: f64,
    /// Lower bound of the timeout for the first byte.
    #[serde_as(as = "Millis")]
    #[serde(rename = "first_byte_min_ms")]
    pub min_first_byte_timeout: Duration,
    /// Timeout between two chunks, as a multiple of the row's target for the token gap.
    #[serde_as(as = "Plain")]
    #[serde(rename = "gap_factor")]
    pub gap_timeout_factor: f64,
    /// Lower bound of the timeout between two chunks.
    #[serde_as(as = "Millis")]
    #[serde(rename = "gap_min_ms")]
    pub min_gap_timeout: Duration,
    /// Retries earned by each request that is dispatched for the first time. Resumes cost
    /// none.
    #[serde_as(as = "Plain")]
    pub retry_share: f64,
    /// Maximum number of saved retries, and the number that a starting host has.
    #[serde_as(as = "Plain")]
    pub retry_burst: f64,
    /// Mean delay before the first retry; it doubles with each further one, up to 64
    /// times.
    #[serde_as(as = "Millis")]
    #[serde(rename = "backoff_ms")]
    pub backoff_delay: Duration,
    /// Maximum number of runs of one request, and of resumes of one run without a new
    /// byte.
    #[serde_as(as = "Plain")]
    #[serde(rename = "attempts")]
    pub max_runs: u32,
    /// Time without a response head after which an urgent repeatable request is hedged,
    /// as a multiple of the row's target for the first token. Zero turns hedging off.
    #[serde_as(as = "Plain")]
    pub hedge_factor: f64,
    /// Time for which ended answers of non-repeatable requests are kept for resends.
    #[serde_as(as = "Millis")]
    #[serde(rename = "keep_ms")]
    pub keep_period: Duration,
    /// Maximum total size of the kept answers at this host, in bytes.
    #[serde_as(as = "Plain")]
    #[serde(rename = "keep_bytes")]
    pub max_kept_bytes: usize,
    /// Maximum size of one kept answer, in bytes; the body of a longer one is not kept.
    #[serde_as(as = "Plain")]
    #[serde(rename = "keep_answer_bytes")]
    pub max_kept_answer_bytes: usize,
    /// Time for which a fingerprint stays suspected after its last crash.
    #[serde_as(as = "Millis")]
    #[serde(rename = "suspect_ms")]
    pub suspicion_period: Duration,
    /// Delay before a request that was in flight on a crash is dispatched again, so that
    /// the suspicion reaches every host first.
    #[serde_as(as = "Millis")]
    #[serde(rename = "suspect_hold_ms")]
    pub suspect_hold_delay: Duration,
    /// Crashes after which requests with a fingerprint are refused.
    #[serde_as(as = "Plain")]
    #[serde(rename = "suspect_crashes")]
    pub crashes_until_refused: u32,
    /// Maximum number of fingerprints for which one host publishes crashes.
    #[serde_as(as = "Plain")]
    #[serde(rename = "suspects")]
    pub max_suspects: usize,
    /// Time before a crash is noticed in which a broken request counts as a possible
    /// cause.
    #[serde_as(as = "Millis")]
    #[serde(rename = "crash_window_ms")]
    pub crash_window: Duration,
    /// Delay before a starting host lends permits, in which its view of the hosts
    /// completes.
    #[serde_as(as = "Millis")]
    #[serde(rename = "permit_settle_ms")]
    pub permit_settle_delay: Duration,
    /// Interval after which unanswered frames about permits are sent again.
    #[serde_as(as = "Millis")]
    #[serde(rename = "permit_ask_ms")]
    pub permit_ask_interval: Duration,
    /// Interval at which permits that stayed unused since the last check are returned.
    #[serde_as(as = "Millis")]
    #[serde(rename = "permit_idle_ms")]
    pub permit_idle_period: Duration,
    /// Time for which permits of a host that is gone stay reserved, so that its requests
    /// can end at the upstreams.
    #[serde_as(as = "Millis")]
    #[serde(rename = "permit_reclaim_ms")]
    pub permit_reclaim_delay: Duration,
    /// Interval after which a host that follows an answer of another host asks for it
    /// again.
    #[serde_as(as = "Millis")]
    #[serde(rename = "join_ask_ms")]
    pub join_ask_interval: Duration,
    /// Maximum number of bytes of an answer sent to a following host beyond what it
    /// confirmed.
    #[serde_as(as = "Plain")]
    #[serde(rename = "join_window")]
    pub join_window_bytes: usize,
    /// Maximum number of prefix blocks remembered for each upstream.
    #[serde_as(as = "Plain")]
    #[serde(rename = "prefix_blocks")]
    pub max_prefix_blocks: usize,
    /// Load that a fully cached prompt offsets, as a share of an upstream's slots.
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
            poll_interval: Duration::from_millis(500),
            watch_period: Duration::from_secs(60),
            max_report_age: Duration::from_secs(3),
            failures_until_down: 3,
            successes_to_return: 3,
            slow_start_period: Duration::from_secs(10),
            probe_timeout: Duration::from_secs(2),
            max_requests: 4_096,
            max_request_bytes: 32 << 20,
            max_queue_len: 256,
            max_request_lifetime: Duration::from_secs(600),
            urgent_reserve: 0.1,
            first_byte_timeout_factor: 8.0,
            min_first_byte_timeout: Duration::from_secs(1),
            gap_timeout_factor: 20.0,
            min_gap_timeout: Duration::from_secs(1),
            retry_share: 0.2,
            retry_burst: 128.0,
            backoff_delay: Duration::from_millis(20),
            max_runs: 6,
            hedge_factor: 0.5,
            keep_period: Duration::from_secs(600),
            max_kept_bytes: 8 << 20,
            max_kept_answer_bytes: 1 << 20,
            suspicion_period: Duration::from_secs(600),
            suspect_hold_delay: Duration::from_secs(1),
            crashes_until_refused: 2,
            max_suspects: 1_024,
            crash_window: Duration::from_secs(5),
            permit_settle_delay: Duration::from_secs(1),
            permit_ask_interval: Duration::from_millis(200),
            permit_idle_period: Duration::from_secs(5),
            permit_reclaim_delay: Duration::from_secs(10),
            join_ask_interval: Duration::from_millis(200),
            join_window_bytes: 64 << 10,
            max_prefix_blocks: 4_096,
            prefix_credit: 0.25,
            prefix_half_life: Duration::from_secs(60),
        }
    }
}
