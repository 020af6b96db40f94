//! The host's link to the network: how full it is, and how long bytes wait there.
//!
//! A host cannot see what waits on the way to it. It knows what has crossed its link, the rate of the link,
//! and how long short calls to the key-value service take. Calls that take long while the link is full have
//! waited for it; while it is not, the service is slow.
//!
//! A state machine without I/O, clock or threads.

use mulberryrack_core::Time;
use std::{collections::VecDeque, time::Duration};

/// Period over which the bytes on the link are counted.
const PERIOD: Duration = Duration::from_millis(500);
/// Part of the rate from which on the link counts as full. The headers of packets, which are not counted, take
/// some of it, up to a third with short datagrams.
const FULL_SHARE: f64 = 0.6;
/// Time for which a round trip tells something: two renewals of a lease.
const VALIDITY: Duration = Duration::from_millis(1_500);
/// Longest delay that is reckoned with: packets that wait longer than half a second each way are those of a
/// link that is choked.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Bytes that have crossed the link since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// From this host.
    pub sent: u64,
    /// To this host.
    pub received: u64,
}

/// The link of one host.
#[derive(Clone, Debug)]
pub struct Uplink {
    /// Rate in each direction; `None` if the settings do not name it, and then no delay is told.
    bytes_per_s: Option<u32>,
    /// Invariant: in the order of time; all but the first one are of the last [`PERIOD`].
    counts: VecDeque<(Time, Totals)>,
    /// The shortest round trip so far.
    shortest: Option<Duration>,
    /// The last round trip, and when it ended.
    last: Option<(Time, Duration)>,
    /// When the round trips that are under way began.
    open: Vec<Time>,
}

impl Uplink {
    /// A link on which nothing has happened.
    #[must_use]
    pub const fn new(bytes_per_s: Option<u32>) -> Self {
        Self {
            bytes_per_s,
            counts: VecDeque::new(),
            shortest: None,
            last: None,
            open: Vec::new(),
        }
    }

    /// Records what has crossed the link by now.
    pub fn record_totals(&mut self, now: Time, totals: Totals) {
        self.counts.push_back((now, totals));
        let is_old = |counts: &VecDeque<(Time, Totals)>| {
            counts
                .get(1)
                .is_some_and(|(at, _)| now.since(*at) >= PERIOD)
        };
        while is_old(&self.counts) {
            self.counts.pop_front();
        }
    }

    /// Records that a short call to the key-value service begins.
    pub fn begin_round_trip(&mut self, now: Time) {
        self.open.push(now);
    }

    /// Records that a call that began at `begun` has ended, with an answer or without.
    pub fn end_round_trip(&mut self, now: Time, begun: Time, is_answered: bool) {
        if let Some(index) = self.open.iter().position(|at| *at == begun) {
            self.open.swap_remove(index);
        }
        if is_answered {
            let took = now.since(begun);
            self.shortest = Some(self.shortest.map_or(took, |shortest| shortest.min(took)));
            self.last = Some((now, took));
        }
    }

    /// What crosses the link in its busier direction, as a part of its rate; `None` if that is not known.
    #[must_use]
    pub fn load(&self) -> Option<f64> {
        let rate = f64::from(self.bytes_per_s?);
        let ((since, first), (until, last)) = (self.counts.front()?, self.counts.back()?);
        let seconds = until.since(*since).as_secs_f64();
        let bytes = (last.sent - first.sent).max(last.received - first.received);
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        (seconds > 0.0).then(|| bytes / (rate * seconds))
    }

    /// How much longer than usual bytes take now from a remote side to this host and back.
    #[must_use]
    pub fn delay(&self, now: Time) -> Duration {
        if self.load().is_none_or(|load| load < FULL_SHARE) {
            return Duration::ZERO;
        }
        let last = self.last.filter(|(at, _)| now.since(*at) <= VALIDITY);
        let last = last.map_or(Duration::ZERO, |(_, took)| took);
        // A call that is under way has taken this long at least.
        let earliest = self.open.iter().min();
        let current = earliest.map_or(Duration::ZERO, |begun| now.since(*begun));
        let usual = self.shortest.unwrap_or(MAX_DELAY);
        last.max(current).saturating_sub(usual).min(MAX_DELAY)
    }
}
