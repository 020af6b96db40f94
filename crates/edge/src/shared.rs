//! The state that all tasks of a host share. All tasks run on one thread. Invariant: no
//! task holds a `RefCell` borrow across an `await`.

use crate::{
    client::Client, clock::Clock, eras::Unconfirmed, freshness::ConfigFreshness,
    holdings::Holdings, lateness::Lateness, listing::Listing, metrics::Metrics, permits::Asked,
    proofs::Proofs, registration::Registration, store::Store, usage::Usage,
};
use mulberryrack_core::{
    Name, Time,
    kv::{Era, Revision},
};
use mulberryrack_fleet::{Claim, ClaimState, Fence, Planner, succession::Succession};
use mulberryrack_gate::{Gate, UpstreamId};
use mulberryrack_site::{Dialect, Settings};
use mulberryrack_suspect::{Gossip, Subject};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use tokio::{net::UdpSocket, sync::Notify};

/// The phase of a host's life. Phases follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The host has no configuration yet.
    Starting,
    /// The host serves and is in the answers to address queries.
    Serving,
    /// The process was told to stop. The host still accepts connections and requests, but
    /// callers are no longer sent to it.
    Leaving,
    /// The host accepts no connections any more and waits for its last requests.
    Closing,
    /// Every request gets its final answer now, since the process is about to end.
    Ending,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Time from which on a request is taken only if its deadline is before the final answers.
    pub takes_all_until: Time,
    /// Time at which each request gets its final answer.
    pub answers_at: Time,
}

/// The state of one host.
pub struct Shared<D> {
    pub dialect: Rc<D>,
    pub settings: Settings,
    pub clock: Clock,
    pub client: Rc<Client>,
    pub store: Store<D>,
    /// The listing of all keys that is under way.
    pub listing: Listing,
    pub metrics: Rc<Metrics>,
    /// Whether the configuration in force is provably current.
    pub freshness: ConfigFreshness,
    /// How that proof is renewed.
    pub proofs: Proofs,
    /// Socket for datagrams between hosts. It has the port of the calls between hosts.
    pub datagrams: UdpSocket,
    pub gate: RefCell<Gate>,
    pub planner: RefCell<Planner>,
    pub claim: RefCell<Claim>,
    /// Number of this process, by which other hosts tell it from earlier and later ones.
    pub incarnation: u64,
    /// The record of this host's claim.
    pub succession: RefCell<Succession>,
    /// The newest claim that this host has seen or was told of. It agrees to no extension of an
    /// older one.
    pub newest_claim: Cell<Fence>,
    /// Spreads the gate's evidence on requests that crash upstreams.
    pub gossip: RefCell<Gossip>,
    /// Notified when there is evidence to send to the other hosts.
    pub suspects_changed: Notify,
    /// Notified when requests may have become refused whose keys are not written yet.
    pub refusals_changed: Notify,
    /// Refused subjects that have a key in the key-value service.
    pub written_refusals: RefCell<BTreeSet<Subject>>,
    /// Notified when tokens of limited upstreams may fall due at another time.
    pub tokens_changed: Notify,
    /// The quotas of organisations.
    pub usage: Usage,
    /// Numbers of the requests that have asked another host for a permit.
    pub permits_asked: RefCell<BTreeMap<u64, Asked>>,
    /// Upstreams that are probed now, to find out whether they have ended.
    pub probed: RefCell<BTreeSet<UpstreamId>>,
    /// Upstreams that have stated a limit on requests that cannot be read.
    pub malformed_limits: RefCell<BTreeSet<UpstreamId>>,
    /// Notified when a probe of an upstream has ended.
    pub probe_ended: Notify,
    /// Registered hosts, this host included, with the revisions of their keys.
    pub hosts: RefCell<BTreeMap<Name, (Registration, Revision)>>,
    /// The host that holds the claim to give orders, and its claim; `None` if nobody holds it.
    pub holder: RefCell<Option<(Registration, Fence)>>,
    /// The era of the key-value service in which the deployment began, once it is known.
    pub first_era: Cell<Option<Era>>,
    /// What the key-value service lacked when it came back from an older copy.
    pub unconfirmed: RefCell<Unconfirmed>,
    pub phase: Cell<Phase>,
    /// Times of the planned stop, once the process was told to stop.
    pub stop: Cell<Option<Stop>>,
    /// Whether the key-value service answered the last list or watch call.
    pub store_reached: Cell<bool>,
    /// Notified when upstreams, placements or hosts have changed.
    pub changed: Notify,
    /// Notified when the phase has changed.
    pub phase_changed: Notify,
    /// Number of admitted requests without a final answer.
    pub open_requests: Cell<usize>,
    /// Time from which a preview of a request is answered again.
    pub next_preview: Cell<Time>,
    /// Time at which the last request of a caller arrived.
    pub last_request: Cell<Time>,
    /// Number of open connections of callers.
    pub caller_connections: Cell<usize>,
    /// How late the thread is.
    pub lateness: Lateness,
    /// What is held for callers; `None` if the settings name no memory.
    pub holdings: Option<Rc<Holdings>>,
}

