//! Follows the key-value service and applies what changes there: the configuration, the
//! registrations of upstreams and hosts, and the claim to give orders.

use crate::{
    crashes,
    eras::{self, FIRST_ERA_KEY},
    freshness::CallStart,
    journal::journal,
    listing, refusals,
    registration::{CLAIM_KEY, HOST_KEY_PREFIX, Registration},
    shared::{Phase, Shared},
    store::Store,
    usage,
};
use mulberryrack_core::{
    Name,
    kv::{Entry, Era, Fault, Op, Outcome, Reply, Revision},
};
use mulberryrack_fleet::Fence;
use mulberryrack_replica::Lateness;
use mulberryrack_site::{Dialect, upstream::State};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Time after which the key-value service answers a watch without changes, as a share of the
/// longest allowed reaction delay. A watch that hears nothing, or whose answer is lost, is found out
/// soon after it, with time left to list all keys.
const WATCH_WAIT_SHARE: f64 = 0.35;
/// Longest delay after changes, as a share of the revocation delay, and longest time without an answer
/// to a watch while the proof that the configuration is current is old. Else a watch may wait for the
/// whole reaction delay: an answer that is lost shows by what other hosts state, or by the next call
/// for a proof. A proof from a watch counts from its start: with 0.1 instead, each host that relies on
/// its own watches makes 1.3 more calls a second to the key-value service.
const STRICT_WAIT_SHARE: f64 = 0.2;
/// Longest delay between two tries where strict revocation is set. With
/// [`STRICT_RETRY_TIMEOUT`], keyed requests are served again within a second of an outage's end.
const STRICT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for the beginning of the answer to a watch after a failed call, or after a watch that was ended, where
/// strict revocation is set.
const STRICT_RETRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after the first of several failed calls; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two tries. It is short so that the end of an outage is noticed
/// soon.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Follows the service until the process ends.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut position: Option<Revision> = None;
    let bounds = &shared.settings.bounds;
    let max_retry_delay = bounds
        .revocation_delay
        .map_or(MAX_RETRY_DELAY, |_| STRICT_RETRY_DELAY);
    let mut has_failed = false;
    let mut rises_followed = 0;
    loop {
        if rises_followed != shared.store.rises() {
            rises_followed = shared.store.rises();
            position = None;
            shared.proofs.record_position(None, rises_followed);
            time::sleep(eras::spread_delay(&shared)).await;
            continue;
        }
        shared.proofs.record_position(position, rises_followed);
        let step = async {
            match position {
                None => listing::begin(&shared).await,
                Some(after) => watch_once(&shared, after, has_failed).await,
            }
        };
        let result = tokio::select! {
            result = step => result,
            () = shared.store.era_changed.notified() => continue,
            () = forgotten(&shared.store) => {
                journal!(info, "watch-again", after = position.map_or(0, |it| it.0));
                continue;
            }
        };
        match result {
            Ok(revision) => {
                if !shared.store_reached.replace(true) {
                    journal!(info, "store-reached", revision = revision.0);
                }
                retry_delay = MIN_RETRY_DELAY;
                has_failed = false;
                position = Some(revision);
            }
            Err(Fault::HistoryGone) => {
                shared.store_reached.set(true);
                journal!(
                    warn,
                    "store-history-gone",
                    after = position.map_or(0, |it| it.0)
                );
                position = None;
            }
            Err(fault) => {
                if shared.store_reached.replace(false) {
                    journal!(warn, "store-lost", fault = format_args!("{fault:?}"));
                }
                time::sleep(retry_delay).await;
                has_failed = true;
                retry_delay = (retry_delay * 2).min(max_retry_delay);
            }
        }
    }
}

/// Returns once the service may have forgotten an open call: it answers again, and nothing of this call's
/// answer arrives.
async fn forgotten<D: Dialect>(store: &Store<D>) {
    loop {
        store.recovered.notified().await;
        if !store.transfers.is_under_way() {
            return;
        }
    }
}

