//! Engines, services and the weight store of a replay.

use crate::{
    parts::{Exchange, ExchangeKind, Happening},
    world::{EXCHANGE_TIMEOUT, HostKey, KeyRun, TO_UPSTREAM, World},
};
use mulberryrack_core::{
    Name, Time,
    request::Call,
    upstream::{Contact, Dispatch, DispatchId, Event as AttemptEvent, Fault, Order},
};
use mulberryrack_host::Event;
use mulberryrack_standin::{
    engine::{Input, Output, STREAM_HEADER, Ticket},
    service, weights,
};
use mulberryrack_table::Kind;
use std::{sync::Arc, time::Duration};

/// Delay of an order that is late.
const LATE_ORDER: Duration = Duration::from_secs(20);

impl World {
    fn engine_index(&self, name: &str) -> Option<usize> {
        self.engine_names
            .iter()
            .position(|listing| *listing.name == *name)
    }

    fn service_index(&self, name: &str) -> Option<usize> {
        self.service_names
            .iter()
            .position(|listing| *listing.name == *name)
    }

    fn ticket(&mut self, host: HostKey, life: u64, kind: ExchangeKind) -> u64 {
        self.next_ticket += 1;
        let exchange = Exchange { host, life, kind };
        self.exchanges.insert(self.next_ticket, exchange);
        self.next_ticket
    }

    /// Sends a request to an upstream.
    pub(crate) fn send(&mut self, host: HostKey, life: u64, send: Dispatch) {
        let first = send.resume.map_or(send.attempt, |(first, _)| first);
        let stream: Name = format!("{host}-{life}-{}", first.0).into();
        let ticket = self.ticket(host, life, ExchangeKind::Attempt(send.attempt));
        let at = self.after(TO_UPSTREAM);
        if let Some(index) = self.engine_index(&send.upstream) {
            let ticket = Ticket(ticket);
            let input = match send.resume {
                Some((_, offset)) => Input::Resume {
                    ticket,
                    stream,
                    offset,
                },
                None => Input::Call {
                    ticket,
                    call: named(&send.call, stream),
                },
            };
            return self
                .queue
                .put(at, Happening::Engine(index, Box::new(input)));
        }
        match self.service_index(&send.upstream) {
            Some(index) => self
                .queue
                .put(at, Happening::Service(index, ticket, send.call)),
            None => self.attempt_event(ticket, AttemptEvent::Fault(Fault::NotSent)),
        }
    }

    /// Closes the connection of an attempt; its stream goes on.
    pub(crate) fn forget(&mut self, host: HostKey, life: u64, attempt: DispatchId) {
        let tickets: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| {
                matches!(&exchange.kind, ExchangeKind::Attempt(one) if *one == attempt)
                    && exchange.host == host
                    && exchange.life == life
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.exchanges.remove(&ticket);
            for index in 0..self.engines.len() {
                self.feed_engine(index, Input::Disconnected(Ticket(ticket)));
            }
        }
    }

    /// Cancels an attempt.
    pub(crate) fn cancel(&mut self, host: HostKey, life: u64, attempt: DispatchId) {
        self.exchanges.retain(|_, exchange| {
            !matches!(&exchange.kind, ExchangeKind::Attempt(one) if *one == attempt
                && exchange.host == host && exchange.life == life)
        });
        let stream: Name = format!("{host}-{life}-{}", attempt.0).into();
        let ticket = Ticket(self.ticket(host, life, ExchangeKind::Nothing));
        let at = self.after(TO_UPSTREAM);
        for index in 0..self.engines.len() {
            let stream = stream.clone();
            let input = Box::new(Input::Cancel { ticket, stream });
            self.queue.put(at, Happening::Engine(index, input));
        }
    }

