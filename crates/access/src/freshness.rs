//! Whether the configuration in force is provably the newest one.

use mulberryrack_core::{
    Time,
    kv::{Era, Revision},
};
use std::{collections::VecDeque, time::Duration};

/// Part of the revocation delay that is kept in reserve for the way of a request to the upstream.
pub const MARGIN: Duration = Duration::from_millis(300);

/// Time within which hosts learn of a new configuration from one another: one delay after changes and
/// a query. A host that is told of one takes its own proofs since then for those of an older copy.
const NEWS_DELAY: Duration = Duration::from_millis(1_200);

/// Time for which a host remembers what it knew of the service: longer than any proof holds.
const MEMORY: Duration = Duration::from_secs(10);

/// An era of the service, and a revision in it.
type Position = (Option<Era>, Revision);

/// A complete answer to a list, or to a watch from the revision that was applied.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Time at which the call began.
    pub begun_at: Time,
    /// Era of the answer; `None` if it names none.
    pub era: Option<Era>,
    /// Newest revision of the service when it answered.
    pub revision: Revision,
}

/// What a host states of its proof to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Age of the proof when the statement was made, in whole milliseconds, rounded up.
    pub age: Duration,
    /// Era in which the service told `revision`; `None` if it tells none.
    pub era: Option<Era>,
    /// Revision that the service had reached when it gave the proof.
    pub revision: Revision,
    /// Version of its configuration in force.
    pub version: u64,
}

/// What the statement of another host shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The configuration in force is the newest one.
    Proof,
    /// The other host knows something newer.
    Newer,
    /// Neither: it is about something older, or the host has a configuration that is not applied.
    Nothing,
}

/// When the configuration was last shown to be the newest one.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// Time for which a proof holds; `None` if none is required.
    validity: Option<Duration>,
    /// Start of the last call that proved the configuration to be the newest one.
    shown_at: Option<Time>,
    /// Position that the service had reached at that time.
    shown_position: Option<Position>,
    /// Time up to which another host has shown the configuration in force to be the newest one.
    confirmed_at: Option<Time>,
    /// The newest era of the service that is known, and the highest revision seen in it.
    highest: Option<Position>,
    /// Former values of `highest`, each with the time from which on it was known, oldest first.
    history: VecDeque<(Time, Option<Position>)>,
    /// The era and revision up to which changes have been applied.
    applied: Option<Position>,
    /// Whether the service has a configuration that could not be applied.
    has_unapplied: bool,
}

impl Freshness {
    /// Without a revocation delay, every configuration counts as current.
    #[must_use]
    pub fn new(revocation_delay: Option<Duration>) -> Self {
        Self {
            validity: revocation_delay.map(|delay| delay.saturating_sub(MARGIN)),
            shown_at: None,
            shown_position: None,
            confirmed_at: None,
            highest: None,
            history: VecDeque::new(),
            applied: None,
            has_unapplied: false,
        }
    }

    /// Records a revision that the service has reached in an era. The same revisions are given out
    /// again in a newer era.
    pub fn record_revision(&mut self, era: Option<Era>, revision: Revision) {
        self.highest = self.highest.max(Some((era, revision)));
    }

    /// Records that the service's configuration was read: whether it, or a newer one, is now in
    /// force.
    pub const fn record_configuration(&mut self, is_in_force: bool) {
        self.has_unapplied = !is_in_force;
    }

    /// Records an answer whose changes have been applied. Returns whether it proves that the
    /// configuration in force was the newest one when the call began: it does not if the service
    /// is known to have been in a newer era or at a higher revision, or has a configuration that
    /// could not be applied.
    pub fn record_answer(&mut self, answer: Answer) -> bool {
        let position = (answer.era, answer.revision);
        if self.highest.is_some_and(|highest| highest > position) {
            return false;
        }
        self.highest = Some(position);
        self.applied = Some(position);
        if self.has_unapplied {
            return false;
        }
        self.show(answer.begun_at, position);
        true
    }

    fn show(&mut self, at: Time, position: Position) {
        if self.shown_at.is_none_or(|shown_at| shown_at < at) {
            (self.shown_at, self.shown_position) = (Some(at), Some(position));
        }
    }

