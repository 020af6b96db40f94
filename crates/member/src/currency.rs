//! Evidence that the table in force is the newest one.

use mulberryrack_core::Time;
use std::time::Duration;

/// What a host can say about its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Currency {
    /// The service, or a peer that heard from it, has confirmed the version within the
    /// bound.
    Confirmed,
    /// Nobody confirms, but this host is in contact with most hosts of its data centre:
    /// the service is out of reach for all of them.
    Unconfirmed,
    /// Nobody confirms, and most hosts of the data centre are out of reach: a newer
    /// version may be in force on them. Also while there is no table.
    Isolated,
}

/// "At this moment the newest version was `version`, or an older one."
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evidence {
    pub version: u64,
    pub at: Time,
}

/// The newest evidence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proof {
    /// For a version that is in force here.
    held: Option<Evidence>,
    /// For a version that has not arrived yet.
    ahead: Option<Evidence>,
}

impl Proof {
    /// Takes evidence in, given the version in force here.
    pub fn add(&mut self, evidence: Evidence, mine: u64) {
        let slot = if evidence.version <= mine {
            &mut self.held
        } else {
            &mut self.ahead
        };
        if slot.is_none_or(|known| known.at < evidence.at) {
            *slot = Some(evidence);
        }
    }

    /// A version is in force here: evidence for it counts now.
    pub fn adopted(&mut self, mine: u64) {
        if let Some(evidence) = self.ahead.take() {
            self.add(evidence, mine);
        }
    }

    /// Evidence to pass on.
    pub const fn held(&self) -> Option<Evidence> {
        self.held
    }

    /// Age of the newest evidence.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.held.map(|evidence| now.since(evidence.at))
    }
}
