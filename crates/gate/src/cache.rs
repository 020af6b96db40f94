//! What engines are believed to keep of prompts.

use mulberryrack_core::{Time, hash};
use mulberryrack_site::request::Generation;
use std::{collections::BTreeMap, time::Duration};

/// Prompt beginnings that are remembered of one engine; its memory holds about as many.
const REMEMBERED: usize = 64;
/// Time after which a beginning that was not used again counts as dropped.
const KEPT: Duration = Duration::from_secs(25);

/// The beginnings of a prompt, each with its length in tokens, the shortest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// Hash of model, adapter and all parts up to one, and their tokens together.
    pub links: Vec<(u64, u32)>,
}

impl Chain {
    /// The beginnings of a generation's prompt.
    #[must_use]
    pub fn of(generation: &Generation) -> Self {
        let adapter = generation.adapter.as_deref().unwrap_or_default();
        let mut covered = hash::stable(
            adapter.as_bytes(),
            hash::stable(generation.model.as_bytes(), 0),
        );
        let mut tokens = 0u32;
        let link = |part: &mulberryrack_site::request::Part| {
            covered = hash::stable(&part.id.to_le_bytes(), covered);
            tokens = tokens.saturating_add(part.tokens);
            (covered, tokens)
        };
        Self {
            links: generation.parts.iter().map(link).collect(),
        }
    }
}

/// Beginnings of prompts that an engine was sent lately.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    used: BTreeMap<u64, Time>,
}

impl Cache {
    /// Tokens of a prompt that it keeps.
    pub fn kept(&self, now: Time, chain: &Chain) -> u32 {
        let fresh = |link: &&(u64, u32)| {
            let used = self.used.get(&link.0);
            used.is_some_and(|used| now.since(*used) < KEPT)
        };
        chain
            .links
            .iter()
            .rev()
            .find(fresh)
            .map_or(0, |link| link.1)
    }

    /// Takes that it was sent a prompt.
    pub fn take(&mut self, now: Time, links: impl Iterator<Item = u64>) {
        self.used.extend(links.map(|link| (link, now)));
        while self.used.len() > REMEMBERED {
            let oldest = self.used.iter().min_by_key(|(_, used)| **used);
            let oldest = oldest.map(|(link, _)| *link);
            oldest.map(|link| self.used.remove(&link));
        }
    }
}
