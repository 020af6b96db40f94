//! Sends open-loop requests to a running deployment and checks every answer.
//!
//! Latency counts from the time at which a request was due, not from the time at which it
//! was sent, so that a delay in the generator counts as latency.

mod call;
mod tally;

pub use call::{Ending, Request};
pub use tally::{PriorityTally, Tally};

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

/// Stack size of a thread that sends one request.
const STACK_BYTES: usize = 256 * 1024;

/// The requests to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Rows to call, each in proportion to its share.
    pub rows: Vec<Row>,
    /// Mean number of requests per second; gaps are drawn from an exponential distribution.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of requests in flight; a request over it is counted as not sent.
    pub max_in_flight: usize,
    /// Whether to check the bodies of answers, which is possible only with stand-ins as
    /// upstreams.
    pub check_answers: bool,
}

/// Requests that are being sent in the background.
#[derive(Debug)]
pub struct Traffic {
    shared: Arc<Shared>,
    generator: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    caller: Caller,
    tally: Mutex<Tally>,
    in_flight: AtomicUsize,
    stop: AtomicBool,
    rate: Mutex<f64>,
}

impl Plan {
    /// Starts sending. `hosts` are the addresses at which the entry hosts serve callers.
    #[must_use]
    pub fn start(self, hosts: Vec<Name>) -> Traffic {
        let shared = Arc::new(Shared {
            caller: Caller::new(hosts, self.check_answers),
            tally: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            rate: Mutex::new(self.rate),
        });
        let shared_by_generator = shared.clone();
        let generator = thread::spawn(move || generate_requests(&self, &shared_by_generator));
        Traffic { shared, generator }
    }
}

impl Traffic {
    /// Replaces the addresses of the hosts, and drops all cached address answers.
    pub fn set_hosts(&self, hosts: Vec<Name>) {
        self.shared.caller.set_hosts(hosts);
    }

    /// Changes the rate, in requests per second.
    pub fn set_rate(&self, rate: f64) {
        *self
            .shared
            .rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = rate;
    }

    /// Outcomes so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.shared.tally().clone()
    }

    /// Stops sending and waits for the requests in flight.
    #[must_use]
    pub fn stop(self) -> Tally {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.finish()
    }

    /// Waits until all requests have been sent and have ended.
    #[must_use]
    pub fn finish(self) -> Tally {
        // A panic of the generator's thread has already been printed by that thread.
        let _ = self.generator.join();
        while self.shared.in_flight.load(Ordering::Acquire) > 0 {
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

fn generate_requests(plan: &Plan, shared: &Arc<Shared>) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let total_share: u32 = plan.rows.iter().map(|row| row.share).sum();
    let start_time = Instant::now();
    let mut due = start_time;
    let mut serial = 0;
    while !shared.stop.load(Ordering::Relaxed)
        && due < start_time + plan.duration
        && total_share > 0
    {
        let rate = *shared.rate.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate.max(0.001);
        due += Duration::from_secs_f64(gap);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        serial += 1;
        let row = pick_row(&plan.rows, rng.random_range(0..total_share));
        let request = Request::new(row, plan.seed, serial, &mut rng);
        spawn_request(shared, request, due, plan.max_in_flight);
    }
}

/// Picks the row in whose part of the summed shares `point` falls.
fn pick_row(rows: &[Row], mut point: u32) -> &Row {
    rows.iter()
        .find(|row| {
            let hit = point < row.share;
            point = point.saturating_sub(row.share);
            hit
        })
        .unwrap_or(&rows[0])
}

fn spawn_request(shared: &Arc<Shared>, request: Request, due: Instant, max_in_flight: usize) {
    if shared.in_flight.fetch_add(1, Ordering::AcqRel) >= max_in_flight {
        shared.in_flight.fetch_sub(1, Ordering::AcqRel);
        shared.tally().not_sent += 1;
        return;
    }
    let shared_by_request = shared.clone();
    let started = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let result = shared_by_request.caller.run(&request, due);
            shared_by_request.tally().add(&request, &result);
            shared_by_request.in_flight.fetch_sub(1, Ordering::AcqRel);
        });
    if started.is_err() {
        shared.in_flight.fetch_sub(1, Ordering::AcqRel);
        shared.tally().not_sent += 1;
    }
}
