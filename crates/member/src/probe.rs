//! Failure detection: each host probes a few others in each heartbeat interval. If a
//! probe is not answered in time, other hosts are asked to probe the same host before it
//! becomes suspect.

use crate::{
    context::Context,
    hosts::{Health, Host, Hosts},
};
use mulberryrack_core::{Incarnation, Name, Time, earliest, hash};
use mulberryrack_wire::member::Rumour;
use std::time::Duration;

/// Maximum number of rumours in one frame.
const MAX_RUMOURS: usize = 8;
/// A rumour is sent this many times, multiplied by one more than the binary logarithm of
/// the number of live hosts.
const RUMOUR_FACTOR: u32 = 3;
/// Number of heartbeat intervals after which a probe fails.
const PROBE_TIMEOUT_HEARTBEATS: u32 = 2;
/// Number of heartbeat intervals without any answer after which a host assumes that the
/// fault is its own and spreads no rumours.
const OWN_FAULT_HEARTBEATS: u32 = 2;
/// Number of hosts that a host without any answer yet probes when it reads the platform's
/// list.
const MAX_FIRST_CONTACTS: usize = 4;

/// Average number of hosts that probe a random suspect found by other hosts, in each
/// heartbeat interval.
const SECOND_PROBERS: usize = 8;
/// Maximum number of suspects found by this host that it probes again in each heartbeat
/// interval.
const MAX_OWN_SUSPECTS: usize = 3;

/// A probe of this host that waits for an answer.
#[derive(Clone, Debug)]
struct PendingProbe {
    sequence: u64,
    target: Name,
    sent: Time,
    /// Whether other hosts have been asked to probe the target.
    relay_requested: bool,
}

/// A probe that this host makes on behalf of `requester`.
#[derive(Clone, Debug)]
struct RelayedProbe {
    sequence: u64,
    requester: Name,
    /// Sequence number of the requester's own probe.
    requested_sequence: u64,
    deadline: Time,
}

/// A rumour that is still sent along with frames.
#[derive(Clone, Debug)]
struct ActiveRumour {
    rumour: Rumour,
    sends_left: u32,
}

/// A frame that the prober wants to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    Ping {
        to: Name,
        sequence: u64,
    },
    /// Asks the host `relay` to probe `target`.
    IndirectPing {
        relay: Name,
        target: Name,
        sequence: u64,
    },
}

/// The answer to a relayed probe, to be sent to the host that requested the probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayedAck {
    pub to: Name,
    pub sequence: u64,
    pub subject: Name,
}

/// Pending probes, and rumours to send along.
pub(crate) struct Prober {
    sequence: u64,
    /// Hosts still to be probed in this round.
    round_targets: Vec<Name>,
    pending: Vec<PendingProbe>,
    relayed: Vec<RelayedProbe>,
    active_rumours: Vec<ActiveRumour>,
    next_probe: Time,
    next_rejoin: Time,
    last_answer: Option<Time>,
}

impl Prober {
    pub fn new(cx: &mut Context) -> Self {
        let heartbeat = cx.settings.heartbeat_interval;
        let rejoin = cx.settings.rejoin_interval;
        Self {
            sequence: 0,
            round_targets: Vec::new(),
            pending: Vec::new(),
            relayed: Vec::new(),
            active_rumours: Vec::new(),
            next_probe: cx.now + cx.jitter(heartbeat),
            next_rejoin: cx.now + cx.jitter(rejoin),
            last_answer: None,
        }
    }

    /// Whether any host has ever answered a probe of this host.
    pub const fn joined(&self) -> bool {
        self.last_answer.is_some()
    }

    pub fn next_wake(&self, cx: &Context) -> Option<Time> {
        let timeout = cx.settings.heartbeat_interval * PROBE_TIMEOUT_HEARTBEATS;
        let pending = self.pending.iter().map(|probe| {
            let span = if probe.relay_requested {
                timeout
            } else {
                cx.settings.ack_timeout
            };
            probe.sent + span
        });
        earliest(Some(self.next_probe.min(self.next_rejoin)), pending.min())
    }

