//! What the planner is told and what it wants done.

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

/// Something that the planner is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A version of the table is in force.
    Table(Arc<Table>),
    /// The hosts have changed.
    View(Arc<View>),
    /// The platform's list of machines.
    Listing(Arc<[Listing]>),
    /// A spread value: `engine/NAME`.
    Value(Value),
    /// What came of a poll or an order.
    Contact {
        /// The engine's name.
        engine: Name,
        /// The order's id; `None` for a poll.
        order: Option<u64>,
        /// What came of it.
        contact: Contact,
    },
    /// A key-value call's outcome.
    Kv {
        /// The call.
        token: kv::CallId,
        /// What came of it.
        outcome: kv::Outcome,
    },
    /// Demand at this host.
    Demand(Vec<Demand>),
    /// A frame from a host.
    Frame {
        /// Sender.
        from: Name,
        /// The sender's life.
        incarnation: Incarnation,
        /// The message.
        frame: Frame,
    },
    /// This host starts to leave: hand over its cells.
    Leave,
    /// A wake-up that `next_wake` asked for.
    Wake,
}

/// Something that the planner wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Give an engine an order.
    Order {
        /// The engine's name.
        engine: Name,
        /// Its `IP:port`.
        address: Name,
        /// The order.
        order: Order,
    },
    /// Ask an engine for its report.
    Poll {
        /// The engine's name.
        engine: Name,
        /// Its `IP:port`.
        address: Name,
    },
    /// Call the key-value service.
    Kv {
        /// Unique in this area.
        token: kv::CallId,
        /// The call.
        op: kv::Op,
    },
    /// Spread a value: `engine/NAME`, a `mulberryrack_wire::place::Engine`.
    Publish(Value),
    /// Send a frame to one life of a host.
    Frame {
        /// Receiver.
        to: Name,
        /// The receiver's life; `None` for whichever runs now.
        incarnation: Option<Incarnation>,
        /// The message.
        frame: Frame,
    },
    /// All cells are handed over; sent once after [`Input::Leave`].
    Left,
    /// Log this.
    Note(Note),
    /// Count this.
    Count(Counter),
}
