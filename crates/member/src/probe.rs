//! Heartbeats: each host probes a few others, and asks others to probe for it before it
//! suspects one.

use crate::{
    context::Context,
    hosts::{Health, Host, Hosts},
};
use mulberryrack_core::{Incarnation, Name, Time, earliest, hash};
use mulberryrack_wire::member::Rumour;
use std::time::Duration;

/// Most rumours in one frame.
const MAX_RUMOURS: usize = 8;
/// A rumour is passed on this often, times the binary logarithm of the hosts.
const RUMOUR_FACTOR: u32 = 3;
/// A probe fails after this many heartbeats.
const FAIL_BEATS: u32 = 2;
/// A host that got no answer for this many heartbeats doubts itself.
const DOUBT_BEATS: u32 = 2;
/// Hosts probed at once by a host that has not had an answer yet.
const FIRST_CONTACTS: usize = 4;

/// Hosts that probe a suspect again, in each heartbeat.
const SECOND_PROBES: usize = 8;
/// Suspects of its own that a host probes again, in each heartbeat.
const OWN_SUSPECTS: usize = 3;

#[derive(Clone, Debug)]
struct Flight {
    sequence: u64,
    target: Name,
    sent: Time,
    detoured: bool,
}

/// A probe made on behalf of another host.
#[derive(Clone, Debug)]
struct Favour {
    sequence: u64,
    asker: Name,
    asked: u64,
    until: Time,
}

#[derive(Clone, Debug)]
struct Hot {
    rumour: Rumour,
    left: u32,
}

/// What the prober wants sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    Ping {
        to: Name,
        sequence: u64,
    },
    Detour {
        via: Name,
        target: Name,
        sequence: u64,
    },
}

/// An answer that another host waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub to: Name,
    pub sequence: u64,
    pub subject: Name,
}

/// Probes under way, and rumours to pass on.
pub(crate) struct Prober {
    sequence: u64,
    round: Vec<Name>,
    flights: Vec<Flight>,
    favours: Vec<Favour>,
    hot: Vec<Hot>,
    next_probe: Time,
    next_rejoin: Time,
    last_answer: Option<Time>,
}

impl Prober {
    pub fn new(cx: &mut Context) -> Self {
        let heartbeat = cx.settings.heartbeat;
        let rejoin = cx.settings.rejoin;
        Self {
            sequence: 0,
            round: Vec::new(),
            flights: Vec::new(),
            favours: Vec::new(),
            hot: Vec::new(),
            next_probe: cx.now + cx.jitter(heartbeat),
            next_rejoin: cx.now + cx.jitter(rejoin),
            last_answer: None,
        }
    }

    /// Whether any host has ever answered.
    pub const fn joined(&self) -> bool {
        self.last_answer.is_some()
    }

    pub fn next_wake(&self, cx: &Context) -> Option<Time> {
        let fail = cx.settings.heartbeat * FAIL_BEATS;
        let flights = self.flights.iter().map(|flight| {
            let span = if flight.detoured {
                fail
            } else {
                cx.settings.ack
            };
            flight.sent + span
        });
        earliest(Some(self.next_probe.min(self.next_rejoin)), flights.min())
    }

    pub fn tick(&mut self, cx: &mut Context, hosts: &mut Hosts) -> Vec<Act> {
        let mut acts = Vec::new();
        self.favours.retain(|favour| favour.until > cx.now);
        self.follow(cx, hosts, &mut acts);
        self.fail(cx, hosts);
        if cx.now >= self.next_probe {
            self.next_probe = cx.now + cx.settings.heartbeat;
            let next = self.next_target(cx, hosts);
            for target in suspects(cx, hosts).into_iter().chain(next) {
                acts.push(self.ping(cx.now, target));
            }
        }
        if cx.now >= self.next_rejoin {
            self.next_rejoin = cx.now + cx.settings.rejoin;
            if let Some(target) = dead_host(cx, hosts) {
                acts.push(self.ping(cx.now, target));
            }
        }
        acts
    }

