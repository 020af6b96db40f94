//! Evens out the work of a service's engines: every model somewhere, busy ones on
//! several engines, adapters where there is least to do.

use crate::{
    engine::Account,
    planner::{Planner, Wish},
};
use mulberryrack_core::{Name, Time};
use mulberryrack_site::{config::EngineSpec, order::Action};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Work of a copy above which a further one is worth a load, in milliseconds a second:
/// from about a tenth of an engine on, requests wait for one another.
const BUSY_MS: f64 = 80.0;
/// Share of the busiest holder's work that the engine of a new copy may have afterwards.
const BETTER_SHARE: f64 = 0.75;
/// Work of a copy above which idle models make way for a further one, in milliseconds a
/// second: from about half of an engine on, prompts wait for one another.
const CROWDED_MS: f64 = 500.0;
/// What an engine that has to load from the weight store is charged beside one that has
/// the weights at hand, in milliseconds of work a second: the copy comes seconds later.
const FAR_LOAD_MS: f64 = 150.0;
/// What the last copy of an idle model is charged beside a copy that another one can stand
/// in for, in milliseconds of work a second.
const LAST_COPY_MS: f64 = 30.0;
/// Least number of models that are unloaded at once, to make way.
const LEAST_UNLOADS: usize = 3;
/// Time that a copy stays at least.
const COPY_STAYS: Duration = Duration::from_secs(4);
/// Work of an adapter above which it is worth a second engine, in milliseconds a second.
const BUSY_ADAPTER_MS: f64 = 15.0;
/// Least number of adapters that are brought to engines in one plan.
const LEAST_ADAPTERS: usize = 3;
/// Engines for each of which one adapter more is brought in one plan.
const ENGINES_PER_ADAPTER: usize = 12;

/// Which copies may be unloaded to make way for a model.
#[derive(Clone, Copy)]
enum Spare {
    /// Those of models with another copy.
    Copies,
    /// Those, and the last copies of idle models that can be back soon.
    IdleToo,
}

/// One look at the engines of a service.
pub struct Balance<'a> {
    planner: &'a mut Planner,
    now: Time,
    service: &'a Name,
    engine: &'a EngineSpec,
    out: &'a mut Vec<Wish>,
    /// Copies of each model, those on their way included.
    copies: BTreeMap<Name, u32>,
    /// Work of each engine that serves, in milliseconds a second.
    load: BTreeMap<Name, f64>,
}

impl<'a> Balance<'a> {
    /// Looks at the engines as they are now.
    pub fn new(
        planner: &'a mut Planner,
        now: Time,
        service: &'a Name,
        engine: &'a EngineSpec,
        out: &'a mut Vec<Wish>,
    ) -> Self {
        let mut balance = Self {
            planner,
            now,
            service,
            engine,
            out,
            copies: BTreeMap::new(),
            load: BTreeMap::new(),
        };
        balance.survey();
        balance
    }

    /// Gives the orders that are worth it.
    pub fn run(mut self) {
        self.restore();
        self.spread();
        self.return_dormant();
        self.level();
        self.spread_adapters();
        self.preload_adapters();
    }

    fn serving(&self) -> impl Iterator<Item = &Account> {
        let accounts = self.planner.engines.values();
        accounts.filter(|account| account.serves() && account.entry.service == *self.service)
    }

    fn survey(&mut self) {
        let models = self.engine.models.iter();
        let mut copies: BTreeMap<Name, u32> = models.map(|model| (model.name.clone(), 0)).collect();
        for account in self.serving() {
            for model in account.counted() {
                *copies.entry(model.clone()).or_default() += 1;
            }
        }
        self.copies = copies;
        let mut holders: BTreeMap<(&Name, &Name), u32> = BTreeMap::new();
        for account in self.serving() {
            for (model, adapters) in &account.models {
                for adapter in adapters {
                    *holders.entry((model, adapter)).or_default() += 1;
                }
            }
        }
        let work = &self.planner.work;
        let load = |account: &Account| -> f64 {
            let models = account.models.iter().map(|(model, adapters)| {
                let base = work.base(model) / f64::from(self.copies_of(model).max(1));
                let own = adapters.iter().map(|adapter| {
                    let shared = f64::from(holders[&(model, adapter)]);
                    work.of(&(model.clone(), Some(adapter.clone()))) / shared
                });
                base + own.sum::<f64>()
            });
            models.sum()
        };
        let loads = self
            .serving()
            .map(|account| (account.entry.id.clone(), load(account)));
        self.load = loads.collect();
    }

