//! Request bodies of the OpenAI-style API for models: completions and chat completions.
//!
//! [`Completion::read`] parses a body. Only the fields that routing needs are read; all others
//! are ignored here.

use crate::Name;
use serde::Deserialize;
use std::{fmt, sync::Arc};

/// Path to which completions are sent.
pub const PATH: &str = "/v1/completions";
/// Path to which chat completions are sent.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Maximum number of tokens in an answer if the body has no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 64;
/// Bytes of text per token, for estimates of token counts.
pub const BYTES_PER_TOKEN: usize = 4;

/// The fields of a completion or chat completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Requested model, which is the name of a row of the table.
    pub model: Name,
    /// The prompt. A chat is turned into one line `role: content` per message.
    pub prompt: Arc<str>,
    /// Whether the body is a chat completion and is answered as one.
    pub chat: bool,
    /// Whether the answer is to be streamed as server-sent events.
    pub stream: bool,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
}

/// Why a body cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The path is neither [`PATH`] nor [`CHAT_PATH`].
    Path,
    /// The body is not JSON of the expected form. Contains the parser's message.
    Json(Arc<str>),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Path => write!(f, "the path is neither {PATH} nor {CHAT_PATH}"),
            Self::Json(error) => write!(f, "the body is malformed: {error}"),
        }
    }
}

impl Completion {
    /// Parses a body that was sent to `path`; a query in the path is ignored.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the path is unknown or the body is not JSON of the expected form.
    pub fn read(path: &str, body: &[u8]) -> Result<Self, Malformed> {
        match path.split('?').next() {
            Some(PATH) => parse_json(body).map(|Text { prompt, common }| {
                let prompt = match prompt {
                    Prompt::One(text) => text,
                    Prompt::Many(texts) => texts.join("\n").into(),
                };
                common.completion(prompt, false)
            }),
            Some(CHAT_PATH) => parse_json(body).map(|Chat { messages, common }| {
                let prompt: String = messages.iter().map(Message::line).collect();
                common.completion(prompt.into(), true)
            }),
            _ => Err(Malformed::Path),
        }
    }

    /// Estimated number of tokens in the prompt, at least 1.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
    }
}

// The names of the structs below leave the process: serde writes them into the messages of
// `Malformed::Json`, which callers receive ("expected struct Text").

#[derive(Deserialize)]
struct Common {
    model: Name,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
}

impl Common {
    fn completion(self, prompt: Arc<str>, chat: bool) -> Completion {
        Completion {
            model: self.model,
            prompt,
            chat,
            stream: self.stream.unwrap_or(false),
            max_tokens: self
                .max_completion_tokens
                .or(self.max_tokens)
                .unwrap_or(DEFAULT_MAX_TOKENS),
        }
    }
}

#[derive(Deserialize)]
struct Text {
    prompt: Prompt,
    #[serde(flatten)]
    common: Common,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(Arc<str>),
    Many(Vec<Arc<str>>),
}

#[derive(Deserialize)]
struct Chat {
    messages: Vec<Message>,
    #[serde(flatten)]
    common: Common,
}

#[derive(Deserialize)]
struct Message {
    role: Arc<str>,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(Arc<str>),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: Arc<str>,
}

impl Message {
    fn line(&self) -> String {
        let content = match &self.content {
            Content::Text(text) => text.to_string(),
            Content::Parts(parts) => parts.iter().map(|part| &*part.text).collect(),
        };
        format!("{}: {content}\n", self.role)
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Malformed> {
    serde_json::from_slice(body).map_err(|error| Malformed::Json(error.to_string().into()))
}
