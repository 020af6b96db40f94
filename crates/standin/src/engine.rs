//! A model engine: continuous batching, prefix cache, priorities, streams that can be
//! resumed and cancelled, orders, reports that lag, and faults.
//!
//! Time follows load: a step makes one token for each stream of the batch and takes
//! longer the larger the batch is; prompts are read one after another, the most urgent
//! of those that wait first, cached blocks for nothing.

mod cache;
mod order;
mod port;
mod report;
mod stream;

pub use port::{Input, Output, Settings, Ticket};

use crate::{
    answer::Writer,
    memory::Memory,
    run::{Run, header, is_poisonous},
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

/// Header with the name of a stream.
pub const STREAM: &str = "x-stream-id";
/// Header with the priority of a request.
pub const PRIORITY: &str = "x-priority";

/// A waiting stream, in the order of the queue.
type Place = (Priority, u64, Name);

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Settings,
    memory: Memory,
    cache: Cache,
    streams: BTreeMap<Name, Stream>,
    queue: BTreeSet<Place>,
    batch: Vec<Name>,
    /// Streams whose answer is whole, in the order in which they are forgotten.
    kept: VecDeque<(Time, Name)>,
    arrivals: u64,
    next_step: Option<Time>,
    /// When the prompt that was taken last has been read.
    prefill_free: Time,
    down_until: Option<Time>,
    hung: bool,
    late: Vec<(Time, Order)>,
    order_delay: Option<Duration>,
    order_loss: u32,
    orders: u32,
    fetching: BTreeSet<(Name, Name)>,
    snapshots: VecDeque<(Time, Report)>,
    changed: Time,
    /// Everything that ran.
    pub runs: Vec<Run>,
    /// Crashes since the start.
    pub crashes: u32,
}

