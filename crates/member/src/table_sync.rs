//! The table in force on this host, and the exchange of versions between hosts.

use crate::{context::Context, hosts::Hosts, record};
use mulberryrack_core::{
    Name, Time,
    note::{Counter, Level, Note},
};
use mulberryrack_table::{Row, Table};
use mulberryrack_wire::member::{Record, TableAsk, TablePage};
use prost::Message;
use std::{collections::VecDeque, sync::Arc, time::Duration};

/// Maximum number of deltas kept for hosts that are a few versions behind.
const MAX_DELTAS: usize = 64;
/// Maximum size of the rows or deltas in one frame, in bytes.
const MAX_FRAME_BYTES: usize = 32 * 1_024;
/// Maximum size of all kept deltas, in bytes.
const MAX_DELTA_BYTES: usize = 256 * 1_024;
/// Time after which a host that is behind sends its request again, to a random host that
/// is ahead.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// The outcome of offering a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Offer {
    /// The version is in force now.
    Adopted,
    /// The same or a higher version was in force already.
    NotNewer,
    /// The record is a delta to a version that is not in force, or it is corrupt.
    NotApplicable,
}

/// A version whose rows arrive in several pages.
struct PartialTable {
    header: Record,
    rows: Vec<Row>,
}

/// The table in force and the latest deltas that led to it.
pub(crate) struct TableSync {
    table: Option<Arc<Table>>,
    /// Name of the host at which the version in force was proposed; empty if unknown.
    pub origin: Name,
    deltas: VecDeque<Record>,
    delta_bytes: usize,
    /// Highest version known to exist.
    highest_known: u64,
    partial: Option<PartialTable>,
    /// When to request missing versions; `None` if nothing is missing.
    next_request: Option<Time>,
}

impl TableSync {
    pub fn new() -> Self {
        Self {
            table: None,
            origin: Name::default(),
            deltas: VecDeque::new(),
            delta_bytes: 0,
            highest_known: 0,
            partial: None,
            next_request: None,
        }
    }

    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Whether a version higher than the one in force is known to exist.
    pub fn is_behind(&self) -> bool {
        self.highest_known > self.version()
    }

    /// Records that a version exists, and schedules a request for it if it is not in
    /// force.
    pub fn on_version_known(&mut self, now: Time, version: u64) {
        self.highest_known = self.highest_known.max(version);
        if self.is_behind() && self.next_request.is_none() {
            self.next_request = Some(now);
        }
    }

    pub fn next_wake(&self) -> Option<Time> {
        self.next_request
    }

    /// Adopts the version of a record if it is newer and the record applies to the table
    /// in force. A record that does not apply schedules a request.
    pub fn offer(&mut self, cx: &mut Context, record: &Record) -> Offer {
        if record.version <= self.version() {
            return Offer::NotNewer;
        }
        match record::to_table(record, self.table.as_deref()) {
            Ok(table) => {
                self.keep_delta(record.clone());
                self.adopt(cx, table, &record.origin);
                Offer::Adopted
            }
            Err(error) => {
                if error == record::Error::Corrupt {
                    cx.note(
                        Note::new(Level::Error, "table-broken").with("version", record.version),
                    );
                }
                self.on_version_known(cx.now, record.version);
                Offer::NotApplicable
            }
        }
    }

    /// Makes a table the one in force.
    fn adopt(&mut self, cx: &mut Context, table: Table, origin: &str) {
        self.origin = origin.into();
        self.highest_known = self.highest_known.max(table.version);
        self.partial = None;
        if table.version >= self.highest_known {
            self.next_request = None;
        }
        cx.count(Counter::TableAdopted);
        cx.note(
            Note::new(Level::Info, "table-adopted")
                .with("version", table.version)
                .with("change", &table.change),
        );
        let table = Arc::new(table);
        self.table = Some(table.clone());
        cx.out.push(crate::Output::Table(table));
    }

    /// Keeps a delta for hosts that are behind. A full record or a gap in the versions
    /// clears the kept deltas.
    fn keep_delta(&mut self, delta: Record) {
        let follows = self.version() + 1 == delta.version;
        if delta.full || !follows {
            self.deltas.clear();
            self.delta_bytes = 0;
        }
        if delta.full {
            return;
        }
        self.delta_bytes += delta.encoded_len();
        self.deltas.push_back(delta);
        while self.deltas.len() > MAX_DELTAS || self.delta_bytes > MAX_DELTA_BYTES {
            let Some(old) = self.deltas.pop_front() else {
                break;
            };
            self.delta_bytes -= old.encoded_len();
        }
    }

    /// Adopts a complete table, unless the same or a higher version is in force.
    pub fn offer_table(&mut self, cx: &mut Context, table: Table, origin: &str) {
        if table.version > self.version() {
            self.deltas.clear();
            self.delta_bytes = 0;
            self.adopt(cx, table, origin);
        }
    }

    /// The version in force as a record to push to other hosts: the delta that led to it
    /// if kept, otherwise with all rows. If that does not fit one frame, the record has
    /// no rows, and the receivers request them.
    pub fn newest_record(&self) -> Option<Record> {
        let table = self.table.as_ref()?;
        let delta = self
            .deltas
            .back()
            .filter(|delta| delta.version == table.version)
            .cloned();
        let record = delta.unwrap_or_else(|| record::full(table));
        let fits = record.encoded_len() <= MAX_FRAME_BYTES;
        let record = if fits {
            record
        } else {
            record::without_rows(table)
        };
        Some(self.with_origin(record))
    }

