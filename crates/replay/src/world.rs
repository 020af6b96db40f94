//! Runs complete hosts with stand-ins in virtual time.
//!
//! [`World`] holds the state of a replay. The modules `caller`, `faults`, `platform` and
//! `upstreams` add methods to it for their parts of the system.

use crate::{
    caller::Caller,
    faults::Faults,
    naive,
    node::Node,
    queue::Queue,
    schedule::{Exchange, HostSlot, PendingWatch, SimEvent},
    table_spread::TableSpread,
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

/// One-way network delay between two hosts.
const HOST_DELAY: Duration = Duration::from_micros(400);
/// One-way network delay between a host and an upstream.
const UPSTREAM_ONE_WAY_DELAY: Duration = Duration::from_micros(300);
/// Round-trip time of a call to the key-value service.
pub(crate) const KV_ROUND_TRIP: Duration = Duration::from_millis(4);
/// Time after which an unanswered call counts as failed.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between a host's reads of the platform's list of machines.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time until a change shows on the platform's list.
const LIST_DELAY: Duration = Duration::from_secs(5);
/// Time between checks of which rows have a copy and which versions are in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound of the random jitter added to a delay, so that events of different chains
/// do not fall on the same time.
const MAX_JITTER_MICROS: u64 = 200;

/// Wall-clock time at the start of a replay, in milliseconds since the Unix epoch.
const WALL_CLOCK_START_MS: u64 = 1_800_000_000_000;

/// Index of a host in [`World`].
pub type HostIndex = usize;

/// The machines, tables and settings that a replay runs.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Hosts, engines and services.
    pub machines: Vec<Listing>,
    /// Settings of all engines; memory and fencing come from each engine's listing.
    pub engine: engine::Settings,
    /// Settings of all services.
    pub service: service::Settings,
    /// Settings of the weight store.
    pub weights: weights::Settings,
    /// Tables as CSV by file name; `table.csv` is accepted during the warm-up.
    pub tables: BTreeMap<Name, String>,
    /// Settings of Mulberryrack's hosts.
    pub settings: Settings,
}

/// Which implementation of hosts a replay runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostKind {
    /// Mulberryrack's hosts.
    Mulberryrack,
    /// The baseline, [`naive::Host`].
    Naive,
}

/// A run of a request with an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedRun {
    /// When the run began.
    pub at: Time,
    /// The row and key that ran.
    pub run: Run,
}

