//! Whole hosts among stand-ins, in virtual time.

use crate::{
    caller::Caller,
    faults::Faults,
    naive,
    node::Node,
    parts::{Exchange, Happening, Slot, Watch},
    queue::Queue,
    spread::Spread,
    trace::{Act, Line},
};
use bytes::Bytes;
use mulberryrack_core::{
    Incarnation, Name, Time,
    node::{Listing, Role},
    note::{Counter, Note},
    request,
};
use mulberryrack_host::{Area, Effect, Event, Host, Identity, Settings, operator};
use mulberryrack_standin::{
    engine::{self, Engine, Ticket},
    kv::Store,
    list::List,
    run::Run,
    service::{self, Service},
    weights,
};
use mulberryrack_table::Row;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// One way between hosts of a deployment.
const HOST_LATENCY: Duration = Duration::from_micros(400);
/// One way between a host and an upstream.
const UPSTREAM_LATENCY: Duration = Duration::from_micros(300);
/// Time of a call to the key-value service, both ways.
pub(crate) const KV_LATENCY: Duration = Duration::from_millis(4);
/// Time after which a call that is not answered has failed.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time until a change is on the platform's list.
const LIST_LAG: Duration = Duration::from_secs(5);
/// Time between looks at which rows have a copy.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Random part added to every way, so that no two runs of events tie.
const JITTER_MICROS: u64 = 200;

/// Wall clock at the start of a replay, in milliseconds.
const START_OF_TIME_MS: u64 = 1_800_000_000_000;

/// Index of a host.
pub type HostKey = usize;

/// A deployment to replay.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Hosts, engines and services.
    pub machines: Vec<Listing>,
    /// What engines are like; memory and fencing come from their listing.
    pub engine: engine::Settings,
    /// What services are like.
    pub service: service::Settings,
    /// What the weight store is like.
    pub weights: weights::Settings,
    /// Tables by file name; `table.csv` is accepted at the start.
    pub tables: BTreeMap<Name, String>,
    /// Settings of the hosts.
    pub settings: Settings,
}

/// Which decisions are replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The product.
    Ours,
    /// The baseline.
    Naive,
}

/// When a key ran.
#[derive(Clone, Debug)]
pub struct KeyRun {
    /// When the run began.
    pub at: Time,
    /// What ran.
    pub run: Run,
}

