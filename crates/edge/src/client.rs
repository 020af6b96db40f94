//! The HTTP client for upstreams, the key-value service and orders, with kept
//! connections.

use crate::socket;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use mulberryrack_core::Name;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpStream,
    task::{self, AbortHandle},
    time::{self, Instant},
};

/// Time to connect; between data centres of a region a connection takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an unused connection is kept where the other side names none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Kept back from the time that the other side names, for the way there.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Largest answer of an engine or the key-value service that is read whole.
const LARGEST_ANSWER: usize = 16 << 20;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No byte of it left the host.
    NotSent,
    /// The connection ended before the answer was whole.
    Broken,
    /// No answer came in time.
    Silent,
}

/// Names the other side: its address and, where it has one, its name, so that a new
/// owner of an address gets no old connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name; empty for the key-value service.
    pub name: Name,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Instant,
}

/// Connections that wait for their next call.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<Peer, Vec<Idle>>>,
}

/// A connection in use. Dropping it ends the connection.
pub struct Connection {
    client: Rc<Client>,
    peer: Peer,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl Connection {
    /// Keeps the connection for a later call.
    pub fn keep(mut self, keep_alive: Option<Duration>) {
        let idle = keep_alive.map_or(IDLE_TIMEOUT, |named| named.saturating_sub(IDLE_MARGIN));
        if let (Some(sender), false) = (self.sender.take(), idle.is_zero()) {
            let kept = Idle {
                sender,
                task: self.task.clone(),
                until: Instant::now() + idle,
            };
            let mut all = self.client.idle.borrow_mut();
            all.entry(self.peer.clone()).or_default().push(kept);
        } else {
            self.task.abort();
        }
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<(response::Parts, Incoming), Fault> {
        let sender = self.sender.as_mut().ok_or(Fault::NotSent)?;
        sender.ready().await.map_err(|_| Fault::NotSent)?;
        match sender.try_send_request(request.map(Full::new)).await {
            Ok(response) => Ok(response.into_parts()),
            // The request comes back where none of it was written.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Fault::NotSent),
                None => Err(Fault::Broken),
            },
        }
    }

    /// Sends a request and reads the whole of a short answer; the connection is kept.
    ///
    /// # Errors
    ///
    /// How it failed; after [`Fault::NotSent`] the other side has certainly done nothing.
    pub async fn exchange(mut self, mut request: Request<Bytes>) -> Result<Response<Bytes>, Fault> {
        let host = self.peer.address.to_string();
        let value = HeaderValue::from_str(&host).expect("an address is plain text");
        request.headers_mut().insert(header::HOST, value);
        let (head, body) = self.send(request).await?;
        let body = Limited::new(body, LARGEST_ANSWER).collect().await;
        let body = body.map_err(|_| Fault::Broken)?.to_bytes();
        self.keep(None);
        Ok(Response::from_parts(head, body))
    }
}

impl Client {
    /// Closes kept connections that are past their time.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(|idle| {
                let keep = idle.until > now && !idle.sender.is_closed();
                if !keep {
                    idle.task.abort();
                }
                keep
            });
            !all.is_empty()
        });
    }

    /// A kept connection, or a new one.
    ///
    /// # Errors
    ///
    /// The other side refused it, or did not answer in time.
    pub async fn connect(self: &Rc<Self>, peer: Peer, fresh: bool) -> Result<Connection, Fault> {
        if !fresh && self.has_idle(&peer) {
            // Lets the connections see what has come since, their end above all: a request
            // on one that the other side has closed is lost.
            task::yield_now().await;
        }
        if !fresh && let Some(idle) = self.reuse(&peer) {
            return Ok(Connection {
                client: self.clone(),
                peer,
                sender: Some(idle.sender),
                task: idle.task,
            });
        }
        let connect = TcpStream::connect(peer.address);
        let connected = time::timeout(CONNECT_TIMEOUT, connect).await;
        let Ok(Ok(stream)) = connected else {
            return Err(Fault::NotSent);
        };
        socket::prepare(&stream).map_err(|_| Fault::NotSent)?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| Fault::NotSent)?;
        // How a connection ended is seen by the call that used it.
        let task = task::spawn_local(async move { connection.await.unwrap_or_default() });
        Ok(Connection {
            client: self.clone(),
            peer,
            sender: Some(sender),
            task: task.abort_handle(),
        })
    }

    fn has_idle(&self, peer: &Peer) -> bool {
        self.idle.borrow().contains_key(peer)
    }

    fn reuse(&self, peer: &Peer) -> Option<Idle> {
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(peer)?;
        let now = Instant::now();
        while let Some(idle) = kept.pop() {
            if idle.until > now && !idle.sender.is_closed() && idle.sender.is_ready() {
                return Some(idle);
            }
            idle.task.abort();
        }
        None
    }

    /// A whole call with a short answer.
    ///
    /// # Errors
    ///
    /// How it failed; after [`Fault::NotSent`] the other side has certainly done nothing.
    pub async fn call(
        self: &Rc<Self>,
        peer: Peer,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Fault> {
        let whole = async {
            let connection = self.connect(peer, false).await?;
            connection.exchange(request).await
        };
        time::timeout(timeout, whole)
            .await
            .unwrap_or(Err(Fault::Silent))
    }
}
