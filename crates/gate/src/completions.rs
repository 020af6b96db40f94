//! Requests and parts of prompts that have recently run to their end.

use mulberryrack_core::Time;
use mulberryrack_suspect::Subject;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Time for which a complete run of a request shows that it does not crash upstreams.
const COMPLETION_PERIOD: Duration = Duration::from_secs(60);
/// Largest number of complete runs kept, for all requests of a host.
const MAX_COMPLETIONS: usize = 8_192;
/// Interval at which a further complete run of the same subject is recorded.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Subjects that have recently run to their end at this host. Many callers may send the same
/// request, and many requests have the same part: it is in flight on every crash, but one that
/// crashes each upstream that runs it would not have completed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Completions {
    /// Oldest first.
    order: VecDeque<(Time, Subject)>,
    /// Time of the last recorded completion. Invariant: the subjects in `order`.
    last: BTreeMap<Subject, Time>,
}

impl Completions {
    pub fn record(&mut self, now: Time, subject: Subject) {
        let last = self.last.get(&subject);
        if last.is_some_and(|last| now.since(*last) < RECORD_INTERVAL) {
            return;
        }
        self.order.push_back((now, subject));
        self.last.insert(subject, now);
        if self.order.len() > MAX_COMPLETIONS
            && let Some((time, oldest)) = self.order.pop_front()
            && self.last.get(&oldest) == Some(&time)
        {
            self.last.remove(&oldest);
        }
    }

    /// Time of the last completion, if that was recent.
    pub fn recent(&self, now: Time, subject: Subject) -> Option<Time> {
        let last = self.last.get(&subject).copied();
        last.filter(|time| now.since(*time) <= COMPLETION_PERIOD)
    }
}
