//! Serves callers over HTTP: requests for models, requests for services and questions for the
//! addresses of hosts.

use crate::{
    config::Limits,
    driver::{Clock, Inbox, PendingAnswers},
    listen,
    response::{self, ErrorResponse},
    upstream,
};
use bytes::Bytes;
use mulberryrack_core::{
    Name,
    completion::{self, Completion},
    hash,
    outcome::{Outcome, Reason, Refusal},
    request::{Call, Request},
};
use mulberryrack_host::Event;
use serde_json::json;
use std::{
    io,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tiny_http::{HTTPVersion, Header, Method, Response};

const ADDRESS_PATH: &str = "/v1/where/";
const SERVICES_PATH: &str = "/services/";

/// Header with the caller's idempotency key, by which repeated attempts are recognised.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the time to answer in milliseconds, counted from the end of the request.
pub const DEADLINE_HEADER: &str = "mulberryrack-deadline-ms";

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Stack size in bytes of a thread that serves one request.
const STACK_BYTES: usize = 256 * 1024;
/// Value of `retry-after` after a refusal because of overload or because the host has ended.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Shared by the threads that serve callers.
#[derive(Clone, Debug)]
pub struct Context {
    /// Takes events to the host.
    pub inbox: Inbox,
    /// Delivers the host's answers.
    pub pending: Arc<PendingAnswers>,
    /// The process's clock.
    pub clock: Clock,
    /// Limits on requests.
    pub limits: Limits,
    /// Number of requests that have a thread: from the end of the head to the end of the answer.
    pub active_requests: Arc<AtomicUsize>,
}

/// Counts one request in [`Context::active_requests`] until it is dropped.
struct ActiveRequest(Arc<AtomicUsize>);

impl ActiveRequest {
    /// Adds one to `count`; also returns the new count.
    fn new(count: &Arc<AtomicUsize>) -> (Self, usize) {
        let before = count.fetch_add(1, Ordering::Relaxed);
        (Self(count.clone()), before + 1)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves callers on a listener until the process ends.
///
/// # Errors
///
/// The listener cannot be used.
pub fn serve(listener: TcpListener, context: Context) -> io::Result<()> {
    let timeouts = listen::SocketTimeouts {
        idle: context.limits.idle_timeout,
        write: context.limits.write_timeout,
    };
    listen::serve("caller", listener, timeouts, move |request| {
        spawn_handler(request, &context);
    })
}

fn spawn_handler(request: tiny_http::Request, context: &Context) {
    let (active_request, count) = ActiveRequest::new(&context.active_requests);
    let overload = count > context.limits.max_requests;
    let context = context.clone();
    // A refusal needs a thread too: to send it, the library reads the rest of the request,
    // which a slow caller can delay. If no thread can be started the request is dropped, and
    // the library answers it with status 500.
    let _ = thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let _active_request = active_request;
            if overload {
                refuse(request, Reason::Overload, Some(OVERLOAD_RETRY_DELAY));
            } else {
                handle(request, &context);
            }
        });
}

fn handle(request: tiny_http::Request, context: &Context) {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    if let Some(target) = path.strip_prefix(ADDRESS_PATH) {
        return answer_addresses(request, context, target);
    }
    let to_model = matches!(&*path, completion::PATH | completion::CHAT_PATH);
    if to_model && *request.method() == Method::Post {
        return serve_model(request, context);
    }
    if let Some(rest) = request.url().strip_prefix(SERVICES_PATH) {
        let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let (target, path) = (name.into(), format!("/{tail}").into());
        return serve_service(request, context, target, path);
    }
    let body = json!({"error": {
        "message": format!("there is nothing at {path}"),
        "type": "invalid_request_error",
        "code": "not-found",
        "param": null,
    }});
    let _ = request.respond(json_response(404, &body));
}

fn json_response(status: u16, body: &serde_json::Value) -> Response<io::Cursor<Vec<u8>>> {
    let header = Header::from_bytes("content-type", "application/json")
        .expect("a constant header is well formed");
    Response::from_string(body.to_string())
        .with_status_code(status)
        .with_header(header)
}

fn refuse(request: tiny_http::Request, reason: Reason, retry_after: Option<Duration>) {
    let outcome = Outcome::NotRun(Refusal {
        reason,
        retry_after,
    });
    respond(request, ErrorResponse::new(&outcome));
}

/// Why a request cannot be accepted, with the HTTP status of the answer.
struct Malformed {
    status: u16,
    message: String,
}

impl Malformed {
    fn new(message: impl Into<String>) -> Self {
        Self {
            status: 400,
            message: message.into(),
        }
    }
}

fn refuse_malformed(request: tiny_http::Request, malformed: &Malformed) {
    respond(
        request,
        ErrorResponse::bad_request(malformed.status, &malformed.message),
    );
}

/// Answers a request whose body may not have been read; the library reads the rest when it
/// drops the request.
fn respond(request: tiny_http::Request, response: ErrorResponse) {
    // Fails if the caller has closed the connection.
    let _ = request.respond(response.into_response());
}

/// Answers which hosts to use for a target.
fn answer_addresses(request: tiny_http::Request, context: &Context, target: &str) {
    let (ticket, answers) = context.pending.register_address_query();
    let target = target.into();
    if !context.inbox.put(Event::AddressQuery { ticket, target }) {
        return refuse(request, Reason::Draining, None);
    }
    match answers.recv() {
        Ok(Ok(address)) => {
            let body = json!({
                "addresses": address.addresses,
                "lifetime_ms": u64::try_from(address.lifetime.as_millis()).unwrap_or(u64::MAX),
                "table_version": address.version,
            });
            let _ = request.respond(json_response(200, &body));
        }
        Ok(Err(reason)) => refuse(request, reason, None),
        Err(_) => refuse(request, Reason::Draining, None),
    }
}

fn serve_model(mut request: tiny_http::Request, context: &Context) {
    let body = match read_body(&mut request, &context.limits) {
        Ok(body) => body,
        Err(malformed) => return refuse_malformed(request, &malformed),
    };
    let completion_request = match Completion::read(request.url(), &body) {
        Ok(completion_request) => completion_request,
        Err(malformed) => return refuse_malformed(request, &Malformed::new(malformed.to_string())),
    };
    let path: Name = request.url().into();
    let (key, answers) = context.pending.register_caller();
    let host_request = Request {
        key,
        target: completion_request.model.clone(),
        call: upstream_call(&request, path, body),
        idempotency: None,
        deadline: context.clock.now(),
        prefix: hash::prefix_blocks(&completion_request.model, &completion_request.prompt),
        prompt_tokens: completion_request.prompt_tokens(),
        answer_tokens: completion_request.max_tokens,
    };
    forward(request, context, host_request, &answers);
}

fn serve_service(mut request: tiny_http::Request, context: &Context, target: Name, path: Name) {
    let body = match read_body(&mut request, &context.limits) {
        Ok(body) => body,
        Err(malformed) => return refuse_malformed(request, &malformed),
    };
    let (key, answers) = context.pending.register_caller();
    let host_request = Request {
        key,
        target,
        call: upstream_call(&request, path, body),
        idempotency: None,
        deadline: context.clock.now(),
        prefix: Vec::new(),
        prompt_tokens: 0,
        answer_tokens: 0,
    };
    forward(request, context, host_request, &answers);
}

/// Passes the request to the host and writes the host's answer to the caller.
fn forward(
    request: tiny_http::Request,
    context: &Context,
    mut host_request: Request,
    answers: &std::sync::mpsc::Receiver<mulberryrack_core::caller::Answer>,
) {
    let key = host_request.key;
    let idempotency = header(&request, IDEMPOTENCY_KEY_HEADER).filter(|text| !text.is_empty());
    if idempotency
        .as_ref()
        .is_some_and(|text| text.len() > MAX_KEY_BYTES)
    {
        context.pending.remove_caller(key);
        let message = format!("the idempotency key is longer than {MAX_KEY_BYTES} bytes");
        return refuse_malformed(request, &Malformed::new(message));
    }
    let timeout = match answer_timeout(&request, &context.limits) {
        Ok(timeout) => timeout,
        Err(message) => {
            context.pending.remove_caller(key);
            return refuse_malformed(request, &Malformed::new(message));
        }
    };
    host_request.idempotency = idempotency;
    host_request.deadline = context.clock.now() + timeout;
    if !context.inbox.put(Event::Request(host_request)) {
        // The event loop has ended and has not received the request.
        context.pending.remove_caller(key);
        return refuse(request, Reason::Draining, Some(OVERLOAD_RETRY_DELAY));
    }
    let client = response::ClientCapabilities {
        head_only: *request.method() == Method::Head,
        no_chunks: *request.http_version() < HTTPVersion(1, 1),
    };
    let mut writer = request.into_writer();
    match response::write_answer(&mut *writer, answers, client) {
        Ok(()) => {}
        Err(response::Error::CallerGone) => {
            context.inbox.put(Event::CallerGone(key));
        }
        Err(response::Error::HostStopped) => response::abort_body(&mut *writer),
    }
}

fn header(request: &tiny_http::Request, name: &'static str) -> Option<Name> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str().into())
}

fn answer_timeout(request: &tiny_http::Request, limits: &Limits) -> Result<Duration, String> {
    let Some(text) = header(request, DEADLINE_HEADER) else {
        return Ok(limits.default_deadline);
    };
    let millis: u64 = text
        .parse()
        .map_err(|_| format!("{DEADLINE_HEADER}: {text:?} is not a number of milliseconds"))?;
    Ok(Duration::from_millis(millis).min(limits.max_deadline))
}

fn upstream_call(request: &tiny_http::Request, path: Name, body: Bytes) -> Call {
    let headers: Vec<(Name, Name)> = request
        .headers()
        .iter()
        .map(|header| {
            let name: Name = header.field.as_str().as_str().to_ascii_lowercase().into();
            (name, Name::from(header.value.as_str()))
        })
        .filter(|(name, _)| upstream::end_to_end(name) && **name != *DEADLINE_HEADER)
        .collect();
    Call {
        method: request.method().as_str().into(),
        path,
        headers: headers.into(),
        body,
    }
}

/// Refuses a request whose head does not state the end of the body exactly once and validly,
/// since the library takes a length that it cannot parse for an empty body. Also refuses to
/// upgrade the connection.
fn check_length(request: &tiny_http::Request) -> Result<(), Malformed> {
    let values = |name: &'static str| {
        let headers = request.headers().iter();
        headers.filter(move |header| header.field.equiv(name))
    };
    let lengths = values("content-length").count();
    let encodings = values("transfer-encoding").count();
    let chunked = values("transfer-encoding")
        .all(|header| header.value.as_str().eq_ignore_ascii_case("chunked"));
    let read = request.body_length().is_some();
    if lengths + encodings > 1 || !chunked || (lengths == 1 && !read) {
        return Err(Malformed::new("the length of the body is not clear"));
    }
    if values("connection").any(|header| {
        let value = header.value.as_str().to_ascii_lowercase();
        value.contains("upgrade")
    }) {
        return Err(Malformed::new("the connection cannot be upgraded"));
    }
    Ok(())
}

