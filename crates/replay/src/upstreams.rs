//! Delivers calls and orders to the engines, services and weight store of a replay, and
//! their answers to hosts.

use crate::{
    schedule::{Exchange, ExchangeKind, SimEvent},
    world::{EXCHANGE_TIMEOUT, HostIndex, KeyedRun, UPSTREAM_DELAY, World},
};
use mulberryrack_core::{
    Name, Time,
    request::Call,
    upstream::{Contact, Dispatch, DispatchId, Event as DispatchEvent, Fault, Order},
};
use mulberryrack_host::Event;
use mulberryrack_standin::{
    engine::{Input, Output, STREAM_HEADER, Ticket},
    service, weights,
};
use mulberryrack_table::Kind;
use std::{sync::Arc, time::Duration};

/// Delay of an order that is late.
const LATE_ORDER_DELAY: Duration = Duration::from_secs(20);

impl World {
    fn engine_index(&self, name: &str) -> Option<usize> {
        self.engine_listings
            .iter()
            .position(|listing| *listing.name == *name)
    }

    fn service_index(&self, name: &str) -> Option<usize> {
        self.service_listings
            .iter()
            .position(|listing| *listing.name == *name)
    }

    fn open_exchange(&mut self, host: HostIndex, life: u64, kind: ExchangeKind) -> u64 {
        self.next_ticket += 1;
        let exchange = Exchange { host, life, kind };
        self.exchanges.insert(self.next_ticket, exchange);
        self.next_ticket
    }

    /// Sends a dispatch of a request to its upstream.
    pub(crate) fn send_dispatch(&mut self, host: HostIndex, life: u64, dispatch: Dispatch) {
        let first = dispatch.resume.map_or(dispatch.attempt, |(first, _)| first);
        let stream: Name = format!("{host}-{life}-{}", first.0).into();
        let ticket = self.open_exchange(host, life, ExchangeKind::Dispatch(dispatch.attempt));
        let at = self.arrival_after(UPSTREAM_DELAY);
        if let Some(index) = self.engine_index(&dispatch.upstream) {
            let ticket = Ticket(ticket);
            let input = match dispatch.resume {
                Some((_, offset)) => Input::Resume {
                    ticket,
                    stream,
                    offset,
                },
                None => Input::Call {
                    ticket,
                    call: with_stream_header(&dispatch.call, stream),
                },
            };
            return self
                .queue
                .push(at, SimEvent::Engine(index, Box::new(input)));
        }
        match self.service_index(&dispatch.upstream) {
            Some(index) => self
                .queue
                .push(at, SimEvent::Service(index, ticket, dispatch.call)),
            None => self.deliver_dispatch_event(ticket, DispatchEvent::Fault(Fault::NotSent)),
        }
    }

    /// Closes the connection of a dispatch; its stream goes on at the engine.
    pub(crate) fn detach_dispatch(&mut self, host: HostIndex, life: u64, dispatch_id: DispatchId) {
        let tickets: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| {
                matches!(&exchange.kind, ExchangeKind::Dispatch(id) if *id == dispatch_id)
                    && exchange.host == host
                    && exchange.life == life
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.exchanges.remove(&ticket);
            for index in 0..self.engines.len() {
                self.deliver_to_engine(index, Input::Disconnected(Ticket(ticket)));
            }
        }
    }

    /// Cancels a dispatch: every engine is told to end its stream.
    pub(crate) fn cancel_dispatch(&mut self, host: HostIndex, life: u64, dispatch_id: DispatchId) {
        self.exchanges.retain(|_, exchange| {
            !matches!(&exchange.kind, ExchangeKind::Dispatch(id) if *id == dispatch_id
                && exchange.host == host && exchange.life == life)
        });
        let stream: Name = format!("{host}-{life}-{}", dispatch_id.0).into();
        let ticket = Ticket(self.open_exchange(host, life, ExchangeKind::Unawaited));
        let at = self.arrival_after(UPSTREAM_DELAY);
        for index in 0..self.engines.len() {
            let stream = stream.clone();
            let input = Box::new(Input::Cancel { ticket, stream });
            self.queue.push(at, SimEvent::Engine(index, input));
        }
    }

