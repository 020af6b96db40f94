//! One engine as its planner knows it: reports, the record, and orders on their way.

mod orders;

use crate::{
    record::{Id, Intent, Record},
    settings::Settings,
};
use bytes::Bytes;
use mulberryrack_core::{
    Incarnation, Name, Time,
    kv::{Entry, Op, Revision},
    node::Listing,
    upstream::{CONTACT_TIMEOUT, Contact, Report, Residency},
};
use mulberryrack_wire::place;
use prost::Message;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Time before a failed write of a record is tried again.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// Time that struck-out orders wait for a write that is due anyway.
const TIDY: Duration = Duration::from_secs(2);
/// Time for which a row that an engine refused is not loaded there again.
const REFUSED: Duration = Duration::from_secs(5);
/// Refused connections in a row after which an engine counts as lost.
const MAX_REFUSED_POLLS: u32 = 3;

/// Where the record stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// It must be read.
    Unread,
    /// A read or write is on its way; for a write, what is written.
    Busy(Option<Record>),
    /// The draft can be written.
    Steady,
}

/// A write whose outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Doubt {
    /// The revision that the write expects.
    expected: Option<Revision>,
}

/// An order on its way.
#[derive(Clone, Debug, Default)]
struct Sending {
    /// When it is to be sent next.
    next: Time,
    /// When the copy was sent that has not been answered yet.
    outstanding: Option<Time>,
    /// Until when an unanswered copy can arrive.
    uncertain: Option<Time>,
    /// Whether it is sent in a form that does nothing, so that its id is used up.
    cancelled: bool,
    /// Whether it was sent in its own form.
    sent: bool,
}

/// An engine of a cell.
#[derive(Debug)]
pub(crate) struct Engine {
    pub listing: Listing,
    /// Whether the platform's list still has it.
    pub listed: bool,
    pub report: Option<Report>,
    /// When it answered last, or when the planner went on after a pause.
    pub heard: Option<Time>,
    /// When it sent its last report.
    pub reported: Option<Time>,
    pub next_poll: Time,
    polled: Option<Time>,
    refused_polls: u32,
    phase: Phase,
    stored: Option<(Record, Option<Revision>)>,
    /// The stored record with what is still to be written.
    draft: Record,
    /// A write that may take effect for as long as the record has the expected revision.
    doubtful: Option<Doubt>,
    /// When a former planner's orders were taken over.
    adopted: Time,
    order_lifetime: Duration,
    planner_lifetime: Duration,
    /// Lives of hosts that cannot act again, with the time when that was learnt.
    pub gone: Arc<BTreeMap<(Name, Incarnation), Time>>,
    /// When a failed call is tried again.
    retry_after: Time,
    /// When struck-out orders are written even if nothing else is.
    tidy_at: Time,
    sends: BTreeMap<u64, Sending>,
    refused: BTreeMap<Name, Time>,
    published: Option<Bytes>,
    /// Since when each copy has been published as routable by this term.
    routes: BTreeMap<Id, Time>,
}

/// What is done with an order that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is sent as it is.
    Send,
    /// Its id is used up by an order that does nothing.
    Cancel,
    /// Nothing is sent yet.
    Wait,
}

impl Engine {
    pub fn new(listing: Listing, settings: &Settings, now: Time) -> Self {
        Self {
            listing,
            listed: true,
            report: None,
            heard: None,
            reported: None,
            next_poll: now,
            polled: None,
            refused_polls: 0,
            phase: Phase::Unread,
            stored: None,
            draft: Record::default(),
            doubtful: None,
            adopted: now,
            order_lifetime: settings.order_lifetime,
            planner_lifetime: settings.planner_lifetime,
            gone: Arc::default(),
            retry_after: now,
            tidy_at: now,
            sends: BTreeMap::new(),
            refused: BTreeMap::new(),
            published: None,
            routes: BTreeMap::new(),
        }
    }

    /// Whether the list or the engine itself says that it goes away.
    pub fn leaving(&self) -> bool {
        let own = self.report.as_ref().is_some_and(|report| report.leaving);
        !self.listed || self.listing.leaving || own
    }

    /// Whether it has answered lately.
    pub fn answers(&self, now: Time, lost: Duration) -> bool {
        let recent = self.heard.is_some_and(|at| now.since(at) <= lost);
        recent && self.refused_polls < MAX_REFUSED_POLLS
    }

