//! The decisions about requests, and the state that all requests of a host share.

use crate::{
    admission::shortest_gap_targets,
    budget::RetryBudget,
    cache::PrefixChain,
    choice::Candidate,
    completions::Completions,
    crash::CrashReport,
    fairness::{Shares, Verdict},
    limit::{TokenStep, TokenUse, Tokens},
    load::{ServiceLoad, TimeRatio},
    read_time::ReadTimes,
    request::{Charge, Decision, Ending, RequestState, Target},
    rest::RestQueue,
    speed::{PendingSamples, SpeedSample},
    trial::Trial,
    tuning::Tuning,
    upstreams::{UpstreamId, Upstreams},
};
use mulberryrack_core::{
    Name, Time,
    outcome::{Reason, Refusal, Retry},
};
use mulberryrack_site::{
    Config, RequestHead, Upstream, config::Route, request::Generation, upstream::LoadReport,
};
use mulberryrack_suspect::{Holder, Permits, Subject, Suspects};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Delay after which the caller of a request that no upstream can run is told to try again.
/// An engine that crashed is restarted within a few seconds.
pub const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay after which a caller is told to try again if upstreams refused its request or the
/// retry budget is used up.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Period for which no request waits for a placement after the planner was found to give no
/// orders. About a tenth of the time that a new holder of the claim waits before its first
/// order.
const PLACEMENT_PAUSE_PERIOD: Duration = Duration::from_millis(400);
/// Most prefixes of one prompt that are recorded and announced to the other hosts. A head of legal size
/// may name thousands, which fit into no datagram.
const MAX_ANNOUNCED_PREFIXES: usize = 64;
/// A request with less time left than this until its deadline is not dispatched.
pub(crate) const MIN_DISPATCH_MARGIN: Duration = Duration::from_millis(5);

/// An upstream that has sent something for other requests may be silent on one request for
/// up to this many times the usual limit.
const ACTIVE_SILENCE_FACTOR: u32 = 3;

/// Backlog below which the time to a first event counts as the reading time of one prompt
/// alone.
pub(crate) const MAX_SAMPLE_BACKLOG_MS: f64 = 1.0;

/// The highest rank that engines know, which is the least urgent one.
const LEAST_URGENT_RANK: u8 = 9;
/// Delay before a stream that broke off and cannot be resumed yet is decided on again.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The demand for a model or adapter since the last call of [`Gate::take_demand`].
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The base model.
    pub model: Name,
    /// The adapter; `None` for requests for the model itself.
    pub adapter: Option<Name>,
    /// Engine time that the requests take, in milliseconds.
    pub work_ms: f64,
}

/// Tells the other hosts that this host has sent a prompt to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptNotice {
    /// Name of the engine.
    pub upstream: Name,
    /// Time to read the part of the prompt that the engine should not have cached, in
    /// milliseconds.
    pub read_ms: f64,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// What this host has measured lately, of whichever engine.
    pub sample: Option<SpeedSample>,
}

/// Says that an engine can run requests for a model or adapter from now on, or that it no
/// longer can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelChange {
    /// Name of the engine.
    pub upstream: Name,
    /// The base model.
    pub model: Name,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<Name>,
    /// Whether the engine has the model or adapter in memory.
    pub present: bool,
}

