//! Priorities, shares, deadlines and limits of the queues.

mod common;

use common::{Mode, World, ms, row};
use mulberryrack_core::{
    note::Counter,
    outcome::{Outcome, Reason},
    request::Priority,
};
use mulberryrack_route::Settings;
use mulberryrack_table::{Kind, Row};

fn rows() -> Vec<Row> {
    let mut urgent = row("urgent", Kind::Model);
    urgent.priority = Priority::Urgent;
    let mut bulk = row("bulk", Kind::Model);
    bulk.priority = Priority::Bulk;
    let mut triple = row("triple", Kind::Model);
    triple.priority = Priority::Bulk;
    triple.share = 3;
    vec![urgent, bulk, triple]
}

fn world_with(settings: Settings) -> World {
    let mut world = World::with_settings(11, 1, rows(), settings);
    world.add_engine("engine-0", 5, &["urgent", "bulk", "triple"]);
    for target in ["urgent", "bulk", "triple"] {
        world.send(0, target, &format!("{target} warm-up"));
    }
    world.run_for(ms(2_000));
    world.received.clear();
    world
}

fn world() -> World {
    world_with(Settings::default())
}

#[test]
fn urgent_requests_find_room_while_bulk_fills_everything() {
    let mut world = world();
    for index in 0..60 {
        world.send(0, "bulk", &format!("bulk {index}"));
    }
    let id = world.send(0, "urgent", "urgent 1");
    world.run_for(ms(100));
    world.assert_whole(id);
    let late = world.received[&id].ended_at.unwrap() - world.received[&id].sent_at;
    assert!(late <= ms(60), "{late:?}");
}

#[test]
fn queued_urgent_requests_go_before_bulk_queued_longer() {
    let settings = Settings {
        urgent_reserve: 0.0,
        ..Settings::default()
    };
    let mut world = world_with(settings);
    for index in 0..60 {
        world.send(0, "bulk", &format!("bulk {index}"));
    }
    let ids: Vec<_> = (0..10)
        .map(|index| {
            // The requests are long: by share alone the short bulk requests would go
            // first.
            let mut request = world.new_request("urgent", &format!("urgent {index}"), ms(10_000));
            request.answer_tokens = 1_000;
            world.send_request(0, request)
        })
        .collect();
    world.run_for(ms(2_000));
    let last = ids
        .iter()
        .map(|id| world.received[id].ended_at.unwrap())
        .max();
    let bulk = world
        .received
        .values()
        .filter(|received| received.target == "bulk");
    let before = bulk.filter(|received| received.ended_at < last).count();
    assert!(
        before <= 20,
        "{before} bulk requests ended before the last urgent one"
    );
}

#[test]
fn saturated_rows_get_their_shares() {
    let mut world = world();
    for index in 0..200 {
        world.send(0, "bulk", &format!("bulk {index}"));
        world.send(0, "triple", &format!("triple {index}"));
    }
    world.run_for(ms(800));
    let ran = |target: &str| {
        let of = world
            .received
            .values()
            .filter(|received| received.target == target);
        of.filter(|received| received.outcome() == Some(Outcome::Ran))
            .count()
    };
    let (single, triple) = (ran("bulk"), ran("triple"));
    assert!(single > 5);
    assert!(
        triple * 10 >= single * 25 && triple * 10 <= single * 35,
        "{triple} to {single}, wanted three to one"
    );
}

