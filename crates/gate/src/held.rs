//! The prompts of a host's requests that are held back for one engine.

use std::collections::BTreeMap;

/// A request that is held back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Time to read its prompt, in milliseconds.
    pub read_ms: f64,
}

/// Times to read the prompts that are held for an engine, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    total_ms: f64,
    /// The same by rank. Invariant: only ranks with a held prompt.
    by_rank: BTreeMap<u8, (u32, f64)>,
}

impl Held {
    pub fn add(&mut self, prompt: Prompt) {
        self.total_ms += prompt.read_ms;
        let (count, read_ms) = self.by_rank.entry(prompt.rank).or_default();
        *count += 1;
        *read_ms += prompt.read_ms;
    }

    pub fn remove(&mut self, prompt: Prompt) {
        self.total_ms = (self.total_ms - prompt.read_ms).max(0.0);
        if let Some((count, read_ms)) = self.by_rank.get_mut(&prompt.rank) {
            *count = count.saturating_sub(1);
            *read_ms = (*read_ms - prompt.read_ms).max(0.0);
        }
        self.by_rank.retain(|_, (count, _)| *count > 0);
    }

    /// Time to read all prompts.
    pub const fn total_ms(&self) -> f64 {
        self.total_ms
    }

    /// Time to read the prompts of requests that are at least as urgent as this rank.
    pub fn urgent_ms(&self, rank: u8) -> f64 {
        let as_urgent = self.by_rank.range(..=rank);
        as_urgent.map(|(_, (_, read_ms))| read_ms).sum()
    }
}
