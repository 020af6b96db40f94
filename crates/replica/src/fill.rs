//! Merges the pages of a listing with the changes that are followed meanwhile.

use mulberryrack_core::kv::{Entry, Revision};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// What is known of a key.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Nothing up to this revision is news.
    revision: Revision,
    exists: bool,
}

/// A listing that is under way. Pages and changes may arrive in any order; of each key, what has the
/// highest revision counts.
#[derive(Clone, Debug, Default)]
pub struct Fill {
    keys: BTreeMap<Arc<str>, Known>,
    /// The last key that was listed.
    cursor: Option<Arc<str>>,
}

impl Fill {
    /// A listing of which nothing has been read.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The key after which the next page begins; `None` for the first one.
    #[must_use]
    pub const fn cursor(&self) -> Option<&Arc<str>> {
        self.cursor.as_ref()
    }

    /// Records a page. Returns the entries that are news, and have to be applied.
    pub fn record_page(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        if let Some(last) = entries.last() {
            self.cursor = Some(last.key.clone());
        }
        self.record_written(entries)
    }

    /// Records entries that have changed. Returns those that are news, and have to be applied.
    pub fn record_written(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let is_news = |entry: &Entry| self.record(&entry.key, entry.revision, true);
        entries.into_iter().filter(is_news).collect()
    }

    /// Records keys that were gone when the service had reached a revision, and had not been written
    /// again by then. Returns those for which that is news, and has to be applied.
    pub fn record_deleted(&mut self, keys: Vec<Arc<str>>, at: Revision) -> Vec<Arc<str>> {
        let is_news = |key: &Arc<str>| self.record(key, at, false);
        keys.into_iter().filter(is_news).collect()
    }

    /// Records what a key was at a revision. Returns whether that is news.
    fn record(&mut self, key: &Arc<str>, revision: Revision, exists: bool) -> bool {
        let known = self.keys.get(key);
        // What deletes a key is told with a later revision than its own: that of the answer.
        let is_news = known.is_none_or(|known| known.revision < revision);
        if is_news {
            self.keys.insert(key.clone(), Known { revision, exists });
        }
        is_news
    }

    /// The keys that exist, once the last page has been recorded.
    #[must_use]
    pub fn into_keys(self) -> BTreeSet<Arc<str>> {
        let keys = self.keys.into_iter();
        keys.filter(|(_, known)| known.exists)
            .map(|(key, _)| key)
            .collect()
    }
}
