//! State that all parts of the membership area use while they handle one input.

use crate::{Output, Settings};
use mulberryrack_core::{
    Time,
    note::{Counter, Note},
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Settings, current time, seeded random numbers and the outputs of the input in
/// progress.
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

    /// A random index in `0..len`; `len` must not be zero.
    pub fn random_index(&mut self, len: usize) -> usize {
        self.rng.random_range(0..len)
    }

    /// A random duration from zero to `span`, inclusive, in whole microseconds.
    pub fn jitter(&mut self, span: Duration) -> Duration {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(0..=micros))
    }

    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        items.shuffle(&mut self.rng);
    }

    /// Emits a log line.
    pub fn note(&mut self, note: Note) {
        self.out.push(Output::Note(note));
    }

    /// Increments a counter.
    pub fn count(&mut self, counter: Counter) {
        self.out.push(Output::Count(counter));
    }
}
