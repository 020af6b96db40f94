//! The daemon of an entry host: the process that takes callers' requests and sends them to
//! upstreams.
//!
//! [`mulberryrack_host::Host`] makes all decisions and does no I/O. The daemon runs it on
//! one thread, the event loop in `driver`: the loop takes events from an inbox, passes them
//! to the host and carries out the effects that the host returns. Adapters connect the loop
//! to sockets:
//!
//! - `caller` and `response` serve callers over HTTP; `listen` runs the HTTP servers.
//! - `upstream` sends requests to upstreams, and [`answer`] reads their answers; `contact` polls
//!   upstreams for reports and sends orders to engines.
//! - [`peer`] carries messages between hosts and operators' commands, over [`tls`].
//! - `platform` calls the key-value service and reads the list of machines.
//! - `admin` serves [`metrics`] and health.
//!
//! [`config`] reads the settings and [`args`] the command line. [`site`] is the subcommand
//! that runs a host on the users' platform; it uses [`mulberryrack_edge`] in place of the
//! modules above. Begin reading at [`Daemon`] and then at `driver`.
//!
//! [`Daemon::start`] runs a daemon on threads of the calling process. The binary, the
//! `demo` command and the end-to-end tests use it so:
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
pub mod answer;
pub mod args;
mod caller;
pub mod config;
mod contact;
mod daemon;
mod driver;
pub mod http;
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
