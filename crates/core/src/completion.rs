//! The request body that model clients send: completions and chat completions.

use crate::Name;
use serde::Deserialize;
use std::{fmt, sync::Arc};

/// Path of completions.
pub const PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Most tokens of an answer where the body does not say.
pub const DEFAULT_MAX_TOKENS: u32 = 64;
/// Bytes of text that are counted as one token in estimates.
pub const BYTES_PER_TOKEN: usize = 4;

/// What a body asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Row of the table.
    pub model: Name,
    /// The prompt; of a chat, a line `role: content` for each message.
    pub prompt: Arc<str>,
    /// Whether the answer has the shape of a chat.
    pub chat: bool,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
    /// Most tokens in the answer.
    pub max_tokens: u32,
}

/// Why a body cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The path is neither [`PATH`] nor [`CHAT_PATH`].
    Path,
    /// Not JSON of the right shape.
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
    /// Reads a body sent to `path`; a query is ignored.
    ///
    /// # Errors
    ///
    /// [`Malformed`] says what is wrong.
    pub fn read(path: &str, body: &[u8]) -> Result<Self, Malformed> {
        match path.split('?').next() {
            Some(PATH) => json(body).map(|Text { prompt, common }| {
                let prompt = match prompt {
                    Prompt::One(text) => text,
                    Prompt::Many(texts) => texts.join("\n").into(),
                };
                common.completion(prompt, false)
            }),
            Some(CHAT_PATH) => json(body).map(|Chat { messages, common }| {
                let prompt: String = messages.iter().map(Message::line).collect();
                common.completion(prompt.into(), true)
            }),
            _ => Err(Malformed::Path),
        }
    }

    /// Estimate of the prompt's tokens, at least 1.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
    }
}

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

fn json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Malformed> {
    serde_json::from_slice(body).map_err(|error| Malformed::Json(error.to_string().into()))
}
