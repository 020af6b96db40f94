//! Permits for requests with subjects on trial, by datagrams: one host gives them to all others.

use crate::{journal::journal, notices, shared::Shared};
use mulberryrack_core::{Name, Time};
use mulberryrack_gate::{Gate, PermitAsk, RequestState};
use mulberryrack_suspect::{Answer, Holder, Subject};
use mulberryrack_wire::plan::{self, datagram::Body};
use std::{net::SocketAddr, time::Duration};

/// Number of datagrams by which the end of a permit is told, as some may be lost. Without them,
/// the permit ends with its time.
const RELEASE_DATAGRAMS: usize = 2;

/// Time after which a host that does not answer is no longer asked for permits.
const GIVER_TIMEOUT: Duration = Duration::from_millis(300);

/// A request for a permit to another host.
pub struct Asked {
    giver: Name,
    sent_at: Time,
    /// Since when there is no answer; `None` after an answer.
    unanswered_since: Option<Time>,
    is_granted: bool,
}

/// Asks for the permit that a request needs. Returns whether the request has it.
pub fn ask<D>(shared: &Shared<D>, request: &mut RequestState) -> bool {
    if take_grant(shared, request.number()) {
        Gate::record_permit(request);
        return true;
    }
    let now = shared.clock.now();
    skip_silent_giver(shared, now, request.number());
    let mut gate = shared.gate.borrow_mut();
    let sent_at = |number| Some(shared.permits_asked.borrow().get(&number)?.sent_at);
    let interval = gate.ask_interval();
    if sent_at(request.number()).is_some_and(|at| now.since(at) < interval) {
        return false;
    }
    let Some(ask) = gate.ask_for_permit(now, request) else {
        return false;
    };
    let Some(giver) = gate.permit_giver(now).cloned() else {
        let is_granted = gate.give_permit(now, &ask) == Answer::Granted;
        if is_granted {
            Gate::record_permit(request);
        }
        return is_granted;
    };
    drop(gate);
    let mut all_asked = shared.permits_asked.borrow_mut();
    let asked = all_asked.entry(request.number()).or_insert_with(|| Asked {
        giver: giver.clone(),
        sent_at: now,
        unanswered_since: None,
        is_granted: false,
    });
    asked.giver.clone_from(&giver);
    asked.sent_at = now;
    asked.unanswered_since.get_or_insert(now);
    drop(all_asked);
    notices::send_to_host(shared, &giver, Body::PermitAsk(message(&ask)));
    false
}

/// Removes the permit of a request, if it has arrived.
fn take_grant<D>(shared: &Shared<D>, number: u64) -> bool {
    let mut all_asked = shared.permits_asked.borrow_mut();
    let is_granted = all_asked.get(&number).is_some_and(|asked| asked.is_granted);
    if is_granted {
        all_asked.remove(&number);
    }
    is_granted
}

/// Has another host asked if the one that a request has asked does not answer.
fn skip_silent_giver<D>(shared: &Shared<D>, now: Time, number: u64) {
    let mut all_asked = shared.permits_asked.borrow_mut();
    let Some(asked) = all_asked.get_mut(&number) else {
        return;
    };
    let is_silent = |since: Time| now.since(since) >= GIVER_TIMEOUT;
    if asked.unanswered_since.is_some_and(is_silent) {
        asked.unanswered_since = None;
        journal!(warn, "permit-unanswered", host = asked.giver);
        let mut gate = shared.gate.borrow_mut();
        gate.record_silent_giver(now, &asked.giver);
    }
}

fn message(ask: &PermitAsk) -> plan::PermitAsk {
    plan::PermitAsk {
        host: ask.holder.host.to_string(),
        number: ask.holder.number,
        subjects: ask.subjects.iter().map(|it| it.encode()).collect(),
    }
}

/// Answers another host that asks for a permit.
pub fn answer<D>(shared: &Shared<D>, message: plan::PermitAsk, sender: SocketAddr) {
    let subjects = message.subjects.iter().filter_map(Subject::decode);
    let ask = PermitAsk {
        subjects: subjects.collect(),
        holder: Holder {
            host: message.host.into(),
            number: message.number,
        },
    };
    let now = shared.clock.now();
    let answer = shared.gate.borrow_mut().give_permit(now, &ask);
    let message = plan::PermitAnswer {
        number: ask.holder.number,
        granted: answer == Answer::Granted,
    };
    notices::send(shared, Body::PermitAnswer(message), sender);
}

/// Records the answer of another host. A permit that no request waits for any more is given back.
pub fn receive<D>(shared: &Shared<D>, answer: plan::PermitAnswer, sender: SocketAddr) {
    if let Some(asked) = shared.permits_asked.borrow_mut().get_mut(&answer.number) {
        asked.unanswered_since = None;
        asked.is_granted |= answer.granted;
        if answer.granted {
            shared.changed.notify_waiters();
        }
        return;
    }
    if answer.granted {
        let release = plan::PermitRelease {
            host: shared.settings.host.to_string(),
            number: answer.number,
        };
        notices::send(shared, Body::PermitRelease(release), sender);
    }
}

/// Forgets a request that has its final answer.
pub fn forget<D>(shared: &Shared<D>, request: &RequestState) {
    shared.permits_asked.borrow_mut().remove(&request.number());
}

/// Ends the permit of a request of another host.
pub fn end<D>(shared: &Shared<D>, message: plan::PermitRelease) {
    let holder = Holder {
        host: message.host.into(),
        number: message.number,
    };
    shared.gate.borrow_mut().release_permit(&holder);
}

/// Tells the host that gives the permits of those that ended here.
pub fn release<D>(shared: &Shared<D>) {
    let (released, giver) = {
        let now = shared.clock.now();
        let mut gate = shared.gate.borrow_mut();
        (
            gate.take_released_permits(),
            gate.permit_giver(now).cloned(),
        )
    };
    for holder in released {
        journal!(debug, "permit-released", number = holder.number);
        let Some(giver) = &giver else {
            shared.gate.borrow_mut().release_permit(&holder);
            continue;
        };
        let release = plan::PermitRelease {
            host: holder.host.to_string(),
            number: holder.number,
        };
        for _ in 0..RELEASE_DATAGRAMS {
            notices::send_to_host(shared, giver, Body::PermitRelease(release.clone()));
        }
    }
}
