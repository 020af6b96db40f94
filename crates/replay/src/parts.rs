//! What a replay is made of: happenings, hosts, watches and exchanges.

use crate::{caller::Step, node::Node, world::HostKey};
use mulberryrack_core::{Name, Time, kv, node::Listing, request, upstream};
use mulberryrack_host::{Area, Event};
use mulberryrack_standin::engine;

/// Something that is to happen.
#[derive(Debug)]
pub(crate) enum Happening {
    /// An event reaches a life of a host.
    Host(HostKey, u64, Box<Event>),
    /// A host wanted to be woken.
    WakeHost(HostKey, u64),
    /// A host starts.
    Start(HostKey),
    /// A host reads the list.
    ReadList(HostKey, u64),
    /// A call reaches the key-value service.
    Kv(HostKey, u64, Area, kv::CallId, kv::Op),
    /// The wait of a watch is over.
    WatchEnds(u64),
    /// An input reaches an engine.
    Engine(usize, Box<engine::Input>),
    /// A call reaches a service.
    Service(usize, u64, request::Call),
    /// An engine or a service wanted to be woken.
    WakeEngine(usize),
    /// As for engines.
    WakeService(usize),
    /// The weight store wanted to be woken.
    WakeWeights,
    /// The rows are looked at.
    LookAtRows,
    /// The next line of the trace.
    Trace(usize),
    /// A caller does its next step.
    Caller(usize, Step),
}

/// A host's place.
#[derive(Debug)]
pub(crate) struct Slot {
    pub listing: Listing,
    pub node: Option<Node>,
    /// Rises with each start.
    pub life: u64,
    /// Where this life's own clock reads zero.
    pub started: Time,
    pub paused_until: Time,
    pub wake: Option<Time>,
    /// Whether it was told to leave and is not to start again.
    pub drained: bool,
}

/// A watch that waits.
#[derive(Debug)]
pub(crate) struct Watch {
    pub host: HostKey,
    pub life: u64,
    pub area: Area,
    pub token: kv::CallId,
    pub prefix: Name,
    pub after: kv::Revision,
}

/// Who waits for an exchange with an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub host: HostKey,
    pub life: u64,
    pub kind: ExchangeKind,
}

/// What an exchange is for.
#[derive(Clone, Debug)]
pub(crate) enum ExchangeKind {
    /// A request.
    Attempt(upstream::DispatchId),
    /// A report or an order.
    Contact(Name, Option<u64>),
    /// Nobody waits.
    Nothing,
}

impl Slot {
    /// A host that has not started.
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
