//! Distributes models and adapters over the engines of a service: a copy of every model on
//! some engine, copies of busy models on several, and adapters on the engines with the
//! least work. A copy is a model in the memory of one engine. Work is engine time that
//! requests take, in milliseconds a second.

use crate::{
    engine::EngineState,
    planner::{PlannedOrder, Planner},
};
use mulberryrack_core::{Name, Time};
use mulberryrack_site::{config::EngineSpec, order::Action};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Work of a copy from which another copy is worth a load. Above about a tenth of an
/// engine's time, requests wait for one another.
const BUSY_COPY_MS_PER_S: f64 = 80.0;
/// The engine of a new copy may have at most this share of the work of the busiest engine that
/// has the model. For a busy adapter, the engine that loads it may have at most this share of
/// the work of the least busy engine that has the adapter.
const IMPROVED_SHARE: f64 = 0.75;
/// Work of a copy from which idle models are evicted for another copy. Above about half of
/// an engine's time, prompts wait for one another.
const OVERLOADED_COPY_MS_PER_S: f64 = 500.0;
/// Cost of an engine that has to load the weights from the weight store, in milliseconds of
/// work a second. The copy is ready seconds later than on an engine that has the weights
/// locally.
const REMOTE_LOAD_COST_MS_PER_S: f64 = 150.0;
/// Cost of evicting the last copy of an idle model, in milliseconds of work a second. A
/// copy of a model with other copies costs the work that they have to take.
const LAST_COPY_COST_MS_PER_S: f64 = 30.0;
/// Models that may be unloaded in parallel, even if fewer loads may run in parallel.
const MIN_PARALLEL_UNLOADS: usize = 3;
/// Speed from which on an engine is slow: a busy model gets its next copy on a faster one, if one has
/// the memory. The users' slow engines have 0.55 of the usual speed, the others 0.9 or more.
const SLOW_SPEED: f64 = 0.8;
/// Period for which a copy is not evicted after it was loaded.
const MIN_COPY_PERIOD: Duration = Duration::from_secs(4);
/// Work of an adapter from which it is worth loading on another engine.
const BUSY_ADAPTER_MS_PER_S: f64 = 15.0;
/// Adapter loads that each of the two steps for adapters may order in one plan, on any number
/// of engines.
const BASE_ADAPTER_LOADS: usize = 3;
/// For each group of this many engines, each of the two steps may order one more adapter load.
const ENGINES_PER_ADAPTER_LOAD: usize = 12;

/// Which copies may be evicted for another model.
#[derive(Clone, Copy)]
enum Evictable {
    /// Copies of models that have another copy.
    Redundant,
    /// Also the last copies of idle models that their engine can load again without the
    /// weight store.
    RedundantOrIdle,
}

/// Plans the orders for the engines of one service, at one time.
pub struct Balancer<'a> {
    pub(crate) planner: &'a mut Planner,
    pub(crate) now: Time,
    service: &'a Name,
    /// Capacity of each engine of the service.
    pub(crate) spec: &'a EngineSpec,
    orders: &'a mut Vec<PlannedOrder>,
    /// Number of copies of each model, including those being loaded and without those being
    /// unloaded.
    pub(crate) copies: BTreeMap<Name, u32>,
    /// By how much the sum of the speeds of the engines with these copies exceeds their number, by
    /// model. Zero while all engines have the usual speed.
    extra_speeds: BTreeMap<Name, f64>,
    /// Work of each engine that accepts requests, in milliseconds a second.
    engine_work: BTreeMap<Name, f64>,
}

impl<'a> Balancer<'a> {
    /// Counts the copies and the work of the service's engines as they are now.
    pub fn new(
        planner: &'a mut Planner,
        now: Time,
        service: &'a Name,
        spec: &'a EngineSpec,
        orders: &'a mut Vec<PlannedOrder>,
    ) -> Self {
        let mut balancer = Self {
            planner,
            now,
            service,
            spec,
            orders,
            copies: BTreeMap::new(),
            extra_speeds: BTreeMap::new(),
            engine_work: BTreeMap::new(),
        };
        balancer.count_copies_and_work();
        balancer
    }

