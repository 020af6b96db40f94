//! Reads a shard's log and decides whether this host owns the shard or takes it over.

use crate::{
    compaction::{self, Compactor},
    context::{Context, Liveness},
    intents::{Intents, State},
    life::Life,
    log::{self, Header, LoggedEntry, SegmentMeta},
    owner::{Owner, PendingRecord},
    record::{self, MAX_RECORD_BYTES, Record},
    witness::WitnessedRecords,
};
use mulberryrack_core::{Time, kv, note::Level};
use mulberryrack_wire::ledger as wire;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Number of entries requested with one call.
const PAGE_ENTRIES: u32 = 32;

/// What this host should do about a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Act as owner: the log names this life.
    AlreadyOwner,
    /// Take the shard over.
    TakeOver {
        /// Whether records may be missing, so that the takeover begins a quarantine.
        gap: bool,
    },
    /// Leave the shard to another life, which owns it or should take it over.
    LeaveTo(Life),
    /// Wait: no host may take the shard over yet.
    Wait,
}

/// Reads the log of a shard page by page: first the ring, then the segments.
#[derive(Debug, Default)]
pub struct LogReader {
    /// Id of the call in flight.
    pub token: Option<kv::CallId>,
    /// When the call in flight times out, or when a failed call is repeated.
    pub retry_at: Time,
    /// Whether all pages of the ring have been read, so that segments are read now.
    ring_done: bool,
    /// Last key of the previous page; `None` for the first page.
    after: Option<Arc<str>>,
    ring: Vec<kv::Entry>,
    segments: Vec<kv::Entry>,
}

impl LogReader {
    /// Requests the next page, or the same page again.
    pub fn request_page(&mut self, context: &mut Context, shard: u32) {
        let prefix = if self.ring_done {
            log::segment_prefix(context, shard)
        } else {
            log::ring_prefix(context, shard)
        };
        let op = kv::Op::List {
            prefix,
            after: self.after.clone(),
            limit: PAGE_ENTRIES,
        };
        self.token = Some(context.call_service(shard, op));
        self.retry_at = context.now + context.settings.call_timeout;
    }

    /// Handles the outcome of a call. Returns whether the log has been read completely.
    pub fn handle_page(&mut self, context: &mut Context, shard: u32, outcome: kv::Outcome) -> bool {
        let Ok(kv::Reply::Entries { entries, more, .. }) = outcome else {
            self.token = None;
            let delay = context.settings.call_retry_delay;
            self.retry_at = context.now + context.jitter(delay);
            return false;
        };
        self.after = entries.last().map(|entry| entry.key.clone());
        if self.ring_done {
            self.segments.extend(entries);
        } else {
            self.ring.extend(entries);
        }
        if !more && self.ring_done {
            return true;
        }
        if !more {
            self.ring_done = true;
            self.after = None;
        }
        self.request_page(context, shard);
        false
    }
}

/// The content of a log that has been read.
#[derive(Debug)]
pub struct LogContents {
    /// Header of the newest entry; `None` for an empty log.
    pub header: Option<Header>,
    /// Number of records in the newest entry's epoch.
    pub next_record: u64,
    /// Revision of each ring position; `None` for a position never written.
    positions: Vec<Option<kv::Revision>>,
    /// State of each id according to the log.
    intents: Intents,
    compactor: Compactor,
}

impl LogContents {
    /// Decodes and replays what the reader has read. Values that are not entries or segments
    /// are skipped.
    pub fn new(context: &mut Context, reader: &LogReader) -> Self {
        let mut positions = vec![None; context.settings.positions as usize];
        let mut entries: Vec<(Header, wire::Records)> = Vec::new();
        for entry in &reader.ring {
            if let Some((header, records)) = log::decode_entry(&entry.value) {
                let position = header.sequence % u64::from(context.settings.positions);
                positions[usize::try_from(position).expect("a small number")] =
                    Some(entry.revision);
                entries.push((header, records));
            }
        }
        entries.sort_by_key(|(header, _)| header.sequence);
        let newest = entries.last();
        let header = newest.map(|(header, _)| header.clone());
        let next_record = newest.map_or(0, |(header, records)| {
            header.first_record + records.records.len() as u64
        });
        let (intents, compactor) = replay(context, &entries, &reader.segments);
        Self {
            header,
            next_record,
            positions,
            intents,
            compactor,
        }
    }

