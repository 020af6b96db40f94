//! Cuts a stream of events into whole events.

use bytes::{Bytes, BytesMut};

/// An event as it came, with the blank line behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<String>,
}

/// Bytes that are no whole event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Takes bytes over.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// What is left behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Bytes held.
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
