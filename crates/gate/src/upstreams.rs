//! What a host knows about each upstream.

use crate::{
    cache::PrefixCache, crash::CrashState, failures::FailureShare, gate::ModelChange, held::Held,
    limit::LimitState, load::Load, pauses::PauseShare, request::Ending, rest::Rest,
    speed::SpeedSample,
};
use mulberryrack_core::{Name, Time};
use mulberryrack_site::upstream::{LoadReport, State, Upstream};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Key of an upstream at this host; stays the same when the upstream restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub(crate) u32);

/// Broken and failed dispatches, without a complete answer in between, after which an
/// upstream gets a cooldown. Other failures start a cooldown at once.
const FAILURES_TO_COOLDOWN: u32 = 2;
/// First cooldown; each further one is twice as long until an answer is complete.
const MIN_COOLDOWN_PERIOD: Duration = Duration::from_millis(500);
/// Longest cooldown: a little more than the time that an engine needs to restart.
const MAX_COOLDOWN_PERIOD: Duration = Duration::from_secs(4);
/// Time without prompt reading in which every stream of an engine gets its next event. An
/// event takes 5 to 8 engine steps of some 4 ms each.
pub(crate) const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Period for which a change of an engine's models takes precedence over its registration,
/// which may not include the change yet: two heartbeats of the engine and the lag of the
/// registrations.
const MODEL_CHANGE_PERIOD: Duration = Duration::from_secs(4);

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    pub registration: Upstream,
    /// Whether the registration is still in the key-value service.
    pub registered: bool,
    /// Whether the incarnation has said that it is leaving, which its registration may not
    /// show yet.
    pub leaving: bool,
    /// Requests of this host that are at the upstream.
    pub in_flight: u32,
    /// Time at which the engine will have read all prompts known to this host, as
    /// estimated.
    pub reading_until: Time,
    /// Start of the current period of uninterrupted prompt reading.
    reading_since: Time,
    /// The prompts of this host's requests that are held for the engine.
    pub held: Held,
    /// Prompt prefixes that the engine should have cached.
    pub prefix_cache: PrefixCache,
    /// The last reported load, the time of the report, and `in_flight` at that time.
    pub load_report: Option<(LoadReport, Time, u32)>,
    /// Estimates of the load between the reports, and of the speed.
    pub load: Load,
    /// Pauses of the streams.
    pub pauses: PauseShare,
    /// Time at which the speed was logged last.
    pub speed_logged_at: Option<Time>,
    /// Time at which this host last received something from the upstream.
    pub last_activity: Time,
    /// Broken and failed dispatches since the last complete answer.
    failures: u32,
    /// Share of this host's requests that the upstream has failed lately.
    pub failure_share: FailureShare,
    /// Time until which other upstreams are preferred.
    pub cooldown_until: Time,
    /// Length of the next cooldown.
    next_cooldown: Duration,
    /// Changes of the engine's models that its registration may not include yet, each with
    /// the time until which it takes precedence.
    model_changes: Vec<(ModelChange, Time)>,
    /// Signs of a crash, and suspected requests.
    pub crash: CrashState,
    /// The last rest that the incarnation asked for, until its return is no longer paced.
    pub rest: Option<Rest>,
    /// The requests a second that the incarnation takes from all hosts together.
    pub limit: LimitState,
}

impl UpstreamState {
    fn new(registration: Upstream) -> Self {
        Self {
            registration,
            registered: true,
            leaving: false,
            in_flight: 0,
            reading_until: Time::ZERO,
            reading_since: Time::ZERO,
            held: Held::default(),
            prefix_cache: PrefixCache::default(),
            load_report: None,
            load: Load::default(),
            pauses: PauseShare::default(),
            speed_logged_at: None,
            last_activity: Time::ZERO,
            failures: 0,
            failure_share: FailureShare::default(),
            cooldown_until: Time::ZERO,
            next_cooldown: MIN_COOLDOWN_PERIOD,
            model_changes: Vec::new(),
            crash: CrashState::default(),
            rest: None,
            limit: LimitState::default(),
        }
    }

    /// Whether a registration under the same name is that of a later incarnation.
    pub fn is_former_incarnation_of(&self, registration: &Upstream) -> bool {
        self.registration.started_ms != registration.started_ms
            || self.registration.address != registration.address
    }

