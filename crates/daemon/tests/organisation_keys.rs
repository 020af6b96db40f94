//! API keys of organisations: who is served, what engines see, and when a key that was removed is
//! of no use any more.

#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[allow(dead_code)]
#[path = "site/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "site/upstream.rs"]
mod upstream;
#[allow(dead_code)]
#[path = "site/wire.rs"]
mod wire;

use host::{Host, exchange, status};
use serde_json::{Value, json};
use std::{
    collections::BTreeSet,
    io::Write,
    net::TcpStream,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};
use store::Store;
use upstream::{Request, Upstream, answer, events, head};
use wire::{MODEL, config, entry};

/// Keys that no log may contain.
const RED_KEY: &str = "red-key-6f1d0c";
const BLUE_KEY: &str = "blue-key-93ab7e";
const UNKNOWN_KEY: &str = "no-key-58c2d4";
const STRICT: &str = "strict_revocation = true\nrevoke_ms = 3000\n";

/// A configuration with organisations, in which the route `look` is public.
fn keyed_config(version: u64, tenants: &Value) -> Value {
    let mut config = config(version, "desk");
    config["tenants"] = tenants.clone();
    config["routes"][1]["public"] = json!(true);
    config
}

fn tenants() -> Value {
    json!([
        { "name": "red", "api-keys": [RED_KEY], "priority": 4 },
        { "name": "blue", "api-keys": [BLUE_KEY] },
    ])
}

struct Site {
    host: Host,
    /// The store as the operator sees it, also while the host is cut off from it.
    store: Store,
    upstream: Upstream,
}

/// Answers as the engine to streams and as the plain service to other requests.
fn answer_any(request: &Request, stream: &mut TcpStream) {
    if !request.line.contains("/note/") {
        return answer(request, stream);
    }
    let body = events(1, 2);
    let headers = format!(
        "Connection: close\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n",
        body.len()
    );
    let _ = stream.write_all((head(request, &headers) + &body).as_bytes());
}

/// Starts a host with an upstream that is both a plain service and an engine.
fn start(config: &Value, bounds: &str) -> Site {
    start_with(config, bounds, answer_any)
}

fn start_with(config: &Value, bounds: &str, script: fn(&Request, &mut TcpStream)) -> Site {
    let upstream = Upstream::start(script);
    let store = Store::start_in_pages();
    store.write("op/config", config);
    store.write("servers/d0", &entry("desk", upstream.address, "ready"));
    store.write("servers/e0", &entry("llm", upstream.address, "ready"));
    let hosts_store = store.second_address();
    let address = hosts_store.address;
    let host = Host::start_bounded(hosts_store, address, bounds);
    Site {
        host,
        store,
        upstream,
    }
}

impl Site {
    fn send(&self, route: &str, headers: &str) -> String {
        exchange(self.host.callers, &request(route, headers))
    }

    fn status(&self, route: &str, key: &str) -> u16 {
        status(&self.send(route, &bearer(key)))
    }

    fn wait_for_status(&self, route: &str, key: &str, wanted: u16) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while self.status(route, key) != wanted {
            assert!(Instant::now() < deadline, "no {wanted} for {route}");
            thread::sleep(Duration::from_millis(50));
        }
    }
}

fn request(route: &str, headers: &str) -> String {
    format!(
        "POST /{route}/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\n\
         Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 1\r\n{headers}\r\nx"
    )
}

fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\n")
}

/// Guards against requests without a valid key that reach an upstream.
#[test]
fn a_missing_or_unknown_key_is_refused_with_401() {
    let site = start(&keyed_config(1, &tenants()), "");
    for headers in [
        String::new(),
        bearer(UNKNOWN_KEY),
        format!("Authorization: Basic {RED_KEY}\r\n"),
        bearer(RED_KEY) + &bearer(BLUE_KEY),
        "Tenant: red\r\n".to_owned(),
    ] {
        let answer = site.send("book", &headers);
        assert_eq!(status(&answer), 401, "{headers} {answer}");
        let lower = answer.to_lowercase();
        assert!(lower.contains("www-authenticate: bearer"), "{answer}");
    }
    assert!(site.upstream.seen().is_empty(), "nothing was sent");
    assert_eq!(site.host.logged("reason=unknown-key"), 5);
}

