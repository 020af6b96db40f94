//! Serves callers over HTTP.

use crate::{
    config::Limits,
    driver::{Clock, Inbox, Waiting},
    listen,
    response::{self, Last},
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

const WHERE: &str = "/v1/where/";
const SERVICES: &str = "/services/";

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the time to answer in milliseconds.
pub const DEADLINE: &str = "mulberryrack-deadline-ms";

/// Longest idempotency key in bytes.
const MAX_KEY: usize = 256;
/// Stack of a thread that serves one request, in bytes.
const STACK: usize = 256 * 1024;
/// When to come back after an overload.
const RETRY_OVERLOAD: Duration = Duration::from_secs(1);

/// What the threads that serve callers share.
#[derive(Clone, Debug)]
pub struct Edge {
    /// Where events go.
    pub inbox: Inbox,
    /// Where answers come from.
    pub waiting: Arc<Waiting>,
    /// The process's clock.
    pub clock: Clock,
    /// Bounds.
    pub limits: Limits,
    /// Requests that have a thread, from their head to the end of their answer.
    pub serving: Arc<AtomicUsize>,
}

/// Counts a request as served for as long as it lives.
struct Serving(Arc<AtomicUsize>);

impl Serving {
    /// Counts one more; also says how many there are with it.
    fn new(count: &Arc<AtomicUsize>) -> (Self, usize) {
        let before = count.fetch_add(1, Ordering::Relaxed);
        (Self(count.clone()), before + 1)
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves callers on a listener until the process ends.
///
/// # Errors
///
/// The listener cannot be used.
pub fn serve(listener: TcpListener, edge: Edge) -> io::Result<()> {
    let bounds = listen::Bounds {
        idle: edge.limits.idle_timeout,
        write: edge.limits.write_timeout,
    };
    listen::serve("caller", listener, bounds, move |request| {
        start(request, &edge);
    })
}

fn start(request: tiny_http::Request, edge: &Edge) {
    let (serving, count) = Serving::new(&edge.serving);
    let overload = count > edge.limits.max_requests;
    let edge = edge.clone();
    // Refusals have threads too: giving one reads the rest of the request, which a slow
    // sender can delay. Without a thread the request is dropped, which answers it by 500.
    let _ = thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(STACK)
        .spawn(move || {
            let _serving = serving;
            if overload {
                refuse(request, Reason::Overload, Some(RETRY_OVERLOAD));
            } else {
                handle(request, &edge);
            }
        });
}

fn handle(request: tiny_http::Request, edge: &Edge) {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    if let Some(target) = path.strip_prefix(WHERE) {
        return address(request, edge, target);
    }
    let to_model = matches!(&*path, completion::PATH | completion::CHAT_PATH);
    if to_model && *request.method() == Method::Post {
        return model(request, edge);
    }
    if let Some(rest) = request.url().strip_prefix(SERVICES) {
        let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let (target, path) = (name.into(), format!("/{tail}").into());
        return service(request, edge, target, path);
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
    respond(request, Last::new(&outcome));
}

/// Why a request cannot be taken.
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

fn bad(request: tiny_http::Request, malformed: &Malformed) {
    respond(request, Last::bad(malformed.status, &malformed.message));
}

/// Answers before the rest of the request has been read, which dropping it does.
fn respond(request: tiny_http::Request, last: Last) {
    // Where the caller has gone away there is nobody to tell.
    let _ = request.respond(last.response());
}

/// Answers which hosts to use.
fn address(request: tiny_http::Request, edge: &Edge, target: &str) {
    let (ticket, answers) = edge.waiting.address();
    let target = target.into();
    if !edge.inbox.put(Event::AddressQuery { ticket, target }) {
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

fn model(mut request: tiny_http::Request, edge: &Edge) {
    let body = match body(&mut request, &edge.limits) {
        Ok(body) => body,
        Err(malformed) => return bad(request, &malformed),
    };
    let asked = match Completion::read(request.url(), &body) {
        Ok(asked) => asked,
        Err(malformed) => return bad(request, &Malformed::new(malformed.to_string())),
    };
    let path: Name = request.url().into();
    let (key, answers) = edge.waiting.caller();
    let arrived = Request {
        key,
        target: asked.model.clone(),
        call: call(&request, path, body),
        idempotency: None,
        deadline: edge.clock.now(),
        prefix: hash::prefix_blocks(&asked.model, &asked.prompt),
        prompt_tokens: asked.prompt_tokens(),
        answer_tokens: asked.max_tokens,
    };
    exchange(request, edge, arrived, &answers);
}

fn service(mut request: tiny_http::Request, edge: &Edge, target: Name, path: Name) {
    let body = match body(&mut request, &edge.limits) {
        Ok(body) => body,
        Err(malformed) => return bad(request, &malformed),
    };
    let (key, answers) = edge.waiting.caller();
    let arrived = Request {
        key,
        target,
        call: call(&request, path, body),
        idempotency: None,
        deadline: edge.clock.now(),
        prefix: Vec::new(),
        prompt_tokens: 0,
        answer_tokens: 0,
    };
    exchange(request, edge, arrived, &answers);
}

/// Sends the request into the host and its answer to the caller.
fn exchange(
    request: tiny_http::Request,
    edge: &Edge,
    mut arrived: Request,
    answers: &std::sync::mpsc::Receiver<mulberryrack_core::caller::Answer>,
) {
    let key = arrived.key;
    let idempotency = header(&request, IDEMPOTENCY_KEY).filter(|text| !text.is_empty());
    if idempotency
        .as_ref()
        .is_some_and(|text| text.len() > MAX_KEY)
    {
        edge.waiting.forget(key);
        let message = format!("the idempotency key is longer than {MAX_KEY} bytes");
        return bad(request, &Malformed::new(message));
    }
    let allowed = match deadline(&request, &edge.limits) {
        Ok(allowed) => allowed,
        Err(message) => {
            edge.waiting.forget(key);
            return bad(request, &Malformed::new(message));
        }
    };
    arrived.idempotency = idempotency;
    arrived.deadline = edge.clock.now() + allowed;
    if !edge.inbox.put(Event::Request(arrived)) {
        // The host has ended, and never saw the request.
        edge.waiting.forget(key);
        return refuse(request, Reason::Draining, Some(RETRY_OVERLOAD));
    }
    let reader = response::Reader {
        head_only: *request.method() == Method::Head,
        no_chunks: *request.http_version() < HTTPVersion(1, 1),
    };
    let mut writer = request.into_writer();
    match response::stream(&mut *writer, answers, reader) {
        Ok(()) => {}
        Err(response::Error::Caller) => {
            edge.inbox.put(Event::CallerGone(key));
        }
        Err(response::Error::Host) => response::broken(&mut *writer),
    }
}

fn header(request: &tiny_http::Request, name: &'static str) -> Option<Name> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str().into())
}

fn deadline(request: &tiny_http::Request, limits: &Limits) -> Result<Duration, String> {
    let Some(text) = header(request, DEADLINE) else {
        return Ok(limits.default_deadline);
    };
    let millis: u64 = text
        .parse()
        .map_err(|_| format!("{DEADLINE}: {text:?} is not a number of milliseconds"))?;
    Ok(Duration::from_millis(millis).min(limits.max_deadline))
}

fn call(request: &tiny_http::Request, path: Name, body: Bytes) -> Call {
    let headers: Vec<(Name, Name)> = request
        .headers()
        .iter()
        .map(|header| {
            let name: Name = header.field.as_str().as_str().to_ascii_lowercase().into();
            (name, Name::from(header.value.as_str()))
        })
        .filter(|(name, _)| upstream::end_to_end(name) && **name != *DEADLINE)
        .collect();
    Call {
        method: request.method().as_str().into(),
        path,
        headers: headers.into(),
        body,
    }
}

/// Whether the head says once, and rightly, where the body ends. The library takes a
/// length that it cannot read as no body at all.
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

/// Reads the whole body within the bounds on size and time.
fn body(request: &mut tiny_http::Request, limits: &Limits) -> Result<Bytes, Malformed> {
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
    let begin = Instant::now();
    let mut body = Vec::new();
    let mut part = [0; 16 * 1024];
    loop {
        let length = match request.as_reader().read(&mut part) {
            Ok(length) => length,
            // The bound on silence that accepted sockets inherit.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(too_late()),
            Err(error) => {
                let message = format!("the body could not be read: {error}");
                return Err(Malformed::new(message));
            }
        };
        if length == 0 {
            return Ok(body.into());
        }
        body.extend_from_slice(&part[..length]);
        if body.len() > limits.max_body_bytes {
            return Err(too_long());
        }
        if begin.elapsed() > limits.body_timeout {
            return Err(too_late());
        }
    }
}