    /// Key of the incarnation in the samples that hosts send each other.
    pub fn incarnation_key(&self) -> u32 {
        incarnation_key(&self.registration)
    }

    /// Whether the upstream accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        self.registered && !self.is_leaving()
    }

    /// Whether the upstream will end as planned.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.registration.state == State::Draining
    }

    /// Whether the engine has the model and, if one is given, the adapter in memory.
    /// Recorded changes take precedence over the registration.
    pub fn has_model(&self, now: Time, model: &str, adapter: Option<&str>) -> bool {
        let has = |adapter: Option<&str>| {
            let recorded = self.model_changes.iter().find(|(change, until)| {
                *until > now && *change.model == *model && change.adapter.as_deref() == adapter
            });
            recorded.map_or_else(
                || self.registration.has_model(model, adapter),
                |(change, _)| change.present,
            )
        };
        has(None) && (adapter.is_none() || has(adapter))
    }

    /// Records a change that the planner announced or that a refused request reveals.
    pub fn record_change(&mut self, now: Time, change: &ModelChange) {
        let same = |old: &ModelChange| old.model == change.model && old.adapter == change.adapter;
        self.model_changes
            .retain(|(old, until)| *until > now && !same(old));
        self.model_changes
            .push((change.clone(), now + MODEL_CHANGE_PERIOD));
    }

    /// Records a prompt that this or another host sends to the engine.
    pub fn record_prompt(&mut self, now: Time, read_ms: f64, prefixes: impl Iterator<Item = u64>) {
        let read_time = Duration::from_secs_f64(read_ms.max(0.0) / 1_000.0);
        if self.streams_caught_up(now) {
            self.reading_since = now;
        }
        self.reading_until = self.reading_until.max(now) + read_time;
        self.prefix_cache.record(now, prefixes);
    }

    /// Whether the engine has been without prompts to read for long enough that all its
    /// streams got their next events.
    pub fn streams_caught_up(&self, now: Time) -> bool {
        now >= self.reading_until + EVENT_INTERVAL
    }

    /// Length in milliseconds of the uninterrupted reading period that ends when the engine
    /// has read all its prompts; zero if its streams have caught up.
    pub fn reading_ms(&self, now: Time) -> f64 {
        if self.streams_caught_up(now) {
            return 0.0;
        }
        let until = self.reading_until.max(now);
        until.since(self.reading_since).as_secs_f64() * 1_000.0
    }

    /// Updates the failure count and the cooldown by how a dispatch ended.
    pub fn record_ending(&mut self, now: Time, ending: Ending) {
        match ending {
            Ending::Done | Ending::Inconclusive => {
                self.failure_share.record(now, false);
                self.failures = 0;
                self.next_cooldown = MIN_COOLDOWN_PERIOD;
            }
            // The silence was recorded when it became too long.
            Ending::NotSent | Ending::Silent => self.start_cooldown(now),
            Ending::Broken | Ending::Failed => {
                self.failure_share.record(now, true);
                self.failures += 1;
                if self.failures >= FAILURES_TO_COOLDOWN {
                    self.start_cooldown(now);
                }
            }
            // The cooldown began when the bytes were counted.
            Ending::NotRun
            | Ending::Misplaced
            | Ending::Withdrawn
            | Ending::Excessive
            | Ending::Unread
            | Ending::Abandoned => {}
        }
    }

    pub fn start_cooldown(&mut self, now: Time) {
        self.cooldown_until = now + self.next_cooldown;
        self.next_cooldown = (self.next_cooldown * 2).min(MAX_COOLDOWN_PERIOD);
    }

    /// Estimated requests at the upstream, from its last reported load and this host's own
    /// requests.
    pub fn estimated_requests(&self, host_count: u32) -> f64 {
        let own = f64::from(self.in_flight);
        let reported = self.load_report.map_or(0.0, |(load, _, in_flight_then)| {
            let change = own - f64::from(in_flight_then);
            f64::from(load.running + load.waiting) + change
        });
        // Without a report, each other host is assumed to have as many requests at the
        // upstream as this one.
        let assumed = own * f64::from(host_count);
        if self.load_report.is_some() {
            reported.max(own)
        } else {
            assumed
        }
    }
}

