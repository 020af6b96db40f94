//! Measures the router's computing time per request, by number of upstreams and rows.
//!
//! `cargo run --release -p mulberryrack-route --example decision` prints a line for each
//! size: the 50th and 99th percentile in microseconds, for all inputs of a request
//! (arrival, head, chunk, end) and for the arrival alone.

use mulberryrack_core::{
    Incarnation, Name, Time,
    node::{Listing, Role},
    request::{Call, Key, Priority, Request},
    upstream::{Contact, Event, Report},
    view::{Peer, Standing, Value, View},
};
use mulberryrack_route::{Input, Output, Router, Settings};
use mulberryrack_table::{Kind, Row, Table};
use mulberryrack_wire::place;
use prost::Message;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Number of requests measured for each size.
const REQUESTS: usize = 50_000;

/// Number of requests that run at any moment.
const RUNNING: usize = 200;

/// Minimum number of rows that may be dispatched to one engine.
const ROWS_PER_ENGINE: usize = 8;

fn table(rows: usize) -> Arc<Table> {
    let row = |index: usize| Row {
        name: format!("model-{index:04}").into(),
        kind: Kind::Model,
        base: None,
        version: "v1".into(),
        memory_mb: 1,
        share: 1,
        priority: Priority::Normal,
        ceiling: 100_000,
        first_token: Duration::from_millis(500),
        token_gap: Duration::from_millis(50),
        repeatable: true,
        min_copies: 1,
        max_copies: 9,
    };
    Arc::new(Table {
        version: 1,
        change: "change".into(),
        author: "operator".into(),
        rows: (0..rows).map(row).collect(),
    })
}

fn engine(index: usize, rows: usize, upstreams: usize) -> Value {
    // Gives every row a copy, however few engines there are.
    let rows_per_engine = ROWS_PER_ENGINE.max(rows.div_ceil(upstreams));
    let residents = (0..rows_per_engine)
        .map(|step| place::Resident {
            row: format!("model-{:04}", (index * rows_per_engine + step) % rows),
            version: "v1".into(),
            routable: true,
        })
        .collect();
    let engine = place::Engine {
        address: "127.0.0.1:9".into(),
        incarnation: 1,
        data_centre: "hall".into(),
        leaving: false,
        residents,
    };
    Value {
        key: format!("engine/engine-{index}").into(),
        version: 1,
        bytes: engine.encode_to_vec().into(),
    }
}

fn view() -> Arc<View> {
    let me: Name = "host-0".into();
    Arc::new(View {
        me: me.clone(),
        peers: vec![Peer {
            name: me,
            incarnation: Incarnation(1),
            data_centre: "hall".into(),
            address: "".into(),
            peer_address: "".into(),
            standing: Standing::Alive,
        }],
    })
}

fn request(key: u64, rows: usize, now: Time) -> Request {
    let index = usize::try_from(key).expect("a small key") * 7_919 % rows;
    Request {
        key: Key(key),
        target: format!("model-{index:04}").into(),
        call: Call {
            method: "POST".into(),
            path: "/v1/completions".into(),
            headers: Arc::new([]),
            body: vec![b'x'; 2_000].into(),
        },
        idempotency: None,
        deadline: now + Duration::from_secs(60),
        prefix: (0..16).map(|block| key * 31 + block).collect(),
        prompt_tokens: 500,
        answer_tokens: 100,
    }
}

struct Bench {
    router: Router,
    out: Vec<Output>,
    sequence: u64,
}

impl Bench {
    fn new(upstreams: usize, rows: usize) -> Self {
        let now = Time::ZERO;
        let settings = Settings {
            max_requests: 1 << 20,
            retry_burst: 32.0,
            ..Settings::default()
        };
        let router = Router::new(
            settings,
            "host-0".into(),
            Incarnation(1),
            "hall".into(),
            7,
            now,
        );
        let mut bench = Self {
            router,
            out: Vec::new(),
            sequence: 0,
        };
        bench.handle(now, Input::Table(table(rows)));
        bench.handle(now, Input::View(view()));
        for index in 0..upstreams {
            bench.handle(now, Input::Value(engine(index, rows, upstreams)));
        }
        let listing = Listing {
            name: "host-0".into(),
            role: Role::Host,
            group: "".into(),
            data_centre: "hall".into(),
            address: "".into(),
            peer_address: "".into(),
            memory_mb: 0,
            accelerators: 0,
            fencing: false,
            leaving: false,
        };
        bench.handle(now, Input::Listing(Arc::new([listing])));
        bench
    }

