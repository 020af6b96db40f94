//! The key-value service: compare-and-swap, leases, watches.

use bytes::Bytes;
use mulberryrack_core::{
    Time,
    kv::{Entry, Lease, Op, Reply, Revision},
};
use std::{collections::BTreeMap, ops::Bound, sync::Arc, time::Duration};

/// Largest value in bytes.
pub const MAX_VALUE: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Slot {
    value: Bytes,
    revision: Revision,
    lease: Option<Lease>,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    ttl: Duration,
    until: Time,
}

/// The service's whole state. Single copy, linearizable.
#[derive(Clone, Debug, Default)]
pub struct Store {
    slots: BTreeMap<Arc<str>, Slot>,
    deleted: BTreeMap<Arc<str>, Revision>,
    terms: BTreeMap<Lease, Term>,
    revision: Revision,
    next_lease: u64,
    /// Writes taken since the start, conflicts and leases included.
    pub writes: u64,
    /// Reads taken since the start; a watch counts once.
    pub reads: u64,
}

impl Store {
    /// Carries out one call. `None` for a watch that has nothing to report yet: the
    /// caller asks [`Store::changes`] again after a write, and answers empty when the
    /// wait is over.
    pub fn call(&mut self, now: Time, op: &Op) -> Option<Reply> {
        self.expire(now);
        self.count(op);
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
                self.end(*lease);
                Some(Reply::Renewed(false))
            }
        }
    }

    /// What has changed under `prefix` after a revision; `None` if nothing.
    #[must_use]
    pub fn changes(&self, prefix: &str, after: Revision) -> Option<Reply> {
        let entries: Vec<Entry> = self
            .under(prefix)
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

    /// The answer to a watch whose wait is over.
    #[must_use]
    pub const fn unchanged(&self) -> Reply {
        Reply::Changes {
            entries: Vec::new(),
            deleted: Vec::new(),
            revision: self.revision,
        }
    }

    /// Ends the leases that have lapsed.
    pub fn expire(&mut self, now: Time) {
        let lapsed: Vec<Lease> = self
            .terms
            .iter()
            .filter(|(_, term)| term.until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in lapsed {
            self.end(lease);
        }
    }

    fn count(&mut self, op: &Op) {
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

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a Arc<str>, &'a Slot)> {
        self.slots
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: u32) -> Reply {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let mut entries: Vec<Entry> = self
            .under(prefix)
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
        let lease_ended = lease.is_some_and(|lease| !self.terms.contains_key(&lease));
        if current != expect || lease_ended || value.len() > MAX_VALUE {
            return Reply::Conflict(self.entry(key));
        }
        let revision = self.advance();
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
        let revision = self.advance();
        self.slots.remove(key);
        self.deleted.insert(key.clone(), revision);
        revision
    }

    fn grant(&mut self, now: Time, ttl: Duration) -> Reply {
        self.next_lease += 1;
        let lease = Lease(self.next_lease);
        let until = now + ttl;
        self.terms.insert(lease, Term { ttl, until });
        Reply::Granted(lease)
    }

    fn renew(&mut self, now: Time, lease: Lease) -> Reply {
        let Some(term) = self.terms.get_mut(&lease) else {
            return Reply::Renewed(false);
        };
        term.until = now + term.ttl;
        Reply::Renewed(true)
    }

    fn end(&mut self, lease: Lease) {
        self.terms.remove(&lease);
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

    const fn advance(&mut self) -> Revision {
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
