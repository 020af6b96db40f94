//! The quotas of all organisations at one host.

use crate::{account::Account, hosts::Hosts};
use mulberryrack_core::{Time, hash};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest and shortest time between two statements of totals that no notice carries. A host that
/// has fewer others states them more often, as that costs less.
const MAX_STATEMENT_INTERVAL: Duration = Duration::from_millis(250);
const MIN_STATEMENT_INTERVAL: Duration = Duration::from_millis(50);
const STATEMENT_INTERVAL_PER_HOST_S: f64 = 0.0015;
/// Totals that have changed within this time are stated again.
const REPEAT_PERIOD: Duration = Duration::from_secs(2);
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Older totals that a keep-alive carries in turn, for hosts that missed all statements of them.
const OLD_TOTALS: usize = 2;
/// Most totals in one statement: with at most 20 bytes each they fit in a datagram.
const MAX_TOTALS: usize = 40;

/// How far quotas may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share of the quota by which it may be exceeded.
    pub overshoot: f64,
    /// Units by which it may be exceeded beyond that share.
    pub slack: f64,
}

/// Shortest time between two statements of totals that no notice carries.
pub(crate) fn statement_interval(hosts: f64) -> Duration {
    Duration::from_secs_f64(hosts * STATEMENT_INTERVAL_PER_HOST_S)
        .clamp(MIN_STATEMENT_INTERVAL, MAX_STATEMENT_INTERVAL)
}

/// The quota of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The organisation, as [`Ledger::id`] returns it.
    pub organisation: u64,
    /// Units that fall due each second.
    pub rate_per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
}

/// What a host has spent for an organisation since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Total {
    /// The organisation.
    pub organisation: u64,
    /// Units spent; never falls during the life of a process.
    pub spent: u64,
    /// What the last statement that told something new added: a host that hears of the total for
    /// the first time takes the rest as spent before its own start.
    pub added: u64,
}

impl Total {
    const fn of(organisation: u64, account: &Account) -> Self {
        Self {
            organisation,
            spent: account.total,
            added: account.added,
        }
    }
}

/// Proof of a charge, with which it is given back. It cannot be copied, so that no charge is given
/// back twice.
#[derive(Debug, PartialEq, Eq)]
pub struct Receipt {
    organisation: u64,
    cost: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denied {
    /// Time until the level covers the request.
    pub retry_after: Duration,
    /// The level of the organisation at this host.
    pub level: f64,
}

/// The quotas of all organisations at one host.
#[derive(Clone, Debug)]
pub struct Ledger {
    incarnation: u64,
    limits: Limits,
    accounts: BTreeMap<u64, Account>,
    hosts: Hosts,
    /// Whether an organisation has a total that no statement has told.
    has_news: bool,
    /// Whether the keep-alives have their place among those of the other hosts.
    is_staggered: bool,
    stated_at: Time,
    repeated_at: Time,
    /// The last of the older totals that a keep-alive carried.
    turn: u64,
}

impl Ledger {
    /// Creates a ledger without organisations and other hosts, for a process with this
    /// incarnation.
    #[must_use]
    pub const fn new(limits: Limits, incarnation: u64) -> Self {
        Self {
            incarnation,
            limits,
            accounts: BTreeMap::new(),
            hosts: Hosts::new(),
            has_news: false,
            is_staggered: false,
            stated_at: Time::ZERO,
            repeated_at: Time::ZERO,
            turn: 0,
        }
    }

    /// The number by which hosts name an organisation to each other.
    #[must_use]
    pub fn id(name: &str) -> u64 {
        hash::stable(name.as_bytes(), 0)
    }

    /// Whether no organisation has a quota: nothing is counted or sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Sets the quotas that are in force from now on.
    pub fn set_quotas(&mut self, now: Time, quotas: &[Limit]) {
        let is_kept = |id: &u64| quotas.iter().any(|it| it.organisation == *id);
        self.accounts.retain(|id, _| is_kept(id));
        self.review(now);
        let Self { hosts, limits, .. } = self;
        for quota in quotas {
            let (rate, burst) = (quota.rate_per_s, quota.burst);
            self.accounts
                .entry(quota.organisation)
                .and_modify(|account| account.set_limit(now, hosts, limits, rate, burst))
                .or_insert_with(|| Account::new(now, hosts, rate, burst));
        }
    }

    /// Ceases to count hosts that have departed, and counts those that are heard.
    fn review(&mut self, now: Time) {
        if self.hosts.is_expiry_due(now) {
            // The larger shares apply from now on, also where nothing was credited for a while.
            for account in self.accounts.values_mut() {
                account.settle(now, &self.hosts, &self.limits);
            }
        }
        if self.hosts.review(now) {
            for account in self.accounts.values_mut() {
                account.forget_hosts(&self.hosts);
            }
        }
    }