/// State of a replay.
#[derive(Debug)]
pub struct World {
    pub(crate) now: Time,
    pub(crate) queue: Queue<SimEvent>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) deployment: Deployment,
    pub(crate) host_kind: HostKind,
    pub(crate) hosts: Vec<HostSlot>,
    pub(crate) faults: Faults,
    pub(crate) store: Store,
    pub(crate) watches: BTreeMap<u64, PendingWatch>,
    pub(crate) next_watch: u64,
    pub(crate) list: List,
    pub(crate) engines: Vec<Engine>,
    pub(crate) engine_listings: Vec<Listing>,
    pub(crate) services: Vec<Service>,
    pub(crate) service_listings: Vec<Listing>,
    pub(crate) weights: weights::Store,
    pub(crate) engine_wakes: Vec<Option<Time>>,
    pub(crate) weights_wake: Option<Time>,
    /// Calls to upstreams by ticket.
    pub(crate) exchanges: BTreeMap<u64, Exchange>,
    pub(crate) next_ticket: u64,
    pub(crate) callers: Vec<Caller>,
    /// Index of the caller whose attempt is open on a host, by host, life and request key.
    pub(crate) open_requests: BTreeMap<(HostIndex, u64, request::Key), usize>,
    /// Index of the caller that waits for addresses, by host, life and ticket.
    pub(crate) address_queries: BTreeMap<(HostIndex, u64, u64), usize>,
    /// Addresses by row, and the time until which callers may use them.
    pub(crate) address_cache: BTreeMap<Name, (Time, Vec<Name>)>,
    pub(crate) trace: Vec<Line>,
    /// Rows of the last table that an operator sent.
    pub(crate) rows: Vec<Row>,
    /// Runs of requests with idempotency keys, in order of time.
    pub runs: Vec<KeyedRun>,
    /// The hosts' counters, summed over all hosts.
    pub counters: BTreeMap<Counter, u64>,
    /// Calls to the key-value service by area and kind.
    pub kv_calls: BTreeMap<(Area, &'static str), u64>,
    /// Bytes of messages between hosts.
    pub peer_bytes: u64,
    /// Answers to operators, with their times.
    pub operator_answers: Vec<(Time, operator::Answer)>,
    /// Log lines, with their times and hosts.
    pub notes: Vec<(Time, Name, Note)>,
    /// Whether log lines are kept; false unless set.
    pub keep_notes: bool,
    /// Highest memory use of any engine, divided by its memory.
    pub peak_memory: f64,
    /// Rows that have had a ready copy.
    pub(crate) served_rows: BTreeSet<Name>,
    /// Rows of `served_rows` that have no ready copy, and since when.
    pub(crate) missing_since: BTreeMap<Name, Time>,
    /// Accepted tables and their spread to the hosts.
    pub spread: TableSpread,
    /// Requests that were open when their host ended after a drain.
    pub cut_by_drain: Vec<String>,
    /// Longest time that a row had no ready copy after it once had one, with the row.
    pub longest_missing: (Duration, Name),
}

impl World {
    /// Creates the hosts and stand-ins and schedules the first events.
    #[must_use]
    pub fn new(deployment: Deployment, host_kind: HostKind, trace: Vec<Line>, seed: u64) -> Self {
        let listings_of = |role: Role| -> Vec<Listing> {
            let machines = deployment.machines.iter();
            machines.filter(|one| one.role == role).cloned().collect()
        };
        let engine_listings = listings_of(Role::Engine);
        let service_listings = listings_of(Role::Service);
        let engines: Vec<Engine> = engine_listings
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
        let services = service_listings
            .iter()
            .map(|listing| {
                let (name, group) = (listing.name.clone(), listing.group.clone());
                Service::new(name, group, deployment.service, Incarnation(1))
            })
            .collect();
        let hosts = listings_of(Role::Host)
            .into_iter()
            .map(HostSlot::new)
            .collect();
        let mut world = Self {
            now: Time::ZERO,
            queue: Queue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            weights: weights::Store::new(deployment.weights),
            deployment,
            host_kind,
            hosts,
            faults: Faults::default(),
            store: Store::default(),
            watches: BTreeMap::new(),
            next_watch: 0,
            list: List::new(LIST_DELAY),
            engine_wakes: vec![None; engines.len()],
            weights_wake: None,
            engines,
            engine_listings,
            services,
            service_listings,
            exchanges: BTreeMap::new(),
            next_ticket: 0,
            callers: Vec::new(),
            open_requests: BTreeMap::new(),
            address_queries: BTreeMap::new(),
            address_cache: BTreeMap::new(),
            trace,
            rows: Vec::new(),
            runs: Vec::new(),
            counters: BTreeMap::new(),
            kv_calls: BTreeMap::new(),
            peer_bytes: 0,
            operator_answers: Vec::new(),
            notes: Vec::new(),
            keep_notes: false,
            peak_memory: 0.0,
            served_rows: BTreeSet::new(),
            missing_since: BTreeMap::new(),
            longest_missing: (Duration::ZERO, Name::default()),
            spread: TableSpread::default(),
            cut_by_drain: Vec::new(),
        };
        world.start_all();
        world
    }

    /// The current virtual time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Rows of the last table that an operator sent.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// The callers of the requests started so far, one for each request of the trace.
    #[must_use]
    pub fn callers(&self) -> &[Caller] {
        &self.callers
    }

