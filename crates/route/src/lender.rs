//! The lender's side of a row's permits. The module `permit` states the rules.

use crate::{Output, Router, permit::frame, row::RowId};
use mulberryrack_core::{Incarnation, Name, Time, view::Standing};
use mulberryrack_wire::route::{Allow, Held, Keep, Recall, Survey, Want, frame::Body};
use std::collections::{BTreeMap, VecDeque};

/// Factor on `permit_settle_delay` for a host that starts without the platform's list.
const UNLISTED_SETTLE_FACTOR: u32 = 10;

/// The lender's record of one incarnation of a host.
#[derive(Debug)]
struct Loan {
    incarnation: Incarnation,
    /// Permits that the host may hold; `None` until it has answered the survey.
    allowance: Option<u32>,
    sequence: u64,
    /// When the permits of a host that is gone can be lent again.
    reclaim_at: Option<Time>,
}

/// The lender's record of a row in one term.
#[derive(Debug)]
pub(crate) struct LoanBook {
    term: u64,
    /// Loans by host: one for each incarnation that may still use permits.
    loans: BTreeMap<Name, Vec<Loan>>,
    /// Hosts that wait for permits, with the number wanted, in the order of their
    /// requests.
    pub pending_wants: VecDeque<(Name, Incarnation, u32)>,
    /// When permits were last recalled.
    last_recall: Option<Time>,
}

impl LoanBook {
    /// Number of permits that no host holds; `None` while an answer to the survey is
    /// missing.
    fn unlent(&self, ceiling: u32) -> Option<u32> {
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
    /// Handles a host's request for more permits, if this host is the row's lender.
    pub(crate) fn on_loan_request(
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
        self.start_term(id);
        let book = self
            .rows
            .get_mut(id)
            .permits
            .book
            .as_mut()
            .expect("a term was just started");
        match book.pending_wants.iter_mut().find(|want| want.0 == *to) {
            Some(want) => (want.1, want.2) = (incarnation, more),
            None => book
                .pending_wants
                .push_back((to.clone(), incarnation, more)),
        }
        self.send_surveys(now, id, out);
        self.lend(now, id, out);
    }

    /// Starts a new term with this host as the lender, unless one is open.
    fn start_term(&mut self, id: RowId) {
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
            reclaim_at: None,
        };
        permits.book = Some(LoanBook {
            term: permits.term,
            loans: BTreeMap::from([(me.0, vec![own])]),
            pending_wants: VecDeque::new(),
            last_recall: None,
        });
    }

