//! This host's own claims: asked for, granted, ended.

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

/// How often ends of requests are sent to owners.
const ENDS: Duration = Duration::from_millis(200);

/// How far a claim has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Granted,
    Ended(End),
}

/// A claim of this host. One that was given up is removed: its grant is never used.
#[derive(Debug)]
struct Mine {
    request: request::Key,
    id: u128,
    body: u64,
    state: State,
    until: Time,
    again: Time,
    pause: Duration,
    ended: Time,
}

/// A frame about a claim, for the owner of a shard.
#[derive(Debug)]
pub struct Message {
    /// The shard.
    pub shard: u32,
    /// The frame.
    pub body: wire::frame::Body,
}

/// All claims of this host.
#[derive(Debug, Default)]
pub struct Claimant {
    mine: BTreeMap<u64, Mine>,
    waiting: BTreeSet<u64>,
    by_request: BTreeMap<request::Key, u64>,
    next: u64,
    /// Claims with a lower nonce may have been dropped after they ran.
    floor: u64,
    ends: BTreeMap<u32, Vec<wire::Record>>,
    ends_due: Option<Time>,
    swept: Time,
    /// Frames to send.
    pub messages: Vec<Message>,
}

impl Claimant {
    /// A request asks whether it may run.
    pub fn claim(
        &mut self,
        context: &mut Context,
        request: request::Key,
        id: u128,
        body: u128,
        until: Time,
    ) {
        self.next += 1;
        let nonce = self.next;
        let mine = Mine {
            request,
            id,
            body: record::split_u128(body).1,
            state: State::Waiting,
            until,
            again: context.now,
            pause: context.settings.retransmit / 2,
            ended: Time::ZERO,
        };
        self.mine.insert(nonce, mine);
        self.waiting.insert(nonce);
        self.by_request.insert(request, nonce);
    }

    /// The router says how a granted request ended.
    pub fn done(&mut self, context: &mut Context, request: request::Key, end: End) {
        let Some(nonce) = self.by_request.get(&request).copied() else {
            return;
        };
        let Some(mine) = self.mine.get_mut(&nonce) else {
            return;
        };
        let id = mine.id;
        match (mine.state, end) {
            (State::Waiting, _) | (State::Granted, End::NotSent) => {
                self.drop_claim(context, nonce);
            }
            (State::Ended(_), End::NotSent) => {}
            (State::Granted | State::Ended(_), end) => {
                mine.state = State::Ended(end);
                mine.ended = context.now;
                self.report(context, nonce, id, end);
            }
        }
    }

