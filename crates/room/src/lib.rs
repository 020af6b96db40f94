//! The account of what a host holds for its callers: places for connections, and bytes of heads,
//! bodies, answers and buffers. Without I/O and without a clock.
//!
//! Each connection has one entry in [`Room`]. When the bytes or the places are used up, the
//! connection that has transferred least of late, relative to what it holds, is evicted, or the
//! newcomer is refused.

mod pace;

use mulberryrack_core::Time;
use pace::Pace;
use std::{collections::BTreeMap, time::Duration};

/// Age from which on a transfer may be evicted, and time without progress after which a fast one may
/// be.
pub const MIN_STALL: Duration = Duration::from_secs(1);
/// Shortest time between two searches of a full account, each of which looks at all connections.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the capacity by which answers may exceed it.
const ANSWERS_PART: u64 = 16;
/// Scale of the part of what it holds that a connection has transferred.
const SHARE_SCALE: u64 = 1_000_000;
/// Memory of a process that serves no callers, in bytes: 10 to 16 MB were measured.
const PROCESS_BYTES: u64 = 24 << 20;
/// Part of the memory that is kept for upstreams, other hosts and what the allocator cannot reuse.
const KEPT_PART: u64 = 4;
/// Bytes that each connection takes: its read buffer and its tasks.
pub const CONNECTION_BYTES: u64 = 12 << 10;

/// Bytes for callers on a machine with `memory_mb`: what the process does not need itself.
#[must_use]
pub fn capacity(memory_mb: u32) -> u64 {
    let memory = u64::from(memory_mb) << 20;
    let own = PROCESS_BYTES + memory / KEPT_PART;
    memory.saturating_sub(own).max(memory / KEPT_PART)
}

/// Number of a connection, unique in its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is in flight.
    Idle,
    /// The body of a request is being read.
    Receiving,
    /// A request is served.
    Serving,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    phase: Phase,
    bytes: u64,
    /// Time of the last change of phase, or of the last bytes of a body.
    progress_at: Time,
    /// Since when a body is being read, if one is.
    receiving_since: Time,
    /// Since when there are bytes that the caller could have read.
    unread_since: Option<Time>,
    /// Since when the caller has read nothing of them. Some only if `unread_since` is.
    blocked_since: Option<Time>,
    /// Bytes of the transfer that is under way.
    pace: Pace,
    /// Whether its transfer was evicted. It holds no bytes, and keeps its place until it is closed.
    is_evicted: bool,
}

/// The order in which transfers give way, the first one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether it is as fast as that of a client within the limits.
    is_fast: bool,
    /// What was transferred of late, relative to what is held.
    share: u64,
    progress_at: Time,
    id: ConnectionId,
}

impl Entry {
    /// Since when there is a transfer, if there is one that can give way.
    const fn transfer_since(&self) -> Option<Time> {
        match (self.unread_since, self.phase) {
            _ if self.is_evicted => None,
            (Some(since), _) => Some(since),
            (None, Phase::Receiving) => Some(self.receiving_since),
            (None, Phase::Idle | Phase::Serving) => None,
        }
    }

    /// Time of the last progress of the transfer.
    fn last_progress(&self, now: Time) -> Time {
        match (self.unread_since, self.blocked_since) {
            (Some(_), Some(blocked)) => blocked,
            (Some(_), None) => now,
            (None, _) => self.progress_at,
        }
    }

    /// Its place in the order of those that give way; `None` if it does not: the transfer is young,
    /// or it is fast and makes progress. `slowest` is the rate in bytes a second from which on it is
    /// fast.
    fn rank(&self, now: Time, id: ConnectionId, slowest: u64) -> Option<Rank> {
        let since = self.transfer_since()?;
        if now.since(since) < MIN_STALL {
            return None;
        }
        let progress_at = self.last_progress(now);
        let is_fast = self.pace.is_reached(now, since, slowest);
        if is_fast && now.since(progress_at) < MIN_STALL {
            return None;
        }
        let share = self.pace.recent(now).saturating_mul(SHARE_SCALE) / self.bytes.max(1);
        Some(Rank {
            is_fast,
            share,
            progress_at,
            id,
        })
    }
}

/// The connection that gives way to another one. What it held is no longer on the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted {
    /// The connection.
    pub id: ConnectionId,
    /// How it gives way.
    pub how: Eviction,
}

/// How a connection gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The request whose body is being read is refused.
    Request,
    /// The connection is closed.
    Connection,
}

