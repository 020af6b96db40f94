//! The ledger of one host: takes inputs to the shard or claim that they are about.

use crate::{
    Input, Output, Settings,
    claimant::{self, Claimant, Message},
    context::Context,
    life::Life,
    record,
    shard::Shard,
};
use mulberryrack_core::{Incarnation, Name, Time, earliest, note::Counter};
use mulberryrack_wire::ledger::{self as wire, answer::Verdict, frame::Body};
use std::time::Duration;

/// At-most-once for non-repeatable requests: decides on claims of this host, and owns
/// some of the shards that ids are cut into.
#[derive(Debug)]
pub struct Ledger {
    context: Context,
    claimant: Claimant,
    shards: Vec<Shard>,
    wake: Option<Time>,
    left: bool,
}

impl Ledger {
    /// The ledger of one life of a host. `incarnation` is the wall clock in milliseconds
    /// at `Time::ZERO`, and higher than that of any former life.
    #[must_use]
    pub fn new(
        settings: Settings,
        me: Name,
        incarnation: Incarnation,
        seed: u64,
        now: Time,
    ) -> Self {
        let shards = (0..settings.shards)
            .map(|number| Shard::new(number, now))
            .collect();
        Self {
            context: Context::new(settings, me, incarnation, seed, now),
            claimant: Claimant::default(),
            shards,
            wake: Some(now),
            left: false,
        }
    }

    /// When [`Input::Wake`] is due.
    #[must_use]
    pub const fn next_wake(&self) -> Option<Time> {
        self.wake
    }

    /// Ids that this host keeps as an owner.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.shards.iter().map(Shard::kept).sum()
    }

    /// Shards that this host owns.
    #[must_use]
    pub fn owned(&self) -> usize {
        self.shards.iter().filter(|shard| shard.owned()).count()
    }

    /// Takes an input and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.context.now = now;
        self.take(input);
        loop {
            self.deliver();
            self.context.share(self.owned());
            self.wake = self.pump();
            if self.context.local.is_empty() && self.claimant.messages.is_empty() {
                break;
            }
        }
        self.leave();
        out.append(&mut self.context.out);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::View(view) => {
                self.context.adopt(view);
                let now = self.context.now;
                self.shards.iter_mut().for_each(|shard| shard.viewed(now));
            }
            Input::Frame {
                from,
                incarnation,
                frame,
            } => {
                let from = Life {
                    host: from,
                    incarnation,
                };
                if let Some(body) = frame.body {
                    self.frame(&from, body);
                }
            }
            Input::Undelivered { .. } | Input::Wake => {}
            Input::Kv { token, outcome } => {
                let shard = self.context.shard_of_call(token) as usize;
                self.shards[shard].kv(&mut self.context, token, outcome);
            }
            Input::Claim {
                request,
                id,
                body,
                until,
            } => self
                .claimant
                .claim(&mut self.context, request, id, body, until),
            Input::Done { request, end } => self.claimant.done(&mut self.context, request, end),
            Input::Leave => self.context.leave(),
        }
    }

    /// Delivers frames of this host to itself and sends those of its claims.
    fn deliver(&mut self) {
        loop {
            for Message { shard, body } in std::mem::take(&mut self.claimant.messages) {
                let route = self.shards[shard as usize].route(&mut self.context);
                if let Some(to) = route {
                    self.context.send(&to, body);
                }
            }
            let Some(body) = self.context.local.pop_front() else {
                return;
            };
            let me = self.context.me.clone();
            self.frame(&me, body);
        }
    }

    fn pump(&mut self) -> Option<Time> {
        let mut wake = self.claimant.pump(&mut self.context);
        for shard in &mut self.shards {
            wake = earliest(wake, shard.pump(&mut self.context));
        }
        wake.map(|wake| wake.max(self.context.now + Duration::from_micros(1)))
    }

    fn frame(&mut self, from: &Life, body: Body) {
        match body {
            Body::Answer(answer) => self.answer(answer),
            Body::Ask(ask) => self.ask(from, &ask),
            Body::Claim(_) | Body::Release(_) | Body::Told(_) | Body::Ends(_) => {
                self.frame_of_claim(from, body);
            }
            Body::Look(_)
            | Body::Witness(_)
            | Body::Witnessed(_)
            | Body::Merge(_)
            | Body::Merged(_) => self.frame_of_shard(from, &body),
        }
    }

    /// Frames of claimants and holders to the owner of an id.
    fn frame_of_claim(&mut self, from: &Life, body: Body) {
        let context = &mut self.context;
        let key = context.interner.intern(from);
        match body {
            Body::Claim(claim) => {
                let id = record::join_u128(claim.id_high, claim.id_low);
                let shard = context.shard_of(id) as usize;
                self.shards[shard].claim(context, key, &claim);
            }
            Body::Release(release) => {
                let id = record::join_u128(release.id_high, release.id_low);
                let shard = context.shard_of(id) as usize;
                self.shards[shard].release(context, key, &release);
            }
            Body::Told(told) => {
                let id = record::join_u128(told.id_high, told.id_low);
                let shard = context.shard_of(id) as usize;
                self.shards[shard].told(context, key, &told);
            }
            Body::Ends(ends) => {
                for record in &ends.records {
                    let record = record::record_from_wire(record, key);
                    let shard = context.shard_of(record.id) as usize;
                    self.shards[shard].end(context, record);
                }
            }
            _ => {}
        }
    }

    /// Frames between hosts about a shard.
    fn frame_of_shard(&mut self, from: &Life, body: &Body) {
        let number = match body {
            Body::Look(look) => look.shard,
            Body::Witness(witness) => witness.shard,
            Body::Witnessed(answer) => answer.shard,
            Body::Merge(merge) => merge.shard,
            Body::Merged(merged) => merged.shard,
            _ => return,
        };
        let context = &mut self.context;
        let Some(shard) = self.shards.get_mut(number as usize) else {
            return;
        };
        match body {
            Body::Look(_) => shard.look(context),
            Body::Witness(witness) => shard.witness(context, from, witness),
            Body::Witnessed(answer) => shard.witnessed(context, from, answer),
            Body::Merge(merge) => shard.merge(context, from, merge),
            Body::Merged(merged) => shard.merged(merged.epoch),
            _ => {}
        }
    }

    fn answer(&mut self, answer: wire::Answer) {
        let id = record::join_u128(answer.id_high, answer.id_low);
        match answer.verdict {
            Some(Verdict::Elsewhere(elsewhere)) => {
                let Some(shard) = self.shards.get_mut(elsewhere.shard as usize) else {
                    return;
                };
                if shard.hear(elsewhere.epoch, claimant::pointed(&elsewhere)) {
                    self.claimant.redirected(&self.context, answer.nonce);
                }
            }
            Some(verdict) => {
                self.claimant
                    .answered(&mut self.context, answer.nonce, id, verdict);
            }
            None => self.context.count(Counter::FrameDropped),
        }
    }

    fn ask(&mut self, from: &Life, ask: &wire::Ask) {
        let id = record::join_u128(ask.id_high, ask.id_low);
        if let Some(fate) = self.claimant.fate(ask.nonce, id) {
            let told = wire::Told {
                id_high: ask.id_high,
                id_low: ask.id_low,
                nonce: ask.nonce,
                fate: fate as i32,
            };
            self.context.send(from, Body::Told(told));
        }
    }

    fn leave(&mut self) {
        if self.context.leaving && !self.left && self.shards.iter().all(Shard::settled) {
            self.left = true;
            self.context.out.push(Output::Left);
        }
    }
}
