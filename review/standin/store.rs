//! The platform's key-value service: items under leases, conditional writes, watches. Each host
//! may have an address of its own, at which the service can turn that host away.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use super::{
    http::{self, Request},
    json::{Json, table},
};

/// How the service treats the host at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serve,
    /// Each call gets 503, waiting watches too: nothing was done.
    TurnAway,
    /// No call is answered, and none is executed.
    Silent,
}

#[derive(Clone)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// What the service held at a moment.
#[derive(Clone)]
pub struct Copy(State);

#[derive(Clone, Default)]
struct State {
    /// Rises each time that the service comes back from a copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, Json)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

/// An address of the service.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    store: Store,
}

impl Door {
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().expect("unpoisoned") = mode;
        self.store.changed.notify_all();
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().expect("unpoisoned")
    }
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

fn item_json(key: &str, item: &Item) -> Json {
    table(&[
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.history.push((revision, item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = table(&[
                ("key", key.into()),
                ("revision", self.revision.into()),
                ("tombstone", true.into()),
            ]);
            self.history.push((self.revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let held: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| lease != 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        held.iter().for_each(|key| self.remove(key));
        existed
    }

    fn end_expired(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn transaction(&mut self, body: &Json) -> (u16, Json) {
        let conditions = body.list("precondition");
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Json| {
            let key = row.text("key").unwrap_or("");
            row.number("revision") == Some(revision_of(key))
        };
        if !conditions.iter().all(holds) {
            let found = conditions.iter().filter_map(|row| {
                let key = row.text("key")?;
                Some(item_json(key, self.items.get(key)?))
            });
            return (412, table(&[("items", found.collect::<Vec<_>>().into())]));
        }
        let lease_of = |write: &Json| write.number("lease").unwrap_or(0);
        let is_gone = |write: &Json| {
            lease_of(write) != 0 && !self.leases.contains_key(&lease_of(write))
        };
        if body.list("writes").iter().any(is_gone) {
            return (404, table(&[]));
        }
        for write in body.list("writes") {
            let (key, value) = (write.text("key"), write.text("value"));
            self.put(key.unwrap_or(""), value.unwrap_or(""), lease_of(write));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                self.remove(key);
            }
        }
        (200, table(&[("revision", self.revision.into())]))
    }
}

impl Store {
    /// Starts a service whose leases end by themselves.
    pub fn start() -> Self {
        let store = Self::default();
        let clock = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            let mut state = clock.lock();
            let before = state.revision;
            state.end_expired();
            if state.revision != before {
                clock.changed.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("unpoisoned")
    }

    /// Opens an address.
    pub fn door(&self) -> io::Result<Door> {
        let mode = Arc::new(Mutex::new(Mode::Serve));
        let (store, seen) = (self.clone(), mode.clone());
        let address = http::serve(move |stream| {
            let door = Door { address: ([0, 0, 0, 0], 0).into(), mode: seen.clone(), store: store.clone() };
            store.serve(&door, stream);
        })?;
        Ok(Door { address, mode, store: self.clone() })
    }

    /// Writes a value as the operator and the engines do.
    pub fn write(&self, key: &str, value: &Json) -> u64 {
        let revision = self.lock().put(key, &base64(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.changed.notify_all();
    }

    /// Keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Loses everything that was written since the copy, leases too. Revisions are given out again.
    pub fn go_back(&self, copy: &Copy) {
        let mut state = self.lock();
        let era = state.era + 1;
        *state = State { era, ..copy.0.clone() };
        state.end_expired();
        drop(state);
        self.changed.notify_all();
    }

    /// The value of a key as text.
    pub fn read(&self, key: &str) -> Option<String> {
        let value = self.lock().items.get(key)?.value.clone();
        Some(String::from_utf8_lossy(&unbase64(&value)).into_owned())
    }

    fn serve(&self, door: &Door, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        while let Ok(request) = http::read_request(&mut reader) {
            let (status, body) = match door.mode() {
                Mode::Serve => self.execute(door, &request),
                Mode::TurnAway => (503, table(&[])),
                Mode::Silent => {
                    // The call is never answered; the connection stays open.
                    thread::sleep(Duration::from_secs(60));
                    return;
                }
            };
            // A machine that is turned away gets no news either.
            let (status, body) = match door.mode() {
                Mode::Serve => (status, body),
                Mode::TurnAway => (503, table(&[])),
                Mode::Silent => continue,
            };
            let era = self.lock().era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if http::respond(&mut stream, status, &headers, &body.to_string()).is_err() {
                return;
            }
        }
    }

    fn execute(&self, door: &Door, request: &Request) -> (u16, Json) {
        let call = request.path().trim_start_matches("/mulberryrack/").to_owned();
        let id = || call.rsplit('/').next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let query = |name: &str| request.query(name).unwrap_or_default();
        if call == "kv-watch" {
            return self.watch(door, request);
        }
        let mut state = self.lock();
        state.end_expired();
        let answer = match call.split('/').next().unwrap_or("") {
            "kv-key" => {
                let key = query("key");
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, table(&[])),
                }
            }
            "kv-range" => {
                let (prefix, after) = (query("prefix"), request.query("after"));
                let chosen = state.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
                });
                let mut items: Vec<Json> = chosen.map(|(key, item)| item_json(key, item)).collect();
                let more = items.len() > 500;
                items.truncate(500);
                let revision = state.revision;
                (200, table(&[
                    ("items", items.into()),
                    ("has-more", more.into()),
                    ("current-rev", revision.into()),
                ]))
            }
            "kv-txn" => state.transaction(&body),
            "kv-lease" => {
                state.last_lease += 1;
                let id = state.last_lease;
                let ttl = body.number("ttl-ms").unwrap_or(1_000).clamp(1_000, 600_000);
                let lease = Lease {
                    ttl: Duration::from_millis(ttl),
                    ends_at: Instant::now() + Duration::from_millis(ttl),
                };
                state.leases.insert(id, lease);
                (200, table(&[("lease", id.into()), ("ttl-ms", ttl.into())]))
            }
            "kv-keep" => match state.leases.get_mut(&id()) {
                Some(lease) => {
                    lease.ends_at = Instant::now() + lease.ttl;
                    let ttl = u64::try_from(lease.ttl.as_millis()).unwrap_or(0);
                    (200, table(&[("ttl-ms", ttl.into())]))
                }
                None => (404, table(&[])),
            },
            "kv-lease-end" => {
                let existed = state.end_lease(id());
                (if existed { 200 } else { 404 }, table(&[]))
            }
            _ => (404, table(&[])),
        };
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, door: &Door, request: &Request) -> (u16, Json) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if after > state.revision || state.era != era {
                return (410, table(&[]));
            }
            let is_new = |(revision, event): &&(u64, Json)| {
                *revision > after && event.text("key").is_some_and(|key| key.starts_with(&prefix))
            };
            let events: Vec<Json> = state.history.iter().filter(is_new).map(|it| it.1.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || door.mode() != Mode::Serve {
                let revision = state.revision;
                return (200, table(&[("events", events.into()), ("current-rev", revision.into())]));
            }
            state = self.changed.wait_timeout(state, left).expect("unpoisoned").0;
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|it| ALPHABET.iter().position(|digit| *digit == it));
    let digits: Vec<u32> = digits.map(|it| u32::try_from(it).unwrap_or(0)).collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let digit = |index: usize| group.get(index).copied().unwrap_or(0);
        let bits = digit(0) << 18 | digit(1) << 12 | digit(2) << 6 | digit(3);
        for index in 0..group.len().saturating_sub(1) {
            bytes.push((bits >> (16 - 8 * index) & 255) as u8);
        }
    }
    bytes
}