    pub fn tick(&mut self, cx: &mut Context, hosts: &mut Hosts) -> Vec<Action> {
        let mut actions = Vec::new();
        self.relayed.retain(|probe| probe.deadline > cx.now);
        self.request_indirect_probes(cx, hosts, &mut actions);
        self.fail_probes(cx, hosts);
        if cx.now >= self.next_probe {
            self.next_probe = cx.now + cx.settings.heartbeat_interval;
            let next = self.next_target(cx, hosts);
            for target in suspects_to_probe(cx, hosts).into_iter().chain(next) {
                actions.push(self.ping(cx.now, target));
            }
        }
        if cx.now >= self.next_rejoin {
            self.next_rejoin = cx.now + cx.settings.rejoin_interval;
            if let Some(target) = random_dead_host(cx, hosts) {
                actions.push(self.ping(cx.now, target));
            }
        }
        actions
    }

    /// Probes a few listed hosts if no host has answered yet.
    pub fn first_contact(&mut self, cx: &mut Context, hosts: &Hosts) -> Vec<Action> {
        if self.joined() {
            return Vec::new();
        }
        let mut names: Vec<Name> = hosts.others.keys().cloned().collect();
        cx.shuffle(&mut names);
        names.truncate(MAX_FIRST_CONTACTS);
        names
            .into_iter()
            .map(|name| self.ping(cx.now, name))
            .collect()
    }

    fn ping(&mut self, now: Time, target: Name) -> Action {
        self.sequence += 1;
        self.pending.push(PendingProbe {
            sequence: self.sequence,
            target: target.clone(),
            sent: now,
            relay_requested: false,
        });
        Action::Ping {
            to: target,
            sequence: self.sequence,
        }
    }

    /// The next host to probe: each host that is not dead once a round, in a new random
    /// order each round.
    fn next_target(&mut self, cx: &mut Context, hosts: &Hosts) -> Option<Name> {
        if self.round_targets.is_empty() {
            self.round_targets = hosts.others.keys().cloned().collect();
            cx.shuffle(&mut self.round_targets);
        }
        while let Some(name) = self.round_targets.pop() {
            if hosts
                .others
                .get(&name)
                .is_some_and(|host| host.health != Health::Dead)
            {
                return Some(name);
            }
        }
        None
    }

    /// Asks other hosts to probe the targets whose answer is late.
    fn request_indirect_probes(
        &mut self,
        cx: &mut Context,
        hosts: &Hosts,
        actions: &mut Vec<Action>,
    ) {
        for probe in &mut self.pending {
            if probe.relay_requested || cx.now.since(probe.sent) < cx.settings.ack_timeout {
                continue;
            }
            probe.relay_requested = true;
            let relays = hosts.pick_random(cx, cx.settings.detours + 1);
            actions.extend(
                relays
                    .into_iter()
                    .filter(|relay| *relay != probe.target)
                    .take(cx.settings.detours)
                    .map(|relay| Action::IndirectPing {
                        relay,
                        target: probe.target.clone(),
                        sequence: probe.sequence,
                    }),
            );
        }
    }

