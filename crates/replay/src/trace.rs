//! Recorded traces: what callers and operators did and what failed, a JSON line each.
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

/// One event of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Milliseconds since the start of the trace.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub act: Act,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "kebab-case")]
pub enum Act {
    /// A caller sends a request.
    Request(Request),
    /// An operator accepts a table.
    Accept {
        /// File beside the deployment's settings.
        table: Name,
    },
    /// A host dies. It starts again, as a new life, after a time.
    KillHost {
        /// The host's name.
        host: Name,
        /// Milliseconds until it is back; `None` for never.
        back_ms: Option<u64>,
    },
    /// A host is told to leave.
    DrainHost {
        /// The host's name.
        host: Name,
    },
    /// A host stands still, with everything sent to it waiting.
    PauseHost {
        /// The host's name.
        host: Name,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// Hosts are cut off from all others, not from callers, upstreams or the platform.
    CutHosts {
        /// Their names.
        hosts: Vec<Name>,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// The key-value service does not answer.
    KvOutage {
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// The key-value service is slow.
    KvSlow {
        /// Milliseconds added to each call.
        add_ms: u64,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// Some answers of the key-value service are lost, after their calls took effect.
    KvLosesAnswers {
        /// Of a hundred.
        percent: u32,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// Some orders to engines are lost, and some arrive late.
    OrdersLost {
        /// Of a hundred lost, and as many late.
        percent: u32,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// An engine dies, and starts again empty.
    CrashEngine {
        /// The engine's name.
        engine: Name,
        /// Milliseconds until it is back; `None` for never.
        back_ms: Option<u64>,
    },
    /// An engine announces that it goes away.
    EngineLeaves {
        /// The engine's name.
        engine: Name,
    },
    /// Streams open on an upstream go silent for good; new ones work.
    SilentStreams {
        /// The upstream's name.
        upstream: Name,
    },
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Row name.
    pub target: Name,
    /// Idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Name>,
    /// Requests of one group share the start of their prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Name>,
    /// Tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens in the answer.
    #[serde(default)]
    pub answer_tokens: u32,
    /// Time to answer in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request crashes every engine that runs it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub poison: bool,
}

/// Why a trace cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for Error {}

/// Reads a trace; empty lines and lines that start with `#` are passed over.
///
/// # Errors
///
/// The first line that is malformed, or earlier than the one before it.
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

/// Writes a trace.
#[must_use]
pub fn render(lines: &[Line]) -> String {
    lines
        .iter()
        .filter_map(|line| serde_json::to_string(line).ok())
        .map(|text| text + "\n")
        .collect()
}
