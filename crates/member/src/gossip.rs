//! Replication of keyed values to every host. A new value is pushed to a few hosts; each
//! host that adopts it announces it to a few more. Periodic comparisons of bucket hashes
//! (anti-entropy) repair losses.

use crate::{context::Context, hosts};
use bytes::Bytes;
use mulberryrack_core::{Name, Time, hash, view::Value};
use mulberryrack_wire::member::{self as wire, Announce, Ask, Compare, Digest};
use prost::Message;
use std::{collections::BTreeMap, ops::Bound, time::Duration};

/// Prefixes of keys that end with the name of the host to which they belong. Such keys
/// are dropped when the host is forgotten.
const HOST_OWNED_PREFIXES: [&str; 2] = [hosts::HOST_KEY_PREFIX, "suspect/"];
/// Number of buckets whose hashes are kept up to date. Digests combine them into fewer
/// buckets.
const BUCKETS: usize = 1_024;
/// Average number of keys per bucket of a digest.
const KEYS_PER_BUCKET: usize = 8;
/// Time in which a changed value reaches most hosts.
const PROPAGATION_PERIOD: Duration = Duration::from_secs(2);
/// Of the buckets with a change within [`PROPAGATION_PERIOD`], one in this many is
/// compared at random.
const RECENT_BUCKET_ODDS: usize = 8;
/// Maximum size of the values in one frame, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 32 * 1_024;
/// Maximum number of key hashes in one frame.
const MAX_IDS: usize = 1_000;
/// Time after which a requested value that has not arrived is requested again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// A value and what is needed to send it as a patch.
#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    /// Hash of the key.
    id: u64,
    /// Version and bytes of the value that this one replaced, the base of patches.
    previous: Option<(u64, Bytes)>,
}

/// All values with the state of their replication.
pub(crate) struct Gossip {
    entries: BTreeMap<Name, Entry>,
    /// Keys by key hash.
    keys_by_id: BTreeMap<u64, Name>,
    /// Exclusive or of the hashes of all key hashes and versions of each bucket.
    bucket_hashes: Vec<u32>,
    /// When each bucket last changed.
    bucket_changed_at: Vec<Time>,
    /// Key hashes of the values adopted since the last announcement.
    unannounced: Vec<u64>,
    /// Requested versions by key hash, with the time of the request.
    requested: BTreeMap<u64, (u64, Time)>,
}

