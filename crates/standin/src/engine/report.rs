//! Reports, which lag.

use super::Engine;
use mulberryrack_core::{Time, upstream::Report};
use std::time::Duration;

/// Most report snapshots kept.
const MAX_SNAPSHOTS: usize = 256;

impl Engine {
    fn report(&mut self, now: Time) -> Report {
        let mut report = self.memory.report(now);
        self.fill(now, &mut report);
        report
    }

    /// Adds the load to a report on the memory.
    pub(super) fn fill(&mut self, now: Time, report: &mut Report) {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        report.running = count(self.batch.len());
        report.waiting = count(self.queue.len());
        report.slots = count(self.settings.slots);
        (report.cached, report.evicted) = self.cache.changes(now);
    }

    /// The newest report that is as old as the lag.
    pub(super) fn lagging_report(&mut self, now: Time) -> Report {
        let lag = self.settings.report_lag;
        let (at, mut report) = if self.changed + lag <= now || self.snapshots.is_empty() {
            let at = Time::from_micros(now.as_micros().saturating_sub(lag_micros(lag)));
            let report = self.report(now);
            self.snapshots.push_back((at, report.clone()));
            (at, report)
        } else {
            let old = self.snapshots.iter().rev().find(|(at, _)| *at + lag <= now);
            old.unwrap_or(&self.snapshots[0]).clone()
        };
        report.age_ms = u64::try_from((now - at).as_millis()).unwrap_or(u64::MAX);
        report
    }

    /// Takes a snapshot for later reports, at most once in a report interval.
    pub(super) fn note_change(&mut self, now: Time) {
        self.changed = now;
        let last = self.snapshots.back().map(|(at, _)| *at);
        if self.is_down() || last.is_some_and(|at| now - at < self.settings.report_interval) {
            return;
        }
        let report = self.report(now);
        self.snapshots.push_back((now, report));
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }
}

fn lag_micros(lag: Duration) -> u64 {
    u64::try_from(lag.as_micros()).unwrap_or(u64::MAX)
}