    /// Asks for a report or gives an order.
    pub(crate) fn contact(&mut self, host: HostKey, life: u64, name: &Name, order: Option<Order>) {
        let id = order.as_ref().map(|order| order.id);
        let kind = ExchangeKind::Contact(name.clone(), id);
        let ticket = self.ticket(host, life, kind);
        let mut at = self.after(TO_UPSTREAM);
        if order.is_some() && self.faults.order(self.now, &mut self.draws) {
            at = at + LATE_ORDER;
            let unanswered = self.now + EXCHANGE_TIMEOUT;
            self.contact_done(ticket, unanswered, Contact::Unanswered);
            if self.faults.order(self.now, &mut self.draws) {
                return;
            }
        }
        if let Some(index) = self.engine_index(name) {
            let ticket = Ticket(ticket);
            let input = match order {
                Some(order) => Input::Order { ticket, order },
                None => Input::Report(ticket),
            };
            return self
                .queue
                .put(at, Happening::Engine(index, Box::new(input)));
        }
        let report = self
            .service_index(name)
            .and_then(|index| self.services[index].report());
        let contact = report.map_or(Contact::NotSent, |report| Contact::Report(Box::new(report)));
        self.contact_done(ticket, at + TO_UPSTREAM, contact);
    }

    fn contact_done(&mut self, ticket: u64, at: Time, contact: Contact) {
        let Some(exchange) = self.exchanges.remove(&ticket) else {
            return;
        };
        if let ExchangeKind::Contact(upstream, order) = exchange.kind {
            let event = Box::new(Event::Contact {
                upstream,
                order,
                contact,
            });
            let happening = Happening::Host(exchange.host, exchange.life, event);
            self.queue.put(at, happening);
        }
    }

    /// Hands an input to an engine and carries out what it does.
    pub(crate) fn feed_engine(&mut self, index: usize, input: Input) {
        let now = self.now;
        let mut outputs = Vec::new();
        self.engines[index].handle(now, input, &mut outputs);
        self.note_runs(index);
        for output in outputs {
            self.engine_output(index, output);
        }
        if let Some(wake) = self.engines[index].next_wake() {
            let at = wake.max(now);
            if self.engine_wakes[index] != Some(at) {
                self.engine_wakes[index] = Some(at);
                self.queue.put(at, Happening::WakeEngine(index));
            }
        }
    }

    fn note_runs(&mut self, index: usize) {
        let at = self.now;
        let runs = std::mem::take(&mut self.engines[index].runs);
        let keyed = runs.into_iter().filter(|run| run.key.is_some());
        self.runs.extend(keyed.map(|run| KeyRun { at, run }));
    }

