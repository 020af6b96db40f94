//! The cases.

use crate::{
    engine::{DEADLY_PART, MODEL},
    http::{self, Message},
    world::{Host, MEMORY_MB, Record, World},
};
use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub fn run(name: &str, folder: &Path) {
    let world = World::begin(folder);
    match name {
        "crash" => crash(world),
        "names" => names(world),
        "deadly" => deadly(world),
        "pieces" => pieces(world),
        _ => panic!("no such case"),
    }
}

/// The operator's configuration: a route for streams of the model engines, and one for bookings of a
/// plain service.
fn configure(world: &World) {
    let engine = format!(
        "{{\"slot-count\":64,\"kv-cache-tokens\":269690,\"kv-token-bytes\":163840,\"weights-mb\":220000,\"adapter-slot-count\":8,\"loads-per-s\":1.4,\"models\":[{{\"name\":\"{MODEL}\",\"weights-mb\":65100,\"load-time-s\":3.8,\"adapters\":0,\"adapter-mb\":12}}]}}"
    );
    let limits = "{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"shop.example\",\"prefix\":\"/draft/\",\"route-kind\":\"streaming\",\"timeout-ms\":5000,\"target-latency-ms\":1000,\"priority\":1,\"service-name\":\"llm\",\"max-attempts\":2,\"sticky-sessions\":true,\"resumable\":false,\"target-gap-ms\":600}},{{\"name\":\"bookings\",\"hostname\":\"shop.example\",\"prefix\":\"/book/\",\"route-kind\":\"non_idempotent\",\"timeout-ms\":5000,\"target-latency-ms\":1000,\"priority\":2,\"service-name\":\"desk\",\"max-attempts\":2}}],\"services\":[{{\"name\":\"llm\",\"health-path\":\"/health\",\"max-connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}},{{\"name\":\"desk\",\"health-path\":\"/health\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{limits}}}"
    );
    world.store.put("op/config", &config);
}

/// The parts of a prompt: `shared` ones that all prompts have, and one of its own.
fn prompt(shared: u64, own: u64) -> String {
    let parts = (0..shared).map(|number| format!("{:08x}:2,", 0x5c1e_0000 + number));
    parts.collect::<String>() + &format!("{own:08x}:2")
}

/// The head of a request for a draft with this prompt, or for a booking.
fn head(path: &str, id: u64, prompt: &str, framing: &str) -> String {
    let prompt = if path.starts_with("/draft/") {
        let tokens = 2 * prompt.split(',').count();
        format!("Model: {MODEL}\r\nToken-Counts: {tokens},100\r\nPrompt-Prefix: {prompt}\r\n")
    } else {
        String::new()
    };
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id:016x}\r\n{prompt}Deadline-Ms: 8000\r\n{framing}\r\n\r\n"
    )
}

/// Sends a request with a small body and reads the answer, for as long as its client waits.
fn ask(host: &Host, path: &str, id: u64, prompt: &str) -> Option<Message> {
    let mut stream = http::connect(host.callers, Duration::from_secs(8)).ok()?;
    let text = head(path, id, prompt, "Content-Length: 4") + "body";
    http::write(&mut stream, text.as_bytes()).ok()?;
    http::read(&mut stream, true).ok()?
}

fn describe(answer: Option<&Message>) -> String {
    let Some(answer) = answer else {
        return "no answer".to_owned();
    };
    let signature = answer.header("response-signature").unwrap_or("none");
    let end = if answer.is_complete {
        "whole"
    } else {
        "broken off"
    };
    let bytes = answer.body.len();
    format!(
        "status {}, signature {signature}, {bytes} bytes, {end}",
        answer.status()
    )
}

/// Asks hosts each second whether they are ready, until `until`.
fn watch_readiness(hosts: &[Host], record: &Record, until: Instant) {
    for (number, host) in hosts.iter().cloned().enumerate() {
        let record = record.clone();
        thread::spawn(move || {
            while Instant::now() < until {
                let begun = Instant::now();
                let is_ready = host.is_ready();
                let took = begun.elapsed().as_millis();
                record.note(&format!(
                    "host-{} asked for readiness: {is_ready} after {took} ms",
                    number + 1
                ));
                thread::sleep(Duration::from_secs(1).saturating_sub(begun.elapsed()));
            }
        });
    }
}

