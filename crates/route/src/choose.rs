//! Choice of an upstream among a row's copies, in a time that does not grow with their
//! number.

use crate::{
    row::Row,
    settings::Settings,
    upstreams::{UpstreamId, Upstreams},
};
use mulberryrack_core::{Time, request::Priority, upstream::Report};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of copies sampled in one group, nearby or remote, for one choice.
const MAX_SAMPLES: usize = 8;

/// What the chosen upstream must fulfil.
pub(crate) struct Criteria<'a> {
    pub priority: Priority,
    /// Hashes of the leading blocks of the prompt.
    pub prefix: &'a [u64],
    /// Upstreams that must not be chosen.
    pub avoid: &'a [UpstreamId],
    /// Whether the request is suspected: it must not run beside another suspected
    /// request.
    pub suspect: bool,
    /// An upstream that may have room for another request; an additional candidate.
    pub freed: Option<UpstreamId>,
}

/// Chooses the cheaper of two random copies with room; copies in this data centre come
/// first. The freed upstream and the one that last got the same prefix are additional
/// candidates.
pub(crate) fn choose(
    row: &Row,
    criteria: &Criteria<'_>,
    upstreams: &Upstreams,
    settings: &Settings,
    now: Time,
    rng: &mut ChaCha8Rng,
) -> Option<UpstreamId> {
    let fits = |id: UpstreamId| {
        let upstream = upstreams.get(id);
        !criteria.avoid.contains(&id)
            && upstream.available()
            && upstream.load() < upstream.limit(criteria.priority, settings, now)
            && (!criteria.suspect || upstream.suspect_attempt.is_none())
    };
    let cost = |id: UpstreamId| {
        let upstream = upstreams.get(id);
        let cached = upstream
            .prefix_cache
            .cached_share(criteria.prefix, now, settings);
        upstream.relative_load(settings, now) - settings.prefix_credit * cached
    };
    [&row.usable_near, &row.usable_far]
        .into_iter()
        .find_map(|copies| {
            let mut candidates = Vec::with_capacity(4);
            candidates.extend(criteria.freed.filter(|id| copies.contains(id) && fits(*id)));
            candidates.extend(
                criteria
                    .prefix
                    .first()
                    .and_then(|block| row.affinity.get(*block))
                    .filter(|id| copies.contains(id) && fits(*id)),
            );
            let wanted = candidates.len() + 2;
            let start = if copies.is_empty() {
                0
            } else {
                rng.random_range(0..copies.len())
            };
            // The first two samples are independent of each other; the others continue
            // from the second.
            let second = if copies.len() < 2 {
                0
            } else {
                rng.random_range(1..copies.len())
            };
            let samples = (0..copies.len().min(MAX_SAMPLES)).map(|step| {
                let step = match step {
                    0 => 0,
                    step => second + step - 1,
                };
                copies[(start + step) % copies.len()]
            });
            for id in samples {
                if candidates.len() == wanted {
                    break;
                }
                if fits(id) && !candidates.contains(&id) {
                    candidates.push(id);
                }
            }
            candidates
                .into_iter()
                .min_by(|one, other| cost(*one).total_cmp(&cost(*other)))
        })
}

/// The upstream to which each leading prompt block was last dispatched.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    by_block: BTreeMap<u64, UpstreamId>,
    order: VecDeque<u64>,
}

/// Maximum number of blocks remembered for a row.
const MAX_AFFINITY_BLOCKS: usize = 256;

impl PrefixAffinity {
    /// The upstream that last got a prompt with this first block.
    pub fn get(&self, block: u64) -> Option<UpstreamId> {
        self.by_block.get(&block).copied()
    }

    /// Records the upstream to which a prompt with this first block was dispatched.
    pub fn record(&mut self, block: u64, id: UpstreamId) {
        if self.by_block.insert(block, id).is_none() {
            self.order.push_back(block);
        }
        if self.order.len() > MAX_AFFINITY_BLOCKS {
            let oldest = self.order.pop_front().expect("longer than the limit");
            self.by_block.remove(&oldest);
        }
    }
}

/// Prefix blocks that an upstream probably holds, each with the arrival time of the last
/// report that named it as newly cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    blocks: BTreeMap<u64, Time>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Applies the cache events of a report. After a gap all older blocks are forgotten,
    /// since the missed events may include evictions.
    pub fn apply_report(&mut self, now: Time, report: &Report, gap: bool, settings: &Settings) {
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
        while self.order.len() > settings.max_prefix_blocks {
            let oldest = self.order.pop_front().expect("longer than the limit");
            self.blocks.remove(&oldest);
        }
    }

    /// Share of a prompt's blocks that is cached. The longer ago the last of these blocks was
    /// reported, the less the share counts.
    pub fn cached_share(&self, prefix: &[u64], now: Time, settings: &Settings) -> f64 {
        if self.blocks.is_empty() || prefix.is_empty() {
            return 0.0;
        }
        // A block's hash covers all blocks before it, so the cached blocks are the
        // leading ones.
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