    /// Whether its last report is younger than two polls.
    pub fn fresh(&self, now: Time, poll: Duration) -> bool {
        self.reported.is_some_and(|at| now.since(at) <= 2 * poll)
    }

    /// Megabytes that there are.
    pub fn capacity_mb(&self) -> u64 {
        let reported = self.report.as_ref().map_or(0, |report| report.memory_mb);
        match (self.listing.memory_mb, reported) {
            (0, mb) | (mb, 0) => mb,
            (listed, reported) => listed.min(reported),
        }
    }

    pub fn used_mb(&self) -> u64 {
        let residents = self.report.as_ref().map(|report| &report.residents[..]);
        self.draft.possible_mb(residents.unwrap_or_default())
    }

    pub fn restart_mb(&self) -> u64 {
        self.draft.restart_mb()
    }

    /// Whether this term's planner may plan for it.
    pub fn open(&self, now: Time, term: u64) -> bool {
        self.phase == Phase::Steady
            && now >= self.retry_after
            && self.report.is_some()
            && self.holds(term)
            && self.draft.intents.len() == self.confirmed().count()
    }

    /// Whether the record was written by this term, so that former planners cannot add
    /// to it.
    pub fn holds(&self, term: u64) -> bool {
        self.stored.as_ref().is_some_and(|(r, _)| r.term == term)
    }

    /// Orders that are recorded and not struck out.
    pub fn confirmed(&self) -> impl Iterator<Item = &Intent> {
        let stored = self.stored.iter().flat_map(|(record, _)| &record.intents);
        stored.filter_map(|intent| self.draft.intents.iter().find(|i| i.id == intent.id))
    }

    /// Orders that can still take effect in the engine's life, recorded or about to be.
    pub fn pending(&self) -> impl Iterator<Item = &Intent> {
        let life = self.draft.life;
        self.draft.intents.iter().filter(move |i| i.open(life))
    }

    /// Loads that are on their way to this life or run in it.
    pub fn loading(&self) -> BTreeSet<Id> {
        let residents = self.report.iter().flat_map(|report| &report.residents);
        let running = residents
            .filter(|resident| resident.state == Residency::Loading)
            .map(|resident| (resident.row.clone(), resident.version.clone()));
        let pending = self.pending().filter_map(Intent::load).map(|(id, _)| id);
        running.chain(pending).collect()
    }

