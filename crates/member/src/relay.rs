//! The table in force, and how it travels from host to host.

use crate::{context::Context, hosts::Hosts, record};
use mulberryrack_core::{
    Name, Time,
    note::{Counter, Level, Note},
};
use mulberryrack_table::{Row, Table};
use mulberryrack_wire::member::{Record, TableAsk, TablePage};
use prost::Message;
use std::{collections::VecDeque, sync::Arc, time::Duration};

/// Most differences kept for hosts that are a few versions behind.
const MAX_STEPS: usize = 64;
/// Most bytes of rows and differences in one frame.
const MAX_BYTES: usize = 32 * 1_024;
/// Most bytes of differences kept.
const MAX_STEP_BYTES: usize = 256 * 1_024;
/// Time after which a host that is behind asks another peer.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// What became of an offered record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Offer {
    /// It is in force now.
    Adopted,
    /// The same or a higher version is in force.
    Old,
    /// Versions before it are missing, or it is broken.
    Gap,
}

/// Rows of a version that arrives in parts.
struct Partial {
    head: Record,
    rows: Vec<Row>,
}

/// The table in force and the newest steps that led to it.
pub(crate) struct Relay {
    table: Option<Arc<Table>>,
    /// Host that accepted the version in force; empty if that is not known.
    pub origin: Name,
    steps: VecDeque<Record>,
    step_bytes: usize,
    /// Highest version known to exist.
    known: u64,
    partial: Option<Partial>,
    ask_at: Option<Time>,
}

impl Relay {
    pub fn new() -> Self {
        Self {
            table: None,
            origin: Name::default(),
            steps: VecDeque::new(),
            step_bytes: 0,
            known: 0,
            partial: None,
            ask_at: None,
        }
    }

    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Whether a higher version is known to exist.
    pub fn is_behind(&self) -> bool {
        self.known > self.version()
    }

    /// A version is known to exist; asks for it soon if it is not here.
    pub fn heard(&mut self, now: Time, version: u64) {
        self.known = self.known.max(version);
        if self.is_behind() && self.ask_at.is_none() {
            self.ask_at = Some(now);
        }
    }

    pub fn next_wake(&self) -> Option<Time> {
        self.ask_at
    }

    /// Takes in a record from the service or from a peer.
    pub fn offer(&mut self, cx: &mut Context, record: &Record) -> Offer {
        if record.version <= self.version() {
            return Offer::Old;
        }
        match record::table(record, self.table.as_deref()) {
            Ok(table) => {
                self.keep_step(record.clone());
                self.install(cx, table, &record.origin);
                Offer::Adopted
            }
            Err(fault) => {
                if fault == record::Fault::Broken {
                    cx.note(
                        Note::new(Level::Error, "table-broken").with("version", record.version),
                    );
                }
                self.heard(cx.now, record.version);
                Offer::Gap
            }
        }
    }