#[test]
fn the_earliest_deadline_of_a_row_goes_first() {
    let mut world = world();
    for index in 0..20 {
        let request = world.new_request("bulk", &format!("bulk {index}"), ms(9_000));
        world.send_request(0, request);
    }
    let request = world.new_request("bulk", "bulk soon", ms(500));
    let id = world.send_request(0, request);
    world.run_for(ms(300));
    world.assert_whole(id);
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_at_once() {
    let mut world = world();
    for index in 0..200 {
        let request = world.new_request("bulk", &format!("bulk {index}"), ms(30_000));
        world.send_request(0, request);
    }
    world.run_for(ms(500));
    // Some 100 requests are queued before this one; four run at a time, for 50 ms each.
    let mut request = world.new_request("bulk", "bulk late", ms(30_000));
    request.deadline = world.now + ms(60);
    let before = world.now;
    let id = world.send_request(0, request);
    world.run_for(ms(100));
    let received = &world.received[&id];
    assert!(received.ended_at.unwrap() <= before + ms(60));

    let mut request = world.new_request("bulk", "bulk hopeless", ms(0));
    request.deadline = world.now + ms(5);
    let id = world.send_request(0, request);
    assert_eq!(
        world.received[&id].reason(),
        Some(Reason::Deadline),
        "not at once"
    );
    let Some(Outcome::NotRun(refusal)) = world.received[&id].outcome() else {
        unreachable!()
    };
    assert!(refusal.retry_after.is_some());
}

#[test]
fn requests_are_refused_by_the_estimated_wait() {
    let mut world = world();
    for index in 0..200 {
        let request = world.new_request("bulk", &format!("bulk {index}"), ms(2_000));
        world.send_request(0, request);
    }
    world.run_for(ms(500));
    let request = world.new_request("bulk", "bulk behind", ms(1_600));
    let id = world.send_request(0, request);
    // The queued requests with earlier deadlines take more than 1.5 s.
    assert_eq!(world.received[&id].reason(), Some(Reason::Deadline));
}

#[test]
fn full_queue_refuses_further_requests() {
    let settings = Settings {
        max_queue_len: 10,
        ..Settings::default()
    };
    let mut world = world_with(settings);
    let ids: Vec<_> = (0..40)
        .map(|index| world.send(0, "bulk", &format!("bulk {index}")))
        .collect();
    // Four run and ten are queued.
    let refused = ids
        .iter()
        .filter(|id| world.received[id].reason() == Some(Reason::Overload));
    assert_eq!(refused.count(), 26);
    world.run_for(ms(5_000));
    assert!(
        world
            .received
            .values()
            .all(|received| received.outcomes.len() == 1)
    );
}

#[test]
fn a_host_bounds_its_requests_and_their_bytes() {
    let settings = Settings {
        max_requests: 20,
        max_request_bytes: 2_000,
        ..Settings::default()
    };
    let mut world = world_with(settings);
    for index in 0..40 {
        world.send(0, "bulk", &format!("bulk {index}"));
    }
    assert_eq!(world.count(Counter::Refused(Reason::Overload)), 20);
    world.run_for(ms(5_000));
    let name = "bulk ".repeat(500);
    let id = world.send(0, "bulk", &name);
    assert_eq!(world.received[&id].reason(), Some(Reason::Overload));
}

#[test]
fn queued_requests_are_refused_as_soon_as_no_upstream_is_left() {
    let mut world = world();
    for index in 0..40 {
        world.send(0, "bulk", &format!("bulk {index}"));
    }
    world.upstream("engine-0").mode = Mode::Down;
    world.crash("engine-0");
    world.run_for(ms(400));
    let received = world.received.values();
    let open = received
        .filter(|received| received.outcomes.is_empty())
        .count();
    assert_eq!(open, 0, "requests still queued");
}

#[test]
fn idle_row_gains_no_credit() {
    let mut world = world();
    for index in 0..100 {
        world.send(0, "bulk", &format!("bulk {index}"));
    }
    world.run_for(ms(500));
    for index in 0..100 {
        world.send(0, "triple", &format!("triple {index}"));
    }
    let since = world.now;
    world.run_for(ms(400));
    let ran = |target: &str| {
        let of = world
            .received
            .values()
            .filter(|received| received.target == target);
        of.filter(|received| received.ended_at.is_some_and(|at| at > since))
            .count()
    };
    let (single, triple) = (ran("bulk"), ran("triple"));
    assert!(single >= 7, "too few: {single} beside {triple}");
}
