//! An engine as its planner knows it: its reports, its record in the key-value service, and
//! the orders being sent to it.

mod orders;

use crate::{
    record::{CopyId, Intent, Record},
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

/// Time before a failed read or write of a record is tried again.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which the removal of orders from the draft waits for another write of the
/// record, before a write is made for the removal alone.
const CLEANUP_DELAY: Duration = Duration::from_secs(2);
/// Time for which a row is not loaded again on an engine that refused to load it.
const REFUSED_LOAD_DELAY: Duration = Duration::from_secs(5);
/// Number of consecutive polls that did not reach the engine ([`Contact::NotSent`], such as
/// refused connections) after which it counts as lost.
const MAX_REFUSED_POLLS: u32 = 3;

/// State of access to the record.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The record must be read.
    Unread,
    /// A read or write is in flight; for a write, with the record that is being written.
    InFlight(Option<Record>),
    /// No call is in flight; the draft can be written.
    Idle,
}

/// A write of the record whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UncertainWrite {
    /// Revision of the record that the write expects; `None` if it expects no record.
    expected: Option<Revision>,
}

/// The sending of one recorded order. An order may be sent several times under the same id;
/// each sending is a copy of the order.
#[derive(Clone, Debug, Default)]
struct Delivery {
    /// Earliest time at which the order is sent next.
    next_send: Time,
    /// When the newest copy was sent, while the outcome of sending it is not known.
    in_flight_since: Option<Time>,
    /// Time until which a copy that was not answered can still reach the engine.
    may_arrive_until: Option<Time>,
    /// Whether the order is sent as a cancellation: with the same id, but an action that
    /// has no effect, so that the engine ignores all other copies.
    cancelled: bool,
    /// Whether the order was sent with its own action.
    sent_uncancelled: bool,
}

/// An engine of a cell.
#[derive(Debug)]
pub(crate) struct Engine {
    pub listing: Listing,
    /// Whether the platform's list still contains the engine.
    pub listed: bool,
    /// The newest report of the engine.
    pub report: Option<Report>,
    /// When the engine last answered with a report. After a pause of this process, the end
    /// of the pause.
    pub last_answer: Option<Time>,
    /// When the engine last answered with a report, unaffected by pauses.
    pub last_report: Option<Time>,
    /// Earliest time of the next poll.
    pub next_poll: Time,
    /// When the poll in flight was sent.
    poll_sent: Option<Time>,
    /// Number of consecutive polls that did not reach the engine.
    refused_polls: u32,
    phase: Phase,
    /// The record as stored, with its revision; the revision is `None` if there is no
    /// record yet.
    stored: Option<(Record, Option<Revision>)>,
    /// The stored record with the changes that are still to be written.
    draft: Record,
    /// A write that may still take effect for as long as the record has the expected
    /// revision.
    uncertain_write: Option<UncertainWrite>,
    /// When this planner took over the orders of a former planner.
    taken_over: Time,
    order_lifetime: Duration,
    planner_lifetime: Duration,
    /// Incarnations of hosts that can't act again, each with the time when this planner
    /// learnt of it.
    pub gone_hosts: Arc<BTreeMap<(Name, Incarnation), Time>>,
    /// Earliest time of the next call, after a failed one.
    retry_after: Time,
    /// Time at which the removal of orders is written even if there is nothing else to
    /// write.
    cleanup_at: Time,
    /// Sending of each order of the draft, by order id.
    deliveries: BTreeMap<u64, Delivery>,
    /// Rows that the engine refused to load, with the time until which they are not loaded
    /// again.
    refused_until: BTreeMap<Name, Time>,
    /// The value published last.
    published: Option<Bytes>,
    /// For each copy that this term's planner has published as routable, since when.
    routable_since: BTreeMap<CopyId, Time>,
}

/// What to do with a recorded order that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send the order's own action.
    Send,
    /// Send a cancellation, which uses up the order's id.
    Cancel,
    /// Send nothing yet.
    Wait,
}

impl Engine {
    pub fn new(listing: Listing, settings: &Settings, now: Time) -> Self {
        Self {
            listing,
            listed: true,
            report: None,
            last_answer: None,
            last_report: None,
            next_poll: now,
            poll_sent: None,
            refused_polls: 0,
            phase: Phase::Unread,
            stored: None,
            draft: Record::default(),
            uncertain_write: None,
            taken_over: now,
            order_lifetime: settings.order_lifetime,
            planner_lifetime: settings.planner_lifetime,
            gone_hosts: Arc::default(),
            retry_after: now,
            cleanup_at: now,
            deliveries: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            published: None,
            routable_since: BTreeMap::new(),
        }
    }

