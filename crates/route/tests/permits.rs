//! The ceiling on a row's concurrent requests over all hosts.

mod common;

use common::{World, ms, row};
use mulberryrack_core::{
    Incarnation, Name, Time,
    outcome::{Outcome, Reason},
    view::Standing,
};
use mulberryrack_route::{Input, Output, Router, Settings};
use mulberryrack_table::Kind;
use mulberryrack_wire::route::{Allow, Frame, Held, Survey, frame::Body};
use rand::RngExt;

fn world(seed: u64, hosts: usize, ceiling: u32) -> World {
    let mut alpha = row("alpha", Kind::Model);
    alpha.ceiling = ceiling;
    let mut world = World::new(seed, hosts, vec![alpha]);
    world.add_engine("engine-0", 100, &["alpha"]);
    world.add_engine("engine-1", 100, &["alpha"]);
    world
}

fn ran(world: &World, host: usize) -> usize {
    world
        .received
        .iter()
        .filter(|((at, _), received)| *at == host && received.outcome() == Some(Outcome::Ran))
        .count()
}

#[test]
fn a_single_host_has_the_whole_ceiling() {
    let mut world = world(1, 1, 3);
    for index in 0..9 {
        world.send(0, "alpha", &format!("alpha {index}"));
    }
    world.run_for(ms(3_000));
    assert_eq!(ran(&world, 0), 9);
    assert_eq!(world.peak_running["alpha"], 3);
}

#[test]
fn the_ceiling_holds_over_hosts_and_is_used() {
    let mut world = world(2, 3, 4);
    for step in 0..400 {
        world.send(step % 3, "alpha", &format!("alpha {step}"));
        world.run_for(ms(5));
    }
    world.run_for(ms(10_000));
    assert_eq!(world.peak_running["alpha"], 4);
    for host in 0..3 {
        assert!(ran(&world, host) > 20, "host {host}: {}", ran(&world, host));
    }
    assert!(
        world
            .received
            .values()
            .all(|received| received.outcomes.len() == 1)
    );
}

#[test]
fn permits_move_to_the_host_that_needs_them() {
    let mut world = world(3, 2, 4);
    for host in [0, 1, 0] {
        world.peak_running.clear();
        for index in 0..40 {
            world.send(host, "alpha", &format!("alpha {host} {index}"));
        }
        world.run_for(ms(3_000));
        assert_eq!(
            world.peak_running["alpha"], 4,
            "not all permits came to host {host}"
        );
        world.run_for(ms(12_000));
    }
}

#[test]
fn full_queue_at_the_ceiling_refuses_with_the_reason_ceiling() {
    let mut world = world(4, 1, 1);
    world.send(0, "alpha", "alpha warm-up");
    world.run_for(ms(2_000));
    let ids: Vec<_> = (0..300)
        .map(|index| world.send(0, "alpha", &format!("alpha {index}")))
        .collect();
    let refused = ids
        .iter()
        .filter(|id| world.received[id].reason() == Some(Reason::Ceiling));
    assert_eq!(refused.count(), 300 - 257);
}

#[test]
fn a_host_that_is_cut_off_keeps_its_permits_and_no_more() {
    let mut world = world(5, 3, 6);
    for round in 0..40 {
        for host in 0..3 {
            world.send(host, "alpha", &format!("alpha {host} {round}"));
        }
        world.run_for(ms(20));
    }
    world.run_for(ms(3_000));
    world.hosts[1].partitioned = true;
    world.hosts[1].standing = Standing::Dead;
    world.broadcast_view();
    world.received.clear();
    // Lasts longer than `permit_reclaim_delay`.
    for round in 0..600 {
        for host in 0..3 {
            world.send(host, "alpha", &format!("alpha {host} {round}"));
        }
        world.run_for(ms(20));
    }
    world.run_for(ms(3_000));
    assert!(
        world.peak_running["alpha"] <= 6,
        "{}",
        world.peak_running["alpha"]
    );
    // The other hosts continue.
    assert!(ran(&world, 0) + ran(&world, 2) > 20);
}

