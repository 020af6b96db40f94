//! Requests with subjects on trial: each of them runs at one place at a time in all hosts, until
//! a complete run or a crash tells whether it is the cause of the crashes before.
//!
//! Answers the load of a burst of crashes, after which many hosts hold requests that may be the
//! cause. They wait meanwhile, as long as they can still be served in time.

use crate::{
    gate::{Gate, refuse_or_fail},
    request::{Decision, RequestState},
};
use mulberryrack_core::{
    Name, Time, hash,
    outcome::{Reason, Refusal},
};
use mulberryrack_suspect::{Answer, Holder, Subject, Verdict};
use std::time::Duration;

/// Delay after which the caller of a request that got no permit is told to try again. Most trials
/// have ended by then.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after its last dispatch for which a request that is suspected itself leaves the trial of
/// its parts to others, and if one of them may be refused for it.
const GIVE_WAY_PERIOD: Duration = Duration::from_secs(1);
const CONTESTED_GIVE_WAY_PERIOD: Duration = Duration::from_secs(3);
/// Time between two questions of a host for a permit, and the part of it for each host: the host
/// that gives the permits gets the same number of them however many hosts there are.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(100);
const ASK_INTERVAL_PER_HOST: Duration = Duration::from_millis(2);

/// Time for which a host that did not answer is not asked for permits. Longer than a host that
/// ended stays registered.
const SILENT_GIVER_PERIOD: Duration = Duration::from_secs(3);

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitAsk {
    /// The request that asks.
    pub holder: Holder,
    /// Its subjects on trial.
    pub subjects: Vec<Subject>,
}

/// A request's part in the trials of its subjects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trial {
    /// Subjects that the request has asked a permit for.
    asked: Vec<Subject>,
    /// Subjects on trial with which the request may run.
    pub permitted: Vec<Subject>,
    /// Whether the last run with a permit broke: the crash, if there was one, is still to be
    /// known.
    pub is_open: bool,
}

impl Gate {
    /// The refusal of a request with a subject that is known to crash upstreams.
    pub(crate) fn suspect_refusal(&mut self, now: Time, request: &RequestState) -> Option<Refusal> {
        let subjects = || request.subjects.iter().copied();
        if let Some(refused) = subjects().find(|subject| self.suspects.is_refused(*subject)) {
            if self.suspects.renew(now, refused) {
                self.suspect_changes.push(refused);
            }
            return Some(Refusal {
                reason: Reason::Suspect,
                retry_after: self.suspects.remaining(refused, now),
            });
        }
        let is_hopeless = self.suspects.is_hopeless(&request.subjects);
        is_hopeless.then_some(Refusal {
            reason: Reason::Suspect,
            retry_after: Some(TRIAL_RETRY_DELAY),
        })
    }

    /// Whether a request has a subject that is known to crash upstreams.
    pub(crate) fn is_refused_as_suspect(&self, request: &RequestState) -> bool {
        let mut subjects = request.subjects.iter();
        subjects.any(|subject| self.suspects.is_refused(*subject))
            || self.suspects.is_hopeless(&request.subjects)
    }

    /// The subject of a request with the most severe verdict, for the log.
    #[must_use]
    pub fn blamed(&self, request: &RequestState) -> Option<Subject> {
        let subjects = request.subjects.iter().copied();
        let most = subjects.max_by_key(|subject| self.suspects.verdict(*subject))?;
        self.suspects.verdict(most).map(|_| most)
    }

    /// Whether a crash counts against the request that nothing else explains.
    pub(crate) fn is_suspect(&self, request: &RequestState) -> bool {
        let mut subjects = request.subjects.iter();
        subjects.any(|subject| self.suspects.verdict(*subject).is_some())
    }

    fn on_trial(&self, request: &RequestState) -> Vec<Subject> {
        let on_trial = |subject: &Subject| {
            let verdict = self.suspects.verdict(*subject);
            matches!(verdict, Some(Verdict::Trial | Verdict::Contested))
        };
        request.subjects.iter().copied().filter(on_trial).collect()
    }

    /// The decision for a request that must not run without a permit it does not have.
    pub(crate) fn trial_decision(&self, now: Time, request: &RequestState) -> Option<Decision> {
        let subjects = self.on_trial(request);
        let permitted = |subject: &Subject| request.trial.permitted.contains(subject);
        if subjects.iter().all(permitted) {
            return None;
        }
        let until = if request.may_have_run {
            request.deadline
        } else {
            let wait = request.route.latency_target;
            request.arrived_at + wait.mul_f64(self.tuning.placement_wait_share)
        };
        let decision = if now < until {
            Decision::AwaitPermit(until)
        } else {
            refuse_or_fail(request, Reason::Suspect, Some(TRIAL_RETRY_DELAY))
        };
        Some(decision)
    }

