//! The table in the key-value service: a few hosts of each data centre watch the newest
//! version, and proposals write new ones.

use crate::{
    Output, ProposalOutcome,
    budget::Budget,
    context::Context,
    freshness::{Evidence, NewestEvidence},
    hosts::Hosts,
    probe,
    proposal::{Proposal, Step},
    table_read::{
        Goal, HEAD_KEY, ReadOutcome, TableRead, VERSION_KEY_PREFIX, VERSIONS_PER_SNAPSHOT,
        decode_record, oldest_kept, version_key,
    },
    table_sync::{Offer, TableSync},
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

/// Time for which a starting host waits for a table from other hosts before it polls the
/// key-value service.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(300);
/// Time for which other hosts can deliver a version that the key-value service has shown
/// before this host reads the version from the service.
const PEER_DELIVERY_DELAY: Duration = Duration::from_millis(300);
/// Delay of a poll after the first failure; doubled by each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of waiting proposals, and of waiting reads of operators.
const MAX_QUEUED: usize = 32;

/// The purpose of a call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Reads the newest version.
    Poll,
    /// Waits for a change of the newest version.
    Watch,
    /// Reads the newest version and its history to adopt it.
    NewestRead,
    /// Carries out the first proposal in the queue.
    Proposal,
    /// Carries out the first read in the queue.
    OperatorRead,
    /// Lists old versions to delete.
    ListVersions,
    /// Deletes an old version.
    DeleteVersion,
}

/// A call to the key-value service that waits for its outcome.
#[derive(Clone, Copy, Debug)]
struct Call {
    purpose: Purpose,
    sent: Time,
    deadline: Time,
}

/// The newest version in the key-value service, with the revision of its key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    revision: Revision,
    version: u64,
}

/// The other parts of the membership area that [`TableStore`] uses.
pub(crate) struct Parts<'a> {
    pub hosts: &'a Hosts,
    pub table_sync: &'a mut TableSync,
    pub evidence: &'a mut NewestEvidence,
}

/// Calls to the key-value service, and the polls, reads and proposals that make them.
pub(crate) struct TableStore {
    next_token: u64,
    calls: BTreeMap<CallId, Call>,
    budget: Budget,
    /// The newest version that the key-value service has shown; zeros if the service had no
    /// table, `None` before the first reply.
    head: Option<Head>,
    next_poll: Time,
    /// Whether this host had no reason to poll until now. Its first poll is then randomly
    /// delayed, since many hosts may come to need a poll at the same time.
    was_idle: bool,
    /// Consecutive failed polls.
    failures: u32,
    /// A read in progress of the newest version, to adopt it.
    newest_read: Option<TableRead>,
    /// When to start the read of the newest version unless the version has arrived by then.
    newest_read_at: Option<Time>,
    proposals: VecDeque<Proposal>,
    reads: VecDeque<TableRead>,
    /// Deletes of old versions that have yet to be sent.
    deletes: VecDeque<Op>,
    /// Version that a proposal at this host has stored, until it is pushed to other
    /// hosts.
    pub accepted_version: Option<u64>,
    /// Number of calls since the start.
    pub total_calls: u64,
}

impl TableStore {
    pub fn new(cx: &Context) -> Self {
        Self {
            next_token: 0,
            calls: BTreeMap::new(),
            budget: Budget::new(cx.settings.calls_per_second, cx.now),
            head: None,
            next_poll: cx.now + FIRST_POLL_DELAY,
            was_idle: true,
            failures: 0,
            newest_read: None,
            newest_read_at: None,
            proposals: VecDeque::new(),
            reads: VecDeque::new(),
            deletes: VecDeque::new(),
            accepted_version: None,
            total_calls: 0,
        }
    }

    /// Queues a proposal, or ends it at once as not written if the table cannot be stored
    /// or the queue is full.
    pub fn propose(&mut self, cx: &mut Context, proposal: Proposal) {
        let valid = proposal.is_valid();
        if !valid {
            cx.note(Note::new(Level::Error, "table-not-storable"));
        }
        if !valid || self.proposals.len() >= MAX_QUEUED {
            cx.out.push(Output::ProposalEnded {
                ticket: proposal.ticket,
                outcome: ProposalOutcome::NotWritten,
            });
            return;
        }
        self.proposals.push_back(proposal);
    }