    /// Queries an upstream for a report, or sends an order to an engine.
    pub(crate) fn contact(
        &mut self,
        host: HostIndex,
        life: u64,
        name: &Name,
        order: Option<Order>,
    ) {
        let id = order.as_ref().map(|order| order.id);
        let kind = ExchangeKind::Contact(name.clone(), id);
        let ticket = self.open_exchange(host, life, kind);
        let mut at = self.arrival_after(UPSTREAM_DELAY);
        if order.is_some() && self.faults.order_disturbed(self.now, &mut self.rng) {
            at = at + LATE_ORDER_DELAY;
            let unanswered = self.now + EXCHANGE_TIMEOUT;
            self.schedule_contact(ticket, unanswered, Contact::Unanswered);
            if self.faults.order_disturbed(self.now, &mut self.rng) {
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
                .push(at, SimEvent::Engine(index, Box::new(input)));
        }
        let report = self
            .service_index(name)
            .and_then(|index| self.services[index].report());
        let contact = report.map_or(Contact::NotSent, |report| Contact::Report(Box::new(report)));
        self.schedule_contact(ticket, at + UPSTREAM_DELAY, contact);
    }

    fn schedule_contact(&mut self, ticket: u64, at: Time, contact: Contact) {
        let Some(exchange) = self.exchanges.remove(&ticket) else {
            return;
        };
        if let ExchangeKind::Contact(upstream, order) = exchange.kind {
            let event = Box::new(Event::Contact {
                upstream,
                order,
                contact,
            });
            let scheduled = SimEvent::Host(exchange.host, exchange.life, event);
            self.queue.push(at, scheduled);
        }
    }

    /// Delivers an input to an engine and applies its outputs.
    pub(crate) fn deliver_to_engine(&mut self, index: usize, input: Input) {
        let now = self.now;
        let mut outputs = Vec::new();
        self.engines[index].handle(now, input, &mut outputs);
        self.collect_runs(index);
        for output in outputs {
            self.engine_output(index, output);
        }
        if let Some(wake) = self.engines[index].next_wake() {
            let at = wake.max(now);
            if self.engine_wakes[index] != Some(at) {
                self.engine_wakes[index] = Some(at);
                self.queue.push(at, SimEvent::WakeEngine(index));
            }
        }
    }

    fn collect_runs(&mut self, index: usize) {
        let at = self.now;
        let runs = std::mem::take(&mut self.engines[index].runs);
        let keyed = runs.into_iter().filter(|run| run.key.is_some());
        self.runs.extend(keyed.map(|run| KeyedRun { at, run }));
    }

    fn engine_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Head {
                ticket,
                status,
                headers,
            } => self.deliver_dispatch_event(ticket.0, DispatchEvent::Head { status, headers }),
            Output::Chunk { ticket, bytes } => {
                self.deliver_dispatch_event(ticket.0, DispatchEvent::Chunk(bytes));
            }
            Output::End { ticket } => self.deliver_dispatch_event(ticket.0, DispatchEvent::End),
            Output::Fault { ticket, fault } => {
                self.deliver_dispatch_event(ticket.0, DispatchEvent::Fault(fault));
            }
            Output::Contact { ticket, contact } => {
                let at = self.arrival_after(UPSTREAM_DELAY);
                self.schedule_contact(ticket.0, at, contact);
            }
            Output::Fetch {
                row,
                memory_mb,
                incarnation,
            } => self.deliver_to_weight_store(Some(weights::Fetch {
                engine: self.engine_listings[index].name.clone(),
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
        self.record_peak_memory(index);
    }

    fn export(&mut self, to: &str, row: Name, version: Name, blocks: Vec<u64>) {
        let index = self
            .engine_listings
            .iter()
            .position(|listing| *listing.address == *to);
        if let Some(index) = index {
            let input = Box::new(Input::Import {
                row,
                version,
                blocks,
            });
            let at = self.arrival_after(UPSTREAM_DELAY);
            self.queue.push(at, SimEvent::Engine(index, input));
        }
    }

    /// Delivers a fetch, or a wake-up for `None`, to the weight store, and finished fetches to
    /// their engines.
    pub(crate) fn deliver_to_weight_store(&mut self, fetch: Option<weights::Fetch>) {
        let mut done = Vec::new();
        self.weights.handle(self.now, fetch, &mut done);
        for fetch in done {
            if let Some(index) = self.engine_index(&fetch.engine) {
                let (row, incarnation) = (fetch.row, fetch.incarnation);
                self.deliver_to_engine(index, Input::Fetched { row, incarnation });
            }
        }
        if let Some(wake) = self.weights.next_wake() {
            let at = wake.max(self.now);
            if self.weights_wake != Some(at) {
                self.weights_wake = Some(at);
                self.queue.push(at, SimEvent::WakeWeights);
            }
        }
    }

    /// Delivers a call to a service.
    pub(crate) fn deliver_to_service(&mut self, index: usize, ticket: u64, call: &Call) {
        let mut outputs = Vec::new();
        self.services[index].call(self.now, ticket, call, &mut outputs);
        let at = self.now;
        let runs = std::mem::take(&mut self.services[index].runs);
        let keyed = runs.into_iter().filter(|run| run.key.is_some());
        self.runs.extend(keyed.map(|run| KeyedRun { at, run }));
        self.service_outputs(index, outputs);
    }

    /// Wakes a service, which ends the calls that are due.
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
                    self.deliver_dispatch_event(ticket, DispatchEvent::Head { status, headers });
                    self.deliver_dispatch_event(ticket, DispatchEvent::Chunk(body.into()));
                    self.deliver_dispatch_event(ticket, DispatchEvent::End);
                }
                service::Output::Fault { ticket, fault } => {
                    self.deliver_dispatch_event(ticket, DispatchEvent::Fault(fault));
                }
            }
        }
        if let Some(wake) = self.services[index].next_wake() {
            let at = wake.max(self.now + Duration::from_micros(1));
            self.queue.push(at, SimEvent::WakeService(index));
        }
    }

    /// Schedules an event of a dispatch for its host. The delay has no jitter, so that events
    /// of one dispatch keep their order.
    fn deliver_dispatch_event(&mut self, ticket: u64, event: DispatchEvent) {
        let last = matches!(event, DispatchEvent::End | DispatchEvent::Fault(_));
        let Some(exchange) = self.exchanges.get(&ticket).cloned() else {
            return;
        };
        if last {
            self.exchanges.remove(&ticket);
        }
        if let ExchangeKind::Dispatch(attempt) = exchange.kind {
            let event = Box::new(Event::Dispatch { attempt, event });
            let at = self.now + UPSTREAM_DELAY;
            let scheduled = SimEvent::Host(exchange.host, exchange.life, event);
            self.queue.push(at, scheduled);
        }
    }

    /// Raises `peak_memory` to the peak memory use of an engine.
    fn record_peak_memory(&mut self, index: usize) {
        let memory = self.engines[index].memory();
        let total = self.engine_listings[index].memory_mb.max(1);
        #[allow(clippy::cast_precision_loss)]
        let share = memory.peak_mb as f64 / total as f64;
        self.peak_memory = self.peak_memory.max(share);
    }

    /// Updates since when rows have had no ready copy, and the longest such time. Called at
    /// each periodic check.
    pub(crate) fn check_copies(&mut self) {
        let rows = self.rows.iter().filter(|row| row.kind != Kind::Service);
        let wanted: Vec<Name> = rows.map(|row| row.name.clone()).collect();
        let now = self.now;
        for row in wanted {
            let up = self.engines.iter().filter(|engine| !engine.is_down());
            if up.into_iter().any(|engine| engine.memory().serves(&row)) {
                self.missing_since.remove(&row);
                self.served_rows.insert(row);
                continue;
            }
            if !self.served_rows.contains(&row) {
                continue;
            }
            let since = *self.missing_since.entry(row.clone()).or_insert(now);
            if now - since > self.longest_missing.0 {
                self.longest_missing = (now - since, row);
            }
        }
    }
}

/// Adds a header with the name of the stream to a call.
fn with_stream_header(call: &Call, stream: Name) -> Call {
    let mut headers = call.headers.to_vec();
    headers.push((STREAM_HEADER.into(), stream));
    Call {
        headers: headers.into(),
        ..call.clone()
    }
}
