//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer, read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|it| it.0 == name);
        found.next().map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.path().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs
            .into_iter()
            .find(|it| it.0 == name)
            .map(|it| decode(it.1))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        match (bytes[at], hex.and_then(|it| std::str::from_utf8(it).ok())) {
            (b'%', Some(hex)) => {
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub type Stream = BufReader<TcpStream>;

/// Connects with a limit on the wait for each read.
pub fn connect(address: SocketAddr, read: Duration) -> io::Result<Stream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(read))?;
    stream.set_write_timeout(Some(Duration::from_secs(20)))?;
    Ok(BufReader::new(stream))
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if stream.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = line;
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads the body of a message, as far as it comes. `is_answer` says that it may end with the
/// connection.
pub fn read_body(stream: &mut impl BufRead, message: &mut Message, is_answer: bool) {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.to_ascii_lowercase().contains("chunked"));
    let length = message.header("content-length").map(str::to_owned);
    let length = length.and_then(|it| it.parse::<usize>().ok());
    if is_chunked {
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let mut piece = vec![0; size + 2];
            if stream.read_exact(&mut piece).is_err() {
                return;
            }
            message.body.extend(&piece[..size]);
            if size == 0 {
                message.is_complete = true;
                return;
            }
        }
    }
    match length {
        Some(length) => {
            message.body = vec![0; length];
            message.is_complete = stream.read_exact(&mut message.body).is_ok();
        }
        None if is_answer => {
            message.is_complete = stream.read_to_end(&mut message.body).is_ok();
        }
        None => message.is_complete = true,
    }
}

/// Reads a whole message; `None` at the end of the connection.
pub fn read(stream: &mut impl BufRead, is_answer: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else {
        return Ok(None);
    };
    read_body(stream, &mut message, is_answer);
    Ok(Some(message))
}

pub fn write(stream: &mut Stream, bytes: &[u8]) -> io::Result<()> {
    stream.get_mut().write_all(bytes)
}

/// Writes an answer with a length.
pub fn answer(stream: &mut Stream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend(body);
    write(stream, &bytes)
}
