//! Group commit: one entry carries every record that waits in a shard.

use crate::{
    context::{Context, Vital},
    life::Life,
    log::{self, Header, LoggedEntry},
    owner::Owner,
    record::{self, Kind, MAX_RECORD_BYTES, Record},
};
use bytes::Bytes;
use mulberryrack_core::{
    Time, earliest, kv,
    note::{Counter, Level},
};

/// An entry on its way to the service. It is written again, unchanged, until the
/// position holds this entry or another one.
#[derive(Debug)]
pub struct Flight {
    /// The call under way; `None` between two calls.
    pub token: Option<kv::Token>,
    /// When the call is given up, or made again.
    pub again: Time,
    /// Whether a call has failed.
    pub failed: bool,
    header: Header,
    value: Bytes,
    records: Vec<Record>,
    /// How many of the records are the first ones of the stream.
    streamed: usize,
}

/// What comes of a call for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It goes on.
    Stay,
    /// Another host has written to the log.
    Superseded,
    /// The shard is handed over.
    HandedOver,
}

impl Owner {
    /// Begins to write an entry with `records`, of which `streamed` are in the stream.
    pub fn launch(
        &mut self,
        context: &mut Context,
        header: Header,
        records: Vec<Record>,
        streamed: usize,
    ) {
        let value = log::encode_entry(&header, records.iter(), &context.interner);
        self.flight = Some(Flight {
            token: None,
            again: context.now,
            failed: false,
            header,
            value,
            records,
            streamed,
        });
        self.expose(context, streamed);
        self.fly(context);
    }

    /// Notes that the first records of the stream may be known outside.
    pub fn expose(&mut self, context: &Context, count: usize) {
        if self.exposed <= self.kept && count > self.exposed {
            self.progress = context.now;
        }
        self.exposed = self.exposed.max(count);
    }

    /// Writes what is due.
    pub fn pump_commit(&mut self, context: &mut Context) -> Option<Time> {
        if let Some(flight) = &mut self.flight {
            if flight.again > context.now {
                return Some(flight.again);
            }
            if flight.token.take().is_some() {
                flight.failed = true;
            }
            if let Some(later) = context.blocked() {
                flight.again = later;
                return Some(later);
            }
            self.fly(context);
            return self.flight.as_ref().map(|flight| flight.again);
        }
        let due = self.due(context)?;
        if due > context.now {
            return Some(due);
        }
        if self
            .compactor
            .would_overwrite(context, self.header.sequence)
        {
            return None;
        }
        if let Some(later) = context.blocked() {
            return Some(later);
        }
        self.flush(context);
        earliest(self.flight.as_ref().map(|flight| flight.again), None)
    }

    /// The service has answered the write of an entry.
    pub fn written(&mut self, context: &mut Context, outcome: kv::Outcome) -> Step {
        let Some(mut flight) = self.flight.take() else {
            return Step::Stay;
        };
        match outcome {
            Ok(kv::Reply::Written(revision)) => self.commit(context, flight, revision),
            Ok(kv::Reply::Conflict(Some(entry))) if flight.wrote(&entry) => {
                self.commit(context, flight, entry.revision)
            }
            Ok(_) => Step::Superseded,
            Err(_) => {
                flight.token = None;
                flight.failed = true;
                let pause = context.settings.call_retry;
                flight.again = context.now + context.jitter(pause);
                self.flight = Some(flight);
                Step::Stay
            }
        }
    }

    /// Whether the entry on its way names another owner.
    pub fn handing_over(&self) -> bool {
        self.flight
            .as_ref()
            .is_some_and(|flight| flight.header.owner != self.header.owner)
    }

    /// The successor once the entry on its way is written; nothing while the shard is
    /// handed over.
    #[allow(clippy::option_option)]
    pub fn next_successor(&self) -> Option<Option<Life>> {
        if self.handing_over() {
            return None;
        }
        let header = self
            .flight
            .as_ref()
            .map_or(&self.header, |flight| &flight.header);
        Some(header.successor.clone())
    }

    /// Header of the next entry if nothing but the records changes.
    pub fn next_header(&self, context: &mut Context) -> Header {
        Header {
            sequence: self.header.sequence + 1,
            writer: context.me.clone(),
            nonce: context.nonce(),
            stamp_ms: context.wall_ms().max(self.header.stamp_ms),
            first_record: self.committed,
            ..self.header.clone()
        }
    }