/// Reads the whole body within the limits on its length and time.
fn read_body(request: &mut tiny_http::Request, limits: &Limits) -> Result<Bytes, Malformed> {
    check_length(request)?;
    let too_long = || Malformed {
        status: 413,
        message: format!("the body is longer than {} bytes", limits.max_body_bytes),
    };
    let too_late = || Malformed {
        status: 408,
        message: "the body was not sent in time".to_owned(),
    };
    if request
        .body_length()
        .is_some_and(|length| length > limits.max_body_bytes)
    {
        return Err(too_long());
    }
    let started_at = Instant::now();
    let mut body = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let length = match request.as_reader().read(&mut buffer) {
            Ok(length) => length,
            // The idle timeout of the socket; see `listen::SocketTimeouts`.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(too_late()),
            Err(error) => {
                let message = format!("the body could not be read: {error}");
                return Err(Malformed::new(message));
            }
        };
        if length == 0 {
            // The library also reports the end of the connection as the end of the body.
            let is_broken_off = request
                .body_length()
                .is_some_and(|whole| body.len() < whole);
            if is_broken_off {
                return Err(Malformed::new("the body was broken off"));
            }
            return Ok(body.into());
        }
        body.extend_from_slice(&buffer[..length]);
        if body.len() > limits.max_body_bytes {
            return Err(too_long());
        }
        if started_at.elapsed() > limits.body_timeout {
            return Err(too_late());
        }
    }
}
