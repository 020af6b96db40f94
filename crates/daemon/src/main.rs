//! The binary `mulberryrackd`. Its code is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    mulberryrack_daemon::args::main()
}
