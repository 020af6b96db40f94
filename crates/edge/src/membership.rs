//! This host's own keys in the key-value service: its registration, and the claim to give
//! orders. Both are written under one lease.

use crate::{
    eras,
    journal::journal,
    peers,
    registration::{CLAIM_KEY, HOST_KEY_PREFIX, Registration},
    shared::{Phase, Shared},
    succession,
};
use bytes::Bytes;
use mulberryrack_core::{
    Time, hash,
    kv::{Fault, Lease, Op, Reply, Revision},
};
use mulberryrack_fleet::{ClaimState, Fence, Rewrite};
use mulberryrack_site::Dialect;
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Time to live of this host's lease. After it, a host that is gone is no longer in the
/// answers to address queries.
pub const LEASE_TTL: Duration = Duration::from_millis(2_400);
/// Interval between two renewals. Two renewals may be lost before the lease ends.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(650);
/// Interval at which the host checks whether the claim is free.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a claim that nobody seems to hold is replaced. Longer than any lease lasts
/// without a renewal.
const ABANDONED_DELAY: Duration = Duration::from_secs(6);
/// Upper bound of the random delay before a free claim is written, so that not all hosts
/// write at the same time.
const MAX_CLAIM_JITTER_MS: u64 = 300;

/// This host's lease and the state of the keys that are written under it.
#[derive(Default)]
struct OwnKeys {
    lease: Option<Lease>,
    /// Revision of the host's registration; `None` until it is written under the lease.
    host_key: Option<Revision>,
    /// Whether the key-value service did not answer the last renewal.
    renewal_unanswered: bool,
    /// Number of times that the era of the service had risen when the keys were written.
    rises: u32,
    /// A claim that nobody seems to hold, and since when.
    unheld: Option<(Fence, Instant)>,
    /// When this host could first have taken the claim that is free now.
    free_since: Option<Instant>,
}

impl OwnKeys {
    /// The claim if nobody seems to have held it for [`ABANDONED_DELAY`]: its host is not
    /// registered, or is this host, which does not hold it. A claim that was written while the
    /// era of the service rose may depend on the lease of another host, and stay for ever.
    fn abandoned_claim<D>(
        &mut self,
        shared: &Shared<D>,
        holder: Option<&(Registration, Fence)>,
    ) -> Option<Fence> {
        let hosts = shared.hosts.borrow();
        let holds_none = shared.claim.borrow().fence().is_none();
        let unheld = holder.filter(|(registration, _)| {
            let is_own = registration.host == shared.settings.host;
            (is_own && holds_none) || !hosts.contains_key(&registration.host)
        });
        let fence = unheld.map(|(_, fence)| *fence);
        if self.unheld.map(|(seen, _)| seen) != fence {
            self.unheld = fence.map(|fence| (fence, Instant::now()));
        }
        let (fence, since) = self.unheld?;
        (since.elapsed() >= ABANDONED_DELAY).then_some(fence)
    }
}

/// Writes this host's keys and renews their lease until the host leaves, then revokes the
/// lease, which removes the keys.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut keys = OwnKeys::default();
    let mut next_renewal = Instant::now();
    while !shared.is_leaving() {
        let phase_changed = shared.phase_changed.notified();
        let era_changed = shared.store.era_changed.notified();
        if keys.rises != shared.store.rises() {
            follow_era(&shared, &mut keys).await;
            next_renewal = Instant::now();
            continue;
        }
        if Instant::now() >= next_renewal {
            renew_or_grant(&shared, &mut keys).await;
            next_renewal = Instant::now() + RENEWAL_INTERVAL;
        } else {
            register_host(&shared, &mut keys).await;
            claim_if_free(&shared, &mut keys).await;
            if !keys.renewal_unanswered && shared.store_reached.get() {
                succession::update_record(&shared).await;
            }
        }
        tokio::select! {
            () = time::sleep_until(next_renewal.min(Instant::now() + CLAIM_CHECK_INTERVAL)) => {}
            () = phase_changed => {}
            () = era_changed => {}
        }
    }
    shared.claim.borrow_mut().lost();
    shared.gate.borrow_mut().set_registered_until(Time::ZERO);
    if let Some(lease) = keys.lease {
        let ended = shared.store.call(&Op::Revoke { lease }).await;
        journal!(info, "lease-ended", lease = lease.0, ok = ended.is_ok());
    }
}