    /// Plans all orders that are worthwhile now.
    pub fn run(mut self) {
        self.load_missing();
        self.add_copies();
        self.reload_dormant();
        self.spread_last_copies();
        self.copy_busy_adapters();
        self.preload_adapters();
    }

    /// The engines of the service that accept requests.
    pub(crate) fn serving_engines(&self) -> impl Iterator<Item = &EngineState> {
        let engines = self.planner.engines.values();
        engines.filter(|engine| {
            engine.accepts_requests() && engine.registration.service == *self.service
        })
    }

    fn count_copies_and_work(&mut self) {
        let models = self.spec.models.iter();
        let mut copies: BTreeMap<Name, u32> = models.map(|model| (model.name.clone(), 0)).collect();
        for engine in self.serving_engines() {
            for model in engine.future_models() {
                *copies.entry(model.clone()).or_default() += 1;
            }
        }
        let mut extra_speeds: BTreeMap<Name, f64> = BTreeMap::new();
        for engine in self.serving_engines() {
            let extra = self.speed(engine) - 1.0;
            for model in engine.future_models() {
                *extra_speeds.entry(model.clone()).or_default() += extra;
            }
        }
        (self.copies, self.extra_speeds) = (copies, extra_speeds);
        let mut adapter_speeds: BTreeMap<(&Name, &Name), f64> = BTreeMap::new();
        for engine in self.serving_engines() {
            let speed = self.speed(engine);
            for (model, adapters) in &engine.models {
                for adapter in adapters {
                    *adapter_speeds.entry((model, adapter)).or_default() += speed;
                }
            }
        }
        let work = &self.planner.workload;
        let work_of = |engine: &EngineState| -> f64 {
            let work_by_model = engine.models.iter().map(|(model, adapters)| {
                let base = work.of_base_model(model) / self.total_speed(model);
                let adapter_work = adapters.iter().map(|adapter| {
                    let speed = adapter_speeds[&(model, adapter)];
                    work.of_key(&(model.clone(), Some(adapter.clone()))) / speed
                });
                base + adapter_work.sum::<f64>()
            });
            work_by_model.sum()
        };
        let engine_work = self
            .serving_engines()
            .map(|engine| (engine.registration.id.clone(), work_of(engine)));
        self.engine_work = engine_work.collect();
    }

    pub(crate) fn copy_count(&self, model: &Name) -> u32 {
        self.copies.get(model).copied().unwrap_or(0)
    }

    fn speed(&self, engine: &EngineState) -> f64 {
        self.planner.speed(&engine.registration.id)
    }

    /// Sum of the speeds of the engines with copies of a model; 1 without copies. Requests go to
    /// engines by their speeds, so that each copy takes the same share of its engine's time.
    fn total_speed(&self, model: &Name) -> f64 {
        match self.copy_count(model) {
            0 => 1.0,
            copies => f64::from(copies) + self.extra_speed(model),
        }
    }

    fn extra_speed(&self, model: &Name) -> f64 {
        self.extra_speeds.get(model).copied().unwrap_or(0.0)
    }

    /// Sum of the speeds without the copy on an engine; that of one usual engine if it is the last.
    fn remaining_speed(&self, engine: &EngineState, model: &Name) -> f64 {
        match self.copy_count(model) {
            0 | 1 => 1.0,
            copies => f64::from(copies - 1) + self.extra_speed(model) - (self.speed(engine) - 1.0),
        }
    }

    /// Counts a copy that was ordered on an engine of this speed.
    pub(crate) fn count_new_copy(&mut self, model: &Name, speed: f64) {
        *self.copies.entry(model.clone()).or_default() += 1;
        *self.extra_speeds.entry(model.clone()).or_default() += speed - 1.0;
    }

    /// Work of each copy of a model, in milliseconds a second.
    fn work_per_copy(&self, model: &Name) -> f64 {
        self.planner.workload.of_model(model) / self.total_speed(model)
    }

    /// Work of each copy if the model had one more copy on an engine, in milliseconds a second.
    fn work_per_copy_with_one_more(&self, engine: &EngineState, model: &Name) -> f64 {
        let copies = f64::from(self.copy_count(model));
        let speed = copies + self.extra_speed(model) + self.speed(engine);
        self.planner.workload.of_model(model) / speed
    }

