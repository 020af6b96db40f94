//! Lists all keys of the key-value service, and removes what no longer exists. Changes are followed from the
//! first page on, while the further ones are read.

use crate::{
    config_watch, eras,
    freshness::CallStart,
    journal::journal,
    refusals,
    registration::{CLAIM_KEY, HOST_KEY_PREFIX},
    shared::Shared,
    watch,
};
use mulberryrack_core::{
    Name,
    kv::{Entry, Era, Fault, Op, Reply, Revision},
};
use mulberryrack_replica::Fill;
use mulberryrack_site::Dialect;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    task,
    time::{self, Instant},
};

/// Largest number of entries asked for with one list call.
pub const PAGE_LIMIT: u32 = 500;
/// Delay after the first of several failed calls for a page; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two tries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The listing that is under way.
#[derive(Default)]
pub struct Listing {
    fill: RefCell<Option<Fill>>,
    /// Number of the listing. An earlier one ends when a later one begins.
    number: Cell<u64>,
    /// Whether a page of any listing has been applied.
    has_begun: Cell<bool>,
    /// How often the era had risen when the last listing that has ended began.
    rises_read: Cell<u32>,
}

impl Listing {
    /// Whether there are pages that were not read yet.
    pub fn is_open(&self) -> bool {
        self.fill.borrow().is_some()
    }

    /// Whether a page of any listing has been applied.
    pub const fn has_begun(&self) -> bool {
        self.has_begun.get()
    }

    /// How often the era had risen when the last listing that has ended began.
    pub const fn rises_read(&self) -> u32 {
        self.rises_read.get()
    }
}

/// A page of a listing.
struct Page {
    entries: Vec<Entry>,
    more: bool,
    revision: Revision,
    era: Option<Era>,
}

/// When a listing began, and which it is.
#[derive(Clone, Copy)]
struct Beginning {
    number: u64,
    /// How often the era had risen.
    rises: u32,
    at: Instant,
    /// That of the first page, from which on changes are followed.
    revision: Revision,
}

/// Reads the first page of a listing, and has the further ones read in a task of their own. What no longer
/// exists is removed after the last one; in a new era only once it had the time to be written again. Returns
/// the revision from which a watch must continue.
pub async fn begin<D: Dialect>(shared: &Rc<Shared<D>>) -> Result<Revision, Fault> {
    let listing = &shared.listing;
    let number = listing.number.get() + 1;
    listing.number.set(number);
    *listing.fill.borrow_mut() = None;
    let rises = shared.store.rises();
    let at = Instant::now();
    let start = CallStart::now();
    let Page {
        entries,
        more,
        revision,
        era,
    } = read_page(shared, None).await.inspect_err(|fault| {
        let took_ms = at.elapsed().as_millis();
        let fault = format_args!("{fault:?}");
        journal!(
            warn,
            "store-not-read",
            pages = 0,
            took_ms = took_ms,
            fault = fault
        );
    })?;
    let config_key = shared.dialect.config_key();
    let has_config = entries.iter().any(|entry| &*entry.key == config_key);
    *listing.fill.borrow_mut() = Some(Fill::new());
    apply_page(shared, entries);
    let beginning = Beginning {
        number,
        rises,
        at,
        revision,
    };
    if !more {
        end(shared, beginning, 1);
        watch::record_answer(shared, start, era, revision);
        return Ok(revision);
    }
    if has_config {
        watch::record_answer(shared, start, era, revision);
    } else {
        // It need not wait for the pages before its own.
        config_watch::read(shared, None).await?;
    }
    task::spawn_local(read_further(shared.clone(), beginning));
    Ok(revision)
}

async fn read_page<D: Dialect>(shared: &Shared<D>, after: Option<Arc<str>>) -> Result<Page, Fault> {
    let op = Op::List {
        prefix: "".into(),
        after,
        limit: PAGE_LIMIT,
    };
    let Reply::Entries {
        entries,
        more,
        revision,
    } = shared.store.call(&op).await?
    else {
        return Err(Fault::Unknown);
    };
    let more = more && !entries.is_empty();
    let era = shared.store.read_era();
    Ok(Page {
        entries,
        more,
        revision,
        era,
    })
}

fn apply_page<D: Dialect>(shared: &Shared<D>, entries: Vec<Entry>) {
    let entries = match &mut *shared.listing.fill.borrow_mut() {
        Some(fill) => fill.record_page(entries),
        None => entries,
    };
    for entry in &entries {
        watch::apply_entry(shared, entry);
    }
    watch::update_upstream_count(shared);
    shared.changed.notify_waiters();
    shared.listing.has_begun.set(true);
    watch::serve_if_known(shared);
}

