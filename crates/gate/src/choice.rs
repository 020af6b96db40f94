//! Which of several upstreams gets a request.

use crate::{
    cache::Chain,
    gate::Gate,
    request::Pass,
    upstreams::{Known, UpstreamId},
};
use mulberryrack_core::{Time, hash};
use rand::RngExt;

/// What an upstream costs a request, in milliseconds of its time to the first event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    pub id: UpstreamId,
    cost: f64,
    /// Reading time of the prompts before it.
    pub backlog_ms: f64,
    /// Reading time without a rest of which it would be the end.
    pub reading_ms: f64,
    /// Reading time of the part of the prompt that is not expected in its cache.
    pub read_ms: f64,
}

impl Gate {
    /// Upstreams that can run a request.
    fn candidates<'a>(
        &'a self,
        now: Time,
        pass: &'a Pass,
    ) -> impl Iterator<Item = UpstreamId> + 'a {
        let generation = pass.ask.generation.as_ref();
        let fits = move |known: &Known| {
            known.serves()
                && known.entry.service == pass.service
                && generation.is_none_or(|it| known.holds(now, &it.model, it.adapter.as_deref()))
        };
        let all = self.upstreams.iter();
        all.filter(move |(id, known)| !pass.avoid.contains(id) && fits(known))
            .map(|(id, _)| id)
    }

    /// Whether another upstream than `id` can run a request now.
    pub(crate) fn has_other(&self, now: Time, pass: &Pass, id: UpstreamId) -> bool {
        let awake = |other: UpstreamId| self.upstreams.get(other).rests_until <= now;
        self.candidates(now, pass)
            .any(|other| other != id && awake(other))
    }

    /// The cheapest of the candidates; those that rest only if no other is left.
    pub(crate) fn choose(&mut self, now: Time, pass: &Pass) -> (Option<Offer>, usize) {
        let candidates: Vec<UpstreamId> = self.candidates(now, pass).collect();
        let count = candidates.len();
        let awake = |id: &UpstreamId| self.upstreams.get(*id).rests_until <= now;
        let rested: Vec<UpstreamId> = candidates.iter().copied().filter(awake).collect();
        let pool = if rested.is_empty() {
            candidates
        } else {
            rested
        };
        let home = self.home(&pass.chain, &pool);
        let offers: Vec<Offer> = pool
            .iter()
            .map(|&id| self.offer(now, id, pass, home == Some(id)))
            .collect();
        let best = offers
            .into_iter()
            .min_by(|one, other| one.cost.total_cmp(&other.cost));
        (best, count)
    }

    /// The engine on which all hosts expect the shared parts of a prompt.
    fn home(&self, chain: &Chain, pool: &[UpstreamId]) -> Option<UpstreamId> {
        let [.., (shared, _), _own] = chain.links[..] else {
            return None;
        };
        let weight = |id: &UpstreamId| {
            let name = &self.upstreams.get(*id).entry.id;
            hash::stable(name.as_bytes(), shared)
        };
        pool.iter().copied().max_by_key(weight)
    }

    fn offer(&mut self, now: Time, id: UpstreamId, pass: &Pass, home: bool) -> Offer {
        let jitter = self.rng.random_range(0.0..self.tuning.jitter_ms);
        let known = self.upstreams.get(id);
        let Some(generation) = &pass.ask.generation else {
            return Offer {
                id,
                cost: known.estimate(self.hosts) * self.tuning.run_ms + jitter,
                backlog_ms: 0.0,
                reading_ms: 0.0,
                read_ms: 0.0,
            };
        };
        let unread = generation
            .prompt_tokens
            .saturating_sub(known.cache.kept(now, &pass.chain));
        let read_ms = self.paces.read_ms(&generation.model, unread);
        let backlog = known.reads_until.since(now).as_secs_f64() * 1_000.0;
        let busy = backlog + read_ms;
        // A long row of prompts holds up every stream of the engine.
        let crowding = (busy - self.tuning.crowded_ms).max(0.0);
        let preferred = if home { 0.0 } else { self.tuning.stray_ms };
        let cost = busy
            + crowding * self.tuning.crowding
            + known.estimate(self.hosts) * self.tuning.run_ms
            + preferred
            + jitter;
        Offer {
            id,
            cost,
            backlog_ms: backlog,
            reading_ms: known.reading_ms(now),
            read_ms,
        }
    }
}
