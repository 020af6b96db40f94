//! Retries: backoff, resumes, reruns and the retry budget.

use crate::{
    Output, Router, Settings,
    active::{Event, Stage},
    upstreams::UpstreamId,
};
use mulberryrack_core::{
    Time,
    note::Counter,
    outcome::{Doubt, Reason, Refusal, Retry},
    request::Key,
    upstream::{Connection, Dispatch, Fault},
};
use rand::RngExt;
use std::time::Duration;

/// Minimum delay before a request whose connection to a service replica broke runs
/// elsewhere, so that a poll can show whether the replica crashed.
const CRASH_CONFIRM_DELAY: Duration = Duration::from_millis(250);

/// Time for which an upstream's pooled connections are not used after a connection to it
/// went silent.
pub(crate) const POOL_DISTRUST_PERIOD: Duration = Duration::from_secs(30);

/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 6;

/// Number of retries that may be made now. The first dispatch of each request adds
/// `retry_share` to it.
#[derive(Debug)]
pub(crate) struct RetryBudget(f64);

impl RetryBudget {
    pub fn new(settings: &Settings) -> Self {
        Self(settings.retry_burst)
    }

    /// Adds the retries that a first dispatch earns.
    pub fn deposit(&mut self, settings: &Settings) {
        self.0 = (self.0 + settings.retry_share).min(settings.retry_burst);
    }

    /// Subtracts a retry; returns false if there is none left.
    pub fn try_spend(&mut self) -> bool {
        let left = self.0 >= 1.0;
        if left {
            self.0 -= 1.0;
        }
        left
    }
}

impl Router {
    fn backoff(&mut self, doublings: u32) -> Duration {
        let jitter = self.rng.random_range(0.5..1.5);
        let factor = f64::from(1u32 << doublings.min(MAX_DOUBLINGS));
        self.settings.backoff_delay.mul_f64(factor * jitter)
    }

    /// Closes the connection of a stream and schedules its resume on a new one.
    pub(crate) fn schedule_resume(
        &mut self,
        now: Time,
        key: Key,
        index: usize,
        retry: Retry,
        doublings: u32,
        out: &mut Vec<Output>,
    ) {
        // The first resume after a silence goes out at once: the silence already was a
        // long wait.
        let delay = match (retry, doublings) {
            (Retry::Silent, 0) => Duration::ZERO,
            _ => self.backoff(doublings),
        };
        out.push(Output::Count(Counter::Retried(retry)));
        let req = self.requests.get_mut(&key).expect("a running request");
        let run = &mut req.runs[index];
        run.resumes += 1;
        let attempt = run.attempt;
        req.stage = Stage::BackingOff {
            until: now + delay,
            resume: true,
        };
        self.attempts.remove(&attempt);
        out.push(Output::Detach(attempt));
        if delay.is_zero() {
            self.end_backoff(now, key, true, out);
        }
    }

    /// Stops a run and schedules another on a different upstream, if the retry budget
    /// allows.
    pub(crate) fn schedule_rerun(
        &mut self,
        now: Time,
        key: Key,
        index: usize,
        retry: Retry,
        doubt: Option<Doubt>,
        out: &mut Vec<Output>,
    ) {
        let req = self.requests.get_mut(&key).expect("a running request");
        req.doubt = doubt.or(req.doubt);
        req.head = None;
        let run = req.runs.remove(index);
        req.avoid.push(run.upstream);
        let (runs_started, resumable) = (req.runs_started, req.resumable);
        self.end_isolation(now, key, out);
        self.stop_run(now, run.attempt, run.upstream, true, out);
        if !self.retry_budget.try_spend() {
            let outcome = self.requests[&key].refused_outcome(Refusal {
                reason: Reason::RetryBudget,
                retry_after: None,
            });
            self.finish(now, key, outcome, out);
            return;
        }
        out.push(Output::Count(Counter::Retried(retry)));
        let mut delay = self.backoff(runs_started.saturating_sub(1));
        if retry == Retry::Broken && !resumable {
            delay = delay.max(CRASH_CONFIRM_DELAY);
        }
        self.requests.get_mut(&key).expect("a known request").stage = Stage::BackingOff {
            until: now + delay,
            resume: false,
        };
    }

