//! Reading a shard's log, and deciding whether to own the shard.

use crate::{
    compaction::{self, Compactor},
    context::{Context, Vital},
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

/// Entries asked for with one call.
const PAGE: u32 = 32;

/// What a host does about a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The log names this life as the owner.
    Own,
    /// Take over; with a quarantine where records may be missing.
    Take {
        /// Whether records may be missing.
        gap: bool,
    },
    /// Another life should act.
    Leave(Life),
    /// Nobody can act yet.
    Wait,
}

/// A log that is being read: first the ring, then the segments.
#[derive(Debug, Default)]
pub struct Reading {
    /// The call under way.
    pub token: Option<kv::Token>,
    /// When the call is given up, or made again.
    pub again: Time,
    ring_done: bool,
    after: Option<Arc<str>>,
    ring: Vec<kv::Entry>,
    segments: Vec<kv::Entry>,
}

impl Reading {
    /// Makes the next call.
    pub fn ask(&mut self, context: &mut Context, shard: u32) {
        let prefix = if self.ring_done {
            log::segment_prefix(context, shard)
        } else {
            log::ring_prefix(context, shard)
        };
        let op = kv::Op::List {
            prefix,
            after: self.after.clone(),
            limit: PAGE,
        };
        self.token = Some(context.call(shard, op));
        self.again = context.now + context.settings.call_timeout;
    }

