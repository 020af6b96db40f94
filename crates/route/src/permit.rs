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

use crate::{Output, Router, router::Timer, row::RowId};
use mulberryrack_core::{
    Incarnation, Name, Time,
    hash::rendezvous,
    view::{Peer, Standing},
};
use mulberryrack_wire::route::{Allow, Frame, Held, Keep, Recall, Survey, Want, frame::Body};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Starting without the platform's list takes this many times the usual wait.
const UNLISTED_SETTLE: u32 = 10;

/// A host's part of a row's ceiling, and what it lends as the lender.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// Highest term known.
    term: u64,
    /// The lender of that term.
    lender: Option<(Name, Incarnation)>,
    /// Sequence number of the last loan taken in this term.
    sequence: u64,
    /// Invariant: counted against the ceiling by the lender of every term that this
    /// host has accepted.
    allowance: u32,
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
    book: Option<Book>,
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

/// What a lender knows of one host.
#[derive(Debug)]
struct Loan {
    incarnation: Incarnation,
    /// `None` until the host has answered the survey.
    allowance: Option<u32>,
    sequence: u64,
    /// When its permits come back, for a host that is gone.
    back: Option<Time>,
}

/// What a lender knows of a row.
#[derive(Debug)]
struct Book {
    term: u64,
    loans: BTreeMap<Name, Vec<Loan>>,
    /// Hosts that want more, in the order in which they asked.
    wants: VecDeque<(Name, Incarnation, u32)>,
    /// When permits were last asked back.
    recalled: Option<Time>,
}

impl Book {
    /// Permits that no host holds; `None` while a host has not answered.
    fn pool(&self, ceiling: u32) -> Option<u32> {
        let lent = self
            .loans
            .values()
            .flatten()
            .map(|loan| loan.allowance)
            .sum::<Option<u32>>()?;
        Some(ceiling.saturating_sub(lent))
    }

    fn loan(&mut self, host: &str, incarnation: Incarnation) -> Option<&mut Loan> {
        self.loans
            .get_mut(host)?
            .iter_mut()
            .find(|loan| loan.incarnation == incarnation)
    }
}

