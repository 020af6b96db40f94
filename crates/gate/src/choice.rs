//! Selects the upstream for a request.

use crate::{
    cache::PrefixChain,
    gate::Gate,
    load::ServiceLoad,
    request::RequestState,
    upstreams::{UpstreamId, UpstreamState},
};
use mulberryrack_core::{Name, Time, hash};
use mulberryrack_site::settings::BalanceRule;
use rand::RngExt;

/// Number of the best candidates among which the rule `Even` selects at random.
const SPREAD_CANDIDATES: usize = 4;
/// Expected times to a first event, as shares of the latency target, from which on it may come after
/// the target and from which on it is taken to. The estimates lack prompts that are on their way.
const LATE_SHARES: (f64, f64) = (0.25, 0.75);

/// An upstream that could run a request, with the estimates for running it there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    /// Cost in milliseconds; the candidate with the lowest cost is selected.
    pub cost: f64,
    /// Time until the engine has read the prompts that were sent to it before, in
    /// milliseconds.
    pub backlog_ms: f64,
    /// Length in milliseconds of the uninterrupted reading period that this prompt would
    /// prolong; zero if the engine's streams have caught up.
    pub reading_ms: f64,
    /// Time to read the part of this prompt that the engine should not have cached, in
    /// milliseconds.
    pub read_ms: f64,
    /// Tokens of that part.
    pub uncached_tokens: u32,
    /// Estimated requests at the upstream.
    pub requests: f64,
    /// How long requests take at the upstream, as a multiple of the usual time.
    pub slowness: f64,
}

impl Gate {
    /// Whether the requests for some service are balanced by [`BalanceRule::Even`].
    #[must_use]
    pub fn balances_evenly(&self) -> bool {
        match self.tuning.balance_rule {
            BalanceRule::Least => false,
            BalanceRule::Even => true,
            BalanceRule::Stated => !self.stating_services.is_empty(),
        }
    }

    /// Whether the requests for a service are balanced by [`BalanceRule::Even`].
    pub(crate) fn is_balanced_evenly(&self, service: &Name) -> bool {
        match self.tuning.balance_rule {
            BalanceRule::Least => false,
            BalanceRule::Even => true,
            BalanceRule::Stated => self.stating_services.contains(service),
        }
    }

