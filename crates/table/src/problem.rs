//! Problems of a table's text, as shown to operators.

use crate::Column;
use mulberryrack_core::Name;
use std::{fmt, ops::RangeInclusive, sync::Arc};

/// One fault in the text of a table and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Number of the line in the text, from 1; the header is line 1.
    pub line: u64,
    /// Name of the row; `None` for the header and for rows without a name.
    pub row: Option<Name>,
    /// Name of the column as in the header; `None` if the fault concerns the whole line.
    pub column: Option<Name>,
    /// Text of the faulty cell; empty if the fault concerns the whole line.
    pub value: Arc<str>,
    /// Kind of the fault.
    pub fault: Fault,
}

/// What is wrong with a cell, a header or a line, and what is allowed instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The header has a name that no column has.
    UnknownColumn {
        /// The column with the most similar name, if one is similar enough.
        nearest: Option<Column>,
    },
    /// The header does not have a column.
    MissingColumn {
        /// The most similar name in the header that no column has, if one is similar enough.
        nearest: Option<Arc<str>>,
    },
    /// The header names the column twice.
    DuplicateColumn,
    /// The line has more or fewer cells than the header.
    CellCount {
        /// Number of cells in the line.
        found: usize,
        /// Number of cells in the header.
        expected: usize,
    },
    /// The cell must not be empty.
    Empty,
    /// The cell is not a valid name: too long, or with other characters than allowed.
    InvalidName,
    /// The cell has none of the values that the column allows.
    UnknownValue {
        /// The allowed values, as a list for the message.
        allowed: &'static str,
    },
    /// The cell is not a whole number, or it is out of range.
    InvalidNumber {
        /// The allowed range.
        allowed: RangeInclusive<u64>,
    },
    /// The cell is set although rows of this kind do not use the column.
    Unused {
        /// Label of the row's kind.
        kind: &'static str,
    },
    /// An earlier row has the same name.
    DuplicateName {
        /// Number of the line of the first row with the name.
        first_line: u64,
    },
    /// The base of an adapter is not the name of a row of kind `model`.
    UnknownBase {
        /// The most similar name of a model, if one is similar enough.
        nearest: Option<Name>,
    },
    /// `min_copies` is greater than `max_copies`.
    MinAboveMax {
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
            Self::DuplicateColumn => f.write_str("the column appears twice"),
            Self::CellCount { found, expected } => {
                write!(f, "the line has {found} cells, the header has {expected}")
            }
            Self::Empty => f.write_str("must not be empty"),
            Self::InvalidName => f.write_str(
                "allowed are 1 to 100 ASCII letters, digits, '.', '_', ':' and '-', \
                 beginning with a letter or digit",
            ),
            Self::UnknownValue { allowed } => write!(f, "allowed are {allowed}"),
            Self::InvalidNumber { allowed } => write!(
                f,
                "allowed are whole numbers from {} to {}",
                allowed.start(),
                allowed.end()
            ),
            Self::Unused { kind } => {
                write!(f, "must be empty or 0 in a row of kind {kind:?}")
            }
            Self::DuplicateName { first_line } => {
                write!(f, "the row on line {first_line} has this name")
            }
            Self::UnknownBase { nearest } => {
                f.write_str("must be the name of a row of kind \"model\"")?;
                suggest(f, nearest.as_ref())
            }
            Self::MinAboveMax { max } => write!(f, "must not be above max_copies, which is {max}"),
            Self::NoRows => f.write_str("the table has no rows; at least one is needed"),
        }
    }
}

fn suggest(f: &mut fmt::Formatter<'_>, nearest: Option<&impl fmt::Display>) -> fmt::Result {
    nearest.map_or(Ok(()), |near| write!(f, "; did you mean \"{near}\"?"))
}
