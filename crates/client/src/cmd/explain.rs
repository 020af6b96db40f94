//! `mulberryrack explain`

use crate::{exit::Result, options::Options, print};
use mulberryrack_host::operator::Command;

/// Arguments of `mulberryrack explain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Name of a model or adapter.
    row: String,
    #[command(flatten)]
    options: Options,
}

impl Args {
    /// Asks a host where the row is placed, and prints the answer.
    pub fn run(self) -> Result {
        let row = self.row.into();
        let answer = self.options.open()?.ask(&Command::Explain { row })?;
        print::answer(&answer, self.options.json)
    }
}
