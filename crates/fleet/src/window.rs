//! Loads from the weight store over a sliding window.

use mulberryrack_core::Time;
use std::{collections::VecDeque, time::Duration};

/// Loads that began, or may have begun, inside the window.
#[derive(Debug, Default)]
pub struct Window {
    began: VecDeque<Time>,
}

impl Window {
    /// Whether one more load may begin.
    pub fn has_room(&mut self, now: Time, span: Duration, rate: f64) -> bool {
        while self
            .began
            .front()
            .is_some_and(|time| now.since(*time) > span)
        {
            self.began.pop_front();
        }
        #[allow(clippy::cast_precision_loss)]
        let began = self.began.len() as f64;
        began + 1.0 <= (rate * span.as_secs_f64()).max(1.0)
    }

    /// Takes a load that may have begun at `now`.
    pub fn take(&mut self, now: Time) {
        self.began.push_back(now);
    }

    /// Takes the loads that a host before may have begun just now.
    pub fn inherit(&mut self, now: Time, span: Duration, rate: f64) {
        let mut left = (rate * span.as_secs_f64()).floor();
        while left >= 1.0 {
            self.began.push_back(now);
            left -= 1.0;
        }
    }
}
