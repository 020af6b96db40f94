//! The share of requests that an upstream fails, as far as this host has seen lately.

use mulberryrack_core::Time;

/// Weight of the newest request.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Time in seconds after which the share counts half if the upstream gets no more requests.
const HALF_LIFE_S: f64 = 3.0;

/// A share up to this one counts as none: requests fail now and then everywhere.
const IGNORED_SHARE: f64 = 0.05;

/// Smoothed share of failed requests, between 0 and 1.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureShare {
    share: f64,
    updated_at: Time,
}

impl FailureShare {
    /// Records a request that was answered, or one that was not.
    pub fn record(&mut self, now: Time, is_failed: bool) {
        let sample = f64::from(u8::from(is_failed));
        let share = self.decayed(now);
        *self = Self {
            share: share + SMOOTHING_FACTOR * (sample - share),
            updated_at: now,
        };
    }

    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.share * (-age / HALF_LIFE_S).exp2()
    }

    /// The share as it counts now.
    pub fn at(&self, now: Time) -> f64 {
        (self.decayed(now) - IGNORED_SHARE).max(0.0)
    }
}
