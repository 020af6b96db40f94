//! The table as CSV text, which spreadsheets can open and write.
//!
//! The first line names the [`Column`]s, in any order; all of them are required. Cells are
//! separated by commas, semicolons or tabs, whichever is most frequent in the first line. A
//! byte order mark, quoted cells, LF or CRLF line ends and blank lines are accepted.
//!
//! An empty cell takes the default of its column:
//!
//! | column | default | allowed |
//! |---|---|---|
//! | `name` | none | 1 to 100 ASCII letters, digits, `.`, `_`, `:`, `-` |
//! | `kind` | none | `model`, `adapter`, `service` |
//! | `base` | none | name of a model; adapters only |
//! | `version` | `1` | as `name`; empty for services |
//! | `memory_mb` | none | 1 to 16,000,000; empty or 0 for services |
//! | `share` | 1 | 1 to 1,000,000 |
//! | `priority` | `normal` | `urgent`, `normal`, `bulk` |
//! | `ceiling` | 64 | 1 to 1,000,000 |
//! | `first_token_ms` | 530 | 1 to 86,400,000 |
//! | `token_gap_ms` | 39 | 1 to 86,400,000; empty or 0 for services |
//! | `repeatable` | `no` | `yes`, `no`, `true`, `false`, `1`, `0` |
//! | `min_copies` | 1 | 1 to `max_copies`; empty or 0 for services |
//! | `max_copies` | 4, or `min_copies` if more | 1 to 1,000,000; empty or 0 for services |

use crate::{Column, Fault, Kind, Problem, Row, cell::Line};
use csv::{ReaderBuilder, StringRecord, Trim, WriterBuilder};
use mulberryrack_core::Name;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Minimum Jaro-Winkler similarity, from 0 to 1, of a name that is suggested for a wrong one.
const MIN_SIMILARITY: f64 = 0.8;

/// Parses a table. The returned rows are sorted by name.
///
/// # Errors
///
/// All problems of the text, ordered by line.
pub fn parse(text: &str) -> Result<Arc<[Row]>, Vec<Problem>> {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut reader = ReaderBuilder::new()
        .delimiter(detect_delimiter(text))
        .flexible(true)
        .has_headers(false)
        .trim(Trim::All)
        .from_reader(text.as_bytes());
    // Reading valid UTF-8 from memory cannot fail, and lines may differ in length.
    let mut records = reader.records().filter_map(Result::ok);
    let header = records.next().unwrap_or_default();
    let mut problems = Vec::new();
    let column_indexes = column_indexes(&header, &mut problems);
    let rows: Vec<(u64, Row)> = records
        .filter(|record| record.iter().any(|cell| !cell.is_empty()))
        .filter_map(|record| read_line(&record, header.len(), &column_indexes, &mut problems))
        .collect();
    check_names(&rows, &mut problems);
    if column_indexes[Column::Name as usize].is_some() {
        check_bases(&rows, &mut problems);
    }
    if rows.is_empty() && problems.is_empty() {
        problems.push(line_problem(1, Fault::NoRows));
    }
    if !problems.is_empty() {
        problems.sort_by_key(|problem| problem.line);
        return Err(problems);
    }
    let mut rows: Vec<Row> = rows.into_iter().map(|(_, row)| row).collect();
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(rows.into())
}

/// Writes a table as comma-separated text, which [`parse`] turns into the same rows.
///
/// # Panics
///
/// Never, because writing to memory cannot fail.
#[must_use]
pub fn render(rows: &[Row]) -> String {
    let mut writer = WriterBuilder::new().from_writer(Vec::new());
    writer
        .write_record(Column::ALL.map(Column::label))
        .expect("memory takes every write");
    for row in rows {
        writer
            .write_record(Column::ALL.map(|column| column.text(row)))
            .expect("memory takes every write");
    }
    let bytes = writer.into_inner().expect("memory takes every write");
    String::from_utf8(bytes).expect("cells are text")
}

/// Index in a line of each column of [`Column::ALL`]; `None` for columns that the header does
/// not have.
type ColumnIndexes = [Option<usize>; Column::ALL.len()];

fn detect_delimiter(text: &str) -> u8 {
    let header = text.lines().find(|line| !line.is_empty()).unwrap_or("");
    // `max_by_key` returns the last of equal maxima, so the comma, which is preferred, is last.
    [b'\t', b';', b',']
        .into_iter()
        .max_by_key(|delimiter| header.bytes().filter(|byte| byte == delimiter).count())
        .unwrap_or(b',')
}

