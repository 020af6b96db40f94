//! Renews the proof that the configuration is current, from other hosts by datagrams and from the
//! key-value service by calls beside the watch. Does nothing unless strict revocation is set.

use crate::{
    freshness::{self, CallStart},
    journal::journal,
    lateness, notices,
    shared::Shared,
    watch,
};
use mulberryrack_access::{Finding, Renewal, Statement};
use mulberryrack_core::{
    Time,
    kv::{Era, Op, Reply, Revision},
};
use mulberryrack_site::{Dialect, Settings};
use mulberryrack_wire::plan::{self, datagram::Body};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, task, time};

/// Longest wait for the answer to a call for a proof. The service answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of the renewal at this host.
pub struct Proofs {
    /// `None` unless strict revocation is set.
    renewal: RefCell<Option<Renewal>>,
    /// Whether hosts have registered or gone since they were adopted.
    hosts_changed: Cell<bool>,
    /// Revision up to which the changes have been applied, `None` until the next list; and how often
    /// the era had risen then. A revision of an earlier era says nothing in a later one.
    position: Cell<(Option<Revision>, u32)>,
    /// Start of the open watch; `None` while none is open.
    watch_begun: Cell<Option<Time>>,
    /// Whether a call for a proof is open.
    is_calling: Cell<bool>,
    /// Notified when the open watch is to be ended and made anew.
    pub catch_up: Notify,
    /// Notified when the proof is so old that this host calls the service itself; the watch then
    /// collects no further changes before its next call.
    pub old: Notify,
}

impl Proofs {
    pub fn new(settings: &Settings) -> Self {
        let renewal = settings
            .bounds
            .revocation_delay
            .map(|delay| Renewal::new(settings.host.clone(), settings.data_centre.clone(), delay));
        Self {
            renewal: RefCell::new(renewal),
            hosts_changed: Cell::new(true),
            position: Cell::default(),
            watch_begun: Cell::new(None),
            is_calling: Cell::new(false),
            catch_up: Notify::new(),
            old: Notify::new(),
        }
    }

    /// Records that the registered hosts have changed.
    pub fn record_hosts(&self) {
        self.hosts_changed.set(true);
    }

    /// The revision up to which all changes have been applied; `None` until the next list.
    pub const fn position(&self) -> Option<Revision> {
        self.position.get().0
    }

    /// Records the revision up to which changes have been applied, `None` if all are read anew,
    /// after the era has risen `rises` times.
    pub fn record_position(&self, position: Option<Revision>, rises: u32) {
        self.position.set((position, rises));
    }

    /// Records that a watch begins; it is open until what is returned is dropped.
    pub fn begin_watch(&self) -> OpenWatch<'_> {
        self.watch_begun.set(freshness::now());
        OpenWatch(self)
    }

    /// Whether a watch must be short, as the proof is too old to rely on other hosts.
    pub fn is_fallback(&self, age: Option<Duration>) -> bool {
        let renewal = self.renewal.borrow();
        renewal.as_ref().is_none_or(|it| it.is_fallback(age))
    }
}

/// An open watch.
pub struct OpenWatch<'a>(&'a Proofs);

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0.watch_begun.set(None);
    }
}

/// Sends queries and calls the service when due, until the process ends.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let tick = {
        let renewal = shared.proofs.renewal.borrow();
        renewal.as_ref().map(Renewal::tick)
    };
    let Some(tick) = tick else { return };
    loop {
        time::sleep(tick).await;
        step(&shared);
    }
}

