//! Crashes of upstreams, and the requests suspected of causing them.
//!
//! A dispatch whose connection broke says little: the network or the upstream's own fault may
//! have broken it. It counts as in flight on a crash once the upstream is known to have ended:
//! its address refuses connections, or another incarnation is registered there.

use crate::{
    gate::Gate,
    request::{Ending, RequestState},
    upstreams::{UpstreamId, UpstreamState},
};
use mulberryrack_core::{
    Time, hash,
    outcome::{Reason, Refusal},
};
use mulberryrack_site::Upstream;
use mulberryrack_suspect::{Crash, Suspects};
use std::{collections::VecDeque, time::Duration};

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
    /// Another incarnation is registered at its address or under its name.
    Replaced,
}

/// A crash that this host saw, or one that it withdraws.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The upstream and its incarnation that ended.
    pub crash: Crash,
    /// How it was noticed; `None` if the crash is withdrawn, as the upstream has answered.
    pub sign: Option<CrashSign>,
    /// Fingerprints of this host's requests that were in flight.
    pub fingerprints: Vec<u128>,
}

/// Signs that an upstream's incarnation has ended, and its suspected requests.
#[derive(Debug, Default)]
pub(crate) struct CrashState {
    /// Dispatches that broke or fell silent: time and fingerprint, oldest first.
    broken: VecDeque<(Time, u128)>,
    /// When and how the incarnation was found to have ended.
    ended: Option<(Time, CrashSign)>,
    /// The incarnation before this one under the same name, if it crashed. Dispatches to it
    /// may still be in flight.
    crashed_before: Option<u64>,
    /// Suspected requests of this host that are at the upstream.
    pub suspects_in_flight: u32,
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

    /// Drops the broken dispatches of a request.
    fn forget(&mut self, fingerprint: u128) {
        self.broken.retain(|(_, other)| *other != fingerprint);
    }

    /// Removes the broken dispatches and returns the fingerprints of those in the window.
    fn take_broken(&mut self, now: Time) -> Vec<u128> {
        let recent = |(time, _): &(Time, u128)| now.since(*time) <= CRASH_WINDOW;
        let broken = std::mem::take(&mut self.broken);
        let fingerprints = broken.into_iter().filter(recent).map(|(_, it)| it);
        let mut fingerprints: Vec<u128> = fingerprints.collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
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

    /// Removes and returns the fingerprints on which this host's evidence has changed since
    /// the last call.
    pub fn take_suspect_changes(&mut self) -> Vec<u128> {
        std::mem::take(&mut self.suspect_changes)
    }

    /// Whether dispatches to an upstream that should be running broke, so that a connection
    /// to it would show whether it has crashed.
    #[must_use]
    pub fn may_have_crashed(&self, id: UpstreamId) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.accepts_requests()
            && upstream.crash.ended.is_none()
            && !upstream.crash.broken.is_empty()
    }

    /// Records that an upstream's address refuses connections.
    pub fn record_refused_connection(&mut self, now: Time, id: UpstreamId) {
        // A draining upstream ends as planned.
        if self.upstreams.get(id).accepts_requests() {
            self.confirm_crash(now, id, CrashSign::Refused);
        }
    }

    /// Records that an upstream accepted a connection that was opened at `opened`: what broke
    /// before had another cause.
    pub fn record_accepted_connection(&mut self, id: UpstreamId, opened: Time) {
        let broken = &mut self.upstreams.get_mut(id).crash.broken;
        broken.retain(|(time, _)| *time > opened);
    }

    /// Number of broken dispatches to an upstream that would count if it were found to have
    /// ended.
    #[must_use]
    pub fn broken_count(&self, id: UpstreamId) -> usize {
        self.upstreams.get(id).crash.broken.len()
    }

