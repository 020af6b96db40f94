//! What the router asks of the ledger about non-repeatable requests.

use crate::{
    Incarnation, Name,
    outcome::{Doubt, Refusal},
    request,
};

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This host, in this life, may run it, once. An [`End`] must follow.
    Granted,
    /// It has not run under this key, and does not now.
    NotRun(Refusal),
    /// The key was used before; whether that run happened is not known, or its answer
    /// is not to be had.
    Unknown(Doubt),
    /// The key is running or has run on a host that has the answer: join it there.
    Join {
        /// The host, this one included.
        holder: Name,
        /// The holder's life.
        incarnation: Incarnation,
        /// The request's key on the holder.
        request: request::Key,
    },
}

/// The end of a granted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// No byte of it was sent upstream and none will be: the claim is released.
    NotSent,
    /// It ran; the answer is kept by the router for resends.
    Ran,
    /// It ran; the router no longer keeps the answer.
    Forgotten,
    /// It is not known whether it ran.
    Unknown,
}
