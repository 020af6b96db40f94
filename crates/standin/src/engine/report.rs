//! Reports of an engine, taken from snapshots so that they lag behind its state.

use super::Engine;
use mulberryrack_core::{Time, upstream::Report};
use std::time::Duration;

/// Maximum number of report snapshots that are kept.
const MAX_SNAPSHOTS: usize = 256;

impl Engine {
    fn report(&mut self, now: Time) -> Report {
        let mut report = self.memory.report(now);
        self.add_load(now, &mut report);
        report
    }

    /// Adds the figures on requests and the cache events to a report on the memory.
    pub(super) fn add_load(&mut self, now: Time, report: &mut Report) {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        report.running = count(self.batch.len());
        report.waiting = count(self.queue.len());
        report.slots = count(self.settings.slots);
        (report.cached, report.evicted) = self.cache.recent_changes(now);
    }

    /// The newest snapshot that is at least as old as the report lag, or else the oldest one.
    /// If nothing has changed within the lag, or no snapshot exists, the current state is
    /// reported with the lag as its age.
    pub(super) fn lagging_report(&mut self, now: Time) -> Report {
        let lag = self.settings.report_lag;
        let (at, mut report) = if self.last_change + lag <= now || self.snapshots.is_empty() {
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

    /// Notes that the state may have changed, and takes a snapshot for later reports, at most
    /// once in a report interval.
    pub(super) fn record_change(&mut self, now: Time) {
        self.last_change = now;
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
