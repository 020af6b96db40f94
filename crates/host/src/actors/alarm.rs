//! The one timer of an area.

use mulberryrack_core::Time;
use stakker::{Core, FixedTimerKey};
use std::{
    fmt,
    time::{Duration, Instant},
};

/// Keeps at most one timer set, at the time that the area asks for.
#[derive(Default)]
pub struct Alarm {
    /// The time asked for, and the timer that is set for it.
    set: Option<(Time, FixedTimerKey)>,
}

impl fmt::Debug for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Alarm")
            .field(&self.set.as_ref().map(|(time, _)| time))
            .finish()
    }
}

impl Alarm {
    /// Moves the timer to `wanted`; `start` sets a new one at an instant.
    pub fn set(
        &mut self,
        core: &mut Core,
        base: Instant,
        wanted: Option<Time>,
        start: impl FnOnce(&mut Core, Instant) -> FixedTimerKey,
    ) {
        if self.set.as_ref().map(|(time, _)| *time) == wanted {
            return;
        }
        if let Some((_, key)) = self.set.take() {
            core.timer_del(key);
        }
        let Some(time) = wanted.filter(|time| *time < Time::MAX) else {
            return;
        };
        let key = start(core, base + Duration::from_micros(time.as_micros()));
        self.set = Some((time, key));
    }

    /// Forgets the timer, which has just fired.
    pub fn fired(&mut self) {
        self.set = None;
    }
}
