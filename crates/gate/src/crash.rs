//! Crashes of upstreams, and the requests suspected of causing them.
//!
//! A dispatch whose connection broke says little: the network or the upstream's own fault may
//! have broken it. It counts as in flight on a crash once the upstream is known to have ended:
//! its address refuses connections, or another incarnation is registered there. Until then it
//! is kept, for [`CRASH_WINDOW`] at most, unless the upstream names itself in a later answer.
//! That its address accepts connections or answers requests is not enough: the next
//! incarnation, or whatever forwards to it, may have done so.

use crate::{
    gate::Gate,
    request::{Ending, RequestState},
    upstreams::{UpstreamId, UpstreamState},
};
use mulberryrack_core::{Name, Time, hash};
use mulberryrack_site::Upstream;
use mulberryrack_suspect::{Crash, Subject, Suspects};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Time before the end of an upstream is noticed in which a broken dispatch counts as in
/// flight on the crash. An engine that crashed starts again within it.
const CRASH_WINDOW: Duration = Duration::from_secs(10);
/// Largest number of broken dispatches kept for an upstream.
const MAX_BROKEN: usize = 1_024;

/// How an upstream is known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSign {
    /// Its address refuses connections.
    Refused,
    /// Another upstream of its service is registered at its address.
    Replaced,
    /// A later incarnation is registered under its name.
    Restarted,
}

/// A crash that this host saw, or one that it withdraws.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The upstream and its incarnation that ended.
    pub crash: Crash,
    /// How it was noticed; `None` if the crash is withdrawn, as the upstream has answered with
    /// its name.
    pub sign: Option<CrashSign>,
    /// This host's requests that were in flight, and the parts of their prompts.
    pub subjects: Vec<Subject>,
}

/// What was in flight with a dispatch.
#[derive(Clone, Debug)]
struct InFlight {
    /// When the dispatch broke, or was found to have.
    at: Time,
    subjects: Arc<[Subject]>,
    /// The parts that were on trial with it.
    tried: Vec<Subject>,
}

/// A dispatch that broke or fell silent while its upstream was ready.
#[derive(Clone, Debug)]
struct BrokenDispatch {
    in_flight: InFlight,
    /// Whether an upstream under the same name has answered since. If that was a later
    /// incarnation, its registration will show it.
    answered_since: bool,
}

/// Signs that an upstream's incarnation has ended, and its suspected requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashState {
    /// Oldest first.
    broken: VecDeque<BrokenDispatch>,
    /// When and how the incarnation was found to have ended.
    ended: Option<(Time, CrashSign)>,
    /// Whether a request that was dispatched after `ended` has been answered.
    answered_after_end: bool,
    /// The incarnation before this one under the same name, if it crashed. Dispatches to it
    /// may still be in flight.
    crashed_before: Option<u64>,
    /// Suspected requests of this host that are at the upstream.
    pub suspects_in_flight: u32,
    /// Whether the upstream is assigned to this host among the hosts that are known now;
    /// `None` until it is asked for.
    assigned_here: Option<bool>,
}

impl CrashState {
    /// The state for the next incarnation of an upstream under the same name.
    pub fn after_restart(&self, former: &UpstreamState) -> Self {
        let crashed = self.ended.is_some() || former.accepts_requests();
        Self {
            crashed_before: crashed.then_some(former.registration.started_ms),
            suspects_in_flight: self.suspects_in_flight,
            ..Self::default()
        }
    }

    fn add_broken(&mut self, now: Time, in_flight: InFlight) {
        self.broken.push_back(BrokenDispatch {
            in_flight,
            answered_since: false,
        });
        let expired = |broken: &BrokenDispatch| now.since(broken.in_flight.at) > CRASH_WINDOW;
        while self.broken.front().is_some_and(expired) || self.broken.len() > MAX_BROKEN {
            self.broken.pop_front();
        }
    }

    /// Broken dispatches that would count if the upstream were found to have ended.
    fn unexplained(&self, now: Time) -> impl Iterator<Item = &BrokenDispatch> {
        let recent = move |broken: &&BrokenDispatch| now.since(broken.in_flight.at) <= CRASH_WINDOW;
        let broken = self.broken.iter().filter(recent);
        broken.filter(|broken| !broken.answered_since)
    }

    /// Drops the broken dispatches of a request.
    fn forget(&mut self, request: Subject) {
        self.broken
            .retain(|broken| !broken.in_flight.subjects.contains(&request));
    }

