//! Replays traces through complete hosts in virtual time and summarizes the outcome.
//!
//! A [`world::World`] connects hosts, which run the daemon's decision code, with the
//! stand-ins' models of engines, services and the platform. It processes events from a
//! [`queue::Queue`] in order of virtual time. The same trace and seed give the same bytes.
//!
//! Begin with [`run`], which replays a trace ([`trace::Line`]) and returns a
//! [`summary::Summary`]. [`scenario::generate`] makes traces, [`caller::Caller`] models a
//! caller, and [`naive::Host`] is the baseline to compare with.

pub mod caller;
pub mod deployment;
pub mod faults;
pub mod naive;
pub mod node;
mod platform;
pub mod queue;
pub mod report;
pub mod scenario;
mod schedule;
pub mod summary;
pub mod table_spread;
pub mod trace;
mod upstreams;
pub mod world;

use mulberryrack_core::Time;
use std::time::Duration;
use summary::Summary;
use world::{Deployment, HostKind, World};

/// Virtual time before the trace, in which the first table is accepted and its rows load.
pub const WARM_UP: Duration = Duration::from_secs(90);
/// Virtual time after the last line of the trace, in which open requests end.
pub const COOL_DOWN: Duration = Duration::from_secs(70);

/// Replays a trace after [`WARM_UP`], in which the first table is accepted and loaded.
#[must_use]
pub fn run(
    deployment: Deployment,
    kind: HostKind,
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
    let mut world = World::new(deployment, kind, shifted, seed);
    world.run_until(Time::from_millis(FIRST_TABLE_MS));
    world.accept(deployment::FIRST_TABLE);
    let begin = Time::from_millis(offset);
    world.run_until(begin);
    let loads = world.loads();
    let end = Time::from_millis(last) + COOL_DOWN;
    world.run_until(end);
    let duration = Time::from_millis(last) - begin;
    let summary = summary::summarize(&world, duration, loads);
    (world, summary)
}

/// Virtual time at which the first table is accepted; the hosts know each other by then.
const FIRST_TABLE_MS: u64 = 5_000;
