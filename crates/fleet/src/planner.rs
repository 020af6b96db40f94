//! Which model and adapter is on which engine.

use crate::{
    account::Account,
    window::Window,
};
use mulberryrack_core::{Name, Time};
use mulberryrack_site::{
    Config, Upstream,
    config::Engine,
    order::{Action, Verdict},
    upstream::Report,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Weight of a new second in the smoothed demand.
const SMOOTHING: f64 = 0.25;
/// Work a second for each copy above which a further copy is worth a load, in tokens;
/// a twentieth of what an engine reads in a second.
const BUSY_TOKENS: f64 = 2_000.0;
/// How many times as busy a model must be as the one that makes way for its copy.
const SWAP_RATIO: f64 = 3.0;
/// Pause between two copies that make way for others.
const SWAP_PAUSE: Duration = Duration::from_secs(2);
/// Loads from the weight store at once; the store slows down beyond a few.
const LOADS_AT_ONCE: usize = 4;

/// Requests for a model or adapter at one host in about a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The model.
    pub model: Name,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<Name>,
    /// Requests.
    pub requests: u32,
    /// Tokens to read and, tenfold, to write.
    pub tokens: u64,
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
    engines: BTreeMap<Name, Account>,
    /// Smoothed tokens a second by model.
    work: BTreeMap<Name, f64>,
    /// Tokens since the last second began.
    fresh: BTreeMap<Name, f64>,
    /// When adapters were last asked for.
    asked: BTreeMap<(Name, Name), Time>,
    window: Window,
    window_span: Duration,
    second: Time,
    swapped: Time,
}

