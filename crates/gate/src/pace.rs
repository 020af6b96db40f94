//! How fast engines run each model, learnt from the pauses between events.

use mulberryrack_core::Name;
use std::{collections::BTreeMap, time::Duration};

/// Time of a token before anything was seen of a model, in milliseconds; the users'
/// slower models take about this.
const FIRST_STEP_MS: f64 = 4.0;
/// Share of the pauses that are shorter than the figure that is kept: other requests'
/// prompts lengthen many pauses.
const QUANTILE: f64 = 0.3;
/// How far one pause moves the figure.
const GAIN: f64 = 0.04;
/// Pauses of parts that came together say nothing.
const LEAST_STEP_MS: f64 = 0.2;
/// Prompt tokens that are read in the time of one written token; from the users' sheets.
const READ_PER_STEP: f64 = 160.0;
/// Share of the time of a token that one more request costs a batch.
const BATCH_SHARE: f64 = 0.1;

/// Time of a token by model.
#[derive(Debug, Default)]
pub(crate) struct Paces {
    steps: BTreeMap<Name, f64>,
}

impl Paces {
    /// Takes the time of one token.
    pub fn take(&mut self, model: &Name, step: Duration) {
        let millis = step.as_secs_f64() * 1_000.0;
        if millis < LEAST_STEP_MS {
            return;
        }
        let kept = self.steps.entry(model.clone()).or_insert(FIRST_STEP_MS);
        let pull = if millis > *kept { QUANTILE } else { QUANTILE - 1.0 };
        *kept *= 1.0 + GAIN * pull;
    }

    fn step_ms(&self, model: &str) -> f64 {
        self.steps.get(model).copied().unwrap_or(FIRST_STEP_MS)
    }

    /// Time to read tokens of a prompt, in milliseconds.
    pub fn read_ms(&self, model: &str, tokens: u32) -> f64 {
        f64::from(tokens) / READ_PER_STEP * self.step_ms(model)
    }

    /// What writing tokens costs the other requests of a batch, in milliseconds.
    pub fn write_ms(&self, model: &str, tokens: u32) -> f64 {
        f64::from(tokens) * BATCH_SHARE * self.step_ms(model)
    }
}