    fn engine_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Head {
                ticket,
                status,
                headers,
            } => self.attempt_event(ticket.0, AttemptEvent::Head { status, headers }),
            Output::Chunk { ticket, bytes } => {
                self.attempt_event(ticket.0, AttemptEvent::Chunk(bytes));
            }
            Output::End { ticket } => self.attempt_event(ticket.0, AttemptEvent::End),
            Output::Fault { ticket, fault } => {
                self.attempt_event(ticket.0, AttemptEvent::Fault(fault));
            }
            Output::Contact { ticket, contact } => {
                let at = self.after(TO_UPSTREAM);
                self.contact_done(ticket.0, at, contact);
            }
            Output::Fetch {
                row,
                memory_mb,
                incarnation,
            } => self.feed_weights(Some(weights::Fetch {
                engine: self.engine_names[index].name.clone(),
                incarnation,
                row,
                memory_mb,
            })),
            Output::Export {
                to,
                row,
                version,
                blocks,
            } => self.export(&to, row, version, blocks),
            Output::Down | Output::Up => {}
        }
        self.look_at_memory(index);
    }

    fn export(&mut self, to: &str, row: Name, version: Name, blocks: Vec<u64>) {
        let index = self
            .engine_names
            .iter()
            .position(|listing| *listing.address == *to);
        if let Some(index) = index {
            let input = Box::new(Input::Import {
                row,
                version,
                blocks,
            });
            let at = self.after(TO_UPSTREAM);
            self.queue.put(at, Happening::Engine(index, input));
        }
    }

    /// Hands a fetch to the weight store.
    pub(crate) fn feed_weights(&mut self, fetch: Option<weights::Fetch>) {
        let mut done = Vec::new();
        self.weights.handle(self.now, fetch, &mut done);
        for fetch in done {
            if let Some(index) = self.engine_index(&fetch.engine) {
                let (row, incarnation) = (fetch.row, fetch.incarnation);
                self.feed_engine(index, Input::Fetched { row, incarnation });
            }
        }
        if let Some(wake) = self.weights.next_wake() {
            let at = wake.max(self.now);
            if self.weights_wake != Some(at) {
                self.weights_wake = Some(at);
                self.queue.put(at, Happening::WakeWeights);
            }
        }
    }

    /// Hands a call to a service.
    pub(crate) fn feed_service(&mut self, index: usize, ticket: u64, call: &Call) {
        let mut outputs = Vec::new();
        self.services[index].call(self.now, ticket, call, &mut outputs);
        let at = self.now;
        let runs = std::mem::take(&mut self.services[index].runs);
        let keyed = runs.into_iter().filter(|run| run.key.is_some());
        self.runs.extend(keyed.map(|run| KeyRun { at, run }));
        self.service_outputs(index, outputs);
    }

    /// Lets a service end its calls.
    pub(crate) fn wake_service(&mut self, index: usize) {
        let mut outputs = Vec::new();
        self.services[index].wake(self.now, &mut outputs);
        self.service_outputs(index, outputs);
    }

    fn service_outputs(&mut self, index: usize, outputs: Vec<service::Output>) {
        for output in outputs {
            match output {
                service::Output::Answer {
                    ticket,
                    status,
                    body,
                } => {
                    let headers = Arc::new([("content-type".into(), "application/json".into())]);
                    self.attempt_event(ticket, AttemptEvent::Head { status, headers });
                    self.attempt_event(ticket, AttemptEvent::Chunk(body.into()));
                    self.attempt_event(ticket, AttemptEvent::End);
                }
                service::Output::Fault { ticket, fault } => {
                    self.attempt_event(ticket, AttemptEvent::Fault(fault));
                }
            }
        }
        if let Some(wake) = self.services[index].next_wake() {
            let at = wake.max(self.now + Duration::from_micros(1));
            self.queue.put(at, Happening::WakeService(index));
        }
    }

    /// Tells a host of its attempt. Events of one attempt keep their order.
    fn attempt_event(&mut self, ticket: u64, event: AttemptEvent) {
        let last = matches!(event, AttemptEvent::End | AttemptEvent::Fault(_));
        let Some(exchange) = self.exchanges.get(&ticket).cloned() else {
            return;
        };
        if last {
            self.exchanges.remove(&ticket);
        }
        if let ExchangeKind::Attempt(attempt) = exchange.kind {
            let event = Box::new(Event::Dispatch { attempt, event });
            let at = self.now + TO_UPSTREAM;
            let happening = Happening::Host(exchange.host, exchange.life, event);
            self.queue.put(at, happening);
        }
    }

    /// Notes how full an engine is, and which rows have a ready copy.
    fn look_at_memory(&mut self, index: usize) {
        let memory = self.engines[index].memory();
        let total = self.engine_names[index].memory_mb.max(1);
        #[allow(clippy::cast_precision_loss)]
        let part = memory.peak_mb as f64 / total as f64;
        self.peak_memory = self.peak_memory.max(part);
    }

    /// Follows which rows have no ready copy; called once a second.
    pub(crate) fn look_at_rows(&mut self) {
        let rows = self.rows.iter().filter(|row| row.kind != Kind::Service);
        let wanted: Vec<Name> = rows.map(|row| row.name.clone()).collect();
        let now = self.now;
        for row in wanted {
            let up = self.engines.iter().filter(|engine| !engine.is_down());
            if up.into_iter().any(|engine| engine.memory().serves(&row)) {
                self.missing.remove(&row);
                self.served.insert(row);
                continue;
            }
            if !self.served.contains(&row) {
                continue;
            }
            let since = *self.missing.entry(row.clone()).or_insert(now);
            if now - since > self.longest_missing.0 {
                self.longest_missing = (now - since, row);
            }
        }
    }
}

/// The call with the name of its stream.
fn named(call: &Call, stream: Name) -> Call {
    let mut headers = call.headers.to_vec();
    headers.push((STREAM_HEADER.into(), stream));
    Call {
        headers: headers.into(),
        ..call.clone()
    }
}
