//! Conversion of tables to records and back.

mod common;

use common::{edited, rows};
use mulberryrack_core::Name;
use mulberryrack_member::record::{self, Error};
use mulberryrack_table::{Row, Table};
use mulberryrack_wire::member::Record;
use prost::Message;

/// Number of rows of the largest table: 860 models with their adapters.
const ROWS: usize = 3_000;

fn table(version: u64, rows: Vec<Row>) -> Table {
    Table {
        version,
        change: Name::from(format!("change-{version}")),
        author: "operator".into(),
        rows: rows.into(),
    }
}

#[test]
fn full_record_of_the_largest_table_fits_one_stored_value() {
    let bytes = record::full(&table(1, rows(ROWS, 1))).encode_to_vec();
    assert!(bytes.len() < 512 * 1_024, "{} bytes", bytes.len());
    let record = Record::decode(&*bytes).expect("decodes");
    let read = record::to_table(&record, None).expect("is whole");
    assert_eq!(read, table(1, rows(ROWS, 1)));
}

#[test]
fn one_edited_row_is_a_small_record() {
    let old = table(1, rows(ROWS, 1));
    let new = table(2, edited(ROWS, 9, 5));
    let delta = record::delta(&old, &new);
    assert!(delta.encoded_len() < 256, "{} bytes", delta.encoded_len());
    assert_eq!(record::to_table(&delta, Some(&old)), Ok(new));
}

#[test]
fn delta_needs_its_own_base() {
    let old = table(1, rows(40, 1));
    let delta = record::delta(&old, &table(2, edited(40, 9, 5)));
    assert_eq!(record::to_table(&delta, None), Err(Error::MissingBase));
    let mut other = old.clone();
    other.change = "another".into();
    assert_eq!(
        record::to_table(&delta, Some(&other)),
        Err(Error::MissingBase)
    );
}

#[test]
fn record_with_a_missing_row_is_refused() {
    let old = table(1, rows(40, 1));
    let mut full = record::full(&old);
    full.rows.pop();
    assert_eq!(record::to_table(&full, None), Err(Error::Corrupt));
    let mut delta = record::delta(&old, &table(2, edited(40, 9, 5)));
    delta.rows.clear();
    assert_eq!(record::to_table(&delta, Some(&old)), Err(Error::Corrupt));
}
