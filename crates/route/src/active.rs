//! The state machine of one request in progress.
//!
//! ```text
//! arrival ─┬─ once per key ─► Claiming ─┬─ granted ─► Queued
//!          └─ others ───────► Queued    ├─ join ────► Following ─► removed
//!                                       └─ refused ─► removed
//! Queued ─── permit and upstream ──► Running ──┬─ whole answer ─────────► removed
//!   ▲                                          ├─ stream broke or silent ► BackingOff (resume)
//!   └────────── BackingOff (rerun) ◄───────────┴─ may run again ────────► BackingOff (rerun)
//! ```
//!
//! Every stage ends at the deadline. The rules for dispatching again:
//!
//! * After a run that certainly did not happen (connection refused, or request rejected by
//!   the upstream) the request runs on another upstream, repeatable or not.
//! * A stream that broke or went silent is resumed at its offset on the same engine.
//! * After a run that may have happened the request runs again only if it is repeatable and
//!   its caller has received nothing: a second run gives another text, and parts of two
//!   texts are never joined.

use crate::{
    isolate::Isolation, queue::QueueEntry, row::RowId, settings::Settings, upstreams::UpstreamId,
};
use bytes::Bytes;
use mulberryrack_core::{
    Name, Time,
    claim::Verdict,
    outcome::{Doubt, Outcome, Reason, Refusal, Retry},
    request::Request,
    upstream::{DispatchId, Fault},
};
use std::{sync::Arc, time::Duration};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPolicy {
    /// As often as needed.
    Repeatable,
    /// Once for its idempotency key, after a grant by the ledger.
    OncePerKey,
    /// Once for this arrival of the request, which has no idempotency key.
    OncePerArrival,
}

/// The stage of a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting for the ledger's verdict.
    Claiming,
    /// In its row's queue, waiting for a permit and an upstream with room.
    Queued,
    /// Waiting out the delay before the next dispatch.
    BackingOff {
        /// When the next dispatch is due.
        until: Time,
        /// Whether the next dispatch resumes the last stream; otherwise the request is
        /// queued again.
        resume: bool,
    },
    /// Dispatched to one upstream, or to two while it is hedged.
    Running,
    /// Receiving the answer of another request with the same idempotency key.
    Following,
}

/// One execution of the request at one upstream: a dispatch and those that resume its
/// stream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub upstream: UpstreamId,
    /// The dispatch that started the stream; the engine identifies the stream by it.
    pub first_attempt: DispatchId,
    /// The current dispatch.
    pub attempt: DispatchId,
    /// Whether the current dispatch resumes the stream.
    pub resumed: bool,
    pub started: Time,
    /// When the last head or chunk arrived, or the current dispatch was sent if that was
    /// later.
    pub last_heard: Time,
    /// Bytes of the body that have arrived.
    pub received_bytes: u64,
    /// Whether the current dispatch has received its head. Chunks before that are
    /// ignored.
    pub head_received: bool,
    /// Resumes since the last byte arrived.
    pub resumes: u32,
}

/// Status and headers of an upstream's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub status: u16,
    pub headers: Arc<[(Name, Name)]>,
}

/// An event of a request or of one of its runs.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The ledger's verdict on the claim.
    Verdict(Verdict),
    /// The status of an answer arrived.
    Head(u16),
    /// The answer is complete.
    Complete,
    /// The current dispatch failed.
    Fault(Fault),
    /// Nothing arrived within the timeout for the first byte or the next chunk.
    Overdue,
    /// The deadline has passed, or no run can end before it any more.
    Deadline,
    /// The caller has disconnected.
    CallerGone,
}

/// What the router does after an event.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Nothing.
    Continue,
    /// Put the request into its row's queue.
    Enqueue,
    /// Forward the answer of the request that the verdict names.
    Follow(Verdict),
    /// Resume the stream on a new connection, after a backoff with this many doublings.
    Resume(Retry, u32),
    /// Run the request on another upstream. The doubt is set if the failed run may have
    /// happened.
    RunElsewhere(Retry, Option<Doubt>),
    /// Stop one of two runs and go on with the other. The doubt is set if the stopped run
    /// may have happened.
    AbandonRun(Option<Doubt>),
    /// End the request with this outcome.
    Finish(Outcome),
    /// Remove the request without an answer, since nobody waits for it.
    Discard,
}