/// Guards against keys and names of others that reach an upstream, against the priority of the
/// route where the organisation has its own, and against keys in the log and in fingerprints.
#[test]
fn an_upstream_sees_the_organisation_and_no_key() {
    let site = start(&keyed_config(1, &tenants()), "");
    let spoofed = "Tenant: blue\r\nTenant: green\r\n";
    for (route, headers, tenant, urgency) in [
        ("book", bearer(RED_KEY) + spoofed, Some("red"), None),
        ("look", spoofed.to_owned(), None, None),
        ("look", bearer(UNKNOWN_KEY), None, None),
        ("look", bearer(BLUE_KEY) + spoofed, Some("blue"), None),
        ("note", bearer(RED_KEY) + MODEL, Some("red"), Some("4")),
        ("note", bearer(BLUE_KEY) + MODEL, Some("blue"), Some("1")),
    ] {
        let answer = site.send(route, &headers);
        assert_eq!(status(&answer), 200, "{route} {headers} {answer}");
        let seen = site.upstream.seen();
        let [request] = &seen[..] else {
            panic!("{route} {headers}: {seen:?}");
        };
        let header = |name: &str| request.headers.get(name).map(String::as_str);
        assert_eq!(header("tenant"), tenant, "{route} {headers}");
        assert_eq!(header("authorization"), None, "{route} {headers}");
        assert_eq!(header("request-urgency"), urgency, "{route} {headers}");
    }
    let is_sent = |line: &&String| line.contains("event=sent") && line.contains("route=note");
    let host = &site.host;
    host.wait_until(|host| host.lines("").iter().filter(is_sent).count() == 2);
    let lines = host.lines("");
    let sent = lines.iter().filter(is_sent);
    let fields = sent.flat_map(|line| line.split(' '));
    let fingerprints: BTreeSet<&str> = fields.filter(|it| it.starts_with("request=")).collect();
    assert_eq!(fingerprints.len(), 1, "keys are no part: {fingerprints:?}");
    for key in [RED_KEY, BLUE_KEY, UNKNOWN_KEY] {
        assert_eq!(site.host.lines(key), Vec::<String>::new());
    }
}

/// Guards against checks and changed headers where the configuration has no organisations.
#[test]
fn without_organisations_headers_pass_as_they_are() {
    let site = start(&config(1, "desk"), STRICT);
    let answer = site.send("book", &(bearer(UNKNOWN_KEY) + "Tenant: blue\r\n"));
    assert_eq!(status(&answer), 200, "{answer}");
    let seen = site.upstream.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].header("tenant"), "blue");
    let key = format!("Bearer {UNKNOWN_KEY}");
    assert_eq!(seen[0].header("authorization"), key);
}

/// Guards against a key that outlives its configuration, and a new one that is not taken.
#[test]
fn a_new_version_replaces_the_keys() {
    let site = start(&keyed_config(1, &tenants()), STRICT);
    site.wait_for_status("book", RED_KEY, 200);
    let blue = json!([{ "name": "blue", "api-keys": [UNKNOWN_KEY] }]);
    site.store.write("op/config", &keyed_config(2, &blue));
    site.wait_for_status("book", RED_KEY, 401);
    assert_eq!(site.status("book", BLUE_KEY), 401);
    assert_eq!(site.status("book", UNKNOWN_KEY), 200);
}

/// Guards against keyed requests at a host that does not learn of removed keys, and against the end
/// of all service there.
#[test]
fn a_host_without_the_store_serves_public_routes_only() {
    let site = start(&keyed_config(1, &tenants()), STRICT);
    site.wait_for_status("book", RED_KEY, 200);
    site.host.store.silent.store(true, Ordering::Relaxed);
    site.store.write("op/config", &keyed_config(2, &json!([])));
    site.wait_for_status("book", RED_KEY, 503);
    assert_eq!(site.status("book", UNKNOWN_KEY), 503);
    assert_eq!(site.status("look", RED_KEY), 200);
    let seen = site.upstream.seen();
    let last = seen.last().expect("a request");
    assert!(last.line.contains("/look/"), "{last:?}");
    assert_eq!(
        last.headers.get("tenant"),
        None,
        "no key is known to be valid"
    );
    let host = &site.host;
    host.wait_until(|host| host.logged("event=configuration-stale") == 1);
    host.store.silent.store(false, Ordering::Relaxed);
    site.wait_for_status("book", RED_KEY, 401);
    host.wait_until(|host| host.logged("event=configuration-fresh") == 1);
    assert_eq!(host.logged("event=configuration-stale"), 1);
}

