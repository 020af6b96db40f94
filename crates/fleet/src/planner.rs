//! The planner: records what is known about engines and demand, and returns the orders to
//! give.

use crate::{balance, engine::EngineState, window::LoadWindow, work::Workload};
use mulberryrack_core::{Name, Time};
use mulberryrack_site::{
    Config, Upstream,
    config::EngineSpec,
    order::{Action, OrderOutcome},
    upstream::Report,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Least slowness that is used, so that no engine counts as more than four.
const MIN_SLOWNESS: f64 = 0.25;

/// The requests for a model or adapter that one host received in about a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The base model.
    pub model: Name,
    /// The adapter; `None` for requests for the model itself.
    pub adapter: Option<Name>,
    /// Engine time that the requests take, in milliseconds.
    pub work_ms: f64,
}

/// An order that the planner wants to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// Name of the engine.
    pub engine: Name,
    /// What the engine has to do.
    pub action: Action,
    /// The model to load or unload, or the base model of `adapter`.
    pub model: Name,
    /// The adapter; `None` if the order is about the model itself.
    pub adapter: Option<Name>,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
    /// Why the order is given, for the log.
    pub reason: &'static str,
}

/// Plans the orders for the engines of all services.
#[derive(Debug)]
pub struct Planner {
    config: Option<Arc<Config>>,
    /// All upstreams that were registered, also those of plain services.
    pub(crate) engines: BTreeMap<Name, EngineState>,
    pub(crate) workload: Workload,
    pub(crate) load_window: LoadWindow,
    /// Length of the sliding window in which loads from the weight store are counted.
    pub(crate) window_span: Duration,
    /// Whether copies are moved by need: see [`Planner::set_by_need`].
    pub(crate) by_need: bool,
    /// How long work takes on engines, as multiples of the usual time; engines without an entry
    /// have the usual speed.
    slowness: BTreeMap<Name, f64>,
}

impl Planner {
    /// Creates a planner without engines. Loads from the weight store are counted in a
    /// sliding window of `window_span`.
    #[must_use]
    pub fn new(window_span: Duration) -> Self {
        Self {
            config: None,
            engines: BTreeMap::new(),
            workload: Workload::default(),
            load_window: LoadWindow::default(),
            window_span,
            by_need: false,
            slowness: BTreeMap::new(),
        }
    }

    /// Sets whether small models are moved together to make room for copies of busy ones, and whether
    /// a copy is taken from a model only for one whose copies have clearly more work.
    pub fn set_by_need(&mut self, by_need: bool) {
        self.by_need = by_need;
    }

    /// Sets how long work takes on engines, as multiples of the usual time, where that is known.
    /// Without any, all engines count alike.
    pub fn set_slowness(&mut self, slowness: BTreeMap<Name, f64>) {
        self.slowness = slowness;
    }

    /// Speed of an engine, as a multiple of the usual one.
    pub(crate) fn speed(&self, engine: &str) -> f64 {
        let slowness = self.slowness.get(engine);
        slowness.map_or(1.0, |slowness| 1.0 / slowness.max(MIN_SLOWNESS))
    }

