//! The state of one engine as the planner knows it.

use mulberryrack_core::{Name, Time};
use mulberryrack_site::{
    config::EngineSpec,
    order::{Action, OrderOutcome},
    upstream::{LoadedModel, Report, State, Upstream},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// An open order is dropped after this time; an unanswered order is not carried out later
/// than this.
const ORDER_TIMEOUT: Duration = Duration::from_secs(13);
/// Age of the last report after which an engine is asked for a report although no change is
/// expected.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time after an accepted order for which a report may show the state before the order.
const STALE_REPORT_PERIOD: Duration = Duration::from_millis(2_500);
/// Delay before the next order to an engine that was busy with another order. Short, since
/// loading an adapter takes milliseconds.
const CONFLICT_DELAY: Duration = Duration::from_millis(200);
/// Time after which an engine's report would show an order that it received. Reports are
/// some hundred milliseconds old.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before the next order to an engine that refused an order or was not sent one.
const REFUSED_DELAY: Duration = Duration::from_secs(1);

/// An order that was sent and whose effect has not been seen.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenOrder {
    pub action: Action,
    pub model: Name,
    pub adapter: Option<Name>,
    /// Number of orders that the engine had accepted when this one was sent. An engine with
    /// another count refuses the order.
    pub expected_orders: u64,
    pub sent_at: Time,
    /// The engine's answer; `None` until it arrives.
    pub outcome: Option<OrderOutcome>,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    pub registration: Upstream,
    pub registered: bool,
    /// Whether the incarnation has said that it is leaving, which its registration may not
    /// show yet.
    leaving: bool,
    /// Models in the engine's memory with their adapters, including adapters being loaded.
    pub models: BTreeMap<Name, Vec<Name>>,
    /// Models that may occupy memory: all models that were reported or ordered, until the engine
    /// has no order to carry out and reports that they are gone.
    occupying: BTreeSet<Name>,
    /// Number of orders that the engine should have accepted since its start; `None` until
    /// it is known.
    pub accepted_orders: Option<u64>,
    /// Invariant: at most one order is open.
    pub open_order: Option<OpenOrder>,
    /// Whether the engine last reported that it is carrying out an order, possibly of
    /// another host.
    busy: bool,
    /// Time of the last report that was used.
    reported_at: Option<Time>,
    /// Time until which the engine gets no new orders, after an order that was not accepted.
    pub blocked_until: Time,
    /// For each model whose load this host ordered, the time at which it was seen in memory.
    loaded_at: BTreeMap<Name, Time>,
    /// Time at which an order of this host last changed the engine.
    own_order_at: Time,
}

/// The adapters of each model that is in memory.
fn adapters_by_model(loaded: &[LoadedModel]) -> BTreeMap<Name, Vec<Name>> {
    loaded
        .iter()
        .map(|loaded| (loaded.model.clone(), loaded.adapters.clone()))
        .collect()
}

impl EngineState {
    pub fn new(registration: Upstream) -> Self {
        Self {
            models: adapters_by_model(&registration.models),
            occupying: registration
                .models
                .iter()
                .map(|loaded| loaded.model.clone())
                .collect(),
            accepted_orders: None,
            registration,
            registered: true,
            leaving: false,
            open_order: None,
            busy: false,
            reported_at: None,
            blocked_until: Time::ZERO,
            own_order_at: Time::ZERO,
            loaded_at: BTreeMap::new(),
        }
    }

    /// Whether the engine accepts new requests and orders.
    pub fn accepts_requests(&self) -> bool {
        self.registered && !self.leaving && self.registration.state == State::Ready
    }

    /// Records that an incarnation of the engine said that it is leaving.
    pub fn record_leaving(&mut self, incarnation: u64) {
        self.leaving |= self.registration.started_ms == incarnation;
    }

    /// Whether the engine can load the model without the weight store.
    pub fn has_local_weights(&self, model: &Name) -> bool {
        self.registration.local_weights.contains(model)
    }

    /// Time at which a model was seen in memory whose load this host ordered; the zero time
    /// for other models.
    pub fn loaded_at(&self, model: &str) -> Time {
        self.loaded_at.get(model).copied().unwrap_or(Time::ZERO)
    }

