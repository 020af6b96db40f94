//! What would be decided about a request now, without a trace in the gate's state.

use crate::{
    gate::Gate,
    request::{Decision, RequestState},
    upstreams::UpstreamState,
};
use mulberryrack_core::{Name, Time, outcome::Refusal};
use mulberryrack_site::{RequestHead, organisation::Organisation};
use std::sync::Arc;

/// The decision about a request, and how the upstreams of its service were considered.
#[derive(Clone, Debug)]
pub struct Preview {
    /// Name of the route.
    pub route: Name,
    /// The service that was selected for the request.
    pub service: Name,
    /// Rank of the request, 0 the most urgent.
    pub rank: u8,
    /// The registered upstreams of the service: eligible ones first, by their cost.
    pub upstreams: Vec<Considered>,
    /// What would be done with the request.
    pub decision: Decision,
}

/// How an upstream was considered.
#[derive(Clone, Debug, PartialEq)]
pub struct Considered {
    /// Name of the upstream.
    pub name: Name,
    /// Whether it could run the request, and the estimates if so.
    pub standing: Standing,
}

/// Whether an upstream could run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It could. Times are in milliseconds.
    Eligible {
        /// Cost by which the upstreams are compared.
        cost_ms: f64,
        /// Time to read the prompts that were sent there before.
        backlog_ms: f64,
        /// Time to read the part of the prompt that should not be cached there.
        read_ms: f64,
        /// Estimated requests there.
        requests: f64,
        /// How long requests take there, as a multiple of the usual time.
        slowness: f64,
        /// Whether it is selected only if all others have failed lately, too.
        in_cooldown: bool,
    },
    /// It will end as planned.
    Leaving,
    /// It does not have the model or adapter in memory.
    WithoutModel,
    /// It has asked for no requests for a while.
    Resting,
}

impl Standing {
    /// Name of the variant in the operators' interface.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Eligible { .. } => "eligible",
            Self::Leaving => "leaving",
            Self::WithoutModel => "without-model",
            Self::Resting => "resting",
        }
    }

    /// Eligible upstreams come first, the cheapest one at the front.
    fn order(&self) -> f64 {
        match self {
            Self::Eligible { cost_ms, .. } => *cost_ms,
            _ => f64::INFINITY,
        }
    }
}

impl Gate {
    /// Decides about a request that belongs to `organisation` as if it had arrived now. Works on a
    /// copy of the state, so that it takes time in proportion to the size of the state.
    ///
    /// # Errors
    ///
    /// Why the request would be refused on its arrival.
    pub fn preview(
        &self,
        now: Time,
        head: RequestHead,
        fingerprint: u128,
        organisation: Option<Arc<Organisation>>,
    ) -> Result<Preview, Refusal> {
        let mut gate = self.clone();
        let mut request = gate.admit(now, head, fingerprint)?;
        request.organisation = organisation;
        let rng = gate.rng.clone();
        let upstreams = gate.consider(now, &request);
        // The decision takes the same random numbers as the estimates above.
        gate.rng = rng;
        let decision = gate.decide(now, &mut request, None);
        Ok(Preview {
            route: request.route.name.clone(),
            service: request.service.clone(),
            rank: request.priority(),
            upstreams,
            decision,
        })
    }

    fn consider(&mut self, now: Time, request: &RequestState) -> Vec<Considered> {
        let of_service = |upstream: &UpstreamState| {
            upstream.registered && upstream.registration.service == request.service
        };
        let all = self.upstreams.iter();
        let ids: Vec<_> = all
            .filter(|(_, upstream)| of_service(upstream))
            .map(|(id, _)| id)
            .collect();
        let eligible: Vec<_> = self.eligible(now, request).collect();
        let suitable: Vec<_> = self.suitable(now, request).map(|(id, _)| id).collect();
        let mut considered = Vec::with_capacity(ids.len());
        for id in ids {
            let upstream = self.upstreams.get(id);
            let name = upstream.registration.id.clone();
            let in_cooldown = upstream.cooldown_until > now;
            let standing = if eligible.contains(&id) {
                let candidate = self.candidate(now, id, request, &eligible);
                Standing::Eligible {
                    cost_ms: candidate.cost,
                    backlog_ms: candidate.backlog_ms,
                    read_ms: candidate.read_ms,
                    requests: candidate.requests,
                    slowness: candidate.slowness,
                    in_cooldown,
                }
            } else if suitable.contains(&id) {
                Standing::Resting
            } else if upstream.accepts_requests() {
                Standing::WithoutModel
            } else {
                Standing::Leaving
            };
            considered.push(Considered { name, standing });
        }
        considered.sort_by(|one, other| one.standing.order().total_cmp(&other.standing.order()));
        considered
    }
}
