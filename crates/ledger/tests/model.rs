//! Random schedules of claims and faults, checked against a model of the requests that
//! may have run.

mod common;

use common::{Faults, RequestState, World};
use mulberryrack_core::{
    Incarnation, Name, Time,
    claim::{End, Verdict},
    note::Counter,
    outcome::{Doubt, Reason},
    request,
    view::Standing,
};
use mulberryrack_ledger::Settings;
use rand::RngExt;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const SCHEDULES: u64 = 4_000;
/// Further seeds, whose schedules once showed a fault.
const REGRESSION_SEEDS: [u64; 2] = [16_318, 39_367];
const STEPS: usize = 60;
const IDS: u128 = 6;

/// A grant that has not been released.
#[derive(Clone, Debug)]
struct Run {
    host: Name,
    incarnation: Incarnation,
    request: request::Key,
    body: u128,
    /// When the request arrived.
    at: Time,
}

/// State of all ids.
#[derive(Default)]
struct Model {
    /// Number of verdicts already checked.
    checked: usize,
    runs: BTreeMap<u128, Run>,
    /// Id and body of every request that was ever granted.
    ever_granted: BTreeMap<request::Key, (u128, u128)>,
    gaps: BTreeSet<u128>,
    answered: BTreeSet<(Name, Incarnation, request::Key)>,
}

impl Model {
    /// Checks the verdicts given since the last call.
    fn check(&mut self, world: &World, seed: u64) {
        for given in &world.verdicts[self.checked..] {
            let key = (given.host.clone(), given.incarnation, given.request);
            assert!(
                self.answered.insert(key.clone()),
                "seed {seed}: two verdicts on {key:?}"
            );
            let attempt = world.attempts[&key];
            match &given.verdict {
                Verdict::Granted => {
                    let run = Run {
                        host: given.host.clone(),
                        incarnation: given.incarnation,
                        request: given.request,
                        body: attempt.body,
                        at: attempt.at,
                    };
                    assert!(
                        !self.gaps.contains(&attempt.id),
                        "seed {seed}: {run:?} granted after a record gap"
                    );
                    self.ever_granted
                        .insert(given.request, (attempt.id, attempt.body));
                    let before = self.runs.insert(attempt.id, run.clone());
                    assert!(
                        before.is_none(),
                        "seed {seed}: {:x} granted to {run:?}, before to {before:?}",
                        attempt.id
                    );
                }
                Verdict::NotRun(refusal) => {
                    assert_eq!(refusal.reason, Reason::KeyReused, "seed {seed}");
                    // A request that arrived later may have run meanwhile, but not an earlier one.
                    let run = self.runs.get(&attempt.id);
                    assert!(
                        run.is_none_or(|run| run.body != attempt.body || run.at > attempt.at),
                        "seed {seed}: not run, and yet {run:?}"
                    );
                }
                Verdict::Unknown(Doubt::RecordGap) => {
                    self.gaps.insert(attempt.id);
                }
                Verdict::Unknown(_) => {}
                Verdict::Join { request, .. } => {
                    // The holder may have released its claim while the answer was in transit.
                    let joined = self.ever_granted.get(request);
                    assert_eq!(
                        joined,
                        Some(&(attempt.id, attempt.body)),
                        "seed {seed}: joined to another request"
                    );
                }
            }
        }
        self.checked = world.verdicts.len();
    }

    /// Ends a granted request of a live host at random.
    fn end(&mut self, world: &mut World) {
        let running: Vec<(u128, Run)> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                world.hosts.get(&run.host).is_some_and(|host| {
                    host.incarnation == run.incarnation
                        && host.requests.get(&run.request) == Some(&RequestState::Running)
                })
            })
            .map(|(id, run)| (*id, run.clone()))
            .collect();
        if running.is_empty() {
            return;
        }
        let (id, run) = &running[world.rng.random_range(0..running.len())];
        let end = match world.rng.random_range(0..5) {
            0 | 1 => End::NotSent,
            2 => End::Unknown,
            _ => End::Ran,
        };
        if end == End::NotSent {
            self.runs.remove(id);
        }
        world.done(&run.host, run.request, end);
    }
}

fn settings() -> Settings {
    Settings {
        shards: 2,
        positions: 8,
        witness_delay: Duration::from_millis(60),
        refuse_timeout: Duration::from_millis(600),
        handover_delay: Duration::from_millis(500),
        call_timeout: Duration::from_millis(200),
        call_retry_delay: Duration::from_millis(50),
        quarantine_period: Duration::from_secs(100_000),
        retention: Duration::from_secs(100_000),
        ..Settings::default()
    }
}

fn faults(world_seed: u64) -> Faults {
    if world_seed.is_multiple_of(4) {
        return Faults::default();
    }
    Faults {
        loss: 0.1,
        duplicated: 0.1,
        max_delay: Duration::from_millis(40),
        max_service_time: Duration::from_millis(10),
        lost_answers: 0.1,
        late: 0.3,
    }
}

