//! One shard as one host sees it: owned, being read, or owned elsewhere.

use crate::{
    commit::Ownership,
    compaction,
    context::{Context, Vital},
    life::{self, Life},
    log::Header,
    owner::{Owner, Waiter},
    record::{self, ClaimId, Record},
    takeover::{self, Choice, Log, Reading},
    witness::WitnessedRecords,
};
use mulberryrack_core::{Time, earliest, kv, note::Level};
use mulberryrack_wire::ledger::{self as wire, answer::Verdict, frame::Body};
use std::time::Duration;

/// How often a host checks whether it should read a log.
const CHECK: Duration = Duration::from_millis(500);
/// How long a log is believed before it is read again while nobody can act on it.
const REREAD: Duration = Duration::from_secs(5);

/// This host's part in a shard.
#[derive(Debug)]
enum Role {
    Idle,
    Reading(Box<Reading>),
    Owner(Box<Owner>),
}

/// Who owns a shard, as far as this host has heard.
#[derive(Clone, Debug)]
struct Hint {
    epoch: u64,
    owner: Option<Life>,
}

/// One shard.
#[derive(Debug)]
pub struct Shard {
    number: u32,
    role: Role,
    hint: Option<Hint>,
    /// The newest entry as last read, and when.
    seen: Option<(Option<Header>, Time)>,
    witnessed_records: Option<WitnessedRecords>,
    /// Whether a claim has come here since the log was read.
    asked: bool,
    check: Time,
    swept: Time,
}

impl Shard {
    /// A shard of which nothing is known yet.
    pub const fn new(number: u32, now: Time) -> Self {
        Self {
            number,
            role: Role::Idle,
            hint: None,
            seen: None,
            witnessed_records: None,
            asked: false,
            check: now,
            swept: now,
        }
    }

    /// Whether this host owns the shard, or is about to.
    pub const fn owned(&self) -> bool {
        matches!(self.role, Role::Owner(_))
    }

    /// Whether this host may come to own the shard soon.
    pub const fn settled(&self) -> bool {
        matches!(self.role, Role::Idle)
    }

    /// Ids kept in memory.
    pub fn kept(&self) -> usize {
        match &self.role {
            Role::Owner(owner) => owner.intents.len(),
            _ => 0,
        }
    }

    /// Whom to ask about ids of this shard.
    pub fn route(&self, context: &mut Context) -> Option<Life> {
        if self.owned() {
            return Some(context.me.clone());
        }
        let hinted = self.hint.as_ref().and_then(|hint| hint.owner.clone());
        if let Some(owner) = hinted
            && matches!(context.vital(&owner), Vital::Able | Vital::Leaving)
        {
            return Some(owner);
        }
        context.first(self.number)
    }

    /// Hears who owns the shard; says whether that is news.
    pub fn hear(&mut self, epoch: u64, owner: Option<Life>) -> bool {
        let news = self.hint.as_ref().is_none_or(|hint| {
            epoch > hint.epoch || (epoch == hint.epoch && hint.owner.is_some() && owner.is_none())
        });
        if news {
            self.hint = Some(Hint { epoch, owner });
        }
        news
    }

    /// The hosts have changed: check soon.
    pub const fn viewed(&mut self, now: Time) {
        self.check = now;
    }

    /// The log names this host.
    pub fn look(&mut self, context: &mut Context) {
        if matches!(self.role, Role::Idle) {
            self.read(context);
        }
    }

    /// A claim for an id of this shard.
    pub fn claim(&mut self, context: &mut Context, from: life::Key, claim: &wire::Claim) {
        let waiter = Waiter {
            claim: ClaimId {
                life: from,
                nonce: claim.nonce,
            },
            id: record::join_u128(claim.id_high, claim.id_low),
            body: claim.body,
            request: claim.request,
            deadline: context.now + Duration::from_millis(claim.remaining_ms),
        };
        match &mut self.role {
            Role::Owner(owner) => owner.handle_claim(context, waiter),
            Role::Idle => self.redirect(context, &waiter),
            Role::Reading(_) => {}
        }
    }