    /// An owner that continues the log, which names this life already; `None` for an empty
    /// log.
    pub fn into_owner(self, context: &Context, shard: u32) -> Option<Owner> {
        let mut owner = Owner::new(
            context,
            shard,
            self.header?,
            self.positions,
            self.intents,
            self.compactor,
        );
        owner.committed = self.next_record;
        owner.established = true;
        Some(owner)
    }

    /// An owner that starts with a takeover entry. The entry has the records that this host
    /// kept for the former owner, as many as fit; later entries have the others.
    pub fn take_over(
        mut self,
        context: &mut Context,
        shard: u32,
        gap: bool,
        witnessed_records: Option<WitnessedRecords>,
    ) -> Owner {
        let unlogged = self.unlogged_records(witnessed_records);
        let stamp_ms = context
            .wall_clock_ms()
            .max(self.header.as_ref().map_or(0, |header| header.stamp_ms));
        for record in &unlogged {
            self.intents.apply(record, stamp_ms, State::Durable);
        }
        let max_records = (context.settings.entry_bytes as usize / MAX_RECORD_BYTES).max(1);
        let count = unlogged.len().min(max_records);
        let header = takeover_header(
            context,
            shard,
            self.header.as_ref(),
            gap,
            count < unlogged.len(),
        );
        let mut previous = self.header.unwrap_or_else(|| Header {
            sequence: 0,
            epoch: 0,
            ..header.clone()
        });
        // The quarantine also applies to claims that arrive before the entry is written.
        previous.quarantine_ms = header.quarantine_ms;
        let mut owner = Owner::new(
            context,
            shard,
            previous,
            self.positions,
            self.intents,
            self.compactor,
        );
        owner.pending = unlogged
            .iter()
            .map(|record| PendingRecord {
                record: *record,
                due: context.now,
            })
            .collect();
        owner.next_due = Some(context.now);
        owner.witnessed = unlogged.len();
        owner.sent = unlogged.len();
        if gap {
            context.log_event(Level::Warn, "shard-quarantined", shard);
        }
        owner.begin_write(context, header, unlogged[..count].to_vec(), count);
        owner
    }

    /// Records that the log lacks although the former owner may have granted their claims.
    fn unlogged_records(&self, witnessed_records: Option<WitnessedRecords>) -> Vec<Record> {
        let Some(header) = &self.header else {
            return Vec::new();
        };
        witnessed_records
            .filter(|kept| kept.epoch == header.epoch)
            .map(|kept| {
                kept.records
                    .range(self.next_record..)
                    .map(|(_, record)| *record)
                    .collect()
            })
            .unwrap_or_default()
    }
}

/// What this host should do about a shard whose newest entry has `header`.
///
/// If the owner may have granted claims on copies that only its successor has, a host other
/// than the successor takes the shard over only once both are gone, since the log may lack
/// the copied records. The takeover then begins a quarantine.
pub fn decide(context: &mut Context, shard: u32, header: Option<&Header>) -> Decision {
    let preferred = context.preferred_owner(shard);
    let is_preferred = preferred.as_ref() == Some(&context.me);
    let take_over = |gap| match &preferred {
        _ if is_preferred => Decision::TakeOver { gap },
        Some(life) => Decision::LeaveTo(life.clone()),
        None => Decision::Wait,
    };
    let Some(header) = header else {
        return take_over(false);
    };
    let Some(owner) = &header.owner else {
        return take_over(false);
    };
    if *owner == context.me {
        return Decision::AlreadyOwner;
    }
    match context.liveness(owner) {
        Liveness::Up | Liveness::Leaving => return Decision::LeaveTo(owner.clone()),
        Liveness::Dead | Liveness::Gone if !header.witness => return take_over(false),
        Liveness::Dead | Liveness::Gone => {}
    }
    let owner_gone = context.liveness(owner) == Liveness::Gone;
    let Some(successor) = &header.successor else {
        return if owner_gone {
            take_over(true)
        } else {
            Decision::Wait
        };
    };
    if *successor == context.me {
        return Decision::TakeOver { gap: false };
    }
    match context.liveness(successor) {
        Liveness::Up | Liveness::Leaving => Decision::LeaveTo(successor.clone()),
        Liveness::Gone if owner_gone => take_over(true),
        Liveness::Dead | Liveness::Gone => Decision::Wait,
    }
}

