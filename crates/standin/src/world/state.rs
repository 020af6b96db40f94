//! The state of all machines behind the relays, owned by one thread. It passes requests
//! and faults to the simulated machines and their outputs back to the connections.

use super::{
    exchange::{Exchange, IncomingRequest},
    platform::{self, KvService},
    relay::Relay,
    switch::{Memory, Switch, Tally},
};
use crate::{
    engine::{self, Engine, Ticket},
    list::List,
    run::{self, Run},
    service::{self, Service},
    weights::{self, Fetch},
};
use mulberryrack_core::{Incarnation, Name, Time, earliest, request::Call, upstream::Contact};
use std::collections::{BTreeMap, BTreeSet};

/// Machine name of the key-value service.
pub const KV: &str = "kv";
/// Machine name of the list of machines.
pub const LIST: &str = "list";

/// A service replica, and whether its relay refuses connections because of a crash.
struct Replica {
    service: Service,
    was_down: bool,
}

/// The platform's services and all upstreams, with their relays and open exchanges.
pub struct State {
    pub(super) kv: KvService,
    pub(super) list: List,
    weights: weights::Store,
    engines: BTreeMap<Name, Engine>,
    services: BTreeMap<Name, Replica>,
    relays: BTreeMap<Name, Relay>,
    /// Machines among [`KV`], [`LIST`] and the engines that do not answer. A hung service
    /// replica is marked by [`Service::hung`] instead.
    hung: BTreeSet<Name>,
    /// Machines that were lost for good and accept no connections again.
    lost: BTreeSet<Name>,
    /// Requests that are not answered completely, by ticket.
    exchanges: BTreeMap<u64, Exchange>,
    next_ticket: u64,
}

impl State {
    pub(super) fn new(kv: KvService, list: List, weights: weights::Store) -> Self {
        Self {
            kv,
            list,
            weights,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            relays: BTreeMap::new(),
            hung: BTreeSet::new(),
            lost: BTreeSet::new(),
            exchanges: BTreeMap::new(),
            next_ticket: 0,
        }
    }

    pub(super) fn add_relay(&mut self, name: Name, relay: Relay) {
        self.relays.insert(name, relay);
    }

    pub(super) fn add_engine(&mut self, name: Name, settings: engine::Settings, life: Incarnation) {
        self.engines.insert(name, Engine::new(settings, life));
    }

    pub(super) fn add_service(&mut self, name: Name, service: Service) {
        let was_down = false;
        self.services.insert(name, Replica { service, was_down });
    }

