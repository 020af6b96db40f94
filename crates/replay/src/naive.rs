//! The baseline that Mulberryrack is compared with.
//!
//! Placement is static by the table's shares; dispatches go round robin; each host enforces
//! its part of a row's ceiling; nothing is reserved for urgent requests; a row without a
//! copy is loaded on demand. The baseline records no requests, so that a request may run
//! twice, and it knows engines' memory only from the last report and its own orders.

use crate::world::Deployment;
use mulberryrack_core::{
    Name, Time,
    caller::Answer,
    node::{Listing, Role},
    note::Counter,
    outcome::{Outcome, Reason, Refusal},
    request::{self, Request},
    upstream::{self, Action, Connection, Contact, Dispatch, DispatchId, Order, Residency},
};
use mulberryrack_host::{Effect, Event};
use mulberryrack_member::AddressAnswer;
use mulberryrack_table::{Kind, Row, csv};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Time between polls of the engines for reports.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which callers may keep an address answer.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(10);
/// Time after which a refused caller may send again.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a load on demand is ordered again if the row is on no engine.
const REORDER_DELAY: Duration = Duration::from_secs(5);
/// Size of the range of ids, for orders and dispatches, that each host has for itself.
const ORDERS_PER_HOST: u64 = 1 << 32;

#[derive(Clone, Debug, Default)]
struct Engine {
    listing: Option<Listing>,
    /// Memory in MB and readiness of each row on the engine, by row name, as last reported or
    /// ordered.
    residents: BTreeMap<Name, (u64, bool)>,
    used_mb: u64,
    last_use: BTreeMap<Name, Time>,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    request: Request,
    /// Whether the head of the answer has gone to the caller.
    begun: bool,
    retried: bool,
}

/// A host of the baseline.
#[derive(Debug)]
pub struct Host {
    /// Index of the host; the host with index 0 orders the static placement.
    index: usize,
    hosts: Vec<Listing>,
    rows: BTreeMap<Name, Row>,
    engines: Vec<Engine>,
    services: Vec<Listing>,
    /// Counter for the round robin.
    rotation: usize,
    running: BTreeMap<Name, u32>,
    dispatches: BTreeMap<DispatchId, request::Key>,
    open: BTreeMap<request::Key, OpenRequest>,
    /// Requests that wait for a copy of their row.
    waiting: VecDeque<request::Key>,
    /// When the row was last ordered on demand.
    last_ordered: BTreeMap<Name, Time>,
    next_id: u64,
    next_poll: Time,
}

impl Host {
    /// Creates a host that knows the deployment's machines and no table.
    #[must_use]
    pub fn new(index: usize, deployment: &Deployment) -> Self {
        let listings_of = |role: Role| -> Vec<Listing> {
            let machines = deployment.machines.iter();
            machines.filter(|one| one.role == role).cloned().collect()
        };
        let engines = listings_of(Role::Engine)
            .into_iter()
            .map(|listing| Engine {
                listing: Some(listing),
                ..Engine::default()
            })
            .collect();
        Self {
            index,
            hosts: listings_of(Role::Host),
            rows: BTreeMap::new(),
            engines,
            services: listings_of(Role::Service),
            rotation: index,
            running: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            open: BTreeMap::new(),
            waiting: VecDeque::new(),
            last_ordered: BTreeMap::new(),
            next_id: index as u64 * ORDERS_PER_HOST,
            next_poll: Time::ZERO,
        }
    }

    /// Time of the next poll.
    #[must_use]
    pub const fn next_wake(&self) -> Option<Time> {
        Some(self.next_poll)
    }