    /// Sets the origin of a record of the version in force.
    fn with_origin(&self, record: Record) -> Record {
        Record {
            origin: self.origin.to_string(),
            ..record
        }
    }

    /// The host to ask for missing versions and the request, if a request is due.
    pub fn request(&mut self, cx: &mut Context, hosts: &Hosts) -> Option<(Name, TableAsk)> {
        if self.next_request.is_none_or(|at| cx.now < at) {
            return None;
        }
        if !self.is_behind() {
            self.next_request = None;
            return None;
        }
        self.next_request = Some(cx.now + REQUEST_TIMEOUT);
        let ahead: Vec<&Name> = hosts
            .others
            .iter()
            .filter(|(_, host)| host.reachable() && host.table_version > self.version())
            .map(|(name, _)| name)
            .collect();
        if ahead.is_empty() {
            return None;
        }
        let name = ahead[cx.random_index(ahead.len())].clone();
        Some((name, self.build_request()))
    }

    fn build_request(&self) -> TableAsk {
        let change = self.table.as_ref().map(|table| table.change.to_string());
        let partial = self.partial.as_ref();
        TableAsk {
            have: self.version(),
            change: change.unwrap_or_default(),
            version: partial.map_or(0, |partial| partial.header.version),
            offset: partial.map_or(0, |partial| to_u32(partial.rows.len())),
        }
    }

    /// The answer to a request: deltas if the requester's version allows, otherwise a
    /// page of rows; `None` if the requester is not behind.
    pub fn answer_request(&self, ask: &TableAsk) -> Option<TablePage> {
        let table = self.table.as_ref()?;
        if ask.have >= table.version {
            return None;
        }
        if let Some(records) = self.deltas_since(ask) {
            return Some(TablePage {
                records,
                ..TablePage::default()
            });
        }
        let offset = if ask.version == table.version {
            ask.offset
        } else {
            0
        };
        let start = usize::try_from(offset).unwrap_or(0).min(table.rows.len());
        let mut bytes = 0;
        let rows = table.rows[start..]
            .iter()
            .map(record::to_wire)
            .take_while(|row| {
                bytes += row.encoded_len();
                bytes <= MAX_FRAME_BYTES
            })
            .collect();
        Some(TablePage {
            records: Vec::new(),
            head: Some(self.with_origin(record::without_rows(table))),
            total: to_u32(table.rows.len()),
            offset: to_u32(start),
            rows,
        })
    }

    /// The kept deltas from the requester's version on, as many as fit one frame.
    fn deltas_since(&self, ask: &TableAsk) -> Option<Vec<Record>> {
        let first = self
            .deltas
            .iter()
            .position(|delta| delta.version == ask.have + 1 && delta.base_change == ask.change)?;
        let mut bytes = 0;
        let deltas: Vec<Record> = self
            .deltas
            .iter()
            .skip(first)
            .take_while(|delta| {
                bytes += delta.encoded_len();
                bytes <= MAX_FRAME_BYTES
            })
            .cloned()
            .collect();
        (!deltas.is_empty()).then_some(deltas)
    }

    /// Applies an answer. Returns whether a version was adopted, and the next request to
    /// the same host.
    pub fn on_page(&mut self, cx: &mut Context, page: &TablePage) -> (bool, Option<TableAsk>) {
        let mut adopted = false;
        for record in &page.records {
            adopted |= self.offer(cx, record) == Offer::Adopted;
        }
        if let Some(head) = &page.head {
            adopted |= self.on_partial_page(cx, head, page);
        }
        let more = self.is_behind() && (adopted || self.partial.is_some());
        if more {
            self.next_request = Some(cx.now + REQUEST_TIMEOUT);
        }
        (adopted, more.then(|| self.build_request()))
    }

    /// Adds a page of rows to the partial table. Returns whether a version was adopted.
    fn on_partial_page(&mut self, cx: &mut Context, head: &Record, page: &TablePage) -> bool {
        if head.version <= self.version() {
            return false;
        }
        self.on_version_known(cx.now, head.version);
        let same = |partial: &PartialTable| {
            partial.header.version == head.version && partial.header.digest == head.digest
        };
        if !self.partial.as_ref().is_some_and(same) {
            let newer = |partial: &PartialTable| partial.header.version > head.version;
            if page.offset != 0 || self.partial.as_ref().is_some_and(newer) {
                return false;
            }
            self.partial = Some(PartialTable {
                header: head.clone(),
                rows: Vec::new(),
            });
        }
        let Some(partial) = &mut self.partial else {
            return false;
        };
        if to_u32(partial.rows.len()) == page.offset {
            partial
                .rows
                .extend(page.rows.iter().filter_map(record::from_wire));
        }
        if to_u32(partial.rows.len()) < page.total {
            return false;
        }
        self.finish_partial(cx)
    }

    fn finish_partial(&mut self, cx: &mut Context) -> bool {
        let Some(partial) = self.partial.take() else {
            return false;
        };
        let Ok(table) = record::assemble(&partial.header, partial.rows.into()) else {
            cx.note(
                Note::new(Level::Error, "table-broken").with("version", partial.header.version),
            );
            return false;
        };
        self.offer_table(cx, table, &partial.header.origin);
        true
    }
}

fn to_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
