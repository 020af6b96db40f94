//! Which hosts there are, and how each one stands.

use crate::context::Context;
use mulberryrack_core::{
    Incarnation, Name, Time, earliest,
    node::{Listing, Role},
    note::{Counter, Level, Note},
    view::{Peer, Standing, Value, View},
};
use mulberryrack_wire::member::{self as wire, Rumour};
use prost::Message;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Prefix of the keys of host records.
pub(crate) const PREFIX: &str = "host/";
/// Bits of a stamp that hold the counter.
const COUNTER_BITS: u32 = 20;
/// Least time between two views, so that a burst of changes makes one.
const VIEW_GAP: Duration = Duration::from_millis(20);
/// Age up to which a death is passed on when values are compared.
const RECENT_DEATH: Duration = Duration::from_secs(60);
/// Most deaths passed on in one frame.
const MAX_DEATHS: usize = 64;

/// Orders the records of one host: by life, then by counter.
pub(crate) const fn stamp(incarnation: Incarnation, counter: u32) -> u64 {
    (incarnation.0 << COUNTER_BITS) | (counter as u64 & ((1 << COUNTER_BITS) - 1))
}

/// The life in a stamp.
pub(crate) const fn life(stamp: u64) -> Incarnation {
    Incarnation(stamp >> COUNTER_BITS)
}

/// What the probes say of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    /// It is on the platform's list and has not been heard of yet.
    Unheard,
    Alive,
    Suspect,
    Dead,
}

/// Everything known of one other host.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub peer: Peer,
    /// Version of its newest record; 0 if there is none.
    pub stamp: u64,
    pub health: Health,
    /// Since when it has this health.
    pub since: Time,
    /// Whether it is a probe of this host that it did not answer.
    pub unanswered: bool,
    pub leaving: bool,
    pub weight: u32,
    /// Highest version of the table known to be in force on it.
    pub table: u64,
    /// Whether the last reading of the platform's list had it as leaving.
    listed_leaving: Option<bool>,
    /// First reading of the list without it, since it was last on it.
    absent: Option<Time>,
}

impl Host {
    fn listed(listing: &Listing, now: Time) -> Self {
        Self {
            peer: Peer {
                name: listing.name.clone(),
                incarnation: Incarnation(0),
                data_centre: listing.data_centre.clone(),
                address: listing.address.clone(),
                peer_address: listing.peer_address.clone(),
                standing: Standing::Suspect,
            },
            stamp: 0,
            health: Health::Unheard,
            since: now,
            unanswered: false,
            leaving: false,
            weight: 0,
            table: 0,
            listed_leaving: Some(listing.leaving),
            absent: None,
        }
    }

    /// Whether it can be given frames with some hope of an answer.
    pub const fn reachable(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }

    fn set(&mut self, health: Health, now: Time) {
        self.health = health;
        self.since = now;
        self.unanswered = false;
    }
}

/// All hosts but this one, and this one's own record.
pub(crate) struct Hosts {
    pub me: Peer,
    counter: u32,
    pub leaving: bool,
    pub map: BTreeMap<Name, Host>,
    /// Names of hosts that answer, for random choices.
    alive: Vec<Name>,
    /// Stamps of hosts that were forgotten, with the time until which their records
    /// are refused.
    forgotten: BTreeMap<Name, (u64, Time)>,
    last_listing: Option<Time>,
    view: Arc<View>,
    dirty: bool,
    view_at: Time,
    sweep_at: Time,
    /// Whether the own record has to be published.
    pub publish: bool,
    /// The latest life seen under this host's name.
    latest: Incarnation,
}

impl Hosts {
    pub fn new(cx: &Context, mut me: Peer) -> Self {
        me.standing = Standing::Alive;
        let mut hosts = Self {
            me,
            counter: 0,
            leaving: false,
            map: BTreeMap::new(),
            alive: Vec::new(),
            forgotten: BTreeMap::new(),
            last_listing: None,
            view: Arc::new(View::default()),
            dirty: true,
            view_at: cx.now,
            sweep_at: cx.now,
            publish: true,
            latest: Incarnation(0),
        };
        hosts.view = Arc::new(hosts.build());
        hosts
    }

    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Stamp of this host's record.
    pub const fn own_stamp(&self) -> u64 {
        stamp(self.me.incarnation, self.counter)
    }

