//! `mulberryrack replay`

use crate::exit::{Code, Error, Result};
use mulberryrack_host::Settings;
use mulberryrack_replay::{
    report,
    scenario::{self, Scenario, TraceOptions},
    summary::{Summary, Wanted},
    trace::{self, Line},
    world::{Deployment, HostKind, World},
};
use mulberryrack_standin::deployment;
use std::{
    fs,
    path::{Path, PathBuf},
};

/// Replays a trace through the decisions of a deployment's hosts, in virtual time.
///
/// The output is the same for the same trace, deployment and seed. Exits with 1 if a promise
/// was broken or a wanted outcome was missed.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The trace, as JSON lines. The wanted outcomes are read from the file of the same name
    /// that ends in `.wanted.json`, if it exists.
    #[arg(required_unless_present = "scenario")]
    trace: Option<PathBuf>,
    /// Generates the trace instead: steady, surge, release, outage, host-loss, engine-loss,
    /// poison.
    #[arg(long, conflicts_with = "trace")]
    scenario: Option<Scenario>,
    /// Length of a generated trace in seconds.
    #[arg(long, default_value_t = 300)]
    seconds: u64,
    /// Peak rate of a generated trace in requests per second.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Writes the generated trace to this file.
    #[arg(long, requires = "scenario")]
    write_trace: Option<PathBuf>,
    /// Directory with the deployment and its tables.
    #[arg(long, value_name = "DIR")]
    deployment: PathBuf,
    /// Also replays the trace with this baseline, and prints its results after the others.
    #[arg(long, value_name = "naive", value_parser = ["naive"])]
    against: Option<String>,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Writes an HTML page with plots to this file.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Prints the log lines of all hosts, with their time.
    #[arg(long)]
    notes: bool,
    /// Prints the results as JSON.
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Replays the trace, checks the wanted outcomes and prints the results.
    pub fn run(self) -> Result {
        let description = read_deployment(&self.deployment)?;
        let (lines, wanted) = self.make_trace(&description)?;
        let ours = self.replay(&description, HostKind::Mulberryrack, &lines)?;
        let missed = ours.1.missed(&wanted);
        self.print("ours", &ours.1);
        if self.notes {
            print_notes(&ours.0);
        }
        if let Some(path) = &self.report {
            let page = report::html("mulberryrack replay", &ours.0, &ours.1)
                .map_err(|error| failed(&error))?;
            write(path, &page)?;
        }
        if self.against.is_some() {
            let naive = self.replay(&description, HostKind::Naive, &lines)?;
            self.print("naive", &naive.1);
        }
        for line in &missed {
            println!("missed: {line}");
        }
        Ok(if missed.is_empty() {
            Code::Done
        } else {
            Code::Refused
        })
    }

    fn make_trace(&self, description: &deployment::Deployment) -> Result<(Vec<Line>, Wanted)> {
        if let Some(path) = &self.trace {
            let lines = trace::parse(&read(path)?).map_err(|error| Error::File {
                path: path.display().to_string(),
                reason: error.to_string(),
            })?;
            return Ok((lines, wanted(path)?));
        }
        let scenario = self.scenario.unwrap_or(Scenario::Steady);
        let names = |role| -> Vec<_> {
            let upstreams = description
                .upstreams()
                .into_iter()
                .map(|(listing, _)| listing);
            let machines = description.entry_hosts().into_iter().chain(upstreams);
            let wanted = machines.filter(|machine| machine.role == role);
            wanted.map(|machine| machine.name).collect()
        };
        let options = TraceOptions {
            seconds: self.seconds,
            rate: self.rate,
            seed: self.seed,
            rows: description.table.to_vec(),
            hosts: names(mulberryrack_core::node::Role::Host),
            engines: names(mulberryrack_core::node::Role::Engine),
        };
        let lines = scenario::generate(scenario, &options);
        if let Some(path) = &self.write_trace {
            write(path, &trace::render(&lines))?;
        }
        Ok((lines, Wanted::default()))
    }

    fn replay(
        &self,
        description: &deployment::Deployment,
        kind: HostKind,
        lines: &[Line],
    ) -> Result<(World, Summary)> {
        let path = self.deployment.join("host.ini");
        let settings = if path.exists() {
            let config = mulberryrack_daemon::config::Config::areas(&read(&path)?);
            config.map_err(|error| Error::File {
                path: path.display().to_string(),
                reason: error.to_string(),
            })?
        } else {
            Settings::default()
        };
        let deployment = Deployment::from_sample(description, settings);
        Ok(mulberryrack_replay::run(deployment, kind, lines, self.seed))
    }

    fn print(&self, name: &str, summary: &Summary) {
        if self.json {
            let json = serde_json::json!({ "version": name, "summary": summary });
            println!("{json}");
        } else {
            println!("== {name}");
            print!("{}", report::text(summary));
        }
    }
}

fn print_notes(world: &World) {
    for (at, host, note) in &world.notes {
        let line = mulberryrack_daemon::logging::format_note(note);
        println!("time={at} host={host} {line}");
    }
}

/// Reads a deployment's directory.
pub fn read_deployment(path: &Path) -> Result<deployment::Deployment> {
    deployment::Deployment::read(path).map_err(|errors| {
        let reasons: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Error::File {
            path: path.display().to_string(),
            reason: reasons.join("\n"),
        }
    })
}

fn wanted(trace: &Path) -> Result<Wanted> {
    let path = trace.with_extension("wanted.json");
    if !path.exists() {
        return Ok(Wanted::default());
    }
    serde_json::from_str(&read(&path)?).map_err(|error| Error::File {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|error| Error::File {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}

fn write(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(|error| Error::File {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}

fn failed(error: &impl ToString) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
