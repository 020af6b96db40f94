//! The merged evidence of all hosts, and the verdicts that follow from it.

use crate::{
    evidence::{Crash, Evidence},
    subject::Subject,
    verdict::{self, Judgement, Verdict},
};
use mulberryrack_core::{Time, hash};
use mulberryrack_wire::route::{Suspicion, Suspicions};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time for which a completed run of a request with a part speaks for the part.
const COMPLETION_PERIOD: Duration = Duration::from_secs(60);
/// Time for which evidence is kept on a part that is refused, or would be but for its rivals. It
/// took several crashes of the part alone, so that a longer time than for others is safe.
const TRIED_PART_PERIOD: Duration = Duration::from_secs(24 * 3_600);
/// Largest number of changed verdicts kept until they are taken.
const MAX_CHANGES: usize = 1_024;

/// Limits of the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Crashes after which a request is refused, whatever else was in flight on them.
    pub crashes_until_refused: u32,
    /// Largest number of requests for which evidence is kept, and of parts.
    pub max_suspects: usize,
    /// Time after the last change of the evidence on a subject at which it expires. It is longer
    /// for parts that crashed upstreams under trial.
    pub suspicion_period: Duration,
}

/// The evidence of this host and of all others, by subject.
#[derive(Clone, Debug)]
pub struct Suspects {
    limits: Limits,
    /// Evidence of this host alone.
    own: BTreeMap<Subject, Evidence>,
    /// Evidence of all hosts, this one included.
    merged: BTreeMap<Subject, Evidence>,
    /// Invariant: what `merged` shows.
    judgement: Judgement,
    /// Verdicts that have changed since the last call of [`Suspects::take_changes`].
    changes: Vec<Change>,
}

