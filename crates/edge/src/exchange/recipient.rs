//! The caller of a request, to whom its answer goes part by part.

use super::{Exchange, Part};
use crate::holdings::{self, AnswerHold, Seat};
use mulberryrack_site::Dialect;
use std::rc::{Rc, Weak};
use tokio::sync::mpsc;

/// Takes the parts of an answer.
pub struct Recipient {
    parts: mpsc::Sender<Part>,
    /// The connection, if it has an account and is open.
    seat: Weak<Seat>,
    is_accounted: bool,
}

impl Recipient {
    /// The caller on a connection, which may have an account.
    pub fn new(parts: mpsc::Sender<Part>, seat: Option<&Rc<Seat>>) -> Self {
        Self {
            parts,
            seat: seat.map(Rc::downgrade).unwrap_or_default(),
            is_accounted: seat.is_some(),
        }
    }

    /// Whether the connection has an account.
    pub(super) const fn is_accounted(&self) -> bool {
        self.is_accounted
    }

    /// Returns once the caller has gone away.
    pub(super) async fn closed(&self) {
        self.parts.closed().await;
    }

    /// A hold for what is read of an upstream for this caller.
    pub(super) fn hold(&self) -> AnswerHold {
        AnswerHold::new(self.seat.clone())
    }

    /// Waits until further `bytes` of a stream may be read for this caller.
    pub(super) async fn stream_room(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        holdings::wait_for_stream_room(&self.seat, bytes).await;
    }
}

impl<D: Dialect> Exchange<D> {
    /// Sends a part to the caller. An error is ignored: the next step notices that the caller
    /// has gone away.
    pub(super) async fn send_part(&self, mut part: Part) {
        match &mut part {
            Part::Whole(answer) => answer.body_mut().set_sent(),
            Part::Data(bytes) => bytes.set_sent(),
            Part::Head(_) | Part::End => {}
        }
        drop(self.caller.parts.send(part).await);
    }
}
