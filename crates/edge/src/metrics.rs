//! Counters and histograms, served as text.

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Metric, Registry},
};
use std::time::Duration;

/// Labels of a counted end of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    /// How it ended.
    outcome: &'static str,
    /// Why it was refused or given up; empty otherwise.
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    operation: &'static str,
    answered: &'static str,
}

/// Registers a metric under a name, and returns it.
pub fn registered<M: Metric + Clone>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    metric: M,
) -> M {
    registry.register(name, help, metric.clone());
    metric
}

/// What the host counts.
pub struct Metrics {
    registry: Registry,
    ends: Family<EndLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    orders: Family<CallLabels, Counter>,
    first: Histogram,
    whole: Histogram,
    /// Requests without a final answer.
    pub open: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Upstreams that are listed.
    pub upstreams: Gauge,
}

impl Metrics {
    /// Counters at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("mulberryrack");
        let buckets = || exponential_buckets(0.005, 2.0, 13);
        Self {
            ends: registered(
                &mut registry,
                "requests",
                "Requests by their end",
                Family::default(),
            ),
            retries: registered(
                &mut registry,
                "retries",
                "Requests sent once more",
                Family::default(),
            ),
            calls: registered(
                &mut registry,
                "store_calls",
                "Calls to the key-value service",
                Family::default(),
            ),
            orders: registered(
                &mut registry,
                "orders",
                "Orders to engines by verdict",
                Family::default(),
            ),
            first: registered(
                &mut registry,
                "first_event_seconds",
                "Arrival to first event",
                Histogram::new(buckets()),
            ),
            whole: registered(
                &mut registry,
                "request_seconds",
                "Arrival to end",
                Histogram::new(buckets()),
            ),
            open: registered(
                &mut registry,
                "open_requests",
                "Requests without an end",
                Gauge::default(),
            ),
            config_version: registered(
                &mut registry,
                "config_version",
                "Configuration in force",
                Gauge::default(),
            ),
            upstreams: registered(
                &mut registry,
                "upstreams",
                "Upstreams that are listed",
                Gauge::default(),
            ),
            registry,
        }
    }

    /// Takes the end of a request.
    pub fn ended(&self, outcome: &'static str, reason: &'static str, took: Duration) {
        self.ends
            .get_or_create(&EndLabels { outcome, reason })
            .inc();
        self.whole.observe(took.as_secs_f64());
    }

    /// Takes the first event of an answer.
    pub fn first_event(&self, took: Duration) {
        self.first.observe(took.as_secs_f64());
    }

    /// Takes a repeat.
    pub fn retried(&self, reason: &'static str) {
        self.retries.get_or_create(&RetryLabels { reason }).inc();
    }

    /// Takes a call to the key-value service.
    pub fn store_call(&self, operation: &'static str, answered: bool) {
        let answered = if answered { "yes" } else { "no" };
        self.calls
            .get_or_create(&CallLabels {
                operation,
                answered,
            })
            .inc();
    }

    /// Takes an order and its verdict.
    pub fn ordered(&self, operation: &'static str, answered: &'static str) {
        self.orders
            .get_or_create(&CallLabels {
                operation,
                answered,
            })
            .inc();
    }

    /// All of it, in the text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if text::encode(&mut text, &self.registry).is_err() {
            log::warn!(target: "edge", "event=metrics-not-encoded");
        }
        text
    }
}
