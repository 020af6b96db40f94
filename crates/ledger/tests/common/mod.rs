//! A simulation in virtual time: the ledgers of a few hosts, the stand-in for the
//! key-value service, and frames that are encoded, delayed and decoded. Faults are drawn
//! from a seed.

#![allow(dead_code)]

mod transport;

use mulberryrack_core::{
    Incarnation, Name, Time,
    claim::{End, Verdict},
    kv::{self, CallId},
    note::Counter,
    request,
    view::{Peer, Standing, View},
};
use mulberryrack_ledger::{Input, Ledger, Settings};
use mulberryrack_standin::kv::Store;
use mulberryrack_wire::ledger as wire;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Wall clock at the simulation's time zero, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Faults and delays of frames and of the key-value service.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Fraction of frames that are lost.
    pub loss: f64,
    /// Fraction of frames that arrive twice.
    pub duplicated: f64,
    /// Longest delay of a frame.
    pub max_delay: Duration,
    /// Longest time that the service takes for a call or an answer.
    pub max_service_time: Duration,
    /// Fraction of service calls that take effect although their answer is lost.
    pub lost_answers: f64,
    /// Fraction of calls with a lost answer that take effect up to 10 s later.
    pub late: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplicated: 0.0,
            max_delay: Duration::from_millis(1),
            max_service_time: Duration::from_millis(3),
            lost_answers: 0.0,
            late: 0.0,
        }
    }
}

/// State of a request as the router of its host would know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestState {
    Waiting,
    Running,
    Kept,
    Forgotten,
    Doubtful,
    Released,
    Answered,
}

/// One life of a host.
pub struct Host {
    pub name: Name,
    pub incarnation: Incarnation,
    pub started: Time,
    pub ledger: Ledger,
    pub paused: bool,
    pub leaving: bool,
    pub left: bool,
    pub requests: BTreeMap<request::Key, RequestState>,
    /// Inputs that arrived while the host was paused.
    paused_inputs: Vec<Input>,
}

pub enum Event {
    Input {
        to: Name,
        incarnation: Incarnation,
        input: Input,
    },
    Call {
        from: Name,
        incarnation: Incarnation,
        token: CallId,
        op: kv::Op,
        answer: bool,
    },
}

/// A verdict, with the host and time at which it was given.
#[derive(Clone, Debug)]
pub struct GivenVerdict {
    pub host: Name,
    pub incarnation: Incarnation,
    pub request: request::Key,
    pub verdict: Verdict,
    pub at: Time,
}

/// One sending of a request by its caller.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub id: u128,
    pub body: u128,
    pub at: Time,
}

pub struct World {
    pub now: Time,
    pub settings: Settings,
    pub faults: Faults,
    pub store: Store,
    pub service_down: bool,
    /// Hosts that cannot reach the service.
    pub unreachable: BTreeSet<Name>,
    /// Number of writes requested from the service, answered or not.
    pub writes: u64,
    /// The service refuses writes to keys that contain this text.
    pub refused_keys: Option<&'static str>,
    pub hosts: BTreeMap<Name, Host>,
    /// Newest life of each host and its standing, as the views tell it.
    pub standings: BTreeMap<Name, (Incarnation, Standing)>,
    pub cut_links: BTreeSet<(Name, Name)>,
    pub verdicts: Vec<GivenVerdict>,
    pub attempts: BTreeMap<(Name, Incarnation, request::Key), Attempt>,
    pub counts: BTreeMap<Counter, u64>,
    pub rng: ChaCha8Rng,
    events: BTreeMap<(Time, u64), Event>,
    last_event: u64,
    last_request: u64,
}

impl World {
    pub fn new(hosts: usize, seed: u64, settings: Settings, faults: Faults) -> Self {
        let mut world = Self {
            now: Time::from_millis(1_000),
            settings,
            faults,
            store: Store::default(),
            service_down: false,
            unreachable: BTreeSet::new(),
            writes: 0,
            refused_keys: None,
            hosts: BTreeMap::new(),
            standings: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            verdicts: Vec::new(),
            attempts: BTreeMap::new(),
            counts: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            last_event: 0,
            last_request: 0,
        };
        for index in 0..hosts {
            world.start(&format!("host-{index}"));
        }
        world.publish_view();
        world
    }

    /// Starts a new life of a host, which replaces the previous one.
    pub fn start(&mut self, name: &str) {
        let name = Name::from(name);
        let incarnation = Incarnation(EPOCH_MS + self.now.as_micros() / 1_000);
        let seed = self.rng.random();
        let ledger = Ledger::new(
            self.settings.clone(),
            name.clone(),
            incarnation,
            seed,
            Time::ZERO,
        );
        let host = Host {
            name: name.clone(),
            incarnation,
            started: self.now,
            ledger,
            paused: false,
            leaving: false,
            left: false,
            requests: BTreeMap::new(),
            paused_inputs: Vec::new(),
        };
        self.standings
            .insert(name.clone(), (incarnation, Standing::Alive));
        self.hosts.insert(name, host);
    }

    /// Ends a life at once. The other hosts learn its standing by [`World::publish_view`].
    pub fn crash(&mut self, name: &str, standing: Standing) {
        self.hosts.remove(name);
        self.set_standing(name, standing);
    }

    pub fn set_standing(&mut self, name: &str, standing: Standing) {
        if let Some(entry) = self.standings.get_mut(name) {
            entry.1 = standing;
        }
    }

    /// Gives the current view to every host.
    pub fn publish_view(&mut self) {
        for name in self.names() {
            self.publish_view_to(&name);
        }
    }

