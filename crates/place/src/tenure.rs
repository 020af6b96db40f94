//! Who plans for a cell: a record under `cell/N` that is bound to a lease.
//!
//! The lease only avoids two planners at work. Safety rests on the engines' records: a
//! planner writes its term into each before it plans, so that a former one's writes fail.

use mulberryrack_core::{
    Incarnation, Name, Time,
    kv::{Entry, Fault, Lease, Op, Outcome, Reply},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time between two looks at a cell that another host holds.
const LOOK_AGAIN: Duration = Duration::from_secs(1);

/// The value of a cell's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    host: Name,
    incarnation: Incarnation,
    lease: Lease,
}

/// A call that the tenure waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ask {
    Look,
    Grant,
    Claim,
    Renew,
    Clear,
    Revoke,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Asking,
    Claiming { lease: Lease },
    Held { lease: Lease, term: u64 },
}

/// The claim of one host on one cell.
#[derive(Debug)]
pub(crate) struct Tenure {
    key: Name,
    me: Name,
    incarnation: Incarnation,
    ttl: Duration,
    state: State,
    /// When to look or to renew next.
    next: Time,
    renewing: bool,
}

impl Tenure {
    pub fn new(cell: u32, me: Name, incarnation: Incarnation, ttl: Duration, now: Time) -> Self {
        Self {
            key: format!("cell/{cell}").into(),
            me,
            incarnation,
            ttl,
            state: State::Idle,
            next: now,
            renewing: false,
        }
    }

    /// The term of the lease that is held as far as is known.
    pub const fn term(&self) -> Option<u64> {
        match self.state {
            State::Held { term, .. } => Some(term),
            _ => None,
        }
    }

    /// When [`Tenure::due`] has something to ask.
    pub fn next_wake(&self, wanted: bool) -> Option<Time> {
        match self.state {
            State::Idle if wanted => Some(self.next),
            State::Held { .. } if !self.renewing => Some(self.next),
            _ => None,
        }
    }

    /// The call that is due now; `wanted` says whether this host should hold the cell.
    pub fn due(&mut self, now: Time, wanted: bool) -> Option<(Ask, Op)> {
        if now < self.next {
            return None;
        }
        match self.state {
            State::Idle if wanted => {
                self.state = State::Asking;
                Some((Ask::Look, self.look()))
            }
            State::Held { lease, .. } if !self.renewing => {
                self.renewing = true;
                Some((Ask::Renew, Op::Renew { lease }))
            }
            _ => None,
        }
    }

    /// Gives the cell up; the call ends the lease.
    pub fn release(&mut self, now: Time) -> Option<(Ask, Op)> {
        let State::Held { lease, .. } = self.state else {
            return None;
        };
        self.idle(now);
        Some((Ask::Revoke, Op::Revoke { lease }))
    }

    /// Forgets the cell: another planner is at work.
    pub fn idle(&mut self, now: Time) {
        self.state = State::Idle;
        self.renewing = false;
        self.next = now + LOOK_AGAIN;
    }

    /// Asks for a renewal now, to learn whether the lease is still held.
    pub const fn verify(&mut self, now: Time) {
        self.next = now;
    }

    /// Takes a call's outcome and gives the call that follows from it.
    pub fn answer(&mut self, now: Time, ask: Ask, outcome: &Outcome) -> Option<(Ask, Op)> {
        match (ask, outcome) {
            (Ask::Renew, _) => {
                self.renewed(now, outcome);
                None
            }
            (Ask::Look, Ok(Reply::Entry(entry))) => self.looked(now, entry.as_ref()),
            (Ask::Grant, Ok(Reply::Granted(lease))) if self.state == State::Asking => {
                self.state = State::Claiming { lease: *lease };
                Some((Ask::Claim, self.claim(*lease)))
            }
            (Ask::Claim, Ok(Reply::Written(revision))) => {
                self.hold(now, revision.0);
                None
            }
            (Ask::Claim, Err(Fault::Unknown)) if matches!(self.state, State::Claiming { .. }) => {
                Some((Ask::Look, self.look()))
            }
            (Ask::Revoke, _) => None,
            _ => {
                self.idle(now);
                None
            }
        }
    }

    fn renewed(&mut self, now: Time, outcome: &Outcome) {
        if !matches!(self.state, State::Held { .. }) {
            return;
        }
        self.renewing = false;
        self.next = now + self.ttl / 3;
        // Without an answer the lease may have lapsed. What was recorded goes on, and
        // new records fail if another planner is at work.
        if let Ok(Reply::Renewed(false)) = outcome {
            self.idle(now);
        }
    }

    fn looked(&mut self, now: Time, entry: Option<&Entry>) -> Option<(Ask, Op)> {
        let holder = entry.and_then(|entry| serde_json::from_slice::<Holder>(&entry.value).ok());
        if let (State::Claiming { lease }, Some(entry), Some(holder)) = (self.state, entry, &holder)
            && *holder == self.holder(lease)
        {
            self.hold(now, entry.revision.0);
            return None;
        }
        if self.state != State::Asking {
            self.idle(now);
            return None;
        }
        let Some(entry) = entry else {
            return Some((Ask::Grant, Op::Grant { ttl: self.ttl }));
        };
        self.idle(now);
        // A former life of this host does not come back to renew.
        let stale = holder.is_none_or(|h| h.host == self.me && h.incarnation < self.incarnation);
        let delete = || Op::Delete {
            key: self.key.clone(),
            expect: entry.revision,
        };
        stale.then(|| (Ask::Clear, delete()))
    }

    fn hold(&mut self, now: Time, term: u64) {
        if let State::Claiming { lease } = self.state {
            self.state = State::Held { lease, term };
            self.next = now + self.ttl / 3;
        }
    }

    fn holder(&self, lease: Lease) -> Holder {
        Holder {
            host: self.me.clone(),
            incarnation: self.incarnation,
            lease,
        }
    }

    fn look(&self) -> Op {
        Op::Get {
            key: self.key.clone(),
        }
    }

    fn claim(&self, lease: Lease) -> Op {
        let value = serde_json::to_vec(&self.holder(lease)).unwrap_or_default();
        Op::Put {
            key: self.key.clone(),
            value: value.into(),
            expect: None,
            lease: Some(lease),
        }
    }
}