    /// Queues a read of one version or of the history; it fails at once if the queue is
    /// full.
    pub fn read(&mut self, cx: &mut Context, ticket: u64, version: Option<u64>) {
        if self.reads.len() >= MAX_QUEUED {
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
        self.reads
            .push_back(TableRead::new(goal, cx.now, &cx.settings));
    }

    pub fn next_wake(&self) -> Option<Time> {
        let calls = self.calls.values().map(|call| call.deadline).min();
        let polls = (!self.is_polling()).then_some(self.next_poll);
        let reads = [self.newest_read.as_ref(), self.reads.front()]
            .into_iter()
            .flatten()
            .map(TableRead::next_wake)
            .min();
        let proposals = self.proposals.front().map(Proposal::next_wake);
        [polls, reads, proposals, self.newest_read_at]
            .into_iter()
            .fold(calls, earliest)
    }

    /// Whether a poll or a watch waits for its outcome.
    fn is_polling(&self) -> bool {
        self.calls
            .values()
            .any(|call| matches!(call.purpose, Purpose::Poll | Purpose::Watch))
    }

    fn call(&mut self, cx: &mut Context, purpose: Purpose, op: Op) {
        self.next_token += 1;
        self.total_calls += 1;
        let token = CallId(self.next_token);
        let watch_wait = match &op {
            Op::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let call = Call {
            purpose,
            sent: cx.now,
            deadline: cx.now + watch_wait + cx.settings.call_timeout,
        };
        self.calls.insert(token, call);
        cx.out.push(Output::Kv { token, op });
    }

    pub fn tick(&mut self, cx: &mut Context, parts: &mut Parts) {
        self.expire_calls(cx, parts);
        self.tick_poll(cx, parts);
        self.tick_newest_read(cx, parts);
        self.tick_proposal(cx, parts);
        self.tick_read(cx, parts);
        self.tick_deletes(cx);
    }

    /// Treats calls past their deadline as calls with an unknown outcome.
    fn expire_calls(&mut self, cx: &mut Context, parts: &mut Parts) {
        let late: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.deadline <= cx.now)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            self.on_outcome(cx, parts, token, Err(Fault::Unknown));
        }
    }

    /// Polls or watches the newest version if it is time to and this host has to.
    fn tick_poll(&mut self, cx: &mut Context, parts: &mut Parts) {
        if cx.now < self.next_poll || self.is_polling() {
            return;
        }
        let watcher = is_watcher(cx, parts.hosts);
        if !watcher && !needs_poll(cx, parts) {
            self.was_idle = true;
            self.next_poll = cx.now + cx.settings.heartbeat_interval;
            return;
        }
        let at_once = watcher && parts.table_sync.table().is_some();
        if std::mem::take(&mut self.was_idle) && !at_once {
            let span = probe::fleet_call_interval(parts.hosts, cx.settings.fleet_calls_per_second);
            self.next_poll = cx.now + cx.jitter(span);
            return;
        }
        if !self.budget.try_take(cx.now) {
            self.next_poll = cx.now + self.budget.wait_time();
            return;
        }
        match self.head {
            Some(head) if watcher && !parts.table_sync.is_behind() => {
                let op = Op::Watch {
                    prefix: HEAD_KEY.into(),
                    after: head.revision,
                    wait: cx.settings.watch_timeout,
                };
                self.call(cx, Purpose::Watch, op);
            }
            _ => self.call(
                cx,
                Purpose::Poll,
                Op::Get {
                    key: HEAD_KEY.into(),
                },
            ),
        }
    }

    fn tick_newest_read(&mut self, cx: &mut Context, parts: &mut Parts) {
        if self.newest_read_at.is_some_and(|at| cx.now >= at) {
            self.newest_read_at = None;
            if parts.table_sync.is_behind() && self.newest_read.is_none() {
                self.newest_read = Some(TableRead::new(Goal::Newest, cx.now, &cx.settings));
            }
        }
        let Some(read) = &mut self.newest_read else {
            return;
        };
        if read.is_expired(cx.now) {
            self.newest_read = None;
            return;
        }
        if let Some(op) = read.next_op(cx.now) {
            self.budget.force_take(cx.now);
            self.call(cx, Purpose::NewestRead, op);
        }
    }

    fn tick_proposal(&mut self, cx: &mut Context, parts: &mut Parts) {
        while let Some(proposal) = self.proposals.front() {
            let Some(outcome) = proposal.final_outcome(cx.now, parts.table_sync.table()) else {
                break;
            };
            self.end_proposal(cx, outcome);
        }
        let in_force = parts.table_sync.table().cloned();
        let op = self
            .proposals
            .front_mut()
            .and_then(|proposal| proposal.next_op(cx.now, in_force.as_deref()));
        if let Some(op) = op {
            self.budget.force_take(cx.now);
            self.call(cx, Purpose::Proposal, op);
        }
    }

    fn end_proposal(&mut self, cx: &mut Context, outcome: ProposalOutcome) {
        let Some(proposal) = self.proposals.pop_front() else {
            return;
        };
        // An answer still on its way belongs to this proposal, not to the next one.
        self.calls
            .retain(|_, call| call.purpose != Purpose::Proposal);
        cx.out.push(Output::ProposalEnded {
            ticket: proposal.ticket,
            outcome,
        });
    }

