//! Limits the rate at which loads from the weight store begin.

use mulberryrack_core::Time;
use std::{collections::VecDeque, time::Duration};

/// Times at which the loads in the sliding window began, or may have begun, oldest first.
#[derive(Debug, Default)]
pub struct LoadWindow {
    starts: VecDeque<Time>,
}

impl LoadWindow {
    /// Whether one more load may begin. The window of length `span` allows `rate` loads per
    /// second on average, and at least one load.
    pub fn has_room(&mut self, now: Time, span: Duration, rate: f64) -> bool {
        while self
            .starts
            .front()
            .is_some_and(|time| now.since(*time) > span)
        {
            self.starts.pop_front();
        }
        #[allow(clippy::cast_precision_loss)]
        let started = self.starts.len() as f64;
        started + 1.0 <= (rate * span.as_secs_f64()).max(1.0)
    }

    /// Records a load that may have begun at `now`.
    pub fn record(&mut self, now: Time) {
        self.starts.push_back(now);
    }

    /// Records as many loads at `now` as the window allows, since the previous planner may
    /// just have begun them.
    pub fn fill(&mut self, now: Time, span: Duration, rate: f64) {
        let mut remaining = (rate * span.as_secs_f64()).floor();
        while remaining >= 1.0 {
            self.starts.push_back(now);
            remaining -= 1.0;
        }
    }
}
