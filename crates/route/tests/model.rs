//! Random schedules of faults; checks what callers receive.
//!
//! An answer is whole or reported as incomplete, and comes from a single run of its own
//! request. Each request has one outcome. A request that must not be repeated runs at
//! most once, and "not run" is never reported for a request that ran.

mod common;

use common::{Mode, World, ms, row};
use mulberryrack_core::{
    outcome::Outcome,
    request::{Key, Priority},
};
use mulberryrack_route::Input;
use mulberryrack_table::Kind;
use rand::RngExt;
use std::collections::BTreeMap;

/// Number of schedules.
const SEEDS: u64 = 150;

const ENGINES: [&str; 4] = ["engine-0", "engine-1", "engine-2", "engine-3"];
const SERVICES: [&str; 4] = ["check-0", "check-1", "booking-0", "booking-1"];

fn world(seed: u64) -> World {
    let mut booking = row("booking", Kind::Service);
    booking.repeatable = false;
    let mut draft = row("draft", Kind::Model);
    draft.repeatable = false;
    draft.ceiling = 5;
    let mut alpha = row("alpha", Kind::Model);
    alpha.priority = Priority::Urgent;
    alpha.ceiling = 6;
    let rows = vec![alpha, row("check", Kind::Service), booking, draft];
    let mut world = World::new(seed, 3, rows);
    for name in ENGINES {
        world.add_engine(name, 4, &["alpha", "draft"]);
    }
    for name in SERVICES {
        world.add_service(name, 4, name.split('-').next().unwrap());
    }
    world
}

struct Schedule {
    world: World,
    sent: Vec<(usize, Key)>,
    /// Requests that may stay without an outcome: their host was stopped or their caller
    /// left.
    unanswered: Vec<(usize, Key)>,
    names: u32,
}

impl Schedule {
    fn draw(&mut self, below: usize) -> usize {
        self.world.rng.random_range(0..below)
    }

    fn send(&mut self) {
        let host = self.draw(3);
        let target = ["alpha", "check", "booking", "draft"][self.draw(4)];
        self.names += 1;
        // Sends some requests again, through any host, before, during and after the first
        // answer.
        let requests_back = u32::try_from(self.draw(8)).unwrap();
        let name = format!("{target} {}", self.names.saturating_sub(requests_back));
        let keyed = matches!(target, "booking" | "draft");
        let deadline = [400, 2_000, 6_000][self.draw(3)];
        let fresh = format!("{target} single {}", self.names);
        let single = self.draw(4) == 0;
        let name = if keyed && !single { name } else { fresh };
        let mut request = self.world.new_request(target, &name, ms(deadline));
        if keyed && !single {
            request.idempotency = Some(name.as_str().into());
        }
        let id = self.world.send_request(host, request);
        if self.world.hosts[host].router.is_some() {
            self.sent.push(id);
        }
    }

    fn inject_fault(&mut self) {
        let any = self.draw(8);
        let name = *ENGINES.iter().chain(&SERVICES).nth(any).unwrap();
        let host = self.draw(3);
        match self.draw(16) {
            0 => self.world.crash(name),
            1 | 2 => self.world.restart(name),
            3 => self.world.upstream(name).mode = Mode::Silent,
            4 => self.world.upstream(name).mode = Mode::Status(503),
            5 => self.world.upstream(name).mode = Mode::Status(500),
            6 | 7 => self.world.upstream(name).mode = Mode::Serving,
            8 => self.world.upstream(name).silence_after = Some(2),
            9 => self.world.upstream(name).break_after = Some(1),
            10 => self.world.upstream(name).pool_silent ^= true,
            11 => self.world.upstream(name).leaving ^= true,
            12 => self.world.loss_percent = [0, 20, 60][host],
            13 => self.world.duplicate_percent = [0, 30, 60][host],
            14 => self.world.ledger_delay = Some(ms([2, 100, 1_500][host])),
            _ => self.kill_or_start_host(host),
        }
    }