    /// Whether the platform's list or the engine itself says that the engine is going away.
    pub fn leaving(&self) -> bool {
        let own = self.report.as_ref().is_some_and(|report| report.leaving);
        !self.listed || self.listing.leaving || own
    }

    /// Whether the engine has answered within the time `lost` and recent polls have
    /// reached it.
    pub fn answers(&self, now: Time, lost: Duration) -> bool {
        let recent = self.last_answer.is_some_and(|at| now.since(at) <= lost);
        recent && self.refused_polls < MAX_REFUSED_POLLS
    }

    /// Whether the last report is at most two poll intervals old.
    pub fn has_fresh_report(&self, now: Time, poll: Duration) -> bool {
        self.last_report.is_some_and(|at| now.since(at) <= 2 * poll)
    }

    /// Memory in megabytes: the smaller of the listed and the reported size, or the one
    /// that is known; 0 if neither is.
    pub fn capacity_mb(&self) -> u64 {
        let reported = self.report.as_ref().map_or(0, |report| report.memory_mb);
        match (self.listing.memory_mb, reported) {
            (0, mb) | (mb, 0) => mb,
            (listed, reported) => listed.min(reported),
        }
    }

    /// Megabytes that may be in use now, pending loads included.
    pub fn used_mb(&self) -> u64 {
        let residents = self.report.as_ref().map(|report| &report.residents[..]);
        self.draft.possible_mb(residents.unwrap_or_default())
    }

    /// Megabytes that may be in use after a restart of the engine.
    pub fn restart_mb(&self) -> u64 {
        self.draft.restart_mb()
    }

    /// Whether the planner of this term may add orders: it owns the record, has a report,
    /// and all orders of the draft are stored.
    pub fn accepts_orders(&self, now: Time, term: u64) -> bool {
        self.phase == Phase::Idle
            && now >= self.retry_after
            && self.report.is_some()
            && self.is_recorded_by(term)
            && self.draft.intents.len() == self.confirmed().count()
    }

    /// Whether the record was last written in this term, so that former planners can't add
    /// orders to it.
    pub fn is_recorded_by(&self, term: u64) -> bool {
        self.stored.as_ref().is_some_and(|(r, _)| r.term == term)
    }

    /// Orders that are stored in the record and not removed from the draft.
    pub fn confirmed(&self) -> impl Iterator<Item = &Intent> {
        let stored = self.stored.iter().flat_map(|(record, _)| &record.intents);
        stored.filter_map(|intent| self.draft.intents.iter().find(|i| i.id == intent.id))
    }

    /// Orders that can still take effect in the engine's current incarnation, stored or
    /// about to be.
    pub fn pending(&self) -> impl Iterator<Item = &Intent> {
        let life = self.draft.life;
        self.draft
            .intents
            .iter()
            .filter(move |i| i.can_take_effect(life))
    }

    /// Copies that are loading or that a pending order may load.
    pub fn loading(&self) -> BTreeSet<CopyId> {
        let residents = self.report.iter().flat_map(|report| &report.residents);
        let running = residents
            .filter(|resident| resident.state == Residency::Loading)
            .map(|resident| (resident.row.clone(), resident.version.clone()));
        let pending = self.pending().filter_map(Intent::load).map(|(id, _)| id);
        running.chain(pending).collect()
    }