    fn install(&mut self, cx: &mut Context, table: Table, origin: &str) {
        self.origin = origin.into();
        self.known = self.known.max(table.version);
        self.partial = None;
        if table.version >= self.known {
            self.ask_at = None;
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

    fn keep_step(&mut self, step: Record) {
        let follows = self.version() + 1 == step.version;
        if step.full || !follows {
            self.steps.clear();
            self.step_bytes = 0;
        }
        if step.full {
            return;
        }
        self.step_bytes += step.encoded_len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS || self.step_bytes > MAX_STEP_BYTES {
            let Some(old) = self.steps.pop_front() else {
                break;
            };
            self.step_bytes -= old.encoded_len();
        }
    }

    /// Takes in a whole table, unless the same or a higher version is in force.
    pub fn put(&mut self, cx: &mut Context, table: Table, origin: &str) {
        if table.version > self.version() {
            self.steps.clear();
            self.step_bytes = 0;
            self.install(cx, table, origin);
        }
    }

    /// The newest version, to push to peers: as the step that led to it, as a whole, or
    /// without its rows where these are too large for one frame; peers then ask for them.
    pub fn newest(&self) -> Option<Record> {
        let table = self.table.as_ref()?;
        let step = self
            .steps
            .back()
            .filter(|step| step.version == table.version)
            .cloned();
        let record = step.unwrap_or_else(|| record::full(table));
        let fits = record.encoded_len() <= MAX_BYTES;
        let record = if fits { record } else { record::head(table) };
        Some(self.signed(record))
    }

    /// Adds the origin to a record of the version in force.
    fn signed(&self, record: Record) -> Record {
        Record {
            origin: self.origin.to_string(),
            ..record
        }
    }

    /// Whom to ask for the versions that are missing.
    pub fn ask(&mut self, cx: &mut Context, hosts: &Hosts) -> Option<(Name, TableAsk)> {
        if self.ask_at.is_none_or(|at| cx.now < at) {
            return None;
        }
        if !self.is_behind() {
            self.ask_at = None;
            return None;
        }
        self.ask_at = Some(cx.now + ASK_AGAIN);
        let ahead: Vec<&Name> = hosts
            .map
            .iter()
            .filter(|(_, host)| host.reachable() && host.table > self.version())
            .map(|(name, _)| name)
            .collect();
        if ahead.is_empty() {
            return None;
        }
        let name = ahead[cx.below(ahead.len())].clone();
        Some((name, self.question()))
    }

    fn question(&self) -> TableAsk {
        let change = self.table.as_ref().map(|table| table.change.to_string());
        let partial = self.partial.as_ref();
        TableAsk {
            have: self.version(),
            change: change.unwrap_or_default(),
            version: partial.map_or(0, |partial| partial.head.version),
            offset: partial.map_or(0, |partial| count(partial.rows.len())),
        }
    }

    /// The answer to a host that is behind.
    pub fn page(&self, ask: &TableAsk) -> Option<TablePage> {
        let table = self.table.as_ref()?;
        if ask.have >= table.version {
            return None;
        }
        if let Some(records) = self.chain(ask) {
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
                bytes <= MAX_BYTES
            })
            .collect();
        Some(TablePage {
            records: Vec::new(),
            head: Some(self.signed(record::head(table))),
            total: count(table.rows.len()),
            offset: count(start),
            rows,
        })
    }

    /// The steps from the version that a host has, as many as one frame holds.
    fn chain(&self, ask: &TableAsk) -> Option<Vec<Record>> {
        let first = self
            .steps
            .iter()
            .position(|step| step.version == ask.have + 1 && step.base_change == ask.change)?;
        let mut bytes = 0;
        let steps: Vec<Record> = self
            .steps
            .iter()
            .skip(first)
            .take_while(|step| {
                bytes += step.encoded_len();
                bytes <= MAX_BYTES
            })
            .cloned()
            .collect();
        (!steps.is_empty()).then_some(steps)
    }

    /// Takes in an answer. Returns whether a version was adopted, and the next question
    /// to the same peer.
    pub fn take_page(&mut self, cx: &mut Context, page: &TablePage) -> (bool, Option<TableAsk>) {
        let mut adopted = false;
        for record in &page.records {
            adopted |= self.offer(cx, record) == Offer::Adopted;
        }
        if let Some(head) = &page.head {
            adopted |= self.take_part(cx, head, page);
        }
        let more = self.is_behind() && (adopted || self.partial.is_some());
        if more {
            self.ask_at = Some(cx.now + ASK_AGAIN);
        }
        (adopted, more.then(|| self.question()))
    }

    fn take_part(&mut self, cx: &mut Context, head: &Record, page: &TablePage) -> bool {
        if head.version <= self.version() {
            return false;
        }
        self.heard(cx.now, head.version);
        let same = |partial: &Partial| {
            partial.head.version == head.version && partial.head.digest == head.digest
        };
        if !self.partial.as_ref().is_some_and(same) {
            let newer = |partial: &Partial| partial.head.version > head.version;
            if page.offset != 0 || self.partial.as_ref().is_some_and(newer) {
                return false;
            }
            self.partial = Some(Partial {
                head: head.clone(),
                rows: Vec::new(),
            });
        }
        let Some(partial) = &mut self.partial else {
            return false;
        };
        if count(partial.rows.len()) == page.offset {
            partial
                .rows
                .extend(page.rows.iter().filter_map(record::from_wire));
        }
        if count(partial.rows.len()) < page.total {
            return false;
        }
        self.finish_parts(cx)
    }

    fn finish_parts(&mut self, cx: &mut Context) -> bool {
        let Some(partial) = self.partial.take() else {
            return false;
        };
        let Ok(table) = record::assemble(&partial.head, partial.rows.into()) else {
            cx.note(Note::new(Level::Error, "table-broken").with("version", partial.head.version));
            return false;
        };
        self.put(cx, table, &partial.head.origin);
        true
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
