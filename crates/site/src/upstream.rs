//! What an upstream's registration, its reports and the heads of its answers say about it.

use mulberryrack_core::{Name, Rate};
use std::{net::SocketAddr, time::Duration};

/// The registration of an upstream: its entry in the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Unique name. An upstream that restarts may keep its name.
    pub id: Name,
    /// Start of the upstream in Unix milliseconds, or 0 if the start is unknown. Distinguishes
    /// two incarnations with the same name.
    pub started_ms: u64,
    /// Name of the service that the upstream belongs to.
    pub service: Name,
    /// Increases with each write of the registration by one incarnation. Older versions of
    /// the registration may arrive after newer ones.
    pub sequence: u64,
    /// Address on which the upstream accepts requests.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: Name,
    /// Number of requests that the upstream runs in parallel.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: State,
    /// Models in the engine's memory; empty for plain services.
    pub models: Vec<LoadedModel>,
    /// Models whose weights the engine has in the main memory of its machine or on its disk, so
    /// that it can load them without the weight store.
    pub local_weights: Vec<Name>,
}

impl Upstream {
    /// Whether this registration is older than `other`: it has an earlier start,
    /// or the same start and address and a lower sequence number.
    #[must_use]
    pub fn older_than(&self, other: &Self) -> bool {
        let same_incarnation = self.started_ms == other.started_ms && self.address == other.address;
        self.started_ms < other.started_ms || (same_incarnation && self.sequence < other.sequence)
    }

    /// Whether the model is in memory and, if `adapter` is given, this adapter of the model too.
    #[must_use]
    pub fn has_model(&self, model: &str, adapter: Option<&str>) -> bool {
        self.models.iter().any(|loaded| {
            &*loaded.model == model
                && adapter.is_none_or(|name| loaded.adapters.iter().any(|has| &**has == name))
        })
    }
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream is about to leave and accepts no new requests.
    Draining,
}

/// A model in an engine's memory, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// Name of the base model.
    pub model: Name,
    /// Adapters of the model that are in memory.
    pub adapters: Vec<Name>,
}

/// An engine's answer to a request for its state. The contents are some hundred
/// milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start of the engine in Unix milliseconds, or 0 if it is unknown.
    pub started_ms: u64,
    /// Models in the engine's memory.
    pub models: Vec<LoadedModel>,
    /// Adapters that are being loaded, as pairs of model and adapter.
    pub incoming_adapters: Vec<(Name, Name)>,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests in the engine's queue.
    pub waiting: u32,
}

/// The load that an upstream reports in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests in the upstream's queue.
    pub waiting: u32,
    /// Number of requests that the upstream can run in parallel.
    pub slots: u32,
    /// How long work takes on the upstream's machine at this moment, in hundredths of the usual
    /// time; `None` if the upstream does not say.
    pub work_time_percent: Option<u32>,
}

/// The fields of an upstream's answer head that the host evaluates itself; the other
/// headers are only passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// Id of the attempt that the upstream answers.
    pub attempt_id: Option<Name>,
    /// Name by which the upstream registers; `None` if the head does not have it.
    pub upstream: Option<Name>,
    /// Whether the upstream says that it has not run the request.
    pub not_run: bool,
    /// Whether the answer has the upstream's signature.
    pub signed: bool,
    /// The upstream's load; `None` if the head does not have it.
    pub load: Option<LoadReport>,
    /// How long the upstream keeps the connection open while it is unused.
    pub keep_alive: Option<Duration>,
    /// Whether the upstream closes the connection after this answer.
    pub close: bool,
    /// Which requests the upstream takes from now on.
    pub availability: Availability,
}

/// Which requests an upstream says in an answer that it takes from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// Time for which the upstream, which turned the request away, wants no other one from this
    /// host; `None` if it did not say so.
    pub rest: Option<Duration>,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// The requests a second that the upstream takes from all hosts together.
    pub limit: StatedLimit,
}

/// What an answer says about the requests a second that its upstream takes from all hosts
/// together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// It takes any number.
    #[default]
    None,
    /// It takes at most so many.
    Rate(Rate),
    /// The statement is no number of requests a second.
    Malformed,
}
