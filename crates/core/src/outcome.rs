//! How a request ends, and why one is refused.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, and the caller has or can have the whole answer.
    Ran,
    /// It certainly did not run and never will; sending it again is safe.
    NotRun(Refusal),
    /// It may have run; it is not sent again by the system.
    Unknown(Doubt),
}

impl Outcome {
    /// Value of the `Mulberryrack-Outcome` header.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            // It ran, only its answer is gone.
            Self::Ran | Self::Unknown(Doubt::AnswerGone) => "ran",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// A refusal: the reason, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why nothing was run.
    pub reason: Reason,
    /// When sending again may help; `None` where it does not.
    pub retry_after: Option<Duration>,
}

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $label:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name { $($(#[$doc])* $variant,)* }

        impl $name {
            /// Every value, for metrics and documentation.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The name used in headers, bodies, metrics and logs.
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self { $(Self::$variant => $label,)* }
            }
        }
    };
}

reasons! {
    /// Why a request was refused without having run.
    Reason {
        /// The request is malformed.
        BadRequest = "bad-request",
        /// No row of the table has this name.
        UnknownTarget = "unknown-target",
        /// The host has no table yet, or cannot show that its table is current.
        NoTable = "no-table",
        /// The row has no routable copy at this moment.
        NoCopy = "no-copy",
        /// Every upstream that could run it is down.
        NoUpstream = "no-upstream",
        /// The row's ceiling on concurrent requests is reached and its queue is full.
        Ceiling = "ceiling",
        /// The host's queue or memory bound is reached.
        Overload = "overload",
        /// The deadline cannot be met.
        Deadline = "deadline",
        /// The retry budget is spent and no attempt has run.
        RetryBudget = "retry-budget",
        /// The request is suspected of crashing upstreams.
        Suspect = "suspect",
        /// The idempotency key was used with another body.
        KeyReused = "key-reused",
        /// The host is shutting down.
        Draining = "draining",
        /// The upstream refused the request before running it.
        UpstreamRefused = "upstream-refused",
        /// The caller went away before the request was sent.
        CallerGone = "caller-gone",
    }
}

reasons! {
    /// Why it is not known whether a request ran.
    Doubt {
        /// The connection to the upstream broke after the request was sent.
        UpstreamLost = "upstream-lost",
        /// The answer did not end by the bounds for silence.
        Silence = "silence",
        /// The host that ran it is gone.
        HostLost = "host-lost",
        /// It ran, and its answer is no longer kept.
        AnswerGone = "answer-gone",
        /// Its record may have been lost with two hosts at once.
        RecordGap = "record-gap",
        /// The record of its key could not be read or written in time. This send was not
        /// run; an earlier one may have been. Sending again with the same key is safe.
        RecordUnread = "record-unread",
        /// It ran into its deadline while running.
        DeadlinePassed = "deadline-passed",
    }
}

reasons! {
    /// Why an attempt was made again.
    Retry {
        /// The upstream refused the connection.
        Refused = "refused",
        /// The connection broke.
        Broken = "broken",
        /// Nothing arrived within the bound; resumed on a new connection.
        Silent = "silent",
        /// The upstream was too busy or leaving.
        Turned = "turned-away",
        /// A second attempt beside a slow first one.
        Hedge = "hedge",
    }
}
