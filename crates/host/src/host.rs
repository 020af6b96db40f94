//! [`Host`]: creates the actors of the areas, passes events to them and collects their effects.

use crate::{
    Area, Effect, Event, Settings,
    actors::{Ledger, Member, Planner, Router, Shared},
    drain::{Drain, Stage},
};
use mulberryrack_core::{
    Incarnation, Name, Time,
    node::{Listing, Role},
    note::Counter,
    outcome::Reason,
    upstream::Contact,
    view::{Peer, Standing, View},
};
use mulberryrack_member::AddressAnswer;
use mulberryrack_table::Table;
use mulberryrack_wire::{
    peer::{Envelope, envelope::Body},
    place,
};
use stakker::{ActorOwn, Ret, Share, Stakker, actor, call, query};
use std::{
    collections::BTreeMap,
    fmt, mem,
    sync::Arc,
    time::{Duration, Instant},
};

/// Passed to [`mulberryrack_member::Member::addresses`] in place of the number of hosts that the
/// load of the row needs: a single host does not know the row's load on all hosts.
const UNKNOWN_DEMAND: u32 = 0;

/// Name, life, data centre and addresses of a host, fixed for the life of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the host, unique among all hosts.
    pub name: Name,
    /// Incarnation of the host: identifies this life of its process and rises with each start.
    pub incarnation: Incarnation,
    /// Data centre in which the host runs.
    pub data_centre: Name,
    /// `IP:port` on which the host accepts callers' requests.
    pub address: Name,
    /// `IP:port` on which the host accepts connections of other hosts and of operators.
    pub peer_address: Name,
}

/// Whether new callers should be sent to a host, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The host serves, and its table was confirmed recently or the host reaches most hosts of
    /// its data centre.
    Ready,
    /// The host has no table yet.
    NoTable,
    /// The host is cut off from the key-value store and from most hosts of its data centre: its
    /// table may be old.
    Isolated,
    /// The host drains or has drained.
    Leaving,
}

/// The decisions of one host, without I/O. The crate's documentation shows how it is used.
pub struct Host {
    stakker: Stakker,
    shared: Shared,
    pub(crate) identity: Identity,
    pub(crate) member: ActorOwn<Member>,
    ledger: ActorOwn<Ledger>,
    router: ActorOwn<Router>,
    planner: ActorOwn<Planner>,
    /// Engines on the platform's list of machines, as last read; empty before the first read.
    pub(crate) listed_engines: Vec<Listing>,
    /// Time of the latest event so far. An event with an earlier time is handled at this time.
    pub(crate) now: Time,
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Host")
            .field("identity", &self.identity)
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

impl Host {
    /// Starts a host. The same settings, identity, seed, times and events give the same effects.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, seed: u64, now: Time) -> Self {
        // The runtime needs instants. This one corresponds to `Time::ZERO`; only differences from
        // it are used, so that the clock has no influence on the effects.
        let time_zero = Instant::now();
        let mut stakker = Stakker::new(time_zero + Duration::from_micros(now.as_micros()));
        let shared = Shared {
            time_zero,
            effects: Share::new(&stakker, Vec::new()),
            drain: Share::new(&stakker, Drain::default()),
            view: Share::new(&stakker, Arc::new(View::default())),
            me: identity.name.clone(),
            incarnation: identity.incarnation,
        };
        let machines = StateMachines::new(settings, &identity, seed, now);
        let core = &mut stakker;
        let nop = || Ret::new(|_| {});
        let member = actor!(core, Member::init(shared.clone(), machines.member), nop());
        let ledger = actor!(core, Ledger::init(shared.clone(), machines.ledger), nop());
        let router = actor!(core, Router::init(shared.clone(), machines.router), nop());
        let planner = actor!(core, Planner::init(shared.clone(), machines.planner), nop());
        call!([ledger], link(router.clone()));
        call!(
            [router],
            link(member.clone(), ledger.clone(), planner.clone())
        );
        call!([planner], link(member.clone()));
        call!(
            [member],
            link(ledger.clone(), router.clone(), planner.clone())
        );
        let mut host = Self {
            stakker,
            shared,
            identity,
            member,
            ledger,
            router,
            planner,
            listed_engines: Vec::new(),
            now,
        };
        host.advance(now);
        host
    }

