//! Values that reach every host: pushed to a few, announced to a few more by each host
//! that adopts them, and compared now and then to repair what was lost.

use crate::hosts;
use bytes::Bytes;
use mulberryrack_core::{Name, Time, hash, view::Value};
use mulberryrack_wire::member::{self as wire, Announce, Ask, Compare, Digest};
use prost::Message;
use std::{collections::BTreeMap, ops::Bound, time::Duration};

/// Prefixes of keys that belong to the host whose name follows, and go with it.
const OWNED: [&str; 2] = [hosts::PREFIX, "suspect/"];
/// Buckets that are kept up to date; digests fold them.
const BUCKETS: usize = 1_024;
/// Keys for each bucket of a digest.
const KEYS_PER_BUCKET: usize = 8;
/// Most bytes of values in one frame.
pub(crate) const MAX_BYTES: usize = 32 * 1_024;
/// Most key hashes in one frame.
const MAX_IDS: usize = 1_000;
/// Time after which a value that was asked for is asked for again.
const ASK_AGAIN: Duration = Duration::from_millis(400);

#[derive(Clone, Debug)]
struct Slot {
    value: Value,
    id: u64,
    /// The version that was replaced, to patch from.
    before: Option<(u64, Bytes)>,
}

/// All values, by key.
pub(crate) struct Spread {
    slots: BTreeMap<Name, Slot>,
    keys: BTreeMap<u64, Name>,
    buckets: Vec<u32>,
    /// Adopted since the last announcement.
    fresh: Vec<u64>,
    asked: BTreeMap<u64, (u64, Time)>,
}

