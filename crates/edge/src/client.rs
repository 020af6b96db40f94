//! The HTTP client for upstreams and the key-value service, with a pool of idle
//! connections.

use crate::{
    bounds::{self, Collector},
    journal::journal,
    lateness,
    link::{Link, NotOpen},
    meter::ReadState,
    socket::{SocketPlace, Sockets},
    traffic::Tally,
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use mulberryrack_core::Name;
use std::{
    cell::RefCell, collections::HashMap, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration,
};
use tokio::{net::TcpStream, time::Instant};

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

/// All places for connections are taken.
struct NoSocket;

struct IdleConnection {
    link: Box<Link>,
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
    link: Box<Link>,
}

impl Connection {
    /// Returns the connection to the pool for a later call. `keep_alive` is the time for
    /// which the remote side keeps an idle connection, if it names one.
    pub fn return_to_pool(mut self, keep_alive: Option<Duration>) {
        let idle = keep_alive.map_or(IDLE_TIMEOUT, |named| named.saturating_sub(IDLE_MARGIN));
        // An upload that was answered early may not be written yet: nobody would write the rest.
        if idle.is_zero() || !self.link.is_idle() {
            return;
        }
        let kept = IdleConnection {
            link: self.link,
            expires_at: Instant::now() + idle,
        };
        let mut all = self.client.idle.borrow_mut();
        all.entry(self.remote).or_default().push(kept);
    }

    /// Counts what crosses the link on this connection from now on.
    pub fn count_in(&self, tally: &Tally) {
        self.link.meter.count_in(tally);
    }

    /// Allows `bytes` to be read for the body of the answer.
    pub fn allow(&self, bytes: u64) {
        self.link.meter.allow(bytes);
    }

    /// How far the connection has been read.
    pub fn read_state(&self) -> ReadState {
        self.link.meter.read_state()
    }

    /// Time at which the first byte of the last request was written; `None` if none was.
    pub fn written_at(&self) -> Option<Instant> {
        self.link.meter.written_at()
    }

    /// How a call failed whose connection ended: the remote side may have sent too much.
    pub fn fault(&self) -> Fault {
        if self.link.meter.is_exceeded() {
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
        self.link.meter.allow(bounds::HEAD_ALLOWANCE);
        self.link.meter.expect_write();
        self.link.ready().await.map_err(|_| Fault::NotSent)?;
        match self.link.send(request.map(Full::new)).await {
            // Final as hyper sees it: 101, to a request that asks for no other protocol.
            Ok(response) if response.status().is_informational() => Err(Fault::Broken),
            Ok(response) => Ok(response.into_parts()),
            // hyper returns the request if no byte of it was written.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Fault::NotSent),
                None if error.error().is_parse_too_large() => Err(Fault::Excessive),
                None => Err(self.fault()),
            },
        }
    }

    /// Sends a request that names the address as its host, and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// As [`Connection::send`].
    pub async fn ask(
        &mut self,
        mut request: Request<Bytes>,
    ) -> Result<(response::Parts, Incoming), Fault> {
        let host = self.remote.address.to_string();
        let value = HeaderValue::from_str(&host).expect("an address is plain text");
        request.headers_mut().insert(header::HOST, value);
        self.send(request).await
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
        request: Request<Bytes>,
        max_bytes: usize,
        tally: &Tally,
    ) -> Result<Response<Bytes>, Fault> {
        self.count_in(tally);
        let (head, body) = self.ask(request).await?;
        let body = self.read_body(body, max_bytes).await?;
        Ok(self.end(head, body))
    }

    /// Ends a call whose answer was read to its end.
    pub fn end(self, head: response::Parts, body: Bytes) -> Response<Bytes> {
        if !is_refusal(head.status) {
            self.return_to_pool(None);
        }
        Response::from_parts(head, body)
    }
}

impl Connection {
    /// Reads the body of an answer, of up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`Fault::Excessive`] if the remote side sends more, [`Fault::Broken`] if the connection
    /// ends before.
    pub async fn read_body(&mut self, body: Incoming, max_bytes: usize) -> Result<Bytes, Fault> {
        self.collect(body, max_bytes, None).await
    }

    /// As [`Connection::read_body`], for as long as more of the body arrives within `silence`.
    ///
    /// # Errors
    ///
    /// As those of [`Connection::read_body`], and [`Fault::Silent`] if nothing more arrives.
    pub async fn read_body_while_it_arrives(
        &mut self,
        body: Incoming,
        max_bytes: usize,
        silence: Duration,
    ) -> Result<Bytes, Fault> {
        self.collect(body, max_bytes, Some(silence)).await
    }

    async fn collect(
        &mut self,
        mut body: Incoming,
        max_bytes: usize,
        silence: Option<Duration>,
    ) -> Result<Bytes, Fault> {
        self.link.meter.allow(bounds::body_allowance(max_bytes));
        let mut collector = Collector::new(max_bytes);
        loop {
            let frame = self.frame(&mut body);
            let frame = match silence {
                Some(silence) => lateness::timeout(silence, frame).await,
                None => Ok(frame.await),
            };
            let Some(frame) = frame.map_err(|_| Fault::Silent)? else {
                return Ok(collector.finish());
            };
            let frame = frame.map_err(|_| self.fault())?;
            if let Some(piece) = frame.data_ref() {
                collector.push(piece).map_err(|_| Fault::Excessive)?;
            }
        }
    }

    /// Reads the next part of the body of an answer; `None` at its end.
    pub async fn frame(&mut self, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
        self.link.drive_until(body.frame()).await
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

    /// Takes a place for a connection, if needed that of an idle one; no place is needed without a
    /// bound.
    fn take_socket(&self) -> Result<Option<SocketPlace>, NoSocket> {
        let Some(sockets) = &self.sockets else {
            return Ok(None);
        };
        if let Some(place) = sockets.take() {
            return Ok(Some(place));
        }
        self.close_one_idle();
        sockets.take().map(Some).ok_or(NoSocket)
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
            kept.swap_remove(index);
        }
        all.retain(|_, kept| !kept.is_empty());
    }

    /// Closes idle connections that have expired. One that the remote side has closed is found when it
    /// is taken for a call.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(|idle| idle.expires_at > now);
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
        if !force_new && let Some(link) = self.take_idle(&remote) {
            return Ok(Connection {
                client: self.clone(),
                remote,
                link,
            });
        }
        match self.probe(remote).await {
            Probe::Accepted(connection) => Ok(connection),
            Probe::Refused | Probe::Unknown => Err(Fault::NotSent),
        }
    }

    /// Opens a new connection and says what that shows about the remote side.
    pub async fn probe(self: &Rc<Self>, remote: Remote) -> Probe {
        let Ok(place) = self.take_socket() else {
            journal!(warn, "no-socket", upstream = remote.name);
            return Probe::Unknown;
        };
        let connect = TcpStream::connect(remote.address);
        match lateness::timeout(CONNECT_TIMEOUT, connect).await {
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
        let link = Link::open(stream, place).await;
        Ok(Connection {
            client: self.clone(),
            remote,
            link: Box::new(link.map_err(|NotOpen| Fault::NotSent)?),
        })
    }

    /// Takes an idle connection that can be used. Others are closed.
    fn take_idle(&self, remote: &Remote) -> Option<Box<Link>> {
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(remote)?;
        let now = Instant::now();
        while let Some(idle) = kept.pop() {
            if idle.expires_at > now && idle.link.is_usable() {
                return Some(idle.link);
            }
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
        tally: &Tally,
    ) -> Result<Response<Bytes>, Fault> {
        let whole = async {
            let connection = self.connect(remote, false).await?;
            connection.round_trip(request, max_bytes, tally).await
        };
        lateness::timeout(timeout, whole)
            .await
            .unwrap_or(Err(Fault::Silent))
    }
}

/// Whether an answer says that what was asked for was not done. It names nothing that it answers:
/// written once more, it would be taken for the answer to whatever is sent next.
const fn is_refusal(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
