//! What the host holds for its callers, on the account of the package `room`.

use crate::{clock::Clock, journal::journal};
use bytes::{Buf, Bytes};
use http::request;
use mulberryrack_core::Time;
use mulberryrack_room::{ConnectionId, Evicted, Eviction, Full, Phase, Room};
use mulberryrack_site::config::Limits;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{sync::Notify, time};

/// Descriptors that are reserved for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// Sockets of listeners, of calls to the key-value service and to other hosts.
const OWN_SOCKETS: usize = 24;
/// Listeners besides those for callers and other hosts: readiness, directory and metrics.
const ENDPOINTS: usize = 3;
/// Places of each of these listeners. Their connections are short.
const MIN_ENDPOINT_PLACES: usize = 8;
const MAX_ENDPOINT_PLACES: usize = 256;
/// Bytes that a field of a head takes besides its text: its entry in the map of the request and in
/// that of the request to the upstream, with the room for growth of both.
const FIELD_BYTES: u64 = 320;
/// Bytes that any request takes besides its fields and its body.
const REQUEST_BYTES: u64 = 4 << 10;

/// Longest wait before an answer that waits for room is decided on again: transfers become slow
/// without a notice.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How many sockets the host uses for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Places {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of each of the other listeners for callers, and of the one for metrics.
    pub endpoint: usize,
    /// Connections to upstreams and of other hosts.
    pub others: usize,
}

impl Places {
    /// The places of a host that may use so many descriptors.
    #[must_use]
    pub fn of(descriptors: usize) -> Self {
        let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let callers = (sockets / 2).max(1);
        let endpoint = (sockets / 16).clamp(MIN_ENDPOINT_PLACES, MAX_ENDPOINT_PLACES);
        let taken = callers + ENDPOINTS * endpoint + OWN_SOCKETS;
        let others = sockets.saturating_sub(taken).max(1);
        Self {
            callers,
            endpoint,
            others,
        }
    }
}

/// Tells a connection that it gives way.
#[derive(Default)]
struct Signal {
    eviction: Cell<Option<Eviction>>,
    told: Notify,
}

/// The account of the connections of one listener.
pub struct Holdings {
    name: &'static str,
    clock: Clock,
    room: RefCell<Room>,
    signals: RefCell<BTreeMap<ConnectionId, Rc<Signal>>>,
    /// Connections that are open, those included that are about to close.
    open: Cell<usize>,
    places: usize,
    evictions: Cell<u64>,
    /// Notified when bytes were given back.
    released: Notify,
}

impl Holdings {
    /// An account for up to `capacity` bytes and `places` connections. `name` is for the log.
    pub fn new(name: &'static str, clock: Clock, capacity: u64, places: usize) -> Rc<Self> {
        Rc::new(Self {
            name,
            clock,
            room: RefCell::new(Room::new(capacity, places)),
            signals: RefCell::default(),
            open: Cell::new(0),
            places,
            evictions: Cell::new(0),
            released: Notify::new(),
        })
    }

    /// Bytes on the account.
    pub fn held(&self) -> u64 {
        self.room.borrow().held()
    }

    /// Takes the number of connections that were evicted since the last call.
    pub fn take_evictions(&self) -> u64 {
        self.evictions.take()
    }

    /// Takes a place for a new connection.
    ///
    /// # Errors
    ///
    /// [`Full`] if no other connection gives way.
    pub fn open(self: &Rc<Self>) -> Result<Rc<Seat>, Full> {
        let opened = self.room.borrow_mut().open(self.clock.now());
        let (id, evicted) = opened?;
        let signal = Rc::<Signal>::default();
        self.signals.borrow_mut().insert(id, signal.clone());
        self.open.set(self.open.get() + 1);
        self.tell(evicted);
        Ok(Rc::new(Seat {
            holdings: self.clone(),
            id,
            signal,
            unread: Cell::new(0),
        }))
    }

    /// Whether connections that gave way are still open, so that no more should be accepted.
    pub fn is_crowded(&self) -> bool {
        self.open.get() > self.places
    }

    /// Sets the limits of the configuration, from which the rate of the slowest client follows: a
    /// body of the largest size may take the whole timeout.
    pub fn set_limits(&self, limits: &Limits) {
        let bytes = u64::try_from(limits.max_body_bytes).unwrap_or(u64::MAX);
        let millis = u64::try_from(limits.idle_timeout.as_millis()).unwrap_or(u64::MAX);
        let rate = bytes.saturating_mul(1_000) / millis.max(1);
        self.room.borrow_mut().set_slowest(rate);
    }

    /// Closes the connections whose callers have read nothing for `timeout`.
    pub fn evict_blocked(&self, timeout: Duration) {
        let evicted = self
            .room
            .borrow_mut()
            .evict_blocked(self.clock.now(), timeout);
        self.tell(evicted);
    }

    fn tell(&self, evicted: impl IntoIterator<Item = Evicted>) {
        let signals = self.signals.borrow();
        for Evicted { id, how } in evicted {
            self.evictions.set(self.evictions.get() + 1);
            journal!(
                debug,
                "connection-evicted",
                listener = self.name,
                how = format_args!("{how:?}")
            );
            if let Some(signal) = signals.get(&id) {
                signal.eviction.set(Some(how));
                signal.told.notify_waiters();
            }
        }
    }
}

