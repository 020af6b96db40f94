//! Crashes of upstreams: finds out whether an upstream has ended on which a dispatch broke.

use crate::{
    client::{Probe, Remote},
    journal::journal,
    shared::Shared,
    suspects,
};
use mulberryrack_gate::{CrashReport, CrashSign, Target, UpstreamId};
use std::{rc::Rc, time::Duration};
use tokio::time;

/// Interval between two connections that are opened to find out whether an upstream has ended.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of unanswered connections after which an upstream is no longer probed.
const MAX_UNANSWERED_PROBES: u32 = 3;

/// Opens a connection to an upstream on which a dispatch broke, if that may have been a crash,
/// and records what the connection shows.
pub async fn probe<D>(shared: Rc<Shared<D>>, target: Target) {
    if !shared.probed.borrow_mut().insert(target.id) {
        return;
    }
    let remote = Remote {
        address: target.address,
        name: target.name.clone(),
    };
    let mut unanswered = 0;
    while shared.gate.borrow().may_have_crashed(target.id) && unanswered < MAX_UNANSWERED_PROBES {
        let opened = shared.clock.now();
        let broken_before = shared.gate.borrow().broken_count(target.id);
        let probe = shared.client.probe(remote.clone()).await;
        let finding = match &probe {
            Probe::Refused => "refused",
            Probe::Accepted(_) => "accepted",
            Probe::Unknown => "unanswered",
        };
        match probe {
            Probe::Refused => {
                let now = shared.clock.now();
                shared
                    .gate
                    .borrow_mut()
                    .record_refused_connection(now, target.id);
                report(&shared);
            }
            Probe::Accepted(connection) => {
                connection.return_to_pool(None);
                shared
                    .gate
                    .borrow_mut()
                    .record_accepted_connection(target.id, opened);
            }
            Probe::Unknown => unanswered += 1,
        }
        let broken_after = shared.gate.borrow().broken_count(target.id);
        shared.metrics.record_probe(finding);
        journal!(
            info,
            "upstream-probed",
            upstream = target.name,
            finding = finding,
            broken_before = broken_before,
            broken_after = broken_after,
        );
        shared.probe_ended.notify_waiters();
        time::sleep(PROBE_INTERVAL).await;
    }
    shared.probed.borrow_mut().remove(&target.id);
}

/// Waits until it is known whether an upstream that is probed has crashed.
pub async fn await_probe<D>(shared: &Shared<D>, id: UpstreamId) {
    loop {
        let ended = shared.probe_ended.notified();
        if !shared.gate.borrow().may_have_crashed(id) {
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
}

fn log_report<D>(shared: &Shared<D>, report: &CrashReport) {
    let CrashReport {
        crash,
        sign,
        fingerprints,
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
    };
    shared.metrics.record_crash(sign);
    journal!(
        warn,
        "upstream-crashed",
        upstream = crash.upstream,
        incarnation = crash.incarnation,
        sign = sign,
        in_flight = fingerprints.len(),
    );
    let told_by = &shared.settings.host;
    for fingerprint in fingerprints {
        suspects::log_suspect(shared, *fingerprint, told_by);
    }
}
