//! The state machine of the membership area.

mod frame;
mod send;
mod tick;

use crate::{
    AddressAnswer, Freshness, Input, Output, Progress, Settings, address,
    context::Context,
    freshness::NewestEvidence,
    gossip::Gossip,
    hosts::Hosts,
    probe::Prober,
    proposal::Proposal,
    table_store::{Parts, TableStore},
    table_sync::TableSync,
};
use mulberryrack_core::{
    Name, Time, earliest,
    outcome::Reason,
    view::{Peer, View},
};
use mulberryrack_table::Table;
use std::{collections::BTreeMap, sync::Arc};

/// State of the first copy of all values, which a new host reads from another host in key
/// order.
#[derive(Clone, Debug)]
enum InitialFetch {
    /// No host has answered a probe yet.
    Wanted,
    /// A page of the values after the key `after` was requested from `peer`.
    Requested {
        peer: Name,
        after: String,
        sent: Time,
    },
    /// All values have been read.
    Done,
}

/// Probes of the hosts that have not yet confirmed a version accepted at this host.
#[derive(Clone, Copy, Debug)]
struct RolloutCheck {
    version: u64,
    next_probe: Time,
    deadline: Time,
}

/// The membership area of one host: health of the other hosts, replicated values, the
/// table in force, and address answers.
///
/// Invariant: within one life, the version of the table in force never decreases.
pub struct Member {
    cx: Context,
    hosts: Hosts,
    prober: Prober,
    gossip: Gossip,
    table_sync: TableSync,
    evidence: NewestEvidence,
    table_store: TableStore,
    fetch: InitialFetch,
    rollout_check: Option<RolloutCheck>,
    /// When to confirm the version in force to the host at which it was proposed, by name
    /// of that host.
    confirms_due: BTreeMap<Name, Time>,
    /// When the collected values are announced; `None` if no value waits.
    next_announce: Option<Time>,
    /// When values are next compared with another host.
    next_repair: Time,
    /// When this host started to leave.
    leaving_since: Option<Time>,
    /// Counts address answers, to rotate the order of the near hosts.
    rotation: usize,
}

impl Member {
    /// Creates the state machine for one life of the host `me`. `seed` determines all
    /// random choices.
    #[must_use]
    pub fn new(settings: Settings, me: Peer, seed: u64, now: Time) -> Self {
        let mut cx = Context::new(settings, seed, now);
        let repair = cx.settings.repair_interval;
        Self {
            hosts: Hosts::new(&cx, me),
            prober: Prober::new(&mut cx),
            gossip: Gossip::new(),
            table_sync: TableSync::new(),
            evidence: NewestEvidence::default(),
            table_store: TableStore::new(&cx),
            fetch: InitialFetch::Wanted,
            rollout_check: None,
            confirms_due: BTreeMap::new(),
            next_announce: None,
            next_repair: now + cx.jitter(repair),
            leaving_since: None,
            rotation: 0,
            cx,
        }
    }

