//! The ceiling on a row's concurrent requests, enforced over all hosts by permits.
//!
//! For each row one host lends permits to the others: the winner of rendezvous hashing over
//! the hosts that take duties. Safety does not depend on clocks, only on who holds permits:
//!
//! * A host uses no more than its allowance. Only its lender raises the allowance, and only
//!   the host itself lowers it.
//! * A new lender starts a term and first surveys every host that is not certainly gone. A
//!   host that answers accepts no more loans from lenders of lower terms. Until all hosts
//!   have answered, the new lender lends nothing and hosts continue with their allowances.
//! * Permits of a host that is gone can be lent again after a delay in which its requests
//!   end at the upstreams.

use crate::{Output, Router, lender::LoanBook, router::Timer, row::RowId};
use mulberryrack_core::{Incarnation, Name, Time, hash::rendezvous, view::Peer};
use mulberryrack_wire::route::{Allow, Frame, Held, Keep, Recall, Survey, Want, frame::Body};
use std::time::Duration;

/// A host's permits for a row and, on the lender, the loans to all hosts.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// Highest known term.
    pub term: u64,
    /// The lender of that term.
    pub lender: Option<(Name, Incarnation)>,
    /// Sequence number of the last loan received in this term.
    pub sequence: u64,
    /// Maximum number of requests of the row that this host may run.
    ///
    /// Invariant: counted against the ceiling by the lender of every term that this host
    /// has accepted.
    pub allowance: u32,
    /// Requests that hold a permit.
    used: u32,
    /// Maximum of `used` since the last check for idle permits.
    peak: u32,
    /// Allowance to which the lender has asked this host to go down.
    recall_target: Option<u32>,
    /// When more permits were requested; `None` once a loan has arrived.
    asked_at: Option<Time>,
    /// When the row's permit timer is due.
    timer: Option<Time>,
    /// Loans to all hosts, while this host is the lender.
    pub book: Option<LoanBook>,
}

impl Permits {
    pub fn acquire(&mut self) {
        self.used += 1;
        self.peak = self.peak.max(self.used);
    }

    pub fn release(&mut self) {
        self.used -= 1;
    }

    fn free(&self) -> u32 {
        self.allowance.saturating_sub(self.used)
    }

    /// Lowers the allowance to `floor`, but not below the permits in use. Returns whether it
    /// was lowered.
    fn give_up_idle(&mut self, floor: u32) -> bool {
        let lowest = self.used.max(floor).min(self.allowance);
        let lowered = lowest < self.allowance;
        self.allowance = lowest;
        lowered
    }
}

pub(crate) fn frame(to: &Name, incarnation: Incarnation, body: Body) -> Output {
    Output::Frame {
        to: to.clone(),
        incarnation: Some(incarnation),
        frame: Frame { body: Some(body) },
    }
}

impl Router {
    /// Whether this host has no free permit for a row.
    pub(crate) fn at_ceiling(&self, id: RowId) -> bool {
        self.rows.get(id).permits.free() == 0
    }

    /// The host that lends a row's permits, in this host's view.
    pub(crate) fn lender(&self, id: RowId) -> Option<&Peer> {
        let row = &self.rows.get(id).definition.name;
        let weight = |peer: &Peer| rendezvous(row, &peer.name, 1.0);
        self.view
            .eligible()
            .max_by(|one, other| weight(one).total_cmp(&weight(other)))
    }

    /// Requests permits for the queued requests, at most once per `permit_ask_interval`.
    pub(crate) fn request_permits(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let delay = self.settings.permit_ask_interval;
        let permits = &mut self.rows.get_mut(id).permits;
        if permits.asked_at.is_some_and(|asked| now < asked + delay) {
            return;
        }
        permits.asked_at = Some(now);
        self.set_permit_timer(now, id, delay);
        self.send_want(now, id, out);
    }

    /// Asks the row's lender for permits for the queued requests.
    fn send_want(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let Some((to, incarnation)) = self
            .lender(id)
            .map(|peer| (peer.name.clone(), peer.incarnation))
        else {
            return;
        };
        let row = self.rows.get(id);
        let waiting = u32::try_from(row.queue.len()).unwrap_or(u32::MAX);
        // Asks for a few permits more than are needed, so that the next requests need not
        // wait for theirs.
        let more = waiting.saturating_add(row.definition.ceiling / 16);
        let want = Want {
            row: row.definition.name.to_string(),
            term: row.permits.term,
            sequence: row.permits.sequence,
            more,
        };
        if to == self.me {
            self.on_loan_request(now, id, &to, self.incarnation, more, out);
        } else {
            out.push(frame(&to, incarnation, Body::Want(want)));
        }
    }

    pub(crate) fn set_permit_timer(&mut self, now: Time, id: RowId, delay: Duration) {
        let permits = &mut self.rows.get_mut(id).permits;
        let due = now + delay;
        if permits.timer.is_some_and(|timer| timer <= due) {
            return;
        }
        if let Some(timer) = permits.timer.replace(due) {
            self.timers.remove(&(timer, Timer::Permit(id)));
        }
        self.timers.insert((due, Timer::Permit(id)));
    }

