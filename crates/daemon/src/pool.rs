//! A bounded set of threads for calls that block.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

/// Stack of a thread that makes one call, in bytes.
const STACK: usize = 256 * 1024;

/// Starts a thread for each call, up to a bound.
#[derive(Clone, Debug)]
pub struct Pool {
    name: &'static str,
    running: Arc<AtomicUsize>,
    most: usize,
}

impl Pool {
    /// A pool of at most `most` threads.
    #[must_use]
    pub fn new(name: &'static str, most: usize) -> Self {
        Self {
            name,
            running: Arc::default(),
            most,
        }
    }

    /// Runs `work` on a thread of its own.
    ///
    /// # Errors
    ///
    /// The bound is reached or the system gives no thread; `work` has not run.
    pub fn run(&self, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.most {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return Err(io::Error::other(format!(
                "all {} threads for {} are in use",
                self.most, self.name
            )));
        }
        let slot = Slot(self.running.clone());
        thread::Builder::new()
            .name(self.name.to_owned())
            .stack_size(STACK)
            .spawn(move || {
                let _slot = slot;
                work();
            })
            .map(|_| ())
    }
}

/// Frees a place in the pool when dropped, also when the work panics.
#[derive(Debug)]
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