    /// Removes the broken dispatches and returns what was in flight with those that count on a
    /// crash that is noticed by `sign`.
    fn take_broken(&mut self, now: Time, sign: CrashSign) -> Vec<InFlight> {
        let under_same_name = sign == CrashSign::Restarted;
        let counts = |broken: &BrokenDispatch| {
            let is_recent = now.since(broken.in_flight.at) <= CRASH_WINDOW;
            is_recent && (under_same_name || !broken.answered_since)
        };
        let broken = std::mem::take(&mut self.broken);
        let counting = broken.into_iter().filter(counts);
        counting.map(|broken| broken.in_flight).collect()
    }
}

impl UpstreamState {
    /// Whether the end of the upstream would be a crash with requests of this host in flight.
    /// An upstream that drains ends as planned.
    fn may_crash_with_requests(&self, now: Time) -> bool {
        let broke = !self.is_leaving() && self.crash.unexplained(now).next().is_some();
        broke || (self.accepts_requests() && self.in_flight > 0)
    }
}

fn crash_of(upstream: &UpstreamState) -> Crash {
    Crash {
        upstream: upstream.registration.id.clone(),
        incarnation: upstream.registration.started_ms,
    }
}

impl Gate {
    /// The evidence on requests that may have crashed upstreams.
    #[must_use]
    pub const fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// The evidence, to merge that of other hosts into it.
    pub const fn suspects_mut(&mut self) -> &mut Suspects {
        &mut self.suspects
    }

