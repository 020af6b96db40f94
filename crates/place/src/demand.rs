//! Demand for rows, added up over all hosts and smoothed.

use mulberryrack_core::{Name, Time, demand::Demand};
use std::{collections::BTreeMap, time::Duration};

/// Seconds of work that each arriving request stands for, where arrivals suggest more
/// demand than the pending requests. So the demand for a row shows also if its requests are
/// refused for want of a copy and none is pending.
const ARRIVAL_WORK_S: f64 = 1.0;

/// Smoothed demand of all rows.
#[derive(Debug, Default)]
pub(crate) struct SmoothedDemand {
    /// For each host, when it reported last, and its demand by row in pending requests.
    hosts: BTreeMap<Name, (Time, BTreeMap<Name, f64>)>,
    /// Smoothed pending requests by row.
    smoothed: BTreeMap<Name, f64>,
    /// When `smoothed` was last updated.
    last_update: Time,
}

impl SmoothedDemand {
    /// Replaces the demand of a host.
    pub fn report(&mut self, now: Time, host: Name, demands: &[Demand]) {
        let rows = demands.iter().map(|demand| {
            let pending = f64::from(demand.pending).max(demand.arrivals * ARRIVAL_WORK_S);
            (
                demand.row.clone(),
                if pending.is_finite() { pending } else { 0.0 },
            )
        });
        self.hosts.insert(host, (now, rows.collect()));
    }

    /// Moves the smoothed values towards the totals, with time constant `rise` upwards and
    /// `fall` downwards. Reports older than `lifetime` no longer count.
    pub fn advance(&mut self, now: Time, rise: Duration, fall: Duration, lifetime: Duration) {
        let elapsed = now.since(self.last_update).as_secs_f64();
        self.last_update = now;
        self.hosts.retain(|_, (at, _)| now.since(*at) <= lifetime);
        let mut totals: BTreeMap<Name, f64> = BTreeMap::new();
        for (_, rows) in self.hosts.values() {
            for (row, pending) in rows {
                *totals.entry(row.clone()).or_default() += pending;
            }
        }
        for row in totals.keys() {
            self.smoothed.entry(row.clone()).or_default();
        }
        for (row, pending) in &mut self.smoothed {
            let total = totals.get(row).copied().unwrap_or(0.0);
            let period = if total > *pending { rise } else { fall };
            let weight = 1.0 - (-elapsed / period.as_secs_f64().max(0.001)).exp();
            *pending += (total - *pending) * weight;
        }
        self.smoothed.retain(|_, pending| *pending > 0.001);
    }

    /// Smoothed number of pending requests of a row over all hosts.
    pub fn pending(&self, row: &str) -> f64 {
        self.smoothed.get(row).copied().unwrap_or(0.0)
    }
}
