//! Estimates how fast engines read prompts of each model, from the measured times to first
//! events.

use mulberryrack_core::Name;
use std::{collections::BTreeMap, time::Duration};

/// Time to read one prompt token, before any measurement; the users' slower models take
/// about this long.
const DEFAULT_MS_PER_TOKEN: f64 = 0.03;
/// Part of the time from a dispatch to the first event that is not prompt reading: the
/// network round trip and the first output token.
const OVERHEAD_MS: f64 = 10.0;
/// Shorter expected reading times are not used as samples, as they say little about the
/// speed.
const MIN_SAMPLE_MS: f64 = 12.0;
/// Exponent that turns the ratio of a sample to the estimate into the factor by which the
/// sample corrects the estimate.
const GAIN: f64 = 0.15;
/// Bounds on the ratio of a sample to the estimate. A sample is too long if another host has
/// sent the engine a prompt that this host does not know of yet.
const MIN_RATIO: f64 = 0.4;
const MAX_RATIO: f64 = 1.6;
/// Prompt tokens that an engine reads in the time by which writing one token delays its
/// batch. From the users' data sheets.
const READ_TOKENS_PER_WRITTEN_TOKEN: f64 = 16.0;

/// Time to read a prompt token, by model. A model that has not been measured gets the
/// estimate for all models with the same size of weights, since larger models are slower.
#[derive(Debug, Default)]
pub(crate) struct ReadTimes {
    /// Size of each model's weights in megabytes.
    sizes: BTreeMap<Name, u64>,
    /// Milliseconds per token of each model that has been measured.
    by_model: BTreeMap<Name, f64>,
    /// Milliseconds per token by size of the weights, from the samples of all models of that
    /// size.
    by_size: BTreeMap<u64, f64>,
}

impl ReadTimes {
    /// Sets the size of a model's weights in megabytes.
    pub fn set_size(&mut self, model: &Name, weights_mb: f64) {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.sizes.insert(model.clone(), weights_mb as u64);
    }

    /// Records the time to the first event of a prompt that was expected to take `read_ms`
    /// on an engine without other prompts to read.
    pub fn record_sample(&mut self, model: &Name, read_ms: f64, took: Duration) {
        if read_ms < MIN_SAMPLE_MS {
            return;
        }
        let measured_ms = took.as_secs_f64() * 1_000.0 - OVERHEAD_MS;
        let ratio = (measured_ms / read_ms).clamp(MIN_RATIO, MAX_RATIO);
        let correction = ratio.powf(GAIN);
        let ms_per_token = self.ms_per_token(model) * correction;
        self.by_model.insert(model.clone(), ms_per_token);
        if let Some(size) = self.sizes.get(model) {
            let size_estimate = self.by_size.entry(*size).or_insert(DEFAULT_MS_PER_TOKEN);
            *size_estimate *= correction;
        }
    }

    fn ms_per_token(&self, model: &Name) -> f64 {
        let by_size = || self.by_size.get(self.sizes.get(model)?);
        let ms_per_token = self.by_model.get(model).or_else(by_size);
        ms_per_token.copied().unwrap_or(DEFAULT_MS_PER_TOKEN)
    }

    /// Time to read this many prompt tokens, in milliseconds.
    pub fn read_ms(&self, model: &Name, tokens: u32) -> f64 {
        f64::from(tokens) * self.ms_per_token(model)
    }

    /// Time by which writing this many tokens delays the other requests of a batch, in
    /// milliseconds.
    pub fn write_ms(&self, model: &Name, tokens: u32) -> f64 {
        f64::from(tokens) * READ_TOKENS_PER_WRITTEN_TOKEN * self.ms_per_token(model)
    }
}
