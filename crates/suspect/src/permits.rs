//! Permission for requests with subjects on trial to run, at few places at once.
//!
//! One host gives the permits for all hosts; each host also has its requests ask one after the
//! other. If the hosts do not agree on which host gives them, or if that host has just started,
//! a subject may run in as many places at once as there are such hosts.

use crate::{subject::Subject, suspects::Suspects};
use mulberryrack_core::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// Time after which a permit ends of whose request nothing was heard. Most runs end before, and
/// most crashes are known.
const PERMIT_PERIOD: Duration = Duration::from_secs(5);
/// Number of requests with the same part that run at once on trial. Two crashes refuse the part.
const PLACES_OF_PART: usize = 2;

/// A request at a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the host.
    pub host: Name,
    /// Number of the request at the host.
    pub number: u64,
}

/// The answer to a request that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request may run.
    Granted,
    /// Other requests hold all permits on one of the subjects.
    Held,
    /// One of the subjects is refused.
    Refused,
}

#[derive(Clone, Debug)]
struct Permit {
    holder: Holder,
    until: Time,
    /// What was known of the subject's crashes when the permit was given.
    digest: u64,
}

/// The permits that a host has given.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Bounded by the number of subjects on trial; a permit that is over is dropped or expires.
    by_subject: BTreeMap<Subject, Vec<Permit>>,
}

impl Permits {
    /// Gives a request the permit on all of its subjects, unless other requests hold those of one
    /// of them. A permit is over once there is news of crashes of its subject.
    pub fn acquire(
        &mut self,
        now: Time,
        suspects: &Suspects,
        holder: &Holder,
        subjects: &[Subject],
    ) -> Answer {
        self.drop_ended(now, suspects);
        if subjects.iter().any(|subject| suspects.is_refused(*subject)) {
            return Answer::Refused;
        }
        let is_held = |subject: &Subject| {
            let permits = self.by_subject.get(subject).map_or(&[][..], |it| it);
            let others = permits.iter().filter(|permit| permit.holder != *holder);
            others.count() >= places(*subject)
        };
        if subjects.iter().any(is_held) {
            return Answer::Held;
        }
        self.release(holder);
        for subject in subjects {
            let permit = Permit {
                holder: holder.clone(),
                until: now + PERMIT_PERIOD,
                digest: suspects.subject_digest(*subject),
            };
            self.by_subject.entry(*subject).or_default().push(permit);
        }
        Answer::Granted
    }

    fn drop_ended(&mut self, now: Time, suspects: &Suspects) {
        for (subject, permits) in &mut self.by_subject {
            let digest = suspects.subject_digest(*subject);
            permits.retain(|permit| permit.until > now && permit.digest == digest);
        }
        self.by_subject.retain(|_, permits| !permits.is_empty());
    }

    /// Ends the permits of a request that has ended without a crash, or does not run. Returns
    /// whether it had any.
    pub fn release(&mut self, holder: &Holder) -> bool {
        let mut had_any = false;
        for permits in self.by_subject.values_mut() {
            let known = permits.len();
            permits.retain(|permit| permit.holder != *holder);
            had_any |= permits.len() != known;
        }
        self.by_subject.retain(|_, permits| !permits.is_empty());
        had_any
    }
}

const fn places(subject: Subject) -> usize {
    match subject {
        Subject::Request(_) => 1,
        Subject::Part(_) => PLACES_OF_PART,
    }
}
