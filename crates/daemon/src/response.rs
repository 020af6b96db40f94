//! Writes answers to callers.

use chunked_transfer::Encoder;
use mulberryrack_core::{
    Name,
    caller::Answer,
    outcome::{Doubt, Outcome, Reason, Refusal},
};
use serde_json::json;
use std::{
    io::{self, Write},
    sync::mpsc::Receiver,
    time::Duration,
};
use tiny_http::{Header, Response};

/// Sent in place of a chunk's length when an answer ends before it is whole, so that
/// every client fails instead of taking the part for the whole. The library that serves
/// connections has no way to close one in the middle of an answer.
const BROKEN: &[u8] = b"answer-not-whole\r\n";

/// Longest answer in bytes that is collected for a caller that knows no chunks.
const MAX_WHOLE: usize = 8 << 20;

/// When to send again after a record could not be read.
const RETRY_UNREAD: Duration = Duration::from_secs(1);

/// Why an answer was not written to its end.
#[derive(Debug)]
pub enum Error {
    /// The caller has gone away.
    Caller,
    /// The host has stopped.
    Host,
}

/// What the caller can be sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reader {
    /// It asked with HEAD, so that no body may follow.
    pub head_only: bool,
    /// It speaks HTTP/1.0, which knows no chunks.
    pub no_chunks: bool,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    Length(usize),
    /// There is no body, whatever the headers say.
    None,
}

/// Writes an answer part by part as it arrives.
///
/// # Errors
///
/// The caller has gone away, or the host has stopped.
pub fn stream(
    writer: &mut dyn Write,
    answers: &Receiver<Answer>,
    reader: Reader,
) -> Result<(), Error> {
    match answers.recv().map_err(|_| Error::Host)? {
        Answer::Final(outcome) => {
            last(writer, &outcome, reader.head_only).map_err(|_| Error::Caller)
        }
        Answer::Head { status, headers } => {
            if reader.head_only || matches!(status, 100..=199 | 204 | 304) {
                return whole(writer, answers, status, &headers, None);
            }
            if reader.no_chunks {
                return whole(writer, answers, status, &headers, Some(Vec::new()));
            }
            head(writer, status, &headers, Framing::Chunked).map_err(|_| Error::Caller)?;
            body(writer, answers)
        }
        Answer::Chunk(_) | Answer::End(_) => Err(Error::Host),
    }
}

/// Writes an answer once its end has come; its body only where one is given to collect
/// it in.
fn whole(
    writer: &mut dyn Write,
    answers: &Receiver<Answer>,
    status: u16,
    headers: &[(Name, Name)],
    mut collected: Option<Vec<u8>>,
) -> Result<(), Error> {
    let outcome = loop {
        match answers.recv().map_err(|_| Error::Host)? {
            Answer::Chunk(bytes) => {
                if let Some(body) = &mut collected {
                    if body.len() + bytes.len() > MAX_WHOLE {
                        break Outcome::Unknown(Doubt::AnswerGone);
                    }
                    body.extend_from_slice(&bytes);
                }
            }
            Answer::End(outcome) | Answer::Final(outcome) => break outcome,
            Answer::Head { .. } => return Err(Error::Host),
        }
    };
    let written = match (outcome, collected) {
        (Outcome::Ran, Some(body)) => head(writer, status, headers, Framing::Length(body.len()))
            .and_then(|()| writer.write_all(&body))
            .and_then(|()| writer.flush()),
        (Outcome::Ran, None) => head(writer, status, headers, Framing::None),
        (outcome, body) => last(writer, &outcome, body.is_none()),
    };
    written.map_err(|_| Error::Caller)
}

fn body(writer: &mut dyn Write, answers: &Receiver<Answer>) -> Result<(), Error> {
    loop {
        match answers.recv().map_err(|_| Error::Host)? {
            Answer::Chunk(bytes) => chunk(writer, &bytes).map_err(|_| Error::Caller)?,
            Answer::End(Outcome::Ran) => return end(writer).map_err(|_| Error::Caller),
            Answer::End(_) | Answer::Final(_) | Answer::Head { .. } => {
                broken(writer);
                return Ok(());
            }
        }
    }
}

/// Ends an answer that is not whole, so that the client fails.
pub fn broken(writer: &mut dyn Write) {
    // Where the caller has gone away there is nobody to tell.
    let _ = writer.write_all(BROKEN).and_then(|()| writer.flush());
}

fn head(
    writer: &mut dyn Write,
    status: u16,
    headers: &[(Name, Name)],
    framing: Framing,
) -> io::Result<()> {
    write!(writer, "HTTP/1.1 {status} {}\r\n", phrase(status))?;
    for (name, value) in headers {
        write!(writer, "{name}: {value}\r\n")?;
    }
    let outcome = Outcome::Ran.label();
    write!(writer, "mulberryrack-outcome: {outcome}\r\n")?;
    match framing {
        Framing::Chunked => writer.write_all(b"transfer-encoding: chunked\r\n")?,
        Framing::Length(length) => write!(writer, "content-length: {length}\r\n")?,
        Framing::None => {}
    }
    writer.write_all(b"\r\n")?;
    writer.flush()
}

