//! The life of one request, as a state machine.
//!
//! ```text
//! arrive ─┬─ keyed, not repeatable ─► Claiming ─┬─ granted ─► Waiting
//!         └─ all others ─────────────► Waiting  ├─ join ────► Following ─► Ended
//!                                               └─ refused ─► Ended
//! Waiting ── permit and upstream ──► Running ──┬─ whole answer ─────────► Ended
//!    ▲                                         ├─ stream broke or silent ► Pausing (resume)
//!    └────────────── Pausing (elsewhere) ◄─────┴─ may be run again ─────► Pausing
//! ```
//!
//! Every state ends at the deadline. The rules for what may be sent again:
//!
//! * A run that certainly did not happen (connection refused, turned away) is made again
//!   elsewhere, whatever the request is.
//! * A stream that broke or went silent is resumed at its offset on the same engine.
//! * A run that may have happened is made again only if the request is repeatable and
//!   the caller has been given nothing: another run gives another text, and two texts
//!   are never joined.

use crate::{
    isolate::Isolation, queue::Place, row::RowId, settings::Settings, upstreams::UpstreamId,
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
pub(crate) enum Safety {
    /// As often as needed.
    Repeatable,
    /// Once for its idempotency key, by the ledger's grant.
    Keyed,
    /// Once for this receipt.
    Single,
}

/// Where a request is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The ledger is asked.
    Claiming,
    /// In its row's queue, for a permit and an upstream with room.
    Waiting,
    /// Between two attempts.
    Pausing {
        /// When the next attempt is made.
        until: Time,
        /// Whether it resumes the stream of the last one.
        resume: bool,
    },
    /// One attempt is made, or two while it is hedged.
    Running,
    /// It is given the answer of another request.
    Following,
}

/// One stream at one upstream, over one or several attempts.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub upstream: UpstreamId,
    /// The attempt that began the stream, by which the engine knows it.
    pub stream: DispatchId,
    /// The attempt in progress.
    pub attempt: DispatchId,
    /// Whether the attempt resumes the stream.
    pub resumed: bool,
    pub started: Time,
    /// Last sign of life.
    pub heard: Time,
    /// Bytes of the body that have arrived.
    pub received: u64,
    /// Whether the attempt's head has arrived and its body counts.
    pub open: bool,
    /// Resumes since the last byte.
    pub resumes: u32,
}

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub status: u16,
    pub headers: Arc<[(Name, Name)]>,
}

/// What happens to a request.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The ledger has decided.
    Verdict(Verdict),
    /// The head of an attempt's answer.
    Head(u16),
    /// An attempt's answer is complete.
    Complete,
    /// An attempt failed.
    Fault(Fault),
    /// Nothing has come for longer than the bound.
    Overdue,
    /// The deadline has passed.
    Deadline,
    /// The caller went away.
    CallerGone,
}

/// What follows.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Go on.
    Stay,
    /// Put it into the queue.
    Queue,
    /// Give it another request's answer.
    Follow(Verdict),
    /// Resume the stream on a new connection, after a pause of this many doublings.
    Resume(Retry, u32),
    /// Run it on another upstream. `Some` if the last run may have happened.
    Elsewhere(Retry, Option<Doubt>),
    /// Give this run up; the other one goes on.
    Shed(Option<Doubt>),
    /// End it.
    Finish(Outcome),
    /// Nobody waits for it: stop it and say nothing.
    Drop,
}

