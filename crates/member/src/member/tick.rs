//! Actions that are due by time, and the adoption of a table version.

use super::{InitialFetch, Member, RolloutCheck};
use crate::gossip;
use mulberryrack_core::Name;
use mulberryrack_wire::member::{self as wire, frame::Body};
use std::time::Duration;

/// Time after which a page that has not arrived is requested from another host.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two probes of hosts that have not confirmed a version accepted at this
/// host.
const ROLLOUT_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long hosts are probed for a version accepted at this host.
const ROLLOUT_CHECK_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of hosts probed at once for a version accepted at this host.
const MAX_ROLLOUT_CHECKS: usize = 8;
/// Maximum random delay before a host confirms a version to its origin, per live host.
const CONFIRM_DELAY_PER_HOST: Duration = Duration::from_millis(1);

impl Member {
    pub(super) fn tick(&mut self) {
        self.hosts.tick(&mut self.cx);
        let actions = self.prober.tick(&mut self.cx, &mut self.hosts);
        self.run_actions(actions);
        let (store, cx, mut parts) = self.split_store();
        store.tick(cx, &mut parts);
        if let Some((to, ask)) = self.table_sync.request(&mut self.cx, &self.hosts) {
            self.send(&to, Body::TableAsk(ask));
        }
        self.tick_record();
        self.tick_announce();
        self.tick_repair();
        self.tick_fetch();
        self.tick_rollout();
        // The view is to include the changes made by the steps above.
        self.hosts.tick(&mut self.cx);
    }

    /// Publishes this host's record if it has changed.
    pub(super) fn tick_record(&mut self) {
        if std::mem::take(&mut self.hosts.publish_record) {
            let record = self.hosts.own_record(self.cx.settings.weight);
            self.publish_own(&record);
        }
    }

    /// Announces adopted values to a few random hosts.
    pub(super) fn tick_announce(&mut self) {
        if self.next_announce.is_none() && self.gossip.has_unannounced() {
            self.next_announce = Some(self.cx.now + self.cx.settings.announce_delay);
        }
        if self.next_announce.is_none_or(|at| self.cx.now < at) {
            return;
        }
        self.next_announce = None;
        let announces = self.gossip.take_announcements(self.cx.now);
        let peers = self.fanout_peers();
        for announce in announces {
            for peer in &peers {
                self.send(peer, Body::Announce(announce.clone()));
            }
        }
    }

    /// Sends a digest of all values to a random host.
    pub(super) fn tick_repair(&mut self) {
        if self.cx.now < self.next_repair {
            return;
        }
        self.next_repair = self.cx.now + self.cx.settings.repair_interval;
        self.drop_forgotten();
        let mut digest = self.gossip.digest();
        digest.dead = self.hosts.dead_hosts(self.cx.now, true);
        for peer in self.hosts.pick_random(&mut self.cx, 1) {
            self.send(&peer, Body::Digest(digest.clone()));
        }
    }

    /// Drops the values of forgotten hosts.
    pub(super) fn drop_forgotten(&mut self) {
        let dropped: Vec<Name> = self
            .gossip
            .host_owned_keys()
            .filter(|key| {
                gossip::owning_host(key).is_some_and(|name| !self.hosts.keeps_values_of(name))
            })
            .cloned()
            .collect();
        for key in dropped {
            self.gossip.drop_key(&key);
        }
    }

    /// Requests the first page of values, or a page again that has not arrived in time.
    pub(super) fn tick_fetch(&mut self) {
        let due = match &self.fetch {
            InitialFetch::Wanted => self.prober.joined(),
            InitialFetch::Requested { sent, .. } => self.cx.now >= *sent + FETCH_TIMEOUT,
            InitialFetch::Done => false,
        };
        if !due {
            return;
        }
        let after = match &self.fetch {
            InitialFetch::Requested { after, .. } => after.clone(),
            InitialFetch::Wanted | InitialFetch::Done => String::new(),
        };
        if let Some(peer) = self.hosts.pick_random(&mut self.cx, 1).pop() {
            self.request_page(peer, after);
        } else if let InitialFetch::Requested { sent, .. } = &mut self.fetch {
            *sent = self.cx.now;
        }
    }

    pub(super) fn request_page(&mut self, peer: Name, after: String) {
        let request = wire::Fetch {
            after: after.clone(),
        };
        self.send(&peer, Body::Fetch(request));
        self.fetch = InitialFetch::Requested {
            peer,
            after,
            sent: self.cx.now,
        };
    }

    /// Confirms the version in force to its origin, and probes the hosts that have not
    /// confirmed a version accepted at this host.
    pub(super) fn tick_rollout(&mut self) {
        let version = self.table_sync.version();
        let now = self.cx.now;
        let due: Vec<Name> = self
            .confirms_due
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(origin, _)| origin.clone())
            .collect();
        for origin in due {
            self.confirms_due.remove(&origin);
            self.send(&origin, Body::InForce(wire::InForce { version }));
        }
        let Some(rollout_check) = &mut self.rollout_check else {
            return;
        };
        if self.cx.now >= rollout_check.deadline {
            self.rollout_check = None;
            return;
        }
        if self.cx.now < rollout_check.next_probe {
            return;
        }
        rollout_check.next_probe = self.cx.now + ROLLOUT_CHECK_INTERVAL;
        let version = rollout_check.version;
        let behind: Vec<Name> = self
            .hosts
            .others
            .values()
            .filter(|host| host.reachable() && host.table_version < version)
            .map(|host| host.peer.name.clone())
            .take(MAX_ROLLOUT_CHECKS)
            .collect();
        for name in behind {
            let ping = self.build_ping(&name, 0);
            self.send(&name, Body::Ping(ping));
        }
    }

    /// Pushes a version that has just come into force to other hosts, and schedules its
    /// confirmation to the origin.
    pub(super) fn on_adopted(&mut self) {
        let version = self.table_sync.version();
        self.evidence.on_adopted(version);
        if let Some(accepted) = self.table_store.accepted_version.take() {
            self.rollout_check = Some(RolloutCheck {
                version: accepted,
                next_probe: self.cx.now + ROLLOUT_CHECK_INTERVAL,
                deadline: self.cx.now + ROLLOUT_CHECK_PERIOD,
            });
        }
        if let Some(record) = self.table_sync.newest_record() {
            let push = wire::TablePush {
                record: Some(record),
            };
            for peer in self.fanout_peers() {
                self.send(&peer, Body::TablePush(push.clone()));
            }
        }
        if self.table_sync.origin != self.hosts.me.name {
            let size = u32::try_from(self.hosts.alive_count()).unwrap_or(u32::MAX);
            let at = self.cx.now + self.cx.jitter(CONFIRM_DELAY_PER_HOST * size);
            let origin = self.table_sync.origin.clone();
            self.confirms_due.entry(origin).or_insert(at);
        }
    }
}
