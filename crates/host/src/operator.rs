//! Commands of the operators' client, and their answers. Both travel as JSON.

use mulberryrack_core::Name;
use serde::{Deserialize, Serialize};

/// A command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case")]
pub enum Command {
    /// Checks a table and compares it with the one in force; changes nothing.
    Check {
        /// The table as CSV.
        csv: String,
    },
    /// Accepts a table.
    Accept {
        /// The table as CSV.
        csv: String,
        /// The version that was edited, 0 for the first table; the same when the command is
        /// repeated.
        parent: u64,
        /// Unique id of the change; the same when the command is repeated.
        change: Name,
        /// Who accepts.
        author: Name,
    },
    /// Reads one version; `None` for the one in force.
    Show {
        /// The version.
        version: Option<u64>,
    },
    /// Lists the versions kept.
    History,
    /// Which hosts have which version in force.
    Progress,
    /// Hosts, engines and versions.
    Status,
    /// Where a row is, why, and what is pending.
    Explain {
        /// Row name.
        row: Name,
    },
    /// Lets this host leave.
    Drain,
}

/// An answer. Every command gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// The table can be accepted.
    Checked {
        /// The version it was compared with; 0 for none.
        version: u64,
        /// Differences, one line each.
        changes: Vec<String>,
    },
    /// The table has problems; nothing was changed.
    Invalid {
        /// One line each.
        problems: Vec<String>,
    },
    /// The table is in force on the answering host and spreads.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// Another change came first; nothing was written.
    Lost {
        /// The version that won.
        version: u64,
        /// Who accepted it.
        author: Name,
        /// Differences from the refused table to the winner, one line each.
        changes: Vec<String>,
    },
    /// A version of the table.
    Table(Version),
    /// The versions kept, newest first.
    History {
        /// Without their rows.
        versions: Vec<Version>,
    },
    /// Which hosts have which version in force.
    Progress {
        /// The newest version known here.
        version: u64,
        /// All live hosts.
        hosts: Vec<Applied>,
    },
    /// State of the deployment.
    Status(Box<Status>),
    /// Why a row is where it is; lines for people.
    Explained {
        /// Row name.
        row: Name,
        /// One fact a line.
        lines: Vec<String>,
    },
    /// The host has begun to leave.
    Draining,
    /// The command could not be carried out, and nothing was changed.
    Failed {
        /// What went wrong.
        reason: String,
    },
    /// It is not known whether the command took effect: repeat it with the same id.
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

/// A version of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Its number.
    pub version: u64,
    /// The change that made it.
    pub change: Name,
    /// Who accepted it.
    pub author: Name,
    /// Rows in it; `None` in listings.
    pub rows: Option<usize>,
    /// The table as CSV; empty in listings.
    pub csv: String,
}

/// The version that a host has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The host.
    pub host: Name,
    /// The version; 0 for none.
    pub version: u64,
    /// Whether the host is known to be up.
    pub alive: bool,
}

/// State of the deployment as the answering host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The answering host.
    pub host: Name,
    /// The version in force here; 0 for none.
    pub version: u64,
    /// Whether this host can show that its table is current.
    pub current: bool,
    /// Requests being served here.
    pub requests: usize,
    /// All hosts with their standing.
    pub hosts: Vec<Member>,
    /// Engines with the rows on them, one line each.
    pub engines: Vec<String>,
}

/// A host in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its standing, in lower case.
    pub standing: String,
    /// The version that it has in force, as far as known here.
    pub version: u64,
}