/// Everything in a replay.
#[derive(Debug)]
pub struct World {
    pub(crate) now: Time,
    pub(crate) queue: Queue<Happening>,
    pub(crate) draws: ChaCha8Rng,
    pub(crate) deployment: Deployment,
    pub(crate) version: Version,
    pub(crate) hosts: Vec<Slot>,
    pub(crate) faults: Faults,
    pub(crate) store: Store,
    pub(crate) watches: BTreeMap<u64, Watch>,
    pub(crate) next_watch: u64,
    pub(crate) list: List,
    pub(crate) engines: Vec<Engine>,
    pub(crate) engine_names: Vec<Listing>,
    pub(crate) services: Vec<Service>,
    pub(crate) service_names: Vec<Listing>,
    pub(crate) weights: weights::Store,
    pub(crate) engine_wakes: Vec<Option<Time>>,
    pub(crate) weights_wake: Option<Time>,
    pub(crate) exchanges: BTreeMap<u64, Exchange>,
    pub(crate) next_ticket: u64,
    pub(crate) callers: Vec<Caller>,
    pub(crate) open: BTreeMap<(HostKey, u64, request::Key), usize>,
    pub(crate) addresses: BTreeMap<(HostKey, u64, u64), usize>,
    pub(crate) known: BTreeMap<Name, (Time, Vec<Name>)>,
    pub(crate) trace: Vec<Line>,
    pub(crate) rows: Vec<Row>,
    /// Runs of keyed requests, in order of time.
    pub runs: Vec<KeyRun>,
    /// Counters over all hosts.
    pub counters: BTreeMap<Counter, u64>,
    /// Calls to the key-value service by area and kind.
    pub kv_calls: BTreeMap<(Area, &'static str), u64>,
    /// Bytes of messages between hosts.
    pub peer_bytes: u64,
    /// Answers to operators, with the time.
    pub operators: Vec<(Time, operator::Answer)>,
    /// Log lines, with the host.
    pub notes: Vec<(Time, Name, Note)>,
    /// Whether log lines are kept.
    pub keep_notes: bool,
    /// Highest memory taken over memory there, over all engines.
    pub peak_memory: f64,
    /// Rows with a copy that was ready once, and since when they have none.
    pub(crate) served: BTreeSet<Name>,
    pub(crate) missing: BTreeMap<Name, Time>,
    /// How accepted tables spread.
    pub spread: Spread,
    /// Requests that were open when their host ended by itself.
    pub cut_by_drain: Vec<String>,
    /// Longest time that a row had no ready copy, with the row.
    pub longest_missing: (Duration, Name),
}

impl World {
    /// A world before its first event.
    #[must_use]
    pub fn new(deployment: Deployment, version: Version, trace: Vec<Line>, seed: u64) -> Self {
        let of = |role: Role| -> Vec<Listing> {
            let machines = deployment.machines.iter();
            machines.filter(|one| one.role == role).cloned().collect()
        };
        let engine_names = of(Role::Engine);
        let service_names = of(Role::Service);
        let engines: Vec<Engine> = engine_names
            .iter()
            .map(|listing| {
                let settings = engine::Settings {
                    memory_mb: listing.memory_mb,
                    fencing: listing.fencing,
                    ..deployment.engine
                };
                Engine::new(settings, Incarnation(1))
            })
            .collect();
        let services = service_names
            .iter()
            .map(|listing| {
                let (name, group) = (listing.name.clone(), listing.group.clone());
                Service::new(name, group, deployment.service, Incarnation(1))
            })
            .collect();
        let hosts = of(Role::Host).into_iter().map(Slot::new).collect();
        let mut world = Self {
            now: Time::ZERO,
            queue: Queue::default(),
            draws: ChaCha8Rng::seed_from_u64(seed),
            weights: weights::Store::new(deployment.weights),
            deployment,
            version,
            hosts,
            faults: Faults::default(),
            store: Store::default(),
            watches: BTreeMap::new(),
            next_watch: 0,
            list: List::new(LIST_LAG),
            engine_wakes: vec![None; engines.len()],
            weights_wake: None,
            engines,
            engine_names,
            services,
            service_names,
            exchanges: BTreeMap::new(),
            next_ticket: 0,
            callers: Vec::new(),
            open: BTreeMap::new(),
            addresses: BTreeMap::new(),
            known: BTreeMap::new(),
            trace,
            rows: Vec::new(),
            runs: Vec::new(),
            counters: BTreeMap::new(),
            kv_calls: BTreeMap::new(),
            peer_bytes: 0,
            operators: Vec::new(),
            notes: Vec::new(),
            keep_notes: false,
            peak_memory: 0.0,
            served: BTreeSet::new(),
            missing: BTreeMap::new(),
            longest_missing: (Duration::ZERO, Name::default()),
            spread: Spread::default(),
            cut_by_drain: Vec::new(),
        };
        world.begin();
        world
    }

    /// The time that has come.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Rows of the last table that an operator sent.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// The requests of the trace, with what became of them.
    #[must_use]
    pub fn callers(&self) -> &[Caller] {
        &self.callers
    }

    /// Accelerators of all engines.
    #[must_use]
    pub fn accelerators(&self) -> u32 {
        self.engine_names
            .iter()
            .map(|engine| engine.accelerators)
            .sum()
    }

    /// Loads that the weight store has begun.
    #[must_use]
    pub const fn loads(&self) -> u64 {
        self.weights.loads
    }

    /// Crashes of engines since the start.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        self.engines.iter().map(|engine| engine.crashes).sum()
    }

    /// The key-value service's counts: writes, reads.
    #[must_use]
    pub const fn kv_totals(&self) -> (u64, u64) {
        (self.store.writes, self.store.reads)
    }

    /// Starts every host, the list and the trace.
    fn begin(&mut self) {
        let machines = self.deployment.machines.clone();
        for listing in machines {
            self.list.set(Time::ZERO, listing);
        }
        // The list has been there for long before the hosts start.
        self.list.lag = Duration::ZERO;
        self.list.read(Time::ZERO);
        self.list.lag = LIST_LAG;
        for host in 0..self.hosts.len() {
            self.start(host);
        }
        self.queue
            .put(Time::ZERO + LOOK_INTERVAL, Happening::LookAtRows);
        if !self.trace.is_empty() {
            let at = Time::from_millis(self.trace[0].at_ms);
            self.queue.put(at, Happening::Trace(0));
        }
    }

