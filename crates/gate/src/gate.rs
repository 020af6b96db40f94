//! What all requests of a host share, and the steps of one request.

use crate::{
    budget::Budget,
    cache::Chain,
    choice::Offer,
    read_time::Paces,
    request::{Ending, Pass, Step, Target},
    tuning::Tuning,
    upstreams::{REST, UpstreamId, Upstreams},
};
use mulberryrack_core::{
    Name, Time,
    outcome::{Reason, Refusal, Retry},
};
use mulberryrack_site::{Ask, Config, Upstream, config::Route, upstream::Load};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Wait before a request that no upstream can run is to be sent again: an engine that
/// crashed is back after a few seconds.
const COME_BACK: Duration = Duration::from_secs(1);
/// Wait before a request that an upstream turned away is to be sent again.
const TURNED_AWAY: Duration = Duration::from_millis(100);
/// Time for which the word holds that nobody gives orders; a tenth of the time that the
/// next holder of the claim has to wait.
const UNPLANNED: Duration = Duration::from_millis(400);
/// Time without which sending a request is of no use.
const LEAST_TIME: Duration = Duration::from_millis(5);

/// How many times longer the silence of an upstream is borne that answers others.
const ALIVE_FACTOR: u32 = 3;

/// Share of its objective after which a waiting request may lengthen the pauses of others.
const PRESSED_FROM: f64 = 0.5;
/// Pause that streams without a bound may have: as long as the users' slowest ones.
const UNBOUND: Duration = Duration::from_millis(600);
/// Reading time before a prompt, in milliseconds, below which it counts as read alone.
const ALONE_MS: f64 = 1.0;
/// Shortest and longest pause before a request that is kept back is looked at again, in
/// milliseconds.
const MIN_HOLD_MS: f64 = 5.0;
const MAX_HOLD_MS: f64 = 60.0;
/// Shortest and longest time after which a request that came too late for its objective
/// is to come back, in milliseconds: half of the time that its engine has to read.
const MIN_RETURN_MS: f64 = 300.0;
const MAX_RETURN_MS: f64 = 2_000.0;

/// Most hosts of which each is taken to hold as much back as this one: on larger sites one
/// request held here says little of the others.
const MOST_ALIKE: u32 = 8;

/// Last rank that engines know.
const LEAST_URGENT: u8 = 9;
/// Pause before a stream that was broken off is looked at again.
const RESUME_PAUSE: Duration = Duration::from_millis(150);

/// Requests for a model or adapter since the last count.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// The model.
    pub model: Name,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<Name>,
    /// Engine time that the requests take, in milliseconds.
    pub work_ms: f64,
}

/// A prompt that a host sends to an engine, as the other hosts are told.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The engine.
    pub upstream: Name,
    /// Time that it takes to read what it does not keep, in milliseconds.
    pub read_ms: f64,
    /// Hashes of the prompt's beginnings.
    pub links: Vec<u64>,
}

/// A model or adapter that an engine has from now on, or no longer takes requests for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub upstream: Name,
    /// The model.
    pub model: Name,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<Name>,
    /// Whether it is there.
    pub present: bool,
}

/// Decisions of one host.
#[derive(Debug)]
pub struct Gate {
    pub(crate) tuning: Tuning,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) upstreams: Upstreams,
    /// Whether some host has the claim to give orders.
    planned: bool,
    /// Until when that host is known to give none.
    unplanned_until: Time,
    /// Hosts that share the load and the budget; at least one.
    pub(crate) hosts: u32,
    config: Option<Arc<Config>>,
    budgets: BTreeMap<Name, Budget>,
    /// Shortest allowed pause of the streams of each service.
    pauses: BTreeMap<Name, Duration>,
    wanted: BTreeMap<(Name, Option<Name>), f64>,
    pub(crate) paces: Paces,
    notices: Vec<Notice>,
}

impl Gate {
    /// A gate that knows no configuration yet.
    #[must_use]
    pub fn new(tuning: Tuning, seed: u64) -> Self {
        Self {
            tuning,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: Upstreams::default(),
            planned: false,
            unplanned_until: Time::ZERO,
            hosts: 1,
            config: None,
            budgets: BTreeMap::new(),
            pauses: BTreeMap::new(),
            wanted: BTreeMap::new(),
            paces: Paces::default(),
            notices: Vec::new(),
        }
    }

