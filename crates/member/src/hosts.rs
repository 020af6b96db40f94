//! The hosts of the system and the health of each.

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

/// Key prefix of host records among the replicated values.
pub(crate) const HOST_KEY_PREFIX: &str = "host/";
/// Low bits of a stamp that hold the record counter.
const COUNTER_BITS: u32 = 20;
/// Minimum time between two views, so that a burst of changes is published as one view.
const MIN_VIEW_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum age of a death that is sent along with a digest of all values.
const MAX_RECENT_DEATH_AGE: Duration = Duration::from_secs(60);
/// Maximum number of deaths in one frame.
const MAX_DEATHS: usize = 64;

/// Version of a host record: the incarnation above the record counter. Of two records of
/// a host, the one with the higher stamp is newer.
pub(crate) const fn stamp(incarnation: Incarnation, counter: u32) -> u64 {
    (incarnation.0 << COUNTER_BITS) | (counter as u64 & ((1 << COUNTER_BITS) - 1))
}

/// The incarnation in a stamp.
pub(crate) const fn incarnation_of(stamp: u64) -> Incarnation {
    Incarnation(stamp >> COUNTER_BITS)
}

/// Health of a host according to the probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    /// The host is on the platform's list, but no record of it has arrived yet.
    Unseen,
    /// The host answers probes, or its record has just arrived.
    Alive,
    /// A probe by this host was not answered, or another host reported such a probe.
    Suspect,
    /// The suspicion was not refuted in time.
    Dead,
}

/// What is known of another host.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    /// The host as the view shows it.
    pub peer: Peer,
    /// Stamp of the newest known record; 0 without a record.
    pub stamp: u64,
    pub health: Health,
    /// When the health last changed.
    pub health_since: Time,
    /// Whether the suspicion comes from a probe of this host rather than from a rumour.
    pub missed_own_probe: bool,
    /// Whether the host is leaving, according to its record or to the platform's list.
    pub leaving: bool,
    /// Relative capacity in address answers; 0 without a record.
    pub weight: u32,
    /// Highest table version known to be in force on the host.
    pub table_version: u64,
    /// Whether the last reading of the platform's list marked the host as leaving; `None`
    /// if that reading did not contain the host.
    listed_leaving: Option<bool>,
    /// Time of the first reading of the list without the host since a reading last
    /// contained it.
    absent_since: Option<Time>,
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
            health: Health::Unseen,
            health_since: now,
            missed_own_probe: false,
            leaving: false,
            weight: 0,
            table_version: 0,
            listed_leaving: Some(listing.leaving),
            absent_since: None,
        }
    }

    /// Whether the host is likely to answer frames.
    pub const fn reachable(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }

    fn set(&mut self, health: Health, now: Time) {
        self.health = health;
        self.health_since = now;
        self.missed_own_probe = false;
    }
}

/// All other hosts, and the record of this host.
pub(crate) struct Hosts {
    pub me: Peer,
    /// Counter of this host's record, the low bits of its stamp.
    counter: u32,
    /// Whether this host has begun to leave.
    pub leaving: bool,
    pub others: BTreeMap<Name, Host>,
    /// Names of the hosts with [`Health::Alive`], for random choices.
    alive: Vec<Name>,
    /// Last stamps of hosts that were dropped from the view, with the time until which
    /// records up to these stamps are refused.
    forgotten: BTreeMap<Name, (u64, Time)>,
    /// Time of the last reading of the platform's list that contained any host.
    last_listing: Option<Time>,
    view: Arc<View>,
    /// Whether the view may have changed since it was last built.
    view_dirty: bool,
    /// Earliest time of the next view.
    next_view: Time,
    /// Time of the next check for expired suspicions and forgotten hosts.
    next_sweep: Time,
    /// Whether this host's record has changed and must be published.
    pub publish_record: bool,
    /// Highest incarnation of another life that was seen under this host's name.
    latest_incarnation: Incarnation,
}

impl Hosts {
    pub fn new(cx: &Context, mut me: Peer) -> Self {
        me.standing = Standing::Alive;
        let mut hosts = Self {
            me,
            counter: 0,
            leaving: false,
            others: BTreeMap::new(),
            alive: Vec::new(),
            forgotten: BTreeMap::new(),
            last_listing: None,
            view: Arc::new(View::default()),
            view_dirty: true,
            next_view: cx.now,
            next_sweep: cx.now,
            publish_record: true,
            latest_incarnation: Incarnation(0),
        };
        hosts.view = Arc::new(hosts.build_view());
        hosts
    }

    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Stamp of this host's record.
    pub const fn own_stamp(&self) -> u64 {
        stamp(self.me.incarnation, self.counter)
    }

