//! Where models and adapters are brought to.

mod common;

use common::{Site, entry, name};
use mulberryrack_core::Name;
use mulberryrack_site::{
    order::{Action, OrderOutcome},
    upstream::Report,
};
use std::time::Duration;

/// Four engines; m0 on three of them, all other models once.
const SKEWED: [&[usize]; 4] = [&[0, 1, 2], &[0, 3], &[0], &[4, 5, 6]];

#[test]
fn a_model_that_is_nowhere_is_loaded() {
    let mut site = Site::new(8, 0, &SKEWED);
    site.step();
    assert_eq!(site.copies("m7"), 1);
}

#[test]
fn an_engine_that_starts_again_empty_is_filled() {
    let mut site = Site::new(7, 0, &SKEWED);
    let fake = site.engines.get_mut("e03").expect("an engine");
    fake.models.clear();
    (fake.orders, fake.born) = (0, 5);
    site.tell();
    for _ in 0..12 {
        site.step();
    }
    for model in ["m4", "m5", "m6"] {
        assert_eq!(site.copies(model), 1, "{model}");
    }
}

#[test]
fn a_busy_model_gets_copies_and_no_model_loses_its_last() {
    let mut site = Site::new(7, 0, &SKEWED);
    for _ in 0..20 {
        site.demand("m3", None, 700.0);
        site.step();
        for model in 0..7 {
            assert!(site.copies(&format!("m{model}")) >= 1, "m{model} is gone");
        }
    }
    assert!(site.copies("m3") >= 3, "copies: {}", site.copies("m3"));
}

/// Two engines full of models of which m0 is crowded, and which models had demand.
fn crowded(asked: &[&str]) -> Site {
    let mut site = Site::new(6, 0, &[&[0, 1, 2], &[3, 4, 5]]).with_disks();
    for _ in 0..15 {
        site.demand("m0", None, 900.0);
        for model in asked {
            site.demand(model, None, 20.0);
        }
        site.step();
    }
    site
}

#[test]
fn an_idle_model_makes_way_for_a_crowded_one_and_comes_back_when_it_is_asked_for() {
    let mut site = crowded(&["m1", "m2", "m3"]);
    assert_eq!(site.copies("m0"), 2, "{:?}", site.engines);
    let gone = ["m4", "m5"].map(name);
    let gone = gone.iter().find(|model| site.copies(model) == 0);
    let gone = gone.expect("one of the idle models made way").clone();
    for _ in 0..4 {
        site.demand("m0", None, 900.0);
        if let Err(Some(wish)) = site.planner.place(site.now, &gone, None) {
            site.carry_out(&wish);
            let accepted = OrderOutcome::Accepted;
            site.planner.answered(site.now, &wish.engine, accepted);
        }
        site.tell();
    }
    assert_eq!(site.copies(&gone), 1, "{:?}", site.engines);
    let placed = site.planner.place(site.now, &gone, None);
    assert_eq!(placed, Ok(vec![name("e01")]));
}

#[test]
fn a_model_that_is_asked_for_keeps_its_last_copy_beside_a_crowded_one() {
    let site = crowded(&["m1", "m2", "m3", "m4", "m5"]);
    for model in 0..6 {
        assert_eq!(site.copies(&format!("m{model}")), 1, "m{model}");
    }
}

#[test]
fn an_idle_model_that_made_way_returns_to_free_room() {
    let mut site = crowded(&["m1", "m2", "m3"]);
    for _ in 0..25 {
        site.step();
    }
    for model in 0..6 {
        assert!(site.copies(&format!("m{model}")) >= 1, "m{model}");
    }
}

#[test]
fn only_copies_are_spread_so_that_every_engine_can_help() {
    let placed: [&[usize]; 4] = [&[1, 2, 3], &[4, 5, 6], &[0], &[0]];
    let mut site = Site::new(7, 0, &placed);
    for _ in 0..20 {
        site.step();
    }
    for engine in ["e00", "e01", "e02", "e03"] {
        assert!(
            site.only_copies(engine) <= 2,
            "{engine}: {:?}",
            site.engines
        );
    }
}

#[test]
fn replicas_make_way_for_only_copies_of_a_crowded_engine() {
    let placed: [&[usize]; 4] = [&[1, 2, 3], &[0, 7, 8], &[0, 7, 8], &[0, 7, 8]];
    let mut site = Site::new(9, 0, &placed);
    for _ in 0..20 {
        site.step();
    }
    assert!(site.only_copies("e00") <= 2, "{:?}", site.engines);
}

#[test]
fn loads_stay_within_the_weight_stores_rate() {
    let placed: [&[usize]; 12] = [&[]; 12];
    let mut site = Site::new(30, 0, &placed);
    let mut times = Vec::new();
    for _ in 0..40 {
        let before = site.given.len();
        site.step();
        let loads = site.given[before..]
            .iter()
            .filter(|wish| wish.action == Action::Load);
        times.extend(loads.map(|_| site.now));
    }
    assert_eq!(times.len(), 30, "every model is loaded once");
    for (index, time) in times.iter().enumerate() {
        let window = times[index..]
            .iter()
            .filter(|other| **other - *time < Duration::from_secs(5));
        // 1.4 a second over five seconds, times 1.1, and three.
        assert!(window.count() <= 10);
    }
}

