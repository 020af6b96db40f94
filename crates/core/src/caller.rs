//! Answers to callers.

use crate::{Name, outcome::Outcome};
use bytes::Bytes;
use std::sync::Arc;

/// A part of the answer to a caller.
///
/// A request is answered either with one [`Answer::Head`], any number of [`Answer::Chunk`]
/// and one [`Answer::End`], or with [`Answer::Final`] alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Status and headers of the upstream's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers; names in lower case.
        headers: Arc<[(Name, Name)]>,
    },
    /// The next bytes of the body.
    Chunk(Bytes),
    /// The end of a streamed answer. With any outcome but [`Outcome::Ran`] the body is
    /// incomplete, and the connection is closed without the last chunk of the encoding.
    End(Outcome),
    /// The whole answer if no head was sent: a refusal, or an unknown outcome.
    Final(Outcome),
}
