//! A machine's address: a relay on loopback that can refuse, break or silence the
//! connections that pass through it.
//!
//! A silent connection stays open towards the client, as when something between the two
//! ends has lost track of it; its other end is dropped.

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

/// Connections through all gates; more are dropped at once.
const MAX_CONNECTIONS: usize = 768;
/// How long a silent connection is held open.
const SILENCE: Duration = Duration::from_secs(300);
/// Path of a probe, sent ahead of a client's bytes.
pub(super) const PROBE: &str = "/v1/probe";
/// How long a probe may stay unanswered before the server is nudged.
const NUDGE: Duration = Duration::from_millis(20);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Route {
    machine: Name,
    silence: Arc<Notify>,
    task: AbortHandle,
}

/// Every connection, by the address from which it reaches the server.
#[derive(Debug)]
pub(super) struct Routes {
    server: SocketAddr,
    open: Mutex<BTreeMap<SocketAddr, Route>>,
    turn: tokio::sync::Mutex<()>,
    room: Arc<Semaphore>,
}

impl Routes {
    /// No connections yet to a server.
    pub fn new(server: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            server,
            open: Mutex::default(),
            turn: tokio::sync::Mutex::default(),
            room: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        })
    }

    /// The machine that a connection is meant for.
    pub fn machine(&self, remote: SocketAddr) -> Option<Name> {
        let routes = self.lock();
        routes.get(&remote).map(|route| route.machine.clone())
    }

    /// Ends one connection in mid-answer.
    pub fn cut(&self, remote: SocketAddr) {
        if let Some(route) = self.lock().remove(&remote) {
            route.task.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Route>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection that the server has begun to serve.
    ///
    /// The server's thread pool leaves a connection unserved that arrives while its last
    /// idle thread wakes up. One more connection then starts a new thread, which takes
    /// the unserved one next.
    async fn dial(&self) -> io::Result<TcpStream> {
        let _turn = self.turn.lock().await;
        let mut server = TcpStream::connect(self.server).await?;
        let probe = format!("GET {PROBE} HTTP/1.1\r\nhost: probe\r\n\r\n");
        server.write_all(probe.as_bytes()).await?;
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n\r\n") {
            match timeout(NUDGE, server.read_u8()).await {
                Ok(byte) => answer.push(byte?),
                Err(_) => drop(TcpStream::connect(self.server).await?),
            }
        }
        Ok(server)
    }

    async fn connect(self: &Arc<Self>, machine: &Name, client: TcpStream) -> io::Result<()> {
        let Ok(permit) = self.room.clone().try_acquire_owned() else {
            return Ok(());
        };
        let server = self.dial().await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let remote = server.local_addr()?;
        let silence = Arc::new(Notify::new());
        let (start, started) = oneshot::channel();
        let notice = silence.clone();
        let routes = self.clone();
        let task = tokio::spawn(async move {
            let _permit = permit;
            let _entry = Entry { routes, remote };
            if started.await.is_ok() {
                relay(client, server, &notice).await;
            }
        });
        let route = Route {
            machine: machine.clone(),
            silence,
            task: task.abort_handle(),
        };
        self.lock().insert(remote, route);
        // The task has not ended: it waits for this.
        let _ = start.send(());
        Ok(())
    }
}

/// Forgets a connection when its task ends.
struct Entry {
    routes: Arc<Routes>,
    remote: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.routes.lock().remove(&self.remote);
    }
}

async fn relay(mut client: TcpStream, mut server: TcpStream, silence: &Notify) {
    tokio::select! {
        // An end on either side ends the connection; there is nobody to tell.
        _ = copy_bidirectional(&mut client, &mut server) => return,
        () = silence.notified() => {}
    }
    drop(server);
    sleep(SILENCE).await;
}

/// The address of one machine.
#[derive(Debug)]
pub(super) struct Gate {
    machine: Name,
    address: SocketAddr,
    runtime: Handle,
    routes: Arc<Routes>,
    listener: Option<JoinHandle<()>>,
}

impl Gate {
    /// Opens a gate on a free port.
    pub fn new(machine: Name, runtime: Handle, routes: Arc<Routes>) -> io::Result<Self> {
        let mut gate = Self {
            machine,
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            runtime,
            routes,
            listener: None,
        };
        gate.open()?;
        Ok(gate)
    }

    /// Where the machine is reached.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes connections again, on the same port.
    pub fn open(&mut self) -> io::Result<()> {
        if self.listener.is_some() {
            return Ok(());
        }
        let listener = self.runtime.block_on(TcpListener::bind(self.address))?;
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        self.address = listener.local_addr()?;
        let (machine, routes) = (self.machine.clone(), self.routes.clone());
        self.listener = Some(self.runtime.spawn(async move {
            loop {
                match listener.accept().await {
                    // A connection that cannot be relayed is dropped.
                    Ok((client, _)) => drop(routes.connect(&machine, client).await),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                }
            }
        }));
        Ok(())
    }

    /// Refuses new connections and breaks the open ones.
    pub fn close(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.abort();
            // Ends with the abort, after which the port refuses.
            let _ = self.runtime.block_on(listener);
        }
        for route in self.routes.lock().values() {
            if route.machine == self.machine {
                route.task.abort();
            }
        }
    }

    /// Lets the open connections go silent; new ones work.
    pub fn silence(&self) {
        for route in self.routes.lock().values() {
            if route.machine == self.machine {
                route.silence.notify_one();
            }
        }
    }
}
