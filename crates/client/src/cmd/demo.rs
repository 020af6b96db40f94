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

/// How much faster than in the deployment's settings weights are loaded, so that the
/// demonstration fits into a minute.
const WEIGHTS_FACTOR: u32 = 20;
/// Time between polls of engines, shortened as loads are.
const POLL: Duration = Duration::from_millis(100);
/// Time between plans, shortened as well.
const PLAN: Duration = Duration::from_millis(20);
/// How long callers keep an address, shortened so that a host leaves within the show.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(3);
/// Entry hosts that are started.
const HOSTS: usize = 5;
/// Requests a second, and in the burst.
const RATE: f64 = 25.0;
const BURST: f64 = 100.0;
/// Time for rows to be loaded.
const LOAD_TIMEOUT: Duration = Duration::from_secs(40);
/// Time for a table to be in force everywhere.
const TABLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Bound on the traffic, which is stopped earlier.
const TRAFFIC: Duration = Duration::from_secs(120);

/// Shows a whole deployment on loopback: a release, a burst, an outage of the key-value
/// service, the loss of a host and the leaving of another, under traffic.
///
/// Stand-ins take the place of the platform, the engines and the services. Everything runs
/// in this process and talks over real sockets. Ends with 1 when a promise was broken.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory with the deployment.
    #[arg(long, value_name = "DIR", default_value = "examples/hinokuni")]
    deployment: PathBuf,
    /// Shows the hosts' log lines from this level on: error, warn, info, debug.
    #[arg(long, default_value = "off")]
    log: String,
}

impl Args {
    /// Runs the demonstration and sums up the promises.
    pub fn run(self) -> Result {
        let log = Log {
            level: self.log.as_str().into(),
            ..Log::default()
        };
        mulberryrack_daemon::logging::start(&log).map_err(failed)?;
        let mut deployment = read_deployment(&self.deployment)?;
        deployment.platform.weights.rate *= f64::from(WEIGHTS_FACTOR);
        deployment.platform.weights.parallel *= WEIGHTS_FACTOR as usize;
        let mut settings = Settings::default();
        settings.place.loads_per_second = deployment.platform.weights.rate;
        let parallel = u32::try_from(deployment.platform.weights.parallel);
        settings.place.parallel_loads = parallel.unwrap_or(u32::MAX);
        settings.place.poll_interval = POLL;
        settings.place.plan_interval = PLAN;
        settings.member.address_lifetime = ADDRESS_LIFETIME;
        let cluster = Cluster::start(&deployment, HOSTS, settings).map_err(failed)?;
        let mut show = Show {
            begin: Instant::now(),
            cluster,
            deployment,
            broken: Vec::new(),
        };
        Ok(show.run())
    }
}

fn failed<E: ToString>(error: E) -> Error {
    let reason = error.to_string();
    drop(error);
    Error::Failed { reason }
}

struct Show {
    begin: Instant,
    cluster: Cluster,
    deployment: Deployment,
    broken: Vec<String>,
}

impl Show {
    fn run(&mut self) -> Code {
        self.say(&format!(
            "{HOSTS} hosts, {} upstreams and the platform run on loopback; weights load \
             {WEIGHTS_FACTOR} times faster than in the settings",
            self.cluster.world.upstreams().len()
        ));
        let table = self.deployment.table.clone();
        self.accept(&table, "first-table", 1);
        self.wait_rows(&table);
        let plan = Plan {
            // Rows that the release removes would be refused after it.
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
            rate: RATE,
            duration: TRAFFIC,
            seed: 1,
            max_in_flight: 2_000,
            check_answers: true,
        };
        let traffic = plan.start(self.cluster.caller_addresses());
        self.say(&format!("traffic begins: {RATE} requests a second"));
        pause(4);
        self.release(&traffic);
        self.outage();
        self.loss(&traffic);
        self.leaving(&traffic);
        self.say("traffic ends");
        let tally = traffic.stop();
        self.sum_up(&tally)
    }

