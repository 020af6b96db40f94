//! Messages between hosts, and operators' commands, over gRPC.

use crate::{
    config::Tls,
    driver::{Inbox, PendingAnswers},
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

/// Maximum number of messages queued for one host; further messages are dropped.
const QUEUE_LENGTH: usize = 4_096;
/// Maximum number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 256;
/// Maximum length of an encoded batch in bytes.
const MAX_BATCH_BYTES: usize = 4 << 20;
/// Time allowed to open a connection to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time allowed to deliver a batch, including the connection's opening. After it the
/// connection is closed, since it may have gone silent for good.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time allowed for the host to answer an operator's command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of connections that have passed the TLS handshake and wait to be served.
const MAX_ACCEPTED: usize = 64;
/// Time allowed for the TLS handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without a message after which a host's queue and connection are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Sends messages to other hosts, over one connection for each host.
#[derive(Clone, Debug)]
pub struct Client {
    inbox: Inbox,
    runtime: Handle,
    metrics: Arc<Metrics>,
    tls: Option<Tls>,
    queues: Arc<Mutex<HashMap<Name, Sender<Envelope>>>>,
}

impl Client {
    /// A client that runs on `runtime`. It sends in plain text if `tls` is `None`.
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

    /// Queues a message for a host. The message is dropped if the host's queue is full.
    pub fn send(&self, address: &Name, envelope: Envelope) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(queue) = queues.get(address) else {
            return self.open_queue(&mut queues, address, envelope);
        };
        // The queue is closed if the connection has been idle for `IDLE_TIMEOUT`.
        if let Err(TrySendError::Closed(envelope)) = queue.try_send(envelope) {
            self.open_queue(&mut queues, address, envelope);
        }
    }

    fn open_queue(
        &self,
        queues: &mut HashMap<Name, Sender<Envelope>>,
        address: &Name,
        envelope: Envelope,
    ) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        // Cannot fail: the queue is new and empty.
        let _ = sender.try_send(envelope);
        queues.insert(address.clone(), sender);
        let connection = Connection {
            address: address.clone(),
            inbox: self.inbox.clone(),
            metrics: self.metrics.clone(),
            tls: self.tls.clone(),
            client: None,
        };
        self.runtime.spawn(connection.run(receiver));
    }
}

/// The sending side of the connection to one host.
struct Connection {
    address: Name,
    inbox: Inbox,
    metrics: Arc<Metrics>,
    tls: Option<Tls>,
    client: Option<PeerClient<Channel>>,
}

impl Connection {
    async fn run(mut self, mut queue: Receiver<Envelope>) {
        let mut envelopes = Vec::new();
        loop {
            let next = tokio::time::timeout(
                IDLE_TIMEOUT,
                queue.recv_many(&mut envelopes, MAX_BATCH_MESSAGES),
            );
            if !matches!(next.await, Ok(count) if count > 0) {
                return;
            }
            self.deliver(std::mem::take(&mut envelopes)).await;
        }
    }

    async fn deliver(&mut self, envelopes: Vec<Envelope>) {
        let receivers: Vec<Name> = envelopes
            .iter()
            .map(|envelope| envelope.to.as_str().into())
            .collect();
        let batch = Batch { envelopes };
        let bytes = u64::try_from(batch.encoded_len()).unwrap_or(u64::MAX);
        let sent = tokio::time::timeout(DELIVER_TIMEOUT, self.try_deliver(batch)).await;
        if matches!(sent, Ok(Ok(()))) {
            self.metrics.add_peer_bytes(bytes);
            return;
        }
        self.client = None;
        for to in receivers {
            self.inbox.put(Event::Undelivered { to });
        }
    }

    async fn connect(&self) -> Result<PeerClient<Channel>, Status> {
        let channel = connect(&self.address, self.tls.as_ref())
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(PeerClient::new(channel)
            .max_decoding_message_size(MAX_BATCH_BYTES)
            .max_encoding_message_size(MAX_BATCH_BYTES))
    }

    async fn try_deliver(&mut self, batch: Batch) -> Result<(), Status> {
        let client = match self.client.take() {
            Some(client) => client,
            None => self.connect().await?,
        };
        self.client.insert(client).deliver(batch).await.map(|_| ())
    }
}

/// Opens a connection to a host. Each call reads the files of `tls` again, so that a new
/// connection uses replaced certificates.
///
/// # Errors
///
/// The address or a certificate file cannot be used, or the host cannot be reached.
pub async fn connect(address: &str, tls: Option<&Tls>) -> io::Result<Channel> {
    let scheme = if tls.is_some() { "https" } else { "http" };
    let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))
        .map_err(io::Error::other)?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    if let Some(files) = tls {
        endpoint = endpoint
            .tls_config(tls::client_config(files)?)
            .map_err(io::Error::other)?;
    }
    endpoint.connect().await.map_err(io::Error::other)
}

/// Receives messages from hosts and commands from operators.
#[derive(Clone, Debug)]
struct Service {
    inbox: Inbox,
    pending: Arc<PendingAnswers>,
    /// Whether clients must present a certificate; `false` only without TLS.
    require_certificate: bool,
}

impl Service {
    /// Refuses a request if certificates are required and the client's is not valid for
    /// `name`.
    fn check_certificate<T>(&self, request: &Request<T>, name: &'static str) -> Result<(), Status> {
        let peer_certificates = request.peer_certs();
        let valid = peer_certificates
            .as_ref()
            .and_then(|certificates| certificates.first())
            .is_some_and(|certificate| tls::is_valid_for(certificate, name));
        if self.require_certificate && !valid {
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
        self.check_certificate(&request, tls::HOST)?;
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
        self.check_certificate(&request, tls::OPERATOR)?;
        let command: operator::Command = serde_json::from_str(&request.into_inner().json)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let (ticket, answers) = self.pending.register_operator_command();
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
    pending: Arc<PendingAnswers>,
    files: Option<&Tls>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let reloading = files
        .map(|files| Reloading::new(files, tls::CHECK_INTERVAL))
        .transpose()?;
    let service = Service {
        inbox,
        pending,
        require_certificate: reloading.is_some(),
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
                let (sender, accepted) = mpsc::channel(MAX_ACCEPTED);
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

/// Accepts connections and runs their TLS handshakes concurrently. Connections whose handshake
/// succeeds are sent to `accepted`.
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Without this option, small messages wait for acknowledgements. A failure to set it
        // only delays messages.
        let _ = stream.set_nodelay(true);
        let acceptor = TlsAcceptor::from(reloading.current());
        let accepted = accepted.clone();
        tokio::spawn(async move {
            let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
            if let Ok(Ok(stream)) = handshake {
                // Fails only if the server has ended.
                let _ = accepted.send(Ok(stream)).await;
            }
        });
    }
}
