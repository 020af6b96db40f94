//! A token bucket.

use mulberryrack_core::{Rate, Time};
use std::time::Duration;

/// Period whose tokens the bucket holds, which covers a host's thread that is late, and the least
/// that it holds. More than one, so that the next token falls due while one is not yet asked for.
const BURST_PERIOD: Duration = Duration::from_millis(100);
const MIN_CAPACITY: f64 = 1.5;
/// Part of a token that counts as a whole one, for rounding.
const ROUNDING: f64 = 1e-6;

/// Tokens that fall due at a rate; empty at first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    rate: Rate,
    level: f64,
    /// Time for which the level holds.
    at: Time,
}

impl Bucket {
    pub(crate) const fn new(now: Time, rate: Rate) -> Self {
        Self {
            rate,
            level: 0.0,
            at: now,
        }
    }

    /// Sets the rate from now on.
    pub(crate) fn set_rate(&mut self, now: Time, rate: Rate) {
        self.fill(now);
        self.rate = rate;
    }

    fn fill(&mut self, now: Time) {
        let due = self.rate.in_period(now.since(self.at));
        self.level = (self.level + due).min(self.capacity());
        self.at = self.at.max(now);
    }

    fn capacity(&self) -> f64 {
        self.rate.in_period(BURST_PERIOD).max(MIN_CAPACITY)
    }

    /// Takes a token if there is one.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        self.fill(now);
        let has_token = self.level >= 1.0 - ROUNDING;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Puts a token back that was not used.
    pub(crate) fn put_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity());
    }

    /// Time until so many tokens have fallen due.
    pub(crate) fn time_until(&self, now: Time, tokens: usize) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let missing = tokens as f64 - self.level - self.rate.in_period(now.since(self.at));
        self.rate.time_for(missing)
    }
}
