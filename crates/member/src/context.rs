//! What every part of the area shares while it handles an input.

use crate::{Output, Settings};
use mulberryrack_core::{
    Time,
    note::{Counter, Note},
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Settings, time, random numbers and the outputs gathered so far.
pub(crate) struct Context {
    pub settings: Settings,
    pub now: Time,
    pub out: Vec<Output>,
    rng: ChaCha8Rng,
}

impl Context {
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        Self {
            settings,
            now,
            out: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A random index below `len`, which is not zero.
    pub fn below(&mut self, len: usize) -> usize {
        self.rng.random_range(0..len)
    }

    /// A random part of a time span.
    pub fn jitter(&mut self, span: Duration) -> Duration {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(0..=micros))
    }

    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        items.shuffle(&mut self.rng);
    }

    pub fn note(&mut self, note: Note) {
        self.out.push(Output::Note(note));
    }

    pub fn count(&mut self, counter: Counter) {
        self.out.push(Output::Count(counter));
    }
}