impl Planner {
    /// A planner that knows no engine.
    #[must_use]
    pub fn new(window_span: Duration) -> Self {
        Self {
            config: None,
            engines: BTreeMap::new(),
            work: BTreeMap::new(),
            fresh: BTreeMap::new(),
            asked: BTreeMap::new(),
            window: Window::default(),
            window_span,
            second: Time::ZERO,
            swapped: Time::ZERO,
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

    /// Takes an engine's report over.
    pub fn report(&mut self, now: Time, engine: &str, report: &Report) {
        if let Some(account) = self.engines.get_mut(engine) {
            account.report(now, report);
        }
    }

    /// Takes what hosts were asked for.
    pub fn demand(&mut self, now: Time, demand: &Demand) {
        #[allow(clippy::cast_precision_loss)]
        let tokens = demand.tokens as f64;
        *self.fresh.entry(demand.model.clone()).or_default() += tokens;
        if let Some(adapter) = &demand.adapter {
            self.asked.insert((demand.model.clone(), adapter.clone()), now);
        }
    }

    /// The host has just become the one that gives orders.
    pub fn take_over(&mut self, now: Time) {
        let rates = self.services().into_iter().map(|(_, engine)| engine.loads_per_s);
        let rate = rates.fold(0.0, f64::max);
        self.window.inherit(now, self.window_span, rate);
        for account in self.engines.values_mut() {
            account.doubt();
        }
    }

    /// Engines whose state is worth asking for: those with an open order, or with orders
    /// that are not known.
    pub fn unsettled(&self, now: Time) -> impl Iterator<Item = &Upstream> {
        let config = self.config.as_ref();
        let unsettled = self.engines.values().filter(move |account| {
            let unknown = account.orders.is_none() && account.blocked_until <= now;
            let service = config.and_then(|it| it.service(&account.entry.service));
            let engine = service.is_some_and(|service| service.engine.is_some());
            engine && account.serves() && (account.open.is_some() || unknown)
        });
        unsettled.map(|account| &account.entry)
    }

    fn services(&self) -> Vec<(Name, Engine)> {
        let services = self.config.iter().flat_map(|config| &config.services);
        services
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)))
            .collect()
    }

    fn age(&mut self, now: Time) {
        if now.since(self.second) < Duration::from_secs(1) {
            return;
        }
        self.second = now;
        for model in self.fresh.keys() {
            self.work.entry(model.clone()).or_default();
        }
        for (model, work) in &mut self.work {
            let fresh = self.fresh.get(model).copied().unwrap_or(0.0);
            *work += SMOOTHING * (fresh - *work);
        }
        self.fresh.clear();
    }

    /// The orders to give now.
    pub fn plan(&mut self, now: Time) -> Vec<Wish> {
        self.age(now);
        for account in self.engines.values_mut() {
            account.close(now);
        }
        let mut wishes = Vec::new();
        for (service, engine) in self.services() {
            self.restore(now, &service, &engine, &mut wishes);
            self.spread(now, &service, &engine, &mut wishes);
        }
        wishes
    }

    /// Loads every model that is on no engine.
    fn restore(&mut self, now: Time, service: &Name, engine: &Engine, out: &mut Vec<Wish>) {
        let mut missing: Vec<Name> = engine
            .models
            .iter()
            .map(|model| model.name.clone())
            .filter(|model| self.copies(service, model) == 0)
            .collect();
        missing.sort_by(|one, other| self.work_of(other).total_cmp(&self.work_of(one)));
        for model in missing {
            if self.loading(service) >= LOADS_AT_ONCE {
                return;
            }
            if self.load(now, service, engine, &model, "no-copy", out) {
                continue;
            }
            self.make_way(now, service, engine, &model, f64::INFINITY, out);
        }
    }

    /// Adds copies of busy models.
    fn spread(&mut self, now: Time, service: &Name, engine: &Engine, out: &mut Vec<Wish>) {
        if self.loading(service) >= LOADS_AT_ONCE / 2 {
            return;
        }
        let share = |model: &Name| {
            let copies = u32::try_from(self.copies(service, model)).unwrap_or(u32::MAX);
            self.work_of(model) / f64::from(copies.max(1))
        };
        let engines = self.serving(service).count();
        let busiest = engine
            .models
            .iter()
            .map(|model| &model.name)
            .filter(|model| self.copies(service, model) < engines)
            .max_by(|one, other| share(one).total_cmp(&share(other)))
            .cloned();
        let Some(model) = busiest else {
            return;
        };
        let busy = share(&model);
        if busy < BUSY_TOKENS {
            return;
        }
        if self.load(now, service, engine, &model, "busy", out) {
            return;
        }
        if now.since(self.swapped) > SWAP_PAUSE
            && self.make_way(now, service, engine, &model, busy / SWAP_RATIO, out)
        {
            self.swapped = now;
        }
    }

    fn work_of(&self, model: &Name) -> f64 {
        self.work.get(model).copied().unwrap_or(0.0)
    }

    fn serving<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Account> {
        let accounts = self.engines.values();
        accounts.filter(move |account| account.serves() && account.entry.service == *service)
    }

    fn copies(&self, service: &Name, model: &str) -> usize {
        self.serving(service).filter(|account| account.counts(model)).count()
    }

    fn loading(&self, service: &Name) -> usize {
        let open = self.serving(service).filter_map(|account| account.open.as_ref());
        open.filter(|open| open.adapter.is_none() && open.action == Action::Load).count()
    }

    /// Loads a model where there is room for it. Returns whether it could.
    fn load(
        &mut self,
        now: Time,
        service: &Name,
        engine: &Engine,
        model: &Name,
        why: &'static str,
        out: &mut Vec<Wish>,
    ) -> bool {
        let Some(size) = engine.model(model).map(|model| model.weights_mb) else {
            return false;
        };
        let work = |account: &Account| -> f64 {
            account.models.keys().map(|held| self.work_of(held)).sum()
        };
        let fits = |account: &&Account| {
            account.free(now)
                && !account.counts(model)
                && account.free_mb(engine) >= size
        };
        let at_hand = |account: &Account| account.entry.at_hand.contains(model);
        let best = self.serving(service).filter(fits).min_by(|one, other| {
            let key = |account: &Account| (!at_hand(account), work(account));
            let (one, other) = (key(one), key(other));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        });
        let Some((name, near)) = best.map(|best| (best.entry.id.clone(), at_hand(best))) else {
            return false;
        };
        if !near && !self.window.has_room(now, self.window_span, engine.loads_per_s) {
            return true;
        }
        self.window.take(now);
        self.wish(now, &name, Action::Load, model, None, why, out);
        true
    }

    /// Unloads the copy that is needed least, of a model with another copy and with less
    /// work for each copy left than `bound`. Returns whether there is one.
    fn make_way(
        &mut self,
        now: Time,
        service: &Name,
        engine: &Engine,
        model: &Name,
        bound: f64,
        out: &mut Vec<Wish>,
    ) -> bool {
        let unloading = self.serving(service).any(|account| {
            let open = account.open.as_ref();
            open.is_some_and(|open| open.adapter.is_none() && open.action == Action::Unload)
        });
        if unloading {
            return true;
        }
        let size = engine.model(model).map_or(0.0, |model| model.weights_mb);
        let mut best: Option<(f64, Name, Name)> = None;
        for account in self.serving(service) {
            if !account.free(now) || account.counts(model) {
                continue;
            }
            for held in account.models.keys() {
                let copies = self.copies(service, held);
                let frees = engine.model(held).map_or(0.0, |model| model.weights_mb);
                if copies < 2 || account.free_mb(engine) + frees < size {
                    continue;
                }
                let left = u32::try_from(copies - 1).unwrap_or(u32::MAX);
                let cost = self.work_of(held) / f64::from(left);
                if cost < bound && best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    best = Some((cost, account.entry.id.clone(), held.clone()));
                }
            }
        }
        let Some((_, name, victim)) = best else {
            return false;
        };
        self.wish(now, &name, Action::Unload, &victim, None, "make-way", out);
        true
    }

    /// Engines that hold an adapter, or the order that brings it to one.
    pub fn place(&mut self, now: Time, model: &Name, adapter: &Name) -> Result<Vec<Name>, Option<Wish>> {
        self.asked.insert((model.clone(), adapter.clone()), now);
        let holders: Vec<Name> = self
            .engines
            .values()
            .filter(|account| account.serves() && account.holds(model, Some(adapter)))
            .map(|account| account.entry.id.clone())
            .collect();
        if !holders.is_empty() {
            return Ok(holders);
        }
        Err(self.bring(now, model, adapter))
    }

    fn bring(&mut self, now: Time, model: &Name, adapter: &Name) -> Option<Wish> {
        let config = self.config.clone()?;
        let free = |account: &&Account| {
            account.serves()
                && account.free(now)
                && account.holds(model, None)
        };
        let best = self.engines.values().filter(free).min_by_key(|account| account.adapters())?;
        let engine = config.service(&best.entry.service)?.engine.as_ref()?;
        let places = usize::try_from(engine.adapter_places).unwrap_or(usize::MAX);
        let name = best.entry.id.clone();
        let mut out = Vec::new();
        if best.adapters() < places {
            self.wish(now, &name, Action::Load, model, Some(adapter), "adapter", &mut out);
            return out.pop();
        }
        let last_asked = |of: &Name, adapter: &Name| {
            let asked = self.asked.get(&(of.clone(), adapter.clone()));
            asked.copied().unwrap_or(Time::ZERO)
        };
        let held = best.models.iter();
        let (victim_model, victim) = held
            .flat_map(|(of, adapters)| adapters.iter().map(move |adapter| (of, adapter)))
            .min_by_key(|(of, adapter)| last_asked(of, adapter))
            .map(|(of, adapter)| (of.clone(), adapter.clone()))?;
        self.wish(now, &name, Action::Unload, &victim_model, Some(&victim), "adapter-places", &mut out);
        out.pop()
    }

    #[allow(clippy::too_many_arguments)]
    fn wish(
        &mut self,
        now: Time,
        name: &Name,
        action: Action,
        model: &Name,
        adapter: Option<&Name>,
        why: &'static str,
        out: &mut Vec<Wish>,
    ) {
        let account = self.engines.get_mut(name).expect("the engine was just chosen");
        account.send(now, action, model.clone(), adapter.cloned());
        out.push(Wish {
            engine: name.clone(),
            action,
            model: model.clone(),
            adapter: adapter.cloned(),
            after: account.orders.unwrap_or(0),
            why,
        });
    }

    /// Where an engine listens.
    #[must_use]
    pub fn address(&self, engine: &str) -> Option<std::net::SocketAddr> {
        self.engines.get(engine).map(|account| account.entry.address)
    }

    /// Takes an engine's answer to its open order.
    pub fn answered(&mut self, now: Time, engine: &str, verdict: Verdict) {
        if let Some(account) = self.engines.get_mut(engine) {
            account.answered(now, verdict);
        }
    }
}
