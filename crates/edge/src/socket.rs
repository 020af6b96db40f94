//! Options of TCP sockets.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::{io, net::SocketAddr, time::Duration};
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