    /// Marks the targets of failed probes as suspect, and starts rumours of them unless
    /// this host assumes that the fault is its own.
    fn fail_probes(&mut self, cx: &mut Context, hosts: &mut Hosts) {
        let bound = cx.settings.heartbeat_interval * PROBE_TIMEOUT_HEARTBEATS;
        let now = cx.now;
        let (failed, open) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|probe| now.since(probe.sent) >= bound);
        self.pending = open;
        for probe in failed {
            let stamp = hosts.others.get(&probe.target).map_or(0, |host| host.stamp);
            if hosts.suspect(cx, &probe.target, stamp) {
                hosts.mark_missed_probe(&probe.target);
                if !self.presumes_own_fault(cx) {
                    self.start_rumour(hosts, &probe.target, stamp);
                }
            }
        }
    }

    /// Whether this host has had no answer for so long that the fault is probably its
    /// own.
    fn presumes_own_fault(&self, cx: &Context) -> bool {
        let bound = cx.settings.heartbeat_interval * OWN_FAULT_HEARTBEATS;
        self.last_answer
            .is_none_or(|last| cx.now.since(last) > bound)
    }

    /// Starts a rumour that a host did not answer; `stamp` is that of the record of the host
    /// to which the rumour refers.
    fn start_rumour(&mut self, hosts: &Hosts, name: &str, stamp: u64) {
        let size = u32::try_from(hosts.alive_count()).unwrap_or(u32::MAX);
        self.active_rumours
            .retain(|active| active.rumour.name != name);
        self.active_rumours.push(ActiveRumour {
            rumour: Rumour {
                name: name.to_owned(),
                stamp,
            },
            sends_left: RUMOUR_FACTOR * (size.ilog2() + 1),
        });
    }

    /// Rumours for the next frame, those with the most sends left first. Refuted
    /// rumours are dropped.
    pub fn rumours(&mut self, hosts: &Hosts) -> Vec<Rumour> {
        self.active_rumours.retain(|active| {
            hosts.others.get(&*active.rumour.name).is_some_and(|host| {
                host.stamp <= active.rumour.stamp && host.health > Health::Alive
            })
        });
        self.active_rumours
            .sort_by_key(|active| std::cmp::Reverse(active.sends_left));
        let rumours = self
            .active_rumours
            .iter_mut()
            .take(MAX_RUMOURS)
            .map(|active| {
                active.sends_left -= 1;
                active.rumour.clone()
            })
            .collect();
        self.active_rumours.retain(|active| active.sends_left > 0);
        rumours
    }

    /// Applies rumours, and refutes those of this host. Returns the hosts of which this
    /// host has a newer record than the sender.
    pub fn on_rumours(
        &mut self,
        cx: &mut Context,
        hosts: &mut Hosts,
        rumours: &[Rumour],
    ) -> Vec<Name> {
        let mut outdated = Vec::new();
        for rumour in rumours {
            let name: &str = &rumour.name;
            if *name == *hosts.me.name {
                hosts.refute(rumour.stamp);
                outdated.push(hosts.me.name.clone());
            } else if hosts
                .others
                .get(name)
                .is_some_and(|host| host.stamp > rumour.stamp)
            {
                outdated.push(name.into());
            } else if hosts.suspect(cx, name, rumour.stamp) {
                self.start_rumour(hosts, name, rumour.stamp);
            }
        }
        outdated
    }

    /// Applies an ack that `from` sent itself. Returns when the probe was sent, if the
    /// ack belongs to a probe of this host, and the ack to pass on, if it belongs to a
    /// probe on behalf of another host.
    pub fn on_ack(
        &mut self,
        cx: &mut Context,
        hosts: &mut Hosts,
        from: &Name,
        incarnation: Incarnation,
        sequence: u64,
    ) -> (Option<Time>, Option<RelayedAck>) {
        let relayed_ack = self
            .relayed
            .iter()
            .position(|probe| probe.sequence == sequence)
            .map(|at| self.relayed.swap_remove(at))
            .map(|probe| RelayedAck {
                to: probe.requester,
                sequence: probe.requested_sequence,
                subject: from.clone(),
            });
        let sent = self
            .pending
            .iter()
            .position(|probe| probe.sequence == sequence && probe.target == *from)
            .map(|at| self.pending.swap_remove(at).sent);
        if sent.is_some() || relayed_ack.is_some() {
            self.last_answer = Some(cx.now);
            self.drop_rumours(from);
            hosts.on_probe_answered(cx, from, incarnation);
        }
        (sent, relayed_ack)
    }

    /// Applies an ack that another host relayed: the probe of `subject` does not fail.
    pub fn on_relayed_ack(&mut self, cx: &mut Context, sequence: u64, subject: &str) {
        self.last_answer = Some(cx.now);
        self.pending
            .retain(|probe| probe.sequence != sequence || *probe.target != *subject);
    }

    /// Stops sending rumours of a host.
    fn drop_rumours(&mut self, name: &str) {
        self.active_rumours
            .retain(|active| active.rumour.name != name);
    }

    /// Starts a probe of `target` on behalf of the host `from`.
    pub fn relay_probe(
        &mut self,
        cx: &Context,
        from: &Name,
        sequence: u64,
        target: &Name,
    ) -> Action {
        self.sequence += 1;
        self.relayed.push(RelayedProbe {
            sequence: self.sequence,
            requester: from.clone(),
            requested_sequence: sequence,
            deadline: cx.now + cx.settings.heartbeat_interval * PROBE_TIMEOUT_HEARTBEATS,
        });
        Action::Ping {
            to: target.clone(),
            sequence: self.sequence,
        }
    }

    /// Treats the pending probes of a host as late after a frame to it could not be
    /// delivered, so that other hosts are asked without waiting for an answer.
    pub fn on_undelivered(&mut self, cx: &Context, to: &str) {
        let timeout = cx.settings.ack_timeout;
        for probe in &mut self.pending {
            if &*probe.target == to && cx.now.since(probe.sent) < timeout {
                probe.sent = Time::from_micros(
                    cx.now
                        .as_micros()
                        .saturating_sub(u64::try_from(timeout.as_micros()).unwrap_or(0)),
                );
            }
        }
    }
}