/// Routing, admission and retry decisions of one host.
#[derive(Clone, Debug)]
pub struct Gate {
    pub(crate) tuning: Tuning,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) upstreams: Upstreams,
    /// Whether some host holds the claim to give orders to engines.
    planner_active: bool,
    /// Time until which no request waits for a placement.
    placement_paused_until: Time,
    /// Hosts that share the load; at least one.
    pub(crate) host_count: u32,
    /// Former numbers of hosts, each with the time until which it held, oldest first.
    former_host_counts: VecDeque<(Time, u32)>,
    config: Option<Arc<Config>>,
    retry_budgets: BTreeMap<Name, RetryBudget>,
    /// The shortest gap target among the routes of each service.
    pub(crate) gap_targets: BTreeMap<Name, Duration>,
    /// Recent demand of the competing callers of each service that is balanced evenly.
    pub(crate) shares: BTreeMap<Name, Shares>,
    /// Engine time in milliseconds by model and adapter, since the last call of
    /// [`Gate::take_demand`].
    demand: BTreeMap<(Name, Option<Name>), f64>,
    pub(crate) read_times: ReadTimes,
    /// Notices that have not been sent to the other hosts yet.
    prompt_notices: Vec<PromptNotice>,
    pub(crate) pending_samples: PendingSamples,
    /// Services with an upstream that has stated how long work takes on its machine.
    pub(crate) stating_services: BTreeSet<Name>,
    /// What the requests of each service have in common.
    pub(crate) service_loads: BTreeMap<Name, ServiceLoad>,
    /// Measured times in relation to expected ones, by service and model.
    pub(crate) time_ratios: BTreeMap<(Name, Option<Name>), TimeRatio>,
    /// Names of all hosts, and that of this one once it is known.
    pub(crate) hosts: Vec<Name>,
    pub(crate) own_host: Option<Name>,
    pub(crate) rest_queue: RestQueue,
    pub(crate) suspects: Suspects,
    /// Requests that have recently run to their end.
    pub(crate) completions: Completions,
    /// Crashes that were seen or withdrawn since the last call of
    /// [`Gate::take_crash_reports`].
    pub(crate) crash_reports: Vec<CrashReport>,
    /// Subjects on which this host's evidence has changed since the last call of
    /// [`Gate::take_suspect_changes`].
    pub(crate) suspect_changes: Vec<Subject>,
    /// Number of the last request.
    last_number: u64,
    /// The requests of this host that ask for permits or have them.
    pub(crate) turns: Permits,
    /// The permits that this host has given, also to other hosts.
    pub(crate) permits: Permits,
    /// Hosts that did not answer when they were asked for permits, each with the time until which
    /// others give them.
    pub(crate) silent_givers: BTreeMap<Name, Time>,
    /// Requests whose permits ended since the last call of [`Gate::take_released_permits`].
    pub(crate) released_permits: Vec<Holder>,
    /// Tokens of upstreams with a limit.
    pub(crate) tokens: Tokens,
}

impl Gate {
    /// Creates a gate without a configuration; it refuses all requests until it has one.
    #[must_use]
    pub fn new(tuning: Tuning, seed: u64) -> Self {
        Self {
            hosts: Vec::new(),
            own_host: None,
            rest_queue: RestQueue::default(),
            suspects: Suspects::new(tuning.suspect_limits),
            completions: Completions::default(),
            crash_reports: Vec::new(),
            suspect_changes: Vec::new(),
            last_number: 0,
            turns: Permits::default(),
            permits: Permits::default(),
            silent_givers: BTreeMap::new(),
            released_permits: Vec::new(),
            tokens: Tokens::new(tuning.handover),
            tuning,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: Upstreams::default(),
            planner_active: false,
            placement_paused_until: Time::ZERO,
            host_count: 1,
            former_host_counts: VecDeque::new(),
            config: None,
            retry_budgets: BTreeMap::new(),
            gap_targets: BTreeMap::new(),
            shares: BTreeMap::new(),
            demand: BTreeMap::new(),
            read_times: ReadTimes::default(),
            prompt_notices: Vec::new(),
            pending_samples: PendingSamples::default(),
            stating_services: BTreeSet::new(),
            service_loads: BTreeMap::new(),
            time_ratios: BTreeMap::new(),
        }
    }