    /// Processes an event and returns the effects to apply.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::AddressQuery { ticket, .. } => out.push(Effect::Address {
                ticket,
                answer: Ok(AddressAnswer {
                    addresses: self.hosts.iter().map(|host| host.address.clone()).collect(),
                    lifetime: ADDRESS_LIFETIME,
                    version: 1,
                }),
            }),
            Event::Request(request) => self.start_request(now, request, &mut out),
            Event::Dispatch { attempt, event } => self.on_dispatch(now, attempt, event, &mut out),
            Event::Contact {
                upstream,
                order: None,
                contact,
            } => self.report(now, &upstream, contact, &mut out),
            Event::Operator {
                command: mulberryrack_host::operator::Command::Accept { csv, .. },
                ..
            } => self.accept(&csv, &mut out),
            Event::Wake if now >= self.next_poll => self.poll(now, &mut out),
            _ => {}
        }
        out
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.next_poll = now + POLL_INTERVAL;
        let engines = self.engines.iter().filter_map(|one| one.listing.as_ref());
        out.extend(engines.map(|listing| Effect::Poll {
            upstream: listing.name.clone(),
            address: listing.address.clone(),
        }));
    }

    /// Puts a table in force. The host with index 0 orders as many copies of each row as its
    /// share, within the maximum of copies.
    fn accept(&mut self, text: &str, out: &mut Vec<Effect>) {
        let Ok(rows) = csv::parse(text) else {
            return;
        };
        self.rows = rows
            .iter()
            .map(|row| (row.name.clone(), row.clone()))
            .collect();
        if self.index != 0 {
            return;
        }
        let mut order: Vec<Row> = rows
            .iter()
            .filter(|row| row.kind != Kind::Service)
            .cloned()
            .collect();
        order.sort_by_key(|row| (row.kind, std::cmp::Reverse(row.share)));
        for row in order {
            for _ in 0..row.share.clamp(1, row.max_copies.max(1)) {
                self.place(&row, out);
            }
        }
    }

    /// Orders a load on the engine with the least memory in use among those where it fits.
    fn place(&mut self, row: &Row, out: &mut Vec<Effect>) {
        let fits = |engine: &&mut Engine| {
            let total = engine.listing.as_ref().map_or(0, |one| one.memory_mb);
            let base = row.base.as_ref();
            !engine.residents.contains_key(&row.name)
                && base.is_none_or(|base| engine.residents.contains_key(base))
                && engine.used_mb + row.memory_mb <= total
        };
        let engine = self
            .engines
            .iter_mut()
            .filter(fits)
            .min_by_key(|engine| engine.used_mb);
        if let Some(engine) = engine {
            self.next_id += 1;
            load(engine, row, self.next_id, out);
        }
    }

    fn report(&mut self, now: Time, name: &str, contact: Contact, out: &mut Vec<Effect>) {
        let engine = self.engines.iter_mut().find(|engine| {
            let listing = engine.listing.as_ref();
            listing.is_some_and(|listing| *listing.name == *name)
        });
        let (Some(engine), Contact::Report(report)) = (engine, contact) else {
            return;
        };
        engine.residents = report
            .residents
            .iter()
            .map(|one| {
                let ready = one.state == Residency::Ready;
                (one.row.clone(), (one.memory_mb, ready))
            })
            .collect();
        engine.used_mb = engine.residents.values().map(|(memory, _)| memory).sum();
        for _ in 0..self.waiting.len() {
            if let Some(key) = self.waiting.pop_front() {
                self.dispatch(now, key, out);
            }
        }
    }

    fn start_request(&mut self, now: Time, request: Request, out: &mut Vec<Effect>) {
        let key = request.key;
        let Some(row) = self.rows.get(&request.target) else {
            return refuse(key, Reason::UnknownTarget, out);
        };
        let running = self.running.entry(row.name.clone()).or_default();
        let hosts = u32::try_from(self.hosts.len().max(1)).unwrap_or(1);
        if *running >= (row.ceiling / hosts).max(1) {
            return refuse(key, Reason::Ceiling, out);
        }
        *running += 1;
        let open = OpenRequest {
            request,
            begun: false,
            retried: false,
        };
        self.open.insert(key, open);
        self.dispatch(now, key, out);
    }

    fn dispatch(&mut self, now: Time, key: request::Key, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&key) else {
            return;
        };
        let request = open.request.clone();
        if request.deadline <= now {
            return self.finish_request(key, Outcome::NotRun(refusal(Reason::Deadline)), out);
        }
        let Some((upstream, address)) = self.choose(now, &request.target) else {
            self.load_on_demand(now, &request.target, out);
            return self.waiting.push_back(key);
        };
        self.next_id += 1;
        let attempt = DispatchId(self.next_id);
        self.dispatches.insert(attempt, key);
        out.push(Effect::Send(Dispatch {
            attempt,
            upstream,
            address,
            call: request.call,
            connection: Connection::Pooled,
            resume: None,
        }));
    }

    /// Chooses the next upstream, round robin, that has the row ready.
    fn choose(&mut self, now: Time, target: &Name) -> Option<(Name, Name)> {
        self.rotation += 1;
        let row = self.rows.get(target)?;
        if row.kind == Kind::Service {
            let replicas: Vec<&Listing> = self
                .services
                .iter()
                .filter(|one| one.group == row.name)
                .collect();
            let chosen = replicas.get(self.rotation % replicas.len().max(1))?;
            return Some((chosen.name.clone(), chosen.address.clone()));
        }
        let ready: Vec<usize> = (0..self.engines.len())
            .filter(|index| {
                let resident = self.engines[*index].residents.get(target);
                resident.is_some_and(|(_, ready)| *ready)
            })
            .collect();
        let chosen = *ready.get(self.rotation % ready.len().max(1))?;
        let engine = &mut self.engines[chosen];
        engine.last_use.insert(target.clone(), now);
        let listing = engine.listing.as_ref()?;
        Some((listing.name.clone(), listing.address.clone()))
    }

    /// Loads a row on its home engine, and evicts the least recently used row there if memory
    /// is short.
    fn load_on_demand(&mut self, now: Time, target: &Name, out: &mut Vec<Effect>) {
        let Some(row) = self.rows.get(target).cloned() else {
            return;
        };
        let wanted = |engine: &Engine| engine.residents.contains_key(target);
        let last_ordered = self.last_ordered.get(target);
        let recent = last_ordered.is_some_and(|at| now - *at < REORDER_DELAY);
        if recent || self.engines.iter().any(wanted) {
            return;
        }
        let Some(engine) = self.home_engine(&row) else {
            return;
        };
        self.last_ordered.insert(target.clone(), now);
        let engine = &mut self.engines[engine];
        let total = engine.listing.as_ref().map_or(0, |one| one.memory_mb);
        if engine.used_mb + row.memory_mb > total {
            let oldest = engine
                .residents
                .keys()
                .min_by_key(|name| engine.last_use.get(*name).copied().unwrap_or(Time::ZERO))
                .cloned();
            if let Some(oldest) = oldest {
                self.next_id += 1;
                let version = self.rows.get(&oldest).map(|row| row.version.clone());
                unload(
                    engine,
                    &oldest,
                    version.unwrap_or_default(),
                    self.next_id,
                    out,
                );
            }
        }
        engine.last_use.insert(target.clone(), now);
        self.next_id += 1;
        load(engine, &row, self.next_id, out);
    }

    /// Index of the engine that a row belongs to: by a hash of its name, or the engine that has
    /// the row's base.
    fn home_engine(&self, row: &Row) -> Option<usize> {
        if let Some(base) = &row.base {
            let mut engines = self.engines.iter();
            return engines.position(|engine| engine.residents.contains_key(base));
        }
        let home = mulberryrack_core::hash::stable(row.name.as_bytes(), 0);
        let count = self.engines.len() as u64;
        let index = home.checked_rem(count)?;
        usize::try_from(index).ok()
    }

    fn on_dispatch(
        &mut self,
        now: Time,
        dispatch_id: DispatchId,
        event: upstream::Event,
        out: &mut Vec<Effect>,
    ) {
        let Some(&key) = self.dispatches.get(&dispatch_id) else {
            return;
        };
        let Some(open) = self.open.get_mut(&key) else {
            return;
        };
        match event {
            upstream::Event::Head { status, headers } => {
                open.begun = true;
                let answer = Answer::Head { status, headers };
                out.push(Effect::Caller {
                    request: key,
                    answer,
                });
            }
            upstream::Event::Chunk(bytes) => out.push(Effect::Caller {
                request: key,
                answer: Answer::Chunk(bytes),
            }),
            upstream::Event::End => {
                self.dispatches.remove(&dispatch_id);
                self.finish_request(key, Outcome::Ran, out);
            }
            upstream::Event::Fault(_) => {
                self.dispatches.remove(&dispatch_id);
                if open.begun || open.retried {
                    let doubt = mulberryrack_core::outcome::Doubt::UpstreamLost;
                    return self.finish_request(key, Outcome::Unknown(doubt), out);
                }
                open.retried = true;
                self.dispatch(now, key, out);
            }
        }
    }

    fn finish_request(&mut self, key: request::Key, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(open) = self.open.remove(&key) else {
            return;
        };
        if let Some(running) = self.running.get_mut(&open.request.target) {
            *running = running.saturating_sub(1);
        }
        out.push(Effect::Count(match outcome {
            Outcome::Ran => Counter::Ran,
            Outcome::NotRun(refusal) => Counter::Refused(refusal.reason),
            Outcome::Unknown(doubt) => Counter::Unknown(doubt),
        }));
        let answer = if open.begun {
            Answer::End(outcome)
        } else {
            Answer::Final(outcome)
        };
        out.push(Effect::Caller {
            request: key,
            answer,
        });
    }
}

const fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(RETRY_AFTER),
    }
}

fn refuse(key: request::Key, reason: Reason, out: &mut Vec<Effect>) {
    out.push(Effect::Count(Counter::Refused(reason)));
    out.push(Effect::Caller {
        request: key,
        answer: Answer::Final(Outcome::NotRun(refusal(reason))),
    });
}

fn load(engine: &mut Engine, row: &Row, id: u64, out: &mut Vec<Effect>) {
    engine
        .residents
        .insert(row.name.clone(), (row.memory_mb, false));
    engine.used_mb += row.memory_mb;
    let action = Action::Load {
        row: row.name.clone(),
        version: row.version.clone(),
        memory_mb: row.memory_mb,
        base: row.base.clone(),
    };
    order(engine, action, id, out);
}

fn unload(engine: &mut Engine, row: &Name, version: Name, id: u64, out: &mut Vec<Effect>) {
    if let Some((memory, _)) = engine.residents.remove(row) {
        engine.used_mb -= memory;
    }
    let row = row.clone();
    order(engine, Action::Unload { row, version }, id, out);
}

fn order(engine: &Engine, action: Action, id: u64, out: &mut Vec<Effect>) {
    if let Some(listing) = &engine.listing {
        out.push(Effect::Order {
            engine: listing.name.clone(),
            address: listing.address.clone(),
            order: Order {
                id,
                fence: u64::MAX,
                action,
            },
        });
    }
}