/// Encodes a chunk whole before writing: the writer has to be flushed after it.
fn chunk(writer: &mut dyn Write, bytes: &[u8]) -> io::Result<()> {
    if bytes.is_empty() {
        return Ok(());
    }
    let mut encoded = Vec::with_capacity(bytes.len() + 16);
    write!(encoded, "{:x}\r\n", bytes.len())?;
    encoded.extend_from_slice(bytes);
    encoded.extend_from_slice(b"\r\n");
    writer.write_all(&encoded)?;
    writer.flush()
}

/// Writes the last chunk, which the encoder does when it is dropped.
fn end(writer: &mut dyn Write) -> io::Result<()> {
    let mut encoded = Vec::new();
    drop(Encoder::new(&mut encoded));
    writer.write_all(&encoded)?;
    writer.flush()
}

/// A refusal or an unknown outcome, in the shape that model clients parse.
#[derive(Debug)]
pub struct Last {
    /// HTTP status.
    pub status: u16,
    /// Headers; names in lower case.
    pub headers: Vec<(&'static str, String)>,
    /// Body, JSON.
    pub body: String,
}

impl Last {
    /// The answer that tells of an outcome.
    #[must_use]
    pub fn new(outcome: &Outcome) -> Self {
        let (status, reason, retry_after) = match outcome {
            Outcome::Ran => (200, "ran", None),
            Outcome::NotRun(refusal) => (
                status(refusal.reason),
                refusal.reason.label(),
                refusal.retry_after,
            ),
            Outcome::Unknown(Doubt::AnswerGone) => (409, Doubt::AnswerGone.label(), None),
            // The record is read again as soon as its owner can be reached.
            Outcome::Unknown(doubt @ Doubt::RecordUnread) => {
                (504, doubt.label(), Some(RETRY_UNREAD))
            }
            Outcome::Unknown(doubt) => (504, doubt.label(), None),
        };
        let mut last = Self::with(status, outcome.label(), reason, &message(outcome));
        if let Some(wait) = retry_after {
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            last.headers
                .push(("retry-after", seconds.max(1).to_string()));
        }
        last
    }

    /// The answer to a request that cannot be understood, which did not run.
    #[must_use]
    pub fn bad(status: u16, message: &str) -> Self {
        let reason = Reason::BadRequest.label();
        let refusal = Refusal {
            reason: Reason::BadRequest,
            retry_after: None,
        };
        Self::with(status, Outcome::NotRun(refusal).label(), reason, message)
    }

    /// The answer as the library sends it, before the request has been read whole.
    #[must_use]
    pub fn response(self) -> Response<io::Cursor<Vec<u8>>> {
        let headers = self
            .headers
            .into_iter()
            .filter_map(|(name, value)| Header::from_bytes(name, value).ok());
        let response = Response::from_string(self.body).with_status_code(self.status);
        headers.fold(response, Response::with_header)
    }

    fn with(status: u16, label: &str, reason: &str, message: &str) -> Self {
        let body = json!({
            "error": {
                "message": message,
                "type": kind(status),
                "code": reason,
                "param": null,
            },
            "outcome": label,
        });
        Self {
            status,
            headers: vec![
                ("mulberryrack-outcome", label.to_owned()),
                ("mulberryrack-reason", reason.to_owned()),
                ("content-type", "application/json".to_owned()),
            ],
            body: body.to_string(),
        }
    }
}

/// Writes a refusal or an unknown outcome.
fn last(writer: &mut dyn Write, outcome: &Outcome, head_only: bool) -> io::Result<()> {
    let last = Last::new(outcome);
    write!(
        writer,
        "HTTP/1.1 {} {}\r\n",
        last.status,
        phrase(last.status)
    )?;
    for (name, value) in &last.headers {
        write!(writer, "{name}: {value}\r\n")?;
    }
    write!(writer, "content-length: {}\r\n\r\n", last.body.len())?;
    if !head_only {
        writer.write_all(last.body.as_bytes())?;
    }
    writer.flush()
}

fn message(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Ran => "the request ran".to_owned(),
        Outcome::NotRun(refusal) => {
            format!("the request was not run: {}", refusal.reason.label())
        }
        Outcome::Unknown(Doubt::AnswerGone) => {
            "the request ran before, and its answer is no longer kept".to_owned()
        }
        Outcome::Unknown(doubt) => {
            format!("it is not known whether the request ran: {}", doubt.label())
        }
    }
}

/// HTTP status of a refusal.
#[must_use]
pub const fn status(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest => 400,
        Reason::UnknownTarget => 404,
        Reason::KeyReused | Reason::Suspect => 422,
        Reason::Ceiling => 429,
        _ => 503,
    }
}

const fn kind(status: u16) -> &'static str {
    match status {
        400 | 404 | 408 | 409 | 413 | 422 => "invalid_request_error",
        429 => "rate_limit_error",
        _ => "server_error",
    }
}

const fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
