//! Reading versions of the table from the key-value service.

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
pub(crate) const HEAD: &str = "table/head";
/// Prefix of the keys of all versions before it.
pub(crate) const VERSIONS: &str = "table/version/";
/// Versions that can be read back.
pub(crate) const HISTORY: u64 = 100;
/// Each version whose number is a multiple of this is kept as a whole.
pub(crate) const SNAPSHOT: u64 = 64;
/// Most entries asked for in one call.
const PAGE: u32 = 64;
/// Time between two tries of a read that failed.
const RETRY: Duration = Duration::from_millis(150);

/// Key of a version.
pub(crate) fn key(version: u64) -> Arc<str> {
    format!("{VERSIONS}{version:020}").into()
}

/// The record in an entry of the service.
pub(crate) fn decode(value: &Bytes) -> Option<Record> {
    Record::decode(value.clone()).ok()
}

/// The oldest version that has to be kept so that the newest [`HISTORY`] can be read.
pub(crate) const fn oldest_kept(head: u64) -> u64 {
    snapshot_before(head.saturating_sub(HISTORY))
}

/// The newest multiple of [`SNAPSHOT`] up to a version.
pub(crate) const fn snapshot_before(version: u64) -> u64 {
    version / SNAPSHOT * SNAPSHOT
}

/// The table of a version, from records in order of version and the table in force.
pub(crate) fn resolve(base: Option<&Table>, records: &[Record], version: u64) -> Option<Table> {
    let end = records.iter().position(|it| it.version == version)?;
    let whole = records[..=end].iter().rposition(|it| it.full);
    let mut table = match whole {
        Some(at) => record::table(&records[at], None).ok()?,
        None => base.filter(|base| base.version < version)?.clone(),
    };
    for step in &records[..=end] {
        if step.version == table.version + 1 {
            table = record::table(step, Some(&table)).ok()?;
        }
    }
    (table.version == version).then_some(table)
}

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Goal {
    /// The newest version, to put it in force here.
    Newest,
    /// One version, for an operator.
    Version { ticket: u64, version: u64 },
    /// The newest versions without rows, for an operator.
    History { ticket: u64 },
}

/// How a read ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// All that was asked for; empty if there is no such version.
    Found(Vec<Arc<Table>>),
    /// The service could not be read in time.
    Failed,
}

/// A read of the newest version and of those before it.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub goal: Goal,
    /// When it is given up.
    until: Time,
    retry_at: Time,
    in_flight: bool,
    head: Option<Record>,
    records: Vec<Record>,
    after: Option<Arc<str>>,
    /// Whether the list starts at the newest snapshot rather than at the first version.
    short: bool,
}

impl Load {
    pub fn new(goal: Goal, now: Time, settings: &Settings) -> Self {
        Self {
            goal,
            until: now + settings.accept,
            retry_at: now,
            in_flight: false,
            head: None,
            records: Vec::new(),
            after: None,
            short: true,
        }
    }

    pub fn next_wake(&self) -> Time {
        if self.in_flight {
            self.until
        } else {
            self.until.min(self.retry_at)
        }
    }

    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// The next call, if it is time for one.
    pub fn op(&mut self, now: Time) -> Option<Op> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        self.in_flight = true;
        Some(if self.head.is_none() {
            Op::Get { key: HEAD.into() }
        } else {
            Op::List {
                prefix: VERSIONS.into(),
                after: self.after.clone(),
                limit: PAGE,
            }
        })
    }

    /// Takes in what came of a call; `None` while more calls are needed.
    pub fn take(&mut self, now: Time, reply: Option<Reply>, mine: Option<&Table>) -> Option<End> {
        self.in_flight = false;
        match reply {
            Some(Reply::Entry(None)) => Some(End::Found(Vec::new())),
            Some(Reply::Entry(Some(entry))) => self.take_head(now, &entry, mine),
            Some(Reply::Entries { entries, more, .. }) => {
                self.after = entries.last().map(|entry| entry.key.clone());
                let records = entries.iter().filter_map(|entry| decode(&entry.value));
                self.records.extend(records);
                if more { None } else { self.finish(now, mine) }
            }
            _ => {
                self.retry_at = now + RETRY;
                None
            }
        }
    }

    fn take_head(&mut self, now: Time, entry: &Entry, mine: Option<&Table>) -> Option<End> {
        let Some(head) = decode(&entry.value) else {
            self.retry_at = now + RETRY;
            return None;
        };
        if let Goal::Newest = self.goal
            && let Ok(table) = record::table(&head, mine)
        {
            return Some(End::Found(vec![Arc::new(table)]));
        }
        self.after = match self.goal {
            Goal::Newest => first(head.version),
            Goal::Version { version, .. } => first(version),
            Goal::History { .. } => first(head.version.saturating_sub(HISTORY - 1)),
        };
        self.after = self.after.take().filter(|_| self.short);
        self.head = Some(head);
        None
    }

    fn finish(&mut self, now: Time, mine: Option<&Table>) -> Option<End> {
        let mut records = std::mem::take(&mut self.records);
        let head = self.head.clone()?;
        records.retain(|it| it.version < head.version);
        records.push(head);
        let newest = records.last().map_or(0, |it| it.version);
        let found = match self.goal {
            Goal::History { .. } => return Some(End::Found(history(&records))),
            Goal::Newest => resolve(mine, &records, newest),
            Goal::Version { version, .. } if version > newest => {
                return Some(End::Found(Vec::new()));
            }
            Goal::Version { version, .. } => resolve(None, &records, version),
        };
        if found.is_none() && self.short {
            self.short = false;
            self.head = None;
            self.after = None;
            self.retry_at = now;
            return None;
        }
        Some(End::Found(found.map(Arc::new).into_iter().collect()))
    }
}

/// Where a list starts that has a version and the snapshot before it.
fn first(version: u64) -> Option<Arc<str>> {
    let snapshot = snapshot_before(version.saturating_sub(1));
    (snapshot > 0).then(|| key(snapshot - 1))
}

fn history(records: &[Record]) -> Vec<Arc<Table>> {
    let limit = usize::try_from(HISTORY).unwrap_or(usize::MAX);
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