/// A connection on the account. Dropping it gives back its place and what it holds.
pub struct Seat {
    holdings: Rc<Holdings>,
    id: ConnectionId,
    signal: Rc<Signal>,
    /// Bytes of answers that were sent to the caller, which has not read them.
    unread: Cell<u64>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        let holdings = &self.holdings;
        holdings.room.borrow_mut().close(self.id);
        holdings.signals.borrow_mut().remove(&self.id);
        holdings.open.set(holdings.open.get() - 1);
        holdings.released.notify_waiters();
    }
}

impl Seat {
    /// Returns once the connection gives way in this manner.
    pub async fn evicted(&self, how: Eviction) {
        loop {
            let told = self.signal.told.notified();
            if self.signal.eviction.get() == Some(how) {
                return;
            }
            told.await;
        }
    }

    /// Whether the connection, or the request on it, was told to give way.
    pub fn is_evicted(&self) -> bool {
        self.signal.eviction.get().is_some()
    }

    fn now(&self) -> Time {
        self.holdings.clock.now()
    }

    /// Records what the connection is used for from now on.
    pub fn set_phase(&self, phase: Phase) {
        let now = self.now();
        self.holdings
            .room
            .borrow_mut()
            .set_phase(now, self.id, phase);
    }

    /// Records that the caller reads nothing of what is written to it, or reads again.
    pub fn set_blocked(&self, is_blocked: bool) {
        let now = self.now();
        self.holdings
            .room
            .borrow_mut()
            .set_blocked(now, self.id, is_blocked);
    }

    /// Counts bytes that were written to the caller.
    pub fn record_written(&self, bytes: usize) {
        let now = self.now();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.holdings
            .room
            .borrow_mut()
            .record_written(now, self.id, bytes);
    }

    /// Records that all that there is for the caller was written to it.
    pub fn set_flushed(&self) {
        self.holdings.room.borrow_mut().set_flushed(self.id);
    }

    /// Takes bytes for the connection.
    fn reserve(&self, bytes: u64) -> Result<(), Full> {
        let now = self.now();
        let mut evicted = Vec::new();
        let reserved = self
            .holdings
            .room
            .borrow_mut()
            .reserve(now, self.id, bytes, &mut evicted);
        self.holdings.tell(evicted);
        reserved
    }

    /// Counts bytes that the host holds already.
    fn charge(&self, bytes: u64) {
        let now = self.now();
        let mut evicted = Vec::new();
        self.holdings
            .room
            .borrow_mut()
            .charge(now, self.id, bytes, &mut evicted);
        self.holdings.tell(evicted);
    }

    /// As [`Seat::reserve`], for an answer of an upstream.
    fn reserve_answer(&self, bytes: u64) -> Result<(), Full> {
        let now = self.now();
        let mut evicted = Vec::new();
        let reserved =
            self.holdings
                .room
                .borrow_mut()
                .reserve_answer(now, self.id, bytes, &mut evicted);
        self.holdings.tell(evicted);
        reserved
    }

    /// Whether there is room for `bytes`, if needed as other connections give way.
    fn has_room(&self, bytes: u64) -> bool {
        let now = self.now();
        let mut evicted = Vec::new();
        let made = self
            .holdings
            .room
            .borrow_mut()
            .make_room(now, self.id, bytes, &mut evicted);
        self.holdings.tell(evicted);
        made.is_ok()
    }

    fn release(&self, bytes: u64) {
        self.holdings.room.borrow_mut().release(self.id, bytes);
        self.holdings.released.notify_waiters();
    }
}

/// Returns once `is_done` says so, asked whenever bytes are given back, or the connection is closed.
async fn wait(seat: &Weak<Seat>, mut is_done: impl FnMut(&Seat) -> bool) {
    // The connection must not be kept open by those that wait for room.
    while let Some(held) = seat.upgrade() {
        let holdings = held.holdings.clone();
        let released = holdings.released.notified();
        if is_done(&held) {
            return;
        }
        drop(held);
        // Without a notice it is asked again after the interval.
        let _notified = time::timeout(ROOM_CHECK_INTERVAL, released).await;
    }
}

/// Waits until there is room for `bytes` of a stream, or its caller has nothing left to read: then
/// the stream goes on also on a full account, as it could never end otherwise.
pub async fn wait_for_stream_room(seat: &Weak<Seat>, bytes: u64) {
    wait(seat, |seat| seat.unread.get() == 0 || seat.has_room(bytes)).await;
}

/// Bytes of an answer that is being read from an upstream. Dropping it gives them back.
pub struct AnswerHold {
    seat: Weak<Seat>,
    bytes: u64,
}

impl AnswerHold {
    /// Holds nothing yet.
    pub const fn new(seat: Weak<Seat>) -> Self {
        Self { seat, bytes: 0 }
    }

