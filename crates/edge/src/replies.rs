//! What the head of an upstream's answer says about the upstream itself, whatever was asked.

use crate::{crashes, journal::journal, notices, shared::Shared, tokens};
use http::StatusCode;
use mulberryrack_core::{Name, Rate, Time};
use mulberryrack_gate::UpstreamId;
use mulberryrack_site::upstream::{Availability, ReplyHead, StatedLimit};
use mulberryrack_throttle::Observation;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};

/// What an answer belongs to: a request, order or health check that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub id: UpstreamId,
    /// Incarnation of the upstream that was known when it was sent.
    pub incarnation: u64,
    /// Time at which it was sent.
    pub at: Time,
}

/// Records what the answer to a caller's request, with this attempt id, says about its upstream.
pub fn record<D: 'static>(
    shared: &Rc<Shared<D>>,
    asked: Asked,
    attempt: &Name,
    status: StatusCode,
    reply: &ReplyHead,
) {
    let now = shared.clock.now();
    if let Some(load) = reply.load {
        let mut gate = shared.gate.borrow_mut();
        gate.record_load(now, asked.id, load);
    }
    if let Some(name) = &reply.upstream {
        let mut gate = shared.gate.borrow_mut();
        gate.record_identity(now, asked.id, name, asked.at);
    }
    crashes::report(shared);
    let is_answer = reply.attempt_id.as_ref() == Some(attempt);
    let has_run = is_answer && reply.signed && !reply.not_run && status.is_success();
    if has_run && reply.availability.limit == StatedLimit::None {
        record_limit(shared, asked, None);
    }
    let mut reply = reply.clone();
    if !is_answer && reply.attempt_id.is_some() {
        // The answer to an earlier request tells what the upstream stated then.
        reply.availability.limit = StatedLimit::None;
    }
    record_availability(shared, asked, &reply);
}

/// Records what any answer of an upstream says about the requests that it still takes.
pub fn record_availability<D: 'static>(shared: &Rc<Shared<D>>, asked: Asked, reply: &ReplyHead) {
    let name = shared.gate.borrow().name(asked.id);
    let is_other = reply.upstream.as_ref().is_some_and(|other| *other != name);
    if is_other {
        return;
    }
    let Availability {
        rest,
        leaving,
        limit,
    } = reply.availability;
    match limit {
        StatedLimit::Rate(limit) => record_limit(shared, asked, Some(limit)),
        StatedLimit::Malformed => record_malformed_limit(shared, asked.id, &name),
        // Only the answer to a request ends a limit.
        StatedLimit::None => {}
    }
    if let Some(period) = rest {
        record_rest(shared, asked, period);
    }
    if leaving && record_leaving(shared, asked.id, asked.incarnation, "answer") {
        notices::announce_leaving(shared, &name, asked.incarnation);
    }
}

/// Records that an incarnation of an upstream is leaving. Returns whether that is news.
pub fn record_leaving<D>(
    shared: &Shared<D>,
    id: UpstreamId,
    incarnation: u64,
    told_by: &str,
) -> bool {
    let is_news = shared.gate.borrow_mut().record_leaving(id, incarnation);
    if is_news {
        let name = shared.gate.borrow().name(id);
        shared
            .planner
            .borrow_mut()
            .record_leaving(&name, incarnation);
        journal!(info, "upstream-leaves", id = name, told_by = told_by);
        shared.changed.notify_waiters();
    }
    is_news
}

/// Records what an answer states about the requests a second that its upstream takes.
fn record_limit<D>(shared: &Shared<D>, asked: Asked, limit: Option<Rate>) {
    let observation = Observation {
        limit,
        sent_at: asked.at,
        heard_at: shared.clock.now(),
    };
    let now = shared.clock.now();
    let change = {
        let mut gate = shared.gate.borrow_mut();
        gate.record_limit(now, asked.id, asked.incarnation, observation)
    };
    if let Some(change) = change {
        tokens::send_messages(shared);
        tokens::record_change(shared, asked.id, change, "answer");
    }
}

/// Counts a statement that cannot be read, and logs the first one of an upstream.
fn record_malformed_limit<D>(shared: &Shared<D>, id: UpstreamId, upstream: &Name) {
    shared.metrics.limits.malformed.inc();
    if shared.malformed_limits.borrow_mut().insert(id) {
        journal!(warn, "limit-unreadable", upstream = upstream);
    }
}

/// Records that an upstream has sent more than is read of an answer; `reader` says of what.
/// Other upstreams are preferred for a while.
pub fn record_excess<D>(shared: &Shared<D>, id: UpstreamId, reader: &'static str) {
    let now = shared.clock.now();
    let name = shared.gate.borrow().name(id);
    shared.gate.borrow_mut().record_excess(now, id);
    shared.metrics.record_excess(reader);
    journal!(warn, "answer-excessive", upstream = name, reader = reader);
}

fn record_rest<D: 'static>(shared: &Rc<Shared<D>>, asked: Asked, period: Duration) {
    let now = shared.clock.now();
    let begins = {
        let mut gate = shared.gate.borrow_mut();
        gate.record_rest(now, asked.id, asked.incarnation, period)
    };
    if begins {
        task::spawn_local(log_rest(shared.clone(), asked.id));
    }
}

/// Logs the begin of a rest, and its end once it is over, however often it is prolonged.
async fn log_rest<D>(shared: Rc<Shared<D>>, id: UpstreamId) {
    let rest_until = || {
        let now = shared.clock.now();
        shared.gate.borrow().rest_until(now, id)
    };
    let name = shared.gate.borrow().name(id);
    if let Some(until) = rest_until() {
        let period = until.since(shared.clock.now());
        journal!(
            info,
            "upstream-rests",
            upstream = name,
            for_ms = period.as_millis()
        );
    }
    while let Some(until) = rest_until() {
        time::sleep_until(shared.clock.instant(until)).await;
    }
    journal!(info, "upstream-rest-over", upstream = name);
}
