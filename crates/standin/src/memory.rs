//! Simulated accelerator memory of a model engine: orders, resident copies, fencing and
//! restarts.
//!
//! [`Memory`] does no I/O. By default it accepts every load, even one that does not fit,
//! like engines that overcommit their memory and then crash; [`Memory::peak_mb`] exposes
//! such overcommitment to tests.

use mulberryrack_core::{
    Incarnation, Name, Time,
    upstream::{Action, Contact, Order, Report, Residency, Resident},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Maximum number of settled order ids in a report; the oldest are dropped first.
pub const MAX_SETTLED: usize = 256;

/// Name and version of a row.
type CopyKey = (Name, Name);

#[derive(Clone, Debug)]
struct RowCopy {
    memory_mb: u64,
    base: Option<Name>,
    state: Residency,
    running: u32,
    /// Number of the load that created this copy. Numbers increase, so the copy with the
    /// highest one is the newest version.
    load_number: u64,
    /// When the load completes; `None` until [`Memory::finish_load`] is called, if
    /// [`Memory::load_time`] is `None`.
    ready_at: Option<Time>,
    /// Id of the order that loaded the copy.
    load_order: u64,
    /// Id of the order that unloads the copy, if any.
    unload_order: Option<u64>,
}

/// Accelerator memory of one engine.
#[derive(Clone, Debug)]
pub struct Memory {
    incarnation: Incarnation,
    capacity_mb: u64,
    fencing: bool,
    /// Highest fencing number of any order in this incarnation.
    fence: u64,
    copies: BTreeMap<CopyKey, RowCopy>,
    /// Ids of the orders already carried out in this incarnation.
    seen_orders: BTreeSet<u64>,
    /// Ids of the orders that have completed or were refused, oldest first.
    settled_orders: VecDeque<u64>,
    sequence: u64,
    load_count: u64,
    /// Whether a load that exceeds the free memory is refused; `false` at the start.
    pub refuses_overcommit: bool,
    /// Time that a load takes; with `None`, a load lasts until [`Memory::finish_load`].
    pub load_time: Option<Duration>,
    /// Whether reports announce that the engine is about to go away.
    pub leaving: bool,
    /// The role set by the last such order; empty at the start.
    pub role: Name,
    /// Largest number of megabytes ever in use at once, over all incarnations.
    pub peak_mb: u64,
}

impl Memory {
    /// Creates the memory of an empty engine. With `fencing`, orders with a lower fencing
    /// number than an earlier order are refused.
    #[must_use]
    pub fn new(incarnation: Incarnation, capacity_mb: u64, fencing: bool) -> Self {
        Self {
            incarnation,
            capacity_mb,
            fencing,
            fence: 0,
            copies: BTreeMap::new(),
            seen_orders: BTreeSet::new(),
            settled_orders: VecDeque::new(),
            sequence: 0,
            load_count: 0,
            refuses_overcommit: false,
            load_time: None,
            leaving: false,
            role: Name::from(""),
            peak_mb: 0,
        }
    }

    /// Starts a new incarnation, which is empty and remembers neither the orders nor the
    /// fencing number of the last one.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.fence = 0;
        self.copies.clear();
        self.seen_orders.clear();
        self.settled_orders.clear();
        self.sequence = 0;
    }

    /// Carries out an order and answers with a report. Within one incarnation, an order with
    /// an id already seen is answered without being carried out again.
    pub fn order(&mut self, now: Time, order: &Order) -> Contact {
        self.advance(now);
        if self.fencing && order.fence < self.fence {
            return Contact::Fenced;
        }
        self.fence = self.fence.max(order.fence);
        if self.seen_orders.insert(order.id) {
            self.apply(now, order.id, &order.action);
        }
        Contact::Report(Box::new(self.report(now)))
    }

    /// Report on the memory; the figures on requests and cache are left at zero.
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
            settled: self.settled_orders.iter().copied().collect(),
            leaving: self.leaving,
            ..Report::default()
        }
    }

    /// Completes the load of every version of `row` that is loading.
    pub fn finish_load(&mut self, now: Time, row: &str) {
        for ((name, _), copy) in &mut self.copies {
            if **name == *row && copy.state == Residency::Loading {
                copy.ready_at = Some(now);
            }
        }
        self.advance(now);
    }

    /// Completes the loads that are due by `now` and settles their orders.
    pub fn advance(&mut self, now: Time) {
        let mut done = Vec::new();
        for copy in self.copies.values_mut() {
            let due = copy.ready_at.is_some_and(|at| at <= now);
            if copy.state == Residency::Loading && due {
                copy.state = Residency::Ready;
                done.push(copy.load_order);
            }
        }
        for id in done {
            self.settle(id);
        }
    }

    /// When the next load completes by itself; `None` if no load has a known end.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.copies
            .values()
            .filter(|copy| copy.state == Residency::Loading)
            .filter_map(|copy| copy.ready_at)
            .min()
    }

    /// Begins a request on the newest ready version of `row` and returns that version. Returns
    /// `None` if no version is ready, or if the row is an adapter whose base is not ready.
    pub fn begin_request(&mut self, row: &str) -> Option<Name> {
        let (id, base) = self
            .copies
            .iter()
            .filter(|((name, _), copy)| **name == *row && copy.state == Residency::Ready)
            .max_by_key(|(_, copy)| copy.load_number)
            .map(|(id, copy)| (id.clone(), copy.base.clone()))?;
        if base.is_some_and(|base| !self.serves(&base)) {
            return None;
        }
        self.copies.get_mut(&id)?.running += 1;
        Some(id.1)
    }

    /// Ends a request that [`Memory::begin_request`] began; `version` is the version returned
    /// there.
    pub fn end_request(&mut self, row: &str, version: &str) {
        let id = (Name::from(row), Name::from(version));
        if let Some(copy) = self.copies.get_mut(&id) {
            copy.running = copy.running.saturating_sub(1);
        }
        self.free_if_idle(&id);
    }

    /// Whether any version of `row` is ready.
    #[must_use]
    pub fn serves(&self, row: &str) -> bool {
        self.copies
            .iter()
            .any(|((name, _), copy)| **name == *row && copy.state == Residency::Ready)
    }

    /// State of one version of `row`; `None` if that version is not in memory.
    #[must_use]
    pub fn state(&self, row: &str, version: &str) -> Option<Residency> {
        let id = (Name::from(row), Name::from(version));
        self.copies.get(&id).map(|copy| copy.state)
    }

    /// Megabytes in use now, including copies that are loading or unloading.
    #[must_use]
    pub fn used_mb(&self) -> u64 {
        self.copies.values().map(|copy| copy.memory_mb).sum()
    }

    /// Total memory in megabytes.
    #[must_use]
    pub const fn capacity_mb(&self) -> u64 {
        self.capacity_mb
    }

    /// The current incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn apply(&mut self, now: Time, id: u64, action: &Action) {
        match action {
            Action::Load {
                row,
                version,
                memory_mb,
                base,
            } => {
                let key = (row.clone(), version.clone());
                if !self.start_load(now, id, key, *memory_mb, base.clone()) {
                    self.settle(id);
                }
            }
            Action::Unload { row, version } => {
                let key = (row.clone(), version.clone());
                if !self.start_unload(id, &key) {
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

    /// Begins a load. Returns `false` if it is refused: the copy exists already, an adapter's
    /// base is not ready, or the load does not fit and [`Memory::refuses_overcommit`] is set.
    fn start_load(
        &mut self,
        now: Time,
        id: u64,
        key: CopyKey,
        memory_mb: u64,
        base: Option<Name>,
    ) -> bool {
        let full = self.used_mb() + memory_mb > self.capacity_mb;
        let no_base = base.as_ref().is_some_and(|base| !self.serves(base));
        if self.copies.contains_key(&key) || no_base || (self.refuses_overcommit && full) {
            return false;
        }
        self.load_count += 1;
        let copy = RowCopy {
            memory_mb,
            base,
            state: Residency::Loading,
            running: 0,
            load_number: self.load_count,
            ready_at: self.load_time.map(|span| now + span),
            load_order: id,
            unload_order: None,
        };
        self.copies.insert(key, copy);
        self.peak_mb = self.peak_mb.max(self.used_mb());
        true
    }

    /// Begins an unload. Returns `false` if it is refused: the copy is absent, is unloading
    /// already, or is the last ready base of a resident adapter.
    fn start_unload(&mut self, id: u64, key: &CopyKey) -> bool {
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
        let cancelled = (copy.state == Residency::Loading).then_some(copy.load_order);
        copy.state = Residency::Unloading;
        copy.unload_order = Some(id);
        if let Some(load_order) = cancelled {
            self.settle(load_order);
        }
        self.free_if_idle(key);
        true
    }

    /// Frees an unloading copy once its last request has ended, and settles the unload order.
    fn free_if_idle(&mut self, key: &CopyKey) {
        let ended = self
            .copies
            .get(key)
            .is_some_and(|copy| copy.state == Residency::Unloading && copy.running == 0);
        if !ended {
            return;
        }
        if let Some(id) = self.copies.remove(key).and_then(|copy| copy.unload_order) {
            self.settle(id);
        }
    }

    fn settle(&mut self, id: u64) {
        self.settled_orders.push_back(id);
        if self.settled_orders.len() > MAX_SETTLED {
            self.settled_orders.pop_front();
        }
    }
}
