//! The subcommands, each with its arguments and its run function.

mod completions;
mod demo;
mod explain;
mod host;
mod load;
mod replay;
mod standin;
mod status;
mod table;

use crate::exit::Result;
use clap::Subcommand;

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks, compares, accepts and reads versions of the table.
    #[command(subcommand)]
    Table(table::Command),
    /// Shows hosts, engines and the versions in force.
    Status(status::Args),
    /// Says where a row is, why, and what is pending.
    Explain(explain::Args),
    /// Acts on one host.
    #[command(subcommand)]
    Host(host::Command),
    /// Shows a whole deployment on loopback, with everything that can go wrong.
    Demo(demo::Args),
    /// Sends requests to a running deployment and checks every answer.
    Load(load::Args),
    /// Runs stand-ins for a deployment's platform, engines and services.
    Standin(standin::Args),
    /// Replays a trace in virtual time and judges it.
    Replay(replay::Args),
    /// Writes a completion script for a shell.
    Completions(completions::Args),
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        match self {
            Self::Table(command) => command.run(),
            Self::Status(args) => args.run(),
            Self::Explain(args) => args.run(),
            Self::Host(command) => command.run(),
            Self::Demo(args) => args.run(),
            Self::Load(args) => args.run(),
            Self::Standin(args) => args.run(),
            Self::Replay(args) => args.run(),
            Self::Completions(args) => args.run(),
        }
    }
}
