//! Limits retries to a share of the requests in a sliding window.

use mulberryrack_core::Time;
use std::{collections::VecDeque, time::Duration};

/// Share of the allowed retries that is used. The remainder covers differences between the
/// window here and the window in which the limit is measured.
const USED_SHARE: f64 = 0.7;
/// Share of the retries beyond the share of requests that a host may use from its start on, and
/// that it may use in addition by the end of its first window. Former incarnations may have
/// spent [`USED_SHARE`] of them just before, and this share as well if they were short.
const STARTING_SHARE: f64 = 0.05;
const FIRST_WINDOW_SHARE: f64 = 0.2;

/// The retry budget of one service at one host.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Times of first dispatches in the window, oldest first.
    firsts: VecDeque<Time>,
    /// Times of retries in the window, oldest first.
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Records a request that is about to be dispatched for the first time, which increases the
    /// budget. Called once for each request.
    pub fn record_first(&mut self, now: Time, window: Duration) {
        drop_expired(&mut self.firsts, now, window);
        self.firsts.push_back(now);
    }

    /// Records a retry if the budget allows one, and returns whether it does. The budget of a
    /// window is `share` times its requests, plus `extra`, all times `USED_SHARE`, with less of
    /// `extra` in the first window after the host's start at [`Time::ZERO`]. It grows in this
    /// window, so that several short lives spend together hardly more than a long one.
    pub fn try_spend(&mut self, now: Time, window: Duration, share: f64, extra: f64) -> bool {
        let lifetime = now.since(Time::ZERO);
        let used_extra = if lifetime < window {
            let part = lifetime.as_secs_f64() / window.as_secs_f64();
            (STARTING_SHARE + FIRST_WINDOW_SHARE * part) * extra
        } else {
            USED_SHARE * extra
        };
        drop_expired(&mut self.firsts, now, window);
        drop_expired(&mut self.retries, now, window);
        #[allow(clippy::cast_precision_loss)]
        let max_retries = USED_SHARE * share * self.firsts.len() as f64 + used_extra;
        #[allow(clippy::cast_precision_loss)]
        let is_allowed = (self.retries.len() + 1) as f64 <= max_retries;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

impl RetryBudget {
    /// Takes back a retry that was recorded at `at` and has not been sent.
    pub fn refund(&mut self, at: Time) {
        if let Some(index) = self.retries.iter().rposition(|time| *time == at) {
            self.retries.remove(index);
        }
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    let expired = |time: &Time| now.since(*time) > window;
    while times.front().is_some_and(expired) {
        times.pop_front();
    }
}
