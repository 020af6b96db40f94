//! How answers end: what an upstream broke off must not reach its caller as complete, and what
//! is complete must. Hosts are processes of the binary.

#[path = "answer_ends/ending.rs"]
mod ending;
#[path = "answer_ends/engine.rs"]
mod engine;
#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[path = "answer_ends/receive.rs"]
mod receive;
#[allow(dead_code)]
#[path = "site/store.rs"]
mod store;
#[path = "answer_ends/store_link.rs"]
mod store_link;
#[allow(dead_code)]
#[path = "site/upstream.rs"]
mod upstream;
#[path = "site/wire.rs"]
mod wire;

use engine::{EVENTS, End, Framing, LineEnd, Script, events};
use host::Host;
use receive::Answer;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};
use store::Store;
use store_link::StoreLink;
use upstream::Upstream;
use wire::{MODEL, config, entry};

/// HTTP versions that callers speak.
const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];

/// Bounds that allow each request a retry.
const MANY_RETRIES: &str = "retry_share = 1\nretry_extra = 10000\n";

static ATTEMPTS: AtomicU32 = AtomicU32::new(0);

/// A host with two engines and two replicas of a plain service.
struct Site {
    host: Host,
    upstreams: Vec<Upstream>,
}

impl Site {
    fn start() -> Self {
        let store = Store::start();
        store.write("op/config", &config(1, "desk"));
        let upstreams: Vec<Upstream> = (0..4)
            .map(|_| Upstream::start(engine::answer_and_stay))
            .collect();
        for (index, upstream) in upstreams.iter().enumerate() {
            let service = ["llm", "desk"][index / 2];
            let key = format!("servers/{service}{index}");
            store.write(&key, &entry(service, upstream.address, "ready"));
        }
        let address = store.address;
        Self {
            host: Host::start_bounded(store, address, MANY_RETRIES),
            upstreams,
        }
    }

    /// Sends a request and returns its answer with the number of dispatches.
    fn send(&self, version: &str, path: &str, script: Script) -> (Answer, usize) {
        let answer = send(self.host.callers, version, path, script);
        let received = self
            .upstreams
            .iter()
            .map(|it| it.requests.try_iter().count());
        (answer, received.sum())
    }
}

/// Whether a path is answered with an event stream.
fn is_stream(path: &str) -> bool {
    path == "/draft/" || path == "/note/" || path.ends_with("?stream")
}

fn send(host: SocketAddr, version: &str, path: &str, mut script: Script) -> Answer {
    let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let model = if is_stream(path) { MODEL } else { "" };
    if !is_stream(path) {
        script.media_type = "text/plain";
    }
    let text = format!(
        "POST {path} {version}\r\nHost: shop.example\r\nAttempt-Id: a{attempt}\r\n\
         Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: 8\r\n{model}{}\r\n{attempt:08}",
        script.headers()
    );
    receive::exchange(host, &text)
}

/// Sends a request to a host whose upstreams end with the first answer. Returns the answer with
/// the number of dispatches.
fn send_to_ending(path: &str, script: Script) -> (Answer, u32) {
    let store = Store::start();
    store.write("op/config", &config(1, "desk"));
    let received = Arc::default();
    for name in ["one", "two"] {
        for service in ["llm", "desk"] {
            ending::start(&store, service, &format!("{service}-{name}"), &received);
        }
    }
    let host = Host::start_with(store);
    let answer = send(host.callers, "HTTP/1.1", path, script);
    (answer, received.load(Ordering::Relaxed))
}

fn is_whole_stream(answer: &Answer, line_end: LineEnd) -> bool {
    answer.status == 200 && answer.is_complete && answer.body == events(1, EVENTS, line_end)
}

/// Whether a caller would take the answer for a success that is complete.
fn looks_complete(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_complete
}

