//! What is known of one subject.

use crate::subject::Subject;
use mulberryrack_core::{Name, Time, hash};
use mulberryrack_wire::route::{Crash as CrashMessage, Suspicion};
use std::{
    collections::{BTreeMap, BTreeSet},
    iter,
    time::Duration,
};

/// Time since a completed run after which another one is news.
const COMPLETION_REFRESH: Duration = Duration::from_secs(5);
/// Largest number of crashes of a kind that are kept for one subject. It is refused long before
/// that.
const MAX_CRASHES: usize = 8;
/// Resolution of the clock. What a host records of a crash after a run to its end is later than it.
const TICK: Duration = Duration::from_micros(1);
/// Crashes under trial after which a part is refused. One may have been that of a request which
/// itself crashes upstreams; such a request is not tried twice.
pub(crate) const TRIALS_UNTIL_REFUSED: usize = 2;

/// Identifies a crash: the upstream and its incarnation that ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash {
    /// Name of the upstream.
    pub upstream: Name,
    /// The incarnation that ended; 0 if it is unknown.
    pub incarnation: u64,
}

/// What is known of a crash on which a subject was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Mark {
    /// Whether the crash was withdrawn: its upstream is alive.
    withdrawn: bool,
    /// Whether the subject, a part, was on trial with a request that nothing else counted against.
    tried: bool,
    /// When the subject was last in flight on it, by this host's clock.
    at: Time,
}

impl Mark {
    const fn new(at: Time) -> Self {
        Self {
            withdrawn: false,
            tried: false,
            at,
        }
    }

    const fn kind(self) -> Kind {
        match (self.withdrawn, self.tried) {
            (true, _) => Kind::Withdrawn,
            (false, true) => Kind::Tried,
            (false, false) => Kind::Plain,
        }
    }
}

/// Crashes of which a number is kept each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Plain,
    Tried,
    Withdrawn,
}

/// Crashes during which a subject was in flight. Hosts that tell each other what they know come to
/// agree, whatever they drop: a run to its end ends the earliest crashes, and these are dropped first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Invariant: none that counts is earlier than `acquitted`; of those under trial, of the others
    /// that count, and of the withdrawn ones there are at most [`MAX_CRASHES`] each.
    crashes: BTreeMap<Crash, Mark>,
    /// End of a run to its end, by this host's clock: no earlier crash counts. `None` if there was
    /// none since the first crash.
    acquitted: Option<Time>,
    /// When a request with the part last ran to its end, before the crashes or after, by this
    /// host's clock; `None` if that is long ago or unknown, and for requests.
    completed: Option<Time>,
    /// When the evidence last changed, by this host's clock.
    pub(crate) changed: Time,
}

impl Evidence {
    pub(crate) const fn new(changed: Time) -> Self {
        Self {
            crashes: BTreeMap::new(),
            acquitted: None,
            completed: None,
            changed,
        }
    }

    /// The crashes that count against the subject.
    pub fn counting(&self) -> impl Iterator<Item = &Crash> {
        let counting = self.crashes.iter().filter(|(_, mark)| !mark.withdrawn);
        counting.map(|(crash, _)| crash)
    }

    /// Number of crashes that came of trials of the part, of those that are among `open`.
    pub(crate) fn trials(&self, open: &BTreeSet<&Crash>) -> usize {
        let tried = self.crashes.iter().filter(|(_, mark)| mark.tried);
        tried.filter(|(crash, _)| open.contains(crash)).count()
    }

    /// Whether enough crashes came of trials of the part to refuse it, whatever else was in flight.
    pub(crate) fn was_tried(&self) -> bool {
        let marks = self.crashes.values();
        marks.filter(|mark| mark.tried && !mark.withdrawn).count() >= TRIALS_UNTIL_REFUSED
    }

    /// The only crash, if nothing else is known of the subject.
    pub(crate) fn only_crash(&self) -> Option<&Crash> {
        let (crash, mark) = self.crashes.first_key_value()?;
        let is_all = self.crashes.len() == 1 && *mark == Mark::new(mark.at);
        (is_all && self.completed.is_none() && self.acquitted.is_none()).then_some(crash)
    }

