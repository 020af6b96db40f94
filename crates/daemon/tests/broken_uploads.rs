//! An upstream that answers a long upload at once, without a length, and resets the connection while the
//! upload is still being written; and one whose answer has a status that is none.

#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[allow(dead_code)]
#[path = "answer_ends/receive.rs"]
mod receive;
#[allow(dead_code)]
#[path = "site/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "site/upstream.rs"]
mod upstream;
#[allow(dead_code)]
#[path = "site/wire.rs"]
mod wire;

use host::Host;
use receive::Answer;
use serde_json::json;
use socket2::SockRef;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};
use store::Store;
use wire::{MODEL, config, entry};

/// The routes: at most once, idempotent, a stream that may be resumed and one that may not.
const ROUTES: [&str; 4] = ["/book/", "/look/", "/draft/", "/note/"];
/// Framings of the answer that is broken off.
const FRAMINGS: [&str; 4] = ["none", "old", "length", "chunks"];
/// Bytes of the upload: within one segment, within the buffers of the sockets, and beyond them.
const UPLOADS: [usize; 3] = [100, 60_000, 8 << 20];
/// Bytes of the answer before the reset: none, whole events, and more than a buffer.
const PARTS: [usize; 3] = [0, 4, 4_000];
const PAUSE: Duration = Duration::from_millis(40);
const EARLY: usize = 20;

/// Bytes that are not of the upload that was answered early, and uploads that were read to their ends.
static OTHER_BYTES: AtomicUsize = AtomicUsize::new(0);
static READ: AtomicUsize = AtomicUsize::new(0);

/// How an upstream deals with a request.
#[derive(Clone, Copy, Debug)]
struct Script {
    framing: &'static str,
    /// Events, or lines of a plain answer, before the reset.
    part: usize,
    /// Whether the upstream reads a part of the upload before it answers.
    reads: bool,
}

/// Starts an upstream that answers each request by the script in its headers.
fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(mut stream: TcpStream) {
    let Some(head) = read_head(&mut stream) else {
        return;
    };
    let header = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        values.next().map_or("", |(_, value)| value)
    };
    let id = header("attempt-id");
    if id.is_empty() {
        // A health check or an order: there is nothing to tell.
        let _ = stream.write_all(b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n");
        return;
    }
    if header("x-early") == "true" {
        let length = header("content-length").parse().expect("a number");
        answer_early(&mut stream, id, length);
        return serve(stream);
    }
    if header("x-reads") == "true" {
        let _ = stream.read(&mut [0; 4_096]);
    }
    let status = match header("x-status") {
        "" => "200",
        status => status,
    };
    let is_stream = head.contains(" /draft/") || head.contains(" /note/");
    let media_type = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let version = if header("x-framing") == "old" {
        "1.0"
    } else {
        "1.1"
    };
    let framing = match header("x-framing") {
        "length" => "Content-Length: 10000000\r\n",
        "chunks" => "Transfer-Encoding: chunked\r\n",
        _ => "",
    };
    let mut answer = format!(
        "HTTP/{version} {status} x\r\nAttempt-Id: {id}\r\nResponse-Signature: sig\r\n\
         Content-Type: {media_type}\r\n{framing}\r\n"
    );
    let count: u32 = header("x-part").parse().expect("a number");
    let body = upstream::events(1, count);
    answer += &match header("x-framing") {
        "chunks" if !body.is_empty() => upstream::chunk(&body),
        _ => body,
    };
    let _ = stream.write_all(answer.as_bytes());
    // What was sent is read before the reset.
    thread::sleep(PAUSE);
    // Fails if the host has closed the connection.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Answers before the upload is read, keeps the connection, and reads on later.
fn answer_early(stream: &mut TcpStream, id: &str, length: u64) {
    let answer = format!(
        "HTTP/1.1 200 x\r\nAttempt-Id: {id}\r\nResponse-Signature: sig\r\n\
         Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nearly"
    );
    let _ = stream.write_all(answer.as_bytes());
    thread::sleep(10 * PAUSE);
    let mut upload = Vec::new();
    // Fails if the host has closed the connection.
    let _ = Read::take(&mut *stream, length).read_to_end(&mut upload);
    let others = upload.iter().filter(|byte| **byte != b'x').count();
    OTHER_BYTES.fetch_add(others, Ordering::Relaxed);
    READ.fetch_add(1, Ordering::Relaxed);
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        (stream.read(&mut byte).ok()? == 1).then_some(())?;
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).ok()
}