    pub(crate) fn on_permit_timer(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        self.rows.get_mut(id).permits.timer = None;
        self.drop_expired_loans(now, id);
        if self.rows.get(id).permits.book.is_some() {
            self.send_surveys(now, id, out);
            self.lend(now, id, out);
        }
        let reserve = self.idle_reserve(now, id);
        let row = self.rows.get_mut(id);
        let waiting = !row.queue.is_empty();
        let permits = &mut row.permits;
        if waiting && permits.free() == 0 {
            permits.asked_at = None;
            self.request_permits(now, id, out);
            return;
        }
        let peak = std::mem::replace(&mut permits.peak, permits.used);
        if permits.give_up_idle(peak.max(reserve)) {
            self.send_keep(now, id, out);
        }
        let busy = self.rows.get(id).permits.allowance > 0;
        if busy
            || self
                .rows
                .get(id)
                .permits
                .book
                .as_ref()
                .is_some_and(|book| !book.pending_wants.is_empty())
        {
            self.set_permit_timer(now, id, self.settings.permit_idle_period);
        }
    }

    /// Idle permits that a host keeps for a row with recent requests, so that the next
    /// requests can be dispatched at once, also while the lender is being replaced.
    fn idle_reserve(&self, now: Time, id: RowId) -> u32 {
        let row = self.rows.get(id);
        if self.leaving || row.watched.is_none_or(|until| until <= now) {
            return 0;
        }
        let hosts = u32::try_from(self.view.eligible().count()).unwrap_or(u32::MAX);
        row.definition.ceiling / hosts.saturating_mul(2).max(1)
    }

    /// Returns free permits that the lender has recalled; a leaving host returns all.
    pub(crate) fn return_recalled_permits(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let leaving = self.leaving;
        let row = self.rows.get_mut(id);
        let permits = &mut row.permits;
        let floor = if leaving && row.queue.is_empty() {
            Some(0)
        } else {
            permits.recall_target
        };
        let Some(floor) = floor else { return };
        let lowered = permits.give_up_idle(floor);
        if permits
            .recall_target
            .is_some_and(|target| permits.allowance <= target)
        {
            permits.recall_target = None;
        }
        if lowered {
            self.send_keep(now, id, out);
        }
    }

    /// Returns idle permits of all rows, when this host leaves.
    pub(crate) fn return_idle_permits(&mut self, now: Time, out: &mut Vec<Output>) {
        let ids: Vec<_> = self.rows.ids().collect();
        for id in ids {
            self.return_recalled_permits(now, id, out);
        }
    }

    /// Tells the lender the allowance that this host still has.
    fn send_keep(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let row = self.rows.get(id);
        let permits = &row.permits;
        let Some((to, incarnation)) = permits.lender.clone() else {
            return;
        };
        let keep = Keep {
            row: row.definition.name.to_string(),
            term: permits.term,
            sequence: permits.sequence,
            allowance: permits.allowance,
        };
        if to == self.me {
            let me = self.me.clone();
            self.on_keep(now, &me, self.incarnation, &keep, out);
        } else {
            out.push(frame(&to, incarnation, Body::Keep(keep)));
        }
    }

    /// Handles a lender's survey: accepts its term if that is higher than the known one, and
    /// answers with this host's allowance.
    pub(crate) fn on_survey(
        &mut self,
        from: &Name,
        incarnation: Incarnation,
        survey: &Survey,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.rows.find(&survey.row) else {
            // A host that does not know the row has no permits for it. Once it knows the row,
            // it accepts no loan before it has accepted a survey of the lender.
            let held = Held {
                row: survey.row.clone(),
                term: survey.term,
                accepted: true,
                allowance: 0,
            };
            out.push(frame(from, incarnation, Body::Held(held)));
            return;
        };
        let permits = &mut self.rows.get_mut(id).permits;
        let lender = (from.clone(), incarnation);
        let repeated = survey.term == permits.term && permits.lender.as_ref() == Some(&lender);
        let accepted = repeated || survey.term > permits.term;
        if accepted && !repeated {
            permits.term = survey.term;
            permits.lender = Some(lender);
            permits.sequence = 0;
            permits.recall_target = None;
            permits.book = None;
        }
        let held = Held {
            row: survey.row.clone(),
            term: permits.term,
            accepted,
            allowance: permits.allowance,
        };
        out.push(frame(from, incarnation, Body::Held(held)));
    }

    /// Handles a loan, which sets this host's allowance. Ignores loans of other terms and
    /// those that a newer loan has overtaken.
    pub(crate) fn on_allow(&mut self, now: Time, from: &Name, allow: &Allow) {
        let Some(id) = self.rows.find(&allow.row) else {
            return;
        };
        let permits = &mut self.rows.get_mut(id).permits;
        let expected = permits
            .lender
            .as_ref()
            .is_some_and(|lender| lender.0 == *from)
            && allow.term == permits.term
            && allow.sequence > permits.sequence;
        if !expected {
            return;
        }
        permits.sequence = allow.sequence;
        permits.allowance = allow.allowance;
        permits.asked_at = None;
        permits.recall_target = None;
        self.rows_to_dispatch.insert(id);
        self.set_permit_timer(now, id, self.settings.permit_idle_period);
    }

    /// Handles the lender's request to lower the allowance to a target: returns free permits
    /// now, and those in use as their requests end.
    pub(crate) fn on_recall(
        &mut self,
        now: Time,
        from: &Name,
        recall: &Recall,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.rows.find(&recall.row) else {
            return;
        };
        let row = self.rows.get_mut(id);
        // Idle permits are returned below the target too, unless queued requests need
        // them.
        let floor = if row.queue.is_empty() {
            0
        } else {
            recall.target
        };
        let permits = &mut row.permits;
        let lender = permits.lender.as_ref().map(|lender| &lender.0);
        if lender != Some(from) || recall.term != permits.term {
            return;
        }
        if permits.allowance > recall.target {
            permits.recall_target = Some(recall.target);
        }
        if permits.give_up_idle(floor) {
            self.send_keep(now, id, out);
        }
    }
}