    /// Removes and returns the crashes that this host has seen or withdrawn since the last
    /// call.
    pub fn take_crash_reports(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.crash_reports)
    }

    /// Removes and returns the subjects on which this host's evidence has changed since the last
    /// call.
    pub fn take_suspect_changes(&mut self) -> Vec<Subject> {
        std::mem::take(&mut self.suspect_changes)
    }

    /// Whether dispatches to an upstream that should be running broke and the cause is open.
    #[must_use]
    pub fn may_have_crashed(&self, now: Time, id: UpstreamId) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.accepts_requests()
            && upstream.crash.ended.is_none()
            && self.broken_count(now, id) > 0
    }

    /// Whether an end of the upstream now would be a crash. One that is leaving ends as planned.
    #[must_use]
    pub fn would_end_in_crash(&self, id: UpstreamId) -> bool {
        self.upstreams.get(id).accepts_requests()
    }

    /// Whether an upstream should be asked for its name, as it is unclear if it has ended.
    #[must_use]
    pub fn needs_probe(&self, now: Time, id: UpstreamId) -> bool {
        self.may_have_crashed(now, id) || self.is_answered_after_end(id)
    }

    /// Number of broken dispatches to an upstream that would count if it were found to have
    /// ended.
    #[must_use]
    pub fn broken_count(&self, now: Time, id: UpstreamId) -> usize {
        self.upstreams.get(id).crash.unexplained(now).count()
    }

    /// The path at which an upstream answers with its name; `None` if it has none.
    #[must_use]
    pub fn health_path(&self, id: UpstreamId) -> Option<Name> {
        let service = &self.upstreams.get(id).registration.service;
        self.config()?.service(service)?.health_path.clone()
    }

    /// Records that an upstream's address refuses connections.
    pub fn record_refused_connection(&mut self, now: Time, id: UpstreamId) {
        self.record_unidentified(id);
        if self.would_end_in_crash(id) {
            self.confirm_crash(now, id, CrashSign::Refused);
        }
    }

    /// Records that whatever answered at an upstream's address named itself `name`, in an
    /// answer to something that was sent at `asked`. If it is the upstream, what broke before
    /// had another cause, and its crash is withdrawn if one was noticed.
    pub fn record_identity(&mut self, now: Time, id: UpstreamId, name: &str, asked: Time) {
        if *self.upstreams.get(id).registration.id == *name {
            self.record_alive(now, id, asked);
            return;
        }
        self.record_unidentified(id);
        if self.has_replaced(now, name, id) {
            self.confirm_crash(now, id, CrashSign::Replaced);
        }
    }

    fn record_alive(&mut self, now: Time, id: UpstreamId, asked: Time) {
        let upstream = self.upstreams.get_mut(id);
        let before = |broken: &&mut BrokenDispatch| broken.in_flight.at <= asked;
        for broken in upstream.crash.broken.iter_mut().filter(before) {
            broken.answered_since = true;
        }
        if upstream.crash.ended.is_none_or(|(ended, _)| ended > asked) {
            return;
        }
        upstream.crash.ended = None;
        upstream.crash.answered_after_end = false;
        let crash = crash_of(upstream);
        let subjects = self.suspects.withdraw(now, &crash);
        self.report(crash, None, subjects);
    }

    /// Records a signed answer to a dispatch made at `dispatched_at`. If the upstream was taken
    /// for ended then, it should be asked for its name.
    pub fn record_answer(&mut self, id: UpstreamId, dispatched_at: Time) {
        let crash = &mut self.upstreams.get_mut(id).crash;
        let answered = crash.ended.is_some_and(|(ended, _)| ended < dispatched_at);
        crash.answered_after_end |= answered;
    }

    /// Whether an upstream that was taken for ended has answered since.
    #[must_use]
    pub fn is_answered_after_end(&self, id: UpstreamId) -> bool {
        self.upstreams.get(id).crash.answered_after_end
    }

    /// Records that the upstream did not answer to its name when it was asked.
    pub fn record_unidentified(&mut self, id: UpstreamId) {
        self.upstreams.get_mut(id).crash.answered_after_end = false;
    }

    /// Records that a later incarnation of an upstream is about to be registered under its
    /// name: the one that was registered has ended.
    pub(crate) fn record_restart(&mut self, now: Time, registration: &Upstream) {
        let Some(id) = self.upstreams.find(&registration.id) else {
            return;
        };
        let former = self.upstreams.get(id);
        let is_news = !registration.older_than(&former.registration);
        if is_news && former.accepts_requests() && former.is_former_incarnation_of(registration) {
            self.confirm_crash(now, id, CrashSign::Restarted);
        }
    }

    /// Records that another upstream was registered. One of the same service that was
    /// registered at its address has ended; other services may share an address for other
    /// reasons.
    pub(crate) fn record_replacement(&mut self, now: Time, name: &str) {
        let all = self.upstreams.iter().map(|(id, _)| id);
        let ended: Vec<UpstreamId> = all.filter(|id| self.has_replaced(now, name, *id)).collect();
        for id in ended {
            self.confirm_crash(now, id, CrashSign::Replaced);
        }
    }

    /// Whether the upstream called `name` shows that the one with the key `old` has crashed
    /// with requests of this host in flight.
    fn has_replaced(&self, now: Time, name: &str, old: UpstreamId) -> bool {
        let Some(new) = self.upstreams.find(name) else {
            return false;
        };
        let registration = &self.upstreams.get(new).registration;
        let former = self.upstreams.get(old);
        old != new
            && former.registration.address == registration.address
            && former.registration.service == registration.service
            && former.may_crash_with_requests(now)
    }

    fn confirm_crash(&mut self, now: Time, id: UpstreamId, sign: CrashSign) {
        let upstream = self.upstreams.get_mut(id);
        if upstream.crash.ended.is_some() {
            return;
        }
        let in_flight = upstream.crash.take_broken(now, sign);
        upstream.crash.ended = Some((now, sign));
        upstream.start_cooldown(now);
        let crash = crash_of(upstream);
        self.record_crash(now, crash, sign, &in_flight);
    }

    fn record_crash(&mut self, now: Time, crash: Crash, sign: CrashSign, in_flight: &[InFlight]) {
        // A subject counts from when it was last in flight: runs to its end may have followed before
        // the crash was noticed.
        let mut last: BTreeMap<Subject, Time> = BTreeMap::new();
        for it in in_flight {
            for subject in &*it.subjects {
                let at = last.entry(*subject).or_insert(it.at);
                *at = it.at.max(*at);
            }
        }
        // A part is recorded all the same: it may have begun to crash upstreams since.
        last.retain(|subject, _| {
            subject.is_part() || self.completions.recent(now, *subject).is_none()
        });
        if last.is_empty() {
            return;
        }
        let subjects: Vec<Subject> = last.keys().copied().collect();
        self.suspects.record_past_crash(now, &crash, last);
        for it in in_flight.iter().filter(|it| !it.tried.is_empty()) {
            self.suspects.record_trial(now, &crash, &it.tried);
        }
        let parts = subjects.iter().filter(|subject| subject.is_part());
        let completions = parts.filter_map(|part| {
            let at = self.completions.recent(now, *part)?;
            Some((*part, at))
        });
        self.suspects.record_completions(completions);
        self.report(crash, Some(sign), subjects);
    }

    fn report(&mut self, crash: Crash, sign: Option<CrashSign>, subjects: Vec<Subject>) {
        self.suspect_changes.extend(&subjects);
        self.crash_reports.push(CrashReport {
            crash,
            sign,
            subjects,
        });
    }

    /// Records what the end of a dispatch says about its request and its upstream.
    pub(crate) fn record_crash_signs(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
        ending: Ending,
    ) {
        if request.suspect_at.take() == Some(id) {
            let state = &mut self.upstreams.get_mut(id).crash;
            state.suspects_in_flight = state.suspects_in_flight.saturating_sub(1);
        }
        match ending {
            Ending::Broken | Ending::Silent => self.record_broken(now, id, request),
            Ending::Done => {
                self.clear_suspect(now, request);
                self.end_trial(request);
            }
            // An upstream that answers or sends too much is running.
            Ending::Failed | Ending::Inconclusive | Ending::Excessive | Ending::Unread => {
                self.end_trial(request);
            }
            Ending::NotRun | Ending::Misplaced | Ending::NotSent | Ending::Withdrawn => {}
            // The caller may have left because the upstream had ended in silence.
            Ending::Abandoned => {
                if self.upstreams.get(id).last_activity <= request.dispatched_at {
                    self.record_broken(now, id, request);
                } else {
                    self.end_trial(request);
                }
            }
        }
    }

    fn record_broken(&mut self, now: Time, id: UpstreamId, request: &mut RequestState) {
        let in_flight = InFlight {
            at: now,
            subjects: request.subjects.clone(),
            tried: self.break_trial(request),
        };
        let upstream = self.upstreams.get_mut(id);
        let mut crash = crash_of(upstream);
        if request.incarnation != crash.incarnation {
            if upstream.crash.crashed_before == Some(request.incarnation) {
                crash.incarnation = request.incarnation;
                self.record_crash(now, crash, CrashSign::Restarted, &[in_flight]);
            }
            return;
        }
        if let Some((_, sign)) = upstream.crash.ended {
            self.record_crash(now, crash, sign, &[in_flight]);
            return;
        }
        if upstream.accepts_requests() {
            upstream.crash.add_broken(now, in_flight);
        }
    }

    /// Clears the subjects of a request that has run to its end.
    fn clear_suspect(&mut self, now: Time, request: &RequestState) {
        let fingerprint = Subject::Request(request.fingerprint);
        for upstream in self.upstreams.iter_mut() {
            upstream.crash.forget(fingerprint);
        }
        for subject in &*request.subjects {
            self.completions.record(now, *subject);
        }
        let cleared = self
            .suspects
            .clear_all(now, request.subjects.iter().copied());
        self.suspect_changes.extend(cleared);
    }

    /// Applies to subjects, on which another host has told of crashes, that they have recently run
    /// to their end here. A part may have begun to crash upstreams since.
    pub fn clear_completed(&mut self, now: Time, subjects: &[Subject]) {
        let completed = |subject: &Subject| {
            let at = self.completions.recent(now, *subject)?;
            Some((*subject, at))
        };
        let completed = subjects.iter().filter_map(completed);
        let (parts, requests): (Vec<_>, Vec<_>) =
            completed.partition(|(subject, _)| subject.is_part());
        let requests = requests.into_iter().map(|(request, _)| request);
        self.suspect_changes
            .extend(self.suspects.clear_all(now, requests));
        self.suspect_changes
            .extend(self.suspects.record_completions(parts));
    }

    /// Sets the names of all hosts, and which of them is this one.
    pub fn set_hosts(&mut self, now: Time, own: &Name, hosts: Vec<Name>) {
        self.tokens.roster.set_hosts(now, own, &hosts);
        self.own_host = Some(own.clone());
        self.hosts = hosts;
        for upstream in self.upstreams.iter_mut() {
            upstream.crash.assigned_here = None;
        }
    }

    /// Whether suspected requests of this host take precedence at an upstream: each upstream is
    /// assigned to one host by rendezvous hashing, so that suspects of two hosts do not meet.
    fn is_assigned_here(&mut self, id: UpstreamId) -> bool {
        let upstream = self.upstreams.get_mut(id);
        if let Some(is_assigned) = upstream.crash.assigned_here {
            return is_assigned;
        }
        let seed = hash::stable(upstream.registration.id.as_bytes(), 0);
        let weight = |host: &&Name| hash::stable(host.as_bytes(), seed);
        let is_assigned = self.hosts.iter().max_by_key(weight) == self.own_host.as_ref();
        upstream.crash.assigned_here = Some(is_assigned);
        is_assigned
    }

    /// Narrows the upstreams for a suspected request to one without other suspects: if two
    /// suspects were in flight on a crash, it could not be attributed to either. Those of this
    /// host are known; other hosts prefer other upstreams.
    pub(crate) fn separate_suspect(
        &mut self,
        request: &RequestState,
        pool: Vec<UpstreamId>,
    ) -> Vec<UpstreamId> {
        let fingerprint = request.fingerprint;
        if !self.is_suspect(request) {
            return pool;
        }
        let mut free = pool.clone();
        free.retain(|id| self.upstreams.get(*id).crash.suspects_in_flight == 0);
        let mut assigned = free.clone();
        assigned.retain(|id| self.is_assigned_here(*id));
        let weight = |id: &&UpstreamId| {
            let name = &self.upstreams.get(**id).registration.id;
            let seed = hash::stable(&fingerprint.to_le_bytes(), 0);
            hash::stable(name.as_bytes(), seed)
        };
        let chosen = [assigned, free, pool]
            .iter()
            .find_map(|upstreams| upstreams.iter().max_by_key(weight).copied());
        chosen.into_iter().collect()
    }
}
