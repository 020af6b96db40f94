//! A model engine: reports, carries out orders and streams events.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use super::{
    http::{self, Request},
    json::{Json, table},
    record::Record,
    store::Store,
};

/// What marks the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Chunks,
    /// Neither length nor chunks: the stream ends with its connection.
    Connection,
}

/// How an engine is set up.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Models in memory, without adapters at first.
    pub models: Vec<String>,
    pub adapter_slots: usize,
    /// Events of each stream, and the time between two.
    pub events: u32,
    pub gap: Duration,
    pub framing: Framing,
    /// Time for which each request runs, if the answers are no streams.
    pub plain: Option<Duration>,
    /// While the engine is faulty, it writes an earlier refusal once more on one in so many of the
    /// requests that arrive on a connection that was used before. Only where answers are no streams.
    pub extra_each: u32,
    /// Unix milliseconds.
    pub born: u64,
}

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Duration,
    pub engine: String,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

#[derive(Default)]
struct Memory {
    /// Adapters of each model.
    models: BTreeMap<String, BTreeSet<String>>,
    sequence: u64,
    beats: u64,
}

#[derive(Clone)]
pub struct Engine {
    pub setup: Setup,
    pub address: SocketAddr,
    memory: Arc<Mutex<Memory>>,
    orders: Arc<Mutex<Vec<Order>>>,
    /// Requests that were run, with the time at which they began.
    pub runs: Arc<Mutex<Vec<(Duration, String)>>>,
    /// Requests that arrived on a connection that was used before.
    reused: Arc<AtomicU32>,
    pub faulty: Arc<AtomicBool>,
    record: Record,
}

impl Engine {
    /// Starts an engine that adds the orders that it gets to `orders`.
    pub fn start(setup: Setup, orders: Arc<Mutex<Vec<Order>>>, record: &Record) -> io::Result<Self> {
        let memory: Arc<Mutex<Memory>> = Arc::default();
        for model in &setup.models {
            let mut memory = memory.lock().expect("unpoisoned");
            memory.models.insert(model.clone(), BTreeSet::new());
        }
        let engine = Self {
            setup,
            address: ([0, 0, 0, 0], 0).into(),
            memory,
            orders,
            runs: Arc::default(),
            reused: Arc::default(),
            faulty: Arc::default(),
            record: record.clone(),
        };
        let serving = engine.clone();
        let address = http::serve(move |stream| serving.serve(stream))?;
        Ok(Self { address, ..engine })
    }

    fn models_json(&self, memory: &Memory) -> Json {
        let models = memory.models.iter().map(|(name, adapters)| {
            let adapters = adapters.iter().map(|it| Json::Text(format!("{it}@1")));
            table(&[
                ("name", name.as_str().into()),
                ("version", 1.into()),
                ("adapters", adapters.collect::<Vec<_>>().into()),
            ])
        });
        models.collect::<Vec<_>>().into()
    }

    /// The entry by which the engine registers itself.
    pub fn entry(&self, state: &str) -> Json {
        let mut memory = self.memory.lock().expect("unpoisoned");
        memory.beats += 1;
        table(&[
            ("service-name", self.setup.service.as_str().into()),
            ("address", self.address.to_string().as_str().into()),
            ("zone", self.setup.zone.as_str().into()),
            ("version", "v1".into()),
            ("slot-count", 64.into()),
            ("state", state.into()),
            ("cold-remaining-ms", 0.into()),
            ("stage", "prefill_decode".into()),
            ("models", self.models_json(&memory)),
            ("sequence", memory.beats.into()),
            ("born", self.setup.born.into()),
        ])
    }

