//! Quotas of organisations: charges requests by their heads, and tells the other hosts what this
//! host has spent. Nothing is counted or sent while no organisation has a quota.

use crate::{
    journal::journal,
    notices::{self, MAX_DATAGRAM_BYTES},
    shared::Shared,
};
use mulberryrack_core::{
    Time,
    outcome::{Reason, Refusal},
};
use mulberryrack_quota::{Denied, Ledger, Limit, Limits, Receipt, Total};
use mulberryrack_site::{
    Config, RequestHead,
    organisation::{Organisation, Organisations, Unit},
    settings::QuotaBounds,
};
use mulberryrack_wire::plan::{self, datagram::Body};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};
use tokio::{sync::Notify, time};

/// Shortest time between two log lines about the same organisation.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of a notice without prefixes and totals, of a prefix and of a total, at most.
const NOTICE_BYTES: usize = 300;
const PREFIX_BYTES: usize = 8;
const TOTAL_BYTES: usize = 34;

/// The state of the quotas at this host.
pub struct Usage {
    ledger: RefCell<Ledger>,
    /// Notified when a statement may be due earlier.
    changed: Notify,
    /// When it was logged last that a quota is used up, by organisation.
    logged: RefCell<BTreeMap<u64, Time>>,
}

impl Usage {
    pub fn new(bounds: QuotaBounds, incarnation: u64) -> Self {
        let QuotaBounds {
            window,
            overshoot,
            slack,
        } = bounds;
        let limits = Limits {
            window,
            overshoot,
            slack,
        };
        Self {
            ledger: RefCell::new(Ledger::new(limits, incarnation)),
            changed: Notify::new(),
            logged: RefCell::default(),
        }
    }
}

/// What an organisation was charged for a request. It is given back when this is dropped, unless
/// the request may have run.
pub struct Charge<D> {
    shared: Rc<Shared<D>>,
    organisation: Arc<Organisation>,
    cost: u64,
    receipt: Option<Receipt>,
}

impl<D> Charge<D> {
    /// Records that the request may have run.
    pub fn keep(mut self) {
        self.receipt = None;
        let metrics = &self.shared.metrics.usage;
        metrics.record_spent(&self.organisation.name, self.cost);
    }
}

impl<D> Drop for Charge<D> {
    fn drop(&mut self) {
        if let Some(receipt) = self.receipt.take() {
            let now = self.shared.clock.now();
            let mut ledger = self.shared.usage.ledger.borrow_mut();
            ledger.give_back(now, receipt);
        }
    }
}

fn cost(unit: Unit, head: &RequestHead) -> u64 {
    let Unit::Token { plain } = unit else {
        return 1;
    };
    // A generation whose request states no tokens has none.
    let stated = head.generation.as_ref().map_or(0, |it| {
        u64::from(it.prompt_tokens) + u64::from(it.output_tokens)
    });
    if stated > 0 { stated } else { u64::from(plain) }
}

/// Charges an organisation for a request, if it has a quota.
///
/// # Errors
///
/// The quota is used up; nothing is charged.
pub fn charge<D>(
    shared: &Rc<Shared<D>>,
    organisation: Arc<Organisation>,
    head: &RequestHead,
) -> Result<Option<Charge<D>>, Refusal> {
    let Some(quota) = organisation.quota else {
        return Ok(None);
    };
    let now = shared.clock.now();
    let id = Ledger::id(&organisation.name);
    let cost = cost(quota.unit, head);
    let mut ledger = shared.usage.ledger.borrow_mut();
    let due = ledger.next_statement();
    match ledger.charge(now, id, cost) {
        Ok(receipt) => {
            if ledger.next_statement() < due {
                shared.usage.changed.notify_one();
            }
            Ok(receipt.map(|receipt| Charge {
                shared: shared.clone(),
                organisation,
                cost,
                receipt: Some(receipt),
            }))
        }
        Err(denied) => Err(refuse(shared, now, id, &organisation, denied)),
    }
}

/// Whether a request would be charged now, without charging it.
///
/// # Errors
///
/// The quota is used up.
pub fn preview<D>(
    shared: &Shared<D>,
    organisation: &Organisation,
    head: &RequestHead,
) -> Result<(), Refusal> {
    let Some(quota) = organisation.quota else {
        return Ok(());
    };
    let now = shared.clock.now();
    let mut ledger = shared.usage.ledger.borrow().clone();
    let charged = ledger.charge(now, Ledger::id(&organisation.name), cost(quota.unit, head));
    charged.map(|_| ()).map_err(|denied| Refusal {
        reason: Reason::Quota,
        retry_after: Some(denied.retry_after),
    })
}

