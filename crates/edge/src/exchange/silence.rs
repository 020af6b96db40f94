//! How long a silent upstream is waited for.

use super::Exchange;
use crate::lateness;
use mulberryrack_core::Time;
use mulberryrack_gate::{RequestState, Target};
use mulberryrack_site::Dialect;
use std::time::Duration;
use tokio::task;

/// Longest wait before the limit for a silent upstream is computed again.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Lower bound of the time after which a silent upstream is given up and the request may be
/// retried.
pub(super) const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

impl<D: Dialect> Exchange<D> {
    /// Time for which an upstream is usually silent at most.
    fn max_silence(&self, state: &RequestState) -> Duration {
        let latency_target = state.route.latency_target;
        let max_silence = match (self.progress.head_sent, state.route.gap_target) {
            (true, Some(gap)) => gap * 3,
            _ if state.route.streaming => latency_target.mul_f64(1.5),
            _ => latency_target,
        };
        max_silence.max(MIN_SILENCE_TIMEOUT)
    }

    /// Time at which an upstream that has been silent since `since` is given up.
    fn silence_deadline(&self, state: &RequestState, target: &Target, since: Time) -> Time {
        let max_silence = self.max_silence(state);
        let now = self.shared.clock.now();
        let gate = self.shared.gate.borrow();
        gate.silence_deadline(
            now,
            state,
            target.id,
            since,
            max_silence,
            self.progress.head_sent,
        )
    }

    /// Waits until an upstream that has been silent since `since` has to be given up. Records the
    /// silence once it is longer than usual.
    pub(super) async fn wait_for_silence(
        &self,
        state: &RequestState,
        target: &Target,
        since: Time,
    ) {
        let unusual = since + self.max_silence(state);
        let mut is_recorded = false;
        loop {
            let now = self.shared.clock.now();
            if !is_recorded && now >= unusual {
                is_recorded = true;
                self.shared.gate.borrow_mut().record_silence(now, target.id);
            }
            let until = self.silence_deadline(state, target, since);
            if until <= now {
                task::yield_now().await;
                return;
            }
            let next = if is_recorded {
                until
            } else {
                until.min(unusual)
            };
            let check = now + SILENCE_CHECK_INTERVAL;
            lateness::sleep_until(self.shared.clock.instant(next.min(check))).await;
        }
    }
}
