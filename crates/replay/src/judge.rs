//! Judges a replay: each promise with the first event that broke it, and the measures.

use crate::{
    caller::{Caller, End},
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

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;
/// Time after its deadline within which every send has to have ended.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// Bound on the time until an accepted table is in force everywhere.
pub const TABLE_BOUND: Duration = Duration::from_secs(4);

/// A promise, and what broke it first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Promise {
    /// Name in kebab-case.
    pub name: &'static str,
    /// Whether it was kept.
    pub kept: bool,
    /// How often it was broken.
    pub broken: u64,
    /// The first event that broke it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first: Option<String>,
}

impl Promise {
    fn of(name: &'static str, broken: Vec<String>) -> Self {
        Self {
            name,
            kept: broken.is_empty(),
            broken: broken.len() as u64,
            first: broken.into_iter().next(),
        }
    }
}

/// Requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Attainment {
    /// Requests made.
    pub asked: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that met their row's targets.
    pub met: u64,
    /// Requests that ran, but whose first token was late.
    pub late_first: u64,
    /// Requests that ran, but whose tokens came too slowly.
    pub late_gap: u64,
    /// `met` over `asked`.
    pub share: f64,
}

/// Percentiles of a latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Half are no slower.
    pub p50: f64,
    /// 95 in 100 are no slower.
    pub p95: f64,
    /// 99 in 100 are no slower.
    pub p99: f64,
}

/// What a replay came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Every promise.
    pub promises: Vec<Promise>,
    /// By priority.
    pub attainment: BTreeMap<Priority, Attainment>,
    /// Requests that met their targets, for each accelerator and second.
    pub met_per_accelerator: f64,
    /// First token, from the caller's first try.
    pub first_token_ms: Latency,
    /// Mean time between tokens of an answer.
    pub token_gap_ms: Latency,
    /// Loads that the weight store began.
    pub loads: u64,
    /// Loads begun after the trace began.
    pub moves: u64,
    /// Crashes of engines.
    pub crashes: u32,
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Calls to the key-value service by area and kind.
    pub kv_calls: BTreeMap<String, u64>,
    /// Writes and reads that the key-value service took, a second.
    pub kv_per_second: (f64, f64),
    /// Bytes of messages between hosts, a second.
    pub peer_bytes_per_second: f64,
    /// Highest memory taken over memory there.
    pub peak_memory: f64,
    /// Longest time that a row had no ready copy, in seconds, and the row.
    pub longest_missing: (f64, Name),
    /// Slowest spread of an accepted table in seconds.
    pub table_spread: f64,
}

/// Outcomes that a trace asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Wanted {
    /// Least share of urgent requests that meet their targets.
    pub urgent: f64,
    /// Least share of all requests that meet their targets.
    pub all: f64,
    /// Longest time in seconds that a row may have no ready copy.
    pub missing_seconds: f64,
    /// Most upstreams that one crashing request may take down.
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
    /// Outcomes that were asked for and missed, a line each.
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
        let all = self.all();
        if all.share < wanted.all {
            missed.push(format!("attainment {:.4} < {}", all.share, wanted.all));
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

    /// All priorities together.
    #[must_use]
    pub fn all(&self) -> Attainment {
        let mut all = Attainment::default();
        for one in self.attainment.values() {
            all.asked += one.asked;
            all.ran += one.ran;
            all.met += one.met;
            all.late_first += one.late_first;
            all.late_gap += one.late_gap;
        }
        all.share = part(all.met, all.asked);
        all
    }
}

#[allow(clippy::cast_precision_loss)]
fn part(one: u64, of: u64) -> f64 {
    if of == 0 { 1.0 } else { one as f64 / of as f64 }
}

/// Judges a world whose trace ran for `length` after `loads` loads.
#[must_use]
pub fn judge(world: &World, length: Duration, loads: u64) -> Summary {
    let rows: BTreeMap<&str, &Row> = world.rows().iter().map(|row| (&*row.name, row)).collect();
    let callers: Vec<(&Caller, &Row)> = world
        .callers()
        .iter()
        .filter(|caller| !caller.asked.poison)
        .filter_map(|caller| Some((caller, *rows.get(&*caller.asked.target)?)))
        .collect();
    let seconds = length.as_secs_f64().max(1.0);
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
                .filter_map(|(caller, row)| first(caller, row)),
        ),
        token_gap_ms: latency(callers.iter().filter_map(|(caller, row)| gap(caller, row))),
        loads: world.loads(),
        moves: world.loads() - loads,
        crashes: world.crashes(),
        counters: world
            .counters
            .iter()
            .map(|(counter, count)| (name(*counter), *count))
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

fn name(counter: Counter) -> String {
    let kind = match counter {
        Counter::Refused(_) => "refused ",
        Counter::Unknown(_) => "unknown ",
        Counter::Retried(_) => "retried ",
        _ => "",
    };
    format!("{kind}{}", counter.label())
}

