//! Moments on the monotonic clock of a process.

use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A moment on the monotonic clock of a process, in microseconds since the process started.
///
/// Moments of two processes cannot be compared. Additions saturate at [`Time::MAX`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Self = Self(0);
    /// The latest representable moment, used for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// The moment `micros` microseconds after the start of the process.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The moment `millis` milliseconds after the start of the process.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start of the process.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration from `earlier` to this moment; zero if `earlier` is the later of the two.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment `duration` before this one; [`Time::ZERO`] if that is before the process started.
    #[must_use]
    pub fn saturating_sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// The earlier of two optional wake-up times; `None` if both are `None`.
#[must_use]
pub fn earliest(one: Option<Time>, other: Option<Time>) -> Option<Time> {
    match (one, other) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
