//! Threads for blocking calls, bounded in number.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

/// Stack size of each thread in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Starts one new thread for each call, up to a maximum number at once. Threads are not
/// reused.
#[derive(Clone, Debug)]
pub struct Pool {
    name: &'static str,
    running: Arc<AtomicUsize>,
    max_threads: usize,
}

impl Pool {
    /// A pool of at most `max_threads` threads, each named `name`.
    #[must_use]
    pub fn new(name: &'static str, max_threads: usize) -> Self {
        Self {
            name,
            running: Arc::default(),
            max_threads,
        }
    }

    /// Runs `work` on a new thread.
    ///
    /// # Errors
    ///
    /// `max_threads` threads run already, or a thread cannot be started; `work` has not run.
    pub fn run(&self, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.max_threads {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return Err(io::Error::other(format!(
                "all {} threads for {} are in use",
                self.max_threads, self.name
            )));
        }
        let slot = Slot(self.running.clone());
        thread::Builder::new()
            .name(self.name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _slot = slot;
                work();
            })
            .map(|_| ())
    }
}

/// Counts one running thread; dropped when the work ends or panics.
#[derive(Debug)]
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
