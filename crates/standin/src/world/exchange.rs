//! One HTTP request ([`IncomingRequest`]) and the answer to it ([`Exchange`]).

use super::relay::{Connections, PROBE_PATH};
use chunked_transfer::Encoder;
use mulberryrack_core::{Name, request::Call};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    io::{self, Read, Write},
    mem,
    net::SocketAddr,
    sync::Arc,
};
use tiny_http::{Header, Request, Response};

/// Maximum length of a request's body in bytes; a longer one is refused with 413.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Maximum length in bytes of a chunk of an answer's body.
const MAX_CHUNK_BYTES: usize = 32 << 10;
/// The empty chunk that ends a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A request that has been read completely.
pub(super) struct IncomingRequest {
    /// Name of the machine at whose address the request arrived.
    pub machine: Name,
    /// Method, path, headers and body of the request.
    pub call: Call,
    /// Answers the request.
    pub exchange: Exchange,
}

impl IncomingRequest {
    /// Reads the rest of a request. Returns `None` if the connection has ended meanwhile, or
    /// if the request is a probe or too large and has been answered here.
    pub fn read(mut request: Request, connections: &Arc<Connections>) -> Option<Self> {
        let remote = *request.remote_addr()?;
        if request.url() == PROBE_PATH {
            // If the probing connection has ended, nobody waits for this answer.
            drop(request.respond(Response::empty(204)));
            return None;
        }
        let machine = connections.machine(remote);
        let mut body = Vec::new();
        let read = request
            .as_reader()
            .take(MAX_BODY_BYTES + 1)
            .read_to_end(&mut body);
        let call = to_call(&request, body);
        let exchange = Exchange {
            remote,
            connections: connections.clone(),
            stage: Stage::Unanswered(request),
        };
        let (Some(machine), Ok(_)) = (machine, read) else {
            exchange.leave_unanswered();
            return None;
        };
        if call.body.len() as u64 > MAX_BODY_BYTES {
            exchange.answer(413, "text/plain", "the body is too large");
            return None;
        }
        Some(Self {
            machine,
            call,
            exchange,
        })
    }
}

fn to_call(request: &Request, body: Vec<u8>) -> Call {
    let headers = request.headers().iter().map(|header| {
        let name = header.field.as_str().as_str().to_ascii_lowercase();
        (Name::from(name), Name::from(header.value.as_str()))
    });
    Call {
        method: request.method().to_string().into(),
        path: request.url().into(),
        headers: headers.collect(),
        body: body.into(),
    }
}

enum Stage {
    Unanswered(Request),
    Streaming(Encoder<Vec<u8>>, Box<dyn Write + Send>),
    Ended,
}

/// The answering side of one HTTP request.
pub(super) struct Exchange {
    remote: SocketAddr,
    connections: Arc<Connections>,
    stage: Stage,
}

impl Exchange {
    /// Sends a complete answer.
    pub fn answer(self, status: u16, content_type: &str, body: impl Into<Vec<u8>>) {
        let Stage::Unanswered(request) = self.stage else {
            return;
        };
        let response = Response::from_data(body).with_status_code(status);
        let response = match Header::from_bytes("content-type", content_type) {
            Ok(header) => response.with_header(header),
            Err(()) => response,
        };
        // If the client has closed the connection, the answer is lost without consequence.
        drop(request.respond(response));
    }

    /// Sends a complete answer in JSON.
    pub fn answer_json(self, status: u16, value: &impl Serialize) {
        match serde_json::to_vec(value) {
            Ok(body) => self.answer(status, "application/json", body),
            Err(error) => self.answer(500, "text/plain", error.to_string()),
        }
    }

    /// Parses the request's body as JSON. A malformed body is answered with 400, and `None`
    /// is returned.
    pub fn read_json<T: DeserializeOwned>(self, call: &Call) -> Option<(Self, T)> {
        match serde_json::from_slice(&call.body) {
            Ok(value) => Some((self, value)),
            Err(error) => {
                self.answer(400, "text/plain", error.to_string());
                None
            }
        }
    }

    /// Sends the status and headers of a chunked answer.
    pub fn begin_chunked(&mut self, status: u16, headers: &[(Name, Name)]) -> io::Result<()> {
        let Stage::Unanswered(request) = mem::replace(&mut self.stage, Stage::Ended) else {
            return Ok(());
        };
        let mut writer = request.into_writer();
        write!(writer, "HTTP/1.1 {status} {}\r\n", reason_phrase(status))?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        write!(writer, "transfer-encoding: chunked\r\n\r\n")?;
        writer.flush()?;
        let encoder = Encoder::with_chunks_size(Vec::new(), MAX_CHUNK_BYTES);
        self.stage = Stage::Streaming(encoder, writer);
        Ok(())
    }

    /// Sends a part of the body of a chunked answer.
    pub fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Stage::Streaming(encoder, writer) = &mut self.stage else {
            return Ok(());
        };
        encoder.write_all(bytes)?;
        encoder.flush()?;
        writer.write_all(encoder.get_ref())?;
        encoder.get_mut().clear();
        writer.flush()
    }

    /// Ends the body of a chunked answer.
    pub fn finish(mut self) {
        if let Stage::Streaming(_, writer) = &mut self.stage {
            // If the client has closed the connection, the answer is lost without consequence.
            drop(writer.write_all(LAST_CHUNK).and_then(|()| writer.flush()));
        }
    }

    /// Breaks off the connection, whether or not an answer has begun.
    pub fn break_connection(self) {
        self.connections.abort(self.remote);
        self.leave_unanswered();
    }

    /// Gives up the request without an answer; the connection stays open.
    pub fn leave_unanswered(self) {
        if let Stage::Unanswered(request) = self.stage {
            // Dropping a `Request` of tiny_http sends an error answer; dropping its writer
            // does not.
            drop(request.into_writer());
        }
    }
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        416 => "Range Not Satisfiable",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