    /// Surveys every host that may hold permits and has not answered.
    pub(crate) fn send_surveys(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let view = self.view.clone();
        let (delay, me) = (self.settings.permit_ask_interval, self.me.clone());
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
                    reclaim_at: None,
                });
            }
            for loan in loans.iter().filter(|loan| loan.allowance.is_none()) {
                asked = true;
                let survey = Survey {
                    row: row.definition.name.to_string(),
                    term: book.term,
                };
                out.push(frame(&peer.name, loan.incarnation, Body::Survey(survey)));
            }
        }
        if asked {
            self.set_permit_timer(now, id, delay);
        }
    }

    /// Whether this host's view of the hosts is complete enough to lend.
    fn may_lend(&self, now: Time) -> bool {
        if self.listed_hosts.is_none() {
            return now
                >= self.started + self.settings.permit_settle_delay * UNLISTED_SETTLE_FACTOR;
        }
        now >= self.started + self.settings.permit_settle_delay && self.view_complete
    }

    /// Lends free permits to the waiting hosts; recalls permits if that is not enough.
    pub(crate) fn lend(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let delay = self.settings.permit_ask_interval;
        if !self.may_lend(now) {
            self.set_permit_timer(now, id, delay);
            return;
        }
        let me = self.me.clone();
        let row = self.rows.get_mut(id);
        let ceiling = row.definition.ceiling;
        let name = row.definition.name.to_string();
        let Some(book) = row.permits.book.as_mut() else {
            return;
        };
        let Some(mut pool) = book.unlent(ceiling) else {
            return;
        };
        let mut own_loan = None;
        while pool > 0 {
            let Some((to, incarnation, more)) = book.pending_wants.pop_front() else {
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
                own_loan = Some(allow);
            } else {
                out.push(frame(&to, incarnation, Body::Allow(allow)));
            }
        }
        let unserved = !book.pending_wants.is_empty();
        if let Some(allow) = own_loan {
            self.on_allow(now, &me, &allow);
        }
        if unserved {
            self.send_recalls(now, id, out);
        }
    }

    /// Asks hosts for the permits that they hold above an equal share.
    fn send_recalls(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let (delay, me) = (self.settings.permit_ask_interval, self.me.clone());
        let row = self.rows.get_mut(id);
        let (name, ceiling) = (row.definition.name.to_string(), row.definition.ceiling);
        let Some(book) = row.permits.book.as_mut() else {
            return;
        };
        if book.last_recall.is_some_and(|at| now < at + delay) {
            return;
        }
        book.last_recall = Some(now);
        let holders: Vec<_> = book
            .loans
            .iter()
            .flat_map(|(host, loans)| loans.iter().map(move |loan| (host.clone(), loan)))
            .filter(|(_, loan)| loan.reclaim_at.is_none())
            .map(|(host, loan)| (host, loan.incarnation, loan.allowance.unwrap_or(0)))
            .collect();
        let wants = |host: &Name| book.pending_wants.iter().any(|want| want.0 == *host);
        let sharers = holders
            .iter()
            .filter(|(host, _, held)| *held > 0 || wants(host))
            .count();
        let share = ceiling / u32::try_from(sharers.max(1)).unwrap_or(u32::MAX);
        let term = book.term;
        let to_recall: Vec<_> = holders
            .into_iter()
            .filter(|(host, _, held)| *held > share || (*held > 0 && !wants(host)))
            .collect();
        for (host, incarnation, _) in to_recall {
            let recall = Recall {
                row: name.clone(),
                term,
                target: share,
            };
            if host == me {
                self.on_recall(now, &me, &recall, out);
            } else {
                out.push(frame(&host, incarnation, Body::Recall(recall)));
            }
        }
        self.set_permit_timer(now, id, delay);
    }

    /// Removes loans to hosts that have been gone for long enough.
    pub(crate) fn drop_expired_loans(&mut self, now: Time, id: RowId) {
        let Some(book) = self.rows.get_mut(id).permits.book.as_mut() else {
            return;
        };
        for loans in book.loans.values_mut() {
            loans.retain(|loan| loan.reclaim_at.is_none_or(|reclaim_at| reclaim_at > now));
        }
        book.loans.retain(|_, loans| !loans.is_empty());
    }

    /// Updates all loans after a change of the view.
    pub(crate) fn review_loans(&mut self, now: Time, out: &mut Vec<Output>) {
        let ids: Vec<_> = self
            .rows
            .ids()
            .filter(|id| self.rows.get(*id).permits.book.is_some())
            .collect();
        for id in ids {
            self.schedule_reclaims(now, id);
            if self.lender(id).is_some_and(|peer| peer.name == self.me) {
                self.send_surveys(now, id, out);
                self.lend(now, id, out);
            }
        }
    }

    fn schedule_reclaims(&mut self, now: Time, id: RowId) {
        let view = self.view.clone();
        let delay = self.settings.permit_reclaim_delay;
        let Some(book) = self.rows.get_mut(id).permits.book.as_mut() else {
            return;
        };
        let mut marked = false;
        for (host, loans) in &mut book.loans {
            let Some(peer) = view.peer(host) else {
                continue;
            };
            for loan in loans.iter_mut().filter(|loan| loan.reclaim_at.is_none()) {
                let gone = loan.incarnation < peer.incarnation
                    || (loan.incarnation == peer.incarnation && peer.standing == Standing::Gone);
                if gone {
                    loan.reclaim_at = Some(now + delay);
                    marked = true;
                }
            }
        }
        if marked {
            self.set_permit_timer(now, id, delay);
        }
    }

    /// Handles a host's request for permits, as the row's lender.
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
            // A lender of a higher term has replaced this one.
            permits.term = want.term;
            permits.book = None;
        }
        let unaccepted = permits.book.as_ref().filter(|book| want.term < book.term);
        if let Some(book) = unaccepted {
            // The host has not accepted this term yet, so it would ignore the loan.
            let survey = Survey {
                row: want.row.clone(),
                term: book.term,
            };
            out.push(frame(from, incarnation, Body::Survey(survey)));
        }
        // A host that asks with an older sequence number has not received the last loan.
        let lost_loan = permits.book.as_mut().and_then(|book| {
            let term = book.term;
            let loan = book.loan(from, incarnation)?;
            let behind = want.term == term && want.sequence < loan.sequence;
            behind.then_some((term, loan.sequence, loan.allowance?))
        });
        if let Some((term, sequence, allowance)) = lost_loan {
            let allow = Allow {
                row: want.row.clone(),
                term,
                sequence,
                allowance,
            };
            out.push(frame(from, incarnation, Body::Allow(allow)));
            return;
        }
        self.on_loan_request(now, id, from, incarnation, want.more, out);
    }

    /// Handles a host's answer to a survey: whether it accepts the term, and its allowance.
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
            // The host knows an equal or higher term, so the next survey must use a
            // higher one.
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
            self.lend(now, id, out);
        }
    }

    /// Handles the lower allowance that a host keeps after it has returned permits.
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
        // With another sequence number, a newer loan is on its way and will set the host's
        // allowance.
        if loan.sequence == keep.sequence
            && let Some(allowance) = &mut loan.allowance
        {
            *allowance = keep.allowance.min(*allowance);
            self.lend(now, id, out);
        }
    }
}
