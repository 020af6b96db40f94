//! The columns of the table: their order, their names in the header, the text of their cells.

use crate::{Kind, Row};
use std::{fmt, time::Duration};

/// A column of the table. The variants are in the order in which columns are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Column {
    /// [`Row::name`].
    Name,
    /// [`Row::kind`].
    Kind,
    /// [`Row::base`].
    Base,
    /// [`Row::version`].
    Version,
    /// [`Row::memory_mb`].
    Memory,
    /// [`Row::share`].
    Share,
    /// [`Row::priority`].
    Priority,
    /// [`Row::ceiling`].
    Ceiling,
    /// [`Row::first_token`].
    FirstToken,
    /// [`Row::token_gap`].
    TokenGap,
    /// [`Row::repeatable`].
    Repeatable,
    /// [`Row::min_copies`].
    MinCopies,
    /// [`Row::max_copies`].
    MaxCopies,
}

impl Column {
    /// Every column, in the order in which columns are written.
    pub const ALL: [Self; 13] = [
        Self::Name,
        Self::Kind,
        Self::Base,
        Self::Version,
        Self::Memory,
        Self::Share,
        Self::Priority,
        Self::Ceiling,
        Self::FirstToken,
        Self::TokenGap,
        Self::Repeatable,
        Self::MinCopies,
        Self::MaxCopies,
    ];

    /// The name of the column in the header.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Name => "name",
            Self::Kind => "kind",
            Self::Base => "base",
            Self::Version => "version",
            Self::Memory => "memory_mb",
            Self::Share => "share",
            Self::Priority => "priority",
            Self::Ceiling => "ceiling",
            Self::FirstToken => "first_token_ms",
            Self::TokenGap => "token_gap_ms",
            Self::Repeatable => "repeatable",
            Self::MinCopies => "min_copies",
            Self::MaxCopies => "max_copies",
        }
    }

    /// The column with the given label; `None` for an unknown label.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|column| column.label() == label)
    }

    /// The text of this column's cell in `row`.
    #[must_use]
    pub fn text(self, row: &Row) -> String {
        match self {
            Self::Name => row.name.to_string(),
            Self::Kind => row.kind.label().to_owned(),
            Self::Base => row.base.as_deref().unwrap_or_default().to_owned(),
            Self::Version => row.version.to_string(),
            Self::Memory => row.memory_mb.to_string(),
            Self::Share => row.share.to_string(),
            Self::Priority => row.priority.label().to_owned(),
            Self::Ceiling => row.ceiling.to_string(),
            Self::FirstToken => millis(row.first_token),
            Self::TokenGap => millis(row.token_gap),
            Self::Repeatable => if row.repeatable { "yes" } else { "no" }.to_owned(),
            Self::MinCopies => row.min_copies.to_string(),
            Self::MaxCopies => row.max_copies.to_string(),
        }
    }

    /// Whether rows of `kind` do not use the column; their cell must then be empty or `0`.
    #[must_use]
    pub const fn is_unused(self, kind: Kind) -> bool {
        match self {
            Self::Base => !matches!(kind, Kind::Adapter),
            Self::Version | Self::Memory | Self::TokenGap | Self::MinCopies | Self::MaxCopies => {
                matches!(kind, Kind::Service)
            }
            _ => false,
        }
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

fn millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}