    /// Records a signed answer to a dispatch made at `dispatched_at`. If the upstream was taken
    /// for ended then, its crash is withdrawn.
    pub fn record_answer(&mut self, now: Time, id: UpstreamId, dispatched_at: Time) {
        let upstream = self.upstreams.get_mut(id);
        let ended = upstream.crash.ended;
        if ended.is_none_or(|(ended, _)| ended >= dispatched_at) {
            return;
        }
        upstream.crash.ended = None;
        let crash = crash_of(upstream);
        let fingerprints = self.suspects.withdraw(now, &crash);
        self.report(crash, None, fingerprints);
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
            self.confirm_crash(now, id, CrashSign::Replaced);
        }
    }

    /// Records that another upstream was registered. One of the same service that was
    /// registered at its address has ended; other services may share an address for other
    /// reasons.
    pub(crate) fn record_replacement(&mut self, now: Time, name: &str) {
        let Some(new) = self.upstreams.find(name) else {
            return;
        };
        let registration = &self.upstreams.get(new).registration;
        let is_replaced = |(id, old): &(UpstreamId, &UpstreamState)| {
            let is_used = old.in_flight > 0 || !old.crash.broken.is_empty();
            *id != new
                && old.registration.address == registration.address
                && old.registration.service == registration.service
                && old.accepts_requests()
                && is_used
        };
        let replaced = self.upstreams.iter().filter(is_replaced);
        let ended: Vec<UpstreamId> = replaced.map(|(id, _)| id).collect();
        for id in ended {
            self.confirm_crash(now, id, CrashSign::Replaced);
        }
    }

    fn confirm_crash(&mut self, now: Time, id: UpstreamId, sign: CrashSign) {
        let upstream = self.upstreams.get_mut(id);
        if upstream.crash.ended.is_some() {
            return;
        }
        let fingerprints = upstream.crash.take_broken(now);
        upstream.crash.ended = Some((now, sign));
        upstream.start_cooldown(now);
        let crash = crash_of(upstream);
        self.record_crash(now, crash, sign, fingerprints);
    }

    fn record_crash(
        &mut self,
        now: Time,
        crash: Crash,
        sign: CrashSign,
        mut fingerprints: Vec<u128>,
    ) {
        fingerprints.retain(|fingerprint| !self.completions.is_recent(now, *fingerprint));
        if fingerprints.is_empty() {
            return;
        }
        self.suspects
            .record_crash(now, &crash, fingerprints.iter().copied());
        self.report(crash, Some(sign), fingerprints);
    }

    fn report(&mut self, crash: Crash, sign: Option<CrashSign>, fingerprints: Vec<u128>) {
        self.suspect_changes.extend(&fingerprints);
        self.crash_reports.push(CrashReport {
            crash,
            sign,
            fingerprints,
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
            Ending::Done => self.clear_suspect(now, request.fingerprint),
            Ending::Failed
            | Ending::NotRun
            | Ending::Misplaced
            | Ending::NotSent
            | Ending::Abandoned => {}
        }
    }

    fn record_broken(&mut self, now: Time, id: UpstreamId, request: &RequestState) {
        let fingerprint = request.fingerprint;
        let upstream = self.upstreams.get_mut(id);
        let mut crash = crash_of(upstream);
        if request.incarnation != crash.incarnation {
            if upstream.crash.crashed_before == Some(request.incarnation) {
                crash.incarnation = request.incarnation;
                self.record_crash(now, crash, CrashSign::Replaced, vec![fingerprint]);
            }
            return;
        }
        if let Some((_, sign)) = upstream.crash.ended {
            self.record_crash(now, crash, sign, vec![fingerprint]);
            return;
        }
        let broken = &mut upstream.crash.broken;
        broken.push_back((now, fingerprint));
        if broken.len() > MAX_BROKEN {
            broken.pop_front();
        }
    }

    /// Clears a request that has run to its end.
    fn clear_suspect(&mut self, now: Time, fingerprint: u128) {
        for upstream in self.upstreams.iter_mut() {
            upstream.crash.forget(fingerprint);
        }
        self.completions.record(now, fingerprint);
        self.clear_completed(now, &[fingerprint]);
    }

    /// Clears those of the fingerprints, on which another host has told of crashes, that have
    /// recently run to their end here.
    pub fn clear_completed(&mut self, now: Time, fingerprints: &[u128]) {
        for fingerprint in fingerprints {
            if self.suspects.is_suspect(*fingerprint)
                && self.completions.is_recent(now, *fingerprint)
            {
                self.suspects.clear(now, *fingerprint);
                self.suspect_changes.push(*fingerprint);
            }
        }
    }

    /// The refusal of a request that is known to crash upstreams.
    pub(crate) fn suspect_refusal(&self, now: Time, request: &RequestState) -> Option<Refusal> {
        let fingerprint = request.fingerprint;
        self.suspects.is_refused(fingerprint).then(|| Refusal {
            reason: Reason::Suspect,
            retry_after: self.suspects.remaining(fingerprint, now),
        })
    }

    /// Narrows the upstreams for a suspected request to one without other suspects of this
    /// host: if two suspects were in flight on a crash, it could not be attributed to either.
    /// Hashing makes it likely that suspects of other hosts go elsewhere.
    pub(crate) fn separate_suspect(
        &self,
        request: &RequestState,
        pool: Vec<UpstreamId>,
    ) -> Vec<UpstreamId> {
        let fingerprint = request.fingerprint;
        if !self.suspects.is_suspect(fingerprint) {
            return pool;
        }
        let without_suspects = |id: &&UpstreamId| {
            let upstream = self.upstreams.get(**id);
            upstream.crash.suspects_in_flight == 0
        };
        let weight = |id: &&UpstreamId| {
            let name = &self.upstreams.get(**id).registration.id;
            let seed = hash::stable(&fingerprint.to_le_bytes(), 0);
            hash::stable(name.as_bytes(), seed)
        };
        let free = pool.iter().filter(without_suspects).max_by_key(weight);
        let chosen = free.or_else(|| pool.iter().max_by_key(weight));
        chosen.copied().into_iter().collect()
    }
}
