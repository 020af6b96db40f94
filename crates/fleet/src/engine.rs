//! What one engine holds, and what may still arrive there.

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

/// Longest time after which an order without an answer is carried out.
const LATE_ORDER: Duration = Duration::from_secs(13);
/// Time after which an engine is asked again although nothing is known to have changed.
const TOLD_EVERY: Duration = Duration::from_secs(10);
/// Time for which the list's or a report's word is older than an accepted order.
const WORD_LAG: Duration = Duration::from_millis(2_500);
/// Pause after an engine was found busy with another order; an adapter takes milliseconds.
const CONFLICT_PAUSE: Duration = Duration::from_millis(200);
/// Time after which an engine's report tells of an order that it was sent; reports are
/// some hundred milliseconds old.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(1_200);
/// Pause after an engine could not be reached or did not understand.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// An order that was sent and is not seen to be done.
#[derive(Clone, Debug, PartialEq)]
pub struct Open {
    pub action: Action,
    pub model: Name,
    pub adapter: Option<Name>,
    /// Orders that the engine had accepted before, by which a late one is refused.
    pub after: u64,
    pub sent: Time,
    /// What the engine said; `None` while no answer has come.
    pub verdict: Option<OrderOutcome>,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Account {
    pub entry: Upstream,
    pub listed: bool,
    /// Adapters in memory by model, as last told.
    pub models: BTreeMap<Name, Vec<Name>>,
    /// Models that may take memory: those that were ever told of or ordered, until a
    /// report of an engine at rest shows that they are gone.
    room: BTreeSet<Name>,
    /// Orders that it is believed to have accepted in this life; `None` until it has told.
    pub orders: Option<u64>,
    /// Invariant: at most one order is open.
    pub open: Option<Open>,
    /// Whether it carries out an order, as last told; it may be another host's.
    busy: bool,
    /// When it told last what it holds.
    told: Option<Time>,
    /// Until when a conflict keeps it from new orders.
    pub blocked_until: Time,
    /// When models were first seen here.
    arrivals: BTreeMap<Name, Time>,
    /// When orders were last known to have changed, by this host's own.
    settled: Time,
}

fn by_model(held: &[LoadedModel]) -> BTreeMap<Name, Vec<Name>> {
    held.iter()
        .map(|held| (held.model.clone(), held.adapters.clone()))
        .collect()
}

impl Account {
    pub fn new(entry: Upstream) -> Self {
        Self {
            models: by_model(&entry.models),
            room: entry.models.iter().map(|held| held.model.clone()).collect(),
            orders: None,
            entry,
            listed: true,
            open: None,
            busy: false,
            told: None,
            blocked_until: Time::ZERO,
            settled: Time::ZERO,
            arrivals: BTreeMap::new(),
        }
    }

    /// Whether it takes new work, and orders.
    pub fn serves(&self) -> bool {
        self.listed && self.entry.state == State::Ready
    }

    /// Whether it can load a model without the weight store.
    pub fn at_hand(&self, model: &Name) -> bool {
        self.entry.local_weights.contains(model)
    }

    /// When a model was first seen here; the start for one that always was.
    pub fn arrived(&self, model: &str) -> Time {
        self.arrivals.get(model).copied().unwrap_or(Time::ZERO)
    }

    /// Whether its own word is needed: an order is open or the count of orders unknown, or
    /// memory may be free that is not known to be.
    pub fn unsettled(&self, now: Time) -> bool {
        let old = self.told.is_none_or(|told| now.since(told) > TOLD_EVERY);
        let unknown = old || self.orders.is_none() || self.room.len() > self.models.len();
        self.open.is_some() || self.busy || (unknown && self.blocked_until <= now)
    }

    /// The model that it was ordered to load.
    pub fn coming(&self) -> Option<Name> {
        let open = self.open.as_ref()?;
        let load = open.adapter.is_none() && open.action == Action::Load;
        load.then(|| open.model.clone())
    }

    /// Whether it can be given an order.
    pub fn free(&self, now: Time) -> bool {
        let at_rest = self.open.is_none() && !self.busy;
        at_rest && self.orders.is_some() && self.blocked_until <= now
    }

    /// Forgets what another host's orders may have changed.
    pub fn doubt(&mut self) {
        self.open = None;
        self.orders = None;
        self.told = None;
        self.settled = Time::ZERO;
    }

    /// Takes its entry in the list over.
    pub fn list(&mut self, now: Time, entry: Upstream) {
        if self.listed && entry.older_than(&self.entry) {
            return;
        }
        if entry.started_ms != self.entry.started_ms || entry.address != self.entry.address {
            *self = Self::new(entry);
            return;
        }
        self.listed = true;
        let models = by_model(&entry.models);
        self.entry = entry;
        self.room.extend(models.keys().cloned());
        // Entries lag by seconds, or for as long as an engine does not reach the service:
        // once it has told itself what it holds, its own word goes first.
        if self.told.is_none() {
            self.models = models;
            self.close(now);
        }
    }

    /// Takes its own report over.
    pub fn report(&mut self, now: Time, report: &Report) {
        if report.started_ms != 0
            && self.entry.started_ms != 0
            && report.started_ms != self.entry.started_ms
        {
            return;
        }
        self.busy = report.busy;
        let older = self
            .orders
            .is_some_and(|known| report.accepted_orders < known);
        if older && now.since(self.settled) < WORD_LAG {
            return;
        }
        self.orders = Some(report.accepted_orders);
        self.told = Some(now);
        self.models = by_model(&report.models);
        for (model, adapter) in &report.incoming_adapters {
            // One on its way takes a place already.
            let adapters = self.models.entry(model.clone()).or_default();
            if !adapters.contains(adapter) {
                adapters.push(adapter.clone());
            }
        }
        self.close(now);
        self.drop_unanswered(now, report);
        self.room.extend(self.models.keys().cloned());
        if !report.busy && self.open.is_none() {
            self.room = self.models.keys().cloned().collect();
        }
    }