    /// Whether new requests may go to the copy: the copy is ready, a copy of its base is
    /// too, and no stored unload of either can take effect.
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
            .filter(|intent| intent.can_take_effect(life))
            .filter_map(Intent::unload)
            .any(|(name, of)| *name == *row && *of == *version)
    }

    /// Whether an unload of the copy is pending, stored or about to be.
    pub fn unloads(&self, row: &str, version: &str) -> bool {
        self.draft.unloads(row, version)
    }

    /// Whether the engine refused to load the row a moment ago.
    pub fn recently_refused(&self, now: Time, row: &str) -> bool {
        self.refused_until
            .get(row)
            .is_some_and(|until| now < *until)
    }

    /// Whether a poll is to be sent now. If so, records that it was sent. In any case sets
    /// the time of the next poll to `next` once the previous time has come.
    pub fn start_poll(&mut self, now: Time, next: Time) -> bool {
        let in_flight = self
            .poll_sent
            .is_some_and(|at| now.since(at) < 2 * CONTACT_TIMEOUT);
        if now < self.next_poll {
            return false;
        }
        self.next_poll = next;
        if !in_flight {
            self.poll_sent = Some(now);
        }
        !in_flight
    }

    /// Handles the outcome of a poll or of sending an order. Returns `true` if something
    /// has changed that plans depend on.
    pub fn on_contact(
        &mut self,
        now: Time,
        order: Option<u64>,
        contact: &Contact,
        settings: &Settings,
    ) -> bool {
        match order {
            None => self.poll_sent = None,
            Some(id) => self.on_order_contact(now, id, contact, settings),
        }
        match contact {
            Contact::Report(report) => {
                self.last_answer = Some(now);
                self.last_report = Some(now);
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
        let effective_ids = |draft: &Record| -> Vec<u64> {
            let effective = draft
                .intents
                .iter()
                .filter(|i| i.can_take_effect(draft.life));
            effective.map(|intent| intent.id).collect()
        };
        let before = effective_ids(&self.draft);
        self.draft.observe(report, self.listing.fencing);
        let after = effective_ids(&self.draft);
        self.note_refusals(now, report, &before, &after);
        let changed = before != after
            || self.report.as_ref().is_none_or(|old| {
                old.incarnation != report.incarnation
                    || old.residents != report.residents
                    || old.leaving != report.leaving
            });
        self.report = Some(report.clone());
        self.remove_settled(now);
        changed
    }

    /// Remembers loads that the engine has settled without having the copy: `before` and
    /// `after` are the ids of the orders that could take effect before and after the
    /// report.
    fn note_refusals(&mut self, now: Time, report: &Report, before: &[u64], after: &[u64]) {
        let ended = |intent: &&Intent| before.contains(&intent.id) && !after.contains(&intent.id);
        for intent in self.draft.intents.iter().filter(ended) {
            let Some(((row, version), _)) = intent.load() else {
                continue;
            };
            let here =
                |r: &&mulberryrack_core::upstream::Resident| r.row == row && r.version == version;
            if report.residents.iter().find(here).is_none() {
                self.refused_until.insert(row, now + REFUSED_LOAD_DELAY);
            }
        }
    }

    /// Adds an order to the draft. The order is sent once the draft is stored.
    pub fn add(&mut self, intent: Intent) {
        self.draft.intents.push(intent);
    }

    /// The call that reads or writes the record, if one is due.
    pub fn store_call(&mut self, now: Time, term: u64) -> Option<Op> {
        let key = || -> Name { format!("engine/{}", self.listing.name).into() };
        if self.store_wake(term).is_none_or(|at| now < at) {
            return None;
        }
        match &self.phase {
            Phase::InFlight(_) => None,
            Phase::Unread => {
                let op = Op::Get { key: key() };
                self.phase = Phase::InFlight(None);
                Some(op)
            }
            Phase::Idle => {
                let (_, expect) = self.stored.as_ref()?;
                let value = serde_json::to_vec(&self.draft).unwrap_or_default();
                let op = Op::Put {
                    key: key(),
                    value: value.into(),
                    expect: *expect,
                    lease: None,
                };
                self.phase = Phase::InFlight(Some(self.draft.clone()));
                Some(op)
            }
        }
    }

    /// When [`Engine::store_call`] has a call to make.
    pub fn store_wake(&self, term: u64) -> Option<Time> {
        match &self.phase {
            Phase::InFlight(_) => None,
            Phase::Unread => Some(self.retry_after),
            Phase::Idle => {
                let (stored, _) = self.stored.as_ref()?;
                let unwritten = self.draft.intents.len() > self.confirmed().count();
                if unwritten || stored.term != term || self.uncertain_write.is_some() {
                    return Some(self.retry_after);
                }
                let removed = stored.intents != self.draft.intents;
                removed.then(|| self.retry_after.max(self.cleanup_at))
            }
        }
    }

    /// Handles a successful write of the record. Newly stored loads may be sent at once;
    /// unloads wait until all hosts know that the copy is no longer routable.
    pub fn on_written(&mut self, now: Time, revision: Revision, settings: &Settings) {
        let Phase::InFlight(Some(record)) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            self.phase = Phase::Unread;
            return;
        };
        self.uncertain_write = None;
        let known: BTreeSet<u64> = self.confirmed().map(|intent| intent.id).collect();
        self.stored = Some((record, Some(revision)));
        let newly_stored: Vec<(u64, bool)> = self
            .confirmed()
            .filter(|intent| !known.contains(&intent.id))
            .map(|intent| (intent.id, intent.unload().is_some()))
            .collect();
        for (id, unload) in newly_stored {
            let wait = if unload {
                settings.unroute_delay
            } else {
                Duration::ZERO
            };
            self.deliveries.entry(id).or_default().next_send = now + wait;
        }
    }

    /// Handles a call that was certainly not applied. After a failed write, drops the
    /// orders that were to be added.
    pub fn on_not_stored(&mut self, now: Time) {
        self.retry_after = now + STORE_RETRY_DELAY;
        self.phase = match &self.phase {
            Phase::InFlight(Some(_)) => {
                let known: BTreeSet<u64> = self.confirmed().map(|intent| intent.id).collect();
                self.draft.intents.retain(|i| known.contains(&i.id));
                Phase::Idle
            }
            _ => Phase::Unread,
        };
    }

    /// Handles a call whose outcome is unknown: the record must be read again.
    pub fn on_outcome_unknown(&mut self, now: Time) {
        self.retry_after = now + STORE_RETRY_DELAY;
        if matches!(self.phase, Phase::InFlight(Some(_))) {
            let expected = self.stored.as_ref().and_then(|(_, revision)| *revision);
            self.uncertain_write = Some(UncertainWrite { expected });
        }
        self.phase = Phase::Unread;
    }

    /// Takes over the record as it is stored. Returns `false` if a planner of a later term
    /// has written the record.
    pub fn on_read(&mut self, now: Time, entry: Option<&Entry>, term: u64, s: &Settings) -> bool {
        let record: Record = entry
            .and_then(|entry| serde_json::from_slice(&entry.value).ok())
            .unwrap_or_default();
        if record.term > term {
            return false;
        }
        if self.stored.is_none() || record.term != term {
            self.taken_over = now;
        }
        let known: BTreeSet<u64> = self.deliveries.keys().copied().collect();
        for intent in &record.intents {
            let own_unload = intent.term == term && intent.unload().is_some();
            if own_unload && !known.contains(&intent.id) {
                self.deliveries.entry(intent.id).or_default().next_send = now + s.unroute_delay;
            }
        }
        let revision = entry.map(|entry| entry.revision);
        self.uncertain_write = self
            .uncertain_write
            .filter(|write| write.expected == revision);
        self.draft = record.clone();
        self.draft.term = term;
        self.stored = Some((record, entry.map(|entry| entry.revision)));
        self.phase = Phase::Idle;
        match self.report.take() {
            Some(report) if self.draft.accepts(&report) => {
                self.draft.observe(&report, self.listing.fencing);
                self.report = Some(report);
            }
            _ => {}
        }
        true
    }

    /// Whether the copy has been published as routable for at least `spread`, the time that
    /// a value takes to reach every host, and no unload of the copy may be recorded.
    pub fn known_routable(&self, now: Time, row: &Name, version: &Name, spread: Duration) -> bool {
        let since = self.routable_since.get(&(row.clone(), version.clone()));
        self.uncertain_write.is_none()
            && !self.draft.unloads(row, version)
            && since.is_some_and(|since| now.since(*since) >= spread)
    }

    /// Whether the planner of this term has no copy published as routable.
    pub fn nothing_routable(&self) -> bool {
        self.routable_since.is_empty()
    }

    /// The value to publish, if it differs from the last published one. Copies are routable
    /// only if `routing` is set.
    pub fn publish(
        &mut self,
        now: Time,
        term: u64,
        routing: bool,
        base: impl Fn(&str) -> Option<Name>,
    ) -> Option<Bytes> {
        let report = self.report.as_ref().filter(|_| self.is_recorded_by(term))?;
        let mut residents = Vec::with_capacity(report.residents.len());
        let mut since = BTreeMap::new();
        for resident in &report.residents {
            let (row, version) = (&resident.row, &resident.version);
            let routable = routing && self.routable(row, version, base(row).as_deref());
            if routable {
                let id = (row.clone(), version.clone());
                let at = self.routable_since.get(&id).copied().unwrap_or(now);
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
        self.routable_since = since;
        let bytes = Bytes::from(value.encode_to_vec());
        if self.published.as_ref() == Some(&bytes) {
            return None;
        }
        self.published = Some(bytes.clone());
        Some(bytes)
    }
}