    /// Adopts a configuration if its version is higher than that of the configuration in
    /// force. Returns whether the configuration was adopted.
    pub fn configure(&mut self, config: Arc<Config>) -> bool {
        if self
            .config
            .as_ref()
            .is_some_and(|old| old.version >= config.version)
        {
            return false;
        }
        let engines = config
            .services
            .iter()
            .filter_map(|service| service.engine.as_ref());
        for model in engines.flat_map(|engine| &engine.models) {
            self.read_times.set_size(&model.name, model.weights_mb);
        }
        self.gap_targets = shortest_gap_targets(&config);
        self.config = Some(config);
        true
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Records an upstream's registration. Returns whether this is the first registration
    /// of the upstream or of a new incarnation of it.
    pub fn register(&mut self, now: Time, registration: Upstream) -> bool {
        let name = registration.id.clone();
        self.record_restart(now, &registration);
        let is_new = self.upstreams.register(registration);
        if is_new {
            self.record_replacement(now, &name);
        }
        is_new
    }

    /// Records that an incarnation of an upstream said that it is leaving. Returns whether that
    /// was not known of the present incarnation.
    pub fn record_leaving(&mut self, id: UpstreamId, incarnation: u64) -> bool {
        let upstream = self.upstreams.get_mut(id);
        let is_news = upstream.registration.started_ms == incarnation && !upstream.is_leaving();
        upstream.leaving |= is_news;
        is_news
    }

    /// Records that an upstream's registration was removed.
    pub fn deregister(&mut self, name: &str) {
        self.upstreams.deregister(name);
    }

    /// Sets whether some host holds the claim to give orders to engines. Requests wait for a
    /// model to be loaded only while a host holds the claim.
    pub fn set_planner_active(&mut self, planner_active: bool) {
        self.planner_active = planner_active;
    }

    /// Records that no host was found that gives orders now; a new holder of the claim, for
    /// example, waits before its first order. Requests wait for placements again after
    /// `PLACEMENT_PAUSE_PERIOD`.
    pub fn pause_placement(&mut self, now: Time) {
        self.placement_paused_until = now + PLACEMENT_PAUSE_PERIOD;
    }

    /// Sets the number of hosts that share the load; zero counts as one.
    pub fn set_host_count(&mut self, now: Time, host_count: u32) {
        let host_count = host_count.max(1);
        if host_count != self.host_count {
            self.former_host_counts.push_back((now, self.host_count));
            self.host_count = host_count;
        }
        let max_age = self.tuning.retry_window;
        let expired = |(until, _): &(Time, u32)| now.since(*until) > max_age;
        while self.former_host_counts.front().is_some_and(expired) {
            self.former_host_counts.pop_front();
        }
    }

    /// Number of hosts that share the retry budget: the largest one in the window. Hosts whose
    /// registrations are missing go on spending.
    pub(crate) fn budget_host_count(&self, now: Time) -> u32 {
        let max_age = self.tuning.retry_window;
        let former = self.former_host_counts.iter();
        former
            .filter(|(until, _)| now.since(*until) <= max_age)
            .map(|(_, host_count)| *host_count)
            .fold(self.host_count, u32::max)
    }

    /// Records a change of the models that an engine has in memory, as announced by the
    /// planner.
    pub fn record_change(&mut self, now: Time, change: &ModelChange) {
        if let Some(id) = self.upstreams.find(&change.upstream) {
            self.upstreams.get_mut(id).record_change(now, change);
        }
    }

    /// Whether some engine that accepts requests has the model in memory.
    #[must_use]
    pub fn is_model_available(&self, now: Time, model: &str) -> bool {
        let mut all = self.upstreams.iter();
        all.any(|(_, upstream)| upstream.accepts_requests() && upstream.has_model(now, model, None))
    }

    /// Name of an upstream.
    #[must_use]
    pub fn name(&self, id: UpstreamId) -> Name {
        self.upstreams.get(id).registration.id.clone()
    }

    /// Key of the upstream with a name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<UpstreamId> {
        self.upstreams.find(name)
    }

    /// The known incarnation of an upstream.
    #[must_use]
    pub fn incarnation(&self, id: UpstreamId) -> u64 {
        self.upstreams.get(id).registration.started_ms
    }

