//! Requests that crash every upstream that runs them: hosts are processes of the binary,
//! callers send the same request again at other hosts.

#[path = "crash/engine.rs"]
mod engine;
#[allow(dead_code)]
#[path = "site/host.rs"]
mod host;
#[allow(dead_code)]
#[path = "site/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "site/upstream.rs"]
mod upstream;
#[path = "site/wire.rs"]
mod wire;

use engine::{CRASHING, CRASHING_PART, EVENTS, Restart, Runs};
use host::{Host, exchange, status};
use std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};
use store::Store;
use wire::{MODEL, config};

/// Number of engines, and of replicas of the plain service.
const UPSTREAM_COUNT: u32 = 12;
/// Time for which an upstream that refuses connections stays away.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time within which the hosts share what they know; the users' `contact-ms`.
const CONTACT: Duration = Duration::from_secs(3);
/// Pause between two attempts of a caller.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of attempts of a caller that goes on whatever it is answered, and the pause between
/// two of them.
const STEADY_ATTEMPTS: usize = 36;
const STEADY_INTERVAL: Duration = Duration::from_millis(300);
/// Largest number of dispatches of a request later than [`CONTACT`] after its third crash; the
/// users' bound.
const MAX_LATE_DISPATCHES: usize = 3;

/// Number of crashes of a part of a prompt, after which the users count its dispatches.
const CRASHES_BY_PART: usize = 5;
/// Beginning of the bodies of requests with the crashing part.
const BODY_WITH_PART: &str = "with the part ";

static ATTEMPTS: AtomicU32 = AtomicU32::new(0);

struct Site {
    store: Store,
    hosts: Vec<Host>,
    runs: Runs,
}

impl Site {
    fn start(host_count: usize) -> Self {
        Self::start_with(host_count, UPSTREAM_COUNT, Restart::Refusing(RESTART_DELAY))
    }

    fn start_with(host_count: usize, upstream_count: u32, restart: Restart) -> Self {
        let store = Store::start();
        store.write("op/config", &config(1, "desk"));
        let runs = Runs::default();
        for index in 0..upstream_count {
            engine::start(format!("d{index}"), "desk", restart, store.clone(), &runs);
            engine::start(format!("e{index}"), "llm", restart, store.clone(), &runs);
        }
        let mut site = Self {
            store,
            hosts: Vec::new(),
            runs,
        };
        (0..host_count).for_each(|_| site.add_host());
        site
    }

    /// Starts a host and waits until every other host knows it.
    fn add_host(&mut self) {
        let host = Host::start_with(self.store.second_address());
        let path = "GET /mulberryrack/resolve?name=x&region=r&zone=a HTTP/1.1\r\n\
                    Host: x\r\nConnection: close\r\n\r\n";
        let callers = host.callers.to_string();
        for other in &self.hosts {
            other.wait_until(|other| exchange(other.directory, path).contains(&callers));
        }
        self.hosts.push(host);
    }

    /// Number of runs of the crashing request.
    fn crashes(&self) -> usize {
        let runs = self.runs.lock().expect("unpoisoned");
        runs.iter().filter(|body| *body == CRASHING).count()
    }

    /// Sends the crashing request again and again, at host after host, and returns the status
    /// of each answer.
    fn send_crashing(&self, path: &str, attempts: usize) -> Vec<u16> {
        let hosts = self.hosts.iter().cycle().take(attempts);
        hosts
            .map(|host| {
                thread::sleep(ATTEMPT_INTERVAL);
                status(&send(host, path, CRASHING))
            })
            .collect()
    }

    /// Sends the crashing request until it has crashed three upstreams or is refused, waits
    /// until the hosts have shared what they know, and sends it again. Returns the number of
    /// dispatches since then; every other attempt must be refused as not run.
    fn dispatches_once_known(&mut self, path: &str, meanwhile: impl Fn(&mut Self)) -> usize {
        for _ in 0..4 {
            if self.crashes() < 3 {
                self.send_crashing(path, 1);
            }
        }
        meanwhile(self);
        thread::sleep(CONTACT);
        let before = self.crashes();
        let statuses = self.send_crashing(path, 12);
        let dispatches = self.crashes() - before;
        let other = statuses.iter().filter(|status| **status != 503).count();
        assert!(other <= dispatches, "{path} {statuses:?}");
        dispatches
    }