    /// Whether new requests may go to the copy: it is ready, its base is too, and no
    /// recorded unload of either can take effect.
    pub fn routable(&self, row: &str, version: &str, base: Option<&str>) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let ready = |name: &str, of: Option<&str>| {
            report.residents.iter().any(|resident| {
                *resident.row == *name
                    && of.is_none_or(|of| *resident.version == *of)
                    && resident.state == Residency::Ready
                    && !self.may_unload(name, &resident.version)
            })
        };
        ready(row, Some(version)) && base.is_none_or(|base| ready(base, None))
    }

    fn may_unload(&self, row: &str, version: &str) -> bool {
        let life = self.draft.life;
        self.confirmed()
            .filter(|intent| intent.open(life))
            .filter_map(Intent::unload)
            .any(|(name, of)| *name == *row && *of == *version)
    }

    /// Whether an unload of the copy is recorded or about to be.
    pub fn unloads(&self, row: &str, version: &str) -> bool {
        self.draft.unloads(row, version)
    }

    /// Rows that it refused a moment ago.
    pub fn refuses(&self, now: Time, row: &str) -> bool {
        self.refused.get(row).is_some_and(|until| now < *until)
    }

    /// Whether a poll is due; notes that it is made.
    pub fn poll(&mut self, now: Time, next: Time) -> bool {
        let waiting = self
            .polled
            .is_some_and(|at| now.since(at) < 2 * CONTACT_TIMEOUT);
        if now < self.next_poll {
            return false;
        }
        self.next_poll = next;
        if !waiting {
            self.polled = Some(now);
        }
        !waiting
    }

    /// Takes what came of a poll or an order. `true` if something has changed that plans
    /// depend on.
    pub fn contact(
        &mut self,
        now: Time,
        order: Option<u64>,
        contact: &Contact,
        settings: &Settings,
    ) -> bool {
        match order {
            None => self.polled = None,
            Some(id) => self.answered(now, id, contact, settings),
        }
        match contact {
            Contact::Report(report) => {
                self.heard = Some(now);
                self.reported = Some(now);
                self.refused_polls = 0;
                self.observe(now, report)
            }
            Contact::NotSent if order.is_none() => {
                self.refused_polls += 1;
                self.refused_polls == MAX_REFUSED_POLLS
            }
            _ => false,
        }
    }

    fn observe(&mut self, now: Time, report: &Report) -> bool {
        let newest = self
            .report
            .as_ref()
            .map_or((self.draft.life, self.draft.sequence), |old| {
                (old.incarnation, old.sequence)
            });
        if (report.incarnation, report.sequence) < newest || !self.draft.accepts(report) {
            return false;
        }
        let open = |draft: &Record| -> Vec<u64> {
            let open = draft.intents.iter().filter(|i| i.open(draft.life));
            open.map(|intent| intent.id).collect()
        };
        let before = open(&self.draft);
        self.draft.observe(report, self.listing.fencing);
        let after = open(&self.draft);
        self.note_refusals(now, report, &before, &after);
        let changed = before != after
            || self.report.as_ref().is_none_or(|old| {
                old.incarnation != report.incarnation
                    || old.residents != report.residents
                    || old.leaving != report.leaving
            });
        self.report = Some(report.clone());
        self.strike(now);
        changed
    }

    /// Remembers loads that ended without a copy.
    fn note_refusals(&mut self, now: Time, report: &Report, before: &[u64], after: &[u64]) {
        let ended = |intent: &&Intent| before.contains(&intent.id) && !after.contains(&intent.id);
        for intent in self.draft.intents.iter().filter(ended) {
            let Some(((row, version), _)) = intent.load() else {
                continue;
            };
            let here =
                |r: &&mulberryrack_core::upstream::Resident| r.row == row && r.version == version;
            if report.residents.iter().find(here).is_none() {
                self.refused.insert(row, now + REFUSED);
            }
        }
    }

    /// Adds an order to the draft; it is sent when the draft is stored.
    pub fn add(&mut self, intent: Intent) {
        self.draft.intents.push(intent);
    }

    /// The read or write of the record that is due.
    pub fn store(&mut self, now: Time, term: u64) -> Option<Op> {
        let key = || -> Name { format!("engine/{}", self.listing.name).into() };
        if self.store_wake(term).is_none_or(|at| now < at) {
            return None;
        }
        match &self.phase {
            Phase::Busy(_) => None,
            Phase::Unread => {
                let op = Op::Get { key: key() };
                self.phase = Phase::Busy(None);
                Some(op)
            }
            Phase::Steady => {
                let (_, expect) = self.stored.as_ref()?;
                let value = serde_json::to_vec(&self.draft).unwrap_or_default();
                let op = Op::Put {
                    key: key(),
                    value: value.into(),
                    expect: *expect,
                    lease: None,
                };
                self.phase = Phase::Busy(Some(self.draft.clone()));
                Some(op)
            }
        }
    }

    /// When [`Engine::store`] has something to do.
    pub fn store_wake(&self, term: u64) -> Option<Time> {
        match &self.phase {
            Phase::Busy(_) => None,
            Phase::Unread => Some(self.retry_after),
            Phase::Steady => {
                let (stored, _) = self.stored.as_ref()?;
                let fresh = self.draft.intents.len() > self.confirmed().count();
                if fresh || stored.term != term || self.doubtful.is_some() {
                    return Some(self.retry_after);
                }
                let tidy = stored.intents != self.draft.intents;
                tidy.then(|| self.retry_after.max(self.tidy_at))
            }
        }
    }

    /// The record was written at this revision.
    pub fn written(&mut self, now: Time, revision: Revision, settings: &Settings) {
        let Phase::Busy(Some(record)) = std::mem::replace(&mut self.phase, Phase::Steady) else {
            self.phase = Phase::Unread;
            return;
        };
        self.doubtful = None;
        let known: BTreeSet<u64> = self.confirmed().map(|intent| intent.id).collect();
        self.stored = Some((record, Some(revision)));
        let fresh: Vec<(u64, bool)> = self
            .confirmed()
            .filter(|intent| !known.contains(&intent.id))
            .map(|intent| (intent.id, intent.unload().is_some()))
            .collect();
        for (id, unload) in fresh {
            let wait = if unload {
                settings.unroute
            } else {
                Duration::ZERO
            };
            self.sends.entry(id).or_default().next = now + wait;
        }
    }

    /// Nothing was read or written.
    pub fn not_stored(&mut self, now: Time) {
        self.retry_after = now + WRITE_AGAIN;
        self.phase = match &self.phase {
            Phase::Busy(Some(_)) => {
                let known: BTreeSet<u64> = self.confirmed().map(|intent| intent.id).collect();
                self.draft.intents.retain(|i| known.contains(&i.id));
                Phase::Steady
            }
            _ => Phase::Unread,
        };
    }

    /// The call's outcome is not known: the record must be read.
    pub fn unsure(&mut self, now: Time) {
        self.retry_after = now + WRITE_AGAIN;
        if matches!(self.phase, Phase::Busy(Some(_))) {
            let expected = self.stored.as_ref().and_then(|(_, revision)| *revision);
            self.doubtful = Some(Doubt { expected });
        }
        self.phase = Phase::Unread;
    }

    /// Takes the record as it is in the service. `false` if a planner of a later term
    /// has written it.
    pub fn adopt(&mut self, now: Time, entry: Option<&Entry>, term: u64, s: &Settings) -> bool {
        let record: Record = entry
            .and_then(|entry| serde_json::from_slice(&entry.value).ok())
            .unwrap_or_default();
        if record.term > term {
            return false;
        }
        if self.stored.is_none() || record.term != term {
            self.adopted = now;
        }
        let known: BTreeSet<u64> = self.sends.keys().copied().collect();
        for intent in &record.intents {
            let fresh = intent.term == term && intent.unload().is_some();
            if fresh && !known.contains(&intent.id) {
                self.sends.entry(intent.id).or_default().next = now + s.unroute;
            }
        }
        let revision = entry.map(|entry| entry.revision);
        self.doubtful = self.doubtful.filter(|doubt| doubt.expected == revision);
        self.draft = record.clone();
        self.draft.term = term;
        self.stored = Some((record, entry.map(|entry| entry.revision)));
        self.phase = Phase::Steady;
        match self.report.take() {
            Some(report) if self.draft.accepts(&report) => {
                self.draft.observe(&report, self.listing.fencing);
                self.report = Some(report);
            }
            _ => {}
        }
        true
    }

    /// Whether every host can know by now that new requests may go to the copy.
    pub fn known_routable(&self, now: Time, row: &Name, version: &Name, spread: Duration) -> bool {
        let since = self.routes.get(&(row.clone(), version.clone()));
        self.doubtful.is_none()
            && !self.draft.unloads(row, version)
            && since.is_some_and(|since| now.since(*since) >= spread)
    }

    /// Whether no copy is published as routable by this term.
    pub fn unrouted(&self) -> bool {
        self.routes.is_empty()
    }

    /// The spread value, if it differs from what was published last.
    pub fn publish(
        &mut self,
        now: Time,
        term: u64,
        routes: bool,
        base: impl Fn(&str) -> Option<Name>,
    ) -> Option<Bytes> {
        let report = self.report.as_ref().filter(|_| self.holds(term))?;
        let mut residents = Vec::with_capacity(report.residents.len());
        let mut since = BTreeMap::new();
        for resident in &report.residents {
            let (row, version) = (&resident.row, &resident.version);
            let routable = routes && self.routable(row, version, base(row).as_deref());
            if routable {
                let id = (row.clone(), version.clone());
                let at = self.routes.get(&id).copied().unwrap_or(now);
                since.insert(id, at);
            }
            residents.push(place::Resident {
                row: row.to_string(),
                version: version.to_string(),
                routable,
            });
        }
        let value = place::Engine {
            address: self.listing.address.to_string(),
            incarnation: report.incarnation.0,
            data_centre: self.listing.data_centre.to_string(),
            leaving: self.leaving(),
            residents,
        };
        self.routes = since;
        let bytes = Bytes::from(value.encode_to_vec());
        if self.published.as_ref() == Some(&bytes) {
            return None;
        }
        self.published = Some(bytes.clone());
        Some(bytes)
    }
}