impl Gossip {
    pub fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            keys_by_id: BTreeMap::new(),
            bucket_hashes: vec![0; BUCKETS],
            bucket_changed_at: vec![Time::ZERO; BUCKETS],
            unannounced: Vec::new(),
            requested: BTreeMap::new(),
        }
    }

    /// Adopts a value if its version is higher than the known one. Returns whether it was
    /// adopted.
    pub fn merge(&mut self, now: Time, value: &Value) -> bool {
        let id = hash::stable(value.key.as_bytes(), 0);
        let previous = self
            .entries
            .get(&value.key)
            .map(|entry| (entry.value.version, entry.value.bytes.clone()));
        if let Some((known, _)) = previous {
            if known >= value.version {
                return false;
            }
            self.toggle_bucket(id, known);
        }
        self.toggle_bucket(id, value.version);
        self.bucket_changed_at[bucket(id, BUCKETS)] = now;
        self.keys_by_id.insert(id, value.key.clone());
        self.entries.insert(
            value.key.clone(),
            Entry {
                value: value.clone(),
                id,
                previous,
            },
        );
        self.requested.remove(&id);
        self.unannounced.push(id);
        true
    }

    /// Drops a key. The value returns if a host that still has it sends it.
    pub fn drop_key(&mut self, key: &str) {
        if let Some(entry) = self.entries.remove(key) {
            self.toggle_bucket(entry.id, entry.value.version);
            self.keys_by_id.remove(&entry.id);
        }
    }

    /// Keys that belong to a host, by [`HOST_OWNED_PREFIXES`].
    pub fn host_owned_keys(&self) -> impl Iterator<Item = &Name> {
        HOST_OWNED_PREFIXES.iter().flat_map(|prefix| {
            self.entries
                .range::<str, _>((Bound::Included(*prefix), Bound::Unbounded))
                .map(|(key, _)| key)
                .take_while(move |key| key.starts_with(prefix))
        })
    }

    /// Adds a version of a key to the hash of its bucket, or removes it again.
    fn toggle_bucket(&mut self, id: u64, version: u64) {
        let mixed = hash::stable(&version.to_le_bytes(), id);
        self.bucket_hashes[bucket(id, BUCKETS)] ^= low_bits(mixed);
    }

    /// Whether any adopted value has yet to be announced.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty()
    }

    /// Announcements of all values adopted since the last call; also drops old requests.
    pub fn take_announcements(&mut self, now: Time) -> Vec<Announce> {
        self.requested
            .retain(|_, (_, at)| now.since(*at) < REQUEST_TIMEOUT * 4);
        let mut ids = std::mem::take(&mut self.unannounced);
        ids.sort_unstable();
        ids.dedup();
        ids.chunks(MAX_IDS)
            .map(|ids| {
                let stored: Vec<(u64, u64)> = ids
                    .iter()
                    .filter_map(|id| Some((*id, self.version_of(*id)?)))
                    .collect();
                Announce {
                    ids: stored.iter().map(|(id, _)| *id).collect(),
                    versions: stored.iter().map(|(_, version)| *version).collect(),
                }
            })
            .collect()
    }

    fn version_of(&self, id: u64) -> Option<u64> {
        let key = self.keys_by_id.get(&id)?;
        self.entries.get(key).map(|entry| entry.value.version)
    }

    /// A request for those announced values that are newer than the known ones and were
    /// not requested within [`REQUEST_TIMEOUT`].
    pub fn request_newer(&mut self, now: Time, ids: &[u64], versions: &[u64]) -> Option<Ask> {
        let wanted: Vec<(u64, u64)> = ids
            .iter()
            .copied()
            .zip(versions.iter().copied())
            .filter(|(id, version)| self.version_of(*id).is_none_or(|known| known < *version))
            .filter(|(id, version)| {
                self.requested.get(id).is_none_or(|(requested, at)| {
                    requested < version || now.since(*at) >= REQUEST_TIMEOUT
                })
            })
            .take(MAX_IDS)
            .collect();
        for (id, version) in &wanted {
            self.requested.insert(*id, (*version, now));
        }
        (!wanted.is_empty()).then(|| Ask {
            ids: wanted.iter().map(|(id, _)| *id).collect(),
            have: wanted
                .iter()
                .map(|(id, _)| self.version_of(*id).unwrap_or(0))
                .collect(),
        })
    }

    /// The values with the given key hashes, in frames of bounded size. Each is a patch
    /// of the version that the requester has, if this host still has the version as a
    /// patch base.
    pub fn values_for(&self, requested: impl Iterator<Item = (u64, u64)>) -> Vec<wire::Values> {
        let values = requested
            .filter_map(|(id, have)| Some((self.keys_by_id.get(&id)?, have)))
            .filter_map(|(key, have)| Some((self.entries.get(key)?, have)))
            .map(|(entry, have)| {
                entry
                    .patch_from(have)
                    .unwrap_or_else(|| to_wire(&entry.value))
            });
        batches(values)
    }

    /// The value of a key in its wire form, not as a patch.
    pub fn full_value(&self, key: &str) -> Option<wire::Value> {
        self.entries.get(key).map(|entry| to_wire(&entry.value))
    }

    /// The wire form of a value that was just adopted: a patch of the version that it
    /// replaced, or the full value.
    pub fn patch_or_full(&self, value: &Value) -> wire::Value {
        self.entries
            .get(&value.key)
            .and_then(|entry| entry.patch_from(entry.previous.as_ref()?.0))
            .unwrap_or_else(|| to_wire(value))
    }

    /// Converts a value from its wire form; `None` for a patch whose base this host does not
    /// have, or whose result does not have the stated checksum.
    pub fn reconstruct(&self, sent: &wire::Value) -> Option<Value> {
        if !sent.key.is_empty() {
            return Some(from_wire(sent));
        }
        let entry = self.entries.get(self.keys_by_id.get(&sent.id)?)?;
        if entry.value.version != sent.base {
            return None;
        }
        let base = &entry.value.bytes;
        let prefix = usize::try_from(sent.prefix).ok()?;
        let suffix = usize::try_from(sent.suffix).ok()?;
        let tail = base.len().checked_sub(suffix)?;
        let bytes = [base.get(..prefix)?, &sent.bytes, &base[tail..]].concat();
        (checksum(&bytes) == sent.check).then(|| Value {
            key: entry.value.key.clone(),
            version: sent.version,
            bytes: bytes.into(),
        })
    }

    /// Bucket hashes of all values, with about [`KEYS_PER_BUCKET`] keys per bucket.
    pub fn digest(&self) -> Digest {
        let count = (self.entries.len() / KEYS_PER_BUCKET)
            .next_power_of_two()
            .clamp(16, BUCKETS);
        Digest {
            buckets: self.fold_buckets(count),
            dead: Vec::new(),
        }
    }

    /// Combines the bucket hashes into those of `count` buckets.
    fn fold_buckets(&self, count: usize) -> Vec<u32> {
        let mut folded = vec![0; count];
        for (index, hash) in self.bucket_hashes.iter().enumerate() {
            folded[index % count] ^= hash;
        }
        folded
    }

    /// The keys and versions of this host in the buckets that differ from a digest;
    /// `None` if no bucket does. Most buckets with a change within [`PROPAGATION_PERIOD`]
    /// are left out.
    pub fn compare(&self, cx: &mut Context, digest: &Digest) -> Option<Compare> {
        let count = digest.buckets.len();
        if !count.is_power_of_two() || count > BUCKETS {
            return None;
        }
        let own = self.fold_buckets(count);
        let mut answer = Compare {
            count: u32::try_from(count).unwrap_or(0),
            ..Compare::default()
        };
        let stored = self.versions_by_bucket(count);
        for (index, (own_hash, their_hash)) in own.iter().zip(&digest.buckets).enumerate() {
            let over_limit = answer.ids.len() + stored[index].len() > MAX_IDS;
            if own_hash == their_hash || over_limit || self.is_deferred(cx, index, count) {
                continue;
            }
            answer.buckets.push(u32::try_from(index).unwrap_or(0));
            for (id, version) in &stored[index] {
                answer.ids.push(*id);
                answer.versions.push(*version);
            }
        }
        (!answer.buckets.is_empty()).then_some(answer)
    }

    /// Whether a bucket is left out of a comparison because it changed within
    /// [`PROPAGATION_PERIOD`]. At random it is compared nevertheless, so that a bucket
    /// that always changes is repaired too.
    fn is_deferred(&self, cx: &mut Context, index: usize, count: usize) -> bool {
        let mut folded = self.bucket_changed_at.iter().skip(index).step_by(count);
        let recent = folded.any(|at| cx.now.since(*at) < PROPAGATION_PERIOD);
        recent && cx.random_index(RECENT_BUCKET_ODDS) != 0
    }

    /// Key hashes and versions of all values, by bucket of a digest with `count` buckets.
    fn versions_by_bucket(&self, count: usize) -> Vec<Vec<(u64, u64)>> {
        let mut stored = vec![Vec::new(); count];
        for entry in self.entries.values() {
            stored[bucket(entry.id, BUCKETS) % count].push((entry.id, entry.value.version));
        }
        stored
    }

    /// Key hashes of the values that the sender of a comparison lacks or has in an older
    /// version, with the version that it has (0 for none).
    pub fn missing_at_sender(&self, compare: &Compare) -> Vec<(u64, u64)> {
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
        let stored = self.versions_by_bucket(count);
        compare
            .buckets
            .iter()
            .filter_map(|index| stored.get(usize::try_from(*index).ok()?))
            .flatten()
            .filter(|(id, version)| theirs.get(id).is_none_or(|known| known < version))
            .map(|(id, _)| (*id, theirs.get(id).copied().unwrap_or(0)))
            .take(MAX_IDS)
            .collect()
    }

    /// Values after a key in key order, as many as fit one frame.
    pub fn page(&self, after: &str) -> wire::Page {
        let mut bytes = 0;
        let mut values: Vec<wire::Value> = Vec::new();
        let mut last = true;
        let bounds = (Bound::Excluded(after), Bound::Unbounded);
        for entry in self.entries.range::<str, _>(bounds).map(|(_, entry)| entry) {
            bytes += estimated_len(&entry.value);
            if bytes > MAX_FRAME_BYTES && !values.is_empty() {
                last = false;
                break;
            }
            values.push(to_wire(&entry.value));
        }
        wire::Page {
            after: after.to_owned(),
            values,
            last,
            dead: Vec::new(),
        }
    }
}

