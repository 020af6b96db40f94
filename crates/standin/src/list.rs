//! Simulated list of live and leaving machines, which readers see with a lag.

use mulberryrack_core::{Name, Time, node::Listing};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

#[derive(Clone, Debug)]
enum Change {
    Set(Listing),
    Remove(Name),
}

/// The list of machines. Readers see each change once the lag has passed.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Delay after which readers see a change.
    pub lag: Duration,
    visible: BTreeMap<Name, Listing>,
    pending: VecDeque<(Time, Change)>,
    /// Number of reads since the start.
    pub reads: u64,
}

impl List {
    /// Creates an empty list.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Adds a machine without the lag: readers see it at once.
    pub fn set_now(&mut self, listing: Listing) {
        self.visible.insert(listing.name.clone(), listing);
    }

    /// Adds a machine, or replaces the entry of the same name, after the lag.
    pub fn set(&mut self, now: Time, listing: Listing) {
        self.pending.push_back((now, Change::Set(listing)));
    }

    /// Marks a machine as leaving or not leaving, after the lag. Returns `false` if the list
    /// does not have the machine, counting changes that readers do not see yet.
    pub fn set_leaving(&mut self, now: Time, name: &str, leaving: bool) -> bool {
        let latest = self.latest(name);
        let known = latest.is_some();
        if let Some(listing) = latest {
            self.set(now, Listing { leaving, ..listing });
        }
        known
    }

    /// Removes a machine from the list, after the lag.
    pub fn remove(&mut self, now: Time, name: &str) {
        self.pending.push_back((now, Change::Remove(name.into())));
    }

    /// The machines that a reader sees at `now`, sorted by name.
    pub fn read(&mut self, now: Time) -> Vec<Listing> {
        self.reads += 1;
        let due = self
            .pending
            .iter()
            .take_while(|(at, _)| *at + self.lag <= now);
        let due = due.count();
        for (_, change) in self.pending.drain(..due) {
            match change {
                Change::Set(listing) => drop(self.visible.insert(listing.name.clone(), listing)),
                Change::Remove(name) => drop(self.visible.remove(&name)),
            }
        }
        self.visible.values().cloned().collect()
    }

    fn latest(&self, name: &str) -> Option<Listing> {
        let change = self
            .pending
            .iter()
            .rev()
            .find_map(|(_, change)| match change {
                Change::Set(listing) if *listing.name == *name => Some(Some(listing.clone())),
                Change::Remove(removed) if **removed == *name => Some(None),
                _ => None,
            });
        change.unwrap_or_else(|| self.visible.get(name).cloned())
    }
}
