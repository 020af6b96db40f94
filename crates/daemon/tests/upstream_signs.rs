//! What upstreams say about themselves in their answers: that they want no requests for a while.

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
use std::{io::Write, net::TcpStream};
use store::Store;
use upstream::{Request, Upstream, answer};
use wire::{config, entry};

fn start(upstreams: &[(&str, &Upstream)]) -> Host {
    let store = Store::start();
    store.write("op/config", &config(1, "desk"));
    for (id, upstream) in upstreams {
        let key = format!("servers/{id}");
        store.write(&key, &entry("desk", upstream.address, "ready"));
    }
    Host::start_with(store)
}

/// Sends a request that may wait for `deadline_ms` and returns the raw answer.
fn send(host: &Host, deadline_ms: u32, body: &str) -> String {
    let text = format!(
        "POST /book/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\n\
         Deadline-Ms: {deadline_ms}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(host.callers, &text)
}

/// Value of a header in a raw answer.
fn header<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    answer.lines().find_map(|line| {
        let (key, value) = line.split_once(": ")?;
        key.eq_ignore_ascii_case(name).then_some(value)
    })
}

#[test]
fn upstream_that_asks_for_a_rest_gets_no_request_until_it_is_over() {
    let tired = |request: &Request, stream: &mut TcpStream| {
        if request.body == b"first" {
            let text = "HTTP/1.1 503 x\r\nNot-Executed: 1\r\nRetry-After: 1.6\r\n\
                        Content-Length: 0\r\n\r\n";
            let _ = stream.write_all(text.as_bytes());
        } else {
            answer(request, stream);
        }
    };
    let only = Upstream::start(tired);
    let host = start(&[("d0", &only)]);
    assert_eq!(status(&send(&host, 500, "first")), 503);
    for _ in 0..6 {
        let refused = send(&host, 200, "soon");
        assert_eq!(status(&refused), 503, "{refused}");
        let wait = header(&refused, "Retry-After").expect("a time to come back");
        let wait: f64 = wait.parse().expect("a number");
        assert!(wait > 0.0 && wait <= 1.6, "{wait}");
    }
    assert_eq!(only.seen().len(), 1, "it rests");
    assert_eq!(status(&send(&host, 2_900, "later")), 200);
    assert_eq!(only.seen().len(), 1);
    assert_eq!(host.logged("event=upstream-rests"), 1);
    host.wait_until(|host| host.logged("event=upstream-rest-over") == 1);
}
