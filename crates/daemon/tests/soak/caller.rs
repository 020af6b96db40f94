//! A caller that keeps its connection open between requests.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Time without bytes after which a caller closes its connection; longer than the timeout of
/// any route.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if no complete head was received.
    pub status: u16,
    pub signed: bool,
    pub attempt: String,
    pub body: String,
    /// Whether the end of the body was received, by its length or the last chunk.
    pub complete: bool,
}

/// A caller's connection to one host.
pub struct Caller {
    pub host: SocketAddr,
    idle_connection: Option<BufReader<TcpStream>>,
}

impl Caller {
    pub fn new(host: SocketAddr) -> Self {
        Self {
            host,
            idle_connection: None,
        }
    }

    /// Sends a request on the idle connection if there is one, otherwise on a new one.
    pub fn send(&mut self, method: &str, path: &str, id: &str, headers: &str) -> Answer {
        let mut connection = match self.idle_connection.take() {
            Some(idle_connection) => idle_connection,
            None => match TcpStream::connect(self.host) {
                Ok(stream) => BufReader::new(stream),
                Err(_) => return Answer::default(),
            },
        };
        let stream = connection.get_mut();
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a socket");
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: 2500\r\nContent-Length: 0\r\n{headers}\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return Answer::default();
        }
        let mut answer = Answer::default();
        let keep_alive = read(&mut connection, &mut answer);
        if keep_alive == Some(true) && answer.complete {
            self.idle_connection = Some(connection);
        }
        answer
    }
}

/// Reads an answer into `answer` until its end or a failure. Returns whether the connection can
/// be used again, and `None` after a failure.
fn read(connection: &mut BufReader<TcpStream>, answer: &mut Answer) -> Option<bool> {
    let mut line = || {
        let mut line = String::new();
        let length = connection.read_line(&mut line).ok()?;
        (length > 0).then(|| line.trim_end().to_owned())
    };
    let status = line()?.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut chunked, mut keep_alive) = (None, false, true);
    loop {
        let header = line()?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(": ")?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok(),
            "transfer-encoding" => chunked = true,
            "connection" => keep_alive = value != "close",
            "attempt-id" => value.clone_into(&mut answer.attempt),
            "response-signature" => answer.signed = true,
            _ => {}
        }
    }
    answer.status = status;
    if let Some(length) = length {
        read_bytes(connection, length, answer)?;
    }
    while chunked {
        let mut size = String::new();
        connection.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim_end(), 16).ok()?;
        read_bytes(connection, size, answer)?;
        let mut end = [0u8; 2];
        connection.read_exact(&mut end).ok()?;
        chunked = size > 0;
    }
    answer.complete = true;
    Some(keep_alive)
}

fn read_bytes(
    connection: &mut BufReader<TcpStream>,
    length: usize,
    answer: &mut Answer,
) -> Option<()> {
    let mut bytes = vec![0u8; length];
    connection.read_exact(&mut bytes).ok()?;
    answer.body.push_str(std::str::from_utf8(&bytes).ok()?);
    Some(())
}
