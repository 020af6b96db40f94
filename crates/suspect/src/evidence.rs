//! What is known of one subject.

use crate::subject::Subject;
use mulberryrack_core::{Name, Time, hash};
use mulberryrack_wire::route::{Crash as CrashMessage, Suspicion};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time since a completed run after which another one is news.
const COMPLETION_REFRESH: Duration = Duration::from_secs(5);
/// Largest number of crashes kept for one subject. It is refused long before that.
const MAX_CRASHES: usize = 8;
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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Mark {
    /// Whether the subject was cleared of the crash.
    cleared: bool,
    /// Whether the subject, a part, was on trial with a request that nothing else counted against.
    tried: bool,
}

/// Crashes during which a subject was in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Invariant: at most [`MAX_CRASHES`]. Those that count come first, and of these the ones under
    /// trial; then the order of names decides, so that all hosts keep the same.
    crashes: BTreeMap<Crash, Mark>,
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
            completed: None,
            changed,
        }
    }

    /// The crashes that count against the subject.
    pub fn counting(&self) -> impl Iterator<Item = &Crash> {
        let counting = self.crashes.iter().filter(|(_, mark)| !mark.cleared);
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
        marks.filter(|mark| mark.tried && !mark.cleared).count() >= TRIALS_UNTIL_REFUSED
    }

    /// The only crash, if nothing else is known of the subject.
    pub(crate) fn only_crash(&self) -> Option<&Crash> {
        let (crash, mark) = self.crashes.first_key_value()?;
        let is_all = self.crashes.len() == 1 && *mark == Mark::default();
        (is_all && self.completed.is_none()).then_some(crash)
    }

    /// Whether there is no crash, cleared or not.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Hash of the crashes and of what is known of them.
    pub(crate) fn digest(&self, seed: u64) -> u64 {
        let add = |digest: u64, (crash, mark): (&Crash, &Mark)| {
            let digest = hash::stable(crash.upstream.as_bytes(), digest);
            let digest = hash::stable(&crash.incarnation.to_le_bytes(), digest);
            hash::stable(&[u8::from(mark.cleared), u8::from(mark.tried)], digest)
        };
        self.crashes.iter().fold(seed, add)
    }

    pub(crate) fn add(&mut self, now: Time, crash: Crash) {
        self.insert(crash, Mark::default());
        self.changed = now;
    }

    pub(crate) fn add_trial(&mut self, now: Time, crash: Crash) {
        let mark = Mark {
            tried: true,
            ..Mark::default()
        };
        self.insert(crash, mark);
        self.changed = now;
    }

    pub(crate) fn clear(&mut self, now: Time, crashes: impl IntoIterator<Item = Crash>) {
        for crash in crashes {
            let mark = Mark {
                cleared: true,
                ..Mark::default()
            };
            self.insert(crash, mark);
        }
        self.changed = now;
    }

    /// Adds what is known of a crash, and drops the last one if there are too many. Returns whether
    /// that changed anything.
    fn insert(&mut self, crash: Crash, mark: Mark) -> bool {
        let former = self.crashes.get(&crash).copied();
        let known = former.unwrap_or_default();
        let merged = Mark {
            cleared: known.cleared || mark.cleared,
            tried: known.tried || mark.tried,
        };
        if former == Some(merged) {
            return false;
        }
        self.crashes.insert(crash.clone(), merged);
        if self.crashes.len() <= MAX_CRASHES {
            return true;
        }
        let rank = |(crash, mark): &(&Crash, &Mark)| (mark.cleared, !mark.tried, (*crash).clone());
        let last = self.crashes.iter().max_by_key(rank);
        let last = last.map(|(crash, _)| crash.clone());
        if let Some(last) = &last {
            self.crashes.remove(last);
        }
        last != Some(crash)
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
        let age_ms = |at: Time| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let messages = |has: fn(&Mark) -> bool| {
            let crashes = self.crashes.iter().filter(move |(_, mark)| has(mark));
            crashes.map(|(crash, _)| crash.into()).collect()
        };
        Suspicion {
            fingerprint: subject.id().to_le_bytes().to_vec().into(),
            // Hosts of earlier versions look for the cleared ones in both lists.
            crashes: messages(|_| true),
            cleared: messages(|mark| mark.cleared),
            tried: messages(|mark| mark.tried),
            age_ms: age_ms(self.changed),
            part: subject.is_part(),
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
        let cleared: BTreeSet<Crash> = suspicion.cleared.into_iter().map(Into::into).collect();
        let tried: BTreeSet<Crash> = suspicion.tried.into_iter().map(Into::into).collect();
        let crashes = suspicion.crashes.into_iter().map(Into::into);
        let crashes: BTreeSet<Crash> = crashes.chain(cleared.iter().cloned()).collect();
        for crash in crashes {
            let mark = Mark {
                cleared: cleared.contains(&crash),
                tried: tried.contains(&crash),
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