    /// Takes an answer; says whether the log is complete.
    pub fn take(&mut self, context: &mut Context, shard: u32, outcome: kv::Outcome) -> bool {
        let Ok(kv::Reply::Entries { entries, more, .. }) = outcome else {
            self.token = None;
            let pause = context.settings.call_retry;
            self.again = context.now + context.jitter(pause);
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
        self.ask(context, shard);
        false
    }
}

/// A log that was read.
#[derive(Debug)]
pub struct Log {
    /// The newest entry; `None` for an empty log.
    pub header: Option<Header>,
    /// Records in this epoch, up to and with the newest entry.
    pub next_record: u64,
    positions: Vec<Option<kv::Revision>>,
    intents: Intents,
    compactor: Compactor,
}

impl Log {
    /// Puts together what was read.
    pub fn new(context: &mut Context, reading: &Reading) -> Self {
        let mut positions = vec![None; context.settings.positions as usize];
        let mut entries: Vec<(Header, wire::Records)> = Vec::new();
        for entry in &reading.ring {
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
        let (intents, compactor) = replay(context, &entries, &reading.segments);
        Self {
            header,
            next_record,
            positions,
            intents,
            compactor,
        }
    }

    /// An owner that the log already names.
    pub fn own(self, context: &Context, shard: u32) -> Option<Owner> {
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

    /// An owner that writes a takeover entry, with the records that this host has kept
    /// for the one before.
    pub fn take(
        mut self,
        context: &mut Context,
        shard: u32,
        gap: bool,
        witnessed_records: Option<WitnessedRecords>,
    ) -> Owner {
        let unlogged = self.unlogged_records(witnessed_records);
        let stamp_ms = context
            .wall_ms()
            .max(self.header.as_ref().map_or(0, |header| header.stamp_ms));
        for record in &unlogged {
            self.intents.apply(record, stamp_ms, State::Durable);
        }
        let most = (context.settings.entry_bytes as usize / MAX_RECORD_BYTES).max(1);
        let count = unlogged.len().min(most);
        let header = takeover(
            context,
            shard,
            self.header.as_ref(),
            gap,
            count < unlogged.len(),
        );
        let mut before = self.header.unwrap_or_else(|| Header {
            sequence: 0,
            epoch: 0,
            ..header.clone()
        });
        // Claims that come before the entry is written are bound by the quarantine too.
        before.quarantine_ms = header.quarantine_ms;
        let mut owner = Owner::new(
            context,
            shard,
            before,
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
            context.note(Level::Warn, "shard-quarantined", shard);
        }
        owner.begin_write(context, header, unlogged[..count].to_vec(), count);
        owner
    }

    /// Records that the former owner may have granted on and that are not in the log.
    fn unlogged_records(&self, witnessed_records: Option<WitnessedRecords>) -> Vec<Record> {
        let Some(header) = &self.header else {
            return Vec::new();
        };
        witnessed_records
            .filter(|witnessed_records| witnessed_records.epoch == header.epoch)
            .map(|witnessed_records| {
                witnessed_records
                    .records
                    .range(self.next_record..)
                    .map(|(_, record)| *record)
                    .collect()
            })
            .unwrap_or_default()
    }
}

/// What this host should do about a shard whose newest entry is `header`.
pub fn choose(context: &mut Context, shard: u32, header: Option<&Header>) -> Choice {
    let first = context.first(shard);
    let mine = first.as_ref() == Some(&context.me);
    let take = |gap| match &first {
        _ if mine => Choice::Take { gap },
        Some(life) => Choice::Leave(life.clone()),
        None => Choice::Wait,
    };
    let Some(header) = header else {
        return take(false);
    };
    let Some(owner) = &header.owner else {
        return take(false);
    };
    if *owner == context.me {
        return Choice::Own;
    }
    match context.vital(owner) {
        Vital::Able | Vital::Leaving => return Choice::Leave(owner.clone()),
        Vital::Dead | Vital::Gone if !header.witness => return take(false),
        Vital::Dead | Vital::Gone => {}
    }
    let owner_gone = context.vital(owner) == Vital::Gone;
    let Some(successor) = &header.successor else {
        return if owner_gone { take(true) } else { Choice::Wait };
    };
    if *successor == context.me {
        return Choice::Take { gap: false };
    }
    match context.vital(successor) {
        Vital::Able | Vital::Leaving => Choice::Leave(successor.clone()),
        Vital::Gone if owner_gone => take(true),
        Vital::Dead | Vital::Gone => Choice::Wait,
    }
}

/// The takeover entry. While records of the former owner are left for later entries, no
/// successor is named: it would not have them.
fn takeover(
    context: &mut Context,
    shard: u32,
    before: Option<&Header>,
    gap: bool,
    unfinished: bool,
) -> Header {
    let horizon = u64::try_from(context.settings.resend_horizon.as_millis()).unwrap_or(u64::MAX);
    let until = if gap { context.wall_ms() + horizon } else { 0 };
    let me = context.me.clone();
    let successor = (context.settings.witness && !unfinished)
        .then(|| context.heir(shard))
        .flatten();
    Header {
        sequence: before.map_or(0, |header| header.sequence) + 1,
        epoch: before.map_or(0, |header| header.epoch) + 1,
        nonce: context.nonce(),
        stamp_ms: context
            .wall_ms()
            .max(before.map_or(0, |header| header.stamp_ms)),
        owner: Some(me.clone()),
        writer: me,
        witness: context.settings.witness && (unfinished || successor.is_some()),
        successor,
        quarantine_ms: until.max(before.map_or(0, |header| header.quarantine_ms)),
        first_record: 0,
    }
}

/// Applies segments, then the entries that they do not cover.
fn replay(
    context: &mut Context,
    entries: &[(Header, wire::Records)],
    segments: &[kv::Entry],
) -> (Intents, Compactor) {
    let expired = compaction::expiry_ms(context);
    let mut logged_entries: BTreeMap<u64, LoggedEntry> = BTreeMap::new();
    let mut known: VecDeque<SegmentMeta> = VecDeque::new();
    for entry in segments {
        let Some(segment) = log::decode_segment(&entry.value) else {
            continue;
        };
        known.push_back(SegmentMeta {
            key: entry.key.clone(),
            revision: entry.revision,
            last: segment.last,
            stamp_ms: segment.stamp_ms,
        });
        // Sequences inside a segment are not needed: order is enough.
        for (sequence, stamped) in (segment.first..).zip(segment.entries) {
            logged_entries.entry(sequence).or_insert(LoggedEntry {
                sequence,
                stamp_ms: stamped.stamp_ms,
                records: stamped.records.unwrap_or_default(),
            });
        }
    }
    let newest = entries.last().map_or(0, |(header, _)| header.sequence);
    let covered = known
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
        if logged.stamp_ms < expired {
            continue;
        }
        for record in record::records_from_wire(&logged.records, &mut context.interner) {
            intents.apply(&record, logged.stamp_ms, State::Durable);
        }
    }
    (intents, Compactor::new(covered, tail, known))
}
