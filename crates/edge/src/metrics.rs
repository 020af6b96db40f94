//! The host's metrics, served in the Prometheus text format.

use crate::{
    caller_metrics::CallerMetrics, fairness_metrics::FairnessMetrics, limit_metrics::LimitMetrics,
    traffic::Traffic, usage_metrics::UsageMetrics,
};
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
use std::{sync::atomic::AtomicU64, time::Duration};

/// Labels of the counter of ended requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    /// How the request ended: `ran`, `refused`, `failed` or `abandoned`.
    outcome: &'static str,
    /// Why the request was refused, failed or was abandoned; empty if it ran.
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

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProofLabels {
    /// `service` or `host`.
    source: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CrashLabels {
    sign: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProbeLabels {
    finding: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReaderLabels {
    reader: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BodyLabels {
    framing: &'static str,
    end: &'static str,
}

fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    registered(registry, name, help, Gauge::default())
}

fn config_age(registry: &mut Registry) -> Gauge<f64, AtomicU64> {
    let name = "configuration_age_seconds";
    let help = "Time since the configuration in force was last shown to be the newest one";
    registered(registry, name, help, Gauge::default())
}

fn store_calls(registry: &mut Registry) -> Family<CallLabels, Counter> {
    let help = "Calls to the key-value service";
    registered(registry, "store_calls", help, Family::default())
}

fn proofs(registry: &mut Registry) -> Family<ProofLabels, Counter> {
    let help = "Proofs that the configuration in force is the newest one, by their source";
    registered(registry, "configuration_proofs", help, Family::default())
}

/// Registers a metric under a name and returns it.
pub fn registered<M: Metric + Clone>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    metric: M,
) -> M {
    registry.register(name, help, metric.clone());
    metric
}

/// The metrics of one host.
pub struct Metrics {
    registry: Registry,
    requests: Family<EndLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    store_calls: Family<CallLabels, Counter>,
    proofs: Family<ProofLabels, Counter>,
    orders: Family<CallLabels, Counter>,
    upstream_crashes: Family<CrashLabels, Counter>,
    upstream_probes: Family<ProbeLabels, Counter>,
    excessive_answers: Family<ReaderLabels, Counter>,
    answer_bodies: Family<BodyLabels, Counter>,
    first_event_seconds: Histogram,
    request_seconds: Histogram,
    lateness_seconds: Histogram,
    /// What crosses the host's link.
    pub traffic: Traffic,
    /// What is held for callers.
    pub callers: CallerMetrics,
    /// Number of admitted requests without a final answer.
    pub open_requests: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Time since the configuration in force was last shown to be the newest one.
    pub config_age_seconds: Gauge<f64, AtomicU64>,
    /// Number of registered upstreams.
    pub upstreams: Gauge,
    /// Upstreams that take a limited number of requests a second.
    pub limits: LimitMetrics,
    /// Quotas of organisations.
    pub usage: UsageMetrics,
    /// Requests that give way to those of other callers.
    pub fairness: FairnessMetrics,
    /// Number of requests with evidence that they were in flight on a crash.
    pub suspected_requests: Gauge,
    /// Number of requests that are refused because they crash upstreams.
    pub refused_requests: Gauge,
    /// Number of parts of prompts that were in flight on a crash.
    pub suspected_parts: Gauge,
    /// Number of parts of prompts that are refused because they crash upstreams.
    pub refused_parts: Gauge,
}

impl Metrics {
    /// Creates the metrics, all at zero, and registers them.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("mulberryrack");
        let buckets = || exponential_buckets(0.005, 2.0, 13);
        Self {
            requests: registered(
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
            store_calls: store_calls(&mut registry),
            proofs: proofs(&mut registry),
            orders: registered(
                &mut registry,
                "orders",
                "Orders to engines by verdict",
                Family::default(),
            ),
            upstream_crashes: registered(
                &mut registry,
                "upstream_crashes",
                "Crashes of upstreams with requests of this host in flight, by how they were noticed",
                Family::default(),
            ),
            excessive_answers: registered(
                &mut registry,
                "excessive_answers",
                "Answers of upstreams with more bytes than are read, by what was asked",
                Family::default(),
            ),
            answer_bodies: registered(
                &mut registry,
                "answer_bodies",
                "Bodies of upstreams' answers, by what marks their end and how they ended",
                Family::default(),
            ),
            upstream_probes: registered(
                &mut registry,
                "upstream_probes",
                "Probes of upstreams on which a dispatch broke, by what they found",
                Family::default(),
            ),
            limits: LimitMetrics::new(&mut registry),
            usage: UsageMetrics::new(&mut registry),
            fairness: FairnessMetrics::new(&mut registry),
            suspected_requests: gauge(
                &mut registry,
                "suspected_requests",
                "Requests that were in flight on a crash",
            ),
            refused_requests: gauge(
                &mut registry,
                "refused_requests",
                "Requests that are refused because they crash upstreams",
            ),
            suspected_parts: gauge(
                &mut registry,
                "suspected_parts",
                "Parts of prompts that were in flight on a crash",
            ),
            refused_parts: gauge(
                &mut registry,
                "refused_parts",
                "Parts of prompts that are refused because they crash upstreams",
            ),
            first_event_seconds: registered(
                &mut registry,
                "first_event_seconds",
                "Arrival to first event",
                Histogram::new(buckets()),
            ),
            request_seconds: registered(
                &mut registry,
                "request_seconds",
                "Arrival to end",
                Histogram::new(buckets()),
            ),
            lateness_seconds: registered(
                &mut registry,
                "thread_lateness_seconds",
                "How late the host's thread was, ten times a second",
                Histogram::new(buckets()),
            ),
            traffic: Traffic::new(&mut registry),
            callers: CallerMetrics::new(&mut registry),
            open_requests: gauge(&mut registry, "open_requests", "Requests without an end"),
            config_version: gauge(&mut registry, "config_version", "Configuration in force"),
            config_age_seconds: config_age(&mut registry),
            upstreams: gauge(&mut registry, "upstreams", "Upstreams that are listed"),
            registry,
        }
    }

    /// Counts the end of a request, which arrived `elapsed` ago.
    pub fn record_end(&self, outcome: &'static str, reason: &'static str, elapsed: Duration) {
        self.requests
            .get_or_create(&EndLabels { outcome, reason })
            .inc();
        self.request_seconds.observe(elapsed.as_secs_f64());
    }

    /// Records the time from a request's arrival to the first event of its answer.
    pub fn record_first_event(&self, elapsed: Duration) {
        self.first_event_seconds.observe(elapsed.as_secs_f64());
    }

    /// Records how late the host's thread was.
    pub fn record_lateness(&self, late: Duration) {
        self.lateness_seconds.observe(late.as_secs_f64());
    }

    /// Counts a dispatch that did not end with an answer for the caller, by the reason of
    /// the retry that it was; `none` for the first dispatch of a request.
    pub fn record_retry(&self, reason: &'static str) {
        self.retries.get_or_create(&RetryLabels { reason }).inc();
    }

    /// Counts a call to the key-value service.
    pub fn record_store_call(&self, operation: &'static str, answered: bool) {
        let answered = if answered { "yes" } else { "no" };
        self.store_calls
            .get_or_create(&CallLabels {
                operation,
                answered,
            })
            .inc();
    }

    /// Counts a proof that the configuration in force is the newest one, by its source.
    pub fn record_proof(&self, source: &'static str) {
        self.proofs.get_or_create(&ProofLabels { source }).inc();
    }

    /// Counts a crash of an upstream, by how it was noticed.
    pub fn record_crash(&self, sign: &'static str) {
        self.upstream_crashes
            .get_or_create(&CrashLabels { sign })
            .inc();
    }

    /// Counts a probe of an upstream, by what it found.
    pub fn record_probe(&self, finding: &'static str) {
        self.upstream_probes
            .get_or_create(&ProbeLabels { finding })
            .inc();
    }

    /// Counts an answer with more bytes than are read, by what was asked.
    pub fn record_excess(&self, reader: &'static str) {
        self.excessive_answers
            .get_or_create(&ReaderLabels { reader })
            .inc();
    }

    /// Counts the body of an upstream's answer to a request, by what marks its end and how it
    /// ended.
    pub fn record_body(&self, framing: &'static str, end: &'static str) {
        self.answer_bodies
            .get_or_create(&BodyLabels { framing, end })
            .inc();
    }

    /// Counts an order and its outcome.
    pub fn record_order(&self, operation: &'static str, answered: &'static str) {
        self.orders
            .get_or_create(&CallLabels {
                operation,
                answered,
            })
            .inc();
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if text::encode(&mut text, &self.registry).is_err() {
            log::warn!(target: "edge", "event=metrics-not-encoded");
        }
        text
    }
}
