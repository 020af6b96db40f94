//! `mulberryrack status`

use crate::{exit::Result, options::Options, print};
use mulberryrack_host::operator::Command;

/// Arguments of `mulberryrack status`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    options: Options,
}

impl Args {
    /// Asks a host for the state of the deployment, and prints it.
    pub fn run(self) -> Result {
        let answer = self.options.open()?.ask(&Command::Status)?;
        print::answer(&answer, self.options.json)
    }
}
