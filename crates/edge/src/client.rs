//! The HTTP client for upstreams and the key-value service, with a pool of idle
//! connections.

use crate::{
    bounds::{self, BodyError},
    journal::journal,
    meter::{Meter, Metered, ReadState},
    socket::{self, SocketPlace, Sockets},
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use mulberryrack_core::Name;
use std::{
    cell::RefCell, collections::HashMap, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration,
};
use tokio::{
    net::TcpStream,
    task::{self, AbortHandle},
    time::{self, Instant},
};

/// Longest time for a connection to be established. Between data centres of a region it
/// takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept if the remote side names no time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from the time that the remote side names, since a request needs time to
/// reach it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No byte of the call left the host.
    NotSent,
    /// The connection ended before the answer was whole.
    Broken,
    /// The answer did not arrive in time.
    Silent,
    /// The remote side sent more than is read of an answer.
    Excessive,
}

/// What a new connection shows about the remote side.
pub enum Probe {
    /// The connection was accepted.
    Accepted(Connection),
    /// The address refuses connections: no process listens there.
    Refused,
    /// No answer in time, or another error.
    Unknown,
}

/// The remote side of a connection; the key of the connection pool. The name is part of the
/// key so that a connection to the previous user of an address is not reused for the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Remote {
    /// Address on which the remote side listens.
    pub address: SocketAddr,
    /// Name of the upstream; empty for the key-value service.
    pub name: Name,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    meter: Meter,
    expires_at: Instant,
}

/// An HTTP client with its pool of idle connections.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<Remote, Vec<IdleConnection>>>,
    /// Places for connections; `None` sets no bound.
    sockets: Option<Sockets>,
}

