//! `mulberryrack load`

use crate::exit::{Code, Error, Result};
use mulberryrack_load::traffic::{Plan, Traffic};
use mulberryrack_table::csv;
use std::{
    fs,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Sends open-loop requests to a running deployment and checks every answer.
///
/// Requests are sent at the given rate, however fast they are answered. Latency is measured
/// from the time at which a request was due to be sent. Exits with 1 if an answer was
/// incomplete or belonged to another request, or if a request got no answer.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Addresses of hosts for callers.
    #[arg(
        long = "caller-host",
        value_name = "IP:PORT",
        value_delimiter = ',',
        required = true
    )]
    hosts: Vec<String>,
    /// The table in force, as CSV. Requests are spread over its rows in proportion to the
    /// rows' shares.
    #[arg(long, value_name = "FILE")]
    table: PathBuf,
    /// Requests per second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Seconds for which requests are sent.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Maximum number of requests in flight at once.
    #[arg(long, default_value_t = 2_000)]
    most: usize,
    /// Doesn't check the text of answers. Needed if the upstreams aren't the stand-ins.
    #[arg(long)]
    unchecked: bool,
}

impl Args {
    /// Sends the requests, prints progress, and prints a summary at the end.
    pub fn run(self) -> Result {
        let file = |reason: String| Error::File {
            path: self.table.display().to_string(),
            reason,
        };
        let text = fs::read_to_string(&self.table).map_err(|error| file(error.to_string()))?;
        let rows = csv::parse(&text).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            file(lines.join("\n"))
        })?;
        let duration = Duration::from_secs(self.seconds);
        let plan = Plan {
            rows: rows.to_vec(),
            rate: self.rate,
            duration,
            seed: self.seed,
            max_in_flight: self.most,
            check_answers: !self.unchecked,
        };
        let hosts = self.hosts.iter().map(|host| host.as_str().into()).collect();
        let traffic = plan.start(hosts);
        print_progress(&traffic, duration);
        let tally = traffic.finish();
        print!("{tally}");
        for line in tally.flawed.iter().chain(&tally.lost).take(5) {
            println!("{line}");
        }
        let all_answered = tally.flawed.is_empty() && tally.lost.is_empty();
        Ok(if all_answered {
            Code::Done
        } else {
            Code::Refused
        })
    }
}

fn print_progress(traffic: &Traffic, duration: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        thread::sleep(PROGRESS_INTERVAL.min(duration.saturating_sub(started_at.elapsed())));
        let tally = traffic.tally();
        println!(
            "{:>4} s: asked {}, ran {}, lost {}, flawed {}",
            started_at.elapsed().as_secs(),
            tally.asked(),
            tally.ran_count(),
            tally.lost.len(),
            tally.flawed.len()
        );
    }
}
