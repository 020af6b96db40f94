//! Messages between hosts, and operators' commands, over `tonic`.

use crate::{
    config::Tls,
    driver::{Inbox, Waiting},
    logging,
    metrics::Metrics,
    tls::{self, Reloading},
};
use mulberryrack_core::{
    Name,
    note::{Level, Note},
};
use mulberryrack_host::{Event, operator};
use mulberryrack_wire::{
    operator::{
        Answer, Command,
        operator_server::{Operator, OperatorServer},
    },
    peer::{
        Batch, Envelope, Receipt,
        peer_client::PeerClient,
        peer_server::{Peer, PeerServer},
    },
};
use prost::Message;
use std::{
    collections::HashMap,
    io,
    net::TcpListener,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    runtime::Handle,
    sync::mpsc::{self, Receiver, Sender, error::TrySendError},
};
use tokio_rustls::{TlsAcceptor, server::TlsStream};
use tokio_stream::{
    Stream,
    wrappers::{ReceiverStream, TcpListenerStream},
};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

/// Messages that wait for one host; one more is dropped.
const QUEUE: usize = 4_096;
/// Most messages in one batch.
const BATCH: usize = 256;
/// Largest batch in bytes.
const MAX_BATCH_BYTES: usize = 4 << 20;
/// Time to open a connection to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a host to take a batch; after it the connection is given up, since it may
/// have gone silent for good.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the host to answer an operator's command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(15);
/// Connections that have proved who they are and wait to be served.
const ACCEPTED: usize = 64;
/// Time for a new connection to prove who it is.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// A queue for a host that has had no message for this long is given up.
const IDLE: Duration = Duration::from_secs(120);

/// Sends messages to hosts, each host over a connection of its own.
#[derive(Clone, Debug)]
pub struct Client {
    inbox: Inbox,
    runtime: Handle,
    metrics: Arc<Metrics>,
    tls: Option<Tls>,
    queues: Arc<Mutex<HashMap<Name, Sender<Envelope>>>>,
}

impl Client {
    /// A client that runs on `runtime`, in plain text where `tls` is `None`.
    #[must_use]
    pub fn new(inbox: Inbox, runtime: Handle, metrics: Arc<Metrics>, tls: Option<Tls>) -> Self {
        Self {
            inbox,
            runtime,
            metrics,
            tls,
            queues: Arc::default(),
        }
    }

    /// Sends a message; it is dropped when too many wait for this host.
    pub fn send(&self, address: &Name, envelope: Envelope) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(queue) = queues.get(address) else {
            return self.open(&mut queues, address, envelope);
        };
        // A closed queue belongs to a connection that was given up as idle.
        if let Err(TrySendError::Closed(envelope)) = queue.try_send(envelope) {
            self.open(&mut queues, address, envelope);
        }
    }

    fn open(
        &self,
        queues: &mut HashMap<Name, Sender<Envelope>>,
        address: &Name,
        envelope: Envelope,
    ) {
        let (sender, receiver) = mpsc::channel(QUEUE);
        // A new queue has room.
        let _ = sender.try_send(envelope);
        queues.insert(address.clone(), sender);
        let link = Link {
            address: address.clone(),
            inbox: self.inbox.clone(),
            metrics: self.metrics.clone(),
            tls: self.tls.clone(),
            client: None,
        };
        self.runtime.spawn(link.run(receiver));
    }
}

/// The sending side of the connection to one host.
struct Link {
    address: Name,
    inbox: Inbox,
    metrics: Arc<Metrics>,
    tls: Option<Tls>,
    client: Option<PeerClient<Channel>>,
}

impl Link {
    async fn run(mut self, mut queue: Receiver<Envelope>) {
        let mut envelopes = Vec::new();
        loop {
            let next = tokio::time::timeout(IDLE, queue.recv_many(&mut envelopes, BATCH));
            if !matches!(next.await, Ok(count) if count > 0) {
                return;
            }
            self.deliver(std::mem::take(&mut envelopes)).await;
        }
    }

    async fn deliver(&mut self, envelopes: Vec<Envelope>) {
        let to: Vec<Name> = envelopes
            .iter()
            .map(|envelope| envelope.to.as_str().into())
            .collect();
        let batch = Batch { envelopes };
        let bytes = u64::try_from(batch.encoded_len()).unwrap_or(u64::MAX);
        let sent = tokio::time::timeout(DELIVER_TIMEOUT, self.attempt(batch)).await;
        if matches!(sent, Ok(Ok(()))) {
            self.metrics.peer_sent(bytes);
            return;
        }
        self.client = None;
        for to in to {
            self.inbox.put(Event::Undelivered { to });
        }
    }

    async fn open(&self) -> Result<PeerClient<Channel>, Status> {
        let channel = connect(&self.address, self.tls.as_ref())
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(PeerClient::new(channel)
            .max_decoding_message_size(MAX_BATCH_BYTES)
            .max_encoding_message_size(MAX_BATCH_BYTES))
    }

    async fn attempt(&mut self, batch: Batch) -> Result<(), Status> {
        let client = match self.client.take() {
            Some(client) => client,
            None => self.open().await?,
        };
        self.client.insert(client).deliver(batch).await.map(|_| ())
    }
}

