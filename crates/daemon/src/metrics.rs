//! The daemon's metrics in the Prometheus text format.

use mulberryrack_core::{kv::Op, note::Counter as HostCounter};
use mulberryrack_edge::registered;
use mulberryrack_host::Area;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::time::Duration;

/// Upper bounds, in seconds, of the histogram buckets for the time of one decision.
const DECISION_BUCKETS: [f64; 8] = [5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 1e-3, 1e-2, 1e-1];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    area: &'static str,
    op: &'static str,
}

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refused: Family<ReasonLabels, Counter>,
    unknown: Family<ReasonLabels, Counter>,
    retried: Family<ReasonLabels, Counter>,
    events: Family<EventLabels, Counter>,
    kv_calls: Family<CallLabels, Counter>,
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
    /// Registers all metrics, at zero.
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
            unknown: registered(
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

    /// Adds one to the metric for a counter of the host: by reason for refused, unknown and
    /// retried requests, otherwise by event name.
    pub fn count(&self, counter: HostCounter) {
        let reason = |reason| ReasonLabels { reason };
        match counter {
            HostCounter::Refused(refusal) => {
                self.refused.get_or_create(&reason(refusal.label())).inc()
            }
            HostCounter::Unknown(doubt) => self.unknown.get_or_create(&reason(doubt.label())).inc(),
            HostCounter::Retried(retry) => self.retried.get_or_create(&reason(retry.label())).inc(),
            other => self
                .events
                .get_or_create(&EventLabels {
                    event: other.label(),
                })
                .inc(),
        };
    }

    /// Counts a call to the key-value service.
    pub fn count_kv_call(&self, area: Area, op: &Op) {
        let call = CallLabels {
            area: area.label(),
            op: op.label(),
        };
        self.kv_calls.get_or_create(&call).inc();
    }

    /// Adds to the number of bytes sent to other hosts.
    pub fn add_peer_bytes(&self, bytes: u64) {
        self.peer_bytes.inc_by(bytes);
    }

    /// Records the time that the host took to handle one event.
    pub fn observe_decision(&self, time: Duration) {
        self.decisions.observe(time.as_secs_f64());
    }

    /// The metrics in the text format; `requests` is the present number of open requests.
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