    /// A claimant gives up a grant.
    pub fn release(&mut self, context: &mut Context, from: life::Key, release: &wire::Release) {
        if let Role::Owner(owner) = &mut self.role {
            let claim = ClaimId {
                life: from,
                nonce: release.nonce,
            };
            let id = record::join_u128(release.id_high, release.id_low);
            owner.handle_release(context, claim, id);
        }
    }

    /// A holder answers what became of its claim.
    pub fn told(&mut self, context: &mut Context, from: life::Key, told: &wire::Told) {
        if let Role::Owner(owner) = &mut self.role {
            let claim = ClaimId {
                life: from,
                nonce: told.nonce,
            };
            let id = record::join_u128(told.id_high, told.id_low);
            owner.handle_fate(context, claim, id, told.fate());
        }
    }

    /// A holder's request has ended.
    pub fn end(&mut self, context: &mut Context, record: Record) {
        if let Role::Owner(owner) = &mut self.role {
            owner.end(context, record);
        }
    }

    /// The owner asks this host, its successor, to keep records.
    pub fn witness(&mut self, context: &mut Context, from: &Life, witness: &wire::Witness) {
        let superseded = self
            .hint
            .as_ref()
            .is_some_and(|hint| hint.epoch > witness.epoch);
        let kept = !superseded && !self.owned();
        if kept {
            let packed = witness.records.clone().unwrap_or_default();
            let records = record::records_from_wire(&packed, &mut context.interner);
            self.store_witnessed(from, witness, records);
        }
        let records = witness.records.as_ref();
        let count = records.map_or(0, |records| records.records.len());
        if count > 0 {
            let answer = wire::Witnessed {
                shard: self.number,
                epoch: witness.epoch,
                first: witness.first,
                count: u32::try_from(count).unwrap_or(u32::MAX),
                kept,
            };
            context.send(from, Body::Witnessed(answer));
        }
    }

    /// The successor has answered.
    pub fn witnessed(&mut self, context: &mut Context, from: &Life, answer: &wire::Witnessed) {
        if let Role::Owner(owner) = &mut self.role {
            owner.handle_witnessed(context, from, answer);
        }
    }

    /// A host hands in records that it kept for a former owner.
    pub fn merge(&mut self, context: &mut Context, from: &Life, merge: &wire::Merge) {
        if let Role::Owner(owner) = &mut self.role
            && owner.established
            && owner.header.epoch > merge.epoch
        {
            let packed = merge.records.clone().unwrap_or_default();
            let records = record::records_from_wire(&packed, &mut context.interner);
            if owner.merge_records(context, &records) {
                let merged = wire::Merged {
                    shard: self.number,
                    epoch: merge.epoch,
                };
                context.send(from, Body::Merged(merged));
            }
        }
    }

    /// The records that this host kept are in the log.
    pub fn merged(&mut self, epoch: u64) {
        if self
            .witnessed_records
            .as_ref()
            .is_some_and(|witnessed_records| witnessed_records.epoch == epoch)
        {
            self.witnessed_records = None;
        }
    }

    /// The key-value service has answered a call.
    pub fn kv(&mut self, context: &mut Context, token: kv::Token, outcome: kv::Outcome) {
        match &mut self.role {
            Role::Idle => {}
            Role::Reading(reading) => {
                if reading.token == Some(token) && reading.take(context, self.number, outcome) {
                    self.decide(context);
                }
            }
            Role::Owner(owner) => {
                if owner.compactor.token() == Some(token) {
                    owner
                        .compactor
                        .handle_outcome(context, self.number, outcome);
                } else if owner.entry_write.as_ref().and_then(|write| write.token) == Some(token) {
                    let ownership = owner.handle_written(context, outcome);
                    self.apply_ownership(context, ownership);
                }
            }
        }
    }

