//! Inputs and outputs of the membership area.

use mulberryrack_core::{
    Incarnation, Name, kv,
    node::Listing,
    note::{Counter, Note},
    view::{Value, View},
};
use mulberryrack_table::{Row, Table};
use mulberryrack_wire::member::Frame;
use std::{sync::Arc, time::Duration};

/// An event that the membership area handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A frame from another host.
    Frame {
        /// Name of the sending host.
        from: Name,
        /// Incarnation of the sending host, which identifies its life.
        incarnation: Incarnation,
        /// The decoded message.
        frame: Frame,
    },
    /// A frame to this host could not be delivered.
    Undelivered {
        /// Name of the receiver.
        to: Name,
    },
    /// The platform's list of machines, as just read; `None` if the list could not be
    /// read.
    Listing(Option<Arc<[Listing]>>),
    /// The outcome of a call to the key-value service.
    Kv {
        /// The call.
        token: kv::CallId,
        /// The reply, or why there is none.
        outcome: kv::Outcome,
    },
    /// Another area of this host publishes a value for all hosts.
    Publish(Value),
    /// An operator proposes the successor of a table version.
    Propose {
        /// Identifies the proposal in [`Output::ProposalEnded`].
        ticket: u64,
        /// Version that the operator edited; 0 if the proposal is the first table.
        parent: u64,
        /// Change id chosen by the client. A client that repeats a proposal sends the
        /// same id.
        change: Name,
        /// Name of the operator.
        author: Name,
        /// The rows, validated and sorted by name.
        rows: Arc<[Row]>,
    },
    /// An operator reads one stored version or the history.
    Read {
        /// Identifies the read in [`Output::Read`].
        ticket: u64,
        /// The version, or `None` for the newest hundred versions, newest first and
        /// without rows.
        version: Option<u64>,
    },
    /// This host starts to leave and announces it to the other hosts.
    Leave,
    /// The time that [`Member::next_wake`](crate::Member::next_wake) returned has come.
    Wake,
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The proposed table is stored as this version, by this proposal or by an earlier
    /// one with the same change id; hosts adopt it from the key-value service
    /// and from each other.
    Accepted {
        /// Version number of the proposed table.
        version: u64,
    },
    /// Another proposal with the same parent was stored first; this one was not written.
    Conflict {
        /// The table in force, which is the other proposal's version or a later one.
        winner: Arc<Table>,
    },
    /// Nothing was written: the key-value service could not be reached in time, the table
    /// cannot be stored, too many proposals are waiting, or another proposal was stored
    /// first and its table did not arrive in time.
    NotWritten,
    /// The write was sent, but its answer was lost and the result could not be read in
    /// time, or the version has been deleted from the history since. The client should
    /// repeat the proposal with the same change id.
    Unknown,
}

/// An action for the owner of the state machine.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a frame to another host.
    Frame {
        /// Name of the receiving host.
        to: Name,
        /// The receiver's `IP:port` for other hosts.
        address: Name,
        /// The decoded message.
        frame: Frame,
    },
    /// Call the key-value service.
    Kv {
        /// Identifies the call in [`Input::Kv`]; unique within this area and life.
        token: kv::CallId,
        /// The call.
        op: kv::Op,
    },
    /// The view of all hosts has changed.
    View(Arc<View>),
    /// A newer value for a key was adopted, whether published here or received from
    /// another host. Host records are not reported.
    Value(Value),
    /// A newer table version is in force on this host.
    Table(Arc<Table>),
    /// A proposal has ended.
    ProposalEnded {
        /// The ticket of [`Input::Propose`].
        ticket: u64,
        /// The outcome of the proposal.
        outcome: ProposalOutcome,
    },
    /// The answer to [`Input::Read`].
    Read {
        /// The ticket of [`Input::Read`].
        ticket: u64,
        /// The tables found, newest first; empty if no such version is stored, `None` if
        /// the key-value service could not be read.
        tables: Option<Vec<Arc<Table>>>,
    },
    /// Write a log line.
    Note(Note),
    /// Increment a counter.
    Count(Counter),
}

/// The hosts that a caller connects to for one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Addresses as `IP:port`, best first.
    pub addresses: Vec<Name>,
    /// How long the caller may keep using the answer.
    pub lifetime: Duration,
    /// The table version from which the answer was made.
    pub version: u64,
}

/// Which table version each host is known to have in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Host names with the highest version known to be in force on each, sorted by name.
    pub hosts: Vec<(Name, u64)>,
}
