//! What the membership area is told, and what it wants done.

use mulberryrack_core::{
    Incarnation, Name, kv,
    node::Listing,
    note::{Counter, Note},
    view::{Value, View},
};
use mulberryrack_table::{Row, Table};
use mulberryrack_wire::member::Frame;
use std::{sync::Arc, time::Duration};

/// Something that the membership area is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A frame from a host.
    Frame {
        /// Sender.
        from: Name,
        /// The sender's life.
        incarnation: Incarnation,
        /// The message.
        frame: Frame,
    },
    /// A frame could not be delivered to this host.
    Undelivered {
        /// The host.
        to: Name,
    },
    /// The platform's list of machines, as just read; `None` when it could not be read.
    Listing(Option<Arc<[Listing]>>),
    /// A key-value call's outcome.
    Kv {
        /// The call.
        token: kv::CallId,
        /// What came of it.
        outcome: kv::Outcome,
    },
    /// Another area of this host publishes a value.
    Publish(Value),
    /// An operator proposes the successor of a version of the table.
    Accept {
        /// Pairs the proposal with its [`Output::Accepted`].
        ticket: u64,
        /// Version that the operator edited; 0 for the first table.
        parent: u64,
        /// Id drawn by the client, the same when it asks again.
        change: Name,
        /// Who accepts it.
        author: Name,
        /// The checked rows, sorted by name.
        rows: Arc<[Row]>,
    },
    /// An operator reads a stored version.
    Read {
        /// Pairs the question with its [`Output::Read`].
        ticket: u64,
        /// The version; `None` for a list of the newest hundred, newest first, whose
        /// tables come without their rows.
        version: Option<u64>,
    },
    /// This host starts to leave: announce it.
    Leave,
    /// A wake-up that `next_wake` asked for.
    Wake,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the version now in force here, and spreads.
    Won {
        /// The new version.
        version: u64,
    },
    /// Another change came first; nothing was written.
    Lost {
        /// The table that came first.
        winner: Arc<Table>,
    },
    /// The service cannot be reached and nothing was written.
    NotWritten,
    /// The answer was lost and could not be read back in time: ask again with the same
    /// change id.
    Unknown,
}

/// Something that the membership area wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a frame.
    Frame {
        /// Receiver.
        to: Name,
        /// The receiver's `IP:port` for peers.
        address: Name,
        /// The message.
        frame: Frame,
    },
    /// Call the key-value service.
    Kv {
        /// Unique in this area.
        token: kv::CallId,
        /// The call.
        op: kv::Op,
    },
    /// The view has changed.
    View(Arc<View>),
    /// A value of another area was adopted, from here or from a peer.
    Value(Value),
    /// A version of the table is in force here.
    Table(Arc<Table>),
    /// The end of a proposal.
    Accepted {
        /// The ticket of [`Input::Accept`].
        ticket: u64,
        /// How it ended.
        verdict: Verdict,
    },
    /// The answer to [`Input::Read`]: the tables found, or `None` when the service
    /// cannot be read.
    Read {
        /// The ticket of [`Input::Read`].
        ticket: u64,
        /// Newest first.
        tables: Option<Vec<Arc<Table>>>,
    },
    /// Log this.
    Note(Note),
    /// Count this.
    Count(Counter),
}

/// What a caller is told to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address {
    /// Addresses, best first.
    pub addresses: Vec<Name>,
    /// How long the answer may be kept.
    pub lifetime: Duration,
    /// The table's version that it was made by.
    pub version: u64,
}

/// Everything this host knows of the table in force on the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Host names with the version each is known to have in force.
    pub hosts: Vec<(Name, u64)>,
}