    /// Does what is due; says when to come back.
    pub fn pump(&mut self, context: &mut Context) -> Option<Time> {
        match &mut self.role {
            Role::Idle => Some(self.pump_idle(context)),
            Role::Reading(reading) => {
                if reading.again <= context.now {
                    reading.ask(context, self.number);
                }
                Some(reading.again)
            }
            Role::Owner(_) => self.pump_owner(context),
        }
    }

    fn pump_owner(&mut self, context: &mut Context) -> Option<Time> {
        let Role::Owner(owner) = &mut self.role else {
            return None;
        };
        let mut wake = owner.poll_handover(context);
        wake = earliest(wake, owner.compactor.poll(context, self.number));
        wake = earliest(wake, owner.poll_commit(context));
        wake = earliest(wake, owner.poll_witness(context));
        wake = earliest(wake, owner.poll_refusal(context));
        wake = earliest(wake, owner.poll_fate_queries(context));
        let sweep = (context.settings.retention / 32).max(Duration::from_secs(1));
        if context.now >= self.swept + sweep {
            self.swept = context.now;
            owner.intents.expire(compaction::expiry_ms(context));
        }
        earliest(wake, Some(self.swept + sweep))
    }

    fn pump_idle(&mut self, context: &mut Context) -> Time {
        if context.now < self.check {
            return self.check;
        }
        self.check = context.now + CHECK;
        if context.view.peers.is_empty() || context.alone_at_start() {
            return self.check;
        }
        self.hand_in(context);
        if !matches!(self.role, Role::Idle) {
            return self.check;
        }
        let named = self
            .hint
            .as_ref()
            .is_some_and(|hint| hint.owner.as_ref() == Some(&context.me));
        let concerned = named || context.first(self.number).as_ref() == Some(&context.me);
        let Some((header, when)) = self.seen.clone() else {
            if concerned {
                self.read(context);
            }
            return self.check;
        };
        match takeover::choose(context, self.number, header.as_ref()) {
            Choice::Own | Choice::Take { .. } => self.read(context),
            Choice::Leave(life) if concerned => {
                self.nudge(context, &life);
                self.reread(context, when);
            }
            _ if concerned => self.reread(context, when),
            _ => {}
        }
        self.check
    }

    /// Hands in records kept for an owner that has been superseded or is gone.
    fn hand_in(&mut self, context: &mut Context) {
        let Some(witnessed_records) = self
            .witnessed_records
            .as_ref()
            .filter(|witnessed_records| !witnessed_records.records.is_empty())
        else {
            return;
        };
        let mine = witnessed_records.owner == context.me;
        if !mine
            && !matches!(
                context.vital(&witnessed_records.owner),
                Vital::Dead | Vital::Gone
            )
        {
            return;
        }
        let next = self
            .hint
            .as_ref()
            .filter(|hint| hint.epoch > witnessed_records.epoch);
        if let Some(owner) = next.and_then(|hint| hint.owner.clone()) {
            let merge = wire::Merge {
                shard: self.number,
                epoch: witnessed_records.epoch,
                records: Some(record::records_to_wire(
                    witnessed_records.records.values(),
                    &context.interner,
                )),
            };
            context.send(&owner, Body::Merge(merge));
            return;
        }
        let when = self.seen.as_ref().map(|(_, when)| *when);
        if when.is_none_or(|when| context.now >= when + REREAD) {
            self.read(context);
        }
    }

    /// Reads the log again if it may have changed: this host is first choice and does
    /// not own the shard, which never lasts.
    fn reread(&mut self, context: &mut Context, when: Time) {
        let known = self
            .seen
            .as_ref()
            .and_then(|(header, _)| header.as_ref())
            .map_or(0, |header| header.epoch);
        let newer = self.hint.as_ref().is_some_and(|hint| hint.epoch > known);
        if newer || self.asked || context.now >= when + REREAD {
            self.read(context);
        }
    }

    /// Tells a host that it should act; one that owns the shard already ignores it.
    fn nudge(&self, context: &mut Context, life: &Life) {
        let look = wire::Look { shard: self.number };
        context.send(life, Body::Look(look));
    }

