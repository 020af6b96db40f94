//! A loopback link with a rate and a queue in each direction, which all of its connections share.

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

/// A link to `to`, reached at `address`.
pub struct Link {
    pub address: SocketAddr,
    /// From whoever connects to the other side, and back.
    directions: Arc<[Direction; 2]>,
}

impl Link {
    pub fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let directions = Arc::new([Direction::new(), Direction::new()]);
        let shared = directions.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                for (index, from, to) in [(0, &near, &far), (1, &far, &near)] {
                    let from = from.try_clone().expect("a descriptor");
                    let to = to.try_clone().expect("a descriptor");
                    let shared = shared.clone();
                    thread::spawn(move || forward(from, to, &shared[index]));
                }
            }
        });
        Self {
            address,
            directions,
        }
    }

    /// Sets the rate of what comes back to whoever connects.
    pub fn set_answers(&self, bytes_per_s: u64) {
        let rate = &self.directions[1].bytes_per_s;
        rate.store(bytes_per_s, Ordering::Relaxed);
    }
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
