//! Operations of the platform's key-value service, and their results.
//!
//! A state machine (an area, in metrics) makes a call by emitting an [`Op`] with a [`CallId`]
//! and later receives the [`Outcome`] with the same id. [`crate::kv_json`] has the form of the
//! calls on the network.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Position in the service's history of writes; every write gets a higher revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Counts how often the service came back from an older copy of itself. What was written since
/// the copy is gone then, leases too, and revisions are given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A lease granted by the service; entries bound to the lease are deleted when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease(pub u64);

/// Pairs a call with its result. The state machine that makes the call chooses the id, which
/// is unique within that state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A stored key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Full key.
    pub key: Arc<str>,
    /// The value, of at most a megabyte.
    pub value: Bytes,
    /// Revision of the write that set this value.
    pub revision: Revision,
}

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads the entry of one key. Answered by [`Reply::Entry`].
    Get {
        /// Full key.
        key: Arc<str>,
    },
    /// Reads the entries whose keys have a prefix, in key order. Answered by
    /// [`Reply::Entries`].
    List {
        /// What the keys start with.
        prefix: Arc<str>,
        /// Only keys after this one in key order; `None` for all.
        after: Option<Arc<str>>,
        /// Maximum number of entries in the answer.
        limit: u32,
    },
    /// Writes a key if its revision is `expect`, or, with `expect` `None`, if the key is
    /// absent. Answered by [`Reply::Written`] or [`Reply::Conflict`].
    Put {
        /// Full key.
        key: Arc<str>,
        /// The new value.
        value: Bytes,
        /// Revision that the key must have now; `None` for an absent key.
        expect: Option<Revision>,
        /// Lease to which the entry is bound; `None` for an entry that stays.
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
    /// Waits until a key with the prefix changes after a revision, or until `wait` has passed.
    /// Answered by [`Reply::Changes`]. Counts as one call.
    Watch {
        /// What the keys start with.
        prefix: Arc<str>,
        /// Only changes after this revision.
        after: Revision,
        /// Maximum time for which the service holds the call open.
        wait: Duration,
    },
    /// Requests a new lease. Answered by [`Reply::Granted`].
    Grant {
        /// Time after which the lease expires unless it is renewed.
        ttl: Duration,
    },
    /// Renews a lease. Answered by [`Reply::Renewed`].
    Renew {
        /// The lease.
        lease: Lease,
    },
    /// Ends a lease and deletes its entries. Answered by [`Reply::Renewed`] with `false`.
    Revoke {
        /// The lease.
        lease: Lease,
    },
}

impl Op {
    /// The name of the operation in metrics and on the wire.
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

/// An answer of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answers [`Op::Get`]: the entry, if there is one.
    Entry(Option<Entry>),
    /// Answers [`Op::List`].
    Entries {
        /// The entries, in key order.
        entries: Vec<Entry>,
        /// Whether there are further entries beyond the limit.
        more: bool,
        /// The service's newest revision when it answered.
        revision: Revision,
    },
    /// Answers [`Op::Put`] and [`Op::Delete`]: the write took effect with this revision.
    Written(Revision),
    /// Answers [`Op::Put`] and [`Op::Delete`]: nothing was written because the key did not have
    /// the expected revision. Contains the current entry, if there is one.
    Conflict(Option<Entry>),
    /// Answers [`Op::Watch`].
    Changes {
        /// Entries written after the requested revision; only the newest value of each key.
        entries: Vec<Entry>,
        /// Keys deleted after the requested revision.
        deleted: Vec<Arc<str>>,
        /// Revision from which the next watch continues.
        revision: Revision,
    },
    /// Answers [`Op::Grant`] with the new lease.
    Granted(Lease),
    /// Answers [`Op::Renew`] and [`Op::Revoke`]: whether the lease is still held.
    Renewed(bool),
}

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fault {
    /// The service certainly did nothing (connection refused, call never sent).
    NotApplied,
    /// The service no longer keeps the changes after the revision of a watch; the watcher has to
    /// read all entries again.
    HistoryGone,
    /// The answer was lost: a write may or may not have taken effect, now or later.
    Unknown,
}

/// Result of a call.
pub type Outcome = Result<Reply, Fault>;
