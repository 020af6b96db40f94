//! Stand-ins for the cases of this review: the platform's store, engines and clients, and the
//! helpers that start the project's own program. Only the standard library is used.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

#[path = "cases.rs"]
mod cases;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.first().map(String::as_str) {
        Some("engine") => engine_process(&arguments[1..]),
        Some("case") => std::panic::catch_unwind(|| cases::run(&arguments[1], &arguments[2])).unwrap_or(2),
        _ => 2,
    };
    std::process::exit(code);
}

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Runs a task on a thread with a small stack, as there are thousands of connections.
pub fn spawn<T: Send + 'static>(task: impl FnOnce() -> T + Send + 'static) -> thread::JoinHandle<T> {
    thread::Builder::new().stack_size(256 << 10).spawn(task).expect("a thread")
}

// ---------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.trim_start();
        Self::value(&mut rest)
    }

    fn value(rest: &mut &str) -> Option<Json> {
        *rest = rest.trim_start();
        let first = rest.chars().next()?;
        match first {
            '{' | '[' => {
                let close = if first == '{' { '}' } else { ']' };
                *rest = rest[1..].trim_start();
                let (mut list, mut table) = (Vec::new(), Vec::new());
                while !rest.starts_with(close) {
                    if first == '{' {
                        let key = Self::text(rest)?;
                        *rest = rest.trim_start().strip_prefix(':')?;
                        table.push((key, Self::value(rest)?));
                    } else {
                        list.push(Self::value(rest)?);
                    }
                    *rest = rest.trim_start();
                    if let Some(after) = rest.strip_prefix(',') {
                        *rest = after.trim_start();
                    } else if !rest.starts_with(close) {
                        return None;
                    }
                }
                *rest = &rest[1..];
                Some(if first == '{' { Json::Table(table) } else { Json::List(list) })
            }
            '"' => Self::text(rest).map(Json::Text),
            't' | 'f' | 'n' => {
                for (word, value) in [("true", Json::Bool(true)), ("false", Json::Bool(false)), ("null", Json::Null)] {
                    if let Some(after) = rest.strip_prefix(word) {
                        *rest = after;
                        return Some(value);
                    }
                }
                None
            }
            _ => {
                let end = rest.find(|c: char| !"+-.eE0123456789".contains(c)).unwrap_or(rest.len());
                let number = rest[..end].parse().ok()?;
                *rest = &rest[end..];
                Some(Json::Number(number))
            }
        }
    }

    fn text(rest: &mut &str) -> Option<String> {
        let mut out = String::new();
        let mut chars = rest.strip_prefix('"')?.char_indices();
        let base = 1;
        while let Some((at, c)) = chars.next() {
            match c {
                '"' => {
                    *rest = &rest[base + at + 1..];
                    return Some(out);
                }
                '\\' => match chars.next()?.1 {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'u' => {
                        let hex: String = (0..4).filter_map(|_| chars.next().map(|it| it.1)).collect();
                        out.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?).unwrap_or('?'));
                    }
                    other => out.push(other),
                },
                other => out.push(other),
            }
        }
        None
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(entries) => entries.iter().find(|it| it.0 == key).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }

    pub fn string(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(BASE64[(word >> (18 - 6 * index) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn decode(text: &str) -> Vec<u8> {
    let (mut out, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(value) = BASE64.iter().position(|it| *it == byte) else {
            continue;
        };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let (mut out, bytes, mut at) = (Vec::new(), text.as_bytes(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------------------------------- HTTP

pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut fields = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Head {
            first: first.trim_end().to_owned(),
            fields,
        }))
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|it| it.contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.field("content-length")?.parse().ok()
    }
}

pub struct Request {
    pub method: String,
    pub target: String,
    pub head: Head,
    pub body: Vec<u8>,
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(head) = Head::read(reader)? else { return Ok(None) };
    let mut body = Vec::new();
    if head.is_chunked() {
        read_chunks(reader, |bytes| body.extend_from_slice(bytes))?;
    } else {
        body.resize(head.length().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    let mut words = head.first.split(' ');
    let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
    Ok(Some(Request {
        method,
        target,
        head,
        body,
    }))
}

/// Reads a chunked body. Fails if it ends before its last chunk.
fn read_chunks(reader: &mut impl BufRead, mut take: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        take(&chunk[..size]);
    }
}

/// Serves connections, each on a thread, until the process ends.
pub fn serve(listener: TcpListener, answer: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let (mut reader, mut stream) = (BufReader::new(reading), stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !answer(&request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &str) -> io::Result<bool> {
    let text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{fields}\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    Ok(true)
}

// --------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as it was written; `None` if it was removed.
    log: Vec<(u64, String, Option<Item>)>,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.items.iter().filter(|it| it.1.lease == lease).map(|it| it.0.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// The platform's key-value service.
pub struct Store {
    pub address: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
    next_lease: AtomicU64,
    /// Era that answers name; 0 names none.
    era: AtomicU64,
    is_down: Mutex<bool>,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let content = Content {
            revision: 100,
            ..Content::default()
        };
        let store = Arc::new(Store {
            address: listener.local_addr().expect("an address"),
            content: Mutex::new(content),
            changed: Condvar::new(),
            next_lease: AtomicU64::new(1_000),
            era: AtomicU64::new(0),
            is_down: Mutex::new(false),
        });
        let serving = store.clone();
        serve(listener, move |request, stream| serving.answer(request, stream));
        let expiring = store.clone();
        spawn(move || {
            loop {
                thread::sleep(ms(20));
                let mut content = expiring.content.lock().expect("unpoisoned");
                let now = Instant::now();
                let ended: Vec<u64> = content.leases.iter().filter(|it| it.1.1 <= now).map(|it| *it.0).collect();
                for lease in ended {
                    content.end_lease(lease);
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.content.lock().expect("unpoisoned").put(key, value.into(), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.content.lock().expect("unpoisoned").remove(key);
        self.changed.notify_all();
    }

    /// Whether an entry below a prefix contains a text.
    pub fn mentions(&self, prefix: &str, text: &str) -> bool {
        let content = self.content.lock().expect("unpoisoned");
        let mut items = content.items.iter().filter(|it| it.0.starts_with(prefix));
        items.any(|it| String::from_utf8_lossy(&it.1.value).contains(text))
    }

    pub fn has(&self, prefix: &str) -> usize {
        let content = self.content.lock().expect("unpoisoned");
        content.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    pub fn set_era(&self, era: u64) {
        self.era.store(era, Ordering::SeqCst);
    }

    pub fn set_down(&self, is_down: bool) {
        *self.is_down.lock().expect("unpoisoned") = is_down;
        self.changed.notify_all();
    }

    /// A copy of all that is in the service now.
    pub fn copy(&self) -> Copy {
        Copy(self.content.lock().expect("unpoisoned").clone())
    }

    /// Comes back from an older copy: what was written since is gone, leases too.
    pub fn restore(&self, copy: Copy) {
        let mut content = self.content.lock().expect("unpoisoned");
        *content = copy.0;
        let now = Instant::now();
        for (ttl, end) in content.leases.values_mut() {
            *end = now + *ttl;
        }
        self.era.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if *self.is_down.lock().expect("unpoisoned") {
            return Ok(false);
        }
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let parameter = |name: &str| {
            let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            unescape(found.unwrap_or(""))
        };
        let path = path.strip_prefix("/mulberryrack/").unwrap_or(path);
        let (name, argument) = path.split_once('/').unwrap_or((path, ""));
        let (status, body) = match name {
            // The way on which engines and the operator write.
            "write" => {
                self.put(&parameter("key"), &String::from_utf8_lossy(&request.body));
                (200, "{}".to_owned())
            }
            "kv-key" => self.key(&parameter("key")),
            "kv-range" => self.range(&parameter("prefix"), &parameter("after")),
            "kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("wait-ms").parse().unwrap_or(0);
                self.watch(&parameter("prefix"), after, ms(wait))
            }
            "kv-txn" => self.transact(&Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null)),
            "kv-lease" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let ttl = body.number("ttl-ms").clamp(1_000, 600_000);
                let lease = self.next_lease.fetch_add(1, Ordering::SeqCst);
                let mut content = self.content.lock().expect("unpoisoned");
                content.leases.insert(lease, (ms(ttl), Instant::now() + ms(ttl)));
                (200, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
            }
            "kv-keep" => {
                let mut content = self.content.lock().expect("unpoisoned");
                match content.leases.get_mut(&argument.parse().unwrap_or(0)) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "kv-lease-end" => {
                let lease = argument.parse().unwrap_or(0);
                let mut content = self.content.lock().expect("unpoisoned");
                let is_known = content.leases.contains_key(&lease);
                content.end_lease(lease);
                drop(content);
                self.changed.notify_all();
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        if *self.is_down.lock().expect("unpoisoned") {
            return Ok(false);
        }
        let era = self.era.load(Ordering::SeqCst);
        let era = if era > 0 { format!("Store-Era: {era}\r\n") } else { String::new() };
        respond(stream, status, &format!("Content-Type: application/json\r\n{era}"), &body)
    }

    fn key(&self, key: &str) -> (u16, String) {
        let content = self.content.lock().expect("unpoisoned");
        match content.items.get(key) {
            Some(item) => {
                let json = item_json(key, item);
                (200, format!("{},\"current-rev\":{}}}", &json[..json.len() - 1], content.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let content = self.content.lock().expect("unpoisoned");
        let found = content.items.iter().filter(|it| it.0.starts_with(prefix) && it.0.as_str() > after);
        let mut items: Vec<String> = found.take(501).map(|it| item_json(it.0, it.1)).collect();
        let has_more = items.len() > 500;
        items.truncate(500);
        let body = format!(
            "{{\"items\":[{}],\"has-more\":{has_more},\"current-rev\":{}}}",
            items.join(","),
            content.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let era = self.era.load(Ordering::SeqCst);
        let mut content = self.content.lock().expect("unpoisoned");
        loop {
            if after > content.revision || self.era.load(Ordering::SeqCst) != era {
                return (410, "{}".to_owned());
            }
            let news = content.log.iter().filter(|it| it.0 > after && it.1.starts_with(prefix));
            let events: Vec<String> = news
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end || *self.is_down.lock().expect("unpoisoned") {
                return (
                    200,
                    format!("{{\"events\":[{}],\"current-rev\":{}}}", events.join(","), content.revision),
                );
            }
            content = self.changed.wait_timeout(content, end - now).expect("unpoisoned").0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut content = self.content.lock().expect("unpoisoned");
        let rows = body.list("precondition");
        let revision_of = |content: &Content, key: &str| content.items.get(key).map_or(0, |it| it.revision);
        if rows
            .iter()
            .any(|row| revision_of(&content, &row.string("key")) != row.number("revision"))
        {
            let found = rows.iter().filter_map(|row| {
                let key = row.string("key");
                content.items.get(&key).map(|item| item_json(&key, item))
            });
            return (412, format!("{{\"items\":[{}]}}", found.collect::<Vec<_>>().join(",")));
        }
        let writes = body.list("writes");
        let is_unknown = |it: &Json| it.number("lease") != 0 && !content.leases.contains_key(&it.number("lease"));
        if writes.iter().any(is_unknown) {
            return (404, "{}".to_owned());
        }
        if writes
            .iter()
            .any(|it| it.string("key").starts_with("op/") || it.string("key").starts_with("servers/"))
        {
            return (403, "{}".to_owned());
        }
        for write in writes {
            content.put(&write.string("key"), decode(&write.string("value")), write.number("lease"));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                content.remove(&key);
            }
        }
        let revision = content.revision;
        drop(content);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

/// An older copy of the service.
pub struct Copy(Content);

// -------------------------------------------------------------------------------------- engine

/// Requests that an engine processes at once, and that wait besides.
const SLOTS: u64 = 64;
const QUEUE: u64 = 134;

fn option(arguments: &[String], name: &str) -> Option<String> {
    let at = arguments.iter().position(|it| it == name)?;
    arguments.get(at + 1).cloned()
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis()
}

#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub id: String,
    pub service: String,
    /// Time to the first event, and between two.
    pub first_ms: u64,
    pub gap_ms: u64,
    pub events: u64,
    /// Whether a stream ends with its connection, else it comes in chunks.
    pub is_unframed: bool,
    /// Id of the part of a prompt on which the engine crashes when it begins to write.
    pub crashes_on: String,
}

/// Runs an engine until the process is killed. It writes its entry every 1.2 s and tells on its
/// standard output what it runs. A line `drain MS` on its standard input is the notice that it will
/// be taken away.
fn engine_process(arguments: &[String]) -> i32 {
    let number = |name: &str| option(arguments, name).and_then(|it| it.parse().ok()).unwrap_or(0);
    let options = EngineOptions {
        id: option(arguments, "--id").expect("an id"),
        service: option(arguments, "--service").expect("a service"),
        first_ms: number("--first-ms"),
        gap_ms: number("--gap-ms"),
        events: number("--events"),
        is_unframed: arguments.iter().any(|it| it == "--unframed"),
        crashes_on: option(arguments, "--crashes-on").unwrap_or_default(),
    };
    let store: SocketAddr = option(arguments, "--store").and_then(|it| it.parse().ok()).expect("an address");
    let port = option(arguments, "--port").unwrap_or("0".into());
    let listener = TcpListener::bind(format!("127.0.0.1:{port}")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let remaining = Arc::new(Mutex::new(None::<u64>));
    let running = Arc::new(AtomicU64::new(0));
    let memory = Arc::new(Mutex::new(Memory {
        models: vec!["m".to_owned()],
        orders: 0,
        is_busy: false,
    }));
    let (serving, leaving, serving_memory) = (options.clone(), remaining.clone(), memory.clone());
    serve(listener, move |request, stream| {
        let is_leaving = leaving.lock().expect("unpoisoned").is_some();
        let now_running = running.fetch_add(1, Ordering::SeqCst) + 1;
        let result = engine_answer(&serving, &serving_memory, is_leaving, now_running, request, stream);
        running.fetch_sub(1, Ordering::SeqCst);
        result
    });
    let beat_memory = memory.clone();
    let beat = move |options: &EngineOptions, sequence: u64, remaining: Option<u64>, born: u128| {
        let models = beat_memory.lock().expect("unpoisoned").json();
        let (state, remaining) = match remaining {
            Some(left) => ("draining", format!(",\"remaining-ms\":{left}")),
            None => ("ready", String::new()),
        };
        let entry = format!(
            "{{\"service-name\":\"{}\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"version\":\"v1\",\
             \"slot-count\":64,\"state\":\"{state}\",\"cold-remaining-ms\":0{remaining},\"sequence\":{sequence},\
             \"born\":{born},\"models\":{models}}}",
            options.service
        );
        let text = format!(
            "POST /mulberryrack/write?key=servers/{} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{entry}",
            options.id,
            entry.len()
        );
        if let Ok(mut stream) = TcpStream::connect(store) {
            let _ = stream.write_all(text.as_bytes());
            let _ = stream.read(&mut [0; 256]);
        }
    };
    let born = unix_ms();
    beat(&options, 1, None, born);
    println!("ready {address}");
    let sequence = Arc::new(AtomicU64::new(1));
    let (beating, beating_remaining, beating_sequence, beating_beat) = (options.clone(), remaining.clone(), sequence.clone(), beat.clone());
    spawn(move || {
        loop {
            thread::sleep(ms(1_200));
            let remaining = *beating_remaining.lock().expect("unpoisoned");
            beating_beat(&beating, beating_sequence.fetch_add(1, Ordering::SeqCst) + 1, remaining, born);
        }
    });
    for line in io::stdin().lines().map_while(Result::ok) {
        if let Some(left) = line.strip_prefix("drain ") {
            let left = left.parse().unwrap_or(0);
            *remaining.lock().expect("unpoisoned") = Some(left);
            beat(&options, sequence.fetch_add(1, Ordering::SeqCst) + 1, Some(left), born);
            println!("draining");
        }
    }
    0
}

/// What an engine has in memory.
struct Memory {
    models: Vec<String>,
    /// Orders that were accepted.
    orders: u64,
    is_busy: bool,
}

impl Memory {
    fn json(&self) -> String {
        let models = self
            .models
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"));
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }
}

/// Time that a load of a model takes.
const LOAD_MS: u64 = 3_800;

/// Takes an order. Returns the status of the answer.
fn take_order(memory: &Arc<Mutex<Memory>>, order: &Json) -> u16 {
    let mut held = memory.lock().expect("unpoisoned");
    let (operation, model) = (order.string("operation"), order.string("model"));
    if order.get("holder").is_none() || order.get("fencing-token").is_none() || order.get("adapter").is_some() {
        return 400;
    }
    let is_present = held.models.contains(&model);
    if order.get("precondition").is_some() && order.number("precondition") != held.orders || held.is_busy {
        return 409;
    }
    if (operation == "load") == is_present {
        return 200;
    }
    held.orders += 1;
    held.is_busy = true;
    let memory = memory.clone();
    spawn(move || {
        let is_load = operation == "load";
        thread::sleep(ms(if is_load { LOAD_MS } else { 50 }));
        let mut held = memory.lock().expect("unpoisoned");
        held.is_busy = false;
        if is_load {
            held.models.push(model);
        } else {
            held.models.retain(|it| *it != model);
        }
    });
    202
}

fn engine_answer(
    options: &EngineOptions,
    memory: &Arc<Mutex<Memory>>,
    is_leaving: bool,
    running: u64,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let leaving = if is_leaving {
        "Server-Leaving: 1\r\nConnection: close\r\n"
    } else {
        ""
    };
    let (busy, waiting) = (running.min(SLOTS), running.saturating_sub(SLOTS));
    let common = format!(
        "Instance-Load: {busy},{waiting},{SLOTS}\r\nInstance-Id: {}\r\n{leaving}",
        options.id
    );
    if let Some(target) = request.head.field("target-instance") {
        if target != options.id {
            return respond(stream, 421, &common, "");
        }
    }
    if request.target == "/health" {
        return respond(stream, if is_leaving { 503 } else { 200 }, &common, "");
    }
    if request.target == "/mulberryrack/report" {
        let held = memory.lock().expect("unpoisoned");
        let body = format!(
            "{{\"stage\":\"prefill_decode\",\"models\":{},\"busy\":{},\"sequence\":{},\"queued\":{waiting},\
             \"running\":{busy},\"kv-used\":0,\"kv-capacity\":269690,\"handles\":0}}",
            held.json(),
            held.is_busy,
            held.orders
        );
        drop(held);
        return respond(stream, 200, &common, &body);
    }
    if request.target == "/mulberryrack/order" {
        let order = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let status = take_order(memory, &order);
        println!("order {status} {}", String::from_utf8_lossy(&request.body));
        return respond(stream, status, &common, "");
    }
    if let Some(model) = request.head.field("model") {
        if !memory.lock().expect("unpoisoned").models.iter().any(|it| it == model) {
            return respond(stream, 421, &common, "");
        }
    }
    let id = request.head.field("attempt-id").unwrap_or("-").to_owned();
    if running > SLOTS + QUEUE {
        return respond(stream, 503, &format!("{common}Attempt-Id: {id}\r\nNot-Executed: 1\r\n"), "");
    }
    let common = format!("{common}Attempt-Id: {id}\r\nResponse-Signature: s.{}.{id}\r\n", options.id);
    println!("run {id} tenant={}", request.head.field("tenant").unwrap_or("-"));
    if options.events == 0 {
        thread::sleep(ms(options.first_ms));
        return respond(stream, 200, &common, "the whole body");
    }
    let first: u64 = request.head.field("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    thread::sleep(ms(options.first_ms));
    let prompt = request.head.field("prompt-prefix").unwrap_or("");
    let mut parts = prompt.split(',').filter_map(|part| part.split(':').next());
    if !options.crashes_on.is_empty() && parts.any(|part| part == options.crashes_on) {
        println!("crash {id}");
        io::stdout().flush()?;
        std::process::abort();
    }
    let framing = if options.is_unframed {
        "Connection: close\r\n"
    } else {
        "Transfer-Encoding: chunked\r\n"
    };
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{common}{framing}\r\n"
    )?;
    for number in first + 1..=options.events {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        if options.is_unframed {
            stream.write_all(event.as_bytes())?;
        } else {
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        println!("event {id} {number}");
        if number < options.events {
            thread::sleep(ms(options.gap_ms));
        }
    }
    println!("end {id}");
    if options.is_unframed {
        return Ok(false);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(!is_leaving)
}

/// An engine in a process of its own.
pub struct Engine {
    pub id: String,
    pub port: String,
    child: Child,
    input: ChildStdin,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    pub fn start(store: &Store, options: &EngineOptions) -> Engine {
        Self::start_at(store, options, "0")
    }

    /// Starts the engine at a port, `0` for a free one.
    pub fn start_at(store: &Store, options: &EngineOptions, port: &str) -> Engine {
        let program = std::env::current_exe().expect("a program");
        let mut command = Command::new(program);
        command
            .args(["engine", "--id", &options.id, "--service", &options.service])
            .args(["--store", &store.address.to_string()])
            .args(["--first-ms", &options.first_ms.to_string()])
            .args(["--gap-ms", &options.gap_ms.to_string()])
            .args(["--events", &options.events.to_string()])
            .args(["--crashes-on", &options.crashes_on, "--port", port]);
        if options.is_unframed {
            command.arg("--unframed");
        }
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (output, kept) = (child.stdout.take().expect("a pipe"), lines.clone());
        spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                kept.lock().expect("unpoisoned").push(line);
            }
        });
        let input = child.stdin.take().expect("a pipe");
        let mut engine = Engine {
            id: options.id.clone(),
            port: String::new(),
            child,
            input,
            lines,
        };
        wait_until("engine", || !engine.lines("ready ").is_empty());
        engine.port = engine.lines("ready ")[0].rsplit(':').next().unwrap_or("0").to_owned();
        engine
    }

    /// What the engine has told that begins so.
    pub fn lines(&self, start: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("unpoisoned");
        lines.iter().filter(|line| line.starts_with(start)).cloned().collect()
    }

    /// Gives notice that the engine is taken away after so many milliseconds.
    pub fn drain(&mut self, left: u64) {
        let _ = writeln!(self.input, "drain {left}");
        wait_until("notice", || !self.lines("draining").is_empty());
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + ms(20_000);
    while !condition() {
        if Instant::now() > end {
            // The processes that were started end as their owners are dropped.
            panic!("gave up waiting for: {what}");
        }
        thread::sleep(ms(10));
    }
}

// ---------------------------------------------------------------------------------------- host

/// A process of the project, started as the deploy file says.
pub struct Host {
    pub name: String,
    settings: String,
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

/// The settings that the template `deploy/host.ini` gives, with free ports on a loopback address.
pub fn settings(name: &str, store: &Store, memory_mb: u32, descriptors: u32, bounds: &str) -> String {
    format!(
        "[host]\nname = {name}\ndata_centre = hall-a\nip = 127.0.0.1\ncaller_address = 127.0.0.1:0\n\
         readiness_address = 127.0.0.1:0\ndirectory_address = 127.0.0.1:0\npeer_port = 0\nmetrics_port = 0\n\
         descriptors = {descriptors}\ncores = 0.25\nmemory_mb = {memory_mb}\n\n[store]\naddress = {}\nlease_min_ms = 1000\n\n\
         [bounds]\ngrace_s = 8\nconfig_ms = 2000\ndrain_ms = 2000\nretry_share = 0.2\nretry_extra = 56\n\
         retry_window_s = 10\norder_lease_ms = 3000\nload_window_s = 5\naddress_ttl_s = 5\n{bounds}\n\
         [balance]\nrule = stated\n\n[log]\nlevel = info\n",
        store.address
    )
}

impl Host {
    pub fn start(dir: &str, name: &str, settings: &str) -> Host {
        let path = format!("{dir}/{name}.ini");
        fs::write(&path, settings).expect("a file");
        let (child, lines) = Self::spawn(&path);
        let mut host = Host {
            name: name.to_owned(),
            settings: path,
            child,
            callers: ([127, 0, 0, 1], 0).into(),
            readiness: ([127, 0, 0, 1], 0).into(),
            lines,
        };
        host.wait();
        host
    }

    fn spawn(path: &str) -> (Child, Arc<Mutex<Vec<String>>>) {
        let mut child = Command::new("target/release/mulberryrackd")
            .arg("site")
            .env_clear()
            .env("MULBERRYRACK_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("target/release/mulberryrackd");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (output, kept) = (child.stdout.take().expect("a pipe"), lines.clone());
        spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                kept.lock().expect("unpoisoned").push(line);
            }
        });
        (child, lines)
    }

    fn wait(&mut self) {
        wait_until("host", || !self.logged("event=started").is_empty());
        let started = self.logged("event=started").remove(0);
        let address = |key: &str| {
            let field = started.split(' ').find_map(|field| field.strip_prefix(key));
            field.and_then(|it| it.parse().ok()).expect("an address")
        };
        (self.callers, self.readiness) = (address("callers="), address("readiness="));
        let readiness = self.readiness;
        wait_until("readiness", || is_ready(readiness));
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.kill();
        (self.child, self.lines) = Self::spawn(&self.settings);
        self.wait();
    }

    pub fn logged(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("unpoisoned");
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }

    /// Memory of the process in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|it| it.trim().trim_end_matches(" kB").trim().parse().ok())
            .unwrap_or(0)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let text = "GET /mulberryrack/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    call(address, text, ms(1_000)).is_some_and(|it| it.status == 200)
}

// -------------------------------------------------------------------------------------- client

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub attempt: String,
    pub is_signed: bool,
    /// Whether the answer came to the end that its framing announces.
    pub is_complete: bool,
    pub body: String,
}

impl Answer {
    /// Number of the last event of a stream.
    pub fn last_event(&self) -> u64 {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).last().unwrap_or(0)
    }
}

/// Sends a request on a connection of its own and reads the answer to its end. `None` without a head.
pub fn call(address: SocketAddr, text: &str, patience: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let head = Head::read(reader).ok()??;
    let mut body = Vec::new();
    let is_complete = if head.is_chunked() {
        read_chunks(reader, |bytes| body.extend_from_slice(bytes)).is_ok()
    } else {
        body.resize(head.length().unwrap_or(0), 0);
        reader.read_exact(&mut body).is_ok()
    };
    Some(Answer {
        status: head.first.split(' ').nth(1)?.parse().ok()?,
        attempt: head.field("attempt-id").unwrap_or("-").to_owned(),
        is_signed: head.field("response-signature").is_some(),
        is_complete,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Models besides the busy one, which all engines have at the start.
pub const RARE_MODELS: usize = 20;

/// A configuration with one route of each kind.
///
/// `weights_mb` is the memory of an engine for weights; a model takes 65,100.
pub fn config(version: u64, weights_mb: u32, extra: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, resumable: bool, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"shop.example\",\"prefix\":\"/{name}/\",\"route-kind\":\"{kind}\",\
             \"timeout-ms\":10000,\"target-latency-ms\":5000,\"priority\":1,\"service-name\":\"{service}\",\
             \"max-attempts\":{attempts},\"sticky-sessions\":true,\"resumable\":{resumable},\"target-gap-ms\":600}}"
        )
    };
    let routes = [
        route("draft", "streaming", "llm", true, 2),
        route("nudge", "streaming", "llm", false, 1),
        route("cart", "non_idempotent", "desk", false, 1),
        route("ship", "idempotent", "desk", false, 2),
    ];
    let rare = (0..RARE_MODELS)
        .map(|index| format!("{{\"name\":\"rare{index}\",\"weights-mb\":65100,\"load-time-s\":3.8,\"adapters\":0,\"adapter-mb\":12.0}}"));
    let rare = rare.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\"health-path\":\"/health\",\
         \"max-connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slot-count\":64,\
         \"kv-cache-tokens\":269690,\"kv-token-bytes\":163840,\"stride\":5,\"maximum\":12,\
         \"models\":[{{\"name\":\"m\",\"weights-mb\":65100,\"load-time-s\":3.8,\"adapters\":0,\"adapter-mb\":12.0}},\
         {rare}],\
         \"weights-mb\":{weights_mb},\"adapter-slot-count\":8,\"loads-per-s\":1.4}}}},{{\"name\":\"desk\",\
         \"health-path\":\"/health\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}{extra}}}",
        routes.join(",")
    )
}

/// Writes lines for the record of a case.
pub struct Record(Mutex<fs::File>, Instant);

impl Record {
    pub fn open(path: &str) -> Arc<Record> {
        Arc::new(Record(Mutex::new(fs::File::create(path).expect("record.txt")), Instant::now()))
    }

    pub fn line(&self, text: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.lock().expect("unpoisoned"), "{at:8.3} {text}");
    }
}