impl<D: Dialect> Shared<D> {
    /// Whether this host may give orders.
    pub fn claim_state(&self, now: Time) -> ClaimState {
        self.claim.borrow().state(now, self.store.era())
    }
}

impl<D> Shared<D> {
    /// The registration that this host writes to the key-value service.
    pub fn registration(&self) -> Registration {
        Registration {
            host: self.settings.host.clone(),
            data_centre: self.settings.data_centre.clone(),
            callers: self.settings.caller_address,
            peers: self.settings.peer_address,
            millicores: self.settings.millicores,
            incarnation: self.incarnation,
        }
    }

    /// Records in the account of the link what has crossed it.
    pub fn record_traffic(&self) {
        let totals = self.metrics.traffic.sum();
        let mut uplink = self.store.uplink.borrow_mut();
        uplink.record_totals(self.clock.now(), totals);
    }

    /// The registrations of the other hosts.
    pub fn other_hosts(&self) -> Vec<Registration> {
        let hosts = self.hosts.borrow();
        let registrations = hosts.values().map(|(registration, _)| registration);
        let is_other = |registration: &&Registration| registration.host != self.settings.host;
        registrations.filter(is_other).cloned().collect()
    }

    /// Sets the phase and notifies the tasks that wait for a change.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_changed.notify_waiters();
    }

    /// Sets which host holds the claim to give orders.
    pub fn set_holder(&self, holder: Option<(Registration, Fence)>) {
        let mut gate = self.gate.borrow_mut();
        gate.set_planner_active(holder.is_some());
        if holder.is_some() {
            self.unconfirmed.borrow_mut().claim = false;
        }
        *self.holder.borrow_mut() = holder;
    }

    /// Whether callers should send requests to this host.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Whether the process was told to stop.
    pub fn is_leaving(&self) -> bool {
        matches!(
            self.phase.get(),
            Phase::Leaving | Phase::Closing | Phase::Ending
        )
    }

    /// Whether the host accepts no connections any more.
    pub fn is_closing(&self) -> bool {
        matches!(self.phase.get(), Phase::Closing | Phase::Ending)
    }

    /// Whether a request with this deadline is not taken, as the process may end before it.
    pub fn outlasts_stop(&self, now: Time, deadline: Time) -> bool {
        self.stop
            .get()
            .is_some_and(|stop| now >= stop.takes_all_until && deadline > stop.answers_at)
    }

    /// Returns once each request has to get its final answer.
    pub async fn ending(&self) {
        loop {
            let changed = self.phase_changed.notified();
            if self.phase.get() == Phase::Ending {
                return;
            }
            changed.await;
        }
    }
}