/// There is no room, and no connection gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The account of one host.
#[derive(Debug)]
pub struct Room {
    capacity: u64,
    places: usize,
    held: u64,
    next_id: u64,
    entries: BTreeMap<ConnectionId, Entry>,
    /// Rate of the slowest client within the limits, in bytes a second. At 0 only transfers that have
    /// stalled are evicted.
    slowest: u64,
    /// Time before which a full account is not searched again; keeps it from being searched for each
    /// byte that arrives.
    next_search: Time,
}

impl Room {
    /// An account for up to `capacity` bytes and `places` connections.
    #[must_use]
    pub const fn new(capacity: u64, places: usize) -> Self {
        Self {
            capacity,
            places,
            held: 0,
            next_id: 0,
            entries: BTreeMap::new(),
            slowest: 0,
            next_search: Time::ZERO,
        }
    }

    /// Sets the rate from which on a transfer is as fast as that of a client within the limits, in
    /// bytes a second.
    pub const fn set_slowest(&mut self, rate: u64) {
        self.slowest = rate;
    }

    /// Bytes on the account.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Number of connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Bytes that one connection holds; 0 if it is not on the account.
    #[must_use]
    pub fn bytes_of(&self, id: ConnectionId) -> u64 {
        self.entries.get(&id).map_or(0, |entry| entry.bytes)
    }

    /// Takes a place for a new connection. If none is free, the connection that has been idle for
    /// longest is evicted, else the slowest transfer. The buffers of the connection are counted, also
    /// on a full account.
    ///
    /// # Errors
    ///
    /// [`Full`] if no connection gives way.
    pub fn open(&mut self, now: Time) -> Result<(ConnectionId, Option<Evicted>), Full> {
        let evicted = if self.entries.len() >= self.places {
            let first = self.first_evicted().or_else(|| self.longest_idle());
            let first = first.or_else(|| self.slowest_transfer(now));
            let id = first.ok_or(Full)?;
            self.close(id);
            let how = Eviction::Connection;
            Some(Evicted { id, how })
        } else {
            None
        };
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let entry = Entry {
            phase: Phase::Idle,
            bytes: CONNECTION_BYTES,
            progress_at: now,
            receiving_since: now,
            unread_since: None,
            blocked_since: None,
            pace: Pace::default(),
            is_evicted: false,
        };
        self.entries.insert(id, entry);
        self.held += CONNECTION_BYTES;
        Ok((id, evicted))
    }