impl Suspects {
    /// Creates the state without any evidence.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            own: BTreeMap::new(),
            merged: BTreeMap::new(),
            judgement: Judgement::new(),
            changes: Vec::new(),
        }
    }

    /// Whether there is no evidence on any subject.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.merged.is_empty()
    }

    /// The crashes that count against a subject.
    pub fn crashes(&self, subject: impl Into<Subject>) -> impl Iterator<Item = &Crash> {
        let evidence = self.merged.get(&subject.into());
        evidence.into_iter().flat_map(Evidence::counting)
    }

    /// The only crash of a subject, if nothing else is known of it.
    pub(crate) fn only_crash(&self, subject: Subject) -> Option<&Crash> {
        self.merged.get(&subject)?.only_crash()
    }

    /// Time since the evidence on a subject last changed.
    pub(crate) fn age(&self, subject: Subject, now: Time) -> Option<Duration> {
        let evidence = self.merged.get(&subject)?;
        Some(now.since(evidence.changed))
    }

    /// Hash of what is known of a subject's crashes. It changes with each piece of news.
    pub(crate) fn subject_digest(&self, subject: Subject) -> u64 {
        let evidence = self.merged.get(&subject);
        evidence.map_or(0, |evidence| evidence.digest(0))
    }

    /// Whether a subject is suspected: a crash counts against it.
    pub fn is_suspect(&self, subject: impl Into<Subject>) -> bool {
        self.crashes(subject).next().is_some()
    }

    /// The verdict on a subject; `None` if it may run like any other.
    pub fn verdict(&self, subject: impl Into<Subject>) -> Option<Verdict> {
        self.judgement.verdicts.get(&subject.into()).copied()
    }

    /// Whether requests with a subject are refused.
    pub fn is_refused(&self, subject: impl Into<Subject>) -> bool {
        self.verdict(subject) == Some(Verdict::Refused)
    }

    /// Whether a run of a request with these subjects would tell nothing: one of them is contested
    /// and was tried, and the others include all parts that may be the cause instead.
    #[must_use]
    pub fn is_hopeless(&self, subjects: &[Subject]) -> bool {
        let is_lost = |subject: &Subject| {
            let contest = self.judgement.contests.get(subject);
            contest.is_some_and(|contest| {
                let mut rivals = contest.rivals.iter();
                contest.was_tried && rivals.all(|rival| subjects.contains(rival))
            })
        };
        subjects.iter().any(is_lost)
    }

    /// The subjects that are refused.
    pub fn refused(&self) -> impl Iterator<Item = Subject> {
        self.weighty().filter(|subject| self.is_refused(*subject))
    }

    /// The subjects with enough crashes to be refused, whether they are or not.
    pub fn weighty(&self) -> impl Iterator<Item = Subject> {
        let all = self.judgement.verdicts.iter();
        let weighty = all.filter(|(_, verdict)| **verdict >= Verdict::Contested);
        weighty.map(|(subject, _)| *subject)
    }

    /// Removes and returns the verdicts that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Whether this host itself saw a crash on which the subject was in flight, or refused a
    /// request for it.
    pub fn is_witness(&self, subject: impl Into<Subject>) -> bool {
        self.own.contains_key(&subject.into())
    }

    /// The subjects with evidence.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        self.merged.keys().copied()
    }

    /// Time until the evidence on a subject expires.
    pub fn remaining(&self, subject: impl Into<Subject>, now: Time) -> Option<Duration> {
        let evidence = self.merged.get(&subject.into())?;
        Some((evidence.changed + self.limits.period(evidence)).since(now))
    }

    /// Keeps the evidence on a refused subject that is still asked for, once half of its time is
    /// over. Returns whether it did; this host counts as a witness then.
    pub fn renew(&mut self, now: Time, subject: Subject) -> bool {
        let Some(evidence) = self.merged.get_mut(&subject) else {
            return false;
        };
        let half = self.limits.period(evidence) / 2;
        if (evidence.changed + half) > now {
            return false;
        }
        evidence.changed = now;
        self.own.insert(subject, evidence.clone());
        true
    }

    /// Records a crash that this host saw, with the subjects that were in flight on it.
    pub fn record_crash(
        &mut self,
        now: Time,
        crash: &Crash,
        subjects: impl IntoIterator<Item = impl Into<Subject>>,
    ) {
        for subject in subjects.into_iter().map(Into::into) {
            for map in [&mut self.own, &mut self.merged] {
                entry(map, subject, now).add_latest(now, crash.clone());
            }
        }
        self.expire(now);
        self.judge();
    }

    /// Records a crash that this host saw, with the subjects that were in flight on it and when each
    /// of them last was.
    pub fn record_past_crash(
        &mut self,
        now: Time,
        crash: &Crash,
        in_flight: impl IntoIterator<Item = (Subject, Time)>,
    ) {
        for (subject, at) in in_flight {
            for map in [&mut self.own, &mut self.merged] {
                entry(map, subject, now).add(now, at, crash.clone());
            }
        }
        self.expire(now);
        self.judge();
    }

    /// Records that a request with these parts was on trial when an upstream crashed under it.
    pub fn record_trial(&mut self, now: Time, crash: &Crash, parts: &[Subject]) {
        for part in parts {
            for map in [&mut self.own, &mut self.merged] {
                entry(map, *part, now).add_trial(now, crash.clone());
            }
        }
        self.judge();
    }

    /// Records that requests with these parts ran to their ends at some times, also before the
    /// crashes that count against the parts; those before such a run do not count any more. Returns
    /// the parts of which that is news.
    pub fn record_completions(
        &mut self,
        completions: impl IntoIterator<Item = (Subject, Time)>,
    ) -> Vec<Subject> {
        let mut news = Vec::new();
        for (part, at) in completions {
            let Some(evidence) = self.merged.get_mut(&part) else {
                continue;
            };
            let is_cleared = evidence.acquit_before(at);
            if evidence.complete(at) || is_cleared {
                news.push(part);
            }
        }
        if !news.is_empty() {
            self.judge();
        }
        news
    }

    /// Clears a subject, after a run to its end, of the crashes that count against it.
    pub fn clear(&mut self, now: Time, subject: impl Into<Subject>) {
        self.clear_all(now, [subject]);
    }

    /// Clears subjects, after runs to their ends, of the crashes that count against them. Returns
    /// those with such crashes.
    pub fn clear_all(
        &mut self,
        now: Time,
        subjects: impl IntoIterator<Item = impl Into<Subject>>,
    ) -> Vec<Subject> {
        let subjects = subjects.into_iter().map(Into::into);
        let suspects = subjects.filter(|subject| self.is_suspect(*subject));
        let suspects: Vec<Subject> = suspects.collect();
        for subject in &suspects {
            for map in [&mut self.own, &mut self.merged] {
                let evidence = entry(map, *subject, now);
                evidence.acquit(now, now);
                if subject.is_part() {
                    evidence.complete(now);
                }
            }
        }
        if !suspects.is_empty() {
            self.judge();
        }
        suspects
    }

    /// Withdraws a crash that this host reported, as the upstream was found to be alive.
    /// Returns the subjects concerned.
    pub fn withdraw(&mut self, now: Time, crash: &Crash) -> Vec<Subject> {
        let concerned = self.own.iter().filter(|(_, evidence)| {
            let mut counting = evidence.counting();
            counting.any(|own| own == crash)
        });
        let concerned: Vec<Subject> = concerned.map(|(subject, _)| *subject).collect();
        for subject in &concerned {
            for map in [&mut self.own, &mut self.merged] {
                entry(map, *subject, now).withdraw(now, crash.clone());
            }
        }
        self.judge();
        concerned
    }

    /// Merges the evidence of another host. Returns the subjects on which it was news.
    pub fn learn(&mut self, now: Time, suspicions: Vec<Suspicion>) -> Vec<Subject> {
        let is_usable =
            |evidence: &Evidence| !evidence.is_empty() && self.limits.is_fresh(evidence, now);
        let decoded = suspicions
            .into_iter()
            .filter_map(|suspicion| Evidence::decode(now, suspicion))
            .filter(|(_, evidence)| is_usable(evidence));
        let mut news = Vec::new();
        for (subject, mut evidence) in decoded.collect::<Vec<_>>() {
            evidence.expire_completion(now, COMPLETION_PERIOD);
            let entry = entry(&mut self.merged, subject, evidence.changed);
            if entry.merge(&evidence) {
                news.push(subject);
            }
        }
        if !news.is_empty() {
            self.expire(now);
            self.judge();
        }
        news
    }

    /// Takes over evidence that an earlier incarnation of this host shared: the host counts as
    /// a witness of it again. Returns the subjects on which it was news.
    pub fn take_over(&mut self, now: Time, suspicions: Vec<Suspicion>) -> Vec<Subject> {
        for suspicion in &suspicions {
            if let Some((subject, evidence)) = Evidence::decode(now, suspicion.clone()) {
                self.own.entry(subject).or_insert(evidence);
            }
        }
        self.learn(now, suspicions)
    }

    /// Drops evidence that has expired or exceeds the limits.
    pub fn expire(&mut self, now: Time) {
        let known = self.merged.len();
        for map in [&mut self.own, &mut self.merged] {
            map.retain(|_, evidence| self.limits.is_fresh(evidence, now));
            for is_part in [false, true] {
                drop_weakest(map, is_part, self.limits.max_suspects);
            }
        }
        let all = self.merged.values_mut();
        let expired = all.filter_map(|evidence| {
            let is_old = evidence.expire_completion(now, COMPLETION_PERIOD);
            is_old.then_some(())
        });
        if expired.count() > 0 || self.merged.len() != known {
            self.judge();
        }
    }

    /// What this host alone has seen.
    #[must_use]
    pub fn own(&self, now: Time) -> Suspicions {
        let own = self.own.iter();
        Suspicions {
            suspicions: own
                .map(|(subject, evidence)| evidence.encode(now, *subject))
                .collect(),
        }
    }

    /// The merged evidence on one subject.
    pub fn export(&self, now: Time, subject: impl Into<Subject>) -> Option<Suspicion> {
        let subject = subject.into();
        let evidence = self.merged.get(&subject)?;
        Some(evidence.encode(now, subject))
    }

    /// Hash of the merged evidence, without its age: two hosts with the same hash have nothing
    /// to tell each other.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        let with_crashes = self.merged.iter().filter(|(_, it)| it.has_crashes());
        for (subject, evidence) in with_crashes {
            digest = hash::stable(&subject.id().to_le_bytes(), digest);
            digest = evidence.digest(digest ^ u64::from(evidence.completed().is_some()));
        }
        digest
    }

    /// Judges all evidence anew and records which verdicts have changed.
    fn judge(&mut self) {
        let judgement = verdict::judge(&self.merged, self.limits.crashes_until_refused);
        let former = std::mem::replace(&mut self.judgement, judgement).verdicts;
        let verdicts = &self.judgement.verdicts;
        let subjects: BTreeSet<Subject> = verdicts.keys().chain(former.keys()).copied().collect();
        for subject in subjects {
            let change = Change {
                subject,
                from: former.get(&subject).copied(),
                to: verdicts.get(&subject).copied(),
            };
            if change.is_notable() && self.changes.len() < MAX_CHANGES {
                self.changes.push(change);
            }
        }
    }
}

