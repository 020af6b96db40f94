//! What one host knows of each upstream.

use crate::pass::Ending;
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
/// Time for which a placement that the planner told of holds although the list does not
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
    /// Estimated time that the prompts of this host take that it has not read yet.
    pub pending_ms: f64,
    /// Load that it told last, when, and this host's requests at that moment.
    pub load: Option<(Load, Time, u32)>,
    /// When anything came from it last.
    pub heard: Time,
    /// Failures in a row.
    strikes: u32,
    /// Until when it is not chosen while others can be.
    pub rests_until: Time,
    rest: Duration,
    /// Adapters that the planner told of, until when each is believed.
    learnt: Vec<(Name, Name, Time)>,
}

impl Known {
    fn new(entry: Upstream) -> Self {
        Self {
            entry,
            listed: true,
            running: 0,
            pending_ms: 0.0,
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

    /// Whether it has what a generation needs.
    pub fn holds(&self, now: Time, model: &str, adapter: Option<&str>) -> bool {
        if self.entry.holds(model, adapter) {
            return true;
        }
        let learnt = |adapter: &str| {
            self.learnt.iter().any(|(of, name, until)| {
                **of == *model && **name == *adapter && *until > now
            })
        };
        self.entry.holds(model, None) && adapter.is_some_and(learnt)
    }

    /// Takes a placement that the planner told of.
    pub fn learn(&mut self, now: Time, model: &Name, adapter: &Name) {
        self.learnt.retain(|(of, name, until)| {
            *until > now && (of, name) != (model, adapter)
        });
        let until = now + LEARNT;
        self.learnt.push((model.clone(), adapter.clone(), until));
    }

    /// Forgets that it holds an adapter or model, after it refused a request for it.
    pub fn unlearn(&mut self, model: &str, adapter: Option<&str>) {
        self.learnt
            .retain(|(of, name, _)| **of != *model || Some(&**name) != adapter);
        for held in &mut self.entry.models {
            if &*held.model == model {
                held.adapters.retain(|name| Some(&**name) != adapter);
            }
        }
        if adapter.is_none() {
            self.entry.models.retain(|held| &*held.model != model);
        }
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
        if self.load.is_some() { told.max(own) } else { alike }
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
        let reborn = known.entry.born != entry.born || known.entry.address != entry.address;
        if reborn {
            // Nothing from before holds for another life, but this host's own sends end
            // one by one.
            let running = known.running;
            *known = Known::new(entry);
            known.running = running;
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
