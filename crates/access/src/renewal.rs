//! When a host asks other hosts for their proofs that the configuration is current, whom it asks,
//! and when it calls the key-value service instead.

use crate::MARGIN;
use mulberryrack_core::{Name, Time, hash};
use std::{collections::BTreeMap, time::Duration};

/// Share of the revocation delay for which a host serves on in an outage of the service.
const OUTAGE_SHARE: f64 = 0.6;
/// Hosts of each data centre that call the service often.
const POLLERS: usize = 3;
/// Hosts that ask another host at a time. It bounds the traffic of a host in a large data centre: with
/// 5, the busiest host of 60 sends and receives 55 datagrams a second, of some 44 bytes each, at a
/// revocation delay of 5 s.
const FAN_OUT: usize = 4;
/// Age of its proof at which the first poller calls the service, and what is added for each further
/// one. All are shares of the oldest age at which a host can still serve through an outage, 1.7 s at
/// a revocation delay of 5 s.
const POLL_SHARE: f64 = 0.3;
const POLL_STEP_SHARE: f64 = 0.08;
/// Age of its proof from which a host relies on its own calls: 1.19 s at 5 s.
const FALLBACK_SHARE: f64 = 0.7;
/// Share over which the hosts spread these calls.
const SPREAD_SHARE: f64 = 0.15;
/// Share between two queries, and between two calls for a proof.
const INTERVAL_SHARE: f64 = 0.15;
/// Shortest interval, for short revocation delays.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Rounds in which a query is sent are noticed late by up to one part in this many.
const TICKS_PER_INTERVAL: u32 = 3;
/// Time after which a query counts as lost.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the answer to a watch to arrive after another host has stated a newer revision.
const CATCH_UP_DELAY: Duration = Duration::from_millis(300);

/// A query that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Query {
    nonce: u64,
    asked_at: Time,
}

/// What a host does now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Hosts to which a query is sent, with its nonce.
    pub queries: Vec<(Name, u64)>,
    /// Whether the service is called for a proof.
    pub calls_service: bool,
}

/// How a host renews its proof that the configuration is current.
#[derive(Clone, Debug)]
pub struct Renewal {
    host: Name,
    data_centre: Name,
    /// Oldest age of a proof with which a host can still serve through an outage.
    max_age: Duration,
    /// Age of the proof from which this host calls the service.
    call_age: Duration,
    /// The up to [`POLLERS`] hosts of this data centre that this host asks in turn: those next to it
    /// towards the pollers.
    asked: Vec<Name>,
    /// All other hosts. They are asked in turn as well while the proof is old.
    others: Vec<Name>,
    round: usize,
    next_round_at: Time,
    next_call_at: Time,
    /// Queries without an answer, at most one for each host.
    open: BTreeMap<Name, Query>,
    /// Since when a newer revision is known than the one that was applied.
    behind_since: Option<Time>,
}

impl Renewal {
    /// For a host that knows no others yet.
    #[must_use]
    pub fn new(host: Name, data_centre: Name, revocation_delay: Duration) -> Self {
        let max_age = revocation_delay
            .mul_f64(1.0 - OUTAGE_SHARE)
            .saturating_sub(MARGIN);
        Self {
            host,
            data_centre,
            max_age,
            call_age: max_age.mul_f64(POLL_SHARE),
            asked: vec![],
            others: vec![],
            round: 0,
            next_round_at: Time::ZERO,
            next_call_at: Time::ZERO,
            open: BTreeMap::new(),
            behind_since: None,
        }
    }

