//! Writes answers to callers.

use chunked_transfer::Encoder;
use mulberryrack_core::{
    Name,
    caller::Answer,
    outcome::{Doubt, Outcome, Reason},
};
use serde_json::json;
use std::{
    io::{self, Write},
    sync::mpsc::Receiver,
};

/// Sent in place of a chunk's length when an answer ends before it is whole, so that
/// every client fails instead of taking the part for the whole. The library that serves
/// connections has no way to close one in the middle of an answer.
const BROKEN: &[u8] = b"answer-not-whole\r\n";

/// Why an answer was not written to its end.
#[derive(Debug)]
pub enum Error {
    /// The caller has gone away.
    Caller,
    /// The host has stopped.
    Host,
}

/// Writes an answer part by part as it arrives.
///
/// # Errors
///
/// The caller has gone away, or the host has stopped.
pub fn stream(writer: &mut dyn Write, answers: &Receiver<Answer>) -> Result<(), Error> {
    match answers.recv().map_err(|_| Error::Host)? {
        Answer::Final(outcome) => last(writer, &outcome).map_err(|_| Error::Caller),
        Answer::Head { status, headers } => {
            head(writer, status, &headers).map_err(|_| Error::Caller)?;
            body(writer, answers)
        }
        Answer::Chunk(_) | Answer::End(_) => Err(Error::Host),
    }
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

fn head(writer: &mut dyn Write, status: u16, headers: &[(Name, Name)]) -> io::Result<()> {
    write!(writer, "HTTP/1.1 {status} {}\r\n", phrase(status))?;
    for (name, value) in headers {
        write!(writer, "{name}: {value}\r\n")?;
    }
    let outcome = Outcome::Ran.label();
    write!(writer, "mulberryrack-outcome: {outcome}\r\n")?;
    writer.write_all(b"transfer-encoding: chunked\r\n\r\n")?;
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

/// Writes a refusal or an unknown outcome, in the shape that model clients parse.
///
/// # Errors
///
/// The caller has gone away.
pub fn last(writer: &mut dyn Write, outcome: &Outcome) -> io::Result<()> {
    let (status, reason, retry_after) = match outcome {
        Outcome::Ran => (200, "ran", None),
        Outcome::NotRun(refusal) => (
            status(refusal.reason),
            refusal.reason.label(),
            refusal.retry_after,
        ),
        Outcome::Unknown(Doubt::AnswerGone) => (409, Doubt::AnswerGone.label(), None),
        Outcome::Unknown(doubt) => (504, doubt.label(), None),
    };
    let label = outcome.label();
    let body = json!({
        "error": {
            "message": message(outcome),
            "type": kind(status),
            "code": reason,
            "param": null,
        },
        "outcome": label,
    })
    .to_string();
    write!(writer, "HTTP/1.1 {status} {}\r\n", phrase(status))?;
    write!(writer, "mulberryrack-outcome: {label}\r\n")?;
    write!(writer, "mulberryrack-reason: {reason}\r\n")?;
    if let Some(wait) = retry_after {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        write!(writer, "retry-after: {}\r\n", seconds.max(1))?;
    }
    write!(
        writer,
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
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
        400 | 404 | 409 | 422 => "invalid_request_error",
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
