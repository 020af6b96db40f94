//! When the other hosts were heard last.

use mulberryrack_core::Time;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Datagrams a second that keep-alives of all hosts together may cause at one host. With up to 70
/// bytes each, they stay within the budget for control traffic of 9 KB a second.
const KEEP_ALIVES_PER_S: f64 = 120.0;
const MIN_KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(100);
/// A host counts as silent after this many intervals, so that one lost keep-alive is no silence.
const SILENT_INTERVALS: u32 = 3;
/// Intervals for which a host that is heard has spent no more than it states.
const KNOWN_INTERVALS: f64 = 1.5;
/// A host that hears nobody for this many times the usual gap between two keep-alives, and for this
/// time, is cut off. A thread that waits for its processor may be late by some 100 ms.
const CUT_OFF_GAPS: f64 = 10.0;
const MIN_CUT_OFF_PERIOD: Duration = Duration::from_millis(300);
/// Time that a host takes at its start to learn which hosts run already, one after another.
const LISTING_PERIOD: Duration = Duration::from_secs(5);
/// Time for which a host without a registration counts as one of the hosts, from the end of its
/// registration and from each datagram of it. A host that is told to stop gives up its registration
/// at once and still serves for 3.3 s (`LEAVING_PERIOD` of `edge::host`); the others learn of both
/// within some 100 ms.
const DEPARTURE_PERIOD: Duration = Duration::from_millis(3_500);
/// Time for which the totals of a process that no longer counts are kept, in case that its
/// registration is written again.
const RETENTION: Duration = Duration::from_secs(600);
/// Most processes without a registration that are known. It covers a replacement of all of some 300
/// hosts.
const MAX_UNREGISTERED: usize = 400;
/// Longest time for which the number of hosts that are heard is kept.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// Time until which the share of the host is credited.
    pub(crate) heard_at: Time,
    /// Seconds that are credited with a total, up to what it says was spent in them. The rest is
    /// lost: shares of many hosts that come back would exceed a full bucket one after another.
    pub(crate) silent_s: f64,
    /// Whether the process started after this one, so that its totals began at zero meanwhile.
    pub(crate) is_newer: bool,
    /// When the process was first without a registration; `None` while it has one.
    departed_at: Option<Time>,
}

impl Peer {
    /// Whether the host may still be spending: it is registered, or was or was heard a short time
    /// ago.
    fn counts(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at.max(self.heard_at)) <= DEPARTURE_PERIOD;
        self.departed_at.is_none_or(is_recent)
    }
}

/// The other hosts by the incarnation of their process.
#[derive(Clone, Debug)]
pub(crate) struct Hosts {
    /// The hosts that are registered, and those without a registration that may still be spending.
    peers: BTreeMap<u64, Peer>,
    /// Processes that no longer count, and when they ceased to. At most [`MAX_UNREGISTERED`].
    former: BTreeMap<u64, (Peer, Time)>,
    /// Time at which the registered hosts became known.
    listed_at: Option<Time>,
    /// Seconds of all other hosts that were credited.
    heard_s: f64,
    reviewed_at: Option<Time>,
    /// Time at which any other host was heard last.
    any_heard_at: Time,
    /// Number of hosts that are not silent, this one included.
    fresh: f64,
    /// Seconds of the hosts that are not silent that will be credited when they are heard.
    pending_s: f64,
}

impl Hosts {
    pub(crate) const fn new() -> Self {
        Self {
            peers: BTreeMap::new(),
            former: BTreeMap::new(),
            listed_at: None,
            heard_s: 0.0,
            reviewed_at: None,
            any_heard_at: Time::ZERO,
            fresh: 1.0,
            pending_s: 0.0,
        }
    }

    /// Replaces the registered hosts, without this one. Those that are no longer registered still
    /// count for [`DEPARTURE_PERIOD`].
    pub(crate) fn set(&mut self, now: Time, incarnations: &BTreeSet<u64>) {
        self.listed_at.get_or_insert(now);
        for (id, peer) in &mut self.peers {
            if !incarnations.contains(id) {
                peer.departed_at.get_or_insert(now);
            }
        }
        for id in incarnations {
            self.count_in(now, *id).departed_at = None;
        }
        self.reviewed_at = None;
    }

    /// Counts a process as one of the hosts. One that was known before keeps its state, without
    /// credit for the time in which it did not count.
    fn count_in(&mut self, now: Time, incarnation: u64) -> &mut Peer {
        let is_newer = |at: Time| now.since(at) >= LISTING_PERIOD;
        let is_newer = self.listed_at.is_some_and(is_newer);
        let former = &mut self.former;
        self.peers.entry(incarnation).or_insert_with(|| {
            let known = former.remove(&incarnation).map(|(peer, _)| peer);
            Peer {
                heard_at: now,
                silent_s: known.map_or(0.0, |it| it.silent_s),
                is_newer: known.map_or(is_newer, |it| it.is_newer),
                departed_at: Some(now),
            }
        })
    }

