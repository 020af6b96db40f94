//! Conversion between tables and [`Record`], the form in which table versions are stored
//! and sent.

use mulberryrack_core::{Name, hash, request::Priority};
use mulberryrack_table::{Kind, Row, Table, delta::Delta};
use mulberryrack_wire::member::{self as wire, Record};
use prost::Message;
use std::{sync::Arc, time::Duration};

/// Why a record cannot be converted to a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The record is a delta to a version that is not available.
    MissingBase,
    /// The rows do not have the digest that the record states, or a row is invalid.
    Corrupt,
}

/// A record with all rows of a version.
#[must_use]
pub fn full(table: &Table) -> Record {
    Record {
        full: true,
        rows: table.rows.iter().map(to_wire).collect(),
        ..without_rows(table)
    }
}

/// A record with the metadata and the digest of a version, but without its rows.
#[must_use]
pub fn without_rows(table: &Table) -> Record {
    Record {
        version: table.version,
        change: table.change.to_string(),
        author: table.author.to_string(),
        digest: digest(&table.rows),
        ..Record::default()
    }
}

/// A record with the changes from `base` to `table`, or with all rows if the changes take
/// as many rows.
#[must_use]
pub fn delta(base: &Table, table: &Table) -> Record {
    let delta = Delta::between(&base.rows, &table.rows);
    if delta.upserts.len() >= table.rows.len() {
        return full(table);
    }
    Record {
        base_change: base.change.to_string(),
        rows: delta.upserts.iter().map(to_wire).collect(),
        removed: delta.removes.iter().map(ToString::to_string).collect(),
        ..without_rows(table)
    }
}

/// Converts a record to a table. `base` is the version in force, to which a delta
/// applies.
///
/// # Errors
///
/// [`Error::MissingBase`] if the record is a delta to another version than `base`;
/// [`Error::Corrupt`] if the rows do not match the record's digest.
pub fn to_table(record: &Record, base: Option<&Table>) -> Result<Table, Error> {
    let upserts = record
        .rows
        .iter()
        .map(from_wire)
        .collect::<Option<Vec<Row>>>()
        .ok_or(Error::Corrupt)?;
    let rows = if record.full {
        upserts.into()
    } else {
        let base = base
            .filter(|base| base.version + 1 == record.version)
            .filter(|base| *base.change == *record.base_change)
            .ok_or(Error::MissingBase)?;
        let removes = record.removed.iter().map(|name| name.as_str().into());
        let delta = Delta {
            upserts,
            removes: removes.collect(),
        };
        delta.apply(&base.rows)
    };
    assemble(record, rows)
}

/// Builds a table from the metadata of a record and all rows.
///
/// # Errors
///
/// [`Error::Corrupt`] if the rows are not sorted by name or do not have the record's
/// digest.
pub fn assemble(record: &Record, rows: Arc<[Row]>) -> Result<Table, Error> {
    let sorted = rows.is_sorted_by(|a, b| a.name < b.name);
    if !sorted || digest(&rows) != record.digest {
        return Err(Error::Corrupt);
    }
    Ok(Table {
        version: record.version,
        change: record.change.as_str().into(),
        author: record.author.as_str().into(),
        rows,
    })
}

/// Exclusive or of the hashes of all rows; equal for equal sets of rows.
#[must_use]
pub fn digest(rows: &[Row]) -> u64 {
    rows.iter()
        .map(|row| hash::stable(&to_wire(row).encode_to_vec(), 0))
        .fold(0, |digest, hash| digest ^ hash)
}

/// Converts a row to its wire form.
#[must_use]
pub fn to_wire(row: &Row) -> wire::Row {
    wire::Row {
        name: row.name.to_string(),
        kind: match row.kind {
            Kind::Model => 0,
            Kind::Adapter => 1,
            Kind::Service => 2,
        },
        base: row.base.as_ref().map(ToString::to_string),
        version: row.version.to_string(),
        memory_mb: row.memory_mb,
        share: row.share,
        priority: match row.priority {
            Priority::Urgent => 0,
            Priority::Normal => 1,
            Priority::Bulk => 2,
        },
        ceiling: row.ceiling,
        first_token_us: micros(row.first_token),
        token_gap_us: micros(row.token_gap),
        repeatable: row.repeatable,
        min_copies: row.min_copies,
        max_copies: row.max_copies,
    }
}

/// Converts a row from its wire form; `None` if an enum field has an unknown value.
#[must_use]
pub fn from_wire(row: &wire::Row) -> Option<Row> {
    Some(Row {
        name: row.name.as_str().into(),
        kind: match row.kind {
            0 => Kind::Model,
            1 => Kind::Adapter,
            2 => Kind::Service,
            _ => return None,
        },
        base: row.base.as_deref().map(Name::from),
        version: row.version.as_str().into(),
        memory_mb: row.memory_mb,
        share: row.share,
        priority: match row.priority {
            0 => Priority::Urgent,
            1 => Priority::Normal,
            2 => Priority::Bulk,
            _ => return None,
        },
        ceiling: row.ceiling,
        first_token: Duration::from_micros(row.first_token_us),
        token_gap: Duration::from_micros(row.token_gap_us),
        repeatable: row.repeatable,
        min_copies: row.min_copies,
        max_copies: row.max_copies,
    })
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
