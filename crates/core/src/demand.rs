//! Demand that routers report to planners.

use crate::Name;

/// Demand for one row at one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Row name.
    pub row: Name,
    /// Requests that arrived per second, smoothed.
    pub arrivals: f64,
    /// Requests running and waiting now.
    pub pending: u32,
    /// Share of recent requests that met their targets, 0 to 1.
    pub attained: f64,
}
