//! Feeds events to the host, in time, and carries out its effects.

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

/// Longest sleep of the loop.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// What the loop is told.
#[derive(Debug)]
enum Message {
    Event(Box<Event>),
    Readiness(Sender<Readiness>),
    Stop,
}

/// Where adapters put events. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Inbox(Sender<Message>);

impl Inbox {
    /// An inbox and the end that the loop reads.
    #[must_use]
    pub fn new() -> (Self, Outlet) {
        let (sender, receiver) = mpsc::channel();
        (Self(sender), Outlet(receiver))
    }

    /// Puts an event in; `false` after the end of the loop, when nobody takes it.
    pub fn put(&self, event: Event) -> bool {
        self.0.send(Message::Event(Box::new(event))).is_ok()
    }

    /// Asks whether the host is ready; `None` after the end of the loop.
    #[must_use]
    pub fn readiness(&self) -> Option<Readiness> {
        let (sender, receiver) = mpsc::channel();
        self.0.send(Message::Readiness(sender)).ok()?;
        receiver.recv().ok()
    }

    /// Ends the loop at once.
    pub fn stop(&self) {
        let _ = self.0.send(Message::Stop);
    }
}

/// The reading end of an [`Inbox`].
#[derive(Debug)]
pub struct Outlet(Receiver<Message>);

/// The process's clock: microseconds since it was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time on it.
    #[must_use]
    pub fn now(self) -> Time {
        let micros = self.0.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Those who wait for answers, by ticket.
#[derive(Debug, Default)]
pub struct Waiting {
    next: AtomicU64,
    callers: Mutex<HashMap<request::Key, Sender<Answer>>>,
    addresses: Mutex<HashMap<u64, Sender<Result<AddressAnswer, Reason>>>>,
    operators: Mutex<HashMap<u64, Sender<operator::Answer>>>,
}

impl Waiting {
    /// A ticket for a caller's request, and where its answer arrives.
    pub fn caller(&self) -> (request::Key, Receiver<Answer>) {
        let key = request::Key(self.ticket());
        (key, wait(&self.callers, key))
    }

    /// A ticket for a question for addresses.
    pub fn address(&self) -> (u64, Receiver<Result<AddressAnswer, Reason>>) {
        let ticket = self.ticket();
        (ticket, wait(&self.addresses, ticket))
    }

    /// A ticket for an operator's command.
    pub fn operator(&self) -> (u64, Receiver<operator::Answer>) {
        let ticket = self.ticket();
        (ticket, wait(&self.operators, ticket))
    }

    /// Lets everybody who waits find that no answer will come.
    fn close(&self) {
        lock(&self.callers).clear();
        lock(&self.addresses).clear();
        lock(&self.operators).clear();
    }

    /// Requests that wait for an answer.
    pub fn requests(&self) -> usize {
        lock(&self.callers).len()
    }

    /// Takes a caller's ticket back that was not used.
    pub fn forget(&self, key: request::Key) {
        lock(&self.callers).remove(&key);
    }

    fn ticket(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn answer(&self, key: request::Key, answer: Answer) {
        let last = matches!(answer, Answer::End(_) | Answer::Final(_));
        let mut callers = lock(&self.callers);
        if let Some(sender) = callers.get(&key) {
            // A caller that has gone away is found by its own thread.
            let _ = sender.send(answer);
        }
        if last {
            callers.remove(&key);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn wait<K: std::hash::Hash + Eq, T>(waiting: &Mutex<HashMap<K, Sender<T>>>, key: K) -> Receiver<T> {
    let (sender, receiver) = mpsc::channel();
    lock(waiting).insert(key, sender);
    receiver
}

/// The adapters that carry out effects.
#[derive(Debug)]
pub struct Adapters {
    /// Requests to upstreams.
    pub upstream: upstream::Client,
    /// Reports and orders.
    pub contact: contact::Client,
    /// Key-value calls.
    pub platform: platform::Client,
    /// Messages to hosts.
    pub peer: peer::Client,
    /// Callers and operators.
    pub waiting: Arc<Waiting>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// What the loop starts with.
#[derive(Debug)]
pub struct Start {
    /// Settings of the areas.
    pub settings: Settings,
    /// Who the host is.
    pub identity: Identity,
    /// Seed of the host's random choices.
    pub seed: u64,
    /// The process's clock.
    pub clock: Clock,
}

/// Runs the host until it is drained or stopped. Whoever still waits for an answer then
/// finds that none will come.
pub fn run(start: Start, outlet: Outlet, adapters: &Adapters) {
    decide(start, &outlet, adapters);
    // Dropped first, so that nobody can begin to wait after the close.
    drop(outlet);
    adapters.waiting.close();
}

fn decide(start: Start, outlet: &Outlet, adapters: &Adapters) {
    let clock = start.clock;
    let mut host = Host::new(start.settings, start.identity, start.seed, clock.now());
    loop {
        let now = clock.now();
        let sleep = host
            .next_wake()
            .map_or(MAX_SLEEP, |wake| wake.since(now).min(MAX_SLEEP));
        let event = match outlet.0.recv_timeout(sleep) {
            Ok(Message::Event(event)) => *event,
            Ok(Message::Readiness(sender)) => {
                let _ = sender.send(host.readiness());
                continue;
            }
            Err(RecvTimeoutError::Timeout) => Event::Wake,
            Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
        };
        let begin = clock.now();
        let effects = host.handle(begin, event);
        adapters.metrics.decided(clock.now() - begin);
        let drained = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Drained));
        for effect in effects {
            carry_out(effect, adapters);
        }
        if drained {
            return;
        }
    }
}

fn carry_out(effect: Effect, adapters: &Adapters) {
    match effect {
        Effect::Address { ticket, answer } => {
            if let Some(sender) = lock(&adapters.waiting.addresses).remove(&ticket) {
                let _ = sender.send(answer);
            }
        }
        Effect::Caller { request, answer } => adapters.waiting.answer(request, answer),
        Effect::Operator { ticket, answer } => {
            if let Some(sender) = lock(&adapters.waiting.operators).remove(&ticket) {
                let _ = sender.send(answer);
            }
        }
        Effect::Peer { address, envelope } => adapters.peer.send(&address, envelope),
        Effect::Kv { area, token, op } => {
            adapters.metrics.kv_call(area, &op);
            adapters.platform.call(area, token, op);
        }
        Effect::Send(send) => adapters.upstream.send(send),
        Effect::Cancel(attempt) => adapters.upstream.cancel(attempt),
        Effect::Detach(attempt) => adapters.upstream.forget(attempt),
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

/// The name of a life of a host, as upstreams see it.
#[must_use]
pub fn life(identity: &Identity) -> Name {
    format!("{}-{}", identity.name, identity.incarnation.0).into()
}
