//! A caller that tells whether the answer that it has received is complete.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

/// An answer as received, until its connection ended.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// The body, without the framing of its chunks.
    pub body: String,
    /// Whether the answer is complete, as far as its framing shows.
    pub is_complete: bool,
}

/// Sends a request that asks for the connection to be closed, and receives the answer.
pub fn exchange(host: SocketAddr, request: &str) -> Answer {
    let mut stream = TcpStream::connect(host).expect("a listener");
    stream.write_all(request.as_bytes()).expect("a connection");
    read(&mut stream)
}

/// Receives an answer until its connection ends.
pub fn read(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let is_reset = stream.read_to_end(&mut bytes).is_err();
    let text = String::from_utf8(bytes).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
    };
    let (body, is_complete) = if header("transfer-encoding").is_some() {
        decode_chunks(body)
    } else if let Some(length) = header("content-length") {
        let length: usize = length.parse().expect("a number");
        (body.to_owned(), body.len() == length)
    } else {
        (body.to_owned(), !is_reset)
    };
    Answer {
        status: head
            .split(' ')
            .nth(1)
            .map_or(0, |it| it.parse().expect("a number")),
        body,
        is_complete,
    }
}

/// The content of chunks, and whether the last one is there.
fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, more)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let end = size.min(more.len());
        body.push_str(&more[..end]);
        rest = more[end..].strip_prefix("\r\n").unwrap_or("");
    }
    (body, false)
}