    /// Number of accelerators of all engines.
    #[must_use]
    pub fn accelerators(&self) -> u32 {
        self.engine_listings
            .iter()
            .map(|engine| engine.accelerators)
            .sum()
    }

    /// Number of loads that the weight store has begun.
    #[must_use]
    pub const fn loads(&self) -> u64 {
        self.weights.loads
    }

    /// Number of engine crashes since the replay began.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        self.engines.iter().map(|engine| engine.crashes).sum()
    }

    /// Numbers of writes and of reads at the key-value service.
    #[must_use]
    pub const fn kv_totals(&self) -> (u64, u64) {
        (self.store.writes, self.store.reads)
    }

    /// Fills the list, starts every host, and schedules the first check and the trace.
    fn start_all(&mut self) {
        let machines = self.deployment.machines.clone();
        for listing in machines {
            self.list.set(Time::ZERO, listing);
        }
        // The first list has no lag: it existed long before the hosts start.
        self.list.lag = Duration::ZERO;
        self.list.read(Time::ZERO);
        self.list.lag = LIST_DELAY;
        for host in 0..self.hosts.len() {
            self.start(host);
        }
        self.queue
            .push(Time::ZERO + CHECK_INTERVAL, SimEvent::PeriodicCheck);
        if !self.trace.is_empty() {
            let at = Time::from_millis(self.trace[0].at_ms);
            self.queue.push(at, SimEvent::Trace(0));
        }
    }

    /// Processes all events that are due at `until` or earlier.
    pub fn run_until(&mut self, until: Time) {
        while let Some((at, scheduled)) = self.queue.pop_due(until) {
            self.now = at;
            self.process(scheduled);
        }
        self.now = until;
    }

    fn process(&mut self, scheduled: SimEvent) {
        match scheduled {
            SimEvent::Host(host, life, event) => self.deliver_to_host(host, life, *event),
            SimEvent::WakeHost(host, life) => {
                if self.hosts[host].wake == Some(self.now) {
                    self.hosts[host].wake = None;
                    self.deliver_to_host(host, life, Event::Wake);
                }
            }
            SimEvent::Start(host) => self.start(host),
            SimEvent::ReadList(host, life) => self.read_list(host, life),
            SimEvent::Kv(host, life, area, call, op) => self.kv_call(host, life, area, call, &op),
            SimEvent::WatchTimeout(watch) => self.watch_timed_out(watch),
            SimEvent::Engine(index, input) => self.deliver_to_engine(index, *input),
            SimEvent::Service(index, ticket, call) => self.deliver_to_service(index, ticket, &call),
            SimEvent::WakeEngine(index) => self.deliver_to_engine(index, engine::Input::Wake),
            SimEvent::WakeService(index) => self.wake_service(index),
            SimEvent::WakeWeights => self.deliver_to_weight_store(None),
            SimEvent::PeriodicCheck => {
                self.check_copies();
                self.check_table_versions();
                self.queue
                    .push(self.now + CHECK_INTERVAL, SimEvent::PeriodicCheck);
            }
            SimEvent::Trace(index) => self.trace_line_due(index),
            SimEvent::Caller(index, step) => self.caller_step(index, step),
        }
    }

    fn trace_line_due(&mut self, index: usize) {
        let act = self.trace[index].act.clone();
        if let Some(next) = self.trace.get(index + 1) {
            let at = Time::from_millis(next.at_ms);
            self.queue.push(at, SimEvent::Trace(index + 1));
        }
        match act {
            Act::Request(request) => self.start_request(request),
            other => self.apply_act(&other),
        }
    }

    /// Time at which a message sent now arrives, after `delay` and a random jitter.
    pub(crate) fn arrival_after(&mut self, delay: Duration) -> Time {
        let jitter = self.rng.random_range(0..MAX_JITTER_MICROS);
        self.now + delay + Duration::from_micros(jitter)
    }

    pub(crate) fn host_index(&self, name: &str) -> Option<HostIndex> {
        self.hosts
            .iter()
            .position(|slot| *slot.listing.name == *name)
    }

    /// Starts a host in a new life.
    fn start(&mut self, host: HostIndex) {
        let now = self.now;
        let seed = self.rng.random();
        let slot = &mut self.hosts[host];
        slot.life += 1;
        slot.started = now;
        slot.wake = None;
        let life = slot.life;
        let identity = Identity {
            name: slot.listing.name.clone(),
            incarnation: Incarnation(WALL_CLOCK_START_MS + now.as_micros() / 1_000 + life),
            data_centre: slot.listing.data_centre.clone(),
            address: slot.listing.address.clone(),
            peer_address: slot.listing.peer_address.clone(),
        };
        slot.node = Some(match self.host_kind {
            HostKind::Mulberryrack => {
                let settings = self.deployment.settings.clone();
                Node::Mulberryrack(Box::new(Host::new(settings, identity, seed, Time::ZERO)))
            }
            HostKind::Naive => Node::Naive(Box::new(naive::Host::new(host, &self.deployment))),
        });
        let listing = slot.listing.clone();
        self.list.set(now, listing);
        self.queue.push(now, SimEvent::ReadList(host, life));
        self.queue.push(now, SimEvent::WakeHost(host, life));
        self.hosts[host].wake = Some(now);
    }

    /// Ends a host at once: its connections to callers and upstreams break.
    pub(crate) fn kill(&mut self, host: HostIndex) {
        let life = self.hosts[host].life;
        self.hosts[host].node = None;
        let broken: Vec<usize> = self
            .open_requests
            .iter()
            .filter(|((owner, owner_life, _), _)| *owner == host && *owner_life == life)
            .map(|(_, caller)| *caller)
            .collect();
        self.open_requests
            .retain(|(owner, owner_life, _), _| !(*owner == host && *owner_life == life));
        for caller in broken {
            self.connection_broken(caller);
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
                self.deliver_to_engine(index, engine::Input::Disconnected(Ticket(ticket)));
            }
        }
    }

    fn read_list(&mut self, host: HostIndex, life: u64) {
        if self.hosts[host].life != life || self.hosts[host].node.is_none() {
            return;
        }
        let list = self.list.read(self.now);
        self.deliver_to_host(host, life, Event::Listing(Some(list.into())));
        let at = self.arrival_after(LIST_INTERVAL);
        self.queue.push(at, SimEvent::ReadList(host, life));
    }

    /// Schedules an event for a host after `delay` and a random jitter.
    pub(crate) fn schedule_host_event(
        &mut self,
        delay: Duration,
        host: HostIndex,
        life: u64,
        event: Event,
    ) {
        let at = self.arrival_after(delay);
        let event = Box::new(event);
        self.queue.push(at, SimEvent::Host(host, life, event));
    }

    /// Delivers an event to a host and applies the resulting effects. A paused host gets the
    /// event when its pause ends; an event for an earlier life is dropped.
    pub(crate) fn deliver_to_host(&mut self, host: HostIndex, life: u64, event: Event) {
        let now = self.now;
        let slot = &mut self.hosts[host];
        if slot.life != life {
            return;
        }
        if slot.paused_until > now {
            let at = slot.paused_until;
            let event = Box::new(event);
            self.queue.push(at, SimEvent::Host(host, life, event));
            return;
        }
        let Some(node) = &mut slot.node else {
            return;
        };
        let effects = node.handle(Time::ZERO + (now - slot.started), event);
        for effect in effects {
            self.apply_effect(host, life, effect);
        }
        self.schedule_wake(host, life);
    }

    fn schedule_wake(&mut self, host: HostIndex, life: u64) {
        let now = self.now;
        let slot = &mut self.hosts[host];
        let Some(wake) = slot.node.as_mut().and_then(Node::next_wake) else {
            return;
        };
        let wake = (slot.started + (wake - Time::ZERO)).max(now);
        if slot.wake.is_some_and(|set| set <= wake && set > now) {
            return;
        }
        // A wake-up at the current time could repeat without letting time pass.
        let wake = wake.max(now + Duration::from_micros(1));
        slot.wake = Some(wake);
        self.queue.push(wake, SimEvent::WakeHost(host, life));
    }

    fn apply_effect(&mut self, host: HostIndex, life: u64, effect: Effect) {
        match effect {
            Effect::Address { ticket, answer } => self.on_address(host, life, ticket, answer.ok()),
            Effect::Caller { request, answer } => self.on_answer(host, life, request, answer),
            Effect::Operator { answer, .. } => {
                if let operator::Answer::Accepted { version } = answer {
                    self.spread.record_acceptance(version, self.now);
                }
                self.operator_answers.push((self.now, answer));
            }
            Effect::Peer { address, envelope } => self.send_to_peer(host, &address, &envelope),
            Effect::Kv { area, token, op } => {
                *self.kv_calls.entry((area, op.label())).or_default() += 1;
                let at = self.arrival_after(KV_ROUND_TRIP / 2);
                let scheduled = SimEvent::Kv(host, life, area, token, op);
                self.queue.push(at, scheduled);
            }
            Effect::Send(dispatch) => self.send_dispatch(host, life, dispatch),
            Effect::Cancel(dispatch_id) => self.cancel_dispatch(host, life, dispatch_id),
            Effect::Detach(dispatch_id) => self.detach_dispatch(host, life, dispatch_id),
            Effect::Poll { upstream, .. } => self.contact(host, life, &upstream, None),
            Effect::Order { engine, order, .. } => self.contact(host, life, &engine, Some(order)),
            Effect::Note(note) => {
                if self.keep_notes {
                    let name = self.hosts[host].listing.name.clone();
                    self.notes.push((self.now, name, note));
                }
            }
            Effect::Count(counter) => *self.counters.entry(counter).or_default() += 1,
            Effect::Drained => self.host_drained(host, life),
        }
    }

    /// Ends a host that finished its drain. Requests still open on the host violate a promise
    /// and are recorded in `cut_by_drain`.
    fn host_drained(&mut self, host: HostIndex, life: u64) {
        let name = self.hosts[host].listing.name.clone();
        let open = self.open_requests.keys();
        let cut = open.filter(|(owner, owner_life, _)| *owner == host && *owner_life == life);
        let lines = cut.map(|(.., key)| format!("at {}: {name} request {}", self.now, key.0));
        self.cut_by_drain.extend(lines);
        self.hosts[host].drained = true;
        self.kill(host);
        self.list.remove(self.now, &name);
    }

    /// Encodes a message between hosts and delivers it, unless the hosts are separated.
    fn send_to_peer(
        &mut self,
        from: HostIndex,
        address: &str,
        envelope: &mulberryrack_wire::peer::Envelope,
    ) {
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
        if self.hosts[to].node.is_none() || self.faults.are_separated(from, to, self.now) {
            let to = self.hosts[to].listing.name.clone();
            return self.schedule_host_event(
                CALL_TIMEOUT / 2,
                from,
                life,
                Event::Undelivered { to },
            );
        }
        let Ok(envelope) = mulberryrack_wire::peer::Envelope::decode(bytes) else {
            return;
        };
        let life = self.hosts[to].life;
        self.schedule_host_event(HOST_DELAY, to, life, Event::Peer(envelope));
    }
}

/// One-way delay to an upstream, for the modules that send there.
pub(crate) const UPSTREAM_DELAY: Duration = UPSTREAM_ONE_WAY_DELAY;
/// Time after which an unanswered call to an upstream counts as failed.
pub(crate) const EXCHANGE_TIMEOUT: Duration = CALL_TIMEOUT;
