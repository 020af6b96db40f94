//! The operators' client of mulberryrack.

mod cmd;
mod exit;
mod link;
mod print;

use clap::Parser;
use std::process::ExitCode;

/// Serves many models on fewer accelerators, driven by one table.
///
/// Exit codes: 0 done; 1 refused or a check failed; 2 wrong arguments or files;
/// 3 no host could be reached; 4 it is not known whether the command took effect.
#[derive(Debug, Parser)]
#[command(name = "mulberryrack", version)]
struct Args {
    #[command(subcommand)]
    command: cmd::Command,
}

fn main() -> ExitCode {
    match Args::parse().command.run() {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("{error}");
            error.code().into()
        }
    }
}
