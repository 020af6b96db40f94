//! The operators' configuration: routes, services, limits on callers.

use mulberryrack_core::Name;
use std::{sync::Arc, time::Duration};

/// One accepted version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Rises with each accepted change, in uneven steps.
    pub version: u64,
    /// Routes by no particular order.
    pub routes: Vec<Arc<Route>>,
    /// Services that routes lead to.
    pub services: Vec<Service>,
    /// What a caller may send, and how long it may take.
    pub limits: Limits,
}

impl Config {
    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// The route with the longest prefix of `path` on `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|route| &*route.host == host && path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It may run once for each attempt of the caller.
    Once,
    /// Its stream may go on at another upstream after the last event that was passed on.
    Resumable,
}

/// Where requests with a path under a prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Host name that callers use.
    pub host: Name,
    /// Begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub objective: Duration,
    /// Longest pause between two events that is on time.
    pub gap: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their shares of the requests.
    pub targets: Vec<(Name, u32)>,
    /// Most upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u32,
}

/// Upstreams that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// Most connections that one of its upstreams takes from all hosts together.
    pub max_connections: u32,
    /// What its upstreams hold, where they are model engines.
    pub engine: Option<Engine>,
}

/// What each model engine of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Megabytes for weights and adapters together.
    pub weights_mb: f64,
    /// Most adapters on one engine, those on their way included.
    pub adapter_places: u32,
    /// Loads from the weight store that may begin in a second, over all engines.
    pub loads_per_s: f64,
    /// Models that may be asked for.
    pub models: Vec<Model>,
}

impl Engine {
    /// The model with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Unique name.
    pub name: Name,
    /// Megabytes of its weights.
    pub weights_mb: f64,
    /// Time of a load from the weight store when few others run.
    pub load: Duration,
    /// Number of adapters.
    pub adapters: u32,
    /// Megabytes of each adapter.
    pub adapter_mb: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send a head.
    pub head_timeout: Duration,
    /// Time that a connection may stay unused.
    pub idle_timeout: Duration,
}
