//! Calls to the key-value service, and the era of its answers.

use crate::{
    bounds,
    client::{Client, Fault, Remote},
    clock::Clock,
    lateness,
    metrics::Metrics,
    traffic::Kind,
    transfer::{self, Transfers},
};
use bytes::Bytes;
use http::Response;
use mulberryrack_core::{
    Time,
    kv::{self, Era, Reply, Revision},
};
use mulberryrack_site::Dialect;
use mulberryrack_uplink::Uplink;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// Longest wait for an answer to begin, and then for more of it. A healthy key-value service answers in
/// milliseconds; how long the bytes of a large answer take depends on the links.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest time for the bytes of an answer to arrive, so that a service that sends a little now and then does not
/// hold a call for ever.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(12);

/// The client of the key-value service.
pub struct Store<D> {
    dialect: Rc<D>,
    client: Rc<Client>,
    remote: Remote,
    metrics: Rc<Metrics>,
    /// Time of the service's last usable answer; `None` if there was none.
    last_answer: Cell<Option<Instant>>,
    clock: Clock,
    /// The host's link, over which the service is reached.
    pub uplink: RefCell<Uplink>,
    /// The highest era of any answer, and when it was noticed; `None` if no answer named one.
    era: Cell<Option<(Era, Time)>>,
    /// Number of times that the era rose after the first answer.
    rises: Cell<u32>,
    /// The era before the last rise.
    former_era: Cell<Era>,
    /// Notified when the era has risen.
    pub era_changed: Notify,
    /// The newest write of this host, and the era in which it was made.
    last_write: Cell<(Option<Era>, Revision)>,
    /// The era that the last usable answer to a watch or a listing named.
    read_era: Cell<Option<Era>>,
    /// Transfers of the answers to listings and watches of all keys.
    pub transfers: Transfers,
    /// Whether the last call other than a watch or a listing had no usable answer.
    unanswered: Cell<bool>,
    /// Notified when such a call has a usable answer after one that had none. The service may have
    /// forgotten an open watch, which is then made anew.
    pub recovered: Notify,
}

impl<D: Dialect> Store<D> {
    /// Creates a client for the service at an address.
    pub fn new(
        dialect: Rc<D>,
        address: SocketAddr,
        metrics: Rc<Metrics>,
        clock: Clock,
        link_bytes_per_s: Option<u32>,
    ) -> Self {
        Self {
            dialect,
            client: Rc::new(Client::default()),
            remote: Remote {
                address,
                name: "".into(),
            },
            metrics,
            last_answer: Cell::new(None),
            clock,
            uplink: RefCell::new(Uplink::new(link_bytes_per_s)),
            era: Cell::new(None),
            rises: Cell::new(0),
            former_era: Cell::default(),
            era_changed: Notify::new(),
            last_write: Cell::default(),
            read_era: Cell::default(),
            transfers: Transfers::default(),
            unanswered: Cell::new(false),
            recovered: Notify::new(),
        }
    }

    /// The newest era that this host knows; 0 if the service does not tell its eras.
    pub fn era(&self) -> Era {
        self.era.get().map_or(Era(0), |(era, _)| era)
    }

    /// The newest era that this host knows; `None` if the service does not tell its eras.
    pub fn told_era(&self) -> Option<Era> {
        self.era.get().map(|(era, _)| era)
    }

    /// When the newest era was noticed; `None` if the service does not tell its eras.
    pub fn era_noticed_at(&self) -> Option<Time> {
        self.era.get().map(|(_, noticed_at)| noticed_at)
    }

    /// Number of times that the service was found to have come back from an older copy.
    pub const fn rises(&self) -> u32 {
        self.rises.get()
    }

    /// The era before the last rise.
    pub const fn former_era(&self) -> Era {
        self.former_era.get()
    }

    /// Takes over an era that this host or another one has seen. Returns false if it is older
    /// than the newest one.
    pub fn follow_era(&self, era: Era) -> bool {
        let known = self.era.get();
        if known.is_some_and(|(known, _)| known > era) {
            return false;
        }
        if known.is_none_or(|(known, _)| known < era) {
            self.era.set(Some((era, self.clock.now())));
            if self.last_answer.get().is_some() {
                self.rises.set(self.rises.get() + 1);
                self.former_era
                    .set(known.map_or(Era(0), |(known, _)| known));
                self.era_changed.notify_waiters();
            }
        }
        true
    }

    /// Era and revision of this host's newest write.
    pub const fn last_write(&self) -> (Option<Era>, Revision) {
        self.last_write.get()
    }

    /// The era that the last usable answer to a watch or a listing named; `None` if it named none.
    pub const fn read_era(&self) -> Option<Era> {
        self.read_era.get()
    }

    /// Time since the service's last usable answer; `None` if there was none.
    pub fn time_since_answer(&self) -> Option<Duration> {
        self.last_answer
            .get()
            .map(|last_answer| last_answer.elapsed())
    }

    /// Makes a call. A watch gets its own wait in addition to [`CALL_TIMEOUT`]. A usable answer
    /// belongs to the era that [`Store::era`] names when this returns.
    ///
    /// # Errors
    ///
    /// Why there is no usable answer, and whether the operation may have taken effect.
    pub async fn call(&self, op: &kv::Op) -> kv::Outcome {
        self.call_within(op, CALL_TIMEOUT).await
    }

