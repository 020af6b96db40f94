//! Which engines models and adapters are loaded on and evicted from.

mod common;

use common::{Deployment, name, registration};
use mulberryrack_core::Name;
use mulberryrack_site::{
    order::{Action, OrderOutcome},
    upstream::Report,
};
use std::time::Duration;

/// Four engines; m0 is on three of them, all other models are on one.
const SKEWED: [&[usize]; 4] = [&[0, 1, 2], &[0, 3], &[0], &[4, 5, 6]];

#[test]
fn a_model_on_no_engine_is_loaded() {
    let mut deployment = Deployment::new(8, 0, &SKEWED);
    deployment.run_cycle();
    assert_eq!(deployment.copies("m7"), 1);
}

#[test]
fn models_of_an_engine_that_restarts_empty_are_loaded_again() {
    let mut deployment = Deployment::new(7, 0, &SKEWED);
    let engine = deployment.engines.get_mut("e03").expect("an engine");
    engine.models.clear();
    (engine.accepted_orders, engine.started_ms) = (0, 5);
    deployment.report_all();
    for _ in 0..12 {
        deployment.run_cycle();
    }
    for model in ["m4", "m5", "m6"] {
        assert_eq!(deployment.copies(model), 1, "{model}");
    }
}

#[test]
fn a_busy_model_gets_more_copies_and_no_model_loses_its_last_copy() {
    let mut deployment = Deployment::new(7, 0, &SKEWED);
    for _ in 0..20 {
        deployment.record_demand("m3", None, 700.0);
        deployment.run_cycle();
        for model in 0..7 {
            assert!(
                deployment.copies(&format!("m{model}")) >= 1,
                "m{model} has no copy"
            );
        }
    }
    assert!(
        deployment.copies("m3") >= 3,
        "copies: {}",
        deployment.copies("m3")
    );
}

/// Two engines without free memory, after demand that overloads m0 and little demand for
/// the models in `requested`.
fn with_overloaded_m0(requested: &[&str]) -> Deployment {
    let mut deployment = Deployment::new(6, 0, &[&[0, 1, 2], &[3, 4, 5]]).with_local_weights();
    for _ in 0..15 {
        deployment.record_demand("m0", None, 900.0);
        for model in requested {
            deployment.record_demand(model, None, 20.0);
        }
        deployment.run_cycle();
    }
    deployment
}

#[test]
fn an_idle_model_is_evicted_for_an_overloaded_one_and_loaded_again_on_request() {
    let mut deployment = with_overloaded_m0(&["m1", "m2", "m3"]);
    assert_eq!(deployment.copies("m0"), 2, "{:?}", deployment.engines);
    let evicted = ["m4", "m5"].map(name);
    let evicted = evicted.iter().find(|model| deployment.copies(model) == 0);
    let evicted = evicted.expect("one of the idle models was evicted").clone();
    for _ in 0..4 {
        deployment.record_demand("m0", None, 900.0);
        if let Err(Some(order)) = deployment
            .planner
            .locate_or_load(deployment.now, &evicted, None)
        {
            deployment.carry_out(&order);
            let accepted = OrderOutcome::Accepted;
            deployment
                .planner
                .record_outcome(deployment.now, &order.engine, accepted);
        }
        deployment.report_all();
    }
    assert_eq!(deployment.copies(&evicted), 1, "{:?}", deployment.engines);
    let placed = deployment
        .planner
        .locate_or_load(deployment.now, &evicted, None);
    assert_eq!(placed, Ok(vec![name("e01")]));
}

#[test]
fn the_last_copy_of_a_requested_model_is_not_evicted_for_an_overloaded_one() {
    let deployment = with_overloaded_m0(&["m1", "m2", "m3", "m4", "m5"]);
    for model in 0..6 {
        assert_eq!(deployment.copies(&format!("m{model}")), 1, "m{model}");
    }
}

#[test]
fn an_evicted_idle_model_is_loaded_again_when_there_is_memory() {
    let mut deployment = with_overloaded_m0(&["m1", "m2", "m3"]);
    for _ in 0..25 {
        deployment.run_cycle();
    }
    for model in 0..6 {
        assert!(deployment.copies(&format!("m{model}")) >= 1, "m{model}");
    }
}

