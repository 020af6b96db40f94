//! What is said to callers.

use crate::{Name, outcome::Outcome};
use bytes::Bytes;
use std::sync::Arc;

/// A part of the answer to a caller. A request gets [`Answer::Head`], any number of
/// [`Answer::Chunk`] and one [`Answer::End`], or [`Answer::Final`] alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Status and headers of the upstream's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers; names in lower case.
        headers: Arc<[(Name, Name)]>,
    },
    /// A part of the body.
    Chunk(Bytes),
    /// The end of a streamed answer. Anything but [`Outcome::Ran`] means that the body
    /// is not whole; the connection is then closed without a last chunk.
    End(Outcome),
    /// The whole answer where no head was sent: a refusal, or an unknown outcome.
    Final(Outcome),
}
