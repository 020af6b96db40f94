//! Measures how long accepted tables take to be in force on the hosts of a replay.

use mulberryrack_core::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

#[derive(Clone, Debug)]
struct Accepted {
    version: u64,
    at: Time,
    /// When the version, or a later one, was in force on every reachable host.
    in_force_at: Option<Time>,
}

/// Accepted versions, and the versions seen in force on the hosts.
#[derive(Clone, Debug, Default)]
pub struct TableSpread {
    accepted: Vec<Accepted>,
    /// Highest version seen on a host, by its name and life.
    seen: BTreeMap<(Name, u64), u64>,
    /// Cases in which a host went back to a lower version within one life.
    pub reverted: Vec<String>,
}

impl TableSpread {
    /// Records that an operator was told that a version is accepted.
    pub fn record_acceptance(&mut self, version: u64, at: Time) {
        self.accepted.push(Accepted {
            version,
            at,
            in_force_at: None,
        });
    }

    /// Records the versions in force on the hosts that run and can be reached, as name, life
    /// and version.
    pub fn record_versions(&mut self, now: Time, hosts: &[(Name, u64, u64)]) {
        for (name, life, version) in hosts {
            let seen = self.seen.entry((name.clone(), *life)).or_default();
            if version < seen {
                self.reverted
                    .push(format!("at {now}: {name} from {seen} to {version}"));
            }
            *seen = (*seen).max(*version);
        }
        let lowest = hosts.iter().map(|(.., version)| *version).min();
        for table in &mut self.accepted {
            if table.in_force_at.is_none() && lowest.is_some_and(|lowest| lowest >= table.version) {
                table.in_force_at = Some(now);
            }
        }
    }

    /// Longest time from acceptance until a version was in force everywhere; versions that
    /// are not in force everywhere yet do not count.
    #[must_use]
    pub fn slowest(&self) -> Duration {
        self.accepted
            .iter()
            .filter_map(|table| Some(table.in_force_at? - table.at))
            .max()
            .unwrap_or_default()
    }

    /// Versions that took longer than `bound`, or have not spread for longer than `bound`.
    #[must_use]
    pub fn overdue(&self, bound: Duration, now: Time) -> Vec<String> {
        self.accepted
            .iter()
            .filter(|table| table.in_force_at.unwrap_or(now) - table.at > bound)
            .map(|table| format!("at {}: version {}", table.at, table.version))
            .collect()
    }
}
