//! The clock whose times are passed to `gate` and `fleet`.

use mulberryrack_core::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Measures the time since its own creation, when the host starts.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at [`Time::ZERO`] now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current time.
    pub fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// The time at a moment on the runtime's clock.
    pub fn time(self, instant: Instant) -> Time {
        Time::ZERO + instant.saturating_duration_since(self.start)
    }

    /// The same moment on the runtime's clock.
    pub fn instant(self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.as_micros())
    }
}
