//! What marks the end of an answer's body.

use http::{HeaderMap, header};

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head names the length.
    Length,
    /// The body comes in chunks, of which the last one is empty.
    Chunks,
    /// The body ends with its connection.
    Connection,
}

impl Framing {
    /// The framing that the head of an answer announces.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        let last_coding = codings.iter().next_back().and_then(|it| it.to_str().ok());
        let is_chunked = |it: &str| {
            it.rsplit(',')
                .next()
                .is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked"))
        };
        match last_coding {
            Some(coding) if is_chunked(coding) => Self::Chunks,
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            _ => Self::Connection,
        }
    }

    /// Name in log lines and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