/// A connection in use. Dropping it closes the connection.
pub struct Connection {
    client: Rc<Client>,
    remote: Remote,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    meter: Meter,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl Connection {
    /// Returns the connection to the pool for a later call. `keep_alive` is the time for
    /// which the remote side keeps an idle connection, if it names one.
    pub fn return_to_pool(mut self, keep_alive: Option<Duration>) {
        let idle = keep_alive.map_or(IDLE_TIMEOUT, |named| named.saturating_sub(IDLE_MARGIN));
        if let (Some(sender), false) = (self.sender.take(), idle.is_zero()) {
            let kept = IdleConnection {
                sender,
                task: self.task.clone(),
                meter: self.meter.clone(),
                expires_at: Instant::now() + idle,
            };
            let mut all = self.client.idle.borrow_mut();
            all.entry(self.remote.clone()).or_default().push(kept);
        } else {
            self.task.abort();
        }
    }

    /// Allows `bytes` to be read for the body of the answer.
    pub fn allow(&self, bytes: u64) {
        self.meter.allow(bytes);
    }

    /// How far the connection has been read.
    pub fn read_state(&self) -> ReadState {
        self.meter.read_state()
    }

    /// Time at which the first byte of the last request was written; `None` if none was.
    pub fn written_at(&self) -> Option<Instant> {
        self.meter.written_at()
    }

    /// How a call failed whose connection ended: the remote side may have sent too much.
    pub fn fault(&self) -> Fault {
        if self.meter.is_exceeded() {
            Fault::Excessive
        } else {
            Fault::Broken
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// How the call failed; after [`Fault::NotSent`] the remote side has certainly done
    /// nothing.
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<(response::Parts, Incoming), Fault> {
        self.meter.allow(bounds::HEAD_ALLOWANCE);
        self.meter.expect_write();
        let sender = self.sender.as_mut().ok_or(Fault::NotSent)?;
        sender.ready().await.map_err(|_| Fault::NotSent)?;
        match sender.try_send_request(request.map(Full::new)).await {
            Ok(response) => Ok(response.into_parts()),
            // hyper returns the request if no byte of it was written.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Fault::NotSent),
                None if error.error().is_parse_too_large() => Err(Fault::Excessive),
                None => Err(self.fault()),
            },
        }
    }

    /// Sends a request and reads the whole answer, with a body of up to `max_bytes`. The
    /// connection then returns to the pool, unless the answer is a refusal.
    ///
    /// # Errors
    ///
    /// How the call failed; after [`Fault::NotSent`] the remote side has certainly done
    /// nothing.
    pub async fn round_trip(
        mut self,
        mut request: Request<Bytes>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Fault> {
        let host = self.remote.address.to_string();
        let value = HeaderValue::from_str(&host).expect("an address is plain text");
        request.headers_mut().insert(header::HOST, value);
        let (head, body) = self.send(request).await?;
        let body = self.read_body(body, max_bytes).await?;
        if !is_refusal(head.status) {
            self.return_to_pool(None);
        }
        Ok(Response::from_parts(head, body))
    }
}

impl Connection {
    /// Reads the body of an answer, of up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`Fault::Excessive`] if the remote side sends more, [`Fault::Broken`] if the connection
    /// ends before.
    pub async fn read_body(&self, body: Incoming, max_bytes: usize) -> Result<Bytes, Fault> {
        self.meter.allow(bounds::body_allowance(max_bytes));
        let body = bounds::read_body(body, max_bytes).await;
        body.map_err(|error| match error {
            BodyError::Excessive => Fault::Excessive,
            BodyError::Broken => self.fault(),
        })
    }
}

impl Client {
    /// A client whose connections take places.
    pub fn bounded(sockets: Option<Sockets>) -> Self {
        Self {
            sockets,
            ..Self::default()
        }
    }

    /// Takes a place for a connection, if needed that of an idle one. `None` if there is none.
    async fn take_socket(&self) -> Option<Option<SocketPlace>> {
        let Some(sockets) = &self.sockets else {
            return Some(None);
        };
        if let Some(place) = sockets.take() {
            return Some(Some(place));
        }
        self.close_one_idle();
        // Lets the task of that connection end.
        task::yield_now().await;
        sockets.take().map(Some)
    }

    /// Closes the idle connection that expires first.
    fn close_one_idle(&self) {
        let mut all = self.idle.borrow_mut();
        let soonest = |kept: &Vec<IdleConnection>| kept.iter().map(|idle| idle.expires_at).min();
        let Some(kept) = all.values_mut().min_by_key(|kept| soonest(kept)) else {
            return;
        };
        let first = (0..kept.len()).min_by_key(|index| kept[*index].expires_at);
        if let Some(index) = first {
            kept.swap_remove(index).task.abort();
        }
        all.retain(|_, kept| !kept.is_empty());
    }

    /// Closes idle connections that have expired or that the remote side has closed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(|idle| {
                let keep = idle.expires_at > now && !idle.sender.is_closed();
                if !keep {
                    idle.task.abort();
                }
                keep
            });
            !all.is_empty()
        });
    }

    /// Takes an idle connection from the pool or opens a new one. With `force_new` it always
    /// opens a new one.
    ///
    /// # Errors
    ///
    /// [`Fault::NotSent`] if the remote side refused the connection or did not accept it in
    /// time.
    pub async fn connect(
        self: &Rc<Self>,
        remote: Remote,
        force_new: bool,
    ) -> Result<Connection, Fault> {
        if !force_new && self.has_idle(&remote) {
            // Lets the tasks of the idle connections read what has arrived, above all the
            // end of a connection: a request on a connection that the remote side has
            // closed is lost.
            task::yield_now().await;
        }
        if !force_new && let Some(idle) = self.take_idle(&remote) {
            return Ok(Connection {
                client: self.clone(),
                remote,
                sender: Some(idle.sender),
                task: idle.task,
                meter: idle.meter,
            });
        }
        match self.probe(remote).await {
            Probe::Accepted(connection) => Ok(connection),
            Probe::Refused | Probe::Unknown => Err(Fault::NotSent),
        }
    }

    /// Opens a new connection and says what that shows about the remote side.
    pub async fn probe(self: &Rc<Self>, remote: Remote) -> Probe {
        let Some(place) = self.take_socket().await else {
            journal!(warn, "no-socket", upstream = remote.name);
            return Probe::Unknown;
        };
        let connect = TcpStream::connect(remote.address);
        match time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => {
                let opened = self.open(remote, stream, place).await;
                opened.map_or(Probe::Unknown, Probe::Accepted)
            }
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
            Ok(Err(_)) | Err(_) => Probe::Unknown,
        }
    }

    /// Makes an HTTP connection of an accepted socket.
    async fn open(
        self: &Rc<Self>,
        remote: Remote,
        stream: TcpStream,
        place: Option<SocketPlace>,
    ) -> Result<Connection, Fault> {
        socket::set_options(&stream).map_err(|_| Fault::NotSent)?;
        let (stream, meter) = Metered::new(stream, bounds::HEAD_ALLOWANCE);
        let handshake = http1::Builder::new()
            .max_buf_size(bounds::MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| Fault::NotSent)?;
        // The call that uses the connection gets its errors, so they are dropped here.
        let task = task::spawn_local(async move {
            let _place = place;
            connection.await.unwrap_or_default();
        });
        Ok(Connection {
            client: self.clone(),
            remote,
            sender: Some(sender),
            task: task.abort_handle(),
            meter,
        })
    }

    fn has_idle(&self, remote: &Remote) -> bool {
        self.idle.borrow().contains_key(remote)
    }

    fn take_idle(&self, remote: &Remote) -> Option<IdleConnection> {
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(remote)?;
        let now = Instant::now();
        while let Some(idle) = kept.pop() {
            if idle.expires_at > now && !idle.sender.is_closed() && idle.sender.is_ready() {
                return Some(idle);
            }
            idle.task.abort();
        }
        None
    }

    /// Takes or opens a connection, sends a request and reads the whole answer, with a body of
    /// up to `max_bytes`, all within `timeout`.
    ///
    /// # Errors
    ///
    /// How the call failed; after [`Fault::NotSent`] the remote side has certainly done
    /// nothing.
    pub async fn call(
        self: &Rc<Self>,
        remote: Remote,
        request: Request<Bytes>,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Fault> {
        let whole = async {
            let connection = self.connect(remote, false).await?;
            connection.round_trip(request, max_bytes).await
        };
        time::timeout(timeout, whole)
            .await
            .unwrap_or(Err(Fault::Silent))
    }
}

/// Whether an answer says that what was asked for was not done. It names nothing that it answers:
/// written once more, it would be taken for the answer to whatever is sent next.
const fn is_refusal(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
