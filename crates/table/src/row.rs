//! One row of the table.

use mulberryrack_core::{Name, request::Priority};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a row stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A base model that engines load.
    Model,
    /// An adapter that is loaded beside its base on the same engine.
    Adapter,
    /// A plain service; its replicas are the listed upstreams whose group is the name.
    Service,
}

impl Kind {
    /// Every value.
    pub const ALL: [Self; 3] = [Self::Model, Self::Adapter, Self::Service];

    /// The name used in the table.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Service => "service",
        }
    }

    /// The kind with this label.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.label() == label)
    }
}

/// One row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Unique name that callers use.
    pub name: Name,
    /// What it is.
    pub kind: Kind,
    /// Base model; adapters only.
    pub base: Option<Name>,
    /// Version of the weights; empty for services.
    pub version: Name,
    /// Accelerator memory of one copy in megabytes; zero for services.
    pub memory_mb: u64,
    /// Relative share of capacity when saturated, at least 1.
    pub share: u32,
    /// How urgent its requests are.
    pub priority: Priority,
    /// Most requests running at once over all hosts, at least 1.
    pub ceiling: u32,
    /// Target for the first token, or for the whole answer of a service.
    pub first_token: Duration,
    /// Target for the time between tokens.
    pub token_gap: Duration,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Fewest copies; zero for services.
    pub min_copies: u32,
    /// Most copies; zero for services.
    pub max_copies: u32,
}