    /// Takes bytes once there is room for them.
    pub async fn reserve(&mut self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let mut is_taken = false;
        wait(&self.seat, |seat| {
            is_taken = seat.reserve_answer(bytes).is_ok();
            is_taken || seat.is_evicted()
        })
        .await;
        if is_taken {
            self.bytes += bytes;
        }
    }

    /// Counts bytes that have arrived.
    pub fn add(&mut self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        if let Some(seat) = self.seat.upgrade() {
            seat.charge(bytes);
            self.bytes += bytes;
        }
    }

    /// Takes bytes out that are ready for the caller. They stay on the account.
    pub fn split(&mut self, bytes: Bytes) -> HeldBytes {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        self.bytes = self.bytes.saturating_sub(length);
        HeldBytes::new(bytes, self.seat.clone())
    }

    /// As [`AnswerHold::split`], for bytes that are a part of a larger buffer, which they would keep
    /// off the account.
    pub fn split_copy(&mut self, bytes: Bytes) -> HeldBytes {
        let is_accounted = self.seat.strong_count() > 0;
        let bytes = if is_accounted {
            Bytes::copy_from_slice(&bytes)
        } else {
            bytes
        };
        self.split(bytes)
    }
}

impl Drop for AnswerHold {
    fn drop(&mut self) {
        if let Some(seat) = self.seat.upgrade() {
            seat.release(self.bytes);
        }
    }
}

/// The head and the body of a request. Dropping it gives the bytes back and ends the request.
pub struct RequestHold {
    seat: Rc<Seat>,
    bytes: u64,
}

impl RequestHold {
    /// Takes what a head needs.
    pub fn of(seat: &Rc<Seat>, head: &request::Parts) -> Result<Self, Full> {
        seat.set_phase(Phase::Serving);
        let fields = u64::try_from(head.headers.len()).unwrap_or(u64::MAX);
        let mut hold = Self {
            seat: seat.clone(),
            bytes: 0,
        };
        hold.grow(REQUEST_BYTES + fields.saturating_mul(FIELD_BYTES))?;
        Ok(hold)
    }

    /// Takes further bytes.
    pub fn grow(&mut self, bytes: u64) -> Result<(), Full> {
        self.seat.reserve(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// The connection of the request.
    pub const fn seat(&self) -> &Rc<Seat> {
        &self.seat
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        self.seat.release(self.bytes);
        self.seat.set_phase(Phase::Idle);
    }
}

/// Bytes of an answer that are on the account until they are written to the caller.
pub struct HeldBytes {
    bytes: Bytes,
    seat: Weak<Seat>,
    held: u64,
    /// Whether they count as unread by the caller.
    is_sent: bool,
}

impl HeldBytes {
    /// Bytes that are on the account of a connection already.
    fn new(bytes: Bytes, seat: Weak<Seat>) -> Self {
        let held = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        Self {
            bytes,
            seat,
            held,
            is_sent: false,
        }
    }

    /// Records that the bytes go to the caller now. An answer that is only kept for the case that
    /// no other comes gives the caller nothing to read.
    pub fn set_sent(&mut self) {
        if !self.is_sent
            && let Some(seat) = self.seat.upgrade()
        {
            self.is_sent = true;
            seat.unread.set(seat.unread.get() + self.held);
        }
    }

    /// Bytes that are on no account.
    pub const fn unaccounted(bytes: Bytes) -> Self {
        Self {
            bytes,
            seat: Weak::new(),
            held: 0,
            is_sent: false,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some(seat) = self.seat.upgrade() {
            if self.is_sent {
                seat.unread.set(seat.unread.get().saturating_sub(self.held));
            }
            seat.release(self.held);
        }
    }
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future;

    /// Guards against a stream that waits without limit on a full account, as an error answer of
    /// another upstream that is kept for its caller counted as unread.
    #[tokio::test]
    async fn only_what_is_sent_is_unread() {
        let holdings = Holdings::new("test", Clock::start(), 100_000, 4);
        let seat = holdings.open().expect("a free place");
        seat.set_phase(Phase::Serving);
        let seat_of_hold = Rc::downgrade(&seat);
        let mut hold = AnswerHold::new(seat_of_hold.clone());
        hold.add(100_000);
        let mut kept = hold.split(Bytes::from(vec![0; 10_000]));
        assert!(may_go_on(&seat_of_hold).await);
        kept.set_sent();
        assert!(!may_go_on(&seat_of_hold).await);
        drop(kept);
        assert!(may_go_on(&seat_of_hold).await);
    }

    /// Whether a stream need not wait.
    async fn may_go_on(seat: &Weak<Seat>) -> bool {
        tokio::select! {
            biased;
            () = wait_for_stream_room(seat, 64_000) => true,
            () = future::ready(()) => false,
        }
    }

    /// The sockets of all kinds together stay below the descriptors less those for files.
    #[test]
    fn places_are_fewer_than_the_sockets_of_the_machine() {
        for descriptors in [400, 1_024, 3_075, 10_250] {
            let places = Places::of(descriptors);
            let sum = places.callers + ENDPOINTS * places.endpoint + places.others + OWN_SOCKETS;
            assert!(sum <= descriptors - RESERVED_DESCRIPTORS, "{places:?}");
        }
    }
}
