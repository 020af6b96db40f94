//! Simulated model engine with continuous batching, a prefix cache, request priorities,
//! streams that can be resumed and cancelled, orders, reports that lag, and faults.
//!
//! Timing depends on the load. A step generates one token for each stream of the batch and
//! takes longer the larger the batch is. Prompts are read one after another, the most
//! urgent waiting one first; blocks that are in the prefix cache take no time.
//!
//! [`Engine`] has no sockets and no clock: [`Engine::handle`] takes an [`Input`] and the
//! time, and pushes [`Output`]s.

mod cache;
mod order;
mod port;
mod report;
mod stream;

pub use port::{Input, Output, Settings, Ticket};

use crate::{
    answer::Writer,
    memory::Memory,
    run::{Run, contains_poison, header},
};
use cache::Cache;
use mulberryrack_core::{
    Incarnation, Name, Time,
    completion::Completion,
    earliest, hash,
    request::{Call, Priority},
    upstream::{Contact, Fault, Order, Report},
};
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use stream::{Phase, Reader, Stream};

/// Request header with the name of the stream, under which it is resumed or cancelled.
pub const STREAM_HEADER: &str = "x-stream-id";
/// Request header with the priority of the request.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Priority, arrival number and name of a waiting stream; the smallest entry leaves the
/// queue first.
type QueueEntry = (Priority, u64, Name);

/// A simulated model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Settings,
    memory: Memory,
    cache: Cache,
    streams: BTreeMap<Name, Stream>,
    queue: BTreeSet<QueueEntry>,
    batch: Vec<Name>,
    /// Streams whose answer is complete, with the moment at which each is forgotten, in that
    /// order.
    finished: VecDeque<(Time, Name)>,
    arrival_count: u64,
    next_step: Option<Time>,
    /// When the prompt admitted last has been read, so that the next one can be.
    prefill_free_at: Time,
    down_until: Option<Time>,
    hung: bool,
    /// Orders that take effect later, with the moment at which they do.
    delayed_orders: Vec<(Time, Order)>,
    order_delay: Option<Duration>,
    /// Every `lose_order_one_in`-th order is lost; 0 for none.
    lose_order_one_in: u32,
    order_count: u32,
    /// Rows and versions whose weights have been requested from the weight store.
    fetches_in_flight: BTreeSet<(Name, Name)>,
    /// Earlier reports, oldest first, from which lagging reports are taken.
    snapshots: VecDeque<(Time, Report)>,
    last_change: Time,
    /// Every request that began to run, over all incarnations.
    pub runs: Vec<Run>,
    /// Number of crashes since the start.
    pub crashes: u32,
}

