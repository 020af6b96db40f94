//! The text of answers: derived from prompt and version, so that a client can tell that
//! an answer is whole and its own.
//!
//! Token `i` of an answer is `HASH-i` and a space, where `HASH` is made from row,
//! version and prompt. The version is in `system_fingerprint`, the number of tokens in
//! the last event's `usage`.

use mulberryrack_core::{Name, completion::Completion, hash::stable};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{fmt, sync::Arc};

/// Stands for the text in the frame of an event; no name contains it.
const PLACEHOLDER: &str = "\u{fffc}";
/// Ends a stream of server-sent events.
const DONE: &str = "data: [DONE]\n\n";

/// The stem of an answer's tokens.
#[must_use]
pub fn stem(row: &str, version: &str, prompt: &str) -> u64 {
    let seed = stable(version.as_bytes(), stable(row.as_bytes(), 0));
    stable(prompt.as_bytes(), seed)
}

/// Writes the answer to one completion.
#[derive(Clone, Debug)]
pub struct Writer {
    completion: Completion,
    version: Name,
    stem: u64,
    /// What stands before and after the text of every event but the last.
    frame: (String, String),
}

impl Writer {
    /// For a completion that a version of its row answers.
    #[must_use]
    pub fn new(completion: Completion, version: Name) -> Self {
        let stem = stem(&completion.model, &version, &completion.prompt);
        let mut writer = Self {
            completion,
            version,
            stem,
            frame: Default::default(),
        };
        let event = writer.event(PLACEHOLDER, false).to_string();
        if let Some((before, after)) = event.split_once(PLACEHOLDER) {
            writer.frame = (before.to_owned(), after.to_owned());
        }
        writer
    }

    /// The value of `content-type`.
    #[must_use]
    pub const fn content_type(&self) -> &'static str {
        if self.completion.stream {
            "text/event-stream"
        } else {
            "application/json"
        }
    }

    /// Tokens in the whole answer.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.completion.max_tokens.max(1)
    }

    /// Adds what follows once `done` tokens are made, of which the newest is `done - 1`.
    pub fn token(&self, done: u32, body: &mut Vec<u8>) {
        let last = done == self.tokens();
        if self.completion.stream {
            let text = format!("{:016x}-{} ", self.stem, done - 1);
            let event = if last {
                format!("data: {}\n\n{DONE}", self.event(&text, true))
            } else {
                let (before, after) = &self.frame;
                format!("data: {before}{text}{after}\n\n")
            };
            body.extend_from_slice(event.as_bytes());
        } else if last {
            let text = (0..done).fold(String::new(), |text, token| {
                text + &format!("{:016x}-{token} ", self.stem)
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
            "id": format!("cmpl-{:016x}", self.stem),
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

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Not the shape that was asked for.
    Malformed(Arc<str>),
    /// It ends early.
    Cut,
    /// It belongs to another row, version or prompt.
    Foreign,
    /// Tokens are missing, doubled or out of order.
    Spliced,
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed answer: {error}"),
            Self::Cut => f.write_str("the answer ends early"),
            Self::Foreign => f.write_str("the answer belongs to another request"),
            Self::Spliced => f.write_str("the answer's tokens are not in one sequence"),
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

/// Checks that `body` is the whole answer to `completion` and no other; names the
/// version that answered.
///
/// # Errors
///
/// The first [`Flaw`].
pub fn check(completion: &Completion, body: &[u8]) -> Result<Name, Flaw> {
    let events = events(completion, body)?;
    let count = events.iter().rev().find_map(|event| event.usage.as_ref());
    let count = count.ok_or(Flaw::Cut)?.completion_tokens;
    let version = events[0].system_fingerprint.clone();
    let stem = stem(&completion.model, &version, &completion.prompt);
    let mut tokens = 0;
    for event in events {
        if event.model != completion.model || event.system_fingerprint != version {
            return Err(Flaw::Foreign);
        }
        let text: String = event.choices.into_iter().map(Choice::text).collect();
        for token in text.split_ascii_whitespace() {
            let (own, index) = token.split_once('-').ok_or(Flaw::Spliced)?;
            if own != format!("{stem:016x}") {
                return Err(Flaw::Foreign);
            }
            if index != tokens.to_string() {
                return Err(Flaw::Spliced);
            }
            tokens += 1;
        }
    }
    if tokens == count {
        Ok(version)
    } else {
        Err(Flaw::Cut)
    }
}

fn events(completion: &Completion, body: &[u8]) -> Result<Vec<Event>, Flaw> {
    let text = std::str::from_utf8(body).map_err(|error| malformed(&error))?;
    if !completion.stream {
        return serde_json::from_str(text)
            .map(|event| vec![event])
            .map_err(|error| malformed(&error));
    }
    let events = text.strip_suffix(DONE).ok_or(Flaw::Cut)?;
    let events: Vec<Event> = events
        .split_terminator("\n\n")
        .map(|line| {
            let line = line.strip_prefix("data: ").ok_or(Flaw::Spliced)?;
            serde_json::from_str(line).map_err(|error| malformed(&error))
        })
        .collect::<Result<_, _>>()?;
    if events.is_empty() {
        return Err(Flaw::Cut);
    }
    Ok(events)
}

fn malformed(error: &impl fmt::Display) -> Flaw {
    Flaw::Malformed(error.to_string().into())
}
