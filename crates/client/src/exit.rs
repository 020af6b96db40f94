//! Errors and exit codes of the client.

use std::{fmt, process::ExitCode};

/// Exit codes of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded: 0.
    Done,
    /// The command was refused or a check failed; nothing was changed: 1.
    Refused,
    /// An argument or a file cannot be used: 2.
    Usage,
    /// No host could be reached; nothing was changed: 3.
    Unreachable,
    /// It is not known whether the command took effect: 4.
    Unknown,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(match code {
            Code::Done => 0,
            Code::Refused => 1,
            Code::Usage => 2,
            Code::Unreachable => 3,
            Code::Unknown => 4,
        })
    }
}

/// Why a command could not be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A file could not be used.
    File {
        /// Its path.
        path: String,
        /// What went wrong.
        reason: String,
    },
    /// No connection to any host could be opened.
    Unreachable {
        /// Why the last host could not be reached.
        reason: String,
    },
    /// The command was sent, but no answer was received.
    Unanswered {
        /// Why the call failed.
        reason: String,
    },
    /// The host's answer cannot be parsed or does not fit the command.
    Unexpected {
        /// The answer as received.
        answer: String,
    },
    /// Another step of the command failed.
    Failed {
        /// What went wrong.
        reason: String,
    },
}

impl Error {
    /// The exit code for the error.
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Self::File { .. } => Code::Usage,
            Self::Unreachable { .. } => Code::Unreachable,
            Self::Unanswered { .. } => Code::Unknown,
            Self::Unexpected { .. } | Self::Failed { .. } => Code::Refused,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, reason } => write!(f, "{path}: {reason}"),
            Self::Unreachable { reason } => write!(f, "no host could be reached: {reason}"),
            Self::Unanswered { reason } => write!(f, "no answer came: {reason}"),
            Self::Unexpected { answer } => write!(f, "unexpected answer: {answer}"),
            Self::Failed { reason } => write!(f, "{reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of a command: an exit code unless another type is given.
pub type Result<T = Code> = std::result::Result<T, Error>;