/// Waits for changes after a revision and applies them. Returns the revision from which the
/// next watch must continue.
async fn watch_once<D: Dialect>(
    shared: &Shared<D>,
    after: Revision,
    has_failed: bool,
) -> Result<Revision, Fault> {
    let max_delay = shared.settings.bounds.max_reaction_delay;
    let revocation_delay = shared.settings.bounds.revocation_delay;
    let max_wait = revocation_delay.map_or(Duration::MAX, |delay| delay.mul_f64(STRICT_WAIT_SHARE));
    let is_retry = has_failed && revocation_delay.is_some();
    let wait = if is_retry {
        Duration::ZERO
    } else if shared.proofs.is_fallback(shared.freshness.age()) {
        max_delay.mul_f64(WATCH_WAIT_SHARE).min(max_wait)
    } else {
        max_delay
    };
    let begun = Instant::now();
    let mut start = CallStart::now();
    let outcome = if is_retry {
        call_now(shared, after).await
    } else {
        let op = watch_op(after, wait);
        let open = shared.proofs.begin_watch();
        let outcome = tokio::select! {
            outcome = shared.store.call(&op) => Some(outcome),
            () = must_catch_up(shared) => None,
        };
        drop(open);
        if let Some(outcome) = outcome {
            outcome
        } else {
            journal!(info, "watch-again", after = after.0);
            start = CallStart::now();
            call_now(shared, after).await
        }
    };
    let reply = outcome.inspect_err(|_| {
        if begun.elapsed() > wait {
            let for_ms = begun.elapsed().as_millis();
            journal!(warn, "watch-silent", after = after.0, for_ms = for_ms);
        }
    })?;
    let Reply::Changes {
        entries,
        deleted,
        revision,
    } = reply
    else {
        return Err(Fault::Unknown);
    };
    let (entries, deleted) = listing::merge(shared, entries, deleted, revision);
    for entry in &entries {
        apply_entry(shared, entry);
    }
    for key in &deleted {
        apply_deletion(shared, key);
    }
    record_answer(shared, start, shared.store.read_era(), revision);
    if !(entries.is_empty() && deleted.is_empty()) {
        update_upstream_count(shared);
        shared.changed.notify_waiters();
        let rises = shared.store.rises();
        shared.proofs.record_position(Some(revision), rises);
        let late = Lateness {
            turn: shared.lateness.current(),
            transfer: shared.store.transfers.time(),
            way: shared.store.uplink.borrow().delay(shared.clock.now()),
        };
        let delay = mulberryrack_replica::gathering(max_delay, late);
        let delay = delay.min(max_wait);
        tokio::select! {
            () = time::sleep(delay) => {}
            () = shared.proofs.old.notified() => {}
        }
    }
    Ok(revision)
}

fn watch_op(after: Revision, wait: Duration) -> Op {
    Op::Watch {
        prefix: "".into(),
        after,
        wait,
    }
}

/// Asks for the changes after a revision, without waiting for any.
async fn call_now<D: Dialect>(shared: &Shared<D>, after: Revision) -> Outcome {
    let op = watch_op(after, Duration::ZERO);
    shared.store.call_within(&op, STRICT_RETRY_TIMEOUT).await
}

/// Returns once the open watch has to be made anew, as it does not bring changes that other hosts know.
async fn must_catch_up<D: Dialect>(shared: &Shared<D>) {
    loop {
        shared.proofs.catch_up.notified().await;
        // What has begun to arrive are these changes, or will be followed by them.
        if !shared.store.transfers.is_under_way() {
            return;
        }
    }
}

/// Records what this host knows of the service from other calls than its lists and watches: the era
/// that it was told of, and its own writes. Whatever is behind them proves nothing.
pub fn record_known_revisions<D: Dialect>(shared: &Shared<D>) {
    let freshness = &shared.freshness;
    freshness.record_revision(shared.store.told_era(), Revision(0));
    let (write_era, write_revision) = shared.store.last_write();
    freshness.record_revision(write_era, write_revision);
}

/// Records an answer whose changes have been applied: it may prove that the configuration in force
/// is the newest one.
pub fn record_answer<D: Dialect>(
    shared: &Shared<D>,
    start: CallStart,
    era: Option<Era>,
    revision: Revision,
) {
    record_known_revisions(shared);
    let is_proof = shared.freshness.record_answer(start, era, revision);
    if is_proof && shared.settings.bounds.revocation_delay.is_some() {
        shared.metrics.record_proof("service");
    }
}

/// Applies a key that exists.
pub fn apply_entry<D: Dialect>(shared: &Shared<D>, entry: &Entry) {
    if &*entry.key == shared.dialect.config_key() {
        adopt_config(shared, entry);
    } else if let Some(id) = shared.dialect.upstream_of_key(&entry.key) {
        register_upstream(shared, &id, entry);
    } else if &*entry.key == CLAIM_KEY {
        match serde_json::from_slice::<Registration>(&entry.value) {
            Ok(registration) => {
                let fence = Fence {
                    era: shared.store.era(),
                    revision: entry.revision,
                };
                shared.set_holder(Some((registration, fence)));
            }
            Err(error) => journal!(warn, "claim-unreadable", error = error),
        }
    } else if &*entry.key == FIRST_ERA_KEY {
        eras::apply(shared, entry);
    } else if let Some(subject) = refusals::subject_of_key(&entry.key) {
        refusals::apply(shared, subject, &entry.value);
    } else if entry.key.starts_with(HOST_KEY_PREFIX) {
        match serde_json::from_slice::<Registration>(&entry.value) {
            Ok(registration) => {
                let mut unconfirmed = shared.unconfirmed.borrow_mut();
                unconfirmed.hosts.remove(&registration.host);
                let mut hosts = shared.hosts.borrow_mut();
                hosts.insert(registration.host.clone(), (registration, entry.revision));
            }
            Err(error) => journal!(warn, "host-unreadable", key = entry.key, error = error),
        }
        update_host_count(shared);
    }
}

