//! Metrics of the quotas of organisations.

use crate::metrics::registered;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use std::{cell::RefCell, collections::BTreeSet};

/// Organisations that have a label value of their own, the first ones that send requests.
const MAX_ORGANISATIONS: usize = 63;
/// The label value of all others.
const OTHER: &str = "other";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    organisation: String,
}

/// The metrics of one host.
pub struct UsageMetrics {
    refused: Family<Labels, Counter>,
    spent: Family<Labels, Counter>,
    named: RefCell<BTreeSet<String>>,
}

impl UsageMetrics {
    /// Creates the metrics, all at zero, and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        Self {
            refused: registered(
                registry,
                "quota_refused",
                "Requests that were refused because the quota of their organisation is used up",
                Family::default(),
            ),
            spent: registered(
                registry,
                "quota_spent_tokens",
                "Units of their quotas that organisations have spent at this host",
                Family::default(),
            ),
            named: RefCell::default(),
        }
    }

    fn labels(&self, organisation: &str) -> Labels {
        let mut named = self.named.borrow_mut();
        if !named.contains(organisation) && named.len() < MAX_ORGANISATIONS {
            named.insert(organisation.to_owned());
        }
        let has_name = named.contains(organisation);
        let organisation = if has_name { organisation } else { OTHER };
        Labels {
            organisation: organisation.to_owned(),
        }
    }

    /// Counts a request that is refused.
    pub fn record_refused(&self, organisation: &str) {
        self.refused.get_or_create(&self.labels(organisation)).inc();
    }

    /// Counts what a request that may have run has cost.
    pub fn record_spent(&self, organisation: &str, cost: u64) {
        let counter = self.spent.get_or_create(&self.labels(organisation));
        counter.inc_by(cost);
    }
}