#[test]
fn a_new_lender_lends_nothing_that_a_silent_host_may_hold() {
    // Each host in turn is partitioned with its permits while a new lender takes over.
    for cut in 0..3 {
        let mut world = world(6, 3, 5);
        for host in 0..3 {
            world.send(host, "alpha", &format!("alpha warm-up {host}"));
        }
        world.run_for(ms(3_000));
        for index in 0..60 {
            world.send(cut, "alpha", &format!("alpha first {index}"));
        }
        world.run_for(ms(100));
        world.hosts[cut].partitioned = true;
        world.hosts[cut].standing = Standing::Dead;
        // The partitioned host does get this view; only its frames are lost.
        world.broadcast_view();
        for index in 0..60 {
            for host in 0..3 {
                world.send(host, "alpha", &format!("alpha {host} {index}"));
            }
            world.run_for(ms(10));
        }
        assert!(
            world.peak_running["alpha"] <= 5,
            "cut {cut}: {}",
            world.peak_running["alpha"]
        );
    }
}

#[test]
fn permits_of_a_lost_host_come_back_after_it_is_gone() {
    for lost in 0..3 {
        let mut world = world(7, 3, 3);
        for index in 0..30 {
            world.send(lost, "alpha", &format!("alpha first {index}"));
        }
        world.run_for(ms(1_200));
        world.kill(lost);
        let other = (lost + 1) % 3;
        world.run_for(ms(20_000));
        world.peak_running.clear();
        world.received.clear();
        for index in 0..30 {
            world.send(other, "alpha", &format!("alpha second {index}"));
        }
        world.run_for(ms(5_000));
        assert_eq!(world.peak_running["alpha"], 3, "host {lost} lost");
        assert_eq!(ran(&world, other), 30);
    }
}

#[test]
fn restarts_create_no_permits() {
    for seed in 0..12 {
        let mut world = world(seed, 3, 5);
        world.loss_percent = 10;
        world.duplicate_percent = 20;
        for step in 0..900u64 {
            for _ in 0..2 {
                let host = world.rng.random_range(0..3);
                world.send(host, "alpha", &format!("alpha {step}"));
            }
            world.run_for(ms(20));
            if step % 200 == 100 {
                let host = world.rng.random_range(0..3);
                world.kill(host);
                if world.rng.random_range(0..2) == 0 {
                    world.run_for(ms(50));
                    world.start(host);
                } else {
                    world.run_for(ms(4_000));
                    world.start(host);
                }
            }
        }
        assert!(
            world.peak_running["alpha"] <= 5,
            "seed {seed}: {}",
            world.peak_running["alpha"]
        );
        assert!(world.received.len() > 100);
    }
}

#[test]
fn a_lower_ceiling_is_reached_as_requests_end() {
    let mut world = world(8, 2, 6);
    for index in 0..200 {
        world.send(index % 2, "alpha", &format!("alpha {index}"));
    }
    world.run_for(ms(1_500));
    let mut table = (*world.table).clone();
    table.version = 2;
    let mut rows = table.rows.to_vec();
    rows[0].ceiling = 2;
    table.rows = rows.into();
    world.table = std::sync::Arc::new(table);
    for host in 0..2 {
        let table = world.table.clone();
        world.input(host, Input::Table(table));
    }
    world.run_for(ms(1_000));
    world.peak_running.clear();
    world.run_for(ms(500));
    assert!(
        world
            .peak_running
            .get("alpha")
            .is_none_or(|most| *most <= 2)
    );
}

#[test]
fn lost_loan_frames_do_not_lose_permits() {
    for seed in 0..10 {
        let mut world = world(seed, 3, 4);
        world.loss_percent = 60;
        for step in 0..150 {
            world.send(step % 3, "alpha", &format!("alpha {step}"));
            world.run_for(ms(20));
        }
        world.loss_percent = 0;
        world.run_for(ms(12_000));
        for host in 0..3 {
            world.peak_running.clear();
            for index in 0..30 {
                world.send(host, "alpha", &format!("alpha {host} {index}"));
            }
            world.run_for(ms(4_000));
            assert_eq!(world.peak_running["alpha"], 4, "seed {seed}, host {host}");
        }
    }
}