    /// Gives up an order without an answer that the engine has not accepted: the next
    /// one bears the same count, so the engine takes only one of the two.
    fn drop_unanswered(&mut self, now: Time, report: &Report) {
        let unanswered = self.open.as_ref().filter(|open| {
            open.verdict == Some(OrderOutcome::Unanswered)
                && now.since(open.sent) > UNANSWERED_PAUSE
        });
        if !report.busy && unanswered.is_some_and(|open| open.after == report.accepted_orders) {
            self.open = None;
        }
    }

    /// Ends the open order once it is done or can no longer be carried out.
    pub fn close(&mut self, now: Time) {
        let Some(open) = &self.open else {
            return;
        };
        let present = self.holds(&open.model, open.adapter.as_deref());
        let done = match open.action {
            Action::Load => present,
            Action::Unload => !present,
        };
        let unanswered = matches!(open.verdict, None | Some(OrderOutcome::Unanswered));
        // Another order was accepted in its place.
        let overtaken = unanswered && self.orders > Some(open.after + 1);
        if done && open.action == Action::Load && open.adapter.is_none() {
            self.arrivals.insert(open.model.clone(), now);
        }
        let open = self.open.as_ref().expect("looked at just now");
        if done || overtaken || now.since(open.sent) > LATE_ORDER {
            self.open = None;
        }
    }

    /// Whether it holds a model, with the adapter where one is given.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        self.models.get(model).is_some_and(|adapters| {
            adapter.is_none_or(|name| adapters.iter().any(|has| &**has == name))
        })
    }

    /// Whether a model is there and stays, or is on its way.
    pub fn counts(&self, model: &str) -> bool {
        let open = self.open.as_ref().filter(|open| open.adapter.is_none());
        match open.filter(|open| &*open.model == model) {
            Some(open) => open.action == Action::Load,
            None => self.holds(model, None),
        }
    }

    /// Models that are there and stay, or are on their way.
    pub fn counted(&self) -> impl Iterator<Item = &Name> {
        let held = self.models.keys().filter(|model| self.counts(model));
        let coming = self.open.as_ref().filter(|open| {
            let load = open.adapter.is_none() && open.action == Action::Load;
            load && !self.models.contains_key(&open.model)
        });
        held.chain(coming.map(|open| &open.model))
    }

    /// Takes an order that is about to be sent.
    pub fn send(&mut self, now: Time, action: Action, model: Name, adapter: Option<Name>) {
        let after = self.orders.unwrap_or(0);
        if action == Action::Load && adapter.is_none() {
            self.room.insert(model.clone());
        }
        self.open = Some(Open {
            action,
            model,
            adapter,
            after,
            sent: now,
            verdict: None,
        });
    }

    /// Takes the answer to the open order.
    pub fn answered(&mut self, now: Time, verdict: OrderOutcome) {
        let Some(open) = &mut self.open else {
            return;
        };
        open.verdict = Some(verdict);
        match verdict {
            OrderOutcome::Accepted => {
                self.orders = Some(open.after + 1);
                self.settled = now;
                self.assume(now);
            }
            OrderOutcome::AlreadyDone => {
                // An adapter that no request uses is dropped at once, which counts.
                if open.adapter.is_some() && open.action == Action::Unload {
                    self.orders = Some(open.after + 1);
                }
                self.assume(now);
            }
            OrderOutcome::Conflict => {
                self.open = None;
                self.orders = None;
                self.blocked_until = now + CONFLICT_PAUSE;
            }
            OrderOutcome::Fenced | OrderOutcome::Refused | OrderOutcome::NotSent => {
                self.open = None;
                self.blocked_until = now + REFUSED_PAUSE;
            }
            OrderOutcome::Unanswered => {}
        }
    }

    /// Takes over what the open order has brought about by its answer: an adapter that was
    /// accepted takes milliseconds and its place at once; one that is still in use when it
    /// is to go keeps its place until the engine tells that it is gone.
    fn assume(&mut self, now: Time) {
        let Some(open) = &self.open else {
            return;
        };
        let held = open.verdict == Some(OrderOutcome::AlreadyDone);
        let Some(adapter) = open.adapter.clone() else {
            if held {
                self.blocked_until = now + CONFLICT_PAUSE;
                self.open = None;
            }
            return;
        };
        let adapters = self.models.entry(open.model.clone()).or_default();
        match open.action {
            Action::Load => adapters.push(adapter),
            Action::Unload if held => adapters.retain(|name| *name != adapter),
            Action::Unload => return,
        }
        self.open = None;
        self.settled = now;
    }

    /// Megabytes that are free for weights, with room kept for all adapters.
    pub fn free_mb(&self, engine: &EngineSpec) -> f64 {
        let largest = engine.models.iter().map(|model| model.adapter_mb);
        let adapters = f64::from(engine.adapter_slots) * largest.fold(0.0, f64::max);
        let size = |name: &Name| {
            engine
                .model(name)
                .map_or(engine.weights_mb, |it| it.weights_mb)
        };
        let held: f64 = self.room.iter().map(size).sum();
        engine.weights_mb - adapters - held
    }

    /// Adapters that it holds.
    pub fn adapters(&self) -> usize {
        self.models.values().map(Vec::len).sum()
    }
}
