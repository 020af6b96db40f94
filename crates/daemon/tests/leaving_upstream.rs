//! Upstreams whose entries say that they are leaving, at hosts that were cut off from the
//! key-value service before.

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
use serde_json::json;
use std::{sync::atomic::Ordering, thread, time::Duration};
use store::Store;
use upstream::{Upstream, answer};
use wire::{config, entry};

/// Time after the end of a disruption from which a host has to keep the bounds; the users'
/// `contact-ms` on the largest site.
const CONTACT: Duration = Duration::from_secs(5);
/// Time from the entry that says so until an upstream that leaves may get no request; the users'
/// `drain-timeout-ms` on the largest site.
const DRAIN: Duration = Duration::from_secs(4);
const BOUNDS: &str = "config_ms = 4000\ndrain_ms = 4000\n";
/// Time after which a host that has seen changes waits for the next ones.
const GATHERED: Duration = Duration::from_millis(2_500);
const REQUESTS: usize = 12;

/// Two upstreams, of which the first is going to leave.
struct Site {
    store: Store,
    leaving: Upstream,
    staying: Upstream,
}

impl Site {
    fn start() -> Self {
        let (leaving, staying) = (Upstream::start(answer), Upstream::start(answer));
        let store = Store::start_in_pages();
        store.write("op/config", &config(1, "desk"));
        store.write("servers/d0", &entry("desk", leaving.address, "ready"));
        store.write("servers/d1", &entry("desk", staying.address, "ready"));
        Self {
            store,
            leaving,
            staying,
        }
    }

    /// Has the first upstream leave, and checks that a host sends it nothing once the bound has
    /// passed.
    fn leave(&self, host: &Host) {
        let mut leaving = entry("desk", self.leaving.address, "draining");
        leaving["sequence"] = json!(2);
        self.store.write("servers/d0", &leaving);
        thread::sleep(DRAIN);
        for _ in 0..REQUESTS {
            assert_eq!(status(&exchange(host.callers, REQUEST)), 200);
        }
        assert_eq!(self.leaving.seen().len(), 0, "requests to the leaving one");
        assert_eq!(self.staying.seen().len(), REQUESTS);
    }
}

const REQUEST: &str = "POST /book/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\n\
    Deadline-Ms: 1000\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx";

#[test]
fn leaving_upstream_gets_nothing_from_a_host_whose_lease_ended_while_it_was_cut_off() {
    let site = Site::start();
    let _other = Host::start_with(site.store.clone());
    let store = site.store.second_address();
    let address = store.address;
    let host = Host::start_bounded(store, address, BOUNDS);
    host.wait_until(|host| host.logged("event=host-listed") == 1);
    thread::sleep(GATHERED);
    host.store.silent.store(true, Ordering::Relaxed);
    // The answer to the open watch is lost.
    site.store.write("mulberryrack/nothing", &json!({}));
    let key = format!("mulberryrack/hosts/{}", host.name);
    site.store.revoke_lease_of(&key);
    host.wait_until(|host| host.logged("event=lease-lost") == 1);
    host.store.silent.store(false, Ordering::Relaxed);
    host.wait_until(|host| host.logged("event=host-listed") == 2);
    thread::sleep(CONTACT);
    site.leave(&host);
}

#[test]
fn leaving_upstream_gets_nothing_from_a_host_that_lost_the_answer_to_a_watch() {
    let site = Site::start();
    let host = Host::start_bounded(site.store.clone(), site.store.address, BOUNDS);
    thread::sleep(GATHERED);
    *site.store.late.lock().expect("unpoisoned") = Some(("kv-watch", Duration::from_secs(60)));
    site.store.write("mulberryrack/nothing", &json!({}));
    thread::sleep(Duration::from_millis(200));
    *site.store.late.lock().expect("unpoisoned") = None;
    thread::sleep(CONTACT);
    site.leave(&host);
}