    /// Probes a few hosts of a list that has just been read, if none has answered yet.
    pub fn contact(&mut self, cx: &mut Context, hosts: &Hosts) -> Vec<Act> {
        if self.joined() {
            return Vec::new();
        }
        let mut names: Vec<Name> = hosts.map.keys().cloned().collect();
        cx.shuffle(&mut names);
        names.truncate(FIRST_CONTACTS);
        names
            .into_iter()
            .map(|name| self.ping(cx.now, name))
            .collect()
    }

    fn ping(&mut self, now: Time, target: Name) -> Act {
        self.sequence += 1;
        self.flights.push(Flight {
            sequence: self.sequence,
            target: target.clone(),
            sent: now,
            detoured: false,
        });
        Act::Ping {
            to: target,
            sequence: self.sequence,
        }
    }

    /// Each host once a round, in a new order each round.
    fn next_target(&mut self, cx: &mut Context, hosts: &Hosts) -> Option<Name> {
        if self.round.is_empty() {
            self.round = hosts.map.keys().cloned().collect();
            cx.shuffle(&mut self.round);
        }
        while let Some(name) = self.round.pop() {
            if hosts
                .map
                .get(&name)
                .is_some_and(|host| host.health != Health::Dead)
            {
                return Some(name);
            }
        }
        None
    }

    /// Asks other hosts to probe where an answer is late.
    fn follow(&mut self, cx: &mut Context, hosts: &Hosts, acts: &mut Vec<Act>) {
        for flight in &mut self.flights {
            if flight.detoured || cx.now.since(flight.sent) < cx.settings.ack {
                continue;
            }
            flight.detoured = true;
            let vias = hosts.pick(cx, cx.settings.detours + 1);
            acts.extend(
                vias.into_iter()
                    .filter(|via| *via != flight.target)
                    .take(cx.settings.detours)
                    .map(|via| Act::Detour {
                        via,
                        target: flight.target.clone(),
                        sequence: flight.sequence,
                    }),
            );
        }
    }

    fn fail(&mut self, cx: &mut Context, hosts: &mut Hosts) {
        let bound = cx.settings.heartbeat * FAIL_BEATS;
        let now = cx.now;
        let (failed, open) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| now.since(flight.sent) >= bound);
        self.flights = open;
        for flight in failed {
            let stamp = hosts.map.get(&flight.target).map_or(0, |host| host.stamp);
            if hosts.suspect(cx, &flight.target, stamp) {
                hosts.unanswered(&flight.target);
                if !self.doubts(cx) {
                    self.spread(hosts, &flight.target, stamp);
                }
            }
        }
    }

    /// Whether the fault is rather this host's own.
    fn doubts(&self, cx: &Context) -> bool {
        let bound = cx.settings.heartbeat * DOUBT_BEATS;
        self.last_answer
            .is_none_or(|last| cx.now.since(last) > bound)
    }

    fn spread(&mut self, hosts: &Hosts, name: &str, stamp: u64) {
        let size = u32::try_from(hosts.size()).unwrap_or(u32::MAX);
        self.hot.retain(|hot| hot.rumour.name != name);
        self.hot.push(Hot {
            rumour: Rumour {
                name: name.to_owned(),
                stamp,
            },
            left: RUMOUR_FACTOR * (size.ilog2() + 1),
        });
    }

    /// Rumours for the next frame, those passed on least first.
    pub fn rumours(&mut self) -> Vec<Rumour> {
        self.hot.sort_by_key(|hot| std::cmp::Reverse(hot.left));
        let rumours = self
            .hot
            .iter_mut()
            .take(MAX_RUMOURS)
            .map(|hot| {
                hot.left -= 1;
                hot.rumour.clone()
            })
            .collect();
        self.hot.retain(|hot| hot.left > 0);
        rumours
    }

    /// Takes in rumours. Returns the hosts that have a newer record than the sender goes
    /// by.
    pub fn hear(&mut self, cx: &mut Context, hosts: &mut Hosts, rumours: &[Rumour]) -> Vec<Name> {
        let mut outdated = Vec::new();
        for rumour in rumours {
            let name: &str = &rumour.name;
            if *name == *hosts.me.name {
                hosts.refute(rumour.stamp);
                outdated.push(hosts.me.name.clone());
            } else if hosts
                .map
                .get(name)
                .is_some_and(|it| it.stamp > rumour.stamp)
            {
                outdated.push(name.into());
            } else if hosts.suspect(cx, name, rumour.stamp) {
                self.spread(hosts, name, rumour.stamp);
            }
        }
        outdated
    }

    /// Takes in an answer. Returns when the probe was sent, if it was one of this
    /// host's, and what has to be passed on, if it was made for another.
    pub fn answered(
        &mut self,
        cx: &mut Context,
        hosts: &mut Hosts,
        from: &Name,
        incarnation: Incarnation,
        sequence: u64,
    ) -> (Option<Time>, Option<Answer>) {
        let favour = self
            .favours
            .iter()
            .position(|favour| favour.sequence == sequence)
            .map(|at| self.favours.swap_remove(at))
            .map(|favour| Answer {
                to: favour.asker,
                sequence: favour.asked,
                subject: from.clone(),
            });
        let sent = self
            .flights
            .iter()
            .position(|flight| flight.sequence == sequence && flight.target == *from)
            .map(|at| self.flights.swap_remove(at).sent);
        if sent.is_some() || favour.is_some() {
            self.last_answer = Some(cx.now);
            self.clear(from);
            hosts.answered(cx, from, incarnation);
        }
        (sent, favour)
    }

    /// A probe was answered through another host.
    pub fn vouched(&mut self, cx: &mut Context, sequence: u64, subject: &str) {
        self.last_answer = Some(cx.now);
        self.flights
            .retain(|flight| flight.sequence != sequence || *flight.target != *subject);
    }

    fn clear(&mut self, name: &str) {
        self.hot.retain(|hot| hot.rumour.name != name);
    }

    /// A host asks for a probe of another.
    pub fn favour(&mut self, cx: &Context, from: &Name, sequence: u64, target: &Name) -> Act {
        self.sequence += 1;
        self.favours.push(Favour {
            sequence: self.sequence,
            asker: from.clone(),
            asked: sequence,
            until: cx.now + cx.settings.heartbeat * FAIL_BEATS,
        });
        Act::Ping {
            to: target.clone(),
            sequence: self.sequence,
        }
    }

    /// A frame to a host could not be delivered: its answer need not be waited for.
    pub fn undelivered(&mut self, cx: &Context, to: &str) {
        let late = cx.settings.ack;
        for flight in &mut self.flights {
            if &*flight.target == to && cx.now.since(flight.sent) < late {
                flight.sent = Time::from_micros(
                    cx.now
                        .as_micros()
                        .saturating_sub(u64::try_from(late.as_micros()).unwrap_or(0)),
                );
            }
        }
    }
}

