//! This host's own keys: its place among the hosts, and the claim to give orders.

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

/// Time to live of this host's lease; a host that is gone is out of the address answers
/// after it.
pub const LEASE: Duration = Duration::from_millis(2_400);
/// Time between two renewals: two may be lost before the lease lapses.
const RENEWAL: Duration = Duration::from_millis(650);
/// Time between two looks whether the claim is free.
const CLAIM_CHECK: Duration = Duration::from_millis(200);
/// Longest random wait before a claim that is free is written, so that hosts do not all
/// write at once.
const CLAIM_SPREAD_MS: u64 = 300;

/// The lease under which the keys lie, and what was written under it.
#[derive(Default)]
struct Tenancy {
    lease: Option<Lease>,
    /// Revision of the host's key, once written under the lease.
    seat: Option<Revision>,
    /// Whether the last renewal had no answer.
    unanswered: bool,
}

/// Keeps this host's keys until it leaves, then removes them.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut tenancy = Tenancy::default();
    let mut next = Instant::now();
    while !shared.is_leaving() {
        let phase_changed = shared.phase_changed.notified();
        if Instant::now() >= next {
            keep(&shared, &mut tenancy).await;
            next = Instant::now() + RENEWAL;
        } else {
            take_seat(&shared, &mut tenancy).await;
            claim_if_free(&shared, &tenancy).await;
        }
        tokio::select! {
            () = time::sleep_until(next.min(Instant::now() + CLAIM_CHECK)) => {}
            () = phase_changed => {}
        }
    }
    shared.claim.borrow_mut().lost();
    if let Some(lease) = tenancy.lease {
        let ended = shared.store.call(&Op::Revoke { lease }).await;
        journal!(info, "lease-ended", lease = lease.0, ok = ended.is_ok());
    }
}

async fn keep<D: Dialect>(shared: &Shared<D>, tenancy: &mut Tenancy) {
    let sent = shared.clock.now();
    let Some(lease) = tenancy.lease else {
        grant(shared, tenancy).await;
        return;
    };
    let (reached, renewed) = renew(shared, tenancy, lease).await;
    if reached && tenancy.unanswered {
        shared.store_recovered.notify_waiters();
    }
    tenancy.unanswered = !reached;
    match renewed {
        Ok(true) => shared.claim.borrow_mut().renewed(sent),
        Ok(false) => {
            journal!(warn, "lease-lost", lease = lease.0);
            shared.claim.borrow_mut().lost();
            *tenancy = Tenancy::default();
            grant(shared, tenancy).await;
        }
        Err(fault) => {
            let fault = format_args!("{fault:?}");
            journal!(warn, "lease-not-renewed", lease = lease.0, fault = fault);
        }
    }
}

/// Renews the lease, and has another host do it while the key-value service does not answer
/// this one. Returns whether it answered this one, and whether the lease is in force.
async fn renew<D: Dialect>(
    shared: &Shared<D>,
    tenancy: &Tenancy,
    lease: Lease,
) -> (bool, Result<bool, Fault>) {
    let op = Op::Renew { lease };
    let own = shared.store.call(&op);
    let (own, by_peer) = if tenancy.unanswered {
        tokio::join!(own, peers::renew(shared, lease))
    } else {
        let own = own.await;
        let by_peer = match own {
            Ok(_) => None,
            Err(_) => peers::renew(shared, lease).await,
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

async fn grant<D: Dialect>(shared: &Shared<D>, tenancy: &mut Tenancy) {
    let ttl = LEASE.max(shared.settings.min_lease_ttl);
    match shared.store.call(&Op::Grant { ttl }).await {
        Ok(Reply::Granted(lease)) => tenancy.lease = Some(lease),
        other => journal!(
            warn,
            "lease-not-granted",
            outcome = format_args!("{other:?}")
        ),
    }
}

fn encode(seat: &Registration) -> Bytes {
    serde_json::to_vec(seat)
        .expect("a seat is plain data")
        .into()
}

async fn take_seat<D: Dialect>(shared: &Shared<D>, tenancy: &mut Tenancy) {
    let (Some(lease), None) = (tenancy.lease, tenancy.seat) else {
        return;
    };
    if shared.phase.get() != Phase::Serving {
        return;
    }
    let key: Arc<str> = format!("{HOST_KEY_PREFIX}{}", shared.settings.host).into();
    let mut expect = None;
    // A key of this host's last life may still be there.
    for _ in 0..2 {
        let op = Op::Put {
            key: key.clone(),
            value: encode(&shared.registration()),
            expect,
            lease: Some(lease),
        };
        match shared.store.call(&op).await {
            Ok(Reply::Written(revision)) => {
                tenancy.seat = Some(revision);
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

async fn claim_if_free<D: Dialect>(shared: &Shared<D>, tenancy: &Tenancy) {
    let holder = shared.holder.borrow().clone();
    let now = shared.clock.now();
    let mine = holder
        .as_ref()
        .is_some_and(|(seat, _)| seat.host == shared.settings.host);
    if let Some((_, revision)) = holder {
        let fence = shared.claim.borrow().fence();
        // A claim of this host's last life ends with its lease.
        if fence.is_some() && (!mine || fence != Some(revision.0)) && fence < Some(revision.0) {
            journal!(warn, "claim-lost", revision = revision.0);
            shared.claim.borrow_mut().lost();
        }
        return;
    }
    let (Some(lease), Some(_)) = (tenancy.lease, tenancy.seat) else {
        return;
    };
    if shared.claim.borrow().state(now) != ClaimState::NotHeld || !shared.store_reached.get() {
        return;
    }
    let seed = now.as_micros();
    let wait = hash::stable(shared.settings.host.as_bytes(), seed) % CLAIM_SPREAD_MS;
    time::sleep(Duration::from_millis(wait)).await;
    if shared.holder.borrow().is_some() || shared.is_leaving() {
        return;
    }
    let sent = shared.clock.now();
    let op = Op::Put {
        key: CLAIM_KEY.into(),
        value: encode(&shared.registration()),
        expect: None,
        lease: Some(lease),
    };
    match shared.store.call(&op).await {
        Ok(Reply::Written(revision)) => {
            let now = shared.clock.now();
            shared.claim.borrow_mut().gained(sent, now, revision);
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
