//! Active faults of a replay, and the acts of a trace that cause them.

use crate::{
    node::Node,
    schedule::SimEvent,
    trace::Act,
    world::{HostIndex, HostKind, World},
};
use mulberryrack_core::{Name, Time};
use mulberryrack_host::{Event, operator::Command};
use mulberryrack_standin::engine::Input;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Faults of the platform and of the network between hosts, each with the time it ends.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    kv_down_until: Time,
    /// End, and time added to each answer.
    kv_slow: (Time, Duration),
    /// End, and share of answers lost in percent.
    kv_answers_lost: (Time, u32),
    /// End, and share of orders disturbed in percent.
    orders_disturbed: (Time, u32),
    /// Hosts cut off from those that are not, and the end of the cut.
    cut: Vec<(HostIndex, Time)>,
}

impl Faults {
    /// Whether the key-value service does not answer.
    #[must_use]
    pub fn kv_down(&self, now: Time) -> bool {
        now < self.kv_down_until
    }

    /// Time added to each answer of the key-value service.
    #[must_use]
    pub fn kv_slow(&self, now: Time) -> Duration {
        let (until, add) = self.kv_slow;
        if now < until { add } else { Duration::ZERO }
    }

    /// Draws whether an answer of the key-value service is lost.
    pub fn kv_answers_lost(&self, now: Time, rng: &mut ChaCha8Rng) -> bool {
        draw_fault(self.kv_answers_lost, now, rng)
    }

    /// Draws whether an order is lost or late.
    pub fn order_disturbed(&self, now: Time, rng: &mut ChaCha8Rng) -> bool {
        draw_fault(self.orders_disturbed, now, rng)
    }

    /// Whether two hosts cannot reach each other: one of them is cut off and the other is not.
    #[must_use]
    pub fn are_separated(&self, one: HostIndex, other: HostIndex, now: Time) -> bool {
        let is_cut_off = |host| {
            self.cut
                .iter()
                .any(|(cut, until)| *cut == host && now < *until)
        };
        is_cut_off(one) != is_cut_off(other)
    }
}

fn draw_fault((until, percent): (Time, u32), now: Time, rng: &mut ChaCha8Rng) -> bool {
    now < until && rng.random_range(0..100) < percent
}

impl World {
    /// Applies an act of the trace other than a request: a fault or an operator's command.
    pub(crate) fn apply_act(&mut self, act: &Act) {
        let now = self.now;
        let until = |for_ms: u64| now + Duration::from_millis(for_ms);
        match act {
            Act::Request(_) => {}
            Act::Accept { table } => self.accept(table),
            Act::KillHost { host, back_ms } => {
                if let Some(host) = self.host_index(host) {
                    self.kill(host);
                    if let Some(back) = back_ms {
                        self.queue.push(until(*back), SimEvent::Start(host));
                    }
                }
            }
            Act::DrainHost { host } => {
                if let Some(host) = self.host_index(host) {
                    let life = self.hosts[host].life;
                    self.deliver_to_host(host, life, Event::Drain);
                }
            }
            Act::PauseHost { host, for_ms } => {
                if let Some(host) = self.host_index(host) {
                    self.hosts[host].paused_until = until(*for_ms);
                }
            }
            Act::CutHosts { hosts, for_ms } => {
                let keys = hosts.iter().filter_map(|host| self.host_index(host));
                let cut: Vec<_> = keys.map(|host| (host, until(*for_ms))).collect();
                self.faults.cut.extend(cut);
            }
            Act::KvOutage { for_ms } => self.faults.kv_down_until = until(*for_ms),
            Act::KvSlow { add_ms, for_ms } => {
                self.faults.kv_slow = (until(*for_ms), Duration::from_millis(*add_ms));
            }
            Act::KvLosesAnswers { percent, for_ms } => {
                self.faults.kv_answers_lost = (until(*for_ms), *percent);
            }
            Act::OrdersLost { percent, for_ms } => {
                self.faults.orders_disturbed = (until(*for_ms), *percent);
            }
            Act::CrashEngine { engine, .. } => self.engine_input(engine, Input::Crash),
            Act::EngineLeaves { engine } => {
                self.engine_input(engine, Input::SetLeaving(true));
                self.list.set_leaving(now, engine, true);
            }
            Act::SilentStreams { upstream } => self.engine_input(upstream, Input::Silence),
        }
    }

    fn engine_input(&mut self, name: &Name, input: Input) {
        let index = self
            .engine_listings
            .iter()
            .position(|listing| listing.name == *name);
        if let Some(index) = index {
            self.deliver_to_engine(index, input);
        }
    }

    /// Sends an operator's command to accept a table to the first host that runs; in a replay
    /// of the baseline, to every host.
    pub fn accept(&mut self, table: &str) {
        let Some(csv) = self.deployment.tables.get(table).cloned() else {
            return;
        };
        if let Ok(rows) = mulberryrack_table::csv::parse(&csv) {
            self.rows = rows.to_vec();
        }
        let running = (0..self.hosts.len()).filter(|host| self.hosts[*host].node.is_some());
        // Hosts of the baseline do not distribute tables among each other.
        let recipients: Vec<HostIndex> = match self.host_kind {
            HostKind::Mulberryrack => running.take(1).collect(),
            HostKind::Naive => running.collect(),
        };
        let first = recipients
            .first()
            .and_then(|host| self.hosts[*host].node.as_mut());
        let parent = match first {
            Some(Node::Mulberryrack(host)) => host.table().map_or(0, |table| table.version),
            _ => 0,
        };
        let command = Command::Accept {
            csv,
            parent,
            change: format!("{table}-{}", self.now).into(),
            author: "replay".into(),
        };
        for host in recipients {
            let life = self.hosts[host].life;
            let command = command.clone();
            self.deliver_to_host(host, life, Event::Operator { ticket: 0, command });
        }
    }
}
