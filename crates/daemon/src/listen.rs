//! HTTP servers that go on accepting.
//!
//! Two habits of the HTTP library need a remedy. Its accept loop ends for good at the
//! first failure to accept, as when descriptors run out: a new loop is started on the
//! same listener, and the connections of the old one go on. Of several connections that
//! arrive at once it may leave some waiting until the next one arrives: a connection of
//! our own, made now and then, is that next one.

use crate::{logging, response::Last};
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

/// Wait before accepting again after the accept loop has ended.
const RESTART: Duration = Duration::from_millis(100);
/// Time between connections of our own: how long one may be left waiting.
const NUDGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time to open a connection to ourselves.
const NUDGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest body, in bytes, whose rest is read after its request was refused.
const MAX_REST: usize = 64 << 20;

/// Bounds on the silence of accepted connections. Set on the listener, they are inherited
/// by what it accepts. They bound the accept call as well, where they never pass: our own
/// connections come more often.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest wait for bytes of a head or a body, also between two requests.
    pub idle: Duration,
    /// Longest wait for the other end to take more of an answer.
    pub write: Duration,
}

/// What is done with each request.
type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// Serves a listener until the process ends.
///
/// # Errors
///
/// The listener cannot be used, or the system gives no thread.
pub fn serve(
    name: &'static str,
    listener: TcpListener,
    bounds: Bounds,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let socket = SockRef::from(&listener);
    // Each token is a write of its own, and must not wait for the one before.
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(bounds.idle))?;
    socket.set_write_timeout(Some(bounds.write))?;
    let handle = move |request: Request| {
        if request.body_length() > Some(MAX_REST) {
            refuse(request);
        } else {
            handle(request);
        }
    };
    accept(name, listener, Arc::new(handle))?;
    thread::Builder::new()
        .name(format!("{name}-nudge"))
        .spawn(move || nudge(address))
        .map(|_| ())
}

/// Refuses a request whose body is far too long, and never reads its rest: the library
/// would reserve memory for the whole of it, and the process would end where there is not
/// enough. Its connection stays open, unread, since the library has no way to close it.
fn refuse(request: Request) {
    let message = format!("the body is longer than {MAX_REST} bytes");
    let response = Last::bad(413, &message).response();
    mem::forget(request.upgrade("none", response));
}

fn accept(name: &'static str, listener: TcpListener, handle: Handler) -> io::Result<()> {
    let again = listener.try_clone()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || receive(name, &server, &again, &handle))
        .map(|_| ())
}

fn receive(name: &'static str, server: &Server, listener: &TcpListener, handle: &Handler) {
    loop {
        match server.recv() {
            Ok(request) => handle(request),
            Err(error) => {
                let note = Note::new(Level::Warn, "accept-failed").with("error", &error);
                logging::write(name, &note);
                restart(name, listener, handle);
                break;
            }
        }
    }
    // Connections taken by the ended loop go on sending requests here.
    while let Ok(request) = server.recv() {
        handle(request);
    }
}

/// Starts a new accept loop, as often as it takes.
fn restart(name: &'static str, listener: &TcpListener, handle: &Handler) {
    loop {
        thread::sleep(RESTART);
        let again = listener
            .try_clone()
            .and_then(|listener| accept(name, listener, handle.clone()));
        match again {
            Ok(()) => return,
            Err(error) => {
                let note = Note::new(Level::Warn, "accept-not-restarted").with("error", &error);
                logging::write(name, &note);
            }
        }
    }
}

fn nudge(address: SocketAddr) {
    loop {
        thread::sleep(NUDGE_INTERVAL);
        // Where it fails there is no accept loop to nudge, and a new one is on its way.
        let _ = TcpStream::connect_timeout(&address, NUDGE_TIMEOUT);
    }
}
