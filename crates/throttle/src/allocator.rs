//! Gives the tokens of one upstream to the requests of all hosts. Exact while one host does this,
//! whatever the number of hosts and the distribution of the demand among them.
//!
//! Answers the load of many hosts that ask for more than the upstream takes: the most urgent
//! requests go first, and what cannot go in time is turned away at once.

use crate::bucket::Bucket;
use mulberryrack_core::{Name, Rate, Time};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Lowest rate at which tokens fall due: an upstream that gets no request cannot say that its
/// limit has ended.
const MIN_RATE: Rate = Rate::from_millis(250);
/// Period for which a request that got a token gets the same answer again, as the answer may have
/// been lost.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Lateness with which a waiting request may go.
const LATENESS: Duration = Duration::from_millis(5);

/// A request at a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Name of the host.
    pub host: Name,
    /// Number of the request at the host.
    pub number: u64,
}

/// A request that asks for a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub holder: Holder,
    /// Its rank, 0 the most urgent.
    pub rank: u8,
    /// Longest time that it waits for the token.
    pub patience: Duration,
}

/// The answer to a request that asks for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request may be sent to the upstream now, once.
    Granted,
    /// The request may probably be sent after this time, and hears of it.
    Queued(Duration),
    /// There is no token for the request in time; the next one for it would come after this time.
    Denied(Duration),
    /// Another host gives the tokens, or none does.
    Elsewhere,
}

/// Place of a request in the queue: by rank, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: u8,
    order: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    holder: Holder,
    until: Time,
}

/// The tokens of one upstream.
#[derive(Clone, Debug)]
pub struct Allocator {
    bucket: Bucket,
    /// Invariant: the same requests as in `places`. Bounded, as each of them can go in time.
    queue: BTreeMap<Place, Waiting>,
    places: BTreeMap<Holder, Place>,
    /// Requests that got a token within [`REPEAT_PERIOD`] and have not given it back.
    granted: BTreeSet<Holder>,
    /// When requests got tokens, oldest first.
    grants: VecDeque<(Time, Holder)>,
    last_order: u64,
}

impl Allocator {
    /// Creates an allocator without tokens; they fall due from now on.
    #[must_use]
    pub fn new(now: Time, rate: Rate) -> Self {
        Self {
            bucket: Bucket::new(now, rate.max(MIN_RATE)),
            queue: BTreeMap::new(),
            places: BTreeMap::new(),
            granted: BTreeSet::new(),
            grants: VecDeque::new(),
            last_order: 0,
        }
    }

    /// Sets the requests a second that the upstream takes from now on.
    pub fn set_rate(&mut self, now: Time, rate: Rate) {
        self.bucket.set_rate(now, rate.max(MIN_RATE));
    }

    /// Answers a request that asks for a token. Call [`Allocator::poll`] before, so that others
    /// do not come too late.
    pub fn ask(&mut self, now: Time, ask: Ask) -> Answer {
        self.forget_old_grants(now);
        if self.granted.contains(&ask.holder) {
            return Answer::Granted;
        }
        if let Some(&place) = self.places.get(&ask.holder) {
            return Answer::Queued(self.wait_at(now, self.queue.range(..place).count()));
        }
        let place = Place {
            rank: ask.rank,
            order: self.last_order + 1,
        };
        let ahead = self.queue.range(..place).count();
        if ahead == 0 && self.bucket.take(now) {
            self.record_grant(now, ask.holder);
            return Answer::Granted;
        }
        let wait = self.wait_at(now, ahead);
        if wait > ask.patience {
            return Answer::Denied(wait);
        }
        self.last_order += 1;
        self.places.insert(ask.holder.clone(), place);
        let waiting = Waiting {
            holder: ask.holder,
            until: now + ask.patience,
        };
        self.queue.insert(place, waiting);
        Answer::Queued(wait)
    }

    fn wait_at(&self, now: Time, ahead: usize) -> Duration {
        self.bucket.time_until(now, ahead + 1)
    }

    fn record_grant(&mut self, now: Time, holder: Holder) {
        self.granted.insert(holder.clone());
        self.grants.push_back((now, holder));
    }

    fn forget_old_grants(&mut self, now: Time) {
        let is_old = |(at, _): &(Time, Holder)| now.since(*at) > REPEAT_PERIOD;
        while self.grants.front().is_some_and(is_old) {
            if let Some((_, holder)) = self.grants.pop_front() {
                self.granted.remove(&holder);
            }
        }
    }

    /// Gives the tokens that have fallen due to waiting requests, and turns away those that more
    /// urgent ones have made too late. Returns the answers.
    pub fn poll(&mut self, now: Time) -> Vec<(Holder, Answer)> {
        let mut answers = Vec::new();
        while !self.queue.is_empty() && self.bucket.take(now) {
            let Some((_, first)) = self.queue.pop_first() else {
                break;
            };
            self.places.remove(&first.holder);
            self.record_grant(now, first.holder.clone());
            answers.push((first.holder, Answer::Granted));
        }
        let mut kept = 0;
        let mut late = Vec::new();
        for (place, waiting) in &self.queue {
            let wait = self.wait_at(now, kept);
            if now + wait > waiting.until + LATENESS {
                late.push((*place, wait));
            } else {
                kept += 1;
            }
        }
        for (place, wait) in late {
            if let Some(waiting) = self.queue.remove(&place) {
                self.places.remove(&waiting.holder);
                answers.push((waiting.holder, Answer::Denied(wait)));
            }
        }
        answers
    }

    /// Time until the next waiting request may go; `None` if none waits.
    #[must_use]
    pub fn next_due(&self, now: Time) -> Option<Duration> {
        (!self.queue.is_empty()).then(|| self.wait_at(now, 0))
    }

    /// Takes back the token of a request that was not sent, or its place in the queue.
    pub fn give_back(&mut self, holder: &Holder) {
        if let Some(place) = self.places.remove(holder) {
            self.queue.remove(&place);
        }
        if self.granted.remove(holder) {
            self.bucket.put_back();
        }
    }

    /// Gives all requests that wait the same answer.
    pub fn dismiss(&mut self, answer: Answer) -> Vec<(Holder, Answer)> {
        self.places.clear();
        let queue = std::mem::take(&mut self.queue);
        queue.into_values().map(|it| (it.holder, answer)).collect()
    }
}
