//! Writes HTTP answers to callers.

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

/// Sent in place of a chunk's length when an answer breaks off, so that every client reports
/// an error and does not take the incomplete answer for a complete one. The HTTP library has
/// no way to close a connection in the middle of an answer.
const INVALID_CHUNK: &[u8] = b"answer-not-whole\r\n";

/// Maximum length in bytes of an answer that is buffered for a caller without support for the
/// chunked encoding.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Value of `retry-after` if the record of a request could not be read.
const RECORD_UNREAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why an answer was not written completely.
#[derive(Debug)]
pub enum Error {
    /// The caller's connection has failed.
    CallerGone,
    /// The event loop has ended, or sent the parts of the answer in a wrong order.
    HostStopped,
}

/// What kind of answer the caller can receive.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCapabilities {
    /// The method is HEAD, so that the answer must have no body.
    pub head_only: bool,
    /// The caller speaks HTTP/1.0, which has no chunked encoding.
    pub no_chunks: bool,
}

/// How the client finds the end of the body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    Length(usize),
    /// There is no body, as for HEAD or status 204 and 304; no header for its length is added.
    None,
}

/// Writes an answer to the caller. Its body is written part by part as the parts arrive where
/// the caller supports chunks.
///
/// # Errors
///
/// The caller's connection has failed, or the event loop has ended.
pub fn write_answer(
    writer: &mut dyn Write,
    answers: &Receiver<Answer>,
    client: ClientCapabilities,
) -> Result<(), Error> {
    match answers.recv().map_err(|_| Error::HostStopped)? {
        Answer::Final(outcome) => {
            write_error(writer, &outcome, client.head_only).map_err(|_| Error::CallerGone)
        }
        Answer::Head { status, headers } => {
            if client.head_only || matches!(status, 100..=199 | 204 | 304) {
                return write_buffered(writer, answers, status, &headers, None);
            }
            if client.no_chunks {
                return write_buffered(writer, answers, status, &headers, Some(Vec::new()));
            }
            write_head(writer, status, &headers, Framing::Chunked)
                .map_err(|_| Error::CallerGone)?;
            write_chunks(writer, answers)
        }
        Answer::Chunk(_) | Answer::End(_) => Err(Error::HostStopped),
    }
}

/// Waits for the end of an answer and then writes it. The body is collected in `collected`; if
/// that is `None`, the body is discarded and only the head is written.
fn write_buffered(
    writer: &mut dyn Write,
    answers: &Receiver<Answer>,
    status: u16,
    headers: &[(Name, Name)],
    mut collected: Option<Vec<u8>>,
) -> Result<(), Error> {
    let outcome = loop {
        match answers.recv().map_err(|_| Error::HostStopped)? {
            Answer::Chunk(bytes) => {
                if let Some(body) = &mut collected {
                    if body.len() + bytes.len() > MAX_BUFFERED_BYTES {
                        break Outcome::Unknown(Doubt::AnswerGone);
                    }
                    body.extend_from_slice(&bytes);
                }
            }
            Answer::End(outcome) | Answer::Final(outcome) => break outcome,
            Answer::Head { .. } => return Err(Error::HostStopped),
        }
    };
    let written = match (outcome, collected) {
        (Outcome::Ran, Some(body)) => {
            write_head(writer, status, headers, Framing::Length(body.len()))
                .and_then(|()| writer.write_all(&body))
                .and_then(|()| writer.flush())
        }
        (Outcome::Ran, None) => write_head(writer, status, headers, Framing::None),
        (outcome, body) => write_error(writer, &outcome, body.is_none()),
    };
    written.map_err(|_| Error::CallerGone)
}

fn write_chunks(writer: &mut dyn Write, answers: &Receiver<Answer>) -> Result<(), Error> {
    loop {
        match answers.recv().map_err(|_| Error::HostStopped)? {
            Answer::Chunk(bytes) => write_chunk(writer, &bytes).map_err(|_| Error::CallerGone)?,
            Answer::End(Outcome::Ran) => return write_end(writer).map_err(|_| Error::CallerGone),
            Answer::End(_) | Answer::Final(_) | Answer::Head { .. } => {
                abort_body(writer);
                return Ok(());
            }
        }
    }
}

/// Ends an incomplete chunked answer with an invalid chunk, so that the client reports an
/// error.
pub fn abort_body(writer: &mut dyn Write) {
    // Fails if the caller has closed the connection.
    let _ = writer
        .write_all(INVALID_CHUNK)
        .and_then(|()| writer.flush());
}

