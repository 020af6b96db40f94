//! The stored form of the table.

mod common;

use common::{edited, rows};
use mulberryrack_core::Name;
use mulberryrack_member::record::{self, Fault};
use mulberryrack_table::{Row, Table};
use mulberryrack_wire::member::Record;
use prost::Message;

/// 860 models with their adapters.
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
fn whole_table_of_the_largest_size_fits_one_value_with_room() {
    let bytes = record::full(&table(1, rows(ROWS, 1))).encode_to_vec();
    assert!(bytes.len() < 512 * 1_024, "{} bytes", bytes.len());
    let record = Record::decode(&*bytes).expect("decodes");
    let read = record::table(&record, None).expect("is whole");
    assert_eq!(read, table(1, rows(ROWS, 1)));
}

#[test]
fn one_edited_row_is_a_small_record() {
    let old = table(1, rows(ROWS, 1));
    let new = table(2, edited(ROWS, 9, 5));
    let step = record::step(&old, &new);
    assert!(step.encoded_len() < 256, "{} bytes", step.encoded_len());
    assert_eq!(record::table(&step, Some(&old)), Ok(new));
}

#[test]
fn step_needs_its_own_base() {
    let old = table(1, rows(40, 1));
    let step = record::step(&old, &table(2, edited(40, 9, 5)));
    assert_eq!(record::table(&step, None), Err(Fault::Base));
    let mut other = old.clone();
    other.change = "another".into();
    assert_eq!(record::table(&step, Some(&other)), Err(Fault::Base));
}

#[test]
fn record_that_lost_a_row_is_refused() {
    let old = table(1, rows(40, 1));
    let mut whole = record::full(&old);
    whole.rows.pop();
    assert_eq!(record::table(&whole, None), Err(Fault::Broken));
    let mut step = record::step(&old, &table(2, edited(40, 9, 5)));
    step.rows.clear();
    assert_eq!(record::table(&step, Some(&old)), Err(Fault::Broken));
}
