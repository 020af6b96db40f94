//! Parses and checks the cells of one line of the table.

use crate::{Column, Fault, Kind, Problem, Row};
use mulberryrack_core::{Name, request::Priority};
use std::{ops::RangeInclusive, time::Duration};

/// Maximum length of a name or version.
const MAX_NAME_BYTES: usize = 100;
/// Maximum latency target: one day.
const MAX_TARGET_MS: u64 = 86_400_000;
/// Maximum share, ceiling or number of copies.
const MAX_COUNT: u64 = 1_000_000;
/// Maximum memory of one copy: 16 terabytes.
const MAX_MEMORY_MB: u64 = 16_000_000;

const DEFAULT_VERSION: &str = "1";
const DEFAULT_SHARE: u32 = 1;
const DEFAULT_CEILING: u32 = 64;
const DEFAULT_FIRST_TOKEN_MS: u64 = 530;
const DEFAULT_TOKEN_GAP_MS: u64 = 39;
const DEFAULT_MIN_COPIES: u32 = 1;
const DEFAULT_MAX_COPIES: u32 = 4;

/// The cells of one line, by column.
pub(crate) struct Line<'a> {
    /// Number of the line in the text, from 1.
    pub number: u64,
    /// Trimmed cells in the order of [`Column::ALL`]; `None` for columns that the header does
    /// not have.
    pub cells: [Option<&'a str>; Column::ALL.len()],
    /// List to which the problems of the line are appended.
    pub problems: &'a mut Vec<Problem>,
}

impl<'a> Line<'a> {
    /// Parses the row. A wrong cell is reported as a problem and replaced by a default, so that
    /// the other cells are checked too. `None` if the kind is unknown, since it decides how the
    /// other cells are checked.
    pub fn read(&mut self) -> Option<Row> {
        let name = self.name(Column::Name).unwrap_or_default();
        let kind = self.kind()?;
        Column::ALL
            .into_iter()
            .filter(|column| column.is_unused(kind))
            .for_each(|column| self.check_unused(column, kind));
        let (min_copies, max_copies) = self.copies(kind);
        Some(Row {
            name,
            kind,
            base: self.base(kind),
            version: self.version(kind),
            memory_mb: self.memory(kind),
            share: self.count(Column::Share, DEFAULT_SHARE),
            priority: self.priority(),
            ceiling: self.count(Column::Ceiling, DEFAULT_CEILING),
            first_token: self.millis(Column::FirstToken, DEFAULT_FIRST_TOKEN_MS),
            token_gap: self.token_gap(kind),
            repeatable: self.repeatable(),
            min_copies,
            max_copies,
        })
    }

    fn cell(&self, column: Column) -> &'a str {
        self.cells[column as usize].unwrap_or_default()
    }

    /// Reports a problem of a cell. A column that the header does not have is reported once for
    /// the header and not again for each line.
    fn report(&mut self, column: Column, fault: Fault) {
        let Some(value) = self.cells[column as usize] else {
            return;
        };
        let name = self.cell(Column::Name);
        self.problems.push(Problem {
            line: self.number,
            row: (!name.is_empty()).then(|| name.into()),
            column: Some(column.label().into()),
            value: value.into(),
            fault,
        });
    }

    fn check_unused(&mut self, column: Column, kind: Kind) {
        if !matches!(self.cell(column), "" | "0") {
            let kind = kind.label();
            self.report(column, Fault::Unused { kind });
        }
    }

    fn name(&mut self, column: Column) -> Option<Name> {
        let text = self.cell(column);
        if is_name(text) {
            return Some(text.into());
        }
        let fault = if text.is_empty() {
            Fault::Empty
        } else {
            Fault::InvalidName
        };
        self.report(column, fault);
        None
    }

    fn kind(&mut self) -> Option<Kind> {
        let text = self.cell(Column::Kind).to_ascii_lowercase();
        let kind = Kind::from_label(&text);
        if kind.is_none() {
            let allowed = "model, adapter and service";
            self.report(Column::Kind, Fault::UnknownValue { allowed });
        }
        kind
    }

    fn base(&mut self, kind: Kind) -> Option<Name> {
        (kind == Kind::Adapter)
            .then(|| self.name(Column::Base))
            .flatten()
    }

    fn version(&mut self, kind: Kind) -> Name {
        match (kind, self.cell(Column::Version)) {
            (Kind::Service, _) => Name::default(),
            (_, "") => DEFAULT_VERSION.into(),
            _ => self.name(Column::Version).unwrap_or_default(),
        }
    }

    fn memory(&mut self, kind: Kind) -> u64 {
        if kind == Kind::Service {
            return 0;
        }
        if self.cell(Column::Memory).is_empty() {
            self.report(Column::Memory, Fault::Empty);
            return 0;
        }
        self.number(Column::Memory, 1..=MAX_MEMORY_MB, 0)
    }

    fn priority(&mut self) -> Priority {
        let text = self.cell(Column::Priority).to_ascii_lowercase();
        if text.is_empty() {
            return Priority::default();
        }
        Priority::from_label(&text).unwrap_or_else(|| {
            let allowed = "urgent, normal and bulk";
            self.report(Column::Priority, Fault::UnknownValue { allowed });
            Priority::default()
        })
    }

    fn repeatable(&mut self) -> bool {
        match &*self.cell(Column::Repeatable).to_ascii_lowercase() {
            "yes" | "true" | "1" => true,
            "" | "no" | "false" | "0" => false,
            _ => {
                let allowed = "yes, no, true, false, 1 and 0";
                self.report(Column::Repeatable, Fault::UnknownValue { allowed });
                false
            }
        }
    }

    fn token_gap(&mut self, kind: Kind) -> Duration {
        match kind {
            Kind::Service => Duration::ZERO,
            _ => self.millis(Column::TokenGap, DEFAULT_TOKEN_GAP_MS),
        }
    }

    fn copies(&mut self, kind: Kind) -> (u32, u32) {
        if kind == Kind::Service {
            return (0, 0);
        }
        let min = self.count(Column::MinCopies, DEFAULT_MIN_COPIES);
        let max = self.count(Column::MaxCopies, min.max(DEFAULT_MAX_COPIES));
        if min > max {
            self.report(Column::MinCopies, Fault::MinAboveMax { max });
        }
        (min, max)
    }

    fn millis(&mut self, column: Column, default: u64) -> Duration {
        Duration::from_millis(self.number(column, 1..=MAX_TARGET_MS, default))
    }

    fn count(&mut self, column: Column, default: u32) -> u32 {
        let number = self.number(column, 1..=MAX_COUNT, default.into());
        u32::try_from(number).unwrap_or(default)
    }

    fn number(&mut self, column: Column, allowed: RangeInclusive<u64>, default: u64) -> u64 {
        let text = self.cell(column);
        if text.is_empty() {
            return default;
        }
        let number = text.parse().ok().filter(|number| allowed.contains(number));
        number.unwrap_or_else(|| {
            self.report(column, Fault::InvalidNumber { allowed });
            default
        })
    }
}

fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(|first: char| first.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-'))
}
