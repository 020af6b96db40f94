//! Shares scarce engines between competing callers: by the rank of their requests and, within a
//! rank, fairly between organisations.
//!
//! While requests are refused for want of capacity, those that have to give way may wait for a
//! part of the usual time only and are refused once the queues are longer. The queues then keep to
//! that length, and the others are admitted with what is left of the usual limit. No capacity is
//! reserved: requests that give way use all that the others leave.
//!
//! Each host decides alone, from its own decisions of the last seconds.

use crate::{gate::Gate, request::RequestState, upstreams::UpstreamId};
use mulberryrack_core::{Name, Time};
use mulberryrack_site::organisation::Organisation;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Time after which a decision counts for 1/e. A host of the users decides on some ten requests a
/// second, so that the figures of one organisation are those of a few requests.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Organisations of a service with figures of their own.
const MAX_ORGANISATIONS: usize = 64;
/// Requests below which the figures of an organisation are dropped: those of one request after 23 s.
const MIN_REQUESTS: f64 = 0.01;
/// Ranks from this one on count as one, as for engines.
const LEAST_URGENT_RANK: u8 = 9;
/// Requests of a rank in the figures from which on it counts as one that competes.
const MIN_RANK_REQUESTS: f64 = 0.5;
/// Refused shares of the requests at which engines begin to be scarce and at which the reduction is
/// complete. Bursts cause refusals of some percent while there is capacity for all.
const SCARCE_SHARES: (f64, f64) = (0.02, 0.10);
/// Admitted requests that are assumed in addition, so that a few requests are no evidence of
/// scarcity.
const PRIOR_REQUESTS: f64 = 10.0;
/// An organisation whose served share is below this part of that of all requests need not give way.
/// The bound that has to be kept is a quarter; the margin is for the few requests that a host knows.
const MIN_SERVED_PART: f64 = 0.4;
/// Excess over its fair share, relative to that share, at which an organisation has to give way
/// as far as possible.
const FULL_EXCESS: f64 = 0.5;
/// Least work of a request, for prompts that should be cached.
const MIN_WORK_MS: f64 = 1.0;

/// One request, as seen by the rule.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The organisation that it belongs to; `None` if it belongs to none.
    pub organisation: Option<&'a Name>,
    /// Time to read its prompt, in milliseconds.
    pub work_ms: f64,
    /// Its latency target in milliseconds.
    pub target_ms: f64,
}

/// Recent requests and their work, each weighted by its age.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    requests: f64,
    admitted_requests: f64,
    demand_ms: f64,
    admitted_ms: f64,
    /// Sum of the latency targets.
    target_ms: f64,
}

impl Figures {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.admitted_requests += other.admitted_requests;
        self.demand_ms += other.demand_ms;
        self.admitted_ms += other.admitted_ms;
        self.target_ms += other.target_ms;
    }

    fn scale(&mut self, factor: f64) {
        self.requests *= factor;
        self.admitted_requests *= factor;
        self.demand_ms *= factor;
        self.admitted_ms *= factor;
        self.target_ms *= factor;
    }

    fn sum<'a>(all: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sum = Self::default();
        all.into_iter().for_each(|figures| sum.add(figures));
        sum
    }

    fn served_share(&self) -> f64 {
        self.admitted_requests / self.requests.max(f64::MIN_POSITIVE)
    }
}

/// The recent demand for a service and what was admitted of it.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Figures by rank of each organisation. Those without a name are of requests without an
    /// organisation and of organisations without figures of their own.
    /// Invariant: at most [`MAX_ORGANISATIONS`] have a name.
    by_organisation: BTreeMap<Option<Name>, BTreeMap<u8, Figures>>,
    /// Time at which the figures were last scaled by their age.
    scaled_at: Time,
}

impl Shares {
    /// Records a request on which was decided.
    pub fn record(&mut self, now: Time, claim: &Claim<'_>, is_admitted: bool) {
        self.forget(now);
        let admitted = f64::from(u8::from(is_admitted));
        let work_ms = claim.work_ms.max(MIN_WORK_MS);
        let figures = Figures {
            requests: 1.0,
            admitted_requests: admitted,
            demand_ms: work_ms,
            admitted_ms: work_ms * admitted,
            target_ms: claim.target_ms,
        };
        let by_rank = self.by_organisation.entry(self.key(claim)).or_default();
        by_rank.entry(rank(claim)).or_default().add(&figures);
    }

