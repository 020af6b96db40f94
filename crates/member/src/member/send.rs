//! Frames that a host sends to other hosts.

use super::Member;
use crate::{Output, gossip, hosts, probe::Action};
use mulberryrack_core::{Name, view::Value};
use mulberryrack_wire::member::{self as wire, Frame, frame::Body};

impl Member {
    pub(super) fn run_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ping { to, sequence } => {
                    let ping = self.build_ping(&to, sequence);
                    self.send(&to, Body::Ping(ping));
                }
                Action::IndirectPing {
                    relay,
                    target,
                    sequence,
                } => {
                    let target = target.to_string();
                    self.send(&relay, Body::Detour(wire::Detour { sequence, target }));
                }
            }
        }
    }

    pub(super) fn build_ping(&mut self, to: &str, sequence: u64) -> wire::Ping {
        let want_host = self.hosts.others.get(to).is_none_or(|host| host.stamp == 0);
        let record = self.hosts.own_record(self.cx.settings.weight);
        wire::Ping {
            sequence,
            host: Some(gossip::to_wire(&record)),
            beat: Some(self.build_beat(to)),
            want_host,
        }
    }

    /// The state that each probe and each ack to `to` carries. `held` is the stamp of the
    /// record under which `to` counts as suspect or dead here, so that it can refute this;
    /// 0 if it counts as alive.
    pub(super) fn build_beat(&mut self, to: &str) -> wire::Beat {
        let now = self.cx.now;
        let held = self
            .hosts
            .others
            .get(to)
            .filter(|host| host.health > hosts::Health::Alive)
            .map_or(0, |host| host.stamp);
        wire::Beat {
            table: self.table_sync.version(),
            currency: self.evidence.in_force().map(|evidence| wire::Currency {
                version: evidence.version,
                age_ms: u64::try_from(now.since(evidence.at).as_millis()).unwrap_or(u64::MAX),
            }),
            rumours: self.prober.rumours(&self.hosts),
            held,
        }
    }

    /// Sends host records to a host that has older ones.
    pub(super) fn send_records(&mut self, to: &Name, names: &[Name]) {
        let values: Vec<wire::Value> = names
            .iter()
            .filter_map(|name| {
                if *name == self.hosts.me.name {
                    let record = self.hosts.own_record(self.cx.settings.weight);
                    return Some(gossip::to_wire(&record));
                }
                self.gossip
                    .full_value(&format!("{}{name}", hosts::HOST_KEY_PREFIX))
            })
            .collect();
        if !values.is_empty() {
            self.send(to, Body::Values(wire::Values { values }));
        }
    }

    /// Sends a frame to a known host; without effect if the host is unknown.
    pub(super) fn send(&mut self, to: &str, body: Body) {
        let Some(host) = self.hosts.others.get(to) else {
            return;
        };
        self.cx.out.push(Output::Frame {
            to: host.peer.name.clone(),
            address: host.peer.peer_address.clone(),
            frame: Frame { body: Some(body) },
        });
    }

    /// Random hosts that a new value or version is sent to.
    pub(super) fn fanout_peers(&mut self) -> Vec<Name> {
        let fanout = self.cx.settings.fanout;
        self.hosts.pick_random(&mut self.cx, fanout)
    }

    /// Publishes a value of another area of this host.
    pub(super) fn publish(&mut self, value: &Value) {
        if self.publish_own(value) {
            self.cx.out.push(Output::Value(value.clone()));
        }
    }

    /// Adopts a value of this host and sends it to a few random hosts. Returns whether it
    /// was newer than the known one.
    pub(super) fn publish_own(&mut self, value: &Value) -> bool {
        if !self.gossip.merge(self.cx.now, value) {
            return false;
        }
        let values = wire::Values {
            values: vec![self.gossip.patch_or_full(value)],
        };
        for peer in self.fanout_peers() {
            self.send(&peer, Body::Values(values.clone()));
        }
        true
    }
}
