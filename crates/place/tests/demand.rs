//! Copies that follow demand, against a price for each move.

mod common;

use common::{Rig, engine, row};
use mulberryrack_core::{Name, demand::Demand, request::Priority};
use mulberryrack_place::{Input, Settings};
use std::time::Duration;

/// Four engines with room for two copies beyond the lowest numbers.
fn rig(move_price: f64) -> Rig {
    let mut rows: Vec<_> = (0..6).map(|i| row(&format!("m{i}"), 40, 1, 4)).collect();
    rows[5].priority = Priority::Urgent;
    let settings = Settings {
        move_price,
        ..Settings::default()
    };
    let engines = (0..4).map(|i| engine(i, 100, false)).collect();
    let mut rig = Rig::new(5, settings, engines, rows);
    for name in ["host-a", "host-b"] {
        rig.start(name);
    }
    rig.converge(Duration::from_secs(30)).expect("placed");
    rig
}

/// Reports pending requests once a second from both hosts, half each.
fn demand(rig: &mut Rig, seconds: u32, pending: &[(&str, u32)]) {
    for _ in 0..seconds {
        for index in 0..rig.hosts.len() {
            let demands = pending.iter().map(|(name, count)| Demand {
                row: Name::from(*name),
                arrivals: 0.0,
                pending: count / 2,
                attained: 1.0,
            });
            rig.tell(index, Input::Demand(demands.collect()));
        }
        rig.run(Duration::from_secs(1));
    }
}

#[test]
fn a_tenfold_rise_is_followed_within_two_minutes() {
    let mut rig = rig(2.0);
    demand(&mut rig, 60, &[("m0", 4)]);
    assert_eq!(rig.routable("m0").len(), 1);
    demand(&mut rig, 120, &[("m0", 40)]);
    assert_eq!(rig.routable("m0").len(), 3, "both free places are taken");
}

#[test]
fn urgent_demand_goes_first() {
    let mut rig = rig(2.0);
    demand(&mut rig, 120, &[("m0", 30), ("m5", 30)]);
    assert_eq!(rig.routable("m5").len(), 3);
    assert_eq!(rig.routable("m0").len(), 1);
}

#[test]
fn a_dear_move_needs_more_demand() {
    let mut rig = rig(20.0);
    let moves = rig.moves;
    demand(&mut rig, 120, &[("m0", 40)]);
    assert_eq!(rig.moves, moves);
}

#[test]
fn short_bursts_that_alternate_do_not_move_copies_back_and_forth() {
    let mut rig = rig(2.0);
    for _ in 0..30 {
        demand(&mut rig, 5, &[("m0", 40), ("m1", 2)]);
        demand(&mut rig, 5, &[("m0", 2), ("m1", 40)]);
    }
    // Two free places are filled once; nothing is unloaded for the other row's burst.
    assert!(rig.moves <= 6 + 2, "{} moves", rig.moves);
}

#[test]
fn demand_that_stays_takes_the_place_of_demand_that_has_gone() {
    let mut rig = rig(2.0);
    demand(&mut rig, 120, &[("m0", 40)]);
    demand(&mut rig, 1_800, &[("m1", 40)]);
    assert_eq!(rig.routable("m1").len(), 3);
    assert_eq!(rig.routable("m0").len(), 1);
}