    /// The registrations of all upstreams that are registered now.
    pub fn registered(&self) -> impl Iterator<Item = &Upstream> {
        let registered = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.registered);
        registered.map(|(_, upstream)| &upstream.registration)
    }

    /// Removes and returns the notices that have not been sent to the other hosts yet.
    pub fn take_prompt_notices(&mut self) -> Vec<PromptNotice> {
        std::mem::take(&mut self.prompt_notices)
    }

    /// Records a prompt that another host has sent to an engine.
    pub fn record_prompt_notice(&mut self, now: Time, notice: &PromptNotice) {
        if let Some(id) = self.upstreams.find(&notice.upstream) {
            let upstream = self.upstreams.get_mut(id);
            upstream.record_prompt(now, notice.read_ms, notice.prefixes.iter().copied());
            let service = upstream.registration.service.clone();
            let service_load = self.service_loads.entry(service).or_default();
            upstream.load.record_notice(now, service_load);
        }
        if let Some(sample) = notice.sample {
            self.record_shared_sample(now, sample);
        }
    }

    /// Removes and returns the demand since the last call, by model and adapter.
    pub fn take_demand(&mut self) -> Vec<ModelDemand> {
        std::mem::take(&mut self.demand)
            .into_iter()
            .map(|((model, adapter), work_ms)| ModelDemand {
                model,
                adapter,
                work_ms,
            })
            .collect()
    }

    /// Assigns a new request to a route and a service. `fingerprint` is shared by all
    /// attempts at the same request.
    ///
    /// # Errors
    ///
    /// Why the request is refused: there is no configuration yet, no route matches, or no
    /// service of the route has a share.
    pub fn admit(
        &mut self,
        now: Time,
        head: RequestHead,
        fingerprint: u128,
    ) -> Result<RequestState, Refusal> {
        let refuse = |reason, retry_after| Refusal {
            reason,
            retry_after,
        };
        let Some(config) = self.config.clone() else {
            return Err(refuse(Reason::NoTable, Some(UNAVAILABLE_RETRY_DELAY)));
        };
        let Some(route) = config.route(&head.host, &head.path) else {
            return Err(refuse(Reason::UnknownTarget, None));
        };
        let Some(service) = self.pick_service(route) else {
            return Err(refuse(Reason::NoUpstream, Some(UNAVAILABLE_RETRY_DELAY)));
        };
        let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        self.record_demand(&head);
        let prefix_chain = head
            .generation
            .as_ref()
            .map(PrefixChain::of)
            .unwrap_or_default();
        self.last_number += 1;
        Ok(RequestState {
            subjects: subjects(fingerprint, &head),
            number: self.last_number,
            trial: Trial::default(),
            head,
            fingerprint,
            suspect_at: None,
            log_excess: None,
            is_paused: None,
            incarnation: 0,
            dispatched_at: now,
            unread: Duration::ZERO,
            route: route.clone(),
            organisation: None,
            service,
            config_version: config.version,
            arrived_at: now,
            deadline: now + timeout,
            tried: Vec::new(),
            charge: Charge::default(),
            excluded: Vec::new(),
            may_have_run: false,
            prefix_chain,
            stream_begun: false,
            was_held: false,
            held_at: None,
            verdict: Verdict::default(),
            rest_turn: None,
            tokens: TokenUse::default(),
        })
    }

    /// Selects one of a route's services at random, weighted by their shares; `None` if no
    /// service has a share.
    fn pick_service(&mut self, route: &Route) -> Option<Name> {
        let total: u32 = route.services.iter().map(|(_, share)| *share).sum();
        let mut offset = self.rng.random_range(0..total.max(1));
        for (service, share) in &route.services {
            if offset < *share {
                return Some(service.clone());
            }
            offset -= share;
        }
        None
    }

    /// Records the engine time that a request is expected to take. Of the prompt, only the last
    /// section counts: the sections before it may be shared and therefore be cached.
    fn record_demand(&mut self, head: &RequestHead) {
        if let Some(it) = &head.generation {
            let key = (it.model.clone(), it.adapter.clone());
            let own_tokens = it
                .prompt_parts
                .last()
                .map_or(it.prompt_tokens, |part| part.tokens);
            let work_ms = self.read_times.read_ms(&it.model, own_tokens)
                + self.read_times.write_ms(&it.model, it.output_tokens);
            *self.demand.entry(key).or_default() += work_ms;
        }
    }

    /// Decides what to do with a request that is at no upstream now. `retry` says why the
    /// request has to be dispatched again, if it was dispatched before.
    pub fn decide(
        &mut self,
        now: Time,
        request: &mut RequestState,
        retry: Option<Retry>,
    ) -> Decision {
        let decision = self.decide_dispatch(now, request, retry);
        if matches!(decision, Decision::Refuse(_) | Decision::Fail) {
            self.end_trial(request);
        }
        decision
    }

    fn decide_dispatch(
        &mut self,
        now: Time,
        request: &mut RequestState,
        retry: Option<Retry>,
    ) -> Decision {
        self.end_hold(request);
        if let Some(refusal) = self.suspect_refusal(now, request) {
            return refuse_or_fail(request, refusal.reason, refusal.retry_after);
        }
        if request.remaining(now) < MIN_DISPATCH_MARGIN {
            return refuse_or_fail(request, Reason::Deadline, None);
        }
        if request.may_have_run && !request.may_rerun(false) {
            return Decision::Fail;
        }
        loop {
            let (candidate, candidates) = self.choose(now, request);
            let Some(candidate) = candidate else {
                match self.decide_without_candidate(now, request) {
                    Some(decision) => return decision,
                    None => continue,
                }
            };
            match self.obstacle(now, request, &candidate) {
                Some(Obstacle::Decision(decision)) => return decision,
                Some(Obstacle::NoToken) => {}
                None => {
                    let target = self.record_dispatch(now, request, &candidate, candidates, retry);
                    return Decision::Dispatch(target);
                }
            }
        }
    }

    /// The decision for a request without an upstream that it could be sent to now; `None` if it
    /// may wait for a token of a limited one.
    fn decide_without_candidate(
        &mut self,
        now: Time,
        request: &mut RequestState,
    ) -> Option<Decision> {
        if request.stream_begun {
            // An upstream that refused the stream or fell silent may be able to resume it later.
            request.excluded.clear();
            return Some(Decision::Hold(now + RESUME_RETRY_DELAY));
        }
        if request.tokens.is_denied() {
            return self.limit_decision(now, request);
        }
        let rest = self.rest_decision(now, request);
        Some(rest.unwrap_or_else(|| self.decide_without_upstream(now, request)))
    }

    /// Why a request must not be dispatched to the selected upstream now; `None` if it may be.
    fn obstacle(
        &mut self,
        now: Time,
        request: &mut RequestState,
        candidate: &Candidate,
    ) -> Option<Obstacle> {
        if let Some(decision) = self.blocking_decision(now, request, candidate) {
            return Some(Obstacle::Decision(decision));
        }
        match self.token_step(now, request, candidate.id) {
            TokenStep::Go => {}
            TokenStep::Wait(until) => {
                return Some(Obstacle::Decision(Decision::AwaitToken(until)));
            }
            TokenStep::PassOver => return Some(Obstacle::NoToken),
        }
        if self.charge_retry_budget(now, request) {
            return None;
        }
        let decision = if request.stream_begun {
            Decision::Hold(now + RESUME_RETRY_DELAY)
        } else {
            refuse_or_fail(request, Reason::RetryBudget, Some(REFUSED_RETRY_DELAY))
        };
        Some(Obstacle::Decision(decision))
    }

    /// The decision for a request that must not be dispatched to the selected upstream now,
    /// whether it has a token or not; `None` if it may be.
    fn blocking_decision(
        &mut self,
        now: Time,
        request: &mut RequestState,
        candidate: &Candidate,
    ) -> Option<Decision> {
        let max_upstreams = usize::try_from(request.route.max_upstreams).unwrap_or(usize::MAX);
        let exceeds_max_upstreams =
            !request.tried.contains(&candidate.id) && request.tried.len() >= max_upstreams;
        if exceeds_max_upstreams && request.stream_begun {
            // The stream may resume only at upstreams that had the request before.
            request.excluded.retain(|id| !request.tried.contains(id));
            request.excluded.push(candidate.id);
            return Some(Decision::Hold(now + RESUME_RETRY_DELAY));
        }
        if exceeds_max_upstreams {
            let decision =
                refuse_or_fail(request, Reason::UpstreamRefused, Some(REFUSED_RETRY_DELAY));
            return Some(decision);
        }
        if let Some(decision) = self.trial_decision(now, request) {
            return Some(decision);
        }
        if let Some(decision) = self.turn_decision(now, request, candidate.id) {
            return Some(decision);
        }
        self.admission_decision(now, request, candidate)
    }

    /// Records that a request is dispatched to a candidate, and returns the target.
    fn record_dispatch(
        &mut self,
        now: Time,
        request: &mut RequestState,
        candidate: &Candidate,
        candidates: usize,
        retry: Option<Retry>,
    ) -> Target {
        request.charge.is_first_there = !request.tried.contains(&candidate.id);
        if request.charge.is_first_there {
            request.tried.push(candidate.id);
        }
        request.charge.arrivals += 1;
        self.use_token(now, request, candidate.id);
        self.record_place_taken(now, candidate.id);
        let is_suspect = self.is_suspect(request);
        request.suspect_at = is_suspect.then_some(candidate.id);
        let upstream = self.upstreams.get_mut(candidate.id);
        upstream.crash.suspects_in_flight += u32::from(is_suspect);
        request.incarnation = upstream.registration.started_ms;
        request.dispatched_at = now;
        request.unread = Duration::ZERO;
        upstream.in_flight += 1;
        if !request.prefix_chain.prefixes.is_empty() {
            let prefixes: Vec<u64> = request
                .prefix_chain
                .prefixes
                .iter()
                .take(MAX_ANNOUNCED_PREFIXES)
                .map(|prefix| prefix.0)
                .collect();
            upstream.record_prompt(now, candidate.read_ms, prefixes.iter().copied());
            self.prompt_notices.push(PromptNotice {
                upstream: upstream.registration.id.clone(),
                read_ms: candidate.read_ms,
                prefixes,
                sample: self.pending_samples.take(now),
            });
        }
        let is_generation = request.head.generation.is_some();
        Target {
            id: candidate.id,
            name: upstream.registration.id.clone(),
            address: upstream.registration.address,
            urgency: is_generation.then_some(request.priority().min(LEAST_URGENT_RANK)),
            load_report: upstream
                .load_report
                .map(|(load, at, _)| (load, now.since(at))),
            read_ms: candidate.read_ms,
            uncached_tokens: candidate.uncached_tokens,
            backlog_ms: candidate.backlog_ms,
            requests: candidate.requests,
            slowness: candidate.slowness,
            candidates,
            retry,
        }
    }

    /// Removes a request from the requests that are held back, if it is. Called when the request
    /// is decided on again and when its caller has gone away.
    pub fn end_hold(&mut self, request: &mut RequestState) {
        self.leave_rest_queue(request);
        if let Some((id, prompt)) = request.held_at.take() {
            self.upstreams.get_mut(id).held.remove(prompt);
        }
    }

    /// Records a dispatch in the retry budget of the request's service. Returns false if the
    /// dispatch is a retry that the budget does not allow. Dispatches that have certainly not
    /// arrived make no later one a retry, nor a request count twice.
    fn charge_retry_budget(&mut self, now: Time, request: &mut RequestState) -> bool {
        let host_count = f64::from(self.budget_host_count(now));
        let budget = self
            .retry_budgets
            .entry(request.service.clone())
            .or_default();
        let Tuning {
            retry_window,
            retry_share,
            retry_extra,
            ..
        } = self.tuning;
        if !request.charge.is_counted {
            budget.record_first(now, retry_window);
            request.charge.is_counted = true;
        }
        request.charge.is_retry = request.charge.arrivals > 0;
        !request.charge.is_retry
            || budget.try_spend(now, retry_window, retry_share, retry_extra / host_count)
    }

    /// The decision for a request without an eligible upstream: the request waits if its model
    /// may still be loaded in time, otherwise it is refused or given up.
    fn decide_without_upstream(&self, now: Time, request: &RequestState) -> Decision {
        let placeable = request.head.generation.as_ref().is_some_and(|it| {
            let service = self
                .config
                .as_ref()
                .and_then(|config| config.service(&request.service));
            let engine = service.and_then(|service| service.engine.as_ref());
            engine.is_some_and(|engine| engine.model(&it.model).is_some())
        });
        let until = request.arrived_at
            + request
                .route
                .latency_target
                .mul_f64(self.tuning.placement_wait_share);
        let planner_active = self.planner_active && now >= self.placement_paused_until;
        if placeable && planner_active && !request.may_have_run && now < until {
            return Decision::AwaitPlacement(until);
        }
        let reason = if placeable {
            Reason::NoCopy
        } else {
            Reason::NoUpstream
        };
        let wait = self.return_delay(now, request, UNAVAILABLE_RETRY_DELAY);
        refuse_or_fail(request, reason, Some(wait))
    }

    /// Records that this host received something from an upstream, for whichever request.
    pub fn record_activity(&mut self, now: Time, id: UpstreamId) {
        self.upstreams.get_mut(id).last_activity = now;
    }

    /// The time at which a dispatch to an upstream that has been silent on it since `since`
    /// is given up for another upstream; the request's deadline if no other upstream may run
    /// the request. `max_silence` is the usual limit for the silence; the limit is longer for
    /// an upstream that answers other requests. `stream_begun` says whether the caller has
    /// received a part of the answer.
    #[must_use]
    pub fn silence_deadline(
        &self,
        now: Time,
        request: &RequestState,
        id: UpstreamId,
        since: Time,
        max_silence: Duration,
        stream_begun: bool,
    ) -> Time {
        let max_upstreams = usize::try_from(request.route.max_upstreams).unwrap_or(usize::MAX);
        if !request.may_rerun(stream_begun)
            || request.tried.len() >= max_upstreams
            || !self.has_alternative(now, request, id)
        {
            return request.deadline;
        }
        // An upstream that answers other requests is likely to answer this one too.
        let last_activity = self.upstreams.get(id).last_activity;
        let until = (last_activity + max_silence).min(since + max_silence * ACTIVE_SILENCE_FACTOR);
        request.deadline.min(until.max(since + max_silence))
    }

    /// Records that an upstream has been silent on a request for longer than usual. The request
    /// goes on waiting if it may not be sent elsewhere. An upstream whose slots are taken is slow
    /// for that reason.
    pub fn record_silence(&mut self, now: Time, id: UpstreamId) {
        let upstream = self.upstreams.get_mut(id);
        let is_full = upstream
            .load_report
            .is_some_and(|(load, ..)| load.waiting > 0 || load.running >= load.slots);
        if !is_full {
            upstream.failure_share.record(now, true);
        }
    }

    /// Records that an upstream has sent more bytes than are read of an answer, to whatever it was
    /// asked: other upstreams are preferred for a while.
    pub fn record_excess(&mut self, now: Time, id: UpstreamId) {
        self.upstreams.get_mut(id).start_cooldown(now);
    }

    /// Records the load that an upstream reported with an answer.
    pub fn record_load(&mut self, now: Time, id: UpstreamId, load_report: LoadReport) {
        let upstream = self.upstreams.get_mut(id);
        upstream.load_report = Some((load_report, now, upstream.in_flight));
        let service = &upstream.registration.service;
        let service_load = self.service_loads.entry(service.clone()).or_default();
        let reported = load_report.running.saturating_add(load_report.waiting);
        let others = f64::from(reported.saturating_sub(upstream.in_flight));
        let work_time_percent = load_report.work_time_percent;
        let load = &mut upstream.load;
        load.record_report(now, service_load, others, work_time_percent);
        if load_report.work_time_percent.is_some() && !self.stating_services.contains(service) {
            self.stating_services.insert(service.clone());
        }
    }

    /// Takes back what was recorded of a request's last dispatch, of which no byte was sent.
    fn forget_dispatch(&mut self, request: &mut RequestState, id: UpstreamId) {
        request.charge.arrivals = request.charge.arrivals.saturating_sub(1);
        if request.charge.is_first_there {
            request.tried.retain(|tried| *tried != id);
        }
        if let (Some(budget), true) = (
            self.retry_budgets.get_mut(&request.service),
            request.charge.is_retry,
        ) {
            budget.refund(request.dispatched_at);
        }
    }

    /// Records how a dispatch ended. [`Gate::decide`] says how a request continues that is
    /// not done.
    pub fn record_ending(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
        ending: Ending,
    ) {
        self.record_crash_signs(now, request, id, ending);
        self.share_sample(now, request, id, ending);
        let upstream = self.upstreams.get_mut(id);
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.record_ending(now, ending);
        if ending == Ending::Done {
            let took = now.since(request.dispatched_at);
            let took = took.saturating_sub(request.unread);
            let service = upstream.registration.service.clone();
            let service_load = self.service_loads.entry(service.clone()).or_default();
            if request.head.generation.is_none() {
                let ratio = self.time_ratios.entry((service, None)).or_default();
                let measured_ms = took.as_secs_f64() * 1_000.0;
                let expected_ms = service_load.request_ms;
                upstream
                    .load
                    .record_time(now, ratio, measured_ms, expected_ms);
            }
            service_load.record_request(took);
        }
        match ending {
            Ending::NotSent => {
                self.forget_dispatch(request, id);
                request.excluded.push(id);
            }
            Ending::Withdrawn => self.forget_dispatch(request, id),
            Ending::Misplaced => {
                if let Some(it) = &request.head.generation {
                    // The engine is not excluded: it may be selected again once it has loaded the
                    // model.
                    let change = ModelChange {
                        upstream: upstream.registration.id.clone(),
                        model: it.model.clone(),
                        adapter: it.adapter.clone(),
                        present: false,
                    };
                    upstream.record_change(now, &change);
                } else {
                    upstream.start_cooldown(now);
                    request.excluded.push(id);
                }
            }
            Ending::NotRun => request.excluded.push(id),
            Ending::Failed
            | Ending::Broken
            | Ending::Silent
            | Ending::Excessive
            | Ending::Unread => {
                request.may_have_run = true;
                request.excluded.push(id);
            }
            Ending::Done | Ending::Inconclusive | Ending::Abandoned => request.may_have_run = true,
        }
    }
}

/// Why a request must not be dispatched to the upstream that was selected for it.
enum Obstacle {
    /// This is to be done instead.
    Decision(Decision),
    /// The upstream has a limit and no token for the request: another one is selected.
    NoToken,
}

/// What crashes of a request's upstreams count against.
fn subjects(fingerprint: u128, head: &RequestHead) -> Arc<[Subject]> {
    let parts = head.generation.iter().flat_map(Generation::shared_parts);
    let parts = parts.map(|part| Subject::Part(u128::from(part.id)));
    let subjects: BTreeSet<Subject> = parts.chain([Subject::Request(fingerprint)]).collect();
    subjects.into_iter().collect()
}

/// Refuses a request that has certainly not run, and gives up one that may have run.
pub(crate) fn refuse_or_fail(
    request: &RequestState,
    reason: Reason,
    retry_after: Option<Duration>,
) -> Decision {
    if request.may_have_run {
        return Decision::Fail;
    }
    Decision::Refuse(Refusal {
        reason,
        retry_after,
    })
}
