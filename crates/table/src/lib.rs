//! The operators' table: a row for each model, adapter or plain service.
//!
//! [`csv`] reads and writes the form that a spreadsheet opens, [`Table`] is an accepted
//! version in force, [`Row`] one line of it.

mod cell;
mod column;
pub mod csv;
pub mod delta;
pub mod diff;
mod problem;
mod row;

pub use column::Column;
pub use problem::{Fault, Problem};
pub use row::{Kind, Row};

use mulberryrack_core::Name;
use std::sync::Arc;

/// An accepted version of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Counts accepted versions from 1; a host never goes back.
    pub version: u64,
    /// Unique id of the change, drawn by the client that proposed it.
    pub change: Name,
    /// Who accepted it.
    pub author: Name,
    /// Invariant: sorted by name, no name twice, checked when a table is read.
    pub rows: Arc<[Row]>,
}

impl Table {
    /// The row with this name.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows
            .binary_search_by(|row| (*row.name).cmp(name))
            .ok()
            .map(|index| &self.rows[index])
    }
}
