//! Copies of pending records on the successor. While the key-value service is slow or
//! down, a record is durable once the successor has confirmed its copy.

use crate::{
    context::{Context, Liveness},
    life::Life,
    owner::Owner,
    record::{self, Kind, MAX_RECORD_BYTES, Record},
};
use mulberryrack_core::{Time, note::Counter};
use mulberryrack_wire::ledger::{Witness, Witnessed, frame::Body};
use std::{collections::BTreeMap, time::Duration};

/// The owner's side: sends records to the successor, one batch at a time.
#[derive(Debug, Default)]
pub struct WitnessSender {
    batch: Option<Batch>,
    /// The host that the batches go to.
    witness: Option<Life>,
    /// Whether the successor has copies that it must be told to drop once the log has them.
    has_copies: bool,
}

/// Records sent to the successor and not confirmed yet.
#[derive(Debug)]
struct Batch {
    /// Number of the first record, counted from zero in the epoch.
    first: u64,
    /// Number of records.
    count: usize,
    resend_at: Time,
    interval: Duration,
}

/// The successor's side: copies of an owner's records in one epoch.
#[derive(Debug)]
pub struct WitnessedRecords {
    /// The owner that sent the records.
    pub owner: Life,
    /// The owner's epoch.
    pub epoch: u64,
    /// The copies by their number in the epoch.
    pub records: BTreeMap<u64, Record>,
}

impl WitnessedRecords {
    /// Adds the records of a batch and drops the copies of records that the log has.
    pub fn apply_batch(&mut self, witness: &Witness, records: Vec<Record>) {
        self.records = self.records.split_off(&witness.committed);
        self.records.extend(
            (witness.first..)
                .zip(records)
                .filter(|(number, _)| *number >= witness.committed),
        );
    }
}

impl Owner {
    /// Sends records to the successor that have waited too long for the service. Returns
    /// when to poll again.
    pub fn poll_witness(&mut self, context: &mut Context) -> Option<Time> {
        let witness = self.current_witness(context);
        if witness != self.witness_sender.witness {
            self.witness_sender = WitnessSender {
                witness,
                ..WitnessSender::default()
            };
        }
        let successor = self.witness_sender.witness.clone()?;
        self.drop_committed_batch();
        if self.is_batch_due(context) {
            let batch = self.witness_sender.batch.as_ref()?;
            let (first, count) = (batch.first, batch.count);
            self.send_batch(context, &successor, first, count);
            return self
                .witness_sender
                .batch
                .as_ref()
                .map(|batch| batch.resend_at);
        }
        if let Some(batch) = &self.witness_sender.batch {
            return Some(batch.resend_at);
        }
        let Some(due) = self.witness_due(context) else {
            self.send_drop(context, &successor);
            return None;
        };
        if due > context.now {
            return Some(due);
        }
        self.start_batch(context, &successor)
    }

    /// Handles the successor's answer: the records that it has confirmed are durable.
    pub fn handle_witnessed(&mut self, context: &mut Context, from: &Life, answer: &Witnessed) {
        let witness = self.current_witness(context);
        if answer.epoch != self.header.epoch || witness.as_ref() != Some(from) {
            return;
        }
        let matches = self.witness_sender.batch.as_ref().is_some_and(|batch| {
            batch.first == answer.first && batch.count == answer.count as usize
        });
        if !matches || !answer.kept {
            return;
        }
        self.witness_sender.batch = None;
        self.witness_sender.has_copies = true;
        let start = answer.first.saturating_sub(self.committed);
        let start = usize::try_from(start).unwrap_or(usize::MAX);
        let end = (answer.first + u64::from(answer.count)).saturating_sub(self.committed);
        let end = usize::try_from(end)
            .unwrap_or(usize::MAX)
            .min(self.pending.len());
        if start > self.witnessed {
            return;
        }
        for index in self.witnessed..end {
            self.witnessed = index + 1;
            let record = self.pending[index].record;
            if record.kind == Kind::Intent {
                context.count(Counter::IntentWitnessed);
            }
            self.handle_durable(context, &record);
        }
    }

