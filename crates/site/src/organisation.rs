//! The organisations that callers belong to, and the keys by which their requests name them.

use mulberryrack_core::Name;
use std::{collections::BTreeMap, fmt, sync::Arc};

/// A secret by which a request shows which organisation it belongs to. Its text occurs in no
/// debug output.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(Arc<str>);

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// An organisation whose callers share keys, a priority and a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Unique among the organisations.
    pub name: Name,
    /// Rank of its requests in place of their routes' priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What its requests may use over all hosts together; `None` sets no limit.
    pub quota: Option<Quota>,
}

/// What the requests of an organisation may use, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units that fall due each second; more than zero.
    pub rate_per_s: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Request,
    /// A request counts as its prompt tokens and its largest number of output tokens together; one
    /// that states no tokens counts as `plain`.
    Token {
        /// Tokens of a request that states none.
        plain: u32,
    },
}

/// All organisations of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_key: BTreeMap<Key, Arc<Organisation>>,
    all: Vec<Arc<Organisation>>,
}

impl Organisations {
    /// Adds an organisation with its keys. A key that several organisations list belongs to the
    /// first one.
    pub fn add(&mut self, organisation: Organisation, keys: impl IntoIterator<Item = Key>) {
        let organisation = Arc::new(organisation);
        for key in keys {
            self.by_key
                .entry(key)
                .or_insert_with(|| organisation.clone());
        }
        self.all.push(organisation);
    }

    /// The organisation that holds a key; `None` if none does.
    #[must_use]
    pub fn holder(&self, key: &Key) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// The organisations in the order in which the configuration lists them.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.all.iter()
    }
}