#[test]
fn an_adapter_is_brought_to_its_model_and_makes_way_when_places_are_full() {
    let mut site = Site::new(2, 20, &[&[0, 1]]);
    for _ in 0..20 {
        site.step();
    }
    let held = &site.engines["e00"].models["m1"];
    let adapter = (1..=20)
        .map(|index| name(&format!("a{index}")))
        .find(|adapter| !held.contains(adapter))
        .expect("not all adapters have a place");
    for _ in 0..4 {
        site.now = site.now + Duration::from_secs(1);
        site.tell();
        match site.planner.place(site.now, &name("m1"), Some(&adapter)) {
            Ok(engines) => return assert_eq!(engines, [name("e00")]),
            Err(Some(wish)) => {
                site.carry_out(&wish);
                // An adapter that nobody uses is gone when the answer comes.
                let done = match wish.action {
                    Action::Load => OrderOutcome::Accepted,
                    Action::Unload => OrderOutcome::AlreadyDone,
                };
                site.planner.answered(site.now, &wish.engine, done);
            }
            Err(None) => {}
        }
    }
    panic!("the adapter was not placed");
}

#[test]
fn adapters_on_their_way_take_places() {
    let mut site = Site::new(1, 20, &[&[0]]);
    let engine = name("e00");
    for _ in 0..30 {
        site.now = site.now + Duration::from_millis(300);
        for wish in site.planner.plan(site.now) {
            site.carry_out(&wish);
            site.planner
                .answered(site.now, &wish.engine, OrderOutcome::Accepted);
        }
        // It has accepted all adapters, and none has arrived.
        let mut report = site.report(&engine);
        let adapters = report.models[0].adapters.drain(..);
        report.incoming_adapters = adapters.map(|adapter| (name("m0"), adapter)).collect();
        site.planner.report(site.now, &engine, &report);
    }
    assert_eq!(site.engines[&engine].models["m0"].len(), 8);
}

#[test]
fn an_adapter_in_use_keeps_its_place_until_the_engine_has_told() {
    let mut site = Site::new(1, 20, &[&[0]]);
    for _ in 0..12 {
        site.step();
    }
    let engine = name("e00");
    let before = site.engines[&engine].models["m0"].len();
    assert_eq!(before, 8);
    let wanted = name("a20");
    let unload = site
        .planner
        .place(site.now, &name("m0"), Some(&wanted))
        .expect_err("nowhere");
    assert_eq!(unload.expect("a place is made").action, Action::Unload);
    // The adapter is in use: the engine accepts the order and drops it later.
    site.planner
        .answered(site.now, &engine, OrderOutcome::Accepted);
    let next = site.planner.place(site.now, &name("m0"), Some(&wanted));
    assert_eq!(next, Err(None), "its place is not free yet");
}

#[test]
fn an_engine_that_carries_out_an_order_of_another_host_gets_none() {
    let mut site = Site::new(4, 0, &[&[0, 1]]);
    site.planner.take_over(site.now);
    let engine = name("e00");
    // A load of the host before is under way; its model is not listed yet.
    let busy = Report {
        busy: true,
        accepted_orders: 1,
        ..site.report(&engine)
    };
    for _ in 0..10 {
        site.now = site.now + Duration::from_secs(1);
        site.planner.report(site.now, &engine, &busy);
        for _ in 0..4 {
            site.now = site.now + Duration::from_millis(300);
            assert!(
                site.planner.plan(site.now).is_empty(),
                "its room may be taken"
            );
            assert_eq!(
                site.planner.unsettled(site.now).count(),
                1,
                "it is asked again"
            );
        }
    }
}

#[test]
fn an_older_entry_does_not_free_memory() {
    let mut site = Site::new(5, 0, &[&[0], &[4], &[1, 2, 3]]);
    let engine = name("e00");
    let old = entry(&engine, &site.engines[&engine]);
    for _ in 0..12 {
        site.engines.values_mut().for_each(|fake| fake.writes += 1);
        site.step();
        // It was on its way for long.
        site.planner.list(site.now, old.clone());
        site.demand("m4", None, 900.0);
    }
    site.check_room();
    assert!(
        site.copies("m4") >= 2,
        "the busy model is helped all the same"
    );
}

#[test]
fn an_order_without_an_answer_counts_until_the_engine_tells() {
    let mut site = Site::new(4, 0, &[&[0, 1, 2]]);
    site.engines.insert(name("e01"), common::Fake::default());
    site.tell();
    site.now = site.now + Duration::from_secs(1);
    let lost = site.planner.plan(site.now);
    let load = lost
        .iter()
        .find(|wish| wish.model == name("m3"))
        .expect("m3 is nowhere")
        .clone();
    site.planner
        .answered(site.now, &load.engine, OrderOutcome::Unanswered);
    assert!(
        site.planner
            .plan(site.now)
            .iter()
            .all(|wish| wish.model != name("m3"))
    );
    // The engine is at rest and has accepted nothing: the next order bears the same count.
    site.now = site.now + Duration::from_secs(2);
    site.planner
        .report(site.now, &load.engine, &Report::default());
    let again = site.planner.plan(site.now);
    let again: Vec<&Name> = again.iter().map(|wish| &wish.model).collect();
    assert_eq!(again, [&name("m3")]);
}

#[test]
fn a_planner_that_takes_over_orders_nothing_before_engines_have_told() {
    let mut site = Site::new(8, 0, &SKEWED);
    site.planner.take_over(site.now);
    assert!(site.planner.plan(site.now).is_empty());
    assert_eq!(site.planner.unsettled(site.now).count(), 4);
    site.tell();
    site.now = site.now + Duration::from_secs(6);
    assert!(!site.planner.plan(site.now).is_empty());
}