    /// Whether the engine should be asked for a report: an order is open or being carried out,
    /// the number of accepted orders is unknown, the last report is old, or memory may have
    /// been freed.
    pub fn needs_report(&self, now: Time) -> bool {
        let report_is_old = self
            .reported_at
            .is_none_or(|reported_at| now.since(reported_at) > REPORT_INTERVAL);
        let is_unknown = report_is_old
            || self.accepted_orders.is_none()
            || self.occupying.len() > self.models.len();
        self.open_order.is_some() || self.busy || (is_unknown && self.blocked_until <= now)
    }

    /// The model that the engine is loading by this host's order.
    pub fn loading_model(&self) -> Option<Name> {
        let order = self.open_order.as_ref()?;
        let is_model_load = order.adapter.is_none() && order.action == Action::Load;
        is_model_load.then(|| order.model.clone())
    }

    /// Whether the engine can be given an order now.
    pub fn can_take_order(&self, now: Time) -> bool {
        let has_no_order = self.open_order.is_none() && !self.busy;
        has_no_order && self.accepted_orders.is_some() && self.blocked_until <= now
    }

    /// Discards the state that orders of another host may have changed.
    pub fn invalidate(&mut self) {
        self.open_order = None;
        self.accepted_orders = None;
        self.reported_at = None;
        self.own_order_at = Time::ZERO;
    }

    /// Records the engine's registration. The registration of a new incarnation resets the
    /// state.
    pub fn register(&mut self, now: Time, registration: Upstream) {
        if self.registered && registration.older_than(&self.registration) {
            return;
        }
        if registration.started_ms != self.registration.started_ms
            || registration.address != self.registration.address
        {
            *self = Self::new(registration);
            return;
        }
        self.registered = true;
        let models = adapters_by_model(&registration.models);
        self.registration = registration;
        self.occupying.extend(models.keys().cloned());
        // Registrations lag by seconds, or for as long as an engine does not reach the
        // key-value service. Once the engine has reported its models itself, its reports
        // take precedence.
        if self.reported_at.is_none() {
            self.models = models;
            self.close_finished_order(now);
        }
    }

    /// Records a report of the engine. Reports of another incarnation are ignored.
    pub fn record_report(&mut self, now: Time, report: &Report) {
        if report.started_ms != 0
            && self.registration.started_ms != 0
            && report.started_ms != self.registration.started_ms
        {
            return;
        }
        self.busy = report.busy;
        let is_stale = self
            .accepted_orders
            .is_some_and(|known| report.accepted_orders < known);
        if is_stale && now.since(self.own_order_at) < STALE_REPORT_PERIOD {
            return;
        }
        self.accepted_orders = Some(report.accepted_orders);
        self.reported_at = Some(now);
        self.models = adapters_by_model(&report.models);
        for (model, adapter) in &report.incoming_adapters {
            // An adapter being loaded occupies its slot already.
            let adapters = self.models.entry(model.clone()).or_default();
            if !adapters.contains(adapter) {
                adapters.push(adapter.clone());
            }
        }
        self.close_finished_order(now);
        self.drop_unanswered(now, report);
        self.occupying.extend(self.models.keys().cloned());
        if !report.busy && self.open_order.is_none() {
            self.occupying = self.models.keys().cloned().collect();
        }
    }

    /// Drops an unanswered order that the engine has not accepted. The next order expects
    /// the same number of accepted orders, so the engine accepts only one of the two.
    fn drop_unanswered(&mut self, now: Time, report: &Report) {
        let unanswered = self.open_order.as_ref().filter(|order| {
            order.outcome == Some(OrderOutcome::Unanswered)
                && now.since(order.sent_at) > UNANSWERED_TIMEOUT
        });
        if !report.busy
            && unanswered.is_some_and(|order| order.expected_orders == report.accepted_orders)
        {
            self.open_order = None;
        }
    }

    /// Drops the open order if its effect is seen or it can no longer be carried out.
    pub fn close_finished_order(&mut self, now: Time) {
        let Some(order) = &self.open_order else {
            return;
        };
        let present = self.has_model(&order.model, order.adapter.as_deref());
        let done = match order.action {
            Action::Load => present,
            Action::Unload => !present,
        };
        let unanswered = matches!(order.outcome, None | Some(OrderOutcome::Unanswered));
        // The engine has accepted another order in place of this one, or after it.
        let superseded = unanswered && self.accepted_orders > Some(order.expected_orders + 1);
        if done && order.action == Action::Load && order.adapter.is_none() {
            self.loaded_at.insert(order.model.clone(), now);
        }
        let order = self.open_order.as_ref().expect("checked above");
        if done || superseded || now.since(order.sent_at) > ORDER_TIMEOUT {
            self.open_order = None;
        }
    }

