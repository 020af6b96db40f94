//! Options of TCP sockets.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::net::{TcpListener, TcpStream};

/// Length of the queue of connections that wait to be accepted: more than a host serves in
/// its grace period.
const BACKLOG: i32 = 1_024;
/// Time without traffic after which a keepalive probe is sent, and the interval between
/// probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection is closed if sent bytes are not acknowledged. Shorter than
/// the time for which, by the users' limit, a machine may be out of touch.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Listens for connections. The address may be reused at once after a restart of the
/// process.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options of a new connection: no delay for small writes, and limits after which
/// a connection to a silent remote side is closed.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Allows a caller to read nothing for a time. The kernel counts bytes for which the remote side has
/// no room as not acknowledged: [`USER_TIMEOUT`] would cut off a caller that pauses.
pub fn set_reading_pause(stream: &TcpStream, pause: Duration) -> io::Result<()> {
    let timeout = USER_TIMEOUT.max(pause);
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Places for sockets that the host uses for its upstreams and for other hosts.
#[derive(Clone, Debug)]
pub struct Sockets {
    open: Arc<AtomicUsize>,
    max: usize,
}

impl Sockets {
    /// Places for up to `max` sockets.
    pub fn new(max: usize) -> Self {
        Self {
            open: Arc::default(),
            max,
        }
    }

    /// Takes a place; `None` if none is free.
    pub fn take(&self) -> Option<SocketPlace> {
        let place = SocketPlace {
            open: self.open.clone(),
        };
        // The place is given back when it is dropped, also if there was none.
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        (open < self.max).then_some(place)
    }
}

/// A place for a socket. Dropping it gives the place back.
#[derive(Debug)]
pub struct SocketPlace {
    open: Arc<AtomicUsize>,
}

impl Drop for SocketPlace {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
