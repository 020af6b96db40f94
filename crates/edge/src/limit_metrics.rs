//! Metrics of upstreams that take a limited number of requests a second.

use crate::metrics::registered;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// The metrics of one host.
pub struct LimitMetrics {
    /// Number of registered upstreams that have stated a limit.
    pub upstreams: Gauge,
    /// Stated limits that could not be read.
    pub malformed: Counter,
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
        }
    }
}
