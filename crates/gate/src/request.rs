//! The state of one request, and the decisions about it.

use crate::{
    cache::PrefixChain, fairness::Verdict, held::Prompt, limit::TokenUse, rest::Turn, trial::Trial,
    upstreams::UpstreamId,
};
use mulberryrack_core::{
    Name, Time,
    outcome::{Refusal, Retry},
};
use mulberryrack_site::{
    RequestHead,
    config::{RetryPolicy, Route},
    organisation::Organisation,
    request::Generation,
    upstream::LoadReport,
};
use mulberryrack_suspect::Subject;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// What the retry budget knows of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Charge {
    /// Whether the request is counted among those that the retries are a share of.
    pub is_counted: bool,
    /// Dispatches that may have arrived, also several at the same upstream.
    pub arrivals: u32,
    /// Whether a retry was spent on the last dispatch.
    pub is_retry: bool,
    /// Whether the last dispatch was the first one to its upstream.
    pub is_first_there: bool,
}

/// State of one request between its arrival and its end.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// Head of the caller's request.
    pub head: RequestHead,
    /// Shared by all attempts at the same request.
    pub fingerprint: u128,
    /// What crashes of its upstreams count against: the request, and the parts of its prompt that
    /// other prompts may share.
    pub(crate) subjects: Arc<[Subject]>,
    /// Number of the request at this host.
    pub(crate) number: u64,
    /// The request's part in the trials of its subjects.
    pub(crate) trial: Trial,
    /// The route that was in force when the request arrived.
    pub route: Arc<Route>,
    /// The organisation whose key the request carries; `None` if it needs no key. Set before each
    /// dispatch from the configuration in force.
    pub organisation: Option<Arc<Organisation>>,
    /// Service of the route that runs the request.
    pub service: Name,
    /// Version of the configuration that the route and service were taken from.
    pub config_version: u64,
    /// Time at which the host read the request. What is decided by its latency target counts from then:
    /// it is late for the time before, but an upstream that can take it is not.
    pub arrived_at: Time,
    /// End of the caller's own timeout or of the route's timeout, whichever is earlier. Both count from
    /// when the request was there to be read.
    pub deadline: Time,
    /// Upstreams that the request may have reached, in the order of the first dispatch.
    /// Invariant: each occurs once.
    pub(crate) tried: Vec<UpstreamId>,
    /// What the retry budget knows of the request.
    pub(crate) charge: Charge,
    /// Upstreams that must not be selected. A stream that has begun may make some of them
    /// selectable again.
    pub(crate) excluded: Vec<UpstreamId>,
    /// Whether the request may have run already.
    pub(crate) may_have_run: bool,
    /// Incarnation of the upstream to which the request was last dispatched.
    pub(crate) incarnation: u64,
    /// Time of the last dispatch.
    pub(crate) dispatched_at: Time,
    /// Time since then in which the host did not read the upstream.
    pub(crate) unread: Duration,
    /// Logarithm of the time to the first event of the last dispatch in relation to the mean, until
    /// the dispatch ends; `None` if it is no sample of the engine's speed.
    pub(crate) log_excess: Option<f64>,
    /// Whether a pause of the stream exceeded its gap target, until the dispatch ends.
    pub(crate) is_paused: Option<bool>,
    /// The upstream that the request is at, if it was suspected of crashing upstreams when it
    /// was dispatched there.
    pub(crate) suspect_at: Option<UpstreamId>,
    /// Whether the caller has received a part of the stream.
    pub(crate) stream_begun: bool,
    /// Whether the request was held back at least once because an engine had too many
    /// prompts to read.
    pub(crate) was_held: bool,
    /// The engine that the request is held for now, and its prompt.
    pub(crate) held_at: Option<(UpstreamId, Prompt)>,
    /// What was decided on the request in competition with others.
    pub(crate) verdict: Verdict,
    /// Place among the requests that wait for the end of a rest; `None` if it does not wait.
    pub(crate) rest_turn: Option<Turn>,
    /// The request's use of the tokens of limited upstreams.
    pub(crate) tokens: TokenUse,
    /// Prefixes of the prompt; empty for plain services.
    pub(crate) prefix_chain: PrefixChain,
}

impl RequestState {
    /// Time left until the deadline.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Takes off the deadline the time for which the request waited before the host read it.
    pub fn record_wait(&mut self, waited: Duration) {
        self.deadline = self.deadline.saturating_sub(waited);
    }

    /// Records for how long the host did not read the upstream: that says nothing about its speed.
    pub fn record_unread(&mut self, pause: Duration) {
        self.unread += pause;
    }

