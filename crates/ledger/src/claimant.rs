//! The claimant's side: claims that this host sends to the owners of shards for its own
//! requests, and reports of how granted requests ended.

use crate::{
    Output,
    context::Context,
    life::Life,
    owner,
    record::{self, ClaimId, Kind},
};
use mulberryrack_core::{
    Incarnation, Name, Time,
    claim::{self, End},
    earliest,
    outcome::{Doubt, Reason, Refusal},
    request,
};
use mulberryrack_wire::ledger::{self as wire, Fate, answer::Verdict};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long the ends of requests are collected before they are sent to owners.
const ENDS_DELAY: Duration = Duration::from_millis(200);

/// State of a claim of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No answer of an owner has decided the claim yet.
    Waiting,
    /// The request may run and has not ended.
    Granted,
    /// The request was granted and has ended.
    Ended(End),
}

/// A claim of this host. A claim that is given up is removed, so its grant is never used.
#[derive(Debug)]
struct OwnClaim {
    request: request::Key,
    id: u128,
    /// Lower half of the hash of the request body.
    body: u64,
    state: State,
    deadline: Time,
    resend_at: Time,
    /// Time between the last sending and the next, before jitter.
    interval: Duration,
    /// When the request ended; meaningful only in [`State::Ended`].
    ended_at: Time,
}

/// A frame about a claim, to be sent to the owner of a shard.
#[derive(Debug)]
pub struct Message {
    /// Number of the shard.
    pub shard: u32,
    /// Content of the frame.
    pub body: wire::frame::Body,
}

/// All claims of this host that wait, are granted or ended recently.
#[derive(Debug, Default)]
pub struct Claimant {
    /// Claims by nonce.
    claims: BTreeMap<u64, OwnClaim>,
    /// Nonces of the claims in [`State::Waiting`].
    waiting: BTreeSet<u64>,
    by_request: BTreeMap<request::Key, u64>,
    last_nonce: u64,
    /// Claims with a nonce lower than this may have been removed although their requests ran.
    removed_below: u64,
    /// Ends of requests that have yet to be sent, by shard.
    ends: BTreeMap<u32, Vec<wire::Record>>,
    /// When `ends` are to be sent.
    ends_due: Option<Time>,
    last_sweep: Time,
    /// Frames that have yet to be sent.
    pub messages: Vec<Message>,
}

impl Claimant {
    /// Starts a claim for a request; the next poll sends it.
    pub fn claim(
        &mut self,
        context: &mut Context,
        request: request::Key,
        id: u128,
        body: u128,
        deadline: Time,
    ) {
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let claim = OwnClaim {
            request,
            id,
            body: record::split_u128(body).1,
            state: State::Waiting,
            deadline,
            resend_at: context.now,
            interval: context.settings.retransmit_interval / 2,
            ended_at: Time::ZERO,
        };
        self.claims.insert(nonce, claim);
        self.waiting.insert(nonce);
        self.by_request.insert(request, nonce);
    }

    /// Handles the report of how a request ended. A claim that still waits, or whose
    /// request was not sent upstream, is released; otherwise the owner is told the end.
    pub fn done(&mut self, context: &mut Context, request: request::Key, end: End) {
        let Some(nonce) = self.by_request.get(&request).copied() else {
            return;
        };
        let Some(claim) = self.claims.get_mut(&nonce) else {
            return;
        };
        let id = claim.id;
        match (claim.state, end) {
            (State::Waiting, _) | (State::Granted, End::NotSent) => {
                self.drop_claim(context, nonce);
            }
            (State::Ended(_), End::NotSent) => {}
            (State::Granted | State::Ended(_), end) => {
                claim.state = State::Ended(end);
                claim.ended_at = context.now;
                self.queue_end(context, nonce, id, end);
            }
        }
    }

