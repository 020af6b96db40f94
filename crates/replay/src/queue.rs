//! A queue of events in order of virtual time.

use mulberryrack_core::Time;
use std::collections::BTreeMap;

/// Items by time; items of the same time come out in the order in which they were pushed.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: BTreeMap<(Time, u64), T>,
    /// Number of items pushed so far, which orders items of the same time.
    pushed: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            pushed: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds an item that is due at a time.
    pub fn push(&mut self, at: Time, item: T) {
        self.pushed += 1;
        self.items.insert((at, self.pushed), item);
    }

    /// Removes the first item if it is due at `until` or earlier.
    pub fn pop_due(&mut self, until: Time) -> Option<(Time, T)> {
        let entry = self.items.first_entry()?;
        let (at, _) = *entry.key();
        (at <= until).then(|| (at, entry.remove()))
    }
}