    fn copies_of(&self, model: &Name) -> u32 {
        self.copies.get(model).copied().unwrap_or(0)
    }

    /// Work of each copy of a model, in milliseconds a second.
    fn work_of_copy(&self, model: &Name) -> f64 {
        self.planner.work.model(model) / f64::from(self.copies_of(model).max(1))
    }

    /// As before, once there is one copy more.
    fn work_of_next(&self, model: &Name) -> f64 {
        self.planner.work.model(model) / f64::from(self.copies_of(model) + 1)
    }

    fn load_of(&self, account: &Account) -> f64 {
        self.load.get(&account.entry.id).copied().unwrap_or(0.0)
    }

    fn size(&self, model: &Name) -> f64 {
        self.engine
            .model(model)
            .map_or(f64::INFINITY, |model| model.weights_mb)
    }

    fn open(&self, action: Action) -> usize {
        let open = self.serving().filter_map(|account| account.open.as_ref());
        open.filter(|open| open.adapter.is_none() && open.action == action)
            .count()
    }

    /// Loads that run at once when they begin at the rate that the weight store allows; it
    /// slows down beyond that.
    fn loads_at_once(&self) -> usize {
        let times = self
            .engine
            .models
            .iter()
            .map(|model| model.load_time.as_secs_f64());
        let running = self.engine.loads_per_s * times.fold(0.0, f64::max);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let running = running.round() as usize;
        running.max(1)
    }

    fn adapters_at_once(&self) -> usize {
        LEAST_ADAPTERS + self.load.len() / ENGINES_PER_ADAPTER
    }

    /// Whether a model without work can be back soon after it is asked for: an engine has
    /// its weights at hand.
    fn dormant(&self, model: &Name) -> bool {
        let idle = self.planner.work.idle(self.now, model);
        idle && self.serving().any(|account| account.at_hand(model))
    }

    /// Models that are on no engine, the busiest first.
    fn missing(&self, dormant: bool) -> Vec<Name> {
        let missing = self.copies.iter().filter(|(_, copies)| **copies == 0);
        let missing = missing.map(|(model, _)| model.clone());
        let mut missing: Vec<Name> = missing
            .filter(|model| self.dormant(model) == dormant)
            .collect();
        let work = |model: &Name| self.planner.work.model(model);
        missing.sort_by(|one, other| work(other).total_cmp(&work(one)));
        missing
    }

    /// Loads models that are on no engine, unless they are dormant.
    fn restore(&mut self) {
        for model in self.missing(false) {
            if !self.load_copy(&model, f64::INFINITY, "no-copy") {
                let spare = if self.planner.work.idle(self.now, &model) {
                    Spare::Copies
                } else {
                    Spare::IdleToo
                };
                self.make_way(&model, f64::INFINITY, spare);
            }
        }
    }

    /// Loads dormant models while no model is crowded, so that their next request need
    /// not wait.
    fn return_dormant(&mut self) {
        let shares = self.copies.keys().map(|model| self.work_of_copy(model));
        let most = shares.fold(0.0, f64::max);
        if most >= CROWDED_MS || self.open(Action::Load) > 0 || self.open(Action::Unload) > 0 {
            return;
        }
        let Some(model) = self.missing(true).into_iter().next() else {
            return;
        };
        if !self.load_copy(&model, f64::INFINITY, "dormant") {
            self.make_way(&model, BUSY_MS, Spare::Copies);
        }
    }

    /// Loads a model that a request waits for.
    pub fn fetch(mut self, model: &Name) {
        if self.copies_of(model) == 0 && !self.load_copy(model, f64::INFINITY, "asked") {
            self.make_way(model, f64::INFINITY, Spare::IdleToo);
        }
    }

