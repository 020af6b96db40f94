//! The host: its actors, and the entry that feeds them.

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

/// The hosts that a row's load needs are not known to the host that is asked.
const UNKNOWN_DEMAND: u32 = 0;

/// Who a host is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Unique name.
    pub name: Name,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// The data centre that the host stands in.
    pub data_centre: Name,
    /// `IP:port` for callers.
    pub address: Name,
    /// `IP:port` for peers and operators.
    pub peer_address: Name,
}

/// Whether a host should be sent new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It serves, and its table is current.
    Ready,
    /// It has no table yet.
    NoTable,
    /// It is cut off from the service and from most hosts: its table may be old.
    Isolated,
    /// It is leaving.
    Leaving,
}

/// A whole host. See the crate's page for use.
pub struct Host {
    stakker: Stakker,
    shared: Shared,
    pub(crate) identity: Identity,
    pub(crate) member: ActorOwn<Member>,
    ledger: ActorOwn<Ledger>,
    router: ActorOwn<Router>,
    planner: ActorOwn<Planner>,
    /// Engines on the platform's list, as last read.
    pub(crate) engines: Vec<Listing>,
    /// Time of the last event. Events in the past are taken as if they came then.
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
    /// Starts a host. The same settings, identity, seed and events give the same
    /// effects.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, seed: u64, now: Time) -> Self {
        // Stands for the start of time; only differences from it are ever used.
        let base = Instant::now();
        let mut stakker = Stakker::new(base + Duration::from_micros(now.as_micros()));
        let shared = Shared {
            base,
            effects: Share::new(&stakker, Vec::new()),
            drain: Share::new(&stakker, Drain::default()),
            view: Share::new(&stakker, Arc::new(View::default())),
            me: identity.name.clone(),
            incarnation: identity.incarnation,
        };
        let machines = Machines::new(settings, &identity, seed, now);
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
            engines: Vec::new(),
            now,
        };
        host.run(now);
        host
    }

    /// Takes an event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.run(now);
        self.take(event);
        self.run(now);
        self.finish_drain();
        mem::take(self.shared.effects.rw(&mut self.stakker))
    }

    /// When [`Host::handle`] has to be called with [`Event::Wake`] at the latest.
    pub fn next_wake(&mut self) -> Option<Time> {
        let base = self.shared.base;
        self.stakker.next_expiry().map(|instant| {
            let nanos = instant.saturating_duration_since(base).as_nanos();
            let micros = u64::try_from(nanos.div_ceil(1_000)).unwrap_or(u64::MAX);
            Time::from_micros(micros)
        })
    }

    /// Whether new callers should be sent here.
    pub fn readiness(&mut self) -> Readiness {
        if self.shared.drain.ro(&self.stakker).stage != Stage::Serving {
            return Readiness::Leaving;
        }
        let now = self.now;
        match self.member(|member| (member.table().is_some(), member.ready(now))) {
            (false, _) => Readiness::NoTable,
            (true, false) => Readiness::Isolated,
            (true, true) => Readiness::Ready,
        }
    }

    /// The table in force.
    pub fn table(&mut self) -> Option<Arc<Table>> {
        self.member(|member| member.table())
    }

    /// Who this host is.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Requests without a final answer.
    pub fn open_requests(&mut self) -> usize {
        let Self {
            stakker, router, ..
        } = self;
        query!([router, stakker], open()).unwrap_or(0)
    }

    pub(crate) fn run(&mut self, now: Time) {
        self.now = self.now.max(now);
        let instant = self.shared.base + Duration::from_micros(self.now.as_micros());
        self.stakker.run(instant, false);
    }

    pub(crate) fn member<R>(
        &mut self,
        question: impl FnOnce(&mut mulberryrack_member::Member) -> R,
    ) -> R {
        let Self {
            stakker, member, ..
        } = self;
        query!([member, stakker], ask(question)).expect("the member actor never ends")
    }

    pub(crate) fn spread_engines(&mut self) -> BTreeMap<Name, place::Engine> {
        let Self {
            stakker, member, ..
        } = self;
        query!([member, stakker], engines()).unwrap_or_default()
    }

    pub(crate) fn planner<R>(
        &mut self,
        question: impl FnOnce(&mulberryrack_place::Planner) -> R,
    ) -> R {
        let Self {
            stakker, planner, ..
        } = self;
        query!([planner, stakker], ask(question)).expect("the planner actor never ends")
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.shared.emit(&mut self.stakker, effect);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Where { ticket, target } => {
                let answer = self.address(&target);
                self.emit(Effect::Address { ticket, answer });
            }
            Event::Request(request) => call!([self.router], request(request)),
            Event::Gone(key) => {
                call!(
                    [self.router],
                    input(mulberryrack_route::Input::CallerGone(key))
                );
            }
            Event::Operator { ticket, command } => self.command(ticket, command),
            Event::Peer(envelope) => self.peer(envelope),
            Event::Undelivered { to } => self.undelivered(&to),
            Event::Listing(listing) => self.listing(listing),
            Event::Kv {
                area,
                token,
                outcome,
            } => match area {
                Area::Member => call!(
                    [self.member],
                    input(mulberryrack_member::Input::Kv { token, outcome })
                ),
                Area::Ledger => call!(
                    [self.ledger],
                    input(mulberryrack_ledger::Input::Kv { token, outcome })
                ),
                Area::Place => call!(
                    [self.planner],
                    input(mulberryrack_place::Input::Kv { token, outcome })
                ),
            },
            Event::Attempt { attempt, event } => call!(
                [self.router],
                input(mulberryrack_route::Input::Attempt { attempt, event })
            ),
            Event::Contact {
                upstream,
                order,
                contact,
            } => self.contact(upstream, order, contact),
            Event::Drain => self.drain(),
            Event::Wake => {}
        }
    }

    fn address(&mut self, target: &str) -> Result<AddressAnswer, Reason> {
        let now = self.now;
        self.member(|member| member.addresses(now, target, UNKNOWN_DEMAND))
    }

    fn listing(&mut self, listing: Option<Arc<[Listing]>>) {
        if let Some(listing) = &listing {
            let engines = listing.iter().filter(|one| one.role == Role::Engine);
            self.engines = engines.cloned().collect();
            call!(
                [self.router],
                input(mulberryrack_route::Input::Listing(listing.clone()))
            );
            call!(
                [self.planner],
                input(mulberryrack_place::Input::Listing(listing.clone()))
            );
        }
        call!(
            [self.member],
            input(mulberryrack_member::Input::Listing(listing))
        );
    }

    fn contact(&mut self, upstream: Name, order: Option<u64>, contact: Contact) {
        if order.is_none() {
            call!(
                [self.router],
                input(mulberryrack_route::Input::Contact {
                    upstream: upstream.clone(),
                    contact: contact.clone(),
                })
            );
        }
        call!(
            [self.planner],
            input(mulberryrack_place::Input::Contact {
                engine: upstream,
                order,
                contact,
            })
        );
    }

    /// Takes a message; one for or from another life is dropped.
    fn peer(&mut self, envelope: Envelope) {
        let mine = *envelope.to == *self.identity.name
            && (envelope.to_incarnation == 0
                || envelope.to_incarnation == self.identity.incarnation.0);
        let from: Name = envelope.from.into();
        let incarnation = Incarnation(envelope.from_incarnation);
        let former = self
            .shared
            .view
            .ro(&self.stakker)
            .peer(&from)
            .is_some_and(|peer| peer.incarnation > incarnation);
        let Some(body) = envelope.body.filter(|_| mine && !former) else {
            self.emit(Effect::Count(Counter::FrameDropped));
            return;
        };
        match body {
            Body::Member(frame) => call!(
                [self.member],
                input(mulberryrack_member::Input::Frame {
                    from,
                    incarnation,
                    frame,
                })
            ),
            Body::Ledger(frame) => call!(
                [self.ledger],
                input(mulberryrack_ledger::Input::Frame {
                    from,
                    incarnation,
                    frame,
                })
            ),
            Body::Route(frame) => call!(
                [self.router],
                input(mulberryrack_route::Input::Frame {
                    from,
                    incarnation,
                    frame,
                })
            ),
            Body::Place(frame) => call!(
                [self.planner],
                input(mulberryrack_place::Input::Frame {
                    from,
                    incarnation,
                    frame,
                })
            ),
        }
    }

    fn undelivered(&mut self, to: &Name) {
        call!(
            [self.member],
            input(mulberryrack_member::Input::Undelivered { to: to.clone() })
        );
        call!(
            [self.ledger],
            input(mulberryrack_ledger::Input::Undelivered { to: to.clone() })
        );
        call!(
            [self.router],
            input(mulberryrack_route::Input::Undelivered { to: to.clone() })
        );
    }

    pub(crate) fn drain(&mut self) {
        let drain = self.shared.drain.rw(&mut self.stakker);
        if drain.stage != Stage::Serving {
            return;
        }
        drain.stage = Stage::Leaving;
        call!([self.member], input(mulberryrack_member::Input::Leave));
        call!([self.ledger], input(mulberryrack_ledger::Input::Leave));
        call!([self.router], input(mulberryrack_route::Input::Leave));
        call!([self.planner], input(mulberryrack_place::Input::Leave));
    }

    /// Says once that the process may end: everything handed over, no request open, and
    /// no caller still holding an answer that names this host.
    fn finish_drain(&mut self) {
        let drain = *self.shared.drain.ro(&self.stakker);
        if !drain.handed_over() || self.open_requests() > 0 {
            return;
        }
        let now = self.now;
        if self.member(|member| member.leave_until().is_some_and(|until| until > now)) {
            return;
        }
        self.shared.drain.rw(&mut self.stakker).stage = Stage::Drained;
        self.emit(Effect::Drained);
    }
}

/// The state machines of the areas.
struct Machines {
    member: mulberryrack_member::Member,
    ledger: mulberryrack_ledger::Ledger,
    router: mulberryrack_route::Router,
    planner: mulberryrack_place::Planner,
}

impl Machines {
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