impl Engine {
    /// An empty engine.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        Self {
            memory: Memory::new(incarnation, settings.memory_mb, settings.fencing),
            cache: Cache::new(settings.cache_blocks, settings.event_gap),
            settings,
            streams: BTreeMap::new(),
            queue: BTreeSet::new(),
            batch: Vec::new(),
            kept: VecDeque::new(),
            arrivals: 0,
            next_step: None,
            prefill_free: Time::ZERO,
            down_until: None,
            hung: false,
            late: Vec::new(),
            order_delay: None,
            order_loss: 0,
            orders: 0,
            fetching: BTreeSet::new(),
            snapshots: VecDeque::new(),
            changed: Time::ZERO,
            runs: Vec::new(),
            crashes: 0,
        }
    }

    /// Its memory, for checks.
    #[must_use]
    pub const fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Whether it is down after a crash.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Takes an input and pushes what comes of it and of the time that has passed.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        while let Some(at) = self.next_wake().filter(|at| *at <= now) {
            self.tick(at, out);
        }
        match input {
            Input::Wake => return,
            Input::Hang(hung) => self.hang(now, hung),
            Input::Crash => self.crash(now, out),
            _ if self.down_until.is_some() => refuse(&input, out),
            _ if self.hung => {}
            input => self.take(now, input, out),
        }
        self.note_change(now);
    }

    /// When [`Input::Wake`] has something to do.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.hung || self.is_down() {
            return self.down_until;
        }
        let late = self.late.iter().map(|(at, _)| *at).min();
        let kept = self.kept.front().map(|(until, _)| *until);
        let admits = self.batch.len() < self.settings.slots && !self.queue.is_empty();
        let prompt = admits.then_some(self.prefill_free);
        earliest(earliest(self.next_step, prompt), earliest(late, kept))
    }

    fn take(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Call { ticket, call } => self.call(now, ticket, call, out),
            Input::Resume {
                ticket,
                stream,
                offset,
            } => self.resume(ticket, &stream, offset, out),
            Input::Cancel { ticket, stream } => self.cancel(now, ticket, &stream, out),
            Input::Gone(ticket) => self.gone(ticket),
            Input::Order { ticket, order } => self.order(now, ticket, order, out),
            Input::Report(ticket) => {
                let contact = Contact::Report(Box::new(self.lagging_report(now)));
                out.push(Output::Contact { ticket, contact });
            }
            Input::Fetched { row, incarnation } if incarnation == self.memory.incarnation() => {
                self.fetching.retain(|(fetched, _)| *fetched != row);
                self.memory.loaded(now, &row);
            }
            Input::Import {
                row,
                version,
                blocks,
            } => self.cache.keep(now, &owner(&row, &version), &blocks),
            Input::Silence => self.streams.values_mut().for_each(|s| s.reader = None),
            Input::Leave(leaving) => self.memory.leaving = leaving,
            Input::LoseOrders(one_in) => self.order_loss = one_in,
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
        let due: Vec<(Time, Order)> = self.late.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in due {
            self.carry_out(now, &order, out);
        }
        if self.next_step.is_some_and(|at| at <= now) {
            self.step(now, out);
        }
        self.admit(now, out);
        while self.kept.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, name)) = self.kept.pop_front() {
                self.streams.remove(&name);
            }
        }
        self.note_change(now);
    }

    fn call(&mut self, now: Time, ticket: Ticket, call: Call, out: &mut Vec<Output>) {
        let name = header(&call, STREAM).cloned();
        let name = name.unwrap_or_else(|| format!("ticket-{}", ticket.0).into());
        let completion = match Completion::read(&call.path, &call.body) {
            Ok(completion) => completion,
            Err(error) => return answer(ticket, 400, &error.to_string(), out),
        };
        if self.streams.contains_key(&name) {
            return answer(ticket, 409, "the stream exists", out);
        }
        if self.memory.leaving || self.queue.len() >= self.settings.queue {
            return answer(ticket, 503, "full or leaving", out);
        }
        let row = completion.model.clone();
        let Some(version) = self.memory.begin(&row) else {
            return answer(ticket, 404, &format!("model {row:?} is not ready"), out);
        };
        let priority = header(&call, PRIORITY).and_then(|label| Priority::from_label(label));
        let priority = priority.unwrap_or_default();
        self.arrivals += 1;
        let stream = Stream {
            prefix: hash::prefix_blocks(&row, &completion.prompt),
            writer: Writer::new(completion, version.clone()),
            owner: owner(&row, &version),
            row,
            version,
            priority,
            arrival: self.arrivals,
            call,
            phase: Phase::Waiting,
            tokens: 0,
            body: Vec::new(),
            reader: Some(Reader {
                ticket,
                offset: 0,
                has_head: false,
            }),
        };
        self.queue.insert((priority, self.arrivals, name.clone()));
        self.streams.insert(name, stream);
        self.admit(now, out);
    }

    fn resume(&mut self, ticket: Ticket, name: &str, offset: u64, out: &mut Vec<Output>) {
        let Some(stream) = self.streams.get_mut(name) else {
            return answer(ticket, 404, "no such stream", out);
        };
        match usize::try_from(offset) {
            Ok(offset) if offset <= stream.body.len() => stream.resume(ticket, offset, out),
            _ => answer(ticket, 416, "the offset lies ahead of the stream", out),
        }
    }

    fn cancel(&mut self, now: Time, ticket: Ticket, name: &str, out: &mut Vec<Output>) {
        let Some(stream) = self.streams.remove(name) else {
            return answer(ticket, 404, "no such stream", out);
        };
        if let Some(Reader { ticket, .. }) = stream.reader {
            let fault = Fault::Broken;
            out.push(Output::Fault { ticket, fault });
        }
        self.queue
            .remove(&(stream.priority, stream.arrival, name.into()));
        self.batch.retain(|running| **running != *name);
        if stream.phase == Phase::Whole {
            self.kept.retain(|(_, kept)| **kept != *name);
        } else {
            self.memory.end(&stream.row, &stream.version);
        }
        answer(ticket, 200, "cancelled", out);
        self.admit(now, out);
    }

    fn gone(&mut self, ticket: Ticket) {
        self.streams
            .values_mut()
            .filter(|stream| stream.reader.is_some_and(|reader| reader.ticket == ticket))
            .for_each(|stream| stream.reader = None);
    }

    /// Moves waiting streams into the batch, the most urgent first, each when the prompt
    /// before it has been read.
    fn admit(&mut self, now: Time, out: &mut Vec<Output>) {
        while self.batch.len() < self.settings.slots && self.prefill_free <= now {
            let Some((.., name)) = self.queue.pop_first() else {
                break;
            };
            let Some(stream) = self.streams.get_mut(&name) else {
                continue;
            };
            self.runs
                .push(Run::new(name.clone(), stream.row.clone(), &stream.call));
            if is_poisonous(&stream.call) {
                return self.crash(now, out);
            }
            let missing = stream.prefix.len() - self.cache.hits(&stream.owner, &stream.prefix);
            // The end of the prompt that fills no block is always read.
            let blocks = u32::try_from(missing + 1).unwrap_or(u32::MAX);
            let until = self.prefill_free.max(now) + self.settings.prefill_block * blocks;
            self.prefill_free = until;
            stream.phase = Phase::Prefill(until);
            self.cache.keep(now, &stream.owner, &stream.prefix);
            self.batch.push(name);
        }
        if self.next_step.is_none() && !self.batch.is_empty() {
            self.next_step = Some(now + self.step_time());
        }
    }

    fn step(&mut self, now: Time, out: &mut Vec<Output>) {
        let kept_until = now + self.settings.keep;
        let mut batch = std::mem::take(&mut self.batch);
        batch.retain(|name| {
            let Some(stream) = self.streams.get_mut(name) else {
                return false;
            };
            let whole = stream.step(now);
            if whole {
                stream.phase = Phase::Whole;
                self.kept.push_back((kept_until, name.clone()));
                self.memory.end(&stream.row, &stream.version);
            }
            stream.flush(out);
            !whole
        });
        self.batch = batch;
        self.next_step = None;
        self.admit(now, out);
    }

    fn step_time(&self) -> Duration {
        let others = u32::try_from(self.batch.len().saturating_sub(1)).unwrap_or(u32::MAX);
        self.settings.token + self.settings.token_per_stream * others
    }

    fn hang(&mut self, now: Time, hung: bool) {
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
        self.kept.clear();
        self.next_step = None;
        self.prefill_free = now;
        self.cache = Cache::new(self.settings.cache_blocks, self.settings.event_gap);
        self.late.clear();
        self.fetching.clear();
        self.snapshots.clear();
        // The memory is empty from here on; the new life begins when it is up again.
        self.memory.restart(self.memory.incarnation());
        self.down_until = Some(now + self.settings.restart);
        out.push(Output::Down);
    }
}

/// Owner of cached blocks.
fn owner(row: &str, version: &str) -> Name {
    format!("{row}@{version}").into()
}

/// Answers an input that reaches a process which is down.
fn refuse(input: &Input, out: &mut Vec<Output>) {
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

fn answer(ticket: Ticket, status: u16, message: &str, out: &mut Vec<Output>) {
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
