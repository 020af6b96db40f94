//! Servers for readiness checks, address queries and metrics.

use crate::{
    bounds, directory,
    holdings::{Holdings, Places},
    journal::journal,
    meter::Metered,
    preview,
    shared::Shared,
    socket,
    traffic::Kind,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use mulberryrack_room::{Eviction, Phase};
use mulberryrack_site::Dialect;
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

/// Longest wait for the next request head on a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the listener for operators' tools.
pub const METRICS_LISTENER: &str = "metrics";
/// Delay after a failed accept, for example when the process has run out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Waits for the next connection. Errors are logged and retried after
/// [`ACCEPT_RETRY_DELAY`].
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = socket::set_options(&stream) {
                    journal!(debug, "socket-options", error = error);
                }
                return stream;
            }
            Err(error) => {
                journal!(warn, "accept-failed", error = error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts a connection when those that gave way to others are closed.
pub async fn accept_bounded(holdings: &Holdings, listener: &TcpListener) -> TcpStream {
    let stream = accept(listener).await;
    while holdings.is_crowded() {
        task::yield_now().await;
    }
    stream
}

/// Serves readiness checks, address queries and metrics on one listener until the process
/// ends. The request's path selects among them, not the listener. Where the settings name the
/// memory of the machine, each listener has places of its own.
pub async fn serve<D: Dialect>(shared: Rc<Shared<D>>, name: &'static str, listener: TcpListener) {
    let is_bounded = shared.settings.memory_mb.is_some();
    let places = if is_bounded {
        Places::of(shared.settings.max_sockets).endpoint
    } else {
        usize::MAX
    };
    // Heads and answers are small, so that only the places are bounded.
    let holdings = Holdings::new(name, shared.clock, u64::MAX, places);
    loop {
        let stream = accept_bounded(&holdings, &listener).await;
        let Ok(seat) = holdings.open() else {
            continue;
        };
        let shared = shared.clone();
        task::spawn_local(async move {
            let (stream, meter) = Metered::new(stream, bounds::ENDPOINT_ALLOWANCE);
            meter.count_in(shared.metrics.traffic.of(Kind::Endpoints));
            let stream = stream.watched_by(seat.clone());
            let service = service_fn(|request| {
                meter.allow(bounds::ENDPOINT_ALLOWANCE);
                // The connection has been used just now.
                seat.set_phase(Phase::Idle);
                let response = respond(&shared, name, request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(bounds::MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            let served = async {
                if let Err(error) = served.await {
                    journal!(debug, "question-broken", error = error);
                }
            };
            tokio::select! {
                () = served => {}
                () = seat.evicted(Eviction::Connection) => {}
            }
        });
    }
}

fn respond<D: Dialect>(
    shared: &Shared<D>,
    listener: &str,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, _) = request.into_parts();
    // Callers do not reach this listener.
    if listener == METRICS_LISTENER
        && let Some(response) = preview::respond(shared, &head)
    {
        return response;
    }
    if shared.dialect.is_readiness_check(&head) {
        let status = if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return status_only(status);
    }
    if let Some(query) = shared.dialect.address_query(&head) {
        let (addresses, ttl) = directory::addresses(shared, &query);
        if addresses.is_empty() {
            return status_only(StatusCode::SERVICE_UNAVAILABLE);
        }
        return shared.dialect.address_reply(&addresses, ttl).map(Full::new);
    }
    if head.uri.path() == "/metrics" {
        return Response::new(Full::new(shared.metrics.text().into()));
    }
    status_only(StatusCode::NOT_FOUND)
}

pub fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
