//! Options of TCP sockets.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::{io, net::SocketAddr, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Connections that wait to be accepted; more than a host serves in its grace period.
const BACKLOG: i32 = 1_024;
/// Silence after which a peer is asked whether it lives, and the pause between questions.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Questions without an answer after which a connection is over.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which bytes that are not acknowledged end a connection; under the users'
/// bound for a machine to be in touch.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Listens for connections; an address of a life that has just ended can be taken again.
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

/// Sets what every connection needs so that a silent peer is noticed.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
