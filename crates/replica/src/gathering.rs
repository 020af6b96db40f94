//! For how long further changes gather after some have been applied.

use std::time::Duration;

/// Part of the longest allowed reaction delay for which changes gather. The rest is for the next call and its
/// retry.
const SHARE: f64 = 0.35;
/// The same part for a host that is late: without any gathering it would be later for the calls.
const MIN_SHARE: f64 = 0.15;
/// Turns of the thread that a change takes after the gathering: for its end, and for the answer to the watch.
const TURNS: u32 = 2;
/// Ways over the host's link, there and back, that it takes: that of the watch, and that of a request which was
/// decided on before its answer.
const WAYS: u32 = 2;

/// What makes a change late beyond the gathering.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// Of each turn of the host's thread.
    pub turn: Duration,
    /// How long the bytes of an answer take.
    pub transfer: Duration,
    /// How much longer than usual a way over the host's link takes, there and back.
    pub way: Duration,
}

/// Time for which changes gather, so that each is in force within the longest allowed reaction delay.
#[must_use]
pub fn gathering(max_reaction_delay: Duration, late: Lateness) -> Duration {
    let late = late.turn * TURNS + late.transfer + late.way * WAYS;
    let usual = max_reaction_delay.mul_f64(SHARE);
    usual
        .saturating_sub(late)
        .max(max_reaction_delay.mul_f64(MIN_SHARE))
}