    /// Removes a connection and what it holds.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.held -= entry.bytes;
        }
    }

    /// Records what a connection is used for from now on.
    pub fn set_phase(&mut self, now: Time, id: ConnectionId, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = phase;
            entry.progress_at = now;
            if phase == Phase::Receiving {
                entry.receiving_since = now;
                if entry.unread_since.is_none() {
                    entry.pace = Pace::default();
                }
            }
        }
    }

    /// Takes bytes for a connection, which thereby makes progress. If the account is full, other
    /// transfers are evicted, the slowest first.
    ///
    /// # Errors
    ///
    /// [`Full`] if that is not enough, or if the connection was evicted; nothing is taken then.
    pub fn reserve(
        &mut self,
        now: Time,
        id: ConnectionId,
        bytes: u64,
        evicted: &mut Vec<Evicted>,
    ) -> Result<(), Full> {
        let entry = self.entries.get_mut(&id).ok_or(Full)?;
        if entry.is_evicted {
            return Err(Full);
        }
        entry.progress_at = now;
        if entry.phase == Phase::Receiving {
            entry.pace.add(now, bytes);
        }
        self.make_room(now, id, bytes, evicted)?;
        self.add(id, bytes);
        Ok(())
    }

    /// As [`Room::reserve`], for an answer of an upstream. It may exceed the capacity by a part:
    /// requests that hold the account full end only when they have their answers.
    ///
    /// # Errors
    ///
    /// [`Full`] if that part is used up as well, or if the connection was evicted.
    pub fn reserve_answer(
        &mut self,
        now: Time,
        id: ConnectionId,
        bytes: u64,
        evicted: &mut Vec<Evicted>,
    ) -> Result<(), Full> {
        let entry = self.entries.get(&id).ok_or(Full)?;
        if entry.is_evicted {
            return Err(Full);
        }
        let extended = self.capacity.saturating_add(self.capacity / ANSWERS_PART);
        if self.make_room(now, id, bytes, evicted).is_err() && self.held + bytes > extended {
            return Err(Full);
        }
        self.add(id, bytes);
        Ok(())
    }

    /// Has other transfers give way, the slowest first, until there is room for `bytes`. Nothing is
    /// taken.
    ///
    /// # Errors
    ///
    /// [`Full`] if that is not enough, or if this connection is the slowest one.
    pub fn make_room(
        &mut self,
        now: Time,
        id: ConnectionId,
        bytes: u64,
        evicted: &mut Vec<Evicted>,
    ) -> Result<(), Full> {
        while self.held + bytes > self.capacity {
            let other = self.slowest_transfer(now).filter(|other| *other != id);
            evicted.push(self.evict(other.ok_or(Full)?));
        }
        Ok(())
    }

    /// As [`Room::reserve`], for what has arrived and cannot be refused: the account may exceed its
    /// capacity.
    pub fn charge(&mut self, now: Time, id: ConnectionId, bytes: u64, evicted: &mut Vec<Evicted>) {
        if self.reserve(now, id, bytes, evicted).is_err() {
            self.add(id, bytes);
        }
    }

    fn add(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&id)
            && !entry.is_evicted
        {
            entry.bytes += bytes;
            self.held += bytes;
        }
    }

    /// Gives bytes back. Those of an evicted connection were given back with it.
    pub fn release(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let bytes = bytes.min(entry.bytes);
            entry.bytes -= bytes;
            self.held -= bytes;
        }
    }

    /// Records that a caller reads nothing of what is written to it, or reads again.
    pub fn set_blocked(&mut self, now: Time, id: ConnectionId, is_blocked: bool) {
        if let Some(entry) = self.entries.get_mut(&id) {
            if is_blocked {
                entry.blocked_since.get_or_insert(now);
                if entry.unread_since.is_none() {
                    entry.unread_since = Some(now);
                    entry.pace = Pace::default();
                }
            } else {
                entry.blocked_since = None;
            }
        }
    }

    /// Counts bytes that were written to a caller.
    pub fn record_written(&mut self, now: Time, id: ConnectionId, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.unread_since.is_some()
        {
            entry.pace.add(now, bytes);
        }
    }

    /// Records that all that there is for a caller was written to it.
    pub fn set_flushed(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.unread_since = None;
            entry.blocked_since = None;
        }
    }

    /// Evicts the connections whose callers have read nothing for `timeout`.
    pub fn evict_blocked(&mut self, now: Time, timeout: Duration) -> Vec<Evicted> {
        let is_over = |entry: &Entry| {
            let since = entry.blocked_since;
            !entry.is_evicted && since.is_some_and(|since| now.since(since) >= timeout)
        };
        let over = self.entries.iter().filter(|(_, entry)| is_over(entry));
        let over: Vec<ConnectionId> = over.map(|(id, _)| *id).collect();
        over.into_iter().map(|id| self.evict(id)).collect()
    }

    /// A connection that is about to close.
    fn first_evicted(&self) -> Option<ConnectionId> {
        let evicted = self.entries.iter().find(|(_, entry)| entry.is_evicted);
        evicted.map(|(id, _)| *id)
    }

    fn longest_idle(&self) -> Option<ConnectionId> {
        let is_idle = |entry: &Entry| entry.phase == Phase::Idle && entry.unread_since.is_none();
        let idle = self.entries.iter().filter(|(_, entry)| is_idle(entry));
        let longest = idle.min_by_key(|(id, entry)| (entry.progress_at, **id));
        longest.map(|(id, _)| *id)
    }

    /// The transfer that gives way first.
    fn slowest_transfer(&mut self, now: Time) -> Option<ConnectionId> {
        if now < self.next_search {
            return None;
        }
        let entries = self.entries.iter();
        let ranks = entries.filter_map(|(id, entry)| entry.rank(now, *id, self.slowest));
        let first = ranks.min();
        if first.is_none() {
            self.next_search = now + SEARCH_INTERVAL;
        }
        first.map(|rank| rank.id)
    }

    /// Ends the transfer of a connection, which keeps its place until it is closed.
    fn evict(&mut self, id: ConnectionId) -> Evicted {
        let mut how = Eviction::Connection;
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.phase == Phase::Receiving && entry.unread_since.is_none() {
                how = Eviction::Request;
            }
            self.held -= entry.bytes;
            entry.bytes = 0;
            entry.is_evicted = true;
        }
        Evicted { id, how }
    }
}
