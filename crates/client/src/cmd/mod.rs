//! The subcommands. Each module has the arguments of its subcommand and runs it.

mod completions;
mod demo;
mod explain;
mod host;
mod load;
mod preview;
mod replay;
mod standin;
mod status;
mod table;

use crate::exit::Result;
use clap::Subcommand;

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks, compares, accepts and shows versions of the operators' table.
    #[command(subcommand)]
    Table(table::Command),
    /// Shows hosts, engines and the versions in force.
    Status(status::Args),
    /// Shows where a row is placed, why, and which changes are pending.
    Explain(explain::Args),
    /// Shows where a caller's request would go now, and why, without sending it.
    Preview(preview::Args),
    /// Commands to one host.
    #[command(subcommand)]
    Host(host::Command),
    /// Runs a whole deployment on loopback and shows how it copes with faults.
    Demo(demo::Args),
    /// Sends requests to a running deployment and checks every answer.
    Load(load::Args),
    /// Runs stand-ins for a deployment's platform, engines and services.
    Standin(standin::Args),
    /// Replays a trace in virtual time and checks the result.
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
            Self::Preview(args) => args.run(),
            Self::Host(command) => command.run(),
            Self::Demo(args) => args.run(),
            Self::Load(args) => args.run(),
            Self::Standin(args) => args.run(),
            Self::Replay(args) => args.run(),
            Self::Completions(args) => args.run(),
        }
    }
}
