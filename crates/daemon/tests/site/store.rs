//! A stand-in for the platform's key-value service, with items, leases that do not expire by
//! themselves, conditional writes and watches. It can go back to a copy of itself, which begins an era.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, RwLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tiny_http::{Header, Request, Response, Server};

/// Key of the configuration.
const CONFIG_KEY: &str = "op/config";
/// As many items as all listings of a test have, unless it sets another number.
const DEFAULT_PAGE: usize = 1_000;
const SMALL_PAGE: usize = 3;

#[derive(Clone, Default)]
struct Items {
    revision: u64,
    entries: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// All changes, in the form in which a watch returns them.
    history: Vec<Value>,
    leases: u64,
    /// Leases that were ended, by their holder or with [`Store::revoke_lease_of`].
    ended_leases: BTreeSet<u64>,
    era: u64,
    /// Keys that were written or removed in this era.
    touched: BTreeSet<String>,
    /// Number of answered renewals of each lease.
    renewals: BTreeMap<u64, u32>,
    /// Versions of the configuration that the service has held in all eras, and since when; 0 if
    /// there was none.
    config_versions: Vec<(Instant, u64)>,
}

impl Items {
    /// Records the version of the configuration that is held from now on.
    fn record_config(&mut self) {
        let version = self.entries.get(CONFIG_KEY).and_then(|(value, ..)| {
            let config: Value = serde_json::from_slice(value).ok()?;
            config["version"].as_u64()
        });
        let entry = (Instant::now(), version.unwrap_or(0));
        self.config_versions.push(entry);
    }
}

/// What the service held at a moment.
#[derive(Clone)]
pub struct Copy(Items);

type State = Arc<(Mutex<Items>, Condvar)>;

/// The running service. The methods write to it as the operator and the engines do.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: State,
    /// While set, every call is answered with an error and not executed.
    pub rejecting: Arc<AtomicBool>,
    /// While set, calls at this address are executed on an older copy, in the same era.
    older: Arc<Mutex<Option<State>>>,
    /// While set, calls are executed but never answered, not even after it is cleared.
    pub silent: Arc<AtomicBool>,
    /// While set, answers do not tell the era.
    pub tells_no_era: Arc<AtomicBool>,
    /// Calls with this text in path or body are answered with a delay after they are executed.
    pub late: Arc<Mutex<Option<(&'static str, Duration)>>>,
    /// Answers to listings of all keys.
    pub listed: Arc<AtomicUsize>,
    /// Largest number of items in an answer to a listing.
    pub page: Arc<AtomicUsize>,
    /// Held for reading by a call while it is executed, so that it belongs to one era.
    executing: Arc<RwLock<()>>,
}

fn item(key: &str, (value, revision, lease): &(Vec<u8>, u64, u64)) -> Value {
    json!({ "key": key, "value": STANDARD.encode(value), "revision": revision, "lease": lease })
}

impl Store {
    pub fn start() -> Self {
        Self::open(Arc::default(), Arc::default())
    }

    /// A service that lists few items with each call.
    #[allow(dead_code)]
    pub fn start_in_pages() -> Self {
        let store = Self::start();
        store.page.store(SMALL_PAGE, Ordering::Relaxed);
        store
    }

    /// Serves the same items at another address, which can be silenced separately.
    pub fn second_address(&self) -> Self {
        Self::open(self.state.clone(), self.executing.clone())
    }

    /// Has calls at this address executed on a copy from now on, which follows no later writes
    /// elsewhere.
    pub fn serve_copy(&self, copy: &Copy) {
        let state = Arc::new((Mutex::new(copy.0.clone()), Condvar::new()));
        *self.older.lock().expect("unpoisoned") = Some(state);
    }

