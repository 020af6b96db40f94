//! What came of the requests.

use super::call::{End, Outcome, Target};
use hdrhistogram::Histogram;
use mulberryrack_core::{Name, request::Priority};
use std::{collections::BTreeMap, fmt, time::Duration};

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// Requests of one priority.
#[derive(Clone, Debug)]
pub struct Group {
    /// Requests made.
    pub asked: u64,
    /// Requests that ran with the whole answer.
    pub ran: u64,
    /// Requests that met their row's targets.
    pub met: u64,
    /// Time to the first byte of the body, in microseconds.
    pub first: Histogram<u64>,
}

impl Default for Group {
    fn default() -> Self {
        let first = Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are right");
        Self {
            asked: 0,
            ran: 0,
            met: 0,
            first,
        }
    }
}

/// What came of all requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// By priority.
    pub groups: BTreeMap<Priority, Group>,
    /// Final refusals by reason.
    pub refused: BTreeMap<Name, u64>,
    /// Final unknown outcomes by reason.
    pub unknown: BTreeMap<Name, u64>,
    /// Answers that were not whole or not the request's own, with what was wrong.
    pub flawed: Vec<String>,
    /// Requests without any answer until their deadline, with the last error.
    pub lost: Vec<String>,
    /// Requests not sent since too many were under way.
    pub not_sent: u64,
    /// Sends beyond the first of a request.
    pub resent: u64,
    /// Idempotency keys whose last outcome was "not run".
    pub not_run: Vec<Name>,
    /// Idempotency keys whose last outcome was "ran".
    pub ran: Vec<Name>,
}

impl Tally {
    /// Adds a request.
    pub(super) fn add(&mut self, target: &Target, end: &End) {
        let group = self.groups.entry(target.priority).or_default();
        group.asked += 1;
        self.resent += u64::from(end.sends.saturating_sub(1));
        match &end.outcome {
            Outcome::Ran { first, met } => {
                group.ran += 1;
                group.met += u64::from(*met);
                group.first.saturating_record(micros(*first));
                self.ran.extend(target.key.clone());
            }
            Outcome::NotRun(reason) => {
                *self.refused.entry(reason.clone()).or_default() += 1;
                self.not_run.extend(target.key.clone());
            }
            Outcome::Unknown(reason) => {
                *self.unknown.entry(reason.clone()).or_default() += 1;
            }
            Outcome::Flawed(flaw) => self.flawed.push(format!("{}: {flaw}", target.row)),
            Outcome::Lost(error) => self.lost.push(format!("{}: {error}", target.row)),
        }
    }

    /// Requests made.
    #[must_use]
    pub fn asked(&self) -> u64 {
        self.groups.values().map(|group| group.asked).sum()
    }

    /// Requests that ran with the whole answer.
    #[must_use]
    pub fn ran_count(&self) -> u64 {
        self.groups.values().map(|group| group.ran).sum()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (priority, group) in &self.groups {
            let at = |quantile| millis(group.first.value_at_quantile(quantile));
            writeln!(
                f,
                "{:<7} asked {:>6}  ran {:>6}  in time {:>6}  first byte ms p50 {:>7.1} \
                 p95 {:>7.1} p99 {:>7.1}",
                format!("{priority:?}").to_lowercase(),
                group.asked,
                group.ran,
                group.met,
                at(0.5),
                at(0.95),
                at(0.99)
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
