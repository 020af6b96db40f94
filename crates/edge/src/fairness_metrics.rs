//! Metrics and log fields of requests that give way to those of other callers.

use crate::metrics::registered;
use mulberryrack_gate::RequestState;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Less urgent ranks share the label of this one, as they share figures in the gate.
const LEAST_URGENT_RANK: u8 = 9;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    rank: u32,
}

/// The metrics of one host.
pub struct FairnessMetrics {
    refused: Family<Labels, Counter>,
}

impl FairnessMetrics {
    /// Creates the metrics, all at zero, and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        Self {
            refused: registered(
                registry,
                "fairness_refused",
                "Requests that were refused in favour of other callers, by rank",
                Family::default(),
            ),
        }
    }

    /// Counts a request that was refused, if it would have been admitted without competitors.
    pub fn record_refused(&self, state: &RequestState) {
        if state.has_given_way() {
            let rank = u32::from(state.priority().min(LEAST_URGENT_RANK));
            self.refused.get_or_create(&Labels { rank }).inc();
        }
    }
}

/// The part of the usual limit on the expected wait that a request might use, for the log; `-` where
/// capacity is not shared between callers.
pub fn allowed(state: &RequestState) -> String {
    let allowed = state.allowed_share();
    allowed.map_or_else(|| "-".to_owned(), |share| format!("{share:.2}"))
}
