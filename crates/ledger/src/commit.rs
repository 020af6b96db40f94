//! Group commit: one log entry carries the pending records of a shard, as many as fit.

use crate::{
    context::{Context, Liveness},
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

/// The write of one log entry. The same entry is written repeatedly until its ring
/// position holds it or an entry of another host.
#[derive(Debug)]
pub struct EntryWrite {
    /// Id of the call in flight; `None` between two calls.
    pub token: Option<kv::CallId>,
    /// When the call in flight times out, or when the next call is made.
    pub retry_at: Time,
    /// Whether a call of this write has failed or timed out.
    pub failed: bool,
    header: Header,
    value: Bytes,
    records: Vec<Record>,
    /// How many of the records are still in [`Owner::pending`], at its front.
    pending_count: usize,
}

/// Whether this host still owns the shard after a write has been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// This host remains the owner, also after a failed call.
    Retained,
    /// Another host has written to the log: it has taken over.
    Superseded,
    /// The written entry hands the shard over.
    HandedOver,
}

impl Owner {
    /// Starts the write of an entry with `records`, of which the first `pending_count` are
    /// at the front of `pending`.
    pub fn begin_write(
        &mut self,
        context: &mut Context,
        header: Header,
        records: Vec<Record>,
        pending_count: usize,
    ) {
        let value = log::encode_entry(&header, records.iter(), &context.interner);
        self.entry_write = Some(EntryWrite {
            token: None,
            retry_at: context.now,
            failed: false,
            header,
            value,
            records,
            pending_count,
        });
        self.mark_sent(context, pending_count);
        self.put_entry(context);
    }

    /// Marks the first `count` pending records as sent. The refusal timeout starts here if
    /// no unconfirmed record was sent before.
    pub fn mark_sent(&mut self, context: &Context, count: usize) {
        if self.sent <= self.witnessed && count > self.sent {
            self.last_progress = context.now;
        }
        self.sent = self.sent.max(count);
    }

    /// Continues the write of an entry, or starts the next if one is due. Returns when to
    /// poll again.
    pub fn poll_commit(&mut self, context: &mut Context) -> Option<Time> {
        if let Some(write) = &mut self.entry_write {
            if write.retry_at > context.now {
                return Some(write.retry_at);
            }
            if write.token.take().is_some() {
                write.failed = true;
            }
            if let Some(retry_at) = context.write_blocked_until() {
                write.retry_at = retry_at;
                return Some(retry_at);
            }
            self.put_entry(context);
            return self.entry_write.as_ref().map(|write| write.retry_at);
        }
        let due = self.next_entry_due(context)?;
        if due > context.now {
            return Some(due);
        }
        if self
            .compactor
            .would_overwrite(context, self.header.sequence)
        {
            return None;
        }
        if let Some(retry_at) = context.write_blocked_until() {
            return Some(retry_at);
        }
        self.write_next_entry(context);
        earliest(self.entry_write.as_ref().map(|write| write.retry_at), None)
    }

    /// Handles the outcome of an entry's write.
    pub fn handle_written(&mut self, context: &mut Context, outcome: kv::Outcome) -> Ownership {
        let Some(mut write) = self.entry_write.take() else {
            return Ownership::Retained;
        };
        match outcome {
            Ok(kv::Reply::Written(revision)) => self.commit(context, write, revision),
            Ok(kv::Reply::Conflict(Some(entry))) if write.is_stored_as(&entry) => {
                self.commit(context, write, entry.revision)
            }
            Ok(_) => Ownership::Superseded,
            Err(_) => {
                write.token = None;
                write.failed = true;
                let delay = context.settings.call_retry_delay;
                write.retry_at = context.now + context.jitter(delay);
                self.entry_write = Some(write);
                Ownership::Retained
            }
        }
    }

    /// Whether the entry being written names another owner.
    pub fn handing_over(&self) -> bool {
        self.entry_write
            .as_ref()
            .is_some_and(|write| write.header.owner != self.header.owner)
    }

    /// The successor that the log will name after the current write; the outer `None` means
    /// that the write hands the shard over.
    #[allow(clippy::option_option)]
    pub fn next_successor(&self) -> Option<Option<Life>> {
        if self.handing_over() {
            return None;
        }
        let header = self
            .entry_write
            .as_ref()
            .map_or(&self.header, |write| &write.header);
        Some(header.successor.clone())
    }

    /// Header of the next entry, with owner, successor and quarantine unchanged.
    pub fn next_header(&self, context: &mut Context) -> Header {
        Header {
            sequence: self.header.sequence + 1,
            writer: context.me.clone(),
            nonce: context.nonce(),
            stamp_ms: context.wall_clock_ms().max(self.header.stamp_ms),
            first_record: self.committed,
            ..self.header.clone()
        }
    }

