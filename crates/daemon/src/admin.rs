//! Metrics and health checks, on an address that callers must not reach.

use crate::{
    driver::{Inbox, PendingAnswers},
    listen,
    metrics::Metrics,
};
use mulberryrack_host::Readiness;
use std::{io, net::TcpListener, sync::Arc, time::Duration};
use tiny_http::Response;

/// Time after which a silent connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum wait for a client to read more of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves `/metrics`, `/livez` and `/readyz` until the process ends.
///
/// # Errors
///
/// The listener cannot be used.
pub fn serve(
    listener: TcpListener,
    inbox: Inbox,
    pending: Arc<PendingAnswers>,
    metrics: Arc<Metrics>,
) -> io::Result<()> {
    let timeouts = listen::SocketTimeouts {
        idle: IDLE_TIMEOUT,
        write: WRITE_TIMEOUT,
    };
    listen::serve("admin", listener, timeouts, move |request| {
        let response = answer(request.url(), &inbox, &pending, &metrics);
        // Fails if the client has closed the connection.
        let _ = request.respond(response);
    })
}

fn answer(
    path: &str,
    inbox: &Inbox,
    pending: &PendingAnswers,
    metrics: &Metrics,
) -> Response<io::Cursor<Vec<u8>>> {
    match path {
        "/metrics" => Response::from_string(metrics.text(pending.open_requests())),
        // Any answer shows that the event loop runs.
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
