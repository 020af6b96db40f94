//! The table in the key-value service: watched by few hosts, written by proposals.

use crate::{
    Output, Verdict,
    budget::Budget,
    context::Context,
    currency::{Evidence, Proof},
    hosts::Hosts,
    load::{End, Goal, HEAD, Load, SNAPSHOT, VERSIONS, decode, key, oldest_kept},
    probe,
    proposal::{Proposal, Step},
    relay::{Offer, Relay},
};
use mulberryrack_core::{
    Time, earliest,
    kv::{CallId, Entry, Fault, Op, Outcome, Reply, Revision},
    note::{Level, Note},
};
use mulberryrack_table::Table;
use mulberryrack_wire::member::Record;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Time that a starting host gives its peers before it asks the service.
const PEERS_FIRST: Duration = Duration::from_millis(300);
/// Time that peers are given to deliver a version that the service has named.
const RELAY_FIRST: Duration = Duration::from_millis(300);
/// First time between two tries; doubled by each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Operators' reads and proposals that wait at most.
const MAX_WAITING: usize = 32;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Poll,
    Watch,
    Newest,
    Proposal,
    Operator,
    Trim,
    Delete,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    purpose: Purpose,
    sent: Time,
    until: Time,
}

/// A version as the service has shown it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    revision: Revision,
    version: u64,
}

/// What the store needs of the other parts.
pub(crate) struct Parts<'a> {
    pub hosts: &'a Hosts,
    pub relay: &'a mut Relay,
    pub proof: &'a mut Proof,
}

/// Calls to the service and what they are for.
pub(crate) struct Store {
    next_token: u64,
    calls: BTreeMap<CallId, Call>,
    budget: Budget,
    /// The newest version that the service has shown; zeros if there was none.
    head: Option<Head>,
    poll_at: Time,
    /// Whether no call of its own was due; hosts that come to need one at the same time
    /// do not make it at the same time.
    rested: bool,
    failures: u32,
    newest: Option<Load>,
    load_at: Option<Time>,
    proposals: VecDeque<Proposal>,
    reads: VecDeque<Load>,
    trims: VecDeque<Op>,
    /// Version that this host has just made, until it is pushed to peers.
    pub won: Option<u64>,
    /// Calls made since the start.
    pub total: u64,
}

impl Store {
    pub fn new(cx: &Context) -> Self {
        Self {
            next_token: 0,
            calls: BTreeMap::new(),
            budget: Budget::new(cx.settings.calls_per_second, cx.now),
            head: None,
            poll_at: cx.now + PEERS_FIRST,
            rested: true,
            failures: 0,
            newest: None,
            load_at: None,
            proposals: VecDeque::new(),
            reads: VecDeque::new(),
            trims: VecDeque::new(),
            won: None,
            total: 0,
        }
    }

    /// An operator proposes a version.
    pub fn propose(&mut self, cx: &mut Context, proposal: Proposal) {
        let valid = proposal.is_valid();
        if !valid {
            cx.note(Note::new(Level::Error, "table-not-storable"));
        }
        if !valid || self.proposals.len() >= MAX_WAITING {
            cx.out.push(Output::Accepted {
                ticket: proposal.ticket,
                verdict: Verdict::NotWritten,
            });
            return;
        }
        self.proposals.push_back(proposal);
    }

    /// An operator reads one version, or the history.
    pub fn read(&mut self, cx: &mut Context, ticket: u64, version: Option<u64>) {
        if self.reads.len() >= MAX_WAITING {
            cx.out.push(Output::Read {
                ticket,
                tables: None,
            });
            return;
        }
        let goal = version.map_or(Goal::History { ticket }, |version| Goal::Version {
            ticket,
            version,
        });
        self.reads.push_back(Load::new(goal, cx.now, &cx.settings));
    }

    pub fn next_wake(&self) -> Option<Time> {
        let calls = self.calls.values().map(|call| call.until).min();
        let polls = (!self.is_polling()).then_some(self.poll_at);
        let loads = [self.newest.as_ref(), self.reads.front()]
            .into_iter()
            .flatten()
            .map(Load::next_wake)
            .min();
        let proposals = self.proposals.front().map(Proposal::next_wake);
        [polls, loads, proposals, self.load_at]
            .into_iter()
            .fold(calls, earliest)
    }

