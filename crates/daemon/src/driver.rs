//! The event loop: passes events to the host and carries out the effects that it returns.

use crate::{contact, logging, metrics::Metrics, peer, platform, upstream};
use mulberryrack_core::{Name, Time, caller::Answer, note::Note, outcome::Reason, request};
use mulberryrack_host::{Effect, Event, Host, Identity, Readiness, Settings, operator};
use mulberryrack_member::AddressAnswer;
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    time::{Duration, Instant},
};

/// Maximum time that the loop waits for an event, where the host asks for no earlier wake.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A message to the loop.
#[derive(Debug)]
enum Message {
    Event(Box<Event>),
    Readiness(Sender<Readiness>),
    Stop,
}

/// The sending end of the loop's queue, by which adapters report events. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Inbox(Sender<Message>);

impl Inbox {
    /// Creates a queue; returns its sending end and the receiving end for [`run`].
    #[must_use]
    pub fn new() -> (Self, InboxReceiver) {
        let (sender, receiver) = mpsc::channel();
        (Self(sender), InboxReceiver(receiver))
    }

    /// Queues an event. Returns `false` if the loop has ended; the event is then dropped.
    pub fn put(&self, event: Event) -> bool {
        self.0.send(Message::Event(Box::new(event))).is_ok()
    }

    /// Asks the loop whether the host is ready and waits for the answer; `None` if the loop
    /// has ended.
    #[must_use]
    pub fn readiness(&self) -> Option<Readiness> {
        let (sender, receiver) = mpsc::channel();
        self.0.send(Message::Readiness(sender)).ok()?;
        receiver.recv().ok()
    }

    /// Ends the loop after the messages that are already queued.
    pub fn stop(&self) {
        let _ = self.0.send(Message::Stop);
    }
}

/// The receiving end of an [`Inbox`].
#[derive(Debug)]
pub struct InboxReceiver(Receiver<Message>);