    /// Every request that began to run, by upstream.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<Name, Vec<Run>> {
        let engines = self.engines.iter();
        let engines = engines.map(|(name, engine)| (name.clone(), engine.runs.clone()));
        let services = self.services.iter();
        let services = services.map(|(name, replica)| (name.clone(), replica.service.runs.clone()));
        engines.chain(services).collect()
    }

    /// The simulated engine of this name, for checks by tests.
    #[must_use]
    pub fn engine(&self, name: &str) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// The counters since the start.
    #[must_use]
    pub fn tally(&self) -> Tally {
        let runs = self.runs();
        let engines = self.engines.iter();
        let memory = engines.clone().map(|(name, engine)| {
            let memory = Memory {
                peak_mb: engine.memory().peak_mb,
                capacity_mb: engine.memory().capacity_mb(),
            };
            (name.clone(), memory)
        });
        let crashed = engines.filter(|(_, engine)| engine.crashes > 0);
        Tally {
            kv_calls: self.kv.calls_by_op.clone(),
            kv_callers: self.kv.calls_by_caller.clone(),
            list_reads: self.list.reads,
            runs: runs.values().map(|runs| runs.len() as u64).sum(),
            doubles: run::repeated_keys(runs.values().flatten()),
            crashes: crashed
                .map(|(name, engine)| (name.clone(), engine.crashes))
                .collect(),
            memory: memory.collect(),
            loads: self.weights.loads,
        }
    }

    /// Switches a fault on or off. Returns `false` if no machine has the name or the fault
    /// cannot be applied.
    pub fn switch(&mut self, now: Time, switch: &Switch) -> bool {
        match switch {
            Switch::Refuse { name, on } => return self.set_refusing(name, *on),
            Switch::Hang { name, on } => return self.set_hung(now, name, *on),
            Switch::Silence { name } => {
                let Some(relay) = self.relays.get(name) else {
                    return false;
                };
                relay.silence();
                self.engine_input(now, name, engine::Input::Silence);
            }
            Switch::Crash { name } => return self.crash(now, name),
            Switch::Lose { name } => {
                self.crash(now, name);
                self.lost.insert(name.clone());
                self.list.remove(now, name);
                return self.set_refusing(name, true);
            }
            Switch::Leaving { name, on } => {
                self.list.set_leaving(now, name, *on);
                if let Some(replica) = self.services.get_mut(name) {
                    replica.service.leaving = *on;
                    return true;
                }
                return self.engine_input(now, name, engine::Input::SetLeaving(*on));
            }
            Switch::LoseOrders { name, one_in } => {
                return self.engine_input(now, name, engine::Input::LoseOrders(*one_in));
            }
            Switch::DelayOrders { name, delay } => {
                let delay = (!delay.is_zero()).then_some(*delay);
                return self.engine_input(now, name, engine::Input::DelayOrders(delay));
            }
            Switch::KvSlow { .. } | Switch::KvLoseAnswers { .. } | Switch::KvUnavailable { .. } => {
                self.kv.switch(switch);
            }
            Switch::ListLag { lag } => self.list.lag = *lag,
        }
        true
    }

    /// Passes a request to the machine that it arrived at.
    pub(super) fn handle_request(&mut self, now: Time, incoming: IncomingRequest) {
        let IncomingRequest {
            machine,
            call,
            exchange,
        } = incoming;
        if self.hung.contains(&machine) {
            exchange.leave_unanswered();
        } else if *machine == *KV {
            self.kv.request(now, &call, exchange);
        } else if *machine == *LIST {
            self.list_request(now, &call, exchange);
        } else if self.engines.contains_key(&machine) {
            self.engine_request(now, &machine, call, exchange);
        } else {
            self.service_request(now, &machine, &call, exchange);
        }
    }

    /// Does everything that is due by `now`.
    pub(super) fn wake(&mut self, now: Time) {
        self.kv.wake(now);
        let mut fetched = Vec::new();
        self.weights.handle(now, None, &mut fetched);
        self.deliver_weights(now, fetched);
        let is_due = |at: Option<Time>| at.is_some_and(|at| at <= now);
        let engines = self.engines.iter();
        let due: Vec<Name> = engines
            .filter(|(_, engine)| is_due(engine.next_wake()))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.engine_input(now, &name, engine::Input::Wake);
        }
        let services = self.services.iter();
        let due: Vec<Name> = services
            .filter(|(_, replica)| is_due(replica.service.next_wake()))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.service_step(&name, |service, out| service.wake(now, out));
        }
    }

    /// The next moment at which [`State::wake`] has something to do; `None` if never.
    pub(super) fn next_wake(&self) -> Option<Time> {
        let engines = self.engines.values().map(Engine::next_wake);
        let services = self.services.values();
        let services = services.map(|replica| replica.service.next_wake());
        engines
            .chain(services)
            .chain([self.kv.next_wake(), self.weights.next_wake()])
            .fold(None, earliest)
    }

    fn list_request(&mut self, now: Time, call: &Call, exchange: Exchange) {
        match (&*call.method, &*call.path) {
            ("GET", "/v1/tally") => exchange.answer_json(200, &self.tally()),
            ("POST", "/v1/control") => {
                if let Some((exchange, switch)) = exchange.read_json(call) {
                    let status = if self.switch(now, &switch) { 204 } else { 404 };
                    exchange.answer(status, "text/plain", "");
                }
            }
            _ => platform::answer_list_request(&mut self.list, now, call, exchange),
        }
    }

    fn engine_request(&mut self, now: Time, name: &Name, call: Call, exchange: Exchange) {
        let ticket = Ticket(self.next_ticket);
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let stream = path.strip_prefix("/v1/streams/").map(Name::from);
        let input = match (&*call.method, path, stream) {
            ("POST", "/v1/completions" | "/v1/chat/completions", _) => {
                Some(engine::Input::Call { ticket, call })
            }
            ("GET", _, Some(stream)) => {
                let offset = query.strip_prefix("offset=").unwrap_or("0").parse();
                offset.ok().map(|offset| engine::Input::Resume {
                    ticket,
                    stream,
                    offset,
                })
            }
            ("DELETE", _, Some(stream)) => Some(engine::Input::Cancel { ticket, stream }),
            ("GET", "/v1/report", _) => Some(engine::Input::Report(ticket)),
            ("POST", "/v1/orders", _) => {
                let Some((exchange, order)) = exchange.read_json(&call) else {
                    return;
                };
                let input = engine::Input::Order { ticket, order };
                return self.begin_engine_exchange(now, name, exchange, input);
            }
            _ => None,
        };
        match input {
            Some(input) => self.begin_engine_exchange(now, name, exchange, input),
            None => exchange.answer(404, "text/plain", "no such path"),
        }
    }

    fn begin_engine_exchange(
        &mut self,
        now: Time,
        name: &Name,
        exchange: Exchange,
        input: engine::Input,
    ) {
        self.exchanges.insert(self.next_ticket, exchange);
        self.next_ticket += 1;
        self.engine_input(now, name, input);
    }

    /// Passes an input to an engine and carries out its outputs. Returns `false` if there is
    /// no engine of this name.
    fn engine_input(&mut self, now: Time, name: &Name, input: engine::Input) -> bool {
        let Some(engine) = self.engines.get_mut(name) else {
            return false;
        };
        let mut out = Vec::new();
        engine.handle(now, input, &mut out);
        for output in out {
            self.engine_output(now, name, output);
        }
        true
    }

    fn engine_output(&mut self, now: Time, name: &Name, output: engine::Output) {
        match output {
            engine::Output::Head {
                ticket,
                status,
                headers,
            } => self.write_answer(now, name, ticket, |exchange| {
                exchange.begin_chunked(status, &headers)
            }),
            engine::Output::Chunk { ticket, bytes } => {
                self.write_answer(now, name, ticket, |exchange| exchange.send_chunk(&bytes));
            }
            engine::Output::End { ticket } => {
                if let Some(exchange) = self.exchanges.remove(&ticket.0) {
                    exchange.finish();
                }
            }
            engine::Output::Fault { ticket, .. } => self.break_exchange(ticket.0),
            engine::Output::Contact { ticket, contact } => {
                if let Some(exchange) = self.exchanges.remove(&ticket.0) {
                    match contact {
                        Contact::Report(report) => exchange.answer_json(200, &report),
                        Contact::Fenced => exchange.answer(409, "text/plain", "fenced"),
                        Contact::NotSent | Contact::Unanswered => exchange.break_connection(),
                    }
                }
            }
            engine::Output::Fetch {
                row,
                memory_mb,
                incarnation,
            } => {
                let fetch = Fetch {
                    engine: name.clone(),
                    incarnation,
                    row,
                    memory_mb,
                };
                let mut fetched = Vec::new();
                self.weights.handle(now, Some(fetch), &mut fetched);
                self.deliver_weights(now, fetched);
            }
            engine::Output::Export {
                to,
                row,
                version,
                blocks,
            } => self.import_cache(now, &to, row, version, blocks),
            engine::Output::Down => drop(self.set_refusing(name, true)),
            engine::Output::Up => drop(self.set_refusing(name, false)),
        }
    }

    fn write_answer(
        &mut self,
        now: Time,
        name: &Name,
        ticket: Ticket,
        write: impl FnOnce(&mut Exchange) -> std::io::Result<()>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&ticket.0) else {
            return;
        };
        if write(exchange).is_err() {
            self.exchanges.remove(&ticket.0);
            self.engine_input(now, name, engine::Input::Disconnected(ticket));
        }
    }

    fn deliver_weights(&mut self, now: Time, fetched: Vec<Fetch>) {
        for Fetch {
            engine,
            incarnation,
            row,
            ..
        } in fetched
        {
            let input = engine::Input::Fetched { row, incarnation };
            self.engine_input(now, &engine, input);
        }
    }

    fn import_cache(&mut self, now: Time, to: &str, row: Name, version: Name, blocks: Vec<u64>) {
        let found = self
            .relays
            .iter()
            .find(|(_, relay)| relay.address().to_string() == *to);
        if let Some(name) = found.map(|(name, _)| name.clone()) {
            let input = engine::Input::Import {
                row,
                version,
                blocks,
            };
            self.engine_input(now, &name, input);
        }
    }

    fn service_request(&mut self, now: Time, name: &Name, call: &Call, exchange: Exchange) {
        if (&*call.method, &*call.path) == ("GET", "/v1/report") {
            let replica = self.services.get_mut(name);
            return match replica.and_then(|replica| replica.service.report()) {
                Some(report) => exchange.answer_json(200, &report),
                None => exchange.leave_unanswered(),
            };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.exchanges.insert(ticket, exchange);
        self.service_step(name, |service, out| service.call(now, ticket, call, out));
    }

    fn service_step(
        &mut self,
        name: &Name,
        step: impl FnOnce(&mut Service, &mut Vec<service::Output>),
    ) {
        let Some(replica) = self.services.get_mut(name) else {
            return;
        };
        let mut out = Vec::new();
        step(&mut replica.service, &mut out);
        let down = replica.service.is_down();
        let changed = std::mem::replace(&mut replica.was_down, down) != down;
        for output in out {
            match output {
                service::Output::Answer {
                    ticket,
                    status,
                    body,
                } => {
                    if let Some(exchange) = self.exchanges.remove(&ticket) {
                        exchange.answer(status, "application/json", body);
                    }
                }
                service::Output::Fault { ticket, .. } => self.break_exchange(ticket),
            }
        }
        if changed {
            self.set_refusing(name, down);
        }
    }

    fn break_exchange(&mut self, ticket: u64) {
        if let Some(exchange) = self.exchanges.remove(&ticket) {
            exchange.break_connection();
        }
    }

    fn set_refusing(&mut self, name: &Name, on: bool) -> bool {
        let Some(relay) = self.relays.get_mut(name) else {
            return false;
        };
        if on {
            relay.close();
        } else if !self.lost.contains(name) && relay.open().is_err() {
            // Another process has taken the port while the relay was closed.
            return false;
        }
        true
    }

    fn set_hung(&mut self, now: Time, name: &Name, on: bool) -> bool {
        if let Some(replica) = self.services.get_mut(name) {
            replica.service.hung = on;
            return true;
        }
        if on {
            self.hung.insert(name.clone());
        } else {
            self.hung.remove(name);
        }
        self.engine_input(now, name, engine::Input::Hang(on)) || self.relays.contains_key(name)
    }

    fn crash(&mut self, now: Time, name: &Name) -> bool {
        if self.services.contains_key(name) {
            self.service_step(name, |service, out| service.crash(now, out));
            return true;
        }
        self.engine_input(now, name, engine::Input::Crash)
    }
}
