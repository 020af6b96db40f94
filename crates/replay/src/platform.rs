//! The key-value service of a replay, and what is seen of the table in it.

use crate::{
    node::Node,
    parts::{Happening, Watch},
    world::{CALL_TIMEOUT, HostKey, KV_LATENCY, World},
};
use mulberryrack_core::kv;
use mulberryrack_host::{Area, Event};
use std::time::Duration;

impl World {
    /// A call reaches the service.
    pub(crate) fn kv(
        &mut self,
        host: HostKey,
        life: u64,
        area: Area,
        token: kv::CallId,
        op: &kv::Op,
    ) {
        let now = self.now;
        if self.faults.kv_down(now) {
            let write = !matches!(op, kv::Op::Get { .. } | kv::Op::List { .. });
            let fault = if write {
                kv::Fault::Unknown
            } else {
                kv::Fault::NotApplied
            };
            return self.kv_done(host, life, CALL_TIMEOUT, (area, token, Err(fault)));
        }
        let slow = self.faults.kv_slow(now);
        let reply = self.store.call(now, op);
        if !matches!(
            op,
            kv::Op::Get { .. } | kv::Op::List { .. } | kv::Op::Watch { .. }
        ) {
            self.notify_watches();
        }
        match (reply, op) {
            (Some(reply), _) => {
                let lost = self.faults.kv_loses(now, &mut self.draws);
                if lost {
                    let outcome = Err(kv::Fault::Unknown);
                    return self.kv_done(host, life, CALL_TIMEOUT, (area, token, outcome));
                }
                self.kv_done(host, life, KV_LATENCY / 2 + slow, (area, token, Ok(reply)));
            }
            (
                None,
                kv::Op::Watch {
                    prefix,
                    after,
                    wait,
                },
            ) => {
                self.next_watch += 1;
                let watch = Watch {
                    host,
                    life,
                    area,
                    token,
                    prefix: prefix.clone(),
                    after: *after,
                };
                self.watches.insert(self.next_watch, watch);
                let ends = Happening::WatchEnds(self.next_watch);
                self.queue.put(now + *wait, ends);
            }
            (None, _) => {}
        }
    }

    fn kv_done(
        &mut self,
        host: HostKey,
        life: u64,
        way: Duration,
        (area, token, outcome): (Area, kv::CallId, kv::Outcome),
    ) {
        let event = Event::Kv {
            area,
            token,
            outcome,
        };
        self.send_host(way, host, life, event);
    }

    /// The wait of a watch is over.
    pub(crate) fn watch_ends(&mut self, watch: u64) {
        if let Some(watch) = self.watches.remove(&watch) {
            let reply = self.store.unchanged();
            let done = (watch.area, watch.token, Ok(reply));
            self.kv_done(watch.host, watch.life, KV_LATENCY / 2, done);
        }
    }

    fn notify_watches(&mut self) {
        let ready: Vec<(u64, kv::Reply)> = self
            .watches
            .iter()
            .filter_map(|(key, watch)| {
                let reply = self.store.changes(&watch.prefix, watch.after)?;
                Some((*key, reply))
            })
            .collect();
        for (key, reply) in ready {
            if let Some(watch) = self.watches.remove(&key) {
                let done = (watch.area, watch.token, Ok(reply));
                self.kv_done(watch.host, watch.life, KV_LATENCY / 2, done);
            }
        }
    }

    /// Looks at the versions in force on hosts that run and can be reached.
    pub(crate) fn look_at_tables(&mut self) {
        let now = self.now;
        let mut versions = Vec::new();
        for key in 0..self.hosts.len() {
            let others = (0..self.hosts.len()).filter(|other| *other != key);
            let cut = others
                .into_iter()
                .all(|other| self.faults.cut(key, other, now));
            let slot = &mut self.hosts[key];
            if slot.paused_until > now || cut {
                continue;
            }
            if let Some(Node::Ours(host)) = &mut slot.node {
                let version = host.table().map_or(0, |table| table.version);
                versions.push((slot.listing.name.clone(), slot.life, version));
            }
        }
        self.spread.look(now, &versions);
    }
}