fn refuse<D>(
    shared: &Shared<D>,
    now: Time,
    id: u64,
    organisation: &Organisation,
    denied: Denied,
) -> Refusal {
    shared.metrics.usage.record_refused(&organisation.name);
    let mut logged = shared.usage.logged.borrow_mut();
    let is_recent = |at: &Time| now.since(*at) < LOG_INTERVAL;
    if !logged.get(&id).is_some_and(is_recent) {
        logged.insert(id, now);
        journal!(
            info,
            "quota-exceeded",
            organisation = organisation.name,
            level = denied.level.round(),
        );
    }
    Refusal {
        reason: Reason::Quota,
        retry_after: Some(denied.retry_after),
    }
}

/// Adopts the quotas of a configuration.
pub fn configure<D>(shared: &Shared<D>, config: &Config) {
    let organisations = config.organisations.iter().flat_map(Organisations::iter);
    let quotas: Vec<Limit> = organisations
        .filter_map(|organisation| {
            let quota = organisation.quota?;
            Some(Limit {
                organisation: Ledger::id(&organisation.name),
                rate_per_s: quota.rate_per_s,
                burst: quota.burst,
            })
        })
        .collect();
    let now = shared.clock.now();
    shared.usage.ledger.borrow_mut().set_quotas(now, &quotas);
    shared
        .usage
        .logged
        .borrow_mut()
        .retain(|id, _| quotas.iter().any(|it| it.organisation == *id));
    set_hosts(shared);
    shared.usage.changed.notify_one();
}

/// Adopts the registered hosts. Another process under the name of this host is another host: that
/// which this one replaces, or by which it is replaced while it leaves, may be spending.
pub fn set_hosts<D>(shared: &Shared<D>) {
    let mut ledger = shared.usage.ledger.borrow_mut();
    if ledger.is_empty() {
        return;
    }
    let hosts = shared.hosts.borrow();
    let registrations = hosts.values().map(|(registration, _)| registration);
    let others = registrations.filter(|it| it.incarnation != shared.incarnation);
    let incarnations = others.map(|it| it.incarnation).collect();
    ledger.set_hosts(shared.clock.now(), &incarnations);
}

/// The number of this process and the totals to be attached to a notice with so many prefixes;
/// zero and none if no organisation has a quota.
pub fn take_news<D>(shared: &Shared<D>, prefix_count: usize) -> (u64, Vec<plan::Spent>) {
    let mut ledger = shared.usage.ledger.borrow_mut();
    if ledger.is_empty() {
        return (0, Vec::new());
    }
    let room = MAX_DATAGRAM_BYTES.saturating_sub(NOTICE_BYTES + prefix_count * PREFIX_BYTES);
    let totals = ledger.take_news(shared.clock.now(), room / TOTAL_BYTES);
    (shared.incarnation, totals.into_iter().map(encode).collect())
}

fn encode(total: Total) -> plan::Spent {
    plan::Spent {
        organisation: total.organisation,
        total: total.spent,
        added: total.added,
    }
}

/// Records what another host has spent. Hosts that know no quotas tell no incarnation.
pub fn receive<D>(shared: &Shared<D>, incarnation: u64, spent: &[plan::Spent]) {
    if incarnation == 0 {
        return;
    }
    let totals = spent.iter().map(|it| Total {
        organisation: it.organisation,
        spent: it.total,
        added: it.added,
    });
    let now = shared.clock.now();
    let mut ledger = shared.usage.ledger.borrow_mut();
    ledger.hear(now, incarnation, totals);
}

/// Tells the other hosts what this host has spent and no notice carries, until the process ends.
pub async fn run<D>(shared: Rc<Shared<D>>) {
    loop {
        let changed = shared.usage.changed.notified();
        let next = shared.usage.ledger.borrow().next_statement();
        if next == Time::MAX {
            changed.await;
            continue;
        }
        tokio::select! {
            () = time::sleep_until(shared.clock.instant(next)) => {}
            () = changed => {}
        }
        let now = shared.clock.now();
        let totals = shared.usage.ledger.borrow_mut().poll(now);
        if let Some(totals) = totals {
            let usage = plan::Usage {
                incarnation: shared.incarnation,
                spent: totals.into_iter().map(encode).collect(),
            };
            notices::broadcast(&shared, Body::Usage(usage));
        }
    }
}
