//! An engine's record in the key-value service: orders that may still take effect.
//!
//! An order is written here before it is sent, and is struck out only when no copy of it
//! can be on its way. So whoever reads the record counts everything that can still
//! happen to the engine, also what a paused planner sends later.

use mulberryrack_core::{
    Incarnation, Name,
    upstream::{Action, Report, Resident},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An order that may have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The order's id.
    pub id: u64,
    /// Term of the planner that wrote it; also the order's fencing number.
    pub term: u64,
    /// The planner's host, the only one that sends the order in its own form.
    pub host: Name,
    /// That host's life.
    pub host_life: Incarnation,
    /// What the engine is told to do.
    pub action: Action,
    /// The newest life of the engine in which it can no longer take effect, because that
    /// life has settled it or refuses its fencing number.
    #[serde(default)]
    pub spent: Option<Incarnation>,
}

/// The record of one engine, stored under `engine/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Term of the planner that wrote it last; never falls.
    pub term: u64,
    /// The engine's newest life that was seen.
    pub life: Incarnation,
    /// Sequence of the newest report of that life by which orders were struck out.
    /// Older reports say less than is known and are not used.
    pub sequence: u64,
    /// Orders that may still take effect in this life or, if it is spent in this one, in
    /// the next.
    pub intents: Vec<Intent>,
}

/// A row's name and the version of its weights.
pub(crate) type Id = (Name, Name);

impl Intent {
    /// Whether it can still take effect in the life `life`.
    #[must_use]
    pub fn open(&self, life: Incarnation) -> bool {
        self.spent != Some(life)
    }

    /// Row and version that it loads, and their memory.
    pub(crate) fn load(&self) -> Option<(Id, u64)> {
        match &self.action {
            Action::Load {
                row,
                version,
                memory_mb,
                ..
            } => Some(((row.clone(), version.clone()), *memory_mb)),
            _ => None,
        }
    }

    /// Row and version that it unloads.
    pub(crate) fn unload(&self) -> Option<Id> {
        match &self.action {
            Action::Unload { row, version } => Some((row.clone(), version.clone())),
            _ => None,
        }
    }
}

impl Record {
    /// Whether a report is at least as new as what the record was written by.
    #[must_use]
    pub fn accepts(&self, report: &Report) -> bool {
        (report.incarnation, report.sequence) >= (self.life, self.sequence)
    }

    /// Notes a report: marks orders that it shows to be spent. With `fencing`, an order
    /// of a later term that is settled proves that older terms are refused.
    pub fn observe(&mut self, report: &Report, fencing: bool) {
        self.life = report.incarnation;
        self.sequence = report.sequence;
        let settled = |id: u64| report.settled.contains(&id);
        let fence = self
            .intents
            .iter()
            .filter(|intent| fencing && settled(intent.id) && intent.open(self.life))
            .map(|intent| intent.term)
            .max()
            .unwrap_or(0);
        for intent in &mut self.intents {
            if settled(intent.id) || intent.term < fence {
                intent.spent = Some(report.incarnation);
            }
        }
    }

    /// Megabytes that may be taken now: what was observed, and every load that can still
    /// take effect. An engine holds a version of a row once, so that the two are merged.
    #[must_use]
    pub fn possible_mb(&self, observed: &[Resident]) -> u64 {
        let mut rows: BTreeMap<Id, u64> = observed
            .iter()
            .map(|resident| {
                let id = (resident.row.clone(), resident.version.clone());
                (id, resident.memory_mb)
            })
            .collect();
        self.intents
            .iter()
            .filter(|intent| intent.open(self.life))
            .filter_map(Intent::load)
            .for_each(|(id, memory)| {
                let slot = rows.entry(id).or_default();
                *slot = memory.max(*slot);
            });
        rows.values().sum()
    }

    /// Megabytes that may be taken if the engine restarts empty now and every order that
    /// is not struck out reaches the new life.
    #[must_use]
    pub fn restart_mb(&self) -> u64 {
        let mut rows: BTreeMap<Id, u64> = BTreeMap::new();
        for (id, memory) in self.intents.iter().filter_map(Intent::load) {
            let slot = rows.entry(id).or_default();
            *slot = memory.max(*slot);
        }
        rows.values().sum()
    }

    /// Whether an unload of the row's version can still take effect.
    #[must_use]
    pub fn unloads(&self, row: &str, version: &str) -> bool {
        self.intents
            .iter()
            .filter(|intent| intent.open(self.life))
            .filter_map(Intent::unload)
            .any(|(name, of)| *name == *row && *of == *version)
    }
}
