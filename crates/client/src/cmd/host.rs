//! `mulberryrack host`

use crate::{exit::Result, options::Options, print};
use mulberryrack_host::operator;

/// Commands to one host.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Drains the first host given: it serves until its end interrupts no request, then ends.
    Drain(Options),
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        let Self::Drain(options) = self;
        // If the first host cannot be reached, no other host may be drained in its place.
        let answer = options.open_first()?.ask(&operator::Command::Drain)?;
        print::answer(&answer, options.json)
    }
}
