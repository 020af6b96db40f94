//! How busy models and adapters are.

use mulberryrack_core::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// Weight of a new second: demand for a model moves tenfold within seconds of a release.
const SMOOTHING: f64 = 0.5;
/// Work below which a model or adapter counts as idle, in milliseconds a second.
const IDLE_MS: f64 = 0.5;
/// Time without a request after which a model counts as idle: a few times the pause
/// between requests for the users' rarest models that are asked for at all.
const IDLE_AFTER: Duration = Duration::from_secs(8);

/// A model, or an adapter of it.
pub type Key = (Name, Option<Name>);

/// Engine time that requests take, in milliseconds a second, by model and adapter.
#[derive(Debug, Default)]
pub struct Work {
    smoothed: BTreeMap<Key, f64>,
    /// Invariant: sums of `smoothed` by model.
    totals: BTreeMap<Name, f64>,
    /// Since the last second began.
    fresh: BTreeMap<Key, f64>,
    second: Time,
    asked: BTreeMap<Key, Time>,
    /// Since when what is asked for is known.
    began: Time,
}

impl Work {
    /// Takes requests for a model or adapter.
    pub fn take(&mut self, now: Time, key: Key, millis: f64) {
        self.ask(now, key.clone());
        *self.fresh.entry(key).or_default() += millis;
    }

    /// Notes that a model or adapter was asked for.
    pub fn ask(&mut self, now: Time, key: Key) {
        self.asked.insert(key, now);
    }

    /// What is asked for is told from now on.
    pub fn begin(&mut self, now: Time) {
        self.began = now;
    }

    /// Whether a model has no work and was not asked for lately.
    pub fn idle(&self, now: Time, model: &Name) -> bool {
        if self.model(model) > 0.0 {
            return false;
        }
        // Keys are in order of their models, the model itself before its adapters.
        let keys = self.asked.range((model.clone(), None)..);
        let keys = keys.take_while(|((of, _), _)| of == model);
        let asked = keys.map(|(_, asked)| *asked).max();
        let known = asked.map_or(self.began, |asked| asked.max(self.began));
        now.since(known) > IDLE_AFTER
    }

    /// Smooths the figures once a second.
    pub fn age(&mut self, now: Time) {
        let passed = now.since(self.second);
        if passed < Duration::from_secs(1) {
            return;
        }
        self.second = now;
        for key in self.fresh.keys() {
            self.smoothed.entry(key.clone()).or_default();
        }
        let fresh = std::mem::take(&mut self.fresh);
        for (key, work) in &mut self.smoothed {
            let now = fresh.get(key).copied().unwrap_or(0.0) / passed.as_secs_f64();
            *work += SMOOTHING * (now - *work);
        }
        self.smoothed.retain(|_, work| *work > IDLE_MS);
        self.totals.clear();
        for ((model, _), work) in &self.smoothed {
            *self.totals.entry(model.clone()).or_default() += work;
        }
    }

    /// Work of requests for a model without an adapter.
    pub fn base(&self, model: &Name) -> f64 {
        self.of(&(model.clone(), None))
    }

    /// Work of a model with all its adapters.
    pub fn model(&self, model: &Name) -> f64 {
        self.totals.get(model).copied().unwrap_or(0.0)
    }

    /// Work of one key.
    pub fn of(&self, key: &Key) -> f64 {
        self.smoothed.get(key).copied().unwrap_or(0.0)
    }

    /// Adapters with work, the busiest first.
    pub fn adapters(&self) -> Vec<(Name, Name, f64)> {
        let busy = self
            .smoothed
            .iter()
            .filter_map(|((model, adapter), work)| Some((model.clone(), adapter.clone()?, *work)));
        let mut busy: Vec<_> = busy.collect();
        busy.sort_by(|one, other| other.2.total_cmp(&one.2));
        busy
    }

    /// When a key was asked for last.
    pub fn asked(&self, key: &Key) -> Time {
        self.asked.get(key).copied().unwrap_or(Time::ZERO)
    }
}
