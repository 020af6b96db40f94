//! The claim on a cell, which decides which host plans for the cell: a record under the key
//! `cell/N` that is bound to a lease of the key-value service.
//!
//! The lease only keeps two planners from working at the same time. Safety rests on the
//! records of the engines instead: a planner writes its term into each record before it
//! plans, so that writes of a former planner fail.

use mulberryrack_core::{
    Incarnation, Name, Time,
    kv::{Entry, Fault, Lease, Op, Outcome, Reply},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time between two reads of a cell's record while another host holds the cell.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The stored value of a cell's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    host: Name,
    incarnation: Incarnation,
    lease: Lease,
}

/// A call to the key-value service that a claim makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Read the cell's record.
    Read,
    /// Request a new lease.
    Grant,
    /// Write the cell's record, bound to the lease; fails if there is a record.
    Write,
    /// Renew the lease.
    Renew,
    /// Delete a record that an earlier incarnation of this host left behind or that can't
    /// be decoded.
    Delete,
    /// End the lease.
    Revoke,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Neither holds nor acquires the cell.
    Idle,
    /// Reads the record or requests a lease.
    Acquiring,
    /// Writes the record with the lease, or reads the record back because the outcome of
    /// the write is unknown.
    Writing { lease: Lease },
    /// Holds the lease.
    Held { lease: Lease, term: u64 },
}

/// The claim of one host on one cell. [`Claim::next_call`] returns the calls to make, and
/// [`Claim::on_outcome`] takes their outcomes.
#[derive(Debug)]
pub(crate) struct Claim {
    key: Name,
    me: Name,
    incarnation: Incarnation,
    ttl: Duration,
    state: State,
    /// Earliest time of the next read or renewal.
    next_call_at: Time,
    renewing: bool,
}

impl Claim {
    pub fn new(cell: u32, me: Name, incarnation: Incarnation, ttl: Duration, now: Time) -> Self {
        Self {
            key: format!("cell/{cell}").into(),
            me,
            incarnation,
            ttl,
            state: State::Idle,
            next_call_at: now,
            renewing: false,
        }
    }

    /// The term in which this host holds the lease: the revision at which it wrote the
    /// cell's record. `None` if it doesn't hold the lease as far as it knows.
    pub const fn term(&self) -> Option<u64> {
        match self.state {
            State::Held { term, .. } => Some(term),
            _ => None,
        }
    }

    /// When [`Claim::next_call`] has a call to make.
    pub fn next_wake(&self, preferred: bool) -> Option<Time> {
        match self.state {
            State::Idle if preferred => Some(self.next_call_at),
            State::Held { .. } if !self.renewing => Some(self.next_call_at),
            _ => None,
        }
    }

    /// The call that is due now. `preferred` tells whether this host is the preferred
    /// holder of the cell.
    pub fn next_call(&mut self, now: Time, preferred: bool) -> Option<(CallKind, Op)> {
        if now < self.next_call_at {
            return None;
        }
        match self.state {
            State::Idle if preferred => {
                self.state = State::Acquiring;
                Some((CallKind::Read, self.read_op()))
            }
            State::Held { lease, .. } if !self.renewing => {
                self.renewing = true;
                Some((CallKind::Renew, Op::Renew { lease }))
            }
            _ => None,
        }
    }

    /// Stops holding the cell. The returned call ends the lease, which deletes the cell's
    /// record.
    pub fn release(&mut self, now: Time) -> Option<(CallKind, Op)> {
        let State::Held { lease, .. } = self.state else {
            return None;
        };
        self.reset(now);
        Some((CallKind::Revoke, Op::Revoke { lease }))
    }

    /// Stops holding or acquiring the cell, because another planner holds it or a call has
    /// failed. The cell's record is read again after [`READ_INTERVAL`].
    pub fn reset(&mut self, now: Time) {
        self.state = State::Idle;
        self.renewing = false;
        self.next_call_at = now + READ_INTERVAL;
    }

    /// Makes a renewal due now, to learn whether the lease is still held.
    pub const fn renew_now(&mut self, now: Time) {
        self.next_call_at = now;
    }

    /// Handles the outcome of a call and returns the call that follows from it.
    pub fn on_outcome(
        &mut self,
        now: Time,
        kind: CallKind,
        outcome: &Outcome,
    ) -> Option<(CallKind, Op)> {
        match (kind, outcome) {
            (CallKind::Renew, _) => {
                self.on_renewed(now, outcome);
                None
            }
            (CallKind::Read, Ok(Reply::Entry(entry))) => self.on_read(now, entry.as_ref()),
            (CallKind::Grant, Ok(Reply::Granted(lease))) if self.state == State::Acquiring => {
                self.state = State::Writing { lease: *lease };
                Some((CallKind::Write, self.write_op(*lease)))
            }
            (CallKind::Write, Ok(Reply::Written(revision))) => {
                self.hold(now, revision.0);
                None
            }
            (CallKind::Write, Err(Fault::Unknown))
                if matches!(self.state, State::Writing { .. }) =>
            {
                Some((CallKind::Read, self.read_op()))
            }
            (CallKind::Revoke, _) => None,
            _ => {
                self.reset(now);
                None
            }
        }
    }

    fn on_renewed(&mut self, now: Time, outcome: &Outcome) {
        if !matches!(self.state, State::Held { .. }) {
            return;
        }
        self.renewing = false;
        self.next_call_at = now + self.ttl / 3;
        // If the renewal was not answered, the lease may have expired. Recorded orders
        // continue to be sent, and writes of new orders fail if another planner is at work.
        if let Ok(Reply::Renewed(false)) = outcome {
            self.reset(now);
        }
    }

    fn on_read(&mut self, now: Time, entry: Option<&Entry>) -> Option<(CallKind, Op)> {
        let holder = entry.and_then(|entry| serde_json::from_slice::<Holder>(&entry.value).ok());
        if let (State::Writing { lease }, Some(entry), Some(holder)) = (self.state, entry, &holder)
            && *holder == self.own_record(lease)
        {
            self.hold(now, entry.revision.0);
            return None;
        }
        if self.state != State::Acquiring {
            self.reset(now);
            return None;
        }
        let Some(entry) = entry else {
            return Some((CallKind::Grant, Op::Grant { ttl: self.ttl }));
        };
        self.reset(now);
        // An earlier incarnation of this host doesn't come back to renew its lease.
        let abandoned =
            holder.is_none_or(|h| h.host == self.me && h.incarnation < self.incarnation);
        let delete = || Op::Delete {
            key: self.key.clone(),
            expect: entry.revision,
        };
        abandoned.then(|| (CallKind::Delete, delete()))
    }

    fn hold(&mut self, now: Time, term: u64) {
        if let State::Writing { lease } = self.state {
            self.state = State::Held { lease, term };
            self.next_call_at = now + self.ttl / 3;
        }
    }

    fn own_record(&self, lease: Lease) -> Holder {
        Holder {
            host: self.me.clone(),
            incarnation: self.incarnation,
            lease,
        }
    }

    fn read_op(&self) -> Op {
        Op::Get {
            key: self.key.clone(),
        }
    }

    fn write_op(&self, lease: Lease) -> Op {
        let value = serde_json::to_vec(&self.own_record(lease)).unwrap_or_default();
        Op::Put {
            key: self.key.clone(),
            value: value.into(),
            expect: None,
            lease: Some(lease),
        }
    }
}
