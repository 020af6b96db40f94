//! Retention: old entries are folded into segments before the ring overwrites them, and
//! segments are deleted when all they hold has expired.
//!
//! A segment holds committed entries only, so that whoever writes it writes the truth. It
//! is created if absent under the sequence of its first entry; a superseded owner that
//! folds late finds the key taken or adds a segment that says nothing new.

use crate::{
    context::Context,
    log::{self, Chapter, Segment},
};
use bytes::Bytes;
use mulberryrack_core::{Time, kv, note::Level};
use prost::Message;
use std::{collections::VecDeque, sync::Arc};

/// Largest content of a segment in bytes; the service holds values up to a megabyte.
const SEGMENT_BYTES: usize = 900_000;

/// What a call for the fold is about.
#[derive(Debug)]
enum Task {
    Write {
        key: Arc<str>,
        value: Bytes,
        last: u64,
        stamp_ms: u64,
    },
    Delete,
}

#[derive(Debug)]
struct Call {
    task: Task,
    token: Option<kv::CallId>,
    again: Time,
}

/// Entries that only the ring holds, and the segments there are.
#[derive(Debug, Default)]
pub struct Fold {
    tail: VecDeque<Chapter>,
    covered: u64,
    segments: VecDeque<Segment>,
    call: Option<Call>,
}

impl Fold {
    /// A fold that continues after `covered`.
    pub const fn new(covered: u64, tail: VecDeque<Chapter>, segments: VecDeque<Segment>) -> Self {
        Self {
            tail,
            covered,
            segments,
            call: None,
        }
    }

    /// Adds a committed entry.
    pub fn add(&mut self, chapter: Chapter) {
        self.tail.push_back(chapter);
    }

    /// Whether the next entry would overwrite one that no segment holds.
    pub fn full(&self, context: &Context, sequence: u64) -> bool {
        sequence + 1 > self.covered + u64::from(context.settings.positions)
    }

    /// The call under way.
    pub fn token(&self) -> Option<kv::CallId> {
        self.call.as_ref()?.token
    }

    /// Folds, or deletes an expired segment, if it is time to.
    pub fn pump(&mut self, context: &mut Context, shard: u32) -> Option<Time> {
        if self.call.is_none() {
            self.call = self.next(context, shard);
        }
        let call = self.call.as_ref()?;
        if call.again > context.now {
            return Some(call.again);
        }
        if let Some(later) = context.blocked() {
            return Some(later);
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
        context.spend();
        let token = Some(context.call(shard, op));
        let again = context.now + context.settings.call_timeout;
        let call = self.call.as_mut()?;
        call.token = token;
        call.again = again;
        Some(again)
    }

    /// The service has answered the call.
    pub fn answered(&mut self, context: &mut Context, shard: u32, outcome: kv::Outcome) {
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
                self.cover(Segment {
                    key,
                    revision,
                    last,
                    stamp_ms,
                });
                true
            }
            (Task::Write { .. }, Ok(kv::Reply::Conflict(Some(entry)))) => self.found(&entry),
            _ => false,
        };
        if !done {
            context.note(Level::Debug, "ledger-fold-retried", shard);
            call.token = None;
            let pause = context.settings.call_retry;
            call.again = context.now + context.jitter(pause);
            self.call = Some(call);
        }
    }

    /// Somebody wrote a segment that begins with the same entry.
    fn found(&mut self, entry: &kv::Entry) -> bool {
        let Some(segment) = log::read_segment(&entry.value) else {
            return false;
        };
        self.cover(Segment {
            key: entry.key.clone(),
            revision: entry.revision,
            last: segment.last,
            stamp_ms: segment.stamp_ms,
        });
        true
    }

    fn cover(&mut self, segment: Segment) {
        self.covered = self.covered.max(segment.last);
        self.segments.push_back(segment);
        let covered = self.covered;
        self.tail.retain(|chapter| chapter.sequence > covered);
    }

    fn next(&mut self, context: &Context, shard: u32) -> Option<Call> {
        let expired = expiry(context);
        if self
            .segments
            .front()
            .is_some_and(|segment| segment.stamp_ms < expired)
        {
            return Some(call(Task::Delete, context.now));
        }
        self.skip(expired);
        if self.tail.len() < context.settings.positions as usize / 2 {
            return None;
        }
        let mut bytes = 0;
        let count = self
            .tail
            .iter()
            .take_while(|chapter| {
                bytes += chapter.records.encoded_len() + 16;
                bytes <= SEGMENT_BYTES
            })
            .count()
            .max(1);
        let first = self.tail.front()?;
        let last = self.tail.get(count - 1)?;
        let task = Task::Write {
            key: log::segment_key(context, shard, first.sequence),
            value: log::write_segment(self.tail.iter().take(count)),
            last: last.sequence,
            stamp_ms: last.stamp_ms,
        };
        Some(call(task, context.now))
    }

    /// Passes over leading entries that hold nothing worth keeping.
    fn skip(&mut self, expired: u64) {
        while let Some(chapter) = self.tail.front()
            && self.tail.len() > 1
            && (chapter.records.records.is_empty() || chapter.stamp_ms < expired)
        {
            self.covered = chapter.sequence;
            self.tail.pop_front();
        }
    }
}

/// Wall clock in milliseconds before which records have expired.
pub fn expiry(context: &Context) -> u64 {
    let retention = u64::try_from(context.settings.retention.as_millis()).unwrap_or(u64::MAX);
    context.wall_ms().saturating_sub(retention)
}

const fn call(task: Task, now: Time) -> Call {
    Call {
        task,
        token: None,
        again: now,
    }
}
