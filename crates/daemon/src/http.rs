//! HTTP calls by `ureq`, and which of its errors mean that nothing was sent.

use std::time::Duration;
use ureq::{Agent, Error, Timeout};

/// Time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept to one upstream.
const IDLE_PER_UPSTREAM: usize = 16;
/// Idle connections kept in all.
const IDLE: usize = 256;

/// An agent that keeps connections, or opens a new one for each call.
#[must_use]
pub fn agent(keep: bool) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(if keep { IDLE } else { 0 })
        .max_idle_connections_per_host(if keep { IDLE_PER_UPSTREAM } else { 0 })
        .max_redirects(0)
        .proxy(None)
        .build()
        .into()
}

/// Whether the error certainly came before any byte of the request was sent.
#[must_use]
pub fn not_sent(error: &Error) -> bool {
    match error {
        Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | Error::HostNotFound
        | Error::ConnectionFailed
        | Error::BadUri(_)
        | Error::Http(_) => true,
        Error::Io(error) => matches!(
            error.kind(),
            std::io::ErrorKind::ConnectionRefused
                | std::io::ErrorKind::HostUnreachable
                | std::io::ErrorKind::NetworkUnreachable
                | std::io::ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}

/// Whether the error is a bound on time that has passed.
#[must_use]
pub const fn timed_out(error: &Error) -> bool {
    matches!(error, Error::Timeout(_))
}
