//! A loopback proxy between a host and what it talks to, with faults from outside.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

/// Longest time until a connection notices another mode.
const LOOK: Duration = Duration::from_millis(20);
/// Added to each piece while a link is slow.
const SLOW: Duration = Duration::from_millis(60);

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    Pass,
    Slow,
    /// Connections are ended.
    Reset,
    /// Nothing arrives on either side; it does once the link passes again.
    Silent,
    /// Requests arrive, answers do not.
    OneWay,
}

/// Faults to draw from; a reset at the wrong moment is what tells most.
pub const FAULTS: [Mode; 5] = [
    Mode::Slow,
    Mode::Reset,
    Mode::Reset,
    Mode::Silent,
    Mode::OneWay,
];

/// A link that was opened in front of an address.
pub struct Link {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Link {
    pub fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mode = Arc::new(AtomicU8::new(0));
        let shared = mode.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(called) = TcpStream::connect(to) else {
                    continue;
                };
                for (from, to, answers) in [(&caller, &called, false), (&called, &caller, true)] {
                    let from = from.try_clone().expect("a descriptor");
                    let to = to.try_clone().expect("a descriptor");
                    let mode = shared.clone();
                    thread::spawn(move || pass(from, to, answers, &mode));
                }
            }
        });
        Self { address, mode }
    }

    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, answers: bool, mode: &AtomicU8) {
    let is = |other: Mode| mode.load(Ordering::Relaxed) == other as u8;
    let held = || is(Mode::Silent) || (answers && is(Mode::OneWay));
    from.set_read_timeout(Some(LOOK)).expect("a socket");
    let mut piece = [0u8; 4_096];
    while !is(Mode::Reset) {
        let length = match from.read(&mut piece) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        while held() {
            thread::sleep(LOOK);
        }
        if is(Mode::Slow) {
            thread::sleep(SLOW);
        }
        if is(Mode::Reset) || to.write_all(&piece[..length]).is_err() {
            break;
        }
    }
    // The other side may be gone already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