    /// Part of the usual limit on the expected wait that a request may use: 1 without scarcity,
    /// for the most urgent rank and an organisation within its fair share of it, and for an
    /// organisation that is served far less often than all. Others lose up to `max_reduction`.
    pub fn allowed(&mut self, now: Time, claim: &Claim<'_>, max_reduction: f64) -> f64 {
        self.forget(now);
        let all = self.all();
        let scarcity = scarcity(&all);
        if scarcity * max_reduction <= 0.0 || self.is_neglected(claim, &all) {
            return 1.0;
        }
        let ranks = self.ranks();
        let own = rank(claim);
        let more_urgent = ranks.range(..own).count();
        let competing = more_urgent + 1 + ranks.range(own + 1..).count();
        #[allow(clippy::cast_precision_loss)]
        let position = (more_urgent as f64 + self.excess(claim)) / competing as f64;
        let allowed = 1.0 - scarcity * max_reduction * position;
        // A longer target must not let a request wait in queues that are too long for a more
        // urgent one.
        let first = ranks.first_key_value().filter(|_| more_urgent > 0);
        let target_part = first.map_or(1.0, |(_, figures)| {
            figures.target_ms / figures.requests / claim.target_ms
        });
        allowed * (1.0 - scarcity * (1.0 - target_part.min(1.0)))
    }

    /// Number of organisations with figures of their own.
    #[must_use]
    pub fn organisations(&self) -> usize {
        self.by_organisation.keys().flatten().count()
    }

    /// How scarce engines are: from 0, where hardly any request is refused, to 1.
    fn scarcity(&mut self, now: Time) -> f64 {
        self.forget(now);
        scarcity(&self.all())
    }

    fn all(&self) -> Figures {
        Figures::sum(self.by_organisation.values().flat_map(BTreeMap::values))
    }

    fn forget(&mut self, now: Time) {
        let age = now.since(self.scaled_at);
        if age.is_zero() {
            return;
        }
        self.scaled_at = now;
        let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.by_organisation.retain(|_, by_rank| {
            for figures in by_rank.values_mut() {
                figures.scale(factor);
            }
            by_rank.retain(|_, figures| figures.requests >= MIN_REQUESTS);
            !by_rank.is_empty()
        });
    }

    /// The key of the figures that a request belongs to.
    fn key(&self, claim: &Claim<'_>) -> Option<Name> {
        let name = claim.organisation.cloned();
        let has_room = self.organisations() < MAX_ORGANISATIONS;
        if has_room || self.by_organisation.contains_key(&name) {
            name
        } else {
            None
        }
    }

    /// Figures of the ranks that compete.
    fn ranks(&self) -> BTreeMap<u8, Figures> {
        let mut ranks: BTreeMap<u8, Figures> = BTreeMap::new();
        for (rank, figures) in self.by_organisation.values().flatten() {
            ranks.entry(*rank).or_default().add(figures);
        }
        ranks.retain(|_, figures| figures.requests >= MIN_RANK_REQUESTS);
        ranks
    }

    /// Whether the request's organisation is served far less often than all.
    fn is_neglected(&self, claim: &Claim<'_>, all: &Figures) -> bool {
        let by_rank = self.by_organisation.get(&self.key(claim));
        by_rank.is_some_and(|by_rank| {
            let own = Figures::sum(by_rank.values());
            own.served_share() < MIN_SERVED_PART * all.served_share()
        })
    }

    /// By how much the work that was admitted of the request's organisation exceeds its fair share
    /// within the rank: from 0, within its share, to 1.
    fn excess(&self, claim: &Claim<'_>) -> f64 {
        let rank = rank(claim);
        let of_rank = |by_rank: &BTreeMap<u8, Figures>| by_rank.get(&rank).copied();
        let by_rank = self.by_organisation.get(&self.key(claim));
        let Some(own) = by_rank.and_then(of_rank) else {
            return 0.0;
        };
        let all: Vec<Figures> = self.by_organisation.values().filter_map(of_rank).collect();
        let capacity = all.iter().map(|it| it.admitted_ms).sum();
        let level = fair_level(all.iter().map(|it| it.demand_ms).collect(), capacity);
        let share = own.demand_ms.min(level).max(f64::MIN_POSITIVE);
        ((own.admitted_ms / share - 1.0) / FULL_EXCESS).clamp(0.0, 1.0)
    }
}

fn rank(claim: &Claim<'_>) -> u8 {
    claim.rank.min(LEAST_URGENT_RANK)
}