fn frame(to: &Name, incarnation: Incarnation, body: Body) -> Output {
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
    fn lender(&self, id: RowId) -> Option<&Peer> {
        let row = &self.rows.get(id).line.name;
        let weight = |peer: &Peer| rendezvous(row, &peer.name, 1.0);
        self.view
            .able()
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

    fn look_later(&mut self, now: Time, id: RowId, pause: Duration) {
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
        let hosts = u32::try_from(self.view.able().count()).unwrap_or(u32::MAX);
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

    /// A host wants more; this one lends if it is the row's lender.
    fn lend_to(
        &mut self,
        now: Time,
        id: RowId,
        to: &Name,
        incarnation: Incarnation,
        more: u32,
        out: &mut Vec<Output>,
    ) {
        if self.lender(id).is_none_or(|peer| peer.name != self.me) {
            return;
        }
        self.open_book(id);
        let book = self
            .rows
            .get_mut(id)
            .permits
            .book
            .as_mut()
            .expect("just opened");
        match book.wants.iter_mut().find(|want| want.0 == *to) {
            Some(want) => (want.1, want.2) = (incarnation, more),
            None => book.wants.push_back((to.clone(), incarnation, more)),
        }
        self.survey(now, id, out);
        self.serve(now, id, out);
    }

    /// Starts a new term as the lender, unless this host is in one.
    fn open_book(&mut self, id: RowId) {
        let me = (self.me.clone(), self.incarnation);
        let permits = &mut self.rows.get_mut(id).permits;
        if permits.book.is_some() {
            return;
        }
        permits.term += 1;
        permits.sequence = 0;
        permits.lender = Some(me.clone());
        let own = Loan {
            incarnation: me.1,
            allowance: Some(permits.allowance),
            sequence: 0,
            back: None,
        };
        permits.book = Some(Book {
            term: permits.term,
            loans: BTreeMap::from([(me.0, vec![own])]),
            wants: VecDeque::new(),
            recalled: None,
        });
    }

    /// Asks every host that may hold permits and has not answered.
    fn survey(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let view = self.view.clone();
        let (pause, me) = (self.settings.permit_ask, self.me.clone());
        let row = self.rows.get_mut(id);
        let Some(book) = row.permits.book.as_mut() else {
            return;
        };
        let mut asked = false;
        for peer in view.peers.iter().filter(|peer| peer.name != me) {
            let loans = book.loans.entry(peer.name.clone()).or_default();
            let known = loans
                .iter()
                .any(|loan| loan.incarnation == peer.incarnation);
            if !known && peer.standing != Standing::Gone {
                loans.push(Loan {
                    incarnation: peer.incarnation,
                    allowance: None,
                    sequence: 0,
                    back: None,
                });
            }
            for loan in loans.iter().filter(|loan| loan.allowance.is_none()) {
                asked = true;
                let survey = Survey {
                    row: row.line.name.to_string(),
                    term: book.term,
                };
                out.push(frame(&peer.name, loan.incarnation, Body::Survey(survey)));
            }
        }
        if asked {
            self.look_later(now, id, pause);
        }
    }

    /// Whether the view of the hosts is whole enough to lend by.
    fn settled(&self, now: Time) -> bool {
        if self.listed_hosts.is_none() {
            return now >= self.started + self.settings.permit_settle * UNLISTED_SETTLE;
        }
        now >= self.started + self.settings.permit_settle && self.view_whole
    }

    /// Lends what is left to those who want it, or asks for permits back.
    fn serve(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let pause = self.settings.permit_ask;
        if !self.settled(now) {
            self.look_later(now, id, pause);
            return;
        }
        let me = self.me.clone();
        let row = self.rows.get_mut(id);
        let ceiling = row.line.ceiling;
        let name = row.line.name.to_string();
        let Some(book) = row.permits.book.as_mut() else {
            return;
        };
        let Some(mut pool) = book.pool(ceiling) else {
            return;
        };
        let mut mine = None;
        while pool > 0 {
            let Some((to, incarnation, more)) = book.wants.pop_front() else {
                break;
            };
            let term = book.term;
            let Some(loan) = book.loan(&to, incarnation) else {
                continue;
            };
            let given = more.min(pool);
            pool -= given;
            let allowance = loan.allowance.unwrap_or(0) + given;
            loan.allowance = Some(allowance);
            loan.sequence += 1;
            let allow = Allow {
                row: name.clone(),
                term,
                sequence: loan.sequence,
                allowance,
            };
            if to == me {
                mine = Some(allow);
            } else {
                out.push(frame(&to, incarnation, Body::Allow(allow)));
            }
        }
        let starved = !book.wants.is_empty();
        if let Some(allow) = mine {
            self.on_allow(now, &me, &allow);
        }
        if starved {
            self.recall(now, id, out);
        }
    }

    /// Asks the hosts that hold more than an equal part to give back the rest.
    fn recall(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let (pause, me) = (self.settings.permit_ask, self.me.clone());
        let row = self.rows.get_mut(id);
        let (name, ceiling) = (row.line.name.to_string(), row.line.ceiling);
        let Some(book) = row.permits.book.as_mut() else {
            return;
        };
        if book.recalled.is_some_and(|at| now < at + pause) {
            return;
        }
        book.recalled = Some(now);
        let holders: Vec<_> = book
            .loans
            .iter()
            .flat_map(|(host, loans)| loans.iter().map(move |loan| (host.clone(), loan)))
            .filter(|(_, loan)| loan.back.is_none())
            .map(|(host, loan)| (host, loan.incarnation, loan.allowance.unwrap_or(0)))
            .collect();
        let wants = |host: &Name| book.wants.iter().any(|want| want.0 == *host);
        let parties = holders
            .iter()
            .filter(|(host, _, held)| *held > 0 || wants(host))
            .count();
        let part = ceiling / u32::try_from(parties.max(1)).unwrap_or(u32::MAX);
        let term = book.term;
        let over: Vec<_> = holders
            .into_iter()
            .filter(|(host, _, held)| *held > part || (*held > 0 && !wants(host)))
            .collect();
        for (host, incarnation, _) in over {
            let recall = Recall {
                row: name.clone(),
                term,
                target: part,
            };
            if host == me {
                self.on_recall(now, &me, &recall, out);
            } else {
                out.push(frame(&host, incarnation, Body::Recall(recall)));
            }
        }
        self.look_later(now, id, pause);
    }

    /// Takes permits back whose holder has been gone for long enough.
    fn reclaim(&mut self, now: Time, id: RowId) {
        let Some(book) = self.rows.get_mut(id).permits.book.as_mut() else {
            return;
        };
        for loans in book.loans.values_mut() {
            loans.retain(|loan| loan.back.is_none_or(|back| back > now));
        }
        book.loans.retain(|_, loans| !loans.is_empty());
    }

    /// Looks through the loans after a change of the view.
    pub(crate) fn review_permits(&mut self, now: Time, out: &mut Vec<Output>) {
        let ids: Vec<_> = self
            .rows
            .ids()
            .filter(|id| self.rows.get(*id).permits.book.is_some())
            .collect();
        for id in ids {
            self.mark_gone(now, id);
            if self.lender(id).is_some_and(|peer| peer.name == self.me) {
                self.survey(now, id, out);
                self.serve(now, id, out);
            }
        }
    }

    fn mark_gone(&mut self, now: Time, id: RowId) {
        let view = self.view.clone();
        let pause = self.settings.permit_reclaim;
        let Some(book) = self.rows.get_mut(id).permits.book.as_mut() else {
            return;
        };
        let mut marked = false;
        for (host, loans) in &mut book.loans {
            let Some(peer) = view.peer(host) else {
                continue;
            };
            for loan in loans.iter_mut().filter(|loan| loan.back.is_none()) {
                let gone = loan.incarnation < peer.incarnation
                    || (loan.incarnation == peer.incarnation && peer.standing == Standing::Gone);
                if gone {
                    loan.back = Some(now + pause);
                    marked = true;
                }
            }
        }
        if marked {
            self.look_later(now, id, pause);
        }
    }

    pub(crate) fn on_want(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        want: &Want,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.rows.find(&want.row) else {
            return;
        };
        let permits = &mut self.rows.get_mut(id).permits;
        if want.term > permits.term {
            // Another lender came after this one.
            permits.term = want.term;
            permits.book = None;
        }
        let unheard = permits.book.as_ref().filter(|book| want.term < book.term);
        if let Some(book) = unheard {
            // It does not take loans of this term yet.
            let survey = Survey {
                row: want.row.clone(),
                term: book.term,
            };
            out.push(frame(from, incarnation, Body::Survey(survey)));
        }
        let lost = permits.book.as_mut().and_then(|book| {
            let term = book.term;
            let loan = book.loan(from, incarnation)?;
            let behind = want.term == term && want.sequence < loan.sequence;
            behind.then_some((term, loan.sequence, loan.allowance?))
        });
        if let Some((term, sequence, allowance)) = lost {
            let allow = Allow {
                row: want.row.clone(),
                term,
                sequence,
                allowance,
            };
            out.push(frame(from, incarnation, Body::Allow(allow)));
            return;
        }
        self.lend_to(now, id, from, incarnation, want.more, out);
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

    pub(crate) fn on_held(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        held: &Held,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.rows.find(&held.row) else {
            return;
        };
        let permits = &mut self.rows.get_mut(id).permits;
        if !held.accepted && held.term >= permits.term {
            // Its term is at least as high: the next survey goes above it.
            permits.term = held.term;
            permits.book = None;
            return;
        }
        let Some(book) = permits.book.as_mut().filter(|book| book.term == held.term) else {
            return;
        };
        let Some(loan) = book.loan(from, incarnation) else {
            return;
        };
        if held.accepted && loan.allowance.is_none() {
            loan.allowance = Some(held.allowance);
            self.serve(now, id, out);
        }
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

    pub(crate) fn on_keep(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        keep: &Keep,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.rows.find(&keep.row) else {
            return;
        };
        let Some(book) = self
            .rows
            .get_mut(id)
            .permits
            .book
            .as_mut()
            .filter(|book| book.term == keep.term)
        else {
            return;
        };
        let Some(loan) = book.loan(from, incarnation) else {
            return;
        };
        // With a newer loan on its way the host will hold that one, whatever it held.
        if loan.sequence == keep.sequence
            && let Some(allowance) = &mut loan.allowance
        {
            *allowance = keep.allowance.min(*allowance);
            self.serve(now, id, out);
        }
    }
}
