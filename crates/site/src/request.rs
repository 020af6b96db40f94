//! A caller's request as its head describes it.

use mulberryrack_core::Name;
use std::time::Duration;

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Names the part's content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a generation needs of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// The base model.
    pub model: Name,
    /// The adapter of it, if one is asked for.
    pub adapter: Option<Name>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Parts of the prompt in order; the last belongs to the request or its session.
    pub parts: Vec<Part>,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Unique to one attempt of the caller.
    pub attempt: Name,
    /// Host name that the caller used.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// What it needs of an engine; `None` for plain services.
    pub generation: Option<Generation>,
}

/// Why a head cannot be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It names no attempt.
    NoAttempt,
    /// It names no host.
    NoHost,
    /// A field of it is malformed.
    Malformed(&'static str),
}

/// What is added to a request on its way to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// The upstream that is to run it; any other refuses.
    pub upstream: Name,
    /// Time that is left for it.
    pub left: Duration,
    /// Rank at the engine; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Event after which a stream goes on.
    pub resume_after: Option<Name>,
}
