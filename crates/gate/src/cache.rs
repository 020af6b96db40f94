//! Estimates which prompt prefixes the engines have cached.

use mulberryrack_core::{Time, hash};
use mulberryrack_site::request::Generation;
use std::{collections::BTreeMap, time::Duration};

/// Prefixes remembered for one engine; the engine's cache holds about as many.
const MAX_PREFIXES: usize = 64;
/// Time after which a prefix that was not used again is assumed to be evicted.
const RETENTION_PERIOD: Duration = Duration::from_secs(25);

/// The prefixes of a prompt that end at the end of a section, shortest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain {
    /// For each prefix, its hash and its length in tokens. The hash covers the model, the
    /// adapter and the sections up to the prefix's end.
    pub prefixes: Vec<(u64, u32)>,
}

impl PrefixChain {
    /// Computes the prefixes of a generation's prompt.
    #[must_use]
    pub fn of(generation: &Generation) -> Self {
        let adapter = generation.adapter.as_deref().unwrap_or_default();
        let mut hash_so_far = hash::stable(
            adapter.as_bytes(),
            hash::stable(generation.model.as_bytes(), 0),
        );
        let mut tokens = 0u32;
        let prefix = |part: &mulberryrack_site::request::PromptPart| {
            hash_so_far = hash::stable(&part.id.to_le_bytes(), hash_so_far);
            tokens = tokens.saturating_add(part.tokens);
            (hash_so_far, tokens)
        };
        Self {
            prefixes: generation.prompt_parts.iter().map(prefix).collect(),
        }
    }
}

/// Prefixes that were recently sent to an engine, with the time of their last use.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    last_used: BTreeMap<u64, Time>,
}

impl PrefixCache {
    /// Length in tokens of the longest prefix of a prompt that the engine should still have
    /// cached.
    pub fn cached_tokens(&self, now: Time, chain: &PrefixChain) -> u32 {
        let fresh = |prefix: &&(u64, u32)| {
            let used = self.last_used.get(&prefix.0);
            used.is_some_and(|used| now.since(*used) < RETENTION_PERIOD)
        };
        chain
            .prefixes
            .iter()
            .rev()
            .find(fresh)
            .map_or(0, |prefix| prefix.1)
    }

    /// Records that a prompt with these prefixes was sent to the engine. The least recently
    /// used prefixes are dropped beyond [`MAX_PREFIXES`].
    pub fn record(&mut self, now: Time, prefixes: impl Iterator<Item = u64>) {
        self.last_used.extend(prefixes.map(|prefix| (prefix, now)));
        while self.last_used.len() > MAX_PREFIXES {
            let oldest = self.last_used.iter().min_by_key(|(_, used)| **used);
            let oldest = oldest.map(|(prefix, _)| *prefix);
            oldest.map(|prefix| self.last_used.remove(&prefix));
        }
    }
}
