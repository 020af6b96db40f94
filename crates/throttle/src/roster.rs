//! Which host gives the tokens of an upstream.
//!
//! Each upstream is assigned to a host by rendezvous hashing over the registered hosts, and to a
//! second one that gives a part of the tokens to hosts that do not reach the first. Hosts learn
//! of changes at different times. So that no two give all tokens of an upstream at once, a host
//! does so only once it has been registered for as long as others may take to learn of it, and
//! while its registration is certain to be in force: the next one learns that a host is gone when
//! its registration has ended.

use mulberryrack_core::{Name, Time, hash};
use std::time::Duration;

/// What a host may do for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gives all tokens.
    First,
    /// It gives a part of them, beside the one that gives them all.
    Second,
}

/// The hosts, as one of them knows them.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Option<Name>,
    hosts: Vec<Name>,
    /// Since when this host has been among them; `None` if it is not.
    listed_since: Option<Time>,
    /// Longest time within which all hosts learn of a change.
    handover: Duration,
    /// Time until which this host's registration is certain to be in force.
    registered_until: Time,
}

impl Roster {
    /// Creates a roster without hosts. `handover` is the time within which all hosts learn of a
    /// change.
    #[must_use]
    pub const fn new(handover: Duration) -> Self {
        Self {
            own: None,
            hosts: Vec::new(),
            listed_since: None,
            handover,
            registered_until: Time::ZERO,
        }
    }

    /// Name of this host; `None` until it knows the hosts.
    #[must_use]
    pub const fn own(&self) -> Option<&Name> {
        self.own.as_ref()
    }

    /// Sets the hosts from now on, and which of them is this one.
    pub fn set_hosts(&mut self, now: Time, own: &Name, hosts: &[Name]) {
        self.own = Some(own.clone());
        self.hosts = hosts.to_vec();
        let is_listed = hosts.contains(own);
        self.listed_since = is_listed.then(|| self.listed_since.unwrap_or(now));
    }

    /// Records that this host's registration lasts until a time; [`Time::ZERO`] if it has ended.
    pub fn set_registered_until(&mut self, until: Time) {
        self.registered_until = until;
    }

    /// The hosts that give the tokens of an upstream, the first one first.
    #[must_use]
    pub fn givers(&self, upstream: &str) -> [Option<&Name>; 2] {
        let seed = hash::stable(upstream.as_bytes(), 0);
        let mut best: [Option<(u64, &Name)>; 2] = [None, None];
        for host in &self.hosts {
            let weighed = Some((hash::stable(host.as_bytes(), seed), host));
            if weighed > best[0] {
                best = [weighed, best[0]];
            } else if weighed > best[1] {
                best[1] = weighed;
            }
        }
        best.map(|it| it.map(|(_, host)| host))
    }

    /// What this host may do for an upstream now.
    #[must_use]
    pub fn standing(&self, now: Time, upstream: &str) -> Option<Standing> {
        let own = self.own.as_ref()?;
        let is_known = now >= self.listed_since? + self.handover;
        let [first, second] = self.givers(upstream);
        if !is_known || (first != Some(own) && second != Some(own)) {
            return None;
        }
        let is_first = first == Some(own) && now < self.registered_until;
        Some(if is_first {
            Standing::First
        } else {
            Standing::Second
        })
    }
}
