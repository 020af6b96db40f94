//! Records in the gate and the metrics what arrives of an answer.

use super::Exchange;
use crate::{client::Connection, framing::Framing, meter::ReadState};
use mulberryrack_core::Time;
use mulberryrack_gate::{RequestState, Target};
use mulberryrack_site::Dialect;
use std::time::Duration;

/// How the body of an upstream's answer was read, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyRead {
    pub(super) framing: Framing,
    /// State of the connection when reading ended.
    pub(super) read_state: ReadState,
    /// Bytes of a stream after its last whole event.
    pub(super) unfinished_bytes: usize,
}

impl<D: Dialect> Exchange<D> {
    /// Records that a whole event of a stream has arrived, and returns the time.
    pub(super) fn record_event(&mut self, target: &Target) -> Time {
        self.record_activity(target);
        let now = self.shared.clock.now();
        self.progress.event_gap = self
            .progress
            .event_gap
            .map(|(last, longest)| (now, longest.max(now.since(last))));
        now
    }

    /// Records for how long this host did not read the upstream. Counted as pauses or slowness of
    /// the upstream, these times would have all hosts avoid it.
    pub(super) fn record_unread(&mut self, state: &mut RequestState, pause: Duration) {
        state.record_unread(pause);
        if let Some((last, _)) = &mut self.progress.event_gap {
            *last = *last + pause;
        }
    }

    pub(super) fn record_activity(&self, target: &Target) {
        let now = self.shared.clock.now();
        self.shared
            .gate
            .borrow_mut()
            .record_activity(now, target.id);
    }

    pub(super) fn record_answer(&self, target: &Target, dispatched_at: Time) {
        let mut gate = self.shared.gate.borrow_mut();
        gate.record_answer(target.id, dispatched_at);
    }

    pub(super) fn record_first_event(
        &mut self,
        state: &mut RequestState,
        target: &Target,
        dispatched_at: Time,
    ) {
        let now = self.shared.clock.now();
        let elapsed = self.elapsed(state);
        self.progress.first_event_after.get_or_insert(elapsed);
        self.progress.event_gap.get_or_insert((now, Duration::ZERO));
        self.shared
            .gate
            .borrow_mut()
            .record_first_event(state, target, now.since(dispatched_at));
        if !self.progress.head_sent {
            self.shared.metrics.record_first_event(self.elapsed(state));
        }
    }

    /// Records how the body of an answer was read, for the log and the metrics.
    pub(super) fn record_body(
        &mut self,
        framing: Framing,
        connection: &Connection,
        end: &'static str,
        unfinished_bytes: usize,
    ) {
        self.shared.metrics.record_body(framing.label(), end);
        self.progress.body_read = Some(BodyRead {
            framing,
            read_state: connection.read_state(),
            unfinished_bytes,
        });
    }
}
