//! Metrics of upstreams that take a limited number of requests a second.

use crate::metrics::registered;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TokenLabels {
    event: &'static str,
}

/// The metrics of one host.
pub struct LimitMetrics {
    /// Number of registered upstreams that have stated a limit.
    pub upstreams: Gauge,
    /// Stated limits that could not be read.
    pub malformed: Counter,
    tokens: Family<TokenLabels, Counter>,
}

impl LimitMetrics {
    /// Creates the metrics, all at zero, and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        Self {
            upstreams: registered(
                registry,
                "limited_upstreams",
                "Upstreams that take a limited number of requests a second",
                Gauge::default(),
            ),
            malformed: registered(
                registry,
                "malformed_limits",
                "Stated limits on requests that could not be read",
                Counter::default(),
            ),
            tokens: registered(
                registry,
                "limit_tokens",
                "Requests to upstreams with a limit, and what became of their tokens",
                Family::default(),
            ),
        }
    }

    /// Counts what became of tokens: `given` by this host; `used` by requests of this host, or
    /// `denied` to them; sent as a part of this host's `share`; a host that gives them `silent`.
    pub fn record_tokens(&self, event: &'static str, count: u64) {
        if count > 0 {
            self.tokens
                .get_or_create(&TokenLabels { event })
                .inc_by(count);
        }
    }
}