    /// This host's record as a replicated value.
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
            key: format!("{HOST_KEY_PREFIX}{}", self.me.name).into(),
            version: self.own_stamp(),
            bytes: record.encode_to_vec().into(),
        }
    }

    /// Raises the record counter, so that the new record overrides suspicions and deaths
    /// that refer to older records.
    pub fn bump_record(&mut self) {
        self.counter += 1;
        self.publish_record = true;
    }

    /// Refutes a suspicion or death of this host that refers to the record with this
    /// stamp.
    pub fn refute(&mut self, held_stamp: u64) {
        if incarnation_of(held_stamp) == self.me.incarnation && held_stamp >= self.own_stamp() {
            self.bump_record();
        }
    }

    /// Marks this host as leaving in its record. A host that has begun to leave never
    /// returns to service in the same life.
    pub fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.view_dirty = true;
            self.bump_record();
        }
    }

    /// Whether a record is to be applied: it is not of this host, and is newer than the
    /// last record of a forgotten host.
    pub fn accepts_record(&self, name: &str, stamp: u64) -> bool {
        let dropped = self.forgotten.get(name).map_or(0, |(stamp, _)| *stamp);
        name != &*self.me.name && stamp > dropped
    }

    /// Applies the record of another host if it is newer than the known one.
    pub fn apply_record(&mut self, cx: &mut Context, name: &Name, stamp: u64, record: &wire::Host) {
        if !self.accepts_record(name, stamp)
            || self
                .others
                .get(name)
                .is_some_and(|host| host.stamp >= stamp)
        {
            return;
        }
        let new_incarnation = self
            .others
            .get(name)
            .is_none_or(|host| incarnation_of(host.stamp) != incarnation_of(stamp));
        let peer = Peer {
            name: name.clone(),
            incarnation: incarnation_of(stamp),
            data_centre: record.data_centre.as_str().into(),
            address: record.address.as_str().into(),
            peer_address: record.peer_address.as_str().into(),
            standing: Standing::Alive,
        };
        let old = self.others.remove(name);
        let host = Host {
            peer,
            stamp,
            health: Health::Alive,
            health_since: cx.now,
            missed_own_probe: false,
            leaving: record.leaving,
            weight: record.weight,
            table_version: old
                .as_ref()
                .filter(|_| !new_incarnation)
                .map_or(0, |host| host.table_version),
            listed_leaving: old.as_ref().and_then(|host| host.listed_leaving),
            absent_since: old.and_then(|host| host.absent_since),
        };
        self.others.insert(name.clone(), host);
        self.forgotten.remove(name);
        self.view_dirty = true;
        if new_incarnation {
            cx.note(
                Note::new(Level::Info, "host-seen")
                    .with("host", name)
                    .with("incarnation", incarnation_of(stamp).0),
            );
        }
    }

    /// Marks a host as alive that has answered a probe, if the answer comes from the
    /// known incarnation.
    pub fn on_probe_answered(&mut self, cx: &mut Context, name: &str, incarnation: Incarnation) {
        let Some(host) = self.others.get_mut(name) else {
            return;
        };
        if host.health != Health::Alive && host.peer.incarnation == incarnation && host.stamp != 0 {
            host.set(Health::Alive, cx.now);
            self.view_dirty = true;
        }
    }

    /// Marks a live host as suspect unless a record newer than `stamp` is known. Returns
    /// whether the health changed.
    pub fn suspect(&mut self, cx: &mut Context, name: &str, stamp: u64) -> bool {
        let Some(host) = self.others.get_mut(name) else {
            return false;
        };
        if host.health != Health::Alive || host.stamp > stamp {
            return false;
        }
        host.set(Health::Suspect, cx.now);
        self.view_dirty = true;
        cx.count(Counter::HostSuspected);
        cx.note(Note::new(Level::Info, "host-suspected").with("host", name));
        true
    }

    /// Notes that the suspicion of a host comes from a probe of this host.
    pub fn mark_missed_probe(&mut self, name: &str) {
        if let Some(host) = self.others.get_mut(name) {
            host.missed_own_probe = true;
        }
    }

    /// Marks a host as dead on the word of the peer that sends this host its first values,
    /// if both know the same record of the host.
    pub fn apply_death(&mut self, cx: &Context, rumour: &Rumour) {
        if let Some(host) = self.others.get_mut(&*rumour.name)
            && host.stamp == rumour.stamp
            && host.health != Health::Dead
        {
            host.set(Health::Dead, cx.now);
            self.view_dirty = true;
        }
    }

    /// Dead hosts, to report to a peer; with `recent`, only a bounded number of recent
    /// deaths.
    pub fn dead_hosts(&self, now: Time, recent: bool) -> Vec<Rumour> {
        self.others
            .values()
            .filter(|host| host.health == Health::Dead && host.stamp != 0)
            .filter(|host| !recent || now.since(host.health_since) < MAX_RECENT_DEATH_AGE)
            .take(if recent { MAX_DEATHS } else { usize::MAX })
            .map(|host| Rumour {
                name: host.peer.name.to_string(),
                stamp: host.stamp,
            })
            .collect()
    }

    /// Applies the platform's list. A list without any host is a fault of the list and is
    /// ignored.
    pub fn apply_listing(&mut self, cx: &mut Context, list: &[Listing]) {
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
            if *name != &*self.me.name && !self.others.contains_key(*name) {
                self.others
                    .insert(listing.name.clone(), Host::listed(listing, cx.now));
                self.view_dirty = true;
            }
        }
        for (name, host) in &mut self.others {
            self.view_dirty |= apply_listed(host, listed.get(&**name).copied(), cx.now);
        }
        self.next_sweep = cx.now;
    }

    /// Expires suspicions, forgets gone hosts, and publishes the view if it has changed.
    pub fn tick(&mut self, cx: &mut Context) {
        if cx.now >= self.next_sweep {
            self.sweep(cx);
            self.next_sweep = cx.now + cx.settings.heartbeat_interval;
        }
        if self.view_dirty && cx.now >= self.next_view {
            self.publish_view(cx);
        }
    }

    pub fn next_wake(&self) -> Option<Time> {
        let view = self.view_dirty.then_some(self.next_view);
        earliest(Some(self.next_sweep), view)
    }

    /// Marks as dead the suspects that did not refute the suspicion in time and the unseen
    /// hosts whose record did not arrive in time, and forgets gone hosts.
    fn sweep(&mut self, cx: &mut Context) {
        let (now, settings) = (cx.now, cx.settings.clone());
        let mut dead = Vec::new();
        for host in self.others.values_mut() {
            let bound = match host.health {
                Health::Suspect => settings.suspicion_timeout,
                // The record of the host may still be on the way.
                Health::Unseen => settings.suspicion_timeout + settings.repair_interval * 2,
                Health::Alive | Health::Dead => Duration::MAX,
            };
            if now.since(host.health_since) >= bound {
                if host.health == Health::Suspect {
                    dead.push(host.peer.name.clone());
                }
                host.set(Health::Dead, now);
                self.view_dirty = true;
            }
            let standing = standing(host, self.last_listing, settings.gone_delay);
            self.view_dirty |= host.health != Health::Unseen && standing != host.peer.standing;
        }
        for name in dead {
            cx.count(Counter::HostDead);
            cx.note(Note::new(Level::Warn, "host-dead").with("host", name));
        }
        self.forget(now, settings.forget_delay);
    }

    /// Drops hosts that have been gone for long, and ends the refusal of records of
    /// dropped hosts.
    fn forget(&mut self, now: Time, forget_delay: Duration) {
        self.forgotten.retain(|_, (_, until)| *until > now);
        let old: Vec<Name> = self
            .others
            .values()
            .filter(|host| host.peer.standing == Standing::Gone)
            .filter(|host| now.since(host.health_since) >= forget_delay)
            .map(|host| host.peer.name.clone())
            .collect();
        for name in old {
            if let Some(host) = self.others.remove(&name) {
                self.forgotten
                    .insert(name, (host.stamp, now + forget_delay * 2));
                self.view_dirty = true;
            }
        }
    }

    /// Whether values that belong to a host are still kept; values of forgotten hosts are
    /// not.
    pub fn keeps_values_of(&self, name: &str) -> bool {
        !self.forgotten.contains_key(name)
    }

    /// Logs that a record with a later incarnation exists under this host's name: other
    /// hosts ignore this life from then on.
    pub fn on_later_incarnation(&mut self, cx: &mut Context, stamp: u64) {
        if incarnation_of(stamp) > self.me.incarnation.max(self.latest_incarnation) {
            self.latest_incarnation = incarnation_of(stamp);
            cx.note(
                Note::new(Level::Error, "host-superseded")
                    .with("incarnation", self.me.incarnation.0)
                    .with("later", incarnation_of(stamp).0),
            );
        }
    }

    /// Builds the view, and outputs it if it differs from the last one.
    fn publish_view(&mut self, cx: &mut Context) {
        let last_listing = self.last_listing;
        for host in self.others.values_mut() {
            host.peer.standing = standing(host, last_listing, cx.settings.gone_delay);
        }
        self.alive = self
            .others
            .values()
            .filter(|host| host.health == Health::Alive)
            .map(|host| host.peer.name.clone())
            .collect();
        self.view_dirty = false;
        self.next_view = cx.now + MIN_VIEW_INTERVAL;
        let view = self.build_view();
        if view != *self.view {
            self.view = Arc::new(view);
            cx.out.push(crate::Output::View(self.view.clone()));
        }
    }

    fn build_view(&self) -> View {
        let mut me = self.me.clone();
        if self.leaving {
            me.standing = Standing::Leaving;
        }
        let mut peers: Vec<Peer> = self
            .others
            .values()
            .filter(|host| host.health != Health::Unseen)
            .map(|host| host.peer.clone())
            .collect();
        let at = peers.partition_point(|peer| peer.name < me.name);
        peers.insert(at, me);
        View {
            me: self.me.name.clone(),
            peers,
        }
    }

    /// Up to `count` random hosts with [`Health::Alive`], in random order.
    pub fn pick_random(&self, cx: &mut Context, count: usize) -> Vec<Name> {
        let mut names = Vec::new();
        if self.alive.len() <= count {
            names.clone_from(&self.alive);
            cx.shuffle(&mut names);
            return names;
        }
        while names.len() < count {
            let name = &self.alive[cx.random_index(self.alive.len())];
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
        names
    }

    /// Number of live hosts, including this one.
    pub const fn alive_count(&self) -> usize {
        self.alive.len() + 1
    }

    /// Records that a table version is in force on a host.
    pub fn record_table_version(&mut self, name: &str, version: u64) {
        if let Some(host) = self.others.get_mut(name) {
            host.table_version = host.table_version.max(version);
        }
    }

    /// Whether more than half of the known hosts of the own data centre are reachable,
    /// including this one. If the data centre has no other known host, all known hosts
    /// count.
    pub fn sees_majority(&self) -> bool {
        let known = |host: &&Host| host.peer.standing != Standing::Gone && host.stamp != 0;
        let near = |host: &&Host| host.peer.data_centre == self.me.data_centre;
        let count = |hosts: Vec<&Host>| {
            let answering = hosts.iter().filter(|host| host.reachable()).count();
            (answering + 1, hosts.len() + 1)
        };
        let (answering, all) =
            match count(self.others.values().filter(known).filter(near).collect()) {
                (_, 1) => count(self.others.values().filter(known).collect()),
                counts => counts,
            };
        answering * 2 > all
    }
}

