//! The owner of a shard: claims, resends and what becomes of them.

use crate::{
    commit::Flight,
    compaction::Compactor,
    context::Context,
    intents::{Intent, Intents, State},
    life::Life,
    log::Header,
    record::{self, ClaimId, Kind, Record},
    resend::Question,
    witness::Courier,
};
use mulberryrack_core::{Time, earliest, kv, note::Level, outcome::Doubt};
use mulberryrack_wire::ledger::{self as wire, answer::Verdict, frame::Body};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Most claims of one id that wait for its earlier claim to be settled.
const MAX_PARKED: usize = 32;

/// A claim that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Whose claim.
    pub claim: ClaimId,
    /// Hash of target and idempotency key.
    pub id: u128,
    /// Hash of the body.
    pub body: u64,
    /// The request on the claimant.
    pub request: u64,
    /// When the claimant stops waiting.
    pub until: Time,
}

/// A record that is not in the log yet.
#[derive(Clone, Copy, Debug)]
pub struct Pending {
    /// The record.
    pub record: Record,
    /// When it should be written.
    pub due: Time,
}

/// The end of this host's ownership.
#[derive(Clone, Debug)]
pub struct Closing {
    /// The next owner; `None` if no other host is able.
    pub to: Option<Life>,
}

/// A shard that this host owns, or is about to own.
#[derive(Debug)]
pub struct Owner {
    /// Number of the shard.
    pub shard: u32,
    /// Newest entry of the log.
    pub header: Header,
    /// Whether the log says that this host owns the shard.
    pub established: bool,
    /// Revision of each position of the ring.
    pub positions: Vec<Option<kv::Revision>>,
    /// State of each id, records of `stream` applied.
    pub intents: Intents,
    /// Records after those in the log.
    pub stream: VecDeque<Pending>,
    /// Number, in this epoch, of the first record of `stream`.
    pub committed: u64,
    /// How many records of `stream` the service or the successor may have.
    pub exposed: usize,
    /// How many records of `stream` are durable with the successor; at most `exposed`.
    pub kept: usize,
    /// When the first record of `stream` should be written.
    pub soonest: Option<Time>,
    /// The entry that is being written.
    pub flight: Option<Flight>,
    /// Copies to the successor.
    pub courier: Courier,
    /// Folding of old entries.
    pub compactor: Compactor,
    /// Set while the shard is handed over.
    pub closing: Option<Closing>,
    /// Since when another host is first choice.
    pub displaced: Option<Time>,
    /// When a record last became durable, or the first one began to wait.
    pub progress: Time,
    /// Whether claims are refused since neither service nor successor answers.
    pub stuck: bool,
    /// Claims that wait for an earlier claim of their id to be settled.
    pub parked: BTreeMap<u128, Vec<Waiter>>,
    /// Questions to holders, by id.
    pub questions: BTreeMap<u128, Question>,
}

