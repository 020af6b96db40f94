//! A running host of a replay: Mulberryrack's host or the baseline's.

use crate::naive;
use mulberryrack_core::Time;
use mulberryrack_host::{Effect, Event, Host};

/// The decision code of a running host.
#[derive(Debug)]
pub enum Node {
    /// Mulberryrack's host, as the daemon runs it.
    Mulberryrack(Box<Host>),
    /// The baseline's host.
    Naive(Box<naive::Host>),
}

impl Node {
    /// Processes an event and returns the effects that the replay has to apply.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match self {
            Self::Mulberryrack(host) => host.handle(now, event),
            Self::Naive(host) => host.handle(now, event),
        }
    }

    /// Next time, by the host's own clock, at which the host wants to be woken.
    pub fn next_wake(&mut self) -> Option<Time> {
        match self {
            Self::Mulberryrack(host) => host.next_wake(),
            Self::Naive(host) => host.next_wake(),
        }
    }
}
