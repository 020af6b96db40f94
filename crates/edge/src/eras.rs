//! What a host does when the key-value service comes back from an older copy of itself, which
//! begins an era. What was written since the copy is gone; upstreams, operators and hosts write
//! theirs again.

use crate::{journal::journal, shared::Shared, watch};
use mulberryrack_core::{
    Name, Time, hash,
    kv::{Entry, Era, Fault, Op, Reply},
};
use mulberryrack_site::Dialect;
use std::{collections::BTreeSet, mem, rc::Rc, time::Duration};
use tokio::{task, time};

/// Key that holds the era in which the deployment began, as decimal text. Fencing tokens count
/// eras from it.
pub const FIRST_ERA_KEY: &str = "mulberryrack/first-era";
/// Time after an era was noticed within which upstreams write their entries again, and hosts as
/// well once their delay is over.
const REWRITE_PERIOD: Duration = Duration::from_millis(2_500);
/// Time for each host by which the hosts spread their calls after an era was noticed.
const SPREAD_PER_HOST: Duration = Duration::from_millis(5);

/// What the service lacked when it was read in a new era, until it is written again or counts as
/// gone.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    pub upstreams: BTreeSet<Name>,
    pub hosts: BTreeSet<Name>,
    /// Whether the claim to give orders is missing.
    pub claim: bool,
    /// Time at which the upstreams and the claim count as gone if they are still missing. Later
    /// than [`REWRITE_PERIOD`] after a listing if another era has risen since.
    until: Time,
    /// The same for the hosts.
    hosts_until: Time,
}

/// Time over which the hosts spread their first calls in a new era.
fn spread<D>(shared: &Shared<D>) -> Duration {
    let hosts = u32::try_from(shared.hosts.borrow().len()).unwrap_or(u32::MAX);
    SPREAD_PER_HOST * hosts.max(1)
}

/// Delay of this host's first calls in a new era, so that not all hosts make them at once.
pub fn spread_delay<D>(shared: &Shared<D>) -> Duration {
    let span_us = u64::try_from(spread(shared).as_micros()).unwrap_or(u64::MAX);
    let seed = shared.clock.now().as_micros();
    let offset_us = hash::stable(shared.settings.host.as_bytes(), seed) % span_us.max(1);
    Duration::from_micros(offset_us)
}

/// Keeps what the service lacks in a new era until all had the time to write theirs again, and
/// removes then what was not written.
pub fn keep_unlisted<D: Dialect>(
    shared: &Rc<Shared<D>>,
    upstreams: Vec<Name>,
    hosts: Vec<Name>,
    claim: bool,
) {
    journal!(
        info,
        "era-read",
        era = shared.store.era().0,
        missing_upstreams = upstreams.len(),
        missing_hosts = hosts.len(),
        missing_claim = claim,
    );
    let host_delay = spread(shared);
    {
        let now = shared.clock.now();
        let mut unconfirmed = shared.unconfirmed.borrow_mut();
        unconfirmed.upstreams.extend(upstreams);
        unconfirmed.hosts.extend(hosts);
        unconfirmed.claim |= claim;
        unconfirmed.until = now + REWRITE_PERIOD;
        unconfirmed.hosts_until = now + REWRITE_PERIOD + host_delay;
    }
    let shared = shared.clone();
    task::spawn_local(async move {
        time::sleep(REWRITE_PERIOD).await;
        remove_upstreams_and_claim(&shared);
        time::sleep(host_delay).await;
        remove_hosts(&shared);
    });
}

fn remove_upstreams_and_claim<D: Dialect>(shared: &Shared<D>) {
    let (upstreams, claim) = {
        let mut unconfirmed = shared.unconfirmed.borrow_mut();
        if shared.clock.now() < unconfirmed.until {
            return;
        }
        let upstreams = mem::take(&mut unconfirmed.upstreams);
        (upstreams, mem::take(&mut unconfirmed.claim))
    };
    for name in &upstreams {
        watch::deregister_upstream(shared, name, "era");
    }
    if claim {
        shared.set_holder(None);
    }
    shared.changed.notify_waiters();
}

fn remove_hosts<D: Dialect>(shared: &Shared<D>) {
    let hosts = {
        let mut unconfirmed = shared.unconfirmed.borrow_mut();
        if shared.clock.now() < unconfirmed.hosts_until {
            return;
        }
        mem::take(&mut unconfirmed.hosts)
    };
    let era = shared.store.era().0;
    journal!(info, "era-settled", era = era, gone_hosts = hosts.len());
    for name in &hosts {
        watch::remove_host(shared, name);
    }
}

/// Takes over the era in which the deployment began from its key.
pub fn apply<D>(shared: &Shared<D>, entry: &Entry) {
    match parse(entry) {
        Some(era) => set_first(shared, era),
        None => journal!(warn, "first-era-unreadable", revision = entry.revision.0),
    }
}

fn parse(entry: &Entry) -> Option<Era> {
    let text = std::str::from_utf8(&entry.value).ok()?;
    text.trim().parse().ok().map(Era)
}

fn set_first<D>(shared: &Shared<D>, era: Era) {
    let known = shared.first_era.get().unwrap_or(era);
    shared.first_era.set(Some(known.min(era)));
}

/// Has the key for the first era written if there is none, and returns that era.
///
/// # Errors
///
/// The key could be neither written nor read.
pub async fn ensure_first<D: Dialect>(shared: &Shared<D>) -> Result<Era, Fault> {
    if shared.store.era_noticed_at().is_none() {
        return Ok(Era(0));
    }
    let value = shared.first_era.get().unwrap_or(shared.store.era());
    let op = Op::Put {
        key: FIRST_ERA_KEY.into(),
        value: value.0.to_string().into(),
        expect: None,
        lease: None,
    };
    match shared.store.call(&op).await? {
        Reply::Written(_) => set_first(shared, value),
        Reply::Conflict(Some(entry)) => apply(shared, &entry),
        _ => {}
    }
    shared.first_era.get().ok_or(Fault::Unknown)
}
