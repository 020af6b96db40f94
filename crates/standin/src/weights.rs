//! The rate-limited weight store.

use mulberryrack_core::{Incarnation, Name, Time, earliest};
use std::{collections::VecDeque, time::Duration};

/// What the store is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Loads begun a second.
    pub rate: f64,
    /// Loads at once.
    pub parallel: usize,
    /// Megabytes a second for each load.
    pub bandwidth_mb: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 2.0,
            parallel: 3,
            bandwidth_mb: 8_000,
        }
    }
}

/// Weights that an engine fetches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The engine.
    pub engine: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// Row whose weights they are.
    pub row: Name,
    /// Size in megabytes.
    pub memory_mb: u64,
}

/// The store. Fetches over a limit wait in order.
#[derive(Clone, Debug)]
pub struct Store {
    settings: Settings,
    waiting: VecDeque<Fetch>,
    running: Vec<(Time, Fetch)>,
    next_start: Time,
    /// Loads begun since the start.
    pub loads: u64,
    /// Most fetches that waited at once.
    pub peak_waiting: usize,
}

impl Store {
    /// An idle store.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            waiting: VecDeque::new(),
            running: Vec::new(),
            next_start: Time::ZERO,
            loads: 0,
            peak_waiting: 0,
        }
    }

    /// Takes a fetch, or `None` for a wake-up; pushes the fetches that have ended.
    pub fn handle(&mut self, now: Time, fetch: Option<Fetch>, out: &mut Vec<Fetch>) {
        while let Some(at) = self.next_wake().filter(|at| *at <= now) {
            self.tick(at, out);
        }
        self.waiting.extend(fetch);
        self.tick(now, out);
        self.peak_waiting = self.peak_waiting.max(self.waiting.len());
    }

    /// When something ends or can begin.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let end = self.running.iter().map(|(end, _)| *end).min();
        let free = self.running.len() < self.settings.parallel;
        let start = (free && !self.waiting.is_empty()).then_some(self.next_start);
        earliest(end, start)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Fetch>) {
        let ended = self.running.extract_if(.., |(end, _)| *end <= now);
        out.extend(ended.map(|(_, fetch)| fetch));
        while self.running.len() < self.settings.parallel && self.next_start <= now {
            let Some(fetch) = self.waiting.pop_front() else {
                return;
            };
            let millis = fetch.memory_mb * 1_000 / self.settings.bandwidth_mb.max(1);
            self.running
                .push((now + Duration::from_millis(millis), fetch));
            self.next_start = now + Duration::from_secs_f64(1.0 / self.settings.rate);
            self.loads += 1;
        }
    }
}
