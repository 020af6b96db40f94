//! Which subjects are taken for the cause of crashes, judged by all evidence.
//!
//! A request is told from the others by the crashes that only it was in flight on. A part of
//! prompts is in flight with each request that has it, sound parts as well as the one that
//! crashes upstreams; what tells them apart is that requests with the sound ones run to their
//! end. Until that is known, a subject is on trial: it runs at one place at a time.

use crate::{
    evidence::{Crash, Evidence, TRIALS_UNTIL_REFUSED},
    subject::Subject,
};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes after which a request is refused if it is the only one in flight on all of them.
const CRASHES_IF_ALONE: usize = 2;
/// Crashes after which a subject is on trial.
const CRASHES_UNTIL_TRIAL: usize = 2;
/// Crashes after which a part is refused if no other part was in flight on them, and if
/// [`TRIALS_UNTIL_REFUSED`] of them came of its trial. The users count five; some of them may be
/// known late.
const PART_CRASHES_UNTIL_REFUSED: usize = 4;
/// The same two bounds for a part with which requests have lately run to their end, before the
/// crashes or after.
const PROVEN_PART_CRASHES_UNTIL_TRIAL: usize = 4;
const PROVEN_PART_CRASHES_UNTIL_REFUSED: usize = 5;
/// Crashes of a part from which on it may be the cause instead of another part that was in
/// flight on them.
const RIVAL_CRASHES: usize = 3;

/// What follows from the evidence on a subject. Ordered by severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It was in flight on a crash: it runs apart from other suspects.
    Suspect,
    /// It may be the cause of several crashes: it runs at one place at a time.
    Trial,
    /// A part on trial with enough crashes to be refused, but too few of them came of its trial, or
    /// another part, its rival, may be their cause. A request with the part and all of its rivals
    /// would not tell them apart: it is refused after some trials. The others go on to be tried.
    Contested,
    /// It is taken for the cause.
    Refused,
}

impl Verdict {
    /// Name in the log.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Suspect => "suspect",
            Self::Trial => "trial",
            Self::Contested => "contested",
            Self::Refused => "refused",
        }
    }
}

/// What is known of a contested part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Contest {
    /// The parts that may be the cause instead.
    pub rivals: Vec<Subject>,
    /// Whether enough crashes came of trials of the part.
    pub was_tried: bool,
}

/// The outcome of judging all subjects.
#[derive(Clone, Debug)]
pub(crate) struct Judgement {
    /// Subjects that may run like any other are missing.
    pub verdicts: BTreeMap<Subject, Verdict>,
    /// Invariant: the parts that are [`Verdict::Contested`].
    pub contests: BTreeMap<Subject, Contest>,
}

impl Judgement {
    pub const fn new() -> Self {
        Self {
            verdicts: BTreeMap::new(),
            contests: BTreeMap::new(),
        }
    }
}

/// By subject, the crashes that count against it and that no refused subject explains.
type Open<'a> = BTreeMap<Subject, BTreeSet<&'a Crash>>;

/// The sets of crashes in which a crash is.
type ByCrash<'a, 'b> = BTreeMap<&'a Crash, Vec<(Subject, &'b BTreeSet<&'a Crash>)>>;

fn by_crash<'a, 'b>(open: &'b Open<'a>) -> ByCrash<'a, 'b> {
    let mut by_crash = ByCrash::new();
    for (subject, crashes) in open {
        for crash in crashes {
            let sets = by_crash.entry(*crash).or_default();
            sets.push((*subject, crashes));
        }
    }
    by_crash
}

/// Judges all subjects.
/// `crashes_until_refused` are the crashes after which a request is refused, whatever else was
/// in flight on them.
pub(crate) fn judge(
    evidence: &BTreeMap<Subject, Evidence>,
    crashes_until_refused: u32,
) -> Judgement {
    let counting = evidence
        .iter()
        .map(|(subject, evidence)| (*subject, evidence.counting().collect::<BTreeSet<_>>()))
        .filter(|(_, crashes)| !crashes.is_empty());
    let (mut parts, requests): (Open<'_>, Open<'_>) =
        counting.partition(|(subject, _)| subject.is_part());
    // Only these can cover a part; most requests were in flight on one crash.
    let mut several = requests.clone();
    several.retain(|_, crashes| crashes.len() >= CRASHES_IF_ALONE);
    loop {
        let mut verdicts = refused_parts(evidence, parts.clone(), &several);
        let mut open = requests.clone();
        for part in verdicts.keys() {
            drop_explained(&mut open, &parts[part]);
        }
        judge_requests(open, crashes_until_refused, &mut verdicts);
        if let Some((part, left)) = acquitted(evidence, &parts, &requests, &verdicts) {
            parts.insert(part, left);
            continue;
        }
        let mut judgement = Judgement {
            verdicts,
            contests: BTreeMap::new(),
        };
        judge_open_parts(
            evidence,
            parts,
            &several,
            crashes_until_refused,
            &mut judgement,
        );
        return judgement;
    }
}

