//! Scheduled events, and the records that a replay keeps of hosts, watches and exchanges.
//!
//! An exchange is one call from a host to an upstream and its answer.

use crate::{caller::Step, node::Node, world::HostIndex};
use mulberryrack_core::{Name, Time, kv, node::Listing, request, upstream};
use mulberryrack_host::{Area, Event};
use mulberryrack_standin::engine;

/// An event that the replay processes at its time in the queue.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// An event reaches a host, if the host is still in the given life.
    Host(HostIndex, u64, Box<Event>),
    /// The next wake-up that a host asked for.
    WakeHost(HostIndex, u64),
    /// A host starts a new life.
    Start(HostIndex),
    /// A host reads the platform's list of machines.
    ReadList(HostIndex, u64),
    /// A call from an area of a host reaches the key-value service.
    Kv(HostIndex, u64, Area, kv::CallId, kv::Op),
    /// The longest wait of a watch is over; it is answered without changes.
    WatchTimeout(u64),
    /// An input reaches the engine with this index.
    Engine(usize, Box<engine::Input>),
    /// A call reaches the service with this index, under a ticket.
    Service(usize, u64, request::Call),
    /// The next wake-up that an engine asked for.
    WakeEngine(usize),
    /// The next wake-up that a service asked for.
    WakeService(usize),
    /// The next wake-up that the weight store asked for.
    WakeWeights,
    /// The periodic check of copies of rows and of table versions.
    PeriodicCheck,
    /// The line of the trace with this index is due.
    Trace(usize),
    /// A caller takes its next step.
    Caller(usize, Step),
}

/// A host of the deployment, whether it runs or not.
#[derive(Debug)]
pub(crate) struct HostSlot {
    pub listing: Listing,
    /// The running host; `None` while it does not run.
    pub node: Option<Node>,
    /// Number of starts; events for an earlier life are dropped.
    pub life: u64,
    /// Virtual time of the start, at which the host's own clock reads zero.
    pub started: Time,
    /// Events that arrive before this time are delivered then.
    pub paused_until: Time,
    /// Time of the scheduled wake-up.
    pub wake: Option<Time>,
    /// Whether the host has left after it was told to drain.
    pub drained: bool,
}

/// A watch of the key-value service that has not been answered yet.
#[derive(Debug)]
pub(crate) struct PendingWatch {
    pub host: HostIndex,
    pub life: u64,
    pub area: Area,
    pub token: kv::CallId,
    pub prefix: Name,
    pub after: kv::Revision,
}

/// The host that waits for the answer to a call to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub host: HostIndex,
    pub life: u64,
    pub kind: ExchangeKind,
}

/// What a call to an upstream carries.
#[derive(Clone, Debug)]
pub(crate) enum ExchangeKind {
    /// A dispatch of a request.
    Dispatch(upstream::DispatchId),
    /// A query for a report, or the order with this id, to the upstream of this name.
    Contact(Name, Option<u64>),
    /// A call whose answer no host waits for.
    Unawaited,
}

impl HostSlot {
    /// Creates the record of a host that has not started.
    pub fn new(listing: Listing) -> Self {
        Self {
            listing,
            node: None,
            life: 0,
            started: Time::ZERO,
            paused_until: Time::ZERO,
            wake: None,
            drained: false,
        }
    }
}
