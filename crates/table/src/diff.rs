//! What changes from one table to another.

use crate::{Column, Row};
use mulberryrack_core::Name;
use std::{cmp::Ordering, fmt, sync::Arc};

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The row is new.
    Added(Row),
    /// The row is gone.
    Removed(Row),
    /// A cell of the row differs.
    Changed {
        /// Name of the row.
        row: Name,
        /// Where.
        column: Column,
        /// The old text.
        from: Arc<str>,
        /// The new text.
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

/// Compares two tables whose rows are sorted by name; in order of row, then column.
#[must_use]
pub fn compare(old: &[Row], new: &[Row]) -> Vec<Change> {
    let mut changes = Vec::new();
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(one), Some(other)) => one.name.cmp(&other.name),
        };
        match order {
            Ordering::Less => changes.extend(old.next().cloned().map(Change::Removed)),
            Ordering::Greater => changes.extend(new.next().cloned().map(Change::Added)),
            Ordering::Equal => {
                if let (Some(from), Some(to)) = (old.next(), new.next()) {
                    changes.extend(cells(from, to));
                }
            }
        }
    }
}

fn cells<'a>(from: &'a Row, to: &'a Row) -> impl Iterator<Item = Change> + 'a {
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