    /// Adds a copy of the models whose copies have most to do.
    fn spread(&mut self) {
        let busy = self.copies.iter().filter(|(_, copies)| **copies > 0);
        let mut busy: Vec<(Name, f64)> = busy
            .map(|(model, _)| (model.clone(), self.work_of_copy(model)))
            .filter(|(_, share)| *share >= BUSY_MS)
            .collect();
        busy.sort_by(|one, other| other.1.total_cmp(&one.1));
        for (model, share) in busy {
            let holders = self.serving().filter(|account| account.holds(&model, None));
            let busiest = holders
                .map(|account| self.load_of(account))
                .fold(0.0, f64::max);
            let bound = busiest * BETTER_SHARE;
            if !self.load_copy(&model, bound, "busy") {
                let spare = if share >= CROWDED_MS {
                    Spare::IdleToo
                } else {
                    Spare::Copies
                };
                self.make_way(&model, bound, spare);
            }
        }
    }

    /// Loads a model where there is room, on an engine that has at most `bound` to do
    /// afterwards. Returns false if room has to be made first.
    fn load_copy(&mut self, model: &Name, bound: f64, why: &'static str) -> bool {
        if self.open(Action::Load) >= self.loads_at_once() {
            return true;
        }
        let size = self.size(model);
        let added = self.work_of_next(model);
        let fits = |account: &&Account| {
            account.free(self.now)
                && !account.counts(model)
                && account.free_mb(self.engine) >= size
                && self.load_of(account) + added <= bound
        };
        let best = self.serving().filter(fits).min_by(|one, other| {
            let loads = self.load_of(one).total_cmp(&self.load_of(other));
            let held = one.models.len().cmp(&other.models.len());
            let near = other.at_hand(model).cmp(&one.at_hand(model));
            near.then(loads).then(held)
        });
        let Some((name, near)) = best.map(|best| (best.entry.id.clone(), best.at_hand(model)))
        else {
            return false;
        };
        let (span, rate) = (self.planner.window_span, self.engine.loads_per_s);
        if !near {
            if !self.planner.window.has_room(self.now, span, rate) {
                return true;
            }
            self.planner.window.take(self.now);
        }
        self.give(&name, Action::Load, (model, None), why);
        *self.copies.entry(model.clone()).or_default() += 1;
        *self.load.entry(name).or_default() += added;
        true
    }

    /// Unloads the copy that is missed least, of those that may go, on an engine that has
    /// at most `bound` to do once `model` is there.
    fn make_way(&mut self, model: &Name, bound: f64, spare: Spare) {
        self.make_way_on(model, bound, spare, None);
    }

    /// As [`Balance::make_way`], on one of these engines; on any if none are named.
    fn make_way_on(&mut self, model: &Name, bound: f64, spare: Spare, engines: Option<&[Name]>) {
        if self.open(Action::Unload) >= self.loads_at_once().max(LEAST_UNLOADS) {
            return;
        }
        let added = self.work_of_next(model);
        let mut best: Option<(f64, Name, Name)> = None;
        for account in self.serving() {
            let named = engines.is_none_or(|names| names.contains(&account.entry.id));
            if !named || !account.free(self.now) || account.counts(model) {
                continue;
            }
            let far = if account.at_hand(model) {
                0.0
            } else {
                FAR_LOAD_MS
            };
            for held in account.models.keys() {
                if !self.may_go(account, held, spare) || !self.fits_without(account, held, model) {
                    continue;
                }
                let cost = self.cost_without(account, held, added);
                let charged = cost + far;
                if cost <= bound && best.as_ref().is_none_or(|(least, ..)| charged < *least) {
                    best = Some((charged, account.entry.id.clone(), held.clone()));
                }
            }
        }
        if let Some((_, name, victim)) = best {
            self.give(&name, Action::Unload, (&victim, None), "make-way");
            *self.copies.entry(victim).or_default() -= 1;
        }
    }