    fn handle(&mut self, now: Time, input: Input) {
        self.router.handle(now, input, &mut self.out);
    }

    /// Wakes the router up to a moment and answers its polls.
    fn run_until(&mut self, until: Time) {
        while let Some(at) = self.router.next_wake().filter(|at| *at <= until) {
            self.handle(at, Input::Wake);
            self.answer_polls(at);
        }
    }

    fn answer_polls(&mut self, now: Time) {
        let polls: Vec<_> = self
            .out
            .drain(..)
            .filter_map(|output| match output {
                Output::Poll { upstream, .. } => Some(upstream),
                _ => None,
            })
            .collect();
        for upstream in polls {
            self.sequence += 1;
            let report = Report {
                incarnation: Incarnation(1),
                sequence: self.sequence,
                slots: 10_000,
                ..Report::default()
            };
            let contact = Contact::Report(Box::new(report));
            self.handle(now, Input::Contact { upstream, contact });
        }
    }
}

fn measure(upstreams: usize, rows: usize) {
    let mut bench = Bench::new(upstreams, rows);
    let mut now = Time::ZERO;
    let mut key = 0;
    // Requests every row once, so that its upstreams are polled and permits are lent.
    for _ in 0..rows {
        key += 1;
        bench.handle(now, Input::Arrive(request(key, rows, now)));
    }
    for _ in 0..40 {
        now = now + Duration::from_millis(100);
        bench.run_until(now);
    }
    bench.out.clear();
    let mut running = std::collections::VecDeque::new();
    let (mut totals, mut arrivals) = (Vec::new(), Vec::new());
    while totals.len() < REQUESTS {
        key += 1;
        now = now + Duration::from_micros(100);
        bench.run_until(now);
        bench.out.clear();
        let request = request(key, rows, now);
        let begin = Instant::now();
        bench.handle(now, Input::Arrive(request));
        let arrival = begin.elapsed();
        let sent = bench.out.iter().find_map(|output| match output {
            Output::Send(send) => Some(send.attempt),
            _ => None,
        });
        let attempt = sent.expect("dispatched at once");
        running.push_back((attempt, arrival));
        arrivals.push(arrival);
        if running.len() < RUNNING {
            continue;
        }
        let (attempt, arrival) = running.pop_front().expect("at least RUNNING requests");
        let events = [
            Event::Head {
                status: 200,
                headers: Arc::new([]),
            },
            Event::Chunk(vec![b'y'; 50].into()),
            Event::End,
        ];
        let begin = Instant::now();
        for event in events {
            bench.handle(now, Input::Attempt { attempt, event });
        }
        totals.push(arrival + begin.elapsed());
    }
    print(upstreams, rows, &mut totals, &mut arrivals);
}

fn print(upstreams: usize, rows: usize, totals: &mut [Duration], arrivals: &mut [Duration]) {
    totals.sort_unstable();
    arrivals.sort_unstable();
    let micros = |spans: &[Duration], share: usize| {
        let span = spans[spans.len() * share / 100];
        span.as_secs_f64() * 1e6
    };
    println!(
        "upstreams={upstreams} rows={rows} whole_p50_us={:.1} whole_p99_us={:.1} \
         arrive_p50_us={:.1} arrive_p99_us={:.1}",
        micros(totals, 50),
        micros(totals, 99),
        micros(arrivals, 50),
        micros(arrivals, 99),
    );
}

fn main() {
    for rows in [100, 860] {
        for upstreams in [12, 100, 1_000] {
            measure(upstreams, rows);
        }
    }
}
