//! Records, the content of a shard's log. Each states one fact about a request id: an
//! intent to run the request, its release, or how it ended.

use crate::life::{self, Interner, Life};
use mulberryrack_wire::ledger as wire;
use std::collections::BTreeMap;

pub use wire::Kind;

/// Identifies one claim, a request's question whether it may run, among all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimId {
    /// The life of the host that made the claim.
    pub life: life::Key,
    /// Number of the claim, unique in that life.
    pub nonce: u64,
}

/// One fact about a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Which fact is stated.
    pub kind: Kind,
    /// Request id: hash of target and idempotency key.
    pub id: u128,
    /// Lower half of the hash of the request body; zero in records of a release or an end.
    pub body: u64,
    /// The claim that the record is about.
    pub claim: ClaimId,
    /// Key of the request on the claiming host; zero where `body` is.
    pub request: u64,
}

/// Largest size of an encoded record in bytes, without the list of lives that all
/// records of an entry share.
pub const MAX_RECORD_BYTES: usize = 56;

/// Splits a value into its high and its low half, as messages carry it.
#[allow(clippy::cast_possible_truncation)]
pub const fn split_u128(id: u128) -> (u64, u64) {
    ((id >> 64) as u64, (id & u64::MAX as u128) as u64)
}

/// Joins the high and the low half of a value.
pub const fn join_u128(high: u64, low: u64) -> u128 {
    ((high as u128) << 64) | low as u128
}

/// Converts `records` to the protobuf message, with each life listed once.
pub fn records_to_wire<'a>(
    records: impl Iterator<Item = &'a Record>,
    interner: &Interner,
) -> wire::Records {
    let mut packed = wire::Records::default();
    let mut index: BTreeMap<life::Key, u32> = BTreeMap::new();
    for record in records {
        let life = *index.entry(record.claim.life).or_insert_with(|| {
            packed.lives.push(interner.get(record.claim.life).to_wire());
            u32::try_from(packed.lives.len() - 1).expect("an entry names few lives")
        });
        packed.records.push(record_to_wire(record, life));
    }
    packed
}

/// Converts one record to its protobuf message; `life` is the claimant's index in the
/// list of lives that goes with the records.
pub const fn record_to_wire(record: &Record, life: u32) -> wire::Record {
    let (id_high, id_low) = split_u128(record.id);
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

/// Converts from the protobuf message. Records whose index points past the list of lives
/// are left out.
pub fn records_from_wire(packed: &wire::Records, interner: &mut Interner) -> Vec<Record> {
    let lives: Vec<life::Key> = packed
        .lives
        .iter()
        .map(|life| interner.intern(&Life::from_wire(life)))
        .collect();
    packed
        .records
        .iter()
        .filter_map(|record| Some(record_from_wire(record, *lives.get(record.life as usize)?)))
        .collect()
}

/// Converts one record of the claimant `life` from its protobuf message.
pub fn record_from_wire(record: &wire::Record, life: life::Key) -> Record {
    Record {
        kind: record.kind(),
        id: join_u128(record.id_high, record.id_low),
        body: record.body,
        claim: ClaimId {
            life,
            nonce: record.nonce,
        },
        request: record.request,
    }
}
