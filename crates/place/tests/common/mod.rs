//! Simulation of planners, a key-value service and the memories of engines under virtual
//! time, with faults.

#![allow(dead_code)]

use mulberryrack_core::{
    Incarnation, Name, Time, kv,
    node::{Listing, Role},
    request::Priority,
    upstream::{Action, Contact, Order, Residency},
    view::{Peer, Standing, Value, View},
};
use mulberryrack_place::{Input, Output, Planner, Settings};
use mulberryrack_standin::{kv::Store, memory::Memory};
use mulberryrack_table::{Kind, Row, Table};
use mulberryrack_wire::place::Engine;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

/// Time for which a planner may still count on copies that were lost with an engine: two
/// poll intervals, plus a margin.
const LOSS_DETECTION_DELAY: Duration = Duration::from_millis(1_020);
/// Probabilities of faults, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub order_lost: f64,
    pub order_late: f64,
    pub order_doubled: f64,
    pub poll_lost: f64,
    pub answer_lost: f64,
    pub write_late: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Wake(usize, Incarnation),
    Call(usize, Incarnation, kv::CallId, kv::Op, bool),
    Answer(usize, Incarnation, Box<Input>),
    Order(usize, Name, Order, bool),
    Poll(usize, Incarnation, Name),
    /// A second delivery of an order, only to the incarnation of the engine that got the
    /// first.
    DuplicateOrder(Name, Incarnation, Order),
    Resume(usize),
}

pub struct Host {
    pub name: Name,
    pub life: Incarnation,
    pub planner: Option<Planner>,
    pub paused: bool,
    deferred: Vec<Event>,
}

pub struct Simulation {
    pub now: Time,
    pub store: Store,
    pub outage: bool,
    pub faults: Faults,
    pub settings: Settings,
    pub hosts: Vec<Host>,
    pub engines: BTreeMap<Name, Memory>,
    pub down: BTreeSet<Name>,
    pub listing: Vec<Listing>,
    pub table: Arc<Table>,
    pub values: BTreeMap<Name, Value>,
    /// The published values, decoded, by engine.
    engine_values: BTreeMap<Name, Engine>,
    pub orders: Vec<(Time, Name, Order)>,
    pub moves: u64,
    /// Whether the invariants are checked after each event.
    pub checks: bool,
    /// Time spent in calls of planners, the longest call, and the number of calls.
    pub planner_time: Duration,
    pub longest_call: Duration,
    pub planner_calls: u32,
    pub left: Vec<Name>,
    /// Rows that have had a routable copy since they last lost all copies with engines.
    pub reachable_rows: BTreeSet<Name>,
    pub random: ChaCha8Rng,
    /// For each row, when a ready copy was last lost with its engine.
    lost_copies: BTreeMap<Name, Time>,
    /// For each row, when an unload was last sent.
    last_unloads: BTreeMap<Name, Time>,
    events: BTreeMap<(Time, u64), Event>,
    next_event: u64,
    lives: u64,
}

pub fn row(name: &str, memory_mb: u64, min: u32, max: u32) -> Row {
    Row {
        name: name.into(),
        kind: Kind::Model,
        base: None,
        version: "v1".into(),
        memory_mb,
        share: 1,
        priority: Priority::Normal,
        ceiling: 100,
        first_token: Duration::from_millis(500),
        token_gap: Duration::from_millis(40),
        repeatable: true,
        min_copies: min,
        max_copies: max,
    }
}

pub fn adapter(name: &str, base: &str, memory_mb: u64, min: u32, max: u32) -> Row {
    Row {
        kind: Kind::Adapter,
        base: Some(base.into()),
        ..row(name, memory_mb, min, max)
    }
}

pub fn table(version: u64, mut rows: Vec<Row>) -> Arc<Table> {
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    Arc::new(Table {
        version,
        change: format!("change-{version}").into(),
        author: "test".into(),
        rows: rows.into(),
    })
}