    /// Adopts a configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = Some(config);
    }

    /// Records an upstream's registration. Upstreams of plain services are recorded too, but get
    /// no orders.
    pub fn register(&mut self, now: Time, registration: Upstream) {
        match self.engines.get_mut(&registration.id) {
            Some(state) => state.register(now, registration),
            None => {
                self.engines
                    .insert(registration.id.clone(), EngineState::new(registration));
            }
        }
    }

    /// Records that an upstream's registration was removed.
    pub fn deregister(&mut self, engine: &str) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.registered = false;
        }
    }

    /// Records that an incarnation of an upstream said that it is leaving. The models that only
    /// it has in memory are loaded elsewhere from now on.
    pub fn record_leaving(&mut self, engine: &str, incarnation: u64) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.record_leaving(incarnation);
        }
    }

    /// Records an engine's report. Returns the model whose load, ordered by this host, is
    /// now complete.
    pub fn record_report(&mut self, now: Time, engine: &str, report: &Report) -> Option<Name> {
        let state = self.engines.get_mut(engine)?;
        let loading_model = state.loading_model();
        state.record_report(now, report);
        loading_model.filter(|model| state.open_order.is_none() && state.has_model(model, None))
    }

    /// Records the demand at one host.
    pub fn record_demand(&mut self, now: Time, demand: &Demand) {
        let key = (demand.model.clone(), demand.adapter.clone());
        self.workload.record(now, key, demand.work_ms);
    }

    /// Records that this host has just gained the claim to give orders. What the previous
    /// holder's orders may have changed is discarded for each engine, and the window for loads
    /// counts as full, since the previous holder may have given orders until now.
    pub fn take_over(&mut self, now: Time) {
        let rates = self
            .services()
            .into_iter()
            .map(|(_, spec)| spec.loads_per_s);
        let rate = rates.fold(0.0, f64::max);
        self.load_window.fill(now, self.window_span, rate);
        self.workload.start_observing(now);
        for state in self.engines.values_mut() {
            state.invalidate();
        }
    }

    /// Engines that should be asked for a report: those that carry out an order or have an open
    /// one, and those whose state is unknown or was last reported long ago.
    pub fn engines_to_query(&self, now: Time) -> impl Iterator<Item = &Upstream> {
        let config = self.config.as_ref();
        let queried = self.engines.values().filter(move |state| {
            let service = config.and_then(|it| it.service(&state.registration.service));
            let is_engine = service.is_some_and(|service| service.engine.is_some());
            is_engine && state.accepts_requests() && state.needs_report(now)
        });
        queried.map(|state| &state.registration)
    }

    /// Names and capacities of the services with model engines.
    fn services(&self) -> Vec<(Name, EngineSpec)> {
        let services = self.config.iter().flat_map(|config| &config.services);
        services
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)))
            .collect()
    }

    /// Returns the orders to send now.
    pub fn plan(&mut self, now: Time) -> Vec<PlannedOrder> {
        self.workload.update(now);
        for state in self.engines.values_mut() {
            state.close_finished_order(now);
        }
        let mut orders = Vec::new();
        for (service, spec) in self.services() {
            balance::Balancer::new(self, now, &service, &spec, &mut orders).run();
        }
        orders
    }

    /// Returns the engines that have a model in memory and, if `adapter` is given, this
    /// adapter of it.
    ///
    /// # Errors
    ///
    /// No engine has the model or adapter. The error holds an order towards loading it, which may
    /// be to unload another one first; `None` if no such order can be given now.
    pub fn locate_or_load(
        &mut self,
        now: Time,
        model: &Name,
        adapter: Option<&Name>,
    ) -> Result<Vec<Name>, Option<PlannedOrder>> {
        self.workload
            .record_request(now, (model.clone(), adapter.cloned()));
        let located: Vec<Name> = self
            .engines
            .values()
            .filter(|state| {
                state.accepts_requests() && state.has_model(model, adapter.map(|it| &**it))
            })
            .map(|state| state.registration.id.clone())
            .collect();
        if !located.is_empty() {
            return Ok(located);
        }
        // Requests that wait for a model being loaded ask many times; the engines need not
        // be searched for a place for the model again each time.
        let loading =
            |state: &EngineState| state.accepts_requests() && state.will_have_model(model);
        if adapter.is_none() && self.engines.values().any(loading) {
            return Err(None);
        }
        let mut orders = Vec::new();
        for (service, spec) in self.services() {
            if spec.model(model).is_none() {
                continue;
            }
            let balancer = balance::Balancer::new(self, now, &service, &spec, &mut orders);
            match adapter {
                Some(adapter) => balancer.load_adapter(model, adapter),
                None => balancer.load_requested(model),
            }
        }
        Err(orders.pop())
    }

    /// Records a new order to an engine as its open order, and returns the order.
    pub(crate) fn record_order(
        &mut self,
        now: Time,
        engine: &Name,
        action: Action,
        (model, adapter): (&Name, Option<&Name>),
        reason: &'static str,
    ) -> PlannedOrder {
        let state = self
            .engines
            .get_mut(engine)
            .expect("the engine was just chosen");
        let expected_orders = state.accepted_orders.unwrap_or(0);
        state.record_order(now, action, model.clone(), adapter.cloned());
        PlannedOrder {
            engine: engine.clone(),
            action,
            model: model.clone(),
            adapter: adapter.cloned(),
            expected_orders,
            reason,
        }
    }

    /// Address on which an engine accepts requests; `None` for an unknown engine.
    #[must_use]
    pub fn address(&self, engine: &str) -> Option<SocketAddr> {
        self.engines
            .get(engine)
            .map(|state| state.registration.address)
    }

    /// Records an engine's answer to its open order.
    pub fn record_outcome(&mut self, now: Time, engine: &str, outcome: OrderOutcome) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.record_outcome(now, outcome);
        }
    }
}
