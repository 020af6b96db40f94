//! Final results of requests, and the reasons for refusals, unknown outcomes and retries.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The final result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran, and the caller has the whole answer or can get it.
    Ran,
    /// The request certainly did not run and never will; the caller can safely send it again.
    NotRun(Refusal),
    /// The request may have run; the system does not send it again.
    Unknown(Doubt),
}

impl Outcome {
    /// Value of the `Mulberryrack-Outcome` header.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            // With `AnswerGone` the request certainly ran; only its answer is no longer kept.
            Self::Ran | Self::Unknown(Doubt::AnswerGone) => "ran",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Why a request was refused, and when the caller may send it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was not run.
    pub reason: Reason,
    /// Time after which sending the request again may succeed; `None` if it would not.
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
        /// No row of the table has the requested name.
        UnknownTarget = "unknown-target",
        /// The host has no table yet, or cannot show that its table is current.
        NoTable = "no-table",
        /// At the moment no engine has a copy of the row that may receive requests.
        NoCopy = "no-copy",
        /// Every upstream that could run the request is down.
        NoUpstream = "no-upstream",
        /// The row's ceiling on concurrent requests is reached and its queue is full.
        Ceiling = "ceiling",
        /// The limit of the host's queue or of its memory for requests is reached.
        Overload = "overload",
        /// The request cannot be answered before its deadline.
        Deadline = "deadline",
        /// The retry budget is spent, and no dispatch of the request has run.
        RetryBudget = "retry-budget",
        /// The request, recognised by its fingerprint, is suspected of crashing upstreams.
        Suspect = "suspect",
        /// The idempotency key was used before with another body.
        KeyReused = "key-reused",
        /// The host is shutting down.
        Draining = "draining",
        /// The upstream refused the request before running it.
        UpstreamRefused = "upstream-refused",
        /// Every upstream that could run the request has asked for no requests until after its
        /// deadline.
        UpstreamResting = "upstream-resting",
        /// Every upstream that could run the request has stated a limit on requests, which other
        /// requests use up for as long as it would wait.
        UpstreamLimit = "upstream-limit",
        /// The request carries no key that the configuration has, though its route needs one.
        UnknownKey = "unknown-key",
        /// The host cannot show that its configuration, which has the request's key, is current.
        ConfigurationStale = "configuration-stale",
        /// The quota of the request's organisation is used up.
        Quota = "quota",
        /// The memory for callers' requests is used up.
        NoRoom = "no-room",
        /// The caller closed its connection before the request was sent to an upstream.
        CallerGone = "caller-gone",
    }
}

reasons! {
    /// Why it is not known whether a request ran, or why its answer cannot be given.
    Doubt {
        /// After the request was sent, the connection to the upstream broke, the upstream answered
        /// with a server error, or the stream to resume was gone.
        UpstreamLost = "upstream-lost",
        /// The upstream sent nothing for longer than the router allows.
        Silence = "silence",
        /// The host that had dispatched the request is gone.
        HostLost = "host-lost",
        /// The request ran, and its answer is no longer kept.
        AnswerGone = "answer-gone",
        /// The record of the idempotency key may have been lost because two hosts were lost at
        /// once.
        RecordGap = "record-gap",
        /// The record of the idempotency key could not be read or written in time. This attempt
        /// was not run; an earlier one may have been. Sending again with the same key is safe.
        RecordUnread = "record-unread",
        /// The deadline passed while the request ran.
        DeadlinePassed = "deadline-passed",
    }
}

reasons! {
    /// Why a request was dispatched again.
    Retry {
        /// The upstream refused the connection.
        Refused = "refused",
        /// The connection to the upstream broke, the upstream answered with a server error, or the
        /// stream to resume was gone.
        Broken = "broken",
        /// Nothing arrived within the allowed time; the answer is resumed on a new connection or
        /// the request runs on another upstream.
        Silent = "silent",
        /// The upstream turned the request away because it was too busy or shutting down, or
        /// because it is an engine without the row.
        Turned = "turned-away",
        /// A second dispatch, made while the first one is slow and still runs.
        Hedge = "hedge",
    }
}
