//! Several members under simulated time. Frames are encoded, delayed and decoded; the
//! key-value service is the stand-in's.

#![allow(dead_code, missing_docs)]

use mulberryrack_core::{
    Incarnation, Name, Time,
    kv::{CallId, Fault, Op, Outcome, Reply, Revision},
    node::{Listing, Role},
    outcome::Reason,
    request::Priority,
    view::{Peer, Standing, Value},
};
use mulberryrack_member::{Input, Member, Output, ProposalOutcome, Settings, record};
use mulberryrack_standin::kv::Store;
use mulberryrack_table::{Kind, Row, Table};
use mulberryrack_wire::member::{Frame, frame::Body};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::Arc,
    time::Duration,
};

pub const DATA_CENTRES: [&str; 3] = ["fukuoka-hall", "kumamoto-hall", "kagoshima-hall"];

/// How the key-value service behaves.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceMode {
    Up,
    /// The service refuses every call.
    Down,
    /// The service answers no call.
    Silent,
    /// The service answers each call after this time.
    Slow(Duration),
    /// The service serves reads and watches from an earlier copy; writes are applied.
    Stale,
    /// The service applies writes but loses their answers.
    LosesAnswers,
    /// The service answers watches at once although nothing has changed.
    Eager,
}

enum Event {
    Frame {
        from: Name,
        life: Incarnation,
        to: Name,
        bytes: Vec<u8>,
    },
    Kv {
        to: Name,
        life: Incarnation,
        token: CallId,
        outcome: Outcome,
    },
    WatchEnd {
        to: Name,
        life: Incarnation,
        token: CallId,
    },
    Wake {
        name: Name,
        life: Incarnation,
    },
    Listing,
}

struct Watch {
    to: Name,
    life: Incarnation,
    token: CallId,
    prefix: Arc<str>,
    after: Revision,
}

pub struct Node {
    pub member: Member,
    pub life: Incarnation,
    pub data_centre: Name,
    wake: Option<Time>,
    /// Every version that came into force, with the time.
    pub adopted: Vec<(u64, Time)>,
    pub values: BTreeMap<Name, Value>,
    pub outcomes: BTreeMap<u64, ProposalOutcome>,
    pub reads: BTreeMap<u64, Option<Vec<Arc<Table>>>>,
    /// Each change of the standing of a host in the view, with the time.
    pub standings: Vec<(Time, Name, Standing)>,
    pub frames: u64,
    pub bytes: u64,
    pub calls: Vec<Time>,
}

pub struct Fleet {
    pub now: Time,
    pub nodes: BTreeMap<Name, Node>,
    pub settings: Settings,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    rng: ChaCha8Rng,
    pub largest_frame: usize,
    /// Bytes sent by all hosts by kind of frame.
    pub bytes_by_kind: BTreeMap<&'static str, u64>,
    pub loss: f64,
    pub duplicate: f64,
    pub latency: Duration,
    /// Pairs of sender and receiver whose frames are lost.
    pub cut_links: BTreeSet<(Name, Name)>,
    /// Hosts whose calls to the service are refused.
    pub hosts_without_service: BTreeSet<Name>,
    pub service: Store,
    pub mode: ServiceMode,
    /// The earlier copy that [`ServiceMode::Stale`] serves.
    stale: Store,
    watches: Vec<Watch>,
    pub list: Vec<Listing>,
    life: u64,
}

impl Fleet {
    /// Starts `size` hosts, `host-0000` and so on, distributed over three data centres
    /// and all on the platform's list.
    pub fn new(size: usize, seed: u64) -> Self {
        Self::with(size, seed, Settings::default())
    }

