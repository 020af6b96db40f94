//! A small site of model engines that carry out orders at once or as they are told.

use mulberryrack_core::{Name, Time};
use mulberryrack_fleet::{Demand, Planner, Wish};
use mulberryrack_site::{
    Config, Upstream,
    config::{EngineSpec, Limits, Model, Service},
    order::{Action, OrderOutcome},
    upstream::{LoadedModel, Report, State},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

pub const WEIGHTS_MB: f64 = 70_000.0;
pub const PLACES: u32 = 8;

/// An engine that holds models, each with adapters.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    pub models: BTreeMap<Name, BTreeSet<Name>>,
    /// Models whose weights it can load without the weight store.
    pub disk: BTreeSet<Name>,
    pub orders: u64,
    pub born: u64,
    pub writes: u64,
}

/// Engines, and a planner that looks after them.
pub struct Site {
    pub planner: Planner,
    pub engines: BTreeMap<Name, Fake>,
    pub now: Time,
    /// Orders given, in order.
    pub given: Vec<Wish>,
}

pub fn name(text: &str) -> Name {
    text.into()
}

pub fn config(models: usize, adapter_count: u32) -> Config {
    let model = |index: usize| Model {
        name: format!("m{index}").into(),
        weights_mb: WEIGHTS_MB,
        load_time: Duration::from_secs(4),
        adapter_count,
        adapter_mb: 50.0,
    };
    let engine = EngineSpec {
        weights_mb: 220_000.0,
        adapter_slots: PLACES,
        loads_per_s: 1.4,
        models: (0..models).map(model).collect(),
    };
    Config {
        version: 1,
        routes: Vec::new(),
        services: vec![Service {
            name: name("llm"),
            max_connections: 100,
            engine: Some(engine),
        }],
        limits: Limits {
            max_head_bytes: 16_384,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

fn held(fake: &Fake) -> Vec<LoadedModel> {
    let models = fake.models.iter().map(|(model, adapters)| LoadedModel {
        model: model.clone(),
        adapters: adapters.iter().cloned().collect(),
    });
    models.collect()
}

pub fn entry(id: &Name, fake: &Fake) -> Upstream {
    Upstream {
        id: id.clone(),
        started_ms: fake.born,
        service: name("llm"),
        sequence: fake.writes,
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: name("a"),
        slots: 64,
        state: State::Ready,
        models: held(fake),
        local_weights: fake.disk.iter().cloned().collect(),
    }
}

impl Site {
    /// Engines with these models each, known to the planner.
    pub fn new(models: usize, adapter_count: u32, placed: &[&[usize]]) -> Self {
        let mut planner = Planner::new(Duration::from_secs(5));
        planner.configure(Arc::new(config(models, adapter_count)));
        let mut site = Self {
            planner,
            engines: BTreeMap::new(),
            now: Time::from_millis(20_000),
            given: Vec::new(),
        };
        for (index, held) in placed.iter().enumerate() {
            let models = held
                .iter()
                .map(|model| (format!("m{model}").into(), BTreeSet::new()));
            let fake = Fake {
                models: models.collect(),
                ..Fake::default()
            };
            site.engines.insert(format!("e{index:02}").into(), fake);
        }
        site.tell();
        site
    }

    /// Lets engines keep the weights of what they hold.
    pub fn with_disks(mut self) -> Self {
        for fake in self.engines.values_mut() {
            fake.disk.extend(fake.models.keys().cloned());
        }
        self.tell();
        self
    }

    /// Tells the planner what the engines hold.
    pub fn tell(&mut self) {
        for (id, fake) in &self.engines {
            self.planner.list(self.now, entry(id, fake));
            self.planner.report(self.now, id, &self.report(id));
        }
    }

    pub fn report(&self, id: &Name) -> Report {
        let fake = &self.engines[id];
        Report {
            started_ms: fake.born,
            models: held(fake),
            accepted_orders: fake.orders,
            ..Report::default()
        }
    }

    /// Plans once and carries all orders out at once.
    pub fn step(&mut self) {
        self.now = self.now + Duration::from_millis(500);
        for wish in self.planner.plan(self.now) {
            self.carry_out(&wish);
            self.planner
                .answered(self.now, &wish.engine, OrderOutcome::Accepted);
            self.given.push(wish);
        }
        self.now = self.now + Duration::from_millis(500);
        self.tell();
    }

    pub fn carry_out(&mut self, wish: &Wish) {
        let fake = self.engines.get_mut(&wish.engine).expect("a known engine");
        assert_eq!(
            fake.orders, wish.after,
            "the order bears the engine's count"
        );
        fake.orders += 1;
        match (wish.action, &wish.adapter) {
            (Action::Load, None) => drop(fake.models.insert(wish.model.clone(), BTreeSet::new())),
            (Action::Unload, None) => drop(fake.models.remove(&wish.model)),
            (action, Some(adapter)) => {
                let adapters = fake
                    .models
                    .get_mut(&wish.model)
                    .expect("its model is there");
                match action {
                    Action::Load => adapters.insert(adapter.clone()),
                    Action::Unload => adapters.remove(adapter),
                };
            }
        }
        self.check_room();
    }

    /// No engine is ever given more than it holds.
    pub fn check_room(&self) {
        for (id, fake) in &self.engines {
            assert!(
                fake.models.len() <= 3,
                "{id} holds {:?}",
                fake.models.keys()
            );
            let adapters: usize = fake.models.values().map(BTreeSet::len).sum();
            assert!(
                adapters <= PLACES as usize,
                "{id} holds {adapters} adapters"
            );
        }
    }

    /// Tells of a second's demand for a model.
    pub fn demand(&mut self, model: &str, adapter: Option<&str>, work_ms: f64) {
        let demand = Demand {
            model: name(model),
            adapter: adapter.map(name),
            work_ms,
        };
        self.planner.demand(self.now, &demand);
    }

    pub fn copies(&self, model: &str) -> usize {
        let all = self.engines.values();
        all.filter(|fake| fake.models.contains_key(model)).count()
    }

    pub fn only_copies(&self, engine: &str) -> usize {
        let models = self.engines[engine].models.keys();
        models.filter(|model| self.copies(model) == 1).count()
    }
}
