//! Inputs, outputs and settings of an [`Engine`](super::Engine).

use bytes::Bytes;
use mulberryrack_core::{
    Incarnation, Name,
    request::Call,
    upstream::{Contact, Fault, Order},
};
use std::{sync::Arc, time::Duration};

/// Id of one exchange (a request and its answer) with the engine. The caller of
/// [`Engine::handle`](super::Engine::handle) chooses it and never uses it twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Capacity and timing of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Accelerator memory for weights, in megabytes.
    pub memory_mb: u64,
    /// Whether orders with a lower fencing number than an earlier order are refused.
    pub fencing: bool,
    /// Maximum number of streams in the batch.
    pub slots: usize,
    /// Maximum number of waiting streams; further ones are refused with 503.
    pub queue: usize,
    /// Duration of a step, which makes one token, with one stream in the batch.
    pub token: Duration,
    /// Time added to a step for each further stream in the batch.
    pub token_per_stream: Duration,
    /// Time to read one block of a prompt that is not in the prefix cache.
    pub prefill_block: Duration,
    /// Maximum number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Every `event_gap`-th cache event is missing from the reports; 0 for none.
    pub event_gap: u32,
    /// Age that the figures in a report have at least, as far back as snapshots exist.
    pub report_lag: Duration,
    /// Minimum time between the snapshots from which reports are taken.
    pub report_interval: Duration,
    /// Time for which a complete answer can be read again.
    pub keep: Duration,
    /// Time from a crash until the engine accepts requests again.
    pub restart: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            memory_mb: 64_000,
            fencing: true,
            slots: 40,
            queue: 64,
            token: Duration::from_millis(12),
            token_per_stream: Duration::from_micros(600),
            prefill_block: Duration::from_millis(8),
            cache_blocks: 4_096,
            event_gap: 7,
            report_lag: Duration::from_millis(500),
            report_interval: Duration::from_millis(100),
            keep: Duration::from_secs(30),
            restart: Duration::from_secs(5),
        }
    }
}

/// A request, fault or event that an engine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A completion request. Its headers contain the stream's name and the priority.
    Call {
        /// Id of the exchange.
        ticket: Ticket,
        /// The HTTP request.
        call: Call,
    },
    /// A stream is to be read on from an offset, in a new exchange.
    Resume {
        /// Id of the exchange.
        ticket: Ticket,
        /// Name of the stream.
        stream: Name,
        /// Offset in the body from which to read, in bytes.
        offset: u64,
    },
    /// A stream is cancelled, whether it waits, runs or is complete.
    Cancel {
        /// Id of the exchange.
        ticket: Ticket,
        /// Name of the stream.
        stream: Name,
    },
    /// The connection of this exchange has ended; the stream continues without a reader.
    Disconnected(Ticket),
    /// An order. It is answered by [`Output::Contact`], or not at all if it is lost or
    /// delayed.
    Order {
        /// Id of the exchange.
        ticket: Ticket,
        /// The order to carry out.
        order: Order,
    },
    /// A request for the report, answered by [`Output::Contact`].
    Report(Ticket),
    /// The weight store has delivered the weights that [`Output::Fetch`] asked for.
    Fetched {
        /// Row whose weights were fetched.
        row: Name,
        /// Incarnation of the engine that asked; a delivery to another one is ignored.
        incarnation: Incarnation,
    },
    /// Another engine has exported cached blocks to this one.
    Import {
        /// Row that the blocks belong to.
        row: Name,
        /// Version that the blocks belong to.
        version: Name,
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// The process crashes; it restarts empty after [`Settings::restart`].
    Crash,
    /// The process hangs (`true`) or continues (`false`); no connection ends.
    Hang(bool),
    /// The open connections go silent: the streams continue without readers, and new
    /// connections work.
    Silence,
    /// Whether the engine is about to go away; if so, it refuses new requests.
    SetLeaving(bool),
    /// From now on every n-th order is lost, where n is this number; 0 for none.
    LoseOrders(u32),
    /// From now on orders take effect after this delay and are not answered; `None` ends
    /// the fault.
    DelayOrders(Option<Duration>),
    /// The moment returned by [`Engine::next_wake`](super::Engine::next_wake) has come.
    Wake,
}

/// Something that an engine sends or asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Status and headers of an answer.
    Head {
        /// Id of the exchange.
        ticket: Ticket,
        /// HTTP status code.
        status: u16,
        /// Headers, with names in lower case.
        headers: Arc<[(Name, Name)]>,
    },
    /// A part of an answer's body.
    Chunk {
        /// Id of the exchange.
        ticket: Ticket,
        /// Bytes that follow those of the previous chunk.
        bytes: Bytes,
    },
    /// The answer is complete.
    End {
        /// Id of the exchange.
        ticket: Ticket,
    },
    /// The exchange ended without a complete answer.
    Fault {
        /// Id of the exchange.
        ticket: Ticket,
        /// How the exchange failed.
        fault: Fault,
    },
    /// The answer to an order or to a request for the report.
    Contact {
        /// Id of the exchange.
        ticket: Ticket,
        /// A report, or the reason why there is none.
        contact: Contact,
    },
    /// The engine requests weights from the weight store; [`Input::Fetched`] delivers them.
    Fetch {
        /// Row whose weights are requested.
        row: Name,
        /// Size of the weights in megabytes.
        memory_mb: u64,
        /// The engine's current incarnation.
        incarnation: Incarnation,
    },
    /// Cached blocks of a row go to another engine, which gets them as [`Input::Import`].
    Export {
        /// Address of the other engine, as `IP:port`.
        to: Name,
        /// Row that the blocks belong to.
        row: Name,
        /// Version that the blocks belong to.
        version: Name,
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// The process has crashed; connections to it are refused.
    Down,
    /// The process has restarted, without resident copies.
    Up,
}
