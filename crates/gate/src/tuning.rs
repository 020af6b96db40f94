//! The parameters of the decisions.

use mulberryrack_site::settings::BalanceRule;
use mulberryrack_suspect::Limits;
use std::time::Duration;

/// The parameters of the decisions. Costs are in milliseconds of a request's time to its
/// first event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// How upstreams are chosen by their load.
    pub balance_rule: BalanceRule,
    /// Under the rule [`BalanceRule::Even`], whether hosts share the speeds of engines and the pauses of
    /// their streams, and decide by them.
    pub shares_speeds: bool,
    /// Cost of each request that is already at the upstream.
    pub per_request_ms: f64,
    /// Time of uninterrupted prompt reading above which the pauses of an engine's streams
    /// become noticeable: half of the users' shortest gap target.
    pub long_backlog_ms: f64,
    /// Additional weight of the reading time above [`Tuning::long_backlog_ms`].
    pub long_backlog_factor: f64,
    /// Cost of an engine other than the one that all hosts prefer for the prompt's shared
    /// prefix. The preferred engine may still have the prefix cached.
    pub off_preferred_ms: f64,
    /// Upper bound of the random cost that spreads requests over equal upstreams.
    pub jitter_ms: f64,
    /// Under the rule [`BalanceRule::Even`], the difference in cost by which a candidate among the
    /// best is selected 2.7 times less often. Hosts that decide at the same moment know the same.
    pub spread_ms: f64,
    /// Under the rule [`BalanceRule::Even`], the weight of the risk of a pause over the gap target in
    /// that of a missed target. The share of pauses follows the load by some 20 s: with the full weight
    /// the fast engines get so much that answers are late where engines are scarce.
    pub pause_weight: f64,
    /// Retries allowed in the window, as a share of the requests, over all hosts.
    pub retry_share: f64,
    /// Retries allowed in the window beyond that share, over all hosts.
    pub retry_extra: f64,
    /// Length of the sliding window in which retries are counted.
    pub retry_window: Duration,
    /// Share of a service's shortest gap target for which an engine may read prompts
    /// without interruption. The rest of the gap is left for the engine's steps that
    /// produce the event. The share increases as a waiting request comes close to its
    /// latency target.
    pub reading_share: f64,
    /// A request is refused if its first event is expected after this share of its latency
    /// target.
    pub late_share: f64,
    /// [`Tuning::reading_share`] for services that are balanced evenly. Their engines read prompts in
    /// pieces between the tokens of running streams, so that a long reading period delays each event
    /// by some pieces only.
    pub even_reading_share: f64,
    /// [`Tuning::late_share`] for services that are balanced evenly. A late answer is of use to most
    /// callers, which give up after four times the target; a refused request that comes back is late
    /// as well.
    pub even_late_share: f64,
    /// Largest part of [`Tuning::even_late_share`] that requests lose in favour of others while
    /// engines are scarce; zero decides by the order of arrival. What is left is half of the latency
    /// target, so that requests are admitted that can still meet it.
    pub fair_reduction: f64,
    /// Longest time that a request waits for its model to be loaded, as a share of its
    /// latency target.
    pub placement_wait_share: f64,
    /// When requests are refused because they crash upstreams, and for how long.
    pub suspect_limits: Limits,
    /// Time within which all hosts learn that a host was registered or is gone.
    pub handover: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            balance_rule: BalanceRule::Least,
            shares_speeds: false,
            per_request_ms: 4.0,
            long_backlog_ms: 250.0,
            long_backlog_factor: 1.5,
            off_preferred_ms: 15.0,
            jitter_ms: 2.0,
            spread_ms: 4.0,
            pause_weight: 0.2,
            retry_share: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            reading_share: 0.8,
            late_share: 1.0,
            even_reading_share: 4.0,
            even_late_share: 2.5,
            fair_reduction: 0.8,
            placement_wait_share: 0.9,
            suspect_limits: Limits {
                crashes_until_refused: 3,
                max_suspects: 1_024,
                suspicion_period: Duration::from_secs(600),
            },
            handover: Duration::from_secs(2),
        }
    }
}
