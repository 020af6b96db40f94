//! What is to happen, in order of time.

use mulberryrack_core::Time;
use std::collections::BTreeMap;

/// Items by time; of two at one time the one put first comes first.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: BTreeMap<(Time, u64), T>,
    put: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            put: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Puts an item in.
    pub fn put(&mut self, at: Time, item: T) {
        self.put += 1;
        self.items.insert((at, self.put), item);
    }

    /// Takes the next item out if its time is not after `until`.
    pub fn next(&mut self, until: Time) -> Option<(Time, T)> {
        let entry = self.items.first_entry()?;
        let (at, _) = *entry.key();
        (at <= until).then(|| (at, entry.remove()))
    }
}
