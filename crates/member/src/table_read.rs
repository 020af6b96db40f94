//! Reads of table versions from the key-value service.

use crate::{Settings, record};
use bytes::Bytes;
use mulberryrack_core::{
    Name, Time,
    kv::{Entry, Op, Reply},
};
use mulberryrack_table::Table;
use mulberryrack_wire::member::Record;
use prost::Message;
use std::{sync::Arc, time::Duration};

/// Key of the newest version.
pub(crate) const HEAD_KEY: &str = "table/head";
/// Key prefix of all earlier versions.
pub(crate) const VERSION_KEY_PREFIX: &str = "table/version/";
/// Number of newest versions that can be read back.
pub(crate) const MAX_HISTORY: u64 = 100;
/// A version whose number is a multiple of this is stored with all rows if the host that
/// archives it has it in force; other versions are mostly stored as deltas.
pub(crate) const VERSIONS_PER_SNAPSHOT: u64 = 64;
/// Maximum number of entries in one call.
const MAX_PAGE_ENTRIES: u32 = 64;
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Key of an earlier version; keys sort by version.
pub(crate) fn version_key(version: u64) -> Arc<str> {
    format!("{VERSION_KEY_PREFIX}{version:020}").into()
}

/// Decodes the value of an entry; `None` if it is not a record.
pub(crate) fn decode_record(value: &Bytes) -> Option<Record> {
    Record::decode(value.clone()).ok()
}

/// The oldest version that must be kept so that the newest [`MAX_HISTORY`] versions can
/// be read.
pub(crate) const fn oldest_kept(head: u64) -> u64 {
    snapshot_before(head.saturating_sub(MAX_HISTORY))
}

/// The newest multiple of [`VERSIONS_PER_SNAPSHOT`] that is not above a version.
pub(crate) const fn snapshot_before(version: u64) -> u64 {
    version / VERSIONS_PER_SNAPSHOT * VERSIONS_PER_SNAPSHOT
}

/// Rebuilds the table of a version from the records up to it, in order of version. Starts
/// from the last record with all rows, or from `base` if there is none.
pub(crate) fn rebuild(base: Option<&Table>, records: &[Record], version: u64) -> Option<Table> {
    let end = records
        .iter()
        .position(|record| record.version == version)?;
    let last_full = records[..=end].iter().rposition(|record| record.full);
    let mut table = match last_full {
        Some(at) => record::to_table(&records[at], None).ok()?,
        None => base.filter(|base| base.version < version)?.clone(),
    };
    for delta in &records[..=end] {
        if delta.version == table.version + 1 {
            table = record::to_table(delta, Some(&table)).ok()?;
        }
    }
    (table.version == version).then_some(table)
}

/// What a read is to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Goal {
    /// The newest version, to adopt it.
    Newest,
    /// One version, for an operator.
    Version { ticket: u64, version: u64 },
    /// The newest versions without rows, for an operator.
    History { ticket: u64 },
}

/// The outcome of a read.
#[derive(Clone, Debug)]
pub(crate) enum ReadOutcome {
    /// The tables found; empty if there is no such version.
    Found(Vec<Arc<Table>>),
    /// The key-value service could not be read in time.
    Failed,
}

/// A read in progress: first the newest version, then the versions before it as needed.
#[derive(Clone, Debug)]
pub(crate) struct TableRead {
    pub goal: Goal,
    /// When the read fails.
    deadline: Time,
    retry_at: Time,
    in_flight: bool,
    /// The newest version, once it has been read.
    head: Option<Record>,
    records: Vec<Record>,
    /// Key after which the next list call starts; `None` for the beginning.
    after: Option<Arc<str>>,
    /// Whether listing starts at the snapshot before the wanted version. If that snapshot
    /// does not suffice, the read starts over from the first stored version.
    from_snapshot: bool,
}

impl TableRead {
    pub fn new(goal: Goal, now: Time, settings: &Settings) -> Self {
        Self {
            goal,
            deadline: now + settings.accept_timeout,
            retry_at: now,
            in_flight: false,
            head: None,
            records: Vec::new(),
            after: None,
            from_snapshot: true,
        }
    }

