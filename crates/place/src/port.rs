//! Inputs and outputs of the planner.

use mulberryrack_core::{
    Incarnation, Name,
    demand::Demand,
    kv,
    node::Listing,
    note::{Counter, Note},
    upstream::{Contact, Order},
    view::{Value, View},
};
use mulberryrack_table::Table;
use mulberryrack_wire::place::Frame;
use std::sync::Arc;

/// An event that the planner handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A version of the table was adopted.
    Table(Arc<Table>),
    /// The list of hosts or their standing has changed.
    View(Arc<View>),
    /// The platform's list of machines, complete.
    Listing(Arc<[Listing]>),
    /// A value that a host has published. The planner uses the keys `engine/NAME`, which
    /// hold a `mulberryrack_wire::place::Engine`, and ignores all others.
    Value(Value),
    /// The outcome of a poll or of sending an order.
    Contact {
        /// The engine's name.
        engine: Name,
        /// The order's id; `None` for a poll.
        order: Option<u64>,
        /// The result of the contact.
        contact: Contact,
    },
    /// The outcome of a call to the key-value service.
    Kv {
        /// Id of the call in [`Output::Kv`].
        token: kv::CallId,
        /// The result of the call.
        outcome: kv::Outcome,
    },
    /// Demand at this host, for all rows; replaces the demand of the previous input.
    Demand(Vec<Demand>),
    /// A frame from another host.
    Frame {
        /// Name of the sender.
        from: Name,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The decoded frame.
        frame: Frame,
    },
    /// This host starts to leave: release its cells.
    Leave,
    /// The time that [`crate::Planner::next_wake`] returned has come.
    Wake,
}

/// An action that the planner requests from its host process.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send an order to an engine.
    Order {
        /// The engine's name.
        engine: Name,
        /// The engine's `IP:port`.
        address: Name,
        /// The order, which the planner has recorded before.
        order: Order,
    },
    /// Ask an engine for its report.
    Poll {
        /// The engine's name.
        engine: Name,
        /// The engine's `IP:port`.
        address: Name,
    },
    /// Call the key-value service.
    Kv {
        /// Id that [`Input::Kv`] returns with the outcome; unique within one planner.
        token: kv::CallId,
        /// The operation to call.
        op: kv::Op,
    },
    /// Publish a value to all hosts: key `engine/NAME`, holding a
    /// `mulberryrack_wire::place::Engine`.
    Publish(Value),
    /// Send a frame to a host.
    Frame {
        /// Name of the receiver.
        to: Name,
        /// Incarnation of the receiver; `None` for the one that runs now.
        incarnation: Option<Incarnation>,
        /// The frame to encode and send.
        frame: Frame,
    },
    /// All cells are released and no call is in flight; sent once after [`Input::Leave`].
    Left,
    /// Write a log line.
    Note(Note),
    /// Increment a counter.
    Count(Counter),
}
