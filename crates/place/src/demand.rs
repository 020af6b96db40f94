//! Demand for rows, summed over hosts and smoothed.

use mulberryrack_core::{Name, Time, demand::Demand};
use std::{collections::BTreeMap, time::Duration};

/// Requests a second count as this many seconds of work where fewer are pending, so that
/// a row whose requests are refused for want of a copy is seen too.
const ARRIVAL_SECONDS: f64 = 1.0;

/// Smoothed demand.
#[derive(Debug, Default)]
pub(crate) struct Book {
    hosts: BTreeMap<Name, (Time, BTreeMap<Name, f64>)>,
    loads: BTreeMap<Name, f64>,
    updated: Time,
}

impl Book {
    /// Replaces what a host has demand for.
    pub fn report(&mut self, now: Time, host: Name, demands: &[Demand]) {
        let rows = demands.iter().map(|demand| {
            let load = f64::from(demand.pending).max(demand.arrivals * ARRIVAL_SECONDS);
            (
                demand.row.clone(),
                if load.is_finite() { load } else { 0.0 },
            )
        });
        self.hosts.insert(host, (now, rows.collect()));
    }

    /// Moves the smoothed values towards the sums; a rise is followed faster than a fall.
    pub fn advance(&mut self, now: Time, rise: Duration, fall: Duration, lifetime: Duration) {
        let span = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.hosts.retain(|_, (at, _)| now.since(*at) <= lifetime);
        let mut sums: BTreeMap<Name, f64> = BTreeMap::new();
        for (_, rows) in self.hosts.values() {
            for (row, load) in rows {
                *sums.entry(row.clone()).or_default() += load;
            }
        }
        for row in sums.keys() {
            self.loads.entry(row.clone()).or_default();
        }
        for (row, load) in &mut self.loads {
            let sum = sums.get(row).copied().unwrap_or(0.0);
            let window = if sum > *load { rise } else { fall };
            let part = 1.0 - (-span / window.as_secs_f64().max(0.001)).exp();
            *load += (sum - *load) * part;
        }
        self.loads.retain(|_, load| *load > 0.001);
    }

    /// Smoothed pending requests of a row over all hosts.
    pub fn load(&self, row: &str) -> f64 {
        self.loads.get(row).copied().unwrap_or(0.0)
    }
}
