//! The daemon of an entry host: connects [`mulberryrack_host::Host`] to sockets.
//!
//! [`Daemon::start`] runs a whole daemon inside the calling process, which is how the
//! binary, the demonstration and the end-to-end tests use it:
//!
//! ```no_run
//! use mulberryrack_daemon::{Daemon, config::Config};
//!
//! let config = Config::read("host.ini".as_ref()).expect("valid settings");
//! let daemon = Daemon::start(&config).expect("free addresses");
//! daemon.drain();
//! daemon.wait();
//! ```

mod admin;
pub mod args;
mod caller;
pub mod config;
mod contact;
mod daemon;
mod driver;
mod http;
mod listen;
pub mod logging;
pub mod metrics;
pub mod peer;
mod platform;
mod pool;
mod response;
pub mod site;
pub mod tls;
mod upstream;

pub use daemon::Daemon;
