//! A proposal of a table by an operator. A conditional write of the key of the newest
//! version decides which of several concurrent proposals is accepted.

use crate::{
    ProposalOutcome, Settings, record,
    table_read::{HEAD_KEY, VERSIONS_PER_SNAPSHOT, decode_record, version_key},
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

/// Maximum encoded size of a full table, slightly below the limit of the key-value service
/// on a value.
const MAX_RECORD_BYTES: usize = 1_000_000;
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a proposal does next, mostly the call to the key-value service that it makes or
/// waits for.
#[derive(Clone, Debug)]
enum Stage {
    /// Read the newest version.
    ReadHead,
    /// Copy the version to be replaced to its own key.
    Archive { head: Entry },
    /// Read whether the copy was written, after the answer to the write was lost.
    CheckArchive { head: Entry },
    /// Replace the newest version. The write carries the change id, and repeating it is
    /// harmless: only one write can find the expected revision.
    SwapHead {
        expect: Option<Revision>,
        record: Record,
    },
    /// Read which change became the proposed version, after later versions were stored.
    ReadWinner,
    /// Another change became the proposed version: wait until its table or a later one is
    /// in force on this host.
    AwaitWinner { version: u64 },
}

/// The result of a reply.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The proposal is not decided yet.
    Undecided,
    /// The proposal is not decided yet; the reply showed this newest version.
    HeadSeen(Record, Revision),
    /// The proposal has become the newest version.
    Accepted(Box<Record>, Revision),
    /// The same change had already become this version.
    Repeat(u64),
    /// The proposal has ended with another outcome.
    Ended(ProposalOutcome),
}

/// A proposal in progress.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub ticket: u64,
    /// Version that the proposal replaces; 0 if the proposal is the first table.
    parent: u64,
    table: Table,
    /// Name of the host at which the proposal is made.
    origin: String,
    deadline: Time,
    retry_at: Time,
    in_flight: bool,
    stage: Stage,
    /// Whether a write of the newest version may have been applied although its answer
    /// was lost.
    write_in_doubt: bool,
}

impl Proposal {
    /// A proposal of `table`, whose parent is the version one lower.
    pub fn new(ticket: u64, table: Table, origin: &str, now: Time, settings: &Settings) -> Self {
        Self {
            ticket,
            parent: table.version - 1,
            table,
            origin: origin.to_owned(),
            deadline: now + settings.accept_timeout,
            retry_at: now,
            in_flight: false,
            stage: Stage::ReadHead,
            write_in_doubt: false,
        }
    }

    /// Whether the rows are sorted by name, without which no host adopts the table, and the
    /// table is small enough to be stored.
    pub fn is_valid(&self) -> bool {
        let sorted = self.table.rows.is_sorted_by(|a, b| a.name < b.name);
        sorted && record::full(&self.table).encoded_len() <= MAX_RECORD_BYTES
    }

    pub fn next_wake(&self) -> Time {
        if self.in_flight {
            self.deadline
        } else {
            self.deadline.min(self.retry_at)
        }
    }

    /// The outcome once the deadline has passed, or once the table that was stored
    /// instead is in force.
    pub fn final_outcome(
        &self,
        now: Time,
        in_force: Option<&Arc<Table>>,
    ) -> Option<ProposalOutcome> {
        if let Stage::AwaitWinner { version } = self.stage
            && let Some(table) = in_force.filter(|table| table.version >= version)
        {
            return Some(ProposalOutcome::Conflict {
                winner: table.clone(),
            });
        }
        let lost_race = matches!(self.stage, Stage::AwaitWinner { .. });
        (now >= self.deadline).then_some(if self.write_in_doubt && !lost_race {
            ProposalOutcome::Unknown
        } else {
            ProposalOutcome::NotWritten
        })
    }