fn adopt_config<D: Dialect>(shared: &Shared<D>, entry: &Entry) {
    let config = match shared.dialect.read_config(&entry.value) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            shared.freshness.record_configuration(false);
            journal!(
                error,
                "config-unreadable",
                revision = entry.revision.0,
                error = error
            );
            return;
        }
    };
    shared.freshness.record_configuration(true);
    if !shared.gate.borrow_mut().configure(config.clone()) {
        return;
    }
    shared.planner.borrow_mut().configure(config.clone());
    usage::configure(shared, &config);
    let version = i64::try_from(config.version).unwrap_or(i64::MAX);
    shared.metrics.config_version.set(version);
    journal!(
        info,
        "config",
        version = config.version,
        revision = entry.revision.0,
        routes = config.routes.len(),
        services = config.services.len(),
    );
    serve_if_known(shared);
}

/// Begins to serve once there is a configuration, and a part of the upstreams has been read.
pub fn serve_if_known<D>(shared: &Shared<D>) {
    let is_known = shared.listing.has_begun() && shared.gate.borrow().config().is_some();
    if is_known && shared.phase.get() == Phase::Starting {
        shared.set_phase(Phase::Serving);
    }
}

fn register_upstream<D: Dialect>(shared: &Shared<D>, id: &Name, entry: &Entry) {
    let upstream = match shared.dialect.read_upstream(id, &entry.value) {
        Ok(upstream) => upstream,
        Err(error) => {
            journal!(warn, "upstream-unreadable", id = id, error = error);
            deregister_upstream(shared, id, "entry");
            return;
        }
    };
    if upstream.state == State::Draining {
        journal!(
            info,
            "upstream-leaves",
            id = id,
            told_by = "store",
            revision = entry.revision.0,
        );
    }
    shared.unconfirmed.borrow_mut().upstreams.remove(id);
    let now = shared.clock.now();
    shared.planner.borrow_mut().register(now, upstream.clone());
    let is_new = shared.gate.borrow_mut().register(now, upstream);
    crashes::report(shared);
    if is_new {
        journal!(
            info,
            "upstream-listed",
            id = id,
            revision = entry.revision.0
        );
    }
}

/// Records that the entry of an upstream is gone. `told_by` says by what, for the log.
pub fn deregister_upstream<D: Dialect>(shared: &Shared<D>, id: &Name, told_by: &str) {
    shared.gate.borrow_mut().deregister(id);
    shared.planner.borrow_mut().deregister(id);
    journal!(info, "upstream-gone", id = id, told_by = told_by);
}

/// Applies that a key is gone.
pub fn apply_deletion<D: Dialect>(shared: &Shared<D>, key: &str) {
    if let Some(id) = shared.dialect.upstream_of_key(key) {
        deregister_upstream(shared, &id, "watch");
    } else if key == shared.dialect.config_key() {
        // A value that cannot be decoded counts as deleted, too.
        shared.freshness.record_configuration(false);
    } else if key == CLAIM_KEY {
        shared.set_holder(None);
    } else if refusals::subject_of_key(key).is_some() {
        refusals::retain_keys(shared, |other| other != key);
    } else if let Some(name) = key.strip_prefix(HOST_KEY_PREFIX) {
        remove_host(shared, name);
    }
}

/// Records that the registration of a host is gone.
pub fn remove_host<D: Dialect>(shared: &Shared<D>, name: &str) {
    shared.hosts.borrow_mut().remove(name);
    update_host_count(shared);
}

/// Updates the metric of registered upstreams.
pub fn update_upstream_count<D>(shared: &Shared<D>) {
    let registered = shared.gate.borrow().registered().count();
    shared
        .metrics
        .upstreams
        .set(i64::try_from(registered).unwrap_or(i64::MAX));
}

fn update_host_count<D>(shared: &Shared<D>) {
    let names: Vec<Name> = shared.hosts.borrow().keys().cloned().collect();
    let host_count = u32::try_from(names.len()).unwrap_or(u32::MAX);
    let now = shared.clock.now();
    let mut gate = shared.gate.borrow_mut();
    gate.set_host_count(now, host_count);
    gate.set_hosts(now, &shared.settings.host, names);
    usage::set_hosts(shared);
    shared.proofs.record_hosts();
}