/// Suspects to be probed once more: those that did not answer this host, and now and then
/// one that others suspect, so that all hosts together probe it a few times.
fn suspects(cx: &mut Context, hosts: &Hosts) -> Vec<Name> {
    let (mut own, others): (Vec<&Host>, Vec<&Host>) = hosts
        .map
        .values()
        .filter(|host| host.health == Health::Suspect)
        .partition(|host| host.unanswered);
    cx.shuffle(&mut own);
    own.truncate(OWN_SUSPECTS);
    if !others.is_empty() && cx.below(hosts.size()) < SECOND_PROBES {
        own.push(others[cx.below(others.len())]);
    }
    own.into_iter().map(|host| host.peer.name.clone()).collect()
}

/// A random host that is dead and not gone.
fn dead_host(cx: &mut Context, hosts: &Hosts) -> Option<Name> {
    let dead: Vec<&Name> = hosts
        .map
        .iter()
        .filter(|(_, host)| host.health == Health::Dead)
        .filter(|(_, host)| host.peer.standing != mulberryrack_core::view::Standing::Gone)
        .map(|(name, _)| name)
        .collect();
    (!dead.is_empty()).then(|| dead[cx.below(dead.len())].clone())
}

/// Hosts of a data centre that do something for it, the same choice on every host.
pub(crate) fn chosen(hosts: &Hosts, purpose: &str, count: usize) -> Vec<Name> {
    let own = (!hosts.leaving).then_some(&hosts.me.name);
    let others = hosts
        .map
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

/// The span over which one call of each known host makes a number of calls a second.
pub(crate) fn share(hosts: &Hosts, calls_per_second: u32) -> Duration {
    let size = u32::try_from(hosts.map.len() + 1).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(size) / f64::from(calls_per_second.max(1)))
}
