//! A randomized soak: real hosts as processes between callers, upstreams and a stand-in for
//! the key-value service, with faults from outside. Promises are checked from what callers
//! and upstreams see.
//!
//! `SOAK_FROM` and `SOAK_SEEDS` choose the seeds. Seeds that failed once stay in
//! [`REGRESSIONS`].

#[path = "soak/caller.rs"]
mod caller;
#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[path = "soak/proxy.rs"]
mod proxy;
#[allow(dead_code)]
#[path = "site/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "site/upstream.rs"]
mod upstream;
#[path = "site/wire.rs"]
mod wire;

use caller::{Answer, Caller};
use host::Host;
use proxy::{FAULTS, Link, Mode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    env, fs,
    io::Write,
    net::TcpStream,
    sync::{
        Arc, LazyLock, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use store::Store;
use upstream::{Request, Upstream, chunk, head};

/// Seeds that failed once, each with a line on the cause.
const REGRESSIONS: [u64; 0] = [];
/// Seeds of a run without settings.
const SEEDS: u64 = 2;
/// Hosts of a site.
const HOSTS: usize = 3;
/// Callers of each host.
const CALLERS: usize = 3;
/// Faults and planned works in one run, and the longest pause between two.
const STEPS: u32 = 14;
const STEP_MS: u64 = 400;
/// Events of a stream, and the time between two.
const EVENTS: u32 = 12;
const EVENT_EVERY: Duration = Duration::from_millis(15);
/// Time for which a request runs: most requests are at an upstream at any moment.
const RUN: Duration = Duration::from_millis(60);
/// Memory that a host may take, by the size that the design goes by, in kilobytes.
const MEMORY_KB: u64 = 64 * 1_024;

/// Runs of each attempt, over all upstreams of the process.
static RUNS: LazyLock<Mutex<HashMap<String, u32>>> = LazyLock::new(Mutex::default);
static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// Runs a request: the whole answer names the attempt and the instance that was meant.
fn run(request: &Request, stream: &mut TcpStream) {
    let id = request.header("attempt-id").to_owned();
    *RUNS
        .lock()
        .expect("unpoisoned")
        .entry(id.clone())
        .or_default() += 1;
    thread::sleep(RUN);
    if !request.line.contains("/draft/") {
        let body = format!("{id} {}", request.header("target-instance"));
        let more = format!("Connection: close\r\nContent-Length: {}\r\n", body.len());
        // The host may be gone.
        let _ = stream.write_all((head(request, &more) + &body).as_bytes());
        return;
    }
    let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
    let text = head(
        request,
        "Transfer-Encoding: chunked\r\nConnection: close\r\n",
    );
    let mut sent = stream.write_all(text.as_bytes());
    for event in after + 1..=EVENTS {
        thread::sleep(EVENT_EVERY);
        let text = chunk(&format!("id: {event}\ndata: {id}\n\n"));
        sent = sent.and_then(|()| stream.write_all(text.as_bytes()));
    }
    let _ = sent.and_then(|()| stream.write_all(b"0\r\n\r\n"));
}

/// A configuration whose version can be told from the service of its route for looks.
fn config(version: u64) -> Value {
    let look = format!("look{version}");
    let mut config = wire::config(version, &look);
    for route in config["routes"].as_array_mut().expect("a list") {
        route["max-attempts"] = json!(3);
    }
    let services = config["services"].as_array_mut().expect("a list");
    services.push(json!({ "name": look }));
    for service in services {
        service["max-connections"] = json!(50);
    }
    config["limits"]["idle-timeout-ms"] = json!(4_000);
    config
}

/// A host with the link through which it reaches the store.
struct Seat {
    host: Host,
    link: Link,
}

struct Site {
    store: Store,
    seats: Vec<Seat>,
    /// Links to the upstreams.
    links: Vec<Link>,
    /// Keeps the upstreams' side of their channels.
    upstreams: Vec<Upstream>,
    version: u64,
    broken: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Site {
    fn start() -> Self {
        let mut site = Self {
            store: Store::start(),
            seats: Vec::new(),
            links: Vec::new(),
            upstreams: Vec::new(),
            version: 1,
            broken: Arc::default(),
            stop: Arc::default(),
            callers: Vec::new(),
        };
        for index in 0..4 {
            let upstream = Upstream::start(run);
            let link = Link::open(upstream.address);
            let (service, id) = if index < 2 {
                ("desk", "d")
            } else {
                ("llm", "e")
            };
            site.list(&format!("{id}{index}"), service, &link);
            site.links.push(link);
            site.upstreams.push(upstream);
        }
        site.configure();
        (0..HOSTS).for_each(|_| site.add());
        site
    }

    fn list(&self, id: &str, service: &str, link: &Link) {
        let entry = wire::entry(service, link.address, "ready");
        self.store.write(&format!("servers/{id}"), &entry);
    }

    /// Accepts the next version; its service's instance bears the version in its name.
    fn configure(&mut self) {
        self.version += 1;
        let name = format!("look{}", self.version);
        self.list(&name, &name, &self.links[0]);
        self.store.write("op/config", &config(self.version));
    }

    fn add(&mut self) {
        let link = Link::open(self.store.address);
        let host = Host::start_at(self.store.clone(), link.address);
        for _ in 0..CALLERS {
            let caller = Caller::new(host.callers);
            let (stop, broken) = (self.stop.clone(), self.broken.clone());
            let calls = thread::spawn(move || call(caller, &stop, &broken));
            self.callers.push(calls);
        }
        self.seats.push(Seat { host, link });
    }

    /// One fault or planned work, of those that may overlap with any other.
    fn disturb(&mut self, rng: &mut ChaCha8Rng, faults: &mut Vec<(Instant, Fault)>) {
        let until = Instant::now() + Duration::from_millis(rng.random_range(200..1_200));
        let seat = rng.random_range(0..self.seats.len());
        match rng.random_range(0..9) {
            0..=3 => {
                let link = rng.random_range(0..self.links.len());
                self.links[link].set(FAULTS[rng.random_range(0..FAULTS.len())]);
                faults.push((until, Fault::Upstream(link)));
            }
            4 => {
                let name = self.seats[seat].host.name.clone();
                self.seats[seat]
                    .link
                    .set(FAULTS[rng.random_range(0..FAULTS.len())]);
                faults.push((until, Fault::Store(name)));
            }
            5 => {
                self.seats[seat].host.signal("STOP");
                faults.push((until, Fault::Frozen(self.seats[seat].host.name.clone())));
            }
            6 => {
                drop(self.seats.remove(seat));
                self.add();
            }
            7 => {
                self.seats[seat].host.signal("TERM");
                self.add();
            }
            _ => self.configure(),
        }
    }

    fn mend(&mut self, fault: &Fault) {
        // A host may have been replaced meanwhile.
        let named = |name: &str| self.seats.iter().find(|seat| seat.host.name == name);
        match fault {
            Fault::Upstream(link) => self.links[*link].set(Mode::Pass),
            Fault::Store(name) => {
                if let Some(seat) = named(name) {
                    seat.link.set(Mode::Pass);
                }
            }
            Fault::Frozen(name) => {
                if let Some(seat) = named(name) {
                    seat.host.signal("CONT");
                }
            }
        }
    }

    /// After the last fault a new host serves, and hosts took little memory.
    fn recover(&mut self) {
        self.add();
        let last = self.seats.last().expect("a host was added just now");
        let mut caller = Caller::new(last.host.callers);
        for path in ["/book/", "/look/", "/draft/"] {
            let end = Instant::now() + Duration::from_secs(15);
            while ask(&mut caller, path).1.status != 200 {
                assert!(
                    Instant::now() < end,
                    "{path} is not served after the faults"
                );
            }
        }
        for seat in &self.seats {
            let status = fs::read_to_string(format!("/proc/{}/status", seat.host.child.id()));
            let status = status.unwrap_or_default();
            let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
            let peak = peak.and_then(|text| text.trim().split(' ').next()?.parse().ok());
            let peak: u64 = peak.unwrap_or(0);
            assert!(peak < MEMORY_KB, "{} took {peak} kB", seat.host.name);
        }
    }
}

/// A fault that ends by itself.
enum Fault {
    Upstream(usize),
    Store(String),
    Frozen(String),
}

/// Sends one request with an attempt of its own.
fn ask(caller: &mut Caller, path: &str) -> (String, Answer) {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let id = format!("{number:016x}");
    let more = if path == "/draft/" { wire::MODEL } else { "" };
    let answer = caller.ask("POST", path, &id, more);
    (id, answer)
}

/// Calls one host until the end, and checks each answer by itself.
fn call(mut caller: Caller, stop: &AtomicBool, broken: &Mutex<Vec<String>>) {
    let mut newest = 0;
    let (mut refused, mut once) = (Vec::new(), Vec::new());
    let report = |text: String| broken.lock().expect("unpoisoned").push(text);
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let path = ["/book/", "/look/", "/draft/"][turn % 3];
        let (id, answer) = ask(&mut caller, path);
        if answer.status == 0 {
            thread::sleep(EVENT_EVERY);
        }
        if path == "/book/" {
            once.push(id.clone());
        }
        if matches!(answer.status, 408 | 421 | 429 | 503) {
            refused.push((path, id.clone()));
        }
        if answer.status != 200 {
            continue;
        }
        if !answer.signed || answer.attempt != id {
            report(format!("MIXED {path} {id}: {answer:?}"));
        }
        if !answer.whole {
            continue;
        }
        if path == "/draft/" {
            let events = (1..=EVENTS).map(|event| format!("id: {event}\ndata: {id}\n\n"));
            if answer.body != events.collect::<String>() {
                report(format!("ORDER {id}: {:?}", answer.body));
            }
            continue;
        }
        let Some((ran, instance)) = answer.body.split_once(' ') else {
            report(format!("MIXED {path} {id}: {answer:?}"));
            continue;
        };
        if ran != id {
            report(format!("MIXED {path} {id}: ran {ran}"));
        }
        let version: u64 = instance
            .strip_prefix("look")
            .map_or(0, |it| it.parse().expect("a version"));
        if path == "/look/" && version < newest {
            report(format!("OLDER {id}: {version} after {newest}"));
        }
        newest = newest.max(version);
    }
    // What was refused has not run, and does not run later either.
    thread::sleep(Duration::from_millis(300));
    let runs = RUNS.lock().expect("unpoisoned");
    for id in once {
        let times = runs.get(&id).copied().unwrap_or(0);
        if times > 1 {
            report(format!("TWICE {id}: ran {times} times"));
        }
    }
    let ran = refused.iter().filter(|(_, id)| runs.contains_key(id));
    for (path, id) in ran {
        report(format!("REFUSED {path} {id} has run"));
    }
}

fn soak(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::start();
    let mut faults: Vec<(Instant, Fault)> = Vec::new();
    for _ in 0..STEPS {
        site.disturb(&mut rng, &mut faults);
        thread::sleep(Duration::from_millis(rng.random_range(50..STEP_MS)));
        let now = Instant::now();
        for (_, fault) in faults.extract_if(.., |(until, _)| *until <= now) {
            site.mend(&fault);
        }
    }
    for (_, fault) in std::mem::take(&mut faults) {
        site.mend(&fault);
    }
    site.recover();
    site.stop.store(true, Ordering::Relaxed);
    for caller in std::mem::take(&mut site.callers) {
        caller.join().expect("a caller ends");
    }
    std::mem::take(&mut *site.broken.lock().expect("unpoisoned"))
}

#[test]
fn promises_hold_under_faults_from_outside() {
    let setting = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let from: u64 = setting("SOAK_FROM").unwrap_or(1);
    let seeds = from..from + setting("SOAK_SEEDS").unwrap_or(SEEDS);
    let mut broken = Vec::new();
    for seed in REGRESSIONS.into_iter().chain(seeds) {
        let found = soak(seed);
        println!(
            "seed={seed} broken={} attempts={}",
            found.len(),
            ATTEMPTS.load(Ordering::Relaxed)
        );
        broken.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    let runs = RUNS.lock().expect("unpoisoned");
    assert!(runs.len() > 100, "hardly anything ran: {}", runs.len());
    assert!(broken.is_empty(), "{broken:#?}");
}
