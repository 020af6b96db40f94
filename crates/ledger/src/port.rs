//! What the ledger is told, and what it wants done.

use mulberryrack_core::{
    Incarnation, Name, Time,
    claim::{End, Verdict},
    kv,
    note::{Counter, Note},
    request,
    view::View,
};
use mulberryrack_wire::ledger::Frame;
use std::sync::Arc;

/// Something that the ledger is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The hosts have changed.
    View(Arc<View>),
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
    /// A key-value call's outcome.
    Kv {
        /// The call.
        token: kv::CallId,
        /// What came of it.
        outcome: kv::Outcome,
    },
    /// May this request run? Answered by exactly one [`Output::Verdict`].
    Claim {
        /// The request, on this host.
        request: request::Key,
        /// Hash of target and idempotency key.
        id: u128,
        /// Hash of what is to be sent.
        body: u128,
        /// After this moment the verdict is of no use; a grant must not come later.
        until: Time,
    },
    /// What became of a granted request.
    Done {
        /// The request, on this host.
        request: request::Key,
        /// Its end.
        end: End,
    },
    /// This host starts to leave: hand over shards, accept no new ones.
    Leave,
    /// A wake-up that `next_wake` asked for.
    Wake,
}

/// Something that the ledger wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a frame to one life of a host.
    Frame {
        /// Receiver.
        to: Name,
        /// The receiver's life; `None` for whichever runs now.
        incarnation: Option<Incarnation>,
        /// The message.
        frame: Frame,
    },
    /// Call the key-value service.
    Kv {
        /// Unique in this area.
        token: kv::CallId,
        /// The call.
        op: kv::Op,
    },
    /// The answer to a claim.
    Verdict {
        /// The request.
        request: request::Key,
        /// Whether it may run.
        verdict: Verdict,
    },
    /// All shards are handed over; sent once after [`Input::Leave`].
    Left,
    /// Log this.
    Note(Note),
    /// Count this.
    Count(Counter),
}