    fn work_of_engine(&self, engine: &EngineState) -> f64 {
        self.engine_work
            .get(&engine.registration.id)
            .copied()
            .unwrap_or(0.0)
    }

    pub(crate) fn size_mb(&self, model: &Name) -> f64 {
        self.spec
            .model(model)
            .map_or(f64::INFINITY, |model| model.weights_mb)
    }

    /// Number of open orders to load or unload a model; orders for adapters are not counted.
    pub(crate) fn open_order_count(&self, action: Action) -> usize {
        let open = self
            .serving_engines()
            .filter_map(|engine| engine.open_order.as_ref());
        open.filter(|order| order.adapter.is_none() && order.action == action)
            .count()
    }

    /// Loads that run in parallel if they begin at the rate that the weight store allows.
    /// With more loads than this, the weight store slows down.
    pub(crate) fn max_parallel_loads(&self) -> usize {
        let times = self
            .spec
            .models
            .iter()
            .map(|model| model.load_time.as_secs_f64());
        let parallel_loads = self.spec.loads_per_s * times.fold(0.0, f64::max);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let parallel_loads = parallel_loads.round() as usize;
        parallel_loads.max(1)
    }

    fn max_adapter_loads(&self) -> usize {
        BASE_ADAPTER_LOADS + self.engine_work.len() / ENGINES_PER_ADAPTER_LOAD
    }

    /// Whether a model is idle and some engine has its weights locally, so that the model can
    /// be loaded quickly on request.
    fn is_dormant(&self, model: &Name) -> bool {
        let idle = self.planner.workload.is_idle(self.now, model);
        idle && self
            .serving_engines()
            .any(|engine| engine.has_local_weights(model))
    }

    /// Models that are on no engine, those with the most work first: only dormant ones if
    /// `dormant` is set, else only the others.
    fn missing_models(&self, dormant: bool) -> Vec<Name> {
        let missing = self.copies.iter().filter(|(_, copies)| **copies == 0);
        let missing = missing.map(|(model, _)| model.clone());
        let mut missing: Vec<Name> = missing
            .filter(|model| self.is_dormant(model) == dormant)
            .collect();
        let work = |model: &Name| self.planner.workload.of_model(model);
        missing.sort_by(|one, other| work(other).total_cmp(&work(one)));
        missing
    }

    /// Loads the models that are on no engine and not dormant.
    fn load_missing(&mut self) {
        for model in self.missing_models(false) {
            if !self.load_copy(&model, f64::INFINITY, "no-copy") {
                let evictable = if self.planner.workload.is_idle(self.now, &model) {
                    Evictable::Redundant
                } else {
                    Evictable::RedundantOrIdle
                };
                self.evict_for(&model, f64::INFINITY, evictable);
            }
        }
    }

    /// Loads a dormant model that is on no engine while no copy is overloaded, so that the next
    /// request for the model does not wait for a load.
    fn reload_dormant(&mut self) {
        let work_per_copy = self.copies.keys().map(|model| self.work_per_copy(model));
        let highest = work_per_copy.fold(0.0, f64::max);
        if highest >= OVERLOADED_COPY_MS_PER_S
            || self.open_order_count(Action::Load) > 0
            || self.open_order_count(Action::Unload) > 0
        {
            return;
        }
        let Some(model) = self.missing_models(true).into_iter().next() else {
            return;
        };
        if !self.load_copy(&model, f64::INFINITY, "dormant") {
            self.evict_for(&model, BUSY_COPY_MS_PER_S, Evictable::Redundant);
        }
    }

    /// Loads a model that a request is waiting for.
    pub fn load_requested(mut self, model: &Name) {
        if self.copy_count(model) == 0 && !self.load_copy(model, f64::INFINITY, "asked") {
            self.evict_for(model, f64::INFINITY, Evictable::RedundantOrIdle);
        }
    }