    /// Handles an owner's answer to a claim.
    pub fn handle_answer(&mut self, context: &mut Context, nonce: u64, id: u128, verdict: Verdict) {
        // After a pause of this process, an old answer may be handled although the claim's
        // deadline has passed. Such an answer may no longer be true and is not used.
        if self.is_expired(context, nonce) {
            let verdict = claim::Verdict::Unknown(Doubt::RecordUnread);
            self.conclude(context, nonce, verdict);
        }
        let waiting = self
            .claims
            .get(&nonce)
            .is_some_and(|claim| claim.id == id && claim.state == State::Waiting);
        match verdict {
            Verdict::Granted(_) if waiting => self.grant(context, nonce),
            Verdict::Granted(_)
                if !self.claims.contains_key(&nonce) && nonce >= self.removed_below =>
            {
                self.send_release(context, nonce, id);
            }
            Verdict::KeyReused(_) if waiting => {
                let refusal = Refusal {
                    reason: Reason::KeyReused,
                    retry_after: None,
                };
                self.conclude(context, nonce, claim::Verdict::NotRun(refusal));
            }
            Verdict::Doubtful(doubtful) if waiting => {
                let doubt = doubt_from_label(&doubtful.doubt);
                self.conclude(context, nonce, claim::Verdict::Unknown(doubt));
            }
            Verdict::Join(join) if waiting => {
                let Some(holder) = &join.holder else {
                    return;
                };
                let verdict = claim::Verdict::Join {
                    holder: Name::from(holder.host.as_str()),
                    incarnation: Incarnation(holder.incarnation),
                    request: request::Key(join.request),
                };
                self.conclude(context, nonce, verdict);
            }
            _ => {}
        }
    }

    /// Schedules a waiting claim to be sent at once, since its shard has a new owner.
    pub fn resend_now(&mut self, context: &Context, nonce: u64) {
        if let Some(claim) = self.claims.get_mut(&nonce)
            && claim.state == State::Waiting
        {
            claim.resend_at = context.now;
        }
    }

    /// What became of a claim; `None` for a nonce that this host has not used.
    pub fn fate(&self, nonce: u64, id: u128) -> Option<Fate> {
        if nonce > self.last_nonce {
            return None;
        }
        let Some(claim) = self.claims.get(&nonce).filter(|claim| claim.id == id) else {
            return Some(if nonce < self.removed_below {
                Fate::Lost
            } else {
                Fate::NotSent
            });
        };
        Some(match claim.state {
            State::Waiting => Fate::Waiting,
            State::Granted | State::Ended(End::Ran) => Fate::Kept,
            State::Ended(End::Forgotten) => Fate::Lost,
            State::Ended(End::Unknown) => Fate::Doubtful,
            State::Ended(End::NotSent) => Fate::NotSent,
        })
    }

    /// Sends waiting claims again, ends claims whose deadline has passed and reports ends of
    /// requests. Returns when to poll again.
    pub fn poll(&mut self, context: &mut Context) -> Option<Time> {
        let due: Vec<u64> = self
            .waiting
            .iter()
            .copied()
            .filter(|nonce| {
                let claim = &self.claims[nonce];
                claim.resend_at <= context.now || claim.deadline <= context.now
            })
            .collect();
        for nonce in due {
            self.resend(context, nonce);
        }
        self.flush_ends(context);
        self.sweep(context);
        let next = self
            .waiting
            .iter()
            .map(|nonce| {
                self.claims[nonce]
                    .resend_at
                    .min(self.claims[nonce].deadline)
            })
            .min();
        earliest(next, self.ends_due)
    }

    fn is_expired(&self, context: &Context, nonce: u64) -> bool {
        self.claims
            .get(&nonce)
            .is_some_and(|claim| claim.state == State::Waiting && claim.deadline <= context.now)
    }

    fn resend(&mut self, context: &mut Context, nonce: u64) {
        let Some(claim) = self.claims.get_mut(&nonce) else {
            return;
        };
        if claim.deadline <= context.now {
            // An earlier claim of the same id may have run: no owner has said otherwise.
            let verdict = claim::Verdict::Unknown(Doubt::RecordUnread);
            self.conclude(context, nonce, verdict);
            return;
        }
        claim.interval = (claim.interval * 2).min(context.settings.retransmit_interval * 8);
        claim.resend_at = context.now + context.jitter(claim.interval);
        let (id_high, id_low) = record::split_u128(claim.id);
        let remaining_ms = claim.deadline.since(context.now).as_millis();
        let message = wire::Claim {
            id_high,
            id_low,
            body: claim.body,
            request: claim.request.0,
            nonce,
            remaining_ms: u64::try_from(remaining_ms).unwrap_or(u64::MAX),
        };
        self.messages.push(Message {
            shard: context.shard_of(claim.id),
            body: wire::frame::Body::Claim(message),
        });
    }

