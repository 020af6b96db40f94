//! Calls to the key-value service.

use crate::{
    client::{Client, Fault, Remote},
    metrics::Metrics,
};
use mulberryrack_core::kv;
use mulberryrack_site::Dialect;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Longest wait for an answer. A healthy key-value service answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The client of the key-value service.
pub struct Store<D> {
    dialect: Rc<D>,
    client: Rc<Client>,
    remote: Remote,
    metrics: Rc<Metrics>,
    /// Time of the service's last usable answer; `None` if there was none.
    last_answer: Cell<Option<Instant>>,
}

impl<D: Dialect> Store<D> {
    /// Creates a client for the service at an address.
    pub fn new(dialect: Rc<D>, address: SocketAddr, metrics: Rc<Metrics>) -> Self {
        Self {
            dialect,
            client: Rc::new(Client::default()),
            remote: Remote {
                address,
                name: "".into(),
            },
            metrics,
            last_answer: Cell::new(None),
        }
    }

    /// Time since the service's last usable answer; `None` if there was none.
    pub fn time_since_answer(&self) -> Option<Duration> {
        self.last_answer
            .get()
            .map(|last_answer| last_answer.elapsed())
    }

    /// Makes a call. A watch gets its own wait in addition to [`CALL_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Why there is no usable answer, and whether the operation may have taken effect.
    pub async fn call(&self, op: &kv::Op) -> kv::Outcome {
        let wait = match op {
            kv::Op::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let request = self.dialect.store_call(op);
        let answer = self
            .client
            .call(self.remote.clone(), request, CALL_TIMEOUT + wait)
            .await;
        let outcome = match answer {
            Ok(answer) => self.dialect.store_answer(op, &answer),
            Err(Fault::NotSent) => Err(kv::Fault::NotApplied),
            Err(Fault::Broken | Fault::Silent) => Err(kv::Fault::Unknown),
        };
        if outcome.is_ok() {
            self.last_answer.set(Some(Instant::now()));
        }
        self.metrics.record_store_call(op.label(), outcome.is_ok());
        outcome
    }
}