impl Owner {
    /// An owner that continues the log after `header`.
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
            stream: VecDeque::new(),
            committed: 0,
            exposed: 0,
            kept: 0,
            soonest: None,
            flight: None,
            courier: Courier::default(),
            compactor,
            closing: None,
            displaced: None,
            progress: context.now,
            stuck: false,
            parked: BTreeMap::new(),
            questions: BTreeMap::new(),
        }
    }

    /// Decides a claim, or lets it wait.
    pub fn claim(&mut self, context: &mut Context, waiter: Waiter) {
        let Some(intent) = self.intents.get(waiter.id).copied() else {
            self.admit(context, waiter);
            return;
        };
        if intent.claim() == waiter.claim {
            self.repeat(context, &intent, &waiter);
            return;
        }
        match intent.state {
            State::Pending => self.park(context, waiter),
            State::Gap => doubt(context, &waiter, Doubt::RecordGap),
            _ if intent.body != waiter.body => self.prove(context, &waiter),
            State::Unknown => doubt(context, &waiter, Doubt::UpstreamLost),
            State::Forgotten => doubt(context, &waiter, Doubt::AnswerGone),
            State::Durable | State::Ran => self.inquire(context, &intent, waiter),
        }
    }

    /// The claimant will never use the grant of its claim.
    pub fn release(&mut self, context: &mut Context, claim: ClaimId, id: u128) {
        let released = self.intents.get(id).is_some_and(|intent| {
            intent.claim() == claim && matches!(intent.state, State::Pending | State::Durable)
        });
        if released {
            self.push(context, plain(Kind::Release, id, claim), Duration::ZERO);
            self.questions.remove(&id);
            self.settle(context, id);
        }
    }

    /// The claimant's request has ended.
    pub fn end(&mut self, context: &mut Context, record: Record) {
        let Some(intent) = self.intents.get(record.id) else {
            return;
        };
        let news = match record.kind {
            Kind::Ran | Kind::Unknown => intent.state == State::Durable,
            Kind::Forgotten => matches!(intent.state, State::Durable | State::Ran),
            _ => false,
        };
        if news && intent.claim() == record.claim {
            let delay = context.settings.end_delay;
            self.push(context, record, delay);
        }
    }

    /// Decides the claims that wait for an id.
    pub fn settle(&mut self, context: &mut Context, id: u128) {
        for waiter in self.parked.remove(&id).unwrap_or_default() {
            if waiter.until > context.now {
                self.claim(context, waiter);
            }
        }
    }

    /// Adds a record to those that wait for the log.
    pub fn push(&mut self, context: &mut Context, record: Record, delay: Duration) {
        let wall = context.wall_ms().max(self.header.stamp_ms);
        self.intents.apply(&record, wall, State::Pending);
        let due = context.now + delay;
        self.soonest = earliest(self.soonest, Some(due));
        self.stream.push_back(Pending { record, due });
    }

    /// A record has become durable: answers the claim that it is about.
    pub fn harden(&mut self, context: &mut Context, record: &Record) {
        self.progress = context.now;
        if self.stuck {
            self.stuck = false;
            context.note(Level::Info, "ledger-claims-resumed", self.shard);
        }
        match record.kind {
            Kind::Intent if self.intents.mark_durable(record) => {
                let verdict = Verdict::Granted(wire::Granted {});
                answer(context, record.claim, record.id, verdict);
                self.settle(context, record.id);
            }
            Kind::Gap => {
                let verdict = doubtful(Doubt::RecordGap);
                answer(context, record.claim, record.id, verdict);
            }
            Kind::Probe => {
                let verdict = Verdict::KeyReused(wire::KeyReused {});
                answer(context, record.claim, record.id, verdict);
            }
            _ => {}
        }
    }

    /// Refuses what waits when neither service nor successor has answered for long.
    pub fn pump_refusals(&mut self, context: &mut Context) -> Option<Time> {
        if self.exposed <= self.kept || self.stuck {
            return None;
        }
        let limit = self.progress + context.settings.refuse_after;
        if context.now < limit {
            return Some(limit);
        }
        self.stuck = true;
        context.note(Level::Warn, "ledger-claims-refused", self.shard);
        self.refuse_all(context);
        None
    }

    /// Tells those whose claims wait here to ask `owner`.
    pub fn dismiss(&mut self, context: &mut Context, epoch: u64, owner: Option<&Life>) {
        let elsewhere = Verdict::Elsewhere(wire::Elsewhere {
            shard: self.shard,
            epoch,
            owner: owner.map(Life::to_wire),
        });
        for (claim, id) in self.waiting_claims() {
            answer(context, claim, id, elsewhere.clone());
        }
    }

    fn admit(&mut self, context: &mut Context, waiter: Waiter) {
        if self.closing.is_some() {
            return;
        }
        if self.stuck || self.stream.len() >= context.settings.backlog as usize {
            doubt(context, &waiter, Doubt::RecordUnread);
            return;
        }
        let kind = if self.header.quarantine_ms > context.wall_ms() {
            Kind::Gap
        } else {
            Kind::Intent
        };
        let delay = context.settings.batch_delay;
        self.push(context, of(kind, &waiter), delay);
    }

    /// A claim that came before, came again.
    fn repeat(&mut self, context: &mut Context, intent: &Intent, waiter: &Waiter) {
        let pending = || {
            self.stream
                .iter()
                .skip(self.kept)
                .any(|pending| pending.record.claim == waiter.claim)
        };
        match intent.state {
            State::Durable => {
                let verdict = Verdict::Granted(wire::Granted {});
                answer(context, waiter.claim, waiter.id, verdict);
            }
            State::Gap if !pending() => doubt(context, waiter, Doubt::RecordGap),
            _ => {}
        }
    }

    pub fn park(&mut self, context: &mut Context, waiter: Waiter) {
        let parked = self.parked.entry(waiter.id).or_default();
        if parked.iter().any(|other| other.claim == waiter.claim) {
            return;
        }
        if parked.len() >= MAX_PARKED {
            doubt(context, &waiter, Doubt::RecordUnread);
            return;
        }
        parked.push(waiter);
    }

    /// The id came with another body. That is said once a commit has shown that this
    /// host still owns the shard, so that no later owner can have run this body.
    pub fn prove(&mut self, context: &mut Context, waiter: &Waiter) {
        let asked = self
            .stream
            .iter()
            .any(|pending| pending.record.claim == waiter.claim);
        if asked || self.closing.is_some() {
            return;
        }
        if self.stuck {
            doubt(context, waiter, Doubt::RecordUnread);
            return;
        }
        let delay = context.settings.batch_delay;
        self.push(context, of(Kind::Probe, waiter), delay);
    }

    /// Refuses all claims that wait, and forgets those that nobody else has seen.
    fn refuse_all(&mut self, context: &mut Context) {
        for (claim, id) in self.waiting_claims() {
            answer(context, claim, id, doubtful(Doubt::RecordUnread));
        }
        self.parked.clear();
        self.questions.clear();
        for pending in self.stream.split_off(self.exposed) {
            match pending.record.kind {
                Kind::Intent | Kind::Gap => {
                    let Record { id, claim, .. } = pending.record;
                    let undo = plain(Kind::Release, id, claim);
                    self.intents.apply(&undo, 0, State::Pending);
                }
                Kind::Probe => {}
                _ => self.stream.push_back(pending),
            }
        }
    }

    fn waiting_claims(&self) -> Vec<(ClaimId, u128)> {
        let streamed = self
            .stream
            .iter()
            .skip(self.kept)
            .filter(|pending| {
                let kind = pending.record.kind;
                matches!(kind, Kind::Intent | Kind::Gap | Kind::Probe)
            })
            .map(|pending| (pending.record.claim, pending.record.id));
        let parked = self
            .parked
            .values()
            .flatten()
            .map(|waiter| (waiter.claim, waiter.id));
        streamed.chain(parked).collect()
    }
}

/// Sends the answer to a claim.
pub fn answer(context: &mut Context, claim: ClaimId, id: u128, verdict: Verdict) {
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

/// Answers a claim with a doubt.
pub fn doubt(context: &mut Context, waiter: &Waiter, doubt: Doubt) {
    answer(context, waiter.claim, waiter.id, doubtful(doubt));
}

fn doubtful(doubt: Doubt) -> Verdict {
    Verdict::Doubtful(wire::Doubtful {
        doubt: doubt.label().to_owned(),
    })
}

const fn of(kind: Kind, waiter: &Waiter) -> Record {
    Record {
        kind,
        id: waiter.id,
        body: waiter.body,
        claim: waiter.claim,
        request: waiter.request,
    }
}

/// A record that needs neither body nor request.
pub const fn plain(kind: Kind, id: u128, claim: ClaimId) -> Record {
    Record {
        kind,
        id,
        body: 0,
        claim,
        request: 0,
    }
}
