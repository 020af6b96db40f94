//! This host's own keys in the key-value service: its registration, and the claim to give
//! orders. Both are written under one lease.

use crate::{
    journal::journal,
    peers,
    registration::{CLAIM_KEY, HOST_KEY_PREFIX, Registration},
    shared::{Phase, Shared},
};
use bytes::Bytes;
use mulberryrack_core::{
    hash,
    kv::{Fault, Lease, Op, Reply, Revision},
};
use mulberryrack_fleet::ClaimState;
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
}

/// Writes this host's keys and renews their lease until the host leaves, then revokes the
/// lease, which removes the keys.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut keys = OwnKeys::default();
    let mut next_renewal = Instant::now();
    while !shared.is_leaving() {
        let phase_changed = shared.phase_changed.notified();
        if Instant::now() >= next_renewal {
            renew_or_grant(&shared, &mut keys).await;
            next_renewal = Instant::now() + RENEWAL_INTERVAL;
        } else {
            register_host(&shared, &mut keys).await;
            claim_if_free(&shared, &keys).await;
        }
        tokio::select! {
            () = time::sleep_until(next_renewal.min(Instant::now() + CLAIM_CHECK_INTERVAL)) => {}
            () = phase_changed => {}
        }
    }
    shared.claim.borrow_mut().lost();
    if let Some(lease) = keys.lease {
        let ended = shared.store.call(&Op::Revoke { lease }).await;
        journal!(info, "lease-ended", lease = lease.0, ok = ended.is_ok());
    }
}

/// Renews the lease, or gets a new one if there is none or it has ended.
async fn renew_or_grant<D: Dialect>(shared: &Shared<D>, keys: &mut OwnKeys) {
    let sent_at = shared.clock.now();
    let Some(lease) = keys.lease else {
        grant(shared, keys).await;
        return;
    };
    let (reached, renewed) = renew(shared, keys, lease).await;
    if reached && keys.renewal_unanswered {
        shared.store_recovered.notify_waiters();
    }
    keys.renewal_unanswered = !reached;
    match renewed {
        Ok(true) => shared.claim.borrow_mut().renewed(sent_at),
        Ok(false) => {
            journal!(warn, "lease-lost", lease = lease.0);
            shared.claim.borrow_mut().lost();
            *keys = OwnKeys::default();
            grant(shared, keys).await;
        }
        Err(fault) => {
            let fault = format_args!("{fault:?}");
            journal!(warn, "lease-not-renewed", lease = lease.0, fault = fault);
        }
    }
}

/// Renews the lease, with the help of another host if the key-value service does not answer
/// this one. Returns whether the service answered this host, and whether the lease is in
/// force.
async fn renew<D: Dialect>(
    shared: &Shared<D>,
    keys: &OwnKeys,
    lease: Lease,
) -> (bool, Result<bool, Fault>) {
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
        (Ok(reply), _) => (true, Ok(reply == Reply::Renewed(true))),
        (Err(_), Some(in_force)) => {
            journal!(
                info,
                "lease-renewed-by-peer",
                lease = lease.0,
                in_force = in_force
            );
            (false, Ok(in_force))
        }
        (Err(fault), None) => (false, Err(fault)),
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

/// Takes the claim if nobody holds it and this host is registered; gives it up if a newer
/// claim exists.
async fn claim_if_free<D: Dialect>(shared: &Shared<D>, keys: &OwnKeys) {
    let holder = shared.holder.borrow().clone();
    let now = shared.clock.now();
    let held_here = holder
        .as_ref()
        .is_some_and(|(registration, _)| registration.host == shared.settings.host);
    if let Some((_, revision)) = holder {
        let fence = shared.claim.borrow().fence();
        // Without a fence, this host holds no claim, and a claim in its name is of its
        // previous incarnation, which ends with the lease of that incarnation.
        if fence.is_some() && (!held_here || fence != Some(revision.0)) && fence < Some(revision.0)
        {
            journal!(warn, "claim-lost", revision = revision.0);
            shared.claim.borrow_mut().lost();
        }
        return;
    }
    let (Some(lease), Some(_)) = (keys.lease, keys.host_key) else {
        return;
    };
    if shared.claim.borrow().state(now) != ClaimState::NotHeld || !shared.store_reached.get() {
        return;
    }
    let seed = now.as_micros();
    let jitter_ms = hash::stable(shared.settings.host.as_bytes(), seed) % MAX_CLAIM_JITTER_MS;
    time::sleep(Duration::from_millis(jitter_ms)).await;
    if shared.holder.borrow().is_some() || shared.is_leaving() {
        return;
    }
    let sent_at = shared.clock.now();
    let op = Op::Put {
        key: CLAIM_KEY.into(),
        value: encode(&shared.registration()),
        expect: None,
        lease: Some(lease),
    };
    match shared.store.call(&op).await {
        Ok(Reply::Written(revision)) => {
            let now = shared.clock.now();
            shared.claim.borrow_mut().gained(sent_at, now, revision);
            shared.planner.borrow_mut().take_over(now);
            *shared.holder.borrow_mut() = Some((shared.registration(), revision));
            journal!(info, "claim-gained", fence = revision.0);
        }
        Ok(Reply::Conflict(_)) => {}
        other => journal!(
            warn,
            "claim-not-written",
            outcome = format_args!("{other:?}")
        ),
    }
}
