//! Agents for HTTP calls with `ureq`, and the meaning of their errors.

use std::time::Duration;
use ureq::{Agent, Error, Timeout};

/// Time allowed to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of idle connections kept to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// Maximum number of idle connections kept by one agent.
const MAX_IDLE: usize = 256;

/// An agent that reuses connections if `keep_connections` is set, and otherwise opens a new
/// one for each call. It follows no redirects and uses no proxy.
#[must_use]
pub fn agent(keep_connections: bool) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(if keep_connections { MAX_IDLE } else { 0 })
        .max_idle_connections_per_host(if keep_connections {
            MAX_IDLE_PER_UPSTREAM
        } else {
            0
        })
        .max_redirects(0)
        .proxy(None)
        .build()
        .into()
}

/// Whether the error certainly occurred before any byte of the request was sent. Such a
/// request has not run and can safely be sent again.
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

/// Whether the error is an expired timeout.
#[must_use]
pub const fn timed_out(error: &Error) -> bool {
    matches!(error, Error::Timeout(_))
}