pub fn engine(index: usize, memory_mb: u64, fencing: bool) -> Listing {
    Listing {
        name: format!("engine-{index:04}").into(),
        role: Role::Engine,
        group: "llm".into(),
        data_centre: format!("hall-{}", index % 3).into(),
        address: format!("10.0.{}.{}:8000", index / 250, index % 250).into(),
        peer_address: "".into(),
        memory_mb,
        accelerators: 1,
        fencing,
        leaving: false,
    }
}

impl Simulation {
    pub fn new(seed: u64, settings: Settings, engines: Vec<Listing>, rows: Vec<Row>) -> Self {
        let memories = engines.iter().map(|machine| {
            let mut memory = Memory::new(Incarnation(1), machine.memory_mb, machine.fencing);
            memory.load_time = Some(Duration::from_millis(700));
            (machine.name.clone(), memory)
        });
        Self {
            now: Time::ZERO,
            store: Store::default(),
            outage: false,
            faults: Faults::default(),
            settings,
            hosts: Vec::new(),
            engines: memories.collect(),
            down: BTreeSet::new(),
            listing: engines,
            table: table(1, rows),
            values: BTreeMap::new(),
            engine_values: BTreeMap::new(),
            orders: Vec::new(),
            moves: 0,
            checks: true,
            planner_time: Duration::ZERO,
            longest_call: Duration::ZERO,
            planner_calls: 0,
            left: Vec::new(),
            reachable_rows: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            lost_copies: BTreeMap::new(),
            last_unloads: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            lives: 0,
        }
    }

