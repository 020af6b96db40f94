//! A whole daemon: the host's loop and its adapters.

use crate::{
    admin,
    caller::{self, Edge},
    config::Config,
    contact,
    driver::{self, Adapters, Clock, Inbox, Outlet, Start, Waiting},
    metrics::Metrics,
    peer, platform, upstream,
};
use mulberryrack_core::{Incarnation, Name};
use mulberryrack_host::{Event, Identity};
use std::{
    io,
    net::TcpListener,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::runtime::{Builder, Runtime};

/// Threads of the runtime that carries messages between hosts.
const PEER_THREADS: usize = 2;
/// Most reports and orders under way at once.
const CONTACTS: usize = 128;

/// A running daemon. Dropping it leaves the daemon running.
#[derive(Debug)]
pub struct Daemon {
    identity: Identity,
    admin_address: Name,
    inbox: Inbox,
    waiting: Arc<Waiting>,
    metrics: Arc<Metrics>,
    driver: JoinHandle<()>,
    runtime: Runtime,
}

/// Lets another thread end a daemon.
#[derive(Clone, Debug)]
pub struct Handle {
    inbox: Inbox,
}

impl Handle {
    /// Lets the daemon leave: it ends once nothing is cut off by it.
    pub fn drain(&self) {
        self.inbox.put(Event::Drain);
    }

    /// Ends the daemon's decisions at once, as if the process had died.
    pub fn kill(&self) {
        self.inbox.stop();
    }
}

impl Daemon {
    /// Starts a daemon; it serves when this returns.
    ///
    /// # Errors
    ///
    /// An address is taken, or the system gives no thread.
    pub fn start(config: &Config) -> io::Result<Self> {
        let callers = bind(&config.host.caller_address)?;
        let peers = bind(&config.host.peer_address)?;
        let admins = bind(&config.host.admin_address)?;
        let identity = Identity {
            name: config.host.name.clone(),
            incarnation: incarnation(),
            data_centre: config.host.data_centre.clone(),
            address: address(&callers)?,
            peer_address: address(&peers)?,
        };
        let admin_address = address(&admins)?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(PEER_THREADS)
            .enable_all()
            .build()?;
        let (inbox, outlet) = Inbox::new();
        let tls = config.tls.named().then(|| config.tls.clone());
        let waiting = Arc::new(Waiting::default());
        let metrics = Arc::new(Metrics::new());
        let clock = Clock::start();
        let adapters = adapters(config, &identity, &runtime, &inbox, &waiting, &metrics);
        let start = Start {
            settings: config.areas.clone(),
            identity: identity.clone(),
            seed: identity.incarnation.0,
            clock,
        };
        let driver = spawn_driver(start, outlet, adapters)?;
        let edge = Edge {
            inbox: inbox.clone(),
            waiting: waiting.clone(),
            clock,
            limits: config.limits.clone(),
            serving: Arc::default(),
        };
        platform::watch_list(inbox.clone(), &config.platform)?;
        peer::serve(
            runtime.handle(),
            peers,
            inbox.clone(),
            waiting.clone(),
            tls.as_ref(),
        )?;
        admin::serve(admins, inbox.clone(), waiting.clone(), metrics.clone())?;
        caller::serve(callers, edge)?;
        Ok(Self {
            identity,
            admin_address,
            inbox,
            waiting,
            metrics,
            driver,
            runtime,
        })
    }

    /// Who the host is, with the addresses that it really listens on.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// `IP:port` of metrics and health.
    #[must_use]
    pub const fn admin_address(&self) -> &Name {
        &self.admin_address
    }

    /// The metrics as text.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.metrics.text(self.waiting.requests())
    }

    /// Lets the daemon leave: it ends once nothing is cut off by it.
    pub fn drain(&self) {
        self.handle().drain();
    }

    /// Ends the daemon from another thread.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle {
            inbox: self.inbox.clone(),
        }
    }

    /// Waits until the daemon has left, then closes its connections to hosts.
    pub fn wait(self) {
        // A panic of the loop has been reported on its own thread.
        let _ = self.driver.join();
        self.runtime.shutdown_background();
    }
}

fn adapters(
    config: &Config,
    identity: &Identity,
    runtime: &Runtime,
    inbox: &Inbox,
    waiting: &Arc<Waiting>,
    metrics: &Arc<Metrics>,
) -> Adapters {
    let tls = config.tls.named().then(|| config.tls.clone());
    Adapters {
        upstream: upstream::Client::new(
            inbox.clone(),
            driver::life(identity),
            config.limits.max_requests * 2,
        ),
        contact: contact::Client::new(inbox.clone(), CONTACTS),
        platform: platform::Client::new(inbox.clone(), &config.platform, &identity.name),
        peer: peer::Client::new(
            inbox.clone(),
            runtime.handle().clone(),
            metrics.clone(),
            tls,
        ),
        waiting: waiting.clone(),
        metrics: metrics.clone(),
    }
}

fn spawn_driver(start: Start, outlet: Outlet, adapters: Adapters) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("host".to_owned())
        .spawn(move || driver::run(start, outlet, &adapters))
}

fn bind(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

fn address(listener: &TcpListener) -> io::Result<Name> {
    Ok(listener.local_addr()?.to_string().into())
}

/// A life that is later than every life begun before on this host.
fn incarnation() -> Incarnation {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_millis());
    Incarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}
