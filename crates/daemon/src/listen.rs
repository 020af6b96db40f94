//! HTTP servers that keep accepting connections after a failure.
//!
//! This module works around two faults of the HTTP library:
//!
//! - The library's accept loop ends for good when `accept` first fails, for example when
//!   descriptors run out. The module then starts a new accept loop on the same listener; the
//!   connections of the old loop are still served.
//! - Of several connections that arrive at once, the library may leave some unserved until
//!   another connection arrives. The module therefore connects to its own listener at a
//!   short interval.

use crate::{logging, response::ErrorResponse};
use mulberryrack_core::note::{Level, Note};
use socket2::SockRef;
use std::{
    io, mem,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};
use tiny_http::{Request, Server};

/// Delay before a new accept loop is started after the old one has ended.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Time between two connections of the process to itself, and so the longest time that an
/// accepted connection is left unserved.
const WAKE_INTERVAL: Duration = Duration::from_millis(50);
/// Time allowed to open a connection to the own listener.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length in bytes of a body that the library may read and discard after a refusal.
const MAX_DISCARDED_BODY_BYTES: usize = 64 << 20;

/// Timeouts of accepted connections. They are set on the listener, and the sockets that it
/// accepts inherit them. They apply to `accept` too, but never expire there, since the
/// process connects to itself more often (`WAKE_INTERVAL`).
#[derive(Clone, Copy, Debug)]
pub struct SocketTimeouts {
    /// Maximum wait for the next bytes of a head or a body, or for the next request.
    pub idle: Duration,
    /// Maximum wait for the client to read more of an answer.
    pub write: Duration,
}

/// Called with each request, on the thread of the server.
type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// Serves a listener until the process ends.
///
/// # Errors
///
/// The listener cannot be used, or a thread cannot be started.
pub fn serve(
    name: &'static str,
    listener: TcpListener,
    timeouts: SocketTimeouts,
    handler: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let socket = SockRef::from(&listener);
    // Each token of a streamed answer is one write, which Nagle's algorithm would hold back
    // until the write before it is acknowledged.
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(timeouts.idle))?;
    socket.set_write_timeout(Some(timeouts.write))?;
    let handler = move |request: Request| {
        if request.body_length() > Some(MAX_DISCARDED_BODY_BYTES) {
            refuse_oversized(request);
        } else {
            handler(request);
        }
    };
    start_accept_loop(name, listener, Arc::new(handler))?;
    thread::Builder::new()
        .name(format!("{name}-nudge"))
        .spawn(move || wake_accept_loop(address))
        .map(|_| ())
}

/// Refuses a request whose body is too long even to discard, without reading the body. The
/// library would allocate memory for the whole body to discard it, and the process would
/// abort if there is not enough. The connection stays open and unread, since the library has
/// no way to close it.
fn refuse_oversized(request: Request) {
    let message = format!("the body is longer than {MAX_DISCARDED_BODY_BYTES} bytes");
    let response = ErrorResponse::bad_request(413, &message).into_response();
    mem::forget(request.upgrade("none", response));
}

fn start_accept_loop(
    name: &'static str,
    listener: TcpListener,
    handler: Handler,
) -> io::Result<()> {
    let listener_clone = listener.try_clone()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || serve_requests(name, &server, &listener_clone, &handler))
        .map(|_| ())
}

fn serve_requests(name: &'static str, server: &Server, listener: &TcpListener, handler: &Handler) {
    loop {
        match server.recv() {
            Ok(request) => handler(request),
            Err(error) => {
                let note = Note::new(Level::Warn, "accept-failed").with("error", &error);
                logging::write(name, &note);
                restart_accept_loop(name, listener, handler);
                break;
            }
        }
    }
    // Connections that the ended accept loop had accepted still send requests to `server`.
    while let Ok(request) = server.recv() {
        handler(request);
    }
}

/// Starts a new accept loop; retries until it succeeds.
fn restart_accept_loop(name: &'static str, listener: &TcpListener, handler: &Handler) {
    loop {
        thread::sleep(RESTART_DELAY);
        let restarted = listener
            .try_clone()
            .and_then(|listener| start_accept_loop(name, listener, handler.clone()));
        match restarted {
            Ok(()) => return,
            Err(error) => {
                let note = Note::new(Level::Warn, "accept-not-restarted").with("error", &error);
                logging::write(name, &note);
            }
        }
    }
}

fn wake_accept_loop(address: SocketAddr) {
    loop {
        thread::sleep(WAKE_INTERVAL);
        // A failure means that no accept loop runs; `restart_accept_loop` starts a new one.
        let _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
    }
}
