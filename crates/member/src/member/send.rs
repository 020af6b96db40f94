//! What a host sends to others.

use super::Member;
use crate::{Output, hosts, probe::Act, spread};
use mulberryrack_core::{Name, view::Value};
use mulberryrack_wire::member::{self as wire, Frame, frame::Body};

impl Member {
    pub(super) fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Ping { to, sequence } => {
                    let ping = self.ping(&to, sequence);
                    self.send(&to, Body::Ping(ping));
                }
                Act::Detour {
                    via,
                    target,
                    sequence,
                } => {
                    let target = target.to_string();
                    self.send(&via, Body::Detour(wire::Detour { sequence, target }));
                }
            }
        }
    }

    pub(super) fn ping(&mut self, to: &str, sequence: u64) -> wire::Ping {
        let want_host = self.hosts.map.get(to).is_none_or(|host| host.stamp == 0);
        let record = self.hosts.own_record(self.cx.settings.weight);
        wire::Ping {
            sequence,
            host: Some(spread::to_wire(&record)),
            beat: Some(self.beat(to)),
            want_host,
        }
    }

    pub(super) fn beat(&mut self, to: &str) -> wire::Beat {
        let now = self.cx.now;
        let held = self
            .hosts
            .map
            .get(to)
            .filter(|host| host.health > hosts::Health::Alive)
            .map_or(0, |host| host.stamp);
        wire::Beat {
            table: self.relay.version(),
            currency: self.proof.held().map(|evidence| wire::Currency {
                version: evidence.version,
                age_ms: u64::try_from(now.since(evidence.at).as_millis()).unwrap_or(u64::MAX),
            }),
            rumours: self.prober.rumours(),
            held,
        }
    }

    /// Sends records of hosts to one that goes by older ones.
    pub(super) fn send_records(&mut self, to: &Name, names: &[Name]) {
        let values: Vec<wire::Value> = names
            .iter()
            .filter_map(|name| {
                if *name == self.hosts.me.name {
                    let record = self.hosts.own_record(self.cx.settings.weight);
                    return Some(spread::to_wire(&record));
                }
                self.spread.whole(&format!("{}{name}", hosts::PREFIX))
            })
            .collect();
        if !values.is_empty() {
            self.send(to, Body::Values(wire::Values { values }));
        }
    }

    pub(super) fn send(&mut self, to: &str, body: Body) {
        let Some(host) = self.hosts.map.get(to) else {
            return;
        };
        self.cx.out.push(Output::Frame {
            to: host.peer.name.clone(),
            address: host.peer.peer_address.clone(),
            frame: Frame { body: Some(body) },
        });
    }

    /// The hosts that something new goes to.
    pub(super) fn few(&mut self) -> Vec<Name> {
        let fanout = self.cx.settings.fanout;
        self.hosts.pick(&mut self.cx, fanout)
    }

    pub(super) fn publish(&mut self, value: &Value) {
        if self.push_value(value) {
            self.cx.out.push(Output::Value(value.clone()));
        }
    }

    /// Adopts a value of this host and sends it to a few peers at once.
    pub(super) fn push_value(&mut self, value: &Value) -> bool {
        if !self.spread.adopt(value) {
            return false;
        }
        let values = wire::Values {
            values: vec![self.spread.newest(value)],
        };
        for peer in self.few() {
            self.send(&peer, Body::Values(values.clone()));
        }
        true
    }
}
