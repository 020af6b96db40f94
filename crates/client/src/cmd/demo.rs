//! `mulberryrack demo`

use crate::{
    cmd::replay::read_deployment,
    exit::{Code, Error, Result},
};
use mulberryrack_daemon::config::Log;
use mulberryrack_host::{Settings, operator::Answer};
use mulberryrack_load::{
    cluster::Cluster,
    traffic::{Plan, Tally, Traffic},
};
use mulberryrack_standin::{
    deployment::Deployment,
    world::{KV, Switch},
};
use std::{
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

/// Factor by which weights are loaded faster than the deployment's settings say, so that the
/// demonstration takes about a minute.
const WEIGHTS_SPEEDUP: u32 = 20;
/// Time between polls of an engine, shortened because loads are faster.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between placement plans, shortened for the same reason.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which callers keep an address answer, shortened so that a host can drain within
/// the demonstration.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(3);
/// Number of hosts that are started.
const HOST_COUNT: usize = 5;
/// Requests per second outside the burst.
const REQUEST_RATE: f64 = 25.0;
/// Requests per second during the burst.
const BURST_RATE: f64 = 100.0;
/// Time allowed for rows to be loaded, and for a table to be accepted.
const LOAD_TIMEOUT: Duration = Duration::from_secs(40);
/// Time allowed for a table to be in force on every host.
const TABLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum duration of the traffic. The demonstration stops the traffic earlier.
const MAX_TRAFFIC_DURATION: Duration = Duration::from_secs(120);

/// Runs a whole deployment on loopback, under traffic: a release, a burst, an outage of the
/// key-value service, the loss of one host and the drain of another.
///
/// Stand-ins take the place of the platform, the engines and the services. Everything runs
/// in this process and communicates over real sockets. Exits with 1 if a promise was broken.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory with the deployment's settings and tables.
    #[arg(long, value_name = "DIR", default_value = "examples/hinokuni")]
    deployment: PathBuf,
    /// Prints the hosts' log lines of this level and above: error, warn, info, debug, off.
    #[arg(long, default_value = "off")]
    log: String,
}

impl Args {
    /// Runs the demonstration and prints which promises were kept.
    pub fn run(self) -> Result {
        let log = Log {
            level: self.log.as_str().into(),
            ..Log::default()
        };
        mulberryrack_daemon::logging::start(&log).map_err(failed)?;
        let mut deployment = read_deployment(&self.deployment)?;
        deployment.platform.weights.rate *= f64::from(WEIGHTS_SPEEDUP);
        deployment.platform.weights.parallel *= WEIGHTS_SPEEDUP as usize;
        let mut settings = Settings::default();
        settings.place.loads_per_second = deployment.platform.weights.rate;
        let parallel = u32::try_from(deployment.platform.weights.parallel);
        settings.place.parallel_loads = parallel.unwrap_or(u32::MAX);
        settings.place.poll_interval = POLL_INTERVAL;
        settings.place.plan_interval = PLAN_INTERVAL;
        settings.member.address_lifetime = ADDRESS_LIFETIME;
        let cluster = Cluster::start(&deployment, HOST_COUNT, settings).map_err(failed)?;
        let mut demo = Demo {
            started_at: Instant::now(),
            cluster,
            deployment,
            broken: Vec::new(),
        };
        Ok(demo.run())
    }
}

fn failed<E: ToString>(error: E) -> Error {
    let reason = error.to_string();
    drop(error);
    Error::Failed { reason }
}

struct Demo {
    started_at: Instant,
    cluster: Cluster,
    deployment: Deployment,
    broken: Vec<String>,
}

impl Demo {
    fn run(&mut self) -> Code {
        self.print_step(&format!(
            "{HOST_COUNT} hosts, {} upstreams and the platform run on loopback; weights load \
             {WEIGHTS_SPEEDUP} times faster than in the settings",
            self.cluster.world.upstreams().len()
        ));
        let table = self.deployment.table.clone();
        self.accept(&table, "first-table", 1);
        self.wait_rows(&table);
        let plan = Plan {
            // Requests for rows that the release removes would be refused after it.
            rows: table
                .iter()
                .filter(|row| {
                    self.deployment
                        .release
                        .iter()
                        .any(|one| one.name == row.name)
                })
                .cloned()
                .collect(),
            rate: REQUEST_RATE,
            duration: MAX_TRAFFIC_DURATION,
            seed: 1,
            max_in_flight: 2_000,
            check_answers: true,
        };
        let traffic = plan.start(self.cluster.caller_addresses());
        self.print_step(&format!("traffic begins: {REQUEST_RATE} requests a second"));
        pause(4);
        self.release(&traffic);
        self.outage();
        self.lose_host(&traffic);
        self.drain_host(&traffic);
        self.print_step("traffic ends");
        let tally = traffic.stop();
        self.print_summary(&tally)
    }

    fn release(&mut self, traffic: &Traffic) {
        let release = self.deployment.release.clone();
        self.print_step("a release of most rows at once, followed by a burst of demand");
        self.accept(&release, "release", 2);
        traffic.set_rate(BURST_RATE);
        self.wait_rows(&release);
        traffic.set_rate(REQUEST_RATE);
    }