    fn tick_read(&mut self, cx: &mut Context, _parts: &mut Parts) {
        while self
            .reads
            .front()
            .is_some_and(|read| read.is_expired(cx.now))
        {
            self.end_read(cx, ReadOutcome::Failed);
        }
        let op = self.reads.front_mut().and_then(|read| read.next_op(cx.now));
        if let Some(op) = op {
            self.budget.force_take(cx.now);
            self.call(cx, Purpose::OperatorRead, op);
        }
    }

    fn end_read(&mut self, cx: &mut Context, outcome: ReadOutcome) {
        let Some(read) = self.reads.pop_front() else {
            return;
        };
        self.calls
            .retain(|_, call| call.purpose != Purpose::OperatorRead);
        let (Goal::Version { ticket, .. } | Goal::History { ticket }) = read.goal else {
            return;
        };
        let tables = match outcome {
            ReadOutcome::Found(tables) => Some(tables),
            ReadOutcome::Failed => None,
        };
        cx.out.push(Output::Read { ticket, tables });
    }

    fn tick_deletes(&mut self, cx: &mut Context) {
        let busy = self
            .calls
            .values()
            .any(|call| call.purpose == Purpose::DeleteVersion);
        if busy || self.deletes.is_empty() || !self.budget.try_take(cx.now) {
            return;
        }
        if let Some(op) = self.deletes.pop_front() {
            self.call(cx, Purpose::DeleteVersion, op);
        }
    }