    /// Rank of the request, 0 the most urgent: that of its organisation, else that of its route.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let priority = organisation.and_then(|it| it.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Whether the request may be dispatched again although it may have run. `events_seen`
    /// says whether the caller has received a part of the answer.
    #[must_use]
    pub fn may_rerun(&self, events_seen: bool) -> bool {
        match self.route.retry_policy {
            RetryPolicy::Idempotent => !events_seen,
            RetryPolicy::Resumable => true,
            RetryPolicy::AtMostOnce => false,
        }
    }

    /// Ids of the prompt's parts that other prompts may share, for the log; `-` if there are none.
    #[must_use]
    pub fn shared_parts(&self) -> String {
        let generation = self.head.generation.as_ref();
        let parts = generation.map_or(&[][..], Generation::shared_parts);
        let ids: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
        if ids.is_empty() {
            return "-".to_owned();
        }
        ids.join(",")
    }

    /// Number of the request at this host.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Incarnation of the upstream to which the request was last dispatched.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the host can truthfully answer that the request has not run.
    #[must_use]
    pub const fn certainly_not_run(&self) -> bool {
        !self.may_have_run
    }

    /// Records that the request is held for an engine; `read_ms` is the time to read its prompt
    /// there.
    pub(crate) fn hold_at(&mut self, id: UpstreamId, read_ms: f64) -> Prompt {
        self.was_held = true;
        let rank = self.priority();
        let prompt = Prompt { rank, read_ms };
        self.held_at = Some((id, prompt));
        prompt
    }

    /// Number of different upstreams to which the request was dispatched, without those that
    /// it never reached.
    #[must_use]
    pub const fn tried_count(&self) -> usize {
        self.tried.len()
    }
}

/// The upstream selected for a dispatch, and the estimates behind the selection.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Key of the upstream in the gate.
    pub id: UpstreamId,
    /// Name of the upstream.
    pub name: Name,
    /// Address on which the upstream accepts requests.
    pub address: SocketAddr,
    /// Rank of the request in the engine's queue, 0 the most urgent; `None` for plain
    /// services.
    pub urgency: Option<u8>,
    /// The upstream's last reported load when it was selected, and the age of the report.
    pub load_report: Option<(LoadReport, Duration)>,
    /// Time to read the part of the prompt that the engine should not have cached, in
    /// milliseconds.
    pub read_ms: f64,
    /// Tokens of the part of the prompt that the engine should not have cached.
    pub uncached_tokens: u32,
    /// Time to read the prompts that the engine was sent before, in milliseconds.
    pub backlog_ms: f64,
    /// Requests that the upstream should have had when it was selected.
    pub requests: f64,
    /// How long requests take at the upstream, as a multiple of the usual time; 1 where the rule
    /// does not use it.
    pub slowness: f64,
    /// Number of upstreams that could have been selected.
    pub candidates: usize,
    /// Why the request is dispatched again; `None` for the first dispatch.
    pub retry: Option<Retry>,
}

/// What to do next with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Dispatch the request to this upstream.
    Dispatch(Target),
    /// The selected engine has too many prompts to read, or a stream cannot be resumed yet: ask
    /// for a decision again at this time.
    Hold(Time),
    /// No upstream has the model or adapter in memory: ask the planner to have the model or
    /// adapter loaded, and ask for a decision again when the upstreams have changed, at this
    /// time at the latest.
    AwaitPlacement(Time),
    /// The request may be the cause of crashes, or has a part that may be: ask for a permit, and
    /// ask for a decision again once there is one, or when evidence has changed, at this time at
    /// the latest.
    AwaitPermit(Time),
    /// The upstream that would run the request has a limit, and the request needs a token: send
    /// the messages of [`Gate::take_token_messages`](crate::Gate::take_token_messages), and ask
    /// for a decision again when a message was received, at this time at the latest.
    AwaitToken(Time),
    /// Refuse the request. It has certainly not run.
    Refuse(Refusal),
    /// Give the request up. It may have run.
    Fail,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer arrived completely and is a success.
    Done,
    /// The answer arrived completely and goes to the caller, but does not show that the upstream
    /// wrote an answer to the request: it is no success, or a resumed stream without an event.
    Inconclusive,
    /// The upstream answered with an error.
    Failed,
    /// The upstream answered that it has not run the request.
    NotRun,
    /// The upstream at the address has another id, or the engine does not have the model or
    /// adapter in memory. The request has not run.
    Misplaced,
    /// No byte of the request was sent.
    NotSent,
    /// The host sent no byte of the request, as its key was no longer known to be valid.
    Withdrawn,
    /// The connection broke, or the data received was not an answer to the request.
    Broken,
    /// The upstream was silent for too long.
    Silent,
    /// The upstream sent more bytes than are read of an answer.
    Excessive,
    /// The answer was lost while the host did not read it, as its memory was full or the caller did
    /// not read. This says nothing about the upstream.
    Unread,
    /// The caller went away.
    Abandoned,
}
