//! `mulberryrack table`

use crate::{
    exit::{Code, Error, Result},
    options::Options,
    print,
};
use mulberryrack_host::operator::{Answer, Applied, Command as HostCommand};
use mulberryrack_load::operator::Link;
use rand::RngExt;
use std::{
    env, fs,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

/// Maximum time that `accept` waits until the version is in force on all live hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks on which hosts the version is in force.
const IN_FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Commands for the operators' table.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Checks a table without changing anything; prints all problems with row, column and
    /// value.
    Check(File),
    /// Checks a table and shows how it differs from the version in force.
    Diff(File),
    /// Prints a version of the table as CSV; by default the version in force.
    Show(Show),
    /// Accepts a table and waits until it is in force on every live host.
    Accept(Accept),
    /// Lists the stored versions, newest first.
    History(Options),
    /// Accepts the table of an old version again, as a new version.
    RollbackAsNew(Rollback),
}

/// Arguments of `mulberryrack table check` and `mulberryrack table diff`.
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
    /// Version to print; by default the version in force.
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
    /// Version to accept again.
    version: u64,
    #[command(flatten)]
    terms: Terms,
    #[command(flatten)]
    options: Options,
}

/// Where a change comes from.
#[derive(Debug, clap::Args)]
struct Terms {
    /// Version on which the change is based; by default the version in force.
    #[arg(long)]
    parent: Option<u64>,
    /// Id of the change; by default a new one. To repeat a command whose outcome is not known,
    /// give the id and parent that it printed: the change then takes effect only once.
    #[arg(long, requires = "parent")]
    change: Option<String>,
    /// Name of the person who accepts the change; by default the value of USER, or "operator".
    #[arg(long)]
    author: Option<String>,
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        match self {
            Self::Check(args) | Self::Diff(args) => {
                let csv = read(&args.file)?;
                send_command(&args.options, &HostCommand::Check { csv })
            }
            Self::Show(args) => args.run(),
            Self::Accept(args) => {
                let csv = read(&args.file)?;
                let mut link = args.options.open()?;
                accept(&mut link, csv, args.terms, args.options.json)
            }
            Self::History(options) => send_command(&options, &HostCommand::History),
            Self::RollbackAsNew(args) => args.run(),
        }
    }
}

impl Show {
    fn run(self) -> Result {
        let Some(version) = self.version else {
            return send_command(&self.options, &HostCommand::Show { version: None });
        };
        let mut link = self.options.open()?;
        let answer = fetch_version(&mut link, version)?;
        print::answer(&answer, self.options.json)
    }
}

impl Rollback {
    fn run(self) -> Result {
        let mut link = self.options.open()?;
        match fetch_version(&mut link, self.version)? {
            Answer::Table(table) => accept(&mut link, table.csv, self.terms, self.options.json),
            answer => print::answer(&answer, self.options.json),
        }
    }
}

/// Reads one stored version. Returns another answer of the host as it is.
fn fetch_version(link: &mut Link, version: u64) -> Result<Answer> {
    let answer = link.ask(&HostCommand::Show {
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

fn send_command(options: &Options, command: &HostCommand) -> Result {
    let answer = options.open()?.ask(command)?;
    print::answer(&answer, options.json)
}

fn accept(link: &mut Link, csv: String, terms: Terms, json: bool) -> Result {
    let change = terms.change.unwrap_or_else(new_change_id);
    let parent = match terms.parent {
        Some(parent) => parent,
        None => version_in_force(link)?,
    };
    if !json {
        println!("Change id: {change}, made from version {parent}.");
    }
    let answer = link.ask(&HostCommand::Accept {
        csv,
        parent,
        change: change.into(),
        author: terms.author.unwrap_or_else(current_user).into(),
    })?;
    let code = print::answer(&answer, json)?;
    match answer {
        Answer::Accepted { version } => wait_until_in_force(link, version, json),
        _ => Ok(code),
    }
}

/// The version in force on the asked host; 0 if it has no table.
fn version_in_force(link: &mut Link) -> Result<u64> {
    match link.ask(&HostCommand::Progress)? {
        Answer::Progress { version, .. } => Ok(version),
        answer => Err(Error::Unexpected {
            answer: format!("{answer:?}"),
        }),
    }
}

fn new_change_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn current_user() -> String {
    env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}

/// Waits until the version is in force on every live host. After [`IN_FORCE_TIMEOUT`], fails
/// with the names of the hosts on which it is not.
fn wait_until_in_force(link: &mut Link, version: u64, json: bool) -> Result {
    let started_at = Instant::now();
    let mut shown_count = usize::MAX;
    loop {
        let Answer::Progress { hosts, .. } = link.ask(&HostCommand::Progress)? else {
            return Ok(Code::Unknown);
        };
        let behind: Vec<&Applied> = hosts.iter().filter(|host| host.version < version).collect();
        if !json && behind.len() != shown_count {
            shown_count = behind.len();
            println!(
                "In force on {} of {} hosts.",
                hosts.len() - shown_count,
                hosts.len()
            );
        }
        if behind.is_empty() {
            return Ok(Code::Done);
        }
        if started_at.elapsed() > IN_FORCE_TIMEOUT {
            let names: Vec<&str> = behind.iter().map(|host| &*host.host).collect();
            return Err(Error::Failed {
                reason: format!(
                    "version {version} is accepted; behind: {}",
                    names.join(", ")
                ),
            });
        }
        thread::sleep(IN_FORCE_CHECK_INTERVAL);
    }
}