    /// Whether the model is in memory and, if `adapter` is given, this adapter of the model too.
    pub fn has_model(&self, model: &str, adapter: Option<&str>) -> bool {
        self.models.get(model).is_some_and(|adapters| {
            adapter.is_none_or(|name| adapters.iter().any(|has| &**has == name))
        })
    }

    /// Whether the model will be in memory once the open order is carried out.
    pub fn will_have_model(&self, model: &str) -> bool {
        let order = self
            .open_order
            .as_ref()
            .filter(|order| order.adapter.is_none());
        match order.filter(|order| &*order.model == model) {
            Some(order) => order.action == Action::Load,
            None => self.has_model(model, None),
        }
    }

    /// Models that will be in memory once the open order is carried out.
    pub fn future_models(&self) -> impl Iterator<Item = &Name> {
        let staying = self
            .models
            .keys()
            .filter(|model| self.will_have_model(model));
        let incoming = self.open_order.as_ref().filter(|order| {
            let is_model_load = order.adapter.is_none() && order.action == Action::Load;
            is_model_load && !self.models.contains_key(&order.model)
        });
        staying.chain(incoming.map(|order| &order.model))
    }

    /// Records an order that is about to be sent as the open order.
    pub fn record_order(&mut self, now: Time, action: Action, model: Name, adapter: Option<Name>) {
        let expected_orders = self.accepted_orders.unwrap_or(0);
        if action == Action::Load && adapter.is_none() {
            self.occupying.insert(model.clone());
        }
        self.open_order = Some(OpenOrder {
            action,
            model,
            adapter,
            expected_orders,
            sent_at: now,
            outcome: None,
        });
    }

    /// Records the engine's answer to the open order.
    pub fn record_outcome(&mut self, now: Time, outcome: OrderOutcome) {
        let Some(order) = &mut self.open_order else {
            return;
        };
        order.outcome = Some(outcome);
        match outcome {
            OrderOutcome::Accepted => {
                self.accepted_orders = Some(order.expected_orders + 1);
                self.own_order_at = now;
                self.apply_outcome(now);
            }
            OrderOutcome::AlreadyDone => {
                // An adapter that no request uses is unloaded at once, which counts as an
                // accepted order.
                if order.adapter.is_some() && order.action == Action::Unload {
                    self.accepted_orders = Some(order.expected_orders + 1);
                }
                self.apply_outcome(now);
            }
            OrderOutcome::Conflict => {
                self.open_order = None;
                self.accepted_orders = None;
                self.blocked_until = now + CONFLICT_DELAY;
            }
            OrderOutcome::Fenced | OrderOutcome::Refused | OrderOutcome::NotSent => {
                self.open_order = None;
                self.blocked_until = now + REFUSED_DELAY;
            }
            OrderOutcome::Unanswered => {}
        }
    }

    /// Applies the effect of the open order that its answer implies. An adapter load that
    /// was accepted takes milliseconds, so the adapter counts as loaded. An adapter to be
    /// unloaded that is still in use occupies its slot until the engine reports that it is
    /// gone.
    fn apply_outcome(&mut self, now: Time) {
        let Some(order) = &self.open_order else {
            return;
        };
        let already_done = order.outcome == Some(OrderOutcome::AlreadyDone);
        let Some(adapter) = order.adapter.clone() else {
            if already_done {
                self.blocked_until = now + CONFLICT_DELAY;
                self.open_order = None;
            }
            return;
        };
        let adapters = self.models.entry(order.model.clone()).or_default();
        match order.action {
            Action::Load => adapters.push(adapter),
            Action::Unload if already_done => adapters.retain(|name| *name != adapter),
            Action::Unload => return,
        }
        self.open_order = None;
        self.own_order_at = now;
    }

    /// Memory in megabytes that is free for weights if all adapter slots are used by
    /// adapters of the largest size.
    pub fn free_mb(&self, spec: &EngineSpec) -> f64 {
        let largest = spec.models.iter().map(|model| model.adapter_mb);
        let adapters_mb = f64::from(spec.adapter_slots) * largest.fold(0.0, f64::max);
        let size = |name: &Name| spec.model(name).map_or(spec.weights_mb, |it| it.weights_mb);
        let occupied_mb: f64 = self.occupying.iter().map(size).sum();
        spec.weights_mb - adapters_mb - occupied_mb
    }

    /// Number of adapters in memory or being loaded.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(Vec::len).sum()
    }
}
