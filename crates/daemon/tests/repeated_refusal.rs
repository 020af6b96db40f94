//! Upstreams that write an earlier refusal once more on a kept connection.

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

use host::{Host, exchange, status};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use store::Store;
use upstream::{Request, head, read};
use wire::{config, entry};

/// Time for a host to notice bytes on an idle connection.
const NOTICED: Duration = Duration::from_millis(60);
/// Time that a request runs.
const RUN: Duration = Duration::from_millis(30);

/// When a refusal is written once more.
#[derive(Clone, Copy, Debug)]
enum Again {
    /// At once, and after some time on the idle connection.
    At(u64),
    /// When the next request has arrived, which runs.
    BeforeNextAnswer,
    /// While the next request runs.
    DuringNextRun,
}

const MOMENTS: [Again; 5] = [
    Again::At(0),
    Again::At(5),
    Again::At(40),
    Again::BeforeNextAnswer,
    Again::DuringNextRun,
];

/// Heads of refusals after the status; `ID` stands for the id of the refused attempt.
const REFUSALS: [&str; 6] = [
    "503 x\r\nNot-Executed: 1",
    "429 x\r\nNot-Executed: 1",
    "503 x\r\nNot-Executed: 1\r\nAttempt-Id: ID",
    "421 x",
    "400 x\r\nNot-Executed: 1",
    "503 x\r\nNot-Executed: 1\r\nRetry-After: 0.001",
];

/// Number of runs by the id of the attempt.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// Starts an upstream that keeps its connections. It refuses the requests with `X-Refuse`.
fn start(runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let runs = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, runs) = (stream.expect("a connection"), runs.clone());
            thread::spawn(move || serve(stream, &runs));
        }
    });
    address
}

fn serve(mut stream: TcpStream, runs: &Runs) {
    let mut again: Option<(Again, String)> = None;
    while let Some(request) = read(&mut stream) {
        if request.line.contains("/mulberryrack/") || request.line.starts_with("GET /health ") {
            let _ = stream.write_all(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if let Some((moment, text)) = refusal(&request) {
            let _ = stream.write_all(text.as_bytes());
            if let Again::At(delay) = moment {
                thread::sleep(Duration::from_millis(delay));
                let _ = stream.write_all(text.as_bytes());
            } else {
                again = Some((moment, text));
            }
            continue;
        }
        let id = request.header("attempt-id").to_owned();
        *runs.lock().expect("unpoisoned").entry(id).or_default() += 1;
        match again.take() {
            Some((Again::DuringNextRun, text)) => {
                thread::sleep(RUN / 2);
                let _ = stream.write_all(text.as_bytes());
                thread::sleep(RUN / 2);
            }
            Some((_, text)) => drop(stream.write_all(text.as_bytes())),
            None => {}
        }
        let text = head(&request, "Content-Length: 5\r\n") + "whole";
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// The refusal that a request asks for, and when it is to be written again.
fn refusal(request: &Request) -> Option<(Again, String)> {
    let (moment, kind) = request.header("x-refuse").split_once('-')?;
    let moment = MOMENTS[moment.parse::<usize>().expect("a number")];
    let kind = REFUSALS[kind.parse::<usize>().expect("a number")];
    let kind = kind.replace("ID", request.header("attempt-id"));
    let text = format!("HTTP/1.1 {kind}\r\nContent-Length: 0\r\n\r\n");
    Some((moment, text))
}

#[test]
fn refusal_written_twice_is_not_taken_for_the_answer_to_the_next_request() {
    let runs = Runs::default();
    let store = Store::start();
    store.write("op/config", &config(1, "desk"));
    for name in ["d0", "d1"] {
        let entry = entry("desk", start(&runs), "ready");
        store.write(&format!("servers/{name}"), &entry);
    }
    let host = Host::start_with(store);
    let send = |id: &str, path: &str, headers: &str| {
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: 900\r\nConnection: close\r\nContent-Length: 1\r\n{headers}\r\nx"
        );
        status(&exchange(host.callers, &text))
    };
    let mut broken = Vec::new();
    for path in ["/book/", "/look/"] {
        for (moment, at) in MOMENTS.iter().enumerate() {
            for (kind, refusal) in REFUSALS.iter().enumerate() {
                let refuse = format!("X-Refuse: {moment}-{kind}\r\n");
                for round in 0..3 {
                    let id = format!("{}-{moment}-{kind}-{round}", &path[1..5]);
                    send(&format!("{id}-refused"), path, &refuse);
                    if round == 2 {
                        thread::sleep(NOTICED);
                    }
                    let answered = send(&id, path, "");
                    let ran = runs.lock().expect("unpoisoned").get(&id).copied();
                    let promise = [408, 421, 429, 503].contains(&answered);
                    let ran = ran.unwrap_or(0);
                    if (promise && ran > 0) || (path == "/book/" && ran > 1) {
                        broken.push(format!("{id} {at:?} {refusal:?}: {answered}, ran {ran}"));
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
}
