//! Callers that keep their connections, and what they get.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Time after which a caller leaves; longer than any route's timeout.
const PATIENCE: Duration = Duration::from_secs(5);

/// An answer as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub signed: bool,
    pub attempt: String,
    pub body: String,
    /// Whether it looks complete.
    pub whole: bool,
}

/// A caller's connection to one host.
pub struct Caller {
    pub host: SocketAddr,
    kept: Option<BufReader<TcpStream>>,
}

impl Caller {
    pub fn new(host: SocketAddr) -> Self {
        Self { host, kept: None }
    }

    /// Sends a request on the kept connection, or on a new one.
    pub fn ask(&mut self, method: &str, path: &str, id: &str, more: &str) -> Answer {
        let mut connection = match self.kept.take() {
            Some(kept) => kept,
            None => match TcpStream::connect(self.host) {
                Ok(stream) => BufReader::new(stream),
                Err(_) => return Answer::default(),
            },
        };
        let stream = connection.get_mut();
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: 2500\r\nContent-Length: 0\r\n{more}\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return Answer::default();
        }
        let mut answer = Answer::default();
        let keep = read(&mut connection, &mut answer);
        if keep == Some(true) && answer.whole {
            self.kept = Some(connection);
        }
        answer
    }
}

/// Reads an answer as far as it comes; returns whether the connection stays.
fn read(connection: &mut BufReader<TcpStream>, answer: &mut Answer) -> Option<bool> {
    let mut line = || {
        let mut line = String::new();
        let length = connection.read_line(&mut line).ok()?;
        (length > 0).then(|| line.trim_end().to_owned())
    };
    let status = line()?.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut chunked, mut keep) = (None, false, true);
    loop {
        let header = line()?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(": ")?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok(),
            "transfer-encoding" => chunked = true,
            "connection" => keep = value != "close",
            "attempt-id" => value.clone_into(&mut answer.attempt),
            "response-signature" => answer.signed = true,
            _ => {}
        }
    }
    answer.status = status;
    if let Some(length) = length {
        take(connection, length, answer)?;
    }
    while chunked {
        let mut size = String::new();
        connection.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim_end(), 16).ok()?;
        take(connection, size, answer)?;
        let mut end = [0u8; 2];
        connection.read_exact(&mut end).ok()?;
        chunked = size > 0;
    }
    answer.whole = true;
    Some(keep)
}

fn take(connection: &mut BufReader<TcpStream>, length: usize, answer: &mut Answer) -> Option<()> {
    let mut bytes = vec![0u8; length];
    connection.read_exact(&mut bytes).ok()?;
    answer.body.push_str(std::str::from_utf8(&bytes).ok()?);
    Some(())
}
