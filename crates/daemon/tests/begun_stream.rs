//! What may follow in a caller's stream after the upstream that began it has broken off.

#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[allow(dead_code)]
#[path = "answer_ends/receive.rs"]
mod receive;
#[allow(dead_code)]
#[path = "site/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "site/upstream.rs"]
mod upstream;
#[path = "site/wire.rs"]
mod wire;

use host::Host;
use std::{io::Write, net::TcpStream};
use store::Store;
use upstream::{Request, Upstream, events};
use wire::{MODEL, config, entry};

/// Bounds that allow each request a retry.
const MANY_RETRIES: &str = "retry_share = 1\nretry_extra = 10000\n";
/// Text of an answer that is no continuation.
const FOREIGN: &str = "something went wrong";

/// Heads of answers that cannot go on with a stream, after the status; each comes with a body of
/// its own kind.
const FOREIGN_HEADS: [&str; 12] = [
    "200 OK\r\nContent-Type: text/plain",
    "200 OK\r\nContent-Type: application/json",
    "200 OK\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip",
    "201 Created\r\nContent-Type: text/event-stream",
    "204 No Content",
    "206 Partial Content\r\nContent-Type: text/event-stream",
    "302 Found\r\nContent-Type: text/plain\r\nLocation: /elsewhere/",
    "404 Not Found\r\nContent-Type: text/plain",
    "429 Too Many Requests\r\nContent-Type: text/plain",
    "500 Internal Server Error\r\nContent-Type: text/plain",
    "502 Bad Gateway\r\nContent-Type: text/plain",
    "503 Service Unavailable\r\nContent-Type: text/plain",
];

/// Begins a stream and breaks off. Answers with the head that `X-Next` numbers, or with the events
/// that it names, if the stream is to go on.
fn break_off(request: &Request, stream: &mut TcpStream) {
    let id = request.header("attempt-id");
    let signed = format!("Attempt-Id: {id}\r\nResponse-Signature: sig\r\nConnection: close\r\n");
    let text = if request.header("last-event-id").is_empty() {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
        format!("{head}{signed}Content-Length: 9999\r\n\r\n{}", events(1, 2))
    } else if let Ok(index) = request.header("x-next").parse::<usize>() {
        let head = FOREIGN_HEADS[index];
        if head.starts_with("204") {
            format!("HTTP/1.1 {head}\r\n{signed}\r\n")
        } else {
            let length = FOREIGN.len();
            format!("HTTP/1.1 {head}\r\n{signed}Content-Length: {length}\r\n\r\n{FOREIGN}")
        }
    } else {
        let first = request.header("x-next").trim_start_matches("from-");
        let rest = events(first.parse().expect("a number"), 4);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
        format!("{head}{signed}Content-Length: {}\r\n\r\n{rest}", rest.len())
    };
    let _ = stream.write_all(text.as_bytes());
}

struct Site {
    host: Host,
    _engines: [Upstream; 2],
}

impl Site {
    fn start() -> Self {
        let engines = [Upstream::start(break_off), Upstream::start(break_off)];
        let store = Store::start();
        store.write("op/config", &config(1, "desk"));
        for (index, engine) in engines.iter().enumerate() {
            let entry = entry("llm", engine.address, "ready");
            store.write(&format!("servers/e{index}"), &entry);
        }
        let address = store.address;
        Self {
            host: Host::start_bounded(store, address, MANY_RETRIES),
            _engines: engines,
        }
    }

    fn send(&self, version: &str, attempt: usize, next: &str) -> receive::Answer {
        let text = format!(
            "POST /draft/{attempt} {version}\r\nHost: shop.example\r\nAttempt-Id: {version}-{attempt}\r\n\
             Deadline-Ms: 800\r\nConnection: close\r\nContent-Length: 1\r\n{MODEL}X-Next: {next}\r\n\r\nx"
        );
        receive::exchange(self.host.callers, &text)
    }
}

#[test]
fn answer_of_another_kind_is_kept_out_of_a_stream_that_has_begun() {
    let site = Site::start();
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        for (index, head) in FOREIGN_HEADS.iter().enumerate() {
            let answer = site.send(version, index, &index.to_string());
            assert!(!answer.body.contains(FOREIGN), "{version} {head}");
            let looks_complete = answer.status == 200 && answer.is_complete;
            assert!(!looks_complete, "{version} {head}: {answer:?}");
        }
    }
}

#[test]
fn events_that_a_caller_has_received_do_not_come_again_in_its_stream() {
    let site = Site::start();
    for (attempt, first) in [1, 2].into_iter().enumerate() {
        let answer = site.send("HTTP/1.1", 100 + attempt, &format!("from-{first}"));
        let looks_complete = answer.status == 200 && answer.is_complete;
        assert!(!looks_complete, "from {first}: {answer:?}");
        assert!(events(1, 2).starts_with(&answer.body), "{answer:?}");
    }
    let answer = site.send("HTTP/1.1", 110, "from-3");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, events(1, 4));
}
