//! Summarizes a replay: each promise with its first violation, and the measured figures.

use crate::{
    caller::{Caller, Ending},
    world::World,
};
use hdrhistogram::Histogram;
use mulberryrack_core::{Name, Time, note::Counter, outcome::Outcome, request::Priority};
use mulberryrack_table::{Kind, Row};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Time after a request's deadline within which each of its attempts has to end.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// Time within which an accepted table has to be in force on every reachable host.
pub const TABLE_BOUND: Duration = Duration::from_secs(4);

/// An invariant of the system, and whether the replay violated it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Promise {
    /// Name in kebab-case.
    pub name: &'static str,
    /// Whether there was no violation.
    pub kept: bool,
    /// Number of violations.
    pub broken: u64,
    /// The first violation, with its time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first: Option<String>,
}

impl Promise {
    fn new(name: &'static str, broken: Vec<String>) -> Self {
        Self {
            name,
            kept: broken.is_empty(),
            broken: broken.len() as u64,
            first: broken.into_iter().next(),
        }
    }
}

/// Counts of the requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Attainment {
    /// Requests in the trace.
    pub asked: u64,
    /// Requests that ran and were answered in full.
    pub ran: u64,
    /// Requests that met their row's targets.
    pub met: u64,
    /// Requests that ran, but whose first token (or a service's answer) was late.
    pub late_first: u64,
    /// Requests that ran, but whose mean time between tokens was over the target.
    pub late_gap: u64,
    /// `met` divided by `asked`; 1 without requests.
    pub share: f64,
}

/// Percentiles of a latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Result of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Every promise, kept or broken.
    pub promises: Vec<Promise>,
    /// Attainment of the targets by priority.
    pub attainment: BTreeMap<Priority, Attainment>,
    /// Requests that met their targets, per accelerator and second.
    pub met_per_accelerator: f64,
    /// Time from the caller's start to the first token, or to a service's whole answer.
    pub first_token_ms: Latency,
    /// Mean time between the tokens of an answer.
    pub token_gap_ms: Latency,
    /// Loads that the weight store began since the replay began.
    pub loads: u64,
    /// Loads begun after the trace began.
    pub moves: u64,
    /// Number of engine crashes.
    pub crashes: u32,
    /// The hosts' counters by name, summed over all hosts.
    pub counters: BTreeMap<String, u64>,
    /// Calls to the key-value service by area and kind.
    pub kv_calls: BTreeMap<String, u64>,
    /// Writes and reads per second at the key-value service.
    pub kv_per_second: (f64, f64),
    /// Bytes per second of messages between hosts.
    pub peer_bytes_per_second: f64,
    /// Highest memory use of an engine divided by its memory.
    pub peak_memory: f64,
    /// Longest time in seconds that a row had no ready copy after it once had one, and the
    /// row.
    pub longest_missing: (f64, Name),
    /// Longest time in seconds from acceptance of a table until it was in force everywhere.
    pub table_spread: f64,
}

/// Outcomes that a trace is expected to reach, as its `.wanted.json` file gives them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Wanted {
    /// Minimum share of urgent requests that meet their targets.
    pub urgent: f64,
    /// Minimum share of all requests that meet their targets.
    pub all: f64,
    /// Maximum time in seconds that a row may have no ready copy.
    pub missing_seconds: f64,
    /// Maximum number of engine crashes; the default is what one crashing request may cause.
    pub crashes: u32,
}

impl Default for Wanted {
    fn default() -> Self {
        Self {
            urgent: 0.99,
            all: 0.0,
            missing_seconds: 0.0,
            crashes: 2,
        }
    }
}

impl Summary {
    /// Broken promises and wanted outcomes that were not reached, one line each.
    #[must_use]
    pub fn missed(&self, wanted: &Wanted) -> Vec<String> {
        let mut missed: Vec<String> = self
            .promises
            .iter()
            .filter(|promise| !promise.kept)
            .map(|promise| {
                let first = promise.first.as_deref().unwrap_or_default();
                format!(
                    "{}: broken {} times, first {first}",
                    promise.name, promise.broken
                )
            })
            .collect();
        let urgent = self.attainment.get(&Priority::Urgent);
        if urgent.is_some_and(|urgent| urgent.share < wanted.urgent) {
            let share = urgent.map_or(0.0, |urgent| urgent.share);
            missed.push(format!("urgent attainment {share:.4} < {}", wanted.urgent));
        }
        let overall = self.overall();
        if overall.share < wanted.all {
            missed.push(format!("attainment {:.4} < {}", overall.share, wanted.all));
        }
        if self.crashes > wanted.crashes {
            missed.push(format!(
                "{} crashes of engines, allowed {}",
                self.crashes, wanted.crashes
            ));
        }
        if self.longest_missing.0 > wanted.missing_seconds {
            missed.push(format!(
                "row {} had no copy for {:.1} s, allowed {:.1} s",
                self.longest_missing.1, self.longest_missing.0, wanted.missing_seconds
            ));
        }
        missed
    }

