//! The claim to give orders, which one host at a time holds: a key in the key-value service
//! under a lease of the holder.

use crate::succession::Earlier;
use mulberryrack_core::{
    Time,
    kv::{Era, Revision},
};
use std::time::Duration;

/// Added to the handover delay. The margin covers orders that are still on their way, and a
/// previous holder that stays active in an outage of the key-value service until it learns
/// that the outage is over.
const HANDOVER_MARGIN: Duration = Duration::from_millis(800);
/// Period for which the claim is extended when no voter has reached the key-value service
/// either, counted from the time at which the hosts were asked. Shorter than
/// [`HANDOVER_MARGIN`]; the last order is sent [`LEASE_MARGIN`] before the period ends.
const PEER_EXTENSION_PERIOD: Duration = Duration::from_millis(700);
/// The last order is sent this long before the lease or its extension ends, so that the order
/// arrives before the end.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Longest time past its lease for which a claim is extended. A new holder that cannot learn
/// whether the previous one still extends its claim waits for as long.
pub const MAX_EXTENSION: Duration = Duration::from_secs(6);

/// Longest time from the notice that the key-value service came back from an older copy until
/// the claim is written again, for the holder to go on without a wait. No other host that
/// gained the claim meanwhile has given orders by then.
const CARRY_OVER_PERIOD: Duration = Duration::from_millis(1_500);
/// Bits of a fencing token for the revision.
const REVISION_BITS: u32 = 40;

/// Time for which a host leaves a free claim to larger ones.
const PRECEDENCE_PERIOD: Duration = Duration::from_secs(1);
/// Size of a host, as a multiple of another's, from which on it comes before the other.
const LARGER_FACTOR: u32 = 2;

/// Time for which a host leaves a free claim to larger ones: giving orders takes more of the
/// processor than serving callers, and a host that is late with one is late with both. Sizes are in
/// any unit.
#[must_use]
pub fn precedence_delay(own_size: u32, mut sizes: impl Iterator<Item = u32>) -> Duration {
    if sizes.any(|size| size >= own_size.saturating_mul(LARGER_FACTOR)) {
        PRECEDENCE_PERIOD
    } else {
        Duration::ZERO
    }
}

/// Position of a claim among all claims. Revisions are given out again when the key-value
/// service comes back from an older copy, eras are not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fence {
    /// Era of the key-value service in which the claim was written.
    pub era: Era,
    /// Revision of the claim's key.
    pub revision: Revision,
}

impl Fence {
    /// The fencing token of orders under the claim. `first_era` is the era in which the
    /// deployment began; in it, the token is the revision.
    #[must_use]
    pub const fn token(self, first_era: Era) -> u64 {
        let eras = self.era.0.saturating_sub(first_era.0);
        (eras << REVISION_BITS) + self.revision.0
    }

    /// Whether another host knows of nothing newer than this claim.
    #[must_use]
    pub fn is_newest_to(self, peer: PeerView) -> bool {
        match peer.eras {
            Some(eras) => {
                let newest = Self {
                    era: eras.of_claim,
                    revision: peer.newest,
                };
                eras.known <= self.era && newest <= self
            }
            None => peer.newest <= self.revision,
        }
    }
}

/// The write by which a holder carries its claim over into a new era.
#[derive(Clone, Copy, Debug)]
pub struct Rewrite {
    /// When the holder noticed the era.
    pub era_noticed_at: Time,
    /// When the call was sent.
    pub sent_at: Time,
    /// When the call was answered.
    pub answered_at: Time,
    /// The claim as it was written.
    pub fence: Fence,
}

/// What another host has seen of claims and eras.
#[derive(Clone, Copy, Debug)]
pub struct PeerView {
    /// Revision of the newest claim.
    pub newest: Revision,
    /// `None` from a host of a version that knows no eras.
    pub eras: Option<PeerEras>,
}

/// The eras that another host knows.
#[derive(Clone, Copy, Debug)]
pub struct PeerEras {
    /// Era of the newest claim.
    pub of_claim: Era,
    /// The newest era.
    pub known: Era,
}

