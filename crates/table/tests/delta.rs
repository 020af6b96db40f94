//! Deltas between versions of the table's rows.

use mulberryrack_core::request::Priority;
use mulberryrack_table::{Kind, Row, delta::Delta};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};

fn row(name: u8, share: u8) -> Row {
    Row {
        name: format!("row-{name:03}").into(),
        kind: Kind::Model,
        base: None,
        version: "1".into(),
        memory_mb: 100,
        share: share.into(),
        priority: Priority::Normal,
        ceiling: 8,
        first_token: Duration::from_millis(530),
        token_gap: Duration::from_millis(39),
        repeatable: true,
        min_copies: 1,
        max_copies: 2,
    }
}

fn rows(pairs: &[(u8, u8)]) -> Vec<Row> {
    let unique: BTreeMap<u8, u8> = pairs.iter().copied().collect();
    unique
        .into_iter()
        .map(|(name, share)| row(name, share))
        .collect()
}

fn random_rows(rng: &mut ChaCha8Rng) -> Vec<Row> {
    let count = rng.random_range(0..40);
    let pairs: Vec<(u8, u8)> = (0..count)
        .map(|_| (rng.random_range(0..30), rng.random_range(1..4)))
        .collect();
    rows(&pairs)
}

#[test]
fn applying_the_delta_gives_the_new_rows() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (old, new) = (random_rows(&mut rng), random_rows(&mut rng));
        let delta = Delta::between(&old, &new);
        assert_eq!(*delta.apply(&old), *new, "seed {seed}");
        assert_eq!(delta.is_empty(), old == new, "seed {seed}");
    }
}

#[test]
fn editing_one_row_gives_a_delta_of_one_upsert() {
    let old = rows(&[(1, 1), (2, 1), (3, 1)]);
    let new = rows(&[(1, 1), (2, 7), (3, 1)]);
    let delta = Delta::between(&old, &new);
    assert_eq!(delta.upserts, [row(2, 7)]);
    assert!(delta.removes.is_empty());
}
