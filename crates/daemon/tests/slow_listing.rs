//! A host to which the answers of the key-value service come slowly, as many hosts read all upstreams at
//! once, or all changes of them: what is in force before all of them are read.

#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[path = "site/link.rs"]
mod link;
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
use link::{Link, UNLIMITED};
use serde_json::{Value, json};
use std::{sync::atomic::Ordering, thread, time::Duration};
use store::Store;
use upstream::{Upstream, answer};
use wire::{config, entry};

/// Upstreams of another service, and how many of them are listed with one call.
const OTHERS: usize = 1_200;
const PAGE: usize = 300;
/// Length of a name in the entries of these upstreams; two such names make an item of about 1.3 kB.
const NAME_LENGTH: usize = 300;
/// Bytes a second at which one page takes about 0.8 s: less than the longest wait for an answer.
const SLOW: u64 = 450_000;
/// Bytes a second at which one page takes longer than that.
const TOO_SLOW: u64 = 200_000;
const BOUNDS: &str = "config_ms = 1000\ndrain_ms = 1000\n";
const STRICT: &str =
    "config_ms = 1000\ndrain_ms = 1000\nstrict_revocation = true\nrevoke_ms = 5000\n";
/// Time for the host to begin with what takes long.
const BEGINNING: Duration = Duration::from_millis(300);
/// Time for it to have begun with all of that: it has gathered changes before.
const GATHERED: Duration = Duration::from_secs(1);
/// Time in which each host makes a short call to the service.
const RENEWED: Duration = Duration::from_secs(1);

struct Site {
    store: Store,
    link: Link,
    desk: Upstream,
}

impl Site {
    /// A service with a configuration and an upstream, and a link to it.
    fn start() -> Self {
        let store = Store::start();
        store.page.store(PAGE, Ordering::Relaxed);
        store.write("op/config", &config(1, "desk"));
        let desk = Upstream::start(answer);
        store.write("servers/a", &entry("desk", desk.address, "ready"));
        let link = Link::new();
        Self { store, link, desk }
    }

    /// Registers many upstreams of another service.
    fn add_others(&self) {
        let name = "m".repeat(NAME_LENGTH);
        let mut other = entry("other", self.desk.address, "ready");
        other["at-hand"] = json!({ "in-memory": [name], "on-disk": [name] });
        for number in 0..OTHERS {
            self.store.write(&format!("servers/b{number:04}"), &other);
        }
    }

    /// Starts a host that has many upstreams to list.
    fn listing_host(&self, bytes_per_s: u64) -> Host {
        self.add_others();
        self.link.set_inbound(bytes_per_s);
        self.host(BOUNDS)
    }

    fn host(&self, bounds: &str) -> Host {
        let address = self.link.outwards(self.store.address);
        Host::start_bounded(self.store.clone(), address, bounds)
    }
}

/// Whether the host has logged a line with one text before any with the other.
fn is_before(host: &Host, one: &str, other: &str) -> bool {
    let lines = host.lines("event=");
    let position = |text: &str| lines.iter().position(|line| line.contains(text));
    position(one) < position(other)
}

fn get(host: &Host, path: &str) -> u16 {
    get_with(host, path, "")
}

fn get_with(host: &Host, path: &str, headers: &str) -> u16 {
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {path}\r\nDeadline-Ms: 2000\r\n\
         {headers}Connection: close\r\n\r\n"
    );
    status(&exchange(host.callers, &text))
}

/// A configuration with a route that the first one lacks.
fn with_added_route() -> Value {
    let mut config = config(2, "desk");
    let mut route = config["routes"][1].clone();
    route["name"] = "added".into();
    route["prefix"] = "/added/".into();
    let routes = config["routes"].as_array_mut().expect("a list");
    routes.push(route);
    config
}

#[test]
fn added_route_is_served_while_the_upstreams_are_still_listed() {
    let site = Site::start();
    let host = site.listing_host(SLOW);
    thread::sleep(BEGINNING);
    site.store.write("op/config", &with_added_route());
    host.wait_until(|host| host.logged("event=config version=2") == 1);
    assert_eq!(get(&host, "/added/"), 200);
    host.wait_until(|host| host.logged("event=store-read") == 1);
    assert!(is_before(
        &host,
        "event=config version=2",
        "event=store-read"
    ));
}

#[test]
fn upstream_that_leaves_while_others_are_still_listed_gets_nothing() {
    let site = Site::start();
    let host = site.listing_host(SLOW);
    assert_eq!(get(&host, "/look/before"), 200);
    site.store
        .write("servers/a", &entry("desk", site.desk.address, "draining"));
    host.wait_until(|host| host.logged("event=upstream-leaves") == 1);
    site.desk.seen();
    assert_eq!(get(&host, "/look/after"), 503);
    assert!(site.desk.seen().is_empty());
    host.wait_until(|host| host.logged("event=store-read") == 1);
    assert!(is_before(
        &host,
        "event=upstream-leaves",
        "event=store-read"
    ));
    assert_eq!(get(&host, "/look/last"), 503);
}

#[test]
fn listing_whose_pages_take_longer_than_a_call_ends() {
    let site = Site::start();
    let host = site.listing_host(TOO_SLOW);
    host.wait_until(|host| host.logged("event=store-read") == 1);
    assert_eq!(get(&host, "/look/listed"), 200);
}

#[test]
fn added_route_is_served_on_a_fast_link() {
    let site = Site::start();
    let host = site.listing_host(UNLIMITED);
    site.store.write("op/config", &with_added_route());
    host.wait_until(|host| host.logged("event=config version=2") == 1);
    assert_eq!(get(&host, "/added/"), 200);
}

