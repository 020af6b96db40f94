//! A host that is told to stop, and callers that go on using it until its process is gone.

#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[allow(dead_code)]
#[path = "site/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "site/upstream.rs"]
mod upstream;
#[allow(dead_code)]
#[path = "site/wire.rs"]
mod wire;

use host::{Host, status};
use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};
use store::Store;
use upstream::{Request, Upstream, chunk, events, head};
use wire::{MODEL, config, entry};

/// Time from the stop signal for which callers send requests; the grace period is 6 s.
const SENDING: Duration = Duration::from_millis(6_400);
const INTERVAL: Duration = Duration::from_millis(100);
const ROUTES: [&str; 4] = ["book", "look", "note", "draft"];
/// Times that requests run, in milliseconds.
const RUNS_MS: [u64; 2] = [300, 2_400];
/// One in so many times, there are requests on connections that were opened before as well.
const OPENED_EACH: usize = 4;

/// Attempts that reached an upstream.
static REACHED: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Records the request and runs it for the time in its body.
fn run(request: &Request) {
    let attempt = request.header("attempt-id").to_owned();
    REACHED.lock().expect("unpoisoned").insert(attempt);
    let time = String::from_utf8_lossy(&request.body).trim().parse();
    thread::sleep(Duration::from_millis(time.expect("a number")));
}

fn answer(request: &Request, stream: &mut TcpStream) {
    run(request);
    let more = "Connection: close\r\nContent-Length: 5\r\n";
    let _ = stream.write_all((head(request, more) + "whole").as_bytes());
}

fn stream_events(request: &Request, stream: &mut TcpStream) {
    run(request);
    let more = "Connection: close\r\nTransfer-Encoding: chunked\r\n";
    let text = head(request, more) + &chunk(&events(1, 3)) + "0\r\n\r\n";
    let _ = stream.write_all(text.as_bytes());
}

/// How a caller's connection is used before the request.
#[derive(Clone, Copy, Debug)]
enum Connection {
    /// It is opened for the request.
    New,
    /// It was opened before the stop signal and not used.
    Unused,
    /// A request was answered on it before the stop signal.
    Kept,
}

fn request(attempt: &str, route: &str, run_ms: u64) -> String {
    let model = if route == "note" || route == "draft" {
        MODEL
    } else {
        ""
    };
    format!(
        "POST /{route}/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: 3000\r\n{model}Content-Length: 4\r\n\r\n{run_ms:4}"
    )
}

/// Opens a connection and, if it is to be a kept one, has a request answered on it.
fn open(address: SocketAddr, kind: Connection, attempt: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a listener");
    if matches!(kind, Connection::Kept) {
        let text = request(&format!("{attempt}-first"), "book", 0);
        stream.write_all(text.as_bytes()).expect("a connection");
        let mut answer = Vec::new();
        while !answer.ends_with(b"whole") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("an answer");
            answer.push(byte[0]);
        }
    }
    stream
}

/// Whether an answer is complete, by its length or its chunks.
fn is_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length").then_some(value)
    });
    match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// What a caller got, in words, if it is not one true answer; `None` if it is, or if the request
/// was not read.
fn fault(answer: &str, attempt: &str) -> Option<String> {
    let has_reached = || REACHED.lock().expect("unpoisoned").contains(attempt);
    match status(answer) {
        0 if has_reached() => Some("passed on, no answer".into()),
        0 => None,
        503 if has_reached() => Some("refused, but passed on".into()),
        _ if !is_complete(answer) => Some("the answer is not complete".into()),
        _ => None,
    }
}

fn call(mut stream: TcpStream, attempt: &str, route: &str, run_ms: u64) -> Option<String> {
    let text = request(attempt, route, run_ms);
    let mut answer = Vec::new();
    // The end of the connection counts by what was received before.
    if stream.write_all(text.as_bytes()).is_ok() {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut buffer = [0; 4_096];
        while let Ok(length @ 1..) = stream.read(&mut buffer) {
            answer.extend_from_slice(&buffer[..length]);
            if is_complete(&String::from_utf8_lossy(&answer)) {
                break;
            }
        }
    }
    fault(&String::from_utf8_lossy(&answer), attempt)
}

/// All calls: when each is sent, its route, its connection and how long it runs.
fn calls() -> Vec<(Duration, &'static str, Connection, u64)> {
    let mut calls = Vec::new();
    let mut sent_after = Duration::ZERO;
    let mut turn = 0;
    while sent_after < SENDING {
        for route in ROUTES {
            let new = RUNS_MS.map(|run_ms| (sent_after, route, Connection::New, run_ms));
            calls.extend(new);
            if turn % OPENED_EACH == 0 {
                let kind = [Connection::Unused, Connection::Kept][turn / OPENED_EACH % 2];
                calls.push((sent_after, route, kind, RUNS_MS[RUNS_MS.len() - 1]));
            }
        }
        sent_after += INTERVAL;
        turn += 1;
    }
    calls
}

#[test]
fn each_request_to_a_host_that_stops_as_planned_gets_one_true_answer() {
    let (desk, engine) = (Upstream::start(answer), Upstream::start(stream_events));
    let store = Store::start();
    store.write("op/config", &config(1, "desk"));
    store.write("servers/d0", &entry("desk", desk.address, "ready"));
    store.write("servers/e0", &entry("llm", engine.address, "ready"));
    let _other = Host::start_with(store.second_address());
    let host = Host::start_with(store.second_address());
    let calls = calls();
    let address = host.callers;
    let opened: Vec<Option<TcpStream>> = calls
        .iter()
        .enumerate()
        .map(|(index, (_, _, kind, _))| match kind {
            Connection::New => None,
            kind => Some(open(address, *kind, &format!("a{index}"))),
        })
        .collect();
    host.signal("TERM");
    let start = Instant::now();
    let callers: Vec<_> = calls
        .into_iter()
        .zip(opened)
        .enumerate()
        .map(|(index, ((sent_after, route, kind, run_ms), stream))| {
            thread::spawn(move || {
                thread::sleep((start + sent_after).saturating_duration_since(Instant::now()));
                let stream = stream.or_else(|| TcpStream::connect(address).ok())?;
                let fault = call(stream, &format!("a{index}"), route, run_ms)?;
                Some(format!(
                    "{sent_after:?} {route} {kind:?} {run_ms} ms: {fault}"
                ))
            })
        })
        .collect();
    let faults = callers
        .into_iter()
        .filter_map(|it| it.join().expect("no panic"));
    let faults: Vec<String> = faults.collect();
    assert!(faults.is_empty(), "{faults:#?}");
}