/// Begins anew in a new era of the key-value service. The lease is neither renewed nor revoked,
/// even if the service still knows its number, which may be that of another host by now. A
/// holder of the claim writes that again at once, so that orders go on.
async fn follow_era<D: Dialect>(shared: &Rc<Shared<D>>, keys: &mut OwnKeys) {
    let rises = shared.store.rises();
    *keys = OwnKeys {
        rises,
        ..OwnKeys::default()
    };
    let carried_over = carry_claim_over(shared, keys).await;
    journal!(
        info,
        "era-changed",
        from = shared.store.former_era().0,
        to = shared.store.era().0,
        claim_carried_over = carried_over,
    );
    // If the era has risen again meanwhile, the claim may still be carried over into that.
    if !carried_over && shared.store.rises() == rises {
        shared.claim.borrow_mut().lost();
        time::sleep(eras::spread_delay(shared)).await;
    }
}

/// Writes the claim again that this host held in an earlier era, unless another host holds it.
/// Returns whether the host holds it in the new era.
async fn carry_claim_over<D: Dialect>(shared: &Rc<Shared<D>>, keys: &mut OwnKeys) -> bool {
    let Some(era_noticed_at) = shared.store.era_noticed_at() else {
        return false;
    };
    let era = shared.store.era();
    let can_carry_over = || {
        let claim = shared.claim.borrow();
        claim.can_carry_over(shared.clock.now(), era_noticed_at, era)
    };
    if !can_carry_over() {
        return false;
    }
    grant(shared, keys).await;
    let Some(expect) = revision_to_replace(shared).await else {
        return false;
    };
    if keys.lease.is_none() || !can_carry_over() || eras::ensure_first(shared).await.is_err() {
        return false;
    }
    let sent_at = shared.clock.now();
    let written = write_claim(shared, keys, expect).await;
    let (Some(revision), true) = (written, shared.store.rises() == keys.rises) else {
        return false;
    };
    let fence = Fence { era, revision };
    let carried_over = shared.claim.borrow_mut().carry_over(Rewrite {
        era_noticed_at,
        sent_at,
        answered_at: shared.clock.now(),
        fence,
    });
    if carried_over {
        let revision = fence.revision.0;
        journal!(info, "claim-carried-over", era = era.0, fence = revision);
    } else {
        record_gained(shared, sent_at, fence, None);
    }
    shared.set_holder(Some((shared.registration(), fence)));
    true
}

/// The revision of the claim's key that this host may replace in a new era: that of a claim of
/// its own, or none. `None` if another host holds the claim or the key cannot be read.
async fn revision_to_replace<D: Dialect>(shared: &Shared<D>) -> Option<Option<Revision>> {
    let op = Op::Get {
        key: CLAIM_KEY.into(),
    };
    match shared.store.call(&op).await {
        Ok(Reply::Entry(None)) => Some(None),
        Ok(Reply::Entry(Some(entry))) => {
            let holder: Registration = serde_json::from_slice(&entry.value).ok()?;
            (holder.host == shared.settings.host).then_some(Some(entry.revision))
        }
        _ => None,
    }
}

/// Writes the claim if its key has the expected revision. Returns the new revision.
async fn write_claim<D: Dialect>(
    shared: &Shared<D>,
    keys: &OwnKeys,
    expect: Option<Revision>,
) -> Option<Revision> {
    let op = Op::Put {
        key: CLAIM_KEY.into(),
        value: encode(&shared.registration()),
        expect,
        lease: keys.lease,
    };
    match shared.store.call(&op).await {
        Ok(Reply::Written(revision)) => Some(revision),
        Ok(Reply::Conflict(_)) => None,
        other => {
            let outcome = format_args!("{other:?}");
            journal!(warn, "claim-not-written", outcome = outcome);
            None
        }
    }
}

