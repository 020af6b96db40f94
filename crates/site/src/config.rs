//! The operators' configuration: routes, services and limits on callers.

use crate::organisation::Organisations;
use mulberryrack_core::Name;
use std::{sync::Arc, time::Duration};

/// One accepted version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Increases with each accepted change, not always by one.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// Services that the routes name.
    pub services: Vec<Service>,
    /// Limits on the size and duration of callers' requests.
    pub limits: Limits,
    /// The organisations that callers belong to; `None` if callers need no keys.
    pub organisations: Option<Organisations>,
}

impl Config {
    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// The route for `path` on the host name `host`: the one with the longest prefix among
    /// the routes that match.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|route| &*route.host == host && path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

/// Whether a request that may already have run may be sent to an upstream again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once for each attempt of the caller.
    AtMostOnce,
    /// The request is a stream that another upstream can resume after the last event that
    /// was passed on to the caller.
    Resumable,
}

/// A rule that sends all requests with one host name and path prefix to its services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique among the routes.
    pub name: Name,
    /// Host name that the request must have.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Whether a request of this route may run again.
    pub retry_policy: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time that a caller waits for the answer.
    pub timeout: Duration,
    /// Target for the time to the whole answer or, for a stream, to its first event.
    pub latency_target: Duration,
    /// Target for the longest pause between two events of a stream; `None` sets no target.
    pub gap_target: Option<Duration>,
    /// Rank of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the route's requests, each with its share of them. Shares are
    /// weights relative to their sum.
    pub services: Vec<(Name, u32)>,
    /// Most upstreams to which one attempt of a caller may be dispatched.
    pub max_upstreams: u32,
    /// Whether requests need no key where the configuration has organisations.
    pub public: bool,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique among the services.
    pub name: Name,
    /// Path of the health check, whose answer names the upstream; `None` if there is none.
    pub health_path: Option<Name>,
    /// Most connections that one upstream of the service takes from all hosts together.
    pub max_connections: u32,
    /// Capacity of the service's model engines; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// Capacity of each model engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Memory for model weights and adapters together, in megabytes.
    pub weights_mb: f64,
    /// Most adapters on one engine, including adapters that are still being loaded.
    pub adapter_slots: u32,
    /// Loads from the weight store that may begin per second, over all engines of the
    /// service. The weight store is the shared storage with the weights of all models.
    pub loads_per_s: f64,
    /// Models that the service offers.
    pub models: Vec<Model>,
}

impl EngineSpec {
    /// Returns the model with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }
}

/// A base model and its adapters.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Unique among the models of the service.
    pub name: Name,
    /// Size of the weights in megabytes.
    pub weights_mb: f64,
    /// Time to load the weights from the weight store while few other loads run.
    pub load_time: Duration,
    /// Number of adapters; they are named `a1`, `a2` and so on.
    pub adapter_count: u32,
    /// Size of each adapter in megabytes.
    pub adapter_mb: f64,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Time within which the whole head must arrive.
    pub head_timeout: Duration,
    /// Time after which an unused connection may be closed.
    pub idle_timeout: Duration,
}
