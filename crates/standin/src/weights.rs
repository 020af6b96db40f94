//! Simulated weight store, from which engines load model weights. It limits the rate at
//! which loads begin and the number of loads that run at once.

use mulberryrack_core::{Incarnation, Name, Time, earliest};
use std::{collections::VecDeque, time::Duration};

/// Limits of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of loads that begin in a second.
    pub rate: f64,
    /// Maximum number of loads that run at once.
    pub parallel: usize,
    /// Bandwidth of each load in megabytes a second, however many run.
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

/// A request by an engine for the weights of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Name of the engine that fetches.
    pub engine: Name,
    /// The engine's incarnation when it asked.
    pub incarnation: Incarnation,
    /// Row whose weights are fetched.
    pub row: Name,
    /// Size of the weights in megabytes.
    pub memory_mb: u64,
}

/// The weight store. Fetches beyond a limit wait in order of arrival.
#[derive(Clone, Debug)]
pub struct Store {
    settings: Settings,
    waiting: VecDeque<Fetch>,
    running: Vec<(Time, Fetch)>,
    next_start: Time,
    /// Number of loads begun since the start.
    pub loads: u64,
    /// Largest number of fetches that ever waited at once.
    pub peak_waiting: usize,
}

impl Store {
    /// Creates an idle store.
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

    /// Accepts a fetch, or `None` on a wake-up, and pushes the fetches that have completed by
    /// `now` to `out`.
    pub fn handle(&mut self, now: Time, fetch: Option<Fetch>, out: &mut Vec<Fetch>) {
        while let Some(at) = self.next_wake().filter(|at| *at <= now) {
            self.tick(at, out);
        }
        self.waiting.extend(fetch);
        self.tick(now, out);
        self.peak_waiting = self.peak_waiting.max(self.waiting.len());
    }

    /// The next moment at which a fetch ends or a waiting one can begin; `None` if idle.
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