/// Records that this host has gained the claim. `replaced_at` is when it replaced that of a host
/// that may not know of it.
fn record_gained<D: Dialect>(
    shared: &Shared<D>,
    sent_at: Time,
    fence: Fence,
    replaced_at: Option<Time>,
) {
    let now = shared.clock.now();
    let first_era = shared.first_era.get().unwrap_or_default();
    let noticed_at = shared.store.era_noticed_at();
    let noticed_at = noticed_at.filter(|_| fence.era > first_era);
    let mut claim = shared.claim.borrow_mut();
    claim.gained(sent_at, now, fence, replaced_at.or(noticed_at));
    shared.planner.borrow_mut().take_over(now);
    journal!(
        info,
        "claim-gained",
        era = fence.era.0,
        fence = fence.revision.0,
    );
}

/// Renews the lease, or gets a new one if there is none or it has ended.
async fn renew_or_grant<D: Dialect>(shared: &Shared<D>, keys: &mut OwnKeys) {
    let sent_at = shared.clock.now();
    let Some(lease) = keys.lease else {
        grant(shared, keys).await;
        return;
    };
    let Renewal {
        reached,
        in_known_era,
        result,
    } = renew(shared, keys, lease).await;
    keys.renewal_unanswered = !reached;
    if reached && result == Ok(true) && shared.store.rises() == keys.rises {
        // What another host has renewed says nothing of the changes that this one has missed.
        let until = sent_at + LEASE_TTL;
        shared.gate.borrow_mut().set_registered_until(until);
    }
    match result {
        // The answer is about a lease of an earlier era.
        _ if shared.store.rises() != keys.rises => {}
        Ok(true) if in_known_era => {
            let era = shared.store.era();
            shared.claim.borrow_mut().renewed(sent_at, era);
        }
        // The registration lasts, but the lease of this number may not be that of the claim.
        Ok(true) => {}
        Ok(false) => {
            journal!(warn, "lease-lost", lease = lease.0);
            shared.claim.borrow_mut().lost();
            shared.gate.borrow_mut().set_registered_until(Time::ZERO);
            *keys = OwnKeys {
                rises: keys.rises,
                ..OwnKeys::default()
            };
            grant(shared, keys).await;
        }
        Err(fault) => {
            let fault = format_args!("{fault:?}");
            journal!(warn, "lease-not-renewed", lease = lease.0, fault = fault);
        }
    }
}

/// The result of a renewal of the lease.
struct Renewal {
    /// Whether the service answered this host.
    reached: bool,
    /// Whether the answer is known to be of the era that this host knows.
    in_known_era: bool,
    /// Whether the lease is in force.
    result: Result<bool, Fault>,
}

/// Renews the lease, with the help of another host if the key-value service does not answer
/// this one.
async fn renew<D: Dialect>(shared: &Shared<D>, keys: &OwnKeys, lease: Lease) -> Renewal {
    let op = Op::Renew { lease };
    let own = shared.store.call(&op);
    let (own, by_peer) = if keys.renewal_unanswered {
        tokio::join!(own, peers::renew_lease(shared, lease))
    } else {
        let own = own.await;
        let by_peer = match own {
            Ok(_) => None,
            Err(_) => peers::renew_lease(shared, lease).await,
        };
        (own, by_peer)
    };
    match (own, by_peer) {
        (Ok(reply), _) => Renewal {
            reached: true,
            in_known_era: true,
            result: Ok(reply == Reply::Renewed(true)),
        },
        (Err(_), Some(renewal)) => {
            journal!(
                info,
                "lease-renewed-by-peer",
                lease = lease.0,
                in_force = renewal.in_force
            );
            Renewal {
                reached: false,
                in_known_era: renewal.in_known_era || shared.store.era_noticed_at().is_none(),
                result: Ok(renewal.in_force),
            }
        }
        (Err(fault), None) => Renewal {
            reached: false,
            in_known_era: true,
            result: Err(fault),
        },
    }
}

async fn grant<D: Dialect>(shared: &Shared<D>, keys: &mut OwnKeys) {
    let ttl = LEASE_TTL.max(shared.settings.min_lease_ttl);
    match shared.store.call(&Op::Grant { ttl }).await {
        Ok(Reply::Granted(lease)) => keys.lease = Some(lease),
        other => journal!(
            warn,
            "lease-not-granted",
            outcome = format_args!("{other:?}")
        ),
    }
}

fn encode(registration: &Registration) -> Bytes {
    serde_json::to_vec(registration)
        .expect("a seat is plain data")
        .into()
}