    /// This host's record.
    pub fn own_record(&self, weight: u32) -> Value {
        let record = wire::Host {
            incarnation: self.me.incarnation.0,
            counter: self.counter,
            data_centre: self.me.data_centre.to_string(),
            address: self.me.address.to_string(),
            peer_address: self.me.peer_address.to_string(),
            leaving: self.leaving,
            weight,
        };
        Value {
            key: format!("{PREFIX}{}", self.me.name).into(),
            version: self.own_stamp(),
            bytes: record.encode_to_vec().into(),
        }
    }

    /// Makes a new own record that overrides what is said of the older ones.
    pub fn renew(&mut self) {
        self.counter += 1;
        self.publish = true;
    }

    /// Somebody holds this host suspect or dead by a record with this stamp.
    pub fn refute(&mut self, held: u64) {
        if life(held) == self.me.incarnation && held >= self.own_stamp() {
            self.renew();
        }
    }

    /// Announces that this host goes away.
    pub fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.dirty = true;
            self.renew();
        }
    }

    /// Whether a record may be taken in: not of this host, nor of one forgotten.
    pub fn admits(&self, name: &str, stamp: u64) -> bool {
        let dropped = self.forgotten.get(name).map_or(0, |(stamp, _)| *stamp);
        name != &*self.me.name && stamp > dropped
    }

    /// Takes in the record of another host, if it is newer than the known one.
    pub fn learn(&mut self, cx: &mut Context, name: &Name, stamp: u64, record: &wire::Host) {
        if !self.admits(name, stamp) || self.map.get(name).is_some_and(|it| it.stamp >= stamp) {
            return;
        }
        let fresh = self
            .map
            .get(name)
            .is_none_or(|host| life(host.stamp) != life(stamp));
        let peer = Peer {
            name: name.clone(),
            incarnation: life(stamp),
            data_centre: record.data_centre.as_str().into(),
            address: record.address.as_str().into(),
            peer_address: record.peer_address.as_str().into(),
            standing: Standing::Alive,
        };
        let old = self.map.remove(name);
        let host = Host {
            peer,
            stamp,
            health: Health::Alive,
            since: cx.now,
            unanswered: false,
            leaving: record.leaving,
            weight: record.weight,
            table: old.as_ref().filter(|_| !fresh).map_or(0, |host| host.table),
            listed_leaving: old.as_ref().and_then(|host| host.listed_leaving),
            absent: old.and_then(|host| host.absent),
        };
        self.map.insert(name.clone(), host);
        self.forgotten.remove(name);
        self.dirty = true;
        if fresh {
            cx.note(
                Note::new(Level::Info, "host-seen")
                    .with("host", name)
                    .with("incarnation", life(stamp).0),
            );
        }
    }

    /// A host has answered a probe.
    pub fn answered(&mut self, cx: &mut Context, name: &str, incarnation: Incarnation) {
        let Some(host) = self.map.get_mut(name) else {
            return;
        };
        if host.health != Health::Alive && host.peer.incarnation == incarnation && host.stamp != 0 {
            host.set(Health::Alive, cx.now);
            self.dirty = true;
        }
    }

    /// A host did not answer, or is said not to. Returns whether that is new.
    pub fn suspect(&mut self, cx: &mut Context, name: &str, stamp: u64) -> bool {
        let Some(host) = self.map.get_mut(name) else {
            return false;
        };
        if host.health != Health::Alive || host.stamp > stamp {
            return false;
        }
        host.set(Health::Suspect, cx.now);
        self.dirty = true;
        cx.count(Counter::HostSuspected);
        cx.note(Note::new(Level::Info, "host-suspected").with("host", name));
        true
    }

    /// The host is suspect because it did not answer a probe of this one.
    pub fn unanswered(&mut self, name: &str) {
        if let Some(host) = self.map.get_mut(name) {
            host.unanswered = true;
        }
    }

    /// A host is said to be dead by a peer that serves this one its first values.
    pub fn bury(&mut self, cx: &Context, rumour: &Rumour) {
        if let Some(host) = self.map.get_mut(&*rumour.name)
            && host.stamp == rumour.stamp
            && host.health != Health::Dead
        {
            host.set(Health::Dead, cx.now);
            self.dirty = true;
        }
    }

    /// Hosts held dead, for a peer; only deaths of the last time if `recent`.
    pub fn deaths(&self, now: Time, recent: bool) -> Vec<Rumour> {
        self.map
            .values()
            .filter(|host| host.health == Health::Dead && host.stamp != 0)
            .filter(|host| !recent || now.since(host.since) < RECENT_DEATH)
            .take(if recent { MAX_DEATHS } else { usize::MAX })
            .map(|host| Rumour {
                name: host.peer.name.to_string(),
                stamp: host.stamp,
            })
            .collect()
    }

    /// Takes in the platform's list. A list without any host is a fault of the list.
    pub fn listing(&mut self, cx: &mut Context, list: &[Listing]) {
        let listed: BTreeMap<&str, &Listing> = list
            .iter()
            .filter(|listing| listing.role == Role::Host)
            .map(|listing| (&*listing.name, listing))
            .collect();
        if listed.is_empty() {
            return;
        }
        self.last_listing = Some(cx.now);
        for (name, listing) in &listed {
            if *name != &*self.me.name && !self.map.contains_key(*name) {
                self.map
                    .insert(listing.name.clone(), Host::listed(listing, cx.now));
                self.dirty = true;
            }
        }
        for (name, host) in &mut self.map {
            self.dirty |= note_listed(host, listed.get(&**name).copied(), cx.now);
        }
        self.sweep_at = cx.now;
    }

    /// Ends suspicions, forgets hosts, and says how the view has changed.
    pub fn tick(&mut self, cx: &mut Context) {
        if cx.now >= self.sweep_at {
            self.sweep(cx);
            self.sweep_at = cx.now + cx.settings.heartbeat;
        }
        if self.dirty && cx.now >= self.view_at {
            self.refresh(cx);
        }
    }

    pub fn next_wake(&self) -> Option<Time> {
        let view = self.dirty.then_some(self.view_at);
        earliest(Some(self.sweep_at), view)
    }

    fn sweep(&mut self, cx: &mut Context) {
        let (now, settings) = (cx.now, cx.settings.clone());
        let mut dead = Vec::new();
        for host in self.map.values_mut() {
            let bound = match host.health {
                Health::Suspect => settings.suspicion,
                // Its record may still be on the way.
                Health::Unheard => settings.suspicion + settings.repair * 2,
                Health::Alive | Health::Dead => Duration::MAX,
            };
            if now.since(host.since) >= bound {
                if host.health == Health::Suspect {
                    dead.push(host.peer.name.clone());
                }
                host.set(Health::Dead, now);
                self.dirty = true;
            }
            let standing = standing(host, self.last_listing, settings.gone);
            self.dirty |= host.health != Health::Unheard && standing != host.peer.standing;
        }
        for name in dead {
            cx.count(Counter::HostDead);
            cx.note(Note::new(Level::Warn, "host-dead").with("host", name));
        }
        self.forget(now, settings.forget);
    }

    fn forget(&mut self, now: Time, forget: Duration) {
        self.forgotten.retain(|_, (_, until)| *until > now);
        let old: Vec<Name> = self
            .map
            .values()
            .filter(|host| host.peer.standing == Standing::Gone)
            .filter(|host| now.since(host.since) >= forget)
            .map(|host| host.peer.name.clone())
            .collect();
        for name in old {
            if let Some(host) = self.map.remove(&name) {
                self.forgotten.insert(name, (host.stamp, now + forget * 2));
                self.dirty = true;
            }
        }
    }

    /// Whether values that belong to a host are still kept.
    pub fn keeps(&self, name: &str) -> bool {
        !self.forgotten.contains_key(name)
    }

    /// A record of a later life under this host's name exists: this one is not listened
    /// to any more.
    pub fn superseded(&mut self, cx: &mut Context, stamp: u64) {
        if life(stamp) > self.me.incarnation.max(self.latest) {
            self.latest = life(stamp);
            cx.note(
                Note::new(Level::Error, "host-superseded")
                    .with("incarnation", self.me.incarnation.0)
                    .with("later", life(stamp).0),
            );
        }
    }

    fn refresh(&mut self, cx: &mut Context) {
        let last_listing = self.last_listing;
        for host in self.map.values_mut() {
            host.peer.standing = standing(host, last_listing, cx.settings.gone);
        }
        self.alive = self
            .map
            .values()
            .filter(|host| host.health == Health::Alive)
            .map(|host| host.peer.name.clone())
            .collect();
        self.dirty = false;
        self.view_at = cx.now + VIEW_GAP;
        let view = self.build();
        if view != *self.view {
            self.view = Arc::new(view);
            cx.out.push(crate::Output::View(self.view.clone()));
        }
    }

    fn build(&self) -> View {
        let mut me = self.me.clone();
        if self.leaving {
            me.standing = Standing::Leaving;
        }
        let mut peers: Vec<Peer> = self
            .map
            .values()
            .filter(|host| host.health != Health::Unheard)
            .map(|host| host.peer.clone())
            .collect();
        let at = peers.partition_point(|peer| peer.name < me.name);
        peers.insert(at, me);
        View {
            me: self.me.name.clone(),
            peers,
        }
    }

    /// Up to `count` random hosts that answer.
    pub fn pick(&self, cx: &mut Context, count: usize) -> Vec<Name> {
        let mut names = Vec::new();
        if self.alive.len() <= count {
            names.clone_from(&self.alive);
            cx.shuffle(&mut names);
            return names;
        }
        while names.len() < count {
            let name = &self.alive[cx.below(self.alive.len())];
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
        names
    }

    /// Number of hosts that answer, this one included.
    pub const fn size(&self) -> usize {
        self.alive.len() + 1
    }

    /// A host is known to have a version of the table in force.
    pub fn has_table(&mut self, name: &str, version: u64) {
        if let Some(host) = self.map.get_mut(name) {
            host.table = host.table.max(version);
        }
    }

    /// Whether most hosts of the data centre are in contact, this one included; of all
    /// hosts where the data centre has no other.
    pub fn majority(&self) -> bool {
        let known = |host: &&Host| host.peer.standing != Standing::Gone && host.stamp != 0;
        let near = |host: &&Host| host.peer.data_centre == self.me.data_centre;
        let count = |hosts: Vec<&Host>| {
            let answering = hosts.iter().filter(|host| host.reachable()).count();
            (answering + 1, hosts.len() + 1)
        };
        let (answering, all) = match count(self.map.values().filter(known).filter(near).collect()) {
            (_, 1) => count(self.map.values().filter(known).collect()),
            counts => counts,
        };
        answering * 2 > all
    }
}