    /// Handles an event at the time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.cx.now = now;
        let before = self.table_sync.version();
        match input {
            Input::Frame {
                from,
                incarnation,
                frame,
            } => {
                if let Some(body) = frame.body {
                    self.on_frame(&from, incarnation, body);
                }
            }
            Input::Undelivered { to } => self.prober.on_undelivered(&self.cx, &to),
            Input::Listing(list) => self.on_listing(list),
            Input::Kv { token, outcome } => {
                let (store, cx, mut parts) = self.split_store();
                store.on_outcome(cx, &mut parts, token, outcome);
            }
            Input::Publish(value) => self.publish(&value),
            Input::Propose {
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
                let proposal =
                    Proposal::new(ticket, table, &self.hosts.me.name, now, &self.cx.settings);
                self.table_store.propose(&mut self.cx, proposal);
            }
            Input::Read { ticket, version } => self.table_store.read(&mut self.cx, ticket, version),
            Input::Leave => {
                self.leaving_since.get_or_insert(now);
                self.hosts.leave();
            }
            Input::Wake => {}
        }
        self.tick();
        if self.table_sync.version() > before {
            self.on_adopted();
        }
        out.append(&mut self.cx.out);
    }

    /// The time at which [`Input::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let fetch = match &self.fetch {
            InitialFetch::Requested { sent, .. } => Some(*sent + tick::FETCH_TIMEOUT),
            InitialFetch::Wanted | InitialFetch::Done => None,
        };
        [
            self.hosts.next_wake(),
            self.prober.next_wake(&self.cx),
            self.table_store.next_wake(),
            self.table_sync.next_wake(),
            self.next_announce,
            self.confirms_due.values().min().copied(),
            self.rollout_check.map(|check| check.next_probe),
            fetch,
        ]
        .into_iter()
        .fold(Some(self.next_repair), earliest)
    }

    /// All hosts as this host sees them, including itself.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.hosts.view()
    }

    /// The table in force on this host.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table_sync.table().cloned()
    }

    /// Whether the table in force was confirmed within [`Settings::max_evidence_age`].
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        self.freshness(now) == Freshness::Confirmed
    }

    /// How recently the table in force was confirmed to be the newest version.
    #[must_use]
    pub fn freshness(&self, now: Time) -> Freshness {
        let bound = self.cx.settings.max_evidence_age;
        if self.table_sync.table().is_none() {
            Freshness::Isolated
        } else if self.evidence.age(now).is_some_and(|age| age <= bound) {
            Freshness::Confirmed
        } else if self.hosts.sees_majority() {
            Freshness::Unconfirmed
        } else {
            Freshness::Isolated
        }
    }

    /// Whether this host takes new callers: it has a table, is not isolated, and is not
    /// leaving.
    #[must_use]
    pub fn ready(&self, now: Time) -> bool {
        self.freshness(now) != Freshness::Isolated && self.leaving_since.is_none()
    }

    /// Selects the hosts that a caller connects to for a row. `demand` is the number of
    /// hosts that the load of the row needs, 0 if unknown.
    ///
    /// # Errors
    ///
    /// [`Reason::NoTable`] without a table, or when this host is isolated;
    /// [`Reason::UnknownTarget`] if no row has the name; [`Reason::Draining`] if every
    /// host is leaving.
    pub fn addresses(
        &mut self,
        now: Time,
        target: &str,
        demand: u32,
    ) -> Result<AddressAnswer, Reason> {
        let table = self.table_sync.table().cloned().ok_or(Reason::NoTable)?;
        if self.freshness(now) == Freshness::Isolated {
            return Err(Reason::NoTable);
        }
        let row = table.row(target).ok_or(Reason::UnknownTarget)?;
        self.rotation = self.rotation.wrapping_add(1);
        let answer =
            address::select_hosts(&self.cx, &self.hosts, &table, row, demand, self.rotation);
        if answer.addresses.is_empty() {
            return Err(Reason::Draining);
        }
        Ok(answer)
    }

    /// The table version known to be in force on each reachable host, including this one.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let me = (self.hosts.me.name.clone(), self.table_sync.version());
        let others = self
            .hosts
            .others
            .values()
            .filter(|host| host.reachable())
            .map(|host| (host.peer.name.clone(), host.table_version));
        let mut hosts: Vec<(Name, u64)> = others.chain([me]).collect();
        hosts.sort();
        Progress { hosts }
    }

    /// The time at which every address answer that named this host has expired; `None`
    /// before [`Input::Leave`].
    #[must_use]
    pub fn leave_until(&self) -> Option<Time> {
        let settings = &self.cx.settings;
        self.leaving_since
            .map(|at| at + settings.leave_delay + settings.address_lifetime)
    }

    /// Number of calls made to the key-value service since the start.
    #[must_use]
    pub const fn kv_calls(&self) -> u64 {
        self.table_store.total_calls
    }

    /// Borrows the table store together with the parts that it uses.
    fn split_store(&mut self) -> (&mut TableStore, &mut Context, Parts<'_>) {
        let parts = Parts {
            hosts: &self.hosts,
            table_sync: &mut self.table_sync,
            evidence: &mut self.evidence,
        };
        (&mut self.table_store, &mut self.cx, parts)
    }

    fn on_listing(&mut self, list: Option<Arc<[mulberryrack_core::node::Listing]>>) {
        let Some(list) = list else {
            return;
        };
        self.hosts.apply_listing(&mut self.cx, &list);
        let actions = self.prober.first_contact(&mut self.cx, &self.hosts);
        self.run_actions(actions);
    }
}