    /// Sends the crashing request at a steady rate, at host after host, and returns the number
    /// of dispatches later than [`CONTACT`] after its third crash.
    fn late_dispatches(&self, path: &str) -> usize {
        let mut third_crash = None;
        let mut in_time = self.crashes();
        for host in self.hosts.iter().cycle().take(STEADY_ATTEMPTS) {
            thread::sleep(STEADY_INTERVAL);
            send(host, path, CRASHING);
            let crashes = self.crashes();
            if crashes >= 3 {
                let since = third_crash.get_or_insert_with(Instant::now).elapsed();
                in_time = if since <= CONTACT { crashes } else { in_time };
            }
        }
        third_crash.map_or(0, |_| self.crashes() - in_time)
    }

    /// Sends requests with the crashing part of a prompt at a steady rate, no two alike, at host
    /// after host, and returns the number of dispatches later than [`CONTACT`] after the fifth
    /// crash.
    fn late_dispatches_with_part(&self, attempts: usize) -> usize {
        let mut fifth_crash = None;
        let mut in_time = 0;
        for host in self.hosts.iter().cycle().take(attempts) {
            thread::sleep(ATTEMPT_INTERVAL);
            send_with_part(host, CRASHING_PART, BODY_WITH_PART);
            let crashes = self.crashes_by_part();
            if crashes >= CRASHES_BY_PART {
                let since = fifth_crash.get_or_insert_with(Instant::now).elapsed();
                in_time = if since <= CONTACT { crashes } else { in_time };
            }
        }
        fifth_crash.map_or(0, |_| self.crashes_by_part() - in_time)
    }

    fn crashes_by_part(&self) -> usize {
        let runs = self.runs.lock().expect("unpoisoned");
        let has_part = |body: &&String| body.starts_with(BODY_WITH_PART);
        runs.iter().filter(has_part).count()
    }

    /// Sends a request every 20 ms until `is_over` and returns how many were sent and served.
    fn send_proper(&self, path: &str, is_over: &AtomicBool) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        for host in self.hosts.iter().cycle() {
            if is_over.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep(Duration::from_millis(20));
            sent += 1;
            let answer = send(host, path, &format!("proper {sent}"));
            served += usize::from(status(&answer) == 200);
        }
        (sent, served)
    }

    /// Sends the crashing request at a steady rate beside proper ones, and checks the number of
    /// its late dispatches.
    fn check_steady_caller(&self, path: &str, restart: Restart) {
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            let proper = scope.spawn(|| self.send_proper(path, &is_over));
            let late = self.late_dispatches(path);
            is_over.store(true, Ordering::Relaxed);
            let (sent, served) = proper.join().expect("the caller ends");
            let crashes = self.crashes();
            let logged = |text| {
                self.hosts
                    .iter()
                    .map(|host| host.logged(text))
                    .sum::<usize>()
            };
            println!(
                "event=steady path={path} restart={restart:?} crashes={crashes} late={late} \
                 proper={sent} served={served} probes={} noticed={}",
                logged("event=upstream-probed"),
                logged("event=upstream-crashed"),
            );
            assert!(
                late <= MAX_LATE_DISPATCHES,
                "{path} {restart:?} {late} late"
            );
        });
    }
}

/// Sends a request with a new attempt id and returns the raw answer.
fn send(host: &Host, path: &str, body: &str) -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let model = if path == "/draft/" { MODEL } else { "" };
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id{number}\r\n\
         Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: {}\r\n{model}\r\n{body}",
        body.len()
    );
    exchange(host.callers, &text)
}

/// Sends a request unlike any other for the model, with a prompt of the first two parts, which all
/// share, `parts`, each with a comma before it, and one of its own.
fn send_with_part(host: &Host, parts: &str, body: &str) -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let body = format!("{body}{number}");
    let text = format!(
        "POST /draft/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id{number}\r\n\
         Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: {}\r\nModel: m\r\n\
         Token-Counts: 45,5\r\nPrompt-Prefix: 1:10,2:10{parts}{number:x}00:5\r\n\r\n{body}",
        body.len()
    );
    exchange(host.callers, &text)
}

