//! Claims for an id that already has a durable intent, as when a caller sends a request
//! again. The owner asks the holder of the earlier claim what became of its request.

use crate::{
    context::{Context, Liveness},
    intents::{Intent, State},
    life::Life,
    owner::{self, Owner, Waiter},
    record::{self, ClaimId, Kind},
};
use mulberryrack_core::{Time, note::Counter, outcome::Doubt};
use mulberryrack_wire::ledger::{self as wire, answer::Verdict, frame::Body};
use std::{collections::btree_map::Entry, time::Duration};

/// An open query to the holder of a claim.
#[derive(Clone, Copy, Debug)]
pub struct FateQuery {
    /// The holder's claim that the query is about.
    pub claim: ClaimId,
    resend_at: Time,
    interval: Duration,
}

impl Owner {
    /// Handles a holder's answer about what became of its claim.
    pub fn handle_fate(
        &mut self,
        context: &mut Context,
        claim: ClaimId,
        id: u128,
        fate: wire::Fate,
    ) {
        let Some(intent) = self.intents.get(id).copied() else {
            return;
        };
        if intent.claim() != claim || !matches!(intent.state, State::Durable | State::Ran) {
            return;
        }
        match fate {
            wire::Fate::Waiting => {
                owner::send_answer(context, claim, id, Verdict::Granted(wire::Granted {}));
                return;
            }
            wire::Fate::NotSent => {
                self.handle_release(context, claim, id);
                return;
            }
            wire::Fate::Kept => self.join_deferred(context, &intent, id),
            wire::Fate::Lost => self.end(context, owner::bare_record(Kind::Forgotten, id, claim)),
            wire::Fate::Doubtful => self.end(context, owner::bare_record(Kind::Unknown, id, claim)),
        }
        self.fate_queries.remove(&id);
        if fate != wire::Fate::Kept {
            self.decide_deferred(context, id);
        }
    }

    /// Sends due queries again and ends queries to holders that are dead. Returns when to
    /// poll again.
    pub fn poll_fate_queries(&mut self, context: &mut Context) -> Option<Time> {
        let due: Vec<u128> = self
            .fate_queries
            .iter()
            .filter(|(_, query)| query.resend_at <= context.now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.resend_query(context, id);
        }
        self.fate_queries
            .values()
            .map(|query| query.resend_at)
            .min()
    }

    /// Keeps a claim waiting and asks the holder of the earlier claim what became of its
    /// request, unless a query is open already. If the holder is dead, the new claim is
    /// answered at once.
    pub fn query_fate(&mut self, context: &mut Context, intent: &Intent, waiter: Waiter) {
        let holder = context.interner.get(intent.life).clone();
        if matches!(context.liveness(&holder), Liveness::Dead | Liveness::Gone) {
            let doubt = match intent.state {
                State::Ran => Doubt::AnswerGone,
                _ => Doubt::HostLost,
            };
            owner::answer_doubtful(context, &waiter, doubt);
            return;
        }
        self.defer(context, waiter);
        if let Entry::Vacant(entry) = self.fate_queries.entry(waiter.id) {
            entry.insert(FateQuery {
                claim: intent.claim(),
                resend_at: context.now + context.settings.retransmit_interval,
                interval: context.settings.retransmit_interval,
            });
            send_query(context, &holder, waiter.id, intent.nonce);
        }
    }

    fn resend_query(&mut self, context: &mut Context, id: u128) {
        let now = context.now;
        if let Some(deferred) = self.deferred.get_mut(&id) {
            deferred.retain(|waiter| waiter.deadline > now);
        }
        if self.deferred.get(&id).is_none_or(Vec::is_empty) {
            self.deferred.remove(&id);
            self.fate_queries.remove(&id);
            return;
        }
        let Some(query) = self.fate_queries.get(&id).copied() else {
            return;
        };
        let holder = context.interner.get(query.claim.life).clone();
        if matches!(context.liveness(&holder), Liveness::Dead | Liveness::Gone) {
            self.fate_queries.remove(&id);
            self.decide_deferred(context, id);
            return;
        }
        let interval = (query.interval * 2).min(context.settings.retransmit_interval * 8);
        let resend_at = now + context.jitter(interval);
        let claim = query.claim;
        self.fate_queries.insert(
            id,
            FateQuery {
                claim,
                resend_at,
                interval,
            },
        );
        send_query(context, &holder, id, claim.nonce);
    }

    /// Answers the deferred claims of an id, whose holder keeps the answer: claims with the
    /// body of the holder's claim join its request, the others lead to a probe record.
    fn join_deferred(&mut self, context: &mut Context, intent: &Intent, id: u128) {
        let holder = context.interner.get(intent.life).to_wire();
        for waiter in self.deferred.remove(&id).unwrap_or_default() {
            if waiter.body != intent.body {
                self.probe_ownership(context, &waiter);
                continue;
            }
            context.count(Counter::Joined);
            let join = wire::Join {
                holder: Some(holder.clone()),
                request: intent.request,
            };
            owner::send_answer(context, waiter.claim, id, Verdict::Join(join));
        }
    }
}

fn send_query(context: &mut Context, holder: &Life, id: u128, nonce: u64) {
    let (id_high, id_low) = record::split_u128(id);
    let ask = wire::Ask {
        id_high,
        id_low,
        nonce,
    };
    context.send(holder, Body::Ask(ask));
}
