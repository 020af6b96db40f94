//! Crashes of upstreams: finds out whether an upstream has ended on which a dispatch broke.

use crate::{
    bounds,
    client::{Connection, Fault, Probe, Remote},
    journal::journal,
    lateness, permits,
    replies::{self, Asked},
    shared::Shared,
    suspects,
    traffic::Kind,
};
use mulberryrack_core::{Name, Time};
use mulberryrack_gate::{CrashReport, CrashSign, Target, UpstreamId};
use mulberryrack_site::Dialect;
use std::{rc::Rc, time::Duration};
use tokio::time;

/// Interval between two probes of an upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the result of a probe before a request goes on. Connecting takes a few
/// milliseconds within a region.
pub const MAX_PROBE_WAIT: Duration = Duration::from_millis(30);
/// Largest number of probes after a dispatch broke. If they settle nothing, a registration may.
const MAX_PROBES: u32 = 3;
/// Longest wait for the answer to a health check, which may have to wait for a slot.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest time in which an upstream that crashed accepts connections again.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// What a probe shows about an upstream.
enum Finding {
    /// The address refuses connections.
    Refused,
    /// Whatever answers at the address has this name.
    Identified(Name),
    /// No answer, or one without a name.
    Unanswered,
}

/// Asks an upstream for its name if it may have crashed, and records what that shows.
pub async fn probe<D: Dialect>(shared: Rc<Shared<D>>, target: Target) {
    if !shared.probed.borrow_mut().insert(target.id) {
        return;
    }
    let mut probes = 0;
    while needs_probe(&shared, target.id) && probes < MAX_PROBES {
        let asked = shared.clock.now();
        let finding = ask(&shared, &target).await;
        probes += 1;
        record_finding(&shared, &target, asked, &finding);
        shared.probe_ended.notify_waiters();
        time::sleep(PROBE_INTERVAL).await;
    }
    shared.gate.borrow_mut().record_unidentified(target.id);
    shared.probed.borrow_mut().remove(&target.id);
}

fn needs_probe<D>(shared: &Shared<D>, id: UpstreamId) -> bool {
    let now = shared.clock.now();
    shared.gate.borrow().needs_probe(now, id)
}

async fn ask<D: Dialect>(shared: &Rc<Shared<D>>, target: &Target) -> Finding {
    let remote = Remote {
        address: target.address,
        name: target.name.clone(),
    };
    match shared.client.probe(remote).await {
        Probe::Refused => Finding::Refused,
        Probe::Accepted(connection) => identify(shared, target, connection).await,
        Probe::Unknown => Finding::Unanswered,
    }
}

/// Has whatever accepted a connection tell its name, unless it wants no requests now.
async fn identify<D: Dialect>(
    shared: &Rc<Shared<D>>,
    target: &Target,
    connection: Connection,
) -> Finding {
    let at = shared.clock.now();
    let (path, asked) = {
        let mut gate = shared.gate.borrow_mut();
        let asked = Asked {
            id: target.id,
            incarnation: gate.incarnation(target.id),
            at,
        };
        let path = gate.health_path(target.id);
        let may_ask = !gate.is_resting(at, target.id) && gate.may_check_health(at, target.id);
        (path.filter(|_| may_ask), asked)
    };
    let Some(path) = path else {
        connection.return_to_pool(None);
        return Finding::Unanswered;
    };
    let request = shared.dialect.health_call(&path);
    let answer = connection.round_trip(
        request,
        bounds::MAX_ACKNOWLEDGEMENT_BYTES,
        shared.metrics.traffic.of(Kind::Probes),
    );
    let answer = match lateness::timeout(IDENTITY_TIMEOUT, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(Fault::Excessive)) => {
            replies::record_excess(shared, target.id, "health");
            return Finding::Unanswered;
        }
        Ok(Err(_)) | Err(_) => return Finding::Unanswered,
    };
    let (head, _) = answer.into_parts();
    let reply = shared.dialect.read_reply_head(&head);
    replies::record_availability(shared, asked, &reply);
    reply
        .upstream
        .map_or(Finding::Unanswered, Finding::Identified)
}

