//! Answers to operators' commands.

use crate::operator::{Answer, Version};
use mulberryrack_core::Name;
use mulberryrack_member::ProposalOutcome;
use mulberryrack_place::{Shortfall, Status};
use mulberryrack_table::{Row, Table, csv, diff};
use mulberryrack_wire::place::Engine;
use std::{collections::BTreeMap, sync::Arc};

/// The answer to an accepted or refused proposal of `rows`.
pub fn accepted(outcome: ProposalOutcome, rows: &[Row]) -> Answer {
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

/// The answer to a read of one version or of the history.
pub fn read(tables: Option<Vec<Arc<Table>>>) -> Answer {
    match tables {
        None => Answer::Failed {
            reason: "the key-value service cannot be read".to_owned(),
        },
        Some(tables) => Answer::History {
            // A listing of many versions comes without their rows.
            versions: tables
                .iter()
                .map(|table| version(table, !table.rows.is_empty()))
                .collect(),
        },
    }
}

/// One version for the operator.
pub fn version(table: &Table, whole: bool) -> Version {
    Version {
        version: table.version,
        change: table.change.clone(),
        author: table.author.clone(),
        rows: whole.then(|| table.rows.len()),
        csv: if whole {
            csv::render(&table.rows)
        } else {
            String::new()
        },
    }
}

/// Differences, one line each.
pub fn changes(old: &[Row], new: &[Row]) -> Vec<String> {
    diff::compare(old, new)
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Why a table cannot be placed.
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

/// Every engine with its rows, one line each.
pub fn engines(engines: &BTreeMap<Name, Engine>) -> Vec<String> {
    engines
        .iter()
        .map(|(name, engine)| {
            let leaving = if engine.leaving { " leaving" } else { "" };
            let rows: Vec<String> = engine
                .residents
                .iter()
                .map(|one| {
                    let mark = if one.routable { "" } else { "?" };
                    format!("{}@{}{mark}", one.row, one.version)
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

/// The copies of a row, one line each.
pub fn copies(engines: &BTreeMap<Name, Engine>, row: &str) -> Vec<String> {
    engines
        .iter()
        .flat_map(|(name, engine)| {
            let copies = engine.residents.iter().filter(move |one| one.row == row);
            copies.map(move |one| {
                let state = if one.routable {
                    "routable"
                } else {
                    "not routable"
                };
                format!("{name} in {}: {} {state}", engine.data_centre, one.version)
            })
        })
        .collect()
}

/// What a planner knows of a row beyond its copies, one line each.
pub fn plan(status: &Status, row: &str) -> Vec<String> {
    let pending = status
        .placements
        .iter()
        .filter(|one| *one.row == *row && (one.load_pending || one.unload_pending))
        .map(|one| {
            let order = if one.load_pending { "load" } else { "unload" };
            format!("pending on {}: {order} of {}", one.engine, one.version)
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
