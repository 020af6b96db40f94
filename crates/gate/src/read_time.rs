//! How fast engines read prompts of each model, learnt from the times to first events.

use mulberryrack_core::Name;
use std::{collections::BTreeMap, time::Duration};

/// Time to read a prompt's token before anything was seen of any model, in milliseconds;
/// the users' slower models take about this.
const FIRST_READ_MS: f64 = 0.03;
/// Time from a send to the first event beside the reading, in milliseconds: the way there
/// and back, and the first token.
const OVERHEAD_MS: f64 = 10.0;
/// Shortest expected reading that says something of the pace, in milliseconds.
const LEAST_SAMPLE_MS: f64 = 12.0;
/// How far one sample moves the figure, as an exponent.
const GAIN: f64 = 0.15;
/// Bounds on the ratio of one sample to the figure; a prompt of another host that this
/// one was not told of lengthens a sample.
const LEAST_RATIO: f64 = 0.4;
const MOST_RATIO: f64 = 1.6;
/// Prompt tokens that are read in the time that one written token costs a batch; from the
/// users' sheets.
const READ_PER_WRITE: f64 = 16.0;

/// Time to read a token, by model and by size of the weights: larger models are slower.
#[derive(Debug, Default)]
pub(crate) struct Paces {
    sizes: BTreeMap<Name, u64>,
    by_model: BTreeMap<Name, f64>,
    by_size: BTreeMap<u64, f64>,
}

impl Paces {
    /// Takes a model's size in megabytes.
    pub fn set_size(&mut self, model: &Name, megabytes: f64) {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.sizes.insert(model.clone(), megabytes as u64);
    }

    /// Takes the time to the first event of a prompt that was expected to take `read_ms`
    /// on an engine with nothing else to read.
    pub fn take(&mut self, model: &Name, read_ms: f64, took: Duration) {
        if read_ms < LEAST_SAMPLE_MS {
            return;
        }
        let measured = took.as_secs_f64() * 1_000.0 - OVERHEAD_MS;
        let ratio = (measured / read_ms).clamp(LEAST_RATIO, MOST_RATIO);
        let pull = ratio.powf(GAIN);
        let figure = self.read_one(model) * pull;
        self.by_model.insert(model.clone(), figure);
        if let Some(size) = self.sizes.get(model) {
            let shared = self.by_size.entry(*size).or_insert(FIRST_READ_MS);
            *shared *= pull;
        }
    }

    fn read_one(&self, model: &Name) -> f64 {
        let by_size = || self.by_size.get(self.sizes.get(model)?);
        let figure = self.by_model.get(model).or_else(by_size);
        figure.copied().unwrap_or(FIRST_READ_MS)
    }

    /// Time to read tokens of a prompt, in milliseconds.
    pub fn read_ms(&self, model: &Name, tokens: u32) -> f64 {
        f64::from(tokens) * self.read_one(model)
    }

    /// What writing tokens costs the other requests of a batch, in milliseconds.
    pub fn write_ms(&self, model: &Name, tokens: u32) -> f64 {
        f64::from(tokens) * READ_PER_WRITE * self.read_one(model)
    }
}
