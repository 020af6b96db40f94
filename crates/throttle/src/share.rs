//! What may be sent to an upstream beside the tokens of the host that gives them all, so that the
//! sum stays within one and a half times the limit although nobody knows what others do.
//!
//! Without any token, all hosts together send at most [`SHARE`] of the limit. A turn that is not
//! used is lost: hosts that all saved one would use them together.

use mulberryrack_core::{Rate, Time};
use std::time::Duration;

/// Part of the limit that the second host gives to those that do not reach the first one.
pub const SECOND_SHARE: f64 = 0.4;
/// Part of the limit that all hosts together use without tokens.
const SHARE: f64 = 0.1;
/// Time for which a turn can be used.
const MAX_TURN_PERIOD: Duration = Duration::from_secs(1);
/// Lowest limit that is taken into account; see the lowest rate of tokens.
const MIN_RATE: Rate = Rate::from_millis(250);

/// Turns of one host at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// Begin of the next turn; `None` before the first use.
    next: Option<Time>,
}

/// Time between two turns of a host.
fn period(limit: Rate, host_count: u32) -> Duration {
    limit.max(MIN_RATE).time_for(f64::from(host_count) / SHARE)
}

impl Share {
    /// Takes the turn if there is one now. `phase`, drawn evenly from 0 to 1, places the first
    /// turn, so that those of different hosts are spread.
    pub fn take(&mut self, now: Time, limit: Rate, host_count: u32, phase: f64) -> bool {
        let period = period(limit, host_count);
        let next = self.next_turn(now, period, phase);
        let is_turn = next <= now;
        self.next = Some(if is_turn { next + period } else { next });
        is_turn
    }

    /// Begin of the first turn that is not over.
    fn next_turn(&self, now: Time, period: Duration, phase: f64) -> Time {
        let drawn = now + period.mul_f64(phase);
        let mut next = self.next.unwrap_or(drawn);
        // The limit has risen: the turn was drawn for a longer period.
        if next > now + period {
            next = drawn;
        }
        let over = now.since(next + period.min(MAX_TURN_PERIOD));
        if !over.is_zero() {
            let missed = over.as_secs_f64() / period.as_secs_f64();
            next = next + period.mul_f64(missed.ceil());
        }
        next
    }

    /// Begin of the next turn, once [`Share::take`] was called.
    #[must_use]
    pub fn next(&self) -> Time {
        self.next.unwrap_or(Time::MAX)
    }
}
