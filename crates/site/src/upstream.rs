//! Upstreams as their list and their own words describe them.

use mulberryrack_core::Name;
use std::{net::SocketAddr, time::Duration};

/// An upstream's entry in the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Unique name; an upstream that starts again may keep it.
    pub id: Name,
    /// Unix milliseconds of its start; tells two lives under one name apart.
    pub born: u64,
    /// Service that it belongs to.
    pub service: Name,
    /// Rises with each write of the entry in one life; an older entry may come late.
    pub writes: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Models in its memory; empty for plain services.
    pub models: Vec<Held>,
    /// Models whose weights are still in its host memory or on its disk.
    pub at_hand: Vec<Name>,
}

impl Upstream {
    /// Whether this entry was written before another one of the same life.
    #[must_use]
    pub fn older_than(&self, other: &Self) -> bool {
        let one_life = self.born == other.born && self.address == other.address;
        self.born < other.born || (one_life && self.writes < other.writes)
    }

    /// Whether it holds the model, with the adapter where one is asked for.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        self.models.iter().any(|held| {
            &*held.model == model
                && adapter.is_none_or(|name| held.adapters.iter().any(|has| &**has == name))
        })
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Leaving,
}

/// A model in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The model.
    pub model: Name,
    /// Adapters of it that are there.
    pub adapters: Vec<Name>,
}

/// What an engine tells when it is asked for its state; some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Unix milliseconds of its start.
    pub born: u64,
    /// Models in its memory.
    pub models: Vec<Held>,
    /// Adapters on their way to it, as model and adapter.
    pub incoming: Vec<(Name, Name)>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders that it has accepted in this life.
    pub orders: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Load that an upstream adds to its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// What the head of an upstream's answer tells, apart from what is passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Id of the attempt that it answers.
    pub attempt: Option<Name>,
    /// Whether it says that the request has not run.
    pub not_run: bool,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// The upstream's load.
    pub load: Option<Load>,
    /// How long the connection may be kept unused.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub close: bool,
}
