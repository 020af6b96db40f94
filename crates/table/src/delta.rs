//! The difference between two versions of the rows.

use crate::Row;
use mulberryrack_core::Name;
use std::{collections::BTreeMap, sync::Arc};

/// What turns one version of the rows into the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Rows that are new or changed, sorted by name.
    pub upserts: Vec<Row>,
    /// Names of rows that are no longer there, sorted.
    pub removes: Vec<Name>,
}

impl Delta {
    /// The difference between two sets of rows, both sorted by name.
    #[must_use]
    pub fn between(old: &[Row], new: &[Row]) -> Self {
        let before = index(old);
        let after = index(new);
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

    /// The rows after the change, sorted by name.
    #[must_use]
    pub fn apply(&self, old: &[Row]) -> Arc<[Row]> {
        let mut rows = index(old);
        for name in &self.removes {
            rows.remove(&**name);
        }
        for row in &self.upserts {
            rows.insert(&row.name, row);
        }
        rows.into_values().cloned().collect()
    }

    /// Whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removes.is_empty()
    }
}

fn index(rows: &[Row]) -> BTreeMap<&str, &Row> {
    rows.iter().map(|row| (&*row.name, row)).collect()
}