#[test]
fn a_leaving_host_gives_its_permits_back() {
    let mut world = world(9, 2, 4);
    for leaving in 0..2 {
        for index in 0..20 {
            world.send(leaving, "alpha", &format!("alpha {leaving} {index}"));
        }
        world.run_for(ms(3_000));
    }
    world.input(1, Input::Leave);
    world.hosts[1].standing = Standing::Leaving;
    world.broadcast_view();
    world.run_for(ms(500));
    world.peak_running.clear();
    for index in 0..20 {
        world.send(0, "alpha", &format!("alpha last {index}"));
    }
    world.run_for(ms(3_000));
    assert_eq!(world.peak_running["alpha"], 4);
}

/// A single router that borrows permits; the test plays the lenders.
struct Borrower(Router);

impl Borrower {
    fn receive(&mut self, from: &str, body: Body) -> Vec<Output> {
        let mut out = Vec::new();
        let input = Input::Frame {
            from: Name::from(from),
            incarnation: Incarnation(1),
            frame: Frame { body: Some(body) },
        };
        self.0.handle(Time::from_millis(1), input, &mut out);
        out
    }

    fn survey(&mut self, from: &str, term: u64) -> Held {
        let row = "alpha".into();
        let out = self.receive(from, Body::Survey(Survey { row, term }));
        let held = out.into_iter().find_map(|output| match output {
            Output::Frame { frame, .. } => match frame.body {
                Some(Body::Held(held)) => Some(held),
                _ => None,
            },
            _ => None,
        });
        held.expect("a survey is answered")
    }

    fn allow(&mut self, from: &str, term: u64, sequence: u64, allowance: u32) {
        let allow = Allow {
            row: "alpha".into(),
            term,
            sequence,
            allowance,
        };
        self.receive(from, Body::Allow(allow));
    }
}

#[test]
fn loans_come_from_the_newest_lender_in_order_only() {
    let router = Router::new(
        Settings::default(),
        "host-0".into(),
        Incarnation(1),
        "hall-0".into(),
        1,
        Time::ZERO,
    );
    let mut borrower = Borrower(router);
    let table = world(1, 1, 9).table.clone();
    let mut out = Vec::new();
    borrower.0.handle(Time::ZERO, Input::Table(table), &mut out);

    borrower.allow("host-1", 5, 1, 9);
    assert_eq!(
        borrower.survey("host-1", 5).allowance,
        0,
        "a loan from a host that is no lender"
    );
    borrower.allow("host-1", 5, 2, 3);
    borrower.allow("host-1", 5, 1, 9);
    assert_eq!(borrower.survey("host-1", 5).allowance, 3, "an older loan");

    let refused = borrower.survey("host-2", 4);
    assert_eq!((refused.accepted, refused.term), (false, 5));
    let same = borrower.survey("host-2", 5);
    assert!(!same.accepted, "two lenders in one term");
    borrower.allow("host-2", 5, 7, 9);
    assert!(borrower.survey("host-2", 6).accepted);
    borrower.allow("host-1", 5, 8, 9);
    borrower.allow("host-2", 5, 8, 9);
    assert_eq!(
        borrower.survey("host-2", 6).allowance,
        3,
        "a loan of an earlier term"
    );
}

#[test]
fn a_host_that_has_just_started_waits_before_it_lends() {
    let mut world = world(1, 1, 3);
    let id = world.send(0, "alpha", "alpha 1");
    world.run_for(ms(900));
    assert!(world.sends.is_empty());
    world.run_for(ms(400));
    world.assert_whole(id);
}

#[test]
fn permits_of_a_host_that_is_gone_wait_for_its_requests_to_end() {
    let mut world = world(7, 3, 3);
    for index in 0..30 {
        world.send(0, "alpha", &format!("alpha first {index}"));
    }
    world.run_for(ms(1_200));
    world.kill(0);
    // The host is gone after 3 s; its three permits stay reserved for 10 s more.
    world.run_for(ms(4_000));
    let request = world.new_request("alpha", "alpha second", ms(60_000));
    let id = world.send_request(1, request);
    world.run_for(ms(8_000));
    assert!(world.received[&id].outcomes.is_empty());
    world.run_for(ms(3_000));
    world.assert_whole(id);
}