    fn grant(&mut self, context: &mut Context, nonce: u64) {
        let Some(claim) = self.claims.get_mut(&nonce) else {
            return;
        };
        claim.state = State::Granted;
        self.waiting.remove(&nonce);
        context.outputs.push(Output::Verdict {
            request: claim.request,
            verdict: claim::Verdict::Granted,
        });
    }

    /// Gives a verdict other than a grant and gives the claim up.
    fn conclude(&mut self, context: &mut Context, nonce: u64, verdict: claim::Verdict) {
        let Some(claim) = self.claims.get(&nonce) else {
            return;
        };
        context.outputs.push(Output::Verdict {
            request: claim.request,
            verdict,
        });
        self.drop_claim(context, nonce);
    }

    /// Removes a claim and sends a release, in case the owner has recorded its intent.
    fn drop_claim(&mut self, context: &Context, nonce: u64) {
        self.waiting.remove(&nonce);
        if let Some(claim) = self.claims.remove(&nonce) {
            self.by_request.remove(&claim.request);
            self.send_release(context, nonce, claim.id);
        }
    }

    fn send_release(&mut self, context: &Context, nonce: u64, id: u128) {
        let (id_high, id_low) = record::split_u128(id);
        let release = wire::Release {
            id_high,
            id_low,
            nonce,
        };
        self.messages.push(Message {
            shard: context.shard_of(id),
            body: wire::frame::Body::Release(release),
        });
    }

    fn queue_end(&mut self, context: &Context, nonce: u64, id: u128, end: End) {
        let kind = match end {
            End::Ran => Kind::Ran,
            End::Forgotten => Kind::Forgotten,
            End::Unknown => Kind::Unknown,
            End::NotSent => return,
        };
        let claim = ClaimId {
            life: context.my_key,
            nonce,
        };
        let record = record::record_to_wire(&owner::bare_record(kind, id, claim), 0);
        let shard = context.shard_of(id);
        self.ends.entry(shard).or_default().push(record);
        self.ends_due.get_or_insert(context.now + ENDS_DELAY);
    }

    fn flush_ends(&mut self, context: &Context) {
        if self.ends_due.is_none_or(|due| due > context.now) {
            return;
        }
        self.ends_due = None;
        for (shard, records) in std::mem::take(&mut self.ends) {
            self.messages.push(Message {
                shard,
                body: wire::frame::Body::Ends(wire::Ends { records }),
            });
        }
    }

    /// Removes claims that ended longer ago than twice the retention: their records have
    /// expired long before.
    fn sweep(&mut self, context: &Context) {
        let keep_period = context.settings.retention * 2;
        if context.now < self.last_sweep + keep_period / 64 {
            return;
        }
        self.last_sweep = context.now;
        let now = context.now;
        let expired: Vec<u64> = self
            .claims
            .iter()
            .filter(|(_, claim)| matches!(claim.state, State::Ended(_)))
            .filter(|(_, claim)| now.since(claim.ended_at) > keep_period)
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in expired {
            self.removed_below = self.removed_below.max(nonce + 1);
            if let Some(claim) = self.claims.remove(&nonce) {
                self.by_request.remove(&claim.request);
            }
        }
    }
}

/// The owner that an `Elsewhere` answer names, if any.
pub fn named_owner(elsewhere: &wire::Elsewhere) -> Option<Life> {
    elsewhere.owner.as_ref().map(Life::from_wire)
}

fn doubt_from_label(label: &str) -> Doubt {
    Doubt::ALL
        .iter()
        .copied()
        .find(|doubt| doubt.label() == label)
        .unwrap_or(Doubt::RecordUnread)
}
