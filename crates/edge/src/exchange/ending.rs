//! Records in the gate, the metrics and the log how a dispatch and a request have ended.

use super::Exchange;
use crate::{crashes, fairness_metrics, journal::journal, permits, speeds, suspects};
use mulberryrack_core::{
    Time,
    outcome::{Reason, Retry},
};
use mulberryrack_gate::{Ending, RequestState, Target};
use mulberryrack_site::Dialect;
use mulberryrack_suspect::Subject;
use tokio::task;

impl<D: Dialect> Exchange<D> {
    pub(super) fn finish(&self, state: &mut RequestState, target: &Target, ending: Ending) {
        self.record_ending(state, target, ending);
        let (outcome, reason) = match ending {
            Ending::Done | Ending::Inconclusive => ("ran", ""),
            Ending::Abandoned => ("abandoned", Reason::CallerGone.label()),
            _ => ("failed", "upstream"),
        };
        self.shared
            .metrics
            .record_end(outcome, reason, self.elapsed(state));
    }

    /// Records in the gate, the metrics and the log how a dispatch ended.
    pub(super) fn record_ending(&self, state: &mut RequestState, target: &Target, ending: Ending) {
        let now = self.shared.clock.now();
        let answered_after_end = {
            let mut gate = self.shared.gate.borrow_mut();
            if let Some((_, longest)) = self.progress.event_gap {
                gate.record_longest_pause(state, longest);
            }
            gate.record_ending(now, state, target.id, ending);
            gate.is_answered_after_end(target.id)
        };
        speeds::log(&self.shared, target.id);
        crashes::report(&self.shared);
        // Another upstream at the address answers that the request is misplaced.
        let may_have_ended = matches!(ending, Ending::Broken | Ending::Silent | Ending::Misplaced);
        if may_have_ended || answered_after_end {
            task::spawn_local(crashes::probe(self.shared.clone(), target.clone()));
        }
        if !matches!(
            ending,
            Ending::Done | Ending::Inconclusive | Ending::Abandoned
        ) {
            self.shared
                .metrics
                .record_retry(target.retry.map_or("none", Retry::label));
        }
        let limit = self.shared.gate.borrow().limit(target.id);
        let times = self.progress.send_times;
        let after = |at: Option<Time>| {
            let after = at.map(|at| at.since(state.arrived_at).as_millis());
            after.map_or_else(|| "-".to_owned(), |ms| ms.to_string())
        };
        let (running, waiting, age) = target.load_report.map_or((0, 0, 0), |(load, age)| {
            (load.running, load.waiting, age.as_millis())
        });
        journal!(
            info,
            "sent",
            id = state.head.attempt_id,
            request = format_args!("{:032x}", state.fingerprint),
            route = state.route.name,
            config = state.config_version,
            upstream = target.name,
            candidates = target.candidates,
            running = running,
            waiting = waiting,
            limit = limit.map_or_else(|| "-".to_owned(), |it| it.to_string()),
            load_age_ms = age,
            read_ms = target.read_ms.round(),
            backlog_ms = target.backlog_ms.round(),
            requests = target.requests.round(),
            slowness = format_args!("{:.2}", target.slowness),
            first_ms = self
                .progress
                .first_event_after
                .map_or(0, |first| first.as_millis()),
            longest_pause_ms = self.progress.event_gap.map_or(0, |it| it.1.as_millis()),
            model = state.head.generation.as_ref().map_or("-", |it| &it.model),
            parts = state.shared_parts(),
            retry = target.retry.map_or("-", Retry::label),
            framing = self.progress.body_read.map_or("-", |it| it.framing.label()),
            connection = self
                .progress
                .body_read
                .map_or("-", |it| it.read_state.label()),
            unfinished_bytes = self.progress.body_read.map_or(0, |it| it.unfinished_bytes),
            read_late_ms = self.arrival.late.as_millis(),
            link_delay_ms = self.arrival.link_delay.as_millis(),
            decided_ms = after(times.selected),
            connected_ms = after(times.connected),
            written_ms = after(times.written),
            ending = format_args!("{ending:?}"),
            took_ms = self.elapsed(state).as_millis(),
        );
    }

    pub(super) fn abandon(&self, state: &mut RequestState) {
        {
            let mut gate = self.shared.gate.borrow_mut();
            gate.end_hold(state);
            gate.end_trial(state);
        }
        permits::release(&self.shared);
        let reason = Reason::CallerGone.label();
        self.shared
            .metrics
            .record_end("abandoned", reason, self.elapsed(state));
        journal!(
            info,
            "abandoned",
            id = state.head.attempt_id,
            took_ms = self.elapsed(state).as_millis()
        );
    }

    pub(super) fn record_end(
        &self,
        state: &RequestState,
        outcome: &'static str,
        reason: &'static str,
    ) {
        let elapsed = self.elapsed(state);
        self.shared.metrics.record_end(outcome, reason, elapsed);
        let blamed = self.shared.gate.borrow().blamed(state);
        journal!(
            warn,
            "ended",
            id = state.head.attempt_id,
            request = format_args!("{:032x}", state.fingerprint),
            route = state.route.name,
            config = state.config_version,
            outcome = outcome,
            reason = reason,
            parts = state.shared_parts(),
            blamed = blamed.map_or_else(|| "-".to_owned(), suspects::subject_id),
            blamed_kind = blamed.map_or("-", Subject::kind),
            sends = state.tried_count(),
            allowed = fairness_metrics::allowed(state),
            begun = self.progress.head_sent,
            version = format_args!("{:?}", self.head.version),
            took_ms = elapsed.as_millis(),
        );
    }
}