    fn release(&mut self, traffic: &Traffic) {
        let release = self.deployment.release.clone();
        self.say("a release of most rows at once, followed by a burst of demand");
        self.accept(&release, "release", 2);
        traffic.set_rate(BURST);
        self.wait_rows(&release);
        traffic.set_rate(RATE);
    }

    fn outage(&mut self) {
        self.say("the key-value service stops answering for 6 seconds");
        let switch = |on| Switch::Hang {
            name: KV.into(),
            on,
        };
        self.cluster.world.switch(switch(true));
        pause(6);
        self.cluster.world.switch(switch(false));
        self.say("the key-value service answers again");
        pause(2);
    }

    fn loss(&mut self, traffic: &Traffic) {
        let name = self.cluster.names()[0].clone();
        self.say(&format!("{name} dies without a word"));
        self.cluster.kill(0);
        traffic.set_hosts(self.cluster.caller_addresses());
        pause(4);
        match self.cluster.restart(0) {
            Ok(()) => self.say(&format!("{name} is replaced, as a new life")),
            Err(error) => self.broken.push(format!("{name} did not start: {error}")),
        }
        traffic.set_hosts(self.cluster.caller_addresses());
        pause(2);
    }

    fn leaving(&mut self, traffic: &Traffic) {
        let name = self.cluster.names()[1].clone();
        self.say(&format!(
            "{name} is told to leave, and serves until nothing is cut off"
        ));
        let callers = self.cluster.caller_addresses();
        let others = callers.iter().filter(|one| **one != callers[1]);
        traffic.set_hosts(others.cloned().collect());
        self.cluster.drain(1);
        self.say(&format!("{name} has left"));
    }

    fn accept(&mut self, rows: &[mulberryrack_table::Row], change: &str, version: u64) {
        let begin = Instant::now();
        // Hosts may still be meeting each other.
        while begin.elapsed() < LOAD_TIMEOUT {
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
            Some(took) => self.say(&format!(
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
            Some(took) => self.say(&format!(
                "all {} models and adapters are loaded in this version after {:.1} s",
                rows.len() - 1,
                took.as_secs_f64()
            )),
            None => self
                .broken
                .push("some rows were not loaded in time".to_owned()),
        }
    }

    fn say(&self, text: &str) {
        println!("{:>5.1} s  {text}", self.begin.elapsed().as_secs_f64());
    }

    fn sum_up(&mut self, tally: &Tally) -> Code {
        let upstreams = self.cluster.world.tally();
        print!("\n{tally}");
        println!(
            "loads {}, key-value calls {}",
            upstreams.loads,
            upstreams.kv_calls.values().sum::<u64>()
        );
        println!("\nPromises:");
        let over: Vec<String> = upstreams.overcommitted().map(ToString::to_string).collect();
        promise("accelerator memory is never overcommitted", &over);
        promise(
            "each caller gets the whole answer to its own request",
            &tally.flawed,
        );
        promise("no request is left without an answer", &tally.lost);
        let doubled: Vec<String> = upstreams.doubles.keys().map(ToString::to_string).collect();
        promise("a non-repeatable request runs at most once", &doubled);
        let untrue = self.untrue(tally);
        promise("a refusal that says \"not run\" is true", &untrue);
        let broken = std::mem::take(&mut self.broken);
        promise("tables, loads and hosts came in time", &broken);
        let kept = [
            &over,
            &tally.flawed,
            &tally.lost,
            &doubled,
            &untrue,
            &broken,
        ];
        if kept.iter().all(|one| one.is_empty()) {
            Code::Done
        } else {
            Code::Refused
        }
    }

    /// Keys that were said not to have run, and have.
    fn untrue(&self, tally: &Tally) -> Vec<String> {
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

fn promise(promise: &str, broken: &[String]) {
    match broken.first() {
        None => println!("  kept    {promise}"),
        Some(first) => println!("  BROKEN  {promise}: {} times, first {first}", broken.len()),
    }
}
