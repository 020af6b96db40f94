//! Agents for HTTP calls with `ureq`, and the meaning of their errors.

use std::{io, time::Duration};
use ureq::{
    Agent, Error, Timeout,
    unversioned::{
        resolver::DefaultResolver,
        transport::{
            Buffers, ConnectionDetails, Connector, DefaultConnector, NextTimeout, Transport,
        },
    },
};

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
    let config = Agent::config_builder()
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
        .build();
    let connector = DefaultConnector::default().chain(ResetConnector);
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Makes connections whose resets fail a call. ureq takes a reset for the end of a body that has
/// neither a length nor chunks.
#[derive(Debug)]
struct ResetConnector;

impl<In: Transport> Connector<In> for ResetConnector {
    type Out = ResetTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(ResetTransport))
    }
}

#[derive(Debug)]
struct ResetTransport<T>(T);

impl<T: Transport> Transport for ResetTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout).map_err(|error| match error {
            Error::Io(error) if is_reset(&error) => Error::Io(io::Error::other(format!(
                "the connection was reset: {error}"
            ))),
            other => other,
        })
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}

fn is_reset(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted
    )
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
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}

/// Whether the error is an expired timeout.
#[must_use]
pub const fn timed_out(error: &Error) -> bool {
    matches!(error, Error::Timeout(_))
}
