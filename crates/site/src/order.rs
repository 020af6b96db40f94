//! Orders that change which models and adapters an engine has in memory.

use mulberryrack_core::Name;

/// What an order asks an engine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load weights into memory.
    Load,
    /// Let running requests finish, then free the memory.
    Unload,
}

/// An order to one incarnation of an engine, that is, to the engine between one start and
/// the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine that must carry out the order; an engine with another id refuses it.
    pub engine: Name,
    /// What the engine has to do.
    pub action: Action,
    /// The model to load or unload, or the base model of `adapter`.
    pub model: Name,
    /// The adapter to load or unload; `None` if the order is about the model itself.
    pub adapter: Option<Name>,
    /// Number of orders that the engine must have accepted before this one, since its
    /// start. An engine with another count refuses the order. `None` leaves the count
    /// unchecked.
    pub expected_orders: Option<u64>,
    /// Name of the host that gives the order; this host holds the claim to give orders.
    pub holder: Name,
    /// Fencing token: increases each time that the claim to give orders is gained.
    pub fence: u64,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine already is in the state that the order asks for.
    AlreadyDone,
    /// The engine is carrying out another order, or has accepted others that the sender did
    /// not know.
    Conflict,
    /// The engine has seen a higher fencing token than that of the order.
    Fenced,
    /// The engine at the address has another id, or rejects the order as invalid.
    Refused,
    /// No answer came, or none that says whether the engine accepted the order. The engine may
    /// carry out the order now or later.
    Unanswered,
    /// The order was not sent, because the engine was not reached or the host may no longer
    /// give orders. The engine will never carry out this order.
    NotSent,
}
