//! The prefix cache: blocks of prompts, least recently used out first, and its events.

use mulberryrack_core::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// How long an event is repeated in reports.
const EVENT_WINDOW: Duration = Duration::from_secs(5);
/// Most blocks that a report names each way.
const MAX_EVENTS: usize = 512;

#[derive(Clone, Debug)]
struct Block {
    owner: Name,
    used: u64,
}

/// Cached blocks by hash.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    capacity: usize,
    event_gap: u32,
    clock: u64,
    blocks: BTreeMap<u64, Block>,
    by_use: BTreeMap<u64, u64>,
    events: VecDeque<(Time, u64)>,
    events_seen: u32,
}

impl Cache {
    /// Room for `capacity` blocks; every `event_gap`-th event is lost, none if zero.
    pub fn new(capacity: usize, event_gap: u32) -> Self {
        Self {
            capacity,
            event_gap,
            ..Self::default()
        }
    }

    /// Leading blocks of a prompt that are cached for their owner, a row's version.
    pub fn hits(&self, owner: &str, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .take_while(|hash| {
                let block = self.blocks.get(hash);
                block.is_some_and(|block| *block.owner == *owner)
            })
            .count()
    }

    /// Keeps the blocks of a prompt as the most recently used.
    pub fn keep(&mut self, now: Time, owner: &Name, prefix: &[u64]) {
        // The first block is the most useful one, so it gets the newest use.
        for hash in prefix.iter().rev() {
            self.clock += 1;
            let used = self.clock;
            let owner = owner.clone();
            let old = self.blocks.insert(*hash, Block { owner, used });
            self.by_use.insert(used, *hash);
            match old {
                Some(old) => drop(self.by_use.remove(&old.used)),
                None => self.event(now, *hash),
            }
        }
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.event(now, hash);
        }
    }

    /// Every cached block of an owner, for export.
    pub fn blocks(&self, owner: &str) -> Vec<u64> {
        self.by_use
            .values()
            .filter(|hash| *self.blocks[*hash].owner == *owner)
            .copied()
            .collect()
    }

    /// Blocks cached and blocks evicted of late.
    pub fn changes(&mut self, now: Time) -> (Vec<u64>, Vec<u64>) {
        while let Some((at, _)) = self.events.front() {
            if now - *at <= EVENT_WINDOW {
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

    fn event(&mut self, now: Time, hash: u64) {
        self.events_seen += 1;
        if self.event_gap == 0 || !self.events_seen.is_multiple_of(self.event_gap) {
            self.events.push_back((now, hash));
        }
    }
}