    /// When the next entry should be written: at once for a handover, a new successor or
    /// enough records to fill an entry.
    fn next_entry_due(&self, context: &mut Context) -> Option<Time> {
        if self.handover.is_some() || self.replacement_successor(context).is_some() {
            return Some(context.now);
        }
        if self.pending.len() * MAX_RECORD_BYTES >= context.settings.entry_bytes as usize {
            return Some(context.now);
        }
        self.next_due
    }

    fn write_next_entry(&mut self, context: &mut Context) {
        let max_records = (context.settings.entry_bytes as usize / MAX_RECORD_BYTES).max(1);
        let records: Vec<Record> = self
            .pending
            .iter()
            .take(max_records)
            .map(|pending| pending.record)
            .collect();
        let count = records.len();
        let mut header = self.next_header(context);
        let takes_all = count == self.pending.len();
        let witnessed_beyond = self.witnessed > count;
        match self.handover.clone() {
            // The shard is handed over only once no record is pending.
            Some(handover) if count == 0 => self.name_owner(context, &mut header, handover.to),
            // While the present successor has the only copies of records beyond this entry, the
            // log must go on naming it.
            _ if takes_all || !witnessed_beyond => self.name_successor(context, &mut header),
            _ => {}
        }
        self.begin_write(context, header, records, count);
    }

    /// Makes the entry hand the shard over to the host `to`, which begins a new epoch.
    fn name_owner(&self, context: &Context, header: &mut Header, to: Option<Life>) {
        header.epoch += 1;
        header.first_record = 0;
        header.successor = to
            .as_ref()
            .filter(|_| context.settings.witness)
            .and_then(|to| context.best_successor(self.shard, to));
        header.owner = to;
        header.witness = header.successor.is_some();
    }

    /// Names a new successor in the entry if the present one is to be replaced.
    fn name_successor(&self, context: &mut Context, header: &mut Header) {
        if let Some(successor) = self.replacement_successor(context) {
            header.successor = Some(successor);
        }
        header.witness = context.settings.witness && header.successor.is_some();
    }

    /// The successor to name if the log names none, or one that is down or leaving.
    fn replacement_successor(&self, context: &mut Context) -> Option<Life> {
        if !context.settings.witness || !self.established {
            return None;
        }
        if let Some(named) = &self.header.successor
            && context.liveness(named) == Liveness::Up
        {
            return None;
        }
        let preferred = context.own_successor(self.shard)?;
        (self.header.successor.as_ref() != Some(&preferred)).then_some(preferred)
    }

    /// Makes the call that writes the entry, or makes it again.
    fn put_entry(&mut self, context: &mut Context) {
        let Some(write) = &mut self.entry_write else {
            return;
        };
        let position = ring_position(context, write.header.sequence);
        let op = kv::Op::Put {
            key: log::position_key(context, self.shard, write.header.sequence),
            value: write.value.clone(),
            expect: self.positions[position],
            lease: None,
        };
        write.token = Some(context.call_service(self.shard, op));
        write.retry_at = context.now + context.settings.call_timeout;
        context.spend_write();
    }

    /// Applies an entry that is in the log: its records are durable now.
    fn commit(
        &mut self,
        context: &mut Context,
        write: EntryWrite,
        revision: kv::Revision,
    ) -> Ownership {
        let position = ring_position(context, write.header.sequence);
        self.positions[position] = Some(revision);
        self.compactor.add(LoggedEntry {
            sequence: write.header.sequence,
            stamp_ms: write.header.stamp_ms,
            records: record::records_to_wire(write.records.iter(), &context.interner),
        });
        let intents = write
            .records
            .iter()
            .filter(|record| record.kind == Kind::Intent)
            .count();
        (0..intents).for_each(|_| context.count(Counter::IntentRecorded));
        if !self.established {
            context.count(Counter::ShardTaken);
            context.log_event(Level::Info, "shard-taken", self.shard);
        }
        self.established = true;
        self.committed = write.header.first_record + write.records.len() as u64;
        self.header = write.header;
        self.sent = self.sent.saturating_sub(write.pending_count);
        let logged: Vec<_> = self.pending.drain(..write.pending_count).collect();
        let witnessed = self.witnessed;
        self.witnessed = witnessed.saturating_sub(write.pending_count);
        self.next_due = self.pending.iter().map(|pending| pending.due).min();
        for pending in logged.iter().skip(witnessed) {
            self.handle_durable(context, &pending.record);
        }
        if self.header.owner.as_ref() == Some(&context.me) {
            Ownership::Retained
        } else {
            Ownership::HandedOver
        }
    }
}

impl EntryWrite {
    /// Whether the entry found at the position is the one that this write wrote.
    fn is_stored_as(&self, entry: &kv::Entry) -> bool {
        log::decode_entry(&entry.value).is_some_and(|(header, _)| {
            header.writer == self.header.writer && header.nonce == self.header.nonce
        })
    }
}

fn ring_position(context: &Context, sequence: u64) -> usize {
    usize::try_from(sequence % u64::from(context.settings.positions)).expect("a small number")
}
