//! Command line of the daemon.

use crate::{Daemon, config::Config, logging, site};
use clap::{Parser, Subcommand};
use mulberryrack_core::note::{Level, Note};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{path::PathBuf, process::ExitCode, thread};

/// Exit code if the settings cannot be used or the daemon cannot start.
pub const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code of a process that a second signal ended.
pub const EXIT_KILLED: u8 = 3;

/// Runs an entry host of mulberryrack.
///
/// SIGTERM or SIGINT drains the host: it serves until no caller can still hold an address
/// answer that names it, then exits with 0. A second SIGTERM or SIGINT ends it at once with
/// exit code 3. SIGHUP is ignored: settings are read at start only, and the operators'
/// table needs no signal.
#[derive(Debug, Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
pub struct Args {
    /// What to run in place of a host with the settings of --config.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// File with the settings, in INI form.
    #[arg(long, value_name = "FILE", required = true)]
    pub config: Option<PathBuf>,
    /// Only checks the settings; exits with 0 if they can be used, with 2 if not.
    #[arg(long)]
    pub check_config: bool,
}

/// Subcommands of the daemon.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs a host on the users' platform.
    Site(site::Args),
}

/// Runs the daemon with the process's command line.
#[must_use]
pub fn main() -> ExitCode {
    run(&Args::parse())
}

fn run(args: &Args) -> ExitCode {
    let path = match (&args.command, &args.config) {
        (Some(Command::Site(args)), _) => return site::run(args),
        (None, Some(path)) => path,
        (None, None) => unreachable!("clap asks for --config without a subcommand"),
    };
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check_config {
        println!("{}: the settings can be used", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::start(&config.log) {
        eprintln!("{error}");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    }
    match Daemon::start(&config) {
        Ok(daemon) => serve(daemon),
        Err(error) => {
            logging::write(
                "host",
                &Note::new(Level::Error, "start-failed").with("error", &error),
            );
            eprintln!("{error}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

fn serve(daemon: Daemon) -> ExitCode {
    let handle = daemon.handle();
    match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(mut signals) => {
            let identity = daemon.identity();
            let note = Note::new(Level::Info, "started")
                .with("caller_address", &identity.address)
                .with("peer_address", &identity.peer_address)
                .with("admin_address", daemon.admin_address());
            logging::write("host", &note);
            thread::spawn(move || {
                let mut leaving = false;
                for signal in signals.forever() {
                    logging::write(
                        "host",
                        &Note::new(Level::Info, "signal").with("number", signal),
                    );
                    if signal == SIGHUP {
                        continue;
                    }
                    if leaving {
                        std::process::exit(i32::from(EXIT_KILLED));
                    }
                    leaving = true;
                    handle.drain();
                }
            });
        }
        Err(error) => {
            logging::write(
                "host",
                &Note::new(Level::Error, "no-signals").with("error", &error),
            );
        }
    }
    daemon.wait();
    ExitCode::SUCCESS
}
