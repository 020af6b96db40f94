//! Requests that are suspected of crashing upstreams, by fingerprint.
//!
//! A crash is named by the upstream and the life that ended, so that several hosts that
//! see one crash count it once. Every host publishes what it saw; what holds is all
//! crashes of all hosts without those of which a fingerprint was cleared.

use crate::{Output, Router, Settings, life::Stage, router::Timer, upstreams::UpstreamId};
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

/// Bits of a value's version below the host's life.
const COUNT_BITS: u32 = 20;

/// Names one crash: the upstream and its life.
type Event = (Name, u64);

/// What one host holds against a fingerprint.
#[derive(Clone, Debug)]
struct Entry {
    crashes: BTreeSet<Event>,
    cleared: BTreeSet<Event>,
    /// When the last change of it happened, by this host's clock.
    at: Time,
}

impl Entry {
    fn new(at: Time) -> Self {
        Self {
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            at,
        }
    }
}

/// What this host and the others hold against fingerprints.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    own: BTreeMap<u128, Entry>,
    heard: BTreeMap<Name, (u64, BTreeMap<u128, Entry>)>,
    /// Invariant: all of `own` and `heard`, without the crashes that were cleared.
    effective: BTreeMap<u128, Entry>,
    /// Values published by this host.
    published: u64,
}

impl Suspects {
    /// The crashes that count against a fingerprint.
    fn crashes(&self, print: u128) -> impl Iterator<Item = &Event> {
        self.effective
            .get(&print)
            .into_iter()
            .flat_map(|entry| &entry.crashes)
    }

    /// Whether a fingerprint is refused.
    pub fn refused(&self, print: u128, settings: &Settings) -> bool {
        self.crashes(print).count() >= settings.suspect_crashes as usize
    }

    /// Time after which the newest suspicion has gone, as far as is known here.
    pub fn remaining(&self, print: u128, now: Time, settings: &Settings) -> Option<Duration> {
        self.effective
            .get(&print)
            .map(|entry| (entry.at + settings.suspect) - now)
    }

    /// Brings the merged entries up to date, so that requests need not look at each
    /// host's.
    fn merge(&mut self) {
        let mut merged: BTreeMap<u128, Entry> = BTreeMap::new();
        let heard = self.heard.values().map(|(_, entries)| entries);
        for (print, entry) in heard.chain([&self.own]).flatten() {
            let sum = merged.entry(*print).or_insert_with(|| Entry::new(entry.at));
            sum.crashes.extend(entry.crashes.iter().cloned());
            sum.cleared.extend(entry.cleared.iter().cloned());
            sum.at = sum.at.max(entry.at);
        }
        for entry in merged.values_mut() {
            let cleared = std::mem::take(&mut entry.cleared);
            entry.crashes.retain(|crash| !cleared.contains(crash));
        }
        merged.retain(|_, entry| !entry.crashes.is_empty());
        self.effective = merged;
    }

    fn forget_old(&mut self, now: Time, settings: &Settings) {
        let fresh = |entry: &Entry| entry.at + settings.suspect > now;
        self.own.retain(|_, entry| fresh(entry));
        for (_, entries) in self.heard.values_mut() {
            entries.retain(|_, entry| fresh(entry));
        }
        while self.own.len() > settings.suspects {
            let oldest = self.own.iter().min_by_key(|(_, entry)| entry.at);
            let print = *oldest.expect("longer than the bound").0;
            self.own.remove(&print);
        }
        self.merge();
    }

    fn entry(&mut self, print: u128, now: Time) -> &mut Entry {
        let entry = self.own.entry(print).or_insert_with(|| Entry::new(now));
        entry.at = now;
        entry
    }

    fn encode(&self, now: Time) -> Suspicions {
        let crash = |(upstream, incarnation): &Event| Crash {
            upstream: upstream.to_string(),
            incarnation: *incarnation,
        };
        Suspicions {
            suspicions: self
                .own
                .iter()
                .map(|(print, entry)| Suspicion {
                    fingerprint: print.to_le_bytes().to_vec().into(),
                    crashes: entry.crashes.iter().map(crash).collect(),
                    cleared: entry.cleared.iter().map(crash).collect(),
                    age_ms: u64::try_from((now - entry.at).as_millis()).unwrap_or(u64::MAX),
                })
                .collect(),
        }
    }
}

fn decode(now: Time, suspicion: Suspicion) -> Option<(u128, Entry)> {
    let print = u128::from_le_bytes(suspicion.fingerprint.as_ref().try_into().ok()?);
    let events = |crashes: Vec<Crash>| {
        crashes
            .into_iter()
            .map(|crash| (crash.upstream.into(), crash.incarnation))
            .collect()
    };
    let age = suspicion.age_ms.saturating_mul(1_000);
    let entry = Entry {
        crashes: events(suspicion.crashes),
        cleared: events(suspicion.cleared),
        at: Time::from_micros(now.as_micros().saturating_sub(age)),
    };
    Some((print, entry))
}

impl Router {
    /// Marks a request as a suspect if its fingerprint is one: it then keeps away from
    /// the upstreams that crashed and runs beside no other suspect.
    pub(crate) fn mark_suspect(&mut self, key: Key) {
        if self.suspects.effective.is_empty() {
            return;
        }
        let life = self.lives.get_mut(&key).expect("a known request");
        let crashes: Vec<_> = self.suspects.crashes(life.fingerprint).collect();
        life.suspect = !crashes.is_empty();
        let avoided: Vec<_> = crashes
            .iter()
            .filter_map(|(name, _)| self.upstreams.find(name))
            .filter(|id| !life.avoid.contains(id))
            .collect();
        life.avoid.extend(avoided);
    }

