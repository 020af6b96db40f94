//! Requests of callers, as a host receives and forwards them.

use crate::{Name, Time};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of a request, unique within one incarnation of one host. Not the caller's
/// idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

/// How urgent a row's requests are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Requests that cannot wait: emergency bookings, availability checks.
    Urgent,
    /// Requests without special needs; the default.
    #[default]
    Normal,
    /// Requests that can wait a little: long summaries, drafts.
    Bulk,
}

impl Priority {
    /// Every value, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// The name of the priority in the table, in headers and in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
        }
    }

    /// The priority with the given label; `None` for an unknown label.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|priority| priority.label() == label)
    }
}

/// An HTTP call as the host sends it to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method in upper case.
    pub method: Arc<str>,
    /// Path and query, beginning with a slash.
    pub path: Arc<str>,
    /// End-to-end headers in order; names in lower case.
    pub headers: Arc<[(Name, Name)]>,
    /// The whole body; requests are not streamed.
    pub body: Bytes,
}

/// A request as the host receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number that the host gave the request.
    pub key: Key,
    /// Name of the requested row of the table: a model, an adapter or a service.
    pub target: Name,
    /// The call to send to an upstream.
    pub call: Call,
    /// The caller's idempotency key, if it sent one.
    pub idempotency: Option<Arc<str>>,
    /// The moment at which the answer has to be complete.
    pub deadline: Time,
    /// Hashes of the leading blocks of the prompt, from [`crate::hash::prefix_blocks`]; empty
    /// for services.
    pub prefix: Vec<u64>,
    /// Estimated number of tokens in the prompt; zero for services.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer; zero for services.
    pub answer_tokens: u32,
}