    /// Loads another copy of each model whose copies are busy, the busiest first.
    fn add_copies(&mut self) {
        let busy = self.copies.iter().filter(|(_, copies)| **copies > 0);
        let mut busy: Vec<(Name, f64)> = busy
            .map(|(model, _)| (model.clone(), self.work_per_copy(model)))
            .filter(|(_, work_per_copy)| *work_per_copy >= BUSY_COPY_MS_PER_S)
            .collect();
        busy.sort_by(|one, other| other.1.total_cmp(&one.1));
        for (model, work_per_copy) in busy {
            let engines_with_model = self
                .serving_engines()
                .filter(|engine| engine.has_model(&model, None));
            let busiest = engines_with_model
                .map(|engine| self.work_of_engine(engine))
                .fold(0.0, f64::max);
            let max_work = busiest * IMPROVED_SHARE;
            if !self.load_copy(&model, max_work, "busy") {
                if self.planner.by_need {
                    self.consolidate_for(&model);
                }
                let evictable = if work_per_copy >= OVERLOADED_COPY_MS_PER_S {
                    Evictable::RedundantOrIdle
                } else {
                    Evictable::Redundant
                };
                self.evict_for(&model, max_work, evictable);
            }
        }
    }

    /// Orders the load of a model on an engine that has the memory for the model, and at most
    /// `max_work` work afterwards. Returns false if there is no such engine, so that a copy has
    /// to be evicted first. Returns true also if the load has to wait because too many other
    /// loads run or have just begun.
    fn load_copy(&mut self, model: &Name, max_work: f64, reason: &'static str) -> bool {
        if self.open_order_count(Action::Load) >= self.max_parallel_loads() {
            return true;
        }
        let size_mb = self.size_mb(model);
        let is_busy = reason == "busy";
        let fits = |engine: &&EngineState| {
            engine.can_take_order(self.now)
                && !engine.will_have_model(model)
                && engine.free_mb(self.spec) >= size_mb
                && self.work_of_engine(engine) + self.work_per_copy_with_one_more(engine, model)
                    <= max_work
        };
        let best = self.serving_engines().filter(fits).min_by(|one, other| {
            let by_work = self
                .work_of_engine(one)
                .total_cmp(&self.work_of_engine(other));
            let by_model_count = one.models.len().cmp(&other.models.len());
            let local_weights_first = other
                .has_local_weights(model)
                .cmp(&one.has_local_weights(model));
            let is_slow = |engine: &EngineState| is_busy && self.speed(engine) < SLOW_SPEED;
            let fast_first = is_slow(one).cmp(&is_slow(other));
            local_weights_first
                .then(fast_first)
                .then(by_work)
                .then(by_model_count)
        });
        let Some((name, has_weights, added_work)) = best.map(|best| {
            (
                best.registration.id.clone(),
                best.has_local_weights(model),
                self.work_per_copy_with_one_more(best, model),
            )
        }) else {
            return false;
        };
        if !has_weights && !self.take_load_slot() {
            return true;
        }
        self.issue(&name, Action::Load, (model, None), reason);
        let speed = self.planner.speed(&name);
        self.count_new_copy(model, speed);
        *self.engine_work.entry(name).or_default() += added_work;
        true
    }

    /// Counts a load from the weight store. Returns false if no other one may begin now.
    pub(crate) fn take_load_slot(&mut self) -> bool {
        let (span, rate) = (self.planner.window_span, self.spec.loads_per_s);
        let has_room = self.planner.load_window.has_room(self.now, span, rate);
        if has_room {
            self.planner.load_window.record(self.now);
        }
        has_room
    }

    /// Unloads the evictable copy with the lowest cost, on an engine that has the memory for
    /// `model` afterwards. The work that the eviction leaves to the other copies and the work
    /// of the engine with `model` are at most `max_work` each.
    fn evict_for(&mut self, model: &Name, max_work: f64, evictable: Evictable) {
        self.evict_for_among(model, max_work, evictable, None);
    }

