//! What the head of an upstream's answer says about the upstream itself, whatever was asked.

use crate::{crashes, journal::journal, shared::Shared};
use mulberryrack_core::Time;
use mulberryrack_gate::UpstreamId;
use mulberryrack_site::upstream::ReplyHead;
use std::rc::Rc;
use tokio::{task, time};

/// What was sent to an upstream, and when.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub id: UpstreamId,
    /// Incarnation that was known then.
    pub incarnation: u64,
    pub at: Time,
}

/// Records what the answer to a caller's request says about its upstream.
pub fn record<D: 'static>(shared: &Rc<Shared<D>>, asked: Asked, reply: &ReplyHead) {
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
    record_wishes(shared, asked, reply);
}

/// Records what an upstream says about the requests that it wants, in any answer.
pub fn record_wishes<D: 'static>(shared: &Rc<Shared<D>>, asked: Asked, reply: &ReplyHead) {
    let name = shared.gate.borrow().name(asked.id);
    let is_other = reply.upstream.as_ref().is_some_and(|other| *other != name);
    if !is_other {
        record_rest(shared, asked, reply);
    }
}

fn record_rest<D: 'static>(shared: &Rc<Shared<D>>, asked: Asked, reply: &ReplyHead) {
    let Some(period) = reply.rest else {
        return;
    };
    let now = shared.clock.now();
    let until = {
        let mut gate = shared.gate.borrow_mut();
        gate.record_rest(now, asked.id, asked.incarnation, period)
    };
    let Some(until) = until else {
        return;
    };
    let name = shared.gate.borrow().name(asked.id);
    journal!(
        info,
        "upstream-rests",
        upstream = name,
        asked_ms = period.as_millis(),
        for_ms = until.since(now).as_millis(),
    );
    let shared = shared.clone();
    task::spawn_local(async move {
        time::sleep_until(shared.clock.instant(until)).await;
        let now = shared.clock.now();
        // A longer rest may have been asked for since.
        if !shared.gate.borrow().is_resting(now, asked.id) {
            journal!(info, "upstream-rest-over", upstream = name);
        }
    });
}
