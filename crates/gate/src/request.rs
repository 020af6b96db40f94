//! One request on its way through the gate.

use crate::{cache::Chain, upstreams::UpstreamId};
use mulberryrack_core::{
    Name, Time,
    outcome::{Refusal, Retry},
};
use mulberryrack_site::{
    Ask,
    config::{Repeat, Route},
    upstream::Load,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// State of one request between its arrival and its end.
#[derive(Clone, Debug)]
pub struct Pass {
    /// What the caller asked for.
    pub ask: Ask,
    /// The route as it was when the request arrived.
    pub route: Arc<Route>,
    /// Service that it was given to.
    pub service: Name,
    /// Version of the configuration that decided both.
    pub version: u64,
    /// When it arrived.
    pub arrived: Time,
    /// When its caller leaves, or the route's timeout ends; the earlier of the two.
    pub deadline: Time,
    /// Invariant: upstreams that were sent the request, each once, in order.
    pub(crate) sent: Vec<UpstreamId>,
    /// Upstreams that are not to be tried again.
    pub(crate) avoid: Vec<UpstreamId>,
    /// Whether it may have run already.
    pub(crate) may_have_run: bool,
    /// Whether its caller has a part of the stream.
    pub(crate) begun: bool,
    /// Whether it was held before an upstream with much to read.
    pub(crate) held: bool,
    /// The upstream that it is held before, and its reading time there in milliseconds.
    pub(crate) waits_at: Option<(UpstreamId, f64)>,
    /// Beginnings of its prompt; none for plain services.
    pub(crate) chain: Chain,
}

impl Pass {
    /// Time that is left until its deadline.
    #[must_use]
    pub fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Whether it may be sent once more although it may have run.
    #[must_use]
    pub fn repeatable(&self, events_seen: bool) -> bool {
        match self.route.repeat {
            Repeat::Idempotent => !events_seen,
            Repeat::Resumable => true,
            Repeat::Once => false,
        }
    }

    /// Whether an answer that says "not run" would be true.
    #[must_use]
    pub const fn certainly_not_run(&self) -> bool {
        !self.may_have_run
    }

    pub(crate) const fn hold(&mut self, id: UpstreamId, read_ms: f64) {
        self.held = true;
        self.waits_at = Some((id, read_ms));
    }

    /// How often it was sent.
    #[must_use]
    pub const fn sends(&self) -> usize {
        self.sent.len()
    }
}

/// Where to send a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Key of the upstream in the gate.
    pub id: UpstreamId,
    /// Name of the upstream.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Rank at a model engine.
    pub urgency: Option<u8>,
    /// Load that the choice went by, and its age.
    pub load: Option<(Load, Duration)>,
    /// Time to read the part of the prompt that it does not keep, in milliseconds.
    pub read_ms: f64,
    /// Time to read the prompts before it, in milliseconds.
    pub backlog_ms: f64,
    /// Upstreams that could have been chosen.
    pub candidates: usize,
    /// Why it is sent once more; `None` for the first send.
    pub retry: Option<Retry>,
}

/// What to do next with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send it.
    Send(Target),
    /// Every upstream that can run it has much to read: ask again at this time.
    Hold(Time),
    /// Its model or adapter is on no upstream: have it placed, and ask again when
    /// something has changed or at this time.
    Place(Time),
    /// Answer that it was not run.
    Refuse(Refusal),
    /// Give it up; it may have run.
    Fail,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Done,
    /// The upstream answered that it failed.
    Failed,
    /// The upstream says that it has not run the request.
    NotRun,
    /// The upstream does not have the model or adapter, or is another one.
    Misplaced,
    /// No byte of the request left the host.
    NotSent,
    /// The connection broke, or what came was no answer to the request.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The caller went away.
    Abandoned,
}
