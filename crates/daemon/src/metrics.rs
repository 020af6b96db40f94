//! Counters and gauges in the Prometheus text form.

use mulberryrack_core::{kv::Op, note::Counter as Event};
use mulberryrack_edge::registered;
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
        Self {
            refused: registered(
                &mut registry,
                "requests_refused",
                "Requests refused without having run",
                Family::default(),
            ),
            doubted: registered(
                &mut registry,
                "requests_unknown",
                "Requests whose outcome is not known",
                Family::default(),
            ),
            retried: registered(
                &mut registry,
                "attempts_retried",
                "Attempts made again",
                Family::default(),
            ),
            events: registered(&mut registry, "events", "Events by name", Family::default()),
            kv_calls: registered(
                &mut registry,
                "kv_calls",
                "Calls to the key-value service",
                Family::default(),
            ),
            peer_bytes: registered(
                &mut registry,
                "peer_sent_bytes",
                "Bytes of messages sent to hosts",
                Counter::default(),
            ),
            requests: registered(
                &mut registry,
                "requests_open",
                "Requests without a final answer",
                Gauge::default(),
            ),
            decisions: registered(
                &mut registry,
                "decision_seconds",
                "Time to decide on one event",
                Histogram::new(DECISION_BUCKETS),
            ),
            registry,
        }
    }

    /// Counts an event of the host.
    pub fn count(&self, event: Event) {
        let reason = |reason| Reason { reason };
        match event {
            Event::Refused(refusal) => self.refused.get_or_create(&reason(refusal.label())).inc(),
            Event::Unknown(doubt) => self.doubted.get_or_create(&reason(doubt.label())).inc(),
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
