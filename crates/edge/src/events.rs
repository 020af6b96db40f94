//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Length of the longest blank line that ends an event, with the end of the line before it.
const MAX_END_LENGTH: usize = 4;

/// An event as received, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, unchanged.
    pub bytes: Bytes,
    /// Value of the event's first `id:` line; `None` without such a line.
    pub id: Option<String>,
}

/// Buffers received bytes until they form a whole event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that contain no end of an event.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event; `None` if there is none yet. Bytes that were
    /// searched before are not searched again.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(MAX_END_LENGTH - 1);
        let Some(end) = end_of_event(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Removes and returns the bytes after the last whole event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Number of bytes of an event that is not whole yet.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// Length of the first event and the blank line that ends it. Searches no further than that.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let ends = |at: usize| {
        let rest = &bytes[at..];
        let unix = rest.starts_with(b"\n\n").then_some(2);
        let windows = || rest.starts_with(b"\r\n\r\n").then_some(4);
        unix.or_else(windows).map(|length| at + length)
    };
    (0..bytes.len()).find_map(ends)
}

fn id_of(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}