fn step(world: &mut World, model: &mut Model) {
    let names = ["host-0", "host-1", "host-2", "host-3", "host-4"];
    let name = names[world.rng.random_range(0..names.len())];
    let up = world.hosts.contains_key(name);
    match world.rng.random_range(0..25) {
        0..=9 => {
            let number = world.rng.random_range(0..IDS);
            let body = if world.chance(0.1) { 2 } else { 1 };
            let timeout = Duration::from_millis(world.rng.random_range(50..3_000));
            world.claim(name, (number << 64) | number, body, timeout);
        }
        10..=12 => model.end(world),
        13 => {
            world.service_down = true;
        }
        14 | 15 => world.service_down = false,
        16 if up => world.pause(name),
        17 => world.resume(name),
        18 if up && world.hosts.len() > 1 => {
            world.crash(name, Standing::Suspect);
        }
        19 if !up && world.standings.contains_key(name) => {
            world.start(name);
            world.publish_view_to(name);
        }
        20 => publish_wrong_view(world, name),
        21 => {
            let other = names[world.rng.random_range(0..names.len())];
            world.cut_links.insert((name.into(), other.into()));
        }
        22 => world.cut_links.clear(),
        23 if up && world.hosts.len() > 1 && world.chance(0.3) => world.leave(name),
        _ => {
            let names = world.names();
            let name = names[world.rng.random_range(0..names.len())].clone();
            world.publish_view_to(&name);
        }
    }
}

/// Gives some hosts a view with a possibly wrong standing of a host: a live host may
/// appear alive or dead, a crashed host suspected, dead or gone.
fn publish_wrong_view(world: &mut World, name: &str) {
    let standing = match (world.hosts.contains_key(name), world.rng.random_range(0..3)) {
        (false, 0) => Standing::Gone,
        (_, 1) => Standing::Dead,
        (true, _) => Standing::Alive,
        (false, _) => Standing::Suspect,
    };
    world.set_standing(name, standing);
    for name in world.names() {
        if world.chance(0.7) {
            world.publish_view_to(&name);
        }
    }
}

fn run_schedule(seed: u64) -> World {
    let hosts = 2 + usize::try_from(seed % 4).expect("small");
    let mut world = World::new(hosts, seed, settings(), faults(seed));
    let mut model = Model::default();
    for _ in 0..STEPS {
        step(&mut world, &mut model);
        let span = Duration::from_millis(world.rng.random_range(0..200));
        world.run(span);
        model.check(&world, seed);
    }
    end_faults(&mut world, &mut model, seed);
    world
}

/// Ends all faults. Then every claim of a live host must have a verdict and claims for
/// new ids must be answered.
fn end_faults(world: &mut World, model: &mut Model, seed: u64) {
    world.service_down = false;
    world.cut_links.clear();
    world.faults = Faults::default();
    for name in world.standings.keys().cloned().collect::<Vec<_>>() {
        let standing = match world.hosts.get(&name) {
            Some(host) if host.leaving => Standing::Leaving,
            Some(_) => Standing::Alive,
            None => Standing::Gone,
        };
        world.set_standing(&name, standing);
        world.resume(&name);
    }
    world.start("host-9");
    world.publish_view();
    world.run(Duration::from_secs(15));
    for name in world.names() {
        let host = &world.hosts[&name];
        assert_eq!(host.leaving, host.left, "seed {seed}: {name} cannot leave");
        if host.left {
            world.crash(&name, Standing::Gone);
        }
    }
    world.publish_view();
    world.run(Duration::from_secs(5));
    model.check(world, seed);
    for (name, incarnation, request) in world.attempts.keys() {
        let is_live = world
            .hosts
            .get(name)
            .is_some_and(|host| host.incarnation == *incarnation);
        let key = (name.clone(), *incarnation, *request);
        assert!(
            !is_live || model.answered.contains(&key),
            "seed {seed}: no verdict on {key:?}"
        );
    }
    let hosts = world.names();
    let new_claims: Vec<_> = (0..4u128)
        .map(|number| {
            let host = &hosts[usize::try_from(number).expect("small") % hosts.len()];
            let id = ((100 + number) << 64) | number;
            world.claim(host, id, 1, Duration::from_secs(2))
        })
        .collect();
    world.run(Duration::from_secs(3));
    model.check(world, seed);
    for request in new_claims {
        let verdict = world.verdict(request);
        assert!(
            matches!(
                verdict,
                Some(Verdict::Granted | Verdict::Unknown(Doubt::RecordGap))
            ),
            "seed {seed}: {verdict:?} after all faults"
        );
    }
}

/// Checks that the schedules exercise recording, witnesses, joins and takeovers.
fn check_coverage(totals: &BTreeMap<Counter, u64>) {
    for counter in [
        Counter::IntentRecorded,
        Counter::IntentWitnessed,
        Counter::Joined,
        Counter::ShardTaken,
    ] {
        let count = totals.get(&counter).copied().unwrap_or(0);
        assert!(count > SCHEDULES / 10, "{counter:?}: {count}");
    }
}

#[test]
fn no_schedule_runs_an_id_twice_or_gives_a_false_verdict() {
    let mut totals = BTreeMap::new();
    for seed in (0..SCHEDULES).chain(REGRESSION_SEEDS) {
        let world = run_schedule(seed);
        for (counter, count) in world.counts {
            *totals.entry(counter).or_default() += count;
        }
    }
    check_coverage(&totals);
}

#[test]
fn same_seed_gives_the_same_verdicts() {
    for seed in 0..40 {
        let (one, other) = (run_schedule(seed), run_schedule(seed));
        assert_eq!(
            format!("{:?}", one.verdicts),
            format!("{:?}", other.verdicts),
            "seed {seed}"
        );
        assert_eq!(
            format!("{:?}", one.store),
            format!("{:?}", other.store),
            "seed {seed}"
        );
    }
}
