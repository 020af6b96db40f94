//! The memory side of a model engine: orders, residents, fencing, restarts.
//!
//! [`Memory`] does no I/O. It takes every load by default, also one that does not fit, as
//! engines do that overcommit and then crash; [`Memory::peak_mb`] shows it.

use mulberryrack_core::{
    Incarnation, Name, Time,
    upstream::{Action, Contact, Order, Report, Residency, Resident},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Most settled order ids that a report names.
pub const SETTLED: usize = 256;

/// A row's name and version.
type Id = (Name, Name);

#[derive(Clone, Debug)]
struct Copy {
    memory_mb: u64,
    base: Option<Name>,
    state: Residency,
    running: u32,
    /// Rises with each load, so that the newest version is found.
    loaded: u64,
    /// When the load ends by itself.
    ready_at: Option<Time>,
    load: u64,
    unload: Option<u64>,
}

/// Memory of one engine.
#[derive(Clone, Debug)]
pub struct Memory {
    incarnation: Incarnation,
    capacity_mb: u64,
    fencing: bool,
    fence: u64,
    copies: BTreeMap<Id, Copy>,
    seen: BTreeSet<u64>,
    settled: VecDeque<u64>,
    sequence: u64,
    loads: u64,
    /// Whether a load that does not fit is refused.
    pub checks_room: bool,
    /// Time that a load takes; `None` to end loads by [`Memory::loaded`].
    pub load_time: Option<Duration>,
    /// Whether the engine announces that it goes away.
    pub leaving: bool,
    /// The role last ordered; empty at start.
    pub role: Name,
    /// Most megabytes taken at once in any life.
    pub peak_mb: u64,
}

impl Memory {
    /// An empty engine. With `fencing` it refuses orders with an old fencing number.
    #[must_use]
    pub fn new(incarnation: Incarnation, capacity_mb: u64, fencing: bool) -> Self {
        Self {
            incarnation,
            capacity_mb,
            fencing,
            fence: 0,
            copies: BTreeMap::new(),
            seen: BTreeSet::new(),
            settled: VecDeque::new(),
            sequence: 0,
            loads: 0,
            checks_room: false,
            load_time: None,
            leaving: false,
            role: Name::from(""),
            peak_mb: 0,
        }
    }

    /// Starts a new life: empty, with neither orders nor the fencing number remembered.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.fence = 0;
        self.copies.clear();
        self.seen.clear();
        self.settled.clear();
        self.sequence = 0;
    }

    /// Carries out an order, once in one life, and answers with a report.
    pub fn order(&mut self, now: Time, order: &Order) -> Contact {
        self.advance(now);
        if self.fencing && order.fence < self.fence {
            return Contact::Fenced;
        }
        self.fence = self.fence.max(order.fence);
        if self.seen.insert(order.id) {
            self.carry_out(now, order.id, &order.action);
        }
        Contact::Report(Box::new(self.report(now)))
    }

    /// What the engine says of its memory; the load figures are zero.
    pub fn report(&mut self, now: Time) -> Report {
        self.advance(now);
        self.sequence += 1;
        let residents = self.copies.iter().map(|((row, version), copy)| Resident {
            row: row.clone(),
            version: version.clone(),
            state: copy.state,
            memory_mb: copy.memory_mb,
        });
        Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            memory_mb: self.capacity_mb,
            residents: residents.collect(),
            settled: self.settled.iter().copied().collect(),
            leaving: self.leaving,
            ..Report::default()
        }
    }

    /// Ends the load of every version of `row` that is loading.
    pub fn loaded(&mut self, now: Time, row: &str) {
        for ((name, _), copy) in &mut self.copies {
            if **name == *row && copy.state == Residency::Loading {
                copy.ready_at = Some(now);
            }
        }
        self.advance(now);
    }

    /// Ends the loads whose time has come.
    pub fn advance(&mut self, now: Time) {
        let mut done = Vec::new();
        for copy in self.copies.values_mut() {
            let due = copy.ready_at.is_some_and(|at| at <= now);
            if copy.state == Residency::Loading && due {
                copy.state = Residency::Ready;
                done.push(copy.load);
            }
        }
        for id in done {
            self.settle(id);
        }
    }

    /// When the next load ends by itself.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.copies
            .values()
            .filter(|copy| copy.state == Residency::Loading)
            .filter_map(|copy| copy.ready_at)
            .min()
    }

    /// Starts a request on the newest ready version of `row` and names the version;
    /// `None` if there is none, or if an adapter's base is not ready.
    pub fn begin(&mut self, row: &str) -> Option<Name> {
        let (id, base) = self
            .copies
            .iter()
            .filter(|((name, _), copy)| **name == *row && copy.state == Residency::Ready)
            .max_by_key(|(_, copy)| copy.loaded)
            .map(|(id, copy)| (id.clone(), copy.base.clone()))?;
        if base.is_some_and(|base| !self.serves(&base)) {
            return None;
        }
        self.copies.get_mut(&id)?.running += 1;
        Some(id.1)
    }

    /// Ends a request that [`Memory::begin`] started; `version` is what it returned.
    pub fn end(&mut self, row: &str, version: &str) {
        let id = (Name::from(row), Name::from(version));
        if let Some(copy) = self.copies.get_mut(&id) {
            copy.running = copy.running.saturating_sub(1);
        }
        self.free(&id);
    }

    /// Whether a version of `row` is ready.
    #[must_use]
    pub fn serves(&self, row: &str) -> bool {
        self.copies
            .iter()
            .any(|((name, _), copy)| **name == *row && copy.state == Residency::Ready)
    }

    /// The state of a version of `row`; `None` if it is not in memory.
    #[must_use]
    pub fn state(&self, row: &str, version: &str) -> Option<Residency> {
        let id = (Name::from(row), Name::from(version));
        self.copies.get(&id).map(|copy| copy.state)
    }

    /// Megabytes taken now.
    #[must_use]
    pub fn used_mb(&self) -> u64 {
        self.copies.values().map(|copy| copy.memory_mb).sum()
    }

    /// Megabytes that there are.
    #[must_use]
    pub const fn capacity_mb(&self) -> u64 {
        self.capacity_mb
    }

    /// The life that runs.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn carry_out(&mut self, now: Time, id: u64, action: &Action) {
        match action {
            Action::Load {
                row,
                version,
                memory_mb,
                base,
            } => {
                let key = (row.clone(), version.clone());
                if !self.load(now, id, key, *memory_mb, base.clone()) {
                    self.settle(id);
                }
            }
            Action::Unload { row, version } => {
                let key = (row.clone(), version.clone());
                if !self.unload(id, &key) {
                    self.settle(id);
                }
            }
            Action::Export { .. } => self.settle(id),
            Action::Role { role } => {
                self.role = role.clone();
                self.settle(id);
            }
        }
    }

    /// Begins a load; `false` if it is refused.
    fn load(&mut self, now: Time, id: u64, key: Id, memory_mb: u64, base: Option<Name>) -> bool {
        let full = self.used_mb() + memory_mb > self.capacity_mb;
        let no_base = base.as_ref().is_some_and(|base| !self.serves(base));
        if self.copies.contains_key(&key) || no_base || (self.checks_room && full) {
            return false;
        }
        self.loads += 1;
        let copy = Copy {
            memory_mb,
            base,
            state: Residency::Loading,
            running: 0,
            loaded: self.loads,
            ready_at: self.load_time.map(|span| now + span),
            load: id,
            unload: None,
        };
        self.copies.insert(key, copy);
        self.peak_mb = self.peak_mb.max(self.used_mb());
        true
    }

    /// Begins an unload; `false` if it is refused: the row is absent, unloading already,
    /// or the last ready base of a resident adapter.
    fn unload(&mut self, id: u64, key: &Id) -> bool {
        let other_version = self.copies.iter().any(|(other, copy)| {
            other.0 == key.0 && other.1 != key.1 && copy.state == Residency::Ready
        });
        let needed = self
            .copies
            .values()
            .any(|copy| copy.base.as_ref() == Some(&key.0));
        let Some(copy) = self.copies.get_mut(key) else {
            return false;
        };
        if copy.state == Residency::Unloading || (needed && !other_version) {
            return false;
        }
        let cancelled = (copy.state == Residency::Loading).then_some(copy.load);
        copy.state = Residency::Unloading;
        copy.unload = Some(id);
        if let Some(load) = cancelled {
            self.settle(load);
        }
        self.free(key);
        true
    }

    /// Frees an unloading copy whose last request has ended.
    fn free(&mut self, key: &Id) {
        let ended = self
            .copies
            .get(key)
            .is_some_and(|copy| copy.state == Residency::Unloading && copy.running == 0);
        if !ended {
            return;
        }
        if let Some(id) = self.copies.remove(key).and_then(|copy| copy.unload) {
            self.settle(id);
        }
    }

    fn settle(&mut self, id: u64) {
        self.settled.push_back(id);
        if self.settled.len() > SETTLED {
            self.settled.pop_front();
        }
    }
}
