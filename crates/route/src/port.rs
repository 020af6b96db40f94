//! Inputs and outputs of the router.

use mulberryrack_core::{
    Incarnation, Name, Time,
    caller::Answer,
    claim::{End, Verdict},
    demand::Demand,
    node::Listing,
    note::{Counter, Note},
    request::{self, Request},
    upstream,
    view::{Value, View},
};
use mulberryrack_table::Table;
use mulberryrack_wire::route::Frame;
use std::sync::Arc;

/// An event that the router handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A version of the table. Ignored unless newer than the one in force.
    Table(Arc<Table>),
    /// The hosts that this host knows, after a change.
    View(Arc<View>),
    /// The platform's list of machines. A service replica that it no longer names is
    /// taken as leaving.
    Listing(Arc<[Listing]>),
    /// A published value under the key `engine/NAME` or `suspect/HOST`; other keys are
    /// ignored.
    Value(Value),
    /// A request of a caller. [`Output::Caller`] answers it.
    Arrive(Request),
    /// The caller of a request has disconnected.
    CallerGone(request::Key),
    /// The ledger's verdict on an [`Output::Claim`].
    Verdict {
        /// Key of the claiming request.
        request: request::Key,
        /// Whether the request may run.
        verdict: Verdict,
    },
    /// Progress of a dispatch to an upstream.
    Attempt {
        /// Id of the dispatch.
        attempt: upstream::DispatchId,
        /// What arrived from the upstream, or how the dispatch failed.
        event: upstream::Event,
    },
    /// The result of an [`Output::Poll`].
    Contact {
        /// Name of the polled upstream.
        upstream: Name,
        /// Its report, or why there is none.
        contact: upstream::Contact,
    },
    /// A message from the router of another host.
    Frame {
        /// Name of the sending host.
        from: Name,
        /// Incarnation of the sending host.
        incarnation: Incarnation,
        /// The message.
        frame: Frame,
    },
    /// A frame could not be delivered to a host. Needs no action: unanswered frames are
    /// sent again by timers.
    Undelivered {
        /// Name of the unreachable host.
        to: Name,
    },
    /// This host begins to leave: it returns permits as requests end, and goes on
    /// serving.
    Leave,
    /// The moment given by [`Router::next_wake`](crate::Router::next_wake) has come.
    Wake,
}

/// An action that the router asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Pass a part of an answer to a caller.
    Caller {
        /// Key of the caller's request.
        request: request::Key,
        /// The part of the answer.
        answer: Answer,
    },
    /// Ask the ledger whether a request that must not be repeated may run.
    Claim {
        /// Key of the claiming request.
        request: request::Key,
        /// Hash of the target and the idempotency key.
        id: u128,
        /// Hash of the target, method, path and body, to detect a key that is used with
        /// another call.
        body: u128,
        /// The request's deadline; a later grant is useless.
        until: Time,
    },
    /// Tell the ledger how a granted request ended.
    Done {
        /// Key of the granted request.
        request: request::Key,
        /// What is known of the run.
        end: End,
    },
    /// Dispatch a request to an upstream.
    Send(upstream::Dispatch),
    /// Stop a dispatch at the upstream and report nothing more of it.
    Cancel(upstream::DispatchId),
    /// Close the connection of a dispatch and report nothing more of it. The upstream
    /// keeps the stream, so that another dispatch can resume it. A later
    /// [`Output::Cancel`] may still name this dispatch.
    Detach(upstream::DispatchId),
    /// Ask an upstream for its report.
    Poll {
        /// Name of the upstream.
        upstream: Name,
        /// `IP:port` of the upstream.
        address: Name,
    },
    /// Report the demand for each row with traffic at this host; emitted every second.
    Demand(Vec<Demand>),
    /// Publish a value to all hosts.
    Publish(Value),
    /// Send a message to the router of another host.
    Frame {
        /// Name of the receiving host.
        to: Name,
        /// Incarnation of the receiving host; `None` for the one that runs now.
        incarnation: Option<Incarnation>,
        /// The message.
        frame: Frame,
    },
    /// Write a log line.
    Note(Note),
    /// Increment a counter.
    Count(Counter),
}