/// How scarce engines are: from 0, where hardly any request is refused, to 1.
fn scarcity(all: &Figures) -> f64 {
    let refused = all.requests - all.admitted_requests;
    let (begins, complete) = SCARCE_SHARES;
    let share = refused / (all.requests + PRIOR_REQUESTS);
    ((share - begins) / (complete - begins)).clamp(0.0, 1.0)
}

/// The most that one demand gets if a capacity is shared by max-min fairness: smaller demands are
/// met, and what they leave is shared by the others in equal parts.
fn fair_level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut level = 0.0;
    for (index, demand) in demands.iter().enumerate() {
        #[allow(clippy::cast_precision_loss)]
        let sharers = (demands.len() - index) as f64;
        level = left / sharers;
        if *demand > level {
            return level;
        }
        left -= demand;
    }
    level.max(demands.last().copied().unwrap_or_default())
}

/// What was decided on a request in competition with others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Verdict {
    /// Whether an engine was to run the request: it is not decided on by this rule again.
    is_admitted: bool,
    /// Part of the usual limits that the request might use; `None` if nothing was decided.
    allowed: Option<f64>,
    /// Whether the request was refused that the usual limit would not have refused.
    has_given_way: bool,
}

/// What admission does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// It is dispatched.
    Admit,
    /// It is held back.
    Hold,
    /// It is refused, as its first event would come too late.
    Refuse,
    /// It is refused in favour of other callers.
    GiveWay,
}

impl RequestState {
    /// Part of the usual limit on the expected wait that the request might use when it was last
    /// decided on; `None` where capacity is not shared between callers.
    #[must_use]
    pub const fn allowed_share(&self) -> Option<f64> {
        self.verdict.allowed
    }

    /// Whether the request was refused in favour of others, and would have been admitted otherwise.
    #[must_use]
    pub const fn has_given_way(&self) -> bool {
        self.verdict.has_given_way
    }
}

impl Gate {
    /// Whether the configuration has organisations, whose callers compete for the engines.
    pub(crate) fn has_organisations(&self) -> bool {
        let config = self.config();
        config.is_some_and(|config| config.organisations.is_some())
    }

    /// Time to read the prompts of this host that are held for an engine and go before a request's,
    /// in milliseconds: all, and those of less urgent requests the less the scarcer engines are.
    pub(crate) fn held_before(&mut self, now: Time, request: &RequestState, id: UpstreamId) -> f64 {
        let scarcity = self.scarcity(now, &request.service);
        let held = &self.upstreams.get(id).held;
        let less_urgent_ms = held.total_ms() - held.urgent_ms(request.priority());
        held.total_ms() - scarcity * less_urgent_ms.max(0.0)
    }

    /// How scarce the engines of a service are: from 0 to 1; 0 where the rule is not in force.
    fn scarcity(&mut self, now: Time, service: &Name) -> f64 {
        if self.tuning.fair_reduction <= 0.0 {
            return 0.0;
        }
        let shares = self.shares.get_mut(service);
        shares.map_or(0.0, |shares| shares.scarcity(now))
    }

    /// Part of the usual limits that a request may use for a service that is balanced evenly.
    pub(crate) fn allowed_share(&mut self, now: Time, request: &mut RequestState) -> f64 {
        let max_reduction = self.tuning.fair_reduction;
        if request.verdict.is_admitted {
            return 1.0;
        }
        let shares = self.shares.entry(request.service.clone()).or_default();
        let organisation = request.organisation.clone();
        let allowed = shares.allowed(
            now,
            &claim(request, organisation.as_ref(), 0.0),
            max_reduction,
        );
        request.verdict.allowed = Some(allowed);
        allowed
    }

    /// Records that a request was admitted or refused, and whether the usual limit would have refused it.
    pub(crate) fn record_admission(
        &mut self,
        now: Time,
        request: &mut RequestState,
        read_ms: f64,
        step: Step,
    ) {
        if request.verdict.is_admitted || step == Step::Hold {
            return;
        }
        request.verdict.is_admitted = step == Step::Admit;
        request.verdict.has_given_way = step == Step::GiveWay;
        let shares = self.shares.entry(request.service.clone()).or_default();
        let organisation = request.organisation.clone();
        let claim = claim(request, organisation.as_ref(), read_ms);
        shares.record(now, &claim, step == Step::Admit);
    }
}

fn claim<'a>(
    request: &RequestState,
    organisation: Option<&'a Arc<Organisation>>,
    work_ms: f64,
) -> Claim<'a> {
    Claim {
        rank: request.priority(),
        organisation: organisation.map(|it| &it.name),
        work_ms,
        target_ms: request.route.latency_target.as_secs_f64() * 1_000.0,
    }
}
