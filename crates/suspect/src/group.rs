//! News of a crash for all subjects that were in flight on it: most are known for nothing else,
//! and the crash is named once for all of them.

use crate::{evidence::Crash, subject::Subject, suspects::Suspects};
use mulberryrack_core::Time;
use mulberryrack_wire::route::{CrashGroup, Suspicion};
use std::collections::BTreeMap;

/// Size of the fingerprint of a request.
const FINGERPRINT_BYTES: usize = 16;
/// Largest number of subjects in a group: a message has room for as many fingerprints.
const MAX_SUBJECTS: usize = 56;

/// Groups the subjects of which nothing is known but one crash. Returns the others as well.
pub(crate) fn group(
    now: Time,
    suspects: &Suspects,
    subjects: impl Iterator<Item = Subject>,
) -> (Vec<CrashGroup>, Vec<Subject>) {
    let mut by_crash: BTreeMap<&Crash, Vec<Subject>> = BTreeMap::new();
    let mut others = Vec::new();
    for subject in subjects {
        match suspects.only_crash(subject) {
            Some(crash) if fits(subject) => by_crash.entry(crash).or_default().push(subject),
            _ => others.push(subject),
        }
    }
    let groups = by_crash.iter().flat_map(|(crash, subjects)| {
        let chunks = subjects.chunks(MAX_SUBJECTS);
        chunks.map(|chunk| encode(now, suspects, crash, chunk))
    });
    let groups = groups.collect();
    (groups, others)
}

fn fits(subject: Subject) -> bool {
    !subject.is_part() || u64::try_from(subject.id()).is_ok()
}

fn encode(now: Time, suspects: &Suspects, crash: &Crash, subjects: &[Subject]) -> CrashGroup {
    let ages = subjects
        .iter()
        .filter_map(|subject| suspects.age(*subject, now));
    let requests = subjects.iter().filter(|subject| !subject.is_part());
    let parts = subjects.iter().filter(|subject| subject.is_part());
    CrashGroup {
        crash: Some(crash.into()),
        age_ms: ages
            .max()
            .map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        requests: requests
            .flat_map(|request| request.id().to_le_bytes())
            .collect(),
        parts: parts
            .filter_map(|part| u64::try_from(part.id()).ok())
            .collect(),
    }
}

/// The evidence of a group, one by one.
pub(crate) fn decode(group: CrashGroup) -> Vec<Suspicion> {
    let CrashGroup {
        crash,
        age_ms,
        requests,
        parts,
    } = group;
    let suspicion = |fingerprint: Vec<u8>, part: bool| Suspicion {
        fingerprint: fingerprint.into(),
        crashes: crash.iter().cloned().collect(),
        age_ms,
        part,
        ..Suspicion::default()
    };
    let requests = requests.chunks_exact(FINGERPRINT_BYTES);
    let requests = requests.map(|request| suspicion(request.to_vec(), false));
    let parts = parts
        .into_iter()
        .map(|part| suspicion(u128::from(part).to_le_bytes().to_vec(), true));
    requests.chain(parts).collect()
}
