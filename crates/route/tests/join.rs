//! Resends that receive a running or kept answer, of the same or another host.

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
    let mut world = World::with_settings(seed, 3, vec![draft], settings);
    world.add_engine("engine-0", 20, &["draft"]);
    for host in 0..3 {
        world.send(host, "draft", "draft warm-up");
    }
    world.run_for(ms(2_000));
    world.received.clear();
    world.upstream("engine-0").chunks = 40;
    world
}

fn world(seed: u64) -> World {
    world_with(seed, Settings::default())
}

#[test]
fn a_resend_joins_the_running_answer_from_its_first_byte() {
    for (host, seed) in [(0, 1), (1, 2)] {
        let mut world = world(seed);
        let first = world.send_keyed(0, "draft", "draft 1", "key-1");
        world.run_for(ms(200));
        let second = world.send_keyed(host, "draft", "draft 1", "key-1");
        world.run_for(ms(3_000));
        world.assert_whole(first);
        world.assert_whole(second);
        assert_eq!(world.received[&first].body, world.received[&second].body);
        assert_eq!(world.run_count("draft 1"), 1);
        assert_eq!(world.count(Counter::Joined), 1);
        assert_eq!(world.hosts[0].done[&first.1], [End::Ran]);
        assert!(!world.hosts[host].done.contains_key(&second.1));
    }
}

#[test]
fn a_resend_gets_the_kept_answer() {
    for (host, seed) in [(0, 3), (2, 4)] {
        let mut world = world(seed);
        let first = world.send_keyed(0, "draft", "draft 1", "key-1");
        world.run_for(ms(3_000));
        let second = world.send_keyed(host, "draft", "draft 1", "key-1");
        world.run_for(ms(3_000));
        world.assert_whole(second);
        assert_eq!(world.received[&first].body, world.received[&second].body);
        assert_eq!(world.run_count("draft 1"), 1);
    }
}

#[test]
fn followed_answer_survives_lost_duplicated_and_reordered_frames() {
    for seed in 0..30 {
        let mut world = world(seed);
        world.loss_percent = 25;
        world.duplicate_percent = 30;
        let first = world.send_keyed(0, "draft", "draft 1", "key-1");
        world.run_for(ms(100));
        let second = world.send_keyed(1, "draft", "draft 1", "key-1");
        let third = world.send_keyed(2, "draft", "draft 1", "key-1");
        world.run_for(ms(9_000));
        world.assert_whole(first);
        for id in [second, third] {
            world.assert_whole(id);
            assert_eq!(world.received[&first].body, world.received[&id].body);
        }
    }
}

#[test]
fn followed_answer_is_sent_through_a_small_window() {
    let settings = Settings {
        join_window_bytes: 100,
        ..Settings::default()
    };
    let mut world = world_with(5, settings);
    let first = world.send_keyed(0, "draft", "draft 1", "key-1");
    world.run_for(ms(3_000));
    let second = world.send_keyed(1, "draft", "draft 1", "key-1");
    world.run_for(ms(3_000));
    world.assert_whole(second);
    assert_eq!(world.received[&first].body, world.received[&second].body);
}

#[test]
fn follower_learns_in_time_that_the_answering_host_is_lost() {
    let mut world = world(6);
    let first = world.send_keyed(0, "draft", "draft 1", "key-1");
    world.run_for(ms(100));
    let second = world.send_keyed(1, "draft", "draft 1", "key-1");
    world.run_for(ms(50));
    world.kill(0);
    world.run_for(ms(4_000));
    assert!(world.received[&first].outcomes.is_empty());
    let outcome = world.received[&second].outcome();
    assert_eq!(outcome, Some(Outcome::Unknown(Doubt::HostLost)));
    world.assert_unmixed(second);
}

#[test]
fn following_a_host_that_does_not_answer_ends_at_the_deadline() {
    let mut world = world(7);
    world.send_keyed(0, "draft", "draft 1", "key-1");
    world.run_for(ms(100));
    world.hosts[0].partitioned = true;
    let second = world.send_keyed(1, "draft", "draft 1", "key-1");
    world.run_for(ms(11_000));
    let outcome = world.received[&second].outcome();
    assert_eq!(outcome, Some(Outcome::Unknown(Doubt::DeadlinePassed)));
}

#[test]
fn resend_of_an_answer_too_long_to_keep_is_not_reported_as_not_run() {
    let settings = Settings {
        max_kept_answer_bytes: 100,
        ..Settings::default()
    };
    for (host, seed) in [(0, 8), (1, 9)] {
        let mut world = world_with(seed, settings.clone());
        let first = world.send_keyed(0, "draft", "draft 1", "key-1");
        world.run_for(ms(3_000));
        world.assert_whole(first);
        assert_eq!(world.hosts[0].done[&first.1], [End::Forgotten]);
        let second = world.send_keyed(host, "draft", "draft 1", "key-1");
        world.run_for(ms(3_000));
        let outcome = world.received[&second].outcome();
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
        world.send_keyed(0, "draft", &name, &name);
        world.run_for(ms(1_000));
    }
    // The newest answer is kept, the oldest was evicted, and in the end all have expired.
    let newest = world.send_keyed(0, "draft", "draft 5", "draft 5");
    let oldest = world.send_keyed(0, "draft", "draft 0", "draft 0");
    world.run_for(ms(100));
    world.assert_whole(newest);
    let gone = Some(Outcome::Unknown(Doubt::AnswerGone));
    assert_eq!(world.received[&oldest].outcome(), gone);
    world.run_for(ms(21_000));
    let late = world.send_keyed(0, "draft", "draft 5", "draft 5");
    world.run_for(ms(100));
    assert_eq!(world.received[&late].outcome(), gone);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut world = world(11);
    world.send_keyed(0, "draft", "draft 1", "key-1");
    let id = world.send_keyed(1, "draft", "draft 2", "key-1");
    world.run_for(ms(100));
    assert_eq!(world.received[&id].reason(), Some(Reason::KeyReused));
}

#[test]
fn request_is_not_reported_as_not_run_if_the_ledger_does_not_answer() {
    let mut world = world(12);
    world.ledger_delay = None;
    let id = world.send_keyed(0, "draft", "draft 1", "key-1");
    world.run_for(ms(11_000));
    assert!(matches!(
        world.received[&id].outcome(),
        Some(Outcome::Unknown(_))
    ));
    assert_eq!(world.run_count("draft 1"), 0);
}