    /// Whether an engine's copy of a model may be unloaded.
    fn may_go(&self, account: &Account, held: &Name, spare: Spare) -> bool {
        let stayed = self.now.since(account.arrived(held)) >= COPY_STAYS;
        let replaceable = match (self.copies_of(held), spare) {
            (0, _) | (1, Spare::Copies) => false,
            (1, Spare::IdleToo) => self.yields(account, held),
            _ => true,
        };
        stayed && replaceable
    }

    /// Whether an engine has room for a model once another one is gone.
    fn fits_without(&self, account: &Account, held: &Name, model: &Name) -> bool {
        let size = self.size(held);
        let frees = if size.is_finite() { size } else { 0.0 };
        account.free_mb(self.engine) + frees >= self.size(model)
    }

    /// The work that the other copies of a model get, or that its engine then has with
    /// `added`; the larger of the two.
    fn cost_without(&self, account: &Account, held: &Name, added: f64) -> f64 {
        let work = self.planner.work.model(held);
        let copies = self.copies_of(held);
        let passed_on = match copies {
            1 => LAST_COPY_MS,
            _ => work / f64::from(copies - 1),
        };
        let left = self.load_of(account) - self.work_of_copy(held);
        passed_on.max(left + added)
    }

    /// Whether an engine that has the last copy of a model can drop it: the model is idle,
    /// and the engine can load it again from what it has at hand.
    fn yields(&self, account: &Account, model: &Name) -> bool {
        self.planner.work.idle(self.now, model) && account.at_hand(model)
    }

    /// Models of which an engine has the only copy, and cannot drop it.
    fn only_copies<'b>(&'b self, account: &'b Account) -> impl Iterator<Item = &'b Name> {
        let models = account.models.keys();
        models.filter(|model| {
            let only = self.copies_of(model) == 1 && account.counts(model);
            only && !self.yields(account, model)
        })
    }

    /// Copies an idle model from the engine with most only copies to one with fewer, so
    /// that every engine has room that can be cleared for a busy model.
    fn level(&mut self) {
        if self.open(Action::Load) > 1 || self.open(Action::Unload) > 0 {
            return;
        }
        let count = |account: &Account| self.only_copies(account).count();
        let Some(most) = self.serving().max_by_key(|account| count(account)) else {
            return;
        };
        let crowded = count(most);
        let idlest = self.only_copies(most).min_by(|one, other| {
            let work = &self.planner.work;
            work.model(one).total_cmp(&work.model(other))
        });
        let Some(model) = idlest.cloned() else {
            return;
        };
        let bound = self.load.values().copied().fold(0.0, f64::max).max(BUSY_MS);
        let fewer = |account: &Account| count(account) + 2 <= crowded;
        let home = self.serving().filter(|account| {
            fewer(account)
                && account.free(self.now)
                && !account.counts(&model)
                && account.free_mb(self.engine) >= self.size(&model)
        });
        let home = home
            .min_by_key(|account| count(account))
            .map(|home| home.entry.id.clone());
        if let Some(name) = home {
            let (span, rate) = (self.planner.window_span, self.engine.loads_per_s);
            if self.planner.window.has_room(self.now, span, rate) {
                self.planner.window.take(self.now);
                self.give(&name, Action::Load, (&model, None), "level");
            }
            return;
        }
        let homes: Vec<Name> = self
            .serving()
            .filter(|account| fewer(account) && account.free(self.now))
            .map(|account| account.entry.id.clone())
            .collect();
        self.make_way_on(&model, bound, Spare::Copies, Some(&homes));
    }

    /// Brings busy adapters to further copies of their model.
    fn spread_adapters(&mut self) {
        let mut brought = 0;
        for (model, adapter, work) in self.planner.work.adapters() {
            if work < BUSY_ADAPTER_MS || brought >= self.adapters_at_once() {
                return;
            }
            let key = Some(&*adapter);
            let holders = self.serving().filter(|account| account.holds(&model, key));
            let Some(least) = holders.map(|it| self.load_of(it)).reduce(f64::min) else {
                continue;
            };
            let free = |account: &&Account| {
                account.free(self.now)
                    && account.holds(&model, None)
                    && !account.holds(&model, key)
                    && account.adapters() < self.places()
                    && self.load_of(account) <= least * BETTER_SHARE
            };
            let best = self
                .serving()
                .filter(free)
                .min_by(|one, other| self.load_of(one).total_cmp(&self.load_of(other)));
            if let Some(name) = best.map(|best| best.entry.id.clone()) {
                self.give(
                    &name,
                    Action::Load,
                    (&model, Some(&adapter)),
                    "busy-adapter",
                );
                brought += 1;
            }
        }
    }

