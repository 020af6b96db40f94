//! Numbers of requests per time.

use std::{fmt, time::Duration};

const MILLIS: f64 = 1_000.0;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(u64);

impl Rate {
    /// So many thousandths of a request a second.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// The rate in thousandths of a request a second.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The rate in requests a second, rounded to thousandths; `None` if it is negative or no
    /// finite number. A rate that is too large for the type is the largest one.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self((per_second * MILLIS).round() as u64))
    }

    /// Requests a second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLIS
    }

    /// A part of the rate.
    #[must_use]
    pub fn mul_f64(self, factor: f64) -> Self {
        Self::from_per_second(self.per_second() * factor).unwrap_or_default()
    }

    /// Number of requests in a period.
    #[must_use]
    pub fn in_period(self, period: Duration) -> f64 {
        self.per_second() * period.as_secs_f64()
    }

    /// Time in which so many requests fall due; the longest duration for a rate of zero.
    #[must_use]
    pub fn time_for(self, requests: f64) -> Duration {
        Duration::try_from_secs_f64(requests.max(0.0) / self.per_second()).unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
