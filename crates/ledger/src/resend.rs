//! Resends: what became of the earlier claim of an id is asked of its holder.

use crate::{
    context::{Context, Vital},
    intents::{Intent, State},
    life::Life,
    owner::{self, Owner, Waiter},
    record::{self, ClaimId, Kind},
};
use mulberryrack_core::{Time, note::Counter, outcome::Doubt};
use mulberryrack_wire::ledger::{self as wire, answer::Verdict, frame::Body};
use std::{collections::btree_map::Entry, time::Duration};

/// A question to the holder of an intent.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Whose fate is asked for.
    pub claim: ClaimId,
    again: Time,
    pause: Duration,
}

impl Owner {
    /// The holder says what became of its claim.
    pub fn told(&mut self, context: &mut Context, claim: ClaimId, id: u128, fate: wire::Fate) {
        let Some(intent) = self.intents.get(id).copied() else {
            return;
        };
        if intent.claim() != claim || !matches!(intent.state, State::Durable | State::Ran) {
            return;
        }
        match fate {
            wire::Fate::Waiting => {
                owner::answer(context, claim, id, Verdict::Granted(wire::Granted {}));
                return;
            }
            wire::Fate::NotSent => {
                self.release(context, claim, id);
                return;
            }
            wire::Fate::Kept => self.join(context, &intent, id),
            wire::Fate::Lost => self.end(context, owner::plain(Kind::Forgotten, id, claim)),
            wire::Fate::Doubtful => self.end(context, owner::plain(Kind::Unknown, id, claim)),
        }
        self.questions.remove(&id);
        if fate != wire::Fate::Kept {
            self.settle(context, id);
        }
    }

    /// Asks holders again, and gives up on those that are dead.
    pub fn pump_questions(&mut self, context: &mut Context) -> Option<Time> {
        let due: Vec<u128> = self
            .questions
            .iter()
            .filter(|(_, question)| question.again <= context.now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.ask_again(context, id);
        }
        self.questions.values().map(|question| question.again).min()
    }

    /// Asks the holder of an intent what became of it.
    pub fn inquire(&mut self, context: &mut Context, intent: &Intent, waiter: Waiter) {
        let holder = context.interner.get(intent.life).clone();
        if matches!(context.vital(&holder), Vital::Dead | Vital::Gone) {
            let lost = match intent.state {
                State::Ran => Doubt::AnswerGone,
                _ => Doubt::HostLost,
            };
            owner::doubt(context, &waiter, lost);
            return;
        }
        self.park(context, waiter);
        if let Entry::Vacant(entry) = self.questions.entry(waiter.id) {
            entry.insert(Question {
                claim: intent.claim(),
                again: context.now + context.settings.retransmit,
                pause: context.settings.retransmit,
            });
            ask(context, &holder, waiter.id, intent.nonce);
        }
    }

    fn ask_again(&mut self, context: &mut Context, id: u128) {
        let now = context.now;
        if let Some(parked) = self.parked.get_mut(&id) {
            parked.retain(|waiter| waiter.until > now);
        }
        if self.parked.get(&id).is_none_or(Vec::is_empty) {
            self.parked.remove(&id);
            self.questions.remove(&id);
            return;
        }
        let Some(question) = self.questions.get(&id).copied() else {
            return;
        };
        let holder = context.interner.get(question.claim.life).clone();
        if matches!(context.vital(&holder), Vital::Dead | Vital::Gone) {
            self.questions.remove(&id);
            self.settle(context, id);
            return;
        }
        let pause = (question.pause * 2).min(context.settings.retransmit * 8);
        let again = now + context.jitter(pause);
        let claim = question.claim;
        self.questions.insert(
            id,
            Question {
                claim,
                again,
                pause,
            },
        );
        ask(context, &holder, id, claim.nonce);
    }

    fn join(&mut self, context: &mut Context, intent: &Intent, id: u128) {
        let holder = context.interner.get(intent.life).to_wire();
        for waiter in self.parked.remove(&id).unwrap_or_default() {
            if waiter.body != intent.body {
                self.prove(context, &waiter);
                continue;
            }
            context.count(Counter::Joined);
            let join = wire::Join {
                holder: Some(holder.clone()),
                request: intent.request,
            };
            owner::answer(context, waiter.claim, id, Verdict::Join(join));
        }
    }
}

fn ask(context: &mut Context, holder: &Life, id: u128, nonce: u64) {
    let (id_high, id_low) = record::split_u128(id);
    let ask = wire::Ask {
        id_high,
        id_low,
        nonce,
    };
    context.send(holder, Body::Ask(ask));
}
