//! One actor for each area of a host: membership, ledger, router and planner.
//!
//! Each actor owns the state machine of its area. An output of a state machine becomes either
//! an [`Effect`] of the host or an input of another area's actor.

/// Defines two methods that are the same for every area's actor: `step` feeds one input to the
/// state machine, carries out its outputs and sets the timer to the machine's next wake; `wake`
/// is called when the timer fires.
///
/// Expects the fields `shared`, `machine` and `alarm`, the method `handle_output`, and the
/// area's `Input` type in scope.
macro_rules! step_methods {
    () => {
        fn step(&mut self, cx: CX![], input: Input) {
            let now = self.shared.now(cx);
            let mut outputs = Vec::new();
            self.machine.handle(now, input, &mut outputs);
            for output in outputs {
                self.handle_output(cx, output);
            }
            let time_zero = self.shared.time_zero;
            let this = cx.this().clone();
            self.alarm
                .set(cx, time_zero, self.machine.next_wake(), |core, instant| {
                    at!(instant, [this, core], wake())
                });
        }

        fn wake(&mut self, cx: CX![]) {
            self.alarm.mark_fired();
            self.step(cx, Input::Wake);
        }
    };
}

mod alarm;
mod ledger;
mod member;
mod planner;
mod router;

pub use ledger::Ledger;
pub use member::Member;
pub use planner::Planner;
pub use router::Router;

use crate::{Effect, drain::Drain};
use mulberryrack_core::{Incarnation, Name, Time, view::View};
use mulberryrack_wire::peer::{Envelope, envelope::Body};
use stakker::{Core, Share};
use std::{sync::Arc, time::Instant};

/// State that all actors of a host share. Clones refer to the same effects, drain and view.
#[derive(Clone)]
pub struct Shared {
    /// The instant that corresponds to [`Time::ZERO`].
    pub time_zero: Instant,
    /// Effects that [`crate::Host::handle`] has not returned yet, in the order of emission.
    pub effects: Share<Vec<Effect>>,
    /// Progress of the host's drain.
    pub drain: Share<Drain>,
    /// The newest view of the hosts, used to look up their addresses.
    pub view: Share<Arc<View>>,
    /// This host's name.
    pub me: Name,
    /// Incarnation of this host, which identifies its life.
    pub incarnation: Incarnation,
}

impl Shared {
    /// The current time of the actor runtime.
    pub fn now(&self, core: &Core) -> Time {
        let micros = core
            .now()
            .saturating_duration_since(self.time_zero)
            .as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Appends an effect to those that [`crate::Host::handle`] returns next.
    pub fn emit(&self, core: &mut Core, effect: Effect) {
        self.effects.rw(core).push(effect);
    }

    /// Sends a message to a host at its address in the view; drops the message if the view
    /// lacks the host.
    ///
    /// `incarnation` is the only life that may receive the message, `None` for any.
    pub fn send(&self, core: &mut Core, to: &Name, incarnation: Option<Incarnation>, body: Body) {
        let address = self
            .view
            .ro(core)
            .peer(to)
            .map(|peer| peer.peer_address.clone());
        if let Some(address) = address {
            self.send_to_address(core, to, address, incarnation, body);
        }
    }

    /// Sends a message to a host at the given `IP:port`.
    pub fn send_to_address(
        &self,
        core: &mut Core,
        to: &Name,
        address: Name,
        incarnation: Option<Incarnation>,
        body: Body,
    ) {
        let envelope = Envelope {
            from: self.me.to_string(),
            from_incarnation: self.incarnation.0,
            to: to.to_string(),
            to_incarnation: incarnation.map_or(0, |incarnation| incarnation.0),
            body: Some(body),
        };
        self.emit(core, Effect::Peer { address, envelope });
    }
}
