//! Counts the bytes that cross the host's link, by kind and direction: payloads, without the headers of
//! the network's own protocols.

use crate::{journal::journal, lateness, metrics::registered, shared::Shared};
use mulberryrack_uplink::Totals;
use mulberryrack_wire::plan::datagram::Body;
use nix::time::{ClockId, clock_gettime};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use std::{
    fmt::Write,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{self, Instant},
};

/// Interval between two log lines on the traffic.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What bytes on the link are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests of callers and their answers.
    Callers,
    /// Requests to upstreams and their answers.
    Upstreams,
    /// Checks of upstreams' health and state.
    Probes,
    /// Orders to engines.
    Orders,
    /// Listings of the key-value service.
    List,
    /// Watches of the key-value service.
    Watch,
    /// Other calls to the key-value service: leases, and this host's own keys.
    Store,
    /// Calls between hosts: demand, placements, leases and extensions of the claim.
    Peers,
    /// Datagrams on prompts.
    Notices,
    /// Datagrams on changes of engines' models and on upstreams that leave.
    Changes,
    /// Datagrams of evidence on crashes, and permits.
    Evidence,
    /// Datagrams on limits and quotas.
    Limits,
    /// Datagrams of proofs that the configuration is current.
    Proofs,
    /// Readiness checks, address queries and metrics.
    Endpoints,
}

impl Kind {
    const ALL: [Self; 14] = [
        Self::Callers,
        Self::Upstreams,
        Self::Probes,
        Self::Orders,
        Self::List,
        Self::Watch,
        Self::Store,
        Self::Peers,
        Self::Notices,
        Self::Changes,
        Self::Evidence,
        Self::Limits,
        Self::Proofs,
        Self::Endpoints,
    ];

    /// The kind of a datagram between hosts.
    pub const fn of_datagram(body: &Body) -> Self {
        match body {
            Body::Notice(_) => Self::Notices,
            Body::Change(_) | Body::Leaving(_) => Self::Changes,
            Body::Suspects(_)
            | Body::PermitAsk(_)
            | Body::PermitAnswer(_)
            | Body::PermitRelease(_) => Self::Evidence,
            Body::Limits(_)
            | Body::TokenAsk(_)
            | Body::TokenAnswer(_)
            | Body::TokenReturn(_)
            | Body::Usage(_) => Self::Limits,
            Body::ProofQuery(_) | Body::ProofAnswer(_) => Self::Proofs,
        }
    }

    /// Name in metrics and log lines.
    const fn label(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Upstreams => "upstreams",
            Self::Probes => "probes",
            Self::Orders => "orders",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Store => "store",
            Self::Peers => "peers",
            Self::Notices => "notices",
            Self::Changes => "changes",
            Self::Evidence => "evidence",
            Self::Limits => "limits",
            Self::Proofs => "proofs",
            Self::Endpoints => "endpoints",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByteLabels {
    kind: &'static str,
    direction: &'static str,
}

/// The bytes of one kind. All copies count together.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    sent: Counter,
    received: Counter,
}

impl Tally {
    /// Counts bytes that were handed to the kernel.
    pub fn record_sent(&self, bytes: usize) {
        self.sent.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Counts bytes that were read.
    pub fn record_received(&self, bytes: usize) {
        self.received
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }
}

/// The bytes that have crossed the link since the start of the process.
#[derive(Debug)]
pub struct Traffic {
    tallies: [Tally; Kind::ALL.len()],
}

impl Traffic {
    /// Creates the counters, all at zero, and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let help = "Bytes of payload on the host's link";
        let family: Family<ByteLabels, Counter> =
            registered(registry, "link_bytes", help, Family::default());
        let counter = |kind: Kind, direction| {
            let kind = kind.label();
            family
                .get_or_create(&ByteLabels { kind, direction })
                .clone()
        };
        Self {
            tallies: Kind::ALL.map(|kind| Tally {
                sent: counter(kind, "sent"),
                received: counter(kind, "received"),
            }),
        }
    }

    /// The bytes of a kind.
    pub const fn of(&self, kind: Kind) -> &Tally {
        &self.tallies[kind as usize]
    }

    /// Bytes sent and received so far.
    pub fn sum(&self) -> Totals {
        let sum = |count: fn(&Tally) -> u64| self.tallies.iter().map(count).sum();
        Totals {
            sent: sum(|tally| tally.sent.get()),
            received: sum(|tally| tally.received.get()),
        }
    }

    /// Bytes sent and received so far, by kind.
    fn totals(&self) -> [(u64, u64); Kind::ALL.len()] {
        Kind::ALL.map(|kind| {
            let tally = self.of(kind);
            (tally.sent.get(), tally.received.get())
        })
    }
}

/// A connection whose bytes are counted.
pub struct Counted<S> {
    stream: S,
    tally: Tally,
}

impl<S> Counted<S> {
    /// Counts the bytes of a connection from now on.
    pub const fn new(stream: S, tally: Tally) -> Self {
        Self { stream, tally }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.tally.record_sent(*bytes);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        self.tally.record_received(buffer.filled().len() - before);
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Processor time that the process has used; zero if the system does not tell.
pub fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// Logs the traffic of each interval, with the processor time and the lateness of the thread in it,
/// until the process ends.
pub async fn log<D>(shared: Rc<Shared<D>>) {
    let mut before = shared.metrics.traffic.totals();
    let mut cpu_before = processor_time();
    loop {
        let begun = Instant::now();
        time::sleep(LOG_INTERVAL).await;
        let totals = shared.metrics.traffic.totals();
        let cpu = processor_time();
        let mut by_kind = String::new();
        let (mut all_sent, mut all_received) = (0, 0);
        for ((kind, now), then) in Kind::ALL.into_iter().zip(totals).zip(before) {
            let (sent, received) = (now.0 - then.0, now.1 - then.1);
            if sent + received > 0 {
                // Writing to a `String` cannot fail.
                let _ = write!(by_kind, " {}={sent}/{received}", kind.label());
            }
            all_sent += sent;
            all_received += received;
        }
        let lateness::Sum { total, pauses } = shared.lateness.take_sum();
        journal!(
            info,
            "link-traffic",
            over_ms = begun.elapsed().as_millis(),
            cpu_ms = cpu.saturating_sub(cpu_before).as_millis(),
            late_ms = total.as_millis(),
            late_times = pauses,
            sent = all_sent,
            // The kinds that have crossed the link follow, each as a key of its own.
            received = format_args!("{all_received}{by_kind}"),
        );
        (before, cpu_before) = (totals, cpu);
    }
}