/// A host with two upstreams for each service, whose configuration takes large uploads.
fn site() -> Host {
    let store = Store::start();
    let mut config = config(1, "desk");
    config["limits"]["max-body-bytes"] = json!(16 << 20);
    config["limits"]["idle-timeout-ms"] = json!(10_000);
    for route in config["routes"].as_array_mut().expect("a list") {
        route["timeout-ms"] = json!(10_000);
    }
    store.write("op/config", &config);
    for (index, service) in ["llm", "desk", "llm", "desk"].iter().enumerate() {
        store.write(
            &format!("servers/s{index}"),
            &entry(service, start(), "ready"),
        );
    }
    let address = store.address;
    Host::start_bounded(store, address, "retry_share = 1\nretry_extra = 10000\n")
}

/// Uploads a body in two halves with a pause between, or at once.
fn upload(host: SocketAddr, path: &str, script: Script, bytes: usize, is_slow: bool) -> Answer {
    let Script {
        framing,
        part,
        reads,
    } = script;
    let model = if path == "/draft/" || path == "/note/" {
        MODEL
    } else {
        ""
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a{path}{framing}{part}{bytes}{reads}{is_slow}\r\n\
         Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: {bytes}\r\n{model}\
         X-Framing: {framing}\r\nX-Part: {part}\r\nX-Reads: {reads}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(host).expect("a listener");
    let writer = stream.try_clone().expect("a socket");
    let writing = thread::spawn(move || {
        let (mut stream, half) = (writer, bytes / 2);
        let body = vec![b'x'; bytes];
        // Fails if the host has answered and closed the connection.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&body[..half]);
        if is_slow {
            thread::sleep(PAUSE);
        }
        let _ = stream.write_all(&body[half..]);
    });
    let answer = receive::read(&mut stream);
    writing.join().expect("no thread fails");
    answer
}

#[test]
fn an_answer_that_is_reset_while_its_upload_is_written_never_looks_complete() {
    let host = site();
    thread::scope(|scope| {
        for path in ROUTES {
            for framing in FRAMINGS {
                let callers = host.callers;
                scope.spawn(move || break_off(callers, path, framing));
            }
        }
    });
}

/// Uploads bodies of all sizes for answers that are broken off, and checks that none looks complete.
fn break_off(host: SocketAddr, path: &str, framing: &'static str) {
    for bytes in UPLOADS {
        for part in PARTS {
            for (reads, is_slow) in [(false, false), (true, false), (false, true)] {
                let script = Script {
                    framing,
                    part,
                    reads,
                };
                let answer = upload(host, path, script, bytes, is_slow);
                let looks_complete = answer.status == 200 && answer.is_complete;
                let got = answer.body.len();
                assert!(
                    !looks_complete,
                    "{path} {script:?} {bytes} {is_slow}: {got}"
                );
            }
        }
    }
}

#[test]
fn an_answer_whose_status_is_none_reaches_no_caller() {
    let host = site();
    for path in ROUTES {
        for status in ["000", "099", "20", "2000", "2x0", "101"] {
            for framing in ["none", "old", "length", "chunks"] {
                let model = if path == "/draft/" || path == "/note/" {
                    MODEL
                } else {
                    ""
                };
                let request = format!(
                    "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: b{path}{status}{framing}\r\n\
                     Deadline-Ms: 1000\r\nConnection: close\r\nContent-Length: 1\r\n{model}\
                     X-Framing: {framing}\r\nX-Part: 4\r\nX-Status: {status}\r\n\r\nx"
                );
                let answer = receive::exchange(host.callers, &request);
                let is_own = matches!(answer.status, 502..=504);
                assert!(is_own, "{path} {status} {framing}: {answer:?}");
            }
        }
    }
}

#[test]
fn nothing_else_is_sent_where_the_rest_of_an_early_answered_upload_is_due() {
    let host = site();
    for number in 0..EARLY {
        let bytes = UPLOADS[number % UPLOADS.len()];
        let request = format!(
            "POST /book/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: c{number}\r\n\
             Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: {bytes}\r\n\
             X-Early: true\r\n\r\n{}",
            "x".repeat(bytes)
        );
        let answer = receive::exchange(host.callers, &request);
        assert_eq!((answer.status, &*answer.body), (200, "early"), "{number}");
    }
    while READ.load(Ordering::Relaxed) < EARLY {
        thread::sleep(PAUSE);
    }
    assert_eq!(OTHER_BYTES.load(Ordering::Relaxed), 0);
}