    /// When the next entry should be written.
    fn due(&self, context: &mut Context) -> Option<Time> {
        if self.closing.is_some() || self.successor_wanted(context).is_some() {
            return Some(context.now);
        }
        if self.stream.len() * MAX_RECORD_BYTES >= context.settings.entry_bytes as usize {
            return Some(context.now);
        }
        self.soonest
    }

    fn flush(&mut self, context: &mut Context) {
        let most = (context.settings.entry_bytes as usize / MAX_RECORD_BYTES).max(1);
        let records: Vec<Record> = self
            .stream
            .iter()
            .take(most)
            .map(|pending| pending.record)
            .collect();
        let count = records.len();
        let mut header = self.next_header(context);
        let all = count == self.stream.len();
        let witnessed_later = self.kept > count;
        match self.closing.clone() {
            Some(closing) if count == 0 => self.hand_over(context, &mut header, closing.to),
            _ if all || !witnessed_later => self.name_successor(context, &mut header),
            _ => {}
        }
        self.launch(context, header, records, count);
    }

    fn hand_over(&self, context: &Context, header: &mut Header, to: Option<Life>) {
        header.epoch += 1;
        header.first_record = 0;
        header.successor = to
            .as_ref()
            .filter(|_| context.settings.witness)
            .and_then(|to| context.successor(self.shard, to));
        header.owner = to;
        header.witness = header.successor.is_some();
    }

    fn name_successor(&self, context: &mut Context, header: &mut Header) {
        if let Some(successor) = self.successor_wanted(context) {
            header.successor = Some(successor);
        }
        header.witness = context.settings.witness && header.successor.is_some();
    }

    /// A new successor, if the one in the log is missing or cannot serve.
    fn successor_wanted(&self, context: &mut Context) -> Option<Life> {
        if !context.settings.witness || !self.established {
            return None;
        }
        if let Some(named) = &self.header.successor
            && context.vital(named) == Vital::Able
        {
            return None;
        }
        let wanted = context.heir(self.shard)?;
        (self.header.successor.as_ref() != Some(&wanted)).then_some(wanted)
    }

    fn fly(&mut self, context: &mut Context) {
        let Some(flight) = &mut self.flight else {
            return;
        };
        let position = position(context, flight.header.sequence);
        let op = kv::Op::Put {
            key: log::position_key(context, self.shard, flight.header.sequence),
            value: flight.value.clone(),
            expect: self.positions[position],
            lease: None,
        };
        flight.token = Some(context.call(self.shard, op));
        flight.again = context.now + context.settings.call_timeout;
        context.spend();
    }

    fn commit(&mut self, context: &mut Context, flight: Flight, revision: kv::Revision) -> Step {
        let position = position(context, flight.header.sequence);
        self.positions[position] = Some(revision);
        self.compactor.add(LoggedEntry {
            sequence: flight.header.sequence,
            stamp_ms: flight.header.stamp_ms,
            records: record::records_to_wire(flight.records.iter(), &context.interner),
        });
        let intents = flight
            .records
            .iter()
            .filter(|record| record.kind == Kind::Intent)
            .count();
        (0..intents).for_each(|_| context.count(Counter::IntentRecorded));
        if !self.established {
            context.count(Counter::ShardTaken);
            context.note(Level::Info, "shard-taken", self.shard);
        }
        self.established = true;
        self.committed = flight.header.first_record + flight.records.len() as u64;
        self.header = flight.header;
        self.exposed = self.exposed.saturating_sub(flight.streamed);
        let done: Vec<_> = self.stream.drain(..flight.streamed).collect();
        let kept = self.kept;
        self.kept = kept.saturating_sub(flight.streamed);
        self.soonest = self.stream.iter().map(|pending| pending.due).min();
        for pending in done.iter().skip(kept) {
            self.harden(context, &pending.record);
        }
        if self.header.owner.as_ref() == Some(&context.me) {
            Step::Stay
        } else {
            Step::HandedOver
        }
    }
}

impl Flight {
    /// Whether an entry found at the position is this one.
    fn wrote(&self, entry: &kv::Entry) -> bool {
        log::decode_entry(&entry.value).is_some_and(|(header, _)| {
            header.writer == self.header.writer && header.nonce == self.header.nonce
        })
    }
}

fn position(context: &Context, sequence: u64) -> usize {
    usize::try_from(sequence % u64::from(context.settings.positions)).expect("a small number")
}
