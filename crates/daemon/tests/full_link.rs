//! A host whose link is full: what waits on the way to it, and back, belongs to the time of its callers.

#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[path = "site/link.rs"]
mod link;
#[allow(dead_code)]
#[path = "site/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "site/upstream.rs"]
mod upstream;
#[allow(dead_code)]
#[path = "site/wire.rs"]
mod wire;

use host::{Host, exchange};
use link::Link;
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};
use store::Store;
use upstream::{Request, Upstream, answer};
use wire::{config, entry};

/// The host's link, as it is and as its settings name it.
const BYTES_PER_S: u64 = 1_000_000;
const MACHINE: &str = "descriptors = 4000\nlink_mbps = 8";
/// Callers that upload all the time. With a packet of 4 kB each in the queue, bytes wait for 0.8 s.
const UPLOADS: usize = 200;
const UPLOAD_BYTES: usize = 9_000;
/// Time after which the queue is as long as it gets, and a renewal has passed through it.
const FILLED: Duration = Duration::from_millis(2_500);
const TIMEOUT: Duration = Duration::from_millis(1_100);
/// How long a request may be held past its time-out; the users' rule.
const SLACK: Duration = Duration::from_millis(500);

/// Never answers the request that is late.
fn hold_late(request: &Request, stream: &mut TcpStream) {
    if request.header("attempt-id") == "late" {
        thread::sleep(Duration::from_secs(10));
    } else {
        answer(request, stream);
    }
}

fn request(path: &str, attempt: &str, body: usize) -> String {
    let body = "x".repeat(body);
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 4000\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Uploads bodies, one after the other on each of many connections, until told to end.
fn upload(address: SocketAddr, ended: &Arc<AtomicBool>) {
    for number in 0..UPLOADS {
        let ended = ended.clone();
        thread::spawn(move || {
            let text = request("/book/upload", &format!("upload{number}"), UPLOAD_BYTES);
            while !ended.load(Ordering::Relaxed) {
                exchange(address, &text);
            }
        });
    }
}

#[test]
fn request_that_waits_for_a_full_link_is_not_held_past_its_time_out() {
    let store = Store::start();
    let mut settings = config(1, "desk");
    for route in settings["routes"].as_array_mut().expect("a list") {
        route["timeout-ms"] = 1_100.into();
    }
    store.write("op/config", &settings);
    let desk = Upstream::start(hold_late);
    store.write("servers/desk", &entry("desk", desk.address, "ready"));
    let link = Link::new();
    let address = link.outwards(store.address);
    let host = Host::start_on(store, address, MACHINE, "");
    let callers = link.inwards(host.callers);
    link.set_inbound(BYTES_PER_S);
    let ended = Arc::new(AtomicBool::new(false));
    upload(callers, &ended);
    thread::sleep(FILLED);
    let mut late = TcpStream::connect(callers).expect("a listener");
    late.write_all(request("/look/", "late", 1).as_bytes())
        .expect("a connection");
    thread::sleep(TIMEOUT + SLACK);
    // Not over the link: the host reads it when the late request must have had its answer.
    exchange(host.callers, &request("/nowhere/", "marker", 0));
    host.wait_until(|host| host.logged("event=refused id=marker") == 1);
    host.wait_until(|host| host.logged("event=ended id=late") == 1);
    ended.store(true, Ordering::Relaxed);
    let lines = host.lines("event=");
    let position = |text: &str| lines.iter().position(|line| line.contains(text));
    assert!(position("event=ended id=late") < position("event=refused id=marker"));
}
