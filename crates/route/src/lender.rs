//! The lender's side of a row's permits; the rules are in the module `permit`.

use crate::{Output, Router, permit::frame, row::RowId};
use mulberryrack_core::{Incarnation, Name, Time, view::Standing};
use mulberryrack_wire::route::{Allow, Held, Keep, Recall, Survey, Want, frame::Body};
use std::collections::{BTreeMap, VecDeque};

/// Starting without the platform's list takes this many times the usual wait.
const UNLISTED_SETTLE: u32 = 10;

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
pub(crate) struct Book {
    term: u64,
    loans: BTreeMap<Name, Vec<Loan>>,
    /// Hosts that want more, in the order in which they asked.
    pub wants: VecDeque<(Name, Incarnation, u32)>,
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

impl Router {
    /// A host wants more; this one lends if it is the row's lender.
    pub(crate) fn lend_to(
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
    pub(crate) fn survey(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
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
    pub(crate) fn serve(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
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
    pub(crate) fn reclaim(&mut self, now: Time, id: RowId) {
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
