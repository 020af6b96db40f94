//! A machine's address: a relay on loopback that forwards connections to the HTTP server
//! and can refuse them, break them off or silence them.
//!
//! A silenced connection stays open towards the client but carries nothing, as if a device
//! between the two ends had lost track of it; the connection to the server is dropped.

use mulberryrack_core::Name;
use socket2::SockRef;
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{Notify, Semaphore, oneshot},
    task::{AbortHandle, JoinHandle},
    time::{sleep, timeout},
};

/// Maximum number of connections through all relays; further ones are dropped at once.
const MAX_CONNECTIONS: usize = 768;
/// Time for which a silenced connection is held open.
const SILENCE_PERIOD: Duration = Duration::from_secs(300);
/// Path of the probe that a relay sends on each new connection to the server, before the
/// client's bytes.
pub(super) const PROBE_PATH: &str = "/v1/probe";
/// Time without an answer to a probe after which one more connection is opened to make
/// the server start a thread.
const NUDGE_DELAY: Duration = Duration::from_millis(20);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Connection {
    machine: Name,
    silence: Arc<Notify>,
    task: AbortHandle,
}

/// All open connections, by the local address of the relay's connection to the server,
/// which the server sees as the remote address of a request.
#[derive(Debug)]
pub(super) struct Connections {
    server: SocketAddr,
    open: Mutex<BTreeMap<SocketAddr, Connection>>,
    /// Held while connecting to the server, so that one connection at a time is opened.
    dial_lock: tokio::sync::Mutex<()>,
    permits: Arc<Semaphore>,
}

impl Connections {
    /// Creates the table, empty, of connections to `server`.
    pub fn new(server: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            server,
            open: Mutex::default(),
            dial_lock: tokio::sync::Mutex::default(),
            permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        })
    }

    /// The machine to whose address the client of a connection connected; `None` once the
    /// connection has ended.
    pub fn machine(&self, remote: SocketAddr) -> Option<Name> {
        let connections = self.lock();
        connections
            .get(&remote)
            .map(|connection| connection.machine.clone())
    }

    /// Breaks off one connection, even in the middle of an answer.
    pub fn abort(&self, remote: SocketAddr) {
        if let Some(connection) = self.lock().remove(&remote) {
            connection.task.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection and waits until the server has begun to serve it.
    ///
    /// The server's thread pool leaves a connection unserved if it arrives while the pool's
    /// last idle thread is waking up. A further connection then makes the pool start a
    /// thread, which serves the waiting connection next.
    async fn connect_to_server(&self) -> io::Result<TcpStream> {
        let _dialing = self.dial_lock.lock().await;
        let mut server = TcpStream::connect(self.server).await?;
        let probe = format!("GET {PROBE_PATH} HTTP/1.1\r\nhost: probe\r\n\r\n");
        server.write_all(probe.as_bytes()).await?;
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n\r\n") {
            match timeout(NUDGE_DELAY, server.read_u8()).await {
                Ok(byte) => answer.push(byte?),
                Err(_) => drop(TcpStream::connect(self.server).await?),
            }
        }
        Ok(server)
    }

    async fn relay_client(self: &Arc<Self>, machine: &Name, client: TcpStream) -> io::Result<()> {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            return Ok(());
        };
        let server = self.connect_to_server().await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let remote = server.local_addr()?;
        let silence = Arc::new(Notify::new());
        let (start, started) = oneshot::channel();
        let silenced = silence.clone();
        let connections = self.clone();
        let task = tokio::spawn(async move {
            let _permit = permit;
            let _guard = ConnectionGuard {
                connections,
                remote,
            };
            if started.await.is_ok() {
                forward(client, server, &silenced).await;
            }
        });
        let connection = Connection {
            machine: machine.clone(),
            silence,
            task: task.abort_handle(),
        };
        self.lock().insert(remote, connection);
        // The task waits for this message, so it still receives it.
        let _ = start.send(());
        Ok(())
    }
}

/// Removes a connection from the table when its task ends.
struct ConnectionGuard {
    connections: Arc<Connections>,
    remote: SocketAddr,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.remote);
    }
}

async fn forward(mut client: TcpStream, mut server: TcpStream, silence: &Notify) {
    tokio::select! {
        // An error or end on either side ends the connection; nothing can be reported to
        // the other side.
        _ = copy_bidirectional(&mut client, &mut server) => return,
        () = silence.notified() => {}
    }
    drop(server);
    sleep(SILENCE_PERIOD).await;
}

/// The relay at the address of one machine.
#[derive(Debug)]
pub(super) struct Relay {
    machine: Name,
    address: SocketAddr,
    runtime: Handle,
    connections: Arc<Connections>,
    listener: Option<JoinHandle<()>>,
}

impl Relay {
    /// Opens a relay on a free port.
    pub fn new(machine: Name, runtime: Handle, connections: Arc<Connections>) -> io::Result<Self> {
        let mut relay = Self {
            machine,
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            runtime,
            connections,
            listener: None,
        };
        relay.open()?;
        Ok(relay)
    }

    /// Address at which the machine is reached; it stays the same when the relay is closed
    /// and opened again.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections, again on the same port if the relay was open before.
    pub fn open(&mut self) -> io::Result<()> {
        if self.listener.is_some() {
            return Ok(());
        }
        let listener = self.runtime.block_on(TcpListener::bind(self.address))?;
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        self.address = listener.local_addr()?;
        let (machine, connections) = (self.machine.clone(), self.connections.clone());
        self.listener = Some(self.runtime.spawn(async move {
            loop {
                match listener.accept().await {
                    // A connection that cannot be relayed is dropped.
                    Ok((client, _)) => drop(connections.relay_client(&machine, client).await),
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        }));
        Ok(())
    }

    /// Refuses new connections and breaks off the open ones.
    pub fn close(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.abort();
            // Waits until the task has dropped the listener, so that the port refuses
            // connections from here on.
            let _ = self.runtime.block_on(listener);
        }
        for connection in self.connections.lock().values() {
            if connection.machine == self.machine {
                connection.task.abort();
            }
        }
    }

    /// Silences the open connections; new ones work.
    pub fn silence(&self) {
        for connection in self.connections.lock().values() {
            if connection.machine == self.machine {
                connection.silence.notify_one();
            }
        }
    }
}
