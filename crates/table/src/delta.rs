//! The rows that differ between two versions of the table, for sending between hosts.

use crate::Row;
use mulberryrack_core::Name;
use std::{collections::BTreeMap, sync::Arc};

/// The changes that turn one version of the rows into another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Rows that are new or changed, as they are in the new version; sorted by name.
    pub upserts: Vec<Row>,
    /// Names of rows that the new version does not have, sorted.
    pub removes: Vec<Name>,
}

impl Delta {
    /// The changes from `old` to `new`, both sorted by name.
    #[must_use]
    pub fn between(old: &[Row], new: &[Row]) -> Self {
        let before = by_name(old);
        let after = by_name(new);
        Self {
            upserts: new
                .iter()
                .filter(|row| before.get(&*row.name) != Some(row))
                .cloned()
                .collect(),
            removes: old
                .iter()
                .filter(|row| !after.contains_key(&*row.name))
                .map(|row| row.name.clone())
                .collect(),
        }
    }

    /// Applies the changes to `old` and returns the new rows, sorted by name.
    #[must_use]
    pub fn apply(&self, old: &[Row]) -> Arc<[Row]> {
        let mut rows = by_name(old);
        for name in &self.removes {
            rows.remove(&**name);
        }
        for row in &self.upserts {
            rows.insert(&row.name, row);
        }
        rows.into_values().cloned().collect()
    }

    /// Whether the two versions have the same rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removes.is_empty()
    }
}

fn by_name(rows: &[Row]) -> BTreeMap<&str, &Row> {
    rows.iter().map(|row| (&*row.name, row)).collect()
}
