//! The owner of a shard: decides claims for the request ids of the shard and appends
//! records to its log.
//!
//! A record passes three stages. It waits in [`Owner::pending`]; it is sent, in an entry
//! to the key-value service or in a batch to the successor; it is durable once the
//! service or the successor has confirmed it. A claim is granted only once its intent is
//! durable.

use crate::{
    commit::EntryWrite,
    compaction::Compactor,
    context::Context,
    fate_query::FateQuery,
    intents::{Intent, Intents, State},
    life::Life,
    log::Header,
    record::{self, ClaimId, Kind, Record},
    witness::WitnessSender,
};
use mulberryrack_core::{Time, earliest, kv, note::Level, outcome::Doubt};
use mulberryrack_wire::ledger::{self as wire, answer::Verdict, frame::Body};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Largest number of claims for one id that wait until its earlier claim is decided.
const MAX_DEFERRED: usize = 32;

/// A claim as received from the claimant, which waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Identity of the claim.
    pub claim: ClaimId,
    /// Request id: hash of target and idempotency key.
    pub id: u128,
    /// Lower half of the hash of the request body.
    pub body: u64,
    /// Key of the request on the claiming host.
    pub request: u64,
    /// Deadline after which the claimant no longer uses an answer.
    pub deadline: Time,
}

/// A record that the log does not have yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingRecord {
    /// The record as it will be written.
    pub record: Record,
    /// When the record is due to be written; an entry written earlier takes it along.
    pub due: Time,
}

/// A handover in progress, which ends this host's ownership of the shard.
#[derive(Clone, Debug)]
pub struct Handover {
    /// The next owner; `None` if no other host can own the shard.
    pub to: Option<Life>,
}

/// A shard that this host owns, or is about to own.
#[derive(Debug)]
pub struct Owner {
    /// Number of the shard, from 0.
    pub shard: u32,
    /// Header of the newest entry known to be in the log.
    pub header: Header,
    /// Whether the log names this host as owner; false until the takeover entry is written.
    pub established: bool,
    /// Revision of each ring position; `None` for a position never written.
    pub positions: Vec<Option<kv::Revision>>,
    /// State of each id, with the records of `pending` already applied.
    pub intents: Intents,
    /// Records that the log does not have yet, in the order in which they will be written.
    pub pending: VecDeque<PendingRecord>,
    /// How many records of this epoch are in the log, so also the number of the first
    /// record of `pending`.
    pub committed: u64,
    /// How many records of `pending` have been sent, so that the service or the successor
    /// may have them.
    pub sent: usize,
    /// How many records of `pending` the successor has confirmed; at most `sent`.
    pub witnessed: usize,
    /// Earliest due time among the records of `pending`.
    pub next_due: Option<Time>,
    /// The entry that is being written to the log.
    pub entry_write: Option<EntryWrite>,
    /// Sends copies of records to the successor.
    pub witness_sender: WitnessSender,
    /// Moves old entries into segments.
    pub compactor: Compactor,
    /// Set while the shard is being handed over; no new claim is taken then.
    pub handover: Option<Handover>,
    /// Since when another host has been the preferred owner.
    pub displaced_since: Option<Time>,
    /// When a record last became durable, or when the first unconfirmed record was sent.
    pub last_progress: Time,
    /// Whether claims are refused, with [`Doubt::RecordUnread`] as answer, because neither
    /// the service nor the successor confirms records.
    pub refusing: bool,
    /// Claims that wait until an earlier claim for their id is decided, by id.
    pub deferred: BTreeMap<u128, Vec<Waiter>>,
    /// Open queries to holders about what became of their claims, by id.
    pub fate_queries: BTreeMap<u128, FateQuery>,
}

impl Owner {
    /// An owner that continues the log after the entry `header`. The log is not yet known
    /// to name this host.
    pub fn new(
        context: &Context,
        shard: u32,
        header: Header,
        positions: Vec<Option<kv::Revision>>,
        intents: Intents,
        compactor: Compactor,
    ) -> Self {
        Self {
            shard,
            header,
            established: false,
            positions,
            intents,
            pending: VecDeque::new(),
            committed: 0,
            sent: 0,
            witnessed: 0,
            next_due: None,
            entry_write: None,
            witness_sender: WitnessSender::default(),
            compactor,
            handover: None,
            displaced_since: None,
            last_progress: context.now,
            refusing: false,
            deferred: BTreeMap::new(),
            fate_queries: BTreeMap::new(),
        }
    }

