//! Choice of an upstream: hedges, cached prefixes and data centres.

mod common;

use common::{Mode, World, ms, row};
use mulberryrack_core::{
    note::Counter,
    outcome::Retry,
    request::{Key, Priority},
};
use mulberryrack_table::Kind;

fn world(seed: u64, engines: usize) -> World {
    let mut urgent = row("urgent", Kind::Model);
    urgent.priority = Priority::Urgent;
    urgent.first_token = ms(100);
    let mut once = row("once", Kind::Model);
    once.priority = Priority::Urgent;
    once.first_token = ms(100);
    once.repeatable = false;
    let rows = vec![row("alpha", Kind::Model), urgent, once];
    let mut world = World::new(seed, 1, rows);
    for index in 0..engines {
        world.add_engine(&format!("engine-{index}"), 8, &["alpha", "urgent", "once"]);
    }
    for target in ["alpha", "urgent", "once"] {
        world.send(0, target, &format!("{target} warm-up"));
    }
    world.run_for(ms(2_000));
    world.sends.clear();
    world
}

#[test]
fn a_slow_urgent_request_is_hedged_and_the_first_answer_wins() {
    let mut world = world(1, 2);
    for name in ["engine-0", "engine-1"] {
        world.upstream(name).first_delay = ms(5_000);
    }
    let id = world.send(0, "urgent", "urgent 1");
    let slow = world.sends[0].3.clone();
    for name in ["engine-0", "engine-1"] {
        if *name != *slow {
            world.upstream(name).first_delay = ms(20);
        }
    }
    world.run_for(ms(400));
    world.assert_whole(id);
    assert_eq!(world.count(Counter::Retried(Retry::Hedge)), 1);
    assert_eq!(world.cancels.len(), 1, "the loser was not stopped");
    world.run_for(ms(8_000));
    assert_eq!(world.received[&id].outcomes.len(), 1);
}

#[test]
fn only_urgent_repeatable_requests_are_hedged() {
    let mut world = world(2, 2);
    for name in ["engine-0", "engine-1"] {
        world.upstream(name).first_delay = ms(600);
    }
    let ids = [
        world.send(0, "alpha", "alpha 1"),
        world.send(0, "once", "once 1"),
        world.send_keyed(0, "once", "once 2", "key-2"),
    ];
    world.run_for(ms(3_000));
    for id in ids {
        world.assert_whole(id);
    }
    assert_eq!(world.count(Counter::Retried(Retry::Hedge)), 0);
}

#[test]
fn failed_run_of_a_hedged_request_leaves_the_other_run() {
    let mut world = world(3, 2);
    for name in ["engine-0", "engine-1"] {
        world.upstream(name).first_delay = ms(400);
    }
    let id = world.send(0, "urgent", "urgent 1");
    let first = world.sends[0].3.clone();
    world.run_for(ms(300));
    assert_eq!(world.sends.len(), 2);
    world.crash(&first);
    world.run_for(ms(2_000));
    world.assert_whole(id);
}

fn send_with_prefix(world: &mut World, name: &str, prefix: &[u64]) -> (usize, Key) {
    let mut request = world.new_request("alpha", name, ms(10_000));
    request.prefix = prefix.to_vec();
    world.send_request(0, request)
}

#[test]
fn cached_prefix_attracts_requests_until_a_gap_in_the_events() {
    let mut world = world(4, 6);
    let prefix: Vec<_> = (1..9).collect();
    world.upstream("engine-3").cached = prefix.clone();
    world.run_for(ms(1_000));
    let count_on_cached_engine = |world: &mut World| {
        world.sends.clear();
        for index in 0..30 {
            send_with_prefix(world, &format!("alpha {index}"), &prefix);
            world.run_for(ms(100));
        }
        let sends = world.sends.iter();
        sends.filter(|send| &*send.3 == "engine-3").count()
    };
    assert!(count_on_cached_engine(&mut world) >= 25);
    // A cached prefix outweighs one running request, until lost reports make the cache
    // uncertain.
    let together = |world: &mut World| {
        world.run_for(ms(1_000));
        world.sends.clear();
        for index in 0..2 {
            send_with_prefix(world, &format!("alpha pair {index}"), &prefix);
        }
        world.sends[0].3 == world.sends[1].3
    };
    assert!(together(&mut world));
    let _ = world.upstream("engine-3").poll();
    let _ = world.upstream("engine-3").poll();
    assert!(!together(&mut world));
}

#[test]
fn cached_prefix_does_not_outweigh_a_full_engine() {
    let mut world = world(5, 3);
    let prefix: Vec<_> = (1..9).collect();
    world.upstream("engine-0").cached = prefix.clone();
    world.run_for(ms(1_000));
    for index in 0..12 {
        send_with_prefix(&mut world, &format!("alpha {index}"), &prefix);
    }
    let sends = world.sends.iter();
    let cached = sends.filter(|send| &*send.3 == "engine-0").count();
    assert!((4..=6).contains(&cached), "{cached} of 12");
}

#[test]
fn copies_in_this_data_centre_come_first() {
    let mut world = world(6, 3);
    for name in ["engine-1", "engine-2"] {
        world.upstream(name).data_centre = "hall-7".into();
        world.publish_engine(name);
    }
    for index in 0..6 {
        world.send(0, "alpha", &format!("alpha {index}"));
    }
    assert!(world.sends.iter().all(|send| &*send.3 == "engine-0"));
    world.upstream("engine-0").mode = Mode::Down;
    world.run_for(ms(3_000));
    let id = world.send(0, "alpha", "alpha far");
    world.run_for(ms(1_000));
    world.assert_whole(id);
}
