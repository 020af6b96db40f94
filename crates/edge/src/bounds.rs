//! Bounds on what a remote side may send. A peer may send bytes without end; every reader of
//! this host takes its bounds from here. Each has a bound in time as well: the silence limit and
//! the deadline of a request, and the timeout of a call.

use crate::quota::Quota;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest read buffer of a connection, and with it the largest head. hyper's smallest is 8 KiB.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// Bytes that may arrive until a head is complete: interim answers before it, and what follows
/// it in the same read.
pub const HEAD_ALLOWANCE: u64 = 64 << 10;
/// Largest answer that is buffered whole before it is relayed.
pub const MAX_WHOLE_ANSWER_BYTES: usize = 512 << 10;
/// Largest body of an answer that says that the request has not run.
pub const MAX_REJECTION_BYTES: usize = 16 << 10;
/// Largest event of a stream.
pub const MAX_EVENT_BYTES: usize = 64 << 10;
/// Largest answer to a health check or an order.
pub const MAX_ACKNOWLEDGEMENT_BYTES: usize = 16 << 10;
/// Largest report of an engine.
pub const MAX_REPORT_BYTES: usize = 256 << 10;
/// Largest answer of the key-value service: a few values of the largest size.
pub const MAX_STORE_ANSWER_BYTES: usize = 8 << 20;
/// Largest message of another host.
pub const MAX_PEER_MESSAGE_BYTES: usize = 256 << 10;
/// What is read of one connection on which another host makes calls. It reports its demand every
/// second.
pub const CALLS_QUOTA: Quota = Quota {
    burst: 1 << 20,
    per_second: 512 << 10,
};
/// What is read of one connection on which another host answers calls: a largest message and what
/// frames it, and small ones after that.
pub const ANSWERS_QUOTA: Quota = Quota {
    burst: 320 << 10,
    per_second: 64 << 10,
};
/// Calls of one host that another host serves at the same time.
pub const MAX_PEER_CALLS: u32 = 32;
/// Bytes that a caller may send on a connection for readiness checks and address queries, for
/// each request.
pub const ENDPOINT_ALLOWANCE: u64 = 64 << 10;

/// Pieces that any body may come in.
const MIN_PIECES: usize = 2_048;
/// A body may come in more pieces if they have this many bytes on average.
const MIN_PIECE_BYTES: usize = 64;
/// Bytes by which the buffer of a body grows at most beyond what has arrived.
const MAX_GROWTH_BYTES: usize = 64 << 10;
/// Bytes of a stream that any request may cause, and further ones for each output token.
const MIN_STREAM_BYTES: u64 = 64 << 10;
const STREAM_BYTES_PER_TOKEN: u64 = 1 << 10;
/// Bytes of a stream whose number of tokens is not known.
const MAX_STREAM_BYTES: u64 = 4 << 20;
/// Largest stream that is collected for a caller that cannot receive it in chunks.
pub const MAX_COLLECTED_STREAM_BYTES: usize = 4 << 20;
/// Events of a stream beyond one for each output token.
const EXTRA_EVENTS: u64 = 64;

/// Bytes that may arrive for a body of up to `body_bytes`, with the framing of its pieces.
#[must_use]
pub fn body_allowance(body_bytes: usize) -> u64 {
    let body_bytes = u64::try_from(body_bytes).unwrap_or(u64::MAX);
    body_bytes.saturating_add(body_bytes / 4 + HEAD_ALLOWANCE)
}

/// Bytes that the buffers of a connection to an upstream take while a piece of this length is read:
/// hyper reads the next one meanwhile.
#[must_use]
pub fn read_ahead_bytes(piece_bytes: usize) -> usize {
    2 * piece_bytes.min(MAX_HEAD_BYTES)
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It has more bytes, or comes in more pieces, than are read.
    Excessive,
    /// The connection ended, or the framing is wrong.
    Broken,
}

/// Collects a body of limited size.
#[derive(Debug)]
pub struct Collector {
    max_bytes: usize,
    bytes: Vec<u8>,
    pieces: usize,
}

impl Collector {
    /// Collects up to `max_bytes`.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: Vec::new(),
            pieces: 0,
        }
    }

    /// Adds a piece.
    ///
    /// # Errors
    ///
    /// [`BodyError::Excessive`] if that makes the body too large or too finely divided.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), BodyError> {
        self.pieces += 1;
        let total = self.bytes.len() + piece.len();
        let max_pieces = MIN_PIECES + total / MIN_PIECE_BYTES;
        if total > self.max_bytes || self.pieces > max_pieces {
            return Err(BodyError::Excessive);
        }
        if self.bytes.capacity() < total {
            // Growth by doubling would take up to twice the length of a large body.
            let growth = self.bytes.len().min(MAX_GROWTH_BYTES);
            let growth = growth.min(self.max_bytes - self.bytes.len());
            self.bytes.reserve_exact(growth.max(piece.len()));
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// The collected body.
    #[must_use]
    pub fn finish(self) -> Bytes {
        self.bytes.into()
    }
}

/// Reads a body of up to `max_bytes`.
///
/// # Errors
///
/// Why the body was not read to its end.
pub async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut collector = Collector::new(max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        if let Some(piece) = frame.data_ref() {
            collector.push(piece)?;
        }
    }
    Ok(collector.finish())
}

/// What is left of the bytes and events that a stream may have.
#[derive(Debug)]
pub struct StreamBounds {
    bytes: u64,
    events: u64,
}

impl StreamBounds {
    /// The bounds of a stream of up to `output_tokens`, if their number is known.
    pub fn new(output_tokens: Option<u32>) -> Self {
        let Some(tokens) = output_tokens.map(u64::from) else {
            return Self {
                bytes: MAX_STREAM_BYTES,
                events: MAX_STREAM_BYTES / STREAM_BYTES_PER_TOKEN,
            };
        };
        Self {
            bytes: MIN_STREAM_BYTES + STREAM_BYTES_PER_TOKEN * tokens,
            events: tokens + EXTRA_EVENTS,
        }
    }

    /// Bytes that may arrive for the whole stream, with the framing of its pieces.
    #[must_use]
    pub fn allowance(&self) -> u64 {
        body_allowance(usize::try_from(self.bytes).unwrap_or(usize::MAX))
    }

    /// Counts an event. Returns whether it is within the bounds.
    pub fn take(&mut self, event_bytes: usize) -> bool {
        let event_bytes = u64::try_from(event_bytes).unwrap_or(u64::MAX);
        let is_within = self.events > 0 && event_bytes <= self.bytes;
        self.events = self.events.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(event_bytes);
        is_within
    }
}