    /// Answers a claim, or keeps it waiting until it can be answered.
    pub fn handle_claim(&mut self, context: &mut Context, waiter: Waiter) {
        let Some(intent) = self.intents.get(waiter.id).copied() else {
            self.admit(context, waiter);
            return;
        };
        if intent.claim() == waiter.claim {
            self.handle_duplicate(context, &intent, &waiter);
            return;
        }
        match intent.state {
            State::Pending => self.defer(context, waiter),
            State::Gap => answer_doubtful(context, &waiter, Doubt::RecordGap),
            _ if intent.body != waiter.body => self.probe_ownership(context, &waiter),
            State::Unknown => answer_doubtful(context, &waiter, Doubt::UpstreamLost),
            State::Forgotten => answer_doubtful(context, &waiter, Doubt::AnswerGone),
            State::Durable | State::Ran => self.query_fate(context, &intent, waiter),
        }
    }

    /// Handles a claimant's promise that it will never use the grant of its claim: the id
    /// becomes free for another claim.
    pub fn handle_release(&mut self, context: &mut Context, claim: ClaimId, id: u128) {
        let released = self.intents.get(id).is_some_and(|intent| {
            intent.claim() == claim && matches!(intent.state, State::Pending | State::Durable)
        });
        if released {
            self.append(
                context,
                bare_record(Kind::Release, id, claim),
                Duration::ZERO,
            );
            self.fate_queries.remove(&id);
            self.decide_deferred(context, id);
        }
    }

    /// Handles a holder's report of how its request ended: appends a record of the end
    /// if that changes the state of the id.
    pub fn end(&mut self, context: &mut Context, record: Record) {
        let Some(intent) = self.intents.get(record.id) else {
            return;
        };
        let changes_state = match record.kind {
            Kind::Ran | Kind::Unknown => intent.state == State::Durable,
            Kind::Forgotten => matches!(intent.state, State::Durable | State::Ran),
            _ => false,
        };
        if changes_state && intent.claim() == record.claim {
            let delay = context.settings.end_delay;
            self.append(context, record, delay);
        }
    }

    /// Decides again the claims that waited for the earlier claim of an id.
    pub fn decide_deferred(&mut self, context: &mut Context, id: u128) {
        for waiter in self.deferred.remove(&id).unwrap_or_default() {
            if waiter.deadline > context.now {
                self.handle_claim(context, waiter);
            }
        }
    }

    /// Appends a record that is due to be written after `delay`.
    pub fn append(&mut self, context: &mut Context, record: Record, delay: Duration) {
        let stamp_ms = context.wall_clock_ms().max(self.header.stamp_ms);
        self.intents.apply(&record, stamp_ms, State::Pending);
        let due = context.now + delay;
        self.next_due = earliest(self.next_due, Some(due));
        self.pending.push_back(PendingRecord { record, due });
    }

    /// Handles a record that has become durable: answers the claim that it is about.
    pub fn handle_durable(&mut self, context: &mut Context, record: &Record) {
        self.last_progress = context.now;
        if self.refusing {
            self.refusing = false;
            context.log_event(Level::Info, "ledger-claims-resumed", self.shard);
        }
        match record.kind {
            Kind::Intent if self.intents.mark_durable(record) => {
                let verdict = Verdict::Granted(wire::Granted {});
                send_answer(context, record.claim, record.id, verdict);
                self.decide_deferred(context, record.id);
            }
            Kind::Gap => {
                let verdict = doubtful_verdict(Doubt::RecordGap);
                send_answer(context, record.claim, record.id, verdict);
            }
            Kind::Probe => {
                let verdict = Verdict::KeyReused(wire::KeyReused {});
                send_answer(context, record.claim, record.id, verdict);
            }
            _ => {}
        }
    }

    /// Refuses all waiting claims once records have been unconfirmed by both the service and
    /// the successor for [`crate::Settings::refuse_timeout`]. Returns when to poll again.
    pub fn poll_refusal(&mut self, context: &mut Context) -> Option<Time> {
        if self.sent <= self.witnessed || self.refusing {
            return None;
        }
        let refuse_at = self.last_progress + context.settings.refuse_timeout;
        if context.now < refuse_at {
            return Some(refuse_at);
        }
        self.refusing = true;
        context.log_event(Level::Warn, "ledger-claims-refused", self.shard);
        self.refuse_waiting(context);
        None
    }

    /// Answers all waiting claims with the shard's new `owner`, if known, so that the
    /// claimants ask there.
    pub fn redirect_waiting(&mut self, context: &mut Context, epoch: u64, owner: Option<&Life>) {
        let elsewhere = Verdict::Elsewhere(wire::Elsewhere {
            shard: self.shard,
            epoch,
            owner: owner.map(Life::to_wire),
        });
        for (claim, id) in self.waiting_claims() {
            send_answer(context, claim, id, elsewhere.clone());
        }
    }

    /// Handles the first claim of an id: appends an intent, or a gap record during a
    /// quarantine. The claim is answered once the record is durable.
    fn admit(&mut self, context: &mut Context, waiter: Waiter) {
        if self.handover.is_some() {
            return;
        }
        if self.refusing || self.pending.len() >= context.settings.backlog as usize {
            answer_doubtful(context, &waiter, Doubt::RecordUnread);
            return;
        }
        let kind = if self.header.quarantine_ms > context.wall_clock_ms() {
            Kind::Gap
        } else {
            Kind::Intent
        };
        let delay = context.settings.batch_delay;
        self.append(context, claim_record(kind, &waiter), delay);
    }

