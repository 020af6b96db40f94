//! Requests suspected of crashing upstreams, by fingerprint.
//!
//! A crash is identified by the upstream and its incarnation that ended, so that a crash
//! seen by several hosts counts once. Every host publishes the crashes that it saw and
//! those of which it cleared a fingerprint. The crashes that count are those of all hosts
//! that no host has cleared.

use crate::{Output, Router, Settings, active::Stage, router::Timer, upstreams::UpstreamId};
use mulberryrack_core::{
    Name, Time,
    note::{Level, Note},
    request::Key,
    view::Value,
};
use mulberryrack_wire::route::{Crash, Suspicion, Suspicions};
use prost::Message;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Low bits of a value's version, which count the values of one incarnation of the host.
const COUNT_BITS: u32 = 20;

/// Identifies a crash: the upstream and its incarnation that ended.
type CrashId = (Name, u64);

/// Crashes during which a fingerprint was in flight, as seen by one host.
#[derive(Clone, Debug)]
struct Evidence {
    crashes: BTreeSet<CrashId>,
    cleared: BTreeSet<CrashId>,
    /// When the evidence last changed, by this host's clock.
    changed: Time,
}

impl Evidence {
    fn new(changed: Time) -> Self {
        Self {
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            changed,
        }
    }
}

/// The evidence of this host and of all others, by fingerprint.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    /// Evidence of this host, which it publishes.
    own: BTreeMap<u128, Evidence>,
    /// Newest value of each host: its version and evidence.
    by_host: BTreeMap<Name, (u64, BTreeMap<u128, Evidence>)>,
    /// Invariant: `own` and `by_host` merged, without cleared crashes.
    effective: BTreeMap<u128, Evidence>,
    /// Number of values published by this host.
    published: u64,
}

impl Suspects {
    /// The crashes that count against a fingerprint.
    fn crashes(&self, fingerprint: u128) -> impl Iterator<Item = &CrashId> {
        self.effective
            .get(&fingerprint)
            .into_iter()
            .flat_map(|entry| &entry.crashes)
    }

    /// Whether requests with a fingerprint are refused.
    pub fn is_refused(&self, fingerprint: u128, settings: &Settings) -> bool {
        self.crashes(fingerprint).count() >= settings.crashes_until_refused as usize
    }

    /// Time until the newest evidence known here expires.
    pub fn remaining(&self, fingerprint: u128, now: Time, settings: &Settings) -> Option<Duration> {
        self.effective
            .get(&fingerprint)
            .map(|entry| (entry.changed + settings.suspicion_period) - now)
    }

    /// Recomputes the merged evidence, so that requests need not search that of each
    /// host.
    fn merge(&mut self) {
        let mut merged: BTreeMap<u128, Evidence> = BTreeMap::new();
        let by_host = self.by_host.values().map(|(_, entries)| entries);
        for (fingerprint, entry) in by_host.chain([&self.own]).flatten() {
            let sum = merged
                .entry(*fingerprint)
                .or_insert_with(|| Evidence::new(entry.changed));
            sum.crashes.extend(entry.crashes.iter().cloned());
            sum.cleared.extend(entry.cleared.iter().cloned());
            sum.changed = sum.changed.max(entry.changed);
        }
        for entry in merged.values_mut() {
            let cleared = std::mem::take(&mut entry.cleared);
            entry.crashes.retain(|crash| !cleared.contains(crash));
        }
        merged.retain(|_, entry| !entry.crashes.is_empty());
        self.effective = merged;
    }

    fn expire(&mut self, now: Time, settings: &Settings) {
        let fresh = |entry: &Evidence| entry.changed + settings.suspicion_period > now;
        self.own.retain(|_, entry| fresh(entry));
        for (_, entries) in self.by_host.values_mut() {
            entries.retain(|_, entry| fresh(entry));
        }
        while self.own.len() > settings.max_suspects {
            let oldest = self.own.iter().min_by_key(|(_, entry)| entry.changed);
            let fingerprint = *oldest.expect("longer than the limit").0;
            self.own.remove(&fingerprint);
        }
        self.merge();
    }

    /// This host's evidence on a fingerprint, marked as changed now.
    fn update_own(&mut self, fingerprint: u128, now: Time) -> &mut Evidence {
        let entry = self
            .own
            .entry(fingerprint)
            .or_insert_with(|| Evidence::new(now));
        entry.changed = now;
        entry
    }