    /// Whether the totals of a process are to be kept.
    pub(crate) fn knows(&self, incarnation: u64) -> bool {
        self.peers.contains_key(&incarnation) || self.former.contains_key(&incarnation)
    }

    /// Ceases to count hosts that have departed. Returns whether a process was forgotten.
    fn expire(&mut self, now: Time) -> bool {
        let former = &mut self.former;
        self.peers.retain(|id, peer| {
            let counts = peer.counts(now);
            if !counts {
                former.insert(*id, (*peer, now));
            }
            counts
        });
        let known = self.former.len();
        self.former
            .retain(|_, (_, since)| now.since(*since) < RETENTION);
        while self.former.len() > MAX_UNREGISTERED {
            let oldest = self.former.iter().min_by_key(|(_, (_, since))| *since);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            self.former.remove(&id);
        }
        self.former.len() < known
    }

    /// Whether the next review ceases to count a host.
    pub(crate) fn is_expiry_due(&self, now: Time) -> bool {
        self.is_review_due(now) && self.peers.values().any(|peer| !peer.counts(now))
    }

    fn is_review_due(&self, now: Time) -> bool {
        let is_due = |at: Time| now.since(at) >= REVIEW_INTERVAL;
        self.reviewed_at.is_none_or(is_due)
    }

    /// Whether a process is known, or may become known by a datagram although it was never
    /// registered as far as this host has read: it may be leaving since before this host started.
    fn admits(&self, incarnation: u64) -> bool {
        let departing = self.peers.values().filter(|it| it.departed_at.is_some());
        self.knows(incarnation) || departing.count() + self.former.len() < MAX_UNREGISTERED
    }

    /// Number of hosts, this one included.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn count(&self) -> f64 {
        (self.peers.len() + 1) as f64
    }

    /// Seconds of all other hosts that were credited so far.
    pub(crate) const fn heard_s(&self) -> f64 {
        self.heard_s
    }

    /// Records that a host was heard, also if it has no registration: it may be spending. `None`
    /// if too many have none.
    pub(crate) fn hear(&mut self, now: Time, incarnation: u64) -> Option<Peer> {
        let interval = self.keep_alive_interval();
        let known_s = interval.as_secs_f64() * KNOWN_INTERVALS;
        if !self.peers.contains_key(&incarnation) {
            if !self.admits(incarnation) {
                return None;
            }
            self.reviewed_at = None;
        }
        let peer = self.count_in(now, incarnation);
        let age = now.since(peer.heard_at).as_secs_f64();
        let was_silent = now.since(peer.heard_at) > interval * SILENT_INTERVALS;
        let credited = if was_silent { 0.0 } else { age.min(known_s) };
        peer.silent_s += age - credited;
        peer.heard_at = peer.heard_at.max(now);
        let peer = *peer;
        self.heard_s += credited;
        self.any_heard_at = now;
        if self.fresh <= 1.0 {
            self.reviewed_at = None;
        }
        Some(peer)
    }

    pub(crate) fn keep_alive_interval(&self) -> Duration {
        let interval = Duration::from_secs_f64(self.count() / KEEP_ALIVES_PER_S);
        interval.max(MIN_KEEP_ALIVE_INTERVAL)
    }

    /// Counts the hosts and those that are heard, unless that was done a moment ago. Returns
    /// whether a process was forgotten.
    pub(crate) fn review(&mut self, now: Time) -> bool {
        if !self.is_review_due(now) {
            return false;
        }
        self.reviewed_at = Some(now);
        let has_forgotten = self.expire(now);
        let silence = self.keep_alive_interval() * SILENT_INTERVALS;
        (self.fresh, self.pending_s) = (1.0, 0.0);
        let gap = self.keep_alive_interval().as_secs_f64() / self.count();
        let period = Duration::from_secs_f64(gap * CUT_OFF_GAPS).max(MIN_CUT_OFF_PERIOD);
        if now.since(self.any_heard_at) > period {
            return has_forgotten;
        }
        for peer in self.peers.values() {
            let age = now.since(peer.heard_at);
            if age <= silence {
                self.fresh += 1.0;
                self.pending_s += age.as_secs_f64();
            }
        }
        has_forgotten
    }

    /// Whether this host hears fewer than half of the hosts.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.fresh * 2.0 < self.count()
    }

    /// Part of all hosts whose share of rate and burst this host may use: those that it hears, or
    /// itself alone if they are fewer than half.
    pub(crate) fn usable_share(&self) -> f64 {
        let count = self.count();
        let usable = if self.is_cut_off() { 1.0 } else { self.fresh };
        usable / count
    }

    /// Mean time of all hosts that is not credited yet, not counting silent ones.
    pub(crate) fn pending_s(&self) -> f64 {
        self.pending_s / self.count()
    }
}
