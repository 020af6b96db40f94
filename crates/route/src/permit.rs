//! The ceiling on a row's concurrent requests, held over all hosts.
//!
//! For each row one host, the winner of rendezvous hashing over the able hosts, lends
//! permits to the others. Safety rests on possession alone, not on clocks:
//!
//! * A host uses no more than its allowance. Only its lender raises it, and only the
//!   host itself lowers it.
//! * A new lender first surveys every host that is not certainly gone. A host that
//!   answers takes permits from no lender of a lower term any more. Until all have
//!   answered the new lender lends nothing; hosts go on with what they hold.
//! * Permits of a host that is gone come back after a pause in which its requests end
//!   at the upstreams.

use crate::{Output, Router, lender::Book, router::Timer, row::RowId};
use mulberryrack_core::{Incarnation, Name, Time, hash::rendezvous, view::Peer};
use mulberryrack_wire::route::{Allow, Frame, Held, Keep, Recall, Survey, Want, frame::Body};
use std::time::Duration;

/// A host's part of a row's ceiling, and what it lends as the lender.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// Highest term known.
    pub term: u64,
    /// The lender of that term.
    pub lender: Option<(Name, Incarnation)>,
    /// Sequence number of the last loan taken in this term.
    pub sequence: u64,
    /// Invariant: counted against the ceiling by the lender of every term that this
    /// host has accepted.
    pub allowance: u32,
    /// Requests that hold a permit.
    used: u32,
    /// Most used since the last look.
    peak: u32,
    /// The lender wants everything above this back.
    target: Option<u32>,
    /// When more was asked for.
    asked: Option<Time>,
    /// When the next look is due.
    timer: Option<Time>,
    pub book: Option<Book>,
}

impl Permits {
    pub fn take(&mut self) {
        self.used += 1;
        self.peak = self.peak.max(self.used);
    }

    pub fn release(&mut self) {
        self.used -= 1;
    }

    fn free(&self) -> u32 {
        self.allowance.saturating_sub(self.used)
    }

    /// Gives everything above `floor` back that is not in use.
    fn lower(&mut self, floor: u32) -> bool {
        let least = self.used.max(floor).min(self.allowance);
        let lowered = least < self.allowance;
        self.allowance = least;
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
    /// Whether this host has no permit left for a row.
    pub(crate) fn at_ceiling(&self, id: RowId) -> bool {
        self.rows.get(id).permits.free() == 0
    }

    /// The host that lends a row's permits, as this host sees it.
    pub(crate) fn lender(&self, id: RowId) -> Option<&Peer> {
        let row = &self.rows.get(id).line.name;
        let weight = |peer: &Peer| rendezvous(row, &peer.name, 1.0);
        self.view
            .eligible()
            .max_by(|one, other| weight(one).total_cmp(&weight(other)))
    }

    /// Asks for permits for what waits; again only after a pause.
    pub(crate) fn want_permits(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let pause = self.settings.permit_ask;
        let permits = &mut self.rows.get_mut(id).permits;
        if permits.asked.is_some_and(|asked| now < asked + pause) {
            return;
        }
        permits.asked = Some(now);
        self.look_later(now, id, pause);
        self.ask_permits(now, id, out);
    }

    fn ask_permits(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let Some((to, incarnation)) = self
            .lender(id)
            .map(|peer| (peer.name.clone(), peer.incarnation))
        else {
            return;
        };
        let row = self.rows.get(id);
        let waiting = u32::try_from(row.queue.len()).unwrap_or(u32::MAX);
        // A few more than are needed now, so that the next requests need not ask.
        let more = waiting.saturating_add(row.line.ceiling / 16);
        let want = Want {
            row: row.line.name.to_string(),
            term: row.permits.term,
            sequence: row.permits.sequence,
            more,
        };
        if to == self.me {
            self.lend_to(now, id, &to, self.incarnation, more, out);
        } else {
            out.push(frame(&to, incarnation, Body::Want(want)));
        }
    }

    pub(crate) fn look_later(&mut self, now: Time, id: RowId, pause: Duration) {
        let permits = &mut self.rows.get_mut(id).permits;
        let due = now + pause;
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
        self.reclaim(now, id);
        if self.rows.get(id).permits.book.is_some() {
            self.survey(now, id, out);
            self.serve(now, id, out);
        }
        let reserve = self.reserve(now, id);
        let row = self.rows.get_mut(id);
        let waiting = !row.queue.is_empty();
        let permits = &mut row.permits;
        if waiting && permits.free() == 0 {
            permits.asked = None;
            self.want_permits(now, id, out);
            return;
        }
        let peak = std::mem::replace(&mut permits.peak, permits.used);
        if permits.lower(peak.max(reserve)) {
            self.tell_kept(now, id, out);
        }
        let busy = self.rows.get(id).permits.allowance > 0;
        if busy
            || self
                .rows
                .get(id)
                .permits
                .book
                .as_ref()
                .is_some_and(|book| !book.wants.is_empty())
        {
            self.look_later(now, id, self.settings.permit_idle);
        }
    }

    /// Idle permits that a host keeps for a row that it served lately, so that the next
    /// requests, and the loss of the lender, find some here.
    fn reserve(&self, now: Time, id: RowId) -> u32 {
        let row = self.rows.get(id);
        if self.leaving || row.watched.is_none_or(|until| until <= now) {
            return 0;
        }
        let hosts = u32::try_from(self.view.eligible().count()).unwrap_or(u32::MAX);
        row.line.ceiling / hosts.saturating_mul(2).max(1)
    }

    /// Gives permits back that the lender has asked for, after a request has ended.
    pub(crate) fn give_back(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let leaving = self.leaving;
        let row = self.rows.get_mut(id);
        let permits = &mut row.permits;
        let floor = if leaving && row.queue.is_empty() {
            Some(0)
        } else {
            permits.target
        };
        let Some(floor) = floor else { return };
        let lowered = permits.lower(floor);
        if permits
            .target
            .is_some_and(|target| permits.allowance <= target)
        {
            permits.target = None;
        }
        if lowered {
            self.tell_kept(now, id, out);
        }
    }

    /// Gives all idle permits back, on leaving.
    pub(crate) fn return_permits(&mut self, now: Time, out: &mut Vec<Output>) {
        let ids: Vec<_> = self.rows.ids().collect();
        for id in ids {
            self.give_back(now, id, out);
        }
    }

    /// Tells the lender what this host still holds.
    fn tell_kept(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let row = self.rows.get(id);
        let permits = &row.permits;
        let Some((to, incarnation)) = permits.lender.clone() else {
            return;
        };
        let keep = Keep {
            row: row.line.name.to_string(),
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

    pub(crate) fn on_survey(
        &mut self,
        from: &Name,
        incarnation: Incarnation,
        survey: &Survey,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.rows.find(&survey.row) else {
            // A host that does not know the row yet holds nothing of it, and takes
            // nothing of it from an older lender: it asks first, with the newest term.
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
        let again = survey.term == permits.term && permits.lender.as_ref() == Some(&lender);
        let accepted = again || survey.term > permits.term;
        if accepted && !again {
            permits.term = survey.term;
            permits.lender = Some(lender);
            permits.sequence = 0;
            permits.target = None;
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
        permits.asked = None;
        permits.target = None;
        self.ready.insert(id);
        self.look_later(now, id, self.settings.permit_idle);
    }

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
        // Idle permits go back whatever the target is, unless something waits for them.
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
            permits.target = Some(recall.target);
        }
        if permits.lower(floor) {
            self.tell_kept(now, id, out);
        }
    }
}
