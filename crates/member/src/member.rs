//! The membership area as one state machine.

mod duty;
mod frame;
mod send;

use crate::{
    Address, Currency, Input, Output, Progress, Settings, address,
    context::Context,
    currency::Proof,
    hosts::Hosts,
    probe::Prober,
    proposal::Proposal,
    relay::Relay,
    spread::Spread,
    store::{Parts, Store},
};
use mulberryrack_core::{
    Name, Time, earliest,
    outcome::Reason,
    view::{Peer, View},
};
use mulberryrack_table::Table;
use std::sync::Arc;

/// A peer's values are being read in order of key.
#[derive(Clone, Debug)]
enum Fetch {
    Wanted,
    Asked { peer: Name, after: String, at: Time },
    Done,
}

/// Hosts are asked whether a version made here is in force.
#[derive(Clone, Copy, Debug)]
struct Chase {
    version: u64,
    next: Time,
    until: Time,
}

/// Membership of hosts, spreading of values, the table in force, address answers.
///
/// Invariant: the version of the table in force only rises in one life.
pub struct Member {
    cx: Context,
    hosts: Hosts,
    prober: Prober,
    spread: Spread,
    relay: Relay,
    proof: Proof,
    store: Store,
    fetch: Fetch,
    chase: Option<Chase>,
    /// Who wants to hear that a version is in force here.
    origin: Option<(u64, Name)>,
    confirm: Option<(Time, u64, Name)>,
    announce_at: Option<Time>,
    repair_at: Time,
    left_at: Option<Time>,
    turn: usize,
}

impl Member {
    /// The state machine of one life of the host `me`.
    #[must_use]
    pub fn new(settings: Settings, me: Peer, seed: u64, now: Time) -> Self {
        let mut cx = Context::new(settings, seed, now);
        let repair = cx.settings.repair;
        Self {
            hosts: Hosts::new(&cx, me),
            prober: Prober::new(&mut cx),
            spread: Spread::new(),
            relay: Relay::new(),
            proof: Proof::default(),
            store: Store::new(&cx),
            fetch: Fetch::Wanted,
            chase: None,
            origin: None,
            confirm: None,
            announce_at: None,
            repair_at: now + cx.jitter(repair),
            left_at: None,
            turn: 0,
            cx,
        }
    }

    /// Takes in what happened, and pushes what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.cx.now = now;
        let before = self.relay.version();
        match input {
            Input::Frame {
                from,
                incarnation,
                frame,
            } => {
                if let Some(body) = frame.body {
                    self.frame(&from, incarnation, body);
                }
            }
            Input::Undelivered { to } => self.prober.undelivered(&self.cx, &to),
            Input::Listing(list) => self.listing(list),
            Input::Kv { token, outcome } => {
                let (store, cx, mut parts) = self.store();
                store.outcome(cx, &mut parts, token, outcome);
            }
            Input::Publish(value) => self.publish(&value),
            Input::Accept {
                ticket,
                parent,
                change,
                author,
                rows,
            } => {
                let table = Table {
                    version: parent + 1,
                    change,
                    author,
                    rows,
                };
                let proposal = Proposal::new(ticket, table, now, &self.cx.settings);
                self.store.propose(&mut self.cx, proposal);
            }
            Input::Read { ticket, version } => self.store.read(&mut self.cx, ticket, version),
            Input::Leave => {
                self.left_at.get_or_insert(now);
                self.hosts.leave();
            }
            Input::Wake => {}
        }
        self.tick();
        if self.relay.version() > before {
            self.adopted();
        }
        out.append(&mut self.cx.out);
    }

    /// When [`Input::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let fetch = match &self.fetch {
            Fetch::Asked { at, .. } => Some(*at + duty::FETCH_AGAIN),
            Fetch::Wanted | Fetch::Done => None,
        };
        [
            self.hosts.next_wake(),
            self.prober.next_wake(&self.cx),
            self.store.next_wake(),
            self.relay.next_wake(),
            self.announce_at,
            self.confirm.as_ref().map(|(at, _, _)| *at),
            self.chase.map(|chase| chase.next),
            fetch,
        ]
        .into_iter()
        .fold(Some(self.repair_at), earliest)
    }

    /// The hosts as this one sees them.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.hosts.view()
    }

    /// The version in force here.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.relay.table().cloned()
    }

    /// Whether the table can be shown to be current within the bound.
    #[must_use]
    pub fn current(&self, now: Time) -> bool {
        self.currency(now) == Currency::Confirmed
    }

    /// What can be said of the table in force here.
    #[must_use]
    pub fn currency(&self, now: Time) -> Currency {
        let bound = self.cx.settings.current;
        if self.relay.table().is_none() {
            Currency::Isolated
        } else if self.proof.age(now).is_some_and(|age| age <= bound) {
            Currency::Confirmed
        } else if self.hosts.majority() {
            Currency::Unconfirmed
        } else {
            Currency::Isolated
        }
    }

    /// Whether this host takes new callers: it has a table, is not cut off, and is not
    /// leaving.
    #[must_use]
    pub fn ready(&self, now: Time) -> bool {
        self.currency(now) != Currency::Isolated && self.left_at.is_none()
    }

    /// Which hosts a caller connects to for a row. `demand` is the number of hosts that
    /// its load needs, 0 if not known.
    ///
    /// # Errors
    ///
    /// [`Reason::NoTable`] without a table, or when this host is cut off;
    /// [`Reason::UnknownTarget`] if no row has the name; [`Reason::Draining`] if every
    /// host is leaving.
    pub fn address(&mut self, now: Time, target: &str, demand: u32) -> Result<Address, Reason> {
        let table = self.relay.table().cloned().ok_or(Reason::NoTable)?;
        if self.currency(now) == Currency::Isolated {
            return Err(Reason::NoTable);
        }
        let row = table.row(target).ok_or(Reason::UnknownTarget)?;
        self.turn = self.turn.wrapping_add(1);
        let answer = address::answer(&self.cx, &self.hosts, &table, row, demand, self.turn);
        if answer.addresses.is_empty() {
            return Err(Reason::Draining);
        }
        Ok(answer)
    }

    /// Which version is known to be in force on each host that is not dead.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let me = (self.hosts.me.name.clone(), self.relay.version());
        let others = self
            .hosts
            .map
            .values()
            .filter(|host| host.reachable())
            .map(|host| (host.peer.name.clone(), host.table));
        let mut hosts: Vec<(Name, u64)> = others.chain([me]).collect();
        hosts.sort();
        Progress { hosts }
    }

    /// After [`Input::Leave`]: when every address answer that named this host has run
    /// out.
    #[must_use]
    pub fn leave_until(&self) -> Option<Time> {
        let settings = &self.cx.settings;
        self.left_at
            .map(|at| at + settings.leave + settings.address)
    }

    /// Calls made to the key-value service since the start.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.store.total
    }

    fn store(&mut self) -> (&mut Store, &mut Context, Parts<'_>) {
        let parts = Parts {
            hosts: &self.hosts,
            relay: &mut self.relay,
            proof: &mut self.proof,
        };
        (&mut self.store, &mut self.cx, parts)
    }

    fn listing(&mut self, list: Option<Arc<[mulberryrack_core::node::Listing]>>) {
        let Some(list) = list else {
            return;
        };
        self.hosts.listing(&mut self.cx, &list);
        let acts = self.prober.contact(&mut self.cx, &self.hosts);
        self.act(acts);
    }
}
