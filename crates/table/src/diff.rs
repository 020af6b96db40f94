//! Differences between two versions of the table, cell by cell, for operators to read.

use crate::{Column, Row};
use mulberryrack_core::Name;
use std::{cmp::Ordering, fmt, sync::Arc};

/// One difference between two versions of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the new version has the row.
    Added(Row),
    /// Only the old version has the row.
    Removed(Row),
    /// A cell of the row differs.
    Changed {
        /// Name of the row.
        row: Name,
        /// Column of the cell.
        column: Column,
        /// Text of the cell in the old version.
        from: Arc<str>,
        /// Text of the cell in the new version.
        to: Arc<str>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(row) => write!(f, "added {}", row.name),
            Self::Removed(row) => write!(f, "removed {}", row.name),
            Self::Changed {
                row,
                column,
                from,
                to,
            } => write!(f, "changed {row}: {column} from {from:?} to {to:?}"),
        }
    }
}

/// The changes from `old` to `new`, both sorted by name; ordered by row, then by column.
#[must_use]
pub fn compare(old: &[Row], new: &[Row]) -> Vec<Change> {
    let mut changes = Vec::new();
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(old_row), Some(new_row)) => old_row.name.cmp(&new_row.name),
        };
        match order {
            Ordering::Less => changes.extend(old.next().cloned().map(Change::Removed)),
            Ordering::Greater => changes.extend(new.next().cloned().map(Change::Added)),
            Ordering::Equal => {
                if let (Some(from), Some(to)) = (old.next(), new.next()) {
                    changes.extend(changed_cells(from, to));
                }
            }
        }
    }
}

fn changed_cells<'a>(from: &'a Row, to: &'a Row) -> impl Iterator<Item = Change> + 'a {
    let name = &to.name;
    Column::ALL
        .into_iter()
        .map(|column| (column, column.text(from), column.text(to)))
        .filter(|(_, from, to)| from != to)
        .map(|(column, from, to)| Change::Changed {
            row: name.clone(),
            column,
            from: from.into(),
            to: to.into(),
        })
}
