//! This host's part in one shard: it owns the shard, reads the shard's log, or does
//! neither.

use crate::{
    commit::Ownership,
    compaction,
    context::{Context, Liveness},
    life::{self, Life},
    log::Header,
    owner::{Owner, Waiter},
    record::{self, ClaimId, Record},
    takeover::{self, Decision, LogContents, LogReader},
    witness::WitnessedRecords,
};
use mulberryrack_core::{Time, earliest, kv, note::Level};
use mulberryrack_wire::ledger::{self as wire, answer::Verdict, frame::Body};
use std::time::Duration;

/// How often a host checks whether it should read the log of a shard.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long after a read the log is read again while this host waits to own the shard, or
/// keeps copies of records for an owner that is not known yet.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// This host's part in a shard. `Idle` means that it neither owns the shard nor reads
/// the log.
#[derive(Debug)]
enum Role {
    Idle,
    Reading(Box<LogReader>),
    Owner(Box<Owner>),
}

/// The newest owner of a shard that this host has learnt of, from the log or from another
/// host's answer; `owner` is `None` if it is not known.
#[derive(Clone, Debug)]
struct Hint {
    epoch: u64,
    owner: Option<Life>,
}

/// One shard, as this host sees it.
#[derive(Debug)]
pub struct Shard {
    number: u32,
    role: Role,
    hint: Option<Hint>,
    /// Header of the newest entry when the log was last read (`None` for an empty log), and
    /// when that was.
    last_read: Option<(Option<Header>, Time)>,
    /// Records that the log may lack: copies kept for an owner, or records of this host
    /// from when it was the owner itself.
    witnessed_records: Option<WitnessedRecords>,
    /// Whether a claim has arrived at this host since the log was read.
    claimed_since_read: bool,
    /// When to check whether to read the log.
    next_check: Time,
    /// When expired intents were last dropped.
    last_sweep: Time,
}

impl Shard {
    /// A shard about which nothing is known yet.
    pub const fn new(number: u32, now: Time) -> Self {
        Self {
            number,
            role: Role::Idle,
            hint: None,
            last_read: None,
            witnessed_records: None,
            claimed_since_read: false,
            next_check: now,
            last_sweep: now,
        }
    }

    /// Whether this host owns the shard or is writing its takeover entry.
    pub const fn is_owned(&self) -> bool {
        matches!(self.role, Role::Owner(_))
    }

    /// Whether this host neither owns the shard nor reads its log.
    pub const fn is_idle(&self) -> bool {
        matches!(self.role, Role::Idle)
    }

    /// Number of request ids with an intent, if this host owns the shard; otherwise 0.
    pub fn kept_ids(&self) -> usize {
        match &self.role {
            Role::Owner(owner) => owner.intents.len(),
            _ => 0,
        }
    }

    /// The host that claims for this shard go to: the known owner if it is up, otherwise the
    /// preferred owner.
    pub fn claim_recipient(&self, context: &mut Context) -> Option<Life> {
        if self.is_owned() {
            return Some(context.me.clone());
        }
        let hinted_owner = self.hint.as_ref().and_then(|hint| hint.owner.clone());
        if let Some(owner) = hinted_owner
            && matches!(context.liveness(&owner), Liveness::Up | Liveness::Leaving)
        {
            return Some(owner);
        }
        context.preferred_owner(self.number)
    }

    /// Learns who owned the shard in an epoch; `None` also cancels an owner known for that
    /// epoch. Returns whether the information is new.
    pub fn learn_owner(&mut self, epoch: u64, owner: Option<Life>) -> bool {
        let is_new = self.hint.as_ref().is_none_or(|hint| {
            epoch > hint.epoch || (epoch == hint.epoch && hint.owner.is_some() && owner.is_none())
        });
        if is_new {
            self.hint = Some(Hint { epoch, owner });
        }
        is_new
    }

    /// Schedules a check at once, since the view of the hosts has changed.
    pub const fn view_changed(&mut self, now: Time) {
        self.next_check = now;
    }