/// Writes the host's registration once the host serves and has a lease.
async fn register_host<D: Dialect>(shared: &Shared<D>, keys: &mut OwnKeys) {
    let (Some(lease), None) = (keys.lease, keys.host_key) else {
        return;
    };
    if shared.phase.get() != Phase::Serving {
        return;
    }
    let key: Arc<str> = format!("{HOST_KEY_PREFIX}{}", shared.settings.host).into();
    let mut expect = None;
    // A registration of this host's previous incarnation may still exist: the second try
    // overwrites it.
    for _ in 0..2 {
        let op = Op::Put {
            key: key.clone(),
            value: encode(&shared.registration()),
            expect,
            lease: Some(lease),
        };
        match shared.store.call(&op).await {
            Ok(Reply::Written(revision)) => {
                keys.host_key = Some(revision);
                journal!(info, "host-listed", revision = revision.0);
                return;
            }
            Ok(Reply::Conflict(found)) => expect = found.map(|entry| entry.revision),
            other => {
                journal!(warn, "host-not-listed", outcome = format_args!("{other:?}"));
                return;
            }
        }
    }
}

/// Takes the claim if nobody holds it, or nobody has for long, and this host is registered;
/// gives it up if a newer claim exists.
async fn claim_if_free<D: Dialect>(shared: &Shared<D>, keys: &mut OwnKeys) {
    let holder = shared.holder.borrow().clone();
    let now = shared.clock.now();
    if let Some((_, newest)) = &holder {
        let own = shared.claim.borrow().fence();
        // Without a fence, this host holds no claim, and a claim in its name is of its
        // previous incarnation, which ends with the lease of that incarnation.
        if own.is_some_and(|own| own < *newest) {
            journal!(
                warn,
                "claim-lost",
                era = newest.era.0,
                revision = newest.revision.0
            );
            shared.claim.borrow_mut().lost();
        }
    }
    let abandoned = keys.abandoned_claim(shared, holder.as_ref());
    let is_free = holder.is_none() || abandoned.is_some();
    let is_listed = keys.lease.is_some() && keys.host_key.is_some() && knows_itself(shared);
    let holds_none = shared.claim_state(now) == ClaimState::NotHeld;
    // Whoever gives orders knows all upstreams, and which hosts are not registered.
    let knows_all = shared.store_reached.get() && !shared.listing.is_open();
    if !(is_free && is_listed && holds_none && knows_all) {
        keys.free_since = None;
        return;
    }
    let free_since = *keys.free_since.get_or_insert_with(Instant::now);
    if free_since.elapsed() < precedence_delay(shared) {
        return;
    }
    let seed = now.as_micros();
    let jitter_ms = hash::stable(shared.settings.host.as_bytes(), seed) % MAX_CLAIM_JITTER_MS;
    time::sleep(Duration::from_millis(jitter_ms)).await;
    if *shared.holder.borrow() != holder || shared.is_leaving() {
        return;
    }
    if let Err(fault) = eras::ensure_first(shared).await {
        let fault = format_args!("{fault:?}");
        journal!(warn, "first-era-unknown", fault = fault);
        return;
    }
    let sent_at = shared.clock.now();
    let expect = abandoned.map(|fence| fence.revision);
    let written = write_claim(shared, keys, expect).await;
    // A lease of an earlier era may have another host's number by now.
    let (Some(revision), true) = (written, shared.store.rises() == keys.rises) else {
        return;
    };
    let fence = Fence {
        era: shared.store.era(),
        revision,
    };
    let replaced_at = abandoned.map(|_| sent_at);
    record_gained(shared, sent_at, fence, replaced_at);
    shared.set_holder(Some((shared.registration(), fence)));
}

/// Time for which this host leaves a free claim to larger hosts.
fn precedence_delay<D>(shared: &Shared<D>) -> Duration {
    let hosts = shared.hosts.borrow();
    let sizes = hosts
        .values()
        .map(|(registration, _)| registration.millicores);
    mulberryrack_fleet::precedence_delay(shared.settings.millicores, sizes)
}

/// Whether this host has read its own registration, and so knows the hosts that were listed before.
fn knows_itself<D>(shared: &Shared<D>) -> bool {
    shared.hosts.borrow().contains_key(&shared.settings.host)
}
