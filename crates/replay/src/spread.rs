//! How an accepted table reaches the hosts of a replay.

use mulberryrack_core::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

#[derive(Clone, Debug)]
struct Accepted {
    version: u64,
    at: Time,
    everywhere: Option<Time>,
}

/// What is seen of the spread.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    accepted: Vec<Accepted>,
    /// Highest version seen on each life of a host.
    seen: BTreeMap<(Name, u64), u64>,
    /// Lives that went back to a lower version.
    pub reverted: Vec<String>,
}

impl Spread {
    /// A version was accepted.
    pub fn accept(&mut self, version: u64, at: Time) {
        self.accepted.push(Accepted {
            version,
            at,
            everywhere: None,
        });
    }

    /// Versions in force on the hosts that run and can be reached.
    pub fn look(&mut self, now: Time, hosts: &[(Name, u64, u64)]) {
        for (name, life, version) in hosts {
            let seen = self.seen.entry((name.clone(), *life)).or_default();
            if version < seen {
                self.reverted
                    .push(format!("at {now}: {name} from {seen} to {version}"));
            }
            *seen = (*seen).max(*version);
        }
        let least = hosts.iter().map(|(.., version)| *version).min();
        for one in &mut self.accepted {
            if one.everywhere.is_none() && least.is_some_and(|least| least >= one.version) {
                one.everywhere = Some(now);
            }
        }
    }

    /// The slowest spread that has ended.
    #[must_use]
    pub fn slowest(&self) -> Duration {
        self.accepted
            .iter()
            .filter_map(|one| Some(one.everywhere? - one.at))
            .max()
            .unwrap_or_default()
    }

    /// Versions that took longer than the bound.
    #[must_use]
    pub fn broken(&self, bound: Duration, now: Time) -> Vec<String> {
        self.accepted
            .iter()
            .filter(|one| one.everywhere.unwrap_or(now) - one.at > bound)
            .map(|one| format!("at {}: version {}", one.at, one.version))
            .collect()
    }
}