#[test]
fn last_copies_are_spread_so_that_every_engine_has_evictable_memory() {
    let placed: [&[usize]; 4] = [&[1, 2, 3], &[4, 5, 6], &[0], &[0]];
    let mut deployment = Deployment::new(7, 0, &placed);
    for _ in 0..20 {
        deployment.run_cycle();
    }
    for engine in ["e00", "e01", "e02", "e03"] {
        assert!(
            deployment.last_copies(engine) <= 2,
            "{engine}: {:?}",
            deployment.engines
        );
    }
}

#[test]
fn redundant_copies_are_evicted_to_spread_last_copies() {
    let placed: [&[usize]; 4] = [&[1, 2, 3], &[0, 7, 8], &[0, 7, 8], &[0, 7, 8]];
    let mut deployment = Deployment::new(9, 0, &placed);
    for _ in 0..20 {
        deployment.run_cycle();
    }
    assert!(
        deployment.last_copies("e00") <= 2,
        "{:?}",
        deployment.engines
    );
}

#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let placed: [&[usize]; 12] = [&[]; 12];
    let mut deployment = Deployment::new(30, 0, &placed);
    let mut times = Vec::new();
    for _ in 0..40 {
        let before = deployment.issued.len();
        deployment.run_cycle();
        let loads = deployment.issued[before..]
            .iter()
            .filter(|order| order.action == Action::Load);
        times.extend(loads.map(|_| deployment.now));
    }
    assert_eq!(times.len(), 30, "every model is loaded once");
    for (index, time) in times.iter().enumerate() {
        let window = times[index..]
            .iter()
            .filter(|other| **other - *time < Duration::from_secs(5));
        // The limit is 1.4 loads a second for five seconds, times 1.1, plus three.
        assert!(window.count() <= 10);
    }
}

#[test]
fn a_requested_adapter_is_loaded_and_another_evicted_if_all_slots_are_used() {
    let mut deployment = Deployment::new(2, 20, &[&[0, 1]]);
    for _ in 0..20 {
        deployment.run_cycle();
    }
    let loaded_adapters = &deployment.engines["e00"].models["m1"];
    let adapter = (1..=20)
        .map(|index| name(&format!("a{index}")))
        .find(|adapter| !loaded_adapters.contains(adapter))
        .expect("there are more adapters than slots");
    for _ in 0..4 {
        deployment.now = deployment.now + Duration::from_secs(1);
        deployment.report_all();
        match deployment
            .planner
            .locate_or_load(deployment.now, &name("m1"), Some(&adapter))
        {
            Ok(engines) => return assert_eq!(engines, [name("e00")]),
            Err(Some(order)) => {
                deployment.carry_out(&order);
                // An adapter that no request uses is unloaded before the answer arrives.
                let done = match order.action {
                    Action::Load => OrderOutcome::Accepted,
                    Action::Unload => OrderOutcome::AlreadyDone,
                };
                deployment
                    .planner
                    .record_outcome(deployment.now, &order.engine, done);
            }
            Err(None) => {}
        }
    }
    panic!("the adapter was not loaded");
}

#[test]
fn adapters_being_loaded_occupy_slots() {
    let mut deployment = Deployment::new(1, 20, &[&[0]]);
    let engine = name("e00");
    for _ in 0..30 {
        deployment.now = deployment.now + Duration::from_millis(300);
        for order in deployment.planner.plan(deployment.now) {
            deployment.carry_out(&order);
            deployment.planner.record_outcome(
                deployment.now,
                &order.engine,
                OrderOutcome::Accepted,
            );
        }
        // The engine has accepted all adapter loads, and none is complete.
        let mut report = deployment.report(&engine);
        let adapters = report.models[0].adapters.drain(..);
        report.incoming_adapters = adapters.map(|adapter| (name("m0"), adapter)).collect();
        deployment
            .planner
            .record_report(deployment.now, &engine, &report);
    }
    assert_eq!(deployment.engines[&engine].models["m0"].len(), 8);
}

#[test]
fn an_adapter_in_use_occupies_its_slot_until_the_engine_reports_it_gone() {
    let mut deployment = Deployment::new(1, 20, &[&[0]]);
    for _ in 0..12 {
        deployment.run_cycle();
    }
    let engine = name("e00");
    let before = deployment.engines[&engine].models["m0"].len();
    assert_eq!(before, 8);
    let wanted = name("a20");
    let unload = deployment
        .planner
        .locate_or_load(deployment.now, &name("m0"), Some(&wanted))
        .expect_err("no engine has the adapter");
    assert_eq!(
        unload.expect("another adapter is unloaded").action,
        Action::Unload
    );
    // The adapter is in use: the engine accepts the order and unloads it later.
    deployment
        .planner
        .record_outcome(deployment.now, &engine, OrderOutcome::Accepted);
    let next = deployment
        .planner
        .locate_or_load(deployment.now, &name("m0"), Some(&wanted));
    assert_eq!(next, Err(None), "the slot is not free yet");
}