/// A verdict that has changed. `None` stands for a subject that is not suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The subject of the verdict.
    pub subject: Subject,
    /// The verdict before.
    pub from: Option<Verdict>,
    /// The verdict from now on.
    pub to: Option<Verdict>,
}

impl Change {
    /// Whether more changes than how a request is kept apart from others. Most of the requests in
    /// flight on a crash were only beside its cause.
    fn is_notable(self) -> bool {
        self.from != self.to && self.from.max(self.to) > Some(Verdict::Suspect)
    }
}

impl Limits {
    fn is_fresh(&self, evidence: &Evidence, now: Time) -> bool {
        evidence.changed + self.period(evidence) > now
    }

    fn period(&self, evidence: &Evidence) -> Duration {
        if evidence.was_tried() {
            TRIED_PART_PERIOD
        } else {
            self.suspicion_period
        }
    }
}

/// Drops the parts, or the requests, with the fewest crashes, and of those the oldest, beyond
/// `limit`.
fn drop_weakest(map: &mut BTreeMap<Subject, Evidence>, is_part: bool, limit: usize) {
    let of_kind = |subject: &Subject| subject.is_part() == is_part;
    let surplus = map.keys().filter(|subject| of_kind(subject)).count();
    let surplus = surplus.saturating_sub(limit);
    if surplus == 0 {
        return;
    }
    let weight = |evidence: &Evidence| (evidence.counting().count(), evidence.changed);
    let mut by_weight: Vec<_> = map
        .iter()
        .filter(|(subject, _)| of_kind(subject))
        .map(|(subject, evidence)| (weight(evidence), *subject))
        .collect();
    by_weight.sort_unstable();
    for (_, subject) in by_weight.into_iter().take(surplus) {
        map.remove(&subject);
    }
}

/// The evidence on a subject, which is added if there is none.
fn entry(map: &mut BTreeMap<Subject, Evidence>, subject: Subject, now: Time) -> &mut Evidence {
    map.entry(subject).or_insert(Evidence::new(now))
}
