//! A host on the users' platform as a process, between callers, upstreams and a stand-in
//! for the platform's key-value service.

#[path = "site/host.rs"]
mod host;
#[path = "site/store.rs"]
mod store;
#[path = "site/upstream.rs"]
mod upstream;
#[path = "site/wire.rs"]
mod wire;

use host::{Host, exchange, question, status};
use serde_json::json;
use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    process::Command,
    sync::atomic::Ordering,
    thread,
    time::Duration,
};
use store::Store;
use upstream::{Request, Upstream, answer, chunk, events, head};
use wire::{MODEL, config, entry};

/// Starts a host whose key-value service has these upstreams, and waits until it is
/// ready.
fn start(upstreams: &[(&str, &str, &Upstream)]) -> Host {
    let store = Store::start();
    store.write("op/config", &config(1, "desk"));
    for (id, service, upstream) in upstreams {
        store.write(
            &format!("servers/{id}"),
            &entry(service, upstream.address, "ready"),
        );
    }
    // What another writer left is nobody's upstream and harms no other.
    store.put("servers/torn", b"\xff{".to_vec(), 0);
    store.write(
        "servers/odd",
        &json!({ "service-name": 7, "state": "asleep" }),
    );
    Host::start_with(store)
}

/// Sends a request and returns all that comes back.
fn ask(host: &Host, method: &str, path: &str, more: &str, body: &str) -> String {
    exchange(host.callers, &request(method, path, more, body))
}

fn request(method: &str, path: &str, more: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\n\
         Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: {}\r\n{more}\r\n{body}",
        body.len()
    )
}

#[test]
fn a_request_is_passed_on_without_what_only_the_system_sets() {
    let desk = Upstream::start(answer);
    let host = start(&[("d0", "desk", &desk)]);
    let more = "Hold: x\r\nPin-Ms: 5\r\nKv-From: 1.2.3.4:5/6\r\nTarget-Instance: other\r\n\
                X-Own: kept\r\nTransfer: no\r\n";
    let answer = ask(&host, "POST", "/book/1?a=b", more, "order");
    assert_eq!(status(&answer), 200);
    assert!(answer.to_lowercase().contains("response-signature: sig"));
    assert!(answer.ends_with("whole") && !answer.to_lowercase().contains("instance-load"));
    let seen = desk.seen().pop().expect("it ran");
    assert_eq!(
        (seen.line.as_str(), &*seen.body),
        ("POST /book/1?a=b HTTP/1.1", &b"order"[..])
    );
    assert_eq!(
        (seen.header("attempt-id"), seen.header("x-own")),
        ("id1", "kept")
    );
    assert_eq!(seen.header("target-instance"), "d0");
    assert!(seen.header("deadline-ms").parse::<u64>().expect("a number") <= 2_500);
    for name in ["hold", "pin-ms", "kv-from", "request-urgency"] {
        assert_eq!(seen.header(name), "", "{name}");
    }
}