    pub fn with(size: usize, seed: u64, settings: Settings) -> Self {
        let mut fleet = Self {
            now: Time::from_millis(1_000),
            nodes: BTreeMap::new(),
            settings,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            largest_frame: 0,
            bytes_by_kind: BTreeMap::new(),
            loss: 0.0,
            duplicate: 0.0,
            latency: Duration::from_micros(700),
            cut_links: BTreeSet::new(),
            hosts_without_service: BTreeSet::new(),
            service: Store::default(),
            mode: ServiceMode::Up,
            stale: Store::default(),
            watches: Vec::new(),
            list: Vec::new(),
            life: 1_700_000_000_000,
        };
        for index in 0..size {
            let name = host(index);
            fleet
                .list
                .push(listing(&name, DATA_CENTRES[index % DATA_CENTRES.len()]));
        }
        for index in 0..size {
            fleet.start(&host(index), DATA_CENTRES[index % DATA_CENTRES.len()]);
        }
        fleet.schedule(fleet.now, Event::Listing);
        fleet
    }

    /// Starts a new life of a host, which reads the platform's list at once.
    pub fn start(&mut self, name: &str, data_centre: &str) {
        self.life += 1_000;
        let life = Incarnation(self.life);
        let me = Peer {
            name: name.into(),
            incarnation: life,
            data_centre: data_centre.into(),
            address: format!("{name}:80").into(),
            peer_address: format!("{name}:81").into(),
            standing: Standing::Alive,
        };
        let seed = self.rng.random();
        let member = Member::new(self.settings.clone(), me, seed, self.now);
        let node = Node {
            member,
            life,
            data_centre: data_centre.into(),
            wake: None,
            adopted: Vec::new(),
            values: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            reads: BTreeMap::new(),
            standings: Vec::new(),
            frames: 0,
            bytes: 0,
            calls: Vec::new(),
        };
        self.nodes.insert(name.into(), node);
        let list: Arc<[Listing]> = self.list.clone().into();
        self.input(name, Input::Listing(Some(list)));
    }