impl Engine {
    /// Creates an engine without resident copies.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        Self {
            memory: Memory::new(incarnation, settings.memory_mb, settings.fencing),
            cache: Cache::new(settings.cache_blocks, settings.event_gap),
            settings,
            streams: BTreeMap::new(),
            queue: BTreeSet::new(),
            batch: Vec::new(),
            finished: VecDeque::new(),
            arrival_count: 0,
            next_step: None,
            prefill_free_at: Time::ZERO,
            down_until: None,
            hung: false,
            delayed_orders: Vec::new(),
            order_delay: None,
            lose_order_one_in: 0,
            order_count: 0,
            fetches_in_flight: BTreeSet::new(),
            snapshots: VecDeque::new(),
            last_change: Time::ZERO,
            runs: Vec::new(),
            crashes: 0,
        }
    }

    /// The engine's memory, for checks by tests.
    #[must_use]
    pub const fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Whether the engine is down after a crash.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Catches up with everything that was due by `now`, then handles the input; pushes the
    /// outputs of both to `out`. Requests fail as not sent while the engine is down, and get
    /// no answer while it hangs; other inputs except [`Input::Hang`] and [`Input::Crash`] are
    /// dropped in both states.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        while let Some(at) = self.next_wake().filter(|at| *at <= now) {
            self.tick(at, out);
        }
        match input {
            Input::Wake => return,
            Input::Hang(hung) => self.set_hung(now, hung),
            Input::Crash => self.crash(now, out),
            _ if self.down_until.is_some() => refuse_while_down(&input, out),
            _ if self.hung => {}
            input => self.handle_while_up(now, input, out),
        }
        self.record_change(now);
    }

    /// The next moment at which [`Input::Wake`] has something to do; `None` if never.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.hung || self.is_down() {
            return self.down_until;
        }
        let next_order = self.delayed_orders.iter().map(|(at, _)| *at).min();
        let next_forgotten = self.finished.front().map(|(until, _)| *until);
        let admits = self.batch.len() < self.settings.slots && !self.queue.is_empty();
        let prompt = admits.then_some(self.prefill_free_at);
        earliest(
            earliest(self.next_step, prompt),
            earliest(next_order, next_forgotten),
        )
    }

    fn handle_while_up(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Call { ticket, call } => self.start_stream(now, ticket, call, out),
            Input::Resume {
                ticket,
                stream,
                offset,
            } => self.resume(ticket, &stream, offset, out),
            Input::Cancel { ticket, stream } => self.cancel(now, ticket, &stream, out),
            Input::Disconnected(ticket) => self.detach_reader(ticket),
            Input::Order { ticket, order } => self.handle_order(now, ticket, order, out),
            Input::Report(ticket) => {
                let contact = Contact::Report(Box::new(self.lagging_report(now)));
                out.push(Output::Contact { ticket, contact });
            }
            Input::Fetched { row, incarnation } if incarnation == self.memory.incarnation() => {
                self.fetches_in_flight
                    .retain(|(fetched, _)| *fetched != row);
                self.memory.finish_load(now, &row);
            }
            Input::Import {
                row,
                version,
                blocks,
            } => self
                .cache
                .insert(now, &cache_owner(&row, &version), &blocks),
            Input::Silence => self.streams.values_mut().for_each(|s| s.reader = None),
            Input::SetLeaving(leaving) => self.memory.leaving = leaving,
            Input::LoseOrders(one_in) => self.lose_order_one_in = one_in,
            Input::DelayOrders(delay) => self.order_delay = delay,
            Input::Fetched { .. } | Input::Wake | Input::Hang(_) | Input::Crash => {}
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.down_until.is_some_and(|until| until <= now) {
            self.down_until = None;
            let incarnation = Incarnation(self.memory.incarnation().0 + 1);
            self.memory.restart(incarnation);
            out.push(Output::Up);
        }
        let due: Vec<(Time, Order)> = self
            .delayed_orders
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, order) in due {
            self.carry_out(now, &order, out);
        }
        if self.next_step.is_some_and(|at| at <= now) {
            self.step(now, out);
        }
        self.admit(now, out);
        while self
            .finished
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            if let Some((_, name)) = self.finished.pop_front() {
                self.streams.remove(&name);
            }
        }
        self.record_change(now);
    }

    fn start_stream(&mut self, now: Time, ticket: Ticket, call: Call, out: &mut Vec<Output>) {
        let name = header(&call, STREAM_HEADER).cloned();
        let name = name.unwrap_or_else(|| format!("ticket-{}", ticket.0).into());
        let completion = match Completion::read(&call.path, &call.body) {
            Ok(completion) => completion,
            Err(error) => return answer_message(ticket, 400, &error.to_string(), out),
        };
        if self.streams.contains_key(&name) {
            return answer_message(ticket, 409, "the stream exists", out);
        }
        if self.memory.leaving || self.queue.len() >= self.settings.queue {
            return answer_message(ticket, 503, "full or leaving", out);
        }
        let row = completion.model.clone();
        let Some(version) = self.memory.begin_request(&row) else {
            return answer_message(ticket, 404, &format!("model {row:?} is not ready"), out);
        };
        let priority = header(&call, PRIORITY_HEADER).and_then(|label| Priority::from_label(label));
        let priority = priority.unwrap_or_default();
        self.arrival_count += 1;
        let stream = Stream {
            prefix: hash::prefix_blocks(&row, &completion.prompt),
            writer: Writer::new(completion, version.clone()),
            owner: cache_owner(&row, &version),
            row,
            version,
            priority,
            arrival: self.arrival_count,
            call,
            phase: Phase::Waiting,
            tokens: 0,
            body: Vec::new(),
            reader: Some(Reader {
                ticket,
                offset: 0,
                head_sent: false,
            }),
        };
        self.queue
            .insert((priority, self.arrival_count, name.clone()));
        self.streams.insert(name, stream);
        self.admit(now, out);
    }

    fn resume(&mut self, ticket: Ticket, name: &str, offset: u64, out: &mut Vec<Output>) {
        let Some(stream) = self.streams.get_mut(name) else {
            return answer_message(ticket, 404, "no such stream", out);
        };
        match usize::try_from(offset) {
            Ok(offset) if offset <= stream.body.len() => stream.resume(ticket, offset, out),
            _ => answer_message(ticket, 416, "the offset lies ahead of the stream", out),
        }
    }

    fn cancel(&mut self, now: Time, ticket: Ticket, name: &str, out: &mut Vec<Output>) {
        let Some(stream) = self.streams.remove(name) else {
            return answer_message(ticket, 404, "no such stream", out);
        };
        if let Some(Reader { ticket, .. }) = stream.reader {
            let fault = Fault::Broken;
            out.push(Output::Fault { ticket, fault });
        }
        self.queue
            .remove(&(stream.priority, stream.arrival, name.into()));
        self.batch.retain(|running| **running != *name);
        if stream.phase == Phase::Complete {
            self.finished.retain(|(_, other)| **other != *name);
        } else {
            self.memory.end_request(&stream.row, &stream.version);
        }
        answer_message(ticket, 200, "cancelled", out);
        self.admit(now, out);
    }

    fn detach_reader(&mut self, ticket: Ticket) {
        self.streams
            .values_mut()
            .filter(|stream| stream.reader.is_some_and(|reader| reader.ticket == ticket))
            .for_each(|stream| stream.reader = None);
    }

    /// Moves waiting streams into the batch, the most urgent first. Each is admitted only
    /// when the prompt of the one before has been read.
    fn admit(&mut self, now: Time, out: &mut Vec<Output>) {
        while self.batch.len() < self.settings.slots && self.prefill_free_at <= now {
            let Some((.., name)) = self.queue.pop_first() else {
                break;
            };
            let Some(stream) = self.streams.get_mut(&name) else {
                continue;
            };
            self.runs
                .push(Run::new(name.clone(), stream.row.clone(), &stream.call));
            if contains_poison(&stream.call) {
                return self.crash(now, out);
            }
            let uncached =
                stream.prefix.len() - self.cache.cached_prefix_len(&stream.owner, &stream.prefix);
            // The part of the prompt after the last full block is never cached, so it is read
            // each time.
            let blocks = u32::try_from(uncached + 1).unwrap_or(u32::MAX);
            let until = self.prefill_free_at.max(now) + self.settings.prefill_block * blocks;
            self.prefill_free_at = until;
            stream.phase = Phase::Prefill(until);
            self.cache.insert(now, &stream.owner, &stream.prefix);
            self.batch.push(name);
        }
        if self.next_step.is_none() && !self.batch.is_empty() {
            self.next_step = Some(now + self.step_time());
        }
    }

    fn step(&mut self, now: Time, out: &mut Vec<Output>) {
        let forget_at = now + self.settings.keep;
        let mut batch = std::mem::take(&mut self.batch);
        batch.retain(|name| {
            let Some(stream) = self.streams.get_mut(name) else {
                return false;
            };
            let complete = stream.step(now);
            if complete {
                stream.phase = Phase::Complete;
                self.finished.push_back((forget_at, name.clone()));
                self.memory.end_request(&stream.row, &stream.version);
            }
            stream.flush(out);
            !complete
        });
        self.batch = batch;
        self.next_step = None;
        self.admit(now, out);
    }

    fn step_time(&self) -> Duration {
        let others = u32::try_from(self.batch.len().saturating_sub(1)).unwrap_or(u32::MAX);
        self.settings.token + self.settings.token_per_stream * others
    }

    fn set_hung(&mut self, now: Time, hung: bool) {
        if self.hung && !hung {
            self.next_step = (!self.batch.is_empty()).then(|| now + self.step_time());
        }
        self.hung = hung;
    }

    fn crash(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.is_down() {
            return;
        }
        self.crashes += 1;
        self.hung = false;
        let readers = self.streams.values().filter_map(|stream| stream.reader);
        out.extend(readers.map(|Reader { ticket, .. }| Output::Fault {
            ticket,
            fault: Fault::Broken,
        }));
        self.streams.clear();
        self.queue.clear();
        self.batch.clear();
        self.finished.clear();
        self.next_step = None;
        self.prefill_free_at = now;
        self.cache = Cache::new(self.settings.cache_blocks, self.settings.event_gap);
        self.delayed_orders.clear();
        self.fetches_in_flight.clear();
        self.snapshots.clear();
        // The memory is empty from now on; the new incarnation begins with the restart.
        self.memory.restart(self.memory.incarnation());
        self.down_until = Some(now + self.settings.restart);
        out.push(Output::Down);
    }
}

/// Name under which the blocks of a row's version are cached. Versions share no blocks.
fn cache_owner(row: &str, version: &str) -> Name {
    format!("{row}@{version}").into()
}

/// Reports an input as not sent, because the process is down and refuses connections.
fn refuse_while_down(input: &Input, out: &mut Vec<Output>) {
    match input {
        Input::Call { ticket, .. }
        | Input::Resume { ticket, .. }
        | Input::Cancel { ticket, .. } => out.push(Output::Fault {
            ticket: *ticket,
            fault: Fault::NotSent,
        }),
        Input::Order { ticket, .. } | Input::Report(ticket) => out.push(Output::Contact {
            ticket: *ticket,
            contact: Contact::NotSent,
        }),
        _ => {}
    }
}

fn answer_message(ticket: Ticket, status: u16, message: &str, out: &mut Vec<Output>) {
    let body = json!({"error": {"message": message, "type": "engine", "code": status}});
    let headers = [("content-type".into(), "application/json".into())];
    out.push(Output::Head {
        ticket,
        status,
        headers: headers.into(),
    });
    out.push(Output::Chunk {
        ticket,
        bytes: body.to_string().into(),
    });
    out.push(Output::End { ticket });
}