    fn encode(&self, now: Time) -> Suspicions {
        let crash = |(upstream, incarnation): &CrashId| Crash {
            upstream: upstream.to_string(),
            incarnation: *incarnation,
        };
        Suspicions {
            suspicions: self
                .own
                .iter()
                .map(|(fingerprint, entry)| Suspicion {
                    fingerprint: fingerprint.to_le_bytes().to_vec().into(),
                    crashes: entry.crashes.iter().map(crash).collect(),
                    cleared: entry.cleared.iter().map(crash).collect(),
                    age_ms: u64::try_from((now - entry.changed).as_millis()).unwrap_or(u64::MAX),
                })
                .collect(),
        }
    }
}

fn decode(now: Time, suspicion: Suspicion) -> Option<(u128, Evidence)> {
    let fingerprint = u128::from_le_bytes(suspicion.fingerprint.as_ref().try_into().ok()?);
    let crash_ids = |crashes: Vec<Crash>| {
        crashes
            .into_iter()
            .map(|crash| (crash.upstream.into(), crash.incarnation))
            .collect()
    };
    let age = suspicion.age_ms.saturating_mul(1_000);
    let entry = Evidence {
        crashes: crash_ids(suspicion.crashes),
        cleared: crash_ids(suspicion.cleared),
        changed: Time::from_micros(now.as_micros().saturating_sub(age)),
    };
    Some((fingerprint, entry))
}

impl Router {
    /// Marks a request as suspected if its fingerprint is. A suspected request avoids the
    /// upstreams that crashed and runs beside no other suspected request.
    pub(crate) fn mark_suspect(&mut self, key: Key) {
        if self.suspects.effective.is_empty() {
            return;
        }
        let req = self.requests.get_mut(&key).expect("a known request");
        let crashes: Vec<_> = self.suspects.crashes(req.fingerprint).collect();
        req.suspect = !crashes.is_empty();
        let avoided: Vec<_> = crashes
            .iter()
            .filter_map(|(name, _)| self.upstreams.find(name))
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
        let crash = (upstream.name.clone(), incarnation);
        out.push(Output::Note(
            Note::new(Level::Warn, "upstream-crashed")
                .with("upstream", &crash.0)
                .with("in_flight", fingerprints.len()),
        ));
        for fingerprint in fingerprints {
            let entry = self.suspects.update_own(*fingerprint, now);
            entry.crashes.insert(crash.clone());
        }
        self.suspects.expire(now, &self.settings);
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
        self.suspects.published += 1;
        out.push(Output::Publish(Value {
            key: format!("suspect/{}", self.me).into(),
            version: (self.incarnation.0 << COUNT_BITS) + self.suspects.published,
            bytes: self.suspects.encode(now).encode_to_vec().into(),
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
        let known = self.suspects.by_host.get(host);
        let own_value = host == &*self.me;
        if own_value && value.version >> COUNT_BITS >= self.incarnation.0 {
            return;
        }
        if known.is_some_and(|(version, _)| *version >= value.version) {
            return;
        }
        let Ok(message) = Suspicions::decode(value.bytes.clone()) else {
            return;
        };
        let entries: BTreeMap<_, _> = message
            .suspicions
            .into_iter()
            .filter_map(|suspicion| decode(now, suspicion))
            .collect();
        let fingerprints: BTreeSet<_> = entries.keys().copied().collect();
        if own_value {
            // The next value of this host would otherwise drop what its earlier
            // incarnation saw.
            for (fingerprint, entry) in &entries {
                self.suspects
                    .own
                    .entry(*fingerprint)
                    .or_insert(entry.clone());
            }
        }
        self.suspects
            .by_host
            .insert(host.into(), (value.version, entries));
        self.suspects.merge();
        self.timers
            .insert((now + self.settings.suspicion_period, Timer::Suspicions));
        let queued: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, req)| {
                req.stage == Stage::Queued && fingerprints.contains(&req.fingerprint)
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
        let crashes: Vec<_> = self.suspects.crashes(fingerprint).cloned().collect();
        self.suspects
            .update_own(fingerprint, now)
            .cleared
            .extend(crashes);
        self.suspects.merge();
        self.publish_suspects(now, out);
    }

    pub(crate) fn on_suspect_timer(&mut self, now: Time) {
        self.suspects.expire(now, &self.settings);
    }
}
