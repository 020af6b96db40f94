//! Choice of an upstream among a row's copies, in time that does not grow with them.

use crate::{
    row::Row,
    settings::Settings,
    upstreams::{UpstreamId, Upstreams},
};
use mulberryrack_core::{Time, request::Priority, upstream::Report};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Most copies that are looked at in one data centre for one choice.
const LOOKS: usize = 8;

/// What is looked for.
pub(crate) struct Wish<'a> {
    pub priority: Priority,
    /// Leading blocks of the prompt.
    pub prefix: &'a [u64],
    /// Upstreams that are not to be used.
    pub avoid: &'a [UpstreamId],
    /// Whether it must not run beside another suspected request.
    pub suspect: bool,
    /// An upstream that has just become free.
    pub freed: Option<UpstreamId>,
}

/// Chooses between two random copies with room, those nearby first.
pub(crate) fn choose(
    row: &Row,
    wish: &Wish<'_>,
    upstreams: &Upstreams,
    settings: &Settings,
    now: Time,
    rng: &mut ChaCha8Rng,
) -> Option<UpstreamId> {
    let fits = |id: UpstreamId| {
        let upstream = upstreams.get(id);
        !wish.avoid.contains(&id)
            && upstream.available()
            && upstream.load() < upstream.limit(wish.priority, settings, now)
            && (!wish.suspect || upstream.suspect.is_none())
    };
    let cost = |id: UpstreamId| {
        let upstream = upstreams.get(id);
        let cached = upstream.cache.share(wish.prefix, now, settings);
        upstream.pressure(settings, now) - settings.prefix_credit * cached
    };
    [&row.near, &row.far].into_iter().find_map(|copies| {
        let mut found = Vec::with_capacity(4);
        found.extend(wish.freed.filter(|id| copies.contains(id) && fits(*id)));
        found.extend(
            wish.prefix
                .first()
                .and_then(|block| row.homes.get(*block))
                .filter(|id| copies.contains(id) && fits(*id)),
        );
        let wanted = found.len() + 2;
        let start = if copies.is_empty() {
            0
        } else {
            rng.random_range(0..copies.len())
        };
        // The first two looks are independent of each other, the rest walk on.
        let second = if copies.len() < 2 {
            0
        } else {
            rng.random_range(1..copies.len())
        };
        let looks = (0..copies.len().min(LOOKS)).map(|step| {
            let step = match step {
                0 => 0,
                step => second + step - 1,
            };
            copies[(start + step) % copies.len()]
        });
        for id in looks {
            if found.len() == wanted {
                break;
            }
            if fits(id) && !found.contains(&id) {
                found.push(id);
            }
        }
        found
            .into_iter()
            .min_by(|one, other| cost(*one).total_cmp(&cost(*other)))
    })
}

/// Where prompts that begin with a block were last sent.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    by_block: BTreeMap<u64, UpstreamId>,
    order: VecDeque<u64>,
}

/// Most blocks remembered for a row.
const HOMES: usize = 256;

impl Homes {
    /// The upstream that last got a prompt with this first block.
    pub fn get(&self, block: u64) -> Option<UpstreamId> {
        self.by_block.get(&block).copied()
    }

    /// Notes where a prompt was sent.
    pub fn put(&mut self, block: u64, id: UpstreamId) {
        if self.by_block.insert(block, id).is_none() {
            self.order.push_back(block);
        }
        if self.order.len() > HOMES {
            let oldest = self.order.pop_front().expect("longer than the bound");
            self.by_block.remove(&oldest);
        }
    }
}

/// Prefix blocks that an upstream is thought to hold.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    blocks: BTreeMap<u64, Time>,
    order: VecDeque<u64>,
}

impl Cache {
    /// Takes the cache events of a report; after a gap nothing older is trusted, since
    /// the evictions may be among what was missed.
    pub fn adopt(&mut self, now: Time, report: &Report, gap: bool, settings: &Settings) {
        if gap {
            self.blocks.clear();
            self.order.clear();
        }
        for block in &report.cached {
            if self.blocks.insert(*block, now).is_none() {
                self.order.push_back(*block);
            }
        }
        for block in &report.evicted {
            self.blocks.remove(block);
        }
        while self.order.len() > settings.prefix_blocks {
            let oldest = self.order.pop_front().expect("longer than the bound");
            self.blocks.remove(&oldest);
        }
    }

    /// Share of a prompt's blocks that is cached, discounted by the age of the events.
    pub fn share(&self, prefix: &[u64], now: Time, settings: &Settings) -> f64 {
        if self.blocks.is_empty() || prefix.is_empty() {
            return 0.0;
        }
        // Every block covers all before it, so the cached ones are a leading part.
        let cached = prefix.partition_point(|block| self.blocks.contains_key(block));
        let Some(last) = cached.checked_sub(1) else {
            return 0.0;
        };
        let age = now - self.blocks[&prefix[last]];
        let half = settings.prefix_half_life.as_secs_f64().max(1e-3);
        #[allow(clippy::cast_precision_loss)]
        let share = cached as f64 / prefix.len() as f64;
        share * 0.5f64.powf(age.as_secs_f64() / half)
    }
}
