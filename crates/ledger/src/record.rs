//! Records: the facts that a shard's log is made of.

use crate::life::{self, Arena, Life};
use mulberryrack_wire::ledger as wire;
use std::collections::BTreeMap;

pub use wire::Kind;

/// One claim of one life of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claim {
    /// The claimant.
    pub life: life::Key,
    /// Unique in that life.
    pub nonce: u64,
}

/// One fact about an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// What is said.
    pub kind: Kind,
    /// Hash of target and idempotency key.
    pub id: u128,
    /// Hash of the body; of intents only.
    pub body: u64,
    /// The claim that it is about.
    pub claim: Claim,
    /// The request on the claimant; of intents only.
    pub request: u64,
}

/// Bytes that a record takes at most in an entry, its share of the lives not counted.
pub const RECORD_BYTES: usize = 56;

/// The high and the low half of an id.
#[allow(clippy::cast_possible_truncation)]
pub const fn halves(id: u128) -> (u64, u64) {
    ((id >> 64) as u64, (id & u64::MAX as u128) as u64)
}

/// The id with these halves.
pub const fn whole(high: u64, low: u64) -> u128 {
    ((high as u128) << 64) | low as u128
}

/// The message form of `records`.
pub fn pack<'a>(records: impl Iterator<Item = &'a Record>, arena: &Arena) -> wire::Records {
    let mut packed = wire::Records::default();
    let mut index: BTreeMap<life::Key, u32> = BTreeMap::new();
    for record in records {
        let life = *index.entry(record.claim.life).or_insert_with(|| {
            packed.lives.push(arena.get(record.claim.life).write());
            u32::try_from(packed.lives.len() - 1).expect("an entry names few lives")
        });
        packed.records.push(write(record, life));
    }
    packed
}

/// The message form of one record.
pub const fn write(record: &Record, life: u32) -> wire::Record {
    let (id_high, id_low) = halves(record.id);
    wire::Record {
        kind: record.kind as i32,
        id_high,
        id_low,
        body: record.body,
        life,
        request: record.request,
        nonce: record.claim.nonce,
    }
}

/// Reads the message form; records that name no life are left out.
pub fn unpack(packed: &wire::Records, arena: &mut Arena) -> Vec<Record> {
    let lives: Vec<life::Key> = packed
        .lives
        .iter()
        .map(|life| arena.key(&Life::read(life)))
        .collect();
    packed
        .records
        .iter()
        .filter_map(|record| Some(read(record, *lives.get(record.life as usize)?)))
        .collect()
}

/// Reads the message form of one record.
pub fn read(record: &wire::Record, life: life::Key) -> Record {
    Record {
        kind: record.kind(),
        id: whole(record.id_high, record.id_low),
        body: record.body,
        claim: Claim {
            life,
            nonce: record.nonce,
        },
        request: record.request,
    }
}
