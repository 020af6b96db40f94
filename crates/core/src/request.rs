//! What a caller asks for.

use crate::{Name, Time};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Names a request inside one life of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

/// How urgent a row's requests are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Cannot wait: emergency bookings, availability checks.
    Urgent,
    /// The ordinary case.
    #[default]
    Normal,
    /// Can wait a little: long summaries, drafts.
    Bulk,
}

impl Priority {
    /// Every value, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// The name used in the table, headers and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
        }
    }

    /// The priority with this label.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|priority| priority.label() == label)
    }
}

/// An HTTP call as it goes to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method in upper case.
    pub method: Arc<str>,
    /// Path and query, from the leading slash.
    pub path: Arc<str>,
    /// End-to-end headers in order; names in lower case.
    pub headers: Arc<[(Name, Name)]>,
    /// Whole body.
    pub body: Bytes,
}

/// A request as the host receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Unique in this life of this host.
    pub key: Key,
    /// The row of the table that is asked for: a model, an adapter or a service.
    pub target: Name,
    /// What to send upstream.
    pub call: Call,
    /// The caller's idempotency key, if it sent one.
    pub idempotency: Option<Arc<str>>,
    /// When the answer has to be complete.
    pub deadline: Time,
    /// Hash of each leading block of the prompt, every one covering all before it;
    /// empty for services.
    pub prefix: Vec<u64>,
    /// Tokens in the prompt, estimated; zero for services.
    pub prompt_tokens: u32,
    /// Most tokens in the answer; zero for services.
    pub answer_tokens: u32,
}
