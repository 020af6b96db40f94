//! Copies of records with the successor, for when the service does not take them.

use crate::{
    context::{Context, Vital},
    life::Life,
    owner::Owner,
    record::{self, Kind, MAX_RECORD_BYTES, Record},
};
use mulberryrack_core::{Time, note::Counter};
use mulberryrack_wire::ledger::{Witness, Witnessed, frame::Body};
use std::{collections::BTreeMap, time::Duration};

/// The owner's side: one batch under way at a time.
#[derive(Debug, Default)]
pub struct Courier {
    batch: Option<Batch>,
    /// Who keeps records.
    keeper: Option<Life>,
    /// Whether the successor keeps records that it may drop once they are in the log.
    owing: bool,
}

/// Records under way to the successor.
#[derive(Debug)]
struct Batch {
    first: u64,
    count: usize,
    again: Time,
    pause: Duration,
}

/// The successor's side: records of one epoch of an owner.
#[derive(Debug)]
pub struct Copy {
    /// The owner.
    pub owner: Life,
    /// Its epoch.
    pub epoch: u64,
    /// By number.
    pub records: BTreeMap<u64, Record>,
}

impl Copy {
    /// Keeps the records of a batch and drops those that are in the log.
    pub fn keep(&mut self, witness: &Witness, records: Vec<Record>) {
        self.records = self.records.split_off(&witness.committed);
        self.records.extend(
            (witness.first..)
                .zip(records)
                .filter(|(number, _)| *number >= witness.committed),
        );
    }
}

impl Owner {
    /// Copies to the successor what has waited for the service too long.
    pub fn pump_witness(&mut self, context: &mut Context) -> Option<Time> {
        let keeper = self.keeper(context);
        if keeper != self.courier.keeper {
            self.courier = Courier {
                keeper,
                ..Courier::default()
            };
        }
        let successor = self.courier.keeper.clone()?;
        self.drop_obsolete();
        if self.batch_due(context) {
            let batch = self.courier.batch.as_ref()?;
            let (first, count) = (batch.first, batch.count);
            self.send_copy(context, &successor, first, count);
            return self.courier.batch.as_ref().map(|batch| batch.again);
        }
        if let Some(batch) = &self.courier.batch {
            return Some(batch.again);
        }
        let Some(late) = self.late(context) else {
            self.clear_copy(context, &successor);
            return None;
        };
        if late > context.now {
            return Some(late);
        }
        self.copy(context, &successor)
    }

    /// The successor has answered.
    pub fn witnessed(&mut self, context: &mut Context, from: &Life, answer: &Witnessed) {
        let keeper = self.keeper(context);
        if answer.epoch != self.header.epoch || keeper.as_ref() != Some(from) {
            return;
        }
        let matches = self.courier.batch.as_ref().is_some_and(|batch| {
            batch.first == answer.first && batch.count == answer.count as usize
        });
        if !matches || !answer.kept {
            return;
        }
        self.courier.batch = None;
        self.courier.owing = true;
        let start = answer.first.saturating_sub(self.committed);
        let start = usize::try_from(start).unwrap_or(usize::MAX);
        let end = (answer.first + u64::from(answer.count)).saturating_sub(self.committed);
        let end = usize::try_from(end)
            .unwrap_or(usize::MAX)
            .min(self.stream.len());
        if start > self.kept {
            return;
        }
        for index in self.kept..end {
            self.kept = index + 1;
            let record = self.stream[index].record;
            if record.kind == Kind::Intent {
                context.count(Counter::IntentWitnessed);
            }
            self.harden(context, &record);
        }
    }

    /// Who may keep records now: the successor that the log names, and nobody in its place
    /// when it is gone, since it may have taken over before. While the log names none,
    /// nobody can take over before this host is gone, and any host may keep them.
    fn keeper(&self, context: &mut Context) -> Option<Life> {
        if !self.established || !self.header.witness {
            return None;
        }
        let next = self.next_successor()?;
        let Some(named) = &self.header.successor else {
            return next.or_else(|| context.heir(self.shard));
        };
        // A successor that is being named would not have what this one keeps.
        let able = matches!(context.vital(named), Vital::Able | Vital::Leaving);
        (able && next.as_ref() == Some(named)).then(|| named.clone())
    }

    /// Forgets a batch whose records have all come into the log meanwhile.
    fn drop_obsolete(&mut self) {
        let committed = self.committed;
        if let Some(batch) = &self.courier.batch
            && batch.first + batch.count as u64 <= committed
        {
            self.courier.batch = None;
            self.courier.owing = true;
        }
    }

    fn batch_due(&self, context: &Context) -> bool {
        self.courier
            .batch
            .as_ref()
            .is_some_and(|batch| batch.again <= context.now)
    }

    /// When the first record that is not durable has waited long enough; at once where
    /// the service is known to fail.
    fn late(&self, context: &Context) -> Option<Time> {
        let failing = self.flight.as_ref().is_some_and(|flight| flight.failed);
        let pending = self.stream.get(self.kept)?;
        Some(if failing {
            pending.due
        } else {
            pending.due + context.settings.witness_after
        })
    }

    fn copy(&mut self, context: &mut Context, successor: &Life) -> Option<Time> {
        let start = self.kept;
        let most = (context.settings.entry_bytes as usize / MAX_RECORD_BYTES).max(1);
        let count = (self.stream.len() - start).min(most);
        self.courier.batch = Some(Batch {
            first: self.committed + start as u64,
            count,
            again: context.now,
            pause: context.settings.retransmit / 2,
        });
        self.expose(context, start + count);
        let first = self.committed + start as u64;
        self.send_copy(context, successor, first, count);
        self.courier.batch.as_ref().map(|batch| batch.again)
    }

    /// Sends the batch; records of it that are in the log by now are left out.
    fn send_copy(&mut self, context: &mut Context, successor: &Life, first: u64, count: usize) {
        let skip = usize::try_from(first.saturating_sub(self.committed)).unwrap_or(usize::MAX);
        let gone = usize::try_from(self.committed.saturating_sub(first)).unwrap_or(usize::MAX);
        let records = self
            .stream
            .iter()
            .skip(skip)
            .take(count.saturating_sub(gone))
            .map(|pending| &pending.record);
        let witness = Witness {
            shard: self.shard,
            epoch: self.header.epoch,
            first: first + gone as u64,
            committed: self.committed,
            records: Some(record::records_to_wire(records, &context.interner)),
        };
        if let Some(batch) = &mut self.courier.batch {
            batch.first = witness.first;
            batch.count = count - gone;
            batch.pause = (batch.pause * 2).min(context.settings.retransmit * 8);
            batch.again = context.now + batch.pause;
        }
        context.send(successor, Body::Witness(witness));
    }

    /// Lets the successor drop its copies once all records are in the log.
    fn clear_copy(&mut self, context: &mut Context, successor: &Life) {
        if !self.courier.owing || !self.stream.is_empty() {
            return;
        }
        self.courier.owing = false;
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
