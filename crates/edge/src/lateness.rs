//! Measures how late the host's thread is: all tasks run on it, so that each change, decision and
//! answer is at least as late. A thread that is late must not take that for the silence of others.

use crate::{journal::journal, shared::Shared, traffic};
use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};
use tokio::{
    task,
    time::{self, Instant, error::Elapsed},
};

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(100);
/// Period for which a lateness is remembered.
const PEAK_PERIOD: Duration = Duration::from_secs(1);
/// Lateness from which on it is logged.
const NOTABLE_LATENESS: Duration = Duration::from_millis(100);
/// Lateness from which on a measurement counts in a [`Sum`]: more than the delay of a timer.
const COUNTED_LATENESS: Duration = Duration::from_millis(10);

/// How late the thread was in an interval. A quota of processor time shows in many short pauses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    /// All lateness of at least [`COUNTED_LATENESS`] together.
    pub total: Duration,
    /// Number of measurements with such a lateness.
    pub pauses: u32,
}

/// How late the host's thread is.
#[derive(Debug)]
pub struct Lateness {
    /// Time of the next measurement.
    due: Cell<Instant>,
    /// What the last measurement has shown.
    last: Cell<Duration>,
    /// The largest recent lateness, and when it was measured.
    peak: Cell<(Duration, Instant)>,
    /// Since the last call of [`Lateness::take_sum`].
    sum: Cell<Sum>,
}

impl Lateness {
    /// A thread that is not late, from now on.
    pub fn new() -> Self {
        Self {
            due: Cell::new(Instant::now()),
            last: Cell::default(),
            peak: Cell::new((Duration::ZERO, Instant::now())),
            sum: Cell::default(),
        }
    }

    /// Longest time for which what the thread reads now may have waited for it. A measurement that
    /// is due counts, too: what has waited with it may be read first.
    pub fn current(&self) -> Duration {
        self.last.get().max(self.due.get().elapsed())
    }

    /// The largest lateness of the last [`PEAK_PERIOD`]: after a pause, what has arrived meanwhile is read
    /// for a while.
    pub fn recent(&self) -> Duration {
        let (peak, at) = self.peak.get();
        let is_recent = at.elapsed() < PEAK_PERIOD;
        self.current()
            .max(if is_recent { peak } else { Duration::ZERO })
    }

    /// How late the thread was since the last call.
    pub fn take_sum(&self) -> Sum {
        self.sum.take()
    }

    async fn measure(&self) -> Duration {
        let due = Instant::now() + INTERVAL;
        self.due.set(due);
        time::sleep_until(due).await;
        let late = due.elapsed();
        self.last.set(late);
        if late >= COUNTED_LATENESS {
            let Sum { total, pauses } = self.sum.get();
            self.sum.set(Sum {
                total: total + late,
                pauses: pauses + 1,
            });
        }
        let (peak, at) = self.peak.get();
        if late >= peak || at.elapsed() >= PEAK_PERIOD {
            self.peak.set((late, Instant::now()));
        }
        late
    }

    /// Ends a lateness once the thread has looked at its sockets again: what arrives from then on has
    /// not waited through the pause, but for a turn at most.
    async fn follow_up(&self) {
        let begun = Instant::now();
        self.due.set(begun + INTERVAL);
        task::yield_now().await;
        self.last.set(begun.elapsed());
    }
}

/// Waits for a future for a limited time, as [`time::timeout`], but reads what has arrived by then: the
/// timers of a thread that was late may be due before it has looked at its sockets.
///
/// # Errors
///
/// The future is not ready.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    if let Ok(output) = time::timeout(limit, future.as_mut()).await {
        return Ok(output);
    }
    task::yield_now().await;
    time::timeout(Duration::ZERO, future).await
}

/// Sleeps until a time, and then until the thread has looked at its sockets once more: what has arrived
/// by then can be read first.
pub async fn sleep_until(end: Instant) {
    time::sleep_until(end).await;
    task::yield_now().await;
}

/// Measures until the process ends.
pub async fn run<D>(shared: Rc<Shared<D>>) {
    loop {
        let cpu_before = traffic::processor_time();
        let late = shared.lateness.measure().await;
        shared.metrics.record_lateness(late);
        // The account of the link is kept by the same timer.
        shared.record_traffic();
        if late >= NOTABLE_LATENESS {
            let cpu = traffic::processor_time().saturating_sub(cpu_before);
            journal!(
                warn,
                "thread-late",
                late_ms = late.as_millis(),
                cpu_ms = cpu.as_millis()
            );
            shared.lateness.follow_up().await;
        }
    }
}