    /// Stops one of the two runs of a hedged request.
    pub(crate) fn abandon_run(
        &mut self,
        now: Time,
        key: Key,
        index: usize,
        doubt: Option<Doubt>,
        out: &mut Vec<Output>,
    ) {
        let req = self.requests.get_mut(&key).expect("a running request");
        req.doubt = doubt.or(req.doubt);
        let run = req.runs.remove(index);
        req.avoid.push(run.upstream);
        self.stop_run(now, run.attempt, run.upstream, true, out);
    }

    pub(crate) fn end_backoff(&mut self, now: Time, key: Key, resume: bool, out: &mut Vec<Output>) {
        if resume {
            self.resume_stream(now, key, out);
        } else {
            self.admit(now, key, out);
        }
    }

    fn resume_stream(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let attempt = self.new_attempt(key);
        let req = self.requests.get_mut(&key).expect("a request in backoff");
        req.stage = Stage::Running;
        let run = req.runs.first_mut().expect("a stream to resume");
        let old = std::mem::replace(&mut run.attempt, attempt);
        run.resumed = true;
        run.head_received = false;
        run.last_heard = now;
        let upstream = self.upstreams.get_mut(run.upstream);
        let suspect = upstream.suspect_attempt == Some(old);
        upstream.remove_attempt(now, old);
        upstream.add_attempt(now, attempt);
        if suspect {
            upstream.suspect_attempt = Some(attempt);
        }
        out.push(Output::Send(Dispatch {
            attempt,
            upstream: upstream.name.clone(),
            address: upstream.address.clone(),
            call: req.request.call.clone(),
            connection: Connection::Fresh,
            resume: Some((run.first_attempt, run.received_bytes)),
        }));
        self.set_timer(now, key);
    }

    /// Updates an upstream's health after an event of one of its dispatches.
    pub(crate) fn update_upstream(
        &mut self,
        now: Time,
        key: Key,
        id: UpstreamId,
        event: &Event,
        out: &mut Vec<Output>,
    ) {
        let upstream = self.upstreams.get_mut(id);
        match event {
            Event::Fault(Fault::NotSent) => {
                let change = upstream.on_connection_refused(now, &self.settings);
                self.apply_change(now, id, change, out);
            }
            Event::Fault(Fault::Broken) => {
                let change = upstream.on_failure(&self.settings);
                self.apply_change(now, id, change, out);
                self.record_broken(now, key, id, out);
                self.poll_now(now, id, out);
            }
            Event::Fault(Fault::Silent) | Event::Overdue => {
                upstream.pool_distrusted_until = now + POOL_DISTRUST_PERIOD;
                self.poll_now(now, id, out);
            }
            Event::Head(429 | 503) => upstream.on_rejection(),
            Event::Head(404 | 410) => self.on_unknown_row_or_stream(now, key, id, out),
            _ => {}
        }
    }

    /// Handles an engine that does not know a row or a stream: it restarted, or unloaded
    /// the row.
    fn on_unknown_row_or_stream(
        &mut self,
        now: Time,
        key: Key,
        id: UpstreamId,
        out: &mut Vec<Output>,
    ) {
        let Some(req) = self.requests.get(&key).filter(|req| req.resumable) else {
            return;
        };
        let row = req.row;
        if req.runs.iter().any(|run| run.upstream == id && run.resumed) {
            self.poll_now(now, id, out);
            self.confirm_crash(now, id, out);
            return;
        }
        // The row comes back with the next listing or value that names it on this engine.
        self.upstreams.get_mut(id).rows.retain(|one| *one != row);
        self.rows.get_mut(row).copies.retain(|copy| *copy != id);
        self.refresh_usable_copies(now, row, out);
    }
}