#[test]
fn a_stream_that_ends_inside_an_event_is_resumed_and_never_passed_as_complete() {
    let site = Site::start();
    for framing in Framing::ALL {
        for end in [
            End::InsideEvent,
            End::InsideFirstEvent,
            End::BeforeBlankLine,
        ] {
            for version in VERSIONS {
                let script = Script::new(framing, end);
                let (answer, dispatches) = site.send(version, "/draft/", script);
                let is_whole = is_whole_stream(&answer, LineEnd::Newline);
                assert!(is_whole, "{version} {script:?}: {answer:?}");
                assert_eq!(dispatches, 2, "{version} {script:?}");
            }
        }
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_and_may_not_be_resumed_stays_incomplete() {
    let site = Site::start();
    for framing in Framing::ALL {
        for end in [
            End::InsideEvent,
            End::InsideFirstEvent,
            End::BeforeBlankLine,
        ] {
            for media_type in ["text/event-stream", "text/event-stream; charset=utf-8", ""] {
                let script = Script {
                    media_type,
                    ..Script::new(framing, end)
                };
                let (answer, dispatches) = site.send("HTTP/1.1", "/note/", script);
                assert!(!looks_complete(&answer), "{script:?}: {answer:?}");
                assert_eq!(dispatches, 1, "{script:?}");
            }
        }
    }
}

#[test]
fn an_event_stream_of_a_plain_service_that_ends_inside_an_event_is_broken_off() {
    let site = Site::start();
    for framing in Framing::ALL {
        let script = Script::new(framing, End::InsideEvent);
        let (answer, dispatches) = site.send("HTTP/1.1", "/look/?stream", script);
        let is_whole = is_whole_stream(&answer, LineEnd::Newline);
        assert!(is_whole, "{script:?}: {answer:?}");
        assert_eq!(dispatches, 2, "{script:?}");
        let (answer, _) = site.send("HTTP/1.1", "/book/?stream", script);
        assert!(!looks_complete(&answer), "{script:?}: {answer:?}");
    }
}

#[test]
fn an_empty_stream_that_ends_with_its_connection_is_not_passed_as_complete() {
    let site = Site::start();
    for framing in Framing::BY_CONNECTION {
        let script = Script::new(framing, End::Empty);
        let (answer, dispatches) = site.send("HTTP/1.1", "/draft/", script);
        assert!(
            is_whole_stream(&answer, LineEnd::Newline),
            "{script:?}: {answer:?}"
        );
        assert_eq!(dispatches, 2, "{script:?}");
        let (answer, _) = site.send("HTTP/1.1", "/note/", script);
        assert!(!looks_complete(&answer), "{script:?}: {answer:?}");
    }
}

#[test]
fn a_caller_without_chunks_does_not_take_a_broken_stream_for_complete() {
    let site = Site::start();
    for framing in Framing::ALL {
        for end in [End::InsideEvent, End::Reset] {
            let script = Script::new(framing, end);
            let (answer, _) = site.send("HTTP/1.0", "/note/", script);
            assert!(!looks_complete(&answer), "{script:?}: {answer:?}");
        }
    }
}

#[test]
fn an_answer_that_is_reset_is_not_passed_as_complete() {
    let site = Site::start();
    for framing in Framing::BY_CONNECTION {
        let script = Script::new(framing, End::Reset);
        for version in VERSIONS {
            let (answer, _) = site.send(version, "/draft/", script);
            let is_whole = is_whole_stream(&answer, LineEnd::Newline);
            assert!(is_whole, "{version} {script:?}: {answer:?}");
            let (answer, _) = site.send(version, "/look/", script);
            assert!(
                looks_complete(&answer) && answer.body == "whole",
                "{version} {script:?}: {answer:?}"
            );
            let (answer, _) = site.send(version, "/book/", script);
            assert!(!looks_complete(&answer), "{version} {script:?}: {answer:?}");
        }
    }
    let script = Script::new(Framing::Connection, End::Reset);
    let (answer, _) = site.send("HTTP/1.1", "/note/", script);
    assert!(!looks_complete(&answer), "{script:?}: {answer:?}");
}

#[test]
fn a_broken_stream_of_an_upstream_without_chunks_is_not_passed_as_complete() {
    let site = Site::start();
    for end in [End::InsideEvent, End::Reset] {
        let script = Script::new(Framing::OldConnection, end);
        let (answer, _) = site.send("HTTP/1.1", "/note/", script);
        assert!(!looks_complete(&answer), "{script:?}: {answer:?}");
    }
}

#[test]
fn a_whole_answer_is_complete_whatever_marks_its_end() {
    let site = Site::start();
    for framing in Framing::ALL {
        for version in VERSIONS {
            let script = Script::new(framing, End::Whole);
            for path in ["/look/", "/book/"] {
                let (answer, dispatches) = site.send(version, path, script);
                assert!(
                    looks_complete(&answer) && answer.body == "whole",
                    "{version} {path} {script:?}: {answer:?}"
                );
                assert_eq!(dispatches, 1, "{version} {path} {script:?}");
            }
        }
    }
}

#[test]
fn a_whole_stream_is_complete_whatever_marks_its_end_and_ends_its_lines() {
    let site = Site::start();
    for framing in Framing::ALL {
        for line_end in LineEnd::ALL {
            for version in VERSIONS {
                let script = Script {
                    line_end,
                    ..Script::new(framing, End::Whole)
                };
                let (answer, dispatches) = site.send(version, "/note/", script);
                let is_whole = is_whole_stream(&answer, line_end);
                assert!(is_whole, "{version} {script:?}: {answer:?}");
                assert_eq!(dispatches, 1, "{version} {script:?}");
            }
        }
    }
}

#[test]
fn a_stream_may_end_with_a_comment() {
    let site = Site::start();
    for framing in Framing::ALL {
        let script = Script::new(framing, End::Comment);
        let (answer, _) = site.send("HTTP/1.1", "/note/", script);
        let body = events(1, EVENTS, LineEnd::Newline) + ": done\n";
        assert!(
            looks_complete(&answer) && answer.body == body,
            "{script:?}: {answer:?}"
        );
    }
}

#[test]
fn an_answer_of_another_media_type_on_a_streaming_route_is_complete_as_framed() {
    let site = Site::start();
    for framing in Framing::ALL {
        let script = Script {
            media_type: "application/json",
            ..Script::new(framing, End::BeforeBlankLine)
        };
        let (answer, dispatches) = site.send("HTTP/1.1", "/note/", script);
        assert!(looks_complete(&answer), "{script:?}: {answer:?}");
        assert_eq!(dispatches, 1, "{script:?}");
    }
}

#[test]
fn a_resumed_stream_may_have_no_event_left() {
    let site = Site::start();
    for framing in Framing::ALL {
        let script = Script {
            resumed_after: EVENTS,
            ..Script::new(framing, End::Whole)
        };
        let (answer, _) = site.send("HTTP/1.1", "/note/", script);
        assert!(
            looks_complete(&answer) && answer.body.is_empty(),
            "{script:?}: {answer:?}"
        );
    }
    let count = Framing::ALL.len();
    site.host
        .wait_until(|host| host.logged("ending=Inconclusive") == count);
}

#[test]
fn an_empty_stream_whose_framing_names_its_end_is_complete() {
    let site = Site::start();
    for framing in [Framing::Length, Framing::Chunks] {
        let script = Script::new(framing, End::Empty);
        let (answer, _) = site.send("HTTP/1.1", "/note/", script);
        assert!(
            looks_complete(&answer) && answer.body.is_empty(),
            "{script:?}: {answer:?}"
        );
    }
}

#[test]
fn an_answer_that_ends_with_its_connection_in_a_crash_is_not_passed_as_complete() {
    for framing in Framing::BY_CONNECTION {
        let script = Script::new(framing, End::BetweenEvents);
        let (answer, dispatches) = send_to_ending("/draft/", script);
        assert!(
            is_whole_stream(&answer, LineEnd::Newline),
            "{script:?}: {answer:?}"
        );
        assert_eq!(dispatches, 2, "{script:?}");
        for path in ["/note/", "/book/"] {
            let (answer, dispatches) = send_to_ending(path, script);
            assert!(!looks_complete(&answer), "{path} {script:?}: {answer:?}");
            assert_eq!(dispatches, 1, "{path} {script:?}");
        }
    }
}

#[test]
fn the_last_answer_of_an_upstream_that_leaves_is_complete() {
    for framing in Framing::ALL {
        let script = Script {
            says_leaving: true,
            ..Script::new(framing, End::Whole)
        };
        for path in ["/note/", "/book/"] {
            let (answer, dispatches) = send_to_ending(path, script);
            assert!(looks_complete(&answer), "{path} {script:?}: {answer:?}");
            assert_eq!(dispatches, 1, "{path} {script:?}");
        }
    }
}

#[test]
fn answers_of_the_key_value_service_that_were_broken_off_change_nothing() {
    let store = Store::start();
    store.write("op/config", &config(1, "desk"));
    let desk = Upstream::start(engine::answer_and_stay);
    store.write("servers/desk", &entry("desk", desk.address, "ready"));
    let link = StoreLink::open(store.address);
    let host = Host::start_at(store, link.address);
    let script = Script::new(Framing::Length, End::Whole);
    let is_served = || looks_complete(&send(host.callers, "HTTP/1.1", "/look/", script));
    assert!(is_served(), "whole answers without a length are read");
    link.breaks_off.store(true, Ordering::Relaxed);
    host.store.write("op/config", &config(2, "nobody"));
    host.wait_until(|host| host.logged("event=store-lost") > 0);
    assert!(is_served(), "the configuration before is in force");
    assert_eq!(host.logged("event=upstream-gone"), 0);
    link.breaks_off.store(false, Ordering::Relaxed);
    host.wait_until(|host| host.logged("event=config version=2") == 1);
    assert!(
        !is_served(),
        "the service of the new configuration has no upstream"
    );
}

#[test]
fn a_request_that_is_broken_off_inside_its_body_is_not_dispatched() {
    let site = Site::start();
    for framing in [
        "Content-Length: 9\r\n\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
    ] {
        let mut stream = TcpStream::connect(site.host.callers).expect("a listener");
        let text = format!(
            "POST /look/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: torn\r\n\
             Deadline-Ms: 2500\r\nConnection: close\r\n{framing}"
        );
        stream.write_all(text.as_bytes()).expect("a connection");
        stream.shutdown(Shutdown::Write).expect("a connection");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(!answer.contains(" 200 "), "{answer}");
    }
    for upstream in &site.upstreams {
        assert_eq!(upstream.seen().len(), 0);
    }
}
