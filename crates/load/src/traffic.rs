//! Open-loop requests to a running deployment, with every answer checked.
//!
//! Latency counts from the time that a request was meant to be sent at, so that a slow
//! system does not hide behind a slow client.

mod call;
mod tally;

pub use call::{End, Target};
pub use tally::{Group, Tally};

use call::Caller;
use mulberryrack_core::Name;
use mulberryrack_table::Row;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Stack of a thread that sends one request, in bytes.
const STACK: usize = 256 * 1024;

/// What to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Rows to call, in proportion to their shares.
    pub rows: Vec<Row>,
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub length: Duration,
    /// Seed of every draw.
    pub seed: u64,
    /// Most requests under way at once; one more is counted as not sent.
    pub most: usize,
    /// Whether the upstreams are the stand-ins, whose answers can be checked.
    pub checked: bool,
}

/// Traffic under way.
#[derive(Debug)]
pub struct Traffic {
    shared: Arc<Shared>,
    sender: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    caller: Caller,
    tally: Mutex<Tally>,
    under_way: AtomicUsize,
    stop: AtomicBool,
    rate: Mutex<f64>,
}

impl Plan {
    /// Starts sending. `hosts` are the callers' addresses of all entry hosts.
    #[must_use]
    pub fn start(self, hosts: Vec<Name>) -> Traffic {
        let shared = Arc::new(Shared {
            caller: Caller::new(hosts, self.checked),
            tally: Mutex::default(),
            under_way: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            rate: Mutex::new(self.rate),
        });
        let sending = shared.clone();
        let sender = thread::spawn(move || send(&self, &sending));
        Traffic { shared, sender }
    }
}

impl Traffic {
    /// Names the hosts anew, as after some were replaced.
    pub fn hosts(&self, hosts: Vec<Name>) {
        self.shared.caller.hosts(hosts);
    }

    /// Sends at another rate from now on.
    pub fn rate(&self, rate: f64) {
        *self
            .shared
            .rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = rate;
    }

    /// What has come of it so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.shared.tally().clone()
    }

    /// Sends nothing more, and waits for the answers under way.
    #[must_use]
    pub fn stop(self) -> Tally {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.finish()
    }

    /// Waits until everything has been sent and answered.
    #[must_use]
    pub fn finish(self) -> Tally {
        // A panic of the sender has been reported on its own thread.
        let _ = self.sender.join();
        while self.shared.under_way.load(Ordering::Acquire) > 0 {
            thread::sleep(Duration::from_millis(10));
        }
        self.shared.tally().clone()
    }
}

impl Shared {
    fn tally(&self) -> std::sync::MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn send(plan: &Plan, shared: &Arc<Shared>) {
    let mut draws = ChaCha8Rng::seed_from_u64(plan.seed);
    let total: u32 = plan.rows.iter().map(|row| row.share).sum();
    let begin = Instant::now();
    let mut at = begin;
    let mut serial = 0;
    while !shared.stop.load(Ordering::Relaxed) && at < begin + plan.length && total > 0 {
        let rate = *shared.rate.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = -(1.0 - draws.random::<f64>()).ln() / rate.max(0.001);
        at += Duration::from_secs_f64(gap);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        serial += 1;
        let row = pick(&plan.rows, draws.random_range(0..total));
        let target = Target::new(row, plan.seed, serial, &mut draws);
        start(shared, target, at, plan.most);
    }
}

/// The row in which a point of the summed shares falls.
fn pick(rows: &[Row], mut point: u32) -> &Row {
    rows.iter()
        .find(|row| {
            let hit = point < row.share;
            point = point.saturating_sub(row.share);
            hit
        })
        .unwrap_or(&rows[0])
}

fn start(shared: &Arc<Shared>, target: Target, meant: Instant, most: usize) {
    if shared.under_way.fetch_add(1, Ordering::AcqRel) >= most {
        shared.under_way.fetch_sub(1, Ordering::AcqRel);
        shared.tally().not_sent += 1;
        return;
    }
    let own = shared.clone();
    let started = thread::Builder::new().stack_size(STACK).spawn(move || {
        let result = own.caller.run(&target, meant);
        own.tally().add(&target, &result);
        own.under_way.fetch_sub(1, Ordering::AcqRel);
    });
    if started.is_err() {
        shared.under_way.fetch_sub(1, Ordering::AcqRel);
        shared.tally().not_sent += 1;
    }
}
