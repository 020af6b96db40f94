//! The operators' command-line client, `mulberryrack`.
//!
//! `cmd` has one module for each subcommand; begin reading at [`cmd::Command`]. Commands to a
//! running deployment go to one of its hosts, which `options` selects, and `print` writes the
//! answer. `exit` maps results to exit codes. `demo`, `replay` and `standin` need no running
//! deployment.

mod cmd;
mod exit;
mod options;
mod print;

use clap::Parser;
use std::process::ExitCode;

/// Client for operators of mulberryrack, which serves many models on fewer accelerators,
/// as the operators' table says.
///
/// Exit codes: 0 done; 1 refused, or a check failed; 2 wrong arguments or files;
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
