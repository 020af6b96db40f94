//! Second attempts: pauses, resumes, the budget.

use crate::{
    Output, Router, Settings,
    life::{Event, Stage},
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

/// Wait before a request that broke at a plain service runs elsewhere, for a poll to
/// tell whether the service crashed.
const CONFIRM: Duration = Duration::from_millis(250);

/// Time after silence during which an upstream's pooled connections are not used.
pub(crate) const DISTRUST: Duration = Duration::from_secs(30);

/// Most doublings of the pause between attempts.
const DOUBLINGS: u32 = 6;

/// Retries that may be made, as a share of first attempts.
#[derive(Debug)]
pub(crate) struct Budget(f64);

impl Budget {
    pub fn new(settings: &Settings) -> Self {
        Self(settings.retry_burst)
    }

    /// Takes a first attempt.
    pub fn earn(&mut self, settings: &Settings) {
        self.0 = (self.0 + settings.retry_share).min(settings.retry_burst);
    }

    /// Takes a retry, if one is left.
    pub fn spend(&mut self) -> bool {
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
        let factor = f64::from(1u32 << doublings.min(DOUBLINGS));
        self.settings.backoff.mul_f64(factor * jitter)
    }

    /// Leaves a stream's connection, to resume it on another one.
    pub(crate) fn pause_to_resume(
        &mut self,
        now: Time,
        key: Key,
        index: usize,
        retry: Retry,
        doublings: u32,
        out: &mut Vec<Output>,
    ) {
        // The first resume after silence goes out at once: the pause has been long.
        let pause = match (retry, doublings) {
            (Retry::Silent, 0) => Duration::ZERO,
            _ => self.backoff(doublings),
        };
        out.push(Output::Count(Counter::Retried(retry)));
        let life = self.lives.get_mut(&key).expect("a running request");
        let run = &mut life.runs[index];
        run.resumes += 1;
        let attempt = run.attempt;
        life.stage = Stage::Pausing {
            until: now + pause,
            resume: true,
        };
        self.attempts.remove(&attempt);
        out.push(Output::Forget(attempt));
        if pause.is_zero() {
            self.after_pause(now, key, true, out);
        }
    }

    /// Gives a run up, to run the request on another upstream.
    pub(crate) fn pause_to_move(
        &mut self,
        now: Time,
        key: Key,
        index: usize,
        retry: Retry,
        doubt: Option<Doubt>,
        out: &mut Vec<Output>,
    ) {
        let life = self.lives.get_mut(&key).expect("a running request");
        life.doubt = doubt.or(life.doubt);
        life.head = None;
        let run = life.runs.remove(index);
        life.avoid.push(run.upstream);
        let (tries, resumable) = (life.tries, life.resumable);
        self.end_isolation(now, key, out);
        self.stop_run(now, run.attempt, run.upstream, true, out);
        if !self.budget.spend() {
            let outcome = self.lives[&key].refused(Refusal {
                reason: Reason::RetryBudget,
                retry_after: None,
            });
            self.finish(now, key, outcome, out);
            return;
        }
        out.push(Output::Count(Counter::Retried(retry)));
        let mut pause = self.backoff(tries.saturating_sub(1));
        if retry == Retry::Broken && !resumable {
            pause = pause.max(CONFIRM);
        }
        self.lives.get_mut(&key).expect("known").stage = Stage::Pausing {
            until: now + pause,
            resume: false,
        };
    }

    /// Gives up one of two runs.
    pub(crate) fn shed(
        &mut self,
        now: Time,
        key: Key,
        index: usize,
        doubt: Option<Doubt>,
        out: &mut Vec<Output>,
    ) {
        let life = self.lives.get_mut(&key).expect("a running request");
        life.doubt = doubt.or(life.doubt);
        let run = life.runs.remove(index);
        life.avoid.push(run.upstream);
        self.stop_run(now, run.attempt, run.upstream, true, out);
    }

    pub(crate) fn after_pause(&mut self, now: Time, key: Key, resume: bool, out: &mut Vec<Output>) {
        if resume {
            self.resume(now, key, out);
        } else {
            self.admit(now, key, out);
        }
    }

    fn resume(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let attempt = self.new_attempt(key);
        let life = self.lives.get_mut(&key).expect("a paused request");
        life.stage = Stage::Running;
        let run = life.runs.first_mut().expect("a stream to resume");
        let old = std::mem::replace(&mut run.attempt, attempt);
        run.resumed = true;
        run.open = false;
        run.heard = now;
        let upstream = self.upstreams.get_mut(run.upstream);
        let suspect = upstream.suspect == Some(old);
        upstream.stop(now, old);
        upstream.start(now, attempt);
        if suspect {
            upstream.suspect = Some(attempt);
        }
        out.push(Output::Send(Dispatch {
            attempt,
            upstream: upstream.name.clone(),
            address: upstream.address.clone(),
            call: life.request.call.clone(),
            connection: Connection::Fresh,
            resume: Some((run.stream, run.received)),
        }));
        self.arm(now, key);
    }

    /// Learns about an upstream from what happened to one of its attempts.
    pub(crate) fn learn(
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
                let change = upstream.refuse(now, &self.settings);
                self.take_change(now, id, change, out);
            }
            Event::Fault(Fault::Broken) => {
                let change = upstream.fail(&self.settings);
                self.take_change(now, id, change, out);
                self.note_broken(now, key, id, out);
                self.poll_now(now, id, out);
            }
            Event::Fault(Fault::Silent) | Event::Overdue => {
                upstream.distrust = now + DISTRUST;
                self.poll_now(now, id, out);
            }
            Event::Head(429 | 503) => upstream.turn_away(),
            Event::Head(404 | 410) => self.on_missing(now, key, id, out),
            _ => {}
        }
    }

    /// An engine does not know a row or a stream: it was restarted, or unloaded the row.
    fn on_missing(&mut self, now: Time, key: Key, id: UpstreamId, out: &mut Vec<Output>) {
        let Some(life) = self.lives.get(&key).filter(|life| life.resumable) else {
            return;
        };
        let row = life.row;
        if life
            .runs
            .iter()
            .any(|run| run.upstream == id && run.resumed)
        {
            self.poll_now(now, id, out);
            self.confirm_crash(now, id, out);
            return;
        }
        // Until the next list or value names it again.
        self.upstreams.get_mut(id).rows.retain(|one| *one != row);
        self.rows.get_mut(row).copies.retain(|copy| *copy != id);
        self.relist(now, row, out);
    }
}
