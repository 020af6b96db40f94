//! The wake-up timer of an area's actor.

use mulberryrack_core::Time;
use stakker::{Core, FixedTimerKey};
use std::{
    fmt,
    time::{Duration, Instant},
};

/// Keeps at most one timer set, at the next wake of the area's state machine.
#[derive(Default)]
pub struct Alarm {
    /// The time for which the timer is set, and its key in the actor runtime.
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
    /// Moves the timer to `requested`; `None` and [`Time::MAX`] remove it. `start_timer` starts
    /// a timer that fires at an instant.
    pub fn set(
        &mut self,
        core: &mut Core,
        time_zero: Instant,
        requested: Option<Time>,
        start_timer: impl FnOnce(&mut Core, Instant) -> FixedTimerKey,
    ) {
        if self.set.as_ref().map(|(time, _)| *time) == requested {
            return;
        }
        if let Some((_, key)) = self.set.take() {
            core.timer_del(key);
        }
        let Some(time) = requested.filter(|time| *time < Time::MAX) else {
            return;
        };
        let key = start_timer(core, time_zero + Duration::from_micros(time.as_micros()));
        self.set = Some((time, key));
    }

    /// Records that the timer has fired and no longer exists.
    pub fn mark_fired(&mut self) {
        self.set = None;
    }
}