/// A request in its life.
#[allow(clippy::struct_excessive_bools)] // Independent facts.
#[derive(Debug)]
pub(crate) struct Life {
    pub request: Request,
    pub row: RowId,
    pub safety: Safety,
    pub stage: Stage,
    pub arrived: Time,
    /// Earlier of the caller's deadline and the longest life.
    pub deadline: Time,
    /// When the first byte is due by the row's target.
    pub target: Time,
    /// Stands for target and call, not for the caller.
    pub fingerprint: u128,
    /// Whether the upstream is a model engine.
    pub resumable: bool,
    /// Whether the caller is still there.
    pub caller: bool,
    /// Granted, and the ledger has not been told the end.
    pub granted: bool,
    /// Whether it holds one of the row's permits.
    pub permit: bool,
    /// At most two, while hedged; the first is the older one.
    pub runs: Vec<Run>,
    /// Head that the caller has not been given yet.
    pub head: Option<Head>,
    /// Whether the caller has been given anything.
    pub given: bool,
    /// When the caller was given the first byte.
    pub first_byte: Option<Time>,
    /// Parts of the body that the caller was given.
    pub chunks: u32,
    /// Whether a hedge was tried.
    pub hedged: bool,
    /// Runs begun.
    pub tries: u32,
    /// Set as soon as a run may have happened without an answer.
    pub doubt: Option<Doubt>,
    /// Upstreams that failed it.
    pub avoid: Vec<UpstreamId>,
    /// Whether it is suspected of a crash.
    pub suspect: bool,
    /// What a suspect has of an upstream.
    pub isolation: Isolation,
    /// Earliest moment of a dispatch.
    pub hold: Time,
    /// The timer that is set for it.
    pub timer: Option<Time>,
}

impl Life {
    /// The next state after an event of the run at `index`, or of the request itself.
    pub fn on(&mut self, event: &Event, index: usize, settings: &Settings) -> Step {
        match (self.stage, event) {
            (Stage::Claiming, Event::Verdict(verdict)) => self.decide(verdict),
            (_, Event::Verdict(_)) => Step::Stay,
            (_, Event::Deadline) => Step::Finish(self.late()),
            (_, Event::CallerGone) => self.abandon(),
            (Stage::Running, _) if self.runs.len() > 1 => Self::contend(event),
            (Stage::Running, Event::Head(status)) => self.headed(*status, index, settings),
            (Stage::Running, Event::Complete) => Step::Finish(Outcome::Ran),
            (Stage::Running, Event::Fault(fault)) => self.failed(*fault, index, settings),
            (Stage::Running, Event::Overdue) => self.failed(Fault::Silent, index, settings),
            (_, Event::Head(_) | Event::Complete | Event::Fault(_) | Event::Overdue) => Step::Stay,
        }
    }

    fn decide(&self, verdict: &Verdict) -> Step {
        match verdict {
            Verdict::Granted if self.caller => Step::Queue,
            Verdict::Granted => Step::Drop,
            Verdict::NotRun(refusal) => Step::Finish(Outcome::NotRun(*refusal)),
            Verdict::Unknown(doubt) => Step::Finish(Outcome::Unknown(*doubt)),
            Verdict::Join { .. } => Step::Follow(verdict.clone()),
        }
    }

    /// What happens to one of two runs of a hedged request.
    fn contend(event: &Event) -> Step {
        match event {
            Event::Fault(Fault::NotSent) | Event::Head(404 | 429 | 503) => Step::Shed(None),
            Event::Fault(_) | Event::Overdue | Event::Head(500..) => {
                Step::Shed(Some(Doubt::UpstreamLost))
            }
            _ => Step::Stay,
        }
    }

    /// The outcome at the deadline.
    fn late(&self) -> Outcome {
        match self.stage {
            // The ledger may know of an earlier run under this key.
            Stage::Claiming | Stage::Following | Stage::Running => {
                Outcome::Unknown(Doubt::DeadlinePassed)
            }
            Stage::Pausing { resume: true, .. } => Outcome::Unknown(Doubt::DeadlinePassed),
            Stage::Waiting | Stage::Pausing { .. } => self.refused(Refusal {
                reason: Reason::Deadline,
                retry_after: None,
            }),
        }
    }

    /// A refusal, unless an earlier run may have happened.
    pub fn refused(&self, refusal: Refusal) -> Outcome {
        self.doubt
            .map_or(Outcome::NotRun(refusal), Outcome::Unknown)
    }

    fn abandon(&mut self) -> Step {
        self.caller = false;
        match (self.safety, self.stage) {
            // A claim is ended by its verdict. A run may have happened: its answer is for
            // a resend, and stopping it half way would leave the caller's order neither
            // done nor undone.
            (
                Safety::Keyed | Safety::Single,
                Stage::Claiming | Stage::Running | Stage::Pausing { resume: true, .. },
            ) => Step::Stay,
            _ => Step::Drop,
        }
    }