    /// The host that may keep copies now: the successor that the log names. If that host is
    /// down, no other host replaces it, since it may have taken over before. If the log
    /// names no successor, no host can take over before this host is gone, so any host may
    /// keep copies.
    fn current_witness(&self, context: &mut Context) -> Option<Life> {
        if !self.established || !self.header.witness {
            return None;
        }
        let next = self.next_successor()?;
        let Some(named) = &self.header.successor else {
            return next.or_else(|| context.own_successor(self.shard));
        };
        // If the entry being written names another successor, no host may keep copies now:
        // that successor lacks the copies sent to the one that it replaces.
        let usable = matches!(context.liveness(named), Liveness::Up | Liveness::Leaving);
        (usable && next.as_ref() == Some(named)).then(|| named.clone())
    }

    /// Drops a batch whose records have all been committed to the log meanwhile.
    fn drop_committed_batch(&mut self) {
        let committed = self.committed;
        if let Some(batch) = &self.witness_sender.batch
            && batch.first + batch.count as u64 <= committed
        {
            self.witness_sender.batch = None;
            self.witness_sender.has_copies = true;
        }
    }

    fn is_batch_due(&self, context: &Context) -> bool {
        self.witness_sender
            .batch
            .as_ref()
            .is_some_and(|batch| batch.resend_at <= context.now)
    }

    /// When the first record that is not durable must go to the successor: after
    /// [`crate::Settings::witness_delay`], or without that delay if the service fails.
    fn witness_due(&self, context: &Context) -> Option<Time> {
        let failing = self.entry_write.as_ref().is_some_and(|write| write.failed);
        let pending = self.pending.get(self.witnessed)?;
        Some(if failing {
            pending.due
        } else {
            pending.due + context.settings.witness_delay
        })
    }

    fn start_batch(&mut self, context: &mut Context, successor: &Life) -> Option<Time> {
        let start = self.witnessed;
        let max_records = (context.settings.entry_bytes as usize / MAX_RECORD_BYTES).max(1);
        let count = (self.pending.len() - start).min(max_records);
        self.witness_sender.batch = Some(Batch {
            first: self.committed + start as u64,
            count,
            resend_at: context.now,
            interval: context.settings.retransmit_interval / 2,
        });
        self.mark_sent(context, start + count);
        let first = self.committed + start as u64;
        self.send_batch(context, successor, first, count);
        self.witness_sender
            .batch
            .as_ref()
            .map(|batch| batch.resend_at)
    }

    /// Sends the batch without the records that have been committed to the log meanwhile.
    fn send_batch(&mut self, context: &mut Context, successor: &Life, first: u64, count: usize) {
        let skip = usize::try_from(first.saturating_sub(self.committed)).unwrap_or(usize::MAX);
        let committed_count =
            usize::try_from(self.committed.saturating_sub(first)).unwrap_or(usize::MAX);
        let records = self
            .pending
            .iter()
            .skip(skip)
            .take(count.saturating_sub(committed_count))
            .map(|pending| &pending.record);
        let witness = Witness {
            shard: self.shard,
            epoch: self.header.epoch,
            first: first + committed_count as u64,
            committed: self.committed,
            records: Some(record::records_to_wire(records, &context.interner)),
        };
        if let Some(batch) = &mut self.witness_sender.batch {
            batch.first = witness.first;
            batch.count = count - committed_count;
            batch.interval = (batch.interval * 2).min(context.settings.retransmit_interval * 8);
            batch.resend_at = context.now + batch.interval;
        }
        context.send(successor, Body::Witness(witness));
    }

    /// Tells the successor to drop its copies once the log has all records.
    fn send_drop(&mut self, context: &mut Context, successor: &Life) {
        if !self.witness_sender.has_copies || !self.pending.is_empty() {
            return;
        }
        self.witness_sender.has_copies = false;
        let witness = Witness {
            shard: self.shard,
            epoch: self.header.epoch,
            first: self.committed,
            committed: self.committed,
            records: None,
        };
        context.send(successor, Body::Witness(witness));
    }
}