/// Header of the takeover entry. If records of the former owner are left for later
/// entries (`unfinished`), no successor is named, since it would not have these records.
fn takeover_header(
    context: &mut Context,
    shard: u32,
    previous: Option<&Header>,
    gap: bool,
    unfinished: bool,
) -> Header {
    let quarantine_period_ms =
        u64::try_from(context.settings.quarantine_period.as_millis()).unwrap_or(u64::MAX);
    let quarantine_end_ms = if gap {
        context.wall_clock_ms() + quarantine_period_ms
    } else {
        0
    };
    let me = context.me.clone();
    let successor = (context.settings.witness && !unfinished)
        .then(|| context.own_successor(shard))
        .flatten();
    Header {
        sequence: previous.map_or(0, |header| header.sequence) + 1,
        epoch: previous.map_or(0, |header| header.epoch) + 1,
        nonce: context.nonce(),
        stamp_ms: context
            .wall_clock_ms()
            .max(previous.map_or(0, |header| header.stamp_ms)),
        owner: Some(me.clone()),
        writer: me,
        witness: context.settings.witness && (unfinished || successor.is_some()),
        successor,
        quarantine_ms: quarantine_end_ms.max(previous.map_or(0, |header| header.quarantine_ms)),
        first_record: 0,
    }
}

/// Computes the state of all ids from the segments, then from the ring's entries that no
/// segment covers. Expired entries are skipped.
fn replay(
    context: &mut Context,
    entries: &[(Header, wire::Records)],
    segments: &[kv::Entry],
) -> (Intents, Compactor) {
    let expiry_ms = compaction::expiry_ms(context);
    let mut logged_entries: BTreeMap<u64, LoggedEntry> = BTreeMap::new();
    let mut segment_metas: VecDeque<SegmentMeta> = VecDeque::new();
    for entry in segments {
        let Some(segment) = log::decode_segment(&entry.value) else {
            continue;
        };
        segment_metas.push_back(SegmentMeta {
            key: entry.key.clone(),
            revision: entry.revision,
            last: segment.last,
            stamp_ms: segment.stamp_ms,
        });
        // A segment stores only the sequences of its first and last entry. Numbering its
        // entries from the first one keeps their order, which is enough here.
        for (sequence, stamped) in (segment.first..).zip(segment.entries) {
            logged_entries.entry(sequence).or_insert(LoggedEntry {
                sequence,
                stamp_ms: stamped.stamp_ms,
                records: stamped.records.unwrap_or_default(),
            });
        }
    }
    let newest = entries.last().map_or(0, |(header, _)| header.sequence);
    let covered = segment_metas
        .iter()
        .map(|segment| segment.last)
        .max()
        .unwrap_or(0)
        .max(newest.saturating_sub(u64::from(context.settings.positions)));
    let tail: VecDeque<LoggedEntry> = entries
        .iter()
        .filter(|(header, _)| header.sequence > covered)
        .map(|(header, records)| LoggedEntry {
            sequence: header.sequence,
            stamp_ms: header.stamp_ms,
            records: records.clone(),
        })
        .collect();
    let mut intents = Intents::default();
    for logged in logged_entries.values().chain(&tail) {
        if logged.stamp_ms < expiry_ms {
            continue;
        }
        for record in record::records_from_wire(&logged.records, &mut context.interner) {
            intents.apply(&record, logged.stamp_ms, State::Durable);
        }
    }
    (intents, Compactor::new(covered, tail, segment_metas))
}
