//! What one host knows of one organisation's quota.

use crate::{
    hosts::{Hosts, Peer},
    ledger::{Limits, statement_interval},
};
use mulberryrack_core::Time;
use std::{collections::BTreeMap, time::Duration};

/// Parts of the permitted overshoot that go to the level's maximum and to shares of hosts that are
/// credited late. The rest covers what hosts spend before the others hear of it.
const CAPACITY_PART: f64 = 0.5;
const LATE_PART: f64 = 0.25;
/// Spending is compared between hosts over about this many seconds.
const RECENT_S: f64 = 2.0;
/// The level is low while it covers fewer than this many times the refill between two statements.
const LOW_REFILLS: f64 = 6.0;
/// Part of a low level that hosts may spend unheard by their share of the recent spending. The rest
/// is for hosts whose demand is new.
const RECENT_PART: f64 = 0.75;

#[derive(Clone, Debug)]
pub(crate) struct Account {
    rate: f64,
    burst: f64,
    level: f64,
    settled_at: Time,
    /// [`Hosts::heard_s`] up to which the shares of the other hosts are credited.
    heard_s: f64,
    /// What this host has spent, less what was given back.
    spent: u64,
    /// The highest `spent` so far. Statements never fall, so that they may overtake one another.
    pub(crate) total: u64,
    /// The total in the last statement.
    pub(crate) stated: u64,
    /// What the last statement that told something new added to the total.
    pub(crate) added: u64,
    pub(crate) changed_at: Option<Time>,
    /// Totals of other hosts by their incarnation, and [`Peer::silent_s`] up to which their shares
    /// are credited.
    heard: BTreeMap<u64, (u64, f64)>,
    recent_own: f64,
    recent_all: f64,
    /// Cost of the largest request of late.
    recent_largest: f64,
    was_cut_off: bool,
}

#[allow(clippy::cast_precision_loss)]
const fn units(count: u64) -> f64 {
    count as f64
}