    /// Remembers that what has been recorded so far was known at `now`.
    pub fn remember(&mut self, now: Time) {
        if self.history.back().map(|(_, highest)| *highest) != Some(self.highest) {
            self.history.push_back((now, self.highest));
        }
        let is_superseded = |it: &(Time, Option<Position>)| now.since(it.0) >= MEMORY;
        while self.history.get(1).is_some_and(is_superseded) {
            self.history.pop_front();
        }
    }

    /// What this host knew of the service at a time; all that it knows now if it does not remember.
    fn highest_at(&self, at: Time) -> Option<Position> {
        let Some((_, oldest)) = self.history.front() else {
            return self.highest;
        };
        let known = self.history.iter().rfind(|(since, _)| *since <= at);
        known.map_or(*oldest, |(_, highest)| *highest)
    }

    /// Records the statement of another host that was asked at `asked_at`. `version` is that of the
    /// configuration in force.
    ///
    /// The other host has read its clock after it was asked, so that its proof is at least as young
    /// as (`asked_at` minus the stated age). The same version shows that the configuration in force was
    /// the newest one then, whichever other keys have changed. An answer of the service from that time
    /// on cannot be behind what this host knew before: one that is came from an older copy. What the
    /// other host knows to be newer is not yet applied here; until it is, answers of the service that
    /// are behind it prove nothing.
    pub fn record_statement(
        &mut self,
        asked_at: Time,
        version: u64,
        statement: Statement,
    ) -> Finding {
        let Some(applied) = self.applied else {
            return Finding::Nothing;
        };
        let position = (statement.era, statement.revision);
        if statement.era > applied.0 || statement.version > version {
            self.highest = self.highest.max(Some(position));
            if statement.version > version {
                self.limit_own_proofs(asked_at);
            }
            return Finding::Newer;
        }
        let is_older_era = self.highest.is_some_and(|(era, _)| era > statement.era);
        if is_older_era || statement.version < version || self.has_unapplied {
            return Finding::Nothing;
        }
        let age_us = u64::try_from(statement.age.as_micros()).unwrap_or(u64::MAX);
        let Some(shown_at) = asked_at.as_micros().checked_sub(age_us) else {
            // Before the start of the clock.
            return Finding::Nothing;
        };
        let shown_at = Time::from_micros(shown_at);
        if self.highest_at(shown_at) > Some(position) {
            return Finding::Nothing;
        }
        self.highest = self.highest.max(Some(position));
        self.show(shown_at, position);
        self.confirmed_at = self.confirmed_at.max(Some(shown_at));
        Finding::Proof
    }

    /// Takes back proofs from calls of this host that may have been answered from an older copy of
    /// the service, as another host has a newer configuration. Without this, a removed key would be
    /// accepted for a whole revocation delay after the last such answer.
    fn limit_own_proofs(&mut self, asked_at: Time) {
        let earliest = asked_at
            .as_micros()
            .saturating_sub(u64::try_from(NEWS_DELAY.as_micros()).unwrap_or(u64::MAX));
        let limit = self.confirmed_at.max(Some(Time::from_micros(earliest)));
        self.shown_at = self.shown_at.min(limit);
    }

    /// What this host states of its proof to another host; `None` if it has none that holds.
    /// `version` is that of the configuration in force.
    #[must_use]
    pub fn state(&self, now: Time, version: u64) -> Option<Statement> {
        let age = self.age(now).filter(|age| Some(*age) < self.validity)?;
        let (era, revision) = self.shown_position?;
        let age_ms = age.as_micros().div_ceil(1_000);
        Some(Statement {
            age: Duration::from_millis(u64::try_from(age_ms).unwrap_or(u64::MAX)),
            era,
            revision,
            version,
        })
    }

    /// Whether the service is known to be newer than what has been applied.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.highest > self.applied
    }

    /// Whether the configuration in force is provably current enough for keys to be valid.
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        let Some(validity) = self.validity else {
            return true;
        };
        self.age(now).is_some_and(|age| age < validity)
    }

    /// Time since the configuration was last shown to be the newest one; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.shown_at.map(|shown_at| now.since(shown_at))
    }
}
