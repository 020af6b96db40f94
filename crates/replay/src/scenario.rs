//! Traces made under a fixed seed: the users' days with what goes wrong in them.

use crate::{
    deployment::RELEASE_TABLE,
    trace::{Act, Line, Request},
};
use mulberryrack_core::{Name, request::Priority};
use mulberryrack_table::{Kind, Row};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{fmt, str::FromStr};

/// What a made trace shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// A working day without faults: a ramp up, bursts, a ramp down.
    Steady,
    /// Demand for a third of the rows moves tenfold.
    Surge,
    /// A release of most rows, followed by a jump in demand.
    Release,
    /// The key-value service is away for half of the trace.
    Outage,
    /// Hosts die, pause and are cut off.
    HostLoss,
    /// Engines crash, leave, and their orders are lost.
    EngineLoss,
    /// A request that crashes its engine, sent again and again.
    Poison,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Surge,
        Self::Release,
        Self::Outage,
        Self::HostLoss,
        Self::EngineLoss,
        Self::Poison,
    ];

    /// The name on the command line.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Surge => "surge",
            Self::Release => "release",
            Self::Outage => "outage",
            Self::HostLoss => "host-loss",
            Self::EngineLoss => "engine-loss",
            Self::Poison => "poison",
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.label() == text)
            .ok_or_else(|| {
                let known = Self::ALL.map(Self::label).join(", ");
                format!("{text:?} is none of {known}")
            })
    }
}

/// What a trace is made for.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Length in seconds.
    pub seconds: u64,
    /// Requests a second at the height of the day.
    pub rate: f64,
    /// Seed of every draw.
    pub seed: u64,
    /// Rows of the first table.
    pub rows: Vec<Row>,
    /// Entry hosts.
    pub hosts: Vec<Name>,
    /// Model engines.
    pub engines: Vec<Name>,
}

/// Exponent of the popularity of rows: few are called much, many little.
const POPULARITY: f64 = 0.9;
/// Part of each day that ramps up, and as much that ramps down.
const RAMP: f64 = 0.15;
/// Callers that share a start of their prompts, for each row.
const GROUPS: u32 = 20;
/// Chance in a second that a row begins a burst.
const BURST_CHANCE: f64 = 0.01;
/// Length of a burst in seconds.
const BURST_SECONDS: u64 = 12;
/// Height of a burst over the row's usual demand.
const BURST_FACTOR: f64 = 4.0;
/// Requests of one row in one second at the most.
const MAX_PER_SECOND: usize = 500;

/// Makes a trace.
#[must_use]
pub fn make(scenario: Scenario, shape: &Shape) -> Vec<Line> {
    let mut draws = ChaCha8Rng::seed_from_u64(shape.seed);
    let mut lines = requests(scenario, shape, &mut draws);
    lines.extend(faults(scenario, shape));
    // Stable: of two lines at one time, the one made first stays first.
    lines.sort_by_key(|line| line.at_ms);
    lines
}

fn requests(scenario: Scenario, shape: &Shape, draws: &mut ChaCha8Rng) -> Vec<Line> {
    let weights = popularity(&shape.rows, draws);
    let mut burst_until = vec![0; shape.rows.len()];
    let mut lines = Vec::new();
    let mut serial = 0;
    for second in 0..shape.seconds {
        for (index, row) in shape.rows.iter().enumerate() {
            if draws.random_bool(BURST_CHANCE) {
                burst_until[index] = second + BURST_SECONDS;
            }
            let burst = if second < burst_until[index] {
                BURST_FACTOR
            } else {
                1.0
            };
            let factor =
                burst * day(second, shape.seconds) * demand(scenario, index, second, shape);
            let expected = shape.rate * weights[index] * factor;
            for _ in 0..poisson(expected, draws).min(MAX_PER_SECOND) {
                serial += 1;
                let at_ms = second * 1_000 + draws.random_range(0..1_000);
                lines.push(Line {
                    at_ms,
                    act: Act::Request(request(row, serial, draws)),
                });
            }
        }
    }
    lines
}

/// Share of all requests for each row.
fn popularity(rows: &[Row], draws: &mut ChaCha8Rng) -> Vec<f64> {
    let mut ranks: Vec<u32> = (1..).take(rows.len()).collect();
    for index in (1..ranks.len()).rev() {
        ranks.swap(index, draws.random_range(0..=index));
    }
    let weights: Vec<f64> = ranks
        .iter()
        .map(|rank| f64::from(*rank).powf(-POPULARITY))
        .collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum).collect()
}

#[allow(clippy::cast_precision_loss)]
fn part(second: u64, seconds: u64) -> f64 {
    second as f64 / seconds.max(1) as f64
}

/// Height of the day's demand: ramps up, stays, ramps down.
fn day(second: u64, seconds: u64) -> f64 {
    let part = part(second, seconds);
    (part / RAMP).min((1.0 - part) / RAMP).clamp(0.05, 1.0)
}

