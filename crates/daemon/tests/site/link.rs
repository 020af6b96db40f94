//! The link of a host, on loopback: a rate and a queue in each direction, which all connections share.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Bytes that are forwarded at a time.
const PACKET_BYTES: usize = 4_096;
/// A rate that nothing in a test reaches.
pub const UNLIMITED: u64 = 1 << 40;

struct Direction {
    bytes_per_s: AtomicU64,
    /// When the packets that were queued so far have passed.
    free_at: Mutex<Instant>,
}

impl Direction {
    fn new() -> Self {
        Self {
            bytes_per_s: AtomicU64::new(UNLIMITED),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Returns once a packet has passed behind those that were queued before.
    fn pass(&self, length: usize) {
        let bytes_per_s = self.bytes_per_s.load(Ordering::Relaxed);
        let length = u64::try_from(length).expect("a packet");
        let takes = Duration::from_micros(length * 1_000_000 / bytes_per_s);
        let passed_at = {
            let mut free_at = self.free_at.lock().expect("unpoisoned");
            *free_at = (*free_at).max(Instant::now()) + takes;
            *free_at
        };
        thread::sleep(passed_at.saturating_duration_since(Instant::now()));
    }
}

/// The link of a host.
#[derive(Clone)]
pub struct Link {
    inbound: Arc<Direction>,
    outbound: Arc<Direction>,
}

impl Link {
    pub fn new() -> Self {
        Self {
            inbound: Arc::new(Direction::new()),
            outbound: Arc::new(Direction::new()),
        }
    }

    /// Sets the rate at which bytes reach the host.
    pub fn set_inbound(&self, bytes_per_s: u64) {
        let rate = &self.inbound.bytes_per_s;
        rate.store(bytes_per_s, Ordering::Relaxed);
    }

    /// An address at which the host reaches a remote side.
    pub fn outwards(&self, remote: SocketAddr) -> SocketAddr {
        open(remote, [self.outbound.clone(), self.inbound.clone()])
    }

    /// An address at which callers reach an address of the host.
    #[allow(dead_code)]
    pub fn inwards(&self, host: SocketAddr) -> SocketAddr {
        open(host, [self.inbound.clone(), self.outbound.clone()])
    }
}

/// Forwards connections to `to`, the first direction being the one towards it.
fn open(to: SocketAddr, directions: [Arc<Direction>; 2]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            for (from, to, direction) in
                [(&near, &far, &directions[0]), (&far, &near, &directions[1])]
            {
                let from = from.try_clone().expect("a descriptor");
                let to = to.try_clone().expect("a descriptor");
                let direction = direction.clone();
                thread::spawn(move || forward(from, to, &direction));
            }
        }
    });
    address
}

fn forward(mut from: TcpStream, mut to: TcpStream, direction: &Direction) {
    let mut packet = [0u8; PACKET_BYTES];
    while let Ok(length) = from.read(&mut packet) {
        if length == 0 {
            break;
        }
        direction.pass(length);
        if to.write_all(&packet[..length]).is_err() {
            break;
        }
    }
    // Fails if the connection is already closed.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