/// Opens a connection to a host. The files of `tls` are read each time, so that new
/// certificates are used from the next connection on.
///
/// # Errors
///
/// The address or a file cannot be used, or the host cannot be reached.
pub async fn connect(address: &str, tls: Option<&Tls>) -> io::Result<Channel> {
    let scheme = if tls.is_some() { "https" } else { "http" };
    let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))
        .map_err(io::Error::other)?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    if let Some(files) = tls {
        endpoint = endpoint
            .tls_config(tls::client(files)?)
            .map_err(io::Error::other)?;
    }
    endpoint.connect().await.map_err(io::Error::other)
}

/// Takes messages from hosts and commands from operators.
#[derive(Clone, Debug)]
struct Service {
    inbox: Inbox,
    waiting: Arc<Waiting>,
    /// Whether the other end has to show who it is.
    checked: bool,
}

impl Service {
    /// Refuses a request whose certificate is not valid for `name`.
    fn admit<T>(&self, request: &Request<T>, name: &'static str) -> Result<(), Status> {
        let shown = request.peer_certs();
        let valid = shown
            .as_ref()
            .and_then(|certificates| certificates.first())
            .is_some_and(|certificate| tls::names(certificate, name));
        if self.checked && !valid {
            return Err(Status::permission_denied(format!(
                "the certificate is not valid for {name}"
            )));
        }
        Ok(())
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn deliver(&self, request: Request<Batch>) -> Result<Response<Receipt>, Status> {
        self.admit(&request, tls::HOST)?;
        for envelope in request.into_inner().envelopes {
            if !self.inbox.put(Event::Peer(envelope)) {
                return Err(Status::unavailable("the host has ended"));
            }
        }
        Ok(Response::new(Receipt {}))
    }
}

#[tonic::async_trait]
impl Operator for Service {
    type RunStream = Pin<Box<dyn Stream<Item = Result<Answer, Status>> + Send>>;

    async fn run(&self, request: Request<Command>) -> Result<Response<Self::RunStream>, Status> {
        self.admit(&request, tls::OPERATOR)?;
        let command: operator::Command = serde_json::from_str(&request.into_inner().json)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let (ticket, answers) = self.waiting.operator();
        if !self.inbox.put(Event::Operator { ticket, command }) {
            return Err(Status::unavailable("the host has ended"));
        }
        let answer = tokio::task::spawn_blocking(move || answers.recv_timeout(COMMAND_TIMEOUT))
            .await
            .map_err(|error| Status::internal(error.to_string()))?
            .map_err(|_| Status::deadline_exceeded("the host did not answer in time"))?;
        let json =
            serde_json::to_string(&answer).map_err(|error| Status::internal(error.to_string()))?;
        let answer = Answer { json, last: true };
        Ok(Response::new(Box::pin(tokio_stream::once(Ok(answer)))))
    }
}

/// Serves hosts and operators on a listener until the runtime ends.
///
/// # Errors
///
/// The listener or a certificate cannot be used.
pub fn serve(
    runtime: &Handle,
    listener: TcpListener,
    inbox: Inbox,
    waiting: Arc<Waiting>,
    files: Option<&Tls>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let reloading = files
        .map(|files| Reloading::new(files, tls::LOOK_INTERVAL))
        .transpose()?;
    let service = Service {
        inbox,
        waiting,
        checked: reloading.is_some(),
    };
    let _guard = runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let router = Server::builder()
        .add_service(
            PeerServer::new(service.clone())
                .max_decoding_message_size(MAX_BATCH_BYTES)
                .max_encoding_message_size(MAX_BATCH_BYTES),
        )
        .add_service(OperatorServer::new(service).max_decoding_message_size(MAX_BATCH_BYTES));
    runtime.spawn(async move {
        let served = match reloading {
            None => {
                let incoming = TcpListenerStream::new(listener);
                router.serve_with_incoming(incoming).await
            }
            Some(reloading) => {
                let (sender, accepted) = mpsc::channel(ACCEPTED);
                tokio::spawn(accept(listener, reloading, sender));
                let incoming = ReceiverStream::new(accepted);
                router.serve_with_incoming(incoming).await
            }
        };
        if let Err(error) = served {
            let note = Note::new(Level::Error, "peers-not-served").with("error", &error);
            logging::write("peer", &note);
        }
    });
    Ok(())
}

/// Accepts connections and makes each prove who it is, side by side.
async fn accept(
    listener: tokio::net::TcpListener,
    reloading: Reloading,
    accepted: Sender<io::Result<TlsStream<TcpStream>>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                let note = Note::new(Level::Warn, "accept-failed").with("error", &error);
                logging::write("peer", &note);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without it small messages wait for acknowledgements; harmless where it fails.
        let _ = stream.set_nodelay(true);
        let acceptor = TlsAcceptor::from(reloading.current());
        let accepted = accepted.clone();
        tokio::spawn(async move {
            let shaken = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
            if let Ok(Ok(stream)) = shaken {
                // Closed only when the server has ended.
                let _ = accepted.send(Ok(stream)).await;
            }
        });
    }
}