    /// Like [`Balancer::evict_for`], but only on `engines` unless that is `None`.
    fn evict_for_among(
        &mut self,
        model: &Name,
        max_work: f64,
        evictable: Evictable,
        engines: Option<&[Name]>,
    ) {
        if self.open_order_count(Action::Unload)
            >= self.max_parallel_loads().max(MIN_PARALLEL_UNLOADS)
        {
            return;
        }
        let mut best: Option<(f64, Name, Name)> = None;
        for engine in self.serving_engines() {
            let is_allowed = engines.is_none_or(|names| names.contains(&engine.registration.id));
            if !is_allowed || !engine.can_take_order(self.now) || engine.will_have_model(model) {
                continue;
            }
            let added_work = self.work_per_copy_with_one_more(engine, model);
            let load_cost = if engine.has_local_weights(model) {
                0.0
            } else {
                REMOTE_LOAD_COST_MS_PER_S
            };
            for victim in engine.models.keys() {
                if !self.is_evictable(engine, victim, evictable)
                    || !self.fits_after_eviction(engine, victim, model)
                {
                    continue;
                }
                let cost = self.eviction_cost(engine, victim, added_work);
                if self.planner.by_need && !self.is_less_needed(engine, victim, model) {
                    continue;
                }
                let total_cost = cost + load_cost;
                if cost <= max_work
                    && best
                        .as_ref()
                        .is_none_or(|(lowest, ..)| total_cost < *lowest)
                {
                    best = Some((total_cost, engine.registration.id.clone(), victim.clone()));
                }
            }
        }
        if let Some((_, name, victim)) = best {
            self.issue(&name, Action::Unload, (&victim, None), "make-way");
            let speed = self.planner.speed(&name);
            *self.extra_speeds.entry(victim.clone()).or_default() -= speed - 1.0;
            *self.copies.entry(victim).or_default() -= 1;
        }
    }

    /// Whether an engine's copy of a model may be unloaded.
    fn is_evictable(&self, engine: &EngineState, victim: &Name, evictable: Evictable) -> bool {
        let is_old_enough = self.now.since(engine.loaded_at(victim)) >= MIN_COPY_PERIOD;
        let replaceable = match (self.copy_count(victim), evictable) {
            (0, _) | (1, Evictable::Redundant) => false,
            (1, Evictable::RedundantOrIdle) => self.can_drop_last_copy(engine, victim),
            _ => true,
        };
        is_old_enough && replaceable
    }

    /// Whether an engine has the memory for `model` once `victim` is unloaded.
    pub(crate) fn fits_after_eviction(
        &self,
        engine: &EngineState,
        victim: &Name,
        model: &Name,
    ) -> bool {
        let victim_mb = self.size_mb(victim);
        let freed_mb = if victim_mb.is_finite() {
            victim_mb
        } else {
            0.0
        };
        engine.free_mb(self.spec) + freed_mb >= self.size_mb(model)
    }

    /// Cost of evicting `victim`, in milliseconds of work a second: the work of each remaining
    /// copy of the victim afterwards, or the work of the engine with `added_work` in place of
    /// the victim's, whichever is larger.
    fn eviction_cost(&self, engine: &EngineState, victim: &Name, added_work: f64) -> f64 {
        let work = self.planner.workload.of_model(victim);
        let copies = self.copy_count(victim);
        let work_per_remaining_copy = match copies {
            1 => LAST_COPY_COST_MS_PER_S,
            _ => work / self.remaining_speed(engine, victim),
        };
        let remaining_work = self.work_of_engine(engine) - self.work_per_copy(victim);
        work_per_remaining_copy.max(remaining_work + added_work)
    }

    /// Whether the copies of `victim` would have clearly less work without the one on `engine` than
    /// those of `model` have now. Without the margin, busy models take copies from one another in turn, as
    /// their measured work varies.
    fn is_less_needed(&self, engine: &EngineState, victim: &Name, model: &Name) -> bool {
        let work = |model: &Name| self.planner.workload.of_model(model);
        let remaining = self.remaining_speed(engine, victim);
        self.copy_count(model) == 0
            || work(victim) / remaining <= self.work_per_copy(model) * IMPROVED_SHARE
    }

    /// Whether an engine may drop the last copy of a model: the model is idle, and the
    /// engine has its weights locally to load it again.
    fn can_drop_last_copy(&self, engine: &EngineState, model: &Name) -> bool {
        self.planner.workload.is_idle(self.now, model) && engine.has_local_weights(model)
    }

