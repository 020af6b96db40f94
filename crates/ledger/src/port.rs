//! Inputs and outputs of the ledger.

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

/// An event that the ledger handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// The known hosts or their standing have changed.
    View(Arc<View>),
    /// A frame has arrived from a host.
    Frame {
        /// The sending host.
        from: Name,
        /// The life of the sender that sent the frame.
        incarnation: Incarnation,
        /// The message.
        frame: Frame,
    },
    /// A frame could not be delivered. The ledger ignores this: it repeats each frame that
    /// needs an answer until the answer comes.
    Undelivered {
        /// The host that the frame was sent to.
        to: Name,
    },
    /// A call to the key-value service has ended.
    Kv {
        /// Id of the [`Output::Kv`] that made the call.
        token: kv::CallId,
        /// Reply or error.
        outcome: kv::Outcome,
    },
    /// Asks whether a request may run. Answered by exactly one [`Output::Verdict`], unless
    /// [`Input::Done`] withdraws the claim before.
    Claim {
        /// Key of the request on this host.
        request: request::Key,
        /// Request id: hash of target and idempotency key.
        id: u128,
        /// Hash of the request body; a claim with another body under the same id is refused.
        body: u128,
        /// When the verdict must have been given; no grant is given later.
        deadline: Time,
    },
    /// A granted request has ended, its answer is no longer kept, or a request whose claim
    /// still waits is given up. Comes more than once if the end changes.
    Done {
        /// Key of the request on this host.
        request: request::Key,
        /// How the request ended.
        end: End,
    },
    /// This host is about to stop: it hands its shards over and is no longer the preferred
    /// owner of any. It still takes over from an owner that fails while the log names this
    /// host as successor, and then hands that shard over too.
    Leave,
    /// The moment given by [`crate::Ledger::next_wake`] has come.
    Wake,
}

/// An action that the caller of the ledger must carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a frame to a host.
    Frame {
        /// The receiving host.
        to: Name,
        /// The only life that may receive the frame; `None` for whichever runs now.
        incarnation: Option<Incarnation>,
        /// The message.
        frame: Frame,
    },
    /// Call the key-value service.
    Kv {
        /// Identifies the call in the [`Input::Kv`] that answers it.
        token: kv::CallId,
        /// The operation.
        op: kv::Op,
    },
    /// The answer to an [`Input::Claim`].
    Verdict {
        /// Key of the request on this host.
        request: request::Key,
        /// Whether the request may run, and what is known of an earlier run if it may not.
        verdict: Verdict,
    },
    /// This host owns no shard any more and may stop; sent once after [`Input::Leave`].
    Left,
    /// Write a line to the log.
    Note(Note),
    /// Increment a counter.
    Count(Counter),
}
