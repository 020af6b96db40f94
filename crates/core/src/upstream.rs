//! Exchanges between hosts and upstreams.
//!
//! A [`Dispatch`] sends a caller's request to an upstream, which answers with [`Event`]s.
//! Apart from requests, a planner sends [`Order`]s to engines (load a row, unload a row), and
//! hosts poll upstreams for a [`Report`] of their state. [`Contact`] is the result of an
//! order or a poll.

use crate::{Incarnation, Name, request::Call};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Number of one dispatch, unique within one incarnation of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId(pub u64);

/// The connection on which a dispatch is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A pooled connection, or a new one if the pool has none.
    Pooled,
    /// A new connection, because pooled ones may be dead without the host having noticed.
    Fresh,
}

/// One sending of a request by this host to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Id of this dispatch. Together with the host's name and incarnation it is also the name
    /// of the answer's stream at the engine.
    pub attempt: DispatchId,
    /// Name of the upstream.
    pub upstream: Name,
    /// `IP:port` of the upstream.
    pub address: Name,
    /// The call to send.
    pub call: Call,
    /// The connection to use.
    pub connection: Connection,
    /// To resume an answer: the dispatch whose stream is read on, and the offset in bytes from
    /// which it is read. `None` to run the request.
    pub resume: Option<(DispatchId, u64)>,
}

/// A part of the upstream's answer to a dispatch, or its failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Status and headers of the answer arrived.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers; names in lower case.
        headers: Arc<[(Name, Name)]>,
    },
    /// The next bytes of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
    /// The dispatch failed.
    Fault(Fault),
}

/// How a dispatch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No byte was sent: the connection was refused or could not be established.
    NotSent,
    /// The connection ended after bytes were sent.
    Broken,
    /// The connection was silent for longer than its timeout allows.
    Silent,
}

/// The operation that an order asks an engine to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Load the weights of a model or adapter from the weight store.
    Load {
        /// Row name.
        row: Name,
        /// Version of the weights.
        version: Name,
        /// Megabytes of accelerator memory, taken from the moment at which the load begins.
        memory_mb: u64,
        /// Base model of an adapter; `None` for a model.
        base: Option<Name>,
    },
    /// Take no new requests, let running ones end, then free the memory.
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
    /// Change the engine's part in serving: `prefill`, `decode` or `mixed`.
    Role {
        /// One of the three role names.
        role: Name,
    },
}

/// An order of a planner to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Never used twice. An engine carries out each id at most once in one incarnation.
    pub id: u64,
    /// Fencing token: it rises with each planner's term, and engines with fencing refuse orders
    /// with an older one.
    pub fence: u64,
    /// The operation to carry out.
    #[serde(flatten)]
    pub action: Action,
}

/// State of a row on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Residency {
    /// The memory is taken; requests are not served yet.
    Loading,
    /// Requests are served.
    Ready,
    /// Running requests end, new ones are not taken, and the memory is still used.
    Unloading,
}

/// The copy of one row on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Row name.
    pub row: Name,
    /// Version of the weights.
    pub version: Name,
    /// State of the copy.
    pub state: Residency,
    /// Accelerator memory taken, in megabytes.
    pub memory_mb: u64,
}

/// An upstream's report of its own state. The figures are [`Report::age_ms`] old when sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream's incarnation; rises when the upstream restarts. A restarted engine has no
    /// rows in memory.
    pub incarnation: Incarnation,
    /// Number of the report; rises within one incarnation.
    pub sequence: u64,
    /// Age of the figures when the report was sent, in milliseconds.
    pub age_ms: u64,
    /// Accelerator memory for weights in megabytes; zero for plain services.
    pub memory_mb: u64,
    /// Rows in memory; empty for plain services.
    pub residents: Vec<Resident>,
    /// Ids of the orders that were carried out or refused in this incarnation; the newest few
    /// hundred only.
    pub settled: Vec<u64>,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait to be run.
    pub waiting: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Whether the upstream is about to shut down.
    pub leaving: bool,
    /// Hashes of prefix blocks that were cached since the last report. The list is late and may
    /// lack blocks. See [`crate::hash::prefix_blocks`].
    #[serde(default)]
    pub cached: Vec<u64>,
    /// Hashes of prefix blocks that were evicted since the last report.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// Result of asking an upstream for its report, or of sending it an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The upstream answered with a report. An accepted order is answered with a report too.
    Report(Box<Report>),
    /// The engine refused the order because its fencing token is old.
    Fenced,
    /// No byte reached the upstream.
    NotSent,
    /// No answer arrived in time; an order may still take effect later.
    Unanswered,
}

/// Timeout of a request for a report and of an order.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
