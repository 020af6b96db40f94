//! What is known of one subject.

use crate::subject::Subject;
use mulberryrack_core::{Name, Time};
use mulberryrack_wire::route::{Crash as CrashMessage, Suspicion};
use std::{collections::BTreeSet, time::Duration};

/// Time since a completed run after which another one is news.
const COMPLETION_REFRESH: Duration = Duration::from_secs(5);
/// Largest number of crashes kept for one subject. It is refused long before that.
const MAX_CRASHES: usize = 8;

/// Identifies a crash: the upstream and its incarnation that ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash {
    /// Name of the upstream.
    pub upstream: Name,
    /// The incarnation that ended; 0 if it is unknown.
    pub incarnation: u64,
}

/// Crashes during which a subject was in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Invariant: at most [`MAX_CRASHES`], the first in order, so that all hosts keep the same.
    crashes: BTreeSet<Crash>,
    /// Crashes of which the subject was cleared. Invariant: as for `crashes`.
    cleared: BTreeSet<Crash>,
    /// Crashes on which a request with the part was in flight on trial, while nothing else counted
    /// against it. Invariant: as for `crashes`.
    tried: BTreeSet<Crash>,
    /// When a request with the part last ran to its end, before the crashes or after, by this
    /// host's clock; `None` if that is long ago or unknown, and for requests.
    completed: Option<Time>,
    /// When the evidence last changed, by this host's clock.
    pub(crate) changed: Time,
}

impl Evidence {
    pub(crate) const fn new(changed: Time) -> Self {
        Self {
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            tried: BTreeSet::new(),
            completed: None,
            changed,
        }
    }

    /// The crashes that count against the subject.
    pub fn counting(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.difference(&self.cleared)
    }

    /// Number of crashes that came of trials of the part, of those that count and are among
    /// `open`. Those that are no longer kept with the others count as well.
    pub(crate) fn trials(&self, open: &BTreeSet<&Crash>) -> usize {
        let counts = |crash: &&Crash| {
            open.contains(crash) || !(self.crashes.contains(crash) || self.cleared.contains(crash))
        };
        self.tried.iter().filter(counts).count()
    }

    /// Crashes that came of a trial of the part.
    pub(crate) fn tried(&self) -> impl Iterator<Item = &Crash> {
        self.tried.iter()
    }

    /// All crashes, with those of which the fingerprint was cleared.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&Crash, bool)> {
        let crashes = self.crashes.iter().map(|crash| (crash, false));
        crashes.chain(self.cleared.iter().map(|crash| (crash, true)))
    }

    pub(crate) fn add(&mut self, now: Time, crash: Crash) {
        insert(&mut self.crashes, crash);
        self.changed = now;
    }

    pub(crate) fn add_trial(&mut self, now: Time, crash: Crash) {
        insert(&mut self.tried, crash);
        self.changed = now;
    }

    pub(crate) fn clear(&mut self, now: Time, crashes: impl IntoIterator<Item = Crash>) {
        for crash in crashes {
            insert(&mut self.cleared, crash);
        }
        self.changed = now;
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
        let mut news = false;
        for crash in &other.crashes {
            news |= insert(&mut self.crashes, crash.clone());
        }
        for crash in &other.cleared {
            news |= insert(&mut self.cleared, crash.clone());
        }
        for crash in &other.tried {
            news |= insert(&mut self.tried, crash.clone());
        }
        if news {
            self.changed = self.changed.max(other.changed);
        }
        let completed = other.completed.is_some_and(|at| self.complete(at));
        news || completed
    }

    pub(crate) fn encode(&self, now: Time, subject: Subject) -> Suspicion {
        let message = |crash: &Crash| CrashMessage {
            upstream: crash.upstream.to_string(),
            incarnation: crash.incarnation,
        };
        let age_ms = |at: Time| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        Suspicion {
            fingerprint: subject.id().to_le_bytes().to_vec().into(),
            crashes: self.crashes.iter().map(message).collect(),
            cleared: self.cleared.iter().map(message).collect(),
            age_ms: age_ms(self.changed),
            part: subject.is_part(),
            tried: self.tried.iter().map(message).collect(),
            completed_age_ms: self.completed.map(age_ms),
        }
    }

    /// Decodes the evidence on one subject; `None` if its fingerprint has another length.
    pub(crate) fn decode(now: Time, suspicion: Suspicion) -> Option<(Subject, Self)> {
        let subject = Subject::from_wire(&suspicion.fingerprint, suspicion.part)?;
        let before = |age_ms: u64| {
            let age = age_ms.saturating_mul(1_000);
            Time::from_micros(now.as_micros().saturating_sub(age))
        };
        let mut evidence = Self::new(before(suspicion.age_ms));
        evidence.completed = suspicion.completed_age_ms.map(before);
        for message in suspicion.crashes {
            insert(&mut evidence.crashes, message.into());
        }
        for message in suspicion.cleared {
            insert(&mut evidence.cleared, message.into());
        }
        for message in suspicion.tried {
            insert(&mut evidence.tried, message.into());
        }
        Some((subject, evidence))
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

/// Inserts a crash and keeps the first [`MAX_CRASHES`]. Returns whether the set has changed.
fn insert(crashes: &mut BTreeSet<Crash>, crash: Crash) -> bool {
    let is_new = crashes.insert(crash.clone());
    if crashes.len() <= MAX_CRASHES {
        return is_new;
    }
    crashes.pop_last() != Some(crash)
}
