//! Records that are missing in the log when the owner changes, although claims were
//! granted on them. The host that keeps copies sends them to the new owner.

use crate::{
    context::Context,
    intents::{Intents, State},
    owner::{self, Owner},
    record::{Kind, Record},
    witness::WitnessedRecords,
};
use mulberryrack_core::note::Level;
use std::{collections::BTreeSet, time::Duration};

impl Owner {
    /// Appends the records of a former owner that the log lacks. Returns whether none of
    /// them still waits to become durable; the sender may then drop its copies.
    pub fn merge_records(&mut self, context: &mut Context, records: &[Record]) -> bool {
        let mut intents = Intents::default();
        for record in records {
            intents.apply(record, 0, State::Durable);
        }
        let ids: BTreeSet<u128> = records.iter().map(|record| record.id).collect();
        let mut none_pending = true;
        for id in ids {
            let Some(intent) = intents.get(id).copied() else {
                continue;
            };
            match self.intents.get(id) {
                Some(own) if own.claim() == intent.claim() => {
                    none_pending &= own.state != State::Pending;
                }
                Some(own) if own.state == State::Gap => {}
                Some(_) => context.log_event(Level::Error, "ledger-record-conflict", self.shard),
                None => {
                    none_pending = false;
                    let record = Record {
                        body: intent.body,
                        request: intent.request,
                        ..owner::bare_record(Kind::Intent, id, intent.claim())
                    };
                    self.append(context, record, Duration::ZERO);
                }
            }
        }
        none_pending
    }

    /// The records that the successor had confirmed and the log lacks, kept when this host
    /// stops being the owner; `None` if there are none.
    pub fn unlogged_records(&self, context: &Context) -> Option<WitnessedRecords> {
        let records = self.pending.iter().take(self.witnessed);
        (self.witnessed > 0).then(|| WitnessedRecords {
            owner: context.me.clone(),
            epoch: self.header.epoch,
            records: (self.committed..)
                .zip(records.map(|pending| pending.record))
                .collect(),
        })
    }
}