    /// Attainment over all priorities.
    #[must_use]
    pub fn overall(&self) -> Attainment {
        let mut all = Attainment::default();
        for one in self.attainment.values() {
            all.asked += one.asked;
            all.ran += one.ran;
            all.met += one.met;
            all.late_first += one.late_first;
            all.late_gap += one.late_gap;
        }
        all.share = ratio(all.met, all.asked);
        all
    }
}

#[allow(clippy::cast_precision_loss)]
fn ratio(one: u64, of: u64) -> f64 {
    if of == 0 { 1.0 } else { one as f64 / of as f64 }
}

/// Summarizes a replay whose trace lasted `duration`; `loads` is the number of loads begun
/// before the trace.
#[must_use]
pub fn summarize(world: &World, duration: Duration, loads: u64) -> Summary {
    let rows: BTreeMap<&str, &Row> = world.rows().iter().map(|row| (&*row.name, row)).collect();
    let callers: Vec<(&Caller, &Row)> = world
        .callers()
        .iter()
        .filter(|caller| !caller.request.poison)
        .filter_map(|caller| Some((caller, *rows.get(&*caller.request.target)?)))
        .collect();
    let seconds = duration.as_secs_f64().max(1.0);
    let attainment = attainment(&callers);
    let met: u64 = attainment.values().map(|one| one.met).sum();
    let (writes, reads) = world.kv_totals();
    #[allow(clippy::cast_precision_loss)]
    let rate = |count: u64| count as f64 / seconds;
    Summary {
        promises: promises(world, &rows),
        met_per_accelerator: rate(met) / f64::from(world.accelerators().max(1)),
        attainment,
        first_token_ms: latency(
            callers
                .iter()
                .filter_map(|(caller, row)| time_to_first_token(caller, row)),
        ),
        token_gap_ms: latency(
            callers
                .iter()
                .filter_map(|(caller, row)| mean_token_gap(caller, row)),
        ),
        loads: world.loads(),
        moves: world.loads() - loads,
        crashes: world.crashes(),
        counters: world
            .counters
            .iter()
            .map(|(counter, count)| (counter_name(*counter), *count))
            .collect(),
        kv_calls: world
            .kv_calls
            .iter()
            .map(|((area, op), count)| (format!("{} {op}", area.label()), *count))
            .collect(),
        kv_per_second: (rate(writes), rate(reads)),
        peer_bytes_per_second: rate(world.peer_bytes),
        peak_memory: world.peak_memory,
        longest_missing: (
            world.longest_missing.0.as_secs_f64(),
            world.longest_missing.1.clone(),
        ),
        table_spread: world.spread.slowest().as_secs_f64(),
    }
}

fn counter_name(counter: Counter) -> String {
    let kind = match counter {
        Counter::Refused(_) => "refused ",
        Counter::Unknown(_) => "unknown ",
        Counter::Retried(_) => "retried ",
        _ => "",
    };
    format!("{kind}{}", counter.label())
}

fn attainment(callers: &[(&Caller, &Row)]) -> BTreeMap<Priority, Attainment> {
    let mut by_priority: BTreeMap<Priority, Attainment> = BTreeMap::new();
    for (caller, row) in callers {
        let one = by_priority.entry(row.priority).or_default();
        one.asked += 1;
        one.ran += u64::from(caller.ran());
        one.met += u64::from(met_targets(caller, row));
        let late = time_to_first_token(caller, row).is_some_and(|first| first > row.first_token);
        one.late_first += u64::from(late);
        let slow = mean_token_gap(caller, row).is_some_and(|gap| gap > row.token_gap);
        one.late_gap += u64::from(slow);
    }
    for one in by_priority.values_mut() {
        one.share = ratio(one.met, one.asked);
    }
    by_priority
}

/// Whether a request met its row's targets: a whole answer by its deadline, the first token
/// (or a service's whole answer) in time, and the mean time between tokens within its
/// target.
fn met_targets(caller: &Caller, row: &Row) -> bool {
    let in_time = caller.ended_at().is_some_and(|at| at <= caller.deadline());
    let whole = caller.ran() && caller.flaw().is_none() && in_time;
    let prompt = time_to_first_token(caller, row).is_some_and(|first| first <= row.first_token);
    whole && prompt && mean_token_gap(caller, row).is_none_or(|gap| gap <= row.token_gap)
}

