//! Completion answers whose text is derived from the row, the version and the prompt, so
//! that a client can check that an answer is complete and belongs to its own request.
//!
//! Token `i` of an answer is `HASH-i` and a space, where `HASH` is computed from row,
//! version and prompt. `system_fingerprint` contains the version, and the `usage` of the
//! last event the number of tokens. [`Writer`] writes such answers and [`check`] verifies
//! them.

use mulberryrack_core::{Name, completion::Completion, hash::stable};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{fmt, sync::Arc};

/// Marks the position of the text in an event that serves as a template. No row or version
/// name contains this character.
const PLACEHOLDER: &str = "\u{fffc}";
/// Last server-sent event of every streamed answer.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// The hash with which every token of an answer begins.
#[must_use]
pub fn token_hash(row: &str, version: &str, prompt: &str) -> u64 {
    let seed = stable(version.as_bytes(), stable(row.as_bytes(), 0));
    stable(prompt.as_bytes(), seed)
}

/// Writes the answer to one completion request, token by token.
#[derive(Clone, Debug)]
pub struct Writer {
    completion: Completion,
    version: Name,
    token_hash: u64,
    /// The JSON before and after the text, the same in every event but the last.
    frame: (String, String),
}

impl Writer {
    /// Creates the writer for a completion that `version` of the row answers.
    #[must_use]
    pub fn new(completion: Completion, version: Name) -> Self {
        let token_hash = token_hash(&completion.model, &version, &completion.prompt);
        let mut writer = Self {
            completion,
            version,
            token_hash,
            frame: Default::default(),
        };
        let event = writer.event(PLACEHOLDER, false).to_string();
        if let Some((before, after)) = event.split_once(PLACEHOLDER) {
            writer.frame = (before.to_owned(), after.to_owned());
        }
        writer
    }

    /// Value of the answer's `content-type` header.
    #[must_use]
    pub const fn content_type(&self) -> &'static str {
        if self.completion.stream {
            "text/event-stream"
        } else {
            "application/json"
        }
    }

    /// Number of tokens in the complete answer; at least 1.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.completion.max_tokens.max(1)
    }

    /// Appends to `body` what becomes known when `done` tokens have been generated; the index
    /// of the newest token is `done - 1`. An answer that is not streamed is appended whole
    /// with its last token.
    pub fn token(&self, done: u32, body: &mut Vec<u8>) {
        let last = done == self.tokens();
        if self.completion.stream {
            let text = format!("{:016x}-{} ", self.token_hash, done - 1);
            let event = if last {
                format!("data: {}\n\n{DONE_EVENT}", self.event(&text, true))
            } else {
                let (before, after) = &self.frame;
                format!("data: {before}{text}{after}\n\n")
            };
            body.extend_from_slice(event.as_bytes());
        } else if last {
            let text = (0..done).fold(String::new(), |text, token| {
                text + &format!("{:016x}-{token} ", self.token_hash)
            });
            body.extend(self.event(&text, true).to_string().bytes());
        }
    }

    fn event(&self, text: &str, last: bool) -> Value {
        let Completion { chat, stream, .. } = self.completion;
        let (object, field) = match (chat, stream) {
            (false, _) => ("text_completion", "text"),
            (true, true) => ("chat.completion.chunk", "delta"),
            (true, false) => ("chat.completion", "message"),
        };
        let content = if chat {
            json!({"role": "assistant", "content": text})
        } else {
            json!(text)
        };
        let prompt_tokens = self.completion.prompt_tokens();
        let usage = last.then(|| {
            json!({
                "prompt_tokens": prompt_tokens,
                "completion_tokens": self.tokens(),
                "total_tokens": prompt_tokens + self.tokens(),
            })
        });
        json!({
            "id": format!("cmpl-{:016x}", self.token_hash),
            "object": object,
            "created": 0,
            "model": self.completion.model,
            "system_fingerprint": self.version,
            "choices": [{
                "index": 0,
                field: content,
                "finish_reason": last.then_some("stop"),
            }],
            "usage": usage,
        })
    }
}

/// What [`check`] found wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The answer does not have the format that was asked for; contains the parser's message.
    Malformed(Arc<str>),
    /// The answer ends before its last token or event.
    Truncated,
    /// The answer, or a part of it, belongs to another row, version or prompt.
    Foreign,
    /// Tokens are missing, repeated or out of order.
    OutOfSequence,
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed answer: {error}"),
            Self::Truncated => f.write_str("the answer ends early"),
            Self::Foreign => f.write_str("the answer belongs to another request"),
            Self::OutOfSequence => f.write_str("the answer's tokens are not in one sequence"),
        }
    }
}

#[derive(Deserialize)]
struct Event {
    model: Name,
    system_fingerprint: Name,
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    delta: Option<Content>,
    #[serde(default)]
    message: Option<Content>,
}

#[derive(Deserialize)]
struct Content {
    content: String,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: usize,
}

impl Choice {
    fn text(self) -> String {
        let content = self.delta.or(self.message);
        content.map_or(self.text, |content| content.content)
    }
}

/// Checks that `body` is the complete answer to `completion` and contains nothing else;
/// returns the version that answered.
///
/// # Errors
///
/// The first [`Defect`] found.
pub fn check(completion: &Completion, body: &[u8]) -> Result<Name, Defect> {
    let events = events(completion, body)?;
    let count = events.iter().rev().find_map(|event| event.usage.as_ref());
    let count = count.ok_or(Defect::Truncated)?.completion_tokens;
    let version = events[0].system_fingerprint.clone();
    let token_hash = token_hash(&completion.model, &version, &completion.prompt);
    let mut tokens = 0;
    for event in events {
        if event.model != completion.model || event.system_fingerprint != version {
            return Err(Defect::Foreign);
        }
        let text: String = event.choices.into_iter().map(Choice::text).collect();
        for token in text.split_ascii_whitespace() {
            let (own, index) = token.split_once('-').ok_or(Defect::OutOfSequence)?;
            if own != format!("{token_hash:016x}") {
                return Err(Defect::Foreign);
            }
            if index != tokens.to_string() {
                return Err(Defect::OutOfSequence);
            }
            tokens += 1;
        }
    }
    if tokens == count {
        Ok(version)
    } else {
        Err(Defect::Truncated)
    }
}

fn events(completion: &Completion, body: &[u8]) -> Result<Vec<Event>, Defect> {
    let text = std::str::from_utf8(body).map_err(|error| malformed(&error))?;
    if !completion.stream {
        return serde_json::from_str(text)
            .map(|event| vec![event])
            .map_err(|error| malformed(&error));
    }
    let events = text.strip_suffix(DONE_EVENT).ok_or(Defect::Truncated)?;
    let events: Vec<Event> = events
        .split_terminator("\n\n")
        .map(|line| {
            let line = line.strip_prefix("data: ").ok_or(Defect::OutOfSequence)?;
            serde_json::from_str(line).map_err(|error| malformed(&error))
        })
        .collect::<Result<_, _>>()?;
    if events.is_empty() {
        return Err(Defect::Truncated);
    }
    Ok(events)
}

fn malformed(error: &impl fmt::Display) -> Defect {
    Defect::Malformed(error.to_string().into())
}
