//! Upstreams that take a limited number of requests a second from all hosts together.

use crate::{gate::Gate, upstreams::UpstreamId};
use mulberryrack_core::Rate;
use mulberryrack_throttle::{Change, Observation, Statement};

/// What a host knows of the limit of one incarnation of an upstream.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    statement: Statement,
}

impl Gate {
    /// Records what an answer of an incarnation of an upstream states about the requests a second
    /// that it takes. Returns the change of its limit.
    pub fn record_limit(
        &mut self,
        id: UpstreamId,
        incarnation: u64,
        observation: Observation,
    ) -> Option<Change> {
        let upstream = self.upstreams.get_mut(id);
        if upstream.registration.started_ms != incarnation {
            return None;
        }
        upstream.limit.statement.record(observation)
    }

    /// The requests a second that an upstream takes from all hosts together; `None` if it has not
    /// stated a limit.
    #[must_use]
    pub fn limit(&self, id: UpstreamId) -> Option<Rate> {
        self.upstreams.get(id).limit.statement.limit()
    }

    /// Number of registered upstreams with a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let limited = self.upstreams.iter();
        limited
            .filter(|(_, it)| it.registered && it.limit.statement.limit().is_some())
            .count()
    }
}
