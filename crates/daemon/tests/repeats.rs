//! Requests that are sent once more, as upstreams see them, against the limit over all hosts.
//! Hosts are processes of the binary; most addresses of their service refuse connections.

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

use host::{Host, exchange};
use std::{
    collections::BTreeSet,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{LazyLock, Mutex},
    thread,
    time::{Duration, Instant},
};
use store::Store;
use upstream::{Request, Upstream, head};
use wire::{config, entry};

const HOST_COUNT: u32 = 2;
/// Upstreams that take requests, and entries whose addresses refuse connections.
const SOUND_COUNT: u32 = 3;
const REFUSING_COUNT: u8 = 240;
/// The limit: so many repeats as a share of the requests of a window, and beyond that.
const SHARE: f64 = 0.2;
const EXTRA: f64 = 4.0;
const WINDOW: Duration = Duration::from_secs(4);
/// Time between two requests at one host, and the number of them.
const INTERVAL: Duration = Duration::from_millis(25);
const REQUESTS: u32 = 320;
/// One in so many requests fails at the first upstream that it reaches.
const FAILING: u32 = 2;

/// What the upstreams saw.
#[derive(Default)]
struct Seen {
    attempts: BTreeSet<String>,
    /// Arrivals of requests that had arrived before.
    repeats: Vec<Instant>,
}

static SEEN: LazyLock<Mutex<Seen>> = LazyLock::new(Mutex::default);

/// Fails one in [`FAILING`] requests when it arrives for the first time: answers an error or
/// breaks the connection off.
fn fail_once(request: &Request, stream: &mut TcpStream) {
    let is_repeat = {
        let mut seen = SEEN.lock().expect("unpoisoned");
        let is_repeat = !seen.attempts.insert(request.header("attempt-id").into());
        if is_repeat {
            seen.repeats.push(Instant::now());
        }
        is_repeat
    };
    let number: u32 = String::from_utf8_lossy(&request.body)
        .parse()
        .expect("a number");
    if is_repeat || !number.is_multiple_of(FAILING) {
        // Busier than the addresses that tell no load, so that those are tried first.
        let more = "Instance-Load: 3,0,8\r\nContent-Length: 0\r\n";
        let _ = stream.write_all(head(request, more).as_bytes());
    } else if number.is_multiple_of(2 * FAILING) {
        let text = head(request, "Content-Length: 0\r\n").replace("200 OK", "500 x");
        let _ = stream.write_all(text.as_bytes());
    }
}

/// Sends requests at an even rate, and returns when each was sent.
fn send_all(host: SocketAddr, name: &str) -> Vec<Instant> {
    let mut callers = Vec::new();
    let mut sent = Vec::new();
    let start = Instant::now();
    for number in 0..REQUESTS {
        thread::sleep((start + INTERVAL * number).saturating_duration_since(Instant::now()));
        sent.push(Instant::now());
        let text = format!(
            "POST /look/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {name}-{number}\r\n\
             Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 3\r\n\r\n{number:03}"
        );
        callers.push(thread::spawn(move || exchange(host, &text)));
    }
    for caller in callers {
        caller.join().expect("no panic");
    }
    sent
}

/// Number of times in the window that ends `before` a time.
fn count(times: &[Instant], time: Instant, before: Duration) -> f64 {
    let within = |other: &&Instant| {
        let age = time.checked_duration_since(**other + before);
        age.is_some_and(|age| age < WINDOW)
    };
    let count = u32::try_from(times.iter().filter(within).count());
    f64::from(count.expect("a few hundred"))
}

#[test]
fn repeats_stay_within_the_limit_while_connections_are_refused() {
    let store = Store::start();
    store.write("op/config", &config(1, "desk"));
    let sound: Vec<Upstream> = (0..SOUND_COUNT)
        .map(|_| Upstream::start(fail_once))
        .collect();
    for (index, upstream) in sound.iter().enumerate() {
        let key = format!("servers/s{index}");
        store.write(&key, &entry("desk", upstream.address, "ready"));
    }
    for index in 0..REFUSING_COUNT {
        let address = SocketAddr::from(([127, 0, 9, index + 1], 1));
        store.write(
            &format!("servers/r{index}"),
            &entry("desk", address, "ready"),
        );
    }
    let bounds = format!("retry_window_s = 4\nretry_extra = {EXTRA}\nretry_share = {SHARE}\n");
    let start = |_| {
        let second = store.second_address();
        let address = second.address;
        Host::start_bounded(second, address, &bounds)
    };
    let hosts: Vec<Host> = (0..HOST_COUNT).map(start).collect();
    // The hosts' first window, in which they use less.
    thread::sleep(WINDOW);
    let callers = hosts.iter().map(|host| {
        let (address, name) = (host.callers, host.name.clone());
        thread::spawn(move || send_all(address, &name))
    });
    let callers: Vec<_> = callers.collect();
    let sent = callers.into_iter().flat_map(|it| it.join().expect("sent"));
    let sent: Vec<Instant> = sent.collect();
    let seen = SEEN.lock().expect("unpoisoned");
    for &end in &seen.repeats {
        let windows = [Duration::ZERO, WINDOW / 2, WINDOW];
        let requests = windows.map(|before| count(&sent, end, before));
        let allowed = SHARE * requests.into_iter().fold(0.0, f64::max) + EXTRA;
        let repeats = count(&seen.repeats, end, Duration::ZERO);
        assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
    }
    assert!(seen.repeats.len() > 20, "some are sent once more");
}
