//! What a host does when time has passed, or when a version has come into force.

use super::{Chase, Fetch, Member};
use crate::spread;
use mulberryrack_core::Name;
use mulberryrack_wire::member::{self as wire, frame::Body};
use std::time::Duration;

/// Time after which a page of a peer's values is asked for again, of another peer.
pub(super) const FETCH_AGAIN: Duration = Duration::from_secs(1);
/// Time between two probes of hosts that have not confirmed a version made here.
const CHASE_EVERY: Duration = Duration::from_millis(300);
/// How long hosts are asked for a version made here.
const CHASE_FOR: Duration = Duration::from_secs(10);
/// Hosts asked at once.
const CHASE_HOSTS: usize = 8;
/// Longest random delay before a host confirms a version to its origin, for each host.
const CONFIRM_DELAY: Duration = Duration::from_millis(1);

impl Member {
    pub(super) fn tick(&mut self) {
        self.hosts.tick(&mut self.cx);
        let acts = self.prober.tick(&mut self.cx, &mut self.hosts);
        self.act(acts);
        let (store, cx, mut parts) = self.store();
        store.tick(cx, &mut parts);
        if let Some((to, ask)) = self.relay.ask(&mut self.cx, &self.hosts) {
            self.send(&to, Body::TableAsk(ask));
        }
        self.tick_record();
        self.tick_announce();
        self.tick_repair();
        self.tick_fetch();
        self.tick_progress();
        // Changes made by the steps above belong to this view.
        self.hosts.tick(&mut self.cx);
    }

    pub(super) fn tick_record(&mut self) {
        if std::mem::take(&mut self.hosts.publish) {
            let record = self.hosts.own_record(self.cx.settings.weight);
            self.push_value(&record);
        }
    }

    pub(super) fn tick_announce(&mut self) {
        if self.announce_at.is_none() && self.spread.has_fresh() {
            self.announce_at = Some(self.cx.now + self.cx.settings.announce);
        }
        if self.announce_at.is_none_or(|at| self.cx.now < at) {
            return;
        }
        self.announce_at = None;
        let announces = self.spread.announce(self.cx.now);
        let peers = self.few();
        for announce in announces {
            for peer in &peers {
                self.send(peer, Body::Announce(announce.clone()));
            }
        }
    }

    pub(super) fn tick_repair(&mut self) {
        if self.cx.now < self.repair_at {
            return;
        }
        self.repair_at = self.cx.now + self.cx.settings.repair;
        self.drop_forgotten();
        let mut digest = self.spread.digest();
        digest.dead = self.hosts.deaths(self.cx.now, true);
        for peer in self.hosts.pick(&mut self.cx, 1) {
            self.send(&peer, Body::Digest(digest.clone()));
        }
    }

    pub(super) fn drop_forgotten(&mut self) {
        let dropped: Vec<Name> = self
            .spread
            .owned_keys()
            .filter(|key| spread::owner(key).is_some_and(|name| !self.hosts.keeps(name)))
            .cloned()
            .collect();
        for key in dropped {
            self.spread.drop_key(&key);
        }
    }

    pub(super) fn tick_fetch(&mut self) {
        let due = match &self.fetch {
            Fetch::Wanted => self.prober.joined(),
            Fetch::Asked { at, .. } => self.cx.now >= *at + FETCH_AGAIN,
            Fetch::Done => false,
        };
        if !due {
            return;
        }
        let after = match &self.fetch {
            Fetch::Asked { after, .. } => after.clone(),
            Fetch::Wanted | Fetch::Done => String::new(),
        };
        if let Some(peer) = self.hosts.pick(&mut self.cx, 1).pop() {
            self.ask_page(peer, after);
        } else if let Fetch::Asked { at, .. } = &mut self.fetch {
            *at = self.cx.now;
        }
    }

    pub(super) fn ask_page(&mut self, peer: Name, after: String) {
        let ask = wire::Fetch {
            after: after.clone(),
        };
        self.send(&peer, Body::Fetch(ask));
        self.fetch = Fetch::Asked {
            peer,
            after,
            at: self.cx.now,
        };
    }

    pub(super) fn tick_progress(&mut self) {
        if let Some((at, version, origin)) = self.confirm.clone()
            && self.cx.now >= at
        {
            self.confirm = None;
            let version = self.relay.version().max(version);
            self.send(&origin, Body::InForce(wire::InForce { version }));
        }
        let Some(chase) = &mut self.chase else {
            return;
        };
        if self.cx.now >= chase.until {
            self.chase = None;
            return;
        }
        if self.cx.now < chase.next {
            return;
        }
        chase.next = self.cx.now + CHASE_EVERY;
        let version = chase.version;
        let behind: Vec<Name> = self
            .hosts
            .map
            .values()
            .filter(|host| host.reachable() && host.table < version)
            .map(|host| host.peer.name.clone())
            .take(CHASE_HOSTS)
            .collect();
        for name in behind {
            let ping = self.ping(&name, 0);
            self.send(&name, Body::Ping(ping));
        }
    }

    /// A higher version is in force: passes it on.
    pub(super) fn adopted(&mut self) {
        let version = self.relay.version();
        self.proof.adopted(version);
        if let Some(made) = self.store.won.take() {
            self.origin = Some((made, self.hosts.me.name.clone()));
            self.chase = Some(Chase {
                version: made,
                next: self.cx.now + CHASE_EVERY,
                until: self.cx.now + CHASE_FOR,
            });
        }
        let origin = self
            .origin
            .take()
            .filter(|(made, _)| *made <= version)
            .map(|(_, name)| name);
        if let Some(record) = self.relay.newest() {
            let push = wire::TablePush {
                record: Some(record),
                origin: origin.as_deref().unwrap_or_default().to_owned(),
            };
            for peer in self.few() {
                self.send(&peer, Body::TablePush(push.clone()));
            }
        }
        if let Some(origin) = origin.filter(|origin| *origin != self.hosts.me.name) {
            let size = u32::try_from(self.hosts.size()).unwrap_or(u32::MAX);
            let at = self.cx.now + self.cx.jitter(CONFIRM_DELAY * size);
            self.confirm = Some((at, version, origin));
        }
    }
}