    /// Sets the incarnations of the other registered hosts. A host that is no longer registered may
    /// still be spending: it counts, and what it states is deducted, for a time after that.
    pub fn set_hosts(&mut self, now: Time, incarnations: &BTreeSet<u64>) {
        self.hosts.set(now, incarnations);
        if !self.is_staggered {
            // Hosts that start at once would otherwise all be heard at once, and then nobody.
            self.is_staggered = true;
            let interval = self.hosts.keep_alive_interval();
            let thousandth = u32::try_from(self.incarnation % 1_000).unwrap_or(0);
            self.stated_at = now + interval * thousandth / 1_000;
        }
    }

    /// Charges an organisation for a request; `Ok(None)` if it has no quota.
    ///
    /// # Errors
    ///
    /// The quota is used up; nothing is charged.
    pub fn charge(
        &mut self,
        now: Time,
        organisation: u64,
        cost: u64,
    ) -> Result<Option<Receipt>, Denied> {
        self.review(now);
        let Some(account) = self.accounts.get_mut(&organisation) else {
            return Ok(None);
        };
        account
            .charge(now, cost, &self.hosts, &self.limits)
            .map_err(|(wait, level)| Denied {
                retry_after: wait.max(MIN_RETRY_DELAY),
                level,
            })?;
        self.has_news |= account.total > account.stated;
        Ok(Some(Receipt { organisation, cost }))
    }

    /// Gives back what a request was charged that was not executed.
    #[allow(clippy::needless_pass_by_value)] // A receipt is used once.
    pub fn give_back(&mut self, now: Time, receipt: Receipt) {
        let Receipt { organisation, cost } = receipt;
        self.review(now);
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.give_back(now, cost, &self.hosts, &self.limits);
        }
    }

    /// Records totals that another host has stated. A host that has no registration counts as one
    /// of the hosts for a time: it may be leaving, or its registration may have lapsed.
    pub fn hear(&mut self, now: Time, incarnation: u64, totals: impl IntoIterator<Item = Total>) {
        if self.accounts.is_empty() {
            return;
        }
        let Some(peer) = self.hosts.hear(now, incarnation) else {
            return;
        };
        self.review(now);
        for Total {
            organisation,
            spent,
            added,
        } in totals
        {
            if let Some(account) = self.accounts.get_mut(&organisation) {
                let host = (incarnation, peer);
                account.hear(now, host, (spent, added), &self.hosts, &self.limits);
            }
        }
    }

    /// The totals that no statement has told, to be sent to all other hosts with a datagram that is
    /// sent anyway.
    ///
    /// At most `max` are taken, as many as the datagram has room for; the rest stays due.
    pub fn take_news(&mut self, now: Time, max: usize) -> Vec<Total> {
        if !self.has_news || max == 0 {
            return Vec::new();
        }
        self.has_news = false;
        self.stated_at = now;
        let mut totals = Vec::new();
        for (organisation, account) in &mut self.accounts {
            if account.total <= account.stated {
                continue;
            }
            if totals.len() == max {
                self.has_news = true;
                break;
            }
            account.state();
            totals.push(Total::of(*organisation, account));
        }
        totals
    }

    /// Time at which a statement of its own is due.
    #[must_use]
    pub fn next_statement(&self) -> Time {
        if self.accounts.is_empty() {
            return Time::MAX;
        }
        let keep_alive = self.stated_at + self.hosts.keep_alive_interval();
        let news = self.stated_at + statement_interval(self.hosts.count());
        if self.has_news {
            keep_alive.min(news)
        } else {
            keep_alive
        }
    }

    /// The totals to be sent to all other hosts in a datagram of their own, if that is due. They
    /// may be none: the datagram shows that this host spends nothing.
    pub fn poll(&mut self, now: Time) -> Option<Vec<Total>> {
        self.review(now);
        if now < self.next_statement() {
            return None;
        }
        let mut totals = self.take_news(now, MAX_TOTALS);
        self.stated_at = now;
        if now.since(self.repeated_at) >= REPEAT_INTERVAL {
            self.repeated_at = now;
            self.add_recent(now, &mut totals);
        }
        self.add_old(&mut totals);
        Some(totals)
    }

    /// Adds the totals that have changed a short time ago, which makes up for lost datagrams.
    fn add_recent(&self, now: Time, totals: &mut Vec<Total>) {
        for (organisation, account) in &self.accounts {
            let is_recent = |at: Time| now.since(at) <= REPEAT_PERIOD;
            if account.changed_at.is_some_and(is_recent) {
                add(totals, *organisation, account);
            }
        }
    }

    fn add_old(&mut self, totals: &mut Vec<Total>) {
        let later = self.accounts.range(self.turn.saturating_add(1)..);
        let in_turn = later.chain(self.accounts.range(..=self.turn));
        let changed = in_turn.filter(|(_, account)| account.total > 0);
        let mut turn = self.turn;
        for (organisation, account) in changed.take(OLD_TOTALS) {
            add(totals, *organisation, account);
            turn = *organisation;
        }
        self.turn = turn;
    }
}

fn add(totals: &mut Vec<Total>, organisation: u64, account: &Account) {
    let is_listed = totals.iter().any(|it| it.organisation == organisation);
    if !is_listed && totals.len() < MAX_TOTALS {
        totals.push(Total::of(organisation, account));
    }
}
