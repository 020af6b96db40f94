//! The engine time that requests for each model and adapter take.

use mulberryrack_core::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// Weight of the newest second in the smoothed work. The weight is high since demand for a
/// model changes tenfold within seconds of a release.
const SMOOTHING_FACTOR: f64 = 0.5;
/// Less smoothed work than this counts as none.
const IDLE_MS_PER_S: f64 = 0.5;
/// Time without a request after which a model counts as idle: a few times the time between
/// requests for the users' least requested models that get any.
const IDLE_PERIOD: Duration = Duration::from_secs(8);

/// A base model, and an adapter of it or `None` for requests for the model itself.
pub type ModelKey = (Name, Option<Name>);

/// Work by model and adapter: engine time that requests take, in milliseconds a second.
#[derive(Debug, Default)]
pub struct Workload {
    /// Exponential moving average of the work.
    smoothed: BTreeMap<ModelKey, f64>,
    /// Invariant: the sums of `smoothed` by model.
    model_totals: BTreeMap<Name, f64>,
    /// Engine time in milliseconds since `current_since`, not in `smoothed` yet.
    current_ms: BTreeMap<ModelKey, f64>,
    current_since: Time,
    last_requests: BTreeMap<ModelKey, Time>,
    /// Time since which this host has known all requests for models.
    observed_since: Time,
}

impl Workload {
    /// Records requests for a model or adapter and the engine time that they take.
    pub fn record(&mut self, now: Time, key: ModelKey, work_ms: f64) {
        self.record_request(now, key.clone());
        *self.current_ms.entry(key).or_default() += work_ms;
    }

    /// Records that a model or adapter was requested.
    pub fn record_request(&mut self, now: Time, key: ModelKey) {
        self.last_requests.insert(key, now);
    }

    /// Records that this host knows of all requests from now on.
    pub fn start_observing(&mut self, now: Time) {
        self.observed_since = now;
    }

    /// Whether a model has no work and has not been requested recently, as far as is known.
    pub fn is_idle(&self, now: Time, model: &Name) -> bool {
        if self.of_model(model) > 0.0 {
            return false;
        }
        // The keys are ordered by model, with the model itself before its adapters.
        let keys = self.last_requests.range((model.clone(), None)..);
        let keys = keys.take_while(|((key_model, _), _)| key_model == model);
        let last_request = keys.map(|(_, last_request)| *last_request).max();
        let idle_since = last_request.map_or(self.observed_since, |last_request| {
            last_request.max(self.observed_since)
        });
        now.since(idle_since) > IDLE_PERIOD
    }

    /// Updates the smoothed work if at least a second has passed since the last update.
    pub fn update(&mut self, now: Time) {
        let elapsed = now.since(self.current_since);
        if elapsed < Duration::from_secs(1) {
            return;
        }
        self.current_since = now;
        for key in self.current_ms.keys() {
            self.smoothed.entry(key.clone()).or_default();
        }
        let current_ms = std::mem::take(&mut self.current_ms);
        for (key, smoothed) in &mut self.smoothed {
            let rate = current_ms.get(key).copied().unwrap_or(0.0) / elapsed.as_secs_f64();
            *smoothed += SMOOTHING_FACTOR * (rate - *smoothed);
        }
        self.smoothed.retain(|_, work| *work > IDLE_MS_PER_S);
        self.model_totals.clear();
        for ((model, _), work) in &self.smoothed {
            *self.model_totals.entry(model.clone()).or_default() += work;
        }
    }

    /// Work of requests for a model without an adapter.
    pub fn of_base_model(&self, model: &Name) -> f64 {
        self.of_key(&(model.clone(), None))
    }

    /// Work of requests for a model, with and without adapters.
    pub fn of_model(&self, model: &Name) -> f64 {
        self.model_totals.get(model).copied().unwrap_or(0.0)
    }

    /// Work of one model or adapter.
    pub fn of_key(&self, key: &ModelKey) -> f64 {
        self.smoothed.get(key).copied().unwrap_or(0.0)
    }

    /// Adapters that have work, as model, adapter and work, those with the most work first.
    pub fn busiest_adapters(&self) -> Vec<(Name, Name, f64)> {
        let busy = self
            .smoothed
            .iter()
            .filter_map(|((model, adapter), work)| Some((model.clone(), adapter.clone()?, *work)));
        let mut busy: Vec<_> = busy.collect();
        busy.sort_by(|one, other| other.2.total_cmp(&one.2));
        busy
    }

    /// Time of the last request for a model or adapter; the zero time if there was none.
    pub fn last_request(&self, key: &ModelKey) -> Time {
        self.last_requests.get(key).copied().unwrap_or(Time::ZERO)
    }
}