    /// Adopts the registered hosts with their data centres. The rank of a host in its data centre
    /// follows from a hash of its name, so that all hosts agree on it.
    pub fn set_hosts<'a>(&mut self, hosts: impl IntoIterator<Item = (&'a Name, &'a Name)>) {
        let rank = |name: &Name| (hash::stable(name.as_bytes(), 0), name.clone());
        let mut mates = vec![rank(&self.host)];
        self.others.clear();
        for (name, data_centre) in hosts {
            if *name == self.host {
                continue;
            }
            self.others.push(name.clone());
            if *data_centre == self.data_centre {
                mates.push(rank(name));
            }
        }
        mates.sort_unstable();
        self.others.sort_unstable();
        let is_own = |(_, name): &(u64, Name)| *name == self.host;
        let own_rank = mates.iter().position(is_own).unwrap_or_default();
        let first = own_rank.saturating_sub(POLLERS) / FAN_OUT;
        let asked = mates.iter().skip(first).take(POLLERS);
        self.asked = asked
            .map(|(_, name)| name.clone())
            .filter(|name| *name != self.host)
            .collect();
        self.call_age = self.max_age.mul_f64(call_share(own_rank, mates.len()));
        self.open.retain(|name, _| self.others.contains(name));
    }

    /// Time after which [`Renewal::poll`] is to be called again.
    #[must_use]
    pub fn tick(&self) -> Duration {
        self.interval() / TICKS_PER_INTERVAL
    }

    fn interval(&self) -> Duration {
        self.max_age.mul_f64(INTERVAL_SHARE).max(MIN_INTERVAL)
    }

    /// Whether a proof of this age is too old to rely on other hosts alone. It is if there is none.
    #[must_use]
    pub fn is_fallback(&self, age: Option<Duration>) -> bool {
        age.is_none_or(|age| age >= self.max_age.mul_f64(FALLBACK_SHARE))
    }

    /// Decides what to do now. `age` is the age of the proof, `nonce` gives random numbers.
    pub fn poll(
        &mut self,
        now: Time,
        age: Option<Duration>,
        mut nonce: impl FnMut() -> u64,
    ) -> Step {
        let mut step = Step::default();
        // Without a proof, the host has not read the configuration yet.
        let Some(age) = age else { return step };
        self.open
            .retain(|_, query| now.since(query.asked_at) < QUERY_TIMEOUT);
        if now >= self.next_round_at {
            self.next_round_at = now + self.interval();
            self.round = self.round.wrapping_add(1);
            let near = next(&self.asked, self.round, &self.open).cloned();
            self.ask(now, near, &mut nonce, &mut step);
            if self.is_fallback(Some(age)) {
                // Hosts start at different places, so that they do not all ask the same one.
                let start = hash::stable(self.host.as_bytes(), 0) >> 32;
                let start = usize::try_from(start).unwrap_or_default();
                let round = self.round.wrapping_add(start);
                let far = next(&self.others, round, &self.open).cloned();
                self.ask(now, far, &mut nonce, &mut step);
            }
        }
        if age >= self.call_age && now >= self.next_call_at {
            self.next_call_at = now + self.interval();
            step.calls_service = true;
        }
        step
    }

    fn ask(
        &mut self,
        now: Time,
        host: Option<Name>,
        nonce: &mut impl FnMut() -> u64,
        step: &mut Step,
    ) {
        let Some(host) = host else { return };
        let query = Query {
            nonce: nonce(),
            asked_at: now,
        };
        self.open.insert(host.clone(), query);
        step.queries.push((host, query.nonce));
    }

    /// Ends the query that an answer belongs to, and returns when it was made; `None` if there is
    /// none, or it is too old.
    pub fn take(&mut self, now: Time, nonce: u64) -> Option<Time> {
        let matches = |(_, query): &(&Name, &Query)| query.nonce == nonce;
        let (host, query) = self.open.iter().find(matches)?;
        let (host, asked_at) = (host.clone(), query.asked_at);
        self.open.remove(&host);
        (now.since(asked_at) < QUERY_TIMEOUT).then_some(asked_at)
    }

    /// Whether the watch that began at `watch_begun` is ended and made anew, as a newer revision has
    /// been known for a while and has not arrived.
    pub fn must_catch_up(&mut self, now: Time, is_behind: bool, watch_begun: Time) -> bool {
        if !is_behind {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.since(since.max(watch_begun)) >= CATCH_UP_DELAY
    }
}

/// The host whose turn it is, without those that have an open query.
fn next<'a>(hosts: &'a [Name], round: usize, open: &BTreeMap<Name, Query>) -> Option<&'a Name> {
    let start = round % hosts.len().max(1);
    let (before, after) = hosts.split_at(start);
    after
        .iter()
        .chain(before)
        .find(|name| !open.contains_key(*name))
}

/// Age of its proof at which a host of a data centre with `count` hosts calls the service.
#[allow(clippy::cast_precision_loss)]
fn call_share(rank: usize, count: usize) -> f64 {
    if rank < POLLERS {
        POLL_SHARE + POLL_STEP_SHARE * rank as f64
    } else {
        FALLBACK_SHARE + SPREAD_SHARE * rank as f64 / count as f64
    }
}
