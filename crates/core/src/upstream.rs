//! What hosts say to upstreams, and what comes back.

use crate::{Incarnation, Name, request::Call};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Names one attempt to run a request, inside one life of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u64);

/// Where an answer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// One from the pool will do.
    Pooled,
    /// A new one: the pooled ones are suspected of being silent.
    Fresh,
}

/// A call to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Unique in this life of this host; also the stream's name at the engine, behind
    /// the host's name and incarnation.
    pub attempt: Attempt,
    /// The upstream's name.
    pub upstream: Name,
    /// Its `IP:port`.
    pub address: Name,
    /// What to send.
    pub call: Call,
    /// Which connection to use.
    pub connection: Connection,
    /// For a resume: the attempt whose stream goes on, and the offset in bytes.
    pub resume: Option<(Attempt, u64)>,
}

/// Something that happened to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head of the answer has come.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers; names in lower case.
        headers: Arc<[(Name, Name)]>,
    },
    /// A part of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
    /// The attempt failed.
    Fault(Fault),
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No byte was sent: the connection was refused or could not be made.
    NotSent,
    /// The connection ended after bytes were sent.
    Broken,
    /// A bound on silence of the connection itself has passed.
    Silent,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Load a model or adapter from the weight store.
    Load {
        /// Row name.
        row: Name,
        /// Version of the weights.
        version: Name,
        /// Megabytes taken, from the moment the load begins.
        memory_mb: u64,
        /// Base model for an adapter.
        base: Option<Name>,
    },
    /// Let running requests end, then free the memory.
    Unload {
        /// Row name.
        row: Name,
        /// Version of the weights.
        version: Name,
    },
    /// Export the KV cache of a row to another engine's address.
    Export {
        /// Row name.
        row: Name,
        /// `IP:port` of the engine that imports it.
        to: Name,
    },
    /// Change between `prefill`, `decode` and `mixed`.
    Role {
        /// The new role.
        role: Name,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Unique for ever: an engine carries out an id at most once in one life.
    pub id: u64,
    /// Rises with each planner's term; engines with fencing refuse older ones.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// State of a row on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Residency {
    /// Memory is taken; requests are not served yet.
    Loading,
    /// Requests are served.
    Ready,
    /// Running requests end; no new ones are taken; memory is still used.
    Unloading,
}

/// One row on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Row name.
    pub row: Name,
    /// Version of the weights.
    pub version: Name,
    /// Its state.
    pub state: Residency,
    /// Megabytes taken.
    pub memory_mb: u64,
}

/// What an upstream says of itself, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The engine's life; rises when it restarts empty.
    pub incarnation: Incarnation,
    /// Rises with each report of one life.
    pub sequence: u64,
    /// Age of the figures when they were sent, in milliseconds.
    pub age_ms: u64,
    /// Accelerator memory for weights in megabytes; zero for plain services.
    pub memory_mb: u64,
    /// Rows in memory; empty for plain services.
    pub residents: Vec<Resident>,
    /// Ids of orders carried out or refused in this life, the newest few hundred.
    pub settled: Vec<u64>,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Most requests that run at once.
    pub slots: u32,
    /// Whether the upstream is about to go away.
    pub leaving: bool,
    /// Prefix blocks cached since the last report, by hash; late and with gaps.
    #[serde(default)]
    pub cached: Vec<u64>,
    /// Prefix blocks evicted since the last report.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// What comes of asking an upstream for its report, or of giving it an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It answered with a report; orders are answered with one too.
    Report(Box<Report>),
    /// It refused the order: the fencing number is old.
    Fenced,
    /// No byte reached it.
    NotSent,
    /// No answer in time: an order may take effect later.
    Unanswered,
}

/// A bound on how long a contact may take.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