/// Reads the pages after the first one. A page that was not read is asked for again: what was read before
/// is kept.
async fn read_further<D: Dialect>(shared: Rc<Shared<D>>, beginning: Beginning) {
    let listing = &shared.listing;
    let is_current =
        || listing.number.get() == beginning.number && shared.store.rises() == beginning.rises;
    let mut pages = 1;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let asked_at = Instant::now();
        let after = listing
            .fill
            .borrow()
            .as_ref()
            .and_then(|fill| fill.cursor().cloned());
        let page = read_page(&shared, after).await;
        if !is_current() {
            return;
        }
        match page {
            Ok(page) => {
                pages += 1;
                retry_delay = MIN_RETRY_DELAY;
                apply_page(&shared, page.entries);
                if !page.more {
                    end(&shared, beginning, pages);
                    return;
                }
                time::sleep(mulberryrack_replica::pause(asked_at.elapsed())).await;
            }
            // The watch finds out as well, and begins another listing.
            Err(Fault::HistoryGone) => return,
            Err(fault) => {
                let took_ms = beginning.at.elapsed().as_millis();
                let fault = format_args!("{fault:?}");
                journal!(
                    warn,
                    "store-not-read",
                    pages = pages,
                    took_ms = took_ms,
                    fault = fault
                );
                time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
        if !is_current() {
            return;
        }
    }
}

/// Removes what no longer exists, after the last page.
fn end<D: Dialect>(shared: &Rc<Shared<D>>, beginning: Beginning, pages: u32) {
    let Some(fill) = shared.listing.fill.take() else {
        return;
    };
    let keys = fill.into_keys();
    let is_new_era = shared.listing.rises_read.replace(beginning.rises) != beginning.rises;
    remove_unlisted(shared, &keys, is_new_era);
    watch::update_upstream_count(shared);
    shared.changed.notify_waiters();
    journal!(
        info,
        "store-read",
        keys = keys.len(),
        pages = pages,
        revision = beginning.revision.0,
        took_ms = beginning.at.elapsed().as_millis(),
    );
}

/// Merges changes with the listing that is under way. Returns what of them is news; all of them if none is.
pub fn merge<D>(
    shared: &Shared<D>,
    entries: Vec<Entry>,
    deleted: Vec<Arc<str>>,
    revision: Revision,
) -> (Vec<Entry>, Vec<Arc<str>>) {
    match &mut *shared.listing.fill.borrow_mut() {
        Some(fill) => {
            let entries = fill.record_written(entries);
            (entries, fill.record_deleted(deleted, revision))
        }
        None => (entries, deleted),
    }
}

/// Removes the upstreams, hosts and claim whose keys are not in `seen`.
fn remove_unlisted<D: Dialect>(
    shared: &Rc<Shared<D>>,
    seen: &BTreeSet<Arc<str>>,
    is_new_era: bool,
) {
    let registered: Vec<Name> = {
        let gate = shared.gate.borrow();
        gate.registered().map(|entry| entry.id.clone()).collect()
    };
    let listed: BTreeSet<Name> = seen
        .iter()
        .filter_map(|key| shared.dialect.upstream_of_key(key))
        .collect();
    let registered = registered.into_iter();
    let upstreams: Vec<Name> = registered.filter(|id| !listed.contains(id)).collect();
    let is_listed = |name: &Name| seen.contains(format!("{HOST_KEY_PREFIX}{name}").as_str());
    let hosts: Vec<Name> = {
        let hosts = shared.hosts.borrow();
        let names = hosts.keys().filter(|name| !is_listed(name));
        names.cloned().collect()
    };
    let claim_is_gone = !seen.contains(CLAIM_KEY);
    refusals::retain_keys(shared, |key| seen.contains(key));
    if is_new_era {
        eras::keep_unlisted(shared, upstreams, hosts, claim_is_gone);
        return;
    }
    if !seen.contains(shared.dialect.config_key()) {
        shared.freshness.record_configuration(false);
    }
    for id in &upstreams {
        watch::deregister_upstream(shared, id, "list");
    }
    for name in &hosts {
        watch::remove_host(shared, name);
    }
    if claim_is_gone {
        shared.set_holder(None);
    }
}
