//! One HTTP request and its answer.

use super::gate::{PROBE, Routes};
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

/// Largest body that is taken.
const MAX_BODY: u64 = 8 << 20;
/// Largest chunk of a body.
const MAX_CHUNK: usize = 32 << 10;
/// Ends a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A request that has been read whole.
pub(super) struct Arrival {
    /// The machine that it reached.
    pub machine: Name,
    /// What it says.
    pub call: Call,
    /// How it is answered.
    pub exchange: Exchange,
}

impl Arrival {
    /// Reads the body; `None` if the connection has ended meanwhile.
    pub fn read(mut request: Request, routes: &Arc<Routes>) -> Option<Self> {
        let remote = *request.remote_addr()?;
        if request.url() == PROBE {
            // A probe that has gone away needs no answer.
            drop(request.respond(Response::empty(204)));
            return None;
        }
        let machine = routes.machine(remote);
        let mut body = Vec::new();
        let read = request
            .as_reader()
            .take(MAX_BODY + 1)
            .read_to_end(&mut body);
        let call = call(&request, body);
        let exchange = Exchange {
            remote,
            routes: routes.clone(),
            state: Progress::Asked(request),
        };
        let (Some(machine), Ok(_)) = (machine, read) else {
            exchange.abandon();
            return None;
        };
        if call.body.len() as u64 > MAX_BODY {
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

fn call(request: &Request, body: Vec<u8>) -> Call {
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

enum Progress {
    Asked(Request),
    Streaming(Encoder<Vec<u8>>, Box<dyn Write + Send>),
    Ended,
}

/// The answering side of a request.
pub(super) struct Exchange {
    remote: SocketAddr,
    routes: Arc<Routes>,
    state: Progress,
}

impl Exchange {
    /// Gives a whole answer.
    pub fn answer(self, status: u16, content_type: &str, body: impl Into<Vec<u8>>) {
        let Progress::Asked(request) = self.state else {
            return;
        };
        let response = Response::from_data(body).with_status_code(status);
        let response = match Header::from_bytes("content-type", content_type) {
            Ok(header) => response.with_header(header),
            Err(()) => response,
        };
        // A client that has gone away is not told.
        drop(request.respond(response));
    }

    /// Gives a whole answer in JSON.
    pub fn json(self, status: u16, value: &impl Serialize) {
        match serde_json::to_vec(value) {
            Ok(body) => self.answer(status, "application/json", body),
            Err(error) => self.answer(500, "text/plain", error.to_string()),
        }
    }

    /// Reads a JSON body, or answers 400 where it is malformed.
    pub fn read_json<T: DeserializeOwned>(self, call: &Call) -> Option<(Self, T)> {
        match serde_json::from_slice(&call.body) {
            Ok(value) => Some((self, value)),
            Err(error) => {
                self.answer(400, "text/plain", error.to_string());
                None
            }
        }
    }

    /// Begins a chunked answer.
    pub fn head(&mut self, status: u16, headers: &[(Name, Name)]) -> io::Result<()> {
        let Progress::Asked(request) = mem::replace(&mut self.state, Progress::Ended) else {
            return Ok(());
        };
        let mut writer = request.into_writer();
        write!(writer, "HTTP/1.1 {status} {}\r\n", reason(status))?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        write!(writer, "transfer-encoding: chunked\r\n\r\n")?;
        writer.flush()?;
        let encoder = Encoder::with_chunks_size(Vec::new(), MAX_CHUNK);
        self.state = Progress::Streaming(encoder, writer);
        Ok(())
    }

    /// Goes on with a chunked answer.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Progress::Streaming(encoder, writer) = &mut self.state else {
            return Ok(());
        };
        encoder.write_all(bytes)?;
        encoder.flush()?;
        writer.write_all(encoder.get_ref())?;
        encoder.get_mut().clear();
        writer.flush()
    }

    /// Ends a chunked answer.
    pub fn end(mut self) {
        if let Progress::Streaming(_, writer) = &mut self.state {
            // A client that has gone away is not told.
            drop(writer.write_all(LAST_CHUNK).and_then(|()| writer.flush()));
        }
    }

    /// Breaks the connection.
    pub fn cut(self) {
        self.routes.cut(self.remote);
        self.abandon();
    }

    /// Never answers; the connection stays as it is.
    pub fn abandon(self) {
        if let Progress::Asked(request) = self.state {
            // Dropping the request itself would answer it.
            drop(request.into_writer());
        }
    }
}

const fn reason(status: u16) -> &'static str {
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
