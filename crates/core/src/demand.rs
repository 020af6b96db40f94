//! Demand per row, reported by the router of each host to the planners, which place the
//! copies of rows on engines.

use crate::Name;

/// Demand for one row as seen by one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Name of the row.
    pub row: Name,
    /// Smoothed arrival rate, in requests per second.
    pub arrivals: f64,
    /// Requests that run or wait at the moment.
    pub pending: u32,
    /// Fraction of recent requests that met their latency targets, from 0 to 1.
    pub attained: f64,
}
