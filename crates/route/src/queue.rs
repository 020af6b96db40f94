//! Waiting requests: by deadline inside a row, by share between rows.

use mulberryrack_core::{Time, request::Key};
use std::collections::BTreeSet;

/// Requests of one row that wait, the earliest deadline first.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeSet<(Time, Key)>,
    /// Virtual time of weighted fair queueing at which the next dispatch starts.
    pub turn: f64,
}

impl Queue {
    pub fn push(&mut self, deadline: Time, key: Key) {
        self.waiting.insert((deadline, key));
    }

    pub fn remove(&mut self, deadline: Time, key: Key) -> bool {
        self.waiting.remove(&(deadline, key))
    }

    /// The waiting requests in order.
    pub fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.waiting.iter().map(|(_, key)| *key)
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests that are served before one with this deadline.
    pub fn ahead(&self, deadline: Time) -> usize {
        // Bounded by the queue's length, which a setting bounds.
        self.waiting.range(..(deadline, Key(0))).count()
    }

    /// Takes the row into the contest again after it had nothing waiting: it gets no
    /// credit for the time in which it did not compete.
    pub fn enter(&mut self, clock: f64) {
        self.turn = self.turn.max(clock);
    }

    /// Charges a dispatch of `cost` to the row; returns the turn it was made at.
    pub fn charge(&mut self, cost: f64, share: u32) -> f64 {
        let start = self.turn;
        self.turn += cost / f64::from(share.max(1));
        start
    }
}