    /// Takes a configuration over if it is newer. Returns whether it was.
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
            self.paces.set_size(&model.name, model.weights_mb);
        }
        self.pauses = shortest_pauses(&config);
        self.config = Some(config);
        true
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Takes an upstream's entry over. Returns whether it is another life of it.
    pub fn list(&mut self, entry: Upstream) -> bool {
        self.upstreams.list(entry)
    }

    /// Takes an upstream off the list.
    pub fn unlist(&mut self, name: &str) {
        self.upstreams.unlist(name);
    }

    /// Sets whether some host gives orders, so that waiting for a model is of use.
    pub fn set_planned(&mut self, planned: bool) {
        self.planned = planned;
    }

    /// The host that has the claim gives no orders now; asked again after a while.
    pub fn set_unplanned(&mut self, now: Time) {
        self.unplanned_until = now + UNPLANNED;
    }

    /// Sets how many hosts share the load.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Takes a change of what an engine holds that the planner told of.
    pub fn change(&mut self, now: Time, change: &Change) {
        if let Some(id) = self.upstreams.find(&change.upstream) {
            self.upstreams.get_mut(id).learn(now, change);
        }
    }

    /// Whether some engine that takes new work has a model.
    #[must_use]
    pub fn held(&self, now: Time, model: &str) -> bool {
        let mut all = self.upstreams.iter();
        all.any(|(_, known)| known.serves() && known.holds(now, model, None))
    }

    /// Entries of the upstreams that are listed now.
    pub fn listed(&self) -> impl Iterator<Item = &Upstream> {
        let listed = self.upstreams.iter().filter(|(_, known)| known.listed);
        listed.map(|(_, known)| &known.entry)
    }

    /// What the other hosts are to be told since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Takes what another host tells.
    pub fn notice(&mut self, now: Time, notice: &Notice) {
        if let Some(id) = self.upstreams.find(&notice.upstream) {
            let known = self.upstreams.get_mut(id);
            known.reads(now, notice.read_ms, notice.links.iter().copied());
        }
    }

    /// Requests by model and adapter since the last call.
    pub fn take_wanted(&mut self) -> Vec<Wanted> {
        std::mem::take(&mut self.wanted)
            .into_iter()
            .map(|((model, adapter), work_ms)| Wanted {
                model,
                adapter,
                work_ms,
            })
            .collect()
    }

    /// Lets a request in.
    ///
    /// # Errors
    ///
    /// Why it is refused: no configuration yet, or no route that matches.
    pub fn admit(&mut self, now: Time, ask: Ask) -> Result<Pass, Refusal> {
        let refuse = |reason, retry_after| Refusal {
            reason,
            retry_after,
        };
        let Some(config) = self.config.clone() else {
            return Err(refuse(Reason::NoTable, Some(COME_BACK)));
        };
        let Some(route) = config.route(&ask.host, &ask.path) else {
            return Err(refuse(Reason::UnknownTarget, None));
        };
        let Some(service) = self.draw(route) else {
            return Err(refuse(Reason::NoUpstream, Some(COME_BACK)));
        };
        let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
        self.count(&ask);
        let chain = ask.generation.as_ref().map(Chain::of).unwrap_or_default();
        Ok(Pass {
            ask,
            route: route.clone(),
            service,
            version: config.version,
            arrived: now,
            deadline: now + patience,
            sent: Vec::new(),
            avoid: Vec::new(),
            may_have_run: false,
            chain,
            begun: false,
            held: false,
            waits_at: None,
        })
    }

    fn draw(&mut self, route: &Route) -> Option<Name> {
        let total: u32 = route.targets.iter().map(|(_, share)| *share).sum();
        let mut ticket = self.rng.random_range(0..total.max(1));
        for (service, share) in &route.targets {
            if ticket < *share {
                return Some(service.clone());
            }
            ticket -= share;
        }
        None
    }

    fn count(&mut self, ask: &Ask) {
        if let Some(it) = &ask.generation {
            let key = (it.model.clone(), it.adapter.clone());
            let own = it.parts.last().map_or(it.prompt_tokens, |part| part.tokens);
            let work_ms = self.paces.read_ms(&it.model, own)
                + self.paces.write_ms(&it.model, it.output_tokens);
            *self.wanted.entry(key).or_default() += work_ms;
        }
    }

    /// Decides what to do with a request that is not at any upstream.
    pub fn step(&mut self, now: Time, pass: &mut Pass, retry: Option<Retry>) -> Step {
        self.release(pass);
        if pass.left(now) < LEAST_TIME {
            return give_up(pass, Reason::Deadline, None);
        }
        if pass.may_have_run && !pass.repeatable(false) {
            return Step::Fail;
        }
        let (offer, candidates) = self.choose(now, pass);
        let Some(offer) = offer else {
            if pass.begun {
                // An upstream that turned it away or fell silent may go on with it later.
                pass.avoid.clear();
                return Step::Hold(now + RESUME_PAUSE);
            }
            return self.without_upstream(now, pass);
        };
        match self.bar(now, pass, &offer) {
            Some(step) => step,
            None => Step::Send(self.commit(now, pass, &offer, candidates, retry)),
        }
    }

    /// Why a request may not go to the upstream that was chosen for it now.
    fn bar(&mut self, now: Time, pass: &mut Pass, offer: &Offer) -> Option<Step> {
        let most = usize::try_from(pass.route.max_attempts).unwrap_or(usize::MAX);
        let one_too_many = !pass.sent.contains(&offer.id) && pass.sent.len() >= most;
        if one_too_many && pass.begun {
            // It may go on where it was before.
            pass.avoid.retain(|id| !pass.sent.contains(id));
            pass.avoid.push(offer.id);
            return Some(Step::Hold(now + RESUME_PAUSE));
        }
        if one_too_many {
            let refused = give_up(pass, Reason::UpstreamRefused, Some(TURNED_AWAY));
            return Some(refused);
        }
        if let Some(step) = self.pace_entry(now, pass, offer) {
            return Some(step);
        }
        if self.charge(now, pass) {
            return None;
        }
        if pass.begun {
            return Some(Step::Hold(now + RESUME_PAUSE));
        }
        Some(give_up(pass, Reason::RetryBudget, Some(TURNED_AWAY)))
    }

    /// Counts a request at its upstream and says where that is.
    fn commit(
        &mut self,
        now: Time,
        pass: &mut Pass,
        offer: &Offer,
        candidates: usize,
        retry: Option<Retry>,
    ) -> Target {
        if !pass.sent.contains(&offer.id) {
            pass.sent.push(offer.id);
        }
        let known = self.upstreams.get_mut(offer.id);
        known.running += 1;
        if !pass.chain.links.is_empty() {
            let links: Vec<u64> = pass.chain.links.iter().map(|link| link.0).collect();
            known.reads(now, offer.read_ms, links.iter().copied());
            self.notices.push(Notice {
                upstream: known.entry.id.clone(),
                read_ms: offer.read_ms,
                links,
            });
        }
        let generates = pass.ask.generation.is_some();
        Target {
            id: offer.id,
            name: known.entry.id.clone(),
            address: known.entry.address,
            urgency: generates.then_some(pass.route.priority.min(LEAST_URGENT)),
            load: known.load.map(|(load, at, _)| (load, now.since(at))),
            read_ms: offer.read_ms,
            backlog_ms: offer.backlog_ms,
            candidates,
            retry,
        }
    }

    /// Keeps a first send back while its engine has much to read, and refuses it where it
    /// would come too late.
    fn pace_entry(&mut self, now: Time, pass: &mut Pass, offer: &Offer) -> Option<Step> {
        if pass.ask.generation.is_none() || pass.may_have_run {
            return None;
        }
        let objective = pass.route.objective.as_secs_f64() * 1_000.0;
        let waited = now.since(pass.arrived).as_secs_f64() * 1_000.0;
        let pressed = (waited / objective - PRESSED_FROM).max(0.0);
        let share = self.tuning.reading_share * (1.0 + pressed);
        let pause = self.pauses.get(&pass.service).copied().unwrap_or(UNBOUND);
        let allowed = pause.as_secs_f64() * 1_000.0 * share;
        let free = offer.reading_ms <= 0.0 || offer.reading_ms + offer.read_ms <= allowed;
        let rest = if free {
            0.0
        } else {
            REST.as_secs_f64() * 1_000.0
        };
        // Those that were held before go first.
        let ahead = if pass.held {
            0.0
        } else {
            self.upstreams.get(offer.id).held_ms * f64::from(self.hosts.min(MOST_ALIKE))
        };
        let before = offer.backlog_ms + ahead + rest;
        if waited + before + offer.read_ms > objective * self.tuning.late_share {
            let drained = (before / 2.0).clamp(MIN_RETURN_MS, MAX_RETURN_MS);
            let wait = Duration::from_secs_f64(drained / 1_000.0);
            return Some(give_up(pass, Reason::Overload, Some(wait)));
        }
        if free {
            return None;
        }
        pass.hold(offer.id, offer.read_ms);
        self.upstreams.get_mut(offer.id).held_ms += offer.read_ms;
        let wait = (offer.backlog_ms + rest).clamp(MIN_HOLD_MS, MAX_HOLD_MS);
        Some(Step::Hold(now + Duration::from_secs_f64(wait / 1_000.0)))
    }

    /// Takes a request out of the row in which it was held, if it was: it is looked at
    /// again, or its caller went away.
    pub fn release(&mut self, pass: &mut Pass) {
        if let Some((id, read_ms)) = pass.waits_at.take() {
            let known = self.upstreams.get_mut(id);
            known.held_ms = (known.held_ms - read_ms).max(0.0);
        }
    }

    fn charge(&mut self, now: Time, pass: &Pass) -> bool {
        let hosts = f64::from(self.hosts);
        let budget = self.budgets.entry(pass.service.clone()).or_default();
        if pass.sent.is_empty() {
            budget.earn(now);
            return true;
        }
        let Tuning {
            retry_window,
            retry_share,
            retry_extra,
            ..
        } = self.tuning;
        budget.spend(now, retry_window, retry_share, retry_extra / hosts)
    }

    /// A request whose model is on no upstream waits for a placement, others are refused.
    fn without_upstream(&self, now: Time, pass: &Pass) -> Step {
        let placeable = pass.ask.generation.as_ref().is_some_and(|it| {
            let service = self
                .config
                .as_ref()
                .and_then(|config| config.service(&pass.service));
            let engine = service.and_then(|service| service.engine.as_ref());
            engine.is_some_and(|engine| engine.model(&it.model).is_some())
        });
        let until = pass.arrived + pass.route.objective.mul_f64(self.tuning.place_share);
        let planned = self.planned && now >= self.unplanned_until;
        if placeable && planned && !pass.may_have_run && now < until {
            return Step::Place(until);
        }
        let reason = if placeable {
            Reason::NoCopy
        } else {
            Reason::NoUpstream
        };
        give_up(pass, reason, Some(COME_BACK))
    }

    /// Takes that something came from an upstream.
    pub fn heard(&mut self, now: Time, id: UpstreamId) {
        self.upstreams.get_mut(id).heard = now;
    }

    /// When an upstream that has been silent on a request since `since` is left for
    /// another one; the request's deadline if there is none. `bound` is the silence that
    /// is borne.
    #[must_use]
    pub fn patience(
        &self,
        now: Time,
        pass: &Pass,
        id: UpstreamId,
        since: Time,
        bound: Duration,
        begun: bool,
    ) -> Time {
        let most = usize::try_from(pass.route.max_attempts).unwrap_or(usize::MAX);
        if !pass.repeatable(begun) || pass.sent.len() >= most || !self.has_other(now, pass, id) {
            return pass.deadline;
        }
        // One that answers others is likely to answer this one as well.
        let alive = self.upstreams.get(id).heard;
        let until = (alive + bound).min(since + bound * ALIVE_FACTOR);
        pass.deadline.min(until.max(since + bound))
    }

    /// Takes the load that an upstream told with an answer.
    pub fn load(&mut self, now: Time, id: UpstreamId, load: Load) {
        let known = self.upstreams.get_mut(id);
        known.load = Some((load, now, known.running));
    }

    /// Takes the first event of an answer, `took` after the send: the prompt is read.
    pub fn first_event(&mut self, pass: &mut Pass, target: &Target, took: Duration) {
        pass.may_have_run = true;
        pass.begun |= pass.route.streaming;
        if let (Some(it), true) = (&pass.ask.generation, target.backlog_ms < ALONE_MS) {
            self.paces.take(&it.model, target.read_ms, took);
        }
    }

    /// Takes how a send ended. [`Gate::step`] tells what comes next, if anything does.
    pub fn ended(&mut self, now: Time, pass: &mut Pass, id: UpstreamId, ending: Ending) {
        let known = self.upstreams.get_mut(id);
        known.running = known.running.saturating_sub(1);
        known.judge(now, ending);
        match ending {
            Ending::NotSent => {
                pass.sent.retain(|sent| *sent != id);
                pass.avoid.push(id);
            }
            Ending::Misplaced => match &pass.ask.generation {
                // It may be sent there again once the model is placed.
                Some(it) => known.learn(
                    now,
                    &Change {
                        upstream: known.entry.id.clone(),
                        model: it.model.clone(),
                        adapter: it.adapter.clone(),
                        present: false,
                    },
                ),
                None => pass.avoid.push(id),
            },
            Ending::NotRun => pass.avoid.push(id),
            Ending::Failed | Ending::Broken | Ending::Silent => {
                pass.may_have_run = true;
                pass.avoid.push(id);
            }
            Ending::Done | Ending::Abandoned => pass.may_have_run = true,
        }
    }
}

/// The shortest pause between events that some route of each service allows.
fn shortest_pauses(config: &Config) -> BTreeMap<Name, Duration> {
    let mut pauses = BTreeMap::new();
    for route in &config.routes {
        let Some(gap) = route.gap else {
            continue;
        };
        for (service, _) in &route.targets {
            let pause = pauses.entry(service.clone()).or_insert(gap);
            *pause = gap.min(*pause);
        }
    }
    pauses
}

fn give_up(pass: &Pass, reason: Reason, retry_after: Option<Duration>) -> Step {
    if pass.may_have_run {
        return Step::Fail;
    }
    Step::Refuse(Refusal {
        reason,
        retry_after,
    })
}
