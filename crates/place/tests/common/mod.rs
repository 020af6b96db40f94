//! Planners, a key-value service and engines' memories under virtual time, with faults.

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

/// Time in which a planner may count on copies that went with an engine: two polls.
const UNSEEN: Duration = Duration::from_millis(1_020);
/// Chances of faults, each 0 to 1.
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
    /// A second delivery, only to the life that got the first.
    Again(Name, Incarnation, Order),
    Resume(usize),
}

pub struct Host {
    pub name: Name,
    pub life: Incarnation,
    pub planner: Option<Planner>,
    pub paused: bool,
    held: Vec<Event>,
}

pub struct Rig {
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
    /// The values, decoded, by engine.
    states: BTreeMap<Name, Engine>,
    pub orders: Vec<(Time, Name, Order)>,
    pub moves: u64,
    /// Whether promises are checked after each event.
    pub checks: bool,
    /// Time spent in planners, the longest call, and the number of calls.
    pub spent: Duration,
    pub longest: Duration,
    pub calls: u32,
    pub left: Vec<Name>,
    /// Rows that have had a routable copy and have not lost it with an engine.
    pub reached: BTreeSet<Name>,
    pub random: ChaCha8Rng,
    /// When a ready copy of a row went with its engine.
    lost: BTreeMap<Name, Time>,
    /// When an unload of a row was sent last.
    unloads: BTreeMap<Name, Time>,
    events: BTreeMap<(Time, u64), Event>,
    next: u64,
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

impl Rig {
    pub fn new(seed: u64, settings: Settings, engines: Vec<Listing>, rows: Vec<Row>) -> Self {
        let memories = engines.iter().map(|line| {
            let mut memory = Memory::new(Incarnation(1), line.memory_mb, line.fencing);
            memory.load_time = Some(Duration::from_millis(700));
            (line.name.clone(), memory)
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
            states: BTreeMap::new(),
            orders: Vec::new(),
            moves: 0,
            checks: true,
            spent: Duration::ZERO,
            longest: Duration::ZERO,
            calls: 0,
            left: Vec::new(),
            reached: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            lost: BTreeMap::new(),
            unloads: BTreeMap::new(),
            events: BTreeMap::new(),
            next: 0,
            lives: 0,
        }
    }

    /// Starts a host, or a new life of it.
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
            held: Vec::new(),
        };
        let known = self.hosts.iter().position(|host| *host.name == *name);
        let index = known.unwrap_or(self.hosts.len());
        match known {
            Some(index) => self.hosts[index] = host,
            None => self.hosts.push(host),
        }
        self.tell(index, Input::Table(self.table.clone()));
        self.tell(index, Input::Listing(self.listing.clone().into()));
        for value in self.values.values().cloned().collect::<Vec<_>>() {
            self.tell(index, Input::Value(value));
        }
        self.view();
        index
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].planner = None;
        self.hosts[index].paused = false;
        self.hosts[index].held.clear();
        self.view();
    }

    /// Stops a host from doing anything for a time; the others take it for dead.
    pub fn pause(&mut self, index: usize, span: Duration) {
        if self.hosts[index].planner.is_some() && !self.hosts[index].paused {
            self.hosts[index].paused = true;
            self.at(span, Event::Resume(index));
            self.view();
        }
    }

    /// Empties an engine and starts its next life.
    pub fn restart_engine(&mut self, name: &str) {
        let memory = self.engines.get_mut(name).expect("known engine");
        let rows = self.table.rows.iter().map(|row| row.name.clone());
        let lost: Vec<Name> = rows.filter(|row| memory.serves(row)).collect();
        memory.restart(Incarnation(memory.incarnation().0 + 1));
        let now = self.now;
        self.lost.extend(lost.into_iter().map(|row| (row, now)));
    }

    pub fn accept(&mut self, rows: Vec<Row>) {
        self.table = table(self.table.version + 1, rows);
        self.reached.retain(|name| self.table.row(name).is_some());
        for index in 0..self.hosts.len() {
            self.tell(index, Input::Table(self.table.clone()));
        }
    }

    pub fn relist(&mut self) {
        for index in 0..self.hosts.len() {
            self.tell(index, Input::Listing(self.listing.clone().into()));
        }
    }

    /// Tells every host who is alive.
    pub fn view(&mut self) {
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
            self.tell(index, Input::View(Arc::new(View { me, peers })));
        }
    }

    pub fn tell(&mut self, index: usize, input: Input) {
        let life = self.hosts[index].life;
        self.input(index, life, input);
    }

    /// Runs events until `span` has passed, checking the promises after each.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(at, id), _)) = self.events.first_key_value() {
            if at > end {
                break;
            }
            let event = self.events.remove(&(at, id)).expect("just seen");
            self.now = self.now.max(at);
            self.step(event);
            if self.checks {
                self.check();
            }
        }
        self.now = end;
    }

    /// Runs until every row has its lowest number of routable copies of the version in
    /// force; the time that it took, or `None` after `most`.
    pub fn converge(&mut self, most: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now - start < most {
            if self.complete() {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(100));
        }
        None
    }

    pub fn complete(&self) -> bool {
        self.table.rows.iter().all(|row| {
            let copies = self.routable(&row.name);
            let current = copies.iter().filter(|(_, version)| *version == row.version);
            current.count() >= row.min_copies as usize
        })
    }

    /// Published and really ready copies of a row: engine and version.
    pub fn routable(&self, row: &str) -> Vec<(Name, Name)> {
        let mut copies = Vec::new();
        for (name, memory) in &self.engines {
            let Some(state) = self.states.get(name) else {
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

    /// Most memory that an engine ever used, over its capacity.
    pub fn peak(&self) -> f64 {
        let shares = self.engines.values().map(|memory| {
            #[allow(clippy::cast_precision_loss)]
            let share = memory.peak_mb as f64 / memory.capacity_mb() as f64;
            share
        });
        shares.fold(0.0, f64::max)
    }

    fn check(&mut self) {
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
                self.reached.insert(name.clone());
            } else if self.reached.contains(name) {
                assert!(
                    self.lost_with_engine(name),
                    "{}: {name} has lost its last copy",
                    self.now
                );
                if !self.engines.values().any(|engine| engine.serves(name)) {
                    self.reached.remove(name);
                }
            }
        }
    }

    /// Whether a copy of the row went with an engine, and no unload of another was sent
    /// after the planner could know that.
    fn lost_with_engine(&self, row: &Name) -> bool {
        self.lost.get(row).is_some_and(|at| {
            let unload = self.unloads.get(row);
            unload.is_none_or(|sent| *sent <= *at + UNSEEN)
        })
    }

    fn at(&mut self, span: Duration, event: Event) {
        self.next += 1;
        self.events.insert((self.now + span, self.next), event);
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..4_000))
    }

    fn chance(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.random.random_bool(chance)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Wake(index, life) => {
                let due = self.hosts[index].planner.as_ref();
                let due = due.and_then(Planner::next_wake);
                if due.is_some_and(|at| at <= self.now) {
                    self.input(index, life, Input::Wake);
                }
            }
            Event::Call(index, life, token, op, answered) => {
                let reply = self.store.call(self.now, &op).expect("no watch");
                if answered {
                    let delay = self.delay();
                    let outcome = Ok(reply);
                    let input = Box::new(Input::Kv { token, outcome });
                    self.at(delay, Event::Answer(index, life, input));
                }
            }
            Event::Answer(index, life, input) => self.input(index, life, *input),
            Event::Order(index, name, order, answered) => {
                self.deliver(index, &name, &order, answered);
            }
            Event::Again(name, life, order) => {
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
                self.answer(delay, index, life, name, None, contact);
            }
            Event::Resume(index) => {
                self.hosts[index].paused = false;
                for event in std::mem::take(&mut self.hosts[index].held) {
                    self.step(event);
                }
                self.view();
            }
        }
    }

    fn answer(
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
        self.at(delay, Event::Answer(index, life, input));
    }

    fn deliver(&mut self, index: usize, name: &Name, order: &Order, answered: bool) {
        if self.down.contains(name) {
            return;
        }
        let memory = self.engines.get_mut(name).expect("known engine");
        let contact = memory.order(self.now, order);
        let engine_life = memory.incarnation();
        if answered {
            let delay = self.delay();
            let life = self.hosts[index].life;
            self.answer(delay, index, life, name.clone(), Some(order.id), contact);
        }
        if self.chance(self.faults.order_doubled) {
            let delay = Duration::from_millis(self.random.random_range(1..20_000));
            self.at(
                delay,
                Event::Again(name.clone(), engine_life, order.clone()),
            );
        }
    }

    fn input(&mut self, index: usize, life: Incarnation, input: Input) {
        let host = &mut self.hosts[index];
        if host.life != life {
            return;
        }
        let Some(planner) = &mut host.planner else {
            return;
        };
        if host.paused {
            host.held.push(Event::Answer(index, life, Box::new(input)));
            return;
        }
        let mut out = Vec::new();
        let start = Instant::now();
        planner.handle(self.now, input, &mut out);
        let took = start.elapsed();
        self.spent += took;
        self.longest = self.longest.max(took);
        self.calls += 1;
        let wake = planner.next_wake();
        for output in out {
            self.output(index, life, output);
        }
        if let Some(at) = wake {
            let span = at.since(self.now).max(Duration::from_micros(1));
            self.at(span, Event::Wake(index, life));
        }
    }

    fn output(&mut self, index: usize, life: Incarnation, output: Output) {
        match output {
            Output::Kv { token, op } => self.call(index, life, token, op),
            Output::Order { engine, order, .. } => self.send(index, life, engine, order),
            Output::Poll { engine, .. } => {
                let delay = self.delay();
                self.at(delay, Event::Poll(index, life, engine));
            }
            Output::Publish(value) => {
                let newest = self.values.get(&value.key).map_or(0, |old| old.version);
                if value.version > newest {
                    self.values.insert(value.key.clone(), value.clone());
                    let name = value.key.strip_prefix("engine/").expect("own key");
                    let state = Engine::decode(value.bytes.clone()).expect("own message");
                    self.states.insert(name.into(), state);
                    for other in 0..self.hosts.len() {
                        let delay = self.delay();
                        let life = self.hosts[other].life;
                        let input = Box::new(Input::Value(value.clone()));
                        self.at(delay, Event::Answer(other, life, input));
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
                    self.at(delay, Event::Answer(to, life, Box::new(input)));
                }
            }
            Output::Left => self.left.push(self.hosts[index].name.clone()),
            Output::Count(_) => self.moves += 1,
            Output::Note(_) => {}
        }
    }

    fn call(&mut self, index: usize, life: Incarnation, token: kv::CallId, op: kv::Op) {
        let delay = self.delay();
        let fault = |fault| {
            Box::new(Input::Kv {
                token,
                outcome: Err(fault),
            })
        };
        if self.outage {
            self.at(
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
        self.at(wait, Event::Call(index, life, token, op, !lost));
        if lost {
            let wait = Duration::from_millis(self.random.random_range(10..1_500));
            self.at(wait, Event::Answer(index, life, fault(kv::Fault::Unknown)));
        }
    }

    fn send(&mut self, index: usize, life: Incarnation, engine: Name, order: Order) {
        self.orders.push((self.now, engine.clone(), order.clone()));
        if let Action::Unload { row, version } = &order.action
            && **version != *"cancelled-order"
        {
            self.unloads.insert(row.clone(), self.now);
        }
        let delay = self.delay();
        if self.down.contains(&engine) {
            self.answer(delay, index, life, engine, Some(order.id), Contact::NotSent);
            return;
        }
        let lost = self.chance(self.faults.order_lost);
        let late = self.chance(self.faults.order_late);
        if lost || late {
            let id = Some(order.id);
            let wait = Duration::from_secs(2);
            self.answer(wait, index, life, engine.clone(), id, Contact::Unanswered);
        }
        if late {
            let wait = Duration::from_millis(self.random.random_range(1..60_000));
            self.at(wait, Event::Order(index, engine, order, false));
        } else if !lost {
            self.at(delay, Event::Order(index, engine, order, true));
        }
    }
}
