//! Succession of the holders of the claim to give orders. A holder may extend its claim past its
//! lease during an outage of the key-value service, with the votes of other hosts. The host that
//! gains the claim next must not give orders before that has ended.
//!
//! Each holder keeps a [`Record`] in the key-value service, which outlasts the holder and names
//! the hosts that vote. The record is replaced only in the form in which it was read. Once the
//! next holder has written its own, the voters of the previous one cannot change any more, and a
//! single one of them that knows of the newer claim prevents any further extension.

use crate::Fence;
use mulberryrack_core::{
    Name,
    kv::{Era, Revision},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest number of hosts that vote. A deployment with more other hosts extends no claim, and
/// no orders are given during an outage of the key-value service.
pub const MAX_VOTERS: usize = 24;

/// One process of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// Unique name of the host. A host runs one process at a time.
    pub host: Name,
    /// Address on which the host accepts calls of the other hosts.
    pub peers: SocketAddr,
    /// Drawn at random when the process starts.
    pub incarnation: u64,
}

/// What a holder has written about its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Era of the claim.
    pub era: Era,
    /// Revision of the claim's key.
    pub revision: Revision,
    /// The holder.
    pub holder: Process,
    /// The other hosts, sorted, which must all agree to an extension; `None` if the claim is
    /// never extended.
    pub voters: Option<Vec<Process>>,
    /// What the holder knew of the holders before it.
    pub earlier: Earlier,
}

impl Record {
    /// The claim to which the record belongs.
    #[must_use]
    pub const fn fence(&self) -> Fence {
        Fence {
            era: self.era,
            revision: self.revision,
        }
    }
}

/// The voters for a holder that knows these other hosts.
#[must_use]
pub fn voters(others: impl IntoIterator<Item = Process>) -> Option<Vec<Process>> {
    let mut voters: Vec<Process> = others.into_iter().collect();
    voters.sort();
    (voters.len() <= MAX_VOTERS).then_some(voters)
}

/// What a host knows of earlier holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Earlier {
    /// Nothing: one of them may have extended its claim until this host gained the claim.
    #[default]
    Unknown,
    /// Holders of earlier eras may extend their claims. Their leases ended at the latest one time
    /// to live after the era began.
    Era,
    /// They give no more orders.
    Ended,
}

/// What a host that has gained the claim knows of the holders before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Predecessor {
    /// What is known of all of them but for the one that `processes` are about.
    pub earlier: Earlier,
    /// The previous holder may extend its claim until one of these processes, or a later process
    /// of the same host, has learned of the newer claim. Empty if it cannot extend its claim.
    pub processes: Vec<Process>,
}

impl Predecessor {
    /// Reads from the record that a new holder found what the holders before it may do. The host
    /// `own` has the claim in `era`; `is_first_era` says whether the deployment began in it.
    #[must_use]
    pub fn of(record: Option<&Record>, own: &str, era: Era, is_first_era: bool) -> Self {
        // A holder writes its record before its first order in an era.
        let Some(record) = record.filter(|record| record.era == era) else {
            let earlier = if record.is_none() && is_first_era {
                Earlier::Ended
            } else {
                Earlier::Era
            };
            return Self {
                earlier,
                processes: Vec::new(),
            };
        };
        let voters = record.voters.iter().flatten();
        let processes = std::iter::once(&record.holder).chain(voters);
        // The claim is extended only if each of them agrees, this host included.
        let is_one_of_them = processes.clone().any(|process| &*process.host == own);
        let cannot_extend = record.voters.is_none() || is_one_of_them;
        Self {
            earlier: record.earlier,
            processes: if cannot_extend {
                Vec::new()
            } else {
                processes.cloned().collect()
            },
        }
    }

    /// What is known of all holders before.
    #[must_use]
    pub fn summary(&self) -> Earlier {
        if self.processes.is_empty() {
            self.earlier
        } else {
            Earlier::Unknown
        }
    }
}

/// The record of this host's own claim, as far as the key-value service has answered.
#[derive(Clone, Debug, Default)]
pub struct Succession {
    /// The claim that all of this is about; `None` before the first one.
    fence: Option<Fence>,
    predecessor: Predecessor,
    /// Revision of the record's key that the next write replaces.
    expected: Option<Revision>,
    /// The record that was written last with an answer.
    written: Option<Record>,
    /// Records that were written without an answer since. Any of them may be in force.
    unanswered: Vec<Record>,
}

impl Succession {
    /// Whether the record of this claim has still to be read.
    #[must_use]
    pub fn is_unread(&self, fence: Fence) -> bool {
        self.fence != Some(fence)
    }

    /// Takes over the record that the holder of `fence` has found, with the revision of its key.
    pub fn read(
        &mut self,
        fence: Fence,
        found: Option<(&Record, Revision)>,
        own: &str,
        is_first_era: bool,
    ) {
        let record = found.map(|(record, _)| record);
        self.expected = found.map(|(_, revision)| revision);
        let is_own = record.is_some_and(|record| record.fence() == fence);
        if is_own && self.fence == Some(fence) {
            // A write without an answer has taken effect.
            return;
        }
        *self = Self {
            fence: Some(fence),
            predecessor: Predecessor::of(record, own, fence.era, is_first_era),
            expected: self.expected,
            written: None,
            unanswered: Vec::new(),
        };
    }

    /// Takes over the revision of a record that cannot be read.
    pub fn read_malformed(&mut self, fence: Fence, revision: Revision) {
        *self = Self {
            fence: Some(fence),
            expected: Some(revision),
            ..Self::default()
        };
    }

    /// Whether the record has to be written, as it differs from the one in force.
    #[must_use]
    pub fn is_due(&self, record: &Record) -> bool {
        self.written.as_ref() != Some(record) || !self.unanswered.is_empty()
    }

    /// Revision of the record's key that a write must replace.
    #[must_use]
    pub const fn expected(&self) -> Option<Revision> {
        self.expected
    }

    /// Records that a record was written.
    pub fn written(&mut self, record: Record, revision: Revision) {
        self.expected = Some(revision);
        self.written = Some(record);
        self.unanswered.clear();
    }

    /// Records that the write of a record was not answered.
    pub fn unanswered(&mut self, record: Record) {
        if !self.unanswered.contains(&record) {
            self.unanswered.push(record);
        }
    }

    /// The processes of which one must learn of this host's claim. None before the record is
    /// written, as the previous holder may still change its voters.
    #[must_use]
    pub fn processes_to_tell(&self) -> &[Process] {
        let is_written = self.written.is_some();
        if is_written {
            &self.predecessor.processes
        } else {
            &[]
        }
    }

    /// What is known of the holders before.
    #[must_use]
    pub fn earlier(&self) -> Earlier {
        self.predecessor.summary()
    }

    /// Records that one of the processes of [`Succession::processes_to_tell`] has learned of this
    /// host's claim.
    pub fn predecessor_told(&mut self) {
        self.predecessor.processes.clear();
    }

    /// The processes that must all agree to an extension of the claim; `None` if it cannot be
    /// extended.
    #[must_use]
    pub fn electorate(&self, fence: Fence) -> Option<Vec<Process>> {
        if self.fence != Some(fence) {
            return None;
        }
        let mut electorate = self.written.as_ref()?.voters.clone()?;
        for record in &self.unanswered {
            electorate.extend(record.voters.clone()?);
        }
        electorate.sort();
        electorate.dedup();
        Some(electorate)
    }
}