    /// As [`Store::call`], with another wait for the beginning of the answer than [`CALL_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// As those of [`Store::call`].
    pub async fn call_within(&self, op: &kv::Op, patience: Duration) -> kv::Outcome {
        let rises = self.rises.get();
        let wait = match op {
            kv::Op::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let is_short = kind(op) == Kind::Store;
        let round_trip = is_short.then(|| RoundTrip::begin(self));
        let answer = self.exchange(op, patience + wait).await;
        if let Some(round_trip) = round_trip {
            round_trip.end(answer.is_ok());
        }
        let outcome = match answer {
            Ok(answer) => self.read(op, &answer, rises),
            Err(Fault::NotSent) => Err(kv::Fault::NotApplied),
            // The changes since the position are more than one answer may hold.
            Err(Fault::Excessive) if matches!(op, kv::Op::Watch { .. }) => {
                Err(kv::Fault::HistoryGone)
            }
            Err(Fault::Broken | Fault::Silent | Fault::Excessive) => Err(kv::Fault::Unknown),
        };
        if outcome.is_ok() {
            self.last_answer.set(Some(Instant::now()));
        }
        if !continues(op) {
            let was_unanswered = self.unanswered.replace(outcome.is_err());
            if was_unanswered && outcome.is_ok() {
                self.recovered.notify_waiters();
            }
        }
        self.metrics.record_store_call(op.label(), outcome.is_ok());
        outcome
    }

    /// Makes a call, and reads its answer as long as it arrives.
    async fn exchange(&self, op: &kv::Op, patience: Duration) -> Result<Response<Bytes>, Fault> {
        let begun = Instant::now();
        let request = self.dialect.store_call(op);
        let head = async {
            let mut connection = self.client.connect(self.remote.clone(), false).await?;
            connection.count_in(self.metrics.traffic.of(kind(op)));
            let (head, body) = connection.ask(request).await?;
            Ok((connection, head, body))
        };
        let head = lateness::timeout(patience, head).await;
        let (mut connection, head, body) = head.unwrap_or(Err(Fault::Silent))?;
        let head_at = Instant::now();
        let body = connection.read_body_while_it_arrives(
            body,
            bounds::MAX_STORE_ANSWER_BYTES,
            CALL_TIMEOUT,
        );
        let body = lateness::timeout(TRANSFER_TIMEOUT, body);
        let body = if reads_all(op) {
            self.transfers.follow(body).await
        } else {
            body.await
        };
        let body = body.unwrap_or(Err(Fault::Silent))?;
        let is_watch = matches!(op, kv::Op::Watch { .. });
        let (head_time, body_time) = (head_at - begun, head_at.elapsed());
        transfer::log_slow(op.label(), is_watch, head_time, body_time, body.len());
        Ok(connection.end(head, body))
    }

    /// Parses an answer to a call that was made after the era had risen `rises` times.
    fn read(&self, op: &kv::Op, answer: &Response<Bytes>, rises: u32) -> kv::Outcome {
        let era = self.dialect.store_era(answer);
        if era.is_some_and(|era| !self.follow_era(era)) {
            // What the call did may be gone.
            return Err(kv::Fault::Unknown);
        }
        if continues(op) && self.rises.get() != rises {
            // The position belongs to an earlier era.
            return Err(kv::Fault::HistoryGone);
        }
        let reply = self.dialect.store_answer(op, answer)?;
        if continues(op) {
            self.read_era.set(era);
        }
        if let Reply::Written(revision) = reply {
            self.last_write
                .set(self.last_write.get().max((era, revision)));
        }
        Ok(reply)
    }
}

/// What the bytes of a call are for.
const fn kind(op: &kv::Op) -> Kind {
    match op {
        kv::Op::List { .. } => Kind::List,
        kv::Op::Watch { .. } => Kind::Watch,
        _ => Kind::Store,
    }
}

/// Whether a call reads whatever changes, so that a change may wait behind others in its answer. Beside the
/// further pages of a listing, changes are followed.
fn reads_all(op: &kv::Op) -> bool {
    match op {
        kv::Op::List { prefix, after, .. } => prefix.is_empty() && after.is_none(),
        kv::Op::Watch { prefix, .. } => prefix.is_empty(),
        _ => false,
    }
}

/// A short call whose time tells how long bytes wait for the host's link. Dropped before its end, it tells
/// nothing.
struct RoundTrip<'a, D> {
    store: &'a Store<D>,
    begun: Time,
    is_answered: bool,
}

impl<'a, D> RoundTrip<'a, D> {
    fn begin(store: &'a Store<D>) -> Self {
        let begun = store.clock.now();
        store.uplink.borrow_mut().begin_round_trip(begun);
        Self {
            store,
            begun,
            is_answered: false,
        }
    }

    fn end(mut self, is_answered: bool) {
        self.is_answered = is_answered;
    }
}

impl<D> Drop for RoundTrip<'_, D> {
    fn drop(&mut self) {
        let now = self.store.clock.now();
        let mut uplink = self.store.uplink.borrow_mut();
        uplink.end_round_trip(now, self.begun, self.is_answered);
    }
}

/// Whether an operation goes on from a position that an earlier one told.
const fn continues(op: &kv::Op) -> bool {
    matches!(op, kv::Op::Watch { .. } | kv::Op::List { .. })
}
