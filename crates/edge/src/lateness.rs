//! Measures how late the host's thread is: all tasks run on it, so that each change, decision and
//! answer is at least as late.

use crate::{journal::journal, shared::Shared};
use std::{rc::Rc, time::Duration};
use tokio::time::{self, Instant};

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(250);
/// Lateness from which on it is logged.
const NOTABLE_LATENESS: Duration = Duration::from_millis(250);

/// Measures until the process ends.
pub async fn run<D>(shared: Rc<Shared<D>>) {
    loop {
        let due = Instant::now() + INTERVAL;
        time::sleep_until(due).await;
        let late = due.elapsed();
        shared.metrics.record_lateness(late);
        if late >= NOTABLE_LATENESS {
            journal!(warn, "thread-late", late_ms = late.as_millis());
        }
    }
}