    fn is_polling(&self) -> bool {
        self.calls
            .values()
            .any(|call| matches!(call.purpose, Purpose::Poll | Purpose::Watch))
    }

    fn call(&mut self, cx: &mut Context, purpose: Purpose, op: Op) {
        self.next_token += 1;
        self.total += 1;
        let token = CallId(self.next_token);
        let held = match &op {
            Op::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let call = Call {
            purpose,
            sent: cx.now,
            until: cx.now + held + cx.settings.call,
        };
        self.calls.insert(token, call);
        cx.out.push(Output::Kv { token, op });
    }

    pub fn tick(&mut self, cx: &mut Context, parts: &mut Parts) {
        self.expire(cx, parts);
        self.tick_poll(cx, parts);
        self.tick_newest(cx, parts);
        self.tick_proposal(cx, parts);
        self.tick_read(cx, parts);
        self.tick_trim(cx);
    }

    fn expire(&mut self, cx: &mut Context, parts: &mut Parts) {
        let late: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.until <= cx.now)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            self.outcome(cx, parts, token, Err(Fault::Unknown));
        }
    }

    fn tick_poll(&mut self, cx: &mut Context, parts: &mut Parts) {
        if cx.now < self.poll_at || self.is_polling() {
            return;
        }
        let watches = watches(cx, parts.hosts);
        if !watches && !is_stale(cx, parts) {
            self.rested = true;
            self.poll_at = cx.now + cx.settings.heartbeat;
            return;
        }
        let alone = watches && parts.relay.table().is_some();
        if std::mem::take(&mut self.rested) && !alone {
            let span = probe::share(parts.hosts, cx.settings.fleet_calls_per_second);
            self.poll_at = cx.now + cx.jitter(span);
            return;
        }
        if !self.budget.ask(cx.now) {
            self.poll_at = cx.now + self.budget.wait();
            return;
        }
        match self.head {
            Some(head) if watches && !parts.relay.is_behind() => {
                let op = Op::Watch {
                    prefix: HEAD.into(),
                    after: head.revision,
                    wait: cx.settings.watch,
                };
                self.call(cx, Purpose::Watch, op);
            }
            _ => self.call(cx, Purpose::Poll, Op::Get { key: HEAD.into() }),
        }
    }

    fn tick_newest(&mut self, cx: &mut Context, parts: &mut Parts) {
        if self.load_at.is_some_and(|at| cx.now >= at) {
            self.load_at = None;
            if parts.relay.is_behind() && self.newest.is_none() {
                self.newest = Some(Load::new(Goal::Newest, cx.now, &cx.settings));
            }
        }
        let Some(load) = &mut self.newest else {
            return;
        };
        if load.is_over(cx.now) {
            self.newest = None;
            return;
        }
        if let Some(op) = load.op(cx.now) {
            self.budget.take(cx.now);
            self.call(cx, Purpose::Newest, op);
        }
    }

    fn tick_proposal(&mut self, cx: &mut Context, parts: &mut Parts) {
        while let Some(proposal) = self.proposals.front() {
            let Some(verdict) = proposal.settle(cx.now, parts.relay.table()) else {
                break;
            };
            self.end_proposal(cx, verdict);
        }
        let mine = parts.relay.table().cloned();
        let op = self
            .proposals
            .front_mut()
            .and_then(|proposal| proposal.op(cx.now, mine.as_deref()));
        if let Some(op) = op {
            self.budget.take(cx.now);
            self.call(cx, Purpose::Proposal, op);
        }
    }

    fn end_proposal(&mut self, cx: &mut Context, verdict: Verdict) {
        let Some(proposal) = self.proposals.pop_front() else {
            return;
        };
        // An answer still under way belongs to this proposal, not to the next one.
        self.calls
            .retain(|_, call| call.purpose != Purpose::Proposal);
        cx.out.push(Output::Accepted {
            ticket: proposal.ticket,
            verdict,
        });
    }

    fn tick_read(&mut self, cx: &mut Context, _parts: &mut Parts) {
        while self.reads.front().is_some_and(|load| load.is_over(cx.now)) {
            self.end_read(cx, End::Failed);
        }
        let op = self.reads.front_mut().and_then(|load| load.op(cx.now));
        if let Some(op) = op {
            self.budget.take(cx.now);
            self.call(cx, Purpose::Operator, op);
        }
    }

    fn end_read(&mut self, cx: &mut Context, end: End) {
        let Some(load) = self.reads.pop_front() else {
            return;
        };
        self.calls
            .retain(|_, call| call.purpose != Purpose::Operator);
        let (Goal::Version { ticket, .. } | Goal::History { ticket }) = load.goal else {
            return;
        };
        let tables = match end {
            End::Found(tables) => Some(tables),
            End::Failed => None,
        };
        cx.out.push(Output::Read { ticket, tables });
    }

    fn tick_trim(&mut self, cx: &mut Context) {
        let busy = self
            .calls
            .values()
            .any(|call| call.purpose == Purpose::Delete);
        if busy || self.trims.is_empty() || !self.budget.ask(cx.now) {
            return;
        }
        if let Some(op) = self.trims.pop_front() {
            self.call(cx, Purpose::Delete, op);
        }
    }

    /// Takes in what came of a call. One that took too long is no longer known.
    pub fn outcome(
        &mut self,
        cx: &mut Context,
        parts: &mut Parts,
        token: CallId,
        outcome: Outcome,
    ) {
        let Some(call) = self.calls.remove(&token) else {
            return;
        };
        match call.purpose {
            Purpose::Poll | Purpose::Watch => self.polled(cx, parts, call, outcome),
            Purpose::Newest => self.loaded(cx, parts, call, outcome.ok()),
            Purpose::Proposal => self.proposed(cx, parts, call, outcome),
            Purpose::Operator => self.read_done(cx, parts, outcome.ok()),
            Purpose::Trim => self.trim(outcome.ok(), parts.relay.version()),
            Purpose::Delete => {}
        }
    }

    fn polled(&mut self, cx: &mut Context, parts: &mut Parts, call: Call, outcome: Outcome) {
        match outcome {
            Ok(Reply::Entry(Some(entry))) => self.see(cx, parts, call.sent, &entry),
            Ok(Reply::Entry(None)) => self.head = self.head.or(Some(Head::default())),
            Ok(Reply::Changes {
                entries, revision, ..
            }) => {
                let entry = entries.iter().find(|entry| &*entry.key == HEAD);
                let head = self.head.unwrap_or_default();
                if let Some(entry) = entry {
                    self.see(cx, parts, call.sent, entry);
                } else if head.revision > revision || head.version < parts.relay.version() {
                    // A service that is behind what is in force, or behind what it has
                    // shown before, confirms nothing.
                    self.fail(cx, parts);
                    return;
                } else if head.version > 0 {
                    confirm(parts, head.version, call.sent);
                }
            }
            Ok(_) | Err(_) => {
                self.fail(cx, parts);
                return;
            }
        }
        self.failures = 0;
        self.poll_at = cx.now;
        if !watches(cx, parts.hosts) || parts.relay.table().is_none() {
            let span = probe::share(parts.hosts, cx.settings.fleet_calls_per_second);
            self.poll_at = cx.now + cx.settings.heartbeat + cx.jitter(span);
        }
    }

    /// The next try comes later after each failure, and at a random moment.
    fn fail(&mut self, cx: &mut Context, parts: &Parts) {
        let doubled = FIRST_BACKOFF * 2u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        let mut span = doubled.min(cx.settings.backoff);
        if !watches(cx, parts.hosts) {
            span += probe::share(parts.hosts, cx.settings.fleet_calls_per_second);
        }
        self.poll_at = cx.now + span / 2 + cx.jitter(span / 2);
    }

    /// The service has shown its newest version.
    fn see(&mut self, cx: &mut Context, parts: &mut Parts, sent: Time, entry: &Entry) {
        if let Some(record) = decode(&entry.value) {
            self.seen(cx, parts, sent, &record, entry.revision);
        }
    }

    fn seen(
        &mut self,
        cx: &mut Context,
        parts: &mut Parts,
        sent: Time,
        record: &Record,
        revision: Revision,
    ) {
        if record.version < parts.relay.version() {
            // A stale answer; it neither confirms nor moves the watch.
            cx.note(
                Note::new(Level::Warn, "table-service-stale")
                    .with("version", record.version)
                    .with("in_force", parts.relay.version()),
            );
            return;
        }
        let version = record.version;
        self.head = self.head.max(Some(Head { revision, version }));
        confirm(parts, record.version, sent);
        if parts.relay.offer(cx, record) == Offer::Gap && self.load_at.is_none() {
            let span = if watches(cx, parts.hosts) {
                Duration::ZERO
            } else {
                probe::share(parts.hosts, cx.settings.fleet_calls_per_second)
            };
            self.load_at = Some(cx.now + RELAY_FIRST + cx.jitter(span));
        }
    }

    fn loaded(&mut self, cx: &mut Context, parts: &mut Parts, call: Call, reply: Option<Reply>) {
        let Some(load) = &mut self.newest else {
            return;
        };
        let mine = parts.relay.table().cloned();
        let Some(End::Found(tables)) = load.take(cx.now, reply, mine.as_deref()) else {
            return;
        };
        self.newest = None;
        for table in tables {
            confirm(parts, table.version, call.sent);
            parts.relay.put(cx, Table::clone(&table), "");
        }
    }

    fn proposed(&mut self, cx: &mut Context, parts: &mut Parts, call: Call, outcome: Outcome) {
        let mine = parts.relay.table().cloned();
        let Some(proposal) = self.proposals.front_mut() else {
            return;
        };
        match proposal.take(cx.now, outcome, mine.as_deref()) {
            Step::Open => {}
            Step::Seen(record, revision) => {
                self.seen(cx, parts, call.sent, &record, revision);
            }
            Step::Won(record, revision) => {
                let version = record.version;
                self.won = Some(version);
                self.seen(cx, parts, call.sent, &record, revision);
                self.end_proposal(cx, Verdict::Won { version });
                self.plan_trim(cx, version);
            }
            Step::WonBefore(version) => self.end_proposal(cx, Verdict::Won { version }),
            Step::Ended(verdict) => self.end_proposal(cx, verdict),
        }
    }

    fn read_done(&mut self, cx: &mut Context, parts: &mut Parts, reply: Option<Reply>) {
        let mine = parts.relay.table().cloned();
        let end = self
            .reads
            .front_mut()
            .and_then(|load| load.take(cx.now, reply, mine.as_deref()));
        if let Some(end) = end {
            self.end_read(cx, end);
        }
    }

    /// Versions that are too old are dropped now and then.
    fn plan_trim(&mut self, cx: &mut Context, version: u64) {
        if version.is_multiple_of(SNAPSHOT) && oldest_kept(version) > 0 && self.trims.is_empty() {
            let op = Op::List {
                prefix: VERSIONS.into(),
                after: None,
                limit: u32::try_from(SNAPSHOT * 2).unwrap_or(u32::MAX),
            };
            self.call(cx, Purpose::Trim, op);
        }
    }

    fn trim(&mut self, reply: Option<Reply>, version: u64) {
        let Some(Reply::Entries { entries, .. }) = reply else {
            return;
        };
        let oldest: Arc<str> = key(oldest_kept(version));
        self.trims = entries
            .into_iter()
            .filter(|entry| entry.key < oldest)
            .map(|entry| Op::Delete {
                key: entry.key,
                expect: entry.revision,
            })
            .collect();
    }
}

fn confirm(parts: &mut Parts, version: u64, at: Time) {
    let mine = parts.relay.version();
    parts.proof.add(Evidence { version, at }, mine);
}

/// Whether this host is one of the few that watch for its data centre.
fn watches(cx: &Context, hosts: &Hosts) -> bool {
    probe::chosen(hosts, "table-watch", cx.settings.watchers).contains(&hosts.me.name)
}

/// Whether this host has to ask the service though others watch: it has no table, or no
/// peer has confirmed it for half of the bound.
fn is_stale(cx: &Context, parts: &Parts) -> bool {
    let bound = cx.settings.current / 2;
    parts.relay.table().is_none() || parts.proof.age(cx.now).is_none_or(|age| age > bound)
}
