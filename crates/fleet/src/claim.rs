//! The claim to give orders, held through a leased key of the key-value service.

use mulberryrack_core::{Time, kv::Revision};
use std::time::Duration;

/// Added to the time that two holders must be apart: for orders that are still on their
/// way, and for a holder that goes on through an outage until it hears of its end.
const APART_MARGIN: Duration = Duration::from_millis(800);
/// Time for which the word of all other hosts holds that none reaches the key-value
/// service; with [`LEASE_MARGIN`] below [`APART_MARGIN`].
const VOUCHED: Duration = Duration::from_millis(700);
/// Kept back from the lease's time, for the way of an order to its engine.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// How a host stands to the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// Another host holds it, or nobody does.
    None,
    /// This host holds it; it may not give orders before the time.
    Waits(Time),
    /// This host may give orders.
    Holds,
}

/// The claim as one host knows it.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Longest time for which a renewal holds, counted from when it was sent.
    ttl: Duration,
    /// Time that orders of two holders must be apart.
    apart: Duration,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    revision: Revision,
    /// When the last renewal that was acknowledged was sent.
    renewed: Time,
    /// When the wait for the holder before is over.
    orders_from: Time,
    /// When the other hosts were asked last that all have vouched.
    vouched: Option<Time>,
}

impl Claim {
    /// A claim that this host does not hold.
    #[must_use]
    pub const fn new(ttl: Duration, apart: Duration) -> Self {
        Self {
            ttl,
            apart,
            held: None,
        }
    }

    /// The claim was written at `revision`; the call was sent at `sent` and answered at
    /// `now`.
    pub fn gained(&mut self, sent: Time, now: Time, revision: Revision) {
        self.held = Some(Held {
            revision,
            renewed: sent,
            orders_from: now + self.apart + APART_MARGIN,
            vouched: None,
        });
    }

    /// A renewal that was sent at `sent` was acknowledged.
    pub fn renewed(&mut self, sent: Time) {
        if let Some(held) = &mut self.held {
            held.renewed = held.renewed.max(sent);
        }
    }

    /// When the lease under the claim may lapse; `None` without a claim.
    #[must_use]
    pub fn lapses(&self) -> Option<Time> {
        self.held.map(|held| held.renewed + self.ttl)
    }

    /// All other hosts, asked at `asked`, have not reached the key-value service since the
    /// lease may have lapsed: nobody else can have gained the claim.
    pub fn vouched(&mut self, asked: Time) {
        if let Some(held) = &mut self.held {
            held.vouched = Some(asked);
        }
    }

    /// The claim is another host's, or nobody's.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Whether orders may be given at `now`.
    #[must_use]
    pub fn stand(&self, now: Time) -> Stand {
        let Some(held) = self.held else {
            return Stand::None;
        };
        let leased = now + LEASE_MARGIN < held.renewed + self.ttl;
        let vouched = held
            .vouched
            .is_some_and(|asked| now + LEASE_MARGIN < asked + VOUCHED);
        if !leased && !vouched {
            return Stand::None;
        }
        if now < held.orders_from {
            return Stand::Waits(held.orders_from);
        }
        Stand::Holds
    }

    /// Number that rises with each holder.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.held.map(|held| held.revision.0)
    }
}