    /// Starts a host, or a new incarnation of it.
    pub fn start(&mut self, name: &str) -> usize {
        self.lives += 1;
        let life = Incarnation(self.lives);
        let planner = Planner::new(
            self.settings.clone(),
            name.into(),
            life,
            "hall-0".into(),
            self.lives,
            self.now,
        );
        let host = Host {
            name: name.into(),
            life,
            planner: Some(planner),
            paused: false,
            deferred: Vec::new(),
        };
        let known = self.hosts.iter().position(|host| *host.name == *name);
        let index = known.unwrap_or(self.hosts.len());
        match known {
            Some(index) => self.hosts[index] = host,
            None => self.hosts.push(host),
        }
        self.send_input(index, Input::Table(self.table.clone()));
        self.send_input(index, Input::Listing(self.listing.clone().into()));
        for value in self.values.values().cloned().collect::<Vec<_>>() {
            self.send_input(index, Input::Value(value));
        }
        self.send_view();
        index
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].planner = None;
        self.hosts[index].paused = false;
        self.hosts[index].deferred.clear();
        self.send_view();
    }

    /// Pauses a host for a time; the other hosts see it as dead.
    pub fn pause(&mut self, index: usize, span: Duration) {
        if self.hosts[index].planner.is_some() && !self.hosts[index].paused {
            self.hosts[index].paused = true;
            self.schedule(span, Event::Resume(index));
            self.send_view();
        }
    }

    /// Restarts an engine: empties its memory and starts its next incarnation.
    pub fn restart_engine(&mut self, name: &str) {
        let memory = self.engines.get_mut(name).expect("known engine");
        let rows = self.table.rows.iter().map(|row| row.name.clone());
        let lost: Vec<Name> = rows.filter(|row| memory.serves(row)).collect();
        memory.restart(Incarnation(memory.incarnation().0 + 1));
        let now = self.now;
        self.lost_copies
            .extend(lost.into_iter().map(|row| (row, now)));
    }

    /// Puts the next version of the table in force on all hosts.
    pub fn release_table(&mut self, rows: Vec<Row>) {
        self.table = table(self.table.version + 1, rows);
        self.reachable_rows
            .retain(|name| self.table.row(name).is_some());
        for index in 0..self.hosts.len() {
            self.send_input(index, Input::Table(self.table.clone()));
        }
    }

    pub fn send_listing(&mut self) {
        for index in 0..self.hosts.len() {
            self.send_input(index, Input::Listing(self.listing.clone().into()));
        }
    }

    /// Sends every host a view with the standing of all hosts.
    pub fn send_view(&mut self) {
        let mut peers: Vec<Peer> = self
            .hosts
            .iter()
            .map(|host| Peer {
                name: host.name.clone(),
                incarnation: host.life,
                data_centre: "hall-0".into(),
                address: "".into(),
                peer_address: "".into(),
                standing: if host.planner.is_some() && !host.paused {
                    Standing::Alive
                } else {
                    Standing::Dead
                },
            })
            .collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        for index in 0..self.hosts.len() {
            let me = self.hosts[index].name.clone();
            let peers = peers.clone();
            self.send_input(index, Input::View(Arc::new(View { me, peers })));
        }
    }

    pub fn send_input(&mut self, index: usize, input: Input) {
        let life = self.hosts[index].life;
        self.handle_input(index, life, input);
    }

    /// Runs events until `span` has passed, checking the invariants after each.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(at, id), _)) = self.events.first_key_value() {
            if at > end {
                break;
            }
            let event = self.events.remove(&(at, id)).expect("just seen");
            self.now = self.now.max(at);
            self.handle_event(event);
            if self.checks {
                self.check_invariants();
            }
        }
        self.now = end;
    }

    /// Runs until every row has its minimum number of routable copies of the version in
    /// force. Returns the time that it took, or `None` after `timeout`.
    pub fn converge(&mut self, timeout: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now - start < timeout {
            if self.complete() {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(100));
        }
        None
    }

    /// Whether every row has its minimum number of routable copies of the version in force.
    pub fn complete(&self) -> bool {
        self.table.rows.iter().all(|row| {
            let copies = self.routable(&row.name);
            let current = copies.iter().filter(|(_, version)| *version == row.version);
            current.count() >= row.min_copies as usize
        })
    }

    /// Copies of a row that are published as routable: engine and version. Asserts that
    /// each is really ready, unless the engine has restarted since.
    pub fn routable(&self, row: &str) -> Vec<(Name, Name)> {
        let mut copies = Vec::new();
        for (name, memory) in &self.engines {
            let Some(state) = self.engine_values.get(name) else {
                continue;
            };
            if state.incarnation != memory.incarnation().0 {
                continue;
            }
            for resident in state
                .residents
                .iter()
                .filter(|r| r.routable && r.row == row)
            {
                let ready = memory.state(row, &resident.version) == Some(Residency::Ready);
                assert!(
                    ready,
                    "{}: {row} {} is published as routable on {name} and is not ready",
                    self.now, resident.version
                );
                copies.push((name.clone(), resident.version.as_str().into()));
            }
        }
        copies
    }

    /// The largest share of its capacity that an engine ever used.
    pub fn peak(&self) -> f64 {
        let shares = self.engines.values().map(|memory| {
            #[allow(clippy::cast_precision_loss)]
            let share = memory.peak_mb as f64 / memory.capacity_mb() as f64;
            share
        });
        shares.fold(0.0, f64::max)
    }

    /// Asserts that no engine uses more than its capacity and that no row has lost its last
    /// routable copy except with an engine.
    fn check_invariants(&mut self) {
        for (name, memory) in &self.engines {
            assert!(
                memory.peak_mb <= memory.capacity_mb(),
                "{}: {name} holds {} of {} MB",
                self.now,
                memory.peak_mb,
                memory.capacity_mb()
            );
        }
        for row in self.table.clone().rows.iter() {
            let name = &row.name;
            if !self.routable(name).is_empty() {
                self.reachable_rows.insert(name.clone());
            } else if self.reachable_rows.contains(name) {
                assert!(
                    self.lost_with_engine(name),
                    "{}: {name} has lost its last copy",
                    self.now
                );
                if !self.engines.values().any(|engine| engine.serves(name)) {
                    self.reachable_rows.remove(name);
                }
            }
        }
    }

    /// Whether a copy of the row was lost with an engine, and no unload of another copy was
    /// sent after the planner could know of the loss.
    fn lost_with_engine(&self, row: &Name) -> bool {
        self.lost_copies.get(row).is_some_and(|at| {
            let unload = self.last_unloads.get(row);
            unload.is_none_or(|sent| *sent <= *at + LOSS_DETECTION_DELAY)
        })
    }

    fn schedule(&mut self, span: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + span, self.next_event), event);
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..4_000))
    }

    fn chance(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.random.random_bool(chance)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wake(index, life) => {
                let due = self.hosts[index].planner.as_ref();
                let due = due.and_then(Planner::next_wake);
                if due.is_some_and(|at| at <= self.now) {
                    self.handle_input(index, life, Input::Wake);
                }
            }
            Event::Call(index, life, token, op, answered) => {
                let reply = self.store.call(self.now, &op).expect("no watch");
                if answered {
                    let delay = self.delay();
                    let outcome = Ok(reply);
                    let input = Box::new(Input::Kv { token, outcome });
                    self.schedule(delay, Event::Answer(index, life, input));
                }
            }
            Event::Answer(index, life, input) => self.handle_input(index, life, *input),
            Event::Order(index, name, order, answered) => {
                self.deliver_order(index, &name, &order, answered);
            }
            Event::DuplicateOrder(name, life, order) => {
                let memory = self.engines.get_mut(&name).expect("known engine");
                if memory.incarnation() == life {
                    memory.order(self.now, &order);
                }
            }
            Event::Poll(index, life, name) => {
                let lost = self.chance(self.faults.poll_lost);
                let delay = self.delay();
                let contact = match (self.down.contains(&name), lost) {
                    (true, _) => Contact::NotSent,
                    (_, true) => Contact::Unanswered,
                    _ => {
                        let memory = self.engines.get_mut(&name).expect("known engine");
                        Contact::Report(Box::new(memory.report(self.now)))
                    }
                };
                self.schedule_contact(delay, index, life, name, None, contact);
            }
            Event::Resume(index) => {
                self.hosts[index].paused = false;
                for event in std::mem::take(&mut self.hosts[index].deferred) {
                    self.handle_event(event);
                }
                self.send_view();
            }
        }
    }

    fn schedule_contact(
        &mut self,
        delay: Duration,
        index: usize,
        life: Incarnation,
        engine: Name,
        order: Option<u64>,
        contact: Contact,
    ) {
        let input = Box::new(Input::Contact {
            engine,
            order,
            contact,
        });
        self.schedule(delay, Event::Answer(index, life, input));
    }

    fn deliver_order(&mut self, index: usize, name: &Name, order: &Order, answered: bool) {
        if self.down.contains(name) {
            return;
        }
        let memory = self.engines.get_mut(name).expect("known engine");
        let contact = memory.order(self.now, order);
        let engine_life = memory.incarnation();
        if answered {
            let delay = self.delay();
            let life = self.hosts[index].life;
            self.schedule_contact(delay, index, life, name.clone(), Some(order.id), contact);
        }
        if self.chance(self.faults.order_doubled) {
            let delay = Duration::from_millis(self.random.random_range(1..20_000));
            self.schedule(
                delay,
                Event::DuplicateOrder(name.clone(), engine_life, order.clone()),
            );
        }
    }

    fn handle_input(&mut self, index: usize, life: Incarnation, input: Input) {
        let host = &mut self.hosts[index];
        if host.life != life {
            return;
        }
        let Some(planner) = &mut host.planner else {
            return;
        };
        if host.paused {
            host.deferred
                .push(Event::Answer(index, life, Box::new(input)));
            return;
        }
        let mut out = Vec::new();
        let start = Instant::now();
        planner.handle(self.now, input, &mut out);
        let took = start.elapsed();
        self.planner_time += took;
        self.longest_call = self.longest_call.max(took);
        self.planner_calls += 1;
        let wake = planner.next_wake();
        for output in out {
            self.handle_output(index, life, output);
        }
        if let Some(at) = wake {
            let span = at.since(self.now).max(Duration::from_micros(1));
            self.schedule(span, Event::Wake(index, life));
        }
    }

    fn handle_output(&mut self, index: usize, life: Incarnation, output: Output) {
        match output {
            Output::Kv { token, op } => self.send_call(index, life, token, op),
            Output::Order { engine, order, .. } => self.send_order(index, life, engine, order),
            Output::Poll { engine, .. } => {
                let delay = self.delay();
                self.schedule(delay, Event::Poll(index, life, engine));
            }
            Output::Publish(value) => {
                let newest = self.values.get(&value.key).map_or(0, |old| old.version);
                if value.version > newest {
                    self.values.insert(value.key.clone(), value.clone());
                    let name = value.key.strip_prefix("engine/").expect("own key");
                    let state = Engine::decode(value.bytes.clone()).expect("own message");
                    self.engine_values.insert(name.into(), state);
                    for other in 0..self.hosts.len() {
                        let delay = self.delay();
                        let life = self.hosts[other].life;
                        let input = Box::new(Input::Value(value.clone()));
                        self.schedule(delay, Event::Answer(other, life, input));
                    }
                }
            }
            Output::Frame { to, frame, .. } => {
                let from = self.hosts[index].name.clone();
                let to = self.hosts.iter().position(|host| host.name == to);
                if let Some(to) = to {
                    let input = Input::Frame {
                        from,
                        incarnation: life,
                        frame,
                    };
                    let (delay, life) = (self.delay(), self.hosts[to].life);
                    self.schedule(delay, Event::Answer(to, life, Box::new(input)));
                }
            }
            Output::Left => self.left.push(self.hosts[index].name.clone()),
            Output::Count(_) => self.moves += 1,
            Output::Note(_) => {}
        }
    }

    fn send_call(&mut self, index: usize, life: Incarnation, token: kv::CallId, op: kv::Op) {
        let delay = self.delay();
        let fault = |fault| {
            Box::new(Input::Kv {
                token,
                outcome: Err(fault),
            })
        };
        if self.outage {
            self.schedule(
                delay,
                Event::Answer(index, life, fault(kv::Fault::NotApplied)),
            );
            return;
        }
        let lost = self.chance(self.faults.answer_lost);
        let late = lost && self.chance(self.faults.write_late);
        let wait = if late {
            Duration::from_millis(self.random.random_range(100..8_000))
        } else {
            delay
        };
        self.schedule(wait, Event::Call(index, life, token, op, !lost));
        if lost {
            let wait = Duration::from_millis(self.random.random_range(10..1_500));
            self.schedule(wait, Event::Answer(index, life, fault(kv::Fault::Unknown)));
        }
    }

    fn send_order(&mut self, index: usize, life: Incarnation, engine: Name, order: Order) {
        self.orders.push((self.now, engine.clone(), order.clone()));
        if let Action::Unload { row, version } = &order.action
            && **version != *"cancelled-order"
        {
            self.last_unloads.insert(row.clone(), self.now);
        }
        let delay = self.delay();
        if self.down.contains(&engine) {
            self.schedule_contact(delay, index, life, engine, Some(order.id), Contact::NotSent);
            return;
        }
        let lost = self.chance(self.faults.order_lost);
        let late = self.chance(self.faults.order_late);
        if lost || late {
            let id = Some(order.id);
            let wait = Duration::from_secs(2);
            self.schedule_contact(wait, index, life, engine.clone(), id, Contact::Unanswered);
        }
        if late {
            let wait = Duration::from_millis(self.random.random_range(1..60_000));
            self.schedule(wait, Event::Order(index, engine, order, false));
        } else if !lost {
            self.schedule(delay, Event::Order(index, engine, order, true));
        }
    }
}
