//! Traces in JSON lines: requests of callers, commands of operators, and faults.
//!
//! ```
//! use mulberryrack_replay::trace::{Act, Line};
//!
//! let line = r#"{"at_ms":1200,"act":"request","target":"salon-questions","prompt_tokens":300,
//!     "answer_tokens":40,"deadline_ms":4000,"group":"salon-7"}"#;
//! let line: Line = serde_json::from_str(line).unwrap();
//! assert!(matches!(line.act, Act::Request(_)));
//! ```

use mulberryrack_core::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One line of a trace: an act and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Milliseconds since the start of the trace.
    pub at_ms: u64,
    /// The act that happens at this time.
    #[serde(flatten)]
    pub act: Act,
}

/// A request, a command of an operator, or a fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "kebab-case")]
pub enum Act {
    /// A caller sends a request.
    Request(Request),
    /// An operator accepts a table.
    Accept {
        /// File name of the table, in the deployment's directory.
        table: Name,
    },
    /// A host is killed, and starts again as a new life if `back_ms` is given.
    KillHost {
        /// The host's name.
        host: Name,
        /// Milliseconds until the host starts again; `None` for never.
        back_ms: Option<u64>,
    },
    /// A host is told to drain and leave.
    DrainHost {
        /// The host's name.
        host: Name,
    },
    /// A host is paused; messages to it are delivered when the pause ends.
    PauseHost {
        /// The host's name.
        host: Name,
        /// Length of the pause in milliseconds.
        for_ms: u64,
    },
    /// Hosts lose contact with all other hosts, but not with each other, callers, upstreams
    /// or the platform.
    CutHosts {
        /// Names of the hosts that are cut off.
        hosts: Vec<Name>,
        /// Length of the cut in milliseconds.
        for_ms: u64,
    },
    /// The key-value service does not answer.
    KvOutage {
        /// Length of the outage in milliseconds.
        for_ms: u64,
    },
    /// The key-value service answers late.
    KvSlow {
        /// Milliseconds added to each answer.
        add_ms: u64,
        /// Length of the fault in milliseconds.
        for_ms: u64,
    },
    /// Some answers of the key-value service are lost after their calls took effect.
    KvLosesAnswers {
        /// Share of the answers that are lost, in percent.
        percent: u32,
        /// Length of the fault in milliseconds.
        for_ms: u64,
    },
    /// Some orders to engines are lost or arrive late.
    OrdersLost {
        /// Share of the orders that go unanswered, in percent. The same share of these is
        /// lost; the others arrive late.
        percent: u32,
        /// Length of the fault in milliseconds.
        for_ms: u64,
    },
    /// An engine crashes and starts again with empty memory.
    CrashEngine {
        /// The engine's name.
        engine: Name,
        /// Milliseconds until the engine is back; `None` for never.
        back_ms: Option<u64>,
    },
    /// An engine announces that it is about to leave.
    EngineLeaves {
        /// The engine's name.
        engine: Name,
    },
    /// Open streams of an upstream fall silent for good; streams opened later work.
    SilentStreams {
        /// The upstream's name.
        upstream: Name,
    },
}

/// A request of a caller in a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the row that is called.
    pub target: Name,
    /// Idempotency key, for rows that are not repeatable.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Name>,
    /// Group of requests whose prompts share their first half.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Name>,
    /// Length of the prompt in tokens; 0 for services.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Length of the answer in tokens; 0 for services.
    #[serde(default)]
    pub answer_tokens: u32,
    /// Time from the first attempt to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request crashes each engine that runs it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub poison: bool,
}

/// A line of a trace that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong with the line.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for Error {}

/// Reads a trace, skipping empty lines and lines that start with `#`.
///
/// # Errors
///
/// Returns the first line that is malformed, or earlier than the line before it.
pub fn parse(text: &str) -> Result<Vec<Line>, Error> {
    let mut lines: Vec<Line> = Vec::new();
    for (index, text) in text.lines().enumerate() {
        if text.trim().is_empty() || text.starts_with('#') {
            continue;
        }
        let error = |reason: String| Error {
            line: index + 1,
            reason,
        };
        let line: Line =
            serde_json::from_str(text).map_err(|problem| error(problem.to_string()))?;
        if lines.last().is_some_and(|last| last.at_ms > line.at_ms) {
            return Err(error("at_ms is earlier than on the line before".to_owned()));
        }
        lines.push(line);
    }
    Ok(lines)
}

/// Renders a trace as JSON lines, as [`parse`] reads them.
#[must_use]
pub fn render(lines: &[Line]) -> String {
    lines
        .iter()
        .filter_map(|line| serde_json::to_string(line).ok())
        .map(|text| text + "\n")
        .collect()
}
