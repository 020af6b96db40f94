//! Shares the evidence on requests that may have crashed upstreams with the other hosts, by
//! datagrams.

use crate::{journal::journal, notices, registration::Registration, shared::Shared};
use mulberryrack_suspect::{Change, Message, Subject, Verdict};
use mulberryrack_wire::{plan::datagram::Body, route::Suspicion};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time;

/// Interval between two rounds of datagrams with news.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two comparisons with another host.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the crashes that count against a subject, if there is more than one: of the requests
/// in flight on a crash, most were only beside the one that caused it.
pub fn log_suspect<D>(shared: &Shared<D>, subject: Subject, told_by: &str) {
    let gate = shared.gate.borrow();
    let suspects = gate.suspects();
    let crashes = suspects.crashes(subject);
    let upstreams: Vec<&str> = crashes.map(|crash| &*crash.upstream).collect();
    if upstreams.len() < 2 {
        return;
    }
    journal!(
        warn,
        "request-suspected",
        request = subject_id(subject),
        kind = subject.kind(),
        crashes = upstreams.len(),
        upstreams = upstreams.join(","),
        refused = suspects.is_refused(subject),
        told_by = told_by,
    );
}

/// The id of a subject as it stands in the lines of dispatches.
pub fn subject_id(subject: Subject) -> String {
    match subject {
        Subject::Request(fingerprint) => format!("{fingerprint:032x}"),
        Subject::Part(id) => format!("{id:x}"),
    }
}

/// Logs each verdict that has changed, both ways, and wakes the requests that wait for one.
fn log_verdicts<D>(shared: &Shared<D>) {
    let changes = shared.gate.borrow_mut().suspects_mut().take_changes();
    if changes.is_empty() {
        return;
    }
    let gate = shared.gate.borrow();
    for Change { subject, from, to } in changes {
        let crashes = gate.suspects().crashes(subject);
        let upstreams: Vec<&str> = crashes.map(|crash| &*crash.upstream).collect();
        let label = |verdict: Option<Verdict>| verdict.map_or("none", Verdict::label);
        journal!(
            warn,
            "verdict-changed",
            request = subject_id(subject),
            kind = subject.kind(),
            from = label(from),
            to = label(to),
            crashes = upstreams.len(),
            upstreams = upstreams.join(","),
        );
    }
    shared.changed.notify_waiters();
}

fn update_metrics<D>(shared: &Shared<D>) {
    let gate = shared.gate.borrow();
    let suspects = gate.suspects();
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let metrics = &shared.metrics;
    let count_parts = |subjects: &[Subject]| {
        let parts = subjects.iter().filter(|subject| subject.is_part()).count();
        (gauge(subjects.len() - parts), gauge(parts))
    };
    let suspected: Vec<Subject> = suspects.subjects().collect();
    let refused: Vec<Subject> = suspects.refused().collect();
    let (requests, parts) = count_parts(&suspected);
    metrics.suspected_requests.set(requests);
    metrics.suspected_parts.set(parts);
    let (requests, parts) = count_parts(&refused);
    metrics.refused_requests.set(requests);
    metrics.refused_parts.set(parts);
}

/// Merges the evidence of another host and sends back what that host lacks.
pub fn receive<D>(shared: &Shared<D>, message: Message, sender: SocketAddr) {
    let now = shared.clock.now();
    let told_by = message.host.clone();
    let (news, answer) = {
        let mut gate = shared.gate.borrow_mut();
        let mut gossip = shared.gossip.borrow_mut();
        gossip.receive(now, gate.suspects_mut(), message)
    };
    for message in answer {
        notices::send(shared, Body::Suspects(message), sender);
    }
    handle_news(shared, &news, &told_by);
}

/// Merges evidence that did not come from a host directly.
pub fn learn<D>(shared: &Shared<D>, suspicions: Vec<Suspicion>, told_by: &str) {
    let now = shared.clock.now();
    let news = {
        let mut gate = shared.gate.borrow_mut();
        gate.suspects_mut().learn(now, suspicions)
    };
    shared.gossip.borrow_mut().add(news.iter().copied());
    handle_news(shared, &news, told_by);
}

/// Has the other hosts told of subjects on which this host's evidence has changed.
pub fn add_news<D>(shared: &Shared<D>, subjects: Vec<Subject>) {
    shared.gossip.borrow_mut().add(subjects);
    notify(shared);
}

fn handle_news<D>(shared: &Shared<D>, news: &[Subject], told_by: &str) {
    if news.is_empty() {
        return;
    }
    for subject in news {
        log_suspect(shared, *subject, told_by);
    }
    let cleared = {
        let mut gate = shared.gate.borrow_mut();
        gate.clear_completed(shared.clock.now(), news);
        gate.take_suspect_changes()
    };
    shared.gossip.borrow_mut().add(cleared);
    notify(shared);
}

/// Wakes the tasks that share changed evidence.
fn notify<D>(shared: &Shared<D>) {
    shared.suspects_changed.notify_one();
    shared.refusals_changed.notify_one();
    log_verdicts(shared);
    update_metrics(shared);
}

/// Sends news of evidence to other hosts, and compares the evidence with theirs, until the
/// process ends.
pub async fn share<D>(shared: Rc<Shared<D>>) {
    let mut next_comparison = time::Instant::now();
    loop {
        let others = shared.other_hosts();
        let has_news = send_news(&shared, &others);
        if time::Instant::now() >= next_comparison {
            compare(&shared, &others);
            next_comparison = time::Instant::now() + COMPARISON_INTERVAL;
        }
        if has_news {
            time::sleep(ROUND_INTERVAL).await;
            continue;
        }
        tokio::select! {
            () = shared.suspects_changed.notified() => {}
            () = time::sleep_until(next_comparison) => {}
        }
    }
}

/// Sends the messages of one round. Returns whether there were any.
fn send_news<D>(shared: &Shared<D>, others: &[Registration]) -> bool {
    let now = shared.clock.now();
    let (targets, messages) = {
        let gate = shared.gate.borrow();
        let mut gossip = shared.gossip.borrow_mut();
        gossip.round(now, gate.suspects(), others.len())
    };
    for target in targets {
        for message in &messages {
            let body = Body::Suspects(message.clone());
            notices::send(shared, body, others[target].peers);
        }
    }
    !messages.is_empty()
}

fn compare<D>(shared: &Shared<D>, others: &[Registration]) {
    let now = shared.clock.now();
    let compared = {
        let mut gate = shared.gate.borrow_mut();
        gate.suspects_mut().expire(now);
        let mut gossip = shared.gossip.borrow_mut();
        gossip.compare(gate.suspects(), others.len())
    };
    log_verdicts(shared);
    update_metrics(shared);
    let (targets, message) = compared;
    for target in targets {
        let body = Body::Suspects(message.clone());
        notices::send(shared, body, others[target].peers);
    }
}