    /// Writes the entry now and then about every 1.2 s, if it has changed.
    pub fn keep_registered(&self, store: &Store) {
        let (engine, store) = (self.clone(), store.clone());
        let key = format!("servers/{}", engine.setup.id);
        store.write(&key, &engine.entry("ready"));
        thread::spawn(move || loop {
            let before = engine.memory.lock().expect("unpoisoned").sequence;
            thread::sleep(Duration::from_millis(1_200));
            if engine.memory.lock().expect("unpoisoned").sequence != before {
                store.write(&key, &engine.entry("ready"));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        let mut is_used = false;
        while let Ok(request) = http::read_request(&mut reader) {
            let keeps = self.answer(&mut stream, &request, is_used);
            if !matches!(keeps, Ok(true)) {
                return;
            }
            is_used = true;
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        is_used: bool,
    ) -> io::Result<bool> {
        let name = format!("Instance-Id: {}\r\nInstance-Load: 1,0,64\r\n", self.setup.id);
        let json = format!("{name}Content-Type: application/json\r\n");
        let target = request.header("target-instance");
        if !target.is_empty() && target != self.setup.id {
            let attempt = request.header("attempt-id");
            let head = format!("{name}Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
            return http::respond(stream, 421, &head, "").map(|()| true);
        }
        match request.path() {
            "/health" => http::respond(stream, 200, &name, "")?,
            "/mulberryrack/report" => {
                let report = self.report();
                http::respond(stream, 200, &json, &report.to_string())?;
            }
            "/mulberryrack/order" => {
                let status = self.order(request);
                http::respond(stream, status, &json, "{}")?;
            }
            _ => return self.run(stream, request, &name, is_used),
        }
        Ok(true)
    }

    fn report(&self) -> Json {
        let memory = self.memory.lock().expect("unpoisoned");
        table(&[
            ("stage", "prefill_decode".into()),
            ("models", self.models_json(&memory)),
            ("incoming", Vec::new().into()),
            ("busy", false.into()),
            ("sequence", memory.sequence.into()),
            ("queued", 0.into()),
            ("running", 1.into()),
            ("kv-used", 0.into()),
            ("kv-capacity", 100_000.into()),
            ("handles", 0.into()),
            ("born", self.setup.born.into()),
        ])
    }

    /// Carries out an order: adapters load and unload at once, orders for models are refused.
    fn order(&self, request: &Request) -> u16 {
        let order = Json::parse(&request.body).unwrap_or(Json::Null);
        let text = |name: &str| order.text(name).unwrap_or("").to_owned();
        let (holder, fence) = (text("holder"), order.number("fencing-token").unwrap_or(0));
        let mut memory = self.memory.lock().expect("unpoisoned");
        let expected = order.number("precondition");
        let (model, adapter) = (text("model"), text("adapter"));
        let slots = self.setup.adapter_slots;
        let taken: usize = memory.models.values().map(BTreeSet::len).sum();
        let sequence = memory.sequence;
        let status = match memory.models.get_mut(&model) {
            _ if holder.is_empty() || fence == 0 => 400,
            _ if expected.is_some_and(|expected| expected != sequence) => 409,
            Some(adapters) if !adapter.is_empty() => {
                if text("operation") == "load" {
                    if adapters.contains(&adapter) {
                        200
                    } else if taken >= slots {
                        409
                    } else {
                        adapters.insert(adapter.clone());
                        202
                    }
                } else {
                    adapters.remove(&adapter);
                    200
                }
            }
            _ => 400,
        };
        let unloads = status == 200 && text("operation") == "unload";
        memory.sequence += u64::from(status == 202 || unloads);
        drop(memory);
        let at = self.record.now();
        let id = &self.setup.id;
        self.record.line(&format!(
            "order engine={id} holder={holder} fence={fence} {} {model}/{adapter} answer={status}",
            text("operation"),
        ));
        let order = Order { at, engine: id.clone(), holder, fence, status };
        self.orders.lock().expect("unpoisoned").push(order);
        status
    }

    /// Runs a request: streams events, of which each holds its number.
    fn run(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        name: &str,
        is_used: bool,
    ) -> io::Result<bool> {
        let attempt = request.header("attempt-id").to_owned();
        let wanted = request.header("model").to_owned();
        let has = {
            let memory = self.memory.lock().expect("unpoisoned");
            match wanted.split_once('/') {
                Some((model, adapter)) => {
                    memory.models.get(model).is_some_and(|adapters| adapters.contains(adapter))
                }
                None => wanted.is_empty() || memory.models.contains_key(&wanted),
            }
        };
        if !has {
            let head = format!("{name}Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
            return http::respond(stream, 421, &head, "").map(|()| true);
        }
        if let Some(work) = self.setup.plain {
            let id = &self.setup.id;
            self.record.line(&format!("run engine={id} attempt={attempt}"));
            self.runs.lock().expect("unpoisoned").push((self.record.now(), attempt.clone()));
            let each = self.setup.extra_each;
            let may_be_met = is_used && each > 0 && self.faulty.load(Ordering::Relaxed);
            if may_be_met && self.reused.fetch_add(1, Ordering::Relaxed) % each == each - 1 {
                self.record.line(&format!(
                    "extra engine={id}: an earlier refusal once more, while attempt={attempt} runs"
                ));
                stream.write_all(b"HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")?;
            }
            thread::sleep(work);
            self.record.line(&format!("ran engine={id} attempt={attempt} to its end"));
            let head = format!("{name}Attempt-Id: {attempt}\r\nResponse-Signature: sig-{attempt}\r\n");
            return http::respond(stream, 200, &head, &format!("done {attempt}")).map(|()| true);
        }
        let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
        let id = &self.setup.id;
        self.record.line(&format!("run engine={id} attempt={attempt} after={after}"));
        let by_chunks = self.setup.framing == Framing::Chunks;
        let framing = if by_chunks { "Transfer-Encoding: chunked\r\n" } else { "Connection: close\r\n" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{name}Attempt-Id: {attempt}\r\nResponse-Signature: sig-{attempt}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.setup.events {
            thread::sleep(self.setup.gap);
            let event = event(&attempt, number);
            let text = if by_chunks { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
            stream.write_all(text.as_bytes())?;
        }
        self.record.line(&format!("ran engine={id} attempt={attempt} to its end"));
        if by_chunks {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(by_chunks)
    }
}

/// An event of a stream.
pub fn event(attempt: &str, number: u32) -> String {
    format!("id: {number}\ndata: {attempt}-{number}\n\n")
}
