//! How much a connection has transferred of late.

use mulberryrack_core::Time;
use std::time::Duration;

/// The bytes of the current period and of the one before are known. Longer periods would spare a
/// transfer that has stalled for longer.
const PERIOD: Duration = Duration::from_secs(1);

/// Bytes of one transfer by time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Number of the period of the last bytes.
    period: u64,
    current: u64,
    previous: u64,
}

impl Pace {
    /// Counts bytes.
    pub fn add(&mut self, now: Time, bytes: u64) {
        let period = period(now);
        if period > self.period {
            let follows = period == self.period + 1;
            self.previous = if follows { self.current } else { 0 };
            self.current = 0;
            self.period = period;
        }
        self.current = self.current.saturating_add(bytes);
    }

    /// Bytes of this period and the one before.
    pub fn recent(&self, now: Time) -> u64 {
        match period(now).saturating_sub(self.period) {
            0 => self.current.saturating_add(self.previous),
            1 => self.current,
            _ => 0,
        }
    }

    /// Whether these bytes are as many as `rate` a second gives, for a transfer that began at
    /// `since`.
    pub fn is_reached(&self, now: Time, since: Time, rate: u64) -> bool {
        let before = period(now).saturating_sub(1);
        let begin = Time::from_micros(before.saturating_mul(micros(PERIOD)));
        let elapsed = micros(now.since(begin.max(since)));
        let expected = u128::from(rate) * u128::from(elapsed);
        u128::from(self.recent(now)) * u128::from(micros(Duration::from_secs(1))) >= expected
    }
}

fn period(now: Time) -> u64 {
    now.as_micros() / micros(PERIOD)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
