//! A shard's log in the key-value service: a ring of positions that are overwritten and
//! never deleted, and segments that keep what the ring has lost.
//!
//! Entry `s` stands at position `s` modulo the ring's size and is written on condition of
//! the position's revision. A superseded owner therefore finds the position changed,
//! however long it was paused.

use crate::{
    context::Context,
    life::{Arena, Life},
    record::{self, Record},
};
use bytes::Bytes;
use mulberryrack_core::kv;
use mulberryrack_wire::ledger as wire;
use prost::Message;
use std::sync::Arc;

/// An entry without its records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Place in the log, from 1.
    pub sequence: u64,
    /// Rises with each change of the owner.
    pub epoch: u64,
    /// Who wrote the entry.
    pub writer: Life,
    /// Unique among the writer's entries.
    pub nonce: u64,
    /// Wall clock of the writer, never less than the entry before.
    pub stamp_ms: u64,
    /// Who owns the shard from here on; `None` if nobody does.
    pub owner: Option<Life>,
    /// Who may take over from the owner.
    pub successor: Option<Life>,
    /// Whether the owner may grant with its successor's word alone.
    pub witness: bool,
    /// Until this moment claims of unknown ids are answered with a doubt.
    pub quarantine_ms: u64,
    /// Number of the first record in its epoch.
    pub first_record: u64,
}

/// An entry's or a segment's records with the moment they were written.
#[derive(Clone, Debug)]
pub struct Chapter {
    /// Sequence of the entry.
    pub sequence: u64,
    /// Wall clock of the entry's writer.
    pub stamp_ms: u64,
    /// The entry's records.
    pub records: wire::Records,
}

/// A segment in the service.
#[derive(Clone, Debug)]
pub struct Segment {
    /// Its key.
    pub key: Arc<str>,
    /// Its revision.
    pub revision: kv::Revision,
    /// Sequence of its last entry.
    pub last: u64,
    /// Wall clock of its last entry.
    pub stamp_ms: u64,
}

/// Prefix of the positions of a shard.
pub fn ring_prefix(context: &Context, shard: u32) -> Arc<str> {
    format!("ledger/{:03}/{shard:03}/log/", context.settings.shards).into()
}

/// Prefix of the segments of a shard.
pub fn segment_prefix(context: &Context, shard: u32) -> Arc<str> {
    format!("ledger/{:03}/{shard:03}/segment/", context.settings.shards).into()
}

/// Key of the position of an entry.
pub fn position_key(context: &Context, shard: u32, sequence: u64) -> Arc<str> {
    let position = sequence % u64::from(context.settings.positions);
    format!("{}{position:04}", ring_prefix(context, shard)).into()
}

/// Key of the segment that begins with an entry.
pub fn segment_key(context: &Context, shard: u32, first: u64) -> Arc<str> {
    format!("{}{first:020}", segment_prefix(context, shard)).into()
}

/// Encodes an entry.
pub fn write_entry<'a>(
    header: &Header,
    records: impl Iterator<Item = &'a Record>,
    arena: &Arena,
) -> Bytes {
    wire::Entry {
        sequence: header.sequence,
        epoch: header.epoch,
        writer: Some(header.writer.write()),
        nonce: header.nonce,
        stamp_ms: header.stamp_ms,
        owner: header.owner.as_ref().map(Life::write),
        successor: header.successor.as_ref().map(Life::write),
        witness: header.witness,
        quarantine_ms: header.quarantine_ms,
        first_record: header.first_record,
        records: Some(record::pack(records, arena)),
    }
    .encode_to_vec()
    .into()
}

/// Decodes an entry; `None` for a value that is none.
pub fn read_entry(value: &Bytes) -> Option<(Header, wire::Records)> {
    let entry = wire::Entry::decode(value.clone()).ok()?;
    let header = Header {
        sequence: entry.sequence,
        epoch: entry.epoch,
        writer: Life::read(&entry.writer?),
        nonce: entry.nonce,
        stamp_ms: entry.stamp_ms,
        owner: entry.owner.as_ref().map(Life::read),
        successor: entry.successor.as_ref().map(Life::read),
        witness: entry.witness,
        quarantine_ms: entry.quarantine_ms,
        first_record: entry.first_record,
    };
    Some((header, entry.records.unwrap_or_default()))
}

/// Encodes a segment.
pub fn write_segment<'a>(chapters: impl Iterator<Item = &'a Chapter>) -> Bytes {
    let mut segment = wire::Segment::default();
    for chapter in chapters {
        if segment.entries.is_empty() {
            segment.first = chapter.sequence;
        }
        segment.last = chapter.sequence;
        segment.stamp_ms = chapter.stamp_ms;
        segment.entries.push(wire::StampedRecords {
            stamp_ms: chapter.stamp_ms,
            records: Some(chapter.records.clone()),
        });
    }
    segment.encode_to_vec().into()
}

/// Decodes a segment; `None` for a value that is none.
pub fn read_segment(value: &Bytes) -> Option<wire::Segment> {
    wire::Segment::decode(value.clone()).ok()
}
