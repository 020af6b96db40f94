//! Figures that the decisions go by.

use std::time::Duration;

/// Figures that the decisions go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// What a running request adds to the time of another, in milliseconds.
    pub run_ms: f64,
    /// Time of reading in a row, in milliseconds, from which the streams of an engine
    /// pause noticeably: half of the users' shortest bound for a pause.
    pub crowded_ms: f64,
    /// Weight of the time beyond [`Tuning::crowded_ms`].
    pub crowding: f64,
    /// What sending a prompt to another engine than the one that all hosts would take
    /// first costs, in milliseconds: it may keep the shared parts from before.
    pub stray_ms: f64,
    /// Largest random addition to a cost, so that equal upstreams share the load.
    pub jitter_ms: f64,
    /// Share of the requests that may be repeated, over all hosts.
    pub retry_share: f64,
    /// Repeats beyond the share, over all hosts.
    pub retry_extra: f64,
    /// Window in which repeats are counted.
    pub retry_window: Duration,
    /// Share of the shortest allowed pause of a service's streams for which an engine may
    /// read without a rest; more as the objective of a waiting request comes near. The
    /// rest of the pause is for the steps of the event itself.
    pub reading_share: f64,
    /// Share of the objective beyond which an expected first event is too late.
    pub late_share: f64,
    /// Longest that a request waits for its model, as a share of its objective.
    pub place_share: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            run_ms: 4.0,
            crowded_ms: 250.0,
            crowding: 1.5,
            stray_ms: 15.0,
            jitter_ms: 2.0,
            retry_share: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            reading_share: 0.8,
            late_share: 1.0,
            place_share: 0.9,
        }
    }
}