/// A request in progress.
#[allow(clippy::struct_excessive_bools)] // Independent facts.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub request: Request,
    pub row: RowId,
    pub run_policy: RunPolicy,
    pub stage: Stage,
    pub arrived: Time,
    /// The caller's deadline, at most `max_request_lifetime` after the arrival.
    pub deadline: Time,
    /// Moment at which the first byte is due by the row's target; never after `deadline`.
    pub first_byte_due: Time,
    /// Hash of the target, method, path and body; the same for equal requests of different
    /// callers.
    pub fingerprint: u128,
    /// Whether the row runs on model engines, whose streams can be resumed.
    pub resumable: bool,
    /// Whether the caller is still connected.
    pub caller_present: bool,
    /// Whether the ledger granted the claim, so that it must be told how the request
    /// ended.
    pub granted: bool,
    /// Whether the request holds one of the row's permits.
    pub holds_permit: bool,
    /// At most two, while the request is hedged; the older one comes first.
    pub runs: Vec<Run>,
    /// A head that has not been passed on to the caller.
    pub head: Option<Head>,
    /// Whether the caller has received the head.
    pub answer_started: bool,
    /// When the head was passed on.
    pub first_byte_at: Option<Time>,
    /// Parts of the body that were passed on.
    pub chunks: u32,
    /// Whether a hedge was tried.
    pub hedged: bool,
    /// Number of runs started, without resumes.
    pub runs_started: u32,
    /// Set once a run may have happened without a complete answer.
    pub doubt: Option<Doubt>,
    /// Upstreams that failed the request, or crashed while its fingerprint was in flight.
    pub avoid: Vec<UpstreamId>,
    /// Whether the fingerprint was in flight on a crash.
    pub suspect: bool,
    /// Progress of a suspected request towards an upstream without other suspects.
    pub isolation: Isolation,
    /// Earliest moment of the next dispatch.
    pub not_before: Time,
    /// The moment for which the request's timer is set.
    pub timer: Option<Time>,
}

impl ActiveRequest {
    /// Applies an event of the run at `index`, or of the request itself; returns what the
    /// router has to do.
    pub fn next_step(&mut self, event: &Event, index: usize, settings: &Settings) -> Step {
        match (self.stage, event) {
            (Stage::Claiming, Event::Verdict(verdict)) => self.on_verdict(verdict),
            (_, Event::Verdict(_)) => Step::Continue,
            (_, Event::Deadline) => Step::Finish(self.outcome_at_deadline()),
            (_, Event::CallerGone) => self.on_caller_gone(),
            (Stage::Running, _) if self.runs.len() > 1 => Self::on_hedged_run_event(event),
            (Stage::Running, Event::Head(status)) => self.on_head(*status, index, settings),
            (Stage::Running, Event::Complete) => Step::Finish(Outcome::Ran),
            (Stage::Running, Event::Fault(fault)) => self.on_fault(*fault, index, settings),
            (Stage::Running, Event::Overdue) => self.on_fault(Fault::Silent, index, settings),
            (_, Event::Head(_) | Event::Complete | Event::Fault(_) | Event::Overdue) => {
                Step::Continue
            }
        }
    }

    fn on_verdict(&self, verdict: &Verdict) -> Step {
        match verdict {
            Verdict::Granted if self.caller_present => Step::Enqueue,
            Verdict::Granted => Step::Discard,
            Verdict::NotRun(refusal) => Step::Finish(Outcome::NotRun(*refusal)),
            Verdict::Unknown(doubt) => Step::Finish(Outcome::Unknown(*doubt)),
            Verdict::Join { .. } => Step::Follow(verdict.clone()),
        }
    }

    /// Handles an event of one of two runs of a hedged request.
    fn on_hedged_run_event(event: &Event) -> Step {
        match event {
            Event::Fault(Fault::NotSent) | Event::Head(404 | 429 | 503) => Step::AbandonRun(None),
            Event::Fault(_) | Event::Overdue | Event::Head(500..) => {
                Step::AbandonRun(Some(Doubt::UpstreamLost))
            }
            _ => Step::Continue,
        }
    }

    /// The outcome when the deadline passes.
    fn outcome_at_deadline(&self) -> Outcome {
        match self.stage {
            // The ledger may know of an earlier run under this key.
            Stage::Claiming | Stage::Following | Stage::Running => {
                Outcome::Unknown(Doubt::DeadlinePassed)
            }
            Stage::BackingOff { resume: true, .. } => Outcome::Unknown(Doubt::DeadlinePassed),
            Stage::Queued | Stage::BackingOff { .. } => self.refused_outcome(Refusal {
                reason: Reason::Deadline,
                retry_after: None,
            }),
        }
    }

    /// The outcome of a refusal: unknown if an earlier run may have happened.
    pub fn refused_outcome(&self, refusal: Refusal) -> Outcome {
        self.doubt
            .map_or(Outcome::NotRun(refusal), Outcome::Unknown)
    }

