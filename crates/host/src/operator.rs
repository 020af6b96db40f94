//! Commands of the operators' client and the answers to them, both sent as JSON.

use mulberryrack_core::Name;
use serde::{Deserialize, Serialize};

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case")]
pub enum Command {
    /// Check whether a table could be accepted and compare it with the one in force; changes
    /// nothing.
    Check {
        /// The table as CSV.
        csv: String,
    },
    /// Make a table the next version.
    Accept {
        /// The table as CSV.
        csv: String,
        /// The version that the operator edited; 0 for the first table. A repeated command has
        /// the same value.
        parent: u64,
        /// Unique id of the change. A repeated command has the same id, so that the change is made
        /// only once.
        change: Name,
        /// Name of the operator who accepts the table.
        author: Name,
    },
    /// Show one version of the table.
    Show {
        /// Number of the version; `None` for the one in force.
        version: Option<u64>,
    },
    /// List the stored versions of the table.
    History,
    /// Show which version of the table each host has in force.
    Progress,
    /// Show hosts, engines and table versions.
    Status,
    /// Show the copies of a row, the pending orders for it and the planned steps with their
    /// reasons.
    Explain {
        /// Name of the row.
        row: Name,
    },
    /// Start to drain the host that receives the command.
    Drain,
}

/// The answer to a command. Every command gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// The table has no problems and could be accepted.
    Checked {
        /// The version in force, with which the table was compared; 0 for none.
        version: u64,
        /// Differences from that version to the table, one line each.
        changes: Vec<String>,
    },
    /// The table has problems; nothing was changed.
    Invalid {
        /// The problems, one line each.
        problems: Vec<String>,
    },
    /// The table is stored as the next version, by this command or by an earlier one with the same
    /// change id. The answering host puts it in force; other hosts adopt it from the key-value
    /// store and from each other.
    Accepted {
        /// Number of the version.
        version: u64,
    },
    /// Another change with the same parent was stored first; nothing was written.
    Lost {
        /// The version in force.
        version: u64,
        /// Name of the operator who accepted that version.
        author: Name,
        /// Differences from the refused table to that version, one line each.
        changes: Vec<String>,
    },
    /// The table in force.
    Table(Version),
    /// Stored versions: the newest hundred, or the one that was asked for.
    History {
        /// The versions, newest first. Only a version that was asked for by its number has its
        /// rows; empty if it is not stored.
        versions: Vec<Version>,
    },
    /// The version of the table that each host has in force.
    Progress {
        /// The version in force on the answering host; 0 for none.
        version: u64,
        /// All hosts that are not known to be dead.
        hosts: Vec<Applied>,
    },
    /// State of the deployment.
    Status(Box<Status>),
    /// Copies, pending orders and planned steps of a row, as text for people.
    Explained {
        /// Name of the row.
        row: Name,
        /// One line for each copy, order or step.
        lines: Vec<String>,
    },
    /// The host drains.
    Draining,
    /// The command failed, and nothing was changed.
    Failed {
        /// Why the command failed.
        reason: String,
    },
    /// It is not known whether the command took effect. The operator repeats it with the same
    /// change id.
    Unknown {
        /// Why it is not known.
        reason: String,
    },
}

/// A version of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the version.
    pub version: u64,
    /// Id of the change that made the version.
    pub change: Name,
    /// Name of the operator who accepted the version.
    pub author: Name,
    /// Number of rows; `None` in a history.
    pub rows: Option<usize>,
    /// The table as CSV; empty in a history.
    pub csv: String,
}

/// The version of the table that a host has in force, as far as the answering host knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Name of the host.
    pub host: Name,
    /// Number of the version; 0 for none.
    pub version: u64,
    /// Whether heartbeats of the host arrive.
    pub alive: bool,
}

/// State of the deployment as the answering host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the answering host.
    pub host: Name,
    /// Version of the table in force on the answering host; 0 for none.
    pub version: u64,
    /// Whether the answering host has recent confirmation that no newer version exists.
    pub current: bool,
    /// Number of callers' requests that the answering host has open.
    pub requests: usize,
    /// All known hosts.
    pub hosts: Vec<Member>,
    /// One line for each engine with the rows on it.
    pub engines: Vec<String>,
}

/// A host in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub name: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Standing of the host in lower case: `alive`, `suspect`, `leaving`, `dead` or `gone`.
    pub standing: String,
    /// Version of the table in force on the host, as far as the answering host knows; 0 for none.
    pub version: u64,
}