    fn kill_or_start_host(&mut self, host: usize) {
        if self.world.hosts[host].router.is_none() {
            self.world.start(host);
            return;
        }
        let open = self.sent.iter().filter(|id| id.0 == host);
        let open = open.filter(|id| self.world.received[id].outcomes.is_empty());
        self.unanswered.extend(open.copied().collect::<Vec<_>>());
        self.world.kill(host);
    }

    fn disconnect_caller(&mut self) {
        let index = self.draw(self.sent.len().max(1));
        let Some(id) = self.sent.get(index).copied() else {
            return;
        };
        if self.world.received[&id].outcomes.is_empty() {
            self.world.input(id.0, Input::CallerGone(id.1));
            self.unanswered.push(id);
        }
    }

    fn run(seed: u64) -> Self {
        let mut schedule = Self {
            world: world(seed),
            sent: Vec::new(),
            unanswered: Vec::new(),
            names: 0,
        };
        for _ in 0..400 {
            schedule.send();
            if schedule.draw(4) == 0 {
                schedule.inject_fault();
            }
            if schedule.draw(20) == 0 {
                schedule.disconnect_caller();
            }
            let pause = u64::try_from(schedule.draw(40)).unwrap();
            schedule.world.run_for(ms(pause));
        }
        schedule.world.run_for(ms(15_000));
        schedule
    }

    fn check(&self, seed: u64) -> BTreeMap<&'static str, usize> {
        let mut outcomes = BTreeMap::new();
        for id in &self.sent {
            let received = &self.world.received[id];
            self.world.assert_unmixed(*id);
            let runs = self.world.run_count(&received.name);
            match received.outcome() {
                Some(Outcome::Ran) => {
                    if received.status == Some(200) {
                        self.world.assert_whole(*id);
                        assert!(runs > 0);
                    }
                    *outcomes.entry("ran").or_default() += 1;
                }
                Some(Outcome::NotRun(refusal)) => {
                    let others = self
                        .sent
                        .iter()
                        .filter(|other| self.world.received[other].name == received.name);
                    if others.count() == 1 {
                        assert_eq!(runs, 0, "seed {seed}: {refusal:?} {received:?}");
                    }
                    // No earlier request with the same key may have run either.
                    let earlier = self.world.started_before(&received.name, received.sent_at);
                    assert!(!earlier, "seed {seed}: {refusal:?} {received:?}");
                    *outcomes.entry("not-run").or_default() += 1;
                }
                Some(Outcome::Unknown(_)) => *outcomes.entry("unknown").or_default() += 1,
                None => assert!(
                    self.unanswered.contains(id),
                    "seed {seed}: no end for {received:?}"
                ),
            }
            if matches!(received.target.as_str(), "booking" | "draft") {
                assert!(runs <= 1, "seed {seed}: {runs} runs of {}", received.name);
            }
        }
        for (target, ceiling) in [("draft", 5), ("alpha", 6)] {
            // A hedged request may run on two engines at once.
            let hedges = if target == "alpha" { 2 } else { 1 };
            let most = self.world.peak_running.get(target).copied().unwrap_or(0);
            assert!(most <= ceiling * hedges, "seed {seed}: {most} of {target}");
        }
        outcomes
    }
}

#[test]
fn answers_and_outcomes_are_true_under_random_faults() {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for seed in 0..SEEDS {
        let schedule = Schedule::run(seed);
        for (what, count) in schedule.check(seed) {
            *seen.entry(what).or_default() += count;
        }
    }
    // The schedules must reach every kind of outcome.
    assert!(
        seen["ran"] > 1_000 && seen["not-run"] > 1_000 && seen["unknown"] > 200,
        "{seen:?}"
    );
}

#[test]
fn the_same_schedule_gives_the_same_answers() {
    for seed in 0..3 {
        let [one, other] = [Schedule::run(seed), Schedule::run(seed)];
        assert_eq!(
            format!("{:?}", one.world.received),
            format!("{:?}", other.world.received)
        );
        assert_eq!(
            format!("{:?}", one.world.sends),
            format!("{:?}", other.world.sends)
        );
    }
}