    fn on_caller_gone(&mut self) -> Step {
        self.caller_present = false;
        match (self.run_policy, self.stage) {
            // A claim is settled by its verdict. A run may have happened, so its answer
            // is kept for a resend; stopping the run halfway would leave the caller's
            // operation neither done nor undone.
            (
                RunPolicy::OncePerKey | RunPolicy::OncePerArrival,
                Stage::Claiming | Stage::Running | Stage::BackingOff { resume: true, .. },
            ) => Step::Continue,
            _ => Step::Discard,
        }
    }

    fn on_head(&mut self, status: u16, index: usize, settings: &Settings) -> Step {
        let run = &self.runs[index];
        match (run.resumed, status) {
            (true, 200..=299) => Step::Continue,
            (true, 429 | 503) => self.resume_step(Retry::Turned, index, settings),
            (true, _) => self.on_uncertain_run(Retry::Broken, Doubt::UpstreamLost, settings),
            (false, 429 | 503) => self.on_not_run(Retry::Turned, settings),
            (false, 404) if self.resumable => self.on_not_run(Retry::Turned, settings),
            (false, 500..) if self.run_policy == RunPolicy::Repeatable => {
                if self.runs_started < settings.max_runs {
                    Step::RunElsewhere(Retry::Broken, Some(Doubt::UpstreamLost))
                } else {
                    Step::Continue
                }
            }
            (false, 500..) => Step::Finish(Outcome::Unknown(Doubt::UpstreamLost)),
            (false, _) => Step::Continue,
        }
    }

    fn on_fault(&mut self, fault: Fault, index: usize, settings: &Settings) -> Step {
        let run = &self.runs[index];
        let (resumed, resume_count) = (run.resumed, run.resumes);
        let (retry, doubt) = match fault {
            Fault::NotSent if !resumed => return self.on_not_run(Retry::Refused, settings),
            Fault::NotSent => (Retry::Refused, Doubt::UpstreamLost),
            Fault::Broken => (Retry::Broken, Doubt::UpstreamLost),
            Fault::Silent => (Retry::Silent, Doubt::Silence),
        };
        // One resume that brings no byte is enough to tell a lost connection from a lost
        // upstream. Requests that may not run again are resumed as often as allowed.
        let allowed = if self.may_run_again() {
            1
        } else {
            settings.max_runs
        };
        if self.resumable && resume_count < allowed {
            return self.resume_step(retry, index, settings);
        }
        self.on_uncertain_run(retry, doubt, settings)
    }

    fn resume_step(&self, retry: Retry, index: usize, settings: &Settings) -> Step {
        let resumes = self.runs[index].resumes;
        if resumes < settings.max_runs {
            Step::Resume(retry, resumes)
        } else {
            self.on_uncertain_run(retry, Doubt::UpstreamLost, settings)
        }
    }

    /// Whether a run that may have happened may be repeated.
    pub fn may_run_again(&self) -> bool {
        self.run_policy == RunPolicy::Repeatable && !self.answer_started
    }

    /// Handles a run that certainly did not happen.
    fn on_not_run(&self, retry: Retry, settings: &Settings) -> Step {
        if self.runs_started < settings.max_runs {
            return Step::RunElsewhere(retry, None);
        }
        let reason = match retry {
            Retry::Turned => Reason::UpstreamRefused,
            _ => Reason::NoUpstream,
        };
        Step::Finish(self.refused_outcome(Refusal {
            reason,
            retry_after: Some(Duration::from_secs(1)),
        }))
    }

    /// Handles a run that may have happened.
    fn on_uncertain_run(&self, retry: Retry, doubt: Doubt, settings: &Settings) -> Step {
        if self.may_run_again() && self.runs_started < settings.max_runs {
            Step::RunElsewhere(retry, Some(doubt))
        } else {
            Step::Finish(Outcome::Unknown(doubt))
        }
    }

    /// When the run at `index` times out, given the timeouts for the first byte and
    /// between chunks.
    ///
    /// `None` for a run that can be neither resumed nor repeated: only the deadline ends
    /// it.
    pub fn overdue_at(&self, index: usize, first: Duration, gap: Duration) -> Option<Time> {
        if !self.resumable && !self.may_run_again() {
            return None;
        }
        let run = &self.runs[index];
        let timeout = if run.received_bytes == 0 { first } else { gap };
        Some(run.last_heard + timeout)
    }

    /// Index of the run whose current dispatch is `attempt`.
    pub fn run_index(&self, attempt: DispatchId) -> Option<usize> {
        self.runs.iter().position(|run| run.attempt == attempt)
    }

    /// The entry for the queue of the request's row.
    pub fn queue_entry(&self) -> QueueEntry {
        QueueEntry {
            key: self.request.key,
            deadline: self.deadline,
            first_byte_due: self.first_byte_due,
        }
    }

    /// Bytes that count against the limit on request bodies.
    pub fn body_len(&self) -> usize {
        let body: &Bytes = &self.request.call.body;
        body.len()
    }
}
