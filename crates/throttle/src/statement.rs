//! What an upstream has stated about the requests that it takes, as far as one host knows.

use mulberryrack_core::{Rate, Time};

/// What one answer of an upstream states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The limit over all hosts; `None` if the answer states none.
    pub limit: Option<Rate>,
    /// Time at which the request was sent. The upstream wrote the answer later.
    pub sent_at: Time,
    /// Time at which the answer arrived. The upstream wrote it before.
    pub heard_at: Time,
}

/// A limit that has begun, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The limit before; `None` if there was none.
    pub from: Option<Rate>,
    /// The limit from now on.
    pub to: Option<Rate>,
}

/// The limit of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Statement {
    /// The observation that tells most about now.
    latest: Option<Observation>,
}

impl Statement {
    /// The limit over all hosts.
    #[must_use]
    pub fn limit(&self) -> Option<Rate> {
        self.latest?.limit
    }

    /// The observation behind the limit, or behind its end.
    #[must_use]
    pub const fn latest(&self) -> Option<Observation> {
        self.latest
    }

    /// Takes an observation into account, and returns the change that it makes. Answers may
    /// overtake one another: one without a limit ends a limit only if its request was sent after
    /// the limit was last heard of, and a limit does not begin again by an answer that arrived
    /// before that request was sent.
    pub fn record(&mut self, observation: Observation) -> Option<Change> {
        if !self.is_news(&observation) {
            return None;
        }
        let change = Change {
            from: self.limit(),
            to: observation.limit,
        };
        self.latest = Some(observation);
        (change.from != change.to).then_some(change)
    }

    fn is_news(&self, observation: &Observation) -> bool {
        let Some(latest) = self.latest else {
            return observation.limit.is_some();
        };
        match (latest.limit, observation.limit) {
            (Some(_), Some(_)) => observation.heard_at >= latest.heard_at,
            (Some(_), None) => observation.sent_at > latest.heard_at,
            (None, Some(_)) => observation.heard_at > latest.sent_at,
            (None, None) => observation.sent_at > latest.sent_at,
        }
    }
}