#[test]
fn an_engine_busy_with_an_order_of_another_host_gets_no_order() {
    let mut deployment = Deployment::new(4, 0, &[&[0, 1]]);
    deployment.planner.take_over(deployment.now);
    let engine = name("e00");
    // A load ordered by the previous planner is running; its model is not reported yet.
    let busy_report = Report {
        busy: true,
        accepted_orders: 1,
        ..deployment.report(&engine)
    };
    for _ in 0..10 {
        deployment.now = deployment.now + Duration::from_secs(1);
        deployment
            .planner
            .record_report(deployment.now, &engine, &busy_report);
        for _ in 0..4 {
            deployment.now = deployment.now + Duration::from_millis(300);
            assert!(
                deployment.planner.plan(deployment.now).is_empty(),
                "its memory may be in use"
            );
            assert_eq!(
                deployment.planner.engines_to_query(deployment.now).count(),
                1,
                "it is asked for a report again"
            );
        }
    }
}

#[test]
fn an_older_registration_does_not_free_memory() {
    let mut deployment = Deployment::new(5, 0, &[&[0], &[4], &[1, 2, 3]]);
    let engine = name("e00");
    let old = registration(&engine, &deployment.engines[&engine]);
    for _ in 0..12 {
        deployment
            .engines
            .values_mut()
            .for_each(|engine| engine.sequence += 1);
        deployment.run_cycle();
        // The old registration arrives late.
        deployment.planner.register(deployment.now, old.clone());
        deployment.record_demand("m4", None, 900.0);
    }
    deployment.check_capacity();
    assert!(
        deployment.copies("m4") >= 2,
        "the busy model gets another copy"
    );
}

#[test]
fn an_unanswered_order_stays_open_until_the_engine_reports() {
    let mut deployment = Deployment::new(4, 0, &[&[0, 1, 2]]);
    deployment
        .engines
        .insert(name("e01"), common::FakeEngine::default());
    deployment.report_all();
    deployment.now = deployment.now + Duration::from_secs(1);
    let first = deployment.planner.plan(deployment.now);
    let load = first
        .iter()
        .find(|order| order.model == name("m3"))
        .expect("m3 is on no engine")
        .clone();
    deployment
        .planner
        .record_outcome(deployment.now, &load.engine, OrderOutcome::Unanswered);
    assert!(
        deployment
            .planner
            .plan(deployment.now)
            .iter()
            .all(|order| order.model != name("m3"))
    );
    // The engine has no order to carry out and has accepted none, so the next order expects
    // the same number of accepted orders.
    deployment.now = deployment.now + Duration::from_secs(2);
    deployment
        .planner
        .record_report(deployment.now, &load.engine, &Report::default());
    let again = deployment.planner.plan(deployment.now);
    let again: Vec<&Name> = again.iter().map(|order| &order.model).collect();
    assert_eq!(again, [&name("m3")]);
}

#[test]
fn a_planner_that_takes_over_gives_no_orders_before_engines_have_reported() {
    let mut deployment = Deployment::new(8, 0, &SKEWED);
    deployment.planner.take_over(deployment.now);
    assert!(deployment.planner.plan(deployment.now).is_empty());
    assert_eq!(
        deployment.planner.engines_to_query(deployment.now).count(),
        4
    );
    deployment.report_all();
    deployment.now = deployment.now + Duration::from_secs(6);
    assert!(!deployment.planner.plan(deployment.now).is_empty());
}

#[test]
fn the_only_copies_of_an_engine_that_says_that_it_leaves_are_loaded_elsewhere() {
    let mut deployment = Deployment::new(7, 0, &[&[0, 1], &[0, 3], &[2], &[4, 5, 6]]);
    deployment.planner.record_leaving("e03", 0);
    for _ in 0..12 {
        deployment.run_cycle();
    }
    let leaving = name("e03");
    for model in ["m4", "m5", "m6"] {
        let elsewhere = deployment
            .engines
            .iter()
            .filter(|(id, engine)| **id != leaving && engine.models.contains_key(model));
        assert!(elsewhere.count() >= 1, "{model}");
    }
    let mut ordered = deployment.issued.iter();
    assert!(ordered.all(|order| order.engine != leaving));
}