/// Time from the caller's start to the first token, or to a service's whole answer.
fn time_to_first_token(caller: &Caller, row: &Row) -> Option<Duration> {
    if !caller.ran() {
        return None;
    }
    let at = match row.kind {
        Kind::Service => caller.last_byte_at,
        Kind::Model | Kind::Adapter => caller.first_byte_at,
    };
    Some(at? - caller.started)
}

fn mean_token_gap(caller: &Caller, row: &Row) -> Option<Duration> {
    if row.kind == Kind::Service || !caller.ran() || caller.request.answer_tokens < 2 {
        return None;
    }
    let span = caller.last_byte_at? - caller.first_byte_at?;
    Some(span / (caller.request.answer_tokens - 1))
}

fn latency(values: impl Iterator<Item = Duration>) -> Latency {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3) else {
        return Latency::default();
    };
    for value in values {
        histogram.saturating_record(u64::try_from(value.as_micros()).unwrap_or(u64::MAX));
    }
    #[allow(clippy::cast_precision_loss)]
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Latency {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

fn promises(world: &World, rows: &BTreeMap<&str, &Row>) -> Vec<Promise> {
    let callers = world.callers();
    let violation = |caller: &Caller, what: &str, at: Time| {
        let key = caller.request.key.as_deref().unwrap_or("none");
        format!("at {at}: {what} target={} key={key}", caller.request.target)
    };
    let flawed = callers
        .iter()
        .filter_map(|caller| Some(violation(caller, &caller.flaw()?, caller.ended_at()?)))
        .collect();
    let unanswered = callers
        .iter()
        .filter_map(|caller| {
            let open = caller
                .attempts
                .iter()
                .find(|attempt| attempt.ending.is_none())?;
            let overdue = world.now() > caller.deadline() + ANSWER_MARGIN;
            overdue.then(|| violation(caller, "no answer to a send", open.at))
        })
        .collect();
    let memory = (world.peak_memory > 1.0)
        .then(|| format!("an engine held {:.3} of its memory", world.peak_memory));
    vec![
        Promise::new("memory-not-overcommitted", memory.into_iter().collect()),
        Promise::new("answers-whole-and-own", flawed),
        Promise::new("every-send-answered", unanswered),
        Promise::new("not-run-is-true", false_refusals(world)),
        Promise::new("non-repeatable-at-most-once", repeated_runs(world, rows)),
        Promise::new("shutdown-cuts-nothing", world.cut_by_drain.clone()),
        Promise::new(
            "table-in-force-in-seconds",
            world.spread.overdue(TABLE_BOUND, world.now()),
        ),
        Promise::new("table-never-reverts", world.spread.reverted.clone()),
    ]
}

/// Runs of non-repeatable rows under a key that had run before.
fn repeated_runs(world: &World, rows: &BTreeMap<&str, &Row>) -> Vec<String> {
    let mut seen = BTreeSet::new();
    world
        .runs
        .iter()
        .filter(|run| {
            rows.get(&*run.run.target)
                .is_some_and(|row| !row.repeatable)
        })
        .filter_map(|run| {
            let key = run.run.key.as_deref()?;
            let first = seen.insert((run.run.target.clone(), key.to_owned()));
            (!first).then(|| format!("at {}: target={} key={key}", run.at, run.run.target))
        })
        .collect()
}

/// Refusals with "not run" for a key that had already run, or that ran later although its
/// caller did not send it again.
fn false_refusals(world: &World) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<Time>> = BTreeMap::new();
    for run in &world.runs {
        if let Some(key) = run.run.key.as_deref() {
            runs.entry(key).or_default().push(run.at);
        }
    }
    let mut contradicted = Vec::new();
    for caller in world.callers() {
        let Some(key) = caller.request.key.as_deref() else {
            continue;
        };
        let Some(times) = runs.get(key) else {
            continue;
        };
        for (index, attempt) in caller.attempts.iter().enumerate() {
            let Some((at, Ending::Outcome(Outcome::NotRun(refusal)))) = &attempt.ending else {
                continue;
            };
            let again = caller
                .attempts
                .get(index + 1)
                .map_or(Time::MAX, |next| next.at);
            if times.iter().any(|run| *run < again) {
                let reason = refusal.reason.label();
                contradicted.push(format!("at {at}: reason={reason} key={key}"));
            }
        }
    }
    contradicted
}
