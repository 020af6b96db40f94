//! Log lines and counters that the decision packages emit as outputs. The daemon writes the
//! lines to its log and exports the counters as metrics.

use crate::outcome::{Doubt, Reason, Retry};
use std::borrow::Cow;

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A fault that an operator has to look at.
    Error,
    /// A fault that the system handles and that should be rare.
    Warn,
    /// A change of state that is part of normal operation.
    Info,
    /// Detail for debugging.
    Debug,
}

/// One event, logged as one line of `key=value` pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Severity.
    pub level: Level,
    /// Name of the event, in kebab-case.
    pub event: &'static str,
    /// Keys and values, in the order in which they are written.
    pub fields: Vec<(&'static str, Cow<'static, str>)>,
}

impl Note {
    /// An event without fields; [`Note::with`] adds them.
    #[must_use]
    pub const fn new(level: Level, event: &'static str) -> Self {
        Self {
            level,
            event,
            fields: Vec::new(),
        }
    }

    /// Appends a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl std::fmt::Display) -> Self {
        self.fields.push((name, Cow::Owned(format!("{value}"))));
        self
    }
}

/// An event that increases a counter by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// A request ran to completion.
    Ran,
    /// A request was refused without having run.
    Refused(Reason),
    /// A request ended, and it is not known whether it ran.
    Unknown(Doubt),
    /// A request was dispatched again after its first dispatch.
    Retried(Retry),
    /// The intent to run a request was recorded in the key-value service before the dispatch.
    IntentRecorded,
    /// The intent to run a request was recorded with the shard's successor host alone.
    IntentWitnessed,
    /// An attempt with a known idempotency key was joined to a running request or to a kept
    /// answer.
    Joined,
    /// This host took over a shard of the ledger.
    ShardTaken,
    /// An engine was ordered to load or unload a row.
    Move,
    /// An upstream was found to be down.
    UpstreamDown,
    /// An upstream that was down is used again.
    UpstreamBack,
    /// Heartbeats of a host went missing.
    HostSuspected,
    /// A host was declared dead.
    HostDead,
    /// This host adopted a newer version of the table.
    TableAdopted,
    /// A frame between hosts was dropped because its sender or its addressee was a former
    /// incarnation of a host.
    FrameDropped,
}

impl Counter {
    /// The label in metrics; for counters with a reason, the label of the reason.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::Refused(reason) => reason.label(),
            Self::Unknown(doubt) => doubt.label(),
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