/// The process's clock. Its [`Time`]s are microseconds since the clock was started.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time since the start, as a [`Time`].
    #[must_use]
    pub fn now(self) -> Time {
        let micros = self.0.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Callers and operators that wait for an answer of the host, by ticket.
///
/// A ticket is a number, unique within the process, that pairs a question with its answer.
#[derive(Debug, Default)]
pub struct PendingAnswers {
    next: AtomicU64,
    callers: Mutex<HashMap<request::Key, Sender<Answer>>>,
    addresses: Mutex<HashMap<u64, Sender<Result<AddressAnswer, Reason>>>>,
    operators: Mutex<HashMap<u64, Sender<operator::Answer>>>,
}

impl PendingAnswers {
    /// Registers a caller's request. Returns its key and the channel on which the parts of
    /// the answer arrive.
    pub fn register_caller(&self) -> (request::Key, Receiver<Answer>) {
        let key = request::Key(self.next_ticket());
        (key, register(&self.callers, key))
    }

    /// Registers a question for addresses. Returns its ticket and the channel for the answer.
    pub fn register_address_query(&self) -> (u64, Receiver<Result<AddressAnswer, Reason>>) {
        let ticket = self.next_ticket();
        (ticket, register(&self.addresses, ticket))
    }

    /// Registers an operator's command. Returns its ticket and the channel for the answer.
    pub fn register_operator_command(&self) -> (u64, Receiver<operator::Answer>) {
        let ticket = self.next_ticket();
        (ticket, register(&self.operators, ticket))
    }

    /// Closes the channels of all who wait, so that their receivers fail.
    fn close(&self) {
        lock(&self.callers).clear();
        lock(&self.addresses).clear();
        lock(&self.operators).clear();
    }

    /// Number of callers' requests without a final answer.
    pub fn open_requests(&self) -> usize {
        lock(&self.callers).len()
    }

    /// Removes a request that was registered but never passed to the host.
    pub fn remove_caller(&self, key: request::Key) {
        lock(&self.callers).remove(&key);
    }

    fn next_ticket(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn deliver(&self, key: request::Key, answer: Answer) {
        let is_last = matches!(answer, Answer::End(_) | Answer::Final(_));
        let mut callers = lock(&self.callers);
        if let Some(sender) = callers.get(&key) {
            // If the caller has gone away, the thread that serves it reports this to the host.
            let _ = sender.send(answer);
        }
        if is_last {
            callers.remove(&key);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn register<K: std::hash::Hash + Eq, T>(
    pending: &Mutex<HashMap<K, Sender<T>>>,
    key: K,
) -> Receiver<T> {
    let (sender, receiver) = mpsc::channel();
    lock(pending).insert(key, sender);
    receiver
}

/// The adapters that carry out the host's effects.
#[derive(Debug)]
pub struct Adapters {
    /// Sends requests to upstreams.
    pub upstream: upstream::Client,
    /// Polls upstreams for reports and sends orders to engines.
    pub contact: contact::Client,
    /// Calls the key-value service.
    pub platform: platform::Client,
    /// Sends messages to other hosts.
    pub peer: peer::Client,
    /// Delivers answers to callers and operators.
    pub pending: Arc<PendingAnswers>,
    /// Counts decisions, calls and the host's counters.
    pub metrics: Arc<Metrics>,
}

/// What the loop creates its [`Host`] from.
#[derive(Debug)]
pub struct DriverConfig {
    /// Settings of the decision areas.
    pub settings: Settings,
    /// Name, incarnation and addresses of the host.
    pub identity: Identity,
    /// Seed of the host's random choices.
    pub seed: u64,
    /// The clock by which the host's times are given.
    pub clock: Clock,
}

/// Runs the host until it is drained or stopped. The channels of callers and operators that
/// still wait for an answer are then closed.
pub fn run(config: DriverConfig, inbox: InboxReceiver, adapters: &Adapters) {
    run_loop(config, &inbox, adapters);
    // Dropped before the close: from here on `Inbox::put` fails, so that no thread registers,
    // queues its event and then waits for an answer that no one sends.
    drop(inbox);
    adapters.pending.close();
}

fn run_loop(config: DriverConfig, inbox: &InboxReceiver, adapters: &Adapters) {
    let clock = config.clock;
    let mut host = Host::new(config.settings, config.identity, config.seed, clock.now());
    loop {
        let now = clock.now();
        let sleep = host
            .next_wake()
            .map_or(MAX_SLEEP, |wake| wake.since(now).min(MAX_SLEEP));
        let event = match inbox.0.recv_timeout(sleep) {
            Ok(Message::Event(event)) => *event,
            Ok(Message::Readiness(sender)) => {
                let _ = sender.send(host.readiness());
                continue;
            }
            Err(RecvTimeoutError::Timeout) => Event::Wake,
            Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
        };
        let started_at = clock.now();
        let effects = host.handle(started_at, event);
        adapters.metrics.observe_decision(clock.now() - started_at);
        let drained = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Drained));
        for effect in effects {
            execute(effect, adapters);
        }
        if drained {
            return;
        }
    }
}

fn execute(effect: Effect, adapters: &Adapters) {
    match effect {
        Effect::Address { ticket, answer } => {
            if let Some(sender) = lock(&adapters.pending.addresses).remove(&ticket) {
                let _ = sender.send(answer);
            }
        }
        Effect::Caller { request, answer } => adapters.pending.deliver(request, answer),
        Effect::Operator { ticket, answer } => {
            if let Some(sender) = lock(&adapters.pending.operators).remove(&ticket) {
                let _ = sender.send(answer);
            }
        }
        Effect::Peer { address, envelope } => adapters.peer.send(&address, envelope),
        Effect::Kv { area, token, op } => {
            adapters.metrics.count_kv_call(area, &op);
            adapters.platform.call(area, token, op);
        }
        Effect::Send(dispatch) => adapters.upstream.send(dispatch),
        Effect::Cancel(id) => adapters.upstream.cancel(id),
        Effect::Detach(id) => adapters.upstream.detach(id),
        Effect::Poll { upstream, address } => adapters.contact.poll(upstream, address),
        Effect::Order {
            engine,
            address,
            order,
        } => adapters.contact.order(engine, address, order),
        Effect::Note(note) => log(&note),
        Effect::Count(counter) => adapters.metrics.count(counter),
        Effect::Drained => log(&Note::new(mulberryrack_core::note::Level::Info, "drained")),
    }
}

fn log(note: &Note) {
    logging::write("host", note);
}

/// The prefix of the stream ids that the host sends to upstreams. It contains the
/// incarnation, so that ids of an earlier run of the host don't recur.
#[must_use]
pub fn stream_prefix(identity: &Identity) -> Name {
    format!("{}-{}", identity.name, identity.incarnation.0).into()
}
