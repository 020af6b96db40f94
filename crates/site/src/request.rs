//! The head of a caller's request, and the fields added before it is sent to an upstream.

use crate::organisation::Key;
use mulberryrack_core::{Name, hash};
use std::time::Duration;

/// A consecutive section of a prompt. Prompts with equal leading sections share the
/// engine's cached work for those sections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the section; equal ids mean equal content.
    pub id: u64,
    /// Length of the section in tokens.
    pub tokens: u32,
}

/// What a text generation request needs of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Name of the base model.
    pub model: Name,
    /// Adapter on top of the base model; `None` if the request names only the base model.
    pub adapter: Option<Name>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Largest length of the answer in tokens.
    pub output_tokens: u32,
    /// Sections of the prompt in order. The last section belongs to this request or its
    /// session only; the sections before it may be shared with other prompts.
    pub prompt_parts: Vec<PromptPart>,
}

impl Generation {
    /// The parts of the prompt that other prompts may share: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        let [shared @ .., _own] = &self.prompt_parts[..] else {
            return &[];
        };
        shared
    }
}

/// The fields of a caller's request head that decide where the request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Unique to one attempt: a caller that sends the request again uses a new id.
    pub attempt_id: Name,
    /// Host name in the request, without the port.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// How long the caller waits for the answer; `None` if only the route's timeout applies.
    pub timeout: Option<Duration>,
    /// What the request needs of a model engine; `None` for requests to plain services.
    pub generation: Option<Generation>,
    /// The key that the request carries; `None` if it carries none.
    pub key: Option<Key>,
}

/// Hash of the method, host, path with query and body of a request. All attempts at one
/// request share it, whoever sends them and at whichever host.
#[must_use]
pub fn fingerprint(method: &str, host: &str, path_and_query: &str, body: &[u8]) -> u128 {
    let mut text = Vec::with_capacity(body.len() + 128);
    for part in [method, host, path_and_query] {
        text.extend_from_slice(part.as_bytes());
        // No method, host or path contains a line break.
        text.push(b'\n');
    }
    text.extend_from_slice(body);
    hash::fingerprint(&text)
}

/// Why a request head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The head has no attempt id.
    NoAttempt,
    /// The head has no host name.
    NoHost,
    /// The named field cannot be parsed.
    Malformed(&'static str),
}

/// The fields that a host adds to a request head when it dispatches the request to an
/// upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The upstream that must run the request; an upstream with another id refuses it.
    pub upstream: Name,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// Rank of the request in the engine's queue, 0 the most urgent; `None` for plain
    /// services.
    pub urgency: Option<u8>,
    /// Id of the last event that the caller has received. The upstream resumes the stream
    /// after that event; `None` starts the stream at its beginning.
    pub resume_after: Option<Name>,
    /// What the upstream learns of whom the request belongs to.
    pub identity: Identity,
}

/// What an upstream learns of whom a request belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// What the caller has sent: the configuration has no organisations.
    #[default]
    AsSent,
    /// The name of the caller's organisation in place of what the caller has sent; `None` for a
    /// request without a valid key. The key is not passed on.
    Organisation(Option<Name>),
}

/// A caller's question to which addresses it may send its requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Data centre in which the caller is; `None` if it does not say.
    pub data_centre: Option<Name>,
}
