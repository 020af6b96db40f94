//! A small site: a service of model engines and a plain one.

use mulberryrack_core::Time;
use mulberryrack_gate::{Gate, Pass, Step, Target, Tuning};
use mulberryrack_site::{
    Ask, Config, Upstream,
    config::{Engine, Limits, Model, Repeat, Route, Service},
    request::{Generation, Part},
    upstream::{Held, State},
};
use std::{sync::Arc, time::Duration};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn route(prefix: &str, repeat: Repeat, streaming: bool, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        repeat,
        streaming,
        timeout: ms(5_000),
        objective: ms(1_000),
        gap: streaming.then(|| ms(600)),
        priority: 1,
        targets: vec![(service.into(), 1)],
        max_attempts: 2,
    }
}

pub fn config(version: u64) -> Config {
    let model = |name: &str| Model {
        name: name.into(),
        weights_mb: 70_000.0,
        load: ms(4_000),
        adapters: 4,
        adapter_mb: 50.0,
    };
    let engine = Engine {
        weights_mb: 220_000.0,
        adapter_places: 8,
        loads_per_s: 1.4,
        models: ["m0", "m1", "m2"].map(model).into(),
    };
    let service = |name: &str, engine| Service {
        name: name.into(),
        max_connections: 100,
        engine,
    };
    Config {
        version,
        routes: vec![
            Arc::new(route("/stream/", Repeat::Resumable, true, "llm")),
            Arc::new(route("/nudge/", Repeat::Once, true, "llm")),
            Arc::new(route("/book/", Repeat::Once, false, "desk")),
            Arc::new(route("/look/", Repeat::Idempotent, false, "desk")),
            Arc::new(route("/look/deep/", Repeat::Idempotent, false, "llm")),
        ],
        services: vec![service("llm", Some(engine)), service("desk", None)],
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
    }
}

pub fn upstream(id: &str, service: &str, models: &[&str]) -> Upstream {
    let held = models.iter().map(|model| Held {
        model: (*model).into(),
        adapters: Vec::new(),
    });
    Upstream {
        id: id.into(),
        born: 1,
        service: service.into(),
        writes: 1,
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        slots: 64,
        state: State::Ready,
        models: held.collect(),
        at_hand: Vec::new(),
    }
}

/// A gate with two engines that hold m0, one that holds m1, and two desks.
pub fn gate() -> Gate {
    let mut gate = Gate::new(Tuning::default(), 7);
    gate.configure(Arc::new(config(1)));
    gate.set_planned(true);
    for (id, models) in [("e0", ["m0"]), ("e1", ["m0"]), ("e2", ["m1"])] {
        gate.list(upstream(id, "llm", &models));
    }
    gate.list(upstream("d0", "desk", &[]));
    gate.list(upstream("d1", "desk", &[]));
    gate
}

pub fn generation(model: &str, session: u64, tokens: u32) -> Generation {
    Generation {
        model: model.into(),
        adapter: None,
        prompt_tokens: tokens,
        output_tokens: 50,
        parts: vec![Part {
            id: session,
            tokens,
        }],
    }
}

pub fn ask(path: &str, generation: Option<Generation>) -> Ask {
    Ask {
        attempt: "r1".into(),
        host: "h".into(),
        path: path.into(),
        patience: Some(ms(4_000)),
        generation,
    }
}

/// Admits a request and takes its first step.
pub fn start(gate: &mut Gate, now: Time, ask: Ask) -> (Pass, Step) {
    let mut pass = gate.admit(now, ask).expect("a route matches");
    let step = gate.step(now, &mut pass, None);
    (pass, step)
}

pub fn target(step: Step) -> Target {
    match step {
        Step::Send(target) => target,
        other => panic!("not sent: {other:?}"),
    }
}
