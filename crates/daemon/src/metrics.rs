//! Counters and gauges in the Prometheus text form.

use mulberryrack_core::{kv::Op, note::Counter as Event};
use mulberryrack_host::Area;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::time::Duration;

/// Upper bounds of the buckets for the time of one decision, in seconds.
const DECISION_BUCKETS: [f64; 8] = [5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 1e-3, 1e-2, 1e-1];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    event: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Call {
    area: &'static str,
    op: &'static str,
}

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refused: Family<Reason, Counter>,
    doubted: Family<Reason, Counter>,
    retried: Family<Reason, Counter>,
    events: Family<Kind, Counter>,
    kv_calls: Family<Call, Counter>,
    peer_bytes: Counter,
    requests: Gauge,
    decisions: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("mulberryrack");
        let metrics = Self {
            refused: Family::default(),
            doubted: Family::default(),
            retried: Family::default(),
            events: Family::default(),
            kv_calls: Family::default(),
            peer_bytes: Counter::default(),
            requests: Gauge::default(),
            decisions: Histogram::new(DECISION_BUCKETS),
            registry: Registry::default(),
        };
        registry.register(
            "requests_refused",
            "Requests refused without having run",
            metrics.refused.clone(),
        );
        registry.register(
            "requests_unknown",
            "Requests whose outcome is not known",
            metrics.doubted.clone(),
        );
        registry.register(
            "attempts_retried",
            "Attempts made again",
            metrics.retried.clone(),
        );
        registry.register("events", "Events by name", metrics.events.clone());
        registry.register(
            "kv_calls",
            "Calls to the key-value service",
            metrics.kv_calls.clone(),
        );
        registry.register(
            "peer_sent_bytes",
            "Bytes of messages sent to hosts",
            metrics.peer_bytes.clone(),
        );
        registry.register(
            "requests_open",
            "Requests without a final answer",
            metrics.requests.clone(),
        );
        registry.register(
            "decision_seconds",
            "Time to decide on one event",
            metrics.decisions.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }

    /// Counts an event of the host.
    pub fn count(&self, event: Event) {
        let reason = |reason| Reason { reason };
        match event {
            Event::Refused(refusal) => self.refused.get_or_create(&reason(refusal.label())).inc(),
            Event::Doubted(doubt) => self.doubted.get_or_create(&reason(doubt.label())).inc(),
            Event::Retried(retry) => self.retried.get_or_create(&reason(retry.label())).inc(),
            other => self
                .events
                .get_or_create(&Kind {
                    event: other.label(),
                })
                .inc(),
        };
    }

    /// Counts a call to the key-value service.
    pub fn kv_call(&self, area: Area, op: &Op) {
        let call = Call {
            area: area.label(),
            op: op.label(),
        };
        self.kv_calls.get_or_create(&call).inc();
    }

    /// Counts bytes sent to hosts.
    pub fn peer_sent(&self, bytes: u64) {
        self.peer_bytes.inc_by(bytes);
    }

    /// Notes the time that one decision took.
    pub fn decided(&self, time: Duration) {
        self.decisions.observe(time.as_secs_f64());
    }

    /// The metrics as text.
    #[must_use]
    pub fn text(&self, requests: usize) -> String {
        self.requests
            .set(i64::try_from(requests).unwrap_or(i64::MAX));
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