/// A refused part that would not be refused without the crashes which requests explain that are
/// refused for other crashes, and its crashes without those.
fn acquitted<'a>(
    evidence: &BTreeMap<Subject, Evidence>,
    parts: &Open<'a>,
    requests: &Open<'a>,
    verdicts: &BTreeMap<Subject, Verdict>,
) -> Option<(Subject, BTreeSet<&'a Crash>)> {
    let is_refused = |subject: &Subject| verdicts.get(subject) == Some(&Verdict::Refused);
    let refused = requests.iter().filter(|(request, _)| is_refused(request));
    let explained: BTreeSet<&Crash> = refused.flat_map(|(_, crashes)| crashes.clone()).collect();
    let left = |(part, crashes): (&Subject, &BTreeSet<&'a Crash>)| {
        let left: BTreeSet<&Crash> = crashes.difference(&explained).copied().collect();
        let evidence = &evidence[part];
        let is_cause = left.len() >= until_refused(evidence.completed().is_some())
            && evidence.trials(&left) >= TRIALS_UNTIL_REFUSED;
        (!is_cause).then_some((*part, left))
    };
    let mut refused = parts.iter().filter(|(part, _)| is_refused(part));
    refused.find_map(left)
}

/// The parts that are refused.
fn refused_parts(
    evidence: &BTreeMap<Subject, Evidence>,
    mut parts: Open<'_>,
    requests: &Open<'_>,
) -> BTreeMap<Subject, Verdict> {
    let is_proven = |part: Subject| evidence[&part].completed().is_some();
    let was_tried = |part: &Subject, crashes: &BTreeSet<&Crash>| {
        evidence[part].trials(crashes) >= TRIALS_UNTIL_REFUSED
    };
    let mut verdicts = BTreeMap::new();
    for proven in [false, true] {
        let among = |part: &Subject| is_proven(*part) == proven;
        while let Some(part) = most_certain(&parts, requests, among, was_tried, proven) {
            verdicts.insert(part, Verdict::Refused);
            let explained = parts.remove(&part).expect("an open part");
            drop_explained(&mut parts, &explained);
        }
    }
    verdicts
}

/// Judges the parts that are not refused. Requests that are refused for many crashes explain
/// these; the few crashes of one that is refused early may be those of its parts.
fn judge_open_parts(
    evidence: &BTreeMap<Subject, Evidence>,
    mut parts: Open<'_>,
    requests: &Open<'_>,
    crashes_until_refused: u32,
    judgement: &mut Judgement,
) {
    let is_refused = |subject: &Subject| judgement.verdicts.get(subject) == Some(&Verdict::Refused);
    let refused: Vec<Subject> = parts.keys().copied().filter(is_refused).collect();
    let certain = requests.iter().filter(|(request, crashes)| {
        is_refused(request) && crashes.len() >= crashes_until_refused as usize
    });
    let mut explained: BTreeSet<&Crash> =
        certain.flat_map(|(_, crashes)| crashes.clone()).collect();
    for part in refused {
        explained.extend(parts.remove(&part).expect("a part"));
    }
    drop_explained(&mut parts, &explained);
    let (requests, beside) = (by_crash(requests), by_crash(&parts));
    for (part, crashes) in &parts {
        let verdict = if is_covered(crashes, &requests) {
            Some(Verdict::Suspect)
        } else {
            open_part_verdict(crashes.len(), evidence[part].completed().is_some())
        };
        judgement
            .verdicts
            .extend(verdict.map(|verdict| (*part, verdict)));
        if verdict == Some(Verdict::Contested) {
            let contest = Contest {
                rivals: rivals(*part, crashes, &beside),
                was_tried: evidence[part].trials(crashes) >= TRIALS_UNTIL_REFUSED,
            };
            judgement.contests.insert(*part, contest);
        }
    }
}

/// The parts that may be the cause of a part's crashes instead. Each was in flight on one of the
/// first two, as only one may have had another cause.
fn rivals(part: Subject, crashes: &BTreeSet<&Crash>, beside: &ByCrash<'_, '_>) -> Vec<Subject> {
    let first = crashes.iter().take(2);
    let candidates = first.flat_map(|crash| beside.get(crash).into_iter().flatten());
    let rivals = candidates.filter(|(other, beside)| *other != part && is_rival(crashes, beside));
    let rivals: BTreeSet<Subject> = rivals.map(|(rival, _)| *rival).collect();
    rivals.into_iter().collect()
}

/// Whether a part in flight on the crashes `beside` may be the cause of `crashes`, but for one that
/// may have had another cause.
fn is_rival(crashes: &BTreeSet<&Crash>, beside: &BTreeSet<&Crash>) -> bool {
    beside.len() >= RIVAL_CRASHES && crashes.difference(beside).count() <= 1
}