    /// Handles an event and returns the effects to carry out, in order. Timers that are due by
    /// `now` fire before the event is handled.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.advance(now);
        self.apply(event);
        self.advance(now);
        self.finish_drain();
        mem::take(self.shared.effects.rw(&mut self.stakker))
    }

    /// The time by which [`Host::handle`] must be called, with [`Event::Wake`] if no other event
    /// has come; `None` if no timer is set. Rounded up to whole microseconds.
    pub fn next_wake(&mut self) -> Option<Time> {
        let time_zero = self.shared.time_zero;
        self.stakker.next_expiry().map(|instant| {
            let nanos = instant.saturating_duration_since(time_zero).as_nanos();
            let micros = u64::try_from(nanos.div_ceil(1_000)).unwrap_or(u64::MAX);
            Time::from_micros(micros)
        })
    }

    /// Whether new callers should be sent to this host.
    pub fn readiness(&mut self) -> Readiness {
        if self.shared.drain.ro(&self.stakker).stage != Stage::Serving {
            return Readiness::Leaving;
        }
        let now = self.now;
        match self.with_member(|member| (member.table().is_some(), member.ready(now))) {
            (false, _) => Readiness::NoTable,
            (true, false) => Readiness::Isolated,
            (true, true) => Readiness::Ready,
        }
    }

    /// The table in force on this host; `None` before the first.
    pub fn table(&mut self) -> Option<Arc<Table>> {
        self.with_member(|member| member.table())
    }

    /// The identity given to [`Host::new`].
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Number of callers' requests that have no final answer yet.
    pub fn open_requests(&mut self) -> usize {
        let Self {
            stakker, router, ..
        } = self;
        query!([router, stakker], open_requests()).unwrap_or(0)
    }

    /// Moves the time forward and runs the actors until no call and no due timer is left. A time
    /// in the past leaves the time as it is.
    pub(crate) fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        let instant = self.shared.time_zero + Duration::from_micros(self.now.as_micros());
        self.stakker.run(instant, false);
    }

    /// Calls `f` with the state machine of the membership area.
    pub(crate) fn with_member<R>(
        &mut self,
        f: impl FnOnce(&mut mulberryrack_member::Member) -> R,
    ) -> R {
        let Self {
            stakker, member, ..
        } = self;
        query!([member, stakker], with_machine(f)).expect("the member actor never ends")
    }

    /// State of every engine by name, as last published by the planners of all hosts.
    pub(crate) fn engine_states(&mut self) -> BTreeMap<Name, place::Engine> {
        let Self {
            stakker, member, ..
        } = self;
        query!([member, stakker], engine_states()).unwrap_or_default()
    }

    /// Calls `f` with the state machine of the placement area.
    pub(crate) fn with_planner<R>(
        &mut self,
        f: impl FnOnce(&mulberryrack_place::Planner) -> R,
    ) -> R {
        let Self {
            stakker, planner, ..
        } = self;
        query!([planner, stakker], with_machine(f)).expect("the planner actor never ends")
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.shared.emit(&mut self.stakker, effect);
    }

    /// Passes an event to the areas that handle it.
    fn apply(&mut self, event: Event) {
        match event {
            Event::AddressQuery { ticket, target } => {
                let answer = self.select_addresses(&target);
                self.emit(Effect::Address { ticket, answer });
            }
            Event::Request(request) => call!([self.router], start_request(request)),
            Event::CallerGone(key) => {
                call!(
                    [self.router],
                    handle(mulberryrack_route::Input::CallerGone(key))
                );
            }
            Event::Operator { ticket, command } => self.run_command(ticket, command),
            Event::Peer(envelope) => self.handle_envelope(envelope),
            Event::Undelivered { to } => self.handle_undelivered(&to),
            Event::Listing(listings) => self.handle_listings(listings),
            Event::Kv {
                area,
                token,
                outcome,
            } => match area {
                Area::Member => call!(
                    [self.member],
                    handle(mulberryrack_member::Input::Kv { token, outcome })
                ),
                Area::Ledger => call!(
                    [self.ledger],
                    handle(mulberryrack_ledger::Input::Kv { token, outcome })
                ),
                Area::Place => call!(
                    [self.planner],
                    handle(mulberryrack_place::Input::Kv { token, outcome })
                ),
            },
            Event::Dispatch { attempt, event } => call!(
                [self.router],
                handle(mulberryrack_route::Input::Attempt { attempt, event })
            ),
            Event::Contact {
                upstream,
                order,
                contact,
            } => self.handle_contact(upstream, order, contact),
            Event::Drain => self.start_drain(),
            Event::Wake => {}
        }
    }

    fn select_addresses(&mut self, target: &str) -> Result<AddressAnswer, Reason> {
        let now = self.now;
        self.with_member(|member| member.addresses(now, target, UNKNOWN_DEMAND))
    }

    fn handle_listings(&mut self, listings: Option<Arc<[Listing]>>) {
        if let Some(listings) = &listings {
            let engines = listings
                .iter()
                .filter(|listing| listing.role == Role::Engine);
            self.listed_engines = engines.cloned().collect();
            call!(
                [self.router],
                handle(mulberryrack_route::Input::Listing(listings.clone()))
            );
            call!(
                [self.planner],
                handle(mulberryrack_place::Input::Listing(listings.clone()))
            );
        }
        call!(
            [self.member],
            handle(mulberryrack_member::Input::Listing(listings))
        );
    }

    fn handle_contact(&mut self, upstream: Name, order: Option<u64>, contact: Contact) {
        if order.is_none() {
            call!(
                [self.router],
                handle(mulberryrack_route::Input::Contact {
                    upstream: upstream.clone(),
                    contact: contact.clone(),
                })
            );
        }
        call!(
            [self.planner],
            handle(mulberryrack_place::Input::Contact {
                engine: upstream,
                order,
                contact,
            })
        );
    }

    /// Passes a message to its area. A message for another host or for another life of this host
    /// is dropped, and so is one from an earlier life of its sender than the view has.
    fn handle_envelope(&mut self, envelope: Envelope) {
        let addressed_to_me = *envelope.to == *self.identity.name
            && (envelope.to_incarnation == 0
                || envelope.to_incarnation == self.identity.incarnation.0);
        let from: Name = envelope.from.into();
        let incarnation = Incarnation(envelope.from_incarnation);
        let from_former_life = self
            .shared
            .view
            .ro(&self.stakker)
            .peer(&from)
            .is_some_and(|peer| peer.incarnation > incarnation);
        let Some(body) = envelope
            .body
            .filter(|_| addressed_to_me && !from_former_life)
        else {
            self.emit(Effect::Count(Counter::FrameDropped));
            return;
        };
        match body {
            Body::Member(frame) => call!(
                [self.member],
                handle(mulberryrack_member::Input::Frame {
                    from,
                    incarnation,
                    frame,
                })
            ),
            Body::Ledger(frame) => call!(
                [self.ledger],
                handle(mulberryrack_ledger::Input::Frame {
                    from,
                    incarnation,
                    frame,
                })
            ),
            Body::Route(frame) => call!(
                [self.router],
                handle(mulberryrack_route::Input::Frame {
                    from,
                    incarnation,
                    frame,
                })
            ),
            Body::Place(frame) => call!(
                [self.planner],
                handle(mulberryrack_place::Input::Frame {
                    from,
                    incarnation,
                    frame,
                })
            ),
        }
    }

    fn handle_undelivered(&mut self, to: &Name) {
        call!(
            [self.member],
            handle(mulberryrack_member::Input::Undelivered { to: to.clone() })
        );
        call!(
            [self.ledger],
            handle(mulberryrack_ledger::Input::Undelivered { to: to.clone() })
        );
        call!(
            [self.router],
            handle(mulberryrack_route::Input::Undelivered { to: to.clone() })
        );
    }

    /// Starts the drain; has no effect if it has started before.
    pub(crate) fn start_drain(&mut self) {
        let drain = self.shared.drain.rw(&mut self.stakker);
        if drain.stage != Stage::Serving {
            return;
        }
        drain.stage = Stage::Leaving;
        call!([self.member], handle(mulberryrack_member::Input::Leave));
        call!([self.ledger], handle(mulberryrack_ledger::Input::Leave));
        call!([self.router], handle(mulberryrack_route::Input::Leave));
        call!([self.planner], handle(mulberryrack_place::Input::Leave));
    }

    /// Emits [`Effect::Drained`] once, when the process may end: shards and cells are handed over,
    /// no request is open, and every address answer that named this host has expired.
    fn finish_drain(&mut self) {
        let drain = *self.shared.drain.ro(&self.stakker);
        if !drain.handed_over() || self.open_requests() > 0 {
            return;
        }
        let now = self.now;
        if self.with_member(|member| member.leave_until().is_some_and(|until| until > now)) {
            return;
        }
        self.shared.drain.rw(&mut self.stakker).stage = Stage::Drained;
        self.emit(Effect::Drained);
    }
}

