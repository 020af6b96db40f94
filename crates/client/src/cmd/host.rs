//! `mulberryrack host`

use crate::{exit::Result, link::Options, print};
use mulberryrack_host::operator;

/// What to do with a host.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Lets the named host leave: it serves until nothing is cut off by its end.
    Drain(Options),
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        let Self::Drain(options) = self;
        // Only the host named first is meant, never the next one that answers.
        let answer = options.open_first()?.ask(&operator::Command::Drain)?;
        print::answer(&answer, options.json)
    }
}
