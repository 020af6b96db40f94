//! What a host is told, and what it wants done.

use crate::operator;
use mulberryrack_core::{
    Name,
    caller::Answer,
    kv,
    node::Listing,
    note::{Counter, Note},
    outcome::Reason,
    request::{self, Request},
    upstream,
};
use mulberryrack_member::AddressAnswer;
use mulberryrack_wire::peer::Envelope;
use std::sync::Arc;

/// The part of the host that a key-value call belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Area {
    /// Membership and the table.
    Member,
    /// Intents.
    Ledger,
    /// Orders to engines.
    Place,
}

impl Area {
    /// The name used in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Ledger => "ledger",
            Self::Place => "place",
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks which hosts to use. Answered at once by [`Effect::Address`].
    Where {
        /// Pairs the question with its answer.
        ticket: u64,
        /// Row name.
        target: Name,
    },
    /// A caller's request. Answered by [`Effect::Caller`].
    Request(Request),
    /// The caller of a request has gone away.
    Gone(request::Key),
    /// An operator's command. Answered by [`Effect::Operator`].
    Operator {
        /// Pairs the command with its answers.
        ticket: u64,
        /// The command.
        command: operator::Command,
    },
    /// A message from a host.
    Peer(Envelope),
    /// A message could not be delivered to a host.
    Undelivered {
        /// The host.
        to: Name,
    },
    /// The platform's list, as just read; `None` when it could not be read.
    Listing(Option<Arc<[Listing]>>),
    /// What came of a key-value call.
    Kv {
        /// The area that made it.
        area: Area,
        /// The call.
        token: kv::CallId,
        /// What came of it.
        outcome: kv::Outcome,
    },
    /// Something happened to an attempt.
    Attempt {
        /// The attempt.
        attempt: upstream::DispatchId,
        /// What happened.
        event: upstream::Event,
    },
    /// What came of a poll or an order.
    Contact {
        /// The upstream's name.
        upstream: Name,
        /// The order's id; `None` for a poll.
        order: Option<u64>,
        /// What came of it.
        contact: upstream::Contact,
    },
    /// The process is to end once nothing is cut off by it.
    Drain,
    /// The time of [`crate::Host::next_wake`] has come.
    Wake,
}

/// Something that the host wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer to [`Event::Where`].
    Address {
        /// The ticket of the question.
        ticket: u64,
        /// Addresses, or why there are none.
        answer: Result<AddressAnswer, Reason>,
    },
    /// A part of the answer to a caller.
    Caller {
        /// The request.
        request: request::Key,
        /// The part.
        answer: Answer,
    },
    /// An answer to an operator's command.
    Operator {
        /// The ticket of the command.
        ticket: u64,
        /// The answer.
        answer: operator::Answer,
    },
    /// Send a message to a host.
    Peer {
        /// `IP:port` of the receiver.
        address: Name,
        /// The message.
        envelope: Envelope,
    },
    /// Call the key-value service.
    Kv {
        /// The area that calls.
        area: Area,
        /// The call, unique in the area.
        token: kv::CallId,
        /// What to call.
        op: kv::Op,
    },
    /// Send to an upstream.
    Send(upstream::Dispatch),
    /// Stop an attempt at its upstream.
    Cancel(upstream::DispatchId),
    /// Close an attempt's connection and report nothing more of it; its stream goes on at
    /// the upstream.
    Forget(upstream::DispatchId),
    /// Ask an upstream for its report.
    Poll {
        /// Its name.
        upstream: Name,
        /// Its `IP:port`.
        address: Name,
    },
    /// Give an engine an order.
    Order {
        /// The engine's name.
        engine: Name,
        /// Its `IP:port`.
        address: Name,
        /// The order.
        order: upstream::Order,
    },
    /// Log this.
    Note(Note),
    /// Count this.
    Count(Counter),
    /// Nothing is left to serve or to hand over: the process may end.
    Drained,
}