/// Factor on one row's demand by the scenario.
fn demand(scenario: Scenario, index: usize, second: u64, shape: &Shape) -> f64 {
    let part = part(second, shape.seconds);
    match scenario {
        Scenario::Surge if index.is_multiple_of(3) && (0.4..0.7).contains(&part) => 10.0,
        Scenario::Surge => 0.5,
        Scenario::Release if (0.45..0.6).contains(&part) => 2.0,
        _ => 1.0,
    }
}

/// Draws a count with this mean by adding up exponential gaps.
fn poisson(mean: f64, draws: &mut ChaCha8Rng) -> usize {
    let mut count = 0;
    let mut sum = 0.0;
    loop {
        sum -= (1.0 - draws.random::<f64>()).ln();
        if sum > mean || count >= MAX_PER_SECOND {
            return count;
        }
        count += 1;
    }
}

fn request(row: &Row, serial: u64, draws: &mut ChaCha8Rng) -> Request {
    let key = (!row.repeatable).then(|| format!("{}-{serial}", row.name).into());
    if row.kind == Kind::Service {
        return Request {
            target: row.name.clone(),
            key,
            group: None,
            prompt_tokens: 0,
            answer_tokens: 0,
            deadline_ms: 4_000,
            poison: false,
        };
    }
    let (prompt, answer, deadline_ms) = match row.priority {
        Priority::Urgent => (100..400, 10..40, 6_000),
        Priority::Normal => (200..1_200, 30..120, 20_000),
        Priority::Bulk => (800..3_000, 80..240, 60_000),
    };
    let group = draws.random_range(0..GROUPS);
    Request {
        target: row.name.clone(),
        key,
        group: Some(format!("{}-caller-{group}", row.name).into()),
        prompt_tokens: draws.random_range(prompt),
        answer_tokens: draws.random_range(answer),
        deadline_ms,
        poison: false,
    }
}

/// What goes wrong, at parts of the trace in a hundred.
fn faults(scenario: Scenario, shape: &Shape) -> Vec<Line> {
    let total = shape.seconds * 1_000;
    let acts = match scenario {
        Scenario::Steady | Scenario::Surge => Vec::new(),
        Scenario::Release => vec![(
            40,
            Act::Accept {
                table: RELEASE_TABLE.into(),
            },
        )],
        Scenario::Outage => outage(total),
        Scenario::HostLoss => host_loss(total, shape),
        Scenario::EngineLoss => engine_loss(total, shape),
        Scenario::Poison => (0..6).map(|turn| (30 + 8 * turn, poison(shape))).collect(),
    };
    acts.into_iter()
        .map(|(part, act)| Line {
            at_ms: total * part / 100,
            act,
        })
        .collect()
}

/// Answers are lost, then the service is away, then it is slow.
fn outage(total: u64) -> Vec<(u64, Act)> {
    let loses = Act::KvLosesAnswers {
        percent: 30,
        for_ms: total / 20,
    };
    let slow = Act::KvSlow {
        add_ms: 300,
        for_ms: total / 10,
    };
    let away = Act::KvOutage { for_ms: total / 2 };
    vec![(20, loses), (30, away), (85, slow)]
}

/// Hosts die, stand still, are cut off and leave, one after the other.
fn host_loss(total: u64, shape: &Shape) -> Vec<(u64, Act)> {
    let host = |index: usize| shape.hosts[index % shape.hosts.len()].clone();
    let for_ms = total / 10;
    let kill = |index| Act::KillHost {
        host: host(index),
        back_ms: Some(for_ms),
    };
    let pause = Act::PauseHost {
        host: host(1),
        for_ms,
    };
    let cut = Act::CutHosts {
        hosts: vec![host(2)],
        for_ms,
    };
    let drain = Act::DrainHost { host: host(3) };
    vec![
        (20, kill(0)),
        (35, pause),
        (50, cut),
        (65, drain),
        (80, kill(4)),
    ]
}

/// Orders are lost; engines crash, fall silent, leave, and go for good.
fn engine_loss(total: u64, shape: &Shape) -> Vec<(u64, Act)> {
    let engine = |index: usize| shape.engines[index % shape.engines.len()].clone();
    let lost = Act::OrdersLost {
        percent: 20,
        for_ms: total / 2,
    };
    let crash = |index, back_ms| Act::CrashEngine {
        engine: engine(index),
        back_ms,
    };
    let silent = Act::SilentStreams {
        upstream: engine(1),
    };
    let leaves = Act::EngineLeaves { engine: engine(2) };
    vec![
        (10, lost),
        (25, crash(0, Some(total / 10))),
        (45, silent),
        (60, leaves),
        (75, crash(3, None)),
    ]
}

/// The same crashing request each time, under a new key where the row needs one.
fn poison(shape: &Shape) -> Act {
    let row = shape
        .rows
        .iter()
        .find(|row| row.kind != Kind::Service && row.repeatable)
        .map_or_else(|| Name::from("none"), |row| row.name.clone());
    Act::Request(Request {
        target: row,
        key: None,
        group: Some("poison".into()),
        prompt_tokens: 200,
        answer_tokens: 20,
        deadline_ms: 10_000,
        poison: true,
    })
}
