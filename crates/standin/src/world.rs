//! A whole deployment but for the entry hosts, on loopback ports of one process: the
//! key-value service, the list of machines, engines, plain services, and faults in all
//! of them.
//!
//! One HTTP server and one thread carry everything; each machine has an address of its
//! own, a relay in front of that server. `docs/protocols.md` describes what they speak.
//!
//! A [`World`] is started and dropped outside of any asynchronous runtime.

mod exchange;
mod gate;
mod platform;
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
use exchange::Arrival;
use gate::{Gate, Routes};
use mulberryrack_core::{Incarnation, Name, Time, node::Listing};
use platform::Kv;
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

/// Threads that read requests.
const RECEIVERS: usize = 8;
/// Longest time between two looks at the clock.
const IDLE: Duration = Duration::from_secs(1);

/// Something to do with the state, between two requests.
type Visit = Box<dyn FnOnce(&mut State, Time) + Send>;

enum Event {
    Request(Box<Arrival>),
    Visit(Visit),
    Stop,
}

/// A running deployment; ends when dropped.
pub struct World {
    events: Sender<Event>,
    addresses: BTreeMap<Name, SocketAddr>,
    listings: Vec<Listing>,
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    // Dropped last: the gates need it.
    runtime: Runtime,
}

impl World {
    /// Starts a deployment. Its upstreams are in the list at once; entry hosts are added
    /// with [`World::register`] or over HTTP.
    ///
    /// # Errors
    ///
    /// No port or thread is to be had.
    pub fn start(deployment: &Deployment) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let routes = Routes::new(listener.local_addr()?);
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
        let state = world.state(deployment, &routes)?;
        let (events, inbox) = mpsc::channel();
        world.events = events;
        world
            .threads
            .push(thread::spawn(move || run(state, &inbox)));
        for _ in 0..RECEIVERS {
            let receiver = world.receiver(routes.clone());
            world.threads.push(thread::spawn(receiver));
        }
        Ok(world)
    }

    /// Where a machine is reached: the name of an upstream, [`KV`] or [`LIST`].
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }

    /// Every upstream, with its address, sorted by name.
    #[must_use]
    pub fn upstreams(&self) -> &[Listing] {
        &self.listings
    }

    /// Adds or replaces a machine in the list.
    pub fn register(&self, listing: Listing) {
        self.visit(|state, now| state.list.set(now, listing));
    }

    /// Drops a machine from the list.
    pub fn unregister(&self, name: &str) {
        let name = Name::from(name);
        self.visit(move |state, now| state.list.remove(now, &name));
    }

    /// Switches a fault; `false` where no machine has the name.
    pub fn switch(&self, switch: Switch) -> bool {
        self.visit(move |state, now| state.switch(now, &switch))
    }

    /// The counters.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.visit(|state, _| state.tally())
    }

    /// Runs a function on the state, between two events.
    ///
    /// # Panics
    ///
    /// If the thread that owns the state has ended.
    pub fn visit<T: Send + 'static>(
        &self,
        visit: impl FnOnce(&mut State, Time) -> T + Send + 'static,
    ) -> T {
        let (result, received) = mpsc::channel();
        let visit = Event::Visit(Box::new(move |state, now| {
            // The caller waits for this below.
            drop(result.send(visit(state, now)));
        }));
        self.events.send(visit).expect("the state's thread runs");
        received.recv().expect("the state's thread runs")
    }

    fn state(&mut self, deployment: &Deployment, routes: &Arc<Routes>) -> io::Result<State> {
        let platform = deployment.platform;
        let mut state = State::new(
            Kv::new(platform.kv_delay),
            List::new(platform.list_lag),
            weights::Store::new(platform.weights),
        );
        for name in [KV, LIST] {
            self.open(&mut state, name.into(), routes)?;
        }
        let life = Incarnation(1);
        for (mut listing, kind) in deployment.upstreams() {
            let name = listing.name.clone();
            let address = self.open(&mut state, name.clone(), routes)?;
            listing.address = address.to_string().into();
            match kind {
                Kind::Engine(settings, _) => state.add_engine(name, settings, life),
                Kind::Service(settings) => {
                    let group = listing.group.clone();
                    let service = Service::new(name.clone(), group, settings, life);
                    state.add_service(name, service);
                }
            }
            state.list.preset(listing.clone());
            self.listings.push(listing);
        }
        self.listings.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(state)
    }

    fn open(
        &mut self,
        state: &mut State,
        name: Name,
        routes: &Arc<Routes>,
    ) -> io::Result<SocketAddr> {
        let handle = self.runtime.handle().clone();
        let gate = Gate::new(name.clone(), handle, routes.clone())?;
        let address = gate.address();
        self.addresses.insert(name.clone(), address);
        state.add_gate(name, gate);
        Ok(address)
    }

    fn receiver(&self, routes: Arc<Routes>) -> impl FnOnce() + Send + 'static {
        let (server, stopping) = (self.server.clone(), self.stopping.clone());
        let events = self.events.clone();
        move || {
            while !stopping.load(Ordering::Acquire) {
                let Ok(request) = server.recv() else {
                    continue;
                };
                let arrival = Arrival::read(request, &routes);
                if let Some(event) = arrival.map(|arrival| Event::Request(Box::new(arrival)))
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
        for _ in 0..RECEIVERS {
            self.server.unblock();
        }
        // The threads end by themselves; one that reads a stuck body ends with its
        // connection, when the runtime drops it.
        drop(self.events.send(Event::Stop));
        if let Some(owner) = self.threads.drain(..).next() {
            drop(owner.join());
        }
    }
}

fn run(mut state: State, inbox: &Receiver<Event>) {
    let start = Instant::now();
    let now = || {
        let micros = start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    };
    loop {
        let wait = state.next_wake().map_or(IDLE, |at| at - now());
        match inbox.recv_timeout(wait.min(IDLE)) {
            Ok(Event::Request(arrival)) => state.request(now(), *arrival),
            Ok(Event::Visit(visit)) => visit(&mut state, now()),
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {}
        }
        state.wake(now());
    }
}