    pub fn publish_view_to(&mut self, name: &str) {
        let peers = self
            .standings
            .iter()
            .enumerate()
            .map(|(index, (name, (incarnation, standing)))| Peer {
                name: name.clone(),
                incarnation: *incarnation,
                data_centre: format!("hall-{}", index % 3).into(),
                address: Name::from("127.0.0.1:1"),
                peer_address: Name::from("127.0.0.1:2"),
                standing: *standing,
            })
            .collect();
        let view = View {
            me: Name::from(name),
            peers,
        };
        self.input(name, Input::View(Arc::new(view)));
    }

    pub fn names(&self) -> Vec<Name> {
        self.hosts.keys().cloned().collect()
    }

    /// Tells a host to leave; `left` is set once it has handed all shards over.
    pub fn leave(&mut self, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.leaving = true;
        }
        self.set_standing(name, Standing::Leaving);
        self.publish_view();
        self.input(name, Input::Leave);
    }

    pub fn pause(&mut self, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.paused = true;
        }
    }

    pub fn resume(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.paused = false;
        let inputs = std::mem::take(&mut host.paused_inputs);
        for input in inputs {
            self.input(name, input);
        }
        self.input(name, Input::Wake);
    }

    /// A request arrives at a host, which claims it with a deadline of `timeout` from now.
    pub fn claim(&mut self, name: &str, id: u128, body: u128, timeout: Duration) -> request::Key {
        self.last_request += 1;
        let request = request::Key(self.last_request);
        let Some(host) = self.hosts.get_mut(name) else {
            return request;
        };
        host.requests.insert(request, RequestState::Waiting);
        let deadline = Time::ZERO + self.now.since(host.started) + timeout;
        let attempt = Attempt {
            id,
            body,
            at: self.now,
        };
        self.attempts
            .insert((host.name.clone(), host.incarnation, request), attempt);
        self.input(
            name,
            Input::Claim {
                request,
                id,
                body,
                deadline,
            },
        );
        request
    }

    pub fn done(&mut self, name: &str, request: request::Key, end: End) {
        if let Some(host) = self.hosts.get_mut(name) {
            let state = match end {
                End::NotSent => RequestState::Released,
                End::Ran => RequestState::Kept,
                End::Forgotten => RequestState::Forgotten,
                End::Unknown => RequestState::Doubtful,
            };
            host.requests.insert(request, state);
            self.input(name, Input::Done { request, end });
        }
    }

    /// The verdict on a request, if there is one yet.
    pub fn verdict(&self, request: request::Key) -> Option<&Verdict> {
        self.verdicts
            .iter()
            .find(|given| given.request == request)
            .map(|given| &given.verdict)
    }

    /// The owner of the shard; for simulations with one shard.
    pub fn owner(&self) -> Name {
        let mut owners = self
            .hosts
            .values()
            .filter(|host| host.ledger.owned_shards() > 0);
        owners.next().expect("an owner").name.clone()
    }

    /// Newest entry of the log; for simulations with one shard.
    pub fn newest_entry(&mut self) -> wire::Entry {
        let op = kv::Op::List {
            prefix: "ledger/001/000/log/".into(),
            after: None,
            limit: 1_000,
        };
        let Some(kv::Reply::Entries { entries, .. }) = self.store.call(self.now, &op) else {
            panic!("no list");
        };
        entries
            .iter()
            .map(|entry| wire::Entry::decode(entry.value.clone()).expect("an entry"))
            .max_by_key(|entry| entry.sequence)
            .expect("a log")
    }

    /// Owner, successor and the other hosts; for simulations with one shard.
    pub fn roles(&mut self) -> (Name, Name, Vec<Name>) {
        let entry = self.newest_entry();
        let owner = Name::from(entry.owner.expect("an owner").host);
        let successor = Name::from(entry.successor.expect("a successor").host);
        let mut others = self.names();
        others.retain(|name| *name != owner && *name != successor);
        (owner, successor, others)
    }

    pub fn count(&self, counter: Counter) -> u64 {
        self.counts.get(&counter).copied().unwrap_or(0)
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    pub fn run_until(&mut self, end: Time) {
        loop {
            let event = self.events.keys().next().map(|(time, _)| *time);
            let wake = self.next_wake();
            let wake_at = wake.as_ref().map(|(time, _)| *time);
            let Some(next) = mulberryrack_core::earliest(event, wake_at) else {
                break;
            };
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if event.is_some_and(|event| event <= next) {
                let (_, event) = self.events.pop_first().expect("an event");
                self.process(event);
            } else if let Some((_, name)) = wake {
                self.input(&name, Input::Wake);
            }
        }
        self.now = self.now.max(end);
    }

    fn next_wake(&self) -> Option<(Time, Name)> {
        self.hosts
            .values()
            .filter(|host| !host.paused)
            .filter_map(|host| {
                let wake = host.ledger.next_wake()?;
                let span = wake.since(Time::ZERO);
                Some((host.started + span, host.name.clone()))
            })
            .min()
    }

    pub fn input(&mut self, name: &str, input: Input) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if host.paused {
            host.paused_inputs.push(input);
            return;
        }
        let mut out = Vec::new();
        let local = Time::ZERO + now.since(host.started);
        host.ledger.handle(local, input, &mut out);
        let (name, incarnation) = (host.name.clone(), host.incarnation);
        for output in out {
            self.handle_output(&name, incarnation, output);
        }
    }

    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    pub fn random_duration(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random::<f64>())
    }
}