    /// Models of which the engine has the last copy and may not drop it.
    fn required_copies<'b>(&'b self, engine: &'b EngineState) -> impl Iterator<Item = &'b Name> {
        let models = engine.models.keys();
        models.filter(|model| {
            let is_last = self.copy_count(model) == 1 && engine.will_have_model(model);
            is_last && !self.can_drop_last_copy(engine, model)
        })
    }

    /// Takes the engine with the most required last copies, and loads a second copy of the one
    /// with the least work on an engine that has at least two fewer. This keeps memory on every
    /// engine that can be freed for a busy model.
    fn spread_last_copies(&mut self) {
        if self.open_order_count(Action::Load) > 1 || self.open_order_count(Action::Unload) > 0 {
            return;
        }
        let count = |engine: &EngineState| self.required_copies(engine).count();
        let Some(most) = self.serving_engines().max_by_key(|engine| count(engine)) else {
            return;
        };
        let most_count = count(most);
        let least_busy = self.required_copies(most).min_by(|one, other| {
            let work = &self.planner.workload;
            work.of_model(one).total_cmp(&work.of_model(other))
        });
        let Some(model) = least_busy.cloned() else {
            return;
        };
        let max_work = self
            .engine_work
            .values()
            .copied()
            .fold(0.0, f64::max)
            .max(BUSY_COPY_MS_PER_S);
        let has_fewer = |engine: &EngineState| count(engine) + 2 <= most_count;
        let destination = self.serving_engines().filter(|engine| {
            has_fewer(engine)
                && engine.can_take_order(self.now)
                && !engine.will_have_model(&model)
                && engine.free_mb(self.spec) >= self.size_mb(&model)
        });
        let destination = destination
            .min_by_key(|engine| count(engine))
            .map(|destination| destination.registration.id.clone());
        if let Some(name) = destination {
            if self.take_load_slot() {
                self.issue(&name, Action::Load, (&model, None), "level");
            }
            return;
        }
        let destinations: Vec<Name> = self
            .serving_engines()
            .filter(|engine| has_fewer(engine) && engine.can_take_order(self.now))
            .map(|engine| engine.registration.id.clone())
            .collect();
        self.evict_for_among(&model, max_work, Evictable::Redundant, Some(&destinations));
    }

    /// Loads each busy adapter on one more engine that has its base model.
    fn copy_busy_adapters(&mut self) {
        let mut load_count = 0;
        for (model, adapter, work) in self.planner.workload.busiest_adapters() {
            if work < BUSY_ADAPTER_MS_PER_S || load_count >= self.max_adapter_loads() {
                return;
            }
            let adapter_name = Some(&*adapter);
            let engines_with_adapter = self
                .serving_engines()
                .filter(|engine| engine.has_model(&model, adapter_name));
            let Some(least_work) = engines_with_adapter
                .map(|it| self.work_of_engine(it))
                .reduce(f64::min)
            else {
                continue;
            };
            let free = |engine: &&EngineState| {
                engine.can_take_order(self.now)
                    && engine.has_model(&model, None)
                    && !engine.has_model(&model, adapter_name)
                    && engine.adapter_count() < self.adapter_slots()
                    && self.work_of_engine(engine) <= least_work * IMPROVED_SHARE
            };
            let best = self.serving_engines().filter(free).min_by(|one, other| {
                self.work_of_engine(one)
                    .total_cmp(&self.work_of_engine(other))
            });
            if let Some(name) = best.map(|best| best.registration.id.clone()) {
                self.issue(
                    &name,
                    Action::Load,
                    (&model, Some(&adapter)),
                    "busy-adapter",
                );
                load_count += 1;
            }
        }
    }