    /// Runs until a time.
    pub fn run(&mut self, until: Time) {
        while let Some((at, happening)) = self.queue.next(until) {
            self.now = at;
            self.happen(happening);
        }
        self.now = until;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Host(host, life, event) => self.feed_host(host, life, *event),
            Happening::WakeHost(host, life) => {
                if self.hosts[host].wake == Some(self.now) {
                    self.hosts[host].wake = None;
                    self.feed_host(host, life, Event::Wake);
                }
            }
            Happening::Start(host) => self.start(host),
            Happening::ReadList(host, life) => self.read_list(host, life),
            Happening::Kv(host, life, area, token, op) => self.kv(host, life, area, token, &op),
            Happening::WatchEnds(watch) => self.watch_ends(watch),
            Happening::Engine(index, input) => self.feed_engine(index, *input),
            Happening::Service(index, ticket, call) => self.feed_service(index, ticket, &call),
            Happening::WakeEngine(index) => self.feed_engine(index, engine::Input::Wake),
            Happening::WakeService(index) => self.wake_service(index),
            Happening::WakeWeights => self.feed_weights(None),
            Happening::LookAtRows => {
                self.look_at_rows();
                self.look_at_tables();
                self.queue
                    .put(self.now + LOOK_INTERVAL, Happening::LookAtRows);
            }
            Happening::Trace(index) => self.trace(index),
            Happening::Caller(index, step) => self.caller(index, step),
        }
    }

    fn trace(&mut self, index: usize) {
        let act = self.trace[index].act.clone();
        if let Some(next) = self.trace.get(index + 1) {
            let at = Time::from_millis(next.at_ms);
            self.queue.put(at, Happening::Trace(index + 1));
        }
        match act {
            Act::Request(request) => self.arrive(request),
            other => self.fault(&other),
        }
    }

    /// A time a little after one way has passed.
    pub(crate) fn after(&mut self, way: Duration) -> Time {
        let jitter = self.draws.random_range(0..JITTER_MICROS);
        self.now + way + Duration::from_micros(jitter)
    }

    pub(crate) fn host_key(&self, name: &str) -> Option<HostKey> {
        self.hosts
            .iter()
            .position(|slot| *slot.listing.name == *name)
    }

    /// Starts a host as a new life.
    fn start(&mut self, host: HostKey) {
        let now = self.now;
        let seed = self.draws.random();
        let slot = &mut self.hosts[host];
        slot.life += 1;
        slot.started = now;
        slot.wake = None;
        let life = slot.life;
        let identity = Identity {
            name: slot.listing.name.clone(),
            incarnation: Incarnation(START_OF_TIME_MS + now.as_micros() / 1_000 + life),
            data_centre: slot.listing.data_centre.clone(),
            address: slot.listing.address.clone(),
            peer_address: slot.listing.peer_address.clone(),
        };
        slot.node = Some(match self.version {
            Version::Ours => {
                let settings = self.deployment.settings.clone();
                Node::Ours(Box::new(Host::new(settings, identity, seed, Time::ZERO)))
            }
            Version::Naive => Node::Naive(Box::new(naive::Host::new(host, &self.deployment))),
        });
        let listing = slot.listing.clone();
        self.list.set(now, listing);
        self.queue.put(now, Happening::ReadList(host, life));
        self.queue.put(now, Happening::WakeHost(host, life));
        self.hosts[host].wake = Some(now);
    }

    /// Ends a host: its connections break.
    pub(crate) fn kill(&mut self, host: HostKey) {
        let life = self.hosts[host].life;
        self.hosts[host].node = None;
        let broken: Vec<usize> = self
            .open
            .iter()
            .filter(|((open, born, _), _)| *open == host && *born == life)
            .map(|(_, caller)| *caller)
            .collect();
        self.open
            .retain(|(open, born, _), _| !(*open == host && *born == life));
        for caller in broken {
            self.broken(caller);
        }
        let gone: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.host == host && exchange.life == life)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in gone {
            self.exchanges.remove(&ticket);
            for index in 0..self.engines.len() {
                self.feed_engine(index, engine::Input::Disconnected(Ticket(ticket)));
            }
        }
    }

    fn read_list(&mut self, host: HostKey, life: u64) {
        if self.hosts[host].life != life || self.hosts[host].node.is_none() {
            return;
        }
        let list = self.list.read(self.now);
        self.feed_host(host, life, Event::Listing(Some(list.into())));
        let at = self.after(LIST_INTERVAL);
        self.queue.put(at, Happening::ReadList(host, life));
    }

    /// Sends an event to a host after one way.
    pub(crate) fn send_host(&mut self, way: Duration, host: HostKey, life: u64, event: Event) {
        let at = self.after(way);
        let event = Box::new(event);
        self.queue.put(at, Happening::Host(host, life, event));
    }

    /// Hands an event to a host, once it runs, and carries out what comes of it.
    pub(crate) fn feed_host(&mut self, host: HostKey, life: u64, event: Event) {
        let now = self.now;
        let slot = &mut self.hosts[host];
        if slot.life != life {
            return;
        }
        if slot.paused_until > now {
            let at = slot.paused_until;
            let event = Box::new(event);
            self.queue.put(at, Happening::Host(host, life, event));
            return;
        }
        let Some(node) = &mut slot.node else {
            return;
        };
        let effects = node.handle(Time::ZERO + (now - slot.started), event);
        for effect in effects {
            self.carry_out(host, life, effect);
        }
        self.set_wake(host, life);
    }

    fn set_wake(&mut self, host: HostKey, life: u64) {
        let now = self.now;
        let slot = &mut self.hosts[host];
        let Some(wake) = slot.node.as_mut().and_then(Node::next_wake) else {
            return;
        };
        let wake = (slot.started + (wake - Time::ZERO)).max(now);
        if slot.wake.is_some_and(|set| set <= wake && set > now) {
            return;
        }
        // A wake-up right away would never let time pass.
        let wake = wake.max(now + Duration::from_micros(1));
        slot.wake = Some(wake);
        self.queue.put(wake, Happening::WakeHost(host, life));
    }

    fn carry_out(&mut self, host: HostKey, life: u64, effect: Effect) {
        match effect {
            Effect::Address { ticket, answer } => self.addressed(host, life, ticket, answer.ok()),
            Effect::Caller { request, answer } => self.answered(host, life, request, answer),
            Effect::Operator { answer, .. } => {
                if let operator::Answer::Accepted { version } = answer {
                    self.spread.accept(version, self.now);
                }
                self.operators.push((self.now, answer));
            }
            Effect::Peer { address, envelope } => self.peer(host, &address, &envelope),
            Effect::Kv { area, token, op } => {
                *self.kv_calls.entry((area, op.label())).or_default() += 1;
                let at = self.after(KV_LATENCY / 2);
                let happening = Happening::Kv(host, life, area, token, op);
                self.queue.put(at, happening);
            }
            Effect::Send(send) => self.send(host, life, send),
            Effect::Cancel(attempt) => self.cancel(host, life, attempt),
            Effect::Detach(attempt) => self.forget(host, life, attempt),
            Effect::Poll { upstream, .. } => self.contact(host, life, &upstream, None),
            Effect::Order { engine, order, .. } => self.contact(host, life, &engine, Some(order)),
            Effect::Note(note) => {
                if self.keep_notes {
                    let name = self.hosts[host].listing.name.clone();
                    self.notes.push((self.now, name, note));
                }
            }
            Effect::Count(counter) => *self.counters.entry(counter).or_default() += 1,
            Effect::Drained => self.drained(host, life),
        }
    }

    /// A host has left by itself: nothing may be cut off by it.
    fn drained(&mut self, host: HostKey, life: u64) {
        let name = self.hosts[host].listing.name.clone();
        let open = self.open.keys();
        let cut = open.filter(|(open, born, _)| *open == host && *born == life);
        let lines = cut.map(|(.., key)| format!("at {}: {name} request {}", self.now, key.0));
        self.cut_by_drain.extend(lines);
        self.hosts[host].drained = true;
        self.kill(host);
        self.list.remove(self.now, &name);
    }

    /// Carries a message between hosts as bytes, unless they are cut off.
    fn peer(&mut self, from: HostKey, address: &str, envelope: &mulberryrack_wire::peer::Envelope) {
        use prost::Message;
        let bytes: Bytes = envelope.encode_to_vec().into();
        self.peer_bytes += bytes.len() as u64;
        let to = self
            .hosts
            .iter()
            .position(|slot| *slot.listing.peer_address == *address);
        let Some(to) = to else {
            return;
        };
        let life = self.hosts[from].life;
        if self.hosts[to].node.is_none() || self.faults.cut(from, to, self.now) {
            let to = self.hosts[to].listing.name.clone();
            return self.send_host(CALL_TIMEOUT / 2, from, life, Event::Undelivered { to });
        }
        let Ok(envelope) = mulberryrack_wire::peer::Envelope::decode(bytes) else {
            return;
        };
        let life = self.hosts[to].life;
        self.send_host(HOST_LATENCY, to, life, Event::Peer(envelope));
    }
}

/// One way to an upstream, for the modules that send there.
pub(crate) const TO_UPSTREAM: Duration = UPSTREAM_LATENCY;
/// Time after which an exchange that nobody answers has failed.
pub(crate) const EXCHANGE_TIMEOUT: Duration = CALL_TIMEOUT;
