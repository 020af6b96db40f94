//! A stand-in for the platform's key-value service: items, leases that expire, conditional writes
//! and watches, as PROTOCOL.md has them. Values stay in their base64 form.

use crate::{http, json::Json};
use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key, revision and item of each change; no item if the key was removed.
    history: Vec<(String, u64, Option<Item>)>,
    next_lease: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((key.to_owned(), revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let was_there = self.leases.remove(&lease).is_some();
        let held = self
            .items
            .iter()
            .filter(|it| it.1.lease == lease && lease != 0);
        let keys: Vec<String> = held.map(|it| it.0.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        was_there
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|it| it.1.1 <= now);
        let over: Vec<u64> = over.map(|it| *it.0).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn item_text(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let mut state = State {
            revision: 10,
            next_lease: 100,
            ..State::default()
        };
        state.history.clear();
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.change(State::expire);
            }
        });
        store
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.0.lock().expect("unpoisoned");
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            self.state.1.notify_all();
        }
        result
    }

    /// Writes an item as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.change(|state| state.put(key, value, 0));
    }

    pub fn remove(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    fn serve(&self, stream: std::net::TcpStream) {
        let _set = stream.set_nodelay(true);
        let mut stream = http::Stream::new(stream);
        while let Ok(Some(request)) = http::read(&mut stream, false) {
            let (status, body) = self.handle(&request);
            let headers = "Content-Type: application/json\r\n";
            if http::answer(&mut stream, &status.to_string(), headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message) -> (u16, String) {
        let path = request.path().split('?').next().unwrap_or_default();
        let call = path.strip_prefix("/mulberryrack/").unwrap_or_default();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let id = || {
            call.rsplit('/')
                .next()
                .and_then(|it| it.parse::<u64>().ok())
        };
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        match (request.method(), call.split('/').next().unwrap_or_default()) {
            ("GET", "kv-key") => self.change(|state| {
                let key = request.query("key").unwrap_or_default();
                let found = state.items.get(&key);
                found.map_or((404, "{}".to_owned()), |it| (200, item_text(&key, it)))
            }),
            ("GET", "kv-range") => self.change(|state| {
                let fits = |it: &(&String, &Item)| it.0.starts_with(&prefix) && *it.0 > after;
                let all: Vec<_> = state.items.iter().filter(fits).collect();
                let page = all.iter().take(400);
                let items: Vec<String> = page.map(|it| item_text(it.0, it.1)).collect();
                let (items, more, at) = (items.join(","), all.len() > 400, state.revision);
                let text =
                    format!("{{\"items\":[{items}],\"has-more\":{more},\"current-rev\":{at}}}");
                (200, text)
            }),
            ("GET", "kv-watch") => {
                let wait = request.query("wait-ms").and_then(|it| it.parse().ok());
                let after = after.parse().unwrap_or(0);
                self.watch(&prefix, after, Duration::from_millis(wait.unwrap_or(0)))
            }
            ("POST", "kv-txn") => self.change(|state| transact(state, &body)),
            ("POST", "kv-lease") => self.change(|state| {
                let ttl_ms = body.get("ttl-ms").and_then(Json::number).unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl_ms}}}"))
            }),
            ("POST", "kv-keep") => self.change(|state| {
                let lease = id().and_then(|id| state.leases.get_mut(&id));
                lease.map_or((404, "{}".to_owned()), |(ttl, until)| {
                    *until = Instant::now() + *ttl;
                    (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
                })
            }),
            ("DELETE", "kv-lease-end") => self.change(|state| {
                let was_there = id().is_some_and(|id| state.end_lease(id));
                (if was_there { 200 } else { 404 }, "{}".to_owned())
            }),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("unpoisoned");
        loop {
            let news = state.history.iter().filter(|it| it.1 > after);
            let news = news.filter(|it| it.0.starts_with(prefix));
            let mut events = String::new();
            for (key, revision, item) in news {
                let separator = if events.is_empty() { "" } else { "," };
                let text = item.as_ref().map_or_else(
                    || format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
                    |item| item_text(key, item),
                );
                let _written = write!(events, "{separator}{text}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{events}],\"current-rev\":{at}}}"),
                );
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .expect("unpoisoned")
                .0;
        }
    }
}

fn transact(state: &mut State, body: &Json) -> (u16, String) {
    let text = |it: &Json, key: &str| it.get(key).and_then(Json::text).unwrap_or("").to_owned();
    let number = |it: &Json, key: &str| it.get(key).and_then(Json::number).unwrap_or(0);
    let list = |key: &str| {
        body.get(key)
            .map(|it| it.list().to_vec())
            .unwrap_or_default()
    };
    let conditions = list("precondition");
    let holds = |row: &Json| {
        let found = state.items.get(&text(row, "key"));
        found.map_or(0, |it| it.revision) == number(row, "revision")
    };
    if !conditions.iter().all(holds) {
        let keys = conditions.iter().map(|row| text(row, "key"));
        let found = keys.filter_map(|key| state.items.get(&key).map(|it| item_text(&key, it)));
        let items: Vec<String> = found.collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let writes = list("writes");
    let is_lease =
        |row: &Json| number(row, "lease") == 0 || state.leases.contains_key(&number(row, "lease"));
    if !writes.iter().all(is_lease) {
        return (404, "{}".to_owned());
    }
    for row in &writes {
        state.put(&text(row, "key"), text(row, "value"), number(row, "lease"));
    }
    for key in list("remove") {
        state.remove(key.text().unwrap_or_default());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