/// Suspects to probe again: up to [`MAX_OWN_SUSPECTS`] that did not answer a probe of this
/// host, and at random one of the suspects found by other hosts. About [`SECOND_PROBERS`] of
/// all hosts choose such a suspect in each heartbeat interval.
fn suspects_to_probe(cx: &mut Context, hosts: &Hosts) -> Vec<Name> {
    let (mut own, others): (Vec<&Host>, Vec<&Host>) = hosts
        .others
        .values()
        .filter(|host| host.health == Health::Suspect)
        .partition(|host| host.missed_own_probe);
    cx.shuffle(&mut own);
    own.truncate(MAX_OWN_SUSPECTS);
    if !others.is_empty() && cx.random_index(hosts.alive_count()) < SECOND_PROBERS {
        own.push(others[cx.random_index(others.len())]);
    }
    own.into_iter().map(|host| host.peer.name.clone()).collect()
}

/// A random dead host that is not gone.
fn random_dead_host(cx: &mut Context, hosts: &Hosts) -> Option<Name> {
    let dead: Vec<&Name> = hosts
        .others
        .iter()
        .filter(|(_, host)| host.health == Health::Dead)
        .filter(|(_, host)| host.peer.standing != mulberryrack_core::view::Standing::Gone)
        .map(|(name, _)| name)
        .collect();
    (!dead.is_empty()).then(|| dead[cx.random_index(dead.len())].clone())
}

/// The `count` hosts of the own data centre with the highest rendezvous scores for a
/// purpose; hosts with the same view choose the same hosts.
pub(crate) fn chosen_hosts(hosts: &Hosts, purpose: &str, count: usize) -> Vec<Name> {
    let own = (!hosts.leaving).then_some(&hosts.me.name);
    let others = hosts
        .others
        .values()
        .filter(|host| host.health == Health::Alive && !host.leaving)
        .filter(|host| host.peer.data_centre == hosts.me.data_centre)
        .map(|host| &host.peer.name);
    let mut ranked: Vec<(f64, &Name)> = others
        .chain(own)
        .map(|name| (hash::rendezvous(purpose, name, 1.0), name))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, name)| name.clone())
        .collect()
}

/// The interval at which one call by each known host makes `calls_per_second` calls a second
/// in total.
pub(crate) fn fleet_call_interval(hosts: &Hosts, calls_per_second: u32) -> Duration {
    let size = u32::try_from(hosts.others.len() + 1).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(size) / f64::from(calls_per_second.max(1)))
}