    fn outage(&mut self) {
        self.print_step("the key-value service stops answering for 6 seconds");
        let switch = |on| Switch::Hang {
            name: KV.into(),
            on,
        };
        self.cluster.world.switch(switch(true));
        pause(6);
        self.cluster.world.switch(switch(false));
        self.print_step("the key-value service answers again");
        pause(2);
    }

    fn lose_host(&mut self, traffic: &Traffic) {
        let name = self.cluster.names()[0].clone();
        self.print_step(&format!("{name} dies without a word"));
        self.cluster.kill(0);
        traffic.set_hosts(self.cluster.caller_addresses());
        pause(4);
        match self.cluster.restart(0) {
            Ok(()) => self.print_step(&format!("{name} is replaced, as a new life")),
            Err(error) => self.broken.push(format!("{name} did not start: {error}")),
        }
        traffic.set_hosts(self.cluster.caller_addresses());
        pause(2);
    }

    fn drain_host(&mut self, traffic: &Traffic) {
        let name = self.cluster.names()[1].clone();
        self.print_step(&format!(
            "{name} is told to leave, and serves until nothing is cut off"
        ));
        let callers = self.cluster.caller_addresses();
        let others = callers.iter().filter(|one| **one != callers[1]);
        traffic.set_hosts(others.cloned().collect());
        self.cluster.drain(1);
        self.print_step(&format!("{name} has left"));
    }

    fn accept(&mut self, rows: &[mulberryrack_table::Row], change: &str, version: u64) {
        let started_at = Instant::now();
        // A host may fail to accept while the hosts are still discovering each other.
        while started_at.elapsed() < LOAD_TIMEOUT {
            match self.cluster.accept(rows, change, version - 1) {
                Ok(Answer::Accepted { .. }) => break,
                Ok(Answer::Invalid { problems }) => {
                    self.broken
                        .push(format!("{change} refused: {}", problems.join("; ")));
                    return;
                }
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        match self.cluster.wait_for_version(version, TABLE_TIMEOUT) {
            Some(took) => self.print_step(&format!(
                "version {version} of the table is in force on every host after {} ms",
                took.as_millis()
            )),
            None => self
                .broken
                .push(format!("version {version} is not in force everywhere")),
        }
    }

    fn wait_rows(&mut self, rows: &[mulberryrack_table::Row]) {
        match self.cluster.wait_until_loaded(rows, LOAD_TIMEOUT) {
            Some(took) => self.print_step(&format!(
                "all {} models and adapters are loaded in this version after {:.1} s",
                rows.len() - 1,
                took.as_secs_f64()
            )),
            None => self
                .broken
                .push("some rows were not loaded in time".to_owned()),
        }
    }

    fn print_step(&self, text: &str) {
        println!("{:>5.1} s  {text}", self.started_at.elapsed().as_secs_f64());
    }

    fn print_summary(&mut self, tally: &Tally) -> Code {
        let upstreams = self.cluster.world.tally();
        print!("\n{tally}");
        println!(
            "loads {}, key-value calls {}",
            upstreams.loads,
            upstreams.kv_calls.values().sum::<u64>()
        );
        println!("\nPromises:");
        let overcommitted: Vec<String> =
            upstreams.overcommitted().map(ToString::to_string).collect();
        print_promise("accelerator memory is never overcommitted", &overcommitted);
        print_promise(
            "each caller gets the whole answer to its own request",
            &tally.flawed,
        );
        print_promise("no request is left without an answer", &tally.lost);
        let run_twice: Vec<String> = upstreams.doubles.keys().map(ToString::to_string).collect();
        print_promise("a non-repeatable request runs at most once", &run_twice);
        let false_refusals = self.false_refusals(tally);
        print_promise("a refusal that says \"not run\" is true", &false_refusals);
        let broken = std::mem::take(&mut self.broken);
        print_promise("tables, loads and hosts came in time", &broken);
        let checks = [
            &overcommitted,
            &tally.flawed,
            &tally.lost,
            &run_twice,
            &false_refusals,
            &broken,
        ];
        if checks.iter().all(|one| one.is_empty()) {
            Code::Done
        } else {
            Code::Refused
        }
    }

    /// Keys of requests that were refused as not run but have run at an upstream.
    fn false_refusals(&self, tally: &Tally) -> Vec<String> {
        let runs = self.cluster.world.with_state(|state, _| state.runs());
        let ran: std::collections::BTreeSet<_> = runs
            .into_values()
            .flatten()
            .filter_map(|run| run.key)
            .collect();
        let not_run = tally.not_run.iter();
        not_run
            .filter(|key| ran.contains(*key))
            .map(ToString::to_string)
            .collect()
    }
}

fn pause(seconds: u64) {
    thread::sleep(Duration::from_secs(seconds));
}

fn print_promise(promise: &str, broken: &[String]) {
    match broken.first() {
        None => println!("  kept    {promise}"),
        Some(first) => println!("  BROKEN  {promise}: {} times, first {first}", broken.len()),
    }
}
