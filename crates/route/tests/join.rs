//! Resends that join a running or kept answer, here or on another host.

mod common;

use common::{World, ms, row};
use mulberryrack_core::{
    claim::End,
    note::Counter,
    outcome::{Doubt, Outcome, Reason},
};
use mulberryrack_route::Settings;
use mulberryrack_table::Kind;

fn world_with(seed: u64, settings: Settings) -> World {
    let mut draft = row("draft", Kind::Model);
    draft.repeatable = false;
    let mut world = World::with(seed, 3, vec![draft], settings);
    world.engine("engine-0", 20, &["draft"]);
    for host in 0..3 {
        world.ask(host, "draft", "draft warm-up");
    }
    world.run(ms(2_000));
    world.told.clear();
    world.fake("engine-0").chunks = 40;
    world
}

fn world(seed: u64) -> World {
    world_with(seed, Settings::default())
}

#[test]
fn a_resend_joins_the_running_answer_from_its_first_byte() {
    for (host, seed) in [(0, 1), (1, 2)] {
        let mut world = world(seed);
        let first = world.order(0, "draft", "draft 1", "key-1");
        world.run(ms(200));
        let second = world.order(host, "draft", "draft 1", "key-1");
        world.run(ms(3_000));
        world.check_whole(first);
        world.check_whole(second);
        assert_eq!(world.told[&first].body, world.told[&second].body);
        assert_eq!(world.runs("draft 1"), 1);
        assert_eq!(world.count(Counter::Joined), 1);
        assert_eq!(world.hosts[0].done[&first.1], [End::Ran]);
        assert!(!world.hosts[host].done.contains_key(&second.1));
    }
}

#[test]
fn a_resend_gets_the_kept_answer() {
    for (host, seed) in [(0, 3), (2, 4)] {
        let mut world = world(seed);
        let first = world.order(0, "draft", "draft 1", "key-1");
        world.run(ms(3_000));
        let second = world.order(host, "draft", "draft 1", "key-1");
        world.run(ms(3_000));
        world.check_whole(second);
        assert_eq!(world.told[&first].body, world.told[&second].body);
        assert_eq!(world.runs("draft 1"), 1);
    }
}

#[test]
fn a_followed_answer_survives_lost_doubled_and_reordered_frames() {
    for seed in 0..30 {
        let mut world = world(seed);
        world.loss = 25;
        world.disorder = 30;
        let first = world.order(0, "draft", "draft 1", "key-1");
        world.run(ms(100));
        let second = world.order(1, "draft", "draft 1", "key-1");
        let third = world.order(2, "draft", "draft 1", "key-1");
        world.run(ms(9_000));
        world.check_whole(first);
        for id in [second, third] {
            world.check_whole(id);
            assert_eq!(world.told[&first].body, world.told[&id].body);
        }
    }
}

#[test]
fn a_long_answer_goes_through_a_small_window() {
    let settings = Settings {
        join_window_bytes: 100,
        ..Settings::default()
    };
    let mut world = world_with(5, settings);
    let first = world.order(0, "draft", "draft 1", "key-1");
    world.run(ms(3_000));
    let second = world.order(1, "draft", "draft 1", "key-1");
    world.run(ms(3_000));
    world.check_whole(second);
    assert_eq!(world.told[&first].body, world.told[&second].body);
}

#[test]
fn the_loss_of_the_holder_is_told_in_time() {
    let mut world = world(6);
    let first = world.order(0, "draft", "draft 1", "key-1");
    world.run(ms(100));
    let second = world.order(1, "draft", "draft 1", "key-1");
    world.run(ms(50));
    world.kill(0);
    world.run(ms(4_000));
    assert!(world.told[&first].ends.is_empty());
    let outcome = world.told[&second].outcome();
    assert_eq!(outcome, Some(Outcome::Unknown(Doubt::HostLost)));
    world.check_part(second);
}

#[test]
fn a_holder_that_does_not_answer_ends_at_the_deadline() {
    let mut world = world(7);
    world.order(0, "draft", "draft 1", "key-1");
    world.run(ms(100));
    world.hosts[0].cut = true;
    let second = world.order(1, "draft", "draft 1", "key-1");
    world.run(ms(11_000));
    let outcome = world.told[&second].outcome();
    assert_eq!(outcome, Some(Outcome::Unknown(Doubt::DeadlinePassed)));
}

#[test]
fn answers_too_long_to_keep_are_not_called_not_run() {
    let settings = Settings {
        max_kept_answer_bytes: 100,
        ..Settings::default()
    };
    for (host, seed) in [(0, 8), (1, 9)] {
        let mut world = world_with(seed, settings.clone());
        let first = world.order(0, "draft", "draft 1", "key-1");
        world.run(ms(3_000));
        world.check_whole(first);
        assert_eq!(world.hosts[0].done[&first.1], [End::Forgotten]);
        let second = world.order(host, "draft", "draft 1", "key-1");
        world.run(ms(3_000));
        let outcome = world.told[&second].outcome();
        assert_eq!(outcome, Some(Outcome::Unknown(Doubt::AnswerGone)));
    }
}

#[test]
fn kept_answers_are_bounded_in_bytes_and_time() {
    let settings = Settings {
        max_kept_bytes: 3_000,
        keep_period: ms(20_000),
        ..Settings::default()
    };
    let mut world = world_with(10, settings);
    for index in 0..6 {
        let name = format!("draft {index}");
        world.order(0, "draft", &name, &name);
        world.run(ms(1_000));
    }
    // The newest are kept, the oldest gave way, and all are gone in time.
    let newest = world.order(0, "draft", "draft 5", "draft 5");
    let oldest = world.order(0, "draft", "draft 0", "draft 0");
    world.run(ms(100));
    world.check_whole(newest);
    let gone = Some(Outcome::Unknown(Doubt::AnswerGone));
    assert_eq!(world.told[&oldest].outcome(), gone);
    world.run(ms(21_000));
    let late = world.order(0, "draft", "draft 5", "draft 5");
    world.run(ms(100));
    assert_eq!(world.told[&late].outcome(), gone);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut world = world(11);
    world.order(0, "draft", "draft 1", "key-1");
    let id = world.order(1, "draft", "draft 2", "key-1");
    world.run(ms(100));
    assert_eq!(world.told[&id].reason(), Some(Reason::KeyReused));
}

#[test]
fn a_ledger_that_does_not_answer_is_not_called_not_run() {
    let mut world = world(12);
    world.ledger_delay = None;
    let id = world.order(0, "draft", "draft 1", "key-1");
    world.run(ms(11_000));
    assert!(matches!(
        world.told[&id].outcome(),
        Some(Outcome::Unknown(_))
    ));
    assert_eq!(world.runs("draft 1"), 0);
}
