//! Rate limit of calls to the key-value service.

use mulberryrack_core::Time;
use std::time::Duration;

/// Capacity of the bucket, in seconds of the permitted rate.
const BURST_SECONDS: f64 = 4.0;

/// A token bucket with one token per call. Calls for proposals and for reads of the table
/// take tokens without waiting, so the balance can become negative; polls, watches and
/// deletes then wait until a token is available again.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    per_second: f64,
    tokens: f64,
    refilled_at: Time,
}

impl Budget {
    pub fn new(per_second: u32, now: Time) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second * BURST_SECONDS,
            refilled_at: now,
        }
    }

    /// Takes a token if one is available, and returns whether it did.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Takes a token even if none is available.
    pub fn force_take(&mut self, now: Time) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Time until a token is available.
    pub fn wait_time(&self) -> Duration {
        if self.tokens >= 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((1.0 - self.tokens) / self.per_second.max(0.001))
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.per_second * BURST_SECONDS);
        self.refilled_at = now;
    }
}
