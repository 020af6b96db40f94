//! One entry host in a replay: ours, or the naive one.

use crate::naive;
use mulberryrack_core::Time;
use mulberryrack_host::{Effect, Event, Host};

/// A host's decisions.
#[derive(Debug)]
pub enum Node {
    /// The product.
    Ours(Box<Host>),
    /// The baseline.
    Naive(Box<naive::Host>),
}

impl Node {
    /// Takes an event and returns the effects to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match self {
            Self::Ours(host) => host.handle(now, event),
            Self::Naive(host) => host.handle(now, event),
        }
    }

    /// When it wants to be woken.
    pub fn next_wake(&mut self) -> Option<Time> {
        match self {
            Self::Ours(host) => host.next_wake(),
            Self::Naive(host) => host.next_wake(),
        }
    }
}
