//! Calls to the key-value service of a replay, and the check of table versions.

use crate::{
    node::Node,
    schedule::{PendingWatch, SimEvent},
    world::{CALL_TIMEOUT, HostIndex, KV_ROUND_TRIP, World},
};
use mulberryrack_core::kv;
use mulberryrack_host::{Area, Event};
use std::time::Duration;

impl World {
    /// Executes a call that reaches the key-value service and schedules its outcome.
    pub(crate) fn kv_call(
        &mut self,
        host: HostIndex,
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
            return self.schedule_kv_outcome(host, life, CALL_TIMEOUT, (area, token, Err(fault)));
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
                let lost = self.faults.kv_answers_lost(now, &mut self.rng);
                if lost {
                    let outcome = Err(kv::Fault::Unknown);
                    return self.schedule_kv_outcome(
                        host,
                        life,
                        CALL_TIMEOUT,
                        (area, token, outcome),
                    );
                }
                self.schedule_kv_outcome(
                    host,
                    life,
                    KV_ROUND_TRIP / 2 + slow,
                    (area, token, Ok(reply)),
                );
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
                let watch = PendingWatch {
                    host,
                    life,
                    area,
                    token,
                    prefix: prefix.clone(),
                    after: *after,
                };
                self.watches.insert(self.next_watch, watch);
                let ends = SimEvent::WatchTimeout(self.next_watch);
                self.queue.push(now + *wait, ends);
            }
            (None, _) => {}
        }
    }

    fn schedule_kv_outcome(
        &mut self,
        host: HostIndex,
        life: u64,
        delay: Duration,
        (area, token, outcome): (Area, kv::CallId, kv::Outcome),
    ) {
        let event = Event::Kv {
            area,
            token,
            outcome,
        };
        self.schedule_host_event(delay, host, life, event);
    }

    /// Answers a watch without changes, at the end of its wait.
    pub(crate) fn watch_timed_out(&mut self, watch: u64) {
        if let Some(watch) = self.watches.remove(&watch) {
            let reply = self.store.unchanged();
            let done = (watch.area, watch.token, Ok(reply));
            self.schedule_kv_outcome(watch.host, watch.life, KV_ROUND_TRIP / 2, done);
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
                self.schedule_kv_outcome(watch.host, watch.life, KV_ROUND_TRIP / 2, done);
            }
        }
    }

    /// Records the versions in force on hosts that run, are not paused and can reach at least
    /// one other host.
    pub(crate) fn check_table_versions(&mut self) {
        let now = self.now;
        let mut versions = Vec::new();
        for key in 0..self.hosts.len() {
            let others = (0..self.hosts.len()).filter(|other| *other != key);
            let cut = others
                .into_iter()
                .all(|other| self.faults.are_separated(key, other, now));
            let slot = &mut self.hosts[key];
            if slot.paused_until > now || cut {
                continue;
            }
            if let Some(Node::Mulberryrack(host)) = &mut slot.node {
                let version = host.table().map_or(0, |table| table.version);
                versions.push((slot.listing.name.clone(), slot.life, version));
            }
        }
        self.spread.record_versions(now, &versions);
    }
}