    /// The log line by which an operator finds a refused request.
    pub(crate) fn suspect_note(&self, key: Key) -> Output {
        let life = &self.lives[&key];
        let note = Note::new(Level::Warn, "suspect-refused")
            .with("target", &life.request.target)
            .with("fingerprint", format_args!("{:032x}", life.fingerprint));
        Output::Note(note)
    }

    /// Notes that a request's connection broke; a crash may be seen later.
    pub(crate) fn note_broken(
        &mut self,
        now: Time,
        key: Key,
        id: UpstreamId,
        out: &mut Vec<Output>,
    ) {
        /// Most broken requests remembered for an upstream.
        const REMEMBERED: usize = 1_024;
        let print = self.lives[&key].fingerprint;
        let window = self.settings.crash_window;
        let upstream = self.upstreams.get_mut(id);
        upstream.broken.push_back((now, print));
        if upstream.broken.len() > REMEMBERED {
            upstream.broken.pop_front();
        }
        let refused = upstream.refused.is_some_and(|at| now - at <= window);
        if refused {
            self.confirm_crash(now, id, out);
        }
    }

    /// An upstream refuses connections or has lost its streams: what broke there just
    /// before was in flight on a crash.
    pub(crate) fn confirm_crash(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let window = self.settings.crash_window;
        let upstream = self.upstreams.get_mut(id);
        let broken = upstream.take_broken(now, window);
        let life = upstream.incarnation().map_or(0, |life| life.0);
        self.accuse(now, id, life, &broken, out);
    }

    /// An upstream has a new life: everything that was in flight on the old one was
    /// there when it crashed.
    pub(crate) fn on_restart(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let window = self.settings.crash_window;
        let upstream = self.upstreams.get_mut(id);
        let mut accused = upstream.take_broken(now, window);
        let flights: Vec<_> = upstream.flights.iter().copied().collect();
        let life = upstream.former.map_or(0, |life| life.0);
        let keys = flights
            .iter()
            .filter_map(|flight| self.attempts.get(flight));
        accused.extend(keys.map(|key| self.lives[key].fingerprint));
        self.accuse(now, id, life, &accused, out);
    }

    fn accuse(
        &mut self,
        now: Time,
        id: UpstreamId,
        life: u64,
        prints: &BTreeSet<u128>,
        out: &mut Vec<Output>,
    ) {
        let upstream = self.upstreams.get(id);
        if prints.is_empty() || upstream.leaving.contains(&true) {
            return;
        }
        let event = (upstream.name.clone(), life);
        out.push(Output::Note(
            Note::new(Level::Warn, "upstream-crashed")
                .with("upstream", &event.0)
                .with("in_flight", prints.len()),
        ));
        for print in prints {
            let entry = self.suspects.entry(*print, now);
            entry.crashes.insert(event.clone());
        }
        self.suspects.forget_old(now, &self.settings);
        self.publish_suspects(now, out);
        let held: Vec<_> = self
            .lives
            .iter()
            .filter(|(_, life)| prints.contains(&life.fingerprint))
            .map(|(key, _)| *key)
            .collect();
        for key in held {
            let life = self.lives.get_mut(&key).expect("just found");
            life.hold = now + self.settings.suspect_hold;
            if life.stage == Stage::Waiting {
                self.recheck(now, key, out);
            }
        }
    }

    /// Checks a waiting request again after a change of suspicions.
    fn recheck(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
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
            .insert((now + self.settings.suspect, Timer::Suspect));
    }

    pub(crate) fn on_suspicions(
        &mut self,
        now: Time,
        host: &str,
        value: &Value,
        out: &mut Vec<Output>,
    ) {
        let known = self.suspects.heard.get(host);
        let mine = host == &*self.me;
        if mine && value.version >> COUNT_BITS >= self.incarnation.0 {
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
        let prints: BTreeSet<_> = entries.keys().copied().collect();
        if mine {
            // What a former life of this host saw would be lost with the next value.
            for (print, entry) in &entries {
                self.suspects.own.entry(*print).or_insert(entry.clone());
            }
        }
        self.suspects
            .heard
            .insert(host.into(), (value.version, entries));
        self.suspects.merge();
        self.timers
            .insert((now + self.settings.suspect, Timer::Suspect));
        let waiting: Vec<_> = self
            .lives
            .iter()
            .filter(|(_, life)| life.stage == Stage::Waiting && prints.contains(&life.fingerprint))
            .map(|(key, _)| *key)
            .collect();
        for key in waiting {
            self.recheck(now, key, out);
        }
    }

    /// Clears a fingerprint that ran to its end of the crashes held against it.
    pub(crate) fn clear_suspect(&mut self, now: Time, print: u128, out: &mut Vec<Output>) {
        let crashes: Vec<_> = self.suspects.crashes(print).cloned().collect();
        self.suspects.entry(print, now).cleared.extend(crashes);
        self.suspects.merge();
        self.publish_suspects(now, out);
    }

    pub(crate) fn on_suspect_timer(&mut self, now: Time) {
        self.suspects.forget_old(now, &self.settings);
    }
}