    /// Upstreams that accept requests, do not rest and have what the request needs, without
    /// the upstreams that the request excludes.
    pub(crate) fn eligible<'a>(
        &'a self,
        now: Time,
        request: &'a RequestState,
    ) -> impl Iterator<Item = UpstreamId> + 'a {
        let is_excluded = |id: &UpstreamId| request.excluded.contains(id);
        self.suitable(now, request)
            .filter(move |(id, upstream)| {
                !is_excluded(id)
                    && !request.tokens.passes_over(now, *id)
                    && upstream.places_after_rest(now) != Some(0)
            })
            .map(|(id, _)| id)
    }

    /// Upstreams that accept requests and have what the request needs.
    pub(crate) fn suitable<'a>(
        &'a self,
        now: Time,
        request: &'a RequestState,
    ) -> impl Iterator<Item = (UpstreamId, &'a UpstreamState)> + 'a {
        let generation = request.head.generation.as_ref();
        let fits = move |upstream: &UpstreamState| {
            upstream.accepts_requests()
                && upstream.registration.service == request.service
                && generation
                    .is_none_or(|it| upstream.has_model(now, &it.model, it.adapter.as_deref()))
        };
        let all = self.upstreams.iter();
        all.filter(move |(_, upstream)| fits(upstream))
    }

    /// Whether an eligible upstream other than `id` is not in its cooldown and has no limit.
    pub(crate) fn has_alternative(
        &self,
        now: Time,
        request: &RequestState,
        id: UpstreamId,
    ) -> bool {
        let available = |other: UpstreamId| {
            let upstream = self.upstreams.get(other);
            upstream.cooldown_until <= now && upstream.limit().is_none()
        };
        self.eligible(now, request)
            .any(|other| other != id && available(other))
    }

    /// The selected candidate: that with the lowest cost, or under the rule `Even` one of the few
    /// best; and the number of eligible upstreams. Upstreams
    /// in their cooldown are considered only if no others are left.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        request: &RequestState,
    ) -> (Option<Candidate>, usize) {
        let mut eligible: Vec<UpstreamId> = self.eligible(now, request).collect();
        let count = eligible.len();
        if let Some(id) = self.token_upstream(request)
            && eligible.contains(&id)
        {
            eligible = vec![id];
        }
        let available = |id: &UpstreamId| self.upstreams.get(*id).cooldown_until <= now;
        let available_ids: Vec<UpstreamId> = eligible.iter().copied().filter(available).collect();
        let pool = if available_ids.is_empty() {
            eligible
        } else {
            available_ids
        };
        let pool = self.prefer_alone_at_address(pool);
        let pool = self.separate_suspect(request, pool);
        let preferred = self.preferred_engine(&request.prefix_chain, &pool);
        let service = self.even_service(request);
        let candidates: Vec<Candidate> = pool
            .iter()
            .map(|&id| self.estimate_cost(now, id, request, preferred == Some(id), service))
            .collect();
        let selected = if service.is_some() {
            self.select_among_best(candidates)
        } else {
            candidates
                .into_iter()
                .min_by(|one, other| one.cost.total_cmp(&other.cost))
        };
        (selected, count)
    }

    /// The means of the request's service if it is balanced evenly.
    fn even_service(&self, request: &RequestState) -> Option<ServiceLoad> {
        let is_even = self.is_balanced_evenly(&request.service);
        let load = || self.service_loads.get(&request.service).copied();
        is_even.then(|| load().unwrap_or_default())
    }

    /// The estimates for running a request at one of the upstreams in `pool`.
    pub(crate) fn candidate(
        &mut self,
        now: Time,
        id: UpstreamId,
        request: &RequestState,
        pool: &[UpstreamId],
    ) -> Candidate {
        let preferred = self.preferred_engine(&request.prefix_chain, pool);
        let service = self.even_service(request);
        self.estimate_cost(now, id, request, preferred == Some(id), service)
    }

    /// Selects one of the candidates with the lowest costs at random: the less it exceeds the lowest
    /// cost, the more probably.
    fn select_among_best(&mut self, mut candidates: Vec<Candidate>) -> Option<Candidate> {
        let by_cost = |one: &Candidate, other: &Candidate| one.cost.total_cmp(&other.cost);
        if candidates.len() > SPREAD_CANDIDATES {
            candidates.select_nth_unstable_by(SPREAD_CANDIDATES - 1, by_cost);
            candidates.truncate(SPREAD_CANDIDATES);
        }
        candidates.sort_by(by_cost);
        let lowest = candidates.first()?.cost;
        let spread_ms = self.tuning.spread_ms;
        let weight = |candidate: &Candidate| ((lowest - candidate.cost) / spread_ms).exp();
        let total: f64 = candidates.iter().map(weight).sum();
        let mut offset = self.rng.random_range(0.0..total);
        for candidate in &candidates {
            offset -= weight(candidate);
            if offset < 0.0 {
                return Some(*candidate);
            }
        }
        candidates.first().copied()
    }

    /// Leaves out the upstreams at whose address another one is registered, unless all are: the
    /// entry of an upstream that ended stays for a while beside that of its successor.
    fn prefer_alone_at_address(&self, mut pool: Vec<UpstreamId>) -> Vec<UpstreamId> {
        let is_alone = |id: &UpstreamId| !self.upstreams.shares_address(*id);
        if pool.iter().any(is_alone) {
            pool.retain(is_alone);
        }
        pool
    }

    /// The engine to which all hosts prefer to send prompts with the same shared prefix, so
    /// that it is cached there. Chosen by rendezvous hashing; `None` if the prompt has only
    /// its own section.
    fn preferred_engine(
        &self,
        prefix_chain: &PrefixChain,
        pool: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let [.., (shared, _), _own] = prefix_chain.prefixes[..] else {
            return None;
        };
        let weight = |id: &UpstreamId| {
            let name = &self.upstreams.get(*id).registration.id;
            hash::stable(name.as_bytes(), shared)
        };
        pool.iter().copied().max_by_key(weight)
    }

    /// Estimates the time to read the prompt at an upstream and the cost of selecting it. `service`
    /// has the means of a service that is balanced evenly.
    fn estimate_cost(
        &mut self,
        now: Time,
        id: UpstreamId,
        request: &RequestState,
        is_preferred: bool,
        service: Option<ServiceLoad>,
    ) -> Candidate {
        let jitter = self.rng.random_range(0.0..self.tuning.jitter_ms);
        let upstream = self.upstreams.get(id);
        // A request that fails is at least as late as its target allows.
        let target_ms = request.route.latency_target.as_secs_f64() * 1_000.0;
        let failure_cost = upstream.failure_share.at(now) * target_ms;
        let (requests, slowness) = match &service {
            Some(service) => (
                f64::from(upstream.in_flight) + upstream.load.others(now, service),
                upstream.load.slowness(now),
            ),
            None => (upstream.estimated_requests(self.host_count), 1.0),
        };
        let is_engine = request.head.generation.is_some();
        let requests_cost = match &service {
            Some(service) => self.requests_cost(upstream, service, requests, is_engine) * slowness,
            None => requests * self.tuning.per_request_ms,
        };
        let Some(generation) = &request.head.generation else {
            return Candidate {
                id,
                cost: requests_cost + failure_cost + jitter,
                backlog_ms: 0.0,
                reading_ms: 0.0,
                read_ms: 0.0,
                uncached_tokens: 0,
                requests,
                slowness,
            };
        };
        let uncached_tokens = generation.prompt_tokens.saturating_sub(
            upstream
                .prefix_cache
                .cached_tokens(now, &request.prefix_chain),
        );
        let read_ms = self.read_times.read_ms(&generation.model, uncached_tokens) * slowness;
        let backlog = upstream.reading_until.since(now).as_secs_f64() * 1_000.0;
        let total_read_ms = backlog + read_ms;
        // A long queue of uncached_tokens prompts delays the events of all streams of the engine.
        let excess_ms = (total_read_ms - self.tuning.long_backlog_ms).max(0.0);
        let preference_cost = if is_preferred {
            0.0
        } else {
            self.tuning.off_preferred_ms
        };
        let shares_speeds = self.tuning.shares_speeds;
        let miss_cost = service.filter(|_| shares_speeds).map_or(0.0, |service| {
            let pause_risk = request.route.gap_target.map_or(0.0, |_| {
                let length = service.stream_length(f64::from(generation.output_tokens));
                upstream.pauses.risk(now, length) * self.tuning.pause_weight
            });
            miss_risk(total_read_ms / target_ms, pause_risk) * target_ms
        });
        let cost = total_read_ms
            + excess_ms * self.tuning.long_backlog_factor
            + requests_cost
            + preference_cost
            + miss_cost
            + failure_cost
            + jitter;
        Candidate {
            id,
            cost,
            backlog_ms: backlog,
            reading_ms: upstream.reading_ms(now),
            read_ms,
            uncached_tokens,
            requests,
            slowness,
        }
    }

    /// The delay by the requests at an upstream of the usual speed, under the rule `Even`: each slows
    /// the others down. Those beyond the slots of an engine wait for one to end. A plain service's
    /// request runs in a slot; as the estimate of the requests there is rough, each counts as a share
    /// of a wait, also below the number of slots.
    fn requests_cost(
        &self,
        upstream: &UpstreamState,
        service: &ServiceLoad,
        requests: f64,
        is_engine: bool,
    ) -> f64 {
        let slots = f64::from(upstream.registration.slots.max(1));
        let waiting = if is_engine {
            (requests + 1.0 - slots).max(0.0)
        } else {
            requests + 1.0
        };
        (requests + 1.0) * self.tuning.per_request_ms + waiting / slots * service.request_ms
    }
}

/// The probability that an answer misses a target: its first event, expected after `first_share` of
/// the latency target, is late, or a pause exceeds the gap target. An answer that is late anyway loses
/// nothing by a pause.
fn miss_risk(first_share: f64, pause_risk: f64) -> f64 {
    let (start, end) = LATE_SHARES;
    let late_risk = ((first_share - start) / (end - start)).clamp(0.0, 1.0);
    1.0 - (1.0 - late_risk) * (1.0 - pause_risk)
}
