//! Simulated key-value service with compare-and-swap, leases and watches. [`Store`] holds
//! its state and carries out one operation at a time.

use bytes::Bytes;
use mulberryrack_core::{
    Time,
    kv::{Entry, Lease, Op, Reply, Revision},
};
use std::{collections::BTreeMap, ops::Bound, sync::Arc, time::Duration};

/// Maximum length of a value in bytes; a longer one is refused as a conflict.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Slot {
    value: Bytes,
    revision: Revision,
    lease: Option<Lease>,
}

#[derive(Clone, Copy, Debug)]
struct LeaseTerm {
    ttl: Duration,
    expires_at: Time,
}

/// The whole state of the service. There is a single copy of it, so calls are
/// linearizable.
#[derive(Clone, Debug, Default)]
pub struct Store {
    slots: BTreeMap<Arc<str>, Slot>,
    deleted: BTreeMap<Arc<str>, Revision>,
    leases: BTreeMap<Lease, LeaseTerm>,
    revision: Revision,
    next_lease: u64,
    /// Writes received since the start, including conflicting ones and lease operations.
    pub writes: u64,
    /// Reads received since the start; a watch counts as one read however long it waits.
    pub reads: u64,
}

impl Store {
    /// Carries out one operation. Returns `None` for a watch without changes to report yet:
    /// the caller then calls [`Store::changes`] after each write, and answers the watch with
    /// [`Store::unchanged`] when its wait is over.
    pub fn call(&mut self, now: Time, op: &Op) -> Option<Reply> {
        self.expire(now);
        self.count_op(op);
        match op {
            Op::Get { key } => Some(Reply::Entry(self.entry(key))),
            Op::List {
                prefix,
                after,
                limit,
            } => Some(self.list(prefix, after.as_deref(), *limit)),
            Op::Put {
                key,
                value,
                expect,
                lease,
            } => Some(self.put(key, value, *expect, *lease)),
            Op::Delete { key, expect } => Some(self.delete(key, *expect)),
            Op::Watch { prefix, after, .. } => self.changes(prefix, *after),
            Op::Grant { ttl } => Some(self.grant(now, *ttl)),
            Op::Renew { lease } => Some(self.renew(now, *lease)),
            Op::Revoke { lease } => {
                self.end_lease(*lease);
                Some(Reply::Renewed(false))
            }
        }
    }

    /// Keys under `prefix` that were written or deleted after revision `after`; `None` if
    /// there are none.
    #[must_use]
    pub fn changes(&self, prefix: &str, after: Revision) -> Option<Reply> {
        let entries: Vec<Entry> = self
            .entries_under(prefix)
            .filter(|(_, slot)| slot.revision > after)
            .map(|(key, slot)| entry(key, slot))
            .collect();
        let deleted: Vec<Arc<str>> = self
            .deleted
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, revision)| **revision > after)
            .map(|(key, _)| key.clone())
            .collect();
        (!entries.is_empty() || !deleted.is_empty()).then_some(Reply::Changes {
            entries,
            deleted,
            revision: self.revision,
        })
    }

    /// The empty answer to a watch whose wait ended without a change.
    #[must_use]
    pub const fn unchanged(&self) -> Reply {
        Reply::Changes {
            entries: Vec::new(),
            deleted: Vec::new(),
            revision: self.revision,
        }
    }

    /// Ends the leases that have expired by `now` and deletes the keys bound to them.
    pub fn expire(&mut self, now: Time) {
        let lapsed: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, lease_term)| lease_term.expires_at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in lapsed {
            self.end_lease(lease);
        }
    }

    fn count_op(&mut self, op: &Op) {
        match op {
            Op::Get { .. } | Op::List { .. } | Op::Watch { .. } => self.reads += 1,
            _ => self.writes += 1,
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.slots
            .get_key_value(key)
            .map(|(key, slot)| entry(key, slot))
    }

    fn entries_under<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a Slot)> {
        self.slots
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: u32) -> Reply {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let mut entries: Vec<Entry> = self
            .entries_under(prefix)
            .filter(|(key, _)| after.is_none_or(|after| &***key > after))
            .take(limit.saturating_add(1))
            .map(|(key, slot)| entry(key, slot))
            .collect();
        let more = entries.len() > limit;
        entries.truncate(limit);
        Reply::Entries {
            entries,
            more,
            revision: self.revision,
        }
    }

    fn put(
        &mut self,
        key: &Arc<str>,
        value: &Bytes,
        expect: Option<Revision>,
        lease: Option<Lease>,
    ) -> Reply {
        let current = self.slots.get(key).map(|slot| slot.revision);
        let lease_ended = lease.is_some_and(|lease| !self.leases.contains_key(&lease));
        if current != expect || lease_ended || value.len() > MAX_VALUE_BYTES {
            return Reply::Conflict(self.entry(key));
        }
        let revision = self.next_revision();
        self.deleted.remove(key);
        self.slots.insert(
            key.clone(),
            Slot {
                value: value.clone(),
                revision,
                lease,
            },
        );
        Reply::Written(revision)
    }

    fn delete(&mut self, key: &Arc<str>, expect: Revision) -> Reply {
        if self.slots.get(key).map(|slot| slot.revision) != Some(expect) {
            return Reply::Conflict(self.entry(key));
        }
        Reply::Written(self.remove(key))
    }

    fn remove(&mut self, key: &Arc<str>) -> Revision {
        let revision = self.next_revision();
        self.slots.remove(key);
        self.deleted.insert(key.clone(), revision);
        revision
    }

    fn grant(&mut self, now: Time, ttl: Duration) -> Reply {
        self.next_lease += 1;
        let lease = Lease(self.next_lease);
        let expires_at = now + ttl;
        self.leases.insert(lease, LeaseTerm { ttl, expires_at });
        Reply::Granted(lease)
    }

    fn renew(&mut self, now: Time, lease: Lease) -> Reply {
        let Some(lease_term) = self.leases.get_mut(&lease) else {
            return Reply::Renewed(false);
        };
        lease_term.expires_at = now + lease_term.ttl;
        Reply::Renewed(true)
    }

    fn end_lease(&mut self, lease: Lease) {
        self.leases.remove(&lease);
        let bound: Vec<Arc<str>> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound {
            self.remove(&key);
        }
    }

    const fn next_revision(&mut self) -> Revision {
        self.revision = Revision(self.revision.0 + 1);
        self.revision
    }
}

fn entry(key: &Arc<str>, slot: &Slot) -> Entry {
    Entry {
        key: key.clone(),
        value: slot.value.clone(),
        revision: slot.revision,
    }
}
