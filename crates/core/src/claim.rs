//! Claims on non-repeatable requests.
//!
//! A request of a row that is not marked repeatable must run at most once. If such a request
//! has an idempotency key, the router claims the key at the ledger before it dispatches the
//! request. The ledger keeps a record for each key and answers with a [`Verdict`]; the
//! router reports the end of a granted request with an [`End`].

use crate::{
    Incarnation, Name,
    outcome::{Doubt, Refusal},
    request,
};

/// The ledger's answer to a claim: whether the request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This host, in this incarnation, may run the request once. An [`End`] must follow.
    Granted,
    /// The request has not run under this key and must not run now.
    NotRun(Refusal),
    /// The key was used before, and either it is not known whether the request ran, or its
    /// answer cannot be fetched any more.
    Unknown(Doubt),
    /// A request with this key runs or has run on a host that has the answer: the caller
    /// gets that answer from there.
    Join {
        /// The host that has the answer; it may be this host.
        holder: Name,
        /// The incarnation of the holder in which the request was granted.
        incarnation: Incarnation,
        /// The key under which the holder knows the request.
        request: request::Key,
    },
}

/// How a granted request ended, as the router reports it to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// No byte of the request was sent to an upstream and none will be: the claim is
    /// released.
    NotSent,
    /// The request ran; the router keeps the answer for later attempts with the same key.
    Ran,
    /// The request ran; the router no longer keeps the answer.
    Forgotten,
    /// It is not known whether the request ran.
    Unknown,
}
