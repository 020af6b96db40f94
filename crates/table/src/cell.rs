//! Reads the cells of one line.

use crate::{Column, Fault, Kind, Problem, Row};
use mulberryrack_core::{Name, request::Priority};
use std::{ops::RangeInclusive, time::Duration};

/// Longest name or version in bytes.
const MAX_NAME: usize = 100;
/// Largest target, one day.
const MAX_MILLIS: u64 = 86_400_000;
/// Largest share, ceiling or number of copies.
const MAX_COUNT: u64 = 1_000_000;
/// Largest memory of one copy, 16 terabytes.
const MAX_MEMORY_MB: u64 = 16_000_000;

const DEFAULT_VERSION: &str = "1";
const DEFAULT_SHARE: u32 = 1;
const DEFAULT_CEILING: u32 = 64;
const DEFAULT_FIRST_TOKEN_MS: u64 = 530;
const DEFAULT_TOKEN_GAP_MS: u64 = 39;
const DEFAULT_MIN_COPIES: u32 = 1;
const DEFAULT_MAX_COPIES: u32 = 4;

/// Cells of one line, by column.
pub(crate) struct Line<'a> {
    /// Line of the text, from 1.
    pub number: u64,
    /// Trimmed cells in the order of [`Column::ALL`]; `None` in missing columns.
    pub cells: [Option<&'a str>; Column::ALL.len()],
    /// Where problems go.
    pub problems: &'a mut Vec<Problem>,
}

impl<'a> Line<'a> {
    /// Reads the row. Where a cell is wrong, a problem is noted and the default stands
    /// in its place, so that the other cells are checked too. `None` where even the
    /// kind cannot be told.
    pub fn read(&mut self) -> Option<Row> {
        let name = self.name(Column::Name).unwrap_or_default();
        let kind = self.kind()?;
        Column::ALL
            .into_iter()
            .filter(|column| column.is_void(kind))
            .for_each(|column| self.check_void(column, kind));
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

    /// Notes a problem, but not for each line again that a column is missing.
    fn fault(&mut self, column: Column, fault: Fault) {
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

    fn check_void(&mut self, column: Column, kind: Kind) {
        if !matches!(self.cell(column), "" | "0") {
            let kind = kind.label();
            self.fault(column, Fault::Void { kind });
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
            Fault::Name
        };
        self.fault(column, fault);
        None
    }

    fn kind(&mut self) -> Option<Kind> {
        let text = self.cell(Column::Kind).to_ascii_lowercase();
        let kind = Kind::from_label(&text);
        if kind.is_none() {
            let allowed = "model, adapter and service";
            self.fault(Column::Kind, Fault::Word { allowed });
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
            self.fault(Column::Memory, Fault::Empty);
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
            self.fault(Column::Priority, Fault::Word { allowed });
            Priority::default()
        })
    }

    fn repeatable(&mut self) -> bool {
        match &*self.cell(Column::Repeatable).to_ascii_lowercase() {
            "yes" | "true" | "1" => true,
            "" | "no" | "false" | "0" => false,
            _ => {
                let allowed = "yes, no, true, false, 1 and 0";
                self.fault(Column::Repeatable, Fault::Word { allowed });
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
            self.fault(Column::MinCopies, Fault::Copies { max });
        }
        (min, max)
    }

    fn millis(&mut self, column: Column, default: u64) -> Duration {
        Duration::from_millis(self.number(column, 1..=MAX_MILLIS, default))
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
            self.fault(column, Fault::Number { allowed });
            default
        })
    }
}

fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME
        && text.starts_with(|first: char| first.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-'))
}
