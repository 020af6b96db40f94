//! The daemon of an entry host. All of it is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    mulberryrack_daemon::args::main()
}
