//! Refusals and other answers that the host makes up itself.

use super::{Exchange, Part};
use crate::{admission, holdings::HeldBytes, permits};
use bytes::Bytes;
use http::{Response, StatusCode};
use mulberryrack_core::outcome::{Reason, Refusal};
use mulberryrack_gate::RequestState;
use mulberryrack_site::Dialect;
use std::time::Duration;

impl<D: Dialect> Exchange<D> {
    /// Gives the final answer to a request as the process is about to end: a refusal if it has
    /// certainly not run.
    pub(super) async fn end_early(&mut self, state: &mut RequestState) {
        if !self.is_dispatched && state.certainly_not_run() {
            let refusal = Refusal {
                reason: Reason::Draining,
                retry_after: Some(Duration::ZERO),
            };
            return self.refuse(state, refusal).await;
        }
        self.fail_with(state, Reason::Draining.label(), StatusCode::BAD_GATEWAY)
            .await;
    }

    /// Ends a request that must not be dispatched any more as its key is not known to be valid: a
    /// refusal if it has certainly not run.
    pub(super) async fn withdraw(&mut self, state: &mut RequestState, refusal: Refusal) {
        {
            let mut gate = self.shared.gate.borrow_mut();
            gate.end_hold(state);
            gate.end_trial(state);
        }
        if state.certainly_not_run() {
            return self.refuse(state, refusal).await;
        }
        permits::release(&self.shared);
        self.fail_with(state, refusal.reason.label(), StatusCode::BAD_GATEWAY)
            .await;
    }

    pub(super) async fn refuse(&mut self, state: &RequestState, refusal: Refusal) {
        let Refusal {
            reason,
            retry_after,
        } = refusal;
        permits::release(&self.shared);
        self.shared.metrics.fairness.record_refused(state);
        self.record_end(state, "refused", reason.label());
        let status = admission::refusal_status(reason);
        let whole = self.local_answer(state, status, retry_after);
        self.send_part(Part::Whole(whole)).await;
    }

    pub(super) async fn fail(&mut self, state: &RequestState) {
        permits::release(&self.shared);
        let before_deadline = state.remaining(self.shared.clock.now()) > Duration::from_millis(5);
        let reason = if before_deadline {
            "upstream"
        } else {
            "timeout"
        };
        let status = if before_deadline {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::GATEWAY_TIMEOUT
        };
        self.fail_with(state, reason, status).await;
    }

    /// Ends a request that may have run, with an upstream's error answer if there was one.
    async fn fail_with(&mut self, state: &RequestState, reason: &'static str, status: StatusCode) {
        self.record_end(state, "failed", reason);
        if self.progress.head_sent {
            // Dropping the channel without `Part::End` breaks the answer off.
            return;
        }
        let own = self.local_answer(state, status, None);
        let answer = self.progress.error_answer.take().unwrap_or(own);
        self.send_part(Part::Whole(answer)).await;
    }

    fn local_answer(
        &self,
        state: &RequestState,
        status: StatusCode,
        retry_after: Option<Duration>,
    ) -> Response<HeldBytes> {
        let mut response = Response::new(HeldBytes::unaccounted(Bytes::new()));
        *response.status_mut() = status;
        let attempt = Some(&*state.head.attempt_id);
        *response.headers_mut() = self
            .shared
            .dialect
            .local_reply_headers(attempt, retry_after);
        admission::complete_headers(response.headers_mut(), status);
        response
    }
}