    /// Ends a host without notice.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
        self.watches.retain(|watch| &*watch.to != name);
    }

    /// Removes a host from the platform's list.
    pub fn unlist(&mut self, name: &str) {
        self.list.retain(|listing| &*listing.name != name);
    }

    /// Cuts the links between two sets of hosts in both directions.
    pub fn partition(&mut self, left: &[Name], right: &[Name]) {
        for a in left {
            for b in right {
                self.cut_links.insert((a.clone(), b.clone()));
                self.cut_links.insert((b.clone(), a.clone()));
            }
        }
    }

    pub fn set_mode(&mut self, mode: ServiceMode) {
        if mode == ServiceMode::Stale {
            self.stale = self.service.clone();
        }
        self.mode = mode;
        if self.mode != ServiceMode::Up {
            self.watches.clear();
        }
    }

    /// Passes an input to a host and carries out the resulting actions.
    pub fn input(&mut self, name: &str, input: Input) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let mut out = Vec::new();
        let before = node.member.view();
        node.member.handle(self.now, input, &mut out);
        let view = node.member.view();
        if !Arc::ptr_eq(&before, &view) {
            for peer in &view.peers {
                if before.peer(&peer.name).map(|peer| peer.standing) != Some(peer.standing) {
                    node.standings
                        .push((self.now, peer.name.clone(), peer.standing));
                }
            }
        }
        let wake = node
            .member
            .next_wake()
            .map(|at| at.max(self.now + Duration::from_micros(1)));
        let life = node.life;
        if wake != node.wake {
            node.wake = wake;
            if let Some(at) = wake {
                self.schedule(
                    at,
                    Event::Wake {
                        name: name.into(),
                        life,
                    },
                );
            }
        }
        for output in out {
            self.output(name, life, output);
        }
    }

    fn output(&mut self, name: &str, life: Incarnation, output: Output) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        match output {
            Output::Frame { to, frame, address } => {
                assert_eq!(
                    *address,
                    *format!("{to}:81"),
                    "frames carry the receiver's address"
                );
                let bytes = frame.encode_to_vec();
                self.largest_frame = self.largest_frame.max(bytes.len());
                *self.bytes_by_kind.entry(kind(&frame)).or_default() += bytes.len() as u64;
                node.frames += 1;
                node.bytes += bytes.len() as u64;
                self.transmit(name, life, &to, &bytes);
            }
            Output::Kv { token, op } => {
                node.calls.push(now);
                self.call_service(name, life, token, &op);
            }
            Output::Value(value) => {
                node.values.insert(value.key.clone(), value);
            }
            Output::Table(table) => node.adopted.push((table.version, now)),
            Output::ProposalEnded { ticket, outcome } => {
                node.outcomes.insert(ticket, outcome);
            }
            Output::Read { ticket, tables } => {
                node.reads.insert(ticket, tables);
            }
            Output::View(_) | Output::Note(_) | Output::Count(_) => {}
        }
    }

    fn transmit(&mut self, from: &str, life: Incarnation, to: &Name, bytes: &[u8]) {
        if self.cut_links.contains(&(from.into(), to.clone())) {
            return;
        }
        let copies = 1 + u32::from(self.duplicate > 0.0 && self.rng.random_bool(self.duplicate));
        for _ in 0..copies {
            if self.loss > 0.0 && self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.latency + self.latency.mul_f64(self.rng.random::<f64>());
            let event = Event::Frame {
                from: from.into(),
                life,
                to: to.clone(),
                bytes: bytes.to_vec(),
            };
            self.schedule(self.now + delay, event);
        }
    }

    fn call_service(&mut self, name: &str, life: Incarnation, token: CallId, op: &Op) {
        let to: Name = name.into();
        let soon = self.now + Duration::from_millis(2);
        if self.hosts_without_service.contains(name) || self.mode == ServiceMode::Down {
            let outcome = Err(Fault::NotApplied);
            self.schedule(
                soon,
                Event::Kv {
                    to,
                    life,
                    token,
                    outcome,
                },
            );
            return;
        }
        if self.mode == ServiceMode::Silent {
            return;
        }
        let reads = matches!(op, Op::Get { .. } | Op::List { .. } | Op::Watch { .. });
        let stale = self.mode == ServiceMode::Stale && reads;
        let store = if stale {
            &mut self.stale
        } else {
            &mut self.service
        };
        let mut reply = store.call(self.now, op);
        if self.mode == ServiceMode::Eager {
            reply = reply.or_else(|| Some(store.unchanged()));
        }
        let Some(reply) = reply else {
            let Op::Watch {
                prefix,
                after,
                wait,
            } = op
            else {
                unreachable!("only watches wait");
            };
            let end = Event::WatchEnd {
                to: to.clone(),
                life,
                token,
            };
            let late = match self.mode {
                ServiceMode::Slow(delay) => delay,
                _ => Duration::ZERO,
            };
            self.schedule(self.now + *wait + late, end);
            self.watches.push(Watch {
                to,
                life,
                token,
                prefix: prefix.clone(),
                after: *after,
            });
            return;
        };
        let (at, outcome) = match &self.mode {
            ServiceMode::Slow(delay) => (self.now + *delay, Ok(reply)),
            ServiceMode::LosesAnswers if !reads => (soon, Err(Fault::Unknown)),
            _ => (soon, Ok(reply)),
        };
        self.schedule(
            at,
            Event::Kv {
                to,
                life,
                token,
                outcome,
            },
        );
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        if self.mode == ServiceMode::Stale {
            return;
        }
        let soon = self.now + Duration::from_millis(2);
        for watch in std::mem::take(&mut self.watches) {
            match self.service.changes(&watch.prefix, watch.after) {
                Some(reply) => {
                    let event = Event::Kv {
                        to: watch.to,
                        life: watch.life,
                        token: watch.token,
                        outcome: Ok(reply),
                    };
                    self.schedule(soon, event);
                }
                None => self.watches.push(watch),
            }
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle_event(event);
            }
        }
        self.now = until;
    }

    pub fn run_ms(&mut self, millis: u64) {
        self.run(Duration::from_millis(millis));
    }

    fn is_running(&self, name: &str, life: Incarnation) -> bool {
        self.nodes.get(name).is_some_and(|node| node.life == life)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Frame {
                from,
                life,
                to,
                bytes,
            } => {
                let frame = Frame::decode(&*bytes).expect("frames decode");
                self.input(
                    &to,
                    Input::Frame {
                        from,
                        incarnation: life,
                        frame,
                    },
                );
            }
            Event::Kv {
                to,
                life,
                token,
                outcome,
            } if self.is_running(&to, life) => {
                self.input(&to, Input::Kv { token, outcome });
            }
            Event::WatchEnd { to, life, token } => {
                let at = self
                    .watches
                    .iter()
                    .position(|it| it.to == to && it.life == life && it.token == token);
                if let Some(at) = at {
                    self.watches.swap_remove(at);
                    let stale = self.mode == ServiceMode::Stale;
                    let store = if stale { &self.stale } else { &self.service };
                    let outcome = Ok(store.unchanged());
                    self.input(&to, Input::Kv { token, outcome });
                }
            }
            Event::Wake { name, life } if self.is_running(&name, life) => {
                let due = self.nodes.get(&name).and_then(|node| node.wake);
                if due.is_some_and(|due| due <= self.now) {
                    self.nodes.get_mut(&name).expect("the host runs").wake = None;
                    self.input(&name, Input::Wake);
                }
            }
            Event::Listing => {
                let list: Arc<[Listing]> = self.list.clone().into();
                let names: Vec<Name> = self.nodes.keys().cloned().collect();
                for name in names {
                    self.input(&name, Input::Listing(Some(list.clone())));
                }
                self.schedule(self.now + Duration::from_secs(5), Event::Listing);
            }
            Event::Kv { .. } | Event::Wake { .. } => {}
        }
    }

    /// Drops all replies of the service that have not arrived yet.
    pub fn drop_pending_replies(&mut self) {
        self.events
            .retain(|_, event| !matches!(event, Event::Kv { .. }));
    }

    /// Writes version 2 to the service as another host would that then ends without pushing
    /// the version to any host.
    pub fn write_version_elsewhere(&mut self) {
        let in_force = self
            .nodes
            .values()
            .next()
            .and_then(|node| node.member.table());
        let base = in_force.expect("a table is in force");
        let table = Table {
            version: 2,
            change: "elsewhere".into(),
            author: "operator".into(),
            rows: base.rows.iter().skip(1).cloned().collect(),
        };
        let key: Arc<str> = "table/head".into();
        let head = Op::Get { key: key.clone() };
        let Some(Reply::Entry(Some(entry))) = self.service.call(self.now, &head) else {
            panic!("the service has a table");
        };
        let put = Op::Put {
            key,
            value: record::delta(&base, &table).encode_to_vec().into(),
            expect: Some(entry.revision),
            lease: None,
        };
        self.service.call(self.now, &put);
        self.wake_watches();
    }

    /// Maximum number of calls of all hosts together within one second, from `since` on.
    pub fn peak_calls(&self, since: Time) -> usize {
        let mut calls: Vec<Time> = self
            .nodes
            .values()
            .flat_map(|node| &node.calls)
            .copied()
            .filter(|at| *at >= since)
            .collect();
        calls.sort_unstable();
        (0..calls.len())
            .map(|first| {
                let end = calls[first] + Duration::from_secs(1);
                calls.partition_point(|at| *at < end) - first
            })
            .max()
            .unwrap_or(0)
    }

    /// The addresses in the answer of a host for a row.
    pub fn address(&mut self, name: &str, row: &str) -> Result<Vec<Name>, Reason> {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("the host runs");
        let answer = node.member.addresses(now, row, 0)?;
        Ok(answer.addresses)
    }

    pub fn names(&self) -> Vec<Name> {
        self.nodes.keys().cloned().collect()
    }

    pub fn node(&self, name: &str) -> &Node {
        self.nodes.get(name).expect("the host runs")
    }

    /// Proposes a table at a host; the outcome is stored under the ticket.
    pub fn propose(&mut self, name: &str, ticket: u64, parent: u64, change: &str, rows: Vec<Row>) {
        self.input(
            name,
            Input::Propose {
                ticket,
                parent,
                change: change.into(),
                author: "operator".into(),
                rows: rows.into(),
            },
        );
    }

    pub fn outcome(&self, name: &str, ticket: u64) -> Option<&ProposalOutcome> {
        self.node(name).outcomes.get(&ticket)
    }

    /// Proposes a first table and waits until it is in force on every host.
    pub fn accept_first_table(&mut self, rows: Vec<Row>) {
        self.run_ms(3_000);
        let first = self.names()[0].clone();
        self.propose(&first, 1, 0, "first", rows);
        self.run_ms(4_000);
        assert!(
            self.all_have_version(1),
            "the first table is in force everywhere"
        );
    }

    /// Whether this version is in force on every host.
    pub fn all_have_version(&self, version: u64) -> bool {
        self.versions().iter().all(|it| *it == version)
    }

    pub fn versions(&self) -> Vec<u64> {
        self.nodes
            .values()
            .map(|node| node.member.table().map_or(0, |table| table.version))
            .collect()
    }

    /// Asserts that no host went back to a lower version.
    pub fn assert_monotonic(&self) {
        for (name, node) in &self.nodes {
            assert!(
                node.adopted.is_sorted_by(|a, b| a.0 < b.0),
                "{name} reverted to a lower version: {:?}",
                node.adopted
            );
        }
    }

    pub fn standing(&self, at: &str, of: &str) -> Option<Standing> {
        self.node(at)
            .member
            .view()
            .peer(of)
            .map(|peer| peer.standing)
    }

    /// Whether every other host sees the host `of` in this standing.
    pub fn all_see(&self, of: &str, standing: Standing) -> bool {
        self.nodes
            .keys()
            .filter(|at| &***at != of)
            .all(|at| self.standing(at, of) == Some(standing))
    }

    /// Whether every host sees every other running host as alive.
    pub fn all_alive(&self) -> bool {
        self.nodes
            .keys()
            .all(|of| self.all_see(of, Standing::Alive))
    }
}

