//! The key-value service and the list, as HTTP.

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

/// Time between two looks for lapsed leases while watches wait.
const LEASE_CHECK: Duration = Duration::from_millis(50);

struct Watch {
    prefix: Arc<str>,
    after: Revision,
    until: Time,
    exchange: Exchange,
}

/// The key-value service.
pub(super) struct Kv {
    store: Store,
    base_delay: Duration,
    extra_delay: Duration,
    lose_answers: u32,
    unavailable: bool,
    writes: u32,
    watches: Vec<Watch>,
    /// Answers on their way; `None` for a connection that breaks instead.
    answers: BTreeMap<(Time, u64), (Exchange, Result<Reply, Fault>)>,
    answered: u64,
    next_check: Option<Time>,
    /// Calls by operation.
    pub calls: BTreeMap<Name, u64>,
    /// Calls by caller.
    pub callers: BTreeMap<Name, u64>,
}

impl Kv {
    /// An empty service whose calls take so long.
    pub fn new(delay: Duration) -> Self {
        Self {
            store: Store::default(),
            base_delay: delay,
            extra_delay: Duration::ZERO,
            lose_answers: 0,
            unavailable: false,
            writes: 0,
            watches: Vec::new(),
            answers: BTreeMap::new(),
            answered: 0,
            next_check: None,
            calls: BTreeMap::new(),
            callers: BTreeMap::new(),
        }
    }

    /// Switches a fault.
    pub fn switch(&mut self, switch: &Switch) {
        match switch {
            Switch::KvSlow { delay } => self.extra_delay = *delay,
            Switch::KvLoseAnswers { one_in } => self.lose_answers = *one_in,
            Switch::KvUnavailable { on } => self.unavailable = *on,
            _ => {}
        }
    }

    /// Takes a call.
    pub fn request(&mut self, now: Time, call: &Call, exchange: Exchange) {
        if (&*call.method, &*call.path) != ("POST", "/v1/kv") {
            return exchange.answer(404, "text/plain", "only POST /v1/kv is known");
        }
        let Some((exchange, op)) = exchange.read_json::<kv_json::Op>(call) else {
            return;
        };
        let op = Op::from(op);
        let caller = header(call, "user-agent").cloned().unwrap_or_default();
        *self.calls.entry(label(&op).into()).or_default() += 1;
        *self.callers.entry(caller).or_default() += 1;
        if self.unavailable {
            return self.later(now, exchange, Err(Fault::NotApplied));
        }
        let Some(reply) = self.store.call(now, &op) else {
            return self.watch(now, op, exchange);
        };
        let reply = self.lose(&op, reply);
        self.later(now, exchange, reply);
        self.notify(now);
    }

    /// Gives the answers that are due.
    pub fn wake(&mut self, now: Time) {
        while let Some(entry) = self.answers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (exchange, reply) = entry.remove();
            match reply {
                Ok(reply) => exchange.json(200, &kv_json::Reply::from(reply)),
                Err(Fault::NotApplied | Fault::HistoryGone) => {
                    exchange.answer(503, "text/plain", "unavailable");
                }
                Err(Fault::Unknown) => exchange.cut(),
            }
        }
        if self.next_check.is_some_and(|at| at <= now) {
            self.store.expire(now);
            self.notify(now);
        }
    }

    /// When [`Kv::wake`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let answer = self.answers.keys().next().map(|(at, _)| *at);
        earliest(answer, self.next_check)
    }

    fn watch(&mut self, now: Time, op: Op, exchange: Exchange) {
        if let Op::Watch {
            prefix,
            after,
            wait,
        } = op
        {
            self.watches.push(Watch {
                prefix,
                after,
                until: now + wait,
                exchange,
            });
            self.next_check = Some(now + LEASE_CHECK);
        }
    }

    /// Answers the watches that have something to report or whose wait is over.
    fn notify(&mut self, now: Time) {
        for watch in std::mem::take(&mut self.watches) {
            match self.store.changes(&watch.prefix, watch.after) {
                Some(reply) => self.later(now, watch.exchange, Ok(reply)),
                None if watch.until <= now => {
                    let reply = self.store.unchanged();
                    self.later(now, watch.exchange, Ok(reply));
                }
                None => self.watches.push(watch),
            }
        }
        self.next_check = (!self.watches.is_empty()).then(|| now + LEASE_CHECK);
    }

    /// The reply, or the loss of it.
    fn lose(&mut self, op: &Op, reply: Reply) -> Result<Reply, Fault> {
        if matches!(op, Op::Get { .. } | Op::List { .. } | Op::Watch { .. }) {
            return Ok(reply);
        }
        self.writes += 1;
        if self.lose_answers > 0 && self.writes.is_multiple_of(self.lose_answers) {
            return Err(Fault::Unknown);
        }
        Ok(reply)
    }

    fn later(&mut self, now: Time, exchange: Exchange, reply: Result<Reply, Fault>) {
        self.answered += 1;
        let at = now + self.base_delay + self.extra_delay;
        self.answers.insert((at, self.answered), (exchange, reply));
    }
}

const fn label(op: &Op) -> &'static str {
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

/// Answers a request to the list.
pub(super) fn list(list: &mut List, now: Time, call: &Call, exchange: Exchange) {
    let name = call.path.strip_prefix("/v1/hosts/");
    match (&*call.method, &*call.path, name) {
        ("GET", "/v1/hosts", _) => exchange.json(200, &list.read(now)),
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
                let status = if list.leave(now, name, leaving) {
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
