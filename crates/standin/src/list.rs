//! The platform's list of live and leaving machines, which lags.

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

/// The list. A reader sees each change after the lag.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Time until a change is seen.
    pub lag: Duration,
    seen: BTreeMap<Name, Listing>,
    pending: VecDeque<(Time, Change)>,
    /// Reads since the start.
    pub reads: u64,
}

impl List {
    /// An empty list.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Adds a machine that readers see at once.
    pub fn preset(&mut self, listing: Listing) {
        self.seen.insert(listing.name.clone(), listing);
    }

    /// Adds or replaces a machine.
    pub fn set(&mut self, now: Time, listing: Listing) {
        self.pending.push_back((now, Change::Set(listing)));
    }

    /// Says whether a machine is about to go away; `false` if the list never had it.
    pub fn leave(&mut self, now: Time, name: &str, leaving: bool) -> bool {
        let newest = self.newest(name);
        let known = newest.is_some();
        if let Some(listing) = newest {
            self.set(now, Listing { leaving, ..listing });
        }
        known
    }

    /// Drops a machine.
    pub fn remove(&mut self, now: Time, name: &str) {
        self.pending.push_back((now, Change::Remove(name.into())));
    }

    /// What a reader sees, sorted by name.
    pub fn read(&mut self, now: Time) -> Vec<Listing> {
        self.reads += 1;
        let due = self
            .pending
            .iter()
            .take_while(|(at, _)| *at + self.lag <= now);
        let due = due.count();
        for (_, change) in self.pending.drain(..due) {
            match change {
                Change::Set(listing) => drop(self.seen.insert(listing.name.clone(), listing)),
                Change::Remove(name) => drop(self.seen.remove(&name)),
            }
        }
        self.seen.values().cloned().collect()
    }

    fn newest(&self, name: &str) -> Option<Listing> {
        let change = self
            .pending
            .iter()
            .rev()
            .find_map(|(_, change)| match change {
                Change::Set(listing) if *listing.name == *name => Some(Some(listing.clone())),
                Change::Remove(removed) if **removed == *name => Some(None),
                _ => None,
            });
        change.unwrap_or_else(|| self.seen.get(name).cloned())
    }
}
