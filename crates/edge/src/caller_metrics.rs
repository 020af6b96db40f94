//! Metrics of what is held for callers.

use crate::metrics::registered;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// The metrics of one host. They stay at zero where the settings name no memory.
pub struct CallerMetrics {
    bytes: Gauge,
    evicted: Counter,
}

impl CallerMetrics {
    /// Creates the metrics, all at zero, and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        Self {
            bytes: registered(
                registry,
                "caller_bytes",
                "Bytes that are held for callers",
                Gauge::default(),
            ),
            evicted: registered(
                registry,
                "evicted_connections",
                "Connections and bodies of callers that gave way to others",
                Counter::default(),
            ),
        }
    }

    /// Records what is held, and how many connections and bodies gave way since the last time.
    pub fn record(&self, bytes: u64, evictions: u64) {
        self.bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.evicted.inc_by(evictions);
    }
}