    fn headed(&mut self, status: u16, index: usize, settings: &Settings) -> Step {
        let run = &self.runs[index];
        match (run.resumed, status) {
            (true, 200..=299) => Step::Stay,
            (true, 429 | 503) => self.resume(Retry::Turned, index, settings),
            (true, _) => self.lost(Retry::Broken, Doubt::UpstreamLost, settings),
            (false, 429 | 503) => self.unsent(Retry::Turned, settings),
            (false, 404) if self.resumable => self.unsent(Retry::Turned, settings),
            (false, 500..) if self.safety == Safety::Repeatable => {
                if self.tries < settings.attempts {
                    Step::Elsewhere(Retry::Broken, Some(Doubt::UpstreamLost))
                } else {
                    Step::Stay
                }
            }
            (false, 500..) => Step::Finish(Outcome::Unknown(Doubt::UpstreamLost)),
            (false, _) => Step::Stay,
        }
    }

    fn failed(&mut self, fault: Fault, index: usize, settings: &Settings) -> Step {
        let run = &self.runs[index];
        let (resumed, tried) = (run.resumed, run.resumes);
        let (retry, doubt) = match fault {
            Fault::NotSent if !resumed => return self.unsent(Retry::Refused, settings),
            Fault::NotSent => (Retry::Refused, Doubt::UpstreamLost),
            Fault::Broken => (Retry::Broken, Doubt::UpstreamLost),
            Fault::Silent => (Retry::Silent, Doubt::Silence),
        };
        // One resume without a byte is enough to tell a lost connection from a lost
        // upstream, unless there is nothing else that may be done.
        let allowed = if self.may_rerun() {
            1
        } else {
            settings.attempts
        };
        if self.resumable && tried < allowed {
            return self.resume(retry, index, settings);
        }
        self.lost(retry, doubt, settings)
    }

    fn resume(&self, retry: Retry, index: usize, settings: &Settings) -> Step {
        let resumes = self.runs[index].resumes;
        if resumes < settings.attempts {
            Step::Resume(retry, resumes)
        } else {
            self.lost(retry, Doubt::UpstreamLost, settings)
        }
    }

    /// Whether a run that may have happened may be made again.
    pub fn may_rerun(&self) -> bool {
        self.safety == Safety::Repeatable && !self.given
    }

    fn unsent(&self, retry: Retry, settings: &Settings) -> Step {
        if self.tries < settings.attempts {
            return Step::Elsewhere(retry, None);
        }
        let reason = match retry {
            Retry::Turned => Reason::UpstreamRefused,
            _ => Reason::NoUpstream,
        };
        Step::Finish(self.refused(Refusal {
            reason,
            retry_after: Some(Duration::from_secs(1)),
        }))
    }

    fn lost(&self, retry: Retry, doubt: Doubt, settings: &Settings) -> Step {
        if self.may_rerun() && self.tries < settings.attempts {
            Step::Elsewhere(retry, Some(doubt))
        } else {
            Step::Finish(Outcome::Unknown(doubt))
        }
    }

    /// When the run at `index` is overdue.
    ///
    /// A run that can neither be resumed nor made again is only bounded by the deadline.
    pub fn overdue(&self, index: usize, first: Duration, gap: Duration) -> Option<Time> {
        if !self.resumable && !self.may_rerun() {
            return None;
        }
        let run = &self.runs[index];
        let bound = if run.received == 0 { first } else { gap };
        Some(run.heard + bound)
    }

    /// Index of the run with this attempt in progress.
    pub fn run(&self, attempt: DispatchId) -> Option<usize> {
        self.runs.iter().position(|run| run.attempt == attempt)
    }

    /// Its place in its row's queue.
    pub fn place(&self) -> Place {
        Place {
            key: self.request.key,
            deadline: self.deadline,
            target: self.target,
        }
    }

    /// Bytes of the request that count against the host's bound.
    pub fn bytes(&self) -> usize {
        let body: &Bytes = &self.request.call.body;
        body.len()
    }
}
