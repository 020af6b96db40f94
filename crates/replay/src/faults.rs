//! What goes wrong, and until when.

use crate::{
    node::Node,
    parts::Happening,
    trace::Act,
    world::{HostKey, Version, World},
};
use mulberryrack_core::{Name, Time};
use mulberryrack_host::{Event, operator::Command};
use mulberryrack_standin::engine::Input;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Faults of the platform and of the ways between hosts.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    kv_down_until: Time,
    kv_slow: (Time, Duration),
    kv_loses: (Time, u32),
    orders: (Time, u32),
    cut: Vec<(HostKey, Time)>,
}

impl Faults {
    /// Whether the key-value service does not answer.
    #[must_use]
    pub fn kv_down(&self, now: Time) -> bool {
        now < self.kv_down_until
    }

    /// Time added to each call.
    #[must_use]
    pub fn kv_slow(&self, now: Time) -> Duration {
        let (until, add) = self.kv_slow;
        if now < until { add } else { Duration::ZERO }
    }

    /// Whether this answer is lost.
    pub fn kv_loses(&self, now: Time, draws: &mut ChaCha8Rng) -> bool {
        chance(self.kv_loses, now, draws)
    }

    /// Whether this order is lost or late.
    pub fn order(&self, now: Time, draws: &mut ChaCha8Rng) -> bool {
        chance(self.orders, now, draws)
    }

    /// Whether two hosts cannot reach each other.
    #[must_use]
    pub fn cut(&self, one: HostKey, other: HostKey, now: Time) -> bool {
        let side = |host| {
            self.cut
                .iter()
                .any(|(cut, until)| *cut == host && now < *until)
        };
        side(one) != side(other)
    }
}

fn chance((until, percent): (Time, u32), now: Time, draws: &mut ChaCha8Rng) -> bool {
    now < until && draws.random_range(0..100) < percent
}

impl World {
    /// Brings a fault about, or lets an operator act.
    pub(crate) fn fault(&mut self, act: &Act) {
        let now = self.now;
        let until = |for_ms: u64| now + Duration::from_millis(for_ms);
        match act {
            Act::Request(_) => {}
            Act::Accept { table } => self.accept(table),
            Act::KillHost { host, back_ms } => {
                if let Some(host) = self.host_key(host) {
                    self.kill(host);
                    if let Some(back) = back_ms {
                        self.queue.put(until(*back), Happening::Start(host));
                    }
                }
            }
            Act::DrainHost { host } => {
                if let Some(host) = self.host_key(host) {
                    let life = self.hosts[host].life;
                    self.feed_host(host, life, Event::Drain);
                }
            }
            Act::PauseHost { host, for_ms } => {
                if let Some(host) = self.host_key(host) {
                    self.hosts[host].paused_until = until(*for_ms);
                }
            }
            Act::CutHosts { hosts, for_ms } => {
                let keys = hosts.iter().filter_map(|host| self.host_key(host));
                let cut: Vec<_> = keys.map(|host| (host, until(*for_ms))).collect();
                self.faults.cut.extend(cut);
            }
            Act::KvOutage { for_ms } => self.faults.kv_down_until = until(*for_ms),
            Act::KvSlow { add_ms, for_ms } => {
                self.faults.kv_slow = (until(*for_ms), Duration::from_millis(*add_ms));
            }
            Act::KvLosesAnswers { percent, for_ms } => {
                self.faults.kv_loses = (until(*for_ms), *percent);
            }
            Act::OrdersLost { percent, for_ms } => {
                self.faults.orders = (until(*for_ms), *percent);
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
            .engine_names
            .iter()
            .position(|listing| listing.name == *name);
        if let Some(index) = index {
            self.feed_engine(index, input);
        }
    }

    /// Lets an operator accept a table through the first host that runs.
    pub fn accept(&mut self, table: &str) {
        let Some(csv) = self.deployment.tables.get(table).cloned() else {
            return;
        };
        if let Ok(rows) = mulberryrack_table::csv::parse(&csv) {
            self.rows = rows.to_vec();
        }
        let running = (0..self.hosts.len()).filter(|host| self.hosts[*host].node.is_some());
        // Hosts of the baseline do not tell each other of a table.
        let told: Vec<HostKey> = match self.version {
            Version::Ours => running.take(1).collect(),
            Version::Naive => running.collect(),
        };
        let first = told
            .first()
            .and_then(|host| self.hosts[*host].node.as_mut());
        let parent = match first {
            Some(Node::Ours(host)) => host.table().map_or(0, |table| table.version),
            _ => 0,
        };
        let command = Command::Accept {
            csv,
            parent,
            change: format!("{table}-{}", self.now).into(),
            author: "replay".into(),
        };
        for host in told {
            let life = self.hosts[host].life;
            let command = command.clone();
            self.feed_host(host, life, Event::Operator { ticket: 0, command });
        }
    }
}
