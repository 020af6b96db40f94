//! Reads the body of an upstream's answer.

use bytes::Bytes;
use mulberryrack_edge::{
    events::{self, Content, Lines},
    framing::Framing,
};
use std::io::{ErrorKind, Read};
use ureq::{Body, BodyReader, http::Response};

/// Maximum number of bytes in one part of a body.
const MAX_PART_BYTES: usize = 16 * 1024;

/// The next part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// The body was broken off.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// The body of an answer that is read part by part.
pub struct Reader {
    body: BodyReader<'static>,
    buffer: Vec<u8>,
    /// `None` if the answer is no event stream.
    stream: Option<Stream>,
}

/// An event stream as far as it was read.
#[derive(Clone, Copy, Debug)]
struct Stream {
    lines: Lines,
    has_event: bool,
    /// Whether it may be complete without any event.
    may_be_empty: bool,
}

impl Stream {
    fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.has_event |= self.lines.push(*byte) == Some(Content::Fields);
        }
    }

    fn is_complete(self) -> bool {
        self.lines.is_between_events() && (self.has_event || self.may_be_empty)
    }
}

impl Reader {
    /// Reads the body of an answer; `is_resumed` if its first part was read before.
    #[must_use]
    pub fn new(response: Response<Body>, is_resumed: bool) -> Self {
        let headers = response.headers();
        let has_no_body = response.body().content_length() == Some(0);
        let names_its_end = has_no_body || Framing::of(headers) != Framing::Connection;
        let is_event_stream = events::is_event_stream(headers) == Some(true);
        let stream = is_event_stream.then(|| Stream {
            lines: Lines::default(),
            has_event: false,
            may_be_empty: is_resumed || names_its_end,
        });
        Self {
            stream,
            body: response.into_body().into_reader(),
            buffer: vec![0; MAX_PART_BYTES],
        }
    }

    /// Waits for the next part. After a part that is not [`Part::Bytes`] there are no others.
    pub fn next_part(&mut self) -> Part {
        match self.body.read(&mut self.buffer) {
            Ok(0) if self.stream.is_some_and(|it| !it.is_complete()) => Part::Broken,
            Ok(0) => Part::End,
            Ok(length) => {
                let bytes = &self.buffer[..length];
                if let Some(stream) = &mut self.stream {
                    stream.push(bytes);
                }
                Part::Bytes(Bytes::copy_from_slice(bytes))
            }
            Err(error) if error.kind() == ErrorKind::TimedOut => Part::Silent,
            Err(_) => Part::Broken,
        }
    }
}
