//! One request on an engine.

use super::{Output, Ticket};
use crate::answer::Writer;
use bytes::Bytes;
use mulberryrack_core::{
    Name, Time,
    request::{Call, Priority},
};

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// In the queue.
    Waiting,
    /// In the batch; the prompt is read until this moment.
    Prefill(Time),
    /// In the batch; each step makes a token.
    Decode,
    /// The answer is whole; it can be read again for a time.
    Whole,
}

/// Who reads the stream, and how far it has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reader {
    pub ticket: Ticket,
    pub offset: usize,
    pub has_head: bool,
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub row: Name,
    pub version: Name,
    pub priority: Priority,
    pub arrival: u64,
    pub call: Call,
    /// Owner of its blocks in the prefix cache.
    pub owner: Name,
    pub prefix: Vec<u64>,
    pub writer: Writer,
    pub phase: Phase,
    pub tokens: u32,
    pub body: Vec<u8>,
    pub reader: Option<Reader>,
}

impl Stream {
    /// Makes the next token of a stream in the batch, if its prompt has been read.
    /// Whether the answer is whole now.
    pub fn step(&mut self, now: Time) -> bool {
        match self.phase {
            Phase::Prefill(until) if until <= now => self.phase = Phase::Decode,
            Phase::Decode => {}
            Phase::Waiting | Phase::Prefill(_) | Phase::Whole => return false,
        }
        self.tokens += 1;
        self.writer.token(self.tokens, &mut self.body);
        self.tokens == self.writer.tokens()
    }

    /// Gives the reader what it lacks.
    pub fn flush(&mut self, out: &mut Vec<Output>) {
        let Some(reader) = &mut self.reader else {
            return;
        };
        let ticket = reader.ticket;
        let whole = self.phase == Phase::Whole;
        let part = &self.body[reader.offset..];
        if part.is_empty() && !whole {
            return;
        }
        if !reader.has_head {
            reader.has_head = true;
            out.push(head(ticket, self.writer.content_type()));
        }
        if !part.is_empty() {
            let bytes = Bytes::copy_from_slice(part);
            out.push(Output::Chunk { ticket, bytes });
            reader.offset = self.body.len();
        }
        if whole {
            out.push(Output::End { ticket });
            self.reader = None;
        }
    }

    /// Goes on to a new reader from an offset in the body.
    pub fn resume(&mut self, ticket: Ticket, offset: usize, out: &mut Vec<Output>) {
        out.push(head(ticket, self.writer.content_type()));
        self.reader = Some(Reader {
            ticket,
            offset,
            has_head: true,
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
