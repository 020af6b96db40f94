//! The key-value service's calls as JSON, for `POST /v1/kv`.
//!
//! The types mirror [`kv::Op`] and [`kv::Reply`] and convert to and from them. Values are
//! written in base64, durations in milliseconds, revisions and leases as numbers.
//!
//! ```
//! use mulberryrack_core::{kv, kv_json};
//!
//! let text = r#"{"op":"watch","prefix":"table/","after":7,"wait_ms":5000}"#;
//! let call: kv_json::Op = serde_json::from_str(text).unwrap();
//! assert!(matches!(kv::Op::from(call), kv::Op::Watch { .. }));
//! ```

use crate::kv::{self, Lease, Revision};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, base64::Base64, serde_as};
use std::{sync::Arc, time::Duration};

/// [`kv::Op`] as JSON.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Op {
    Get {
        key: Arc<str>,
    },
    List {
        prefix: Arc<str>,
        #[serde(default)]
        after: Option<Arc<str>>,
        limit: u32,
    },
    Put {
        key: Arc<str>,
        #[serde_as(as = "Base64")]
        value: Bytes,
        #[serde(default)]
        expect: Option<Revision>,
        #[serde(default)]
        lease: Option<Lease>,
    },
    Delete {
        key: Arc<str>,
        expect: Revision,
    },
    Watch {
        prefix: Arc<str>,
        after: Revision,
        #[serde(rename = "wait_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait: Duration,
    },
    Grant {
        #[serde(rename = "ttl_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        ttl: Duration,
    },
    Renew {
        lease: Lease,
    },
    Revoke {
        lease: Lease,
    },
}

/// [`kv::Entry`] as JSON.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Entry {
    pub key: Arc<str>,
    #[serde_as(as = "Base64")]
    pub value: Bytes,
    pub revision: Revision,
}

/// [`kv::Reply`] as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Reply {
    Entry {
        entry: Option<Entry>,
    },
    Entries {
        entries: Vec<Entry>,
        more: bool,
        revision: Revision,
    },
    Written {
        revision: Revision,
    },
    Conflict {
        entry: Option<Entry>,
    },
    Changes {
        entries: Vec<Entry>,
        deleted: Vec<Arc<str>>,
        revision: Revision,
    },
    Granted {
        lease: Lease,
    },
    Renewed {
        held: bool,
    },
}

impl From<kv::Op> for Op {
    fn from(op: kv::Op) -> Self {
        match op {
            kv::Op::Get { key } => Self::Get { key },
            kv::Op::List {
                prefix,
                after,
                limit,
            } => Self::List {
                prefix,
                after,
                limit,
            },
            kv::Op::Put {
                key,
                value,
                expect,
                lease,
            } => Self::Put {
                key,
                value,
                expect,
                lease,
            },
            kv::Op::Delete { key, expect } => Self::Delete { key, expect },
            kv::Op::Watch {
                prefix,
                after,
                wait,
            } => Self::Watch {
                prefix,
                after,
                wait,
            },
            kv::Op::Grant { ttl } => Self::Grant { ttl },
            kv::Op::Renew { lease } => Self::Renew { lease },
            kv::Op::Revoke { lease } => Self::Revoke { lease },
        }
    }
}

impl From<Op> for kv::Op {
    fn from(op: Op) -> Self {
        match op {
            Op::Get { key } => Self::Get { key },
            Op::List {
                prefix,
                after,
                limit,
            } => Self::List {
                prefix,
                after,
                limit,
            },
            Op::Put {
                key,
                value,
                expect,
                lease,
            } => Self::Put {
                key,
                value,
                expect,
                lease,
            },
            Op::Delete { key, expect } => Self::Delete { key, expect },
            Op::Watch {
                prefix,
                after,
                wait,
            } => Self::Watch {
                prefix,
                after,
                wait,
            },
            Op::Grant { ttl } => Self::Grant { ttl },
            Op::Renew { lease } => Self::Renew { lease },
            Op::Revoke { lease } => Self::Revoke { lease },
        }
    }
}

impl From<kv::Entry> for Entry {
    fn from(entry: kv::Entry) -> Self {
        let kv::Entry {
            key,
            value,
            revision,
        } = entry;
        Self {
            key,
            value,
            revision,
        }
    }
}

impl From<Entry> for kv::Entry {
    fn from(entry: Entry) -> Self {
        let Entry {
            key,
            value,
            revision,
        } = entry;
        Self {
            key,
            value,
            revision,
        }
    }
}

fn convert_all<A, B: From<A>>(entries: Vec<A>) -> Vec<B> {
    entries.into_iter().map(B::from).collect()
}

impl From<kv::Reply> for Reply {
    fn from(reply: kv::Reply) -> Self {
        match reply {
            kv::Reply::Entry(entry) => Self::Entry {
                entry: entry.map(Entry::from),
            },
            kv::Reply::Entries {
                entries,
                more,
                revision,
            } => Self::Entries {
                entries: convert_all(entries),
                more,
                revision,
            },
            kv::Reply::Written(revision) => Self::Written { revision },
            kv::Reply::Conflict(entry) => Self::Conflict {
                entry: entry.map(Entry::from),
            },
            kv::Reply::Changes {
                entries,
                deleted,
                revision,
            } => Self::Changes {
                entries: convert_all(entries),
                deleted,
                revision,
            },
            kv::Reply::Granted(lease) => Self::Granted { lease },
            kv::Reply::Renewed(held) => Self::Renewed { held },
        }
    }
}

impl From<Reply> for kv::Reply {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Entry { entry } => Self::Entry(entry.map(kv::Entry::from)),
            Reply::Entries {
                entries,
                more,
                revision,
            } => Self::Entries {
                entries: convert_all(entries),
                more,
                revision,
            },
            Reply::Written { revision } => Self::Written(revision),
            Reply::Conflict { entry } => Self::Conflict(entry.map(kv::Entry::from)),
            Reply::Changes {
                entries,
                deleted,
                revision,
            } => Self::Changes {
                entries: convert_all(entries),
                deleted,
                revision,
            },
            Reply::Granted { lease } => Self::Granted(lease),
            Reply::Renewed { held } => Self::Renewed(held),
        }
    }
}
