//! A small HTTP/1.1 server and client.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Values by header name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A value of the query, with percent escapes decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
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

fn invalid() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "no HTTP message")
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':').ok_or_else(invalid)?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Reads a request; its body has a length, if it has one.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let (line, headers) = read_headers(reader)?;
    let mut words = line.split(' ');
    let method = words.next().ok_or_else(invalid)?.to_owned();
    let target = words.next().ok_or_else(invalid)?.to_owned();
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Request { method, target, headers, body })
}

/// Listens on a free port of the loopback address and serves each connection on a thread.
pub fn serve(
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    Ok(address)
}

/// Writes an answer with a body of known length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head has arrived.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body has ended as its framing says. An answer that ends with its connection is
    /// complete only if that was closed without a reset.
    pub is_complete: bool,
    /// Whether the length or the chunks mark the end.
    pub marks_its_end: bool,
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn exchange(address: SocketAddr, text: &str, timeout: Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let limited = stream.set_read_timeout(Some(timeout));
    if limited.is_err() || stream.write_all(text.as_bytes()).is_err() {
        return answer;
    }
    let _ = read_answer(&mut BufReader::new(stream), &mut answer);
    answer
}

fn read_answer(reader: &mut impl BufRead, answer: &mut Answer) -> io::Result<()> {
    let (line, headers) = read_headers(reader)?;
    answer.status = line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    let chunked = answer.headers.get("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    let length = answer.headers.get("content-length").and_then(|it| it.parse::<usize>().ok());
    answer.marks_its_end = chunked || length.is_some();
    let mut push = |bytes: &[u8]| answer.body.push_str(&String::from_utf8_lossy(bytes));
    if chunked {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid())?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            push(&chunk[..size]);
        }
    } else if let Some(length) = length {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        push(&body);
    } else {
        let mut body = Vec::new();
        let read = reader.read_to_end(&mut body);
        push(&body);
        read?;
    }
    answer.is_complete = true;
    Ok(())
}
