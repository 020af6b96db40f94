//! Inputs, outputs and settings of an engine.

use bytes::Bytes;
use mulberryrack_core::{
    Incarnation, Name,
    request::Call,
    upstream::{Contact, Fault, Order},
};
use std::{sync::Arc, time::Duration};

/// Names one exchange with the engine; chosen by the driver, unique for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What an engine is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Accelerator memory for weights in megabytes.
    pub memory_mb: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Streams in the batch.
    pub slots: usize,
    /// Streams that wait; more are refused with 503.
    pub queue: usize,
    /// Time of a step with one stream in the batch.
    pub token: Duration,
    /// Time added to a step for each further stream.
    pub token_per_stream: Duration,
    /// Time to read one block of a prompt that is not cached.
    pub prefill_block: Duration,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Every so many cache events one is lost; 0 for none.
    pub event_gap: u32,
    /// Age of the figures in a report.
    pub report_lag: Duration,
    /// Time between snapshots for reports.
    pub report_interval: Duration,
    /// How long a whole answer can be read again.
    pub keep: Duration,
    /// Time to come back after a crash.
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

/// Something that happens to an engine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A completion is asked for. Its headers name the stream and the priority.
    Call {
        /// The exchange.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// A stream is read on a new connection.
    Resume {
        /// The exchange.
        ticket: Ticket,
        /// The stream.
        stream: Name,
        /// Where in the body to go on.
        offset: u64,
    },
    /// A stream is cancelled.
    Cancel {
        /// The exchange.
        ticket: Ticket,
        /// The stream.
        stream: Name,
    },
    /// The connection of an exchange has ended; the stream goes on.
    Gone(Ticket),
    /// An order. Answered by [`Output::Contact`], or not at all when lost or late.
    Order {
        /// The exchange.
        ticket: Ticket,
        /// The order.
        order: Order,
    },
    /// The report is asked for. Answered by [`Output::Contact`].
    Report(Ticket),
    /// The weight store has given what [`Output::Fetch`] asked for.
    Fetched {
        /// The row.
        row: Name,
        /// Life that asked.
        incarnation: Incarnation,
    },
    /// Another engine has exported its cache.
    Import {
        /// The row.
        row: Name,
        /// Version whose cache it is.
        version: Name,
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// The process ends, and comes back empty by itself.
    Crash,
    /// The process stops, or goes on, without any connection ending.
    Hang(bool),
    /// The open connections go silent; the streams go on, and new connections work.
    Silence,
    /// The engine is about to go away, or not any more.
    Leave(bool),
    /// Every so many orders one is lost; 0 for none.
    LoseOrders(u32),
    /// Orders take effect so much later, and are not answered.
    DelayOrders(Option<Duration>),
    /// A wake-up that `next_wake` asked for.
    Wake,
}

/// Something that an engine does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The head of an answer.
    Head {
        /// The exchange.
        ticket: Ticket,
        /// HTTP status.
        status: u16,
        /// Headers; names in lower case.
        headers: Arc<[(Name, Name)]>,
    },
    /// A part of its body.
    Chunk {
        /// The exchange.
        ticket: Ticket,
        /// The part.
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// The exchange.
        ticket: Ticket,
    },
    /// The exchange failed.
    Fault {
        /// The exchange.
        ticket: Ticket,
        /// How.
        fault: Fault,
    },
    /// The answer to an order or to a question for the report.
    Contact {
        /// The exchange.
        ticket: Ticket,
        /// The answer.
        contact: Contact,
    },
    /// Weights are wanted from the weight store. Answered by [`Input::Fetched`].
    Fetch {
        /// The row.
        row: Name,
        /// Size in megabytes.
        memory_mb: u64,
        /// Life that asks.
        incarnation: Incarnation,
    },
    /// The cache of a row goes to another engine, as [`Input::Import`].
    Export {
        /// `IP:port` of that engine.
        to: Name,
        /// The row.
        row: Name,
        /// Version whose cache it is.
        version: Name,
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// The process has ended.
    Down,
    /// The process is back, empty.
    Up,
}
