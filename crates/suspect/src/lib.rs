//! Requests and parts of prompts that are suspected of crashing upstreams.
//!
//! A crash is identified by the upstream and its incarnation that ended, so that a crash seen
//! by several hosts counts once. Each host records which requests were in flight on the
//! crashes that it saw, with the parts of their prompts, and shares that with the others;
//! [`Suspects`] merges the evidence of all hosts and gives a [`Verdict`] on each [`Subject`].
//! [`Permits`] has those that are on trial run at one place at a time. Merging gives the same result in every
//! order, so that any transport will do: `route` publishes a value for each host, the hosts of
//! `edge` use [`Gossip`].
//!
//! A state machine without I/O, clock or threads. The state is bounded, and evidence expires.

mod evidence;
mod gossip;
mod group;
mod permits;
mod subject;
mod suspects;
mod verdict;

pub use evidence::{Crash, Evidence};
pub use gossip::{Gossip, Message};
pub use permits::{Answer, Holder, Permits};
pub use subject::Subject;
pub use suspects::{Change, Limits, Suspects};
pub use verdict::Verdict;
