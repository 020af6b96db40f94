//! Operations of the platform's key-value service, and what can come of them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Position in the service's history of writes; every write gets a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// A lease granted by the service; entries bound to it vanish when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease(pub u64);

/// Pairs a call with its result. Chosen by the area that makes the call, unique there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// A stored key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Full key.
    pub key: Arc<str>,
    /// At most a megabyte.
    pub value: Bytes,
    /// Revision of the write that set this value.
    pub revision: Revision,
}

/// What is asked of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads one key. Answered by [`Reply::Entry`].
    Get {
        /// Full key.
        key: Arc<str>,
    },
    /// Reads keys with a prefix in key order. Answered by [`Reply::Entries`].
    List {
        /// What the keys start with.
        prefix: Arc<str>,
        /// Only keys after this one.
        after: Option<Arc<str>>,
        /// The most entries wanted.
        limit: u32,
    },
    /// Writes a key if its revision is `expect`, or if it is absent where `expect` is
    /// `None`. Answered by [`Reply::Written`] or [`Reply::Conflict`].
    Put {
        /// Full key.
        key: Arc<str>,
        /// The new value.
        value: Bytes,
        /// Revision that the key must have now; `None` for an absent key.
        expect: Option<Revision>,
        /// Lease that the entry ends with.
        lease: Option<Lease>,
    },
    /// Deletes a key if its revision is `expect`. Answered by [`Reply::Written`] or
    /// [`Reply::Conflict`].
    Delete {
        /// Full key.
        key: Arc<str>,
        /// Revision that the key must have now.
        expect: Revision,
    },
    /// Waits until a key with the prefix changes after a revision, or `wait` has passed.
    /// Answered by [`Reply::Changes`]. Counted as one call.
    Watch {
        /// What the keys start with.
        prefix: Arc<str>,
        /// Only changes after this revision.
        after: Revision,
        /// How long the service holds the call.
        wait: Duration,
    },
    /// Asks for a lease. Answered by [`Reply::Granted`].
    Grant {
        /// Time until the lease lapses unless renewed.
        ttl: Duration,
    },
    /// Renews a lease. Answered by [`Reply::Renewed`].
    Renew {
        /// The lease.
        lease: Lease,
    },
    /// Ends a lease and its entries. Answered by [`Reply::Renewed`] with `false`.
    Revoke {
        /// The lease.
        lease: Lease,
    },
}

impl Op {
    /// The name used in metrics and on the wire.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::List { .. } => "list",
            Self::Put { .. } => "put",
            Self::Delete { .. } => "delete",
            Self::Watch { .. } => "watch",
            Self::Grant { .. } => "grant",
            Self::Renew { .. } => "renew",
            Self::Revoke { .. } => "revoke",
        }
    }
}

/// What the service answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To [`Op::Get`]: the entry, if there is one.
    Entry(Option<Entry>),
    /// To [`Op::List`].
    Entries {
        /// In key order.
        entries: Vec<Entry>,
        /// Whether the limit cut the list.
        more: bool,
        /// The service's newest revision when it answered.
        revision: Revision,
    },
    /// To [`Op::Put`] and [`Op::Delete`]: done, at this revision.
    Written(Revision),
    /// To [`Op::Put`] and [`Op::Delete`]: the expectation failed, nothing was written;
    /// the entry as it is.
    Conflict(Option<Entry>),
    /// To [`Op::Watch`].
    Changes {
        /// Keys written after the revision asked for, newest value only.
        entries: Vec<Entry>,
        /// Keys deleted after it.
        deleted: Vec<Arc<str>>,
        /// Where the next watch goes on.
        revision: Revision,
    },
    /// To [`Op::Grant`].
    Granted(Lease),
    /// To [`Op::Renew`]: whether the lease is still held.
    Renewed(bool),
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fault {
    /// The service certainly did nothing (connection refused, call never sent).
    NotApplied,
    /// The changes that a watch was to go on from are no longer kept: read all anew.
    HistoryGone,
    /// The answer was lost: a write may or may not have taken effect, now or later.
    Unknown,
}

/// What comes of a call.
pub type Outcome = Result<Reply, Fault>;
