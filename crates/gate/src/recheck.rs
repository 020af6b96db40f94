//! The last check of a dispatch, once there is a connection and before a byte of it is written. What was
//! decided may be old by then: the connection had to be opened, and the request to wait for the thread.

use crate::{
    gate::{Gate, MIN_DISPATCH_MARGIN},
    request::{RequestState, Target},
};
use mulberryrack_core::Time;

impl Gate {
    /// Whether a request may still be sent to the upstream that was selected for it. If not, another
    /// decision is needed, after [`Ending::Withdrawn`](crate::Ending::Withdrawn) was recorded.
    #[must_use]
    pub fn may_still_send(&self, now: Time, request: &RequestState, target: &Target) -> bool {
        let upstream = self.upstreams.get(target.id);
        let is_same = upstream.registration.started_ms == request.incarnation
            && upstream.registration.address == target.address;
        is_same
            && upstream.accepts_requests()
            && !upstream.is_resting(now)
            && request.remaining(now) >= MIN_DISPATCH_MARGIN
            && !self.is_refused_as_suspect(request)
            && self.trial_decision(now, request).is_none()
    }
}