/// Whether this host may give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Another host holds the claim or nobody does, or the lease of this host may have
    /// ended.
    NotHeld,
    /// This host holds the claim. It may not give orders before this time, nor before the
    /// record of the claim is written.
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
    fence: Fence,
    /// Time at which the last acknowledged renewal, or else the write that gained the claim,
    /// was sent.
    renewed_at: Time,
    /// Time from which this host may give orders if the previous holder does not extend its
    /// claim.
    earliest_from: Time,
    /// Time from which this host may give orders, as far as it knows the previous holder. Never
    /// before `earliest_from`.
    orders_from: Time,
    /// Time by which the longest extension of a claim of an earlier era has ended.
    earlier_eras_until: Time,
    /// Whether the record of the claim is written. No orders are given before.
    recorded: bool,
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

    /// Records that this host's claim was written; the call was sent at `sent_at` and answered
    /// at `now`. `era_noticed_at` is when this host noticed the era of the claim; `None` if it
    /// is the first one of the deployment.
    pub fn gained(&mut self, sent_at: Time, now: Time, fence: Fence, era_noticed_at: Option<Time>) {
        // A holder from before the era may not have noticed it until its lease ends.
        let is_new_era = era_noticed_at.is_some_and(|noticed| now.since(noticed) < self.ttl);
        let lease_wait = if is_new_era { self.ttl } else { Duration::ZERO };
        let earliest_from = now + self.handover_wait() + lease_wait;
        self.held = Some(HeldClaim {
            fence,
            renewed_at: sent_at,
            earliest_from,
            orders_from: earliest_from + MAX_EXTENSION,
            earlier_eras_until: era_noticed_at.unwrap_or(now) + self.ttl + MAX_EXTENSION,
            recorded: false,
            extension_asked_at: None,
        });
    }

    fn handover_wait(&self) -> Duration {
        self.handover_delay + HANDOVER_MARGIN
    }

    /// Records that the record of the claim is written, without which no orders are given.
    pub fn recorded(&mut self) {
        if let Some(held) = &mut self.held {
            held.recorded = true;
        }
    }

    /// Shortens the wait for the previous holders by what this host knows of them at `now`.
    pub fn bound_wait(&mut self, now: Time, earlier: Earlier) {
        let wait = self.handover_wait();
        let Some(held) = &mut self.held else {
            return;
        };
        let ended_by = match earlier {
            Earlier::Unknown => return,
            Earlier::Era => now.max(held.earlier_eras_until),
            Earlier::Ended => now,
        };
        let orders_from = held.earliest_from.max(ended_by + wait);
        held.orders_from = held.orders_from.min(orders_from);
    }

    /// Whether this host held the claim of an earlier era when it noticed the present one, so
    /// that no other host can have given orders since.
    #[must_use]
    pub fn can_carry_over(&self, now: Time, noticed_at: Time, era: Era) -> bool {
        let held = self.held.filter(|held| held.fence.era < era);
        let was_held = held.is_some_and(|held| held.is_in_force(noticed_at, self.ttl));
        was_held && now.since(noticed_at) <= CARRY_OVER_PERIOD
    }

    /// Records that the claim, which this host held in an earlier era, was written again. The
    /// host then gives orders as before. Returns false if that took too long; the claim is then
    /// gained anew.
    pub fn carry_over(&mut self, rewrite: Rewrite) -> bool {
        let Rewrite {
            era_noticed_at,
            sent_at,
            answered_at,
            fence,
        } = rewrite;
        if !self.can_carry_over(answered_at, era_noticed_at, fence.era) {
            return false;
        }
        self.held = self.held.map(|held| HeldClaim {
            fence,
            renewed_at: sent_at,
            extension_asked_at: None,
            ..held
        });
        true
    }

    /// Records that a renewal sent at `sent_at` was acknowledged in an era. A lease of the same
    /// number in another era says nothing about the claim.
    pub fn renewed(&mut self, sent_at: Time, era: Era) {
        if let Some(held) = &mut self.held
            && held.fence.era == era
        {
            held.renewed_at = held.renewed_at.max(sent_at);
        }
    }

    /// Time at which the lease of the claim may end; `None` if this host does not hold the
    /// claim.
    #[must_use]
    pub fn lease_deadline(&self) -> Option<Time> {
        self.held.map(|held| held.renewed_at + self.ttl)
    }

    /// Records that all voters, asked at `asked_at`, extend the claim: none of them has reached
    /// the key-value service since the lease may have ended or knows of a newer claim. The claim
    /// is extended by [`MAX_EXTENSION`] at most.
    pub fn extended_by_peers(&mut self, asked_at: Time) {
        if let Some(held) = &mut self.held {
            held.extension_asked_at = Some(asked_at);
        }
    }

    /// Records that another host holds the claim, or nobody does.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Gives the claim up if `newest` is a newer one of another host. Returns whether it was.
    pub fn supersede(&mut self, newest: Fence) -> bool {
        let is_superseded = self.held.is_some_and(|held| held.fence < newest);
        if is_superseded {
            self.held = None;
        }
        is_superseded
    }

    /// Whether this host may give orders at `now`, in the newest era that it knows.
    #[must_use]
    pub fn state(&self, now: Time, era: Era) -> ClaimState {
        let held = self.held.filter(|held| held.fence.era == era);
        let Some(held) = held.filter(|held| held.is_in_force(now, self.ttl)) else {
            return ClaimState::NotHeld;
        };
        if now < held.orders_from || !held.recorded {
            return ClaimState::Waiting(held.orders_from);
        }
        ClaimState::Active
    }

    /// The claim that this host holds, of the newest era or an earlier one.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        self.held.map(|held| held.fence)
    }
}

impl HeldClaim {
    /// Whether the lease or its extension lasts long enough for an order sent at `now`.
    fn is_in_force(&self, now: Time, ttl: Duration) -> bool {
        let leased = now + LEASE_MARGIN < self.renewed_at + ttl;
        let longest = self.renewed_at + ttl + MAX_EXTENSION;
        let extended = self.extension_asked_at.is_some_and(|asked_at| {
            now + LEASE_MARGIN < longest.min(asked_at + PEER_EXTENSION_PERIOD)
        });
        leased || extended
    }
}
