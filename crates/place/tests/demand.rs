//! Copies that follow demand, with a price for each move.

mod common;

use common::{Simulation, engine, row};
use mulberryrack_core::{Name, demand::Demand, request::Priority};
use mulberryrack_place::{Input, Settings};
use std::time::Duration;

/// Four engines with room for two copies beyond the minimums.
fn sim(move_price: f64) -> Simulation {
    let mut rows: Vec<_> = (0..6).map(|i| row(&format!("m{i}"), 40, 1, 4)).collect();
    rows[5].priority = Priority::Urgent;
    let settings = Settings {
        move_price,
        ..Settings::default()
    };
    let engines = (0..4).map(|i| engine(i, 100, false)).collect();
    let mut sim = Simulation::new(5, settings, engines, rows);
    for name in ["host-a", "host-b"] {
        sim.start(name);
    }
    sim.converge(Duration::from_secs(30)).expect("placed");
    sim
}

/// Reports pending requests once a second from both hosts, half each.
fn demand(sim: &mut Simulation, seconds: u32, pending: &[(&str, u32)]) {
    for _ in 0..seconds {
        for index in 0..sim.hosts.len() {
            let demands = pending.iter().map(|(name, count)| Demand {
                row: Name::from(*name),
                arrivals: 0.0,
                pending: count / 2,
                attained: 1.0,
            });
            sim.send_input(index, Input::Demand(demands.collect()));
        }
        sim.run(Duration::from_secs(1));
    }
}

#[test]
fn a_tenfold_rise_is_followed_within_two_minutes() {
    let mut sim = sim(2.0);
    demand(&mut sim, 60, &[("m0", 4)]);
    assert_eq!(sim.routable("m0").len(), 1);
    demand(&mut sim, 120, &[("m0", 40)]);
    assert_eq!(sim.routable("m0").len(), 3, "both free places are taken");
}

#[test]
fn urgent_demand_goes_first() {
    let mut sim = sim(2.0);
    demand(&mut sim, 120, &[("m0", 30), ("m5", 30)]);
    assert_eq!(sim.routable("m5").len(), 3);
    assert_eq!(sim.routable("m0").len(), 1);
}

#[test]
fn a_higher_move_price_needs_more_demand() {
    let mut sim = sim(20.0);
    let moves = sim.moves;
    demand(&mut sim, 120, &[("m0", 40)]);
    assert_eq!(sim.moves, moves);
}

#[test]
fn short_bursts_that_alternate_do_not_move_copies_back_and_forth() {
    let mut sim = sim(2.0);
    for _ in 0..30 {
        demand(&mut sim, 5, &[("m0", 40), ("m1", 2)]);
        demand(&mut sim, 5, &[("m0", 2), ("m1", 40)]);
    }
    // The free memory for two copies is filled once; nothing is unloaded for the other
    // row's burst.
    assert!(sim.moves <= 6 + 2, "{} moves", sim.moves);
}

#[test]
fn copies_follow_demand_that_moves_to_another_row_for_long() {
    let mut sim = sim(2.0);
    demand(&mut sim, 120, &[("m0", 40)]);
    demand(&mut sim, 1_800, &[("m1", 40)]);
    assert_eq!(sim.routable("m1").len(), 3);
    assert_eq!(sim.routable("m0").len(), 1);
}