/// A quarter of the engines crash at once while they write answers to prompts of some hundred parts.
/// The hosts go on answering.
fn crash(mut world: World) -> ! {
    const ENGINES: usize = 40;
    const CRASHED: usize = 10;
    const CLIENTS: u64 = 120;
    const SHARED_PARTS: u64 = 800;
    const LENGTH: Duration = Duration::from_secs(30);
    /// The route's timeout, and how much later an answer may come.
    const TIMEOUT: Duration = Duration::from_millis(5_000);
    const SLACK: Duration = Duration::from_millis(500);
    configure(&world);
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| world.start_engine(&format!("i-{number}"), "llm"))
        .collect();
    let hosts: Vec<_> = (1..=3)
        .map(|number| world.start_host(&format!("host-{number}")))
        .collect();
    if !world.are_ready(&hosts) {
        world.give_up("a host did not get ready");
    }
    let until = Instant::now() + LENGTH;
    watch_readiness(&hosts, &world.record, until);
    // Requests that were served, that were unanswered at the timeout, and half a second later.
    let counts = Arc::new(Mutex::new((0, 0, 0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let number = client as usize % hosts.len();
            let (host, record, counts) =
                (hosts[number].clone(), world.record.clone(), counts.clone());
            thread::spawn(move || {
                let mut id = 10_000 * (client + 1);
                while Instant::now() < until {
                    id += 1;
                    record.note(&format!("sent {id:016x} to host-{}", number + 1));
                    let begun = Instant::now();
                    let answer = ask(&host, "/draft/30/100", id, &prompt(SHARED_PARTS, id));
                    let took = begun.elapsed();
                    let text = describe(answer.as_ref());
                    record.note(&format!(
                        "answered {id:016x} after {} ms: {text}",
                        took.as_millis()
                    ));
                    let mut counts = counts.lock().expect("unpoisoned");
                    counts.0 +=
                        u32::from(answer.is_some_and(|it| it.status() == 200 && it.is_complete));
                    counts.1 += u32::from(took > TIMEOUT);
                    counts.2 += u32::from(took > TIMEOUT + SLACK);
                    drop(counts);
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if world.is_disrupted {
        let crashed = &engines[..CRASHED];
        for engine in crashed {
            engine.is_gone();
            world.kill(engine.pid);
        }
        world
            .record
            .note(&format!("{CRASHED} of {ENGINES} engines have crashed"));
        thread::sleep(Duration::from_secs(2));
        for number in 0..CRASHED {
            world.start_engine(&format!("i-{}", ENGINES + number), "llm");
        }
    }
    for client in clients {
        let _ended = client.join();
    }
    let (served, at_timeout, later) = *counts.lock().expect("unpoisoned");
    if served == 0 {
        world.give_up("nothing was served");
    }
    let why = format!(
        "{served} requests served; {at_timeout} without an answer at their route's timeout, {later} of them half a second later as well"
    );
    world.end(at_timeout >= 8 && later * 2 > at_timeout, &why)
}

/// Sends bookings one after the other on one connection until it ends. Returns the booking that was sent
/// on the kept connection and got no answer, if there is one.
fn book_on_kept_connection(
    host: &Host,
    first: u64,
    record: &Record,
    until: Instant,
) -> Option<u64> {
    let mut stream = http::connect(host.callers, Duration::from_secs(8)).ok()?;
    for id in first.. {
        if Instant::now() > until {
            return None;
        }
        let text = head("/book/15/100", id, "", "Content-Length: 4") + "body";
        record.note(&format!(
            "sent {id:016x} on a connection with {} requests before",
            id - first
        ));
        let answer = match http::write(&mut stream, text.as_bytes()) {
            Ok(()) => http::read(&mut stream, true).ok().flatten(),
            Err(_) => None,
        };
        record.note(&format!(
            "answered {id:016x}: {}",
            describe(answer.as_ref())
        ));
        if answer.is_none_or(|it| !it.is_complete) {
            return (id > first).then_some(id);
        }
    }
    None
}

/// Sends requests of legal size one after the other on one connection, each of which names another model
/// that does not exist.
fn send_names(host: &Host, is_over: &AtomicBool, sent: &AtomicU64) {
    const INTERVAL: Duration = Duration::from_millis(4);
    const NAME_BYTES: usize = 15_000;
    let mut stream = None;
    let mut next = Instant::now();
    for id in 1_000_000.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        if stream.is_none() {
            stream = http::connect(host.callers, Duration::from_secs(8)).ok();
        }
        let name = format!("{id:x}") + &"m".repeat(NAME_BYTES);
        let text = format!(
            "POST /draft/20/50 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id:016x}\r\nModel: {name}\r\nToken-Counts: 100,100\r\nPrompt-Prefix: {id:x}:100\r\nDeadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nbody"
        );
        assert!(text.len() < 16_384, "the head is inside the limits");
        let answer = stream.as_mut().and_then(|stream| {
            http::write(stream, text.as_bytes()).ok()?;
            http::read(stream, true).ok()?
        });
        if answer.is_none_or(|it| it.header("connection") == Some("close")) {
            stream = None;
        }
        sent.fetch_add(1, Ordering::Relaxed);
        next += INTERVAL;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// A client that is not controlled sends requests of legal size, each of which names another model that does
/// not exist. The platform kills a process whose memory exceeds that of its machine.
fn names(mut world: World) -> ! {
    const CLIENTS: u64 = 8;
    const LENGTH: Duration = Duration::from_secs(100);
    configure(&world);
    for number in 0..2 {
        world.start_engine(&format!("i-llm-{number}"), "llm");
        world.start_engine(&format!("i-desk-{number}"), "desk");
    }
    let limit_kb = MEMORY_MB << 10;
    let host = world.start_host("host-1");
    if !world.are_ready(std::slice::from_ref(&host)) {
        world.give_up("a host did not get ready");
    }
    let until = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (host, record) = (host.clone(), world.record.clone());
            thread::spawn(move || {
                book_on_kept_connection(&host, 10_000 * (client + 1), &record, until)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let others = world.is_disrupted.then(|| {
        let (host, is_over, sent) = (host.clone(), is_over.clone(), sent.clone());
        thread::spawn(move || send_names(&host, &is_over, &sent))
    });
    let mut peak_kb = 0;
    let mut noted = Instant::now();
    while Instant::now() < until && peak_kb <= limit_kb {
        peak_kb = peak_kb.max(host.resident_kb());
        thread::sleep(Duration::from_millis(20));
        if noted.elapsed() >= Duration::from_secs(1) {
            noted = Instant::now();
            let sent = sent.load(Ordering::Relaxed);
            world.record.note(&format!(
                "{sent} requests of the others sent; host-1 has at most {peak_kb} KB"
            ));
        }
    }
    let sent = sent.load(Ordering::Relaxed);
    if peak_kb > limit_kb {
        world.record.note(&format!(
            "host-1 has {peak_kb} KB of {limit_kb} KB: the platform kills it"
        ));
        world.kill(host.pid);
    }
    is_over.store(true, Ordering::Relaxed);
    if let Some(others) = others {
        let _ended = others.join();
    }
    let unanswered = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten());
    let unanswered: Vec<u64> = unanswered.collect();
    // A request that was not passed on does not count.
    let record = std::fs::read_to_string(&world.record_path).unwrap_or_default();
    let lost = unanswered
        .iter()
        .filter(|id| record.contains(&format!("runs {id:016x}")))
        .count();
    let why = format!(
        "{sent} requests of the others, at most {peak_kb} KB of {limit_kb} KB; {lost} bookings ran and were not answered"
    );
    world.end(lost > 3, &why)
}

/// The next number of a fixed sequence.
fn next_number(seed: &mut u64) -> u64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    *seed
}

/// The parts of a prompt: one that all prompts have, documents of a collection, and one of its own. A
/// deadly one has the part that crashes engines as well.
fn prompt_on_documents(seed: &mut u64, is_deadly: bool, own: u64) -> String {
    const DOCUMENTS: usize = 200;
    const COLLECTION: u64 = 20_000;
    /// Spreads the numbers of documents over all ids.
    const SPREAD: u32 = 2_654_435_761;
    let mut text = "c04a21f0:2,".to_owned();
    if is_deadly {
        text += &format!("{DEADLY_PART}:2,");
    }
    for _ in 0..DOCUMENTS {
        let number = (next_number(seed) % COLLECTION) as u32;
        text += &format!("{:08x}:2,", number.wrapping_mul(SPREAD));
    }
    text + &format!("{own:08x}:2")
}

/// One part of prompts crashes each engine that begins to write an answer on it. Requests with it, no two
/// alike, come at any host, beside sound ones.
fn deadly(mut world: World) -> ! {
    const ENGINES: usize = 6;
    const CLIENTS: u64 = 150;
    const LENGTH: Duration = Duration::from_secs(40);
    const DEADLY_INTERVAL: Duration = Duration::from_millis(300);
    /// Time after which an engine is back.
    const RESTART: Duration = Duration::from_secs(3);
    const CONTACT: Duration = Duration::from_millis(3_000);
    const PATH: &str = "/draft/30/100";
    configure(&world);
    let mut started = 0;
    let mut start = |world: &mut World| {
        started += 1;
        world.start_engine(&format!("i-{started}"), "llm")
    };
    let mut engines: Vec<_> = (0..ENGINES).map(|_| (start(&mut world), None)).collect();
    let hosts: Vec<_> = (1..=3)
        .map(|number| world.start_host(&format!("host-{number}")))
        .collect();
    if !world.are_ready(&hosts) {
        world.give_up("a host did not get ready");
    }
    let until = Instant::now() + LENGTH;
    let served = Arc::new(AtomicU64::new(0));
    let mut senders: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let number = client as usize % hosts.len();
            let (host, record, served) =
                (hosts[number].clone(), world.record.clone(), served.clone());
            thread::spawn(move || {
                let mut id = 10_000 * (client + 1);
                let mut seed = 0x9e37_79b9_7f4a_7c15 ^ (7_919 * client + 1);
                while Instant::now() < until {
                    id += 1;
                    record.note(&format!("sent {id:016x} to host-{}", number + 1));
                    let prompt = prompt_on_documents(&mut seed, false, id);
                    let answer = ask(&host, PATH, id, &prompt);
                    record.note(&format!(
                        "answered {id:016x}: {}",
                        describe(answer.as_ref())
                    ));
                    let is_served = answer.is_some_and(|it| it.status() == 200 && it.is_complete);
                    served.fetch_add(u64::from(is_served), Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if world.is_disrupted {
        let (hosts, record) = (hosts.clone(), world.record.clone());
        senders.push(thread::spawn(move || {
            let mut seed = 77;
            for id in 9_000_000.. {
                if Instant::now() > until {
                    return;
                }
                let number = next_number(&mut seed) as usize % hosts.len();
                let prompt = prompt_on_documents(&mut seed, true, id);
                let (host, record) = (hosts[number].clone(), record.clone());
                record.note(&format!("sent {id:016x} to host-{}, deadly", number + 1));
                thread::spawn(move || {
                    let answer = ask(&host, PATH, id, &prompt);
                    record.note(&format!(
                        "answered {id:016x}: {}",
                        describe(answer.as_ref())
                    ));
                });
                thread::sleep(DEADLY_INTERVAL);
            }
        }));
    }
    let mut crashes: Vec<Instant> = Vec::new();
    while Instant::now() < until {
        for (engine, ended) in &mut engines {
            match *ended {
                None if world.has_ended(engine.pid) => {
                    engine.is_gone();
                    *ended = Some(Instant::now());
                    crashes.push(Instant::now());
                    world.record.note(&format!(
                        "engine {} has crashed, the {}th",
                        engine.id,
                        crashes.len()
                    ));
                }
                Some(at) if at.elapsed() > RESTART => {
                    *engine = start(&mut world);
                    *ended = None;
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    for sender in senders {
        let _ended = sender.join();
    }
    let served = served.load(Ordering::Relaxed);
    if served == 0 {
        world.give_up("nothing was served");
    }
    // Each request with the part that reaches an engine crashes it.
    let is_late = |at: &&Instant| crashes.get(4).is_some_and(|fifth| **at > *fifth + CONTACT);
    let late = crashes.iter().filter(is_late).count();
    let why = format!(
        "{} engines crashed, {late} of them later than 3 s after the fifth; {served} sound requests served",
        crashes.len()
    );
    world.end(late > 3, &why)
}

/// Clients send bodies inside the limits in small chunks.
fn pieces(mut world: World) -> ! {
    const REQUESTS: u64 = 20;
    /// The usual size of a draft's request.
    const BODY: usize = 18_000;
    configure(&world);
    for number in 0..2 {
        world.start_engine(&format!("i-{number}"), "desk");
    }
    let host = world.start_host("host-1");
    if !world.are_ready(std::slice::from_ref(&host)) {
        world.give_up("a host did not get ready");
    }
    let chunk = if world.is_disrupted { 5 } else { BODY };
    let (mut served, mut denied) = (0, 0);
    for id in 1..=REQUESTS {
        let ask = || {
            let mut stream = http::connect(host.callers, Duration::from_secs(8)).ok()?;
            let mut text = head("/book/1/10", id, "", "Transfer-Encoding: chunked").into_bytes();
            for _ in 0..BODY / chunk {
                text.extend(format!("{chunk:x}\r\n").bytes());
                text.extend(std::iter::repeat_n(b'x', chunk));
                text.extend(b"\r\n");
            }
            text.extend(b"0\r\n\r\n");
            let _sent = http::write(&mut stream, &text);
            http::read(&mut stream, true).ok()?
        };
        let answer = ask();
        world.record.note(&format!(
            "sent {id:016x}, {BODY} bytes in chunks of {chunk}; answered: {}",
            describe(answer.as_ref())
        ));
        let status = answer.as_ref().map_or(0, Message::status);
        let is_own = answer.is_some_and(|it| it.header("response-signature").is_none());
        served += u32::from(status == 200);
        denied +=
            u32::from(is_own && (300..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    let why =
        format!("{served} of {REQUESTS} requests served, {denied} ended with a 4xx of the host");
    world.end(u64::from(denied) > 5 + REQUESTS / 500, &why)
}
