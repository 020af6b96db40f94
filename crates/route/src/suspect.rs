//! Requests suspected of crashing upstreams: the crashes that this host sees, and what it
//! does with suspected requests. The package `suspect` keeps the evidence.
//!
//! Every host publishes the evidence that it saw itself as a value of its own.

use crate::{Output, Router, Settings, active::Stage, router::Timer, upstreams::UpstreamId};
use mulberryrack_core::{
    Name, Time,
    note::{Level, Note},
    request::Key,
    view::Value,
};
use mulberryrack_suspect::{Crash, Limits, Subject, Suspects};
use mulberryrack_wire::route::Suspicions;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Low bits of a value's version, which count the values of one incarnation of the host.
const COUNT_BITS: u32 = 20;

/// The evidence, and the values by which the hosts share it.
#[derive(Debug)]
pub(crate) struct SharedSuspects {
    pub suspects: Suspects,
    /// Version of the newest value of each host.
    versions: BTreeMap<Name, u64>,
    /// Number of values published by this host.
    published: u64,
}

impl SharedSuspects {
    pub fn new(settings: &Settings) -> Self {
        let limits = Limits {
            crashes_until_refused: settings.crashes_until_refused,
            max_suspects: settings.max_suspects,
            suspicion_period: settings.suspicion_period,
        };
        Self {
            suspects: Suspects::new(limits),
            versions: BTreeMap::new(),
            published: 0,
        }
    }
}

impl Router {
    /// Marks a request as suspected if its fingerprint is. A suspected request avoids the
    /// upstreams that crashed and runs beside no other suspected request.
    pub(crate) fn mark_suspect(&mut self, key: Key) {
        let suspects = &self.shared_suspects.suspects;
        if suspects.is_empty() {
            return;
        }
        let req = self.requests.get_mut(&key).expect("a known request");
        let crashes: Vec<_> = suspects.crashes(req.fingerprint).collect();
        req.suspect = !crashes.is_empty();
        let avoided: Vec<_> = crashes
            .iter()
            .filter_map(|crash| self.upstreams.find(&crash.upstream))
            .filter(|id| !req.avoid.contains(id))
            .collect();
        req.avoid.extend(avoided);
    }

    /// The log line by which operators find the request that is refused.
    pub(crate) fn refusal_note(&self, key: Key) -> Output {
        let req = &self.requests[&key];
        let note = Note::new(Level::Warn, "suspect-refused")
            .with("target", &req.request.target)
            .with("fingerprint", format_args!("{:032x}", req.fingerprint));
        Output::Note(note)
    }

    /// Records a request whose connection broke, in case a crash is noticed later. If the
    /// upstream refused a connection shortly before, that confirms a crash at once.
    pub(crate) fn record_broken(
        &mut self,
        now: Time,
        key: Key,
        id: UpstreamId,
        out: &mut Vec<Output>,
    ) {
        /// Maximum number of broken requests remembered for an upstream.
        const REMEMBERED: usize = 1_024;
        let fingerprint = self.requests[&key].fingerprint;
        let window = self.settings.crash_window;
        let upstream = self.upstreams.get_mut(id);
        upstream.broken_requests.push_back((now, fingerprint));
        if upstream.broken_requests.len() > REMEMBERED {
            upstream.broken_requests.pop_front();
        }
        let refused = upstream.last_refused.is_some_and(|at| now - at <= window);
        if refused {
            self.confirm_crash(now, id, out);
        }
    }

    /// Handles an upstream that refuses connections or lost its streams: requests that
    /// broke there shortly before were in flight on a crash.
    pub(crate) fn confirm_crash(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let window = self.settings.crash_window;
        let upstream = self.upstreams.get_mut(id);
        let broken = upstream.take_recently_broken(now, window);
        let incarnation = upstream
            .incarnation()
            .map_or(0, |incarnation| incarnation.0);
        self.record_crash(now, id, incarnation, &broken, out);
    }

