//! A proposal of an operator: one conditional write decides who comes first.

use crate::{
    Settings, Verdict,
    load::{HEAD, SNAPSHOT, decode, key},
    record,
};
use bytes::Bytes;
use mulberryrack_core::{
    Time,
    kv::{Entry, Fault, Op, Outcome, Reply, Revision},
};
use mulberryrack_table::Table;
use mulberryrack_wire::member::Record;
use prost::Message;
use std::{sync::Arc, time::Duration};

/// Most bytes of a table as a whole; the service takes a little more.
const MAX_RECORD: usize = 1_000_000;
/// Time between two tries of a call that failed.
const RETRY: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
enum Stage {
    /// Read the newest version.
    Head,
    /// Keep the version that is about to be replaced.
    Archive { head: Entry },
    /// Read whether the write that keeps it has taken effect.
    Archived { head: Entry },
    /// Replace it. The write carries the change id, and repeating it is harmless: only
    /// one write can find the expected revision.
    Swap {
        expect: Option<Revision>,
        record: Record,
    },
    /// Read which change became the version that was proposed.
    Lookup,
    /// It was another change: wait until its table, or a later one, is in force here.
    Beaten { version: u64 },
}

/// What comes of a step.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Not decided yet.
    Open,
    /// Not decided yet; another version was seen in the service.
    Seen(Record, Revision),
    /// The proposal is now the newest version.
    Won(Box<Record>, Revision),
    /// It had become this version before, by an earlier try.
    WonBefore(u64),
    /// Decided otherwise.
    Ended(Verdict),
}

/// A proposal under way.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub ticket: u64,
    parent: u64,
    table: Table,
    until: Time,
    retry_at: Time,
    in_flight: bool,
    stage: Stage,
    /// Whether a write may have taken effect without an answer.
    doubt: bool,
}

impl Proposal {
    /// A proposal of a table to follow the version before it.
    pub fn new(ticket: u64, table: Table, now: Time, settings: &Settings) -> Self {
        Self {
            ticket,
            parent: table.version - 1,
            table,
            until: now + settings.accept,
            retry_at: now,
            in_flight: false,
            stage: Stage::Head,
            doubt: false,
        }
    }

    /// Whether the table can be stored and will be adopted by every host.
    pub fn is_valid(&self) -> bool {
        let sorted = self.table.rows.is_sorted_by(|a, b| a.name < b.name);
        sorted && record::full(&self.table).encoded_len() <= MAX_RECORD
    }

    pub fn next_wake(&self) -> Time {
        if self.in_flight {
            self.until
        } else {
            self.until.min(self.retry_at)
        }
    }

    /// The verdict when time is over, or when the table of the winner is in force.
    pub fn settle(&self, now: Time, mine: Option<&Arc<Table>>) -> Option<Verdict> {
        if let Stage::Beaten { version } = self.stage
            && let Some(table) = mine.filter(|table| table.version >= version)
        {
            return Some(Verdict::Lost {
                winner: table.clone(),
            });
        }
        let beaten = matches!(self.stage, Stage::Beaten { .. });
        (now >= self.until).then_some(if self.doubt && !beaten {
            Verdict::Unknown
        } else {
            Verdict::NotWritten
        })
    }

