//! A whole deployment except its entry hosts, on loopback ports of one process: the
//! key-value service, the list of machines, the engines, the plain services, and faults in
//! all of them.
//!
//! One HTTP server reads the requests for all machines, and one thread owns the state of
//! all of them. Each machine has an address of its own, where a relay forwards connections
//! to that server. `docs/protocols.md` describes the protocols.
//!
//! A [`World`] must be started and dropped outside any asynchronous runtime.

mod exchange;
mod platform;
mod relay;
mod state;
mod switch;

pub use state::{KV, LIST, State};
pub use switch::{Memory, Switch, Tally};

use crate::{
    deployment::{Deployment, Kind},
    list::List,
    service::Service,
    weights,
};
use exchange::IncomingRequest;
use mulberryrack_core::{Incarnation, Name, Time, node::Listing};
use platform::KvService;
use relay::{Connections, Relay};
use socket2::SockRef;
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use tiny_http::Server;
use tokio::runtime::{Builder, Runtime};

/// Number of threads that read requests from the HTTP server.
const RECEIVER_THREADS: usize = 8;
/// Maximum time for which the state's thread waits without checking what is due.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);

/// A function that the state's thread runs on the state between two requests.
type StateTask = Box<dyn FnOnce(&mut State, Time) + Send>;

enum Event {
    Request(Box<IncomingRequest>),
    Task(StateTask),
    Stop,
}

/// A running deployment, which stops when dropped.
pub struct World {
    events: Sender<Event>,
    addresses: BTreeMap<Name, SocketAddr>,
    listings: Vec<Listing>,
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    // Must be the last field, because fields are dropped in order and the relays run on
    // this runtime.
    runtime: Runtime,
}

impl World {
    /// Starts a deployment. The list contains its upstreams from the start; entry hosts are
    /// added with [`World::register`] or over HTTP.
    ///
    /// # Errors
    ///
    /// No port or thread is available.
    pub fn start(deployment: &Deployment) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let connections = Connections::new(listener.local_addr()?);
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let mut world = Self {
            events: mpsc::channel().0,
            addresses: BTreeMap::new(),
            listings: Vec::new(),
            server: Arc::new(server),
            stopping: Arc::default(),
            threads: Vec::new(),
            runtime,
        };
        let state = world.build_state(deployment, &connections)?;
        let (events, inbox) = mpsc::channel();
        world.events = events;
        world
            .threads
            .push(thread::spawn(move || run_state_thread(state, &inbox)));
        for _ in 0..RECEIVER_THREADS {
            let receive_loop = world.receive_loop(connections.clone());
            world.threads.push(thread::spawn(receive_loop));
        }
        Ok(world)
    }

    /// Address of a machine, given the name of an upstream, [`KV`] or [`LIST`].
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }

    /// The listings of all upstreams at the start, with their addresses, sorted by name.
    #[must_use]
    pub fn upstreams(&self) -> &[Listing] {
        &self.listings
    }

    /// Adds a machine to the list or replaces its listing, after the list's lag.
    pub fn register(&self, listing: Listing) {
        self.with_state(|state, now| state.list.set(now, listing));
    }

    /// Removes a machine from the list, after the list's lag.
    pub fn unregister(&self, name: &str) {
        let name = Name::from(name);
        self.with_state(move |state, now| state.list.remove(now, &name));
    }

    /// Switches a fault on or off. Returns `false` if no machine has the name or the fault
    /// cannot be applied.
    pub fn switch(&self, switch: Switch) -> bool {
        self.with_state(move |state, now| state.switch(now, &switch))
    }

    /// The counters since the start.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.with_state(|state, _| state.tally())
    }

    /// Runs a function on the state, in the state's thread between two events, and returns
    /// its result.
    ///
    /// # Panics
    ///
    /// If the thread that owns the state has ended.
    pub fn with_state<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut State, Time) -> T + Send + 'static,
    ) -> T {
        let (result, received) = mpsc::channel();
        let event = Event::Task(Box::new(move |state, now| {
            // The receiving end waits below, so sending cannot fail.
            drop(result.send(task(state, now)));
        }));
        self.events.send(event).expect("the state's thread runs");
        received.recv().expect("the state's thread runs")
    }

    fn build_state(
        &mut self,
        deployment: &Deployment,
        connections: &Arc<Connections>,
    ) -> io::Result<State> {
        let platform = deployment.platform;
        let mut state = State::new(
            KvService::new(platform.kv_delay),
            List::new(platform.list_lag),
            weights::Store::new(platform.weights),
        );
        for name in [KV, LIST] {
            self.open_relay(&mut state, name.into(), connections)?;
        }
        let life = Incarnation(1);
        for (mut listing, kind) in deployment.upstreams() {
            let name = listing.name.clone();
            let address = self.open_relay(&mut state, name.clone(), connections)?;
            listing.address = address.to_string().into();
            match kind {
                Kind::Engine(settings, _) => state.add_engine(name, settings, life),
                Kind::Service(settings) => {
                    let group = listing.group.clone();
                    let service = Service::new(name.clone(), group, settings, life);
                    state.add_service(name, service);
                }
            }
            state.list.set_now(listing.clone());
            self.listings.push(listing);
        }
        self.listings.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(state)
    }

    fn open_relay(
        &mut self,
        state: &mut State,
        name: Name,
        connections: &Arc<Connections>,
    ) -> io::Result<SocketAddr> {
        let handle = self.runtime.handle().clone();
        let relay = Relay::new(name.clone(), handle, connections.clone())?;
        let address = relay.address();
        self.addresses.insert(name.clone(), address);
        state.add_relay(name, relay);
        Ok(address)
    }

    fn receive_loop(&self, connections: Arc<Connections>) -> impl FnOnce() + Send + 'static {
        let (server, stopping) = (self.server.clone(), self.stopping.clone());
        let events = self.events.clone();
        move || {
            while !stopping.load(Ordering::Acquire) {
                let Ok(request) = server.recv() else {
                    continue;
                };
                let incoming = IncomingRequest::read(request, &connections);
                if let Some(event) = incoming.map(|incoming| Event::Request(Box::new(incoming)))
                    && events.send(event).is_err()
                {
                    return;
                }
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        for _ in 0..RECEIVER_THREADS {
            self.server.unblock();
        }
        // The receiver threads end by themselves and are not joined. A thread that waits for
        // the rest of a body ends when the runtime drops the connection.
        drop(self.events.send(Event::Stop));
        if let Some(owner) = self.threads.drain(..).next() {
            drop(owner.join());
        }
    }
}

fn run_state_thread(mut state: State, inbox: &Receiver<Event>) {
    let start = Instant::now();
    let now = || {
        let micros = start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    };
    loop {
        let wait = state.next_wake().map_or(MAX_IDLE_WAIT, |at| at - now());
        match inbox.recv_timeout(wait.min(MAX_IDLE_WAIT)) {
            Ok(Event::Request(incoming)) => state.handle_request(now(), *incoming),
            Ok(Event::Task(task)) => task(&mut state, now()),
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {}
        }
        state.wake(now());
    }
}