#[test]
fn what_has_no_route_or_no_sense_is_refused_by_the_host() {
    let desk = Upstream::start(answer);
    let host = start(&[("d0", "desk", &desk)]);
    assert_eq!(status(&ask(&host, "GET", "/nowhere/", "", "")), 404);
    assert_eq!(
        status(&exchange(
            host.callers,
            "GET /look/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )),
        400
    );
    assert_eq!(
        status(&ask(&host, "POST", "/book/", "", &"x".repeat(10_001))),
        413
    );
    let long = format!("X-Long: {}\r\n", "x".repeat(20_000));
    assert_eq!(status(&ask(&host, "GET", "/look/", &long, "")), 431);
    assert!(desk.seen().is_empty());
}

#[test]
fn a_lost_answer_is_no_refusal_and_what_may_run_once_is_not_sent_again() {
    let cut = |request: &Request, stream: &mut TcpStream| {
        let text = head(request, "Content-Length: 50\r\n") + "half";
        let _ = stream.write_all(text.as_bytes());
    };
    let (one, two) = (Upstream::start(cut), Upstream::start(cut));
    let host = start(&[("d0", "desk", &one), ("d1", "desk", &two)]);
    assert_eq!(status(&ask(&host, "POST", "/book/1", "", "x")), 502);
    assert_eq!(one.seen().len() + two.seen().len(), 1);
    assert_eq!(status(&ask(&host, "GET", "/look/1", "", "")), 502);
    assert_eq!(
        one.seen().len() + two.seen().len(),
        2,
        "two upstreams at the most"
    );
}

#[test]
fn an_answer_to_another_request_is_nobodys() {
    let other = |_: &Request, stream: &mut TcpStream| {
        let request = Request::default();
        answer(&request, stream);
    };
    let desk = Upstream::start(other);
    let host = start(&[("d0", "desk", &desk)]);
    let answer = ask(&host, "POST", "/book/1", "", "x");
    assert_eq!(status(&answer), 502);
    assert!(!answer.contains("whole") && !answer.contains("sig"));
}

#[test]
fn a_refusal_of_the_only_upstream_is_passed_on_as_not_run() {
    let full = |_: &Request, stream: &mut TcpStream| {
        let _ = stream.write_all(b"HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
    let desk = Upstream::start(full);
    let host = start(&[("d0", "desk", &desk)]);
    let answer = ask(&host, "POST", "/book/1", "", "x");
    assert_eq!(status(&answer), 503);
    assert!(answer.to_lowercase().contains("retry-after: "));
}

#[test]
fn a_broken_stream_goes_on_elsewhere_and_every_event_comes_once() {
    let script = |request: &Request, stream: &mut TcpStream| {
        let text = match request.header("last-event-id") {
            "" => {
                let torn = chunk(&(events(1, 3) + "id: 4\nda"));
                head(request, "Transfer-Encoding: chunked\r\n") + &torn
            }
            last => {
                let next = last.parse::<u32>().expect("a number") + 1;
                head(request, "Transfer-Encoding: chunked\r\n")
                    + &chunk(&events(next, 6))
                    + "0\r\n\r\n"
            }
        };
        let _ = stream.write_all(text.as_bytes());
    };
    let (one, two) = (Upstream::start(script), Upstream::start(script));
    let host = start(&[("e0", "llm", &one), ("e1", "llm", &two)]);
    let answer = ask(&host, "POST", "/draft/1", MODEL, "prompt");
    assert_eq!(status(&answer), 200);
    for id in 1..=6 {
        assert_eq!(
            answer.matches(&format!("token{id}\n")).count(),
            1,
            "{answer}"
        );
    }
    assert!(answer.ends_with("0\r\n\r\n"), "complete");
    assert_eq!((one.seen().len(), two.seen().len()), (1, 1));
}

#[test]
fn a_stream_that_cannot_go_on_does_not_look_whole() {
    let torn = |request: &Request, stream: &mut TcpStream| {
        let text = head(request, "Transfer-Encoding: chunked\r\n") + &chunk(&events(1, 3));
        let _ = stream.write_all(text.as_bytes());
    };
    let engine = Upstream::start(torn);
    let host = start(&[("e0", "llm", &engine)]);
    let answer = ask(&host, "POST", "/draft/1", MODEL, "prompt");
    assert!(answer.contains("token3") && !answer.ends_with("0\r\n\r\n"));
}

#[test]
fn a_caller_that_leaves_ends_the_work_of_its_upstream() {
    let endless = |request: &Request, stream: &mut TcpStream| {
        let _ = stream.write_all(head(request, "Transfer-Encoding: chunked\r\n").as_bytes());
        for id in 1.. {
            thread::sleep(Duration::from_millis(20));
            if stream.write_all(chunk(&events(id, id)).as_bytes()).is_err() {
                break;
            }
        }
        // The connection has ended: tell the test by a connection of its own.
        let _ = TcpStream::connect(request.header("x-tell"));
    };
    let engine = Upstream::start(endless);
    let host = start(&[("e0", "llm", &engine)]);
    let told = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let tell = told.local_addr().expect("an address");
    let mut stream = TcpStream::connect(host.callers).expect("a listener");
    let text = request(
        "POST",
        "/draft/1",
        &format!("{MODEL}X-Tell: {tell}\r\n"),
        "prompt",
    );
    stream.write_all(text.as_bytes()).expect("a connection");
    stream
        .read_exact(&mut [0u8; 200])
        .expect("the answer begins");
    drop(stream);
    told.accept().expect("the engine's connection ends");
}

#[test]
fn a_route_that_was_added_is_served_and_an_upstream_that_leaves_gets_nothing() {
    let (one, two) = (Upstream::start(answer), Upstream::start(answer));
    let host = start(&[("d0", "desk", &one), ("d1", "desk", &two)]);
    let mut leaving = entry("desk", one.address, "draining");
    leaving["sequence"] = json!(2);
    host.store.write("servers/d0", &leaving);
    let mut newer = config(9, "desk");
    newer["routes"][0]["prefix"] = json!("/order/");
    host.store.write("op/config", &newer);
    host.until(|host| status(&ask(host, "POST", "/order/1", "", "x")) == 200);
    let before = one.seen().len();
    for _ in 0..10 {
        assert_eq!(status(&ask(&host, "POST", "/order/1", "", "x")), 200);
    }
    assert_eq!(one.seen().len(), 0, "{before} before");
    assert_eq!(status(&ask(&host, "POST", "/book/1", "", "x")), 404);
}

#[test]
fn a_watch_that_an_outage_has_swallowed_is_begun_anew() {
    let desk = Upstream::start(answer);
    let host = start(&[("d0", "desk", &desk)]);
    // The watch waits at the service, which forgets it.
    host.store.silent.store(true, Ordering::Relaxed);
    host.store.write("mulberryrack/nothing", &json!({}));
    thread::sleep(Duration::from_millis(2_500));
    host.store.silent.store(false, Ordering::Relaxed);
    let mut newer = config(9, "desk");
    newer["routes"][0]["prefix"] = json!("/order/");
    host.store.write("op/config", &newer);
    // The watch itself waits for longer than the test does.
    host.until(|host| status(&ask(host, "POST", "/order/1", "", "x")) == 200);
}

/// Waits until the first host names the second one to callers.
fn wait_until_known(first: &Host, second: &Host) {
    let path = "/mulberryrack/resolve?name=x&region=r&zone=a";
    let resolve = request("GET", path, "", "");
    let known = second.callers.to_string();
    second.until(|_| exchange(first.directory, &resolve).contains(&known));
}

#[test]
fn a_host_that_does_not_reach_the_store_has_its_lease_renewed_by_another() {
    let first = start(&[]);
    let second = Host::start_with(first.store.another());
    let key = format!("mulberryrack/hosts/{}", first.name);
    wait_until_known(&first, &second);
    first.store.silent.store(true, Ordering::Relaxed);
    let before = first.store.renewals(&key);
    second.until(|_| first.store.renewals(&key) > before + 2);
}

#[test]
fn a_host_that_gives_orders_goes_on_while_no_host_reaches_the_store() {
    let first = start(&[]);
    // While it is the only host, no other can gain the claim.
    first.until(|first| first.logged("claim-gained") == 1);
    let second = Host::start_with(first.store.another());
    wait_until_known(&first, &second);
    for silenced in [&first.store, &second.store] {
        silenced.silent.store(true, Ordering::Relaxed);
    }
    let vouched = |first: &Host| first.logged("claim-vouched vouched=true");
    first.until(|first| vouched(first) == 1);
    // One host that reaches the store could have the claim by now.
    second.store.silent.store(false, Ordering::Relaxed);
    first.until(|first| first.logged("claim-vouched vouched=false") == 1);
}

#[test]
fn an_adapter_that_cannot_be_placed_is_asked_for_at_a_bounded_rate() {
    let engine = Upstream::start(answer);
    let host = start(&[("e0", "llm", &engine)]);
    let model = MODEL.replace("Model: m", "Model: m/a1");
    let asked = |host: &Host| host.logged("event=placed");
    host.until(|host| {
        assert_eq!(
            status(&ask(host, "POST", "/draft/1", &model, "prompt")),
            503
        );
        asked(host) > 0
    });
    let before = asked(&host);
    assert_eq!(
        status(&ask(&host, "POST", "/draft/1", &model, "prompt")),
        503
    );
    // The request waits for less than its objective of a second.
    assert!(
        asked(&host) - before < 40,
        "{} times",
        asked(&host) - before
    );
}

#[test]
fn a_host_that_is_stopped_leaves_the_addresses_and_finishes_what_it_has() {
    let slow = |request: &Request, stream: &mut TcpStream| {
        thread::sleep(Duration::from_secs(1));
        answer(request, stream);
    };
    let desk = Upstream::start(slow);
    let mut host = start(&[("d0", "desk", &desk)]);
    let resolve = "/mulberryrack/resolve?name=shop.example&region=r&zone=a";
    host.until(|host| question(host.directory, resolve) == 200);
    let callers = host.callers;
    let running = thread::spawn(move || exchange(callers, &request("POST", "/book/1", "", "x")));
    desk.requests.recv().expect("it runs");
    host.signal("HUP");
    host.signal("TERM");
    assert_eq!(status(&running.join().expect("an answer")), 200);
    host.until(|host| question(host.readiness, "/mulberryrack/ready") == 503);
    host.until(|host| !host.store.has("mulberryrack/"));
    assert_eq!(question(host.directory, resolve), 503);
    // Who still comes with an old answer is served.
    assert_eq!(status(&ask(&host, "POST", "/book/2", "", "x")), 200);
    assert!(host.child.wait().expect("it ends").success());
}

#[test]
fn settings_that_cannot_be_used_are_all_told() {
    let path = std::env::temp_dir().join(format!("mulberryrack-bad-{}.ini", std::process::id()));
    fs::write(
        &path,
        "[host]\nname = h\ncolour = red\n[store]\naddress = nowhere\n",
    )
    .expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_mulberryrackd"))
        .args(["site", "--check-config", "--config"])
        .arg(&path)
        .output()
        .expect("the binary runs");
    fs::remove_file(path).expect("the file is there");
    assert_eq!(output.status.code(), Some(2));
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in [
        "colour is not a setting",
        "address = \"nowhere\"",
        "caller_address",
    ] {
        assert!(told.contains(part), "{part}: {told}");
    }
}
