//! Upstreams that end inside the head of an answer, behind each of its bytes.

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
use std::{io::Write, net::TcpStream, thread};
use store::Store;
use upstream::{Request, Upstream, chunk, events};
use wire::{MODEL, config, entry};

/// What comes before the head, and what marks the end of the body.
const INTERIM: [&str; 3] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
];
const FRAMINGS: [&str; 4] = [
    "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Connection: close\r\n",
    "Content-Length: 0\r\n",
];
/// Calls at the same time.
const CALLERS: usize = 8;

fn head(attempt: &str, interim: usize, framing: usize) -> String {
    let framing = FRAMINGS[framing];
    let interim = INTERIM[interim];
    format!(
        "{interim}HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: sig\r\n{framing}\r\n"
    )
}

/// Sends as much of a head as the body of the request says, and closes the connection.
fn cut(request: &Request, stream: &mut TcpStream) {
    let body = String::from_utf8_lossy(&request.body);
    let mut figures = body.split(',').map(|it| it.parse().expect("a number"));
    let mut next = || -> usize { figures.next().expect("three numbers") };
    let (interim, framing, length) = (next(), next(), next());
    let head = head(request.header("attempt-id"), interim, framing);
    let _ = stream.write_all(&head.as_bytes()[..length]);
}

fn call(host: &Host, route: &str, interim: usize, framing: usize, length: usize) -> u16 {
    let body = format!("{interim},{framing},{length}");
    let model = if route == "draft" { MODEL } else { "" };
    let text = format!(
        "POST /{route}/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\n\
         Deadline-Ms: 2000\r\nConnection: close\r\n{model}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    status(&exchange(host.callers, &text))
}

/// Events to begin with, so that the streams of this test differ from whole ones by their head only.
fn whole(request: &Request, stream: &mut TcpStream) {
    let head = head(request.header("attempt-id"), 0, 1);
    let text = head + &chunk(&events(1, 2)) + "0\r\n\r\n";
    let _ = stream.write_all(text.as_bytes());
}

fn start(script: fn(&Request, &mut TcpStream)) -> Host {
    let upstream = Upstream::start(script);
    let store = Store::start();
    store.write("op/config", &config(1, "desk"));
    store.write("servers/d0", &entry("desk", upstream.address, "ready"));
    store.write("servers/e0", &entry("llm", upstream.address, "ready"));
    // Its requests are not looked at; a closed channel would end the stand-in.
    std::mem::forget(upstream);
    Host::start_with(store)
}

#[test]
fn an_answer_whose_head_is_cut_is_not_taken_for_one() {
    let host = &start(cut);
    let mut cases = Vec::new();
    for interim in 0..INTERIM.len() {
        for framing in 0..FRAMINGS.len() {
            let length = head("id1", interim, framing).len();
            let routes = ["book", "draft"].into_iter();
            cases.extend(routes.flat_map(|route| {
                (0..length).map(move |length| (route, interim, framing, length))
            }));
        }
    }
    let taken: Vec<String> = thread::scope(|scope| {
        let play = |cases: &[(&'static str, usize, usize, usize)]| {
            let taken = cases.iter().filter(|(route, interim, framing, length)| {
                let status = call(host, route, *interim, *framing, *length);
                status < 500
            });
            taken.map(|case| format!("{case:?}")).collect::<Vec<_>>()
        };
        let length = cases.len().div_ceil(CALLERS);
        let callers: Vec<_> = cases
            .chunks(length)
            .map(|cases| scope.spawn(move || play(cases)))
            .collect();
        let taken = callers.into_iter().map(|it| it.join().expect("no panic"));
        taken.flatten().collect()
    });
    assert!(taken.is_empty(), "{taken:#?}");
}

#[test]
fn a_whole_answer_behind_an_interim_one_is_taken() {
    let host = start(whole);
    assert_eq!(call(&host, "draft", 0, 0, 0), 200);
}