fn incarnation_key(registration: &Upstream) -> u32 {
    SpeedSample::key(&registration.id, registration.started_ms)
}

/// All upstreams that this host has seen, including those no longer registered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstreams {
    states: Vec<UpstreamState>,
    ids: BTreeMap<Name, UpstreamId>,
    /// The upstreams by the keys of their present incarnations.
    by_incarnation: BTreeMap<u32, UpstreamId>,
    /// Number of registered upstreams at each address.
    at_address: BTreeMap<SocketAddr, usize>,
}

impl Upstreams {
    /// Records a registration. Returns whether this is the first registration of the
    /// upstream or of a new incarnation of it.
    pub fn register(&mut self, registration: Upstream) -> bool {
        let name = registration.id.clone();
        let former = self.registered_address(&name);
        let is_new = self.record(registration);
        let address = self.registered_address(&name);
        if former != address {
            self.count_address(former, address);
        }
        is_new
    }

    fn registered_address(&self, name: &str) -> Option<SocketAddr> {
        let state = self.get(self.find(name)?);
        state.registered.then_some(state.registration.address)
    }

    fn count_address(&mut self, former: Option<SocketAddr>, address: Option<SocketAddr>) {
        if let Some(count) = former.and_then(|former| self.at_address.get_mut(&former)) {
            *count -= 1;
        }
        if let Some(address) = address {
            *self.at_address.entry(address).or_default() += 1;
        }
        self.at_address.retain(|_, count| *count > 0);
    }

    /// Whether another upstream is registered at the same address: one of the two has ended.
    pub fn shares_address(&self, id: UpstreamId) -> bool {
        let address = self.get(id).registration.address;
        self.at_address
            .get(&address)
            .is_some_and(|count| *count > 1)
    }

    fn record(&mut self, registration: Upstream) -> bool {
        let Some(&id) = self.ids.get(&registration.id) else {
            let id = UpstreamId(u32::try_from(self.states.len()).expect("fewer than 2^32"));
            self.ids.insert(registration.id.clone(), id);
            self.by_incarnation
                .insert(incarnation_key(&registration), id);
            self.states.push(UpstreamState::new(registration));
            return true;
        };
        let state = self.get(id);
        if state.registered && registration.older_than(&state.registration) {
            return false;
        }
        let restarted = state.is_former_incarnation_of(&registration);
        if restarted {
            let (former, new) = (state.incarnation_key(), incarnation_key(&registration));
            self.by_incarnation.remove(&former);
            self.by_incarnation.insert(new, id);
        }
        let state = self.get_mut(id);
        if restarted {
            // No state of the previous incarnation applies to the new one. But this host's
            // requests that are still in flight or held end one by one and are subtracted
            // then.
            let (in_flight, held) = (state.in_flight, std::mem::take(&mut state.held));
            let crash = state.crash.after_restart(state);
            *state = UpstreamState::new(registration);
            (state.in_flight, state.held) = (in_flight, held);
            state.crash = crash;
        } else {
            state.registration = registration;
            state.registered = true;
        }
        restarted
    }

    /// Records that a registration was removed; the upstream's state is kept.
    pub fn deregister(&mut self, name: &str) {
        let former = self.registered_address(name);
        if let Some(&id) = self.ids.get(name) {
            self.get_mut(id).registered = false;
        }
        self.count_address(former, None);
    }

    pub fn find(&self, name: &str) -> Option<UpstreamId> {
        self.ids.get(name).copied()
    }

    /// The upstream with an incarnation's key, if that is the present one.
    pub fn find_incarnation(&self, key: u32) -> Option<UpstreamId> {
        self.by_incarnation.get(&key).copied()
    }

    pub fn get(&self, id: UpstreamId) -> &UpstreamState {
        &self.states[id.0 as usize]
    }

    pub fn get_mut(&mut self, id: UpstreamId) -> &mut UpstreamState {
        &mut self.states[id.0 as usize]
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        self.states.iter_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = (UpstreamId, &UpstreamState)> {
        (0..).map(UpstreamId).zip(&self.states)
    }
}