const fn kind(frame: &Frame) -> &'static str {
    match &frame.body {
        Some(Body::Ping(_) | Body::Ack(_) | Body::Detour(_)) => "probe",
        Some(Body::Values(_)) => "values",
        Some(Body::Announce(_)) => "announce",
        Some(Body::Ask(_)) => "ask",
        Some(Body::Digest(_) | Body::Compare(_)) => "compare",
        Some(Body::Fetch(_) | Body::Page(_)) => "page",
        Some(_) => "table",
        None => "empty",
    }
}

pub fn host(index: usize) -> Name {
    format!("host-{index:04}").into()
}

pub fn listing(name: &str, data_centre: &str) -> Listing {
    Listing {
        name: name.into(),
        role: Role::Host,
        group: "".into(),
        data_centre: data_centre.into(),
        address: format!("{name}:80").into(),
        peer_address: format!("{name}:81").into(),
        memory_mb: 0,
        accelerators: 0,
        fencing: false,
        leaving: false,
    }
}

/// Creates `count` rows, `row-0000` and so on, with this share.
pub fn rows(count: usize, share: u32) -> Vec<Row> {
    (0..count).map(|index| row(index, share)).collect()
}

pub fn row(index: usize, share: u32) -> Row {
    let adapter = !index.is_multiple_of(4);
    Row {
        name: format!("row-{index:04}").into(),
        kind: if adapter { Kind::Adapter } else { Kind::Model },
        base: adapter.then(|| format!("row-{:04}", index / 4 * 4).into()),
        version: "2026-11-03".into(),
        memory_mb: 4_096,
        share,
        priority: Priority::Normal,
        ceiling: 64,
        first_token: Duration::from_millis(530),
        token_gap: Duration::from_millis(39),
        repeatable: true,
        min_copies: 1,
        max_copies: 4,
    }
}

/// Creates `count` rows with share 1, except for one row.
pub fn edited(count: usize, index: usize, share: u32) -> Vec<Row> {
    let mut rows = rows(count, 1);
    rows[index] = row(index, share);
    rows
}
