//! Admits requests to the engine that was selected for them: dispatches them at once, holds them
//! back while the engine has too much to read, or refuses those that would be too late.

use crate::{
    choice::Candidate,
    fairness::Step,
    gate::{Gate, refuse_or_fail},
    request::{Decision, RequestState},
    upstreams::EVENT_INTERVAL,
};
use mulberryrack_core::{Name, Time, outcome::Reason};
use mulberryrack_site::Config;
use std::{collections::BTreeMap, time::Duration};

/// Share of its latency target for which a request has to wait before it may lengthen the
/// event gaps of other streams.
const PRESSURE_START: f64 = 0.5;
/// Gap target for the streams of services without one: as long as the users' longest.
const DEFAULT_GAP_TARGET: Duration = Duration::from_millis(600);
/// Bounds on the delay in milliseconds before a held request is decided on again.
const MIN_HOLD_MS: f64 = 5.0;
const MAX_HOLD_MS: f64 = 60.0;
/// Bounds on the delay in milliseconds after which a caller whose request would miss its
/// latency target is told to try again. The delay is half of the time that the request would
/// wait for the engine.
const MIN_OVERLOAD_RETRY_MS: f64 = 300.0;
const MAX_OVERLOAD_RETRY_MS: f64 = 2_000.0;
/// Time from the first requests for a model to the planner's order to load a copy.
const PLAN_DELAY: Duration = Duration::from_millis(500);
/// A caller comes back within its remaining time divided by this, so that it can be served then.
const RETURN_DIVISOR: u32 = 3;

/// Cap on the number of hosts that are assumed to hold back as many requests as this one.
/// With more hosts, one request held here says little about the others.
const MAX_SIMILAR_HOSTS: u32 = 8;

impl Gate {
    /// Holds a request back before its first run while the engine has too many prompts to
    /// read, and refuses it if its first event would miss the latency target.
    pub(crate) fn admission_decision(
        &mut self,
        now: Time,
        request: &mut RequestState,
        candidate: &Candidate,
    ) -> Option<Decision> {
        if request.head.generation.is_none() || request.may_have_run {
            return None;
        }
        let latency_target_ms = request.route.latency_target.as_secs_f64() * 1_000.0;
        let waited_ms = now.since(request.arrived_at).as_secs_f64() * 1_000.0;
        let pressure = (waited_ms / latency_target_ms - PRESSURE_START).max(0.0);
        let is_even = self.is_balanced_evenly(&request.service);
        let reading_share = if is_even {
            self.even_reading_share(candidate.slowness)
        } else {
            self.tuning.reading_share
        };
        let is_shared = is_even && self.has_organisations();
        let fair_share = if is_shared {
            self.allowed_share(now, request)
        } else {
            1.0
        };
        let period_share = reading_share * (1.0 + pressure) * fair_share;
        let gap_target = self
            .gap_targets
            .get(&request.service)
            .copied()
            .unwrap_or(DEFAULT_GAP_TARGET);
        let allowed_ms = gap_target.as_secs_f64() * 1_000.0 * period_share;
        let may_read_now =
            candidate.reading_ms <= 0.0 || candidate.reading_ms + candidate.read_ms <= allowed_ms;
        let event_interval_ms = EVENT_INTERVAL.as_secs_f64() * 1_000.0;
        let pause_ms = if may_read_now { 0.0 } else { event_interval_ms };
        // Requests that were held before take precedence over new ones.
        let held_ms = if request.was_held {
            0.0
        } else {
            self.held_before(now, request, candidate.id)
                * f64::from(self.host_count.min(MAX_SIMILAR_HOSTS))
        };
        let queue_ms = candidate.backlog_ms + held_ms + pause_ms;
        let late_share = if is_even {
            self.tuning.even_late_share
        } else {
            self.tuning.late_share
        };
        let limit_ms = latency_target_ms * late_share;
        let wait_ms = waited_ms + queue_ms;
        let step = if wait_ms + candidate.read_ms > limit_ms {
            Step::Refuse
        } else if candidate.backlog_ms > event_interval_ms && wait_ms > limit_ms * fair_share {
            Step::GiveWay
        } else if may_read_now {
            Step::Admit
        } else {
            Step::Hold
        };
        if is_shared {
            self.record_admission(now, request, candidate.read_ms, step);
        }
        if matches!(step, Step::Refuse | Step::GiveWay) {
            let retry_after_ms =
                (queue_ms / 2.0).clamp(MIN_OVERLOAD_RETRY_MS, MAX_OVERLOAD_RETRY_MS);
            let wait = Duration::from_secs_f64(retry_after_ms / 1_000.0);
            let wait = self.return_delay(now, request, wait);
            return Some(refuse_or_fail(request, Reason::Overload, Some(wait)));
        }
        if may_read_now {
            return None;
        }
        let prompt = request.hold_at(candidate.id, candidate.read_ms);
        self.upstreams.get_mut(candidate.id).held.add(prompt);
        let wait = (candidate.backlog_ms + pause_ms).clamp(MIN_HOLD_MS, MAX_HOLD_MS);
        Some(Decision::Hold(
            now + Duration::from_secs_f64(wait / 1_000.0),
        ))
    }

    /// Share of the gap target for which an engine may read prompts at a time, under the rule even. Where
    /// speeds are shared, it depends on the engine's. The
    /// reading times include its slowness. An event of a running stream waits for some pieces of the
    /// prompts, each of which takes that much longer too: a slow engine gets a shorter period, down to
    /// that of an engine that reads without interruption.
    fn even_reading_share(&self, slowness: f64) -> f64 {
        if !self.tuning.shares_speeds {
            return self.tuning.even_reading_share;
        }
        let slowness = slowness.max(1.0);
        let share = self.tuning.even_reading_share / (slowness * slowness);
        share.max(self.tuning.reading_share)
    }

    /// The delay after which a caller is told to try again that would come back too late for the
    /// latency target after `wait`: then it may as well come back when the planner has had the
    /// time to load one more copy of the model.
    pub(crate) fn return_delay(
        &self,
        now: Time,
        request: &RequestState,
        wait: Duration,
    ) -> Duration {
        let is_late = now.since(request.arrived_at) + wait >= request.route.latency_target;
        match self.load_delay(request) {
            Some(delay) if is_late => {
                let max_wait = request.remaining(now) / RETURN_DIVISOR;
                wait.max(delay.min(max_wait))
            }
            _ => wait,
        }
    }

    /// Time from the first requests for a request's model until the planner may have loaded one
    /// more copy of it; `None` if it needs no model.
    pub(crate) fn load_delay(&self, request: &RequestState) -> Option<Duration> {
        let model = &request.head.generation.as_ref()?.model;
        let service = self.config()?.service(&request.service)?;
        let load_time = service.engine.as_ref()?.model(model)?.load_time;
        Some(load_time + PLAN_DELAY)
    }
}

/// For each service, the shortest gap target among its routes.
pub(crate) fn shortest_gap_targets(config: &Config) -> BTreeMap<Name, Duration> {
    let mut gap_targets = BTreeMap::new();
    for route in &config.routes {
        let Some(gap) = route.gap_target else {
            continue;
        };
        for (service, _) in &route.services {
            let gap_target = gap_targets.entry(service.clone()).or_insert(gap);
            *gap_target = gap.min(*gap_target);
        }
    }
    gap_targets
}
