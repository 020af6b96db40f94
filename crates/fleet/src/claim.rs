//! The claim to give orders, which one host at a time holds: a key in the key-value service
//! under a lease of the holder.

use mulberryrack_core::{Time, kv::Revision};
use std::time::Duration;

/// Added to the handover delay. The margin covers orders that are still on their way, and a
/// previous holder that stays active in an outage of the key-value service until it learns
/// that the outage is over.
const HANDOVER_MARGIN: Duration = Duration::from_millis(800);
/// Period for which the claim is extended when no other host reaches the key-value service
/// either, counted from the time at which the hosts were asked. Shorter than
/// [`HANDOVER_MARGIN`]; the last order is sent [`LEASE_MARGIN`] before the period ends.
const PEER_EXTENSION_PERIOD: Duration = Duration::from_millis(700);
/// The last order is sent this long before the lease or its extension ends, so that the order
/// arrives before the end.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Whether this host may give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Another host holds the claim or nobody does, or the lease of this host may have
    /// ended.
    NotHeld,
    /// This host holds the claim. It may not give orders before this time.
    Waiting(Time),
    /// This host may give orders.
    Active,
}

/// What one host knows about the claim.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Time to live of the lease. Counted from the time at which a renewal is sent, so that the
    /// lease ends at this host before it ends at the key-value service.
    ttl: Duration,
    /// Time that must pass between orders of two holders.
    handover_delay: Duration,
    held: Option<HeldClaim>,
}

#[derive(Clone, Copy, Debug)]
struct HeldClaim {
    revision: Revision,
    /// Time at which the last acknowledged renewal, or else the write that gained the claim,
    /// was sent.
    renewed_at: Time,
    /// Time from which this host may give orders, after the wait for the previous holder.
    orders_from: Time,
    /// Time at which the other hosts were last asked and all of them extended the claim.
    extension_asked_at: Option<Time>,
}

impl Claim {
    /// Creates a claim that this host does not hold.
    #[must_use]
    pub const fn new(ttl: Duration, handover_delay: Duration) -> Self {
        Self {
            ttl,
            handover_delay,
            held: None,
        }
    }

    /// Records that this host's claim was written at `revision`; the call was sent at
    /// `sent_at` and answered at `now`.
    pub fn gained(&mut self, sent_at: Time, now: Time, revision: Revision) {
        self.held = Some(HeldClaim {
            revision,
            renewed_at: sent_at,
            orders_from: now + self.handover_delay + HANDOVER_MARGIN,
            extension_asked_at: None,
        });
    }

    /// Records that a renewal sent at `sent_at` was acknowledged.
    pub fn renewed(&mut self, sent_at: Time) {
        if let Some(held) = &mut self.held {
            held.renewed_at = held.renewed_at.max(sent_at);
        }
    }

    /// Time at which the lease of the claim may end; `None` if this host does not hold the
    /// claim.
    #[must_use]
    pub fn lease_deadline(&self) -> Option<Time> {
        self.held.map(|held| held.renewed_at + self.ttl)
    }

    /// Records that the other hosts, asked at `asked_at`, extend the claim: none of them has
    /// reached the key-value service since the lease may have ended, so no other host can
    /// hold the claim.
    pub fn extended_by_peers(&mut self, asked_at: Time) {
        if let Some(held) = &mut self.held {
            held.extension_asked_at = Some(asked_at);
        }
    }

    /// Records that another host holds the claim, or nobody does.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Whether this host may give orders at `now`.
    #[must_use]
    pub fn state(&self, now: Time) -> ClaimState {
        let Some(held) = self.held else {
            return ClaimState::NotHeld;
        };
        let leased = now + LEASE_MARGIN < held.renewed_at + self.ttl;
        let extended = held
            .extension_asked_at
            .is_some_and(|asked_at| now + LEASE_MARGIN < asked_at + PEER_EXTENSION_PERIOD);
        if !leased && !extended {
            return ClaimState::NotHeld;
        }
        if now < held.orders_from {
            return ClaimState::Waiting(held.orders_from);
        }
        ClaimState::Active
    }

    /// Fencing token of this host's orders, which increases each time that the claim is gained;
    /// `None` if this host does not hold the claim.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.held.map(|held| held.revision.0)
    }
}
