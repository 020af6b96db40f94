//! Progress of a host that drains before its process ends.

/// The stage of a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// The drain has not begun.
    #[default]
    Serving,
    /// The drain has begun: requests are finished, and duties are handed over to other hosts.
    Leaving,
    /// [`crate::Effect::Drained`] has been emitted.
    Drained,
}

/// Progress of a drain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    /// The current stage.
    pub stage: Stage,
    /// Whether the ledger has handed over its shards to other hosts.
    pub ledger_handed_over: bool,
    /// Whether the planner has handed over its cells to other hosts.
    pub planner_handed_over: bool,
}

impl Drain {
    /// Whether shards and cells are handed over while [`crate::Effect::Drained`] is still to be
    /// emitted.
    #[must_use]
    pub fn handed_over(self) -> bool {
        self.stage == Stage::Leaving && self.ledger_handed_over && self.planner_handed_over
    }
}
