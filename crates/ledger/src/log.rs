//! Keys and encoding of a shard's log in the key-value service. The newest entries are
//! in a ring of positions, which are overwritten and never deleted. Older entries are
//! in segments, written before the ring overwrites the entries.
//!
//! Entry `s` is at position `s` modulo the ring's size. Its write succeeds only if the
//! position still has the revision that the writer knows. A superseded owner therefore
//! finds the position changed, however long it was paused.

use crate::{
    context::Context,
    life::{Interner, Life},
    record::{self, Record},
};
use bytes::Bytes;
use mulberryrack_core::kv;
use mulberryrack_wire::ledger as wire;
use prost::Message;
use std::sync::Arc;

/// All fields of a log entry except its records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Number of the entry in the log, from 1.
    pub sequence: u64,
    /// Rises by one with each change of the owner.
    pub epoch: u64,
    /// The life of the host that wrote the entry.
    pub writer: Life,
    /// Number of the write, unique among the writer's entries.
    pub nonce: u64,
    /// Wall clock of the writer in milliseconds, never less than in the previous entry.
    pub stamp_ms: u64,
    /// The shard's owner after this entry; `None` if the shard was given up.
    pub owner: Option<Life>,
    /// The host that keeps copies of records and may take over from the owner.
    pub successor: Option<Life>,
    /// Whether the owner may grant a claim once the successor has a copy of its record,
    /// before the log has the record.
    pub witness: bool,
    /// End of the quarantine: until this wall-clock time in milliseconds, claims for ids
    /// without a record get the answer that an earlier run may be unrecorded.
    pub quarantine_ms: u64,
    /// Number of the entry's first record, counted from zero in each epoch.
    pub first_record: u64,
}

/// The part of a committed entry that segments keep.
#[derive(Clone, Debug)]
pub struct LoggedEntry {
    /// Sequence of the entry.
    pub sequence: u64,
    /// Wall clock of the entry's writer in milliseconds.
    pub stamp_ms: u64,
    /// The entry's records as protobuf message.
    pub records: wire::Records,
}

/// Description of a segment stored in the key-value service, without its content.
#[derive(Clone, Debug)]
pub struct SegmentMeta {
    /// Key of the segment.
    pub key: Arc<str>,
    /// Revision of the key, needed to delete the segment.
    pub revision: kv::Revision,
    /// Sequence of the segment's last entry.
    pub last: u64,
    /// Stamp of the segment's last entry: wall clock in milliseconds.
    pub stamp_ms: u64,
}

/// Key prefix of a shard's ring positions. The number of shards is part of the key, so
/// that a deployment with another number does not read logs whose ids were divided
/// differently.
pub fn ring_prefix(context: &Context, shard: u32) -> Arc<str> {
    format!("ledger/{:03}/{shard:03}/log/", context.settings.shards).into()
}

/// Key prefix of a shard's segments.
pub fn segment_prefix(context: &Context, shard: u32) -> Arc<str> {
    format!("ledger/{:03}/{shard:03}/segment/", context.settings.shards).into()
}

/// Key of the ring position of entry `sequence`.
pub fn position_key(context: &Context, shard: u32, sequence: u64) -> Arc<str> {
    let position = sequence % u64::from(context.settings.positions);
    format!("{}{position:04}", ring_prefix(context, shard)).into()
}

/// Key of the segment whose first entry is `first`.
pub fn segment_key(context: &Context, shard: u32, first: u64) -> Arc<str> {
    format!("{}{first:020}", segment_prefix(context, shard)).into()
}

/// Encodes an entry with its records.
pub fn encode_entry<'a>(
    header: &Header,
    records: impl Iterator<Item = &'a Record>,
    interner: &Interner,
) -> Bytes {
    wire::Entry {
        sequence: header.sequence,
        epoch: header.epoch,
        writer: Some(header.writer.to_wire()),
        nonce: header.nonce,
        stamp_ms: header.stamp_ms,
        owner: header.owner.as_ref().map(Life::to_wire),
        successor: header.successor.as_ref().map(Life::to_wire),
        witness: header.witness,
        quarantine_ms: header.quarantine_ms,
        first_record: header.first_record,
        records: Some(record::records_to_wire(records, interner)),
    }
    .encode_to_vec()
    .into()
}

/// Decodes an entry; `None` if the value is not an entry or lacks its writer.
pub fn decode_entry(value: &Bytes) -> Option<(Header, wire::Records)> {
    let entry = wire::Entry::decode(value.clone()).ok()?;
    let header = Header {
        sequence: entry.sequence,
        epoch: entry.epoch,
        writer: Life::from_wire(&entry.writer?),
        nonce: entry.nonce,
        stamp_ms: entry.stamp_ms,
        owner: entry.owner.as_ref().map(Life::from_wire),
        successor: entry.successor.as_ref().map(Life::from_wire),
        witness: entry.witness,
        quarantine_ms: entry.quarantine_ms,
        first_record: entry.first_record,
    };
    Some((header, entry.records.unwrap_or_default()))
}

/// Encodes consecutive entries as a segment.
pub fn encode_segment<'a>(logged_entries: impl Iterator<Item = &'a LoggedEntry>) -> Bytes {
    let mut segment = wire::Segment::default();
    for logged in logged_entries {
        if segment.entries.is_empty() {
            segment.first = logged.sequence;
        }
        segment.last = logged.sequence;
        segment.stamp_ms = logged.stamp_ms;
        segment.entries.push(wire::StampedRecords {
            stamp_ms: logged.stamp_ms,
            records: Some(logged.records.clone()),
        });
    }
    segment.encode_to_vec().into()
}

/// Decodes a segment; `None` if the value is not a segment.
pub fn decode_segment(value: &Bytes) -> Option<wire::Segment> {
    wire::Segment::decode(value.clone()).ok()
}
