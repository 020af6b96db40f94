//! The operators' table, which has one row for each model, adapter or plain service.
//!
//! Operators edit the table in a spreadsheet. [`csv::parse`] checks the text and gives the
//! [`Row`]s or a list of [`Problem`]s; [`csv::render`] writes the rows back. A [`Table`] is
//! a version that was accepted. [`diff`] lists the changes between two versions for
//! operators, cell by cell; [`delta`] has the changed rows, for sending between hosts. Begin
//! reading at [`Row`] and [`csv`].

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
    /// Number of the accepted version, from 1. A host never returns to a lower one.
    pub version: u64,
    /// Unique id of the change that made this version, chosen at random by the client that
    /// proposed it.
    pub change: Name,
    /// The operator who accepted the version.
    pub author: Name,
    /// The rows. Invariant: sorted by name, no name twice; checked when a table is parsed.
    pub rows: Arc<[Row]>,
}

impl Table {
    /// The row with the given name, if there is one.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows
            .binary_search_by(|row| (*row.name).cmp(name))
            .ok()
            .map(|index| &self.rows[index])
    }
}
