//! Compares the planner with an exhaustive search on small cases.

mod common;

use common::{Simulation, engine, row, table};
use mulberryrack_core::{Name, demand::Demand, node::Listing};
use mulberryrack_place::{Input, Settings, check};
use mulberryrack_table::Row;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of cases whose feasibility is compared.
const TABLES: u64 = 2_000;
/// Number of cases whose relieved requests are compared.
const PLACEMENTS: u64 = 100;
/// Pending requests that a copy serves well.
const COPY_LOAD: f64 = 8.0;

fn case(seed: u64) -> (Vec<Listing>, Vec<Row>, ChaCha8Rng) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let engines = (0..3).map(|i| engine(i, random.random_range(60..=100), false));
    let engines: Vec<Listing> = engines.collect();
    let rows = (0..5).map(|i| {
        let min = random.random_range(1..=2);
        row(&format!("m{i}"), random.random_range(10..=45), min, 3)
    });
    (engines, rows.collect(), random)
}

/// The largest possible number of relieved requests over all placements that give each row
/// its minimum number of copies; `None` if there is no such placement.
fn best(free: &mut [u64], rows: &[Row], loads: &[u32]) -> Option<f64> {
    let Some((row, rest)) = rows.split_first() else {
        return Some(0.0);
    };
    let mut most: Option<f64> = None;
    for set in 1_usize..1 << free.len() {
        let copies = set.count_ones();
        let taken = |e: usize| set >> e & 1 == 1;
        let fits = (0..free.len()).all(|e| !taken(e) || free[e] >= row.memory_mb);
        if !fits || copies < row.min_copies || copies > row.max_copies {
            continue;
        }
        let place = |free: &mut [u64], back: bool| {
            for e in (0..free.len()).filter(|&e| taken(e)) {
                free[e] = if back {
                    free[e] + row.memory_mb
                } else {
                    free[e] - row.memory_mb
                };
            }
        };
        place(free, false);
        let others = best(free, rest, &loads[1..]);
        place(free, true);
        let own = f64::from(loads[0]).min(f64::from(copies) * COPY_LOAD);
        most = others
            .map(|others| others + own)
            .into_iter()
            .chain(most)
            .reduce(f64::max);
    }
    most
}

fn memory(engines: &[Listing]) -> Vec<u64> {
    engines.iter().map(|engine| engine.memory_mb).collect()
}

#[test]
fn tables_that_pass_the_check_are_feasible_and_few_feasible_ones_are_refused() {
    let (mut feasible, mut refused) = (0, 0);
    for seed in 0..TABLES {
        let (engines, rows, _) = case(seed);
        let possible = best(&mut memory(&engines), &rows, &[0; 5]).is_some();
        let passes = check(&table(1, rows), &engines).is_ok();
        assert!(
            possible || !passes,
            "seed {seed} passes and is not feasible"
        );
        feasible += u32::from(possible);
        refused += u32::from(possible && !passes);
    }
    println!("event=check cases={TABLES} feasible={feasible} refused={refused}");
    assert!(refused * 20 <= feasible, "{refused} of {feasible} refused");
}

/// Relieved requests and number of moves after ten minutes of steady demand.
fn planned(seed: u64, engines: Vec<Listing>, rows: Vec<Row>, loads: &[u32]) -> (f64, u64) {
    let settings = Settings {
        move_price: 0.1,
        copy_load: COPY_LOAD,
        ..Settings::default()
    };
    let names: Vec<Name> = rows.iter().map(|row| row.name.clone()).collect();
    let mut sim = Simulation::new(seed, settings, engines, rows);
    sim.start("host-a");
    let placed = sim.converge(Duration::from_secs(120));
    assert!(
        placed.is_some(),
        "seed {seed} passes the check and is not placed"
    );
    for _ in 0..300 {
        let demands = names.iter().zip(loads).map(|(row, &pending)| Demand {
            row: row.clone(),
            arrivals: 0.0,
            pending,
            attained: 1.0,
        });
        sim.send_input(0, Input::Demand(demands.collect()));
        sim.run(Duration::from_secs(2));
    }
    let relieved = names.iter().zip(loads).map(|(name, &load)| {
        let copies = u32::try_from(sim.routable(name).len()).expect("few");
        f64::from(load).min(f64::from(copies) * COPY_LOAD)
    });
    (relieved.sum(), sim.moves)
}

#[test]
fn relieved_requests_are_near_the_best_placement() {
    let (mut best_sum, mut planned_sum, mut moves, mut copies, mut cases) = (0.0, 0.0, 0, 0, 0);
    for seed in 0..PLACEMENTS {
        let (engines, rows, mut random) = case(seed);
        let loads: Vec<u32> = (0..5).map(|_| random.random_range(0..30)).collect();
        if check(&table(1, rows.clone()), &engines).is_err() {
            continue;
        }
        let best = best(&mut memory(&engines), &rows, &loads).expect("it passes the check");
        copies += rows
            .iter()
            .map(|row| u64::from(row.min_copies))
            .sum::<u64>();
        let (relieved, taken) = planned(seed, engines, rows, &loads);
        assert!(relieved <= best, "seed {seed}: {relieved} of {best}");
        best_sum += best;
        planned_sum += relieved;
        moves += taken;
        cases += 1;
    }
    let share = planned_sum / best_sum;
    println!("event=attainment cases={cases} share={share:.3} moves={moves} lowest={copies}");
    assert!(share >= 0.9, "{share:.3} of the best");
}
