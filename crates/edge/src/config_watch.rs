//! Follows the configuration apart from all other keys, while the bytes of these take long: a change of it must
//! not wait behind the registrations of upstreams and hosts.

use crate::{freshness::CallStart, journal::journal, listing, shared::Shared, watch};
use mulberryrack_core::kv::{Fault, Op, Reply, Revision};
use mulberryrack_site::Dialect;
use std::{rc::Rc, time::Duration};
use tokio::time;

/// Time after which the key-value service answers without a change, as a share of the longest allowed reaction
/// delay.
const WAIT_SHARE: f64 = 0.35;
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Follows the configuration whenever other changes arrive slowly, until the process ends.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    loop {
        shared.store.transfers.became_long.notified().await;
        journal!(info, "config-apart", begins = true);
        follow(&shared).await;
        journal!(info, "config-apart", begins = false);
    }
}

async fn follow<D: Dialect>(shared: &Shared<D>) {
    let mut position = shared.proofs.position();
    while shared.store.transfers.are_long() {
        match read(shared, position).await {
            Ok(revision) => position = Some(revision),
            // Also in a new era.
            Err(Fault::HistoryGone) => position = None,
            Err(_) => time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Reads the configuration, or waits for a change of it after a revision. Returns the revision up to which it
/// is known.
///
/// # Errors
///
/// As those of a call to the service.
pub async fn read<D: Dialect>(
    shared: &Shared<D>,
    after: Option<Revision>,
) -> Result<Revision, Fault> {
    let start = CallStart::now();
    let prefix = shared.dialect.config_key().into();
    let wait = shared
        .settings
        .bounds
        .max_reaction_delay
        .mul_f64(WAIT_SHARE);
    let op = match after {
        Some(after) => Op::Watch {
            prefix,
            after,
            wait,
        },
        None => Op::List {
            prefix,
            after: None,
            limit: listing::PAGE_LIMIT,
        },
    };
    let (entries, deleted, revision) = match shared.store.call(&op).await? {
        Reply::Entries {
            entries, revision, ..
        } => (entries, Vec::new(), revision),
        Reply::Changes {
            entries,
            deleted,
            revision,
        } => (entries, deleted, revision),
        _ => return Err(Fault::Unknown),
    };
    for entry in &entries {
        watch::apply_entry(shared, entry);
    }
    for key in &deleted {
        watch::apply_deletion(shared, key);
    }
    watch::record_answer(shared, start, shared.store.read_era(), revision);
    Ok(revision)
}
