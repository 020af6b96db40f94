//! Messages between hosts about upstreams with a limit. Each may be lost, late or repeated.

use mulberryrack_core::{Name, Rate};
use mulberryrack_throttle::{Answer, Ask, Holder};
use std::time::Duration;

/// Who gets a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum To {
    /// All other hosts.
    All,
    /// The host with this name.
    Host(Name),
}

/// What a host knows of the limit of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitNotice {
    /// Name of the upstream.
    pub upstream: Name,
    /// Incarnation of the upstream that has stated it.
    pub incarnation: u64,
    /// The limit; `None` if it has ended.
    pub limit: Option<Rate>,
    /// Time since the request was sent whose answer says so.
    pub sent_age: Duration,
    /// Time since that answer arrived.
    pub heard_age: Duration,
}

/// A message to another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenMessage {
    /// What the sender knows of limits.
    Limits(Vec<LimitNotice>),
    /// A request of the sender asks for a token of the upstream with this limit.
    Ask {
        /// What the sender knows of the limit.
        limit: LimitNotice,
        /// The request.
        ask: Ask,
    },
    /// The answer to the request with this number.
    Answer {
        /// Host that gives the answer.
        giver: Name,
        /// Name of the upstream.
        upstream: Name,
        /// Number of the request at the receiver.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// A request of the sender does not need the token that it got or waits for.
    Return {
        /// Name of the upstream.
        upstream: Name,
        /// The request.
        holder: Holder,
    },
}
