//! The record of an engine in the key-value service: the orders that may still take effect
//! on the engine.
//!
//! A planner writes an order to the record before sending it, and removes the order only
//! when no copy of it can still be on its way to the engine. So whoever reads the record
//! knows everything that can still happen to the engine, including what a paused planner
//! sends later.

use mulberryrack_core::{
    Incarnation, Name,
    upstream::{Action, Report, Resident},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A recorded order, which may have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Id of the order; the planner's term makes up its upper bits.
    pub id: u64,
    /// Term of the planner that recorded the order. It is also the fencing token that the
    /// planner sends with the order.
    pub term: u64,
    /// Host of the planner that recorded the order. Only this host sends the order's
    /// action; a later planner sends only a cancellation with the same id.
    pub host: Name,
    /// Incarnation of `host`.
    pub host_life: Incarnation,
    /// What the order makes the engine do.
    pub action: Action,
    /// The newest incarnation of the engine in which the order can no longer take effect,
    /// because that incarnation has settled the order or refuses its fencing token. `None`
    /// while there is no such incarnation.
    #[serde(default)]
    pub spent: Option<Incarnation>,
}

/// The record of one engine, stored as JSON under the key `engine/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Term of the planner that wrote the record last; never decreases.
    pub term: u64,
    /// The newest incarnation of the engine that has been seen.
    pub life: Incarnation,
    /// Sequence number of the newest report of that incarnation that was taken into
    /// account. Older reports are not used, since the record already reflects newer ones.
    pub sequence: u64,
    /// Orders that may still take effect in this incarnation of the engine or, if they are
    /// spent in this one, in the next.
    pub intents: Vec<Intent>,
}

/// Identifies a copy on one engine: the name of the row and the version of its weights.
pub(crate) type CopyId = (Name, Name);

impl Intent {
    /// Whether the order can still take effect in the engine's incarnation `life`.
    #[must_use]
    pub fn can_take_effect(&self, life: Incarnation) -> bool {
        self.spent != Some(life)
    }

    /// The copy that the order loads and its memory in megabytes; `None` for other actions.
    pub(crate) fn load(&self) -> Option<(CopyId, u64)> {
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

    /// The copy that the order unloads; `None` for other actions.
    pub(crate) fn unload(&self) -> Option<CopyId> {
        match &self.action {
            Action::Unload { row, version } => Some((row.clone(), version.clone())),
            _ => None,
        }
    }
}

impl Record {
    /// Whether a report is at least as new as the newest report that the record reflects.
    #[must_use]
    pub fn accepts(&self, report: &Report) -> bool {
        (report.incarnation, report.sequence) >= (self.life, self.sequence)
    }

    /// Takes a report into account: marks the orders that can no longer take effect in the
    /// reporting incarnation. If the engine checks fencing tokens (`fencing`), a settled
    /// order proves that the engine refuses orders of earlier terms.
    pub fn observe(&mut self, report: &Report, fencing: bool) {
        self.life = report.incarnation;
        self.sequence = report.sequence;
        let settled = |id: u64| report.settled.contains(&id);
        let refused_below = self
            .intents
            .iter()
            .filter(|intent| fencing && settled(intent.id) && intent.can_take_effect(self.life))
            .map(|intent| intent.term)
            .max()
            .unwrap_or(0);
        for intent in &mut self.intents {
            if settled(intent.id) || intent.term < refused_below {
                intent.spent = Some(report.incarnation);
            }
        }
    }

    /// Megabytes that may be in use now: what the engine reported, and every load that can
    /// still take effect. An engine holds a version of a row only once, so a copy that is
    /// both reported and ordered counts once, with the larger of the two sizes.
    #[must_use]
    pub fn possible_mb(&self, observed: &[Resident]) -> u64 {
        let mut rows: BTreeMap<CopyId, u64> = observed
            .iter()
            .map(|resident| {
                let id = (resident.row.clone(), resident.version.clone());
                (id, resident.memory_mb)
            })
            .collect();
        self.intents
            .iter()
            .filter(|intent| intent.can_take_effect(self.life))
            .filter_map(Intent::load)
            .for_each(|(id, memory)| {
                let taken = rows.entry(id).or_default();
                *taken = memory.max(*taken);
            });
        rows.values().sum()
    }

    /// Megabytes that may be in use if the engine restarts empty now and every recorded
    /// load reaches the new incarnation.
    #[must_use]
    pub fn restart_mb(&self) -> u64 {
        let mut rows: BTreeMap<CopyId, u64> = BTreeMap::new();
        for (id, memory) in self.intents.iter().filter_map(Intent::load) {
            let taken = rows.entry(id).or_default();
            *taken = memory.max(*taken);
        }
        rows.values().sum()
    }

    /// Whether an unload of the copy can still take effect.
    #[must_use]
    pub fn unloads(&self, row: &str, version: &str) -> bool {
        self.intents
            .iter()
            .filter(|intent| intent.can_take_effect(self.life))
            .filter_map(Intent::unload)
            .any(|(name, of)| *name == *row && *of == *version)
    }
}
