//! The prefix cache: blocks of prompts with least-recently-used eviction, and the cache
//! events that reports contain.

use mulberryrack_core::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Time for which reports repeat a cache event.
const EVENT_REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of blocks that a report lists as cached, and as evicted.
const MAX_EVENTS: usize = 512;

#[derive(Clone, Debug)]
struct Block {
    owner: Name,
    use_number: u64,
}

/// Cached blocks by their hash.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    capacity: usize,
    event_gap: u32,
    /// Increases with each use of a block.
    last_use_number: u64,
    blocks: BTreeMap<u64, Block>,
    /// Hashes of the cached blocks by the number of their last use; the first is evicted
    /// first.
    hash_by_use: BTreeMap<u64, u64>,
    /// Time and block of each recent caching or eviction, except the lost events.
    events: VecDeque<(Time, u64)>,
    event_count: u32,
}

impl Cache {
    /// Creates a cache for `capacity` blocks. Every `event_gap`-th event is lost; none if
    /// `event_gap` is 0.
    pub fn new(capacity: usize, event_gap: u32) -> Self {
        Self {
            capacity,
            event_gap,
            ..Self::default()
        }
    }

    /// Number of leading blocks of a prompt that are cached for `owner`, a version of a row.
    pub fn cached_prefix_len(&self, owner: &str, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .take_while(|hash| {
                let block = self.blocks.get(hash);
                block.is_some_and(|block| *block.owner == *owner)
            })
            .count()
    }

    /// Caches the blocks of a prompt as the most recently used ones, and evicts others if
    /// the cache is full.
    pub fn insert(&mut self, now: Time, owner: &Name, prefix: &[u64]) {
        // Prompts that share any block share the first one, so it counts as the most
        // recently used and is evicted last.
        for hash in prefix.iter().rev() {
            self.last_use_number += 1;
            let use_number = self.last_use_number;
            let owner = owner.clone();
            let old = self.blocks.insert(*hash, Block { owner, use_number });
            self.hash_by_use.insert(use_number, *hash);
            match old {
                Some(old) => drop(self.hash_by_use.remove(&old.use_number)),
                None => self.record_event(now, *hash),
            }
        }
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.hash_by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.record_event(now, hash);
        }
    }

    /// Hashes of all cached blocks of an owner, for export to another engine.
    pub fn blocks(&self, owner: &str) -> Vec<u64> {
        self.hash_by_use
            .values()
            .filter(|hash| *self.blocks[*hash].owner == *owner)
            .copied()
            .collect()
    }

    /// Blocks recently cached and blocks recently evicted, as far as their events were not
    /// lost. A block counts by whether it is cached now.
    pub fn recent_changes(&mut self, now: Time) -> (Vec<u64>, Vec<u64>) {
        while let Some((at, _)) = self.events.front() {
            if now - *at <= EVENT_REPORT_PERIOD {
                break;
            }
            self.events.pop_front();
        }
        let newest: BTreeSet<u64> = self.events.iter().map(|(_, hash)| *hash).collect();
        let (mut cached, mut evicted): (Vec<u64>, Vec<u64>) = newest
            .into_iter()
            .partition(|hash| self.blocks.contains_key(hash));
        cached.truncate(MAX_EVENTS);
        evicted.truncate(MAX_EVENTS);
        (cached, evicted)
    }

    fn record_event(&mut self, now: Time, hash: u64) {
        self.event_count += 1;
        if self.event_gap == 0 || !self.event_count.is_multiple_of(self.event_gap) {
            self.events.push_back((now, hash));
        }
    }
}
