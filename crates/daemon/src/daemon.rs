//! Starts the event loop and its adapters, and stops them.

use crate::{
    admin,
    caller::{self, Context},
    config::Config,
    contact,
    driver::{self, Adapters, Clock, DriverConfig, Inbox, InboxReceiver, PendingAnswers},
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

/// Worker threads of the runtime that carries messages between hosts.
const PEER_THREADS: usize = 2;
/// Maximum number of polls and orders to upstreams in flight at once.
const MAX_CONTACTS: usize = 128;

/// A running daemon. Dropping this value doesn't stop the event loop.
#[derive(Debug)]
pub struct Daemon {
    identity: Identity,
    admin_address: Name,
    inbox: Inbox,
    pending: Arc<PendingAnswers>,
    metrics: Arc<Metrics>,
    driver: JoinHandle<()>,
    runtime: Runtime,
}

/// Ends a daemon from another thread.
#[derive(Clone, Debug)]
pub struct Handle {
    inbox: Inbox,
}

impl Handle {
    /// Drains the daemon: it keeps serving, and ends once its end interrupts no request.
    pub fn drain(&self) {
        self.inbox.put(Event::Drain);
    }

    /// Stops the event loop at once, without a drain, as if the process had died. Threads of
    /// adapters keep running.
    pub fn kill(&self) {
        self.inbox.stop();
    }
}

impl Daemon {
    /// Starts a daemon. Its listeners accept connections when this returns.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, a file with a certificate cannot be used, or a thread
    /// cannot be started.
    pub fn start(config: &Config) -> io::Result<Self> {
        let callers = bind(&config.host.caller_address)?;
        let peers = bind(&config.host.peer_address)?;
        let admins = bind(&config.host.admin_address)?;
        let identity = Identity {
            name: config.host.name.clone(),
            incarnation: new_incarnation(),
            data_centre: config.host.data_centre.clone(),
            address: listener_address(&callers)?,
            peer_address: listener_address(&peers)?,
        };
        let admin_address = listener_address(&admins)?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(PEER_THREADS)
            .enable_all()
            .build()?;
        let (inbox, inbox_receiver) = Inbox::new();
        let tls = config.tls.is_set().then(|| config.tls.clone());
        let pending = Arc::new(PendingAnswers::default());
        let metrics = Arc::new(Metrics::new());
        let clock = Clock::start();
        let adapters = adapters(config, &identity, &runtime, &inbox, &pending, &metrics);
        let driver_config = DriverConfig {
            settings: config.areas.clone(),
            identity: identity.clone(),
            seed: identity.incarnation.0,
            clock,
        };
        let driver = spawn_driver(driver_config, inbox_receiver, adapters)?;
        let context = Context {
            inbox: inbox.clone(),
            pending: pending.clone(),
            clock,
            limits: config.limits.clone(),
            active_requests: Arc::default(),
        };
        platform::watch_list(inbox.clone(), &config.platform)?;
        peer::serve(
            runtime.handle(),
            peers,
            inbox.clone(),
            pending.clone(),
            tls.as_ref(),
        )?;
        admin::serve(admins, inbox.clone(), pending.clone(), metrics.clone())?;
        caller::serve(callers, context)?;
        Ok(Self {
            identity,
            admin_address,
            inbox,
            pending,
            metrics,
            driver,
            runtime,
        })
    }

    /// The host's identity, with the addresses that it listens on: a port 0 in the settings
    /// has been replaced by the actual port.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// `IP:port` on which metrics and health are served.
    #[must_use]
    pub const fn admin_address(&self) -> &Name {
        &self.admin_address
    }

    /// The metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.metrics.text(self.pending.open_requests())
    }

    /// Drains the daemon, as [`Handle::drain`] does.
    pub fn drain(&self) {
        self.handle().drain();
    }

    /// A handle by which another thread can end the daemon.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle {
            inbox: self.inbox.clone(),
        }
    }

    /// Waits until the event loop has ended, then closes the connections to other hosts.
    pub fn wait(self) {
        // A panic of the event loop has already been reported by its own thread.
        let _ = self.driver.join();
        self.runtime.shutdown_background();
    }
}

fn adapters(
    config: &Config,
    identity: &Identity,
    runtime: &Runtime,
    inbox: &Inbox,
    pending: &Arc<PendingAnswers>,
    metrics: &Arc<Metrics>,
) -> Adapters {
    let tls = config.tls.is_set().then(|| config.tls.clone());
    Adapters {
        upstream: upstream::Client::new(
            inbox.clone(),
            driver::stream_prefix(identity),
            config.limits.max_requests * 2,
        ),
        contact: contact::Client::new(inbox.clone(), MAX_CONTACTS),
        platform: platform::Client::new(inbox.clone(), &config.platform, &identity.name),
        peer: peer::Client::new(
            inbox.clone(),
            runtime.handle().clone(),
            metrics.clone(),
            tls,
        ),
        pending: pending.clone(),
        metrics: metrics.clone(),
    }
}

fn spawn_driver(
    driver_config: DriverConfig,
    inbox_receiver: InboxReceiver,
    adapters: Adapters,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("host".to_owned())
        .spawn(move || driver::run(driver_config, inbox_receiver, &adapters))
}

fn bind(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

fn listener_address(listener: &TcpListener) -> io::Result<Name> {
    Ok(listener.local_addr()?.to_string().into())
}

/// The wall clock in milliseconds, so that each start of this host has a higher incarnation
/// than the one before.
fn new_incarnation() -> Incarnation {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |elapsed| elapsed.as_millis());
    Incarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}