    /// Whether there is nothing that another host could learn.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.acquitted.is_none()
    }

    /// Whether there is a crash, withdrawn or not.
    pub(crate) fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Hash of the crashes and of what is known of them.
    pub(crate) fn digest(&self, seed: u64) -> u64 {
        let add = |digest: u64, (crash, mark): (&Crash, &Mark)| {
            let digest = hash::stable(crash.upstream.as_bytes(), digest);
            let digest = hash::stable(&crash.incarnation.to_le_bytes(), digest);
            hash::stable(&[mark.kind() as u8], digest)
        };
        self.crashes.iter().fold(seed, add)
    }

    /// Records a crash on which the subject was last in flight at `at`.
    pub(crate) fn add(&mut self, now: Time, at: Time, crash: Crash) {
        self.change(now, crash, Mark::new(at));
    }

    /// Records a crash that has just been noticed: it is later than each known run to its end.
    pub(crate) fn add_latest(&mut self, now: Time, crash: Crash) {
        let at = self.after_acquittal(now);
        self.add(now, at, crash);
    }

    pub(crate) fn add_trial(&mut self, now: Time, crash: Crash) {
        let mark = Mark {
            tried: true,
            ..Mark::new(self.after_acquittal(now))
        };
        self.change(now, crash, mark);
    }

    pub(crate) fn withdraw(&mut self, now: Time, crash: Crash) {
        let mark = Mark {
            withdrawn: true,
            ..Mark::new(now)
        };
        self.change(now, crash, mark);
    }

    /// Clears the subject, after a run to its end at `at`, of all crashes until then.
    pub(crate) fn acquit(&mut self, now: Time, at: Time) {
        if self.acquit_before(at + TICK) {
            self.changed = now;
        }
    }

    /// Clears the subject of all crashes before a time. Returns whether one of them counted.
    pub(crate) fn acquit_before(&mut self, until: Time) -> bool {
        if self.acquitted.is_some_and(|known| known >= until) {
            return false;
        }
        self.acquitted = Some(until);
        let known = self.crashes.len();
        self.crashes
            .retain(|_, mark| mark.withdrawn || mark.at >= until);
        self.crashes.len() != known
    }

    fn after_acquittal(&self, now: Time) -> Time {
        self.acquitted.map_or(now, |acquitted| acquitted.max(now))
    }

    fn change(&mut self, now: Time, crash: Crash, mark: Mark) {
        if self.insert(crash, mark) {
            self.changed = now;
        }
    }

    /// Adds what is known of a crash, and drops the last one if there are too many. Returns whether
    /// that changed what counts.
    fn insert(&mut self, crash: Crash, mark: Mark) -> bool {
        let former = self.crashes.get(&crash).copied();
        let merged = former.map_or(mark, |known| Mark {
            withdrawn: known.withdrawn || mark.withdrawn,
            tried: known.tried || mark.tried,
            at: known.at.min(mark.at),
        });
        let is_over = self.acquitted.is_some_and(|until| merged.at < until);
        if is_over && !merged.withdrawn {
            return self.crashes.remove(&crash).is_some();
        }
        self.crashes.insert(crash.clone(), merged);
        let dropped = self.drop_surplus(merged.kind());
        let is_known = former.is_some_and(|known| known.kind() == merged.kind());
        dropped != Some(crash) && !is_known
    }

    /// Drops the earliest crash of a kind if there are too many.
    fn drop_surplus(&mut self, kind: Kind) -> Option<Crash> {
        let of_kind = || {
            let all = self.crashes.iter();
            all.filter(|(_, mark)| mark.kind() == kind)
        };
        if of_kind().count() <= MAX_CRASHES {
            return None;
        }
        let earliest = of_kind().min_by_key(|(crash, mark)| (mark.at, *crash));
        let earliest = earliest.map(|(crash, _)| crash.clone())?;
        self.crashes.remove(&earliest);
        Some(earliest)
    }

    /// When a request with the part last ran to its end, as far as that is known.
    #[must_use]
    pub const fn completed(&self) -> Option<Time> {
        self.completed
    }

    /// Records that a request with the part ran to its end. Returns whether that is news.
    pub(crate) fn complete(&mut self, at: Time) -> bool {
        let is_news = self
            .completed
            .is_none_or(|known| at.since(known) >= COMPLETION_REFRESH);
        if is_news {
            self.completed = Some(at);
        }
        is_news
    }

    /// Forgets a completed run that is older than `period`. Returns whether it did.
    pub(crate) fn expire_completion(&mut self, now: Time, period: Duration) -> bool {
        let is_old = self.completed.is_some_and(|at| now.since(at) > period);
        if is_old {
            self.completed = None;
        }
        is_old
    }

    /// Adds the evidence of another host. Returns whether it was news. The time of the last
    /// change moves only with news: otherwise hosts that repeat what they know to each other
    /// would never let it expire.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        let acquitted = other.acquitted.is_some_and(|at| self.acquit_before(at));
        let mut news = acquitted;
        for (crash, mark) in &other.crashes {
            news |= self.insert(crash.clone(), *mark);
        }
        if news {
            self.changed = self.changed.max(other.changed);
        }
        let completed = other.completed.is_some_and(|at| self.complete(at));
        news || completed
    }

    pub(crate) fn encode(&self, now: Time, subject: Subject) -> Suspicion {
        let micros = |at: Time| u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX);
        let millis = |at: Time| micros(at) / 1_000;
        let messages = |has: fn(&Mark) -> bool| {
            let crashes = self.crashes.iter().filter(move |(_, mark)| has(mark));
            crashes.map(|(crash, _)| crash.into()).collect()
        };
        Suspicion {
            fingerprint: subject.id().to_le_bytes().to_vec().into(),
            // Hosts of earlier versions look for the withdrawn ones in both lists.
            crashes: messages(|_| true),
            cleared: messages(|mark| mark.withdrawn),
            tried: messages(|mark| mark.tried),
            age_ms: millis(self.changed),
            part: subject.is_part(),
            completed_age_ms: self.completed.map(millis),
            crash_ages_us: self.crashes.values().map(|mark| micros(mark.at)).collect(),
            acquitted_age_us: self.acquitted.map(micros),
        }
    }

    /// Decodes the evidence on one subject; `None` if its fingerprint has another length.
    pub(crate) fn decode(now: Time, suspicion: Suspicion) -> Option<(Subject, Self)> {
        let subject = Subject::from_wire(&suspicion.fingerprint, suspicion.part)?;
        let before_us = |age_us: u64| Time::from_micros(now.as_micros().saturating_sub(age_us));
        let before = |age_ms: u64| before_us(age_ms.saturating_mul(1_000));
        let mut evidence = Self::new(before(suspicion.age_ms));
        evidence.completed = suspicion.completed_age_ms.map(before);
        evidence.acquitted = suspicion.acquitted_age_us.map(before_us);
        let withdrawn: BTreeSet<Crash> = suspicion.cleared.into_iter().map(Into::into).collect();
        let tried: BTreeSet<Crash> = suspicion.tried.into_iter().map(Into::into).collect();
        // Hosts of earlier versions tell no ages, and the withdrawn ones perhaps only as such.
        let ages = suspicion.crash_ages_us.into_iter().map(Some);
        let crashes = suspicion.crashes.into_iter().map(Crash::from);
        let crashes = crashes.zip(ages.chain(iter::repeat(None)));
        let only_withdrawn = withdrawn.iter().cloned().map(|crash| (crash, None));
        for (crash, age) in crashes.chain(only_withdrawn) {
            let mark = Mark {
                withdrawn: withdrawn.contains(&crash),
                tried: tried.contains(&crash),
                at: age.map_or(evidence.changed, before_us),
            };
            evidence.insert(crash, mark);
        }
        Some((subject, evidence))
    }
}

impl From<&Crash> for CrashMessage {
    fn from(crash: &Crash) -> Self {
        Self {
            upstream: crash.upstream.to_string(),
            incarnation: crash.incarnation,
        }
    }
}

impl From<CrashMessage> for Crash {
    fn from(message: CrashMessage) -> Self {
        Self {
            upstream: message.upstream.into(),
            incarnation: message.incarnation,
        }
    }
}
