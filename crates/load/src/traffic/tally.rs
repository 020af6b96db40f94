//! Counts the outcomes of requests.

use super::call::{Ending, Outcome, Request};
use hdrhistogram::Histogram;
use mulberryrack_core::{Name, request::Priority};
use std::{collections::BTreeMap, fmt, time::Duration};

/// Highest latency that a histogram distinguishes, in microseconds.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Counts of the requests of one priority.
#[derive(Clone, Debug)]
pub struct PriorityTally {
    /// Requests that have ended.
    pub asked: u64,
    /// Requests that ran and were answered in full.
    pub ran: u64,
    /// Requests that met the targets of their row.
    pub met: u64,
    /// Time from the due time to the first byte of the body, in microseconds.
    pub first_byte: Histogram<u64>,
}

impl Default for PriorityTally {
    fn default() -> Self {
        let first_byte =
            Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("the bounds are right");
        Self {
            asked: 0,
            ran: 0,
            met: 0,
            first_byte,
        }
    }
}

/// Counts of all requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Counts by priority.
    pub groups: BTreeMap<Priority, PriorityTally>,
    /// Requests whose final outcome was "not run", by reason.
    pub refused: BTreeMap<Name, u64>,
    /// Requests whose final outcome was "unknown", by reason.
    pub unknown: BTreeMap<Name, u64>,
    /// Rows of answers that were incomplete or belong to another request, with what was wrong.
    pub flawed: Vec<String>,
    /// Rows of requests that ended without an answer, with the last error.
    pub lost: Vec<String>,
    /// Requests not sent because too many were in flight or no thread could be started.
    pub not_sent: u64,
    /// Attempts after the first of a request.
    pub resent: u64,
    /// Idempotency keys whose final outcome was "not run".
    pub not_run: Vec<Name>,
    /// Idempotency keys whose final outcome was "ran".
    pub ran: Vec<Name>,
}

impl Tally {
    /// Adds a request that has ended.
    pub(super) fn add(&mut self, request: &Request, ending: &Ending) {
        let group = self.groups.entry(request.priority).or_default();
        group.asked += 1;
        self.resent += u64::from(ending.attempts.saturating_sub(1));
        match &ending.outcome {
            Outcome::Ran { first, met } => {
                group.ran += 1;
                group.met += u64::from(*met);
                group.first_byte.saturating_record(micros(*first));
                self.ran.extend(request.key.clone());
            }
            Outcome::NotRun(reason) => {
                *self.refused.entry(reason.clone()).or_default() += 1;
                self.not_run.extend(request.key.clone());
            }
            Outcome::Unknown(reason) => {
                *self.unknown.entry(reason.clone()).or_default() += 1;
            }
            Outcome::Flawed(flaw) => self.flawed.push(format!("{}: {flaw}", request.row)),
            Outcome::Lost(error) => self.lost.push(format!("{}: {error}", request.row)),
        }
    }

    /// Number of requests of all priorities that have ended.
    #[must_use]
    pub fn asked(&self) -> u64 {
        self.groups.values().map(|group| group.asked).sum()
    }

    /// Number of requests that ran and were answered in full.
    #[must_use]
    pub fn ran_count(&self) -> u64 {
        self.groups.values().map(|group| group.ran).sum()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (priority, group) in &self.groups {
            let percentile = |quantile| millis(group.first_byte.value_at_quantile(quantile));
            writeln!(
                f,
                "{:<7} asked {:>6}  ran {:>6}  in time {:>6}  first byte ms p50 {:>7.1} \
                 p95 {:>7.1} p99 {:>7.1}",
                format!("{priority:?}").to_lowercase(),
                group.asked,
                group.ran,
                group.met,
                percentile(0.5),
                percentile(0.95),
                percentile(0.99)
            )?;
        }
        for (reason, count) in &self.refused {
            writeln!(f, "not run {reason}: {count}")?;
        }
        for (reason, count) in &self.unknown {
            writeln!(f, "unknown {reason}: {count}")?;
        }
        writeln!(
            f,
            "lost {}, flawed {}, sent again {}, not sent {}",
            self.lost.len(),
            self.flawed.len(),
            self.resent,
            self.not_sent
        )
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss)]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