    /// Handles a claim that has an intent already: the claimant resent it, since an answer
    /// was late or lost.
    fn handle_duplicate(&mut self, context: &mut Context, intent: &Intent, waiter: &Waiter) {
        let unconfirmed = || {
            self.pending
                .iter()
                .skip(self.witnessed)
                .any(|pending| pending.record.claim == waiter.claim)
        };
        match intent.state {
            State::Durable => {
                let verdict = Verdict::Granted(wire::Granted {});
                send_answer(context, waiter.claim, waiter.id, verdict);
            }
            State::Gap if !unconfirmed() => answer_doubtful(context, waiter, Doubt::RecordGap),
            _ => {}
        }
    }

    /// Keeps a claim waiting until the earlier claim for its id is decided.
    pub fn defer(&mut self, context: &mut Context, waiter: Waiter) {
        let deferred = self.deferred.entry(waiter.id).or_default();
        if deferred.iter().any(|other| other.claim == waiter.claim) {
            return;
        }
        if deferred.len() >= MAX_DEFERRED {
            answer_doubtful(context, &waiter, Doubt::RecordUnread);
            return;
        }
        deferred.push(waiter);
    }

    /// Handles a claim whose body differs from the body of the id's intent. The claimant is
    /// told that the key was reused only once a probe record is durable, which shows that
    /// this host still owns the shard. A later owner could have granted a claim with this body.
    pub fn probe_ownership(&mut self, context: &mut Context, waiter: &Waiter) {
        let probing = self
            .pending
            .iter()
            .any(|pending| pending.record.claim == waiter.claim);
        if probing || self.handover.is_some() {
            return;
        }
        if self.refusing {
            answer_doubtful(context, waiter, Doubt::RecordUnread);
            return;
        }
        let delay = context.settings.batch_delay;
        self.append(context, claim_record(Kind::Probe, waiter), delay);
    }

    /// Refuses all waiting claims: answers that an earlier run of the id cannot be ruled out.
    /// Removes the records of claims that were never sent to the service or the successor.
    fn refuse_waiting(&mut self, context: &mut Context) {
        for (claim, id) in self.waiting_claims() {
            send_answer(context, claim, id, doubtful_verdict(Doubt::RecordUnread));
        }
        self.deferred.clear();
        self.fate_queries.clear();
        for pending in self.pending.split_off(self.sent) {
            match pending.record.kind {
                Kind::Intent | Kind::Gap => {
                    let Record { id, claim, .. } = pending.record;
                    let release = bare_record(Kind::Release, id, claim);
                    self.intents.apply(&release, 0, State::Pending);
                }
                Kind::Probe => {}
                _ => self.pending.push_back(pending),
            }
        }
    }

    /// Claims without an answer: those whose record is not durable yet, and the deferred ones.
    fn waiting_claims(&self) -> Vec<(ClaimId, u128)> {
        let unconfirmed = self
            .pending
            .iter()
            .skip(self.witnessed)
            .filter(|pending| {
                let kind = pending.record.kind;
                matches!(kind, Kind::Intent | Kind::Gap | Kind::Probe)
            })
            .map(|pending| (pending.record.claim, pending.record.id));
        let deferred = self
            .deferred
            .values()
            .flatten()
            .map(|waiter| (waiter.claim, waiter.id));
        unconfirmed.chain(deferred).collect()
    }
}

/// Sends the answer to a claim to the claimant.
pub fn send_answer(context: &mut Context, claim: ClaimId, id: u128, verdict: Verdict) {
    let (id_high, id_low) = record::split_u128(id);
    let to = context.interner.get(claim.life).clone();
    let answer = wire::Answer {
        nonce: claim.nonce,
        id_high,
        id_low,
        verdict: Some(verdict),
    };
    context.send(&to, Body::Answer(answer));
}

/// Answers a claim with the reason why an earlier run of its id cannot be ruled out.
pub fn answer_doubtful(context: &mut Context, waiter: &Waiter, doubt: Doubt) {
    send_answer(context, waiter.claim, waiter.id, doubtful_verdict(doubt));
}

fn doubtful_verdict(doubt: Doubt) -> Verdict {
    Verdict::Doubtful(wire::Doubtful {
        doubt: doubt.label().to_owned(),
    })
}

const fn claim_record(kind: Kind, waiter: &Waiter) -> Record {
    Record {
        kind,
        id: waiter.id,
        body: waiter.body,
        claim: waiter.claim,
        request: waiter.request,
    }
}

/// A record of the given kind with body hash and request key zero.
pub const fn bare_record(kind: Kind, id: u128, claim: ClaimId) -> Record {
    Record {
        kind,
        id,
        body: 0,
        claim,
        request: 0,
    }
}
