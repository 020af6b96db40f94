//! Queues of waiting requests: ordered by deadline within a row, by share between rows.

use mulberryrack_core::{Time, request::Key};
use std::collections::BTreeSet;

/// The queued requests of one row.
///
/// Requests that can still meet the row's target for the first byte go first, in the
/// order of their deadlines; the late ones use the room that is left. Under overload,
/// serving the oldest request first would make every request miss its target.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Requests that can still meet their target, by deadline.
    on_time: BTreeSet<(Time, Key)>,
    /// The requests of `on_time` by the moment at which their first byte is due.
    by_first_byte_due: BTreeSet<(Time, Key)>,
    /// Requests that can no longer meet their target, by deadline.
    late: BTreeSet<(Time, Key)>,
    /// Virtual time of weighted fair queueing at which the row's next dispatch starts.
    pub virtual_start: f64,
}

/// A request in a queue, with the keys by which it is ordered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub key: Key,
    pub deadline: Time,
    /// Moment at which the first byte is due by the row's target.
    pub first_byte_due: Time,
}

impl Queue {
    pub fn push(&mut self, entry: QueueEntry) {
        self.on_time.insert((entry.deadline, entry.key));
        self.by_first_byte_due
            .insert((entry.first_byte_due, entry.key));
    }

    pub fn remove(&mut self, entry: QueueEntry) -> bool {
        self.by_first_byte_due
            .remove(&(entry.first_byte_due, entry.key));
        let entry = (entry.deadline, entry.key);
        self.on_time.remove(&entry) || self.late.remove(&entry)
    }

    /// The on-time request whose first byte is due earliest, if that is before
    /// `expected_at`, when a request dispatched now can expect its first byte.
    pub fn first_missing_target(&self, expected_at: Time) -> Option<Key> {
        let (first_byte_due, key) = self.by_first_byte_due.first()?;
        (*first_byte_due < expected_at).then_some(*key)
    }

    /// Moves a request from the on-time to the late ones.
    pub fn demote(&mut self, entry: QueueEntry) {
        if self.remove(entry) {
            self.late.insert((entry.deadline, entry.key));
        }
    }

    /// The late request with the earliest deadline.
    pub fn earliest_late(&self) -> Option<Key> {
        self.late.first().map(|(_, key)| *key)
    }

    /// All queued requests in the order in which they are served.
    pub fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.on_time.iter().chain(&self.late).map(|(_, key)| *key)
    }

    pub fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of requests that are served before an on-time request with this deadline.
    pub fn ahead(&self, deadline: Time) -> usize {
        // Counts at most `max_queue_len` requests.
        self.on_time.range(..(deadline, Key(0))).count()
    }

    /// Advances the row to the current virtual time when its queue stops being empty, so
    /// that an idle row gains no credit.
    pub fn catch_up(&mut self, clock: f64) {
        self.virtual_start = self.virtual_start.max(clock);
    }

    /// Charges a dispatch of `cost` to the row; returns the virtual time at which it
    /// started.
    pub fn charge(&mut self, cost: f64, share: u32) -> f64 {
        let start = self.virtual_start;
        self.virtual_start += cost / f64::from(share.max(1));
        start
    }
}