/// Notes whether a host is on the list; returns whether its standing may change.
fn note_listed(host: &mut Host, listing: Option<&Listing>, now: Time) -> bool {
    let Some(listing) = listing else {
        host.absent.get_or_insert(now);
        host.listed_leaving = None;
        return false;
    };
    host.absent = None;
    // The list lags: only a change seen in this life speaks of this life.
    let began = host.listed_leaving == Some(false) && listing.leaving;
    host.listed_leaving = Some(listing.leaving);
    host.leaving |= began;
    if host.stamp == 0 {
        host.peer.peer_address = listing.peer_address.clone();
        host.peer.address = listing.address.clone();
    }
    began
}

fn standing(host: &Host, last_listing: Option<Time>, gone: Duration) -> Standing {
    match host.health {
        Health::Dead if is_gone(host, last_listing, gone) => Standing::Gone,
        Health::Dead => Standing::Dead,
        _ if host.leaving => Standing::Leaving,
        Health::Suspect | Health::Unheard => Standing::Suspect,
        Health::Alive => Standing::Alive,
    }
}

/// Whether all readings of the list over the span `gone` since the death lack the host.
fn is_gone(host: &Host, last_listing: Option<Time>, gone: Duration) -> bool {
    let (Some(absent), Some(last)) = (host.absent, last_listing) else {
        return false;
    };
    last.since(absent.max(host.since)) >= gone
}
