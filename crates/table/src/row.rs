//! Rows of the table.

use mulberryrack_core::{Name, request::Priority};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What kind of target a row describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model that engines load by itself.
    Model,
    /// An adapter, loaded on an engine that has its base model too.
    Adapter,
    /// A plain service. Its replicas are the upstreams on the platform's list whose group is the
    /// name of the row.
    Service,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Model, Self::Adapter, Self::Service];

    /// The name of the kind in the table.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Service => "service",
        }
    }

    /// The kind with the given label; `None` for an unknown label.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.label() == label)
    }
}

/// One row: a target that callers can request, and how it is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Unique name that callers use.
    pub name: Name,
    /// Kind of the target.
    pub kind: Kind,
    /// Base model of an adapter; `None` for models and services.
    pub base: Option<Name>,
    /// Version of the weights; empty for services.
    pub version: Name,
    /// Accelerator memory of one copy in megabytes; zero for services.
    pub memory_mb: u64,
    /// Relative share of the capacity when there is more demand than capacity; at least 1.
    pub share: u32,
    /// How urgent the row's requests are.
    pub priority: Priority,
    /// Maximum number of requests that run at once, over all hosts; at least 1.
    pub ceiling: u32,
    /// Target for the time to the first token, or to the whole answer of a service.
    pub first_token: Duration,
    /// Target for the time between two tokens; zero for services.
    pub token_gap: Duration,
    /// Whether a request of this row may run more than once, so that the system may retry it.
    pub repeatable: bool,
    /// Minimum number of copies on engines; zero for services.
    pub min_copies: u32,
    /// Maximum number of copies on engines; zero for services.
    pub max_copies: u32,
}
