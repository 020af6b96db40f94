//! Splits the bytes of an event stream into whole events, and tells whether a stream has ended
//! between two of them. Lines end with a line feed, a carriage return or both.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, StatusCode, header, response};

/// Header of a request for the events of a stream after the one with this id.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Whether the head of an answer says that it is an event stream; `None` if it names no media
/// type.
#[must_use]
pub fn is_event_stream(headers: &HeaderMap) -> Option<bool> {
    let media_type = headers.get(header::CONTENT_TYPE)?;
    let text = media_type.to_str().unwrap_or_default();
    let essence = text.split(';').next().unwrap_or_default();
    Some(essence.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// Whether the answer with this head may go on with an event stream that another answer has begun.
#[must_use]
pub fn may_continue(head: &response::Parts) -> bool {
    head.status == StatusCode::OK
        && is_event_stream(&head.headers) != Some(false)
        && !head.headers.contains_key(header::CONTENT_ENCODING)
}

/// First byte of a line that is a comment and belongs to no event.
const COMMENT: u8 = b':';

/// What an event consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Fields, with or without comments.
    Fields,
    /// Comments only.
    Comments,
}

/// An event as received, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, unchanged, with the comments and blank lines before it.
    pub bytes: Bytes,
    /// Value of the event's first `id:` line; `None` without such a line.
    pub id: Option<String>,
    /// What it consists of.
    pub content: Content,
}

/// Follows the lines of an event stream and finds the ends of its events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lines {
    /// First byte of the current line; `None` if that line has no byte yet.
    first_byte: Option<u8>,
    /// Whether the byte before was a carriage return. A line feed after it belongs to the same
    /// end of a line.
    after_return: bool,
    /// What the lines since the last event consist of; `None` if they are blank.
    content: Option<Content>,
}

impl Lines {
    /// Takes the next byte. Returns what the event consists of that ends with it.
    pub fn push(&mut self, byte: u8) -> Option<Content> {
        let completes_end = self.after_return && byte == b'\n';
        self.after_return = byte == b'\r';
        match byte {
            b'\n' if completes_end => None,
            b'\n' | b'\r' => self.end_line(),
            _ => {
                self.first_byte.get_or_insert(byte);
                None
            }
        }
    }

    fn end_line(&mut self) -> Option<Content> {
        let Some(first) = self.first_byte.take() else {
            return self.content.take();
        };
        if first != COMMENT {
            self.content = Some(Content::Fields);
        } else if self.content.is_none() {
            self.content = Some(Content::Comments);
        }
        None
    }

    /// Whether a stream that ends here has ended between two events: after the last one there
    /// are only blank lines and comments.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.first_byte.is_none() && self.content != Some(Content::Fields)
    }
}

/// Whether an event stream that consists of these bytes ends between two events.
#[must_use]
pub fn ends_between_events(stream: &[u8]) -> bool {
    let mut lines = Lines::default();
    for byte in stream {
        lines.push(*byte);
    }
    lines.is_between_events()
}

/// Buffers received bytes until they form a whole event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that contain no end of an event.
    searched: usize,
    /// The lines up to there.
    lines: Lines,
}

impl Splitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event; `None` if there is none yet. Bytes that were
    /// searched before are not searched again.
    pub fn next_event(&mut self) -> Option<Event> {
        while let Some(&byte) = self.buffer.get(self.searched) {
            let following = self.buffer.get(self.searched + 1).copied();
            if byte == b'\r' && following.is_none() {
                // A line feed that belongs to this event may follow.
                return None;
            }
            let ended = self.lines.push(byte);
            self.searched += 1;
            if let Some(content) = ended {
                if byte == b'\r' && following == Some(b'\n') {
                    self.lines.push(b'\n');
                    self.searched += 1;
                }
                return Some(self.take_event(content));
            }
        }
        None
    }

    fn take_event(&mut self, content: Content) -> Event {
        let bytes = self.buffer.split_to(self.searched).freeze();
        self.searched = 0;
        let id = id_of(&bytes);
        Event { bytes, id, content }
    }

    /// Whether a stream that ends now has ended between two events.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        let mut lines = self.lines;
        for byte in &self.buffer[self.searched..] {
            lines.push(*byte);
        }
        lines.is_between_events()
    }

    /// Removes and returns the bytes after the last whole event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched = 0;
        self.lines = Lines::default();
        self.buffer.split().freeze()
    }

    /// Number of bytes of an event that is not whole yet.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }
}

fn id_of(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}