    /// Handles an upstream with a new incarnation: all requests in flight on the old one
    /// were in flight on a crash.
    pub(crate) fn on_restart(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let window = self.settings.crash_window;
        let upstream = self.upstreams.get_mut(id);
        let mut suspected = upstream.take_recently_broken(now, window);
        let in_flight: Vec<_> = upstream.in_flight.iter().copied().collect();
        let incarnation = upstream
            .previous_incarnation
            .map_or(0, |incarnation| incarnation.0);
        let keys = in_flight
            .iter()
            .filter_map(|attempt| self.attempts.get(attempt));
        suspected.extend(keys.map(|key| self.requests[key].fingerprint));
        self.record_crash(now, id, incarnation, &suspected, out);
    }

    fn record_crash(
        &mut self,
        now: Time,
        id: UpstreamId,
        incarnation: u64,
        fingerprints: &BTreeSet<u128>,
        out: &mut Vec<Output>,
    ) {
        let upstream = self.upstreams.get(id);
        if fingerprints.is_empty() || upstream.leaving.contains(&true) {
            return;
        }
        let crash = Crash {
            upstream: upstream.name.clone(),
            incarnation,
        };
        out.push(Output::Note(
            Note::new(Level::Warn, "upstream-crashed")
                .with("upstream", &crash.upstream)
                .with("in_flight", fingerprints.len()),
        ));
        self.shared_suspects
            .suspects
            .record_crash(now, &crash, fingerprints.iter().copied());
        self.publish_suspects(now, out);
        let affected: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, req)| fingerprints.contains(&req.fingerprint))
            .map(|(key, _)| *key)
            .collect();
        for key in affected {
            let req = self.requests.get_mut(&key).expect("just found");
            req.not_before = now + self.settings.suspect_hold_delay;
            if req.stage == Stage::Queued {
                self.readmit(now, key, out);
            }
        }
    }

    /// Repeats the admission of a queued request after a change of suspicions.
    fn readmit(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        self.dequeue(key);
        self.admit(now, key, out);
    }

    fn publish_suspects(&mut self, now: Time, out: &mut Vec<Output>) {
        let shared = &mut self.shared_suspects;
        shared.published += 1;
        out.push(Output::Publish(Value {
            key: format!("suspect/{}", self.me).into(),
            version: (self.incarnation.0 << COUNT_BITS) + shared.published,
            bytes: shared.suspects.own(now).encode_to_vec().into(),
        }));
        self.timers
            .insert((now + self.settings.suspicion_period, Timer::Suspicions));
    }

    pub(crate) fn on_suspicions(
        &mut self,
        now: Time,
        host: &str,
        value: &Value,
        out: &mut Vec<Output>,
    ) {
        let own_value = host == &*self.me;
        if own_value && value.version >> COUNT_BITS >= self.incarnation.0 {
            return;
        }
        let shared = &mut self.shared_suspects;
        let known = shared.versions.get(host);
        if known.is_some_and(|version| *version >= value.version) {
            return;
        }
        let Ok(Suspicions { suspicions }) = Suspicions::decode(value.bytes.clone()) else {
            return;
        };
        shared.versions.insert(host.into(), value.version);
        let subjects: BTreeSet<_> = if own_value {
            // The next value of this host would otherwise drop what its earlier
            // incarnation saw.
            shared.suspects.take_over(now, suspicions)
        } else {
            shared.suspects.learn(now, suspicions)
        }
        .into_iter()
        .collect();
        self.timers
            .insert((now + self.settings.suspicion_period, Timer::Suspicions));
        let queued: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, req)| {
                req.stage == Stage::Queued && subjects.contains(&Subject::Request(req.fingerprint))
            })
            .map(|(key, _)| *key)
            .collect();
        for key in queued {
            self.readmit(now, key, out);
        }
    }

    /// Clears a fingerprint, after a run to its end, of the crashes that count against
    /// it.
    pub(crate) fn clear_suspect(&mut self, now: Time, fingerprint: u128, out: &mut Vec<Output>) {
        self.shared_suspects.suspects.clear(now, fingerprint);
        self.publish_suspects(now, out);
    }

    pub(crate) fn on_suspect_timer(&mut self, now: Time) {
        self.shared_suspects.suspects.expire(now);
    }
}
