//! Upstreams that ask for a rest: they turn a request away and say for how long they want no
//! other one from this host. The end of a rest is paced, so that the requests that waited for
//! it do not arrive all at once, and the most urgent ones go first.

use crate::{
    gate::Gate,
    request::{Decision, RequestState},
    upstreams::{UpstreamId, UpstreamState},
};
use mulberryrack_core::{
    Name, Time,
    outcome::{Reason, Refusal},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Longest rest that is granted at once; bounds a value that cannot be meant.
const MAX_REST_PERIOD: Duration = Duration::from_secs(600);
/// Interval at which the number of requests that an upstream may have been sent since its rest
/// doubles, beginning with one for each host.
const RAMP_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a request is decided on again that waits for more urgent ones.
const TURN_CHECK_DELAY: Duration = Duration::from_millis(10);

/// A rest of one incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rest {
    until: Time,
    /// Requests that were dispatched since its end.
    dispatched: u32,
}

impl Rest {
    fn doublings(&self, now: Time) -> u32 {
        let intervals = now.since(self.until).as_millis() / RAMP_INTERVAL.as_millis();
        u32::try_from(intervals).unwrap_or(u32::MAX)
    }

    /// Number of requests that may have been dispatched by now since the end of the rest.
    fn allowed(&self, now: Time) -> u32 {
        if now < self.until {
            return 0;
        }
        1u32.checked_shl(self.doublings(now)).unwrap_or(u32::MAX)
    }

    /// Time at which the next requests may be dispatched, if none may be now.
    fn next_place_at(&self, now: Time) -> Time {
        if now < self.until {
            return self.until;
        }
        self.until + RAMP_INTERVAL * (self.doublings(now) + 1)
    }
}

impl UpstreamState {
    /// Whether the upstream wants no requests.
    pub(crate) fn is_resting(&self, now: Time) -> bool {
        self.rest.is_some_and(|rest| now < rest.until)
    }

    /// Number of requests that may be dispatched now; `None` if no rest limits it.
    pub(crate) fn places_after_rest(&self, now: Time) -> Option<u32> {
        let rest = self.rest?;
        let allowed = rest.allowed(now);
        let is_limited = allowed < self.registration.slots.max(1);
        is_limited.then(|| allowed.saturating_sub(rest.dispatched))
    }
}

/// The requests that compete for the same upstreams: a service, and the model if one is needed.
type Pool = (Name, Option<Name>);

/// Place of a request among those of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    rank: u8,
    arrived_at: Time,
    /// Unique among all turns that were given out; 0 for a request that does not wait yet.
    number: u64,
}

/// The requests that wait for the end of a rest, in the order in which they are dispatched.
#[derive(Clone, Debug, Default)]
pub(crate) struct RestQueue {
    waiting: BTreeMap<Pool, BTreeSet<Turn>>,
    last_number: u64,
}

impl RestQueue {
    fn is_waiting(&self, pool: &Pool) -> bool {
        self.waiting.contains_key(pool)
    }

    /// Whether a number of places is more than the requests that go before a turn.
    fn has_place(&self, pool: &Pool, turn: Turn, places: usize) -> bool {
        let Some(turns) = self.waiting.get(pool) else {
            return places > 0;
        };
        turns.range(..turn).take(places).count() < places
    }

    fn remove(&mut self, pool: &Pool, turn: Turn) {
        if let Some(turns) = self.waiting.get_mut(pool) {
            turns.remove(&turn);
            if turns.is_empty() {
                self.waiting.remove(pool);
            }
        }
    }
}

fn pool_of(request: &RequestState) -> Pool {
    let generation = request.head.generation.as_ref();
    let model = generation.map(|it| it.model.clone());
    (request.service.clone(), model)
}

/// The turn before all others of the same rank and arrival.
fn first_turn(request: &RequestState) -> Turn {
    Turn {
        rank: request.priority(),
        arrived_at: request.arrived_at,
        number: 0,
    }
}