impl Spread {
    pub fn new() -> Self {
        Self {
            slots: BTreeMap::new(),
            keys: BTreeMap::new(),
            buckets: vec![0; BUCKETS],
            fresh: Vec::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Takes in a value. Returns whether it is newer than the known one.
    pub fn adopt(&mut self, value: &Value) -> bool {
        let id = hash::stable(value.key.as_bytes(), 0);
        let before = self
            .slots
            .get(&value.key)
            .map(|slot| (slot.value.version, slot.value.bytes.clone()));
        if let Some((known, _)) = before {
            if known >= value.version {
                return false;
            }
            self.mix(id, known);
        }
        self.mix(id, value.version);
        self.keys.insert(id, value.key.clone());
        self.slots.insert(
            value.key.clone(),
            Slot {
                value: value.clone(),
                id,
                before,
            },
        );
        self.asked.remove(&id);
        self.fresh.push(id);
        true
    }

    /// Drops a key; its value comes back only if a peer still has it.
    pub fn drop_key(&mut self, key: &str) {
        if let Some(slot) = self.slots.remove(key) {
            self.mix(slot.id, slot.value.version);
            self.keys.remove(&slot.id);
        }
    }

    /// Keys that belong to one host.
    pub fn owned_keys(&self) -> impl Iterator<Item = &Name> {
        OWNED.iter().flat_map(|prefix| {
            self.slots
                .range::<str, _>((Bound::Included(*prefix), Bound::Unbounded))
                .map(|(key, _)| key)
                .take_while(move |key| key.starts_with(prefix))
        })
    }

    fn mix(&mut self, id: u64, version: u64) {
        let mixed = hash::stable(&version.to_le_bytes(), id);
        self.buckets[bucket(id, BUCKETS)] ^= low(mixed);
    }

    /// Whether something waits to be announced.
    pub fn has_fresh(&self) -> bool {
        !self.fresh.is_empty()
    }

    /// Announcements of everything adopted since the last ones.
    pub fn announce(&mut self, now: Time) -> Vec<Announce> {
        self.asked
            .retain(|_, (_, at)| now.since(*at) < ASK_AGAIN * 4);
        let mut ids = std::mem::take(&mut self.fresh);
        ids.sort_unstable();
        ids.dedup();
        ids.chunks(MAX_IDS)
            .map(|ids| {
                let held: Vec<(u64, u64)> = ids
                    .iter()
                    .filter_map(|id| Some((*id, self.version(*id)?)))
                    .collect();
                Announce {
                    ids: held.iter().map(|(id, _)| *id).collect(),
                    versions: held.iter().map(|(_, version)| *version).collect(),
                }
            })
            .collect()
    }

    fn version(&self, id: u64) -> Option<u64> {
        let key = self.keys.get(&id)?;
        self.slots.get(key).map(|slot| slot.value.version)
    }

    /// Which announced values to ask for; not those asked for a moment ago.
    pub fn wanted(&mut self, now: Time, ids: &[u64], versions: &[u64]) -> Option<Ask> {
        let wanted: Vec<(u64, u64)> = ids
            .iter()
            .copied()
            .zip(versions.iter().copied())
            .filter(|(id, version)| self.version(*id).is_none_or(|known| known < *version))
            .filter(|(id, version)| {
                self.asked
                    .get(id)
                    .is_none_or(|(asked, at)| asked < version || now.since(*at) >= ASK_AGAIN)
            })
            .take(MAX_IDS)
            .collect();
        for (id, version) in &wanted {
            self.asked.insert(*id, (*version, now));
        }
        (!wanted.is_empty()).then(|| Ask {
            ids: wanted.iter().map(|(id, _)| *id).collect(),
            have: wanted
                .iter()
                .map(|(id, _)| self.version(*id).unwrap_or(0))
                .collect(),
        })
    }

    /// The values asked for, each as a patch of the version that the asker holds where
    /// that is at hand, in frames of bounded size.
    pub fn values(&self, asked: impl Iterator<Item = (u64, u64)>) -> Vec<wire::Values> {
        let values = asked
            .filter_map(|(id, have)| Some((self.keys.get(&id)?, have)))
            .filter_map(|(key, have)| Some((self.slots.get(key)?, have)))
            .map(|(slot, have)| slot.patch(have).unwrap_or_else(|| to_wire(&slot.value)));
        batches(values)
    }

    /// A value in its sent form.
    pub fn whole(&self, key: &str) -> Option<wire::Value> {
        self.slots.get(key).map(|slot| to_wire(&slot.value))
    }

    /// A value as a patch of the version before it, or whole.
    pub fn newest(&self, value: &Value) -> wire::Value {
        self.slots
            .get(&value.key)
            .and_then(|slot| slot.patch(slot.before.as_ref()?.0))
            .unwrap_or_else(|| to_wire(value))
    }

    /// The value that was sent; `None` for a patch whose base is not held.
    pub fn restore(&self, sent: &wire::Value) -> Option<Value> {
        if !sent.key.is_empty() {
            return Some(from_wire(sent));
        }
        let slot = self.slots.get(self.keys.get(&sent.id)?)?;
        if slot.value.version != sent.base {
            return None;
        }
        let base = &slot.value.bytes;
        let prefix = usize::try_from(sent.prefix).ok()?;
        let suffix = usize::try_from(sent.suffix).ok()?;
        let tail = base.len().checked_sub(suffix)?;
        let bytes = [base.get(..prefix)?, &sent.bytes, &base[tail..]].concat();
        (check(&bytes) == sent.check).then(|| Value {
            key: slot.value.key.clone(),
            version: sent.version,
            bytes: bytes.into(),
        })
    }

    /// Hashes of all values, with about [`KEYS_PER_BUCKET`] keys each.
    pub fn digest(&self) -> Digest {
        let count = (self.slots.len() / KEYS_PER_BUCKET)
            .next_power_of_two()
            .clamp(16, BUCKETS);
        Digest {
            buckets: self.fold(count),
            dead: Vec::new(),
        }
    }

    fn fold(&self, count: usize) -> Vec<u32> {
        let mut folded = vec![0; count];
        for (index, hash) in self.buckets.iter().enumerate() {
            folded[index % count] ^= hash;
        }
        folded
    }

    /// What this host holds in the buckets that differ from a digest; `None` if none
    /// does.
    pub fn compare(&self, digest: &Digest) -> Option<Compare> {
        let count = digest.buckets.len();
        if !count.is_power_of_two() || count > BUCKETS {
            return None;
        }
        let own = self.fold(count);
        let mut answer = Compare {
            count: u32::try_from(count).unwrap_or(0),
            ..Compare::default()
        };
        let held = self.by_bucket(count);
        for (index, (mine, theirs)) in own.iter().zip(&digest.buckets).enumerate() {
            if mine == theirs || answer.ids.len() + held[index].len() > MAX_IDS {
                continue;
            }
            answer.buckets.push(u32::try_from(index).unwrap_or(0));
            for (id, version) in &held[index] {
                answer.ids.push(*id);
                answer.versions.push(*version);
            }
        }
        (!answer.buckets.is_empty()).then_some(answer)
    }

    fn by_bucket(&self, count: usize) -> Vec<Vec<(u64, u64)>> {
        let mut held = vec![Vec::new(); count];
        for slot in self.slots.values() {
            held[bucket(slot.id, BUCKETS) % count].push((slot.id, slot.value.version));
        }
        held
    }

    /// Key hashes of values that the sender of a comparison lacks, with the versions that
    /// it holds.
    pub fn missing(&self, compare: &Compare) -> Vec<(u64, u64)> {
        let count = usize::try_from(compare.count).unwrap_or(0);
        if !count.is_power_of_two() || count > BUCKETS {
            return Vec::new();
        }
        let theirs: BTreeMap<u64, u64> = compare
            .ids
            .iter()
            .copied()
            .zip(compare.versions.iter().copied())
            .collect();
        let held = self.by_bucket(count);
        compare
            .buckets
            .iter()
            .filter_map(|index| held.get(usize::try_from(*index).ok()?))
            .flatten()
            .filter(|(id, version)| theirs.get(id).is_none_or(|known| known < version))
            .map(|(id, _)| (*id, theirs.get(id).copied().unwrap_or(0)))
            .take(MAX_IDS)
            .collect()
    }

    /// Values after a key, in key order, up to the bound of a frame.
    pub fn page(&self, after: &str) -> wire::Page {
        let mut bytes = 0;
        let mut values: Vec<wire::Value> = Vec::new();
        let mut last = true;
        let bounds = (Bound::Excluded(after), Bound::Unbounded);
        for slot in self.slots.range::<str, _>(bounds).map(|(_, slot)| slot) {
            bytes += size(&slot.value);
            if bytes > MAX_BYTES && !values.is_empty() {
                last = false;
                break;
            }
            values.push(to_wire(&slot.value));
        }
        wire::Page {
            after: after.to_owned(),
            values,
            last,
            dead: Vec::new(),
        }
    }
}

impl Slot {
    /// The value as a patch of a version, if that is the one that it replaced.
    fn patch(&self, have: u64) -> Option<wire::Value> {
        let (base, old) = self.before.as_ref().filter(|(base, _)| *base == have)?;
        let new = &self.value.bytes;
        let most = old.len().min(new.len());
        let prefix = common(old.iter().zip(new.iter()), most);
        let suffix = common(old.iter().rev().zip(new.iter().rev()), most - prefix);
        let patch = wire::Value {
            version: self.value.version,
            bytes: new.slice(prefix..new.len() - suffix),
            id: self.id,
            base: *base,
            prefix: u32::try_from(prefix).ok()?,
            suffix: u32::try_from(suffix).ok()?,
            check: check(new),
            ..wire::Value::default()
        };
        (patch.encoded_len() < size(&self.value)).then_some(patch)
    }
}

/// The host that a key belongs to.
pub(crate) fn owner(key: &str) -> Option<&str> {
    OWNED.iter().find_map(|prefix| key.strip_prefix(prefix))
}

/// Length of the common start of two texts, at most `most`.
fn common<'a>(pairs: impl Iterator<Item = (&'a u8, &'a u8)>, most: usize) -> usize {
    pairs.take(most).take_while(|(a, b)| a == b).count()
}

fn check(bytes: &[u8]) -> u32 {
    low(hash::stable(bytes, 0))
}

fn bucket(id: u64, count: usize) -> usize {
    usize::try_from(id % count as u64).unwrap_or(0)
}

#[allow(clippy::cast_possible_truncation)]
const fn low(mixed: u64) -> u32 {
    mixed as u32
}

fn size(value: &Value) -> usize {
    value.key.len() + value.bytes.len() + 16
}

pub(crate) fn to_wire(value: &Value) -> wire::Value {
    wire::Value {
        key: value.key.to_string(),
        version: value.version,
        bytes: value.bytes.clone(),
        ..wire::Value::default()
    }
}

fn from_wire(value: &wire::Value) -> Value {
    Value {
        key: value.key.as_str().into(),
        version: value.version,
        bytes: value.bytes.clone(),
    }
}

fn batches(values: impl Iterator<Item = wire::Value>) -> Vec<wire::Values> {
    let mut batches: Vec<wire::Values> = Vec::new();
    let mut bytes = 0;
    for value in values {
        bytes += value.key.len() + value.bytes.len() + 16;
        if bytes > MAX_BYTES || batches.is_empty() {
            batches.push(wire::Values::default());
            bytes = value.key.len() + value.bytes.len() + 16;
        }
        if let Some(batch) = batches.last_mut() {
            batch.values.push(value);
        }
    }
    batches
}