#[test]
fn request_that_crashed_three_upstreams_is_not_dispatched_again() {
    for path in ["/look/", "/draft/", "/book/"] {
        let dispatches = Site::start(3).dispatches_once_known(path, |_| ());
        assert!(
            dispatches <= MAX_LATE_DISPATCHES,
            "{path} {dispatches} dispatches"
        );
    }
}

#[test]
fn crashing_request_stays_refused_when_every_host_is_replaced() {
    let mut site = Site::start(2);
    let dispatches = site.dispatches_once_known("/look/", |site| {
        thread::sleep(CONTACT);
        site.hosts.clear();
        site.add_host();
    });
    assert!(dispatches <= MAX_LATE_DISPATCHES, "{dispatches} dispatches");
}

#[test]
fn crashing_request_stays_refused_however_often_all_hosts_are_replaced() {
    let mut site = Site::start(2);
    let mut dispatches = 0;
    for _ in 0..3 {
        dispatches += site.dispatches_once_known("/look/", |site| {
            site.hosts.clear();
            site.add_host();
        });
    }
    assert!(dispatches <= MAX_LATE_DISPATCHES, "{dispatches} dispatches");
}

#[test]
fn crashing_request_is_refused_everywhere_while_the_store_is_out() {
    let mut site = Site::start(3);
    for host in &site.hosts {
        host.store.silent.store(true, Ordering::Relaxed);
    }
    let dispatches = site.dispatches_once_known("/look/", |_| ());
    assert!(dispatches <= MAX_LATE_DISPATCHES, "{dispatches} dispatches");
}

#[test]
fn requests_beside_a_crashing_one_are_served() {
    let site = Site::start(2);
    thread::scope(|scope| {
        let others: Vec<_> = (0..24)
            .map(|number| {
                let host = &site.hosts[number % 2];
                let path = ["/draft/", "/look/"][number / 2 % 2];
                scope.spawn(move || (path, send(host, path, &format!("other {number}"))))
            })
            .collect();
        site.send_crashing("/draft/", 1);
        site.send_crashing("/look/", 1);
        for other in others {
            let (path, answer) = other.join().expect("an answer");
            assert_eq!(status(&answer), 200, "{path} {answer}");
            let last = format!("token{EVENTS}\n");
            assert!(path == "/look/" || answer.contains(&last), "{answer}");
        }
    });
    // Later requests of the same callers are served too.
    for host in &site.hosts {
        for path in ["/draft/", "/look/"] {
            assert_eq!(status(&send(host, path, "the next one")), 200, "{path}");
        }
    }
}

#[test]
fn crash_counts_although_the_address_goes_on_accepting_connections() {
    for delay_ms in [20, 1_500] {
        let restart = Restart::Accepting(Duration::from_millis(delay_ms));
        let site = Site::start_with(4, 8, restart);
        site.check_steady_caller("/look/", restart);
    }
}

#[test]
fn crash_counts_although_the_upstream_falls_silent() {
    for path in ["/look/", "/book/"] {
        let restart = Restart::Silent(Duration::from_millis(1_500));
        let site = Site::start_with(4, 8, restart);
        site.check_steady_caller(path, restart);
    }
}

#[test]
fn part_that_crashed_five_upstreams_is_dispatched_in_no_request() {
    let mut site = Site::start(3);
    let late = site.late_dispatches_with_part(36);
    site.add_host();
    site.hosts.drain(..2);
    thread::sleep(CONTACT);
    let before = site.crashes_by_part();
    site.late_dispatches_with_part(12);
    let later = site.crashes_by_part() - before;
    println!("event=part crashes={before} late={late} later={later}");
    let sound: Vec<u16> = (0..20)
        .map(|number| {
            let host = &site.hosts[number % 2];
            status(&send_with_part(
                host,
                [",", ",3:10,"][number / 2 % 2],
                "proper ",
            ))
        })
        .collect();
    let blames_part = |host: &Host| host.logged("blamed=dead blamed_kind=part") > 0;
    assert!(site.hosts.iter().all(blames_part), "named in the log");
    assert_eq!(sound, [200; 20], "sound requests with the first parts");
    assert!(
        late + later <= MAX_LATE_DISPATCHES,
        "{late} and {later} late"
    );
}
