//! Requests that crash every upstream that runs them, and innocents beside them.

mod common;

use common::{World, ms, row};
use mulberryrack_core::{
    note::Counter,
    outcome::{Outcome, Reason},
    request::Key,
};
use mulberryrack_table::Kind;

fn world(seed: u64) -> World {
    let mut draft = row("draft", Kind::Model);
    draft.repeatable = false;
    let rows = vec![
        row("alpha", Kind::Model),
        row("check", Kind::Service),
        draft,
    ];
    let mut world = World::new(seed, 3, rows);
    for index in 0..5 {
        world.engine(&format!("engine-{index}"), 20, &["alpha", "draft"]);
        world.service(&format!("check-{index}"), 20, "check");
    }
    for (name, target) in [("engine", "alpha"), ("check", "check"), ("engine", "draft")] {
        for index in 0..5 {
            let fake = world.fake(&format!("{name}-{index}"));
            fake.poison = Some("poison".into());
            // A failing stand-in shows as a crash within its own time.
            fake.first = ms(40);
        }
        for host in 0..3 {
            world.ask(host, target, &format!("{target} warm-up"));
        }
    }
    world.run(ms(2_000));
    world.told.clear();
    world
}

fn crashes(world: &World) -> u32 {
    world.upstreams.values().map(|fake| fake.crashes).sum()
}

/// Requests beside the poison, over all hosts.
fn innocents(world: &mut World, target: &str, round: usize) -> Vec<(usize, Key)> {
    (0..30)
        .map(|index| {
            world.ask(
                index % 3,
                target,
                &format!("{target} innocent {round} {index}"),
            )
        })
        .collect()
}

/// Restarts what has crashed after a while.
fn run(world: &mut World, span: u64) {
    for _ in 0..span / 500 {
        world.run(ms(500));
        let down: Vec<_> = world
            .upstreams
            .values()
            .filter(|fake| fake.mode == common::Mode::Down)
            .map(|fake| fake.name.clone())
            .collect();
        for name in down {
            world.restart(&name);
        }
    }
}

fn attack(seed: u64, target: &str) {
    let mut world = world(seed);
    let poison = format!("{target} poison");
    let mut beside = innocents(&mut world, target, 0);
    world.ask(0, target, &poison);
    run(&mut world, 1_500);
    for round in 1..8 {
        beside.extend(innocents(&mut world, target, round));
        world.order(round % 3, target, &poison, &format!("key-{round}"));
        run(&mut world, 1_500);
    }
    run(&mut world, 12_000);
    assert!(
        crashes(&world) <= 2,
        "seed {seed}: {} lost",
        crashes(&world)
    );
    assert!(crashes(&world) >= 1);
    for id in beside {
        assert_eq!(
            world.told[&id].reason(),
            None,
            "innocent refused, seed {seed}"
        );
        let counts: Vec<_> = world.hosts.iter().map(|host| &host.counts).collect();
        assert_eq!(
            world.told[&id].outcome(),
            Some(Outcome::Ran),
            "seed {seed} {counts:?} {:?}",
            world.told[&id]
        );
    }
    assert!(world.count(Counter::Refused(Reason::Suspect)) > 0);
}

#[test]
fn a_poisonous_model_request_costs_two_engines_and_no_innocent() {
    for seed in 0..20 {
        attack(seed, "alpha");
    }
}

#[test]
fn a_poisonous_service_call_costs_two_replicas_and_no_innocent() {
    for seed in 0..20 {
        attack(seed, "check");
    }
}

#[test]
fn suspicion_outlives_the_host_that_saw_the_crash() {
    for seed in 0..10 {
        let mut world = world(seed);
        world.ask(0, "draft", "draft poison");
        run(&mut world, 1_000);
        assert_eq!(crashes(&world), 1);
        world.kill(0);
        run(&mut world, 1_000);
        world.ask(1, "draft", "draft poison");
        run(&mut world, 2_000);
        world.kill(1);
        run(&mut world, 1_000);
        for _ in 0..5 {
            let id = world.ask(2, "draft", "draft poison");
            run(&mut world, 1_000);
            assert_eq!(world.told[&id].reason(), Some(Reason::Suspect));
        }
        // A host that starts now hears of it too, and the caller learns when to return.
        assert!(crashes(&world) <= 2);
    }
}

#[test]
fn one_crash_does_not_refuse_and_a_run_to_the_end_clears() {
    let mut world = world(3);
    let id = world.ask(0, "alpha", "alpha unlucky");
    world.run(ms(10));
    let name = world.sends.last().unwrap().3.clone();
    world.crash(&name);
    run(&mut world, 5_000);
    world.check_whole(id);
    // Cleared: another crash counts as the first again.
    let again = world.ask(1, "alpha", "alpha unlucky");
    world.run(ms(10));
    let name = world.sends.last().unwrap().3.clone();
    world.crash(&name);
    run(&mut world, 5_000);
    world.check_whole(again);
}

#[test]
fn a_resend_of_a_suspect_keeps_away_from_the_upstream_that_crashed() {
    for seed in 0..20 {
        let mut world = world(seed);
        world.ask(0, "draft", "draft unlucky");
        world.run(ms(10));
        let name = world.sends.last().unwrap().3.clone();
        world.crash(&name);
        run(&mut world, 4_000);
        world.sends.clear();
        let id = world.ask(1, "draft", "draft unlucky");
        world.run(ms(1_000));
        world.check_whole(id);
        assert_ne!(world.sends.last().unwrap().3, name, "seed {seed}");
    }
}