fn step<D: Dialect>(shared: &Rc<Shared<D>>) {
    let proofs = &shared.proofs;
    let mut renewal = proofs.renewal.borrow_mut();
    let (Some(renewal), Some(now)) = (renewal.as_mut(), freshness::now()) else {
        return;
    };
    if proofs.hosts_changed.replace(false) {
        let hosts = shared.hosts.borrow();
        let registrations = hosts.values().map(|(registration, _)| registration);
        renewal.set_hosts(registrations.map(|it| (&it.host, &it.data_centre)));
    }
    let step = renewal.poll(now, shared.freshness.age(), rand::random);
    for (host, nonce) in &step.queries {
        let query = plan::ProofQuery { nonce: *nonce };
        notices::send_to_host(shared, host, Body::ProofQuery(query));
    }
    if let Some(begun) = proofs.watch_begun.get()
        && renewal.must_catch_up(now, shared.freshness.is_behind(), begun)
    {
        proofs.catch_up.notify_waiters();
    }
    // After a failed call, the watch is tried again often enough.
    if step.calls_service && shared.store_reached.get() {
        // Between two watches, the next one begins at once and gives the proof.
        proofs.old.notify_waiters();
        if proofs.watch_begun.get().is_some() && !proofs.is_calling.replace(true) {
            task::spawn_local(call(shared.clone()));
        }
    }
}

/// Calls the service for a proof. If the configuration has changed, or the service does not answer, the
/// watch is made anew.
async fn call<D: Dialect>(shared: Rc<Shared<D>>) {
    let (position, rises) = shared.proofs.position.get();
    if let Some(after) = position.filter(|_| rises == shared.store.rises()) {
        let op = Op::Watch {
            prefix: shared.dialect.config_key().into(),
            after,
            wait: Duration::ZERO,
        };
        let start = CallStart::now();
        let outcome = lateness::timeout(CALL_TIMEOUT, shared.store.call(&op)).await;
        match outcome {
            Ok(Ok(Reply::Changes {
                entries,
                deleted,
                revision,
            })) => {
                let era = shared.store.read_era();
                if entries.is_empty() && deleted.is_empty() {
                    watch::record_answer(&shared, start, era, revision);
                } else {
                    // The change is left to the open watch, which applies changes in order. If it does
                    // not arrive there, that is made anew, as the host is behind.
                    shared.freshness.record_revision(era, revision);
                }
            }
            _ => shared.proofs.catch_up.notify_waiters(),
        }
    }
    shared.proofs.is_calling.set(false);
}

/// The version of the configuration in force.
fn version<D>(shared: &Shared<D>) -> Option<u64> {
    shared.gate.borrow().config().map(|it| it.version)
}

/// Answers another host that asks for a proof, if this host has one.
pub fn answer<D>(shared: &Shared<D>, query: plan::ProofQuery, sender: SocketAddr) {
    let Some(version) = version(shared) else {
        return;
    };
    let Some(statement) = shared.freshness.state(version) else {
        return;
    };
    let answer = plan::ProofAnswer {
        nonce: query.nonce,
        age_ms: u32::try_from(statement.age.as_millis()).unwrap_or(u32::MAX),
        era: statement.era.map(|era| era.0),
        revision: statement.revision.0,
        version,
    };
    notices::send(shared, Body::ProofAnswer(answer), sender);
}

/// Records the answer of another host.
pub fn receive<D: Dialect>(shared: &Shared<D>, answer: plan::ProofAnswer) {
    let asked_at = {
        let mut renewal = shared.proofs.renewal.borrow_mut();
        let (Some(renewal), Some(now)) = (renewal.as_mut(), freshness::now()) else {
            return;
        };
        renewal.take(now, answer.nonce)
    };
    let (Some(asked_at), Some(version)) = (asked_at, version(shared)) else {
        return;
    };
    let statement = Statement {
        age: Duration::from_millis(u64::from(answer.age_ms)),
        era: answer.era.map(Era),
        revision: Revision(answer.revision),
        version: answer.version,
    };
    watch::record_known_revisions(shared);
    match shared
        .freshness
        .record_statement(asked_at, version, statement)
    {
        Finding::Proof => shared.metrics.record_proof("host"),
        Finding::Newer => {
            journal!(
                debug,
                "newer-configuration-stated",
                version = answer.version,
                revision = answer.revision
            );
            if let Some(era) = statement.era {
                // All is read anew if the era is newer than the known one.
                shared.store.follow_era(era);
            }
        }
        Finding::Nothing => {}
    }
}