/// The log line of the last of the upstreams that register.
fn last_is_listed() -> String {
    format!("event=upstream-listed id=b{:04}", OTHERS - 1)
}

/// Has many upstreams register while the answers to a host come slowly, and then a route added.
fn added_route_is_served_before(bounds: &str) {
    let site = Site::start();
    let host = site.host(bounds);
    site.link.set_inbound(TOO_SLOW);
    site.add_others();
    thread::sleep(GATHERED);
    site.store.write("op/config", &with_added_route());
    host.wait_until(|host| host.logged("event=config version=2") == 1);
    assert_eq!(get(&host, "/added/"), 200);
    assert_eq!(host.logged(&last_is_listed()), 0);
    host.wait_until(|host| host.logged(&last_is_listed()) == 1);
}

#[test]
fn added_route_is_served_while_upstreams_register_whose_changes_take_longer_than_a_call() {
    added_route_is_served_before(BOUNDS);
}

#[test]
fn added_route_is_served_while_such_upstreams_register_and_revocation_is_strict() {
    added_route_is_served_before(STRICT);
}

#[test]
fn keys_of_a_configuration_that_is_gone_are_refused_while_upstreams_register() {
    let site = Site::start();
    let mut settings = config(2, "desk");
    settings["tenants"] = json!([{ "name": "red", "api-keys": ["red-key"] }]);
    site.store.write("op/config", &settings);
    let host = site.host(STRICT);
    let book = || get_with(&host, "/book/", "Authorization: Bearer red-key\r\n");
    host.wait_until(|_| book() == 200);
    site.link.set_inbound(TOO_SLOW);
    site.add_others();
    host.wait_until(|host| host.logged("event=config-apart begins=true") == 1);
    site.store.remove("op/config");
    host.wait_until(|_| book() == 503);
    assert_eq!(host.logged(&last_is_listed()), 0);
}

/// Bytes that a host has received of a kind, by its metrics.
fn received(host: &Host, kind: &str) -> u64 {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let metrics = exchange(host.metrics, text);
    let name = format!("mulberryrack_link_bytes_total{{kind=\"{kind}\",direction=\"received\"}} ");
    let value = metrics.lines().find_map(|line| line.strip_prefix(&name));
    value.expect("a metric").parse().expect("a number")
}

/// Bytes of an answer with all changes.
fn changes(store: &Store) -> u64 {
    let text = "GET /mulberryrack/kv-watch?prefix=&after=0&wait-ms=0 HTTP/1.1\r\nHost: x\r\n\
                Connection: close\r\n\r\n";
    u64::try_from(exchange(store.address, text).len()).expect("a length")
}

#[test]
fn proofs_that_the_configuration_is_current_cost_no_changes() {
    let site = Site::start();
    let host = site.host(STRICT);
    site.link.set_inbound(TOO_SLOW);
    site.add_others();
    host.wait_until(|host| host.logged(&last_is_listed()) == 1);
    let (received, changes) = (received(&host, "watch"), changes(&site.store));
    assert!(received < changes * 5 / 4, "{received} of {changes}");
}

#[test]
fn changes_that_arrive_are_not_asked_for_again_when_another_call_is_answered_again() {
    let site = Site::start();
    let host = site.host(BOUNDS);
    site.link.set_inbound(TOO_SLOW);
    site.add_others();
    thread::sleep(GATHERED);
    site.store.rejecting.store(true, Ordering::Relaxed);
    thread::sleep(RENEWED);
    site.store.rejecting.store(false, Ordering::Relaxed);
    host.wait_until(|host| host.logged(&last_is_listed()) == 1);
    assert!(host.logged("event=lease-not-renewed") > 0);
    assert_eq!(host.logged("event=watch-again"), 0);
}

#[test]
fn changes_that_arrive_are_not_asked_for_again_as_another_host_knows_them() {
    let site = Site::start();
    let host = site.host(STRICT);
    let other = Host::start_bounded(site.store.clone(), site.store.address, STRICT);
    host.wait_until(|host| host.store.has_besides("mulberryrack/hosts/", &[]));
    site.link.set_inbound(TOO_SLOW);
    site.add_others();
    other.wait_until(|other| other.logged(&last_is_listed()) == 1);
    host.wait_until(|host| host.logged(&last_is_listed()) == 1);
    assert_eq!(host.logged("event=watch-again"), 0);
}

#[test]
fn listing_goes_on_from_the_page_that_failed() {
    let site = Site::start();
    let host = site.listing_host(SLOW);
    let all = site.store.listed.load(Ordering::Relaxed);
    assert!(all > 0, "the host has read a page");
    site.store.rejecting.store(true, Ordering::Relaxed);
    host.wait_until(|host| host.logged("event=store-not-read") > 0);
    site.store.rejecting.store(false, Ordering::Relaxed);
    host.wait_until(|host| host.logged("event=store-read") == 1);
    let keys = OTHERS + 1;
    let pages = site.store.listed.load(Ordering::Relaxed);
    assert_eq!(pages, keys / PAGE + 1);
}

#[test]
fn host_that_has_not_read_all_keys_does_not_take_the_claim_to_give_orders() {
    let site = Site::start();
    let host = site.listing_host(SLOW);
    host.wait_until(|host| host.logged("event=claim-gained") == 1);
    assert_eq!(host.logged("event=store-read"), 1);
}
