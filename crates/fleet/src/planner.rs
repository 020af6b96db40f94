//! Which model and adapter is on which engine: state and entry.

use crate::{balance, engine::Account, window::Window, work::Work};
use mulberryrack_core::{Name, Time};
use mulberryrack_site::{
    Config, Upstream,
    config::EngineSpec,
    order::{Action, OrderOutcome},
    upstream::Report,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Requests for a model or adapter at one host in about a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The model.
    pub model: Name,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<Name>,
    /// Engine time that they take, in milliseconds.
    pub work_ms: f64,
}

/// An order as the planner wants it sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Wish {
    /// The engine.
    pub engine: Name,
    /// What to do.
    pub action: Action,
    /// The model.
    pub model: Name,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<Name>,
    /// Orders that the engine must have accepted before.
    pub after: u64,
    /// Why, for the log.
    pub why: &'static str,
}

/// Plans for the engines of all services.
#[derive(Debug)]
pub struct Planner {
    config: Option<Arc<Config>>,
    pub(crate) engines: BTreeMap<Name, Account>,
    pub(crate) work: Work,
    pub(crate) window: Window,
    pub(crate) window_span: Duration,
}

impl Planner {
    /// A planner that knows no engine; loads are counted over `window_span`.
    #[must_use]
    pub fn new(window_span: Duration) -> Self {
        Self {
            config: None,
            engines: BTreeMap::new(),
            work: Work::default(),
            window: Window::default(),
            window_span,
        }
    }

    /// Takes a configuration over.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = Some(config);
    }

    /// Takes an engine's entry over.
    pub fn list(&mut self, now: Time, entry: Upstream) {
        match self.engines.get_mut(&entry.id) {
            Some(account) => account.list(now, entry),
            None => {
                self.engines.insert(entry.id.clone(), Account::new(entry));
            }
        }
    }

    /// Takes an engine off the list.
    pub fn unlist(&mut self, engine: &str) {
        if let Some(account) = self.engines.get_mut(engine) {
            account.listed = false;
        }
    }

    /// Takes an engine's report over. Returns the model that has just arrived there.
    pub fn report(&mut self, now: Time, engine: &str, report: &Report) -> Option<Name> {
        let account = self.engines.get_mut(engine)?;
        let coming = account.coming();
        account.report(now, report);
        coming.filter(|model| account.open.is_none() && account.holds(model, None))
    }

    /// Takes what hosts were asked for.
    pub fn demand(&mut self, now: Time, demand: &Demand) {
        let key = (demand.model.clone(), demand.adapter.clone());
        self.work.take(now, key, demand.work_ms);
    }

    /// The host has just become the one that gives orders.
    pub fn take_over(&mut self, now: Time) {
        let rates = self
            .services()
            .into_iter()
            .map(|(_, engine)| engine.loads_per_s);
        let rate = rates.fold(0.0, f64::max);
        self.window.inherit(now, self.window_span, rate);
        self.work.begin(now);
        for account in self.engines.values_mut() {
            account.doubt();
        }
    }

    /// Engines whose state is worth asking for: those with an open order, or with orders
    /// that are not known.
    pub fn unsettled(&self, now: Time) -> impl Iterator<Item = &Upstream> {
        let config = self.config.as_ref();
        let unsettled = self.engines.values().filter(move |account| {
            let service = config.and_then(|it| it.service(&account.entry.service));
            let engine = service.is_some_and(|service| service.engine.is_some());
            engine && account.serves() && account.unsettled(now)
        });
        unsettled.map(|account| &account.entry)
    }

    fn services(&self) -> Vec<(Name, EngineSpec)> {
        let services = self.config.iter().flat_map(|config| &config.services);
        services
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)))
            .collect()
    }

    /// The orders to give now.
    pub fn plan(&mut self, now: Time) -> Vec<Wish> {
        self.work.age(now);
        for account in self.engines.values_mut() {
            account.close(now);
        }
        let mut wishes = Vec::new();
        for (service, engine) in self.services() {
            balance::Balance::new(self, now, &service, &engine, &mut wishes).run();
        }
        wishes
    }

    /// Engines that hold a model, with the adapter where one is given.
    ///
    /// # Errors
    ///
    /// None does; the order that brings it to one, if one can be given now.
    pub fn place(
        &mut self,
        now: Time,
        model: &Name,
        adapter: Option<&Name>,
    ) -> Result<Vec<Name>, Option<Wish>> {
        self.work.ask(now, (model.clone(), adapter.cloned()));
        let holders: Vec<Name> = self
            .engines
            .values()
            .filter(|account| account.serves() && account.holds(model, adapter.map(|it| &**it)))
            .map(|account| account.entry.id.clone())
            .collect();
        if !holders.is_empty() {
            return Ok(holders);
        }
        // Requests that wait for a model on its way ask many times: no survey for those.
        let coming = |account: &Account| account.serves() && account.counts(model);
        if adapter.is_none() && self.engines.values().any(coming) {
            return Err(None);
        }
        let mut wishes = Vec::new();
        for (service, engine) in self.services() {
            if engine.model(model).is_none() {
                continue;
            }
            let balance = balance::Balance::new(self, now, &service, &engine, &mut wishes);
            match adapter {
                Some(adapter) => balance.bring(model, adapter),
                None => balance.fetch(model),
            }
        }
        Err(wishes.pop())
    }

    /// Books an order and returns it.
    pub(crate) fn wish(
        &mut self,
        now: Time,
        engine: &Name,
        action: Action,
        (model, adapter): (&Name, Option<&Name>),
        why: &'static str,
    ) -> Wish {
        let account = self
            .engines
            .get_mut(engine)
            .expect("the engine was just chosen");
        let after = account.orders.unwrap_or(0);
        account.send(now, action, model.clone(), adapter.cloned());
        Wish {
            engine: engine.clone(),
            action,
            model: model.clone(),
            adapter: adapter.cloned(),
            after,
            why,
        }
    }

    /// Where an engine listens.
    #[must_use]
    pub fn address(&self, engine: &str) -> Option<SocketAddr> {
        self.engines
            .get(engine)
            .map(|account| account.entry.address)
    }

    /// Takes an engine's answer to its open order.
    pub fn answered(&mut self, now: Time, engine: &str, verdict: OrderOutcome) {
        if let Some(account) = self.engines.get_mut(engine) {
            account.answered(now, verdict);
        }
    }
}
