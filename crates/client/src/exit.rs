//! Exit codes and errors of the client.

use std::{fmt, process::ExitCode};

/// How the client ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done.
    Done,
    /// Refused, or a check failed; nothing was changed.
    Refused,
    /// Wrong arguments or files.
    Usage,
    /// No host could be reached; nothing was changed.
    Unreachable,
    /// It is not known whether the command took effect.
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
    /// No host answered; the reason of the last one.
    Unreachable {
        /// What went wrong.
        reason: String,
    },
    /// The command was sent, and no answer came.
    Unanswered {
        /// What went wrong.
        reason: String,
    },
    /// The host answered with something else than was asked for.
    Unexpected {
        /// The answer.
        answer: String,
    },
    /// A part of the work failed.
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

/// What a command comes to.
pub type Result<T = Code> = std::result::Result<T, Error>;
