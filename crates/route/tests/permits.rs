//! The ceiling on concurrent requests over all hosts.

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
    world.engine("engine-0", 100, &["alpha"]);
    world.engine("engine-1", 100, &["alpha"]);
    world
}

fn ran(world: &World, host: usize) -> usize {
    world
        .told
        .iter()
        .filter(|((at, _), told)| *at == host && told.outcome() == Some(Outcome::Ran))
        .count()
}

#[test]
fn a_single_host_has_the_whole_ceiling() {
    let mut world = world(1, 1, 3);
    for index in 0..9 {
        world.ask(0, "alpha", &format!("alpha {index}"));
    }
    world.run(ms(3_000));
    assert_eq!(ran(&world, 0), 9);
    assert_eq!(world.most["alpha"], 3);
}

#[test]
fn the_ceiling_holds_over_hosts_and_is_used() {
    let mut world = world(2, 3, 4);
    for step in 0..400 {
        world.ask(step % 3, "alpha", &format!("alpha {step}"));
        world.run(ms(5));
    }
    world.run(ms(10_000));
    assert_eq!(world.most["alpha"], 4);
    for host in 0..3 {
        assert!(ran(&world, host) > 20, "host {host}: {}", ran(&world, host));
    }
    assert!(world.told.values().all(|told| told.ends.len() == 1));
}

#[test]
fn permits_move_to_the_host_that_needs_them() {
    let mut world = world(3, 2, 4);
    for host in [0, 1, 0] {
        world.most.clear();
        for index in 0..40 {
            world.ask(host, "alpha", &format!("alpha {host} {index}"));
        }
        world.run(ms(3_000));
        assert_eq!(
            world.most["alpha"], 4,
            "not all permits came to host {host}"
        );
        world.run(ms(12_000));
    }
}

#[test]
fn a_full_queue_at_the_ceiling_is_refused_with_a_time_to_come_back() {
    let mut world = world(4, 1, 1);
    world.ask(0, "alpha", "alpha warm-up");
    world.run(ms(2_000));
    let ids: Vec<_> = (0..300)
        .map(|index| world.ask(0, "alpha", &format!("alpha {index}")))
        .collect();
    let refused = ids
        .iter()
        .filter(|id| world.told[id].reason() == Some(Reason::Ceiling));
    assert_eq!(refused.count(), 300 - 257);
}

#[test]
fn a_host_that_is_cut_off_keeps_its_permits_and_no_more() {
    let mut world = world(5, 3, 6);
    for round in 0..40 {
        for host in 0..3 {
            world.ask(host, "alpha", &format!("alpha {host} {round}"));
        }
        world.run(ms(20));
    }
    world.run(ms(3_000));
    world.hosts[1].cut = true;
    world.hosts[1].standing = Standing::Dead;
    world.share_view();
    world.told.clear();
    // Longer than the pause after which permits of a host that is gone come back.
    for round in 0..600 {
        for host in 0..3 {
            world.ask(host, "alpha", &format!("alpha {host} {round}"));
        }
        world.run(ms(20));
    }
    world.run(ms(3_000));
    assert!(world.most["alpha"] <= 6, "{}", world.most["alpha"]);
    // The others go on.
    assert!(ran(&world, 0) + ran(&world, 2) > 20);
}

#[test]
fn a_new_lender_lends_nothing_that_a_silent_host_may_hold() {
    // Every host is lender once, and is cut off with its permits while the next takes
    // over.
    for cut in 0..3 {
        let mut world = world(6, 3, 5);
        for host in 0..3 {
            world.ask(host, "alpha", &format!("alpha warm-up {host}"));
        }
        world.run(ms(3_000));
        for index in 0..60 {
            world.ask(cut, "alpha", &format!("alpha first {index}"));
        }
        world.run(ms(100));
        world.hosts[cut].cut = true;
        world.hosts[cut].standing = Standing::Dead;
        // The host that is cut off does not see the others' view.
        world.share_view();
        for index in 0..60 {
            for host in 0..3 {
                world.ask(host, "alpha", &format!("alpha {host} {index}"));
            }
            world.run(ms(10));
        }
        assert!(
            world.most["alpha"] <= 5,
            "cut {cut}: {}",
            world.most["alpha"]
        );
    }
}

