//! When a request was there to be read: earlier than it is read, if the host's thread was late. And for how long
//! it, and its answer, wait for the host's link.

use crate::shared::Shared;
use mulberryrack_core::Time;
use std::{cell::Cell, time::Duration};

/// When the head of a request was read.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub read_at: Time,
    /// Longest time for which the request may have waited before.
    pub late: Duration,
    /// How much longer than usual the request and its answer take together on their ways.
    pub link_delay: Duration,
}

impl Arrival {
    /// The arrival of a request whose head is read now.
    pub fn now<D>(shared: &Shared<D>, opening: &Opening) -> Self {
        let read_at = shared.clock.now();
        let late = if opening.is_first_turn.get() {
            read_at.since(opening.opened_at)
        } else {
            shared.lateness.current()
        };
        let link_delay = shared.store.uplink.borrow().delay(read_at);
        Self {
            read_at,
            late,
            link_delay,
        }
    }
}

/// The beginning of a connection. A first request that is there in the first turn of its task may
/// have waited since the connection was opened.
#[derive(Debug)]
pub struct Opening {
    /// Earliest time at which the connection may have been opened.
    opened_at: Time,
    is_first_turn: Cell<bool>,
}

impl Opening {
    /// The beginning of a connection that was accepted now.
    pub fn accepted<D>(shared: &Shared<D>) -> Self {
        let accepted_at = shared.clock.now();
        Self {
            opened_at: accepted_at.saturating_sub(shared.lateness.current()),
            is_first_turn: Cell::new(true),
        }
    }

    /// Ends the first turn of the connection's task.
    pub fn end_first_turn(&self) {
        self.is_first_turn.set(false);
    }
}
