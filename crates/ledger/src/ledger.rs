//! The ledger of one host: passes each input to the claims of this host or to the shard
//! that it is about.

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

/// At-most-once execution of non-repeatable requests on one host: obtains verdicts on the
/// host's own claims, and owns some of the shards that request ids are divided into.
#[derive(Debug)]
pub struct Ledger {
    context: Context,
    claimant: Claimant,
    shards: Vec<Shard>,
    next_wake: Option<Time>,
    left: bool,
}

impl Ledger {
    /// The ledger of one life of the host `me`. `incarnation` is the wall clock in
    /// milliseconds at `Time::ZERO`, and higher than that of any earlier life of the host.
    /// `seed` determines the jitter of intervals.
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
            next_wake: Some(now),
            left: false,
        }
    }

    /// When [`Input::Wake`] is due; `None` if only another input can cause work.
    #[must_use]
    pub const fn next_wake(&self) -> Option<Time> {
        self.next_wake
    }

    /// Number of request ids with an intent in the shards that this host owns.
    #[must_use]
    pub fn kept_ids(&self) -> usize {
        self.shards.iter().map(Shard::kept_ids).sum()
    }

    /// Number of shards that this host owns or is taking over.
    #[must_use]
    pub fn owned_shards(&self) -> usize {
        self.shards.iter().filter(|shard| shard.is_owned()).count()
    }

    /// Handles an input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.context.now = now;
        self.handle_input(input);
        loop {
            self.send_and_deliver();
            self.context.set_write_rate(self.owned_shards());
            self.next_wake = self.poll();
            if self.context.local_frames.is_empty() && self.claimant.messages.is_empty() {
                break;
            }
        }
        self.report_left();
        out.append(&mut self.context.outputs);
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::View(view) => {
                self.context.set_view(view);
                let now = self.context.now;
                self.shards
                    .iter_mut()
                    .for_each(|shard| shard.view_changed(now));
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
                    self.handle_frame(&from, body);
                }
            }
            Input::Undelivered { .. } | Input::Wake => {}
            Input::Kv { token, outcome } => {
                let shard = self.context.shard_of_call(token) as usize;
                self.shards[shard].handle_kv_outcome(&mut self.context, token, outcome);
            }
            Input::Claim {
                request,
                id,
                body,
                deadline,
            } => self
                .claimant
                .claim(&mut self.context, request, id, body, deadline),
            Input::Done { request, end } => self.claimant.done(&mut self.context, request, end),
            Input::Leave => self.context.begin_leave(),
        }
    }

    /// Sends the frames of this host's claims and handles frames from this host to itself.
    fn send_and_deliver(&mut self) {
        loop {
            for Message { shard, body } in std::mem::take(&mut self.claimant.messages) {
                let recipient = self.shards[shard as usize].claim_recipient(&mut self.context);
                if let Some(to) = recipient {
                    self.context.send(&to, body);
                }
            }
            let Some(body) = self.context.local_frames.pop_front() else {
                return;
            };
            let me = self.context.me.clone();
            self.handle_frame(&me, body);
        }
    }

    fn poll(&mut self) -> Option<Time> {
        let mut next_wake = self.claimant.poll(&mut self.context);
        for shard in &mut self.shards {
            next_wake = earliest(next_wake, shard.poll(&mut self.context));
        }
        next_wake.map(|next_wake| next_wake.max(self.context.now + Duration::from_micros(1)))
    }

    fn handle_frame(&mut self, from: &Life, body: Body) {
        match body {
            Body::Answer(answer) => self.handle_answer(answer),
            Body::Ask(ask) => self.handle_ask(from, &ask),
            Body::Claim(_) | Body::Release(_) | Body::Told(_) | Body::Ends(_) => {
                self.handle_claim_frame(from, body);
            }
            Body::Look(_)
            | Body::Witness(_)
            | Body::Witnessed(_)
            | Body::Merge(_)
            | Body::Merged(_) => self.handle_shard_frame(from, &body),
        }
    }

    /// Handles a frame from a claimant or holder to the owner of an id's shard.
    fn handle_claim_frame(&mut self, from: &Life, body: Body) {
        let context = &mut self.context;
        let key = context.interner.intern(from);
        match body {
            Body::Claim(claim) => {
                let id = record::join_u128(claim.id_high, claim.id_low);
                let shard = context.shard_of(id) as usize;
                self.shards[shard].handle_claim(context, key, &claim);
            }
            Body::Release(release) => {
                let id = record::join_u128(release.id_high, release.id_low);
                let shard = context.shard_of(id) as usize;
                self.shards[shard].handle_release(context, key, &release);
            }
            Body::Told(told) => {
                let id = record::join_u128(told.id_high, told.id_low);
                let shard = context.shard_of(id) as usize;
                self.shards[shard].handle_told(context, key, &told);
            }
            Body::Ends(ends) => {
                for record in &ends.records {
                    let record = record::record_from_wire(record, key);
                    let shard = context.shard_of(record.id) as usize;
                    self.shards[shard].handle_end(context, record);
                }
            }
            _ => {}
        }
    }

    /// Handles a frame about a shard as a whole, from its owner, its successor or another
    /// host that knows of it.
    fn handle_shard_frame(&mut self, from: &Life, body: &Body) {
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
            Body::Look(_) => shard.handle_look(context),
            Body::Witness(witness) => shard.handle_witness(context, from, witness),
            Body::Witnessed(answer) => shard.handle_witnessed(context, from, answer),
            Body::Merge(merge) => shard.handle_merge(context, from, merge),
            Body::Merged(merged) => shard.handle_merged(merged.epoch),
            _ => {}
        }
    }

    fn handle_answer(&mut self, answer: wire::Answer) {
        let id = record::join_u128(answer.id_high, answer.id_low);
        match answer.verdict {
            Some(Verdict::Elsewhere(elsewhere)) => {
                let Some(shard) = self.shards.get_mut(elsewhere.shard as usize) else {
                    return;
                };
                if shard.learn_owner(elsewhere.epoch, claimant::named_owner(&elsewhere)) {
                    self.claimant.resend_now(&self.context, answer.nonce);
                }
            }
            Some(verdict) => {
                self.claimant
                    .handle_answer(&mut self.context, answer.nonce, id, verdict);
            }
            None => self.context.count(Counter::FrameDropped),
        }
    }

    fn handle_ask(&mut self, from: &Life, ask: &wire::Ask) {
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

    fn report_left(&mut self) {
        if self.context.leaving && !self.left && self.shards.iter().all(Shard::is_idle) {
            self.left = true;
            self.context.outputs.push(Output::Left);
        }
    }
}
