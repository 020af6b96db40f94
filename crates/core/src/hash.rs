//! Hashes that are the same in every process and version.

use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Hashes `bytes` under `seed`; stable over processes and releases.
#[must_use]
pub fn stable(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// A 128-bit fingerprint, wide enough to stand for the bytes themselves.
#[must_use]
pub fn fingerprint(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Weight of `node` for `item` in rendezvous hashing; the highest wins.
///
/// `share` is the node's relative capacity; zero never wins against a positive share.
#[must_use]
pub fn rendezvous(item: &str, node: &str, share: f64) -> f64 {
    let mixed = stable(node.as_bytes(), stable(item.as_bytes(), 0));
    // The top 53 bits give a uniform value in (0, 1).
    #[allow(clippy::cast_precision_loss)]
    let uniform = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    if share <= 0.0 {
        return 0.0;
    }
    -share / uniform.ln()
}

/// Bytes of a prompt in one block of an engine's prefix cache.
pub const PREFIX_BLOCK: usize = 256;

/// Hash of each whole leading block of a model's prompt, every one covering all before.
#[must_use]
pub fn prefix(model: &str, prompt: &str) -> Vec<u64> {
    let mut covered = stable(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_BLOCK)
        .map(|block| {
            covered = stable(block, covered);
            covered
        })
        .collect()
}