    /// Loads adapters that are on no engine into free adapter slots, so that the first request
    /// for an adapter does not wait for a load.
    fn preload_adapters(&mut self) {
        let adapter_slots = self.adapter_slots();
        let has_free_slot = |engine: &EngineState| {
            engine.can_take_order(self.now) && engine.adapter_count() < adapter_slots
        };
        if !self.serving_engines().any(has_free_slot) {
            return;
        }
        let mut loaded: BTreeSet<(Name, Name)> = BTreeSet::new();
        for engine in self.serving_engines() {
            for (model, adapters) in &engine.models {
                loaded.extend(
                    adapters
                        .iter()
                        .map(|adapter| (model.clone(), adapter.clone())),
                );
            }
        }
        let mut load_count = 0;
        for model in &self.spec.models {
            for adapter in 1..=model.adapter_count {
                let key = (model.name.clone(), Name::from(format!("a{adapter}")));
                if loaded.contains(&key) {
                    continue;
                }
                load_count += usize::from(self.preload_adapter(&key.0, &key.1));
                if load_count >= self.max_adapter_loads() {
                    return;
                }
            }
        }
    }

    /// Loads an adapter on the engine with the fewest adapters among those that have its base
    /// model and a free slot. Returns false if there is no such engine.
    fn preload_adapter(&mut self, model: &Name, adapter: &Name) -> bool {
        let free = |engine: &&EngineState| {
            engine.can_take_order(self.now)
                && engine.has_model(model, None)
                && engine.adapter_count() < self.adapter_slots()
        };
        let best = self
            .serving_engines()
            .filter(free)
            .min_by_key(|engine| engine.adapter_count());
        let Some(name) = best.map(|best| best.registration.id.clone()) else {
            return false;
        };
        self.issue(&name, Action::Load, (model, Some(adapter)), "preload");
        true
    }

    fn adapter_slots(&self) -> usize {
        usize::try_from(self.spec.adapter_slots).unwrap_or(usize::MAX)
    }

    /// The earliest of the times at which each adapter of the engine was last requested.
    fn oldest_adapter_request(&self, engine: &EngineState) -> Time {
        let loaded = engine.models.iter().flat_map(|(loaded_model, adapters)| {
            adapters
                .iter()
                .map(move |adapter| (loaded_model.clone(), Some(adapter.clone())))
        });
        let last_requests = loaded.map(|key| self.planner.workload.last_request(&key));
        last_requests.min().unwrap_or(Time::ZERO)
    }

    /// Loads an adapter on the engine with the least work among those with its base model. If
    /// all adapter slots of these engines are used, unloads instead the adapter that has not
    /// been requested for the longest time.
    pub fn load_adapter(mut self, model: &Name, adapter: &Name) {
        let free = |engine: &&EngineState| {
            engine.can_take_order(self.now) && engine.has_model(model, None)
        };
        let best = self.serving_engines().filter(free).min_by(|one, other| {
            let is_full = |engine: &EngineState| engine.adapter_count() >= self.adapter_slots();
            let by_work = self
                .work_of_engine(one)
                .total_cmp(&self.work_of_engine(other));
            let by_oldest_request = self
                .oldest_adapter_request(one)
                .cmp(&self.oldest_adapter_request(other));
            let free_slots_first = is_full(one).cmp(&is_full(other));
            free_slots_first.then(if is_full(one) {
                by_oldest_request
            } else {
                by_work
            })
        });
        let Some(best) = best else {
            return;
        };
        let name = best.registration.id.clone();
        if best.adapter_count() < self.adapter_slots() {
            self.issue(&name, Action::Load, (model, Some(adapter)), "adapter");
            return;
        }
        let loaded = best.models.iter().flat_map(|(loaded_model, adapters)| {
            adapters
                .iter()
                .map(move |adapter| (loaded_model.clone(), Some(adapter.clone())))
        });
        let victim = loaded.min_by_key(|key| self.planner.workload.last_request(key));
        if let Some((victim_model, victim)) = victim {
            self.issue(
                &name,
                Action::Unload,
                (&victim_model, victim.as_ref()),
                "adapter-places",
            );
        }
    }

    /// Records a new order and adds it to the orders of this plan.
    pub(crate) fn issue(
        &mut self,
        engine: &Name,
        action: Action,
        target: (&Name, Option<&Name>),
        reason: &'static str,
    ) {
        let order = self
            .planner
            .record_order(self.now, engine, action, target, reason);
        self.orders.push(order);
    }
}
