//! The HTTP interfaces of the key-value service ([`KvService`]) and of the list of machines
//! ([`answer_list_request`]).

use super::{exchange::Exchange, switch::Switch};
use crate::{kv::Store, list::List, run::header};
use mulberryrack_core::{
    Name, Time, earliest,
    kv::{Fault, Op, Reply, Revision},
    kv_json,
    node::Listing,
    request::Call,
};
use serde::Deserialize;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Time between checks for expired leases while watches wait. Without waiting watches,
/// leases expire with the next call.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

struct Watch {
    prefix: Arc<str>,
    after: Revision,
    deadline: Time,
    exchange: Exchange,
}

/// The key-value service, with its faults, waiting watches and delayed answers.
pub(super) struct KvService {
    store: Store,
    base_delay: Duration,
    extra_delay: Duration,
    lose_answer_one_in: u32,
    unavailable: bool,
    writes: u32,
    watches: Vec<Watch>,
    /// Delayed answers by the moment at which they are sent and their number.
    /// [`Fault::Unknown`] breaks off the connection instead of an answer.
    pending_answers: BTreeMap<(Time, u64), (Exchange, Result<Reply, Fault>)>,
    answer_count: u64,
    next_lease_check: Option<Time>,
    /// Number of calls by operation.
    pub calls_by_op: BTreeMap<Name, u64>,
    /// Number of calls by the caller's `user-agent`.
    pub calls_by_caller: BTreeMap<Name, u64>,
}

impl KvService {
    /// Creates an empty service that answers each call after `delay`.
    pub fn new(delay: Duration) -> Self {
        Self {
            store: Store::default(),
            base_delay: delay,
            extra_delay: Duration::ZERO,
            lose_answer_one_in: 0,
            unavailable: false,
            writes: 0,
            watches: Vec::new(),
            pending_answers: BTreeMap::new(),
            answer_count: 0,
            next_lease_check: None,
            calls_by_op: BTreeMap::new(),
            calls_by_caller: BTreeMap::new(),
        }
    }

    /// Switches a fault of the key-value service on or off; ignores other faults.
    pub fn switch(&mut self, switch: &Switch) {
        match switch {
            Switch::KvSlow { delay } => self.extra_delay = *delay,
            Switch::KvLoseAnswers { one_in } => self.lose_answer_one_in = *one_in,
            Switch::KvUnavailable { on } => self.unavailable = *on,
            _ => {}
        }
    }

    /// Handles a call, to be answered after the delay or, for a watch, when there is a change.
    pub fn request(&mut self, now: Time, call: &Call, exchange: Exchange) {
        if (&*call.method, &*call.path) != ("POST", "/v1/kv") {
            return exchange.answer(404, "text/plain", "only POST /v1/kv is known");
        }
        let Some((exchange, op)) = exchange.read_json::<kv_json::Op>(call) else {
            return;
        };
        let op = Op::from(op);
        let caller = header(call, "user-agent").cloned().unwrap_or_default();
        *self.calls_by_op.entry(op_name(&op).into()).or_default() += 1;
        *self.calls_by_caller.entry(caller).or_default() += 1;
        if self.unavailable {
            return self.schedule_answer(now, exchange, Err(Fault::NotApplied));
        }
        let Some(reply) = self.store.call(now, &op) else {
            return self.add_watch(now, op, exchange);
        };
        let reply = self.apply_answer_loss(&op, reply);
        self.schedule_answer(now, exchange, reply);
        self.answer_watches(now);
    }

