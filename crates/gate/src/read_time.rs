//! Estimates how fast engines read prompts of each model, from the measured times to first
//! events.

use mulberryrack_core::Name;
use std::{collections::BTreeMap, time::Duration};

/// Time to read one prompt token, before any measurement; the users' slower models take
/// about this long.
const DEFAULT_MS_PER_TOKEN: f64 = 0.03;
/// Part of the time from a dispatch to the first event that is not prompt reading: the
/// network round trip and the first output token.
pub(crate) const OVERHEAD_MS: f64 = 10.0;
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
/// Fewest prompt tokens of a sample for the low quantile: half of what an engine reads in one
/// step. Fewer say little about the speed, as the first event itself takes about as long.
pub(crate) const MIN_SAMPLE_TOKENS: u32 = 512;
/// The quantile of the measured times that the estimate follows. On a quiet day half of the
/// first events took twice as long as expected on engines believed idle, because they waited
/// behind prompts and streams that the host did not know of. The mean follows these waits.
const LOW_QUANTILE: f64 = 0.2;
/// Step of the logarithm of an estimate with many samples. A tenth follows a change of the
/// speed by half within some tens of samples.
const QUANTILE_STEP: f64 = 0.1;
/// Step of the first sample; the steps become shorter with the number of samples.
const FIRST_QUANTILE_STEP: f64 = 0.8;
/// Weight of a sample whose prompt has sections that may be cached without this host's knowledge.
const UNCERTAIN_WEIGHT: f64 = 0.25;
/// Bounds of the low quantile: a tenth and ten times the time of the slower models.
const MS_PER_TOKEN_BOUNDS: (f64, f64) = (0.003, 0.3);
/// Prompt tokens that an engine reads in the time by which writing one token delays its
/// batch. From the users' data sheets.
const READ_TOKENS_PER_WRITTEN_TOKEN: f64 = 16.0;

/// The time to a first event, as a sample of the time to read a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadSample {
    /// Prompt tokens that the engine should not have cached.
    pub tokens: u32,
    /// Whether the engine can have no more of the prompt cached than expected: sections that
    /// other prompts may share are all expected to be cached.
    pub is_certain: bool,
    /// Time from the dispatch to the first event.
    pub took: Duration,
    /// How long work takes on the engine, as a multiple of the usual time.
    pub slowness: f64,
}

/// A low quantile of the measured times to read a token, which follows the undisturbed time.
#[derive(Clone, Copy, Debug)]
struct Quantile {
    ms_per_token: f64,
    samples: u32,
}

impl Quantile {
    /// Moves the estimate down by a fixed step for a shorter sample, or up by a smaller one for a
    /// longer sample. The size of the difference has no influence, so that one long wait counts
    /// as much as any.
    fn record(&mut self, ms_per_token: f64, weight: f64) {
        let step = (FIRST_QUANTILE_STEP / f64::from(1 + self.samples)).max(QUANTILE_STEP);
        let direction = if ms_per_token < self.ms_per_token {
            LOW_QUANTILE - 1.0
        } else {
            LOW_QUANTILE
        };
        let (min, max) = MS_PER_TOKEN_BOUNDS;
        let moved = self.ms_per_token * (step * weight * direction).exp();
        self.ms_per_token = moved.clamp(min, max);
        self.samples = self.samples.saturating_add(1);
    }
}

/// Time to read a prompt token, by model. A model that has not been measured gets the
/// estimate for all models with the same size of weights, since larger models are slower.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadTimes {
    /// Size of each model's weights in megabytes.
    sizes: BTreeMap<Name, u64>,
    /// Milliseconds per token of each model that has been measured.
    by_model: BTreeMap<Name, f64>,
    /// Milliseconds per token by size of the weights, from the samples of all models of that
    /// size.
    by_size: BTreeMap<u64, f64>,
    /// Low quantiles of the time per token, of each model of a service that is balanced evenly.
    low_by_model: BTreeMap<Name, Quantile>,
    /// The same by size of the weights.
    low_by_size: BTreeMap<u64, Quantile>,
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

    /// Records the time to the first event of a prompt of a service that is balanced evenly, with at
    /// least [`MIN_SAMPLE_TOKENS`], on an engine without other prompts to read as far as this host
    /// knows.
    pub fn record_low_sample(&mut self, model: &Name, sample: ReadSample) {
        let measured_ms = sample.took.as_secs_f64() * 1_000.0 - OVERHEAD_MS;
        let ms_per_token = measured_ms.max(0.0) / sample.slowness / f64::from(sample.tokens);
        let weight = if sample.is_certain {
            1.0
        } else {
            UNCERTAIN_WEIGHT
        };
        let unmeasured = Quantile {
            ms_per_token: self.ms_per_token(model),
            samples: 0,
        };
        let by_model = self.low_by_model.entry(model.clone());
        by_model.or_insert(unmeasured).record(ms_per_token, weight);
        if let Some(size) = self.sizes.get(model) {
            let by_size = self.low_by_size.entry(*size).or_insert(unmeasured);
            by_size.record(ms_per_token, weight);
        }
    }

    fn ms_per_token(&self, model: &Name) -> f64 {
        let size = self.sizes.get(model);
        let low_by_size = || self.low_by_size.get(size?);
        if let Some(low) = self.low_by_model.get(model).or_else(low_by_size) {
            return low.ms_per_token;
        }
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