    /// The next call, if it is time for one.
    pub fn op(&mut self, now: Time, mine: Option<&Table>) -> Option<Op> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let op = match &self.stage {
            Stage::Head => Op::Get { key: HEAD.into() },
            Stage::Archive { head } => Op::Put {
                key: key(self.parent),
                value: self.archived(head, mine),
                expect: None,
                lease: None,
            },
            Stage::Archived { .. } => Op::Get {
                key: key(self.parent),
            },
            Stage::Swap { expect, record } => Op::Put {
                key: HEAD.into(),
                value: record.encode_to_vec().into(),
                expect: *expect,
                lease: None,
            },
            Stage::Lookup => Op::Get {
                key: key(self.parent + 1),
            },
            Stage::Beaten { .. } => return None,
        };
        self.in_flight = true;
        Some(op)
    }

    /// What is kept of the version before: a whole table now and then.
    fn archived(&self, head: &Entry, mine: Option<&Table>) -> Bytes {
        let base = mine.filter(|_| self.parent.is_multiple_of(SNAPSHOT));
        base.filter(|base| self.is_base(base, head)).map_or_else(
            || head.value.clone(),
            |base| record::full(base).encode_to_vec().into(),
        )
    }

    fn is_base(&self, table: &Table, head: &Entry) -> bool {
        table.version == self.parent
            && decode(&head.value).is_some_and(|record| *record.change == *table.change)
    }

    /// Takes in what came of the call.
    pub fn take(&mut self, now: Time, outcome: Outcome, mine: Option<&Table>) -> Step {
        self.in_flight = false;
        let stage = self.stage.clone();
        match (stage, outcome) {
            (Stage::Head, Ok(Reply::Entry(Some(entry)))) => self.judge(now, entry),
            (Stage::Swap { .. }, Ok(Reply::Conflict(Some(entry)))) => {
                self.retry_at = now + RETRY;
                self.judge(now, entry)
            }
            (Stage::Head, Ok(Reply::Entry(None))) if self.parent == 0 => {
                self.swap(None, None);
                Step::Open
            }
            (Stage::Archive { head }, Ok(Reply::Written(_) | Reply::Conflict(_)))
            | (Stage::Archived { head }, Ok(Reply::Entry(Some(_)))) => {
                let base = mine.filter(|base| self.is_base(base, &head));
                self.swap(Some(head.revision), base);
                Step::Open
            }
            (Stage::Swap { record, .. }, Ok(Reply::Written(revision))) => {
                Step::Won(Box::new(record), revision)
            }
            (Stage::Lookup, Ok(Reply::Entry(Some(entry)))) => self.look(now, &entry),
            (Stage::Lookup, Ok(Reply::Entry(None))) => {
                // Too old to be told: it was dropped from the history.
                Step::Ended(Verdict::Unknown)
            }
            (stage, outcome) => {
                self.retry_at = now + RETRY;
                self.stage = self.after_fault(stage, &outcome);
                Step::Open
            }
        }
    }

    /// A write whose answer was lost is read back before it is tried again.
    fn after_fault(&mut self, stage: Stage, outcome: &Outcome) -> Stage {
        match (stage, outcome) {
            (Stage::Archive { head }, Err(Fault::Unknown)) => Stage::Archived { head },
            (Stage::Archived { head }, Ok(_)) => Stage::Archive { head },
            (Stage::Swap { .. }, Err(Fault::Unknown)) => {
                self.doubt = true;
                Stage::Head
            }
            (stage, _) => stage,
        }
    }

    fn swap(&mut self, expect: Option<Revision>, base: Option<&Table>) {
        let record = base.map_or_else(
            || record::full(&self.table),
            |base| record::step(base, &self.table),
        );
        self.stage = Stage::Swap { expect, record };
    }

    /// Decides by the newest version in the service.
    fn judge(&mut self, now: Time, entry: Entry) -> Step {
        let Some(head) = decode(&entry.value) else {
            self.retry_at = now + RETRY;
            return Step::Open;
        };
        let revision = entry.revision;
        let wanted = self.parent + 1;
        if head.version == wanted && *head.change == *self.table.change {
            return Step::Won(Box::new(head), revision);
        }
        self.stage = match head.version {
            version if version == self.parent => Stage::Archive { head: entry },
            version if version == wanted => Stage::Beaten { version },
            version if version > wanted => Stage::Lookup,
            _ => {
                // An answer from the past: the operator has seen a newer version.
                self.retry_at = now + RETRY;
                Stage::Head
            }
        };
        Step::Seen(head, revision)
    }

    fn look(&mut self, now: Time, entry: &Entry) -> Step {
        let Some(record) = decode(&entry.value) else {
            self.retry_at = now + RETRY;
            return Step::Open;
        };
        if *record.change == *self.table.change {
            return Step::WonBefore(record.version);
        }
        self.stage = Stage::Beaten {
            version: record.version,
        };
        Step::Open
    }
}
