//! The answer of an upstream, whose head has been read.

use super::Exchange;
use crate::{client::Connection, framing::Framing};
use http::{Version, header, response};
use hyper::body::{Body, Incoming};
use mulberryrack_core::Time;
use mulberryrack_site::{Dialect, upstream::ReplyHead};

/// An upstream's answer whose head has been read.
pub(super) struct UpstreamAnswer {
    /// Time of the dispatch.
    pub(super) dispatched_at: Time,
    pub(super) connection: Connection,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) reply: ReplyHead,
}

impl<D: Dialect> Exchange<D> {
    /// Removes from the head of an upstream's answer what concerns its connection only.
    pub(super) fn prepare_head(&self, head: &mut response::Parts) {
        // hyper would answer in this version, without chunks if it is HTTP/1.0.
        head.version = Version::HTTP_11;
        head.headers = self.shared.dialect.caller_headers(&head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
    }
}

/// Whether the end of a body is marked by more than the end of its connection, which also comes
/// with a crash of its upstream.
pub(super) fn names_its_end(framing: Framing, body: &Incoming) -> bool {
    framing != Framing::Connection || body.is_end_stream()
}
