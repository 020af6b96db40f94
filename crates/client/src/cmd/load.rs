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

/// Time between lines of progress.
const PROGRESS: Duration = Duration::from_secs(5);

/// Sends open-loop requests to a running deployment and checks every answer.
///
/// Latency counts from the time that a request was meant to be sent at. Ends with 1 when
/// an answer was not whole or not its own, or a request got no answer.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Addresses of entry hosts for callers.
    #[arg(
        long = "caller-host",
        value_name = "IP:PORT",
        value_delimiter = ',',
        required = true
    )]
    hosts: Vec<String>,
    /// The table in force, as CSV: rows are called in proportion to their shares.
    #[arg(long, value_name = "FILE")]
    table: PathBuf,
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// For how many seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Seed of every draw.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Most requests under way at once.
    #[arg(long, default_value_t = 2_000)]
    most: usize,
    /// Does not check the text of answers: the upstreams are not the stand-ins.
    #[arg(long)]
    unchecked: bool,
}

impl Args {
    /// Sends, shows progress, and sums up.
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
        progress(&traffic, duration);
        let tally = traffic.finish();
        print!("{tally}");
        for line in tally.flawed.iter().chain(&tally.lost).take(5) {
            println!("{line}");
        }
        let right = tally.flawed.is_empty() && tally.lost.is_empty();
        Ok(if right { Code::Done } else { Code::Refused })
    }
}

fn progress(traffic: &Traffic, duration: Duration) {
    let begin = Instant::now();
    while begin.elapsed() < duration {
        thread::sleep(PROGRESS.min(duration.saturating_sub(begin.elapsed())));
        let tally = traffic.tally();
        println!(
            "{:>4} s: asked {}, ran {}, lost {}, flawed {}",
            begin.elapsed().as_secs(),
            tally.asked(),
            tally.ran_count(),
            tally.lost.len(),
            tally.flawed.len()
        );
    }
}
