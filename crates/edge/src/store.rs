//! Calls to the key-value service.

use crate::{
    client::{Client, Fault, Peer},
    metrics::Metrics,
};
use mulberryrack_core::kv;
use mulberryrack_site::Dialect;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Time for an answer; a store in order answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The key-value service.
pub struct Store<D> {
    dialect: Rc<D>,
    client: Rc<Client>,
    peer: Peer,
    metrics: Rc<Metrics>,
    /// When the service answered last.
    answered: Cell<Option<Instant>>,
}

impl<D: Dialect> Store<D> {
    /// The service at an address.
    pub fn new(dialect: Rc<D>, address: SocketAddr, metrics: Rc<Metrics>) -> Self {
        Self {
            dialect,
            client: Rc::new(Client::default()),
            peer: Peer {
                address,
                name: "".into(),
            },
            metrics,
            answered: Cell::new(None),
        }
    }

    /// Time since the service answered last; `None` if it never has.
    pub fn unreached(&self) -> Option<Duration> {
        self.answered.get().map(|answered| answered.elapsed())
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Why there is no answer, and whether it may have taken effect.
    pub async fn call(&self, op: &kv::Op) -> kv::Outcome {
        let wait = match op {
            kv::Op::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let request = self.dialect.store_call(op);
        let answer = self
            .client
            .call(self.peer.clone(), request, CALL_TIMEOUT + wait)
            .await;
        let outcome = match answer {
            Ok(answer) => self.dialect.store_answer(op, &answer),
            Err(Fault::NotSent) => Err(kv::Fault::NotApplied),
            Err(Fault::Broken | Fault::Silent) => Err(kv::Fault::Unknown),
        };
        if outcome.is_ok() {
            self.answered.set(Some(Instant::now()));
        }
        self.metrics.store_call(op.label(), outcome.is_ok());
        outcome
    }
}