/// The state machines of the areas. Each has a seed of its own, derived from the host's.
struct StateMachines {
    member: mulberryrack_member::Member,
    ledger: mulberryrack_ledger::Ledger,
    router: mulberryrack_route::Router,
    planner: mulberryrack_place::Planner,
}

impl StateMachines {
    fn new(settings: Settings, identity: &Identity, seed: u64, now: Time) -> Self {
        let Identity {
            name,
            incarnation,
            data_centre,
            address,
            peer_address,
        } = identity.clone();
        let peer = Peer {
            name: name.clone(),
            incarnation,
            data_centre: data_centre.clone(),
            address,
            peer_address,
            standing: Standing::Alive,
        };
        Self {
            member: mulberryrack_member::Member::new(settings.member, peer, seed, now),
            ledger: mulberryrack_ledger::Ledger::new(
                settings.ledger,
                name.clone(),
                incarnation,
                seed.wrapping_add(1),
                now,
            ),
            router: mulberryrack_route::Router::new(
                settings.route,
                name.clone(),
                incarnation,
                data_centre.clone(),
                seed.wrapping_add(2),
                now,
            ),
            planner: mulberryrack_place::Planner::new(
                settings.place,
                name,
                incarnation,
                data_centre,
                seed.wrapping_add(3),
                now,
            ),
        }
    }
}