const fn until_refused(is_proven: bool) -> usize {
    if is_proven {
        PROVEN_PART_CRASHES_UNTIL_REFUSED
    } else {
        PART_CRASHES_UNTIL_REFUSED
    }
}

/// The part with most crashes among those that are refused, if there is one.
fn most_certain(
    parts: &Open<'_>,
    requests: &Open<'_>,
    among: impl Fn(&Subject) -> bool,
    was_tried: impl Fn(&Subject, &BTreeSet<&Crash>) -> bool,
    proven: bool,
) -> Option<Subject> {
    let is_cause = |part: &Subject, crashes: &BTreeSet<&Crash>| {
        let rival = |other: &Subject, beside: &BTreeSet<&Crash>| {
            other != part && (proven || among(other)) && is_rival(crashes, beside)
        };
        among(part)
            && was_tried(part, crashes)
            && crashes.len() >= until_refused(proven)
            && !requests
                .values()
                .any(|request| request.is_superset(crashes))
            && !parts.iter().any(|(other, beside)| rival(other, beside))
    };
    let causes = parts
        .iter()
        .filter(|(part, crashes)| is_cause(part, crashes));
    let most = causes.max_by_key(|(_, crashes)| crashes.len());
    most.map(|(part, _)| *part)
}

/// Whether a single request was in flight on all of the crashes of a part, and on several: it is
/// the narrower explanation.
fn is_covered(crashes: &BTreeSet<&Crash>, requests: &ByCrash<'_, '_>) -> bool {
    let first = crashes
        .first()
        .filter(|_| crashes.len() >= CRASHES_IF_ALONE);
    let mut requests = first.into_iter().filter_map(|first| requests.get(first));
    requests.any(|requests| {
        requests
            .iter()
            .any(|(_, request)| request.is_superset(crashes))
    })
}

const fn open_part_verdict(crashes: usize, is_proven: bool) -> Option<Verdict> {
    let until_trial = if is_proven {
        PROVEN_PART_CRASHES_UNTIL_TRIAL
    } else {
        CRASHES_UNTIL_TRIAL
    };
    if crashes >= until_refused(is_proven) {
        return Some(Verdict::Contested);
    }
    if crashes >= until_trial {
        return Some(Verdict::Trial);
    }
    if crashes == 0 || is_proven {
        return None;
    }
    Some(Verdict::Suspect)
}

/// Judges the requests by the crashes that no refused part explains.
fn judge_requests(
    mut open: Open<'_>,
    crashes_until_refused: u32,
    verdicts: &mut BTreeMap<Subject, Verdict>,
) {
    while let Some(crashes) = most_crashes(&open, crashes_until_refused) {
        // Requests that were in flight on the same crashes cannot be told apart.
        let culprits = open.iter().filter(|(_, other)| **other == crashes);
        verdicts.extend(culprits.map(|(request, _)| (*request, Verdict::Refused)));
        drop_explained(&mut open, &crashes);
    }
    let culprits = lone_culprits(&open);
    for (request, crashes) in &open {
        let verdict = match crashes.len() {
            0 => continue,
            _ if culprits.contains(request) => Verdict::Refused,
            count if count >= CRASHES_UNTIL_TRIAL => Verdict::Trial,
            _ => Verdict::Suspect,
        };
        verdicts.insert(*request, verdict);
    }
}

/// Crashes that a refused subject explains do not count against those that ran beside it.
fn drop_explained(open: &mut Open<'_>, explained: &BTreeSet<&Crash>) {
    for crashes in open.values_mut() {
        crashes.retain(|crash| !explained.contains(crash));
    }
}

/// The largest set of crashes, if that is enough to refuse its request.
fn most_crashes<'a>(open: &Open<'a>, crashes_until_refused: u32) -> Option<BTreeSet<&'a Crash>> {
    let most = open.values().max_by_key(|crashes| crashes.len())?;
    (most.len() >= crashes_until_refused as usize).then(|| most.clone())
}

/// Requests that were the only ones in flight on all of their crashes.
fn lone_culprits(open: &Open<'_>) -> BTreeSet<Subject> {
    let several = || {
        let all = open.iter();
        all.filter(|(_, crashes)| crashes.len() >= CRASHES_IF_ALONE)
    };
    let mut in_flight: BTreeMap<&Crash, Vec<&BTreeSet<&Crash>>> = BTreeMap::new();
    for (_, crashes) in several() {
        for crash in crashes {
            in_flight.entry(crash).or_default().push(crashes);
        }
    }
    let mut explained: BTreeSet<&Crash> = BTreeSet::new();
    let mut culprits = BTreeSet::new();
    for (request, crashes) in several() {
        let first = crashes.first().expect("two crashes or more");
        let beside = in_flight[first].iter();
        let is_alone = beside.filter(|other| other.is_superset(crashes)).count() == 1;
        if is_alone && crashes.is_disjoint(&explained) {
            culprits.insert(*request);
            explained.extend(crashes);
        }
    }
    culprits
}