    /// Interval at which a request asks for its permit again.
    #[must_use]
    pub fn ask_interval(&self) -> Duration {
        MIN_ASK_INTERVAL.max(ASK_INTERVAL_PER_HOST * self.host_count)
    }

    /// What a request has to ask the host that gives the permits for; `None` while another request
    /// of this host asks for one of its subjects or runs with it. A part that may be refused for
    /// it is tried only with a request that is not suspected itself.
    pub fn ask_for_permit(&mut self, now: Time, request: &mut RequestState) -> Option<PermitAsk> {
        let ask = PermitAsk {
            holder: self.holder(request.number),
            subjects: self.on_trial(request),
        };
        if self.must_give_way(now, request, &ask.subjects) {
            return None;
        }
        let turn = self
            .turns
            .acquire(now, &self.suspects, &ask.holder, &ask.subjects);
        request.trial.asked.clone_from(&ask.subjects);
        (turn == Answer::Granted).then_some(ask)
    }

    /// Whether a request has to leave the trial of its parts to others for now, as its own crash
    /// would not tell whether the request or the part is the cause.
    fn must_give_way(&self, now: Time, request: &RequestState, subjects: &[Subject]) -> bool {
        let is_contested =
            |subject: &Subject| self.suspects.verdict(*subject) == Some(Verdict::Contested);
        let period = if subjects.iter().any(is_contested) {
            CONTESTED_GIVE_WAY_PERIOD
        } else {
            GIVE_WAY_PERIOD
        };
        self.is_suspected_itself(request)
            && subjects.iter().any(|subject| subject.is_part())
            && now.since(request.dispatched_at) < period
    }

    fn holder(&self, number: u64) -> Holder {
        Holder {
            host: self.own_host.clone().unwrap_or_else(|| "".into()),
            number,
        }
    }

    /// The host that gives the permits for all hosts; `None` if it is this one, or if no host is
    /// known.
    #[must_use]
    pub fn permit_giver(&self, now: Time) -> Option<&Name> {
        let is_silent = |host: &&Name| {
            let until = self.silent_givers.get(*host);
            until.is_some_and(|until| *until > now)
        };
        let weight = |host: &&Name| hash::stable(host.as_bytes(), 0);
        let others = self.hosts.iter().filter(|host| !is_silent(host));
        let giver = others.max_by_key(weight)?;
        (Some(giver) != self.own_host.as_ref()).then_some(giver)
    }

    /// Records that a host does not answer when it is asked for permits: another one is asked for a
    /// while.
    pub fn record_silent_giver(&mut self, now: Time, host: &Name) {
        self.silent_givers.retain(|_, until| *until > now);
        self.silent_givers
            .insert(host.clone(), now + SILENT_GIVER_PERIOD);
    }

    /// Answers a request of this or another host that asks for a permit.
    pub fn give_permit(&mut self, now: Time, ask: &PermitAsk) -> Answer {
        self.permits
            .acquire(now, &self.suspects, &ask.holder, &ask.subjects)
    }

    /// Ends the permits that a request of this or another host got here.
    pub fn release_permit(&mut self, holder: &Holder) {
        self.permits.release(holder);
    }

    /// Records that a request got the permit that it asked for.
    pub fn record_permit(request: &mut RequestState) {
        request.trial.is_open = false;
        request.trial.permitted = std::mem::take(&mut request.trial.asked);
    }

    /// Records that a run of a request broke. Returns the parts that were on trial with it, unless
    /// the request may itself be the cause.
    pub(crate) fn break_trial(&self, request: &mut RequestState) -> Vec<Subject> {
        let mut tried = std::mem::take(&mut request.trial.permitted);
        request.trial.is_open |= !tried.is_empty();
        if self.is_suspected_itself(request) {
            return Vec::new();
        }
        tried.retain(|subject| subject.is_part());
        tried
    }

    fn is_suspected_itself(&self, request: &RequestState) -> bool {
        self.suspects.is_suspect(request.fingerprint)
    }

    /// Ends the trial of a request that has ended without a crash or does not run. After a run that
    /// broke, the permit ends with the news of the crash, or with its time.
    pub fn end_trial(&mut self, request: &mut RequestState) {
        request.trial.permitted.clear();
        if request.trial.is_open {
            return;
        }
        let holder = self.holder(request.number);
        if self.turns.release(&holder) {
            self.released_permits.push(holder);
        }
    }

    /// Removes and returns the requests whose permits ended here since the last call; the host
    /// that gave them has to be told.
    pub fn take_released_permits(&mut self) -> Vec<Holder> {
        std::mem::take(&mut self.released_permits)
    }
}