    /// Handles the outcome of a call. The outcome of a call that has expired is ignored.
    pub fn on_outcome(
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
            Purpose::Poll | Purpose::Watch => self.on_poll_reply(cx, parts, call, outcome),
            Purpose::NewestRead => self.on_newest_reply(cx, parts, call, outcome.ok()),
            Purpose::Proposal => self.on_proposal_reply(cx, parts, call, outcome),
            Purpose::OperatorRead => self.on_operator_reply(cx, parts, outcome.ok()),
            Purpose::ListVersions => self.queue_deletes(outcome.ok(), parts.table_sync.version()),
            Purpose::DeleteVersion => {}
        }
    }

    fn on_poll_reply(&mut self, cx: &mut Context, parts: &mut Parts, call: Call, outcome: Outcome) {
        match outcome {
            Ok(Reply::Entry(Some(entry))) => self.on_head_entry(cx, parts, call.sent, &entry),
            Ok(Reply::Entry(None)) => self.head = self.head.or(Some(Head::default())),
            Ok(Reply::Changes {
                entries, revision, ..
            }) => {
                let entry = entries.iter().find(|entry| &*entry.key == HEAD_KEY);
                let head = self.head.unwrap_or_default();
                if let Some(entry) = entry {
                    self.on_head_entry(cx, parts, call.sent, entry);
                } else if head.revision > revision || head.version < parts.table_sync.version() {
                    // A key-value service that shows a lower version than the one in force,
                    // or a lower revision than before, confirms nothing.
                    self.back_off(cx, parts);
                    return;
                } else if head.version > 0 {
                    add_evidence(parts, head.version, call.sent);
                }
            }
            Ok(_) | Err(_) => {
                self.back_off(cx, parts);
                return;
            }
        }
        self.failures = 0;
        self.next_poll = cx.now;
        if !is_watcher(cx, parts.hosts) || parts.table_sync.table().is_none() {
            let span = probe::fleet_call_interval(parts.hosts, cx.settings.fleet_calls_per_second);
            self.next_poll = cx.now + cx.settings.heartbeat_interval + cx.jitter(span);
        }
    }

    /// Delays the next poll, exponentially by the number of failures and with jitter.
    fn back_off(&mut self, cx: &mut Context, parts: &Parts) {
        let doubled = MIN_BACKOFF * 2u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        let mut span = doubled.min(cx.settings.max_backoff);
        if !is_watcher(cx, parts.hosts) {
            span += probe::fleet_call_interval(parts.hosts, cx.settings.fleet_calls_per_second);
        }
        self.next_poll = cx.now + span / 2 + cx.jitter(span / 2);
    }

    /// Handles the newest version as the key-value service has shown it.
    fn on_head_entry(&mut self, cx: &mut Context, parts: &mut Parts, sent: Time, entry: &Entry) {
        if let Some(record) = decode_record(&entry.value) {
            self.on_head_record(cx, parts, sent, &record, entry.revision);
        }
    }

    /// Adopts the newest version or schedules a read of it; a call sent at `sent`
    /// returned it.
    fn on_head_record(
        &mut self,
        cx: &mut Context,
        parts: &mut Parts,
        sent: Time,
        record: &Record,
        revision: Revision,
    ) {
        if record.version < parts.table_sync.version() {
            // A stale answer neither confirms the version in force nor changes where the
            // next watch starts.
            cx.note(
                Note::new(Level::Warn, "table-service-stale")
                    .with("version", record.version)
                    .with("in_force", parts.table_sync.version()),
            );
            return;
        }
        let version = record.version;
        self.head = self.head.max(Some(Head { revision, version }));
        add_evidence(parts, record.version, sent);
        if parts.table_sync.offer(cx, record) == Offer::NotApplicable
            && self.newest_read_at.is_none()
        {
            let span = if is_watcher(cx, parts.hosts) {
                Duration::ZERO
            } else {
                probe::fleet_call_interval(parts.hosts, cx.settings.fleet_calls_per_second)
            };
            self.newest_read_at = Some(cx.now + PEER_DELIVERY_DELAY + cx.jitter(span));
        }
    }

    fn on_newest_reply(
        &mut self,
        cx: &mut Context,
        parts: &mut Parts,
        call: Call,
        reply: Option<Reply>,
    ) {
        let Some(read) = &mut self.newest_read else {
            return;
        };
        let in_force = parts.table_sync.table().cloned();
        let Some(ReadOutcome::Found(tables)) = read.on_reply(cx.now, reply, in_force.as_deref())
        else {
            return;
        };
        self.newest_read = None;
        for table in tables {
            add_evidence(parts, table.version, call.sent);
            parts.table_sync.offer_table(cx, Table::clone(&table), "");
        }
    }

    fn on_proposal_reply(
        &mut self,
        cx: &mut Context,
        parts: &mut Parts,
        call: Call,
        outcome: Outcome,
    ) {
        let in_force = parts.table_sync.table().cloned();
        let Some(proposal) = self.proposals.front_mut() else {
            return;
        };
        match proposal.on_reply(cx.now, outcome, in_force.as_deref()) {
            Step::Undecided => {}
            Step::HeadSeen(record, revision) => {
                self.on_head_record(cx, parts, call.sent, &record, revision);
            }
            Step::Accepted(record, revision) => {
                let version = record.version;
                self.accepted_version = Some(version);
                self.on_head_record(cx, parts, call.sent, &record, revision);
                self.end_proposal(cx, ProposalOutcome::Accepted { version });
                self.start_trim(cx, version);
            }
            Step::Repeat(version) => self.end_proposal(cx, ProposalOutcome::Accepted { version }),
            Step::Ended(outcome) => self.end_proposal(cx, outcome),
        }
    }

    fn on_operator_reply(&mut self, cx: &mut Context, parts: &mut Parts, reply: Option<Reply>) {
        let in_force = parts.table_sync.table().cloned();
        let outcome = self
            .reads
            .front_mut()
            .and_then(|read| read.on_reply(cx.now, reply, in_force.as_deref()));
        if let Some(outcome) = outcome {
            self.end_read(cx, outcome);
        }
    }

    /// Starts to delete the versions that no read needs any more, once every
    /// [`VERSIONS_PER_SNAPSHOT`] versions.
    fn start_trim(&mut self, cx: &mut Context, version: u64) {
        if version.is_multiple_of(VERSIONS_PER_SNAPSHOT)
            && oldest_kept(version) > 0
            && self.deletes.is_empty()
        {
            let op = Op::List {
                prefix: VERSION_KEY_PREFIX.into(),
                after: None,
                limit: u32::try_from(VERSIONS_PER_SNAPSHOT * 2).unwrap_or(u32::MAX),
            };
            self.call(cx, Purpose::ListVersions, op);
        }
    }

    /// Queues deletes of the listed versions that are no longer needed.
    fn queue_deletes(&mut self, reply: Option<Reply>, version: u64) {
        let Some(Reply::Entries { entries, .. }) = reply else {
            return;
        };
        let oldest: Arc<str> = version_key(oldest_kept(version));
        self.deletes = entries
            .into_iter()
            .filter(|entry| entry.key < oldest)
            .map(|entry| Op::Delete {
                key: entry.key,
                expect: entry.revision,
            })
            .collect();
    }
}

/// Records that `version` was the newest version at the moment `at`.
fn add_evidence(parts: &mut Parts, version: u64, at: Time) {
    let in_force = parts.table_sync.version();
    parts.evidence.add(Evidence { version, at }, in_force);
}

/// Whether this host is one of the few hosts of its data centre that watch the newest
/// version.
fn is_watcher(cx: &Context, hosts: &Hosts) -> bool {
    probe::chosen_hosts(hosts, "table-watch", cx.settings.watchers).contains(&hosts.me.name)
}

/// Whether this host must poll the key-value service although it is not a watcher: it has
/// no table, or its newest evidence is older than half of the limit.
fn needs_poll(cx: &Context, parts: &Parts) -> bool {
    let bound = cx.settings.max_evidence_age / 2;
    parts.table_sync.table().is_none() || parts.evidence.age(cx.now).is_none_or(|age| age > bound)
}