fn column_indexes(header: &StringRecord, problems: &mut Vec<Problem>) -> ColumnIndexes {
    let labels: Vec<String> = header.iter().map(str::to_ascii_lowercase).collect();
    let columns: Vec<Option<Column>> = labels
        .iter()
        .map(|label| Column::from_label(label))
        .collect();
    for (index, column) in columns.iter().enumerate() {
        let fault = match column {
            None => Fault::UnknownColumn {
                nearest: nearest(&labels[index], Column::ALL, |column| column.label()),
            },
            Some(_) if columns[..index].contains(column) => Fault::DuplicateColumn,
            Some(_) => continue,
        };
        problems.push(header_problem(&header[index], &header[index], fault));
    }
    let unknown = || {
        (0..columns.len())
            .filter(|index| columns[*index].is_none())
            .map(|index| &*labels[index])
    };
    Column::ALL.map(|column| {
        let index = columns.iter().position(|found| *found == Some(column));
        if index.is_none() {
            let nearest = nearest(column.label(), unknown(), |label| label).map(Arc::from);
            let fault = Fault::MissingColumn { nearest };
            problems.push(header_problem(column.label(), "", fault));
        }
        index
    })
}

fn read_line(
    record: &StringRecord,
    expected: usize,
    column_indexes: &ColumnIndexes,
    problems: &mut Vec<Problem>,
) -> Option<(u64, Row)> {
    let number = record.position().map_or(0, csv::Position::line);
    if record.len() != expected {
        let found = record.len();
        problems.push(Problem {
            row: column_indexes[Column::Name as usize]
                .and_then(|index| record.get(index))
                .map(Name::from),
            ..line_problem(number, Fault::CellCount { found, expected })
        });
        return None;
    }
    let mut line = Line {
        number,
        cells: column_indexes.map(|index| index.map(|index| &record[index])),
        problems,
    };
    line.read().map(|row| (number, row))
}

fn check_names(rows: &[(u64, Row)], problems: &mut Vec<Problem>) {
    let mut first_lines: BTreeMap<&str, u64> = BTreeMap::new();
    for (line, row) in rows.iter().filter(|(_, row)| !row.name.is_empty()) {
        let first_line = *first_lines.entry(&row.name).or_insert(*line);
        if first_line != *line {
            let fault = Fault::DuplicateName { first_line };
            problems.push(cell_problem(*line, row, Column::Name, fault));
        }
    }
}

fn check_bases(rows: &[(u64, Row)], problems: &mut Vec<Problem>) {
    let models: BTreeMap<&str, &Name> = rows
        .iter()
        .filter(|(_, row)| row.kind == Kind::Model)
        .map(|(_, row)| (&*row.name, &row.name))
        .collect();
    // A row that could not be parsed is missing in `models`, yet may be the base model.
    let unparsed: BTreeSet<Name> = problems
        .iter()
        .filter(|problem| matches!(problem.column.as_deref(), None | Some("kind")))
        .filter_map(|problem| problem.row.clone())
        .collect();
    for (line, row) in rows {
        let Some(base) = &row.base else { continue };
        if !models.contains_key(&**base) && !unparsed.contains(base) {
            let nearest = nearest(base, models.values(), |name| name).map(|name| (*name).clone());
            problems.push(cell_problem(
                *line,
                row,
                Column::Base,
                Fault::UnknownBase { nearest },
            ));
        }
    }
}

fn nearest<T>(
    text: &str,
    known: impl IntoIterator<Item = T>,
    label: impl Fn(&T) -> &str,
) -> Option<T> {
    known
        .into_iter()
        .map(|item| (strsim::jaro_winkler(text, label(&item)), item))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, item)| item)
}

fn header_problem(column: &str, value: &str, fault: Fault) -> Problem {
    Problem {
        column: Some(column.into()),
        value: value.into(),
        ..line_problem(1, fault)
    }
}

fn cell_problem(line: u64, row: &Row, column: Column, fault: Fault) -> Problem {
    Problem {
        row: Some(row.name.clone()),
        column: Some(column.label().into()),
        value: column.text(row).into(),
        ..line_problem(line, fault)
    }
}

fn line_problem(line: u64, fault: Fault) -> Problem {
    Problem {
        line,
        row: None,
        column: None,
        value: Arc::default(),
        fault,
    }
}
