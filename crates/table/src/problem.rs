//! What is wrong with a table's text.

use crate::Column;
use mulberryrack_core::Name;
use std::{fmt, ops::RangeInclusive, sync::Arc};

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line of the text, from 1; the header is line 1.
    pub line: u64,
    /// Name of the row; `None` in the header and for rows without one.
    pub row: Option<Name>,
    /// Header of the column; `None` where the whole line is meant.
    pub column: Option<Name>,
    /// The cell as it was read.
    pub value: Arc<str>,
    /// What is wrong.
    pub fault: Fault,
}

/// What is wrong with a cell, a header or a line, and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No column has this name.
    UnknownColumn {
        /// The most similar column.
        nearest: Option<Column>,
    },
    /// The column is not in the header.
    MissingColumn {
        /// The most similar header that names no column.
        nearest: Option<Arc<str>>,
    },
    /// The header names the column twice.
    DoubleColumn,
    /// The line has more or fewer cells than the header.
    CellCount {
        /// Cells in the line.
        found: usize,
        /// Cells in the header.
        wanted: usize,
    },
    /// The cell must not be empty.
    Empty,
    /// Not a name.
    Name,
    /// Not one of a few words.
    Word {
        /// The words that are allowed.
        allowed: &'static str,
    },
    /// Not a whole number, or out of range.
    Number {
        /// What is allowed.
        allowed: RangeInclusive<u64>,
    },
    /// The column has no meaning for the row's kind.
    Void {
        /// Label of the kind.
        kind: &'static str,
    },
    /// Another row has the name.
    Duplicate {
        /// Line of the other row.
        first: u64,
    },
    /// The base is not a row of kind `model`.
    Base {
        /// The most similar name of a model.
        nearest: Option<Name>,
    },
    /// `min_copies` is above `max_copies`.
    Copies {
        /// Value of `max_copies`.
        max: u32,
    },
    /// The table has no rows.
    NoRows,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        if let Some(row) = &self.row {
            write!(f, ", row {row:?}")?;
        }
        if let Some(column) = &self.column {
            write!(f, ", column {column:?}, value {:?}", self.value)?;
        }
        write!(f, ": {}", self.fault)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownColumn { nearest } => {
                f.write_str("there is no such column")?;
                suggest(f, nearest.as_ref())
            }
            Self::MissingColumn { nearest } => {
                f.write_str("the column is missing")?;
                nearest
                    .as_ref()
                    .map_or(Ok(()), |near| write!(f, "; is it the one named {near:?}?"))
            }
            Self::DoubleColumn => f.write_str("the column appears twice"),
            Self::CellCount { found, wanted } => {
                write!(f, "the line has {found} cells, the header has {wanted}")
            }
            Self::Empty => f.write_str("must not be empty"),
            Self::Name => f.write_str(
                "allowed are 1 to 100 ASCII letters, digits, '.', '_', ':' and '-', \
                 beginning with a letter or digit",
            ),
            Self::Word { allowed } => write!(f, "allowed are {allowed}"),
            Self::Number { allowed } => write!(
                f,
                "allowed are whole numbers from {} to {}",
                allowed.start(),
                allowed.end()
            ),
            Self::Void { kind } => {
                write!(f, "must be empty or 0 in a row of kind {kind:?}")
            }
            Self::Duplicate { first } => write!(f, "the row on line {first} has this name"),
            Self::Base { nearest } => {
                f.write_str("must be the name of a row of kind \"model\"")?;
                suggest(f, nearest.as_ref())
            }
            Self::Copies { max } => write!(f, "must not be above max_copies, which is {max}"),
            Self::NoRows => f.write_str("the table has no rows; at least one is needed"),
        }
    }
}

fn suggest(f: &mut fmt::Formatter<'_>, nearest: Option<&impl fmt::Display>) -> fmt::Result {
    nearest.map_or(Ok(()), |near| write!(f, "; did you mean \"{near}\"?"))
}
