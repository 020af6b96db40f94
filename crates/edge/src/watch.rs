//! Follows the key-value service: the configuration, upstreams, hosts, the claim.

use crate::{
    journal::journal,
    registration::{CLAIM_KEY, HOST_KEY_PREFIX, Registration},
    shared::{Phase, Shared},
};
use mulberryrack_core::{
    Name,
    kv::{Entry, Fault, Op, Reply, Revision},
};
use mulberryrack_site::{Dialect, upstream::State};
use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};
use tokio::time;

/// How long the service holds a watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Share of the bound for following changes that passes after an answer with changes, in
/// which further ones gather; the rest is for the next call and its retry.
const GATHER_SHARE: f64 = 0.35;
/// First pause after a call without an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two tries, so that a service that is back is noticed at once.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Entries asked for at once.
const PAGE: u32 = 500;

/// Follows the service until the process ends.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut pause = FIRST_PAUSE;
    let mut at: Option<Revision> = None;
    loop {
        let back = shared.store_recovered.notified();
        let step = async {
            match at {
                None => read_all(&shared).await,
                Some(after) => follow(&shared, after).await,
            }
        };
        let step = tokio::select! {
            step = step => step,
            () = back => {
                journal!(info, "watch-again", after = at.map_or(0, |it| it.0));
                continue;
            }
        };
        match step {
            Ok(revision) => {
                if !shared.store_reached.replace(true) {
                    journal!(info, "store-reached", revision = revision.0);
                }
                pause = FIRST_PAUSE;
                at = Some(revision);
            }
            Err(Fault::HistoryGone) => {
                shared.store_reached.set(true);
                journal!(warn, "store-history-gone", after = at.map_or(0, |it| it.0));
                at = None;
            }
            Err(fault) => {
                if shared.store_reached.replace(false) {
                    journal!(warn, "store-lost", fault = format_args!("{fault:?}"));
                }
                time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn read_all<D: Dialect>(shared: &Shared<D>) -> Result<Revision, Fault> {
    let mut after: Option<Arc<str>> = None;
    let mut first: Option<Revision> = None;
    let mut seen = BTreeSet::new();
    loop {
        let op = Op::List {
            prefix: "".into(),
            after: after.clone(),
            limit: PAGE,
        };
        let reply = shared.store.call(&op).await?;
        let Reply::Entries {
            entries,
            more,
            revision,
        } = reply
        else {
            return Err(Fault::Unknown);
        };
        // Pages are no snapshot: the watch goes on from before the first one.
        let start = *first.get_or_insert(revision);
        after = entries.last().map(|entry| entry.key.clone());
        for entry in &entries {
            seen.insert(entry.key.clone());
            put(shared, entry);
        }
        if !more || after.is_none() {
            forget_unseen(shared, &seen);
            count_upstreams(shared);
            shared.changed.notify_waiters();
            return Ok(start);
        }
    }
}

fn forget_unseen<D: Dialect>(shared: &Shared<D>, seen: &BTreeSet<Arc<str>>) {
    let listed: Vec<Name> = {
        let gate = shared.gate.borrow();
        gate.registered().map(|entry| entry.id.clone()).collect()
    };
    let names: BTreeSet<Name> = seen
        .iter()
        .filter_map(|key| shared.dialect.upstream_of_key(key))
        .collect();
    for id in listed.iter().filter(|id| !names.contains(*id)) {
        unlist(shared, id);
    }
    let seat = |name: &Name| seen.contains(format!("{HOST_KEY_PREFIX}{name}").as_str());
    shared.hosts.borrow_mut().retain(|name, _| seat(name));
    if !seen.contains(CLAIM_KEY) {
        set_holder(shared, None);
    }
    count_hosts(shared);
}

async fn follow<D: Dialect>(shared: &Shared<D>, after: Revision) -> Result<Revision, Fault> {
    let op = Op::Watch {
        prefix: "".into(),
        after,
        wait: WATCH_WAIT,
    };
    let reply = shared.store.call(&op).await?;
    let Reply::Changes {
        entries,
        deleted,
        revision,
    } = reply
    else {
        return Err(Fault::Unknown);
    };
    for entry in &entries {
        put(shared, entry);
    }
    for key in &deleted {
        remove(shared, key);
    }
    if !(entries.is_empty() && deleted.is_empty()) {
        count_upstreams(shared);
        shared.changed.notify_waiters();
        time::sleep(
            shared
                .settings
                .bounds
                .max_reaction_delay
                .mul_f64(GATHER_SHARE),
        )
        .await;
    }
    Ok(revision)
}

fn put<D: Dialect>(shared: &Shared<D>, entry: &Entry) {
    if &*entry.key == shared.dialect.config_key() {
        configure(shared, entry);
    } else if let Some(id) = shared.dialect.upstream_of_key(&entry.key) {
        list(shared, &id, entry);
    } else if &*entry.key == CLAIM_KEY {
        match serde_json::from_slice::<Registration>(&entry.value) {
            Ok(seat) => set_holder(shared, Some((seat, entry.revision))),
            Err(error) => journal!(warn, "claim-unreadable", error = error),
        }
    } else if entry.key.starts_with(HOST_KEY_PREFIX) {
        match serde_json::from_slice::<Registration>(&entry.value) {
            Ok(seat) => {
                let mut hosts = shared.hosts.borrow_mut();
                hosts.insert(seat.host.clone(), (seat, entry.revision));
            }
            Err(error) => journal!(warn, "host-unreadable", key = entry.key, error = error),
        }
        count_hosts(shared);
    }
}

fn configure<D: Dialect>(shared: &Shared<D>, entry: &Entry) {
    let config = match shared.dialect.read_config(&entry.value) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            journal!(
                error,
                "config-unreadable",
                revision = entry.revision.0,
                error = error
            );
            return;
        }
    };
    if !shared.gate.borrow_mut().configure(config.clone()) {
        return;
    }
    shared.planner.borrow_mut().configure(config.clone());
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
    if shared.phase.get() == Phase::Starting {
        shared.set_phase(Phase::Serving);
    }
}

fn list<D: Dialect>(shared: &Shared<D>, id: &Name, entry: &Entry) {
    let upstream = match shared.dialect.read_upstream(id, &entry.value) {
        Ok(upstream) => upstream,
        Err(error) => {
            journal!(warn, "upstream-unreadable", id = id, error = error);
            unlist(shared, id);
            return;
        }
    };
    if upstream.state == State::Draining {
        journal!(
            info,
            "upstream-leaves",
            id = id,
            revision = entry.revision.0
        );
    }
    let now = shared.clock.now();
    shared.planner.borrow_mut().register(now, upstream.clone());
    if shared.gate.borrow_mut().register(upstream) {
        journal!(
            info,
            "upstream-listed",
            id = id,
            revision = entry.revision.0
        );
    }
}

fn unlist<D: Dialect>(shared: &Shared<D>, id: &Name) {
    shared.gate.borrow_mut().deregister(id);
    shared.planner.borrow_mut().deregister(id);
    journal!(info, "upstream-gone", id = id);
}

fn remove<D: Dialect>(shared: &Shared<D>, key: &str) {
    if let Some(id) = shared.dialect.upstream_of_key(key) {
        unlist(shared, &id);
    } else if key == CLAIM_KEY {
        set_holder(shared, None);
    } else if let Some(name) = key.strip_prefix(HOST_KEY_PREFIX) {
        shared.hosts.borrow_mut().remove(name);
        count_hosts(shared);
    }
}

fn set_holder<D>(shared: &Shared<D>, holder: Option<(Registration, Revision)>) {
    shared
        .gate
        .borrow_mut()
        .set_planner_active(holder.is_some());
    *shared.holder.borrow_mut() = holder;
}

fn count_upstreams<D>(shared: &Shared<D>) {
    let listed = shared.gate.borrow().registered().count();
    shared
        .metrics
        .upstreams
        .set(i64::try_from(listed).unwrap_or(i64::MAX));
}

fn count_hosts<D>(shared: &Shared<D>) {
    let hosts = u32::try_from(shared.hosts.borrow().len()).unwrap_or(u32::MAX);
    shared.gate.borrow_mut().set_host_count(hosts);
}