    fn open(state: State, executing: Arc<RwLock<()>>) -> Self {
        let server = Server::http("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: server.server_addr().to_ip().expect("an IP address"),
            state,
            rejecting: Arc::default(),
            older: Arc::default(),
            silent: Arc::default(),
            tells_no_era: Arc::default(),
            late: Arc::default(),
            listed: Arc::default(),
            page: Arc::new(AtomicUsize::new(DEFAULT_PAGE)),
            executing,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for request in server.incoming_requests() {
                let mut store = serving.clone();
                let older = store.older.lock().expect("unpoisoned").clone();
                store.state = older.unwrap_or(store.state);
                thread::spawn(move || store.serve(request));
            }
        });
        store
    }

    pub fn write(&self, key: &str, value: &Value) {
        self.put(key, value.to_string().into_bytes(), 0);
    }

    pub fn put(&self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        let (items, changed) = &*self.state;
        let mut items = items.lock().expect("unpoisoned");
        items.revision += 1;
        let entry = (value, items.revision, lease);
        items.history.push(item(key, &entry));
        items.entries.insert(key.to_owned(), entry);
        items.touched.insert(key.to_owned());
        if key == CONFIG_KEY {
            items.record_config();
        }
        changed.notify_all();
        items.revision
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().expect("unpoisoned").clone())
    }

    /// Loses everything that was written since the copy, leases too. Revisions and numbers of
    /// leases are given out again.
    pub fn go_back(&self, copy: &Copy) {
        let _exclusive = self.executing.write().expect("unpoisoned");
        let (items, changed) = &*self.state;
        let mut items = items.lock().expect("unpoisoned");
        let era = items.era + 1;
        let config_versions = std::mem::take(&mut items.config_versions);
        *items = copy.0.clone();
        items.era = era;
        items.config_versions = config_versions;
        items.record_config();
        items.touched.clear();
        changed.notify_all();
    }

    /// As [`Store::go_back`]; after a delay the operator and the engines write theirs again,
    /// unless they have written something else since.
    pub fn go_back_and_rewrite(&self, copy: &Copy, delay: Duration) {
        let lost = self.copy().0.entries;
        self.go_back(copy);
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let theirs = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
            for (key, (value, ..)) in lost.into_iter().filter(|(key, _)| theirs(key)) {
                store.put_untouched(&key, value);
            }
        });
    }

    fn put_untouched(&self, key: &str, value: Vec<u8>) {
        let is_touched = {
            let items = self.state.0.lock().expect("unpoisoned");
            items.touched.contains(key)
        };
        if !is_touched {
            self.put(key, value, 0);
        }
    }

    pub fn revision(&self) -> u64 {
        self.state.0.lock().expect("unpoisoned").revision
    }

    /// Revision of a key, and its value as text.
    pub fn get(&self, key: &str) -> Option<(u64, String)> {
        let items = self.state.0.lock().expect("unpoisoned");
        let (value, revision, _) = items.entries.get(key)?;
        Some((*revision, String::from_utf8_lossy(value).into_owned()))
    }

    pub fn remove(&self, key: &str) {
        let (items, changed) = &*self.state;
        let mut items = items.lock().expect("unpoisoned");
        items.revision += 1;
        let revision = items.revision;
        items.entries.remove(key);
        items.touched.insert(key.to_owned());
        if key == CONFIG_KEY {
            items.record_config();
        }
        items
            .history
            .push(json!({ "key": key, "revision": revision, "tombstone": true }));
        changed.notify_all();
    }

    /// Versions of the configuration that the service has held in all eras, and since when; 0 if
    /// there was none.
    pub fn config_versions(&self) -> Vec<(Instant, u64)> {
        let items = self.state.0.lock().expect("unpoisoned");
        items.config_versions.clone()
    }

    pub fn has(&self, prefix: &str) -> bool {
        let items = self.state.0.lock().expect("unpoisoned");
        items.entries.keys().any(|key| key.starts_with(prefix))
    }

    /// Whether there is a key with the prefix that is none of these.
    pub fn has_besides(&self, prefix: &str, others: &[&str]) -> bool {
        let items = self.state.0.lock().expect("unpoisoned");
        let mut keys = items.entries.keys();
        keys.any(|key| key.starts_with(prefix) && !others.contains(&&**key))
    }

    /// Number of answered renewals of the lease to which the key is attached.
    pub fn renewals(&self, key: &str) -> u32 {
        let items = self.state.0.lock().expect("unpoisoned");
        let lease = items.entries.get(key).map_or(0, |entry| entry.2);
        items.renewals.get(&lease).copied().unwrap_or_default()
    }

    fn serve(&self, mut request: Request) {
        let silent = self.silent.load(Ordering::Relaxed);
        let mut body = String::new();
        request.as_reader().read_to_string(&mut body).expect("text");
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let call = path.trim_start_matches("/mulberryrack/");
        let (status, answer, era) = if self.rejecting.load(Ordering::Relaxed) {
            (500, json!({}), self.era())
        } else if call == "kv-watch" {
            self.watch(&query)
        } else {
            let _shared = self.executing.read().expect("unpoisoned");
            let (status, answer) = self.execute(call, &query, &body);
            (status, answer, self.era())
        };
        let late = *self.late.lock().expect("unpoisoned");
        if let Some((_, delay)) = late.filter(|(text, _)| url.contains(text) || body.contains(text))
        {
            thread::sleep(delay);
        }
        if silent || self.silent.load(Ordering::Relaxed) {
            // The library would answer the request when it is dropped.
            std::mem::forget(request);
            return;
        }
        let header = format!("Store-Era: {era}").parse::<Header>();
        let mut answer = Response::from_string(answer.to_string()).with_status_code(status);
        if !self.tells_no_era.load(Ordering::Relaxed) {
            answer.add_header(header.expect("a header"));
        }
        // Fails if the host has closed the connection.
        let _ = request.respond(answer);
    }

    fn era(&self) -> u64 {
        self.state.0.lock().expect("unpoisoned").era
    }

    /// Executes any call but a watch.
    fn execute(&self, call: &str, query: &BTreeMap<&str, &str>, body: &str) -> (u16, Value) {
        let silent = self.silent.load(Ordering::Relaxed);
        match call.split('/').next() {
            Some("kv-range") => {
                let after = query.get("after").copied().unwrap_or_default();
                let is_all = query["prefix"].is_empty();
                self.listed
                    .fetch_add(usize::from(is_all), Ordering::Relaxed);
                (200, self.range(query["prefix"], after))
            }
            Some("kv-key") => self.key(query["key"]),
            Some("kv-txn") => self.transaction(&serde_json::from_str(body).expect("JSON")),
            Some("kv-lease") => {
                let mut items = self.state.0.lock().expect("unpoisoned");
                items.leases += 1;
                (200, json!({ "lease": items.leases, "ttl-ms": 3_000 }))
            }
            Some("kv-keep") => {
                let lease = call.rsplit('/').next().expect("an id");
                let mut items = self.state.0.lock().expect("unpoisoned");
                let lease = lease.parse().expect("a number");
                if lease > items.leases || items.ended_leases.contains(&lease) {
                    (404, json!({}))
                } else {
                    let renewed = u32::from(!silent);
                    *items.renewals.entry(lease).or_default() += renewed;
                    (200, json!({ "ttl-ms": 3_000 }))
                }
            }
            Some("kv-lease-end") => {
                self.end_lease(call.rsplit('/').next().expect("an id"));
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn key(&self, key: &str) -> (u16, Value) {
        let items = self.state.0.lock().expect("unpoisoned");
        let entry = items.entries.get(key);
        entry.map_or((404, json!({})), |entry| (200, item(key, entry)))
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let items = self.state.0.lock().expect("unpoisoned");
        let matching = items
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && ***key > *after);
        let mut matching: Vec<Value> = matching.map(|(key, entry)| item(key, entry)).collect();
        let page = self.page.load(Ordering::Relaxed);
        let has_more = matching.len() > page;
        if has_more {
            matching.truncate(page);
        }
        json!({ "items": matching, "has-more": has_more, "current-rev": items.revision })
    }

    fn watch(&self, query: &BTreeMap<&str, &str>) -> (u16, Value, u64) {
        let after: u64 = query["after"].parse().expect("a number");
        let wait = Duration::from_millis(query["wait-ms"].parse().expect("a number"));
        let until = Instant::now() + wait;
        let (items, changed) = &*self.state;
        let mut items = items.lock().expect("unpoisoned");
        let era = items.era;
        if after > items.revision {
            return (410, json!({}), era);
        }
        let is_newer = |event: &&Value| {
            let key = event["key"].as_str().expect("a key");
            event["revision"].as_u64() > Some(after) && key.starts_with(query["prefix"])
        };
        let has_news = |items: &Items| items.history.iter().rev().any(|event| is_newer(&event));
        while !has_news(&items) && items.era == era && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            items = changed.wait_timeout(items, left).expect("unpoisoned").0;
        }
        if items.era != era {
            return (410, json!({}), items.era);
        }
        let events: Vec<Value> = items.history.iter().filter(is_newer).cloned().collect();
        let answer = json!({ "events": events, "current-rev": items.revision });
        (200, answer, era)
    }

    fn transaction(&self, body: &Value) -> (u16, Value) {
        for condition in body["precondition"].as_array().expect("a list") {
            let key = condition["key"].as_str().expect("a key");
            let items = self.state.0.lock().expect("unpoisoned");
            let matching = items.entries.get(key);
            if condition["revision"].as_u64() != Some(matching.map_or(0, |entry| entry.1)) {
                let matching: Vec<Value> =
                    matching.map(|entry| item(key, entry)).into_iter().collect();
                return (412, json!({ "items": matching }));
            }
        }
        let leases = self.state.0.lock().expect("unpoisoned").leases;
        let is_gone = |write: &Value| write["lease"].as_u64() > Some(leases);
        if body["writes"]
            .as_array()
            .expect("a list")
            .iter()
            .any(is_gone)
        {
            return (404, json!({}));
        }
        let mut revision = 0;
        for write in body["writes"].as_array().expect("a list") {
            let value = STANDARD.decode(write["value"].as_str().expect("text"));
            let key = write["key"].as_str().expect("a key");
            let lease = write["lease"].as_u64().expect("a lease");
            revision = self.put(key, value.expect("base64"), lease);
        }
        (200, json!({ "revision": revision }))
    }

    /// Ends the lease to which the key is attached, with all its keys.
    pub fn revoke_lease_of(&self, key: &str) {
        let lease = {
            let items = self.state.0.lock().expect("unpoisoned");
            items.entries.get(key).expect("a key").2
        };
        self.end_lease(&lease.to_string());
    }

    fn end_lease(&self, lease: &str) {
        let lease: u64 = lease.parse().expect("a number");
        let keys: Vec<String> = {
            let mut items = self.state.0.lock().expect("unpoisoned");
            items.ended_leases.insert(lease);
            let held = items.entries.iter().filter(|(_, entry)| entry.2 == lease);
            held.map(|(key, _)| key.clone()).collect()
        };
        for key in &keys {
            self.remove(key);
        }
    }
}
