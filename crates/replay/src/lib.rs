//! Traces through whole hosts in virtual time, judged against stated outcomes.
//!
//! A [`world::World`] joins hosts, which decide as in the daemon, with the stand-ins'
//! models of engines, services and the platform. The same trace and seed give the same
//! bytes.

pub mod caller;
pub mod deployment;
pub mod faults;
pub mod judge;
pub mod naive;
pub mod node;
mod parts;
mod platform;
pub mod queue;
pub mod report;
pub mod scenario;
pub mod spread;
pub mod trace;
mod upstreams;
pub mod world;

use judge::Summary;
use mulberryrack_core::Time;
use std::time::Duration;
use world::{Deployment, Version, World};

/// Time before the trace in which rows are loaded.
pub const WARM_UP: Duration = Duration::from_secs(90);
/// Time after the trace in which requests end.
pub const COOL_DOWN: Duration = Duration::from_secs(70);

/// Replays a trace, after a start in which the first table is accepted and loaded.
#[must_use]
pub fn run(
    deployment: Deployment,
    version: Version,
    trace: &[trace::Line],
    seed: u64,
) -> (World, Summary) {
    let offset = u64::try_from(WARM_UP.as_millis()).unwrap_or(u64::MAX);
    let shifted: Vec<trace::Line> = trace
        .iter()
        .cloned()
        .map(|line| trace::Line {
            at_ms: line.at_ms + offset,
            ..line
        })
        .collect();
    let last = shifted.last().map_or(0, |line| line.at_ms);
    let mut world = World::new(deployment, version, shifted, seed);
    world.run(Time::from_millis(FIRST_ACCEPT_MS));
    world.accept(deployment::FIRST_TABLE);
    let begin = Time::from_millis(offset);
    world.run(begin);
    let loads = world.loads();
    let end = Time::from_millis(last) + COOL_DOWN;
    world.run(end);
    let length = Time::from_millis(last) - begin;
    let summary = judge::judge(&world, length, loads);
    (world, summary)
}

/// When the first table is accepted: hosts know each other by then.
const FIRST_ACCEPT_MS: u64 = 5_000;