    /// The next call, if one is due.
    pub fn next_op(&mut self, now: Time, in_force: Option<&Table>) -> Option<Op> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let op = match &self.stage {
            Stage::ReadHead => Op::Get {
                key: HEAD_KEY.into(),
            },
            Stage::Archive { head } => Op::Put {
                key: version_key(self.parent),
                value: self.archive_value(head, in_force),
                expect: None,
                lease: None,
            },
            Stage::CheckArchive { .. } => Op::Get {
                key: version_key(self.parent),
            },
            Stage::SwapHead { expect, record } => Op::Put {
                key: HEAD_KEY.into(),
                value: record.encode_to_vec().into(),
                expect: *expect,
                lease: None,
            },
            Stage::ReadWinner => Op::Get {
                key: version_key(self.parent + 1),
            },
            Stage::AwaitWinner { .. } => return None,
        };
        self.in_flight = true;
        Some(op)
    }

    /// The value to store at the parent's own key: a record with all rows once every
    /// [`VERSIONS_PER_SNAPSHOT`] versions, if the parent is in force on this host, else the
    /// record as found.
    fn archive_value(&self, head: &Entry, in_force: Option<&Table>) -> Bytes {
        let base = in_force.filter(|_| self.parent.is_multiple_of(VERSIONS_PER_SNAPSHOT));
        base.filter(|base| self.is_base(base, head)).map_or_else(
            || head.value.clone(),
            |base| record::full(base).encode_to_vec().into(),
        )
    }

    /// Whether `table` is the version that `head` holds, the parent of the proposal.
    fn is_base(&self, table: &Table, head: &Entry) -> bool {
        table.version == self.parent
            && decode_record(&head.value).is_some_and(|record| *record.change == *table.change)
    }

    /// Handles the outcome of the pending call.
    pub fn on_reply(&mut self, now: Time, outcome: Outcome, in_force: Option<&Table>) -> Step {
        self.in_flight = false;
        let stage = self.stage.clone();
        match (stage, outcome) {
            (Stage::ReadHead, Ok(Reply::Entry(Some(entry)))) => self.on_head(now, entry),
            (Stage::SwapHead { .. }, Ok(Reply::Conflict(Some(entry)))) => {
                self.retry_at = now + RETRY_DELAY;
                self.on_head(now, entry)
            }
            (Stage::ReadHead, Ok(Reply::Entry(None))) if self.parent == 0 => {
                self.start_swap(None, None);
                Step::Undecided
            }
            (Stage::Archive { head }, Ok(Reply::Written(_) | Reply::Conflict(_)))
            | (Stage::CheckArchive { head }, Ok(Reply::Entry(Some(_)))) => {
                let base = in_force.filter(|base| self.is_base(base, &head));
                self.start_swap(Some(head.revision), base);
                Step::Undecided
            }
            (Stage::SwapHead { record, .. }, Ok(Reply::Written(revision))) => {
                Step::Accepted(Box::new(record), revision)
            }
            (Stage::ReadWinner, Ok(Reply::Entry(Some(entry)))) => self.on_winner_entry(now, &entry),
            (Stage::ReadWinner, Ok(Reply::Entry(None))) => {
                // The version has been deleted from the history, so its change can no
                // longer be read.
                Step::Ended(ProposalOutcome::Unknown)
            }
            (stage, outcome) => {
                self.retry_at = now + RETRY_DELAY;
                self.stage = self.stage_after_failure(stage, &outcome);
                Step::Undecided
            }
        }
    }

    /// The stage after a failed call: a write whose answer was lost is read back before
    /// it is repeated.
    fn stage_after_failure(&mut self, stage: Stage, outcome: &Outcome) -> Stage {
        match (stage, outcome) {
            (Stage::Archive { head }, Err(Fault::Unknown)) => Stage::CheckArchive { head },
            (Stage::CheckArchive { head }, Ok(_)) => Stage::Archive { head },
            (Stage::SwapHead { .. }, Err(Fault::Unknown)) => {
                self.write_in_doubt = true;
                Stage::ReadHead
            }
            (stage, _) => stage,
        }
    }

    /// Prepares the conditional write, as a delta where the parent's table is known.
    fn start_swap(&mut self, expect: Option<Revision>, base: Option<&Table>) {
        let record = base.map_or_else(
            || record::full(&self.table),
            |base| record::delta(base, &self.table),
        );
        let record = Record {
            origin: self.origin.clone(),
            ..record
        };
        self.stage = Stage::SwapHead { expect, record };
    }

    /// Continues according to the newest version in the key-value service.
    fn on_head(&mut self, now: Time, entry: Entry) -> Step {
        let Some(head) = decode_record(&entry.value) else {
            self.retry_at = now + RETRY_DELAY;
            return Step::Undecided;
        };
        let revision = entry.revision;
        let wanted = self.parent + 1;
        if head.version == wanted && *head.change == *self.table.change {
            return Step::Accepted(Box::new(head), revision);
        }
        self.stage = match head.version {
            version if version == self.parent => Stage::Archive { head: entry },
            version if version == wanted => Stage::AwaitWinner { version },
            version if version > wanted => Stage::ReadWinner,
            _ => {
                // A stale answer: the operator has seen a newer version.
                self.retry_at = now + RETRY_DELAY;
                Stage::ReadHead
            }
        };
        Step::HeadSeen(head, revision)
    }

    /// Decides by the change that became the proposed version.
    fn on_winner_entry(&mut self, now: Time, entry: &Entry) -> Step {
        let Some(record) = decode_record(&entry.value) else {
            self.retry_at = now + RETRY_DELAY;
            return Step::Undecided;
        };
        if *record.change == *self.table.change {
            return Step::Repeat(record.version);
        }
        self.stage = Stage::AwaitWinner {
            version: record.version,
        };
        Step::Undecided
    }
}