    fn read(&mut self, context: &mut Context) {
        self.asked = false;
        let mut reading = Box::<Reading>::default();
        reading.ask(context, self.number);
        self.role = Role::Reading(reading);
    }

    /// The log is read: own the shard, or leave it to another host.
    fn decide(&mut self, context: &mut Context) {
        let Role::Reading(reading) = std::mem::replace(&mut self.role, Role::Idle) else {
            return;
        };
        let log = Log::new(context, &reading);
        self.check = context.now + CHECK;
        self.seen = Some((log.header.clone(), context.now));
        if let Some(header) = &log.header {
            self.hear(header.epoch, header.owner.clone());
        }
        match takeover::choose(context, self.number, log.header.as_ref()) {
            Choice::Own => {
                if let Some(owner) = log.own(context, self.number) {
                    self.witnessed_records = None;
                    self.role = Role::Owner(Box::new(owner));
                }
            }
            Choice::Take { gap } => {
                let witnessed_records = self.witnessed_records.take();
                let owner = log.take(context, self.number, gap, witnessed_records);
                self.role = Role::Owner(Box::new(owner));
            }
            Choice::Leave(life) => {
                if context.first(self.number).as_ref() == Some(&context.me) {
                    self.nudge(context, &life);
                }
            }
            Choice::Wait => {}
        }
    }

    fn apply_ownership(&mut self, context: &mut Context, ownership: Ownership) {
        match ownership {
            Ownership::Retained => {}
            Ownership::HandedOver => self.hand_over(context),
            Ownership::Superseded => {
                context.note(Level::Warn, "shard-lost", self.number);
                if let Role::Owner(mut owner) = std::mem::replace(&mut self.role, Role::Idle) {
                    owner.redirect_waiting(context, owner.header.epoch, None);
                    self.witnessed_records = owner.unlogged_records(context);
                }
                self.read(context);
            }
        }
    }

    fn hand_over(&mut self, context: &mut Context) {
        let Role::Owner(mut owner) = std::mem::replace(&mut self.role, Role::Idle) else {
            return;
        };
        let header = owner.header.clone();
        owner.redirect_waiting(context, header.epoch, header.owner.as_ref());
        context.note(Level::Info, "shard-handed-over", self.number);
        self.hear(header.epoch, header.owner.clone());
        if let Some(to) = &header.owner {
            context.send(to, Body::Look(wire::Look { shard: self.number }));
        }
        self.check = context.now + CHECK;
        self.seen = Some((Some(header), context.now));
    }

    fn store_witnessed(&mut self, from: &Life, witness: &wire::Witness, records: Vec<Record>) {
        let current = self
            .witnessed_records
            .as_ref()
            .is_some_and(|witnessed_records| {
                witnessed_records.epoch > witness.epoch
                    || (witnessed_records.epoch == witness.epoch
                        && witnessed_records.owner == *from)
            });
        if !current {
            self.witnessed_records = Some(WitnessedRecords {
                owner: from.clone(),
                epoch: witness.epoch,
                records: std::collections::BTreeMap::new(),
            });
        }
        if let Some(witnessed_records) = &mut self.witnessed_records
            && witnessed_records.epoch == witness.epoch
        {
            witnessed_records.apply_batch(witness, records);
        }
    }

    fn redirect(&mut self, context: &mut Context, waiter: &Waiter) {
        let owner = self.hint.as_ref().and_then(|hint| hint.owner.as_ref());
        let elsewhere = Verdict::Elsewhere(wire::Elsewhere {
            shard: self.number,
            epoch: self.hint.as_ref().map_or(0, |hint| hint.epoch),
            owner: owner.map(Life::to_wire),
        });
        if self.seen.is_none() {
            self.check = context.now;
        }
        self.asked = true;
        crate::owner::send_answer(context, waiter.claim, waiter.id, elsewhere);
    }
}
