//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

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
}

impl Splitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Removes and returns the bytes after the last whole event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).position(|pair| pair == b"\n\n");
    let windows = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    let ends = [unix.map(|at| at + 2), windows.map(|at| at + 4)];
    ends.into_iter().flatten().min()
}

fn id_of(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}
