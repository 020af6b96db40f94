//! Metrics and health, on an address that callers do not reach.

use crate::{
    driver::{Inbox, Waiting},
    listen,
    metrics::Metrics,
};
use mulberryrack_host::Readiness;
use std::{io, net::TcpListener, sync::Arc, time::Duration};
use tiny_http::Response;

/// Longest silence of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Longest wait for a reader to take more of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves `/metrics`, `/livez` and `/readyz` until the process ends.
///
/// # Errors
///
/// The listener cannot be used.
pub fn serve(
    listener: TcpListener,
    inbox: Inbox,
    waiting: Arc<Waiting>,
    metrics: Arc<Metrics>,
) -> io::Result<()> {
    let bounds = listen::Bounds {
        idle: IDLE_TIMEOUT,
        write: WRITE_TIMEOUT,
    };
    listen::serve("admin", listener, bounds, move |request| {
        let response = answer(request.url(), &inbox, &waiting, &metrics);
        // Where the reader has gone away there is nobody to tell.
        let _ = request.respond(response);
    })
}

fn answer(
    path: &str,
    inbox: &Inbox,
    waiting: &Waiting,
    metrics: &Metrics,
) -> Response<io::Cursor<Vec<u8>>> {
    match path {
        "/metrics" => Response::from_string(metrics.text(waiting.requests())),
        // The loop answers, so the process lives.
        "/livez" => match inbox.readiness() {
            Some(_) => Response::from_string("live\n"),
            None => Response::from_string("stopped\n").with_status_code(503),
        },
        "/readyz" => match inbox.readiness() {
            Some(Readiness::Ready) => Response::from_string("ready\n"),
            Some(Readiness::NoTable) => Response::from_string("no-table\n").with_status_code(503),
            Some(Readiness::Isolated) => Response::from_string("isolated\n").with_status_code(503),
            Some(Readiness::Leaving) => Response::from_string("leaving\n").with_status_code(503),
            None => Response::from_string("stopped\n").with_status_code(503),
        },
        _ => Response::from_string("not found\n").with_status_code(404),
    }
}
