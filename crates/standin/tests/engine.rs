//! Tests of the simulated engine in virtual time.

use bytes::Bytes;
use mulberryrack_core::{
    Incarnation, Name, Time,
    completion::{Completion, PATH},
    hash::PREFIX_BLOCK_BYTES,
    request::Call,
    upstream::{Action, Contact, Fault, Order, Report},
};
use mulberryrack_standin::{
    answer::{self, Defect},
    engine::{Engine, Input, Output, Settings, Ticket},
    run::{POISON, repeated_keys},
};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};

const TOKENS: u32 = 20;

/// What the engine sent in one exchange, and when.
#[derive(Debug, Default)]
struct Exchange {
    status: Option<u16>,
    first: Option<Time>,
    body: Vec<u8>,
    end: Option<Time>,
    fault: Option<Fault>,
    contact: Option<Contact>,
}

/// An engine, the current time and the engine's outputs so far.
struct Harness {
    engine: Engine,
    now: Time,
    exchanges: BTreeMap<Ticket, Exchange>,
    events: Vec<Output>,
}

impl Harness {
    fn new(settings: Settings) -> Self {
        Self {
            engine: Engine::new(settings, Incarnation(1)),
            now: Time::ZERO,
            exchanges: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// An engine on which version `v1` of row `m` is ready.
    fn ready(settings: Settings) -> Self {
        let mut harness = Self::new(settings);
        harness.order(900, &load(900, 0));
        harness.input(Input::Fetched {
            row: "m".into(),
            incarnation: Incarnation(1),
        });
        harness
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.engine.handle(self.now, input, &mut out);
        for output in out {
            self.note(output);
        }
    }

    fn note(&mut self, output: Output) {
        let now = self.now;
        match output {
            Output::Head { ticket, status, .. } => self.exchange_mut(ticket).status = Some(status),
            Output::Chunk { ticket, bytes } => {
                let exchange = self.exchange_mut(ticket);
                exchange.first.get_or_insert(now);
                exchange.body.extend(bytes);
            }
            Output::End { ticket } => self.exchange_mut(ticket).end = Some(now),
            Output::Fault { ticket, fault } => self.exchange_mut(ticket).fault = Some(fault),
            Output::Contact { ticket, contact } => {
                self.exchange_mut(ticket).contact = Some(contact);
            }
            event => self.events.push(event),
        }
    }

    /// Advances the time to `end` and wakes the engine whenever it asks for it.
    fn run(&mut self, end: Time) {
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.input(Input::Wake);
        }
        self.now = self.now.max(end);
    }

    fn call(&mut self, ticket: u64, stream: &str, priority: &str, call: &Call) {
        let headers: [(Name, Name); 3] = [
            ("x-stream-id".into(), stream.into()),
            ("x-priority".into(), priority.into()),
            ("idempotency-key".into(), format!("key-{stream}").into()),
        ];
        let call = Call {
            headers: headers.into(),
            ..call.clone()
        };
        self.input(Input::Call {
            ticket: Ticket(ticket),
            call,
        });
    }

    fn order(&mut self, ticket: u64, order: &Order) {
        self.input(Input::Order {
            ticket: Ticket(ticket),
            order: order.clone(),
        });
    }

    fn report(&mut self, ticket: u64) -> Report {
        self.input(Input::Report(Ticket(ticket)));
        match self.exchanges[&Ticket(ticket)].contact.clone() {
            Some(Contact::Report(report)) => *report,
            other => panic!("expected a report, got {other:?}"),
        }
    }

    fn exchange_mut(&mut self, ticket: Ticket) -> &mut Exchange {
        self.exchanges.entry(ticket).or_default()
    }

    fn exchange(&self, ticket: u64) -> &Exchange {
        &self.exchanges[&Ticket(ticket)]
    }
}

fn load(id: u64, fence: u64) -> Order {
    Order {
        id,
        fence,
        action: Action::Load {
            row: "m".into(),
            version: "v1".into(),
            memory_mb: 24_000,
            base: None,
        },
    }
}

fn call(prompt: &str) -> Call {
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": TOKENS, "stream": true});
    Call {
        method: "POST".into(),
        path: PATH.into(),
        headers: [].into(),
        body: body.to_string().into(),
    }
}

fn check(call: &Call, body: &[u8]) -> Result<Name, Defect> {
    answer::check(&Completion::read(&call.path, &call.body).unwrap(), body)
}

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn the_check_accepts_only_the_complete_answer_to_the_same_request() {
    let mut harness = Harness::ready(Settings::default());
    let (one, other) = (call("one"), call("other"));
    harness.call(1, "s1", "normal", &one);
    harness.call(2, "s2", "normal", &other);
    harness.run(millis(5_000));
    let body = &harness.exchange(1).body;
    assert_eq!(check(&one, body).as_deref(), Ok("v1"));
    assert_eq!(
        check(&other, &harness.exchange(2).body).as_deref(),
        Ok("v1")
    );
    assert_eq!(check(&other, body), Err(Defect::Foreign));
    assert_eq!(
        check(&one, &body[..body.len() - 20]),
        Err(Defect::Truncated)
    );
    let text = std::str::from_utf8(body).unwrap();
    let mut events: Vec<&str> = text.split_inclusive("\n\n").collect();
    events.remove(3);
    assert_eq!(
        check(&one, events.concat().as_bytes()),
        Err(Defect::OutOfSequence)
    );
    assert!(repeated_keys(&harness.engine.runs).is_empty());
    assert_eq!(harness.engine.runs.len(), 2);
}

#[test]
fn unstreamed_answers_pass_the_check_on_both_completion_paths() {
    let mut harness = Harness::ready(Settings::default());
    let bodies = [
        json!({"model": "m", "prompt": "p", "max_tokens": 3}),
        json!({"model": "m", "messages": [{"role": "user", "content": "p"}]}),
    ];
    let paths = [PATH, mulberryrack_core::completion::CHAT_PATH];
    for (ticket, (body, path)) in (1..).zip(bodies.iter().zip(paths)) {
        let call = Call {
            path: path.into(),
            body: Bytes::from(body.to_string()),
            ..call("")
        };
        harness.call(ticket, path, "normal", &call);
        harness.run(harness.now + Duration::from_secs(5));
        assert_eq!(
            check(&call, &harness.exchange(ticket).body).as_deref(),
            Ok("v1")
        );
    }
}

#[test]
fn a_larger_batch_slows_each_stream_but_raises_throughput() {
    let time_for = |streams: u64| {
        let mut harness = Harness::ready(Settings::default());
        for stream in 1..=streams {
            harness.call(stream, &format!("s{stream}"), "normal", &call("p"));
        }
        harness.run(millis(60_000));
        let ends = (1..=streams).map(|stream| harness.exchange(stream).end.unwrap());
        ends.max().unwrap().as_micros()
    };
    let (alone, many) = (time_for(1), time_for(32));
    assert!(many > 2 * alone, "{many} against {alone}");
    assert!(many < 8 * alone, "{many} against {alone}");
}

#[test]
fn cached_blocks_shorten_the_time_to_first_token_until_evicted() {
    let settings = Settings {
        cache_blocks: 20,
        ..Settings::default()
    };
    let mut harness = Harness::ready(settings);
    let mut first = |ticket: u64, prompt: &str| {
        let start = harness.now;
        harness.call(ticket, &format!("s{ticket}"), "normal", &call(prompt));
        harness.run(start + Duration::from_secs(10));
        harness.exchange(ticket).first.unwrap() - start
    };
    let long = "a".repeat(16 * PREFIX_BLOCK_BYTES);
    let cold = first(1, &long);
    let warm = first(2, &long);
    assert!(warm + 15 * Settings::default().prefill_block <= cold);
    first(3, &"b".repeat(16 * PREFIX_BLOCK_BYTES));
    let evicted = first(4, &long);
    assert!(evicted > warm, "{evicted:?} against {warm:?}");
}

#[test]
fn urgent_requests_leave_the_queue_first() {
    let settings = Settings {
        slots: 1,
        queue: 2,
        ..Settings::default()
    };
    let mut harness = Harness::ready(settings);
    harness.call(1, "running", "bulk", &call("p"));
    harness.call(2, "bulk", "bulk", &call("p"));
    harness.call(3, "urgent", "urgent", &call("p"));
    harness.call(4, "over", "urgent", &call("p"));
    assert_eq!(harness.exchange(4).status, Some(503));
    harness.run(millis(60_000));
    assert!(harness.exchange(3).end < harness.exchange(2).end);
    assert_eq!(harness.engine.runs.len(), 3);
}

#[test]
fn a_silent_stream_is_resumed_with_every_byte_once() {
    let mut harness = Harness::ready(Settings::default());
    let call = call("p");
    harness.call(1, "s", "normal", &call);
    harness.run(millis(120));
    harness.input(Input::Silence);
    harness.run(millis(200));
    let seen = harness.exchange(1).body.clone();
    assert!(!seen.is_empty() && harness.exchange(1).end.is_none());
    let resume = |stream: &str, offset: usize, ticket| Input::Resume {
        ticket: Ticket(ticket),
        stream: stream.into(),
        offset: offset as u64,
    };
    harness.input(resume("s", seen.len(), 2));
    harness.input(resume("s", 1 << 20, 3));
    harness.input(resume("unknown", 0, 4));
    harness.run(millis(2_000));
    assert!(harness.exchange(1).end.is_none());
    let whole = [seen, harness.exchange(2).body.clone()].concat();
    assert_eq!(check(&call, &whole).as_deref(), Ok("v1"));
    assert_eq!(harness.exchange(3).status, Some(416));
    assert_eq!(harness.exchange(4).status, Some(404));
    harness.input(resume("s", 0, 5));
    assert_eq!(harness.exchange(5).body, whole);
    harness.run(millis(60_000));
    harness.input(resume("s", 0, 6));
    assert_eq!(harness.exchange(6).status, Some(404));
}

#[test]
fn a_cancelled_stream_frees_its_slot() {
    let settings = Settings {
        slots: 1,
        ..Settings::default()
    };
    let mut harness = Harness::ready(settings);
    harness.call(1, "one", "normal", &call("p"));
    harness.call(2, "two", "normal", &call("p"));
    harness.call(3, "three", "normal", &call("p"));
    for (ticket, stream) in [(11, "two"), (12, "two"), (13, "one")] {
        harness.input(Input::Cancel {
            ticket: Ticket(ticket),
            stream: stream.into(),
        });
    }
    assert_eq!(harness.exchange(11).status, Some(200));
    assert_eq!(harness.exchange(12).status, Some(404));
    harness.run(millis(5_000));
    assert!(harness.exchange(3).end.is_some());
    let ran: Vec<&str> = harness.engine.runs.iter().map(|run| &*run.stream).collect();
    assert_eq!(ran, ["one", "three"]);
}

#[test]
fn a_poison_request_crashes_the_engine_which_restarts_empty() {
    let mut harness = Harness::ready(Settings::default());
    harness.call(1, "innocent", "normal", &call("p"));
    harness.call(2, "poison", "normal", &call(POISON));
    // The crash comes when the second stream is admitted, after the first prompt is read.
    harness.run(millis(100));
    assert_eq!(harness.exchange(1).fault, Some(Fault::Broken));
    assert_eq!(harness.exchange(2).fault, Some(Fault::Broken));
    assert_eq!(
        (harness.engine.is_down(), harness.engine.crashes),
        (true, 1)
    );
    harness.call(3, "down", "normal", &call("p"));
    assert_eq!(harness.exchange(3).fault, Some(Fault::NotSent));
    harness.run(millis(6_000));
    let report = harness.report(4);
    assert_eq!(report.incarnation, Incarnation(2));
    assert!(report.residents.is_empty());
    harness.call(5, "again", "normal", &call("p"));
    assert_eq!(harness.exchange(5).status, Some(404));
    assert_eq!(harness.engine.runs.len(), 2);
}

#[test]
fn a_hung_engine_sends_nothing_and_continues_when_released() {
    let mut harness = Harness::ready(Settings::default());
    harness.call(1, "s", "normal", &call("p"));
    harness.run(millis(100));
    let before = harness.exchange(1).body.len();
    harness.input(Input::Hang(true));
    harness.input(Input::Report(Ticket(2)));
    harness.run(millis(5_000));
    assert!(!harness.exchanges.contains_key(&Ticket(2)));
    assert_eq!(harness.exchange(1).body.len(), before);
    harness.input(Input::Hang(false));
    harness.run(millis(8_000));
    assert!(harness.exchange(1).end.is_some());
}

#[test]
fn orders_are_fenced_lost_or_delayed() {
    let mut harness = Harness::new(Settings::default());
    harness.input(Input::LoseOrders(2));
    harness.order(1, &load(1, 5));
    assert!(matches!(harness.events[..], [Output::Fetch { .. }]));
    let unload = |id, fence| Order {
        id,
        fence,
        action: Action::Unload {
            row: "m".into(),
            version: "v1".into(),
        },
    };
    harness.order(2, &unload(2, 5));
    assert!(!harness.exchanges.contains_key(&Ticket(2)));
    assert_eq!(harness.engine.memory().used_mb(), 24_000);
    harness.order(3, &unload(3, 4));
    assert_eq!(harness.exchange(3).contact, Some(Contact::Fenced));
    harness.input(Input::LoseOrders(0));
    harness.input(Input::DelayOrders(Some(Duration::from_secs(9))));
    harness.order(4, &unload(4, 5));
    harness.run(millis(8_999));
    assert_eq!(harness.engine.memory().used_mb(), 24_000);
    harness.run(millis(9_000));
    assert_eq!(harness.engine.memory().used_mb(), 0);
    assert!(!harness.exchanges.contains_key(&Ticket(4)));
}

#[test]
fn an_unload_waits_for_running_requests_and_a_leaving_engine_refuses_new_ones() {
    let mut harness = Harness::ready(Settings::default());
    harness.call(1, "s", "normal", &call("p"));
    harness.input(Input::SetLeaving(true));
    harness.call(2, "t", "normal", &call("p"));
    assert_eq!(harness.exchange(2).status, Some(503));
    harness.order(
        3,
        &Order {
            id: 3,
            fence: 0,
            action: Action::Unload {
                row: "m".into(),
                version: "v1".into(),
            },
        },
    );
    assert_eq!(harness.engine.memory().used_mb(), 24_000);
    harness.run(millis(5_000));
    assert!(harness.exchange(1).end.is_some());
    assert_eq!(harness.engine.memory().used_mb(), 0);
}

#[test]
fn reports_lag_and_omit_lost_cache_events() {
    let mut harness = Harness::ready(Settings::default());
    harness.run(millis(2_000));
    harness.report(1);
    harness.run(millis(3_000));
    let prompt = "a".repeat(14 * PREFIX_BLOCK_BYTES);
    harness.call(2, "s", "normal", &call(&prompt));
    harness.run(millis(3_200));
    let early = harness.report(3);
    assert_eq!((early.running, early.cached.len()), (0, 0));
    assert_eq!(early.residents.len(), 1);
    harness.run(millis(4_500));
    let late = harness.report(4);
    assert_eq!(late.cached.len(), 12);
    assert!(late.sequence > early.sequence && late.age_ms >= 500);
}

#[test]
fn an_exported_cache_shortens_the_time_to_first_token_on_the_importing_engine() {
    let mut one = Harness::ready(Settings::default());
    let prompt = "a".repeat(16 * PREFIX_BLOCK_BYTES);
    one.call(1, "s", "normal", &call(&prompt));
    one.run(millis(3_000));
    one.order(
        2,
        &Order {
            id: 2,
            fence: 0,
            action: Action::Export {
                row: "m".into(),
                to: "127.0.0.1:9".into(),
            },
        },
    );
    let Some(Output::Export {
        row,
        version,
        blocks,
        ..
    }) = one.events.pop()
    else {
        panic!("nothing was exported");
    };
    let mut other = Harness::ready(Settings::default());
    other.input(Input::Import {
        row,
        version,
        blocks,
    });
    other.call(1, "s", "normal", &call(&prompt));
    other.run(millis(3_000));
    assert!(other.exchange(1).first.unwrap() < millis(50));
}