    pub fn next_wake(&self) -> Time {
        if self.in_flight {
            self.deadline
        } else {
            self.deadline.min(self.retry_at)
        }
    }

    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.deadline
    }

    /// The next call, if one is due.
    pub fn next_op(&mut self, now: Time) -> Option<Op> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        self.in_flight = true;
        Some(if self.head.is_none() {
            Op::Get {
                key: HEAD_KEY.into(),
            }
        } else {
            Op::List {
                prefix: VERSION_KEY_PREFIX.into(),
                after: self.after.clone(),
                limit: MAX_PAGE_ENTRIES,
            }
        })
    }

    /// Handles the reply to a call, or `None` if it failed. Returns `None` while more
    /// calls are needed.
    pub fn on_reply(
        &mut self,
        now: Time,
        reply: Option<Reply>,
        in_force: Option<&Table>,
    ) -> Option<ReadOutcome> {
        self.in_flight = false;
        match reply {
            Some(Reply::Entry(None)) => Some(ReadOutcome::Found(Vec::new())),
            Some(Reply::Entry(Some(entry))) => self.on_head(now, &entry, in_force),
            Some(Reply::Entries { entries, more, .. }) => {
                self.after = entries.last().map(|entry| entry.key.clone());
                let records = entries
                    .iter()
                    .filter_map(|entry| decode_record(&entry.value));
                self.records.extend(records);
                if more {
                    None
                } else {
                    self.finish(now, in_force)
                }
            }
            _ => {
                self.retry_at = now + RETRY_DELAY;
                None
            }
        }
    }

    fn on_head(
        &mut self,
        now: Time,
        entry: &Entry,
        in_force: Option<&Table>,
    ) -> Option<ReadOutcome> {
        let Some(head) = decode_record(&entry.value) else {
            self.retry_at = now + RETRY_DELAY;
            return None;
        };
        if let Goal::Newest = self.goal
            && let Ok(table) = record::to_table(&head, in_force)
        {
            return Some(ReadOutcome::Found(vec![Arc::new(table)]));
        }
        self.after = match self.goal {
            Goal::Newest => list_start(head.version),
            Goal::Version { version, .. } => list_start(version),
            Goal::History { .. } => list_start(head.version.saturating_sub(MAX_HISTORY - 1)),
        };
        self.after = self.after.take().filter(|_| self.from_snapshot);
        self.head = Some(head);
        None
    }

    /// Builds the result from all records read; starts over if they do not suffice.
    fn finish(&mut self, now: Time, in_force: Option<&Table>) -> Option<ReadOutcome> {
        let mut records = std::mem::take(&mut self.records);
        let head = self.head.clone()?;
        records.retain(|record| record.version < head.version);
        records.push(head);
        let newest = records.last().map_or(0, |record| record.version);
        let found = match self.goal {
            Goal::History { .. } => return Some(ReadOutcome::Found(history_tables(&records))),
            Goal::Newest => rebuild(in_force, &records, newest),
            Goal::Version { version, .. } if version > newest => {
                return Some(ReadOutcome::Found(Vec::new()));
            }
            Goal::Version { version, .. } => rebuild(None, &records, version),
        };
        if found.is_none() && self.from_snapshot {
            self.from_snapshot = false;
            self.head = None;
            self.after = None;
            self.retry_at = now;
            return None;
        }
        Some(ReadOutcome::Found(
            found.map(Arc::new).into_iter().collect(),
        ))
    }
}

/// Key after which a list contains the version and the snapshot before it; `None` for the
/// beginning.
fn list_start(version: u64) -> Option<Arc<str>> {
    let snapshot = snapshot_before(version.saturating_sub(1));
    (snapshot > 0).then(|| version_key(snapshot - 1))
}

/// The newest versions as tables without rows, newest first.
fn history_tables(records: &[Record]) -> Vec<Arc<Table>> {
    let limit = usize::try_from(MAX_HISTORY).unwrap_or(usize::MAX);
    records
        .iter()
        .rev()
        .take(limit)
        .map(|record| {
            Arc::new(Table {
                version: record.version,
                change: Name::from(record.change.as_str()),
                author: Name::from(record.author.as_str()),
                rows: Arc::new([]),
            })
        })
        .collect()
}