/// Applies one reading of the platform's list to a host. Returns whether the standing of
/// the host may have changed.
fn apply_listed(host: &mut Host, listing: Option<&Listing>, now: Time) -> bool {
    let Some(listing) = listing else {
        host.absent_since.get_or_insert(now);
        host.listed_leaving = None;
        return false;
    };
    host.absent_since = None;
    // The list lags behind: only a change of the mark from false to true during this life
    // applies to this life.
    let began = host.listed_leaving == Some(false) && listing.leaving;
    host.listed_leaving = Some(listing.leaving);
    host.leaving |= began;
    if host.stamp == 0 {
        host.peer.peer_address = listing.peer_address.clone();
        host.peer.address = listing.address.clone();
    }
    began
}

/// The standing that the view shows for a host.
fn standing(host: &Host, last_listing: Option<Time>, gone_delay: Duration) -> Standing {
    match host.health {
        Health::Dead if is_gone(host, last_listing, gone_delay) => Standing::Gone,
        Health::Dead => Standing::Dead,
        _ if host.leaving => Standing::Leaving,
        Health::Suspect | Health::Unseen => Standing::Suspect,
        Health::Alive => Standing::Alive,
    }
}

/// Whether the host has been missing from all readings of the list for at least
/// `gone_delay` since its death.
fn is_gone(host: &Host, last_listing: Option<Time>, gone_delay: Duration) -> bool {
    let (Some(absent_since), Some(last)) = (host.absent_since, last_listing) else {
        return false;
    };
    last.since(absent_since.max(host.health_since)) >= gone_delay
}
