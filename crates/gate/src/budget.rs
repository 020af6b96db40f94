//! How many requests may be sent a second time, over a sliding window.

use mulberryrack_core::Time;
use std::{collections::VecDeque, time::Duration};

/// Share of the bound that is used; the rest covers the differences between the window
/// here and the one that the bound is measured in.
const USED_SHARE: f64 = 0.7;

/// Repeats of one service at one host.
#[derive(Debug, Default)]
pub struct Budget {
    /// Times of first sends inside the window, oldest first.
    firsts: VecDeque<Time>,
    /// Times of repeats inside the window, oldest first.
    repeats: VecDeque<Time>,
}

impl Budget {
    /// Takes a request's first send.
    pub fn earn(&mut self, now: Time) {
        self.firsts.push_back(now);
    }

    /// Takes a repeat if one is left: `share` of the requests in the window and `extra`
    /// beyond.
    pub fn spend(&mut self, now: Time, window: Duration, share: f64, extra: f64) -> bool {
        let expired = |time: &Time| now.since(*time) > window;
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(expired) {
                times.pop_front();
            }
        }
        #[allow(clippy::cast_precision_loss)]
        let allowed = USED_SHARE * (share * self.firsts.len() as f64 + extra);
        #[allow(clippy::cast_precision_loss)]
        let left = (self.repeats.len() + 1) as f64 <= allowed;
        if left {
            self.repeats.push_back(now);
        }
        left
    }
}