fn write_head(
    writer: &mut dyn Write,
    status: u16,
    headers: &[(Name, Name)],
    framing: Framing,
) -> io::Result<()> {
    write!(writer, "HTTP/1.1 {status} {}\r\n", reason_phrase(status))?;
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

/// Encodes the chunk into a buffer, writes it at once and flushes. An empty chunk is skipped,
/// since it would end the body.
fn write_chunk(writer: &mut dyn Write, bytes: &[u8]) -> io::Result<()> {
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

/// Writes the last chunk, which ends the body. The encoder produces it when it is dropped.
fn write_end(writer: &mut dyn Write) -> io::Result<()> {
    let mut encoded = Vec::new();
    drop(Encoder::new(&mut encoded));
    writer.write_all(&encoded)?;
    writer.flush()
}

/// The answer for a refusal or an unknown outcome. Its JSON body has the form of the errors
/// that clients of model APIs parse.
#[derive(Debug)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers; names in lower case.
    pub headers: Vec<(&'static str, String)>,
    /// Body, JSON.
    pub body: String,
}

impl ErrorResponse {
    /// The answer that reports `outcome`.
    #[must_use]
    pub fn new(outcome: &Outcome) -> Self {
        let (status, reason, retry_after) = match outcome {
            Outcome::Ran => (200, "ran", None),
            Outcome::NotRun(refusal) => (
                refusal_status(refusal.reason),
                refusal.reason.label(),
                refusal.retry_after,
            ),
            Outcome::Unknown(Doubt::AnswerGone) => (409, Doubt::AnswerGone.label(), None),
            // A later attempt may succeed: the record can be read once its owner can be reached
            // again.
            Outcome::Unknown(doubt @ Doubt::RecordUnread) => {
                (504, doubt.label(), Some(RECORD_UNREAD_RETRY_DELAY))
            }
            Outcome::Unknown(doubt) => (504, doubt.label(), None),
        };
        let mut response = Self::build(status, outcome.label(), reason, &error_message(outcome));
        if let Some(delay) = retry_after {
            let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
            response
                .headers
                .push(("retry-after", seconds.max(1).to_string()));
        }
        response
    }

    /// The answer to a malformed request, which was not run.
    #[must_use]
    pub fn bad_request(status: u16, message: &str) -> Self {
        let reason = Reason::BadRequest.label();
        let refusal = Refusal {
            reason: Reason::BadRequest,
            retry_after: None,
        };
        Self::build(status, Outcome::NotRun(refusal).label(), reason, message)
    }

    /// Converts to the HTTP library's type, for answers that are sent before the request has
    /// been read completely.
    #[must_use]
    pub fn into_response(self) -> Response<io::Cursor<Vec<u8>>> {
        let headers = self
            .headers
            .into_iter()
            .filter_map(|(name, value)| Header::from_bytes(name, value).ok());
        let response = Response::from_string(self.body).with_status_code(self.status);
        headers.fold(response, Response::with_header)
    }

    fn build(status: u16, label: &str, reason: &str, message: &str) -> Self {
        let body = json!({
            "error": {
                "message": message,
                "type": error_type(status),
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
fn write_error(writer: &mut dyn Write, outcome: &Outcome, head_only: bool) -> io::Result<()> {
    let response = ErrorResponse::new(outcome);
    write!(
        writer,
        "HTTP/1.1 {} {}\r\n",
        response.status,
        reason_phrase(response.status)
    )?;
    for (name, value) in &response.headers {
        write!(writer, "{name}: {value}\r\n")?;
    }
    write!(writer, "content-length: {}\r\n\r\n", response.body.len())?;
    if !head_only {
        writer.write_all(response.body.as_bytes())?;
    }
    writer.flush()
}

fn error_message(outcome: &Outcome) -> String {
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

/// HTTP status for the reason of a refusal.
#[must_use]
pub const fn refusal_status(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest => 400,
        Reason::UnknownTarget => 404,
        Reason::KeyReused | Reason::Suspect => 422,
        Reason::Ceiling => 429,
        _ => 503,
    }
}

const fn error_type(status: u16) -> &'static str {
    match status {
        400 | 404 | 408 | 409 | 413 | 422 => "invalid_request_error",
        429 => "rate_limit_error",
        _ => "server_error",
    }
}

const fn reason_phrase(status: u16) -> &'static str {
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
