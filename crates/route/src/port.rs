//! What the router is told, and what it wants done.

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

/// Something that the router is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A version of the table is in force.
    Table(Arc<Table>),
    /// The hosts have changed.
    View(Arc<View>),
    /// The platform's list of machines.
    Listing(Arc<[Listing]>),
    /// A spread value: `engine/NAME` or `suspect/HOST`.
    Value(Value),
    /// A caller's request. Answered by [`Output::Caller`].
    Arrive(Request),
    /// The caller has gone away.
    Gone(request::Key),
    /// The verdict on [`Output::Claim`].
    Verdict {
        /// The request.
        request: request::Key,
        /// Whether it may run.
        verdict: Verdict,
    },
    /// Something happened to an attempt.
    Attempt {
        /// The attempt.
        attempt: upstream::DispatchId,
        /// What happened.
        event: upstream::Event,
    },
    /// What came of asking an upstream for its report.
    Contact {
        /// The upstream's name.
        upstream: Name,
        /// What came of it.
        contact: upstream::Contact,
    },
    /// A frame from a host.
    Frame {
        /// Sender.
        from: Name,
        /// The sender's life.
        incarnation: Incarnation,
        /// The message.
        frame: Frame,
    },
    /// A frame could not be delivered to this host.
    Undelivered {
        /// The host.
        to: Name,
    },
    /// This host starts to leave: give permits back as requests end, go on serving.
    Leave,
    /// A wake-up that `next_wake` asked for.
    Wake,
}

/// Something that the router wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Tell the caller.
    Caller {
        /// The request.
        request: request::Key,
        /// A part of its answer.
        answer: Answer,
    },
    /// Ask the ledger whether a non-repeatable request may run.
    Claim {
        /// The request.
        request: request::Key,
        /// Hash of target and idempotency key.
        id: u128,
        /// Hash of what is to be sent.
        body: u128,
        /// A grant after this moment is of no use.
        until: Time,
    },
    /// Tell the ledger what became of a granted request.
    Done {
        /// The request.
        request: request::Key,
        /// Its end.
        end: End,
    },
    /// Send to an upstream.
    Send(upstream::Dispatch),
    /// Stop an attempt at the upstream and forget it.
    Cancel(upstream::DispatchId),
    /// Close an attempt's connection and report nothing more of it; its stream goes on
    /// at the upstream, to be resumed. A later [`Output::Cancel`] may still name it.
    Forget(upstream::DispatchId),
    /// Ask an upstream for its report.
    Poll {
        /// Its name.
        upstream: Name,
        /// Its `IP:port`.
        address: Name,
    },
    /// Demand at this host, about once a second.
    Demand(Vec<Demand>),
    /// Spread a value.
    Publish(Value),
    /// Send a frame to one life of a host.
    Frame {
        /// Receiver.
        to: Name,
        /// The receiver's life; `None` for whichever runs now.
        incarnation: Option<Incarnation>,
        /// The message.
        frame: Frame,
    },
    /// Log this.
    Note(Note),
    /// Count this.
    Count(Counter),
}
