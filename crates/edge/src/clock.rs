//! The clock that decisions are told of.

use mulberryrack_core::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// The same moment on the runtime's clock.
    pub fn instant(self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.as_micros())
    }
}