impl Account {
    /// An account that is empty: after a restart it is unknown what was spent before.
    pub(crate) fn new(now: Time, hosts: &Hosts, rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: 0.0,
            settled_at: now,
            heard_s: hosts.heard_s(),
            spent: 0,
            total: 0,
            stated: 0,
            added: 0,
            changed_at: None,
            heard: BTreeMap::new(),
            recent_own: 0.0,
            recent_all: 0.0,
            recent_largest: 0.0,
            was_cut_off: false,
        }
    }

    pub(crate) fn set_limit(
        &mut self,
        now: Time,
        hosts: &Hosts,
        limits: &Limits,
        rate: f64,
        burst: f64,
    ) {
        self.settle(now, hosts, limits);
        (self.rate, self.burst) = (rate, burst);
        // Debts of a higher limit must not block a lower one for long.
        self.level = self.level.max(-self.lowest(limits));
    }

    /// Forgets the totals of processes that are no longer known.
    pub(crate) fn forget_hosts(&mut self, hosts: &Hosts) {
        self.heard.retain(|id, _| hosts.knows(*id));
    }

    fn overshoot(&self, limits: &Limits) -> f64 {
        limits.overshoot * self.lowest(limits)
    }

    /// What one window allows. A lower level than its negative comes of a false statement.
    fn lowest(&self, limits: &Limits) -> f64 {
        self.rate * limits.window.as_secs_f64() + self.burst
    }

    /// The highest level: the burst and a part of the overshoot, less the shares that are credited
    /// so late that they would come on top of a full bucket.
    fn capacity(&self, hosts: &Hosts, limits: &Limits) -> f64 {
        let share = hosts.usable_share();
        let overshoot = self.overshoot(limits);
        let late = LATE_PART * (overshoot + limits.slack);
        let excess = (self.rate * hosts.pending_s() - late).max(0.0);
        let capacity = (self.burst + CAPACITY_PART * overshoot) * share - excess;
        capacity.max(self.burst * share)
    }

    /// Credits the shares that have fallen due since the last call.
    pub(crate) fn settle(&mut self, now: Time, hosts: &Hosts, limits: &Limits) {
        let share_s = self.pass(now) + hosts.heard_s() - self.heard_s;
        let due = self.rate * share_s / hosts.count();
        self.level = (self.level + due).min(self.capacity(hosts, limits));
        self.heard_s = hosts.heard_s();
        if hosts.is_cut_off() && !self.was_cut_off {
            // A share of the burst is smaller than most requests, so that each host that is cut off
            // exceeds its share by one of them: beyond the slack, it is paid for beforehand.
            let spare = f64::midpoint(limits.slack, self.overshoot(limits)) / hosts.count();
            self.level -= (self.recent_largest - spare).max(0.0);
        }
        self.was_cut_off = hosts.is_cut_off();
    }

    /// Forgets a part of the recent spending, and returns the seconds since the last call.
    fn pass(&mut self, now: Time) -> f64 {
        let elapsed = now.since(self.settled_at).as_secs_f64();
        if elapsed > 0.0 {
            self.settled_at = now;
            let kept = (-elapsed / RECENT_S).exp();
            self.recent_own *= kept;
            self.recent_all *= kept;
            self.recent_largest *= kept;
        }
        elapsed
    }

    /// Whether a request of this cost may be sent: the level covers it or the whole burst, and,
    /// while the level is low, other hosts that spend as much unheard leave enough of it.
    fn covers(&self, cost: f64, hosts: &Hosts, limits: &Limits, interval: Duration) -> bool {
        if self.level < cost.min(self.burst * hosts.usable_share()) {
            return false;
        }
        let unheard = units(self.total - self.stated);
        let is_low = self.level < LOW_REFILLS * self.rate * interval.as_secs_f64();
        if !is_low || unheard <= 0.0 || self.burst_covers_unheard(hosts, limits) {
            return true;
        }
        let recent = if self.recent_all > 0.0 {
            self.recent_own / self.recent_all
        } else {
            0.0
        };
        let part = RECENT_PART * recent + (1.0 - RECENT_PART) / hosts.count();
        unheard + cost <= part * (self.level + unheard)
    }

    /// Whether all hosts together can spend for a moment at several times the rate without
    /// exceeding half of the slack.
    fn burst_covers_unheard(&self, hosts: &Hosts, limits: &Limits) -> bool {
        let interval = statement_interval(hosts.count()).as_secs_f64();
        LOW_REFILLS * self.rate * interval <= limits.slack / 2.0
    }

    /// Takes the cost, or returns the time until it may be taken and the level.
    pub(crate) fn charge(
        &mut self,
        now: Time,
        cost: u64,
        hosts: &Hosts,
        limits: &Limits,
    ) -> Result<(), (Duration, f64)> {
        self.settle(now, hosts, limits);
        let interval = statement_interval(hosts.count());
        if !self.covers(units(cost), hosts, limits, interval) {
            let share = hosts.usable_share();
            let missing = units(cost).min(self.burst * share) - self.level;
            let wait = (missing / (self.rate * share)).clamp(0.0, 3_600.0);
            return Err((Duration::from_secs_f64(wait), self.level));
        }
        self.level -= units(cost);
        self.recent_own += units(cost);
        self.recent_all += units(cost);
        self.recent_largest = self.recent_largest.max(units(cost));
        self.spent = self.spent.saturating_add(cost);
        if self.spent > self.total {
            self.total = self.spent;
            self.changed_at = Some(now);
        }
        Ok(())
    }

    pub(crate) fn give_back(&mut self, now: Time, cost: u64, hosts: &Hosts, limits: &Limits) {
        self.settle(now, hosts, limits);
        let capacity = self.capacity(hosts, limits);
        self.level = (self.level + units(cost)).min(capacity);
        self.spent = self.spent.saturating_sub(cost);
        // What no statement has told needs no later spending to make up for it.
        if self.total > self.stated {
            self.total = self.spent.max(self.stated);
        }
    }

    /// Records that a statement tells the total.
    pub(crate) fn state(&mut self) {
        self.added = self.total - self.stated;
        self.stated = self.total;
    }

    /// Deducts what another host has spent since its last statement that has arrived.
    pub(crate) fn hear(
        &mut self,
        now: Time,
        (incarnation, peer): (u64, Peer),
        (total, added): (u64, u64),
        hosts: &Hosts,
        limits: &Limits,
    ) {
        // What an older process spent earlier is not news; the level has started empty instead.
        let before = total.saturating_sub(added);
        let first = if peer.is_newer { 0 } else { before };
        let (known, silent_s) = self
            .heard
            .entry(incarnation)
            .or_insert((first, peer.silent_s));
        let news = units(total.saturating_sub(*known));
        let late_s = peer.silent_s - *silent_s;
        (*known, *silent_s) = (total.max(*known), peer.silent_s);
        if news > 0.0 || late_s > 0.0 {
            // The share of the host is credited first: the capacity applies to what is left.
            let elapsed = self.pass(now);
            let share_s = elapsed + hosts.heard_s() - self.heard_s;
            let late = (self.rate * late_s / hosts.count()).min(news);
            self.heard_s = hosts.heard_s();
            self.recent_all += news;
            let due = self.rate * share_s / hosts.count();
            let level = (self.level + due + late - news).min(self.capacity(hosts, limits));
            self.level = level.max(-self.lowest(limits));
        }
    }
}