    /// Handles a peer's request to read the log, since this host owns the shard or should
    /// take it over.
    pub fn handle_look(&mut self, context: &mut Context) {
        if matches!(self.role, Role::Idle) {
            self.start_reading(context);
        }
    }

    /// Handles a claim for an id of this shard: answers it as owner or names the owner known
    /// here. While the log is read, the claim is dropped; the claimant sends it again.
    pub fn handle_claim(&mut self, context: &mut Context, from: life::Key, claim: &wire::Claim) {
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

    /// Handles a claimant's promise never to use the grant of its claim.
    pub fn handle_release(
        &mut self,
        context: &mut Context,
        from: life::Key,
        release: &wire::Release,
    ) {
        if let Role::Owner(owner) = &mut self.role {
            let claim = ClaimId {
                life: from,
                nonce: release.nonce,
            };
            let id = record::join_u128(release.id_high, release.id_low);
            owner.handle_release(context, claim, id);
        }
    }

    /// Handles a holder's answer about what became of its claim.
    pub fn handle_told(&mut self, context: &mut Context, from: life::Key, told: &wire::Told) {
        if let Role::Owner(owner) = &mut self.role {
            let claim = ClaimId {
                life: from,
                nonce: told.nonce,
            };
            let id = record::join_u128(told.id_high, told.id_low);
            owner.handle_fate(context, claim, id, told.fate());
        }
    }

    /// Handles a holder's report of how its request ended.
    pub fn handle_end(&mut self, context: &mut Context, record: Record) {
        if let Role::Owner(owner) = &mut self.role {
            owner.end(context, record);
        }
    }

    /// Handles copies of records from the shard's owner, whose successor this host is. They
    /// are refused if the owner has been superseded or this host owns the shard.
    pub fn handle_witness(&mut self, context: &mut Context, from: &Life, witness: &wire::Witness) {
        let superseded = self
            .hint
            .as_ref()
            .is_some_and(|hint| hint.epoch > witness.epoch);
        let kept = !superseded && !self.is_owned();
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

    /// Handles the successor's answer to copies of records.
    pub fn handle_witnessed(
        &mut self,
        context: &mut Context,
        from: &Life,
        answer: &wire::Witnessed,
    ) {
        if let Role::Owner(owner) = &mut self.role {
            owner.handle_witnessed(context, from, answer);
        }
    }

    /// Handles records from a host that kept them for a former owner. Answers once all of
    /// them are durable here; the sender repeats the frame until then.
    pub fn handle_merge(&mut self, context: &mut Context, from: &Life, merge: &wire::Merge) {
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

    /// Drops the copies kept for the owner in `epoch`, since the new owner has the records.
    pub fn handle_merged(&mut self, epoch: u64) {
        if self
            .witnessed_records
            .as_ref()
            .is_some_and(|kept| kept.epoch == epoch)
        {
            self.witnessed_records = None;
        }
    }

    /// Handles the outcome of a call to the key-value service.
    pub fn handle_kv_outcome(
        &mut self,
        context: &mut Context,
        token: kv::CallId,
        outcome: kv::Outcome,
    ) {
        match &mut self.role {
            Role::Idle => {}
            Role::Reading(reader) => {
                if reader.token == Some(token) && reader.handle_page(context, self.number, outcome)
                {
                    self.decide_role(context);
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

    /// Does the work that is due. Returns when to poll again.
    pub fn poll(&mut self, context: &mut Context) -> Option<Time> {
        match &mut self.role {
            Role::Idle => Some(self.poll_idle(context)),
            Role::Reading(reader) => {
                if reader.retry_at <= context.now {
                    reader.request_page(context, self.number);
                }
                Some(reader.retry_at)
            }
            Role::Owner(_) => self.poll_owner(context),
        }
    }

    fn poll_owner(&mut self, context: &mut Context) -> Option<Time> {
        let Role::Owner(owner) = &mut self.role else {
            return None;
        };
        let mut next_wake = owner.poll_handover(context);
        next_wake = earliest(next_wake, owner.compactor.poll(context, self.number));
        next_wake = earliest(next_wake, owner.poll_commit(context));
        next_wake = earliest(next_wake, owner.poll_witness(context));
        next_wake = earliest(next_wake, owner.poll_refusal(context));
        next_wake = earliest(next_wake, owner.poll_fate_queries(context));
        let sweep_interval = (context.settings.retention / 32).max(Duration::from_secs(1));
        if context.now >= self.last_sweep + sweep_interval {
            self.last_sweep = context.now;
            owner.intents.expire(compaction::expiry_ms(context));
        }
        earliest(next_wake, Some(self.last_sweep + sweep_interval))
    }

    fn poll_idle(&mut self, context: &mut Context) -> Time {
        if context.now < self.next_check {
            return self.next_check;
        }
        self.next_check = context.now + CHECK_INTERVAL;
        if context.view.peers.is_empty() || context.may_lack_peers() {
            return self.next_check;
        }
        self.submit_witnessed(context);
        if !matches!(self.role, Role::Idle) {
            return self.next_check;
        }
        let is_hinted_owner = self
            .hint
            .as_ref()
            .is_some_and(|hint| hint.owner.as_ref() == Some(&context.me));
        let responsible =
            is_hinted_owner || context.preferred_owner(self.number).as_ref() == Some(&context.me);
        let Some((header, read_at)) = self.last_read.clone() else {
            if responsible {
                self.start_reading(context);
            }
            return self.next_check;
        };
        match takeover::decide(context, self.number, header.as_ref()) {
            Decision::AlreadyOwner | Decision::TakeOver { .. } => self.start_reading(context),
            Decision::LeaveTo(life) if responsible => {
                self.send_look(context, &life);
                self.reread_if_stale(context, read_at);
            }
            _ if responsible => self.reread_if_stale(context, read_at),
            _ => {}
        }
        self.next_check
    }

    /// Sends the records kept for a former owner to the new owner, if the former owner is
    /// dead or was this host. Reads the log if the new owner is not known.
    fn submit_witnessed(&mut self, context: &mut Context) {
        let Some(witnessed_records) = self
            .witnessed_records
            .as_ref()
            .filter(|kept| !kept.records.is_empty())
        else {
            return;
        };
        let was_owner = witnessed_records.owner == context.me;
        if !was_owner
            && !matches!(
                context.liveness(&witnessed_records.owner),
                Liveness::Dead | Liveness::Gone
            )
        {
            return;
        }
        let newer_hint = self
            .hint
            .as_ref()
            .filter(|hint| hint.epoch > witnessed_records.epoch);
        if let Some(owner) = newer_hint.and_then(|hint| hint.owner.clone()) {
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
        let read_at = self.last_read.as_ref().map(|(_, read_at)| *read_at);
        if read_at.is_none_or(|read_at| context.now >= read_at + REREAD_INTERVAL) {
            self.start_reading(context);
        }
    }

    /// Reads the log again if it may have changed. Called while this host is the preferred
    /// owner or the known owner and does not own the shard, which should end soon.
    fn reread_if_stale(&mut self, context: &mut Context, read_at: Time) {
        let known_epoch = self
            .last_read
            .as_ref()
            .and_then(|(header, _)| header.as_ref())
            .map_or(0, |header| header.epoch);
        let is_newer = self
            .hint
            .as_ref()
            .is_some_and(|hint| hint.epoch > known_epoch);
        if is_newer || self.claimed_since_read || context.now >= read_at + REREAD_INTERVAL {
            self.start_reading(context);
        }
    }

    /// Asks a host that should act as owner or take the shard over to read the log. A host
    /// that acts as owner already ignores the frame.
    fn send_look(&self, context: &mut Context, life: &Life) {
        let look = wire::Look { shard: self.number };
        context.send(life, Body::Look(look));
    }

    fn start_reading(&mut self, context: &mut Context) {
        self.claimed_since_read = false;
        let mut reader = Box::<LogReader>::default();
        reader.request_page(context, self.number);
        self.role = Role::Reading(reader);
    }

    /// Decides, once the log has been read, whether this host owns the shard or takes it over.
    fn decide_role(&mut self, context: &mut Context) {
        let Role::Reading(reader) = std::mem::replace(&mut self.role, Role::Idle) else {
            return;
        };
        let log = LogContents::new(context, &reader);
        self.next_check = context.now + CHECK_INTERVAL;
        self.last_read = Some((log.header.clone(), context.now));
        if let Some(header) = &log.header {
            self.learn_owner(header.epoch, header.owner.clone());
        }
        match takeover::decide(context, self.number, log.header.as_ref()) {
            Decision::AlreadyOwner => {
                if let Some(owner) = log.into_owner(context, self.number) {
                    self.witnessed_records = None;
                    self.role = Role::Owner(Box::new(owner));
                }
            }
            Decision::TakeOver { gap } => {
                let witnessed_records = self.witnessed_records.take();
                let owner = log.take_over(context, self.number, gap, witnessed_records);
                self.role = Role::Owner(Box::new(owner));
            }
            Decision::LeaveTo(life) => {
                if context.preferred_owner(self.number).as_ref() == Some(&context.me) {
                    self.send_look(context, &life);
                }
            }
            Decision::Wait => {}
        }
    }

    fn apply_ownership(&mut self, context: &mut Context, ownership: Ownership) {
        match ownership {
            Ownership::Retained => {}
            Ownership::HandedOver => self.finish_handover(context),
            Ownership::Superseded => {
                context.log_event(Level::Warn, "shard-lost", self.number);
                if let Role::Owner(mut owner) = std::mem::replace(&mut self.role, Role::Idle) {
                    owner.redirect_waiting(context, owner.header.epoch, None);
                    self.witnessed_records = owner.unlogged_records(context);
                }
                self.start_reading(context);
            }
        }
    }

    fn finish_handover(&mut self, context: &mut Context) {
        let Role::Owner(mut owner) = std::mem::replace(&mut self.role, Role::Idle) else {
            return;
        };
        let header = owner.header.clone();
        owner.redirect_waiting(context, header.epoch, header.owner.as_ref());
        context.log_event(Level::Info, "shard-handed-over", self.number);
        self.learn_owner(header.epoch, header.owner.clone());
        if let Some(to) = &header.owner {
            context.send(to, Body::Look(wire::Look { shard: self.number }));
        }
        self.next_check = context.now + CHECK_INTERVAL;
        self.last_read = Some((Some(header), context.now));
    }

    /// Adds copies of records to those kept already, which it replaces if they are of an
    /// earlier epoch or of another owner in the same epoch.
    fn store_witnessed(&mut self, from: &Life, witness: &wire::Witness, records: Vec<Record>) {
        let keeps_existing = self.witnessed_records.as_ref().is_some_and(|kept| {
            kept.epoch > witness.epoch || (kept.epoch == witness.epoch && kept.owner == *from)
        });
        if !keeps_existing {
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

    /// Answers a claim with the owner known here, if any, and lets the next check read the
    /// log if this host is responsible for the shard.
    fn redirect(&mut self, context: &mut Context, waiter: &Waiter) {
        let owner = self.hint.as_ref().and_then(|hint| hint.owner.as_ref());
        let elsewhere = Verdict::Elsewhere(wire::Elsewhere {
            shard: self.number,
            epoch: self.hint.as_ref().map_or(0, |hint| hint.epoch),
            owner: owner.map(Life::to_wire),
        });
        if self.last_read.is_none() {
            self.next_check = context.now;
        }
        self.claimed_since_read = true;
        crate::owner::send_answer(context, waiter.claim, waiter.id, elsewhere);
    }
}
