//! What one host knows of each upstream.

use crate::{cache::Cache, gate::Change, request::Ending};
use mulberryrack_core::{Name, Time};
use mulberryrack_site::upstream::{Load, State, Upstream};
use std::{collections::BTreeMap, time::Duration};

/// Key of an upstream at this host; stays the same over its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub(crate) u32);

/// Failures in a row after which an upstream rests.
const STRIKES: u32 = 2;
/// First rest of an upstream that failed.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest rest, a little over the time that an engine needs to start again.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Time without prompts to read in which every stream of an engine gets its next event: an
/// event takes 5 to 8 steps of some 4 ms.
pub(crate) const REST: Duration = Duration::from_millis(30);
/// Time for which a change that the planner told of holds although the list does not
/// show it yet: two beats of an engine and the lag of the list.
const LEARNT: Duration = Duration::from_secs(4);

/// One upstream.
#[derive(Debug)]
pub(crate) struct Known {
    pub entry: Upstream,
    /// Whether the list has it now.
    pub listed: bool,
    /// Requests of this host that it has.
    pub running: u32,
    /// When it has read all prompts that hosts told of, as far as can be told.
    pub reads_until: Time,
    /// Since when it reads without a rest.
    reads_from: Time,
    /// Reading time of this host's requests that are held before it, in milliseconds.
    pub held_ms: f64,
    /// What it is believed to keep of prompts.
    pub cache: Cache,
    /// Load that it told last, when, and this host's requests at that moment.
    pub load: Option<(Load, Time, u32)>,
    /// When anything came from it last.
    pub heard: Time,
    /// Failures in a row.
    strikes: u32,
    /// Until when it is not chosen while others can be.
    pub rests_until: Time,
    rest: Duration,
    /// Changes that the list does not show yet, and until when each is believed.
    learnt: Vec<(Change, Time)>,
}

impl Known {
    fn new(entry: Upstream) -> Self {
        Self {
            entry,
            listed: true,
            running: 0,
            reads_until: Time::ZERO,
            reads_from: Time::ZERO,
            held_ms: 0.0,
            cache: Cache::default(),
            load: None,
            heard: Time::ZERO,
            strikes: 0,
            rests_until: Time::ZERO,
            rest: FIRST_REST,
            learnt: Vec::new(),
        }
    }

    /// Whether it takes new work.
    pub fn serves(&self) -> bool {
        self.listed && self.entry.state == State::Ready
    }

    /// Whether it has what a generation needs: what was learnt goes before the list.
    pub fn holds(&self, now: Time, model: &str, adapter: Option<&str>) -> bool {
        let has = |adapter: Option<&str>| {
            let learnt = self.learnt.iter().find(|(change, until)| {
                *until > now && *change.model == *model && change.adapter.as_deref() == adapter
            });
            learnt.map_or_else(
                || self.entry.holds(model, adapter),
                |(change, _)| change.present,
            )
        };
        has(None) && (adapter.is_none() || has(adapter))
    }

    /// Takes a change that the planner told of, or that a refusal shows.
    pub fn learn(&mut self, now: Time, change: &Change) {
        let same = |old: &Change| old.model == change.model && old.adapter == change.adapter;
        self.learnt
            .retain(|(old, until)| *until > now && !same(old));
        self.learnt.push((change.clone(), now + LEARNT));
    }

    /// Takes a prompt that some host sends it.
    pub fn reads(&mut self, now: Time, read_ms: f64, links: impl Iterator<Item = u64>) {
        let reading = Duration::from_secs_f64(read_ms.max(0.0) / 1_000.0);
        if self.rested(now) {
            self.reads_from = now;
        }
        self.reads_until = self.reads_until.max(now) + reading;
        self.cache.take(now, links);
    }

    /// Whether its streams have had time for their next events since it read last.
    pub fn rested(&self, now: Time) -> bool {
        now >= self.reads_until + REST
    }

    /// Time without a rest, in milliseconds, at whose end it will have read everything.
    pub fn reading_ms(&self, now: Time) -> f64 {
        if self.rested(now) {
            return 0.0;
        }
        let until = self.reads_until.max(now);
        until.since(self.reads_from).as_secs_f64() * 1_000.0
    }

    /// Takes how a send ended.
    pub fn judge(&mut self, now: Time, ending: Ending) {
        match ending {
            Ending::Done => {
                self.strikes = 0;
                self.rest = FIRST_REST;
            }
            Ending::NotSent | Ending::Silent => self.take_rest(now),
            Ending::Broken | Ending::Failed => {
                self.strikes += 1;
                if self.strikes >= STRIKES {
                    self.take_rest(now);
                }
            }
            Ending::NotRun | Ending::Misplaced | Ending::Abandoned => {}
        }
    }

    fn take_rest(&mut self, now: Time) {
        self.rests_until = now + self.rest;
        self.rest = (self.rest * 2).min(LONGEST_REST);
    }

    /// Requests that it is believed to have, from its last word and this host's own.
    pub fn estimate(&self, hosts: u32) -> f64 {
        let own = f64::from(self.running);
        let told = self.load.map_or(0.0, |(load, _, running_then)| {
            let since = own - f64::from(running_then);
            f64::from(load.running + load.waiting) + since
        });
        // Before its first word, the other hosts are taken to send as much as this one.
        let alike = own * f64::from(hosts);
        if self.load.is_some() {
            told.max(own)
        } else {
            alike
        }
    }
}

/// All upstreams that this host has seen.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    known: Vec<Known>,
    ids: BTreeMap<Name, UpstreamId>,
}

impl Upstreams {
    /// Takes an entry of the list over. Returns whether it is another life.
    pub fn list(&mut self, entry: Upstream) -> bool {
        let Some(&id) = self.ids.get(&entry.id) else {
            let id = UpstreamId(u32::try_from(self.known.len()).expect("fewer than 2^32"));
            self.ids.insert(entry.id.clone(), id);
            self.known.push(Known::new(entry));
            return true;
        };
        let known = self.get_mut(id);
        if known.listed && entry.older_than(&known.entry) {
            return false;
        }
        let reborn = known.entry.born != entry.born || known.entry.address != entry.address;
        if reborn {
            // Nothing from before holds for another life, but this host's own sends end
            // one by one.
            let (running, held_ms) = (known.running, known.held_ms);
            *known = Known::new(entry);
            (known.running, known.held_ms) = (running, held_ms);
        } else {
            known.entry = entry;
            known.listed = true;
        }
        reborn
    }

    /// Takes an entry off.
    pub fn unlist(&mut self, name: &str) {
        if let Some(&id) = self.ids.get(name) {
            self.get_mut(id).listed = false;
        }
    }

    pub fn find(&self, name: &str) -> Option<UpstreamId> {
        self.ids.get(name).copied()
    }

    pub fn get(&self, id: UpstreamId) -> &Known {
        &self.known[id.0 as usize]
    }

    pub fn get_mut(&mut self, id: UpstreamId) -> &mut Known {
        &mut self.known[id.0 as usize]
    }

    pub fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Known)> {
        (0..).map(UpstreamId).zip(&self.known)
    }
}