/// Guards against a configuration that cannot be read, or is deleted, and leaves removed keys valid.
#[test]
fn an_unreadable_or_deleted_configuration_ends_the_use_of_keys() {
    let site = start(&keyed_config(1, &tenants()), STRICT);
    site.wait_for_status("book", RED_KEY, 200);
    let unreadable = json!([{ "name": "red", "api-keys": RED_KEY }]);
    site.store.write("op/config", &keyed_config(2, &unreadable));
    site.wait_for_status("book", RED_KEY, 503);
    assert_eq!(site.status("look", ""), 200);
    assert_eq!(site.host.lines(RED_KEY), Vec::<String>::new());
    site.store.write("op/config", &keyed_config(3, &tenants()));
    site.wait_for_status("book", RED_KEY, 200);
    site.store.remove("op/config");
    site.wait_for_status("book", RED_KEY, 503);
}

/// Guards against a waiting request that is sent to an upstream although its key was removed.
#[test]
fn a_waiting_request_is_refused_once_its_key_is_removed() {
    let ask_for_rest = |_: &Request, stream: &mut TcpStream| {
        let text = "HTTP/1.1 503 x\r\nNot-Executed: 1\r\nRetry-After: 5\r\n\
                    Connection: close\r\nContent-Length: 0\r\n\r\n";
        let _ = stream.write_all(text.as_bytes());
    };
    let with_timeout = |version, tenants: &Value| {
        let mut config = keyed_config(version, tenants);
        config["routes"][0]["timeout-ms"] = json!(20_000);
        config["routes"][0]["target-latency-ms"] = json!(15_000);
        config
    };
    let site = start_with(&with_timeout(1, &tenants()), "", ask_for_rest);
    let text = format!(
        "POST /book/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\n\
         Deadline-Ms: 20000\r\nConnection: close\r\nContent-Length: 1\r\n{}\r\nx",
        bearer(RED_KEY)
    );
    let callers = site.host.callers;
    let waiting = thread::spawn(move || exchange(callers, &text));
    let sent = site.upstream.requests.recv_timeout(Duration::from_secs(15));
    assert_eq!(sent.expect("a first dispatch").header("tenant"), "red");
    site.store.write("op/config", &with_timeout(2, &json!([])));
    let answer = waiting.join().expect("an answer");
    assert_eq!(status(&answer), 401, "{answer}");
    assert!(site.upstream.seen().is_empty(), "it was not sent again");
}

/// Guards against a host that was stopped while a key was removed, and goes on with what it knew.
#[test]
fn a_host_that_was_stopped_serves_no_removed_key() {
    let site = start(&keyed_config(1, &tenants()), STRICT);
    site.wait_for_status("book", RED_KEY, 200);
    site.host.signal("STOP");
    site.store.write("op/config", &keyed_config(2, &json!([])));
    thread::sleep(Duration::from_secs(3));
    let callers = site.host.callers;
    let requests: Vec<_> = (0..10)
        .map(|_| thread::spawn(move || exchange(callers, &request("book", &bearer(RED_KEY)))))
        .collect();
    // The connections are in the queue of the stopped host.
    thread::sleep(Duration::from_millis(300));
    site.host.signal("CONT");
    for request in requests {
        let status = status(&request.join().expect("an answer"));
        assert!(matches!(status, 401 | 503), "{status}");
    }
    site.wait_for_status("book", RED_KEY, 401);
}

/// Hosts with the same upstream, each with an address of its own at the store.
struct Sites {
    hosts: Vec<Host>,
    store: Store,
    upstream: Upstream,
}

impl Sites {
    fn start(count: usize) -> Self {
        let upstream = Upstream::start(answer_any);
        let store = Store::start_in_pages();
        store.write("op/config", &keyed_config(1, &tenants()));
        store.write("servers/d0", &entry("desk", upstream.address, "ready"));
        let start = || {
            let store = store.second_address();
            let address = store.address;
            Host::start_bounded(store, address, STRICT)
        };
        // The first host gets the claim to give orders, so that no change of it is due later.
        let mut hosts = vec![start()];
        hosts[0].wait_until(|host| host.store.has("mulberryrack/planner"));
        hosts.extend((1..count).map(|_| start()));
        // Proofs of other hosts count for a host that has applied all changes. After an answer with
        // changes, the next watch begins 0.6 s later.
        let mut revision = 0;
        while revision != store.revision() {
            revision = store.revision();
            thread::sleep(Duration::from_secs(2));
        }
        Self {
            hosts,
            store,
            upstream,
        }
    }

