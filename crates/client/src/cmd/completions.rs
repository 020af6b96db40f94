//! `mulberryrack completions`

use crate::exit::{Code, Result};
use clap::CommandFactory;
use clap_complete::Shell;
use std::io;

/// Arguments of `mulberryrack completions`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Shell for which the script is written.
    shell: Shell,
}

impl Args {
    /// Writes the completion script to standard output.
    #[allow(clippy::unnecessary_wraps)]
    pub fn run(self) -> Result {
        let mut command = crate::Args::command();
        clap_complete::generate(self.shell, &mut command, "mulberryrack", &mut io::stdout());
        Ok(Code::Done)
    }
}
