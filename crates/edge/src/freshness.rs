//! Whether the configuration in force is provably current, which strict revocation of keys
//! requires.

use crate::{journal::journal, shared::Shared};
use mulberryrack_access::{Answer, Finding, Freshness, Statement};
use mulberryrack_core::{
    Time,
    kv::{Era, Revision},
};
use nix::time::{ClockId, clock_gettime};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time;

/// Interval at which the age is written to the metrics, and the log if the proof has expired.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The current time on a clock that runs on while the machine is suspended; `None` if it cannot be
/// read.
pub fn now() -> Option<Time> {
    let now = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
    Some(Time::ZERO + now)
}

/// The start of a call to the key-value service.
#[derive(Clone, Copy, Debug)]
pub struct CallStart(Option<Time>);

impl CallStart {
    /// A call that starts now.
    pub fn now() -> Self {
        Self(now())
    }
}

/// Whether the configuration in force is provably current.
pub struct ConfigFreshness {
    proof: RefCell<Freshness>,
    /// Whether the log says that the configuration is stale.
    is_reported_stale: Cell<bool>,
}

impl ConfigFreshness {
    /// Without a revocation delay, every configuration counts as current.
    pub fn new(revocation_delay: Option<Duration>) -> Self {
        Self {
            proof: RefCell::new(Freshness::new(revocation_delay)),
            is_reported_stale: Cell::new(false),
        }
    }

    /// Whether the configuration in force is provably current enough for keys to be valid.
    pub fn is_current(&self) -> bool {
        // Without a time, only a host that requires no proof has a current configuration.
        let now = now().unwrap_or(Time::MAX);
        self.proof.borrow().is_current(now)
    }

    /// Records that an entry with the configuration was read: whether it, or a newer one, is now in
    /// force.
    pub fn record_configuration(&self, is_in_force: bool) {
        self.proof.borrow_mut().record_configuration(is_in_force);
    }

    /// Records a revision that the service has reached in an era.
    pub fn record_revision(&self, era: Option<Era>, revision: Revision) {
        self.proof.borrow_mut().record_revision(era, revision);
        self.remember();
    }

    /// Records a complete answer to a list, or to a watch from the revision that was applied, whose
    /// changes have been applied. Returns whether it is a proof.
    pub fn record_answer(&self, start: CallStart, era: Option<Era>, revision: Revision) -> bool {
        let CallStart(Some(begun_at)) = start else {
            return false;
        };
        let is_proof = self.proof.borrow_mut().record_answer(Answer {
            begun_at,
            era,
            revision,
        });
        self.remember();
        is_proof
    }

    /// Records the statement of another host that was asked at a time of [`now`]. `version` is that
    /// of the configuration in force.
    pub fn record_statement(&self, asked_at: Time, version: u64, statement: Statement) -> Finding {
        let finding = {
            let mut proof = self.proof.borrow_mut();
            proof.record_statement(asked_at, version, statement)
        };
        self.remember();
        finding
    }

    fn remember(&self) {
        if let Some(now) = now() {
            self.proof.borrow_mut().remember(now);
        }
    }

    /// What this host states of its proof to another host, if it has one that holds.
    pub fn state(&self, version: u64) -> Option<Statement> {
        self.proof.borrow().state(now()?, version)
    }

    /// Whether the service is known to be newer than what has been applied.
    pub fn is_behind(&self) -> bool {
        self.proof.borrow().is_behind()
    }

    /// Age of the proof; `None` if there is none.
    pub fn age(&self) -> Option<Duration> {
        self.proof.borrow().age(now()?)
    }
}

/// Reports the age of the configuration, and when it becomes stale and current again, until the
/// process ends.
pub async fn run<D>(shared: Rc<Shared<D>>) {
    loop {
        report(&shared);
        time::sleep(REPORT_INTERVAL).await;
    }
}

fn report<D>(shared: &Shared<D>) {
    let freshness = &shared.freshness;
    // Before the first proof, the host has just started.
    let Some(age) = freshness.age() else {
        return;
    };
    shared.metrics.config_age_seconds.set(age.as_secs_f64());
    let has_organisations = {
        let gate = shared.gate.borrow();
        gate.config().is_some_and(|it| it.organisations.is_some())
    };
    let is_stale = has_organisations && !freshness.is_current();
    if freshness.is_reported_stale.replace(is_stale) == is_stale {
        return;
    }
    let version = shared.metrics.config_version.get();
    let age_ms = age.as_millis();
    if is_stale {
        journal!(
            info,
            "configuration-stale",
            version = version,
            age_ms = age_ms
        );
    } else {
        journal!(
            info,
            "configuration-fresh",
            version = version,
            age_ms = age_ms
        );
    }
}