    /// Sends the answers that are due, and checks for expired leases if that is due.
    pub fn wake(&mut self, now: Time) {
        while let Some(entry) = self.pending_answers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (exchange, reply) = entry.remove();
            match reply {
                Ok(reply) => exchange.answer_json(200, &kv_json::Reply::from(reply)),
                Err(Fault::NotApplied | Fault::HistoryGone) => {
                    exchange.answer(503, "text/plain", "unavailable");
                }
                Err(Fault::Unknown) => exchange.break_connection(),
            }
        }
        if self.next_lease_check.is_some_and(|at| at <= now) {
            self.store.expire(now);
            self.answer_watches(now);
        }
    }

    /// The next moment at which [`KvService::wake`] has something to do; `None` if never.
    pub fn next_wake(&self) -> Option<Time> {
        let answer = self.pending_answers.keys().next().map(|(at, _)| *at);
        earliest(answer, self.next_lease_check)
    }

    fn add_watch(&mut self, now: Time, op: Op, exchange: Exchange) {
        if let Op::Watch {
            prefix,
            after,
            wait,
        } = op
        {
            self.watches.push(Watch {
                prefix,
                after,
                deadline: now + wait,
                exchange,
            });
            self.next_lease_check = Some(now + LEASE_CHECK_INTERVAL);
        }
    }

    /// Answers the watches that have changes to report or whose wait is over.
    fn answer_watches(&mut self, now: Time) {
        for watch in std::mem::take(&mut self.watches) {
            match self.store.changes(&watch.prefix, watch.after) {
                Some(reply) => self.schedule_answer(now, watch.exchange, Ok(reply)),
                None if watch.deadline <= now => {
                    let reply = self.store.unchanged();
                    self.schedule_answer(now, watch.exchange, Ok(reply));
                }
                None => self.watches.push(watch),
            }
        }
        self.next_lease_check = (!self.watches.is_empty()).then(|| now + LEASE_CHECK_INTERVAL);
    }

    /// Returns the reply, or [`Fault::Unknown`] if `op` is a write whose answer is to be lost.
    fn apply_answer_loss(&mut self, op: &Op, reply: Reply) -> Result<Reply, Fault> {
        if matches!(op, Op::Get { .. } | Op::List { .. } | Op::Watch { .. }) {
            return Ok(reply);
        }
        self.writes += 1;
        if self.lose_answer_one_in > 0 && self.writes.is_multiple_of(self.lose_answer_one_in) {
            return Err(Fault::Unknown);
        }
        Ok(reply)
    }

    fn schedule_answer(&mut self, now: Time, exchange: Exchange, reply: Result<Reply, Fault>) {
        self.answer_count += 1;
        let at = now + self.base_delay + self.extra_delay;
        self.pending_answers
            .insert((at, self.answer_count), (exchange, reply));
    }
}

const fn op_name(op: &Op) -> &'static str {
    match op {
        Op::Get { .. } => "get",
        Op::List { .. } => "list",
        Op::Put { .. } => "put",
        Op::Delete { .. } => "delete",
        Op::Watch { .. } => "watch",
        Op::Grant { .. } => "grant",
        Op::Renew { .. } => "renew",
        Op::Revoke { .. } => "revoke",
    }
}

#[derive(Deserialize)]
struct Leaving {
    leaving: bool,
}

/// Answers a request to the list of machines.
pub(super) fn answer_list_request(list: &mut List, now: Time, call: &Call, exchange: Exchange) {
    let name = call.path.strip_prefix("/v1/hosts/");
    match (&*call.method, &*call.path, name) {
        ("GET", "/v1/hosts", _) => exchange.answer_json(200, &list.read(now)),
        ("POST", "/v1/hosts", _) => {
            if let Some((exchange, listing)) = exchange.read_json::<Listing>(call) {
                list.set(now, listing);
                exchange.answer(204, "text/plain", "");
            }
        }
        ("POST", _, Some(name)) if name.ends_with("/leaving") => {
            let name = name.trim_end_matches("/leaving");
            let wanted = if call.body.is_empty() {
                Some((exchange, Leaving { leaving: true }))
            } else {
                exchange.read_json(call)
            };
            if let Some((exchange, Leaving { leaving })) = wanted {
                let status = if list.set_leaving(now, name, leaving) {
                    204
                } else {
                    404
                };
                exchange.answer(status, "text/plain", "");
            }
        }
        ("DELETE", _, Some(name)) => {
            list.remove(now, name);
            exchange.answer(204, "text/plain", "");
        }
        _ => exchange.answer(404, "text/plain", "no such path"),
    }
}
