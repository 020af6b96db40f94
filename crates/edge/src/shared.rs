//! What the parts of a host share. One thread uses it; no part holds a borrow while it
//! waits.

use crate::{client::Client, clock::Clock, metrics::Metrics, registration::Seat, store::Store};
use mulberryrack_core::{Name, Time, kv::Revision};
use mulberryrack_fleet::{Claim, Planner};
use mulberryrack_gate::Gate;
use mulberryrack_site::Settings;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};
use tokio::{net::UdpSocket, sync::Notify};

/// How far a host is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It knows no configuration yet.
    Starting,
    /// It serves.
    Serving,
    /// It serves who still comes, and is to end.
    Leaving,
    /// It takes no connections any more.
    Closing,
}

/// State of one host.
pub struct Shared<D> {
    pub dialect: Rc<D>,
    pub settings: Settings,
    pub clock: Clock,
    pub client: Rc<Client>,
    pub store: Store<D>,
    pub metrics: Rc<Metrics>,
    /// Datagrams between hosts, on the port of the calls between them.
    pub datagrams: UdpSocket,
    pub gate: RefCell<Gate>,
    pub planner: RefCell<Planner>,
    pub claim: RefCell<Claim>,
    /// Hosts that serve, this one included, with the revision of their keys.
    pub hosts: RefCell<BTreeMap<Name, (Seat, Revision)>>,
    /// The host that holds the claim to give orders, and the revision of its key.
    pub holder: RefCell<Option<(Seat, Revision)>>,
    pub phase: Cell<Phase>,
    /// Whether the key-value service answered the last watch.
    pub store_reached: Cell<bool>,
    /// Told when the key-value service answers again after it has not: a watch that waits
    /// there may have been forgotten.
    pub store_back: Notify,
    /// Told when upstreams, placements or hosts have changed.
    pub changed: Notify,
    /// Told when the phase has changed.
    pub phased: Notify,
    /// Requests without a final answer.
    pub open: Cell<usize>,
    /// When a caller's request came last.
    pub last_request: Cell<Time>,
    /// Callers' connections.
    pub connections: Cell<usize>,
}

impl<D> Shared<D> {
    /// What this host says of itself.
    pub fn seat(&self) -> Seat {
        Seat {
            host: self.settings.host.clone(),
            data_centre: self.settings.data_centre.clone(),
            callers: self.settings.caller_address,
            peers: self.settings.peer_address,
        }
    }

    /// The other hosts that serve.
    pub fn others(&self) -> Vec<Seat> {
        let hosts = self.hosts.borrow();
        let seats = hosts.values().map(|(seat, _)| seat);
        let other = |seat: &&Seat| seat.host != self.settings.host;
        seats.filter(other).cloned().collect()
    }

    /// Moves on to a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.phased.notify_waiters();
    }

    /// Whether new callers should come.
    pub fn ready(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Whether this host is on its way out.
    pub fn leaving(&self) -> bool {
        matches!(self.phase.get(), Phase::Leaving | Phase::Closing)
    }
}
