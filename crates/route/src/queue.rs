//! Waiting requests: by deadline inside a row, by share between rows.

use mulberryrack_core::{Time, request::Key};
use std::collections::BTreeSet;

/// Requests of one row that wait.
///
/// Those that can still meet the row's target go first, the earliest deadline first;
/// those that cannot any more use what room is left. When more arrives than can run,
/// serving the oldest first would make every request miss its target.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// By deadline.
    timely: BTreeSet<(Time, Key)>,
    /// The same requests by the moment until which they are timely.
    targets: BTreeSet<(Time, Key)>,
    /// By deadline.
    late: BTreeSet<(Time, Key)>,
    /// Virtual time of weighted fair queueing at which the next dispatch starts.
    pub turn: f64,
}

/// A request in a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub key: Key,
    pub deadline: Time,
    /// Until when it meets its target if it is dispatched.
    pub target: Time,
}

impl Queue {
    pub fn push(&mut self, place: Place) {
        self.timely.insert((place.deadline, place.key));
        self.targets.insert((place.target, place.key));
    }

    pub fn remove(&mut self, place: Place) -> bool {
        self.targets.remove(&(place.target, place.key));
        let entry = (place.deadline, place.key);
        self.timely.remove(&entry) || self.late.remove(&entry)
    }

    /// The next request that misses its target from now on.
    pub fn missed(&self, now: Time) -> Option<Key> {
        let (target, key) = self.targets.first()?;
        (*target < now).then_some(*key)
    }

    /// Moves a request to those that are late.
    pub fn make_late(&mut self, place: Place) {
        if self.remove(place) {
            self.late.insert((place.deadline, place.key));
        }
    }

    /// The late request that ends first.
    pub fn least_hopeful(&self) -> Option<Key> {
        self.late.first().map(|(_, key)| *key)
    }

    /// The waiting requests in order.
    pub fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.timely.iter().chain(&self.late).map(|(_, key)| *key)
    }

    pub fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests that are served before a timely one with this deadline.
    pub fn ahead(&self, deadline: Time) -> usize {
        // Bounded by the queue's length, which a setting bounds.
        self.timely.range(..(deadline, Key(0))).count()
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
