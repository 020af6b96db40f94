//! Log compaction: old entries are copied into segments before the ring overwrites them,
//! and segments are deleted when all their records have expired.
//!
//! A segment holds committed entries only, so its content is correct whichever host
//! writes it. Its key is the sequence of its first entry, and it is written only if the
//! key is absent. A superseded owner that compacts late therefore finds the key taken,
//! or adds a segment that repeats committed entries.

use crate::{
    context::Context,
    log::{self, LoggedEntry, SegmentMeta},
};
use bytes::Bytes;
use mulberryrack_core::{Time, kv, note::Level};
use prost::Message;
use std::{collections::VecDeque, sync::Arc};

/// Largest size of a segment's records in bytes. The key-value service accepts values up
/// to a megabyte.
const MAX_SEGMENT_BYTES: usize = 900_000;

/// Purpose of a call to the key-value service.
#[derive(Debug)]
enum Task {
    /// Writes the next segment.
    Write {
        key: Arc<str>,
        value: Bytes,
        last: u64,
        stamp_ms: u64,
    },
    /// Deletes the oldest segment.
    Delete,
}

#[derive(Debug)]
struct Call {
    task: Task,
    token: Option<kv::CallId>,
    retry_at: Time,
}

/// Compacts the log of one shard: holds the entries that no segment has yet and the
/// list of stored segments.
#[derive(Debug, Default)]
pub struct Compactor {
    /// Committed entries that no segment has yet, in order.
    tail: VecDeque<LoggedEntry>,
    /// Sequence of the newest entry that a segment has, or that needs no segment because its
    /// records have expired or it has none.
    covered_sequence: u64,
    /// Stored segments, oldest first.
    segments: VecDeque<SegmentMeta>,
    /// The call that is being made, also while it waits to be made or repeated.
    call: Option<Call>,
}

impl Compactor {
    /// A compactor whose next segment begins after entry `covered_sequence`. `tail` are the
    /// committed entries after that entry, `segments` the stored segments, oldest first.
    pub const fn new(
        covered_sequence: u64,
        tail: VecDeque<LoggedEntry>,
        segments: VecDeque<SegmentMeta>,
    ) -> Self {
        Self {
            tail,
            covered_sequence,
            segments,
            call: None,
        }
    }

    /// Adds an entry that has just been committed.
    pub fn add(&mut self, logged: LoggedEntry) {
        self.tail.push_back(logged);
    }

    /// Whether the entry after `sequence` would overwrite an entry that is in no segment.
    pub fn would_overwrite(&self, context: &Context, sequence: u64) -> bool {
        sequence + 1 > self.covered_sequence + u64::from(context.settings.positions)
    }

    /// Id of the call in flight.
    pub fn token(&self) -> Option<kv::CallId> {
        self.call.as_ref()?.token
    }

    /// Writes the next segment or deletes an expired segment if either is due. Returns
    /// when to poll again.
    pub fn poll(&mut self, context: &mut Context, shard: u32) -> Option<Time> {
        if self.call.is_none() {
            self.call = self.next_call(context, shard);
        }
        let call = self.call.as_ref()?;
        if call.retry_at > context.now {
            return Some(call.retry_at);
        }
        if let Some(retry_at) = context.write_blocked_until() {
            return Some(retry_at);
        }
        let op = match &call.task {
            Task::Write { key, value, .. } => kv::Op::Put {
                key: key.clone(),
                value: value.clone(),
                expect: None,
                lease: None,
            },
            Task::Delete => {
                let segment = self.segments.front()?;
                kv::Op::Delete {
                    key: segment.key.clone(),
                    expect: segment.revision,
                }
            }
        };
        context.spend_write();
        let token = Some(context.call_service(shard, op));
        let retry_at = context.now + context.settings.call_timeout;
        let call = self.call.as_mut()?;
        call.token = token;
        call.retry_at = retry_at;
        Some(retry_at)
    }

    /// Handles the outcome of the call in flight; a failed call is repeated after a delay.
    pub fn handle_outcome(&mut self, context: &mut Context, shard: u32, outcome: kv::Outcome) {
        let Some(mut call) = self.call.take() else {
            return;
        };
        let done = match (&call.task, outcome) {
            (Task::Delete, Ok(_)) => self.segments.pop_front().is_some(),
            (
                Task::Write {
                    key,
                    last,
                    stamp_ms,
                    ..
                },
                Ok(kv::Reply::Written(revision)),
            ) => {
                let (key, last, stamp_ms) = (key.clone(), *last, *stamp_ms);
                self.add_segment(SegmentMeta {
                    key,
                    revision,
                    last,
                    stamp_ms,
                });
                true
            }
            (Task::Write { .. }, Ok(kv::Reply::Conflict(Some(entry)))) => self.use_existing(&entry),
            _ => false,
        };
        if !done {
            context.log_event(Level::Debug, "ledger-fold-retried", shard);
            call.token = None;
            let delay = context.settings.call_retry_delay;
            call.retry_at = context.now + context.jitter(delay);
            self.call = Some(call);
        }
    }

    /// Uses the stored segment where another host wrote a segment with the same first entry.
    fn use_existing(&mut self, entry: &kv::Entry) -> bool {
        let Some(segment) = log::decode_segment(&entry.value) else {
            return false;
        };
        self.add_segment(SegmentMeta {
            key: entry.key.clone(),
            revision: entry.revision,
            last: segment.last,
            stamp_ms: segment.stamp_ms,
        });
        true
    }

    fn add_segment(&mut self, segment: SegmentMeta) {
        self.covered_sequence = self.covered_sequence.max(segment.last);
        self.segments.push_back(segment);
        let covered_sequence = self.covered_sequence;
        self.tail
            .retain(|logged| logged.sequence > covered_sequence);
    }

    fn next_call(&mut self, context: &Context, shard: u32) -> Option<Call> {
        let expiry_ms = expiry_ms(context);
        if self
            .segments
            .front()
            .is_some_and(|segment| segment.stamp_ms < expiry_ms)
        {
            return Some(new_call(Task::Delete, context.now));
        }
        self.drop_leading(expiry_ms);
        if self.tail.len() < context.settings.positions as usize / 2 {
            return None;
        }
        let mut segment_bytes = 0;
        let count = self
            .tail
            .iter()
            .take_while(|logged| {
                segment_bytes += logged.records.encoded_len() + 16;
                segment_bytes <= MAX_SEGMENT_BYTES
            })
            .count()
            .max(1);
        let first = self.tail.front()?;
        let last = self.tail.get(count - 1)?;
        let task = Task::Write {
            key: log::segment_key(context, shard, first.sequence),
            value: log::encode_segment(self.tail.iter().take(count)),
            last: last.sequence,
            stamp_ms: last.stamp_ms,
        };
        Some(new_call(task, context.now))
    }

    /// Drops leading entries without records and expired entries, but keeps one entry.
    fn drop_leading(&mut self, expiry_ms: u64) {
        while let Some(logged) = self.tail.front()
            && self.tail.len() > 1
            && (logged.records.records.is_empty() || logged.stamp_ms < expiry_ms)
        {
            self.covered_sequence = logged.sequence;
            self.tail.pop_front();
        }
    }
}

/// Wall-clock time in milliseconds before which records have expired.
pub fn expiry_ms(context: &Context) -> u64 {
    let retention = u64::try_from(context.settings.retention.as_millis()).unwrap_or(u64::MAX);
    context.wall_clock_ms().saturating_sub(retention)
}

const fn new_call(task: Task, now: Time) -> Call {
    Call {
        task,
        token: None,
        retry_at: now,
    }
}