    fn status(&self, host: usize, key: &str) -> u16 {
        let answer = exchange(self.hosts[host].callers, &request("book", &bearer(key)));
        status(&answer)
    }

    fn wait_for_status(&self, host: usize, key: &str, wanted: u16) {
        self.hosts[host].wait_until(|_| self.status(host, key) == wanted);
    }
}

/// Guards against a host that stops serving as the store rejects it alone, although other hosts can
/// prove that its configuration is the newest one; and against removed keys that it serves on.
#[test]
fn a_host_that_the_store_rejects_serves_until_a_key_is_removed() {
    let sites = Sites::start(4);
    let rejected = 3;
    sites.wait_for_status(rejected, RED_KEY, 200);
    let host = &sites.hosts[rejected];
    host.store.rejecting.store(true, Ordering::Relaxed);
    host.wait_until(|host| host.logged("event=store-lost") > 0);
    // Twice the time for which a proof holds.
    thread::sleep(Duration::from_secs(6));
    assert_eq!(sites.status(rejected, RED_KEY), 200);
    assert_eq!(host.logged("event=configuration-stale"), 0);
    let blue = json!([{ "name": "blue", "api-keys": [BLUE_KEY] }]);
    sites.store.write("op/config", &keyed_config(2, &blue));
    thread::sleep(Duration::from_secs(3));
    sites.upstream.seen();
    for host in 0..4 {
        let wanted = if host == rejected { 503 } else { 401 };
        assert_eq!(sites.status(host, RED_KEY), wanted, "host {host}");
    }
    assert!(sites.upstream.seen().is_empty(), "the key is of no use");
    assert_eq!(sites.status(0, BLUE_KEY), 200);
    host.store.rejecting.store(false, Ordering::Relaxed);
    sites.wait_for_status(rejected, RED_KEY, 401);
    sites.wait_for_status(rejected, BLUE_KEY, 200);
}

/// Guards against a host that the store serves an older copy, and that goes on with a removed key as it
/// has seen nothing newer itself; and against other hosts that take its answers for proofs.
#[test]
fn a_host_that_is_served_an_older_copy_serves_no_removed_key() {
    let sites = Sites::start(4);
    let misled = 3;
    sites.wait_for_status(misled, RED_KEY, 200);
    let host = &sites.hosts[misled];
    host.store.serve_copy(&sites.store.copy());
    // Longer than a watch that is still open at the store itself.
    thread::sleep(Duration::from_secs(4));
    assert_eq!(sites.status(misled, RED_KEY), 200);
    sites.store.write("op/config", &keyed_config(2, &json!([])));
    thread::sleep(Duration::from_secs(3));
    sites.upstream.seen();
    for _ in 0..20 {
        for host in 0..4 {
            let status = sites.status(host, RED_KEY);
            let wanted = if host == misled { 503 } else { 401 };
            assert_eq!(status, wanted, "host {host}");
        }
        thread::sleep(Duration::from_millis(100));
    }
    assert!(sites.upstream.seen().is_empty(), "the key is of no use");
}

/// Guards against a host that waits for the end of its watch although the answer was lost and other
/// hosts, or its own calls for proofs, show that there is a newer configuration.
#[test]
fn a_host_whose_watch_has_lost_its_answer_asks_again() {
    let sites = Sites::start(2);
    sites.wait_for_status(1, RED_KEY, 200);
    let host = &sites.hosts[1];
    let before = host.logged("event=watch-again");
    // Longer than any wait of a watch and the time-out of its call together.
    let late = Some(("kv-watch", Duration::from_secs(20)));
    *host.store.late.lock().expect("unpoisoned") = late;
    sites.store.write("op/config", &keyed_config(2, &json!([])));
    thread::sleep(Duration::from_millis(100));
    *host.store.late.lock().expect("unpoisoned") = None;
    sites.wait_for_status(1, RED_KEY, 401);
    assert!(host.logged("event=watch-again") > before);
}