impl Gate {
    /// Records that an upstream, in an answer of the given incarnation, asked for no requests
    /// for a period. Returns whether a rest begins with that; it may also prolong one.
    pub fn record_rest(
        &mut self,
        now: Time,
        id: UpstreamId,
        incarnation: u64,
        period: Duration,
    ) -> bool {
        let until = now + period.min(MAX_REST_PERIOD);
        let upstream = self.upstreams.get_mut(id);
        let is_longer = upstream.rest.is_none_or(|rest| rest.until < until);
        if upstream.registration.started_ms != incarnation || !is_longer || until <= now {
            return false;
        }
        let begins = !upstream.is_resting(now);
        upstream.rest = Some(Rest {
            until,
            dispatched: 0,
        });
        begins
    }

    /// Time until which an upstream wants no requests from this host; `None` if it does not
    /// rest now.
    #[must_use]
    pub fn rest_until(&self, now: Time, id: UpstreamId) -> Option<Time> {
        let rest = self.upstreams.get(id).rest?;
        (now < rest.until).then_some(rest.until)
    }

    /// Whether an upstream wants no requests from this host now.
    #[must_use]
    pub fn is_resting(&self, now: Time, id: UpstreamId) -> bool {
        self.upstreams.get(id).is_resting(now)
    }

    /// Ends a request's wait for a rest to be over.
    pub(crate) fn leave_rest_queue(&mut self, request: &mut RequestState) {
        if let Some(turn) = request.rest_turn.take() {
            self.rest_queue.remove(&pool_of(request), turn);
        }
    }

    fn enter_rest_queue(&mut self, request: &mut RequestState) {
        self.rest_queue.last_number += 1;
        let turn = Turn {
            number: self.rest_queue.last_number,
            ..first_turn(request)
        };
        request.rest_turn = Some(turn);
        let waiting = &mut self.rest_queue.waiting;
        waiting.entry(pool_of(request)).or_default().insert(turn);
    }

    /// Holds a request back whose selected upstream has just rested, if more urgent ones fill
    /// its places.
    pub(crate) fn turn_decision(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
    ) -> Option<Decision> {
        let places = self.upstreams.get(id).places_after_rest(now)?;
        let pool = pool_of(request);
        if !self.rest_queue.is_waiting(&pool) {
            return None;
        }
        let places = usize::try_from(places).unwrap_or(usize::MAX);
        if self
            .rest_queue
            .has_place(&pool, first_turn(request), places)
        {
            return None;
        }
        self.enter_rest_queue(request);
        Some(Decision::Hold(now + TURN_CHECK_DELAY))
    }

    /// The decision for a request that only upstreams without places after a rest could run: it
    /// waits for the first place if its deadline allows that. `None` if there are no such
    /// upstreams.
    pub(crate) fn rest_decision(
        &mut self,
        now: Time,
        request: &mut RequestState,
    ) -> Option<Decision> {
        let max_upstreams = usize::try_from(request.route.max_upstreams).unwrap_or(usize::MAX);
        let may_add = request.tried.len() < max_upstreams;
        let resting: Vec<(UpstreamId, Time)> = self
            .suitable(now, request)
            .filter(|(id, _)| may_add || request.tried.contains(id))
            .filter(|(_, upstream)| upstream.places_after_rest(now) == Some(0))
            .filter_map(|(id, upstream)| Some((id, upstream.rest?.next_place_at(now))))
            .collect();
        let first = resting.iter().map(|(_, at)| *at).min()?;
        if first >= request.deadline {
            if request.may_have_run {
                return Some(Decision::Fail);
            }
            return Some(Decision::Refuse(Refusal {
                reason: Reason::UpstreamResting,
                retry_after: Some(first.since(now)),
            }));
        }
        // What turned the request away before the rest may take it afterwards.
        let is_resting = |id: &UpstreamId| resting.iter().any(|(resting, _)| resting == id);
        request.excluded.retain(|id| !is_resting(id));
        self.enter_rest_queue(request);
        Some(Decision::Hold(first))
    }

    /// Records a dispatch in the pacing of the upstream's return from a rest.
    pub(crate) fn record_place_taken(&mut self, now: Time, id: UpstreamId) {
        let upstream = self.upstreams.get_mut(id);
        if upstream.places_after_rest(now).is_none() {
            upstream.rest = None;
        } else if let Some(rest) = &mut upstream.rest {
            rest.dispatched += 1;
        }
    }
}
