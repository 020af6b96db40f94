//! Evidence that the table in force is the newest version.

use mulberryrack_core::Time;
use std::time::Duration;

/// How recently the table in force was confirmed to be the newest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Freshness {
    /// The key-value service, or a host with evidence from the service, has confirmed the
    /// version within [`Settings::max_evidence_age`](crate::Settings::max_evidence_age).
    Confirmed,
    /// There is no recent confirmation, but this host is in contact with most hosts of
    /// its data centre, which have none either: the key-value service is unreachable or
    /// stale, rather than this host being cut off.
    Unconfirmed,
    /// There is no recent confirmation, and most hosts of the data centre are
    /// unreachable: a newer version may be in force on them. Also the state of a host
    /// without a table.
    Isolated,
}

/// The statement that the newest version at the moment `at` was `version` or a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evidence {
    pub version: u64,
    pub at: Time,
}

/// The newest evidence for the version in force and for a version that has yet to arrive.
#[derive(Clone, Debug, Default)]
pub(crate) struct NewestEvidence {
    /// For a version that is in force here.
    in_force: Option<Evidence>,
    /// For a version that has not arrived yet.
    pending: Option<Evidence>,
}

impl NewestEvidence {
    /// Records evidence; `own_version` is the version in force on this host.
    pub fn add(&mut self, evidence: Evidence, own_version: u64) {
        let slot = if evidence.version <= own_version {
            &mut self.in_force
        } else {
            &mut self.pending
        };
        if slot.is_none_or(|known| known.at < evidence.at) {
            *slot = Some(evidence);
        }
    }

    /// Re-evaluates the pending evidence after a version came into force.
    pub fn on_adopted(&mut self, own_version: u64) {
        if let Some(evidence) = self.pending.take() {
            self.add(evidence, own_version);
        }
    }

    /// The newest evidence for the version in force, as probes and acks carry it.
    pub const fn in_force(&self) -> Option<Evidence> {
        self.in_force
    }

    /// Age of the newest evidence for the version in force; `None` without any.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.in_force.map(|evidence| now.since(evidence.at))
    }
}
