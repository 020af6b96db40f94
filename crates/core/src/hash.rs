//! Hash functions whose results are the same in every process and every release.

use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// 64-bit hash of `bytes` under `seed`, the same in every process and release.
#[must_use]
pub fn stable(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// 128-bit hash of `bytes`, wide enough that equal fingerprints are taken for equal bytes.
#[must_use]
pub fn fingerprint(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Score of `node` for `item` in weighted rendezvous hashing; the node with the highest
/// score gets the item.
///
/// `weight` is the relative capacity of the node. A node of weight zero or less scores 0 and
/// never wins against a node of positive weight.
#[must_use]
pub fn rendezvous(item: &str, node: &str, weight: f64) -> f64 {
    let mixed_hash = stable(node.as_bytes(), stable(item.as_bytes(), 0));
    // The top 53 bits give a uniform value in (0, 1).
    #[allow(clippy::cast_precision_loss)]
    let uniform = ((mixed_hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    if weight <= 0.0 {
        return 0.0;
    }
    -weight / uniform.ln()
}

/// Length of one block of an engine's prefix cache, in bytes of the prompt.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes of the whole blocks of a prompt, in order; an incomplete last block has none.
///
/// Each hash covers the model's name and the prompt from its start to the end of the block,
/// so that equal hashes mean equal prefixes.
#[must_use]
pub fn prefix_blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut chained_hash = stable(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .map(|block| {
            chained_hash = stable(block, chained_hash);
            chained_hash
        })
        .collect()
}
