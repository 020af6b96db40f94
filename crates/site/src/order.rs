//! Orders to model engines.

use mulberryrack_core::Name;

/// What an engine is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Bring weights into memory.
    Load,
    /// Let running requests end, then free the memory.
    Unload,
}

/// An order to one life of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub engine: Name,
    /// What to do.
    pub action: Action,
    /// The model that it is about.
    pub model: Name,
    /// The adapter of the model; `None` for the model itself.
    pub adapter: Option<Name>,
    /// Orders that the engine must have accepted before; it refuses otherwise.
    pub after: Option<u64>,
    /// Name of the host that gives it.
    pub holder: Name,
    /// Rises with each change of the host that gives orders.
    pub fence: u64,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Held,
    /// Another order is under way, or others were accepted in between.
    Conflict,
    /// The order's fence is lower than one that the engine has seen.
    Fenced,
    /// Another engine has the address, or the order makes no sense there.
    Refused,
    /// No answer came; it may be carried out now or later.
    Unanswered,
    /// The engine was not reached; the order is never carried out.
    NotSent,
}
