//! The form in which versions of the table are stored and sent.

use mulberryrack_core::{Name, hash, request::Priority};
use mulberryrack_table::{Kind, Row, Table, delta::Delta};
use mulberryrack_wire::member::{self as wire, Record};
use prost::Message;
use std::{sync::Arc, time::Duration};

/// Why a record cannot be turned into a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is the difference to a version that is not at hand.
    Base,
    /// Its rows do not have the digest that it names, or a row is not valid.
    Broken,
}

/// A version as a whole.
#[must_use]
pub fn full(table: &Table) -> Record {
    Record {
        full: true,
        rows: table.rows.iter().map(to_wire).collect(),
        ..head(table)
    }
}

/// A version without its rows.
#[must_use]
pub fn head(table: &Table) -> Record {
    Record {
        version: table.version,
        change: table.change.to_string(),
        author: table.author.to_string(),
        digest: digest(&table.rows),
        ..Record::default()
    }
}

/// A version as the difference to the one before, or as a whole where that is shorter.
#[must_use]
pub fn step(base: &Table, table: &Table) -> Record {
    let delta = Delta::between(&base.rows, &table.rows);
    if delta.upserts.len() >= table.rows.len() {
        return full(table);
    }
    Record {
        base_change: base.change.to_string(),
        rows: delta.upserts.iter().map(to_wire).collect(),
        removed: delta.removes.iter().map(ToString::to_string).collect(),
        ..head(table)
    }
}

/// The table of a record, given the version in force.
///
/// # Errors
///
/// [`Fault`] if the record needs another base or does not hold what it says.
pub fn table(record: &Record, base: Option<&Table>) -> Result<Table, Fault> {
    let upserts = record
        .rows
        .iter()
        .map(from_wire)
        .collect::<Option<Vec<Row>>>()
        .ok_or(Fault::Broken)?;
    let rows = if record.full {
        upserts.into()
    } else {
        let base = base
            .filter(|base| base.version + 1 == record.version)
            .filter(|base| *base.change == *record.base_change)
            .ok_or(Fault::Base)?;
        let removes = record.removed.iter().map(|name| name.as_str().into());
        let delta = Delta {
            upserts,
            removes: removes.collect(),
        };
        delta.apply(&base.rows)
    };
    assemble(record, rows)
}

/// A table from a record's head and all rows.
///
/// # Errors
///
/// [`Fault::Broken`] if the rows are not sorted or do not have the record's digest.
pub fn assemble(record: &Record, rows: Arc<[Row]>) -> Result<Table, Fault> {
    let sorted = rows.is_sorted_by(|a, b| a.name < b.name);
    if !sorted || digest(&rows) != record.digest {
        return Err(Fault::Broken);
    }
    Ok(Table {
        version: record.version,
        change: record.change.as_str().into(),
        author: record.author.as_str().into(),
        rows,
    })
}

/// Exclusive or of the hashes of all rows.
#[must_use]
pub fn digest(rows: &[Row]) -> u64 {
    rows.iter()
        .map(|row| hash::stable(&to_wire(row).encode_to_vec(), 0))
        .fold(0, |all, one| all ^ one)
}

/// A row in its sent form.
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

/// A row from its sent form; `None` if a field has a value that is not known.
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

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