#[test]
fn permits_of_a_lost_host_come_back_after_it_is_gone() {
    for lost in 0..3 {
        let mut world = world(7, 3, 3);
        for index in 0..30 {
            world.ask(lost, "alpha", &format!("alpha first {index}"));
        }
        world.run(ms(1_200));
        world.kill(lost);
        let other = (lost + 1) % 3;
        world.run(ms(20_000));
        world.most.clear();
        world.told.clear();
        for index in 0..30 {
            world.ask(other, "alpha", &format!("alpha second {index}"));
        }
        world.run(ms(5_000));
        assert_eq!(world.most["alpha"], 3, "host {lost} lost");
        assert_eq!(ran(&world, other), 30);
    }
}

#[test]
fn no_restart_mints_permits() {
    for seed in 0..12 {
        let mut world = world(seed, 3, 5);
        world.loss = 10;
        world.disorder = 20;
        for step in 0..900u64 {
            for _ in 0..2 {
                let host = world.rng.random_range(0..3);
                world.ask(host, "alpha", &format!("alpha {step}"));
            }
            world.run(ms(20));
            if step % 200 == 100 {
                let host = world.rng.random_range(0..3);
                world.kill(host);
                if world.rng.random_range(0..2) == 0 {
                    world.run(ms(50));
                    world.start(host);
                } else {
                    world.run(ms(4_000));
                    world.start(host);
                }
            }
        }
        assert!(
            world.most["alpha"] <= 5,
            "seed {seed}: {}",
            world.most["alpha"]
        );
        assert!(world.told.len() > 100);
    }
}

#[test]
fn a_lower_ceiling_is_reached_as_requests_end() {
    let mut world = world(8, 2, 6);
    for index in 0..200 {
        world.ask(index % 2, "alpha", &format!("alpha {index}"));
    }
    world.run(ms(1_500));
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
    world.run(ms(1_000));
    world.most.clear();
    world.run(ms(500));
    assert!(world.most.get("alpha").is_none_or(|most| *most <= 2));
}

#[test]
fn loans_that_were_lost_on_the_way_are_not_lost_for_good() {
    for seed in 0..10 {
        let mut world = world(seed, 3, 4);
        world.loss = 60;
        for step in 0..150 {
            world.ask(step % 3, "alpha", &format!("alpha {step}"));
            world.run(ms(20));
        }
        world.loss = 0;
        world.run(ms(12_000));
        for host in 0..3 {
            world.most.clear();
            for index in 0..30 {
                world.ask(host, "alpha", &format!("alpha {host} {index}"));
            }
            world.run(ms(4_000));
            assert_eq!(world.most["alpha"], 4, "seed {seed}, host {host}");
        }
    }
}

#[test]
fn a_leaving_host_gives_its_permits_back() {
    let mut world = world(9, 2, 4);
    for leaving in 0..2 {
        for index in 0..20 {
            world.ask(leaving, "alpha", &format!("alpha {leaving} {index}"));
        }
        world.run(ms(3_000));
    }
    world.input(1, Input::Leave);
    world.hosts[1].standing = Standing::Leaving;
    world.share_view();
    world.run(ms(500));
    world.most.clear();
    for index in 0..20 {
        world.ask(0, "alpha", &format!("alpha last {index}"));
    }
    world.run(ms(3_000));
    assert_eq!(world.most["alpha"], 4);
}

/// A router alone, as a borrower; frames go in by hand.
struct Borrower(Router);

impl Borrower {
    fn take(&mut self, from: &str, body: Body) -> Vec<Output> {
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
        let out = self.take(from, Body::Survey(Survey { row, term }));
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
        self.take(from, Body::Allow(allow));
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
    assert_eq!(borrower.survey("host-1", 5).allowance, 0, "from no lender");
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
    assert_eq!(borrower.survey("host-2", 6).allowance, 3, "a former term");
}

#[test]
fn a_host_that_has_just_started_waits_before_it_lends() {
    let mut world = world(1, 1, 3);
    let id = world.ask(0, "alpha", "alpha 1");
    world.run(ms(900));
    assert!(world.sends.is_empty());
    world.run(ms(400));
    world.check_whole(id);
}

#[test]
fn permits_of_a_host_that_is_gone_wait_for_its_requests_to_end() {
    let mut world = world(7, 3, 3);
    for index in 0..30 {
        world.ask(0, "alpha", &format!("alpha first {index}"));
    }
    world.run(ms(1_200));
    world.kill(0);
    // Gone after 3 s; its three permits stay reserved for ten more.
    world.run(ms(4_000));
    let request = world.request("alpha", "alpha second", ms(60_000));
    let id = world.arrive(1, request);
    world.run(ms(8_000));
    assert!(world.told[&id].ends.is_empty());
    world.run(ms(3_000));
    world.check_whole(id);
}