fn attainment(callers: &[(&Caller, &Row)]) -> BTreeMap<Priority, Attainment> {
    let mut by: BTreeMap<Priority, Attainment> = BTreeMap::new();
    for (caller, row) in callers {
        let one = by.entry(row.priority).or_default();
        one.asked += 1;
        one.ran += u64::from(caller.ran());
        one.met += u64::from(met(caller, row));
        let late = first(caller, row).is_some_and(|first| first > row.first_token);
        one.late_first += u64::from(late);
        let slow = gap(caller, row).is_some_and(|gap| gap > row.token_gap);
        one.late_gap += u64::from(slow);
    }
    for one in by.values_mut() {
        one.share = part(one.met, one.asked);
    }
    by
}

/// Whether a request met its row's targets: whole by its deadline, its first token (or
/// a service's whole answer) in time, and its tokens close enough.
fn met(caller: &Caller, row: &Row) -> bool {
    let in_time = caller.ended().is_some_and(|at| at <= caller.deadline());
    let whole = caller.ran() && caller.flaw().is_none() && in_time;
    let prompt = first(caller, row).is_some_and(|first| first <= row.first_token);
    whole && prompt && gap(caller, row).is_none_or(|gap| gap <= row.token_gap)
}

/// Time from the caller's first try to the first token, or a service's whole answer.
fn first(caller: &Caller, row: &Row) -> Option<Duration> {
    if !caller.ran() {
        return None;
    }
    let at = match row.kind {
        Kind::Service => caller.last_part,
        Kind::Model | Kind::Adapter => caller.first_part,
    };
    Some(at? - caller.started)
}

fn gap(caller: &Caller, row: &Row) -> Option<Duration> {
    if row.kind == Kind::Service || !caller.ran() || caller.asked.answer_tokens < 2 {
        return None;
    }
    let span = caller.last_part? - caller.first_part?;
    Some(span / (caller.asked.answer_tokens - 1))
}

fn latency(values: impl Iterator<Item = Duration>) -> Latency {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_MICROS, 3) else {
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
    let told = |caller: &Caller, what: &str, at: Time| {
        let key = caller.asked.key.as_deref().unwrap_or("none");
        format!("at {at}: {what} target={} key={key}", caller.asked.target)
    };
    let flawed = callers
        .iter()
        .filter_map(|caller| Some(told(caller, &caller.flaw()?, caller.ended()?)))
        .collect();
    let hung = callers
        .iter()
        .filter_map(|caller| {
            let open = caller.sends.iter().find(|send| send.end.is_none())?;
            let late = world.now() > caller.deadline() + ANSWER_MARGIN;
            late.then(|| told(caller, "no answer to a send", open.at))
        })
        .collect();
    let memory = (world.peak_memory > 1.0)
        .then(|| format!("an engine held {:.3} of its memory", world.peak_memory));
    vec![
        Promise::of("memory-not-overcommitted", memory.into_iter().collect()),
        Promise::of("answers-whole-and-own", flawed),
        Promise::of("every-send-answered", hung),
        Promise::of("not-run-is-true", untrue_refusals(world)),
        Promise::of("non-repeatable-at-most-once", doubles(world, rows)),
        Promise::of("shutdown-cuts-nothing", world.cut_by_drain.clone()),
        Promise::of(
            "table-in-force-in-seconds",
            world.spread.broken(TABLE_BOUND, world.now()),
        ),
        Promise::of("table-never-reverts", world.spread.reverted.clone()),
    ]
}

/// Keys of non-repeatable rows that ran more than once.
fn doubles(world: &World, rows: &BTreeMap<&str, &Row>) -> Vec<String> {
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

/// Refusals that said "not run" of a key that had run by then, or that ran later although
/// its caller did not send it again.
fn untrue_refusals(world: &World) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<Time>> = BTreeMap::new();
    for run in &world.runs {
        if let Some(key) = run.run.key.as_deref() {
            runs.entry(key).or_default().push(run.at);
        }
    }
    let mut untrue = Vec::new();
    for caller in world.callers() {
        let Some(key) = caller.asked.key.as_deref() else {
            continue;
        };
        let Some(times) = runs.get(key) else {
            continue;
        };
        for (index, send) in caller.sends.iter().enumerate() {
            let Some((at, End::Outcome(Outcome::NotRun(refusal)))) = &send.end else {
                continue;
            };
            let again = caller
                .sends
                .get(index + 1)
                .map_or(Time::MAX, |next| next.at);
            if times.iter().any(|run| *run < again) {
                let reason = refusal.reason.label();
                untrue.push(format!("at {at}: reason={reason} key={key}"));
            }
        }
    }
    untrue
}
