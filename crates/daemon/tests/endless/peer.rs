//! A stand-in for an upstream that sends bytes without end until its caller closes.

use crate::upstream::{Request, answer, head, read};
use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes that are written at a time.
const BLOCK_BYTES: usize = 16 << 10;
/// Time between two pieces of a trickle.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);

/// Where the bytes without end are in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A header line that does not end.
    HeaderLine,
    /// Header lines.
    Headers,
    /// Header lines, one at a time with pauses between them.
    TrickledHeaders,
    /// Interim answers.
    Interim,
    /// The body of a complete head with a signature.
    Body,
    /// As [`Kind::Body`], in chunks of one byte.
    TinyChunks,
    /// The digits of a chunk's size.
    ChunkSize,
    /// The trailers after the last chunk.
    Trailers,
    /// The body of an answer that says that the request has not run.
    Rejection,
    /// An event without the blank line that ends it.
    Event,
    /// Comments in an event stream, each with its blank line.
    Comments,
    /// As [`Kind::Event`], with pauses between its lines.
    TrickledEvent,
}

impl Kind {
    /// The kinds of answers that are no event streams.
    pub const PLAIN: [Self; 9] = [
        Self::HeaderLine,
        Self::Headers,
        Self::TrickledHeaders,
        Self::Interim,
        Self::Body,
        Self::TinyChunks,
        Self::ChunkSize,
        Self::Trailers,
        Self::Rejection,
    ];
    /// The kinds of event streams.
    pub const STREAMS: [Self; 4] = [
        Self::Event,
        Self::Comments,
        Self::TrickledEvent,
        Self::ChunkSize,
    ];

    /// What comes once, and what is repeated without end.
    fn parts(self, request: &Request) -> (String, &'static str) {
        let chunked = || head(request, "Transfer-Encoding: chunked\r\n");
        let until_close = || head(request, "");
        match self {
            Self::HeaderLine => ("HTTP/1.1 200 OK\r\nX: ".into(), "x"),
            Self::Headers | Self::TrickledHeaders => ("HTTP/1.1 200 OK\r\n".into(), "X: y\r\n"),
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Body => (until_close(), "body"),
            Self::TinyChunks => (chunked(), "1\r\nx\r\n"),
            Self::ChunkSize => (chunked(), "0"),
            Self::Trailers => (chunked() + "0\r\n", "X: y\r\n"),
            Self::Rejection => ("HTTP/1.1 503 x\r\nNot-Executed: 1\r\n\r\n".into(), "body"),
            Self::Event | Self::TrickledEvent => (until_close(), "data: x\n"),
            Self::Comments => (until_close(), ":\n\n"),
        }
    }

    const fn is_trickled(self) -> bool {
        matches!(self, Self::TrickledHeaders | Self::TrickledEvent)
    }

    /// Sends an answer until the connection ends.
    fn send(self, request: &Request, stream: &mut TcpStream, sent: &AtomicU64) {
        let (once, repeated) = self.parts(request);
        if stream.write_all(once.as_bytes()).is_err() {
            return;
        }
        let times = if self.is_trickled() {
            1
        } else {
            BLOCK_BYTES / repeated.len()
        };
        let block = repeated.repeat(times);
        while stream.write_all(block.as_bytes()).is_ok() {
            sent.fetch_add(block.len() as u64, Ordering::Relaxed);
            if self.is_trickled() {
                thread::sleep(TRICKLE_INTERVAL);
            }
        }
    }
}

/// What a peer answers without end; everything else is answered as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Requests of callers.
    Requests,
    /// Health checks. Connections with requests are closed, so that health checks are made.
    Health,
    /// Calls for reports and orders.
    Calls,
}

/// A running stand-in.
pub struct Peer {
    pub address: SocketAddr,
    /// Bytes that were sent without end, over all connections.
    sent: Arc<AtomicU64>,
    /// Endless answers that were begun, and those that were ended by the host.
    begun: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
}

impl Peer {
    pub fn start(kind: Kind, place: Place) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let peer = Self {
            address: listener.local_addr().expect("an address"),
            sent: Arc::default(),
            begun: Arc::default(),
            ended: Arc::default(),
        };
        let (sent, begun, ended) = (peer.sent.clone(), peer.begun.clone(), peer.ended.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (sent, begun, ended) = (sent.clone(), begun.clone(), ended.clone());
                let mut stream = stream.expect("a connection");
                thread::spawn(move || {
                    while let Some(request) = read(&mut stream) {
                        let is_call = request.line.contains("/mulberryrack/");
                        let is_check = request.line.starts_with("GET /health ");
                        let is_endless = match place {
                            Place::Requests => !is_call && !is_check,
                            Place::Health => is_check,
                            Place::Calls => is_call,
                        };
                        if is_endless {
                            begun.fetch_add(1, Ordering::Relaxed);
                            kind.send(&request, &mut stream, &sent);
                            ended.fetch_add(1, Ordering::Relaxed);
                            return;
                        }
                        if !is_call && !is_check {
                            if place == Place::Calls {
                                answer(&request, &mut stream);
                            }
                            return;
                        }
                        let status = if is_check { "200 OK" } else { "503 x" };
                        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                        let _ = stream.write_all(text.as_bytes());
                    }
                });
            }
        });
        peer
    }

    /// Endless answers that were begun.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::Relaxed)
    }

    /// Whether the host has closed every connection with an endless answer.
    pub fn is_left(&self) -> bool {
        self.begun() == self.ended.load(Ordering::Relaxed)
    }

    /// Bytes that were sent without end, for each endless answer. The buffers of the sockets
    /// take some that the host never reads.
    pub fn bytes_per_answer(&self) -> u64 {
        self.sent.load(Ordering::Relaxed) / self.begun().max(1)
    }
}
