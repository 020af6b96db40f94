//! Logs the speeds of engines that this host has learned.

use crate::{journal::journal, shared::Shared};
use mulberryrack_gate::UpstreamId;

/// Logs the speed of an upstream that has just ended a request, unless that was done lately.
pub fn log<D>(shared: &Shared<D>, id: UpstreamId) {
    let now = shared.clock.now();
    let Some(speed) = shared.gate.borrow_mut().speed_to_log(now, id) else {
        return;
    };
    journal!(
        debug,
        "upstream-speed",
        upstream = speed.upstream,
        slowness = format_args!("{:.2}", speed.slowness),
        samples = speed.samples,
        pause_share = format_args!("{:.2}", speed.pause_share),
    );
}
