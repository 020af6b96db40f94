//! Generates traces from a seed: a day of requests with the faults of a scenario.

use crate::{
    deployment::RELEASE_TABLE,
    trace::{Act, Line, Request},
};
use mulberryrack_core::{Name, request::Priority};
use mulberryrack_table::{Kind, Row};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{fmt, str::FromStr};

/// What happens in a generated trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// A day without faults: demand ramps up, has bursts, and ramps down.
    Steady,
    /// Demand for a third of the rows rises tenfold; demand for the others is halved.
    Surge,
    /// A release of most rows, followed by a jump in demand.
    Release,
    /// The key-value service does not answer for half of the trace.
    Outage,
    /// Hosts are killed, paused, cut off and drained.
    HostLoss,
    /// Engines crash, fall silent and leave, and orders to them are lost.
    EngineLoss,
    /// A request that crashes its engine is sent six times.
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

    /// Name on the command line.
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

/// Size, seed and deployment of a generated trace.
#[derive(Clone, Debug)]
pub struct TraceOptions {
    /// Length of the trace in seconds.
    pub seconds: u64,
    /// Requests per second at the full height of the day, without bursts.
    pub rate: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Rows of the first table.
    pub rows: Vec<Row>,
    /// Names of the entry hosts.
    pub hosts: Vec<Name>,
    /// Names of the engines.
    pub engines: Vec<Name>,
}

/// Exponent of the Zipf distribution of requests over rows.
const POPULARITY_EXPONENT: f64 = 0.9;
/// Share of the trace in which demand ramps up, and in which it ramps down.
const RAMP_SHARE: f64 = 0.15;
/// Number of groups per row whose prompts share their start.
const PROMPT_GROUPS: u32 = 20;
/// Probability per second that a row begins a burst.
const BURST_CHANCE: f64 = 0.01;
/// Length of a burst, in seconds.
const BURST_S: u64 = 12;
/// Factor on a row's demand during a burst.
const BURST_FACTOR: f64 = 4.0;
/// Maximum number of requests of one row in one second.
const MAX_REQUESTS_PER_ROW_SECOND: usize = 500;

/// Generates a trace, in order of time.
#[must_use]
pub fn generate(scenario: Scenario, options: &TraceOptions) -> Vec<Line> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut lines = requests(scenario, options, &mut rng);
    lines.extend(faults(scenario, options));
    // The sort is stable: lines of the same time stay in the order of generation.
    lines.sort_by_key(|line| line.at_ms);
    lines
}

fn requests(scenario: Scenario, options: &TraceOptions, rng: &mut ChaCha8Rng) -> Vec<Line> {
    let weights = popularity(&options.rows, rng);
    let mut burst_until = vec![0; options.rows.len()];
    let mut lines = Vec::new();
    let mut serial = 0;
    for second in 0..options.seconds {
        for (index, row) in options.rows.iter().enumerate() {
            if rng.random_bool(BURST_CHANCE) {
                burst_until[index] = second + BURST_S;
            }
            let burst = if second < burst_until[index] {
                BURST_FACTOR
            } else {
                1.0
            };
            let factor = burst
                * day_factor(second, options.seconds)
                * scenario_factor(scenario, index, second, options);
            let expected = options.rate * weights[index] * factor;
            for _ in 0..draw_poisson(expected, rng).min(MAX_REQUESTS_PER_ROW_SECOND) {
                serial += 1;
                let at_ms = second * 1_000 + rng.random_range(0..1_000);
                lines.push(Line {
                    at_ms,
                    act: Act::Request(request(row, serial, rng)),
                });
            }
        }
    }
    lines
}

/// Share of all requests for each row, with the ranks in random order.
fn popularity(rows: &[Row], rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut ranks: Vec<u32> = (1..).take(rows.len()).collect();
    for index in (1..ranks.len()).rev() {
        ranks.swap(index, rng.random_range(0..=index));
    }
    let weights: Vec<f64> = ranks
        .iter()
        .map(|rank| f64::from(*rank).powf(-POPULARITY_EXPONENT))
        .collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum).collect()
}

#[allow(clippy::cast_precision_loss)]
fn elapsed_share(second: u64, seconds: u64) -> f64 {
    second as f64 / seconds.max(1) as f64
}

/// Factor on all demand by the time of the day: ramps up, stays at 1, ramps down.
fn day_factor(second: u64, seconds: u64) -> f64 {
    let elapsed_share = elapsed_share(second, seconds);
    (elapsed_share / RAMP_SHARE)
        .min((1.0 - elapsed_share) / RAMP_SHARE)
        .clamp(0.05, 1.0)
}

/// Factor that the scenario puts on a row's demand.
fn scenario_factor(scenario: Scenario, index: usize, second: u64, options: &TraceOptions) -> f64 {
    let elapsed_share = elapsed_share(second, options.seconds);
    match scenario {
        Scenario::Surge if index.is_multiple_of(3) && (0.4..0.7).contains(&elapsed_share) => 10.0,
        Scenario::Surge => 0.5,
        Scenario::Release if (0.45..0.6).contains(&elapsed_share) => 2.0,
        _ => 1.0,
    }
}

/// Draws from the Poisson distribution with this mean, by summing exponential gaps.
fn draw_poisson(mean: f64, rng: &mut ChaCha8Rng) -> usize {
    let mut count = 0;
    let mut sum = 0.0;
    loop {
        sum -= (1.0 - rng.random::<f64>()).ln();
        if sum > mean || count >= MAX_REQUESTS_PER_ROW_SECOND {
            return count;
        }
        count += 1;
    }
}

fn request(row: &Row, serial: u64, rng: &mut ChaCha8Rng) -> Request {
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
    let group = rng.random_range(0..PROMPT_GROUPS);
    Request {
        target: row.name.clone(),
        key,
        group: Some(format!("{}-caller-{group}", row.name).into()),
        prompt_tokens: rng.random_range(prompt),
        answer_tokens: rng.random_range(answer),
        deadline_ms,
        poison: false,
    }
}

/// Acts of the scenario other than its usual requests, each at a percentage of the trace.
fn faults(scenario: Scenario, options: &TraceOptions) -> Vec<Line> {
    let total = options.seconds * 1_000;
    let acts = match scenario {
        Scenario::Steady | Scenario::Surge => Vec::new(),
        Scenario::Release => vec![(
            40,
            Act::Accept {
                table: RELEASE_TABLE.into(),
            },
        )],
        Scenario::Outage => outage(total),
        Scenario::HostLoss => host_loss(total, options),
        Scenario::EngineLoss => engine_loss(total, options),
        Scenario::Poison => (0..6)
            .map(|index| (30 + 8 * index, poison(options)))
            .collect(),
    };
    acts.into_iter()
        .map(|(percent, act)| Line {
            at_ms: total * percent / 100,
            act,
        })
        .collect()
}

/// The key-value service loses answers, then does not answer, then is slow.
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

/// Hosts are killed, paused, cut off and drained, one after the other.
fn host_loss(total: u64, options: &TraceOptions) -> Vec<(u64, Act)> {
    let host = |index: usize| options.hosts[index % options.hosts.len()].clone();
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

/// Orders are lost; engines crash and come back, fall silent, leave, and crash for good.
fn engine_loss(total: u64, options: &TraceOptions) -> Vec<(u64, Act)> {
    let engine = |index: usize| options.engines[index % options.engines.len()].clone();
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

/// The crashing request, the same each time, to the first repeatable row that is not a
/// service, so that it needs no key.
fn poison(options: &TraceOptions) -> Act {
    let row = options
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
