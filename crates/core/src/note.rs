//! What areas report about themselves: log lines and counters.

use crate::outcome::{Doubt, Reason, Retry};
use std::borrow::Cow;

/// How grave a log line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Something an operator has to look at.
    Error,
    /// Something that is handled, and should be rare.
    Warn,
    /// A change of state.
    Info,
    /// Detail for finding faults.
    Debug,
}

/// One event, logged as one line of key=value pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// How grave it is.
    pub level: Level,
    /// Name of the event, in kebab-case.
    pub event: &'static str,
    /// Pairs in the order they are written.
    pub fields: Vec<(&'static str, Cow<'static, str>)>,
}

impl Note {
    /// A note without fields.
    #[must_use]
    pub const fn new(level: Level, event: &'static str) -> Self {
        Self {
            level,
            event,
            fields: Vec::new(),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl std::fmt::Display) -> Self {
        self.fields.push((name, Cow::Owned(format!("{value}"))));
        self
    }
}

/// Something to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// A request ran to its end.
    Ran,
    /// A request was refused.
    Refused(Reason),
    /// A request ended without its outcome being known.
    Doubted(Doubt),
    /// An attempt was repeated.
    Retried(Retry),
    /// An intent was recorded in the key-value service.
    IntentRecorded,
    /// An intent was recorded with the successor host alone.
    IntentWitnessed,
    /// A resend was joined to a running or kept answer.
    Joined,
    /// A shard of the ledger was taken over.
    ShardTaken,
    /// A model move was ordered: a load or an unload of a row on an engine.
    Move,
    /// An upstream was found down.
    UpstreamDown,
    /// An upstream was taken back.
    UpstreamBack,
    /// A host was suspected.
    HostSuspected,
    /// A host was found dead.
    HostDead,
    /// A version of the table was adopted.
    TableAdopted,
    /// A frame from a former life, or for one, was dropped.
    FrameDropped,
}

impl Counter {
    /// The name used in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::Refused(reason) => reason.label(),
            Self::Doubted(doubt) => doubt.label(),
            Self::Retried(retry) => retry.label(),
            Self::IntentRecorded => "intent-recorded",
            Self::IntentWitnessed => "intent-witnessed",
            Self::Joined => "joined",
            Self::ShardTaken => "shard-taken",
            Self::Move => "move",
            Self::UpstreamDown => "upstream-down",
            Self::UpstreamBack => "upstream-back",
            Self::HostSuspected => "host-suspected",
            Self::HostDead => "host-dead",
            Self::TableAdopted => "table-adopted",
            Self::FrameDropped => "frame-dropped",
        }
    }
}
