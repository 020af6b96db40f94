//! A stand-in for an upstream that ends when it runs a certain request and starts again after
//! a pause, as a new incarnation under a new id at the same address.

use crate::{
    store::Store,
    upstream::{Request, answer, chunk, events, head, read},
    wire::entry,
};
use std::{
    io::{ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Body of the request that ends each upstream that runs it.
pub const CRASHING: &str = "crash";
/// Part of a prompt that ends each upstream that begins to write an answer on it, as it stands in
/// the `Prompt-Prefix` header.
pub const CRASHING_PART: &str = ",dead:10,";
/// Time for which the entry of an upstream that ended without closing its address stays.
const LAPSE_DELAY: Duration = Duration::from_secs(3);
/// Interval at which an upstream checks whether it has to end.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Number of events of a stream, and the time between two of them.
pub const EVENTS: u32 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Bodies of all requests that upstreams began to run, in order.
pub type Runs = Arc<Mutex<Vec<String>>>;

type WeakRuns = Weak<Mutex<Vec<String>>>;

/// How an upstream ends, and the time until the next incarnation serves at its address.
#[derive(Clone, Copy, Debug)]
pub enum Restart {
    /// The address refuses connections meanwhile.
    Refusing(Duration),
    /// All connections end, but the address goes on accepting new ones.
    Accepting(Duration),
    /// No connection ends, but nothing is answered on them any more. The address goes on
    /// accepting connections.
    Silent(Duration),
}

/// One incarnation of an upstream.
struct Incarnation {
    id: String,
    restart: Restart,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    runs: WeakRuns,
}

/// Starts an upstream, which runs until `runs` is dropped.
pub fn start(name: String, service: &'static str, restart: Restart, store: Store, runs: &Runs) {
    let runs = Arc::downgrade(runs);
    let mut listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    store.write(
        &format!("servers/{name}-1"),
        &entry(service, address, "ready"),
    );
    thread::spawn(move || {
        for number in 1.. {
            let incarnation = Incarnation {
                id: format!("{name}-{number}"),
                restart,
                ended: AtomicBool::new(false),
                connections: Mutex::default(),
                runs: runs.clone(),
            };
            let key = format!("servers/{}", incarnation.id);
            store.write(&key, &entry(service, address, "ready"));
            let incarnation = Arc::new(incarnation);
            serve(&listener, &incarnation);
            if runs.strong_count() == 0 {
                return;
            }
            listener = end(listener, address, &incarnation, &store, key);
        }
    });
}

/// Ends an incarnation and returns the listener of the next one, once that may start.
fn end(
    listener: TcpListener,
    address: SocketAddr,
    incarnation: &Incarnation,
    store: &Store,
    key: String,
) -> TcpListener {
    match incarnation.restart {
        Restart::Refusing(delay) => {
            drop(listener);
            incarnation.shut_connections();
            thread::sleep(delay);
            store.remove(&key);
            bind(address)
        }
        Restart::Accepting(delay) => {
            incarnation.shut_connections();
            remove_later(store.clone(), key);
            thread::sleep(delay);
            listener
        }
        Restart::Silent(delay) => {
            remove_later(store.clone(), key);
            thread::sleep(delay);
            listener
        }
    }
}

fn remove_later(store: Store, key: String) {
    thread::spawn(move || {
        thread::sleep(LAPSE_DELAY);
        store.remove(&key);
    });
}

/// Listens at the address again, once no connection of the former incarnation is in the way.
fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(CHECK_INTERVAL),
        }
    }
}

impl Incarnation {
    fn shut_connections(&self) {
        for connection in &*self.connections.lock().expect("unpoisoned") {
            // Fails if the host has closed the connection.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn is_silent(&self) -> bool {
        matches!(self.restart, Restart::Silent(_)) && self.ended.load(Ordering::Relaxed)
    }
}

/// Accepts connections until the incarnation ends.
fn serve(listener: &TcpListener, incarnation: &Arc<Incarnation>) {
    listener.set_nonblocking(true).expect("a socket");
    while !incarnation.ended.load(Ordering::Relaxed) && incarnation.runs.strong_count() > 0 {
        match listener.accept() {
            Ok((stream, _)) => {
                let kept = stream.try_clone().expect("a descriptor");
                incarnation
                    .connections
                    .lock()
                    .expect("unpoisoned")
                    .push(kept);
                let incarnation = incarnation.clone();
                thread::spawn(move || handle(stream, &incarnation));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(CHECK_INTERVAL),
            Err(error) => panic!("{error}"),
        }
    }
}

fn handle(mut stream: TcpStream, incarnation: &Incarnation) {
    while let Some(request) = read(&mut stream) {
        if incarnation.is_silent() {
            continue;
        }
        if request.line.starts_with("GET /health ") {
            let id = &incarnation.id;
            let text = format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.write_all(text.as_bytes());
            continue;
        }
        if request.line.contains("/mulberryrack/") {
            let _ = stream.write_all(b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        if request.header("target-instance") != incarnation.id {
            let _ = stream.write_all(b"HTTP/1.1 421 x\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        let body = String::from_utf8(request.body.clone()).expect("text");
        let Some(runs) = incarnation.runs.upgrade() else {
            return;
        };
        runs.lock().expect("unpoisoned").push(body.clone());
        if body == CRASHING || request.header("prompt-prefix").contains(CRASHING_PART) {
            incarnation.ended.store(true, Ordering::Relaxed);
        } else if !incarnation.is_silent() {
            run(&request, &mut stream);
        }
        return;
    }
}

fn run(request: &Request, stream: &mut TcpStream) {
    if !request.line.contains("/draft/") {
        thread::sleep(EVENT_INTERVAL);
        answer(request, stream);
        return;
    }
    let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
    let text = head(
        request,
        "Transfer-Encoding: chunked\r\nConnection: close\r\n",
    );
    let mut sent = stream.write_all(text.as_bytes());
    for event in after + 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        sent = sent.and_then(|()| stream.write_all(chunk(&events(event, event)).as_bytes()));
    }
    // Fails if the incarnation has ended.
    let _ = sent.and_then(|()| stream.write_all(b"0\r\n\r\n"));
}