fn record_finding<D>(shared: &Shared<D>, target: &Target, asked: Time, finding: &Finding) {
    let now = shared.clock.now();
    let (broken_before, broken_after) = {
        let mut gate = shared.gate.borrow_mut();
        let before = gate.broken_count(now, target.id);
        match finding {
            Finding::Refused => gate.record_refused_connection(now, target.id),
            Finding::Identified(name) => gate.record_identity(now, target.id, name, asked),
            Finding::Unanswered => {}
        }
        (before, gate.broken_count(now, target.id))
    };
    let (label, answered_by) = match finding {
        Finding::Refused => ("refused", "-"),
        Finding::Identified(name) if *name == target.name => ("same", &**name),
        Finding::Identified(name) => ("other", &**name),
        Finding::Unanswered => ("unanswered", "-"),
    };
    shared.metrics.record_probe(label);
    journal!(
        info,
        "upstream-probed",
        upstream = target.name,
        finding = label,
        answered_by = answered_by,
        broken_before = broken_before,
        broken_after = broken_after,
    );
    report(shared);
}

/// Whether an upstream may have crashed that has closed a connection: its address refuses a new one, or
/// the end was read so late that the next incarnation may accept it. A connection that is accepted is
/// kept for a later call.
pub async fn may_have_cut_off<D>(shared: &Shared<D>, target: &Target) -> bool {
    if shared.lateness.recent() >= MIN_RESTART_TIME {
        return true;
    }
    if !shared.gate.borrow().would_end_in_crash(target.id) {
        return false;
    }
    let remote = Remote {
        address: target.address,
        name: target.name.clone(),
    };
    match lateness::timeout(MAX_PROBE_WAIT, shared.client.probe(remote)).await {
        Ok(Probe::Refused) => true,
        Ok(Probe::Accepted(connection)) => {
            connection.return_to_pool(None);
            false
        }
        Ok(Probe::Unknown) | Err(_) => false,
    }
}

/// Waits until it is known whether an upstream that is probed has crashed.
pub async fn await_probe<D>(shared: &Shared<D>, id: UpstreamId) {
    loop {
        let ended = shared.probe_ended.notified();
        let now = shared.clock.now();
        if !shared.gate.borrow().may_have_crashed(now, id) {
            return;
        }
        ended.await;
    }
}

/// Logs and counts the crashes that the gate has recorded since the last call, and has the
/// other hosts told.
pub fn report<D>(shared: &Shared<D>) {
    let reports = shared.gate.borrow_mut().take_crash_reports();
    for report in &reports {
        log_report(shared, report);
    }
    let changed = shared.gate.borrow_mut().take_suspect_changes();
    if !changed.is_empty() {
        suspects::add_news(shared, changed);
    }
    permits::release(shared);
}

fn log_report<D>(shared: &Shared<D>, report: &CrashReport) {
    let CrashReport {
        crash,
        sign,
        subjects,
    } = report;
    let Some(sign) = sign else {
        journal!(
            info,
            "crash-withdrawn",
            upstream = crash.upstream,
            incarnation = crash.incarnation,
        );
        return;
    };
    let sign = match sign {
        CrashSign::Refused => "refused",
        CrashSign::Replaced => "replaced",
        CrashSign::Restarted => "restarted",
    };
    shared.metrics.record_crash(sign);
    journal!(
        warn,
        "upstream-crashed",
        upstream = crash.upstream,
        incarnation = crash.incarnation,
        sign = sign,
        in_flight = subjects.iter().filter(|subject| !subject.is_part()).count(),
    );
    let told_by = &shared.settings.host;
    for subject in subjects {
        suspects::log_suspect(shared, *subject, told_by);
    }
}
