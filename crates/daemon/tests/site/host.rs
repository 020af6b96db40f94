//! A real host process, started with settings of its own.

use crate::store::Store;
use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Hosts started by this test process, for names of files.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// Time after which a test gives up; shorter than a watch of the host waits.
const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// A running host; killed when dropped.
pub struct Host {
    pub name: String,
    pub child: Child,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub readiness: SocketAddr,
    pub store: Store,
    /// Lines of its log since its start.
    log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Host {
    fn drop(&mut self) {
        // It has ended already where a test stops it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Host {
    /// Starts a host that finds the store at its own address, and waits until it is ready.
    pub fn start_with(store: Store) -> Self {
        let address = store.address;
        Self::start_at(store, address)
    }

    /// As [`Host::start_with`], with another way to the store.
    pub fn start_at(store: Store, store_address: SocketAddr) -> Self {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let file = format!("mulberryrack-site-{}-{number}.ini", std::process::id());
        let path = std::env::temp_dir().join(file);
        let text = format!(
            "[host]\nname = h{number}\ndata_centre = a\nip = 127.0.0.1\n\
             caller_address = 127.0.0.1:0\nreadiness_address = 127.0.0.1:0\n\
             directory_address = 127.0.0.1:0\npeer_port = 0\nmetrics_port = 0\n\
             descriptors = 400\n[store]\naddress = {store_address}\n[bounds]\ngrace_s = 6\n"
        );
        fs::write(&path, text).expect("a writable directory");
        let mut child = Command::new(env!("CARGO_BIN_EXE_mulberryrackd"))
            .args(["site", "--config"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut log = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let started = log.find_map(|line| {
            let line = line.expect("text");
            line.contains("event=started").then_some(line)
        });
        let started = started.expect("the host starts");
        let address = |key: &str| {
            let field = started.split(' ').find_map(|field| field.strip_prefix(key));
            field.expect(key).parse().expect("an address")
        };
        let host = Self {
            name: format!("h{number}"),
            callers: address("callers="),
            directory: address("directory="),
            readiness: address("readiness="),
            child,
            store,
            log: Arc::default(),
        };
        // The log is read on so that the host never waits for it.
        let kept = host.log.clone();
        thread::spawn(move || {
            for line in log.map_while(Result::ok) {
                kept.lock().expect("unpoisoned").push(line);
            }
        });
        host.until(|host| question(host.readiness, "/mulberryrack/ready") == 200);
        host.until(|host| host.store.has("mulberryrack/hosts/"));
        host
    }

    /// Lines of its log that have a text.
    pub fn logged(&self, text: &str) -> usize {
        let log = self.log.lock().expect("unpoisoned");
        log.iter().filter(|line| line.contains(text)).count()
    }

    pub fn until(&self, what: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TEST_TIMEOUT;
        while !what(self) {
            assert!(Instant::now() < end, "it did not come about");
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(kill.expect("the command runs").success());
    }
}

/// Sends text and returns all that comes back.
pub fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a listener");
    stream.write_all(text.as_bytes()).expect("a connection");
    let mut answer = Vec::new();
    // A connection that is broken off ends with an error; what came before counts.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Status of the answer to a question.
pub fn question(address: SocketAddr, path: &str) -> u16 {
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    status(&exchange(address, &text))
}

/// Status of an answer; 0 for none.
pub fn status(answer: &str) -> u16 {
    let word = answer.split(' ').nth(1).unwrap_or("0");
    word.parse().unwrap_or(0)
}
