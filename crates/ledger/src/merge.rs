//! Records that were granted on and are not in the log when the owner changes: whoever
//! kept them hands them in to the next owner.

use crate::{
    context::Context,
    intents::{Intents, State},
    owner::{self, Owner},
    record::{Kind, Record},
    witness::Copy,
};
use mulberryrack_core::note::Level;
use std::{collections::BTreeSet, time::Duration};

impl Owner {
    /// Adds records of a former owner; says whether all of them are in the log by now.
    pub fn merge(&mut self, context: &mut Context, records: &[Record]) -> bool {
        let mut intents = Intents::default();
        for record in records {
            intents.apply(record, 0, State::Durable);
        }
        let ids: BTreeSet<u128> = records.iter().map(|record| record.id).collect();
        let mut done = true;
        for id in ids {
            let Some(intent) = intents.get(id).copied() else {
                continue;
            };
            match self.intents.get(id) {
                Some(known) if known.claim() == intent.claim() => {
                    done &= known.state != State::Pending;
                }
                Some(known) if known.state == State::Gap => {}
                Some(_) => context.note(Level::Error, "ledger-record-conflict", self.shard),
                None => {
                    done = false;
                    let record = Record {
                        body: intent.body,
                        request: intent.request,
                        ..owner::plain(Kind::Intent, id, intent.claim())
                    };
                    self.push(context, record, Duration::ZERO);
                }
            }
        }
        done
    }

    /// Records that the successor kept and that are not in the log.
    pub fn leftover(&self, context: &Context) -> Option<Copy> {
        let records = self.stream.iter().take(self.kept);
        (self.kept > 0).then(|| Copy {
            owner: context.me.clone(),
            epoch: self.header.epoch,
            records: (self.committed..)
                .zip(records.map(|pending| pending.record))
                .collect(),
        })
    }
}