    /// Brings adapters that are on no engine to free places, so that their first request
    /// need not wait.
    fn preload_adapters(&mut self) {
        let places = self.places();
        let room = |account: &Account| account.free(self.now) && account.adapters() < places;
        if !self.serving().any(room) {
            return;
        }
        let mut held: BTreeSet<(Name, Name)> = BTreeSet::new();
        for account in self.serving() {
            for (model, adapters) in &account.models {
                held.extend(
                    adapters
                        .iter()
                        .map(|adapter| (model.clone(), adapter.clone())),
                );
            }
        }
        let mut brought = 0;
        for model in &self.engine.models {
            for adapter in 1..=model.adapter_count {
                let key = (model.name.clone(), Name::from(format!("a{adapter}")));
                if held.contains(&key) {
                    continue;
                }
                brought += usize::from(self.preload(&key.0, &key.1));
                if brought >= self.adapters_at_once() {
                    return;
                }
            }
        }
    }

    fn preload(&mut self, model: &Name, adapter: &Name) -> bool {
        let free = |account: &&Account| {
            account.free(self.now)
                && account.holds(model, None)
                && account.adapters() < self.places()
        };
        let best = self
            .serving()
            .filter(free)
            .min_by_key(|account| account.adapters());
        let Some(name) = best.map(|best| best.entry.id.clone()) else {
            return false;
        };
        self.give(&name, Action::Load, (model, Some(adapter)), "preload");
        true
    }

    fn places(&self) -> usize {
        usize::try_from(self.engine.adapter_slots).unwrap_or(usize::MAX)
    }

    /// When the adapter of an engine that was not asked for longest was asked for last.
    fn idlest_asked(&self, account: &Account) -> Time {
        let held = account.models.iter().flat_map(|(of, adapters)| {
            adapters
                .iter()
                .map(move |adapter| (of.clone(), Some(adapter.clone())))
        });
        let asked = held.map(|key| self.planner.work.asked(&key));
        asked.min().unwrap_or(Time::ZERO)
    }

    /// Brings an adapter to the engine with least to do, or makes a place for it.
    pub fn bring(mut self, model: &Name, adapter: &Name) {
        let free = |account: &&Account| account.free(self.now) && account.holds(model, None);
        let best = self.serving().filter(free).min_by(|one, other| {
            let full = |account: &Account| account.adapters() >= self.places();
            let loads = self.load_of(one).total_cmp(&self.load_of(other));
            let idle = self.idlest_asked(one).cmp(&self.idlest_asked(other));
            let order = full(one).cmp(&full(other));
            order.then(if full(one) { idle } else { loads })
        });
        let Some(best) = best else {
            return;
        };
        let name = best.entry.id.clone();
        if best.adapters() < self.places() {
            self.give(&name, Action::Load, (model, Some(adapter)), "adapter");
            return;
        }
        let held = best.models.iter().flat_map(|(of, adapters)| {
            adapters
                .iter()
                .map(move |adapter| (of.clone(), Some(adapter.clone())))
        });
        let victim = held.min_by_key(|key| self.planner.work.asked(key));
        if let Some((of, victim)) = victim {
            self.give(
                &name,
                Action::Unload,
                (&of, victim.as_ref()),
                "adapter-places",
            );
        }
    }

    fn give(
        &mut self,
        engine: &Name,
        action: Action,
        what: (&Name, Option<&Name>),
        why: &'static str,
    ) {
        let wish = self.planner.wish(self.now, engine, action, what, why);
        self.out.push(wish);
    }
}
