//! A budget of calls to the key-value service.

use mulberryrack_core::Time;
use std::time::Duration;

/// Seconds of calls that can be saved up.
const BURST_SECONDS: f64 = 4.0;

/// A token bucket. Operators' calls take tokens without asking, so that it may run into
/// debt, which the host's own calls then wait for.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    per_second: f64,
    tokens: f64,
    at: Time,
}

impl Budget {
    pub fn new(per_second: u32, now: Time) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second * BURST_SECONDS,
            at: now,
        }
    }

    /// Takes one call if the budget has it.
    pub fn ask(&mut self, now: Time) -> bool {
        self.refill(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Takes one call in any case.
    pub fn take(&mut self, now: Time) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Time until the next call can be taken.
    pub fn wait(&self) -> Duration {
        if self.tokens >= 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((1.0 - self.tokens) / self.per_second.max(0.001))
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.per_second * BURST_SECONDS);
        self.at = now;
    }
}
