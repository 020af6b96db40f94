//! A completion request on an engine and the answer generated so far.

use super::{Output, Ticket};
use crate::answer::Writer;
use bytes::Bytes;
use mulberryrack_core::{
    Name, Time,
    request::{Call, Priority},
};

/// Progress of a request through the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The request waits in the queue.
    Waiting,
    /// The request is in the batch, and its prompt is being read until this moment.
    Prefill(Time),
    /// The request is in the batch, and each step generates a token.
    Decode,
    /// The answer is complete and can be read again for
    /// [`Settings::keep`](super::Settings::keep).
    Complete,
}

/// The exchange that reads the stream, and what it has received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reader {
    pub ticket: Ticket,
    /// Number of bytes of the body that have been sent or skipped.
    pub offset: usize,
    pub head_sent: bool,
}

/// A completion request, named by its stream.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub row: Name,
    pub version: Name,
    pub priority: Priority,
    /// Number in the order of arrival.
    pub arrival: u64,
    pub call: Call,
    /// Row and version under which the prompt's blocks are cached.
    pub owner: Name,
    /// Hashes of the full blocks of the prompt.
    pub prefix: Vec<u64>,
    pub writer: Writer,
    pub phase: Phase,
    /// Number of tokens generated.
    pub tokens: u32,
    /// Body of the answer as far as it has been generated.
    pub body: Vec<u8>,
    /// `None` once the connection has ended or gone silent, or the answer has been sent.
    pub reader: Option<Reader>,
}

impl Stream {
    /// Generates the next token of a stream in the batch, if its prompt has been read.
    /// Returns whether the answer is complete now.
    pub fn step(&mut self, now: Time) -> bool {
        match self.phase {
            Phase::Prefill(until) if until <= now => self.phase = Phase::Decode,
            Phase::Decode => {}
            Phase::Waiting | Phase::Prefill(_) | Phase::Complete => return false,
        }
        self.tokens += 1;
        self.writer.token(self.tokens, &mut self.body);
        self.tokens == self.writer.tokens()
    }

    /// Sends the reader everything that has been generated since the last call.
    pub fn flush(&mut self, out: &mut Vec<Output>) {
        let Some(reader) = &mut self.reader else {
            return;
        };
        let ticket = reader.ticket;
        let complete = self.phase == Phase::Complete;
        let part = &self.body[reader.offset..];
        if part.is_empty() && !complete {
            return;
        }
        if !reader.head_sent {
            reader.head_sent = true;
            out.push(head(ticket, self.writer.content_type()));
        }
        if !part.is_empty() {
            let bytes = Bytes::copy_from_slice(part);
            out.push(Output::Chunk { ticket, bytes });
            reader.offset = self.body.len();
        }
        if complete {
            out.push(Output::End { ticket });
            self.reader = None;
        }
    }

    /// Replaces the reader and sends it the body from `offset` on.
    pub fn resume(&mut self, ticket: Ticket, offset: usize, out: &mut Vec<Output>) {
        out.push(head(ticket, self.writer.content_type()));
        self.reader = Some(Reader {
            ticket,
            offset,
            head_sent: true,
        });
        self.flush(out);
    }
}

fn head(ticket: Ticket, content_type: &str) -> Output {
    let headers = [("content-type".into(), content_type.into())];
    Output::Head {
        ticket,
        status: 200,
        headers: headers.into(),
    }
}