impl Entry {
    /// The value as a patch of the version `have`; `None` if `have` is not the version
    /// that this value replaced, or if the patch is not smaller than the value.
    fn patch_from(&self, have: u64) -> Option<wire::Value> {
        let (base, old) = self.previous.as_ref().filter(|(base, _)| *base == have)?;
        let new = &self.value.bytes;
        let max_len = old.len().min(new.len());
        let prefix = common_len(old.iter().zip(new.iter()), max_len);
        let suffix = common_len(old.iter().rev().zip(new.iter().rev()), max_len - prefix);
        let patch = wire::Value {
            version: self.value.version,
            bytes: new.slice(prefix..new.len() - suffix),
            id: self.id,
            base: *base,
            prefix: u32::try_from(prefix).ok()?,
            suffix: u32::try_from(suffix).ok()?,
            check: checksum(new),
            ..wire::Value::default()
        };
        (patch.encoded_len() < estimated_len(&self.value)).then_some(patch)
    }
}

/// Name of the host to which a key belongs.
pub(crate) fn owning_host(key: &str) -> Option<&str> {
    HOST_OWNED_PREFIXES
        .iter()
        .find_map(|prefix| key.strip_prefix(prefix))
}

/// Length of the common prefix of two byte sequences, at most `max_len`.
fn common_len<'a>(pairs: impl Iterator<Item = (&'a u8, &'a u8)>, max_len: usize) -> usize {
    pairs.take(max_len).take_while(|(a, b)| a == b).count()
}

fn checksum(bytes: &[u8]) -> u32 {
    low_bits(hash::stable(bytes, 0))
}

fn bucket(id: u64, count: usize) -> usize {
    usize::try_from(id % count as u64).unwrap_or(0)
}

#[allow(clippy::cast_possible_truncation)]
const fn low_bits(mixed: u64) -> u32 {
    mixed as u32
}

/// Estimated encoded size of a value, in bytes.
fn estimated_len(value: &Value) -> usize {
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

/// Distributes values over frames of at most [`MAX_FRAME_BYTES`], or of one value if that
/// is larger.
fn batches(values: impl Iterator<Item = wire::Value>) -> Vec<wire::Values> {
    let mut batches: Vec<wire::Values> = Vec::new();
    let mut bytes = 0;
    for value in values {
        bytes += value.key.len() + value.bytes.len() + 16;
        if bytes > MAX_FRAME_BYTES || batches.is_empty() {
            batches.push(wire::Values::default());
            bytes = value.key.len() + value.bytes.len() + 16;
        }
        if let Some(batch) = batches.last_mut() {
            batch.values.push(value);
        }
    }
    batches
}
