//! Requests that crash every upstream that runs them, and other requests beside them.

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
        world.add_engine(&format!("engine-{index}"), 20, &["alpha", "draft"]);
        world.add_service(&format!("check-{index}"), 20, "check");
    }
    for (name, target) in [("engine", "alpha"), ("check", "check"), ("engine", "draft")] {
        for index in 0..5 {
            let fake = world.upstream(&format!("{name}-{index}"));
            fake.crash_on = Some("poison".into());
            // Longer than the 15 ms that a crash takes, so that requests beside it still run.
            fake.first_delay = ms(40);
        }
        for host in 0..3 {
            world.send(host, target, &format!("{target} warm-up"));
        }
    }
    world.run_for(ms(2_000));
    world.received.clear();
    world
}

fn crashes(world: &World) -> u32 {
    world.upstreams.values().map(|fake| fake.crashes).sum()
}

/// Sends requests that do not crash upstreams, spread over all hosts.
fn send_others(world: &mut World, target: &str, round: usize) -> Vec<(usize, Key)> {
    (0..30)
        .map(|index| {
            world.send(
                index % 3,
                target,
                &format!("{target} innocent {round} {index}"),
            )
        })
        .collect()
}

/// Runs for `span` milliseconds and restarts crashed upstreams every 500 ms.
fn run_with_restarts(world: &mut World, span: u64) {
    for _ in 0..span / 500 {
        world.run_for(ms(500));
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

fn check_crashing_request(seed: u64, target: &str) {
    let mut world = world(seed);
    let crashing_body = format!("{target} poison");
    let mut others = send_others(&mut world, target, 0);
    world.send(0, target, &crashing_body);
    run_with_restarts(&mut world, 1_500);
    for round in 1..8 {
        others.extend(send_others(&mut world, target, round));
        world.send_keyed(round % 3, target, &crashing_body, &format!("key-{round}"));
        run_with_restarts(&mut world, 1_500);
    }
    run_with_restarts(&mut world, 12_000);
    assert!(
        crashes(&world) <= 2,
        "seed {seed}: {} upstreams crashed",
        crashes(&world)
    );
    assert!(crashes(&world) >= 1);
    for id in others {
        assert_eq!(
            world.received[&id].reason(),
            None,
            "another request was refused, seed {seed}"
        );
        let counts: Vec<_> = world.hosts.iter().map(|host| &host.counts).collect();
        assert_eq!(
            world.received[&id].outcome(),
            Some(Outcome::Ran),
            "seed {seed} {counts:?} {:?}",
            world.received[&id]
        );
    }
    assert!(world.count(Counter::Refused(Reason::Suspect)) > 0);
}

#[test]
fn crashing_model_request_costs_two_engines_and_no_other_request() {
    for seed in 0..20 {
        check_crashing_request(seed, "alpha");
    }
}

#[test]
fn crashing_service_call_costs_two_replicas_and_no_other_request() {
    for seed in 0..20 {
        check_crashing_request(seed, "check");
    }
}

#[test]
fn suspicion_outlives_the_host_that_saw_the_crash() {
    for seed in 0..10 {
        let mut world = world(seed);
        world.send(0, "draft", "draft poison");
        run_with_restarts(&mut world, 1_000);
        assert_eq!(crashes(&world), 1);
        world.kill(0);
        run_with_restarts(&mut world, 1_000);
        world.send(1, "draft", "draft poison");
        run_with_restarts(&mut world, 2_000);
        world.kill(1);
        run_with_restarts(&mut world, 1_000);
        for _ in 0..5 {
            let id = world.send(2, "draft", "draft poison");
            run_with_restarts(&mut world, 1_000);
            assert_eq!(world.received[&id].reason(), Some(Reason::Suspect));
        }
        // Later requests crashed no further upstream.
        assert!(crashes(&world) <= 2);
    }
}

#[test]
fn one_crash_does_not_refuse_a_request_and_a_whole_run_clears_it() {
    let mut world = world(3);
    let id = world.send(0, "alpha", "alpha unlucky");
    world.run_for(ms(10));
    let name = world.sends.last().unwrap().3.clone();
    world.crash(&name);
    run_with_restarts(&mut world, 5_000);
    world.assert_whole(id);
    // The whole run cleared the fingerprint, so the next crash counts as the first again.
    let again = world.send(1, "alpha", "alpha unlucky");
    world.run_for(ms(10));
    let name = world.sends.last().unwrap().3.clone();
    world.crash(&name);
    run_with_restarts(&mut world, 5_000);
    world.assert_whole(again);
}

#[test]
fn resend_of_a_suspect_avoids_the_upstream_that_crashed() {
    for seed in 0..20 {
        let mut world = world(seed);
        world.send(0, "draft", "draft unlucky");
        world.run_for(ms(10));
        let name = world.sends.last().unwrap().3.clone();
        world.crash(&name);
        run_with_restarts(&mut world, 4_000);
        world.sends.clear();
        let id = world.send(1, "draft", "draft unlucky");
        world.run_for(ms(1_000));
        world.assert_whole(id);
        assert_ne!(world.sends.last().unwrap().3, name, "seed {seed}");
    }
}
