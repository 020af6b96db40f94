//! `mulberryrack table`

use crate::{
    exit::{Code, Error, Result},
    link::Options,
    print,
};
use mulberryrack_host::operator::{Answer, Applied, Command as Ask};
use mulberryrack_load::operator::Link;
use rand::RngExt;
use std::{
    env, fs,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

/// How long `accept` waits for the version to be in force everywhere.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between looks at the spread.
const SPREAD_INTERVAL: Duration = Duration::from_millis(200);

/// What to do with the table.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Checks a table and changes nothing: every problem with row, column and value.
    Check(File),
    /// Checks a table and shows how it differs from the one in force.
    Diff(File),
    /// Prints a version as CSV; the one in force by default.
    Show(Show),
    /// Accepts a table and waits until it is in force on every live host.
    Accept(Accept),
    /// Lists the versions kept, newest first.
    History(Options),
    /// Accepts an old version again, as a new one.
    RollbackAsNew(Rollback),
}

/// A table in a file.
#[derive(Debug, clap::Args)]
pub struct File {
    /// The table, as CSV.
    file: PathBuf,
    #[command(flatten)]
    options: Options,
}

/// Arguments of `mulberryrack table show`.
#[derive(Debug, clap::Args)]
pub struct Show {
    /// The version.
    #[arg(long)]
    version: Option<u64>,
    #[command(flatten)]
    options: Options,
}

/// Arguments of `mulberryrack table accept`.
#[derive(Debug, clap::Args)]
pub struct Accept {
    /// The table, as CSV.
    file: PathBuf,
    #[command(flatten)]
    terms: Terms,
    #[command(flatten)]
    options: Options,
}

/// Arguments of `mulberryrack table rollback-as-new`.
#[derive(Debug, clap::Args)]
pub struct Rollback {
    /// The version to accept again.
    version: u64,
    #[command(flatten)]
    terms: Terms,
    #[command(flatten)]
    options: Options,
}

/// How a change is proposed.
#[derive(Debug, clap::Args)]
struct Terms {
    /// Version that the change was made from; the one in force by default.
    #[arg(long)]
    parent: Option<u64>,
    /// Id of the change. Give the printed one, with the printed parent, to repeat a command
    /// whose outcome is not known: it takes effect once.
    #[arg(long, requires = "parent")]
    change: Option<String>,
    /// Who accepts.
    #[arg(long)]
    author: Option<String>,
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        match self {
            Self::Check(args) | Self::Diff(args) => {
                let csv = read(&args.file)?;
                ask(&args.options, &Ask::Check { csv })
            }
            Self::Show(args) => args.run(),
            Self::Accept(args) => {
                let csv = read(&args.file)?;
                let mut link = args.options.open()?;
                accept(&mut link, csv, args.terms, args.options.json)
            }
            Self::History(options) => ask(&options, &Ask::History),
            Self::RollbackAsNew(args) => args.run(),
        }
    }
}

impl Show {
    fn run(self) -> Result {
        let Some(version) = self.version else {
            return ask(&self.options, &Ask::Show { version: None });
        };
        let mut link = self.options.open()?;
        let answer = old(&mut link, version)?;
        print::answer(&answer, self.options.json)
    }
}

impl Rollback {
    fn run(self) -> Result {
        let mut link = self.options.open()?;
        match old(&mut link, self.version)? {
            Answer::Table(table) => accept(&mut link, table.csv, self.terms, self.options.json),
            answer => print::answer(&answer, self.options.json),
        }
    }
}

/// Reads one old version.
fn old(link: &mut Link, version: u64) -> Result<Answer> {
    let answer = link.ask(&Ask::Show {
        version: Some(version),
    })?;
    let Answer::History { versions } = answer else {
        return Ok(answer);
    };
    let found = versions.into_iter().find(|kept| kept.version == version);
    Ok(found.map_or_else(
        || Answer::Failed {
            reason: format!("version {version} is not kept"),
        },
        Answer::Table,
    ))
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|error| Error::File {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}

fn ask(options: &Options, command: &Ask) -> Result {
    let answer = options.open()?.ask(command)?;
    print::answer(&answer, options.json)
}

fn accept(link: &mut Link, csv: String, terms: Terms, json: bool) -> Result {
    let change = terms.change.unwrap_or_else(new_change);
    let parent = match terms.parent {
        Some(parent) => parent,
        None => in_force(link)?,
    };
    if !json {
        println!("Change id: {change}, made from version {parent}.");
    }
    let answer = link.ask(&Ask::Accept {
        csv,
        parent,
        change: change.into(),
        author: terms.author.unwrap_or_else(user).into(),
    })?;
    let code = print::answer(&answer, json)?;
    match answer {
        Answer::Accepted { version } => spread(link, version, json),
        _ => Ok(code),
    }
}

/// The version in force on the asked host; 0 for none.
fn in_force(link: &mut Link) -> Result<u64> {
    match link.ask(&Ask::Progress)? {
        Answer::Progress { version, .. } => Ok(version),
        answer => Err(Error::Unexpected {
            answer: format!("{answer:?}"),
        }),
    }
}

fn new_change() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn user() -> String {
    env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}

/// Waits until every live host has the version in force, and names those that do not.
fn spread(link: &mut Link, version: u64, json: bool) -> Result {
    let begin = Instant::now();
    let mut shown = usize::MAX;
    loop {
        let Answer::Progress { hosts, .. } = link.ask(&Ask::Progress)? else {
            return Ok(Code::Unknown);
        };
        let behind: Vec<&Applied> = hosts.iter().filter(|host| host.version < version).collect();
        if !json && behind.len() != shown {
            shown = behind.len();
            println!(
                "In force on {} of {} hosts.",
                hosts.len() - shown,
                hosts.len()
            );
        }
        if behind.is_empty() {
            return Ok(Code::Done);
        }
        if begin.elapsed() > SPREAD_TIMEOUT {
            let names: Vec<&str> = behind.iter().map(|host| &*host.host).collect();
            return Err(Error::Failed {
                reason: format!(
                    "version {version} is accepted; behind: {}",
                    names.join(", ")
                ),
            });
        }
        thread::sleep(SPREAD_INTERVAL);
    }
}
