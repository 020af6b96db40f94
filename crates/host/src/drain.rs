//! What has to end before a leaving host may go.

/// How far leaving has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It has not begun.
    #[default]
    Serving,
    /// It has begun.
    Leaving,
    /// [`crate::Effect::Drained`] has been sent.
    Drained,
}

/// Progress of leaving.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    /// How far it has come.
    pub stage: Stage,
    /// Whether the ledger has handed over its shards.
    pub ledger_left: bool,
    /// Whether the planner has handed over its cells.
    pub planner_left: bool,
}

impl Drain {
    /// Whether every area has handed over what it held, and nobody was told so yet.
    #[must_use]
    pub fn handed_over(self) -> bool {
        self.stage == Stage::Leaving && self.ledger_left && self.planner_left
    }
}
