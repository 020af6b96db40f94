//! Conversion of results to the answers and text lines that operators get.

use crate::operator::{Answer, Version};
use mulberryrack_core::Name;
use mulberryrack_member::ProposalOutcome;
use mulberryrack_place::{Shortfall, Status};
use mulberryrack_table::{Row, Table, csv, diff};
use mulberryrack_wire::place::Engine;
use std::{collections::BTreeMap, sync::Arc};

/// The answer to a proposal with the given outcome. `rows` are the proposed rows, to be compared
/// with the table that was stored instead.
pub fn proposal_answer(outcome: ProposalOutcome, rows: &[Row]) -> Answer {
    match outcome {
        ProposalOutcome::Accepted { version } => Answer::Accepted { version },
        ProposalOutcome::Conflict { winner } => Answer::Lost {
            version: winner.version,
            author: winner.author.clone(),
            changes: changes(rows, &winner.rows),
        },
        ProposalOutcome::NotWritten => Answer::Failed {
            reason: "the key-value service cannot be reached; nothing was written".to_owned(),
        },
        ProposalOutcome::Unknown => Answer::Unknown {
            reason: "the key-value service did not confirm the write; repeat the command \
                     with the same change id"
                .to_owned(),
        },
    }
}

/// The answer to a read of one version or of the history. `tables` is `None` if the key-value
/// store could not be read.
pub fn read_answer(tables: Option<Vec<Arc<Table>>>) -> Answer {
    match tables {
        None => Answer::Failed {
            reason: "the key-value service cannot be read".to_owned(),
        },
        Some(tables) => Answer::History {
            // Tables of a history come without their rows.
            versions: tables
                .iter()
                .map(|table| version(table, !table.rows.is_empty()))
                .collect(),
        },
    }
}

/// A version of the table as operators get it; `with_rows` adds the rows and their number.
pub fn version(table: &Table, with_rows: bool) -> Version {
    Version {
        version: table.version,
        change: table.change.clone(),
        author: table.author.clone(),
        rows: with_rows.then(|| table.rows.len()),
        csv: if with_rows {
            csv::render(&table.rows)
        } else {
            String::new()
        },
    }
}

/// Differences from `old` to `new`, one line each.
pub fn changes(old: &[Row], new: &[Row]) -> Vec<String> {
    diff::compare(old, new)
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// One line on a row whose minimum number of copies has no room on the engines.
pub fn shortfall(short: &Shortfall) -> String {
    let Shortfall {
        row,
        copies,
        missing_mb,
        engine,
        data_centre,
    } = short;
    if engine.is_empty() {
        return format!("row {row}: {copies} copies cannot be placed; there is no engine");
    }
    format!(
        "row {row}: {copies} copies cannot be placed; {missing_mb} MB are missing on {engine} \
         in {data_centre}, the engine with most room"
    )
}

/// One line for each engine with the rows on it; `?` marks a copy that requests are not sent to.
pub fn engines(engines: &BTreeMap<Name, Engine>) -> Vec<String> {
    engines
        .iter()
        .map(|(name, engine)| {
            let leaving = if engine.leaving { " leaving" } else { "" };
            let rows: Vec<String> = engine
                .residents
                .iter()
                .map(|resident| {
                    let mark = if resident.routable { "" } else { "?" };
                    format!("{}@{}{mark}", resident.row, resident.version)
                })
                .collect();
            format!(
                "{name} in {}{leaving}: {}",
                engine.data_centre,
                rows.join(" ")
            )
        })
        .collect()
}

/// One line for each copy of a row.
pub fn copies(engines: &BTreeMap<Name, Engine>, row: &str) -> Vec<String> {
    engines
        .iter()
        .flat_map(|(name, engine)| {
            let copies = engine
                .residents
                .iter()
                .filter(move |resident| resident.row == row);
            copies.map(move |resident| {
                let state = if resident.routable {
                    "routable"
                } else {
                    "not routable"
                };
                format!(
                    "{name} in {}: {} {state}",
                    engine.data_centre, resident.version
                )
            })
        })
        .collect()
}

/// One line for each pending order and each planned step for a row.
pub fn plan(status: &Status, row: &str) -> Vec<String> {
    let pending = status
        .placements
        .iter()
        .filter(|placement| {
            *placement.row == *row && (placement.load_pending || placement.unload_pending)
        })
        .map(|placement| {
            let order = if placement.load_pending {
                "load"
            } else {
                "unload"
            };
            format!(
                "pending on {}: {order} of {}",
                placement.engine, placement.version
            )
        });
    let planned = status
        .plan
        .iter()
        .filter(|step| *step.row == *row)
        .map(|step| {
            let order = if step.load { "load" } else { "unload" };
            let reason = step.reason.label();
            format!(
                "planned on {}: {order} of {}, reason {reason}",
                step.engine, step.version
            )
        });
    pending.chain(planned).collect()
}
