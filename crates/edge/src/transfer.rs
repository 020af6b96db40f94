//! How long the bytes of answers with all changes take. Whatever needs to be known sooner is asked for apart.

use crate::journal::journal;
use std::{cell::Cell, pin::pin, time::Duration};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

/// Time from which on a transfer is long, and a call is logged as slow.
const LONG_TIME: Duration = Duration::from_millis(100);

/// The transfers of answers with all changes, one at a time.
#[derive(Default)]
pub struct Transfers {
    begun: Cell<Option<Instant>>,
    /// How long the last one took.
    last: Cell<Duration>,
    /// Notified when one has become long.
    pub became_long: Notify,
}

impl Transfers {
    /// Whether an answer is arriving: its call is not silent.
    pub const fn is_under_way(&self) -> bool {
        self.begun.get().is_some()
    }

    /// How long a transfer takes at the moment.
    pub fn time(&self) -> Duration {
        let current = self.begun.get();
        let current = current.map_or(Duration::ZERO, |begun| begun.elapsed());
        current.max(self.last.get())
    }

    /// Whether a change may wait behind the bytes of others.
    pub fn are_long(&self) -> bool {
        self.time() >= LONG_TIME
    }

    /// Waits for the end of an answer that has begun to arrive.
    pub async fn follow<F: Future>(&self, end: F) -> F::Output {
        let _transfer = Transfer::begin(self);
        let mut end = pin!(end);
        tokio::select! {
            biased;
            output = end.as_mut() => return output,
            () = time::sleep(LONG_TIME) => {}
        }
        self.became_long.notify_waiters();
        end.await
    }
}

/// A transfer, until this is dropped.
struct Transfer<'a> {
    transfers: &'a Transfers,
    begun: Instant,
}

impl<'a> Transfer<'a> {
    fn begin(transfers: &'a Transfers) -> Self {
        let begun = Instant::now();
        transfers.begun.set(Some(begun));
        Self { transfers, begun }
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.transfers.begun.set(None);
        self.transfers.last.set(self.begun.elapsed());
    }
}

/// Logs a call if it took long: until the head of its answer, which includes the service's own time, but for a
/// watch, which waits for changes; or from there on, which is the time that the bytes took.
pub fn log_slow(operation: &str, is_watch: bool, head: Duration, body: Duration, bytes: usize) {
    if body >= LONG_TIME || (head >= LONG_TIME && !is_watch) {
        journal!(
            info,
            "store-slow",
            op = operation,
            head_ms = head.as_millis(),
            body_ms = body.as_millis(),
            bytes = bytes,
        );
    }
}