    /// An owner answers a claim.
    pub fn answered(&mut self, context: &mut Context, nonce: u64, id: u128, verdict: Verdict) {
        // After a pause, answers and the end of the claim's time come at once: an answer
        // that old may no longer be true.
        if self.overdue(context, nonce) {
            let verdict = claim::Verdict::Unknown(Doubt::RecordUnread);
            self.conclude(context, nonce, verdict);
        }
        let waiting = self
            .mine
            .get(&nonce)
            .is_some_and(|mine| mine.id == id && mine.state == State::Waiting);
        match verdict {
            Verdict::Granted(_) if waiting => self.grant(context, nonce),
            Verdict::Granted(_) if !self.mine.contains_key(&nonce) && nonce >= self.floor => {
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
                let doubt = read_doubt(&doubtful.doubt);
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

    /// The owner of a shard has changed: ask it at once.
    pub fn redirected(&mut self, context: &Context, nonce: u64) {
        if let Some(mine) = self.mine.get_mut(&nonce)
            && mine.state == State::Waiting
        {
            mine.again = context.now;
        }
    }

    /// What became of a claim; `None` for a nonce that was never used.
    pub fn fate(&self, nonce: u64, id: u128) -> Option<Fate> {
        if nonce > self.next {
            return None;
        }
        let Some(mine) = self.mine.get(&nonce).filter(|mine| mine.id == id) else {
            return Some(if nonce < self.floor {
                Fate::Lost
            } else {
                Fate::NotSent
            });
        };
        Some(match mine.state {
            State::Waiting => Fate::Waiting,
            State::Granted | State::Ended(End::Ran) => Fate::Kept,
            State::Ended(End::Forgotten) => Fate::Lost,
            State::Ended(End::Unknown) => Fate::Doubtful,
            State::Ended(End::NotSent) => Fate::NotSent,
        })
    }

    /// Sends claims again, gives up on those whose time is over, reports ends.
    pub fn pump(&mut self, context: &mut Context) -> Option<Time> {
        let due: Vec<u64> = self
            .waiting
            .iter()
            .copied()
            .filter(|nonce| {
                let mine = &self.mine[nonce];
                mine.again <= context.now || mine.until <= context.now
            })
            .collect();
        for nonce in due {
            self.retry(context, nonce);
        }
        self.flush_ends(context);
        self.sweep(context);
        let next = self
            .waiting
            .iter()
            .map(|nonce| self.mine[nonce].again.min(self.mine[nonce].until))
            .min();
        earliest(next, self.ends_due)
    }

    fn overdue(&self, context: &Context, nonce: u64) -> bool {
        self.mine
            .get(&nonce)
            .is_some_and(|mine| mine.state == State::Waiting && mine.until <= context.now)
    }

    fn retry(&mut self, context: &mut Context, nonce: u64) {
        let Some(mine) = self.mine.get_mut(&nonce) else {
            return;
        };
        if mine.until <= context.now {
            // Nobody can say whether an earlier send of the same key ran.
            let verdict = claim::Verdict::Unknown(Doubt::RecordUnread);
            self.conclude(context, nonce, verdict);
            return;
        }
        mine.pause = (mine.pause * 2).min(context.settings.retransmit * 8);
        mine.again = context.now + context.jitter(mine.pause);
        let (id_high, id_low) = record::split_u128(mine.id);
        let left = mine.until.since(context.now).as_millis();
        let claim = wire::Claim {
            id_high,
            id_low,
            body: mine.body,
            request: mine.request.0,
            nonce,
            remaining_ms: u64::try_from(left).unwrap_or(u64::MAX),
        };
        self.messages.push(Message {
            shard: context.shard_of(mine.id),
            body: wire::frame::Body::Claim(claim),
        });
    }

    fn grant(&mut self, context: &mut Context, nonce: u64) {
        let Some(mine) = self.mine.get_mut(&nonce) else {
            return;
        };
        mine.state = State::Granted;
        self.waiting.remove(&nonce);
        context.out.push(Output::Verdict {
            request: mine.request,
            verdict: claim::Verdict::Granted,
        });
    }

    /// Gives a verdict other than a grant; the claim is given up for good.
    fn conclude(&mut self, context: &mut Context, nonce: u64, verdict: claim::Verdict) {
        let Some(mine) = self.mine.get(&nonce) else {
            return;
        };
        context.out.push(Output::Verdict {
            request: mine.request,
            verdict,
        });
        self.drop_claim(context, nonce);
    }

    /// Gives a claim up, and lets its owner know in case it was recorded.
    fn drop_claim(&mut self, context: &Context, nonce: u64) {
        self.waiting.remove(&nonce);
        if let Some(mine) = self.mine.remove(&nonce) {
            self.by_request.remove(&mine.request);
            self.send_release(context, nonce, mine.id);
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

    fn report(&mut self, context: &Context, nonce: u64, id: u128, end: End) {
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
        self.ends_due.get_or_insert(context.now + ENDS);
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

    /// Drops claims that ended long before their records expire.
    fn sweep(&mut self, context: &Context) {
        let keep = context.settings.retention * 2;
        if context.now < self.swept + keep / 64 {
            return;
        }
        self.swept = context.now;
        let now = context.now;
        let old: Vec<u64> = self
            .mine
            .iter()
            .filter(|(_, mine)| matches!(mine.state, State::Ended(_)))
            .filter(|(_, mine)| now.since(mine.ended) > keep)
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in old {
            self.floor = self.floor.max(nonce + 1);
            if let Some(mine) = self.mine.remove(&nonce) {
                self.by_request.remove(&mine.request);
            }
        }
    }
}

/// The owner's life in an answer that points elsewhere.
pub fn pointed(elsewhere: &wire::Elsewhere) -> Option<Life> {
    elsewhere.owner.as_ref().map(Life::from_wire)
}

fn read_doubt(label: &str) -> Doubt {
    Doubt::ALL
        .iter()
        .copied()
        .find(|doubt| doubt.label() == label)
        .unwrap_or(Doubt::RecordUnread)
}
